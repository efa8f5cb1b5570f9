//! Answers and refusals as HTTP responses.

use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame as BodyFrame;
use tokio::sync::OwnedSemaphorePermit;

use crate::connection::caller_listener::ResponseBody;
use crate::connection::completion::{Encoder, refusal_json};
use crate::prelude::*;
use crate::request::flow::{AnswerEvent, CompletionStream};
use crate::request::forward::transport::{BodyError, whole_body};
use crate::request::service::ServiceResponse;

/// Streams an answer, which keeps its prompt and thus the `memory` of the request to the end. The body drops the answer when the caller's connection closes, which cancels it everywhere.
pub(super) fn stream_response(
    answer: CompletionStream,
    encoder: Encoder,
    memory: OwnedSemaphorePermit,
) -> Response<ResponseBody> {
    let events = stream::unfold(Some((answer, memory)), move |open| {
        let encoder = encoder.clone();
        async move {
            let (mut answer, memory) = open?;
            let (bytes, rest) = match answer.next().await {
                Ok(event @ AnswerEvent::Token(_)) => {
                    (encoder.event(&event), Some((answer, memory)))
                }
                Ok(event @ AnswerEvent::End { .. }) => (encoder.event(&event), None),
                Err(refusal) => (Encoder::failure(&refusal), None),
            };
            Some((
                Ok::<_, BodyError>(BodyFrame::data(Bytes::from(bytes))),
                rest,
            ))
        }
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    set_content_type(&mut response, "text/event-stream");
    response
}

pub(super) async fn whole_response(
    mut answer: CompletionStream,
    encoder: &Encoder,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut text = String::new();
    loop {
        match answer.next().await? {
            AnswerEvent::Token(token) => text.push_str(&token),
            AnswerEvent::End {
                reason,
                prompt_tokens,
                output_tokens,
            } => {
                let body = encoder.whole(&text, reason, prompt_tokens, output_tokens);
                return Ok(json_response(body));
            }
        }
    }
}

pub(super) fn service_response(answer: ServiceResponse) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(answer.body));
    if let Ok(status) = http::StatusCode::from_u16(answer.status) {
        *response.status_mut() = status;
    }
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().append(name, value);
        }
    }
    if let Some(content_type) = &answer.content_type {
        set_content_type(&mut response, content_type);
    }
    response
}

/// Writes a refusal.
pub fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let mut response = json_response(refusal_json(refusal));
    if let Ok(status) = http::StatusCode::from_u16(refusal.kind.status()) {
        *response.status_mut() = status;
    }
    if let Some(wait) = refusal.retry_after {
        // The header has whole seconds; rounding up keeps the repeat from coming too early.
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

fn json_response(body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(Bytes::from(body)));
    set_content_type(&mut response, "application/json");
    response
}

fn set_content_type(response: &mut Response<ResponseBody>, content_type: &str) {
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
}
