//! Stand-ins of runners: engines that prefill or decode, and plain services.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, json_answer};
use crate::json::Json;
use crate::record;
use crate::store::Store;

/// The time between two writes of a runner's entry (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The time after which an engine that accepted an order is back with its new stage (`switchS`).
const SWITCH_TIME: Duration = Duration::from_secs(6);

/// An order that a runner got.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub stage: String,
}

/// What a case does with a request instead of running it soundly; returns whether the connection stays open, or `None` for the sound
/// answer.
pub type Override = Box<dyn Fn(&Runner, &Message, &mut TcpStream) -> Option<bool> + Send + Sync>;

pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Empty for plain services.
    pub stage: Mutex<String>,
    pub state: Mutex<&'static str>,
    pub orders: Mutex<Vec<Order>>,
    /// The ids of the requests that it ran.
    pub runs: Mutex<Vec<String>>,
    is_switching: AtomicBool,
    count: AtomicU64,
    special: Option<Override>,
}

impl Runner {
    /// Starts a runner and registers it in the store. It answers as `special` says, soundly otherwise.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        zone: &str,
        stage: &str,
        special: Option<Override>,
    ) -> Arc<Self> {
        let (listener, address) = http::bind();
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            stage: Mutex::new(stage.to_owned()),
            state: Mutex::new("ready"),
            orders: Mutex::default(),
            runs: Mutex::default(),
            is_switching: AtomicBool::new(false),
            count: AtomicU64::new(0),
            special,
        });
        let serving = runner.clone();
        http::serve(listener, move |socket| serving.serve(socket));
        runner.register(store);
        let (beating, store) = (runner.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register(&store);
            }
        });
        runner
    }

    /// Writes the runner's entry.
    pub fn register(&self, store: &Store) {
        let seq = self.count.fetch_add(1, Ordering::Relaxed);
        let stage = self.stage.lock().expect("poisoned").clone();
        let engine = if stage.is_empty() {
            String::new()
        } else {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        };
        let slots = if stage.is_empty() { 6 } else { 64 };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{slots},"state":"{}","coldLeftMs":0{engine},"seq":{seq}}}"#,
            self.service,
            self.address,
            self.zone,
            self.state.lock().expect("poisoned")
        );
        store.write(&format!("servers/{}", self.id), &entry);
    }

    fn serve(self: &Arc<Self>, socket: TcpStream) {
        let Ok(reading) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut socket = socket;
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let special = self.special.as_ref();
            let handled = special.and_then(|special| special(self, &req, &mut socket));
            let keeps_open = handled.unwrap_or_else(|| self.run(&req, &mut socket));
            if !keeps_open {
                return;
            }
        }
    }

    /// Records that the runner begins to work on a request.
    pub fn record_run(&self, req: &Message) {
        let id = req.header("x-request-id").to_owned();
        record!("runner {}: runs {id} ({})", self.id, req.start);
        self.runs.lock().expect("poisoned").push(id);
    }

    /// The headers of an answer to a request that was run.
    pub fn answer_headers(&self, req: &Message) -> String {
        let id = req.header("x-request-id");
        format!(
            "X-Request-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\n{}",
            self.id,
            self.leaving_header()
        )
    }

    /// The header by which a runner that leaves says so in all its answers.
    fn leaving_header(&self) -> &'static str {
        match *self.state.lock().expect("poisoned") {
            "draining" => "Server-Leaving: 1\r\n",
            _ => "",
        }
    }

    /// Answers as a sound runner.
    fn run(self: &Arc<Self>, req: &Message, socket: &mut TcpStream) -> bool {
        let expected = req.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = format!(
                "X-Instance-Id: {}\r\nX-Request-Id: {}\r\n",
                self.id,
                req.header("x-request-id")
            );
            return socket.write_all(&json_answer(421, &headers, "{}")).is_ok();
        }
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let stage = self.stage.lock().expect("poisoned").clone();
        let answer = match (req.method(), req.path()) {
            ("GET", "/healthz") => {
                json_answer(200, &format!("X-Instance-Id: {}\r\n", self.id), "{}")
            }
            ("GET", "/api/report") => json_answer(
                200,
                "",
                &format!(
                    r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":60729,"kvHandles":0}}"#
                ),
            ),
            ("POST", "/api/hold-take") => {
                json_answer(200, "", &format!(r#"{{"hold":"{}-{number}"}}"#, self.id))
            }
            ("DELETE", _) => json_answer(200, "", "{}"),
            ("POST", "/api/order") => self.take_order(req),
            _ if req.header("x-stage") == "prefill" => {
                let id = req.header("x-request-id");
                json_answer(
                    200,
                    &format!("X-Request-Id: {id}\r\n"),
                    &format!(
                        r#"{{"kvHandle":"{}-{number}","tokens":0,"version":1}}"#,
                        self.id
                    ),
                )
            }
            _ if stage.is_empty() => {
                self.record_run(req);
                thread::sleep(Duration::from_millis(15));
                let body = format!("{{\"ran\":\"{}\"}}", req.header("x-request-id"));
                json_answer(200, &self.answer_headers(req), &body)
            }
            _ => return self.stream(req, socket),
        };
        socket.write_all(&answer).is_ok()
    }

    fn stream(&self, req: &Message, socket: &mut TcpStream) -> bool {
        self.record_run(req);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\r\n",
            self.answer_headers(req)
        );
        let mut is_sent = socket.write_all(head.as_bytes()).is_ok();
        let first = req.header("last-event-id").parse().unwrap_or(0u32) + 1;
        for id in first..=EVENTS {
            thread::sleep(Duration::from_millis(20));
            let event = event(id, req.header("x-request-id"));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sent = is_sent && socket.write_all(chunk.as_bytes()).is_ok();
        }
        is_sent && socket.write_all(b"0\r\n\r\n").is_ok()
    }

    fn take_order(self: &Arc<Self>, req: &Message) -> Vec<u8> {
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let order = Order {
            at: Instant::now(),
            holder: body.get("holder").text().to_owned(),
            fence: body.get("fence").number(),
            stage: body.get("stage").text().to_owned(),
        };
        record!(
            "runner {}: order to change to {} from holder {}, fence {}",
            self.id,
            order.stage,
            order.holder,
            order.fence
        );
        let wanted = order.stage.clone();
        self.orders.lock().expect("poisoned").push(order);
        if *self.stage.lock().expect("poisoned") == wanted {
            return json_answer(200, "", "{}");
        }
        if self.is_switching.swap(true, Ordering::Relaxed) {
            return json_answer(409, "", "{}");
        }
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(SWITCH_TIME);
            *runner.stage.lock().expect("poisoned") = wanted;
            runner.is_switching.store(false, Ordering::Relaxed);
        });
        json_answer(202, "", "{}")
    }
}

