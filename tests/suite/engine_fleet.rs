//! One host with several stand-in engines and booking runners whose faults tests switch on.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use serde_json::Value;

use hibiscusspread::connection::http_client::{AnswerBody, HttpClient};
use hibiscusspread::emulator::booking::BookingEmulator;
use hibiscusspread::emulator::engine::{
    EngineCounters, EngineEmulator, EngineFaults, EngineSettings,
};
use hibiscusspread::emulator::http::{EmulatorServer, any_loopback};
use hibiscusspread::process::node::Node;
use hibiscusspread::process::settings::Settings;
use hibiscusspread::version::key::{hash_key, write_hash};

use crate::fixtures::{compiled, versions};
use crate::support::KEY;

/// The bound on waits for a condition; only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The prompt of the tests' completions.
pub const PROMPT: &str = "Coast tonight, from the long brief";

/// A stand-in engine with its server.
pub struct RunningEngine {
    /// The engine.
    pub engine: Arc<EngineEmulator>,
    /// Its server.
    pub server: EmulatorServer,
}

/// A stand-in booking runner with its server.
pub struct RunningBooking {
    /// The runner.
    pub booking: Arc<BookingEmulator>,
    /// Its server.
    pub server: EmulatorServer,
}

/// A host with engines and booking runners.
pub struct Fleet {
    /// The host.
    pub node: Node,
    /// The prefill engines.
    pub prefill: Vec<RunningEngine>,
    /// The decode engines.
    pub decode: Vec<RunningEngine>,
    /// The booking runners.
    pub bookings: Vec<RunningBooking>,
    /// The configuration document.
    document: String,
}

impl Fleet {
    /// Starts a host with `pairs` prefill and decode engines and as many booking runners.
    pub async fn start(pairs: usize, engines: EngineSettings) -> Self {
        Self::with_settings(pairs, engines, Settings::default()).await
    }

    /// Starts a host with these settings.
    pub async fn with_settings(pairs: usize, engines: EngineSettings, settings: Settings) -> Self {
        let mut document = format!(
            "[t/fleet/main]\ndata_centres = a\n\
             [t/customer/c]\nrate = 100000\nburst = 100000\n\
             [t/key/k]\ncustomer = c\nhash = {}\n\
             [t/route/completions]\npath = /v1\n\
             [t/route/bookings]\npath = /bookings\nservice = booking\nrepeatable = no\n\
             [t/route/status]\npath = /status\nservice = booking\nrepeatable = yes\n",
            write_hash(&hash_key(KEY)),
        );
        let mut add = |name: String, role: &str, model: &str, server: &EmulatorServer| {
            write!(
                document,
                "[t/upstream/{name}]\naddress = {}\ndata_centre = a\nrole = {role}\nmodel = {model}\n",
                server.address()
            )
            .expect("text is written");
        };
        let (mut prefill, mut decode, mut bookings) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..pairs {
            for (role, list) in [("prefill", &mut prefill), ("decode", &mut decode)] {
                let engine = EngineEmulator::new(engines.clone());
                let server = engine.start(any_loopback()).await.expect("loopback binds");
                add(format!("{role}-{index}"), role, "forecast", &server);
                list.push(RunningEngine { engine, server });
            }
            let booking = BookingEmulator::new();
            let server = booking.start(any_loopback()).await.expect("loopback binds");
            add(format!("booking-{index}"), "service", "booking", &server);
            bookings.push(RunningBooking { booking, server });
        }
        let versions = versions(&document);
        let settings = Settings {
            callers_address: any_loopback(),
            ..settings
        };
        let node = Node::start(settings, versions).await.expect("host starts");
        Self {
            node,
            prefill,
            decode,
            bookings,
            document,
        }
    }

    /// Puts a configuration in force in which the fleet's key is withdrawn.
    pub fn withdraw_key(&self) {
        let other = write_hash(&hash_key("another key"));
        let document = self.document.replace(&write_hash(&hash_key(KEY)), &other);
        self.node.versions.advance(compiled(2, &document));
    }

    /// Opens a streamed completion of `count` tokens and returns once its answer begins.
    pub async fn open(&self, prompt: &str, count: u32) -> Stream {
        let body = completion(prompt, count);
        let response = self.send(self.request("/v1/completions", body)).await;
        Stream {
            response,
            text: String::new(),
        }
    }

    /// Starts a streamed completion without waiting for its answer. Aborting the task makes the caller leave.
    pub fn begin(&self, prompt: &str, count: u32) -> tokio::task::JoinHandle<()> {
        let req = self.request("/v1/completions", completion(prompt, count));
        tokio::spawn(async move {
            let response = HttpClient::default().send(req, TEST_TIMEOUT).await;
            let _ = response.expect("host answers").into_body().collect().await;
        })
    }

