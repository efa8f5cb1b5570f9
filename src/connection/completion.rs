//! The OpenAI-style encoding of completions and chat completions.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::engine::FinishReason;
use crate::request::flow::{AnswerEvent, CompletionJob};

/// The two APIs for completions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionApi {
    /// `POST /v1/completions`.
    Completion,
    /// `POST /v1/chat/completions`.
    Chat,
}

impl CompletionApi {
    /// Returns the API of a request path, or `None` for other paths. Routes may put a prefix before the usual path, for
    /// example to give queued work its own priority.
    pub fn from_path(path: &str) -> Option<Self> {
        if path.ends_with("/v1/chat/completions") {
            Some(Self::Chat)
        } else if path.ends_with("/v1/completions") {
            Some(Self::Completion)
        } else {
            None
        }
    }
}

/// The body of a completion request. Unknown fields are ignored, because client libraries send many.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Parses a completion request; also returns whether its response is to be streamed.
///
/// # Errors
/// Returns a refusal of kind `InvalidRequest` if the body is malformed or has no prompt.
pub fn parse_request(api: CompletionApi, body: &[u8]) -> Result<(CompletionJob, bool), Refusal> {
    let invalid = |message: String| Refusal::not_run(RefusalKind::InvalidRequest, message);
    let body: CompletionBody =
        serde_json::from_slice(body).map_err(|e| invalid(format!("body is not valid: {e}")))?;
    let prompt = match api {
        CompletionApi::Completion => body.prompt,
        CompletionApi::Chat => body
            .messages
            .map(|messages| prompt_from_messages(&messages)),
    };
    let Some(prompt) = prompt.filter(|p| !p.is_empty()) else {
        return Err(invalid(match api {
            CompletionApi::Completion => "prompt missing or empty; send a text".to_owned(),
            CompletionApi::Chat => "messages missing or empty; send at least one".to_owned(),
        }));
    };
    let job = CompletionJob {
        model: body.model.into(),
        prompt,
        max_tokens: body.max_tokens.or(body.max_completion_tokens),
    };
    Ok((job, body.stream))
}

fn prompt_from_messages(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}

/// The token counts, under the names that client libraries expect.
#[derive(Debug, Serialize)]
#[expect(clippy::struct_field_names)]
struct Usage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    total_tokens: Tokens,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    message: &'a str,
    run: Run,
}

/// Encodes a refusal as JSON.
pub fn refusal_json(refusal: &Refusal) -> Vec<u8> {
    to_json(&ErrorBody {
        error: ErrorDetail {
            kind: refusal.kind.name(),
            message: &refusal.message,
            run: refusal.run,
        },
    })
}

/// Encodes the response to one completion request, as a stream of events or whole.
#[derive(Debug, Clone)]
pub struct CompletionEncoder {
    api: CompletionApi,
    id: String,
    model: ModelId,
    created: u64,
}

impl CompletionEncoder {
    /// Creates an encoder for one request; `now` becomes its creation time.
    pub fn new(api: CompletionApi, request: RequestId, model: ModelId, now: SystemTime) -> Self {
        let prefix = match api {
            CompletionApi::Completion => "cmpl",
            CompletionApi::Chat => "chatcmpl",
        };
        let created = now.duration_since(SystemTime::UNIX_EPOCH);
        Self {
            api,
            id: format!("{prefix}-{request:032x}"),
            model,
            created: created.unwrap_or_default().as_secs(),
        }
    }

    /// Encodes one server-sent event; the last one is followed by the `[DONE]` marker.
    pub fn stream_event(&self, event: &AnswerEvent) -> Vec<u8> {
        let (text, reason, usage) = match event {
            AnswerEvent::Token(text) => (Some(text.as_str()), None, None),
            AnswerEvent::End {
                reason,
                prompt_tokens,
                output_tokens,
            } => (
                None,
                Some(*reason),
                Some(usage(*prompt_tokens, *output_tokens)),
            ),
        };
        let choice = match self.api {
            CompletionApi::Completion => Choice {
                text: Some(text.unwrap_or_default()),
                ..empty_choice(reason)
            },
            CompletionApi::Chat => Choice {
                delta: Some(Delta { content: text }),
                ..empty_choice(reason)
            },
        };
        let object = match self.api {
            CompletionApi::Completion => "text_completion",
            CompletionApi::Chat => "chat.completion.chunk",
        };
        let mut buf = b"data: ".to_vec();
        buf.extend(to_json(&self.chunk(object, choice, usage)));
        buf.extend_from_slice(b"\n\n");
        if reason.is_some() {
            buf.extend_from_slice(b"data: [DONE]\n\n");
        }
        buf
    }

    /// Encodes a failure in a stream that has started, which would otherwise end short without a sign.
    pub fn stream_error(refusal: &Refusal) -> Vec<u8> {
        let mut buf = b"data: ".to_vec();
        buf.extend(refusal_json(refusal));
        buf.extend_from_slice(b"\n\n");
        buf
    }

    /// Encodes a response that is not streamed.
    pub fn response(
        &self,
        text: &str,
        reason: FinishReason,
        prompt_tokens: Tokens,
        output_tokens: Tokens,
    ) -> Vec<u8> {
        let choice = match self.api {
            CompletionApi::Completion => Choice {
                text: Some(text),
                ..empty_choice(Some(reason))
            },
            CompletionApi::Chat => Choice {
                message: Some(Message {
                    role: "assistant".to_owned(),
                    content: text.to_owned(),
                }),
                ..empty_choice(Some(reason))
            },
        };
        let object = match self.api {
            CompletionApi::Completion => "text_completion",
            CompletionApi::Chat => "chat.completion",
        };
        to_json(&self.chunk(object, choice, Some(usage(prompt_tokens, output_tokens))))
    }

    fn chunk<'a>(
        &'a self,
        object: &'static str,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Chunk<'a> {
        Chunk {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        }
    }
}

fn empty_choice<'a>(reason: Option<FinishReason>) -> Choice<'a> {
    Choice {
        index: 0,
        text: None,
        message: None,
        delta: None,
        finish_reason: reason.map(FinishReason::name),
    }
}

fn usage(prompt_tokens: Tokens, completion_tokens: Tokens) -> Usage {
    Usage {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens + completion_tokens,
    }
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    // Serializing these plain structs into memory can't fail.
    serde_json::to_vec(value).unwrap_or_default()
}