/// The events of a whole stream.
pub const EVENTS: u32 = 20;

/// Returns an event of the stream that answers a request.
pub fn event(id: u32, request: &str) -> String {
    format!("id: {id}\ndata: {request} token {id}\n\n")
}

/// A configuration with a plain service that has a route for calls that run once and one for calls that may be repeated, and an engine
/// service with a route for streams and one for streams that may be resumed.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","hostname":"desk.example","pathPrefix":"/{name}/","kind":"{kind}","priority":1,"public":false{rest}}}"#
        )
    };
    let plain = r#","service":"lodge-app","timeoutMs":5000,"targetLatencyMs":100"#;
    let engine = r#","service":"draft-llm","timeoutMs":14000,"targetLatencyMs":900,"sticky":true,"gapTargetMs":300"#;
    let routes = [
        route(
            "lodge",
            "non_idempotent",
            &format!(r#"{plain},"maxAttempts":1"#),
        ),
        route(
            "status",
            "idempotent",
            &format!(r#"{plain},"maxAttempts":2"#),
        ),
        route(
            "draft",
            "streaming",
            &format!(r#"{engine},"maxAttempts":1,"resumable":false"#),
        ),
        route(
            "review",
            "streaming",
            &format!(r#"{engine},"maxAttempts":2,"resumable":true"#),
        ),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"draft-llm","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacityTokens":60729,"kvTokenBytes":163840,"linkMbps":2000000.0,"moves":true,"backups":true,"stride":14,"most":12,"kvHoldS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}},{{"name":"lodge-app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":700000,"burst":700000}}]}}"#,
        routes.join(",")
    )
}

/// The API key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Returns a client's request for `path`, such as `/lodge/1`.
pub fn client_request(method: &str, path: &str, id: &str, body: &[u8]) -> Vec<u8> {
    let tokens = if path.starts_with("/draft") || path.starts_with("/review") {
        "X-Model: m\r\nX-Token-Counts: 1000,80\r\nX-Prefix-Hash: 5c1e07a2:200,91bd3f06:800\r\nX-Deadline-Ms: 14000\r\n"
    } else {
        "X-Deadline-Ms: 5000\r\n"
    };
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nAuthorization: Token {KEY}\r\n{tokens}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend(body);
    request
}