    /// Runs a completion that must be whole.
    pub async fn complete(&self, prompt: &str, count: u32) {
        let received = self.open(prompt, count).await.read_all().await;
        received.assert_whole(prompt, count);
    }

    /// Runs completions of different prompts at once, all of which must be whole.
    pub async fn complete_concurrently(&self, requests: usize, count: u32) {
        let prompts = (0..requests).map(|k| format!("brief {k}, for the coast tonight"));
        let calls = prompts.map(|prompt| async move { self.complete(&prompt, count).await });
        futures_util::future::join_all(calls).await;
    }

    /// Builds a POST of JSON with the fleet's key.
    pub fn request(&self, path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
        Request::post(format!("http://{}{path}", self.node.callers_address))
            .header("authorization", format!("Bearer {KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .expect("request is valid")
    }

    /// Sends a request to the host.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Response<AnswerBody> {
        let sent = HttpClient::default().send(req, TEST_TIMEOUT).await;
        sent.expect("host answers")
    }

    /// Returns all engines.
    pub fn engines(&self) -> impl Iterator<Item = &RunningEngine> {
        self.prefill.iter().chain(&self.decode)
    }

    /// Waits until no engine holds anything.
    pub async fn wait_until_free(&self) {
        for running in self.engines() {
            let free = running.engine.wait_for(|counters| counters.held == 0);
            let free = tokio::time::timeout(TEST_TIMEOUT, free).await;
            assert!(
                free.is_ok(),
                "engine memory stays held: {:?}",
                running.engine.counters()
            );
        }
    }

    /// Returns the sum of a counter over all engines.
    pub fn sum(&self, counter: impl Fn(&EngineCounters) -> u64) -> u64 {
        self.engines().map(|e| counter(&e.engine.counters())).sum()
    }
}

/// Sets the same faults at several engines.
pub fn set_faults(engines: &[RunningEngine], set: impl Fn(&mut EngineFaults)) {
    for running in engines {
        let mut faults = EngineFaults::default();
        set(&mut faults);
        running.engine.set_faults(faults);
    }
}

/// Writes the body of a streamed completion.
pub fn completion(prompt: &str, count: u32) -> String {
    serde_json::json!({
        "model": "forecast", "prompt": prompt, "max_tokens": count, "stream": true
    })
    .to_string()
}

/// A streamed answer as its caller reads it.
pub struct Stream {
    /// The answer.
    pub response: Response<AnswerBody>,
    text: String,
}

impl Stream {
    /// Reads on until the answer has at least `count` tokens.
    pub async fn read_tokens(&mut self, count: usize) {
        while self.text.matches("data: ").count() < count {
            let frame = tokio::time::timeout(TEST_TIMEOUT, self.response.frame()).await;
            let frame = frame.expect("tokens come").expect("stream goes on");
            let data = frame.expect("stream is whole").into_data();
            self.text += &String::from_utf8_lossy(&data.expect("frame has data"));
        }
    }

    /// Reads to the end and returns all that was received.
    pub async fn read_all(mut self) -> Received {
        let rest = tokio::time::timeout(TEST_TIMEOUT, self.response.collect()).await;
        let rest = rest.expect("stream ends").expect("stream is whole");
        self.text += &String::from_utf8_lossy(&rest.to_bytes());
        Received(self.text)
    }
}

/// All server-sent events of an answer.
pub struct Received(pub String);

impl Received {
    /// Returns the text of the completion.
    pub fn text(&self) -> String {
        self.events()
            .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }

    /// Returns the error event, if there is one.
    pub fn error(&self) -> Option<Value> {
        self.events().find_map(|event| event.get("error").cloned())
    }

    /// Tells whether the end mark came.
    pub fn is_done(&self) -> bool {
        self.0.ends_with("data: [DONE]\n\n")
    }

    /// Asserts that the answer is whole and exact.
    pub fn assert_whole(&self, prompt: &str, count: u32) {
        assert_eq!(self.error(), None, "answer has an error event");
        assert_eq!(self.text(), EngineEmulator::expected_text(prompt, count));
        assert!(self.is_done(), "no end mark: {}", self.0);
    }

    fn events(&self) -> impl Iterator<Item = Value> {
        let data = self
            .0
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str(data).ok())
    }
}

/// Engines on which a request of `PROMPT` stays long enough in each phase to be caught there.
pub fn slow_engines() -> EngineSettings {
    EngineSettings {
        prefill_rate: 30,
        token_interval: Duration::from_millis(20),
        ..EngineSettings::default()
    }
}

/// Waits until an engine's counters are as wanted.
pub async fn wait_for(engine: &EngineEmulator, wanted: impl Fn(&EngineCounters) -> bool) {
    let reached = tokio::time::timeout(TEST_TIMEOUT, engine.wait_for(wanted)).await;
    assert!(reached.is_ok(), "not reached: {:?}", engine.counters());
}
