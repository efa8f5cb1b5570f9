//! An HTTP client that sends requests as a caller does and measures the latency of the answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use serde_json::{Value, json};

use crate::connection::http_client::{AnswerBody, HttpClient};
use crate::prelude::*;
use crate::request::prefix::BYTES_PER_TOKEN;

/// The time without a response head or a token after which a caller gives up. The error message repeats it.
const CALLER_TIMEOUT: Duration = Duration::from_mins(1);

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer.
    Answered,
    /// A refusal that says the request did not run.
    Refused {
        /// The HTTP status of the refusal.
        status: u16,
    },
    /// A failure after which the request may have run.
    Failed {
        /// The I/O error or timeout, or the error that the router returned.
        cause: String,
    },
    /// An answer that ended without error, but without end mark or without all tokens. It must never happen.
    Truncated,
}

/// The outcome of a request and its latencies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedOutcome {
    /// How the request ended.
    pub outcome: Outcome,
    /// The time to the first token, or to the complete answer of a plain call; `None` if neither arrived.
    pub latency: Option<Duration>,
    /// The times between tokens.
    pub token_gaps: Vec<Duration>,
}

/// Sends requests as a caller does.
#[derive(Debug, Clone, Default)]
pub struct LoadClient {
    client: HttpClient,
}

impl LoadClient {
    /// Sends a streamed completion and reads its answer to the end.
    pub async fn complete(
        &self,
        address: &str,
        key: &str,
        path: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> TimedOutcome {
        let body = json!({
            "model": "forecast", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let started = Instant::now();
        let response = self.post(address, key, path, &body, None).await;
        match response {
            Err(outcome) => TimedOutcome::unanswered(outcome),
            Ok(response) => read_stream(response, started, max_tokens).await,
        }
    }

    /// Sends a plain call and reads its answer.
    pub async fn call(
        &self,
        address: &str,
        key: &str,
        path: &str,
        idempotency_key: Option<String>,
    ) -> TimedOutcome {
        let started = Instant::now();
        let body = json!({ "slot": "18:00" });
        match self.post(address, key, path, &body, idempotency_key).await {
            Err(outcome) => TimedOutcome::unanswered(outcome),
            Ok(response) => match response.into_body().collect().await {
                Ok(_) => TimedOutcome {
                    outcome: Outcome::Answered,
                    latency: Some(started.elapsed()),
                    token_gaps: Vec::new(),
                },
                Err(e) => TimedOutcome::unanswered(Outcome::Failed {
                    cause: e.to_string(),
                }),
            },
        }
    }

    async fn post(
        &self,
        address: &str,
        key: &str,
        path: &str,
        body: &Value,
        idempotency_key: Option<String>,
    ) -> Result<Response<AnswerBody>, Outcome> {
        let failed = |cause: String| Outcome::Failed { cause };
        let mut builder = Request::post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json");
        if let Some(key) = idempotency_key {
            builder = builder.header("idempotency-key", key);
        }
        let req = builder
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|e| failed(e.to_string()))?;
        let response = self.client.send(req, CALLER_TIMEOUT).await;
        let response = response.map_err(|e| failed(e.to_string()))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| failed(e.to_string()))?.to_bytes();
        let refusal: Value = serde_json::from_slice(&body).unwrap_or_default();
        if refusal["error"]["run"] == "not_run" {
            Err(Outcome::Refused {
                status: status.as_u16(),
            })
        } else {
            Err(failed(format!("{status}: {}", refusal["error"]["message"])))
        }
    }
}

impl TimedOutcome {
    fn unanswered(outcome: Outcome) -> Self {
        Self {
            outcome,
            latency: None,
            token_gaps: Vec::new(),
        }
    }
}

/// Builds a prompt of `tokens`. Prompts of the same `customer` and `prefix` differ only in their `unique` end.
pub fn prompt(customer: &CustomerId, prefix: u32, tokens: Tokens, unique: RequestId) -> String {
    let length = usize::try_from(tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let head = format!("brief {prefix:08x} of {customer} ");
    let tail = format!(" {unique:032x}");
    let fill = length.saturating_sub(head.len() + tail.len());
    let mut prompt = head.clone();
    prompt.extend(head.chars().cycle().take(fill));
    prompt + &tail
}

async fn read_stream(
    response: Response<AnswerBody>,
    started: Instant,
    max_tokens: u32,
) -> TimedOutcome {
    let mut body = response.into_body();
    let mut timed = TimedOutcome::unanswered(Outcome::Truncated);
    let mut last = started;
    let mut text = Vec::new();
    let mut tokens = 0;
    loop {
        let frame = match tokio::time::timeout(CALLER_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return timed,
            Ok(Some(Err(e))) => {
                timed.outcome = Outcome::Failed {
                    cause: e.to_string(),
                };
                return timed;
            }
            Err(_) => {
                timed.outcome = Outcome::Failed {
                    cause: "no token within a minute".to_owned(),
                };
                return timed;
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        text.extend_from_slice(&data);
        while let Some(event) = take_event(&mut text) {
            match event {
                Event::Token => {
                    let now = Instant::now();
                    if timed.latency.is_none() {
                        timed.latency = Some(now - started);
                    } else {
                        timed.token_gaps.push(now - last);
                    }
                    last = now;
                    tokens += 1;
                }
                Event::Error(cause) => timed.outcome = Outcome::Failed { cause },
                Event::Done if tokens == max_tokens => timed.outcome = Outcome::Answered,
                Event::Done | Event::Other => {}
            }
        }
    }
}

enum Event {
    Token,
    Error(String),
    Done,
    Other,
}

/// Removes the next complete server-sent event from the received bytes.
fn take_event(buf: &mut Vec<u8>) -> Option<Event> {
    let end = buf.windows(2).position(|pair| pair == b"\n\n")?;
    let event: Vec<u8> = buf.drain(..end + 2).collect();
    let data = event.strip_prefix(b"data: ").unwrap_or_default();
    if data.starts_with(b"[DONE]") {
        return Some(Event::Done);
    }
    let chunk: Value = serde_json::from_slice(data).unwrap_or_default();
    if let Some(message) = chunk["error"]["message"].as_str() {
        return Some(Event::Error(message.to_owned()));
    }
    let is_token = chunk["choices"][0]["text"]
        .as_str()
        .is_some_and(|text| !text.is_empty());
    Some(if is_token { Event::Token } else { Event::Other })
}
