//! The engine protocol over HTTP, see `docs/protocols.md`.

use std::time::Duration;

use async_trait::async_trait;
use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};

use crate::connection::http_client::{AnswerBody, HttpClient, check_status, json_request};
use crate::prelude::*;
use crate::request::engine::{
    CacheEvents, DecodeJob, EngineLoad, Order, PrefillJob, PrefillResult,
};

/// The longest line of a token stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// The time limits of engine calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineTimeouts {
    /// For a prefill, including its wait in the engine's queue. The request path sets a shorter limit that depends on
    /// the size of the prompt.
    pub prefill: Duration,
    /// From the decode request to the head of its response. The request path sets a shorter limit that depends on the
    /// size of the KV cache.
    pub transfer: Duration,
    /// Between two tokens; a longer gap counts as a dead connection.
    pub token_gap: Duration,
    /// For all other calls except orders, which carry their own timeout.
    pub control: Duration,
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        Self {
            prefill: Duration::from_mins(5),
            transfer: Duration::from_mins(1),
            token_gap: Duration::from_secs(2),
            control: Duration::from_secs(2),
        }
    }
}

/// The body of a call that resumes a token stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResumeBody {
    /// The request whose stream broke off.
    pub request: RequestId,
    /// The number of the attempt that resumes it.
    pub attempt: AttemptNo,
    /// The offset in tokens of the first one to send.
    pub offset: u32,
}

/// The body of a call that frees what an engine holds for a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelBody {
    /// The request to cancel.
    pub request: RequestId,
    /// The newest attempt to cancel; older ones are cancelled with it.
    pub attempt: AttemptNo,
}

/// An empty JSON object: the response to cancels and orders.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct EmptyResponse {}

/// An engine reached over HTTP.
pub struct HttpEngine {
    base: String,
    client: HttpClient,
    timeouts: EngineTimeouts,
}

impl HttpEngine {
    /// Creates a client for the engine at `address` (`host:port`).
    pub fn new(address: &str, client: HttpClient, timeouts: EngineTimeouts) -> Self {
        Self {
            base: format!("http://{address}/v1"),
            client,
            timeouts,
        }
    }

    async fn stream(
        &self,
        path: &str,
        body: &(impl Serialize + Sync),
        timeout: Duration,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        let req = json_request(&format!("{}/{path}", self.base), body)?;
        let response = self.client.send(req, timeout).await?;
        let response = check_status(response).await?;
        Ok(Box::new(JsonLineStream {
            body: response.into_body(),
            buf: BytesMut::new(),
            token_gap: self.timeouts.token_gap,
        }))
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn prefill(&self, job: PrefillJob) -> Result<PrefillResult, UpstreamError> {
        let uri = format!("{}/prefill", self.base);
        let result: PrefillResult = self
            .client
            .post_json(&uri, &job, self.timeouts.prefill)
            .await?;
        if (result.request, result.attempt) != (job.request, job.attempt) {
            let cause = "answer belongs to another request";
            return Err(UpstreamError::may_have_run(
                UpstreamErrorKind::Invalid,
                cause,
            ));
        }
        Ok(result)
    }

    async fn decode(&self, job: DecodeJob) -> Result<Box<dyn TokenStream>, UpstreamError> {
        let timeout = self.timeouts.transfer;
        self.stream("decode", &job, timeout).await
    }

    async fn resume(
        &self,
        request: RequestId,
        attempt: AttemptNo,
        offset: u32,
    ) -> Result<Box<dyn TokenStream>, UpstreamError> {
        let body = ResumeBody {
            request,
            attempt,
            offset,
        };
        let timeout = self.timeouts.control;
        self.stream("resume", &body, timeout).await
    }

    async fn cancel(&self, request: RequestId, attempt: AttemptNo) -> Result<(), UpstreamError> {
        let uri = format!("{}/cancel", self.base);
        let body = CancelBody { request, attempt };
        let _: EmptyResponse = self
            .client
            .post_json(&uri, &body, self.timeouts.control)
            .await?;
        Ok(())
    }

    async fn load(&self) -> Result<EngineLoad, UpstreamError> {
        let uri = format!("{}/load", self.base);
        self.client.get_json(&uri, self.timeouts.control).await
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, UpstreamError> {
        let uri = format!("{}/cache?from={from}", self.base);
        self.client.get_json(&uri, self.timeouts.control).await
    }

    async fn order(&self, order: Order) -> Result<(), UpstreamError> {
        let uri = format!("{}/order", self.base);
        let timeout = order.timeout;
        let _: EmptyResponse = self.client.post_json(&uri, &order, timeout).await?;
        Ok(())
    }
}

/// A token stream with one JSON frame per line.
struct JsonLineStream {
    body: AnswerBody,
    buf: BytesMut,
    token_gap: Duration,
}

impl JsonLineStream {
    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        Some(line)
    }
}

#[async_trait]
impl TokenStream for JsonLineStream {
    async fn next(&mut self) -> Result<Frame, UpstreamError> {
        let broken = |cause: &dyn std::fmt::Display| {
            UpstreamError::may_have_run(UpstreamErrorKind::Broken, cause)
        };
        loop {
            if let Some(line) = self.take_line() {
                return serde_json::from_slice(&line)
                    .map_err(|e| UpstreamError::may_have_run(UpstreamErrorKind::Invalid, e));
            }
            if self.buf.len() > MAX_LINE_BYTES {
                let cause = "stream line too long";
                return Err(UpstreamError::may_have_run(
                    UpstreamErrorKind::Invalid,
                    cause,
                ));
            }
            match tokio::time::timeout(self.token_gap, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
                Ok(Some(Err(e))) => return Err(broken(&e)),
                Ok(None) => return Err(broken(&"stream ended without end mark")),
                Err(_) => {
                    let cause = format!("no token for {:?}", self.token_gap);
                    return Err(UpstreamError::may_have_run(
                        UpstreamErrorKind::Timeout,
                        cause,
                    ));
                }
            }
        }
    }
}
