//! The server side of the engine protocol, see `docs/protocols.md`.

use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use hyper::Response;
use serde::de::DeserializeOwned;

use crate::connection::engine::{CancelBody, EmptyResponse};
use crate::emulator::engine::{EngineEmulator, refuse};
use crate::emulator::http::{Body, BufferedRequest, Handler, json};
use crate::request::engine::{EngineLoad, Order};

pub(super) struct EngineHandler(pub Arc<EngineEmulator>);

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(&self, req: BufferedRequest) -> Option<Response<Body>> {
        let engine = self.0.clone();
        let path = req.uri().path().to_owned();
        if let Some(kv) = path.strip_prefix("/v1/kv/") {
            return Some(engine.export(kv));
        }
        match path.as_str() {
            "/v1/prefill" => match parse(&req) {
                Ok(job) => engine.prefill(job).await,
                Err(refusal) => Some(*refusal),
            },
            "/v1/decode" => match parse(&req) {
                Ok(job) => engine.decode(job).await,
                Err(refusal) => Some(*refusal),
            },
            "/v1/order" => match parse(&req) {
                Ok(order) => engine.order(order).await,
                Err(refusal) => Some(*refusal),
            },
            "/v1/resume" => {
                Some(parse(&req).map_or_else(|refusal| *refusal, |body| engine.resume(&body)))
            }
            "/v1/cancel" => {
                Some(parse(&req).map_or_else(|refusal| *refusal, |body| engine.cancel(&body)))
            }
            "/v1/load" => Some(engine.load()),
            "/v1/cache" => Some(engine.cache_events(req.uri().query())),
            _ => Some(refuse(404, "unknown path")),
        }
    }
}

impl EngineEmulator {
    fn cancel(&self, body: &CancelBody) -> Response<Body> {
        self.state()
            .cancel(body.request, body.attempt, Instant::now());
        self.changed.notify_waiters();
        json(200, &EmptyResponse {})
    }

    fn load(&self) -> Response<Body> {
        let (at, load) = self.state().load_report.clone();
        let age = Instant::now().saturating_duration_since(at);
        json(200, &EngineLoad { age, ..load })
    }

    fn cache_events(&self, query: Option<&str>) -> Response<Body> {
        let from = query.and_then(|query| query.strip_prefix("from="));
        match from.and_then(|from| from.parse().ok()) {
            Some(from) => json(200, &self.state().prefix_cache.events(from, Instant::now())),
            None => refuse(400, "from=N missing"),
        }
    }

    /// Executes an order, which takes `model_load_time`. New work is refused meanwhile. Loading continues after the
    /// order controller's connection breaks.
    async fn order(self: Arc<Self>, order: Order) -> Option<Response<Body>> {
        let incarnation = {
            let mut state = self.state();
            if self.settings.checks_fence && order.fence < state.highest_fence {
                return Some(refuse(412, "newer fencing number seen"));
            }
            if state.loading {
                return Some(refuse(503, "another order is being carried out"));
            }
            state.highest_fence = state.highest_fence.max(order.fence);
            if state
                .last_order
                .as_ref()
                .is_some_and(|s| has_same_target(s, &order))
            {
                return Some(json(200, &EmptyResponse {}));
            }
            if self.settings.model_load_time > order.timeout {
                return Some(refuse(409, "loading takes longer than the order's timeout"));
            }
            state.loading = true;
            state.incarnation
        };
        let loading = tokio::spawn(async move {
            tokio::time::sleep(self.settings.model_load_time).await;
            let mut state = self.state();
            if state.incarnation != incarnation {
                return None;
            }
            state.loading = false;
            state.last_order = Some(order);
            state.counters.orders += 1;
            drop(state);
            self.changed.notify_waiters();
            Some(json(200, &EmptyResponse {}))
        });
        loading.await.ok().flatten()
    }
}

/// Returns whether two orders lead to the same state of the engine.
fn has_same_target(a: &Order, b: &Order) -> bool {
    (&a.model, &a.model_version, &a.adapters, &a.role)
        == (&b.model, &b.model_version, &b.adapters, &b.role)
}

fn parse<T: DeserializeOwned>(req: &BufferedRequest) -> Result<T, Box<Response<Body>>> {
    serde_json::from_slice(req.body()).map_err(|e| Box::new(refuse(400, &e.to_string())))
}
