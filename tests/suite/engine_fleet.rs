//! One host with several emulated engines and booking services, into which tests inject faults.

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
use hibiscusspread::version::key::{format_hash, hash_key};

use crate::fixtures::{compiled, versions};
use crate::support::KEY;

/// The timeout for requests and conditions; only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The prompt of most completions in tests.
pub const PROMPT: &str = "Coast tonight, from the long brief";

/// An emulated engine with its server.
pub struct RunningEngine {
    /// The engine, for faults and counters.
    pub engine: Arc<EngineEmulator>,
    /// Stops when it is dropped.
    pub server: EmulatorServer,
}

/// An emulated booking service with its server.
pub struct RunningBooking {
    /// The service, for faults and its ledger.
    pub booking: Arc<BookingEmulator>,
    /// Stops when it is dropped.
    pub server: EmulatorServer,
}

/// A host with its engines and booking services.
pub struct Fleet {
    /// The host under test.
    pub node: Node,
    /// The prefill engines, as many as decode engines.
    pub prefill: Vec<RunningEngine>,
    /// The decode engines, as many as prefill engines.
    pub decode: Vec<RunningEngine>,
    /// The instances of the booking service, one for each pair of engines.
    pub bookings: Vec<RunningBooking>,
    /// The configuration document of version 1.
    document: String,
}

impl Fleet {
    /// Starts a host with `pairs` prefill engines and as many decode engines and booking services.
    pub async fn start(pairs: usize, engines: EngineSettings) -> Self {
        Self::with_settings(pairs, engines, Settings::default()).await
    }

