//! The HTTP API for callers: completions and calls to plain services.

pub mod response;

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use tokio::sync::OwnedSemaphorePermit;

use crate::connection::caller::response::{service_response, stream_response, whole_response};
use crate::connection::caller_body::BodyReader;
use crate::connection::caller_listener::{CallerHandler, CallerSettings, ResponseBody};
use crate::connection::completion::{CompletionApi, CompletionEncoder, parse_request};
use crate::connection::service::{
    IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, forwarded_request_headers,
};
use crate::prelude::*;
use crate::request::flow::{
    Envelope, RequestContext, admit_envelope, run_service, start_completion,
};
use crate::request::record::RequestRecord;
use crate::request::service::ServiceCall;
use crate::version::key::hash_key;

pub use crate::connection::caller::response::refusal_response;

/// Handles callers' requests to engines and plain services.
pub struct ApiHandler {
    cx: Arc<RequestContext>,
    bodies: BodyReader,
}

impl ApiHandler {
    /// Creates a handler with the body limits of `settings`.
    pub fn new(cx: Arc<RequestContext>, settings: &CallerSettings) -> Arc<Self> {
        Arc::new(Self {
            cx,
            bodies: BodyReader::new(settings),
        })
    }

    async fn dispatch(
        &self,
        request: RequestId,
        req: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (head, body) = req.into_parts();
        let mut envelope = Envelope {
            request,
            path: head.uri.path().to_owned(),
            key_hash: bearer_key(&head.headers).map(|key| hash_key(&key)),
            idempotency_key: None,
        };
        let received = self
            .check_and_read(&mut envelope, &head.headers, body)
            .await;
        let (body, memory) = self.record_refusal(&envelope, received)?;
        let api = CompletionApi::from_path(&envelope.path);
        if let (Some(api), &Method::POST) = (api, &head.method) {
            return self.serve_completion(envelope, api, &body, memory).await;
        }
        let call = ServiceCall {
            request: envelope.request,
            method: head.method.to_string(),
            path: head
                .uri
                .path_and_query()
                .map_or_else(String::new, ToString::to_string),
            content_type: header(&head.headers, CONTENT_TYPE.as_str()),
            idempotency_key: envelope.idempotency_key.clone(),
            headers: forwarded_request_headers(&head.headers),
            body,
        };
        let answer = run_service(self.cx.clone(), envelope, call).await;
        drop(memory);
        Ok(service_response(answer?))
    }

    /// Checks the head of a request, then reads its body. The checks come first, so that unauthenticated callers can't
    /// make the host hold bodies in memory.
    async fn check_and_read(
        &self,
        envelope: &mut Envelope,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
        envelope.idempotency_key = idempotency_key(headers)?;
        let admitted = admit_envelope(&self.cx, &self.cx.versions.current(), envelope);
        if let Err(refusal) = admitted {
            self.bodies.discard(body).await;
            return Err(refusal);
        }
        self.bodies.read(body).await
    }

    /// Records a refusal by the handler itself; the request path records its own.
    fn record_refusal<T>(
        &self,
        envelope: &Envelope,
        result: Result<T, Refusal>,
    ) -> Result<T, Refusal> {
        result.inspect_err(|refusal| {
            let mut record = RequestRecord::start(&self.cx, envelope);
            let admitted = admit_envelope(&self.cx, &self.cx.versions.current(), envelope);
            record.set_customer(admitted.ok().and_then(|admitted| admitted.customer));
            record.refused(refusal);
        })
    }

    async fn serve_completion(
        &self,
        envelope: Envelope,
        api: CompletionApi,
        body: &[u8],
        memory: OwnedSemaphorePermit,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let (job, streamed) = self.record_refusal(&envelope, parse_request(api, body))?;
        let now = self.cx.clock.wall_time();
        let encoder = CompletionEncoder::new(api, envelope.request, job.model.clone(), now);
        let answer = start_completion(self.cx.clone(), envelope, job).await?;
        if streamed {
            Ok(stream_response(answer, encoder, memory))
        } else {
            whole_response(answer, &encoder).await
        }
    }
}

#[async_trait]
impl CallerHandler for ApiHandler {
    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let request = rand::random();
        let mut response = self.dispatch(request, req).await.unwrap_or_else(|refusal| {
            log::info!(request:% = format!("{request:032x}"), kind = refusal.kind.name(), run:? = refusal.run; "request refused: {}", refusal.message);
            refusal_response(&refusal)
        });
        if let Ok(value) = HeaderValue::from_str(&format!("{request:032x}")) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Returns the idempotency key. An unreadable key is refused: treated as absent, the call could run twice.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match (value.to_str(), values.next()) {
        (Ok(key), None) if !key.is_empty() => Ok(Some(key.to_owned())),
        _ => {
            let message = "Idempotency-Key must be one header of visible ASCII characters";
            Err(Refusal::not_run(RefusalKind::InvalidRequest, message))
        }
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}
