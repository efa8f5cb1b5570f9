//! The HTTP handler of requests that are forwarded whole.

use std::sync::Arc;

use async_trait::async_trait;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::connection::caller::refusal_response;
use crate::connection::caller_body::BodyReader;
use crate::connection::caller_listener::{CallerHandler, CallerSettings, ResponseBody};
use crate::connection::headers::remove_hop_by_hop_headers;
use crate::prelude::*;
use crate::request::forward::call::{Call, CallHead};
use crate::request::forward::flow::{
    Admitted, ForwardContext, STOPPING_RETRY_AFTER, admit, late_refusal, run,
};
use crate::request::forward::record::ForwardRecord;

/// Handles callers' requests by forwarding them whole to upstreams.
pub struct ForwardHandler {
    cx: Arc<ForwardContext>,
    bodies: BodyReader,
}

impl ForwardHandler {
    /// Creates a handler with the body limits of `settings`.
    pub fn new(cx: Arc<ForwardContext>, settings: &CallerSettings) -> Arc<Self> {
        Arc::new(Self {
            cx,
            bodies: BodyReader::new(settings),
        })
    }

    async fn dispatch(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = self.cx.clock.now();
        let (parts, body) = req.into_parts();
        let head = match self.cx.codec.read_call(&parts) {
            Ok(head) => head,
            Err(refusal) => {
                self.bodies.discard(body).await;
                log::info!(target: "request", "id=- outcome=refused: {refusal}");
                return refusal_response(&refusal);
            }
        };
        let table = self.cx.state.config.current();
        let clock = self.cx.clock.clone();
        let record = ForwardRecord::start(clock, &head, table.version, arrived);
        let admitted = match admit(&table, &head, parts.uri.path()) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.bodies.discard(body).await;
                return self.refuse(&head, record, &refusal);
            }
        };
        let Admitted { route, customer } = admitted;
        let patience = head.timeout.unwrap_or(self.cx.settings.default_deadline);
        let patience = route
            .timeout
            .map_or(patience, |timeout| timeout.min(patience));
        let deadline = arrived + patience;
        let body = tokio::select! {
            biased;
            body = self.bodies.read(body) => body,
            () = tokio::time::sleep_until(deadline.into()) => Err(late_refusal(&self.cx)),
            () = self.cx.state.wait_for_drain_deadline() => {
                let message = "host stopped before the body had arrived; repeat at once, on a new connection";
                let refusal = Refusal::not_run(RefusalKind::Unavailable, message);
                Err(refusal.with_retry_after(STOPPING_RETRY_AFTER))
            }
        };
        let body = match body {
            Ok(body) => body,
            Err(refusal) => return self.refuse(&head, record, &refusal),
        };
        let (body, memory) = body;
        let id = head.id.clone();
        let call = Arc::new(Call {
            head,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            route,
            customer,
            deadline,
            arrived,
        });
        let response = run(self.cx.clone(), call, record).await;
        drop(memory);
        match response {
            Ok(mut response) => {
                remove_hop_by_hop_headers(response.headers_mut());
                response
            }
            Err(refusal) => self.answer_refusal(&id, &refusal),
        }
    }

    fn refuse(
        &self,
        head: &CallHead,
        record: ForwardRecord,
        refusal: &Refusal,
    ) -> Response<ResponseBody> {
        record.refused(refusal);
        self.answer_refusal(&head.id, refusal)
    }

    /// Builds the response for a refusal by the router itself.
    fn answer_refusal(&self, id: &str, refusal: &Refusal) -> Response<ResponseBody> {
        let mut response = refusal_response(refusal);
        let codec = &self.cx.codec;
        // Random jitter: callers that were refused together retry spread over a fifth of their wait.
        let wait = refusal
            .retry_after
            .map(|wait| wait.mul_f64(rand::random_range(1.0..1.2)));
        if let Some(value) = wait.and_then(|wait| codec.retry_after(wait)) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        if let Some((name, value)) = codec.request_id_header(id) {
            response.headers_mut().insert(name, value);
        }
        response
    }
}

#[async_trait]
impl CallerHandler for ForwardHandler {
    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let mut response = self.dispatch(req).await;
        if self.cx.state.drain_deadline().is_some() {
            // The host is draining: the connection closes after this response.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}