    /// Starts a host like `start`, with other settings of the host.
    pub async fn with_settings(pairs: usize, engines: EngineSettings, settings: Settings) -> Self {
        let mut document = format!(
            "[t/fleet/main]\ndata_centres = a\n\
             [t/customer/c]\nrate = 100000\nburst = 100000\n\
             [t/key/k]\ncustomer = c\nhash = {}\n\
             [t/route/completions]\npath = /v1\n\
             [t/route/bookings]\npath = /bookings\nservice = booking\nrepeatable = no\n\
             [t/route/status]\npath = /status\nservice = booking\nrepeatable = yes\n",
            format_hash(&hash_key(KEY)),
        );
        let mut add = |name: String, role: &str, model: &str, server: &EmulatorServer| {
            write!(
                document,
                "[t/upstream/{name}]\naddress = {}\ndata_centre = a\nrole = {role}\nmodel = {model}\n",
                server.address()
            )
            .expect("writing to a string succeeds");
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

    /// Puts a configuration in force from which the fleet's key was removed.
    pub fn withdraw_key(&self) {
        let other = format_hash(&hash_key("another key"));
        let document = self.document.replace(&format_hash(&hash_key(KEY)), &other);
        self.node.versions.advance(compiled(2, &document));
    }

    /// Requests a streamed completion of `count` tokens and returns when the response head arrives.
    pub async fn open_stream(&self, prompt: &str, count: u32) -> Stream {
        let body = completion(prompt, count);
        let response = self.send(self.request("/v1/completions", body)).await;
        Stream {
            response,
            text: String::new(),
        }
    }

    /// Starts a streamed completion in a task. Aborting the task disconnects the caller.
    pub fn start_completion(&self, prompt: &str, count: u32) -> tokio::task::JoinHandle<()> {
        let req = self.request("/v1/completions", completion(prompt, count));
        tokio::spawn(async move {
            let response = HttpClient::default().send(req, TEST_TIMEOUT).await;
            let _ = response.expect("host answers").into_body().collect().await;
        })
    }

    /// Runs a completion and asserts that its answer is complete.
    pub async fn complete(&self, prompt: &str, count: u32) {
        let received = self.open_stream(prompt, count).await.read_all().await;
        received.assert_whole(prompt, count);
    }

    /// Runs completions of different prompts concurrently and asserts that all answers are complete.
    pub async fn complete_concurrently(&self, requests: usize, count: u32) {
        let prompts = (0..requests).map(|k| format!("brief {k}, for the coast tonight"));
        let calls = prompts.map(|prompt| async move { self.complete(&prompt, count).await });
        futures_util::future::join_all(calls).await;
    }

    /// Builds a POST request with a JSON body and the fleet's key.
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

    /// Returns the prefill engines, then the decode engines.
    pub fn engines(&self) -> impl Iterator<Item = &RunningEngine> {
        self.prefill.iter().chain(&self.decode)
    }

    /// Waits until no engine holds memory or a queue position for a request.
    pub async fn wait_until_free(&self) {
        for running in self.engines() {
            let free = running.engine.wait_for(|counters| counters.held == 0);
            let free = tokio::time::timeout(TEST_TIMEOUT, free).await;
            assert!(
                free.is_ok(),
                "engine memory not freed: {:?}",
                running.engine.counters()
            );
        }
    }

    /// Returns the sum of a counter over all engines.
    pub fn sum(&self, counter: impl Fn(&EngineCounters) -> u64) -> u64 {
        self.engines().map(|e| counter(&e.engine.counters())).sum()
    }
}

/// Injects the same faults into several engines.
pub fn set_faults(engines: &[RunningEngine], set: impl Fn(&mut EngineFaults)) {
    for running in engines {
        let mut faults = EngineFaults::default();
        set(&mut faults);
        running.engine.set_faults(faults);
    }
}

/// Returns the request body of a streamed completion.
pub fn completion(prompt: &str, count: u32) -> String {
    serde_json::json!({
        "model": "forecast", "prompt": prompt, "max_tokens": count, "stream": true
    })
    .to_string()
}

/// A streamed response as its caller reads it.
pub struct Stream {
    /// The response head and the body not yet read.
    pub response: Response<AnswerBody>,
    /// The body read so far.
    text: String,
}

impl Stream {
    /// Reads until at least `count` events were received.
    pub async fn read_tokens(&mut self, count: usize) {
        while self.text.matches("data: ").count() < count {
            let frame = tokio::time::timeout(TEST_TIMEOUT, self.response.frame()).await;
            let frame = frame.expect("tokens arrive").expect("stream continues");
            let data = frame.expect("stream is not broken off").into_data();
            self.text += &String::from_utf8_lossy(&data.expect("frame has data"));
        }
    }

    /// Reads to the end and returns the whole body, including what `read_tokens` has read.
    pub async fn read_all(mut self) -> Received {
        let rest = tokio::time::timeout(TEST_TIMEOUT, self.response.collect()).await;
        let rest = rest
            .expect("stream ends")
            .expect("stream is not broken off");
        self.text += &String::from_utf8_lossy(&rest.to_bytes());
        Received(self.text)
    }
}

/// The server-sent events of a response body.
pub struct Received(pub String);

impl Received {
    /// Returns the text of the completion from all events.
    pub fn text(&self) -> String {
        self.events()
            .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }

    /// Returns the error event, if there is one.
    pub fn error(&self) -> Option<Value> {
        self.events().find_map(|event| event.get("error").cloned())
    }

    /// Returns whether the body ends with the end mark.
    pub fn is_done(&self) -> bool {
        self.0.ends_with("data: [DONE]\n\n")
    }

    /// Asserts that the answer consists of exactly the expected tokens and the end mark.
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

/// Returns settings with which a request for `PROMPT` stays in each phase long enough to observe it there.
pub fn slow_engines() -> EngineSettings {
    EngineSettings {
        prefill_rate: 30,
        token_interval: Duration::from_millis(20),
        ..EngineSettings::default()
    }
}

/// Waits until `wanted` accepts an engine's counters.
pub async fn wait_for(engine: &EngineEmulator, wanted: impl Fn(&EngineCounters) -> bool) {
    let reached = tokio::time::timeout(TEST_TIMEOUT, engine.wait_for(wanted)).await;
    assert!(
        reached.is_ok(),
        "counters not reached: {:?}",
        engine.counters()
    );
}
