//! One host with emulated upstreams, for tests of the whole request path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde_json::Value;

use hibiscusspread::connection::http_client::HttpClient;
use hibiscusspread::emulator::booking::BookingEmulator;
use hibiscusspread::emulator::engine::{EngineEmulator, EngineSettings};
use hibiscusspread::emulator::http::EmulatorServer;
use hibiscusspread::process::node::Node;

use crate::engine_fleet::Fleet;

/// The key of the bench's customer.
pub const KEY: &str = "test-key-5e1f";

/// A host with one prefill engine, one decode engine and one booking service.
pub struct Bench {
    /// The host.
    pub node: Node,
    /// The prefill engine.
    pub prefill: Arc<EngineEmulator>,
    /// The decode engine.
    pub decode: Arc<EngineEmulator>,
    /// The booking service.
    pub booking: Arc<BookingEmulator>,
    servers: Vec<EmulatorServer>,
}

/// An answer as a caller sees it.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

impl Answer {
    /// Returns the `error` object of the body.
    pub fn refusal(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).expect("refusal is JSON");
        body["error"].clone()
    }

    /// Returns the text of a streamed completion.
    pub fn streamed_text(&self) -> String {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }
}

/// Posts JSON to the callers' address of a host.
pub async fn post(host: SocketAddr, headers: &[(&str, &str)], path: &str, body: &str) -> Answer {
    let mut req = Request::post(format!("http://{host}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req
        .header("content-type", "application/json")
        .body(Full::from(body.to_owned()))
        .expect("request is valid");
    let response = HttpClient::default()
        .send(req, Duration::from_secs(20))
        .await
        .expect("host answers");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let body = body.expect("answer is whole").to_bytes();
    Answer {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

impl Bench {
    /// Starts a bench with default engines.
    pub async fn start() -> Self {
        Self::with_engines(EngineSettings::default()).await
    }

    /// Starts a bench with engines of these settings.
    pub async fn with_engines(settings: EngineSettings) -> Self {
        let mut fleet = Fleet::start(1, settings).await;
        let [prefill, decode] = [&mut fleet.prefill, &mut fleet.decode].map(|list| list.remove(0));
        let booking = fleet.bookings.remove(0);
        Self {
            node: fleet.node,
            prefill: prefill.engine,
            decode: decode.engine,
            booking: booking.booking,
            servers: vec![prefill.server, decode.server, booking.server],
        }
    }

    /// Posts JSON with the bench's key.
    pub async fn post(&self, path: &str, body: &str) -> Answer {
        self.post_with_key(KEY, path, body).await
    }

    /// Posts JSON with a key.
    pub async fn post_with_key(&self, key: &str, path: &str, body: &str) -> Answer {
        self.post_with_headers(key, &[], path, body).await
    }

    /// Posts JSON with the bench's key and an idempotency key.
    pub async fn post_once(&self, idempotency_key: &str, path: &str, body: &str) -> Answer {
        let headers = [("idempotency-key", idempotency_key)];
        self.post_with_headers(KEY, &headers, path, body).await
    }

    async fn post_with_headers(
        &self,
        key: &str,
        headers: &[(&str, &str)],
        path: &str,
        body: &str,
    ) -> Answer {
        let key = format!("Bearer {key}");
        let headers = headers.iter().copied();
        let headers: Vec<_> = headers.chain([("authorization", key.as_str())]).collect();
        post(self.node.callers_address, &headers, path, body).await
    }

    /// Stops all upstreams, so that connections to them are refused.
    pub async fn stop_upstreams(&self) {
        for server in &self.servers {
            server.stop().await;
        }
    }

    /// Returns the number of prefills that were run.
    pub fn prefills(&self) -> u64 {
        self.prefill.counters().prefills
    }
}
