//! The callers of the soak test, and their checks of each answer.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::net::TcpStream;

use hibiscusspread::process::shard::lock;

use crate::platform_stand_in::{Answer, EVENT_COUNT, PARTIAL_EVENT, event, read_answer, request};

/// The kinds of requests, with their methods and paths.
const KINDS: [(&str, &str); 4] = [
    ("POST", "/book/"),
    ("GET", "/read/"),
    ("POST", "/text/"),
    ("POST", "/long/"),
];

/// The longest time that a caller waits for an answer; above the deadline that its requests state.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// The deadline of resumable streams: it leaves one that stalls the time to go on at another engine.
const RESUMABLE_DEADLINE_MS: u32 = 4000;

/// The results of the callers' checks.
#[derive(Default)]
pub struct Findings {
    /// The violated guarantees.
    pub violations: Mutex<Vec<String>>,
    /// The ids of requests that were refused as not run.
    pub refused: Mutex<Vec<String>>,
    /// The ids of requests whose connection ended without a whole answer.
    pub cut: Mutex<Vec<String>>,
    /// The number of complete successful answers.
    pub served: Mutex<usize>,
}

impl Findings {
    /// Records a violated guarantee.
    pub fn report(&self, what: impl Into<String>) {
        lock(&self.violations).push(what.into());
    }

    fn check(&self, id: &str, path: &str, answer: &Answer) {
        let header = |name: &str| answer.headers.get(name).and_then(|v| v.to_str().ok());
        if header("x-request-id").is_some_and(|answered| answered != id) {
            self.report(format!("{id} {path}: answer to another request"));
        }
        let stamp = header("x-server-stamp");
        match answer.status {
            200 => {
                let is_stream = path.starts_with("/text/") || path.starts_with("/long/");
                let whole: String = if is_stream {
                    (0..EVENT_COUNT).map(event).collect()
                } else {
                    format!("done by {}", stamp.unwrap_or_default())
                };
                // A stream that ends early may end within an event of its upstream.
                let body = answer.body.strip_suffix(PARTIAL_EVENT);
                let body = body.filter(|_| !answer.is_complete).unwrap_or(&answer.body);
                let is_part = whole.starts_with(body);
                if stamp.is_none() || !is_part || (answer.is_complete && answer.body != whole) {
                    self.report(format!("{id} {path}: wrong answer {answer:?}"));
                }
                if answer.is_complete {
                    *lock(&self.served) += 1;
                } else {
                    lock(&self.cut).push(id.to_owned());
                }
            }
            408 | 421 | 429 | 503 => {
                if stamp.is_some() {
                    self.report(format!("{id} {path}: {} is signed", answer.status));
                }
                lock(&self.refused).push(id.to_owned());
            }
            500 | 502 | 504 => {}
            status => self.report(format!("{id} {path}: unexpected status {status}")),
        }
    }
}

/// A caller with one connection, which it reuses until the host closes it.
pub struct Caller {
    host: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
    rng: StdRng,
}

impl Caller {
    /// Creates a caller of the host at `host`.
    pub fn new(host: SocketAddr, seed: u64) -> Self {
        Self {
            host,
            connection: None,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sends requests one after the other until the task is aborted.
    pub async fn run(mut self, findings: &Findings) {
        loop {
            let pause = Duration::from_millis(self.rng.random_range(1..40));
            tokio::time::sleep(pause).await;
            let kind = self.rng.random_range(0..KINDS.len());
            if self.rng.random_range(0..20) == 0 {
                // The caller disconnects before its answer is complete.
                let early = Duration::from_millis(self.rng.random_range(1..30));
                let left = tokio::time::timeout(early, self.call(kind, findings)).await;
                if left.is_err() {
                    self.connection = None;
                }
            } else {
                self.call(kind, findings).await;
            }
        }
    }

    /// Sends one request of each kind; returns whether all were served.
    pub async fn all_served(&mut self, findings: &Findings) -> bool {
        let mut all = true;
        for kind in 0..KINDS.len() {
            all &= self.call(kind, findings).await;
        }
        all
    }

    async fn call(&mut self, kind: usize, findings: &Findings) -> bool {
        let (method, prefix) = KINDS[kind];
        let path = format!("{prefix}{:x}", self.rng.random::<u32>());
        let mut req = request(method, &path);
        if prefix == "/long/" {
            let patience = RESUMABLE_DEADLINE_MS.into();
            req.headers_mut().insert("x-deadline-ms", patience);
        }
        let id = req.headers()["x-request-id"].to_str().expect("id is text");
        let id = id.to_owned();
        let answer = async { Some(read_answer(self.send(req).await?).await) };
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Some(answer)) => {
                findings.check(&id, &path, &answer);
                if !answer.is_complete {
                    self.connection = None;
                }
                answer.is_complete && answer.status == 200
            }
            Ok(None) => {
                lock(&findings.cut).push(id);
                false
            }
            // A paused host does not answer.
            Err(_) => {
                self.connection = None;
                false
            }
        }
    }

    /// Sends a request on the kept connection or a new one; `None` if the connection ended without an answer.
    async fn send(&mut self, req: Request<Full<Bytes>>) -> Option<Response<Incoming>> {
        let kept = self.connection.take();
        let mut sender = if let Some(kept) = kept.filter(|sender| !sender.is_closed()) {
            kept
        } else {
            let socket = TcpStream::connect(self.host).await.ok()?;
            let opened = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await;
            let (sender, connection) = opened.ok()?;
            tokio::spawn(connection);
            sender
        };
        let answer = sender.send_request(req).await.ok()?;
        self.connection = Some(sender);
        Some(answer)
    }
}
