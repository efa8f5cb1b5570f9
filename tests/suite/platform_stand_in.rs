//! Stand-ins that speak the platform's protocol: a store, engines, plain services and a caller.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Frame;
use serde_json::{Value, json};

use hibiscusspread::emulator::http::{
    Body, BufferedRequest, EmulatorServer, Handler, any_loopback, bytes, json as answer_json,
    stream as answer_stream,
};
use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::platform;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::host::ForwardHost;
use hibiscusspread::process::forwarding::list_schedule::ListSchedule;
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::settings::{PeerSettings, Settings};
use hibiscusspread::process::shard::lock;

/// The API key of the only customer, `coast`.
pub const KEY: &str = "k-1f9c";

/// The host name that all routes match.
pub const HOST: &str = "desk.example";

/// The store's HTTP API on top of an in-memory store.
struct StoreApi(Arc<MemoryStore>);

fn query(req: &BufferedRequest, name: &str) -> Option<String> {
    let query = req.uri().query()?;
    let value = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })?;
    let decoded = percent_encoding::percent_decode_str(value).decode_utf8();
    Some(decoded.expect("query is UTF-8").into_owned())
}

fn item(entry: &StoreEntry) -> Value {
    json!({ "key": entry.key, "value": BASE64.encode(&entry.value), "revision": entry.revision, "created": 1, "lease": 0 })
}

fn error_response(e: &StoreError) -> Option<Response<Body>> {
    Some(match e {
        StoreError::Conflict { current } => {
            let items: Vec<_> = current
                .iter()
                .map(|revision| json!({ "key": "k", "value": "", "revision": revision }))
                .collect();
            answer_json(412, &json!({ "items": items }))
        }
        StoreError::Throttled { .. } => answer_json(429, &json!({})),
        StoreError::LeaseGone => answer_json(404, &json!({})),
        StoreError::Compacted => answer_json(410, &json!({})),
        StoreError::Unknown { .. } => return None,
        StoreError::Unavailable { .. } | StoreError::TooLarge { .. } => {
            answer_json(503, &json!({}))
        }
    })
}

impl StoreApi {
    async fn run(&self, req: &BufferedRequest) -> Result<Value, StoreError> {
        let prefix = query(req, "pathPrefix").unwrap_or_default();
        let path = req.uri().path();
        let body: Value = serde_json::from_slice(req.body()).unwrap_or_default();
        if let Some(lease) = path.strip_prefix("/api/kv-keep/") {
            self.0.renew_lease(lease.parse().expect("lease")).await?;
            return Ok(json!({ "ttlMs": 1000 }));
        }
        Ok(match path {
            "/api/kv-range" => {
                let listed = self.0.list_as_of(&prefix).await?;
                let items: Vec<_> = listed.value.iter().map(item).collect();
                json!({ "items": items, "truncated": false, "asOf": listed.revision })
            }
            "/api/kv-watch" => {
                let number = |name| {
                    query(req, name)
                        .and_then(|text| text.parse().ok())
                        .unwrap_or_default()
                };
                let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
                let changes = self.0.watch(&prefix, after, wait).await?;
                let as_of = changes
                    .iter()
                    .map(StoreChange::revision)
                    .max()
                    .unwrap_or(after);
                let events = changes.iter().map(|change| match change {
                    StoreChange::Put(entry) => item(entry),
                    StoreChange::Deleted { key, revision } => {
                        json!({ "key": key, "revision": revision, "deleted": true })
                    }
                });
                json!({ "events": events.collect::<Vec<_>>(), "asOf": as_of })
            }
            "/api/kv-lease" => {
                let ttl = Duration::from_millis(body["ttlMs"].as_u64().expect("ttlMs"));
                json!({ "lease": self.0.grant_lease(ttl).await?, "ttlMs": 1000 })
            }
            "/api/kv-txn" => {
                let put = &body["puts"][0];
                let expected = match body["ifRevision"][0]["revision"].as_u64() {
                    Some(0) | None => Expected::Absent,
                    Some(revision) => Expected::At(revision),
                };
                let value = BASE64
                    .decode(put["value"].as_str().expect("value"))
                    .expect("base64");
                let lease = put["lease"].as_u64().filter(|lease| *lease > 0);
                let key = put["key"].as_str().expect("key");
                json!({ "revision": self.0.swap(key, expected, value, lease).await? })
            }
            other => panic!("unexpected call {other}"),
        })
    }
}

#[async_trait]
impl Handler for StoreApi {
    async fn handle(&self, req: BufferedRequest) -> Option<Response<Body>> {
        match self.run(&req).await {
            Ok(value) => Some(answer_json(200, &value)),
            Err(e) => error_response(&e),
        }
    }
}

/// The delay of an upstream with `Behaviour::Slow`.
const SLOW: Duration = Duration::from_millis(600);

/// The delay of an upstream with `Behaviour::Delayed`.
const DELAY: Duration = Duration::from_millis(250);

/// The pause between two events of `Behaviour::SlowEvents`: longer than the route's target for it, and short enough for all events to
/// arrive before the route's timeout.
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(450);

/// The pause of `Behaviour::PausedEvents`: longer than the time after which a stream counts as stalled.
const LONG_PAUSE: Duration = Duration::from_millis(1800);

/// How an upstream treats the requests that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs them and answers.
    Run,
    /// It refuses them and states that they did not run.
    Shed,
    /// It refuses them, states that they did not run, and wants no call for `SHED_PAUSE_SECONDS`.
    ShedForSeconds,
    /// It refuses them without stating that they did not run.
    VagueRefusal,
    /// It runs them, but the refusal of an earlier request arrives in place of the response.
    StaleRefusal,
    /// It runs them and closes the connection without a response.
    LoseAnswer,
    /// It runs them, and closes the connection without a response if no upstream received the request before.
    LoseFirstAnswer,
    /// It answers with the id of another request.
    OtherId,
    /// It answers without a signature.
    Unsigned,
    /// Its response breaks off: a stream after three events and part of another.
    Truncate,
    /// Its stream is whole, with headers that describe its bytes.
    Sized,
    /// The same headers, for a stream that is a little shorter than those of other upstreams; breaks off like `Truncate`.
    SizedTruncate,
    /// It answers with a stream that is compressed, as its headers say.
    Encoded,
    /// Its stream breaks off like that of `Truncate`. It answers a stream that is resumed like `Encoded`.
    EncodedResumed,
    /// Its stream ends like a whole one, but in the middle of its fourth event.
    EndInEvent,
    /// Its stream ends like a whole one, before the first event.
    EndEmpty,
    /// It runs whole streams, and answers one that is resumed with status 500 and a text.
    FailResumed,
    /// It answers with status 500.
    Fail,
    /// It answers with status 500, and hangs in the middle of the body.
    FailThenHang,
    /// It answers with a body of `LONG_BODY_BYTES`, and hangs in the middle of it.
    LongThenHang,
    /// It refuses them because another upstream has its address.
    OtherInstance,
    /// It answers late.
    Slow,
    /// It answers late, but within the time limit of a prefill.
    Delayed,
    /// It never answers.
    Hang,
    /// It runs them and states that it leaves, while its registration says that it is ready.
    Leave,
    /// It refuses streams whose prompt was prefilled elsewhere, as an engine does that can't fetch the prompt.
    LosePrompt,
    /// Its stream has events without end.
    EndlessEvents,
    /// Its body has bytes without end, and no event among them.
    EndlessBytes,
    /// Its stream has a byte now and then, and no whole event.
    Trickle,
    /// Its stream falls silent after three events. It never answers a stream that is resumed.
    Stall,
    /// Its stream goes on with bytes without end that are no event, after the first event. It never answers a stream that is resumed.
    EndlessThenHang,
    /// Its stream is whole, with long pauses between events.
    SlowEvents,
    /// Its stream is whole, with one pause that looks like a stall.
    PausedEvents,
    /// It crashes before the first event of a stream whose prompt has the part `CRASHING_PART`.
    CrashOnPart,
}

/// The stated length of a body that hosts pass on as it arrives.
pub const LONG_BODY_BYTES: usize = 600_000;

/// The stated length of a body that hosts hold until it is whole.
const SHORT_BODY_BYTES: usize = 24;

/// The id of the part of a prompt on which `Behaviour::CrashOnPart` crashes.
pub const CRASHING_PART: &str = "dead";

/// The time for which an upstream with `Behaviour::ShedForSeconds` wants no call, in seconds.
pub const SHED_PAUSE_SECONDS: &str = "1.5";

/// A request as an upstream received it.
#[derive(Debug, Clone)]
pub struct SeenRequest {
    /// The id of the upstream.
    pub upstream: String,
    /// The method, and the path with its query.
    pub request_line: String,
    /// The headers as received.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether the upstream ran it, or didn't state that it did not.
    pub may_have_run: bool,
}

impl SeenRequest {
    /// Returns the value of the header `name` if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The requests that all upstreams of one `StandIns` received, in order.
pub type SeenLog = Arc<Mutex<Vec<SeenRequest>>>;

/// An upstream of a plain service, or an engine.
pub struct StandInUpstream {
    id: String,
    behaviour: Mutex<Behaviour>,
    seen: SeenLog,
    runs: RunLog,
}

/// A run of a request at an upstream.
#[derive(Debug, Clone)]
pub struct Run {
    /// The id of the upstream.
    pub upstream: String,
    /// The id of the request.
    pub request: String,
    /// When the request arrived.
    pub began: Instant,
    /// When the upstream had sent its whole answer or its connection closed; `None` while it works.
    pub ended: Option<Instant>,
}

/// The runs at all upstreams of one `StandIns`, by their begin.
pub type RunLog = Arc<Mutex<Vec<Run>>>;

/// Records the end of a run when it is dropped.
struct OpenRun {
    runs: RunLog,
    index: usize,
}

impl OpenRun {
    fn begin(runs: &RunLog, upstream: &str, req: &BufferedRequest) -> Self {
        let id = req.headers().get("x-request-id");
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let mut log = lock(runs);
        log.push(Run {
            upstream: upstream.to_owned(),
            request: id.to_owned(),
            began: Instant::now(),
            ended: None,
        });
        Self {
            runs: runs.clone(),
            index: log.len() - 1,
        }
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        lock(&self.runs)[self.index].ended = Some(Instant::now());
    }
}

/// The time after the begin of a run at the next upstream within which the run before must have ended, as the platform requires.
pub const ALLOWED_OVERLAP: Duration = Duration::from_millis(400);

/// Returns each run that began while another run of its request went on for longer than `ALLOWED_OVERLAP`, after that other run.
pub fn overlapping_runs(runs: &RunLog) -> Vec<(Run, Run)> {
    let runs = lock(runs).clone();
    let now = Instant::now();
    let mut overlaps = Vec::new();
    for (no, later) in runs.iter().enumerate() {
        let overlaps_later = |earlier: &&Run| {
            let ended = earlier.ended.unwrap_or(now);
            earlier.request == later.request && ended > later.began + ALLOWED_OVERLAP
        };
        let earlier = runs[..no].iter().filter(overlaps_later);
        overlaps.extend(earlier.map(|earlier| (earlier.clone(), later.clone())));
    }
    overlaps
}

/// The number of events of a whole stream.
pub const EVENT_COUNT: usize = 8;

/// The incomplete event at the end of a truncated stream.
pub const PARTIAL_EVENT: &str = "id: 99\nda";

/// Returns the text of one event.
pub fn event(no: usize) -> String {
    format!("id: {no}\ndata: token {no}\n\n")
}

impl StandInUpstream {
    /// Sets how the upstream treats requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.behaviour) = behaviour;
    }

    fn endless(&self, req: &BufferedRequest, text: &'static str, gap: Duration) -> Response<Body> {
        let frames = stream::unfold((), move |()| async move {
            if gap.is_zero() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(gap).await;
            }
            Some((Ok(Frame::data(Bytes::from_static(text.as_bytes()))), ()))
        });
        self.sign(req, answer_stream(frames))
    }

    /// Returns a response with a stated length, whose body stops in the middle.
    fn half_then_hang(&self, req: &BufferedRequest, status: u16, length: usize) -> Response<Body> {
        let half = Ok(Frame::data(Bytes::from("x".repeat(length / 2))));
        let body = stream::iter([half]).chain(stream::pending());
        let mut response = self.sign(req, answer_stream(body));
        *response.status_mut() = status.try_into().expect("status");
        response
            .headers_mut()
            .insert("content-length", length.into());
        response
    }

    fn stream(&self, req: &BufferedRequest, behaviour: Behaviour) -> Response<Body> {
        let text: &'static str = "x".repeat(4096).leak();
        match behaviour {
            Behaviour::EndlessEvents => {
                return self.endless(req, "id: 1\ndata: again\n\n", Duration::ZERO);
            }
            Behaviour::EndlessBytes => return self.endless(req, text, Duration::ZERO),
            Behaviour::Trickle => return self.endless(req, "x", Duration::from_millis(100)),
            _ => {}
        }
        let last = req
            .headers()
            .get("last-event-id")
            .and_then(|v| v.to_str().ok());
        if behaviour == Behaviour::FailResumed && last.is_some() {
            let mut response = bytes(Bytes::from_static(b"error text"));
            *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
            return self.sign(req, response);
        }
        let first = last.map_or(0, |last| last.parse::<usize>().expect("event id") + 1);
        let parts = req.headers().get("x-prefix-hash");
        let has_crashing_part = parts
            .and_then(|parts| parts.to_str().ok())
            .is_some_and(|parts| parts.contains(CRASHING_PART));
        if behaviour == Behaviour::CrashOnPart && has_crashing_part {
            let crash = [Err(std::io::Error::other("crashed"))];
            return self.sign(req, answer_stream(stream::iter(crash)));
        }
        let broken = matches!(behaviour, Behaviour::Truncate | Behaviour::SizedTruncate);
        let end = match behaviour {
            Behaviour::Truncate
            | Behaviour::SizedTruncate
            | Behaviour::EndInEvent
            | Behaviour::Stall => first + 3,
            Behaviour::EndEmpty => first,
            Behaviour::EndlessThenHang => first + 1,
            _ => EVENT_COUNT,
        };
        let mut chunks: Vec<_> = (first..end)
            .map(|no| Ok(Frame::data(Bytes::from(event(no)))))
            .collect();
        if behaviour == Behaviour::EndEmpty {
            // The host passes on the head before the stream ends.
            chunks.push(Ok(Frame::data(Bytes::new())));
        }
        if broken || behaviour == Behaviour::EndInEvent {
            chunks.push(Ok(Frame::data(Bytes::from(PARTIAL_EVENT))));
        }
        if broken {
            chunks.push(Err(std::io::Error::other("crashed")));
        }
        let pause = move |no: usize| match behaviour {
            Behaviour::EndEmpty => Duration::from_millis(100),
            Behaviour::SlowEvents => SLOW_EVENT_PAUSE,
            Behaviour::PausedEvents if no == 3 => LONG_PAUSE,
            _ => Duration::from_millis(2),
        };
        let chunks = stream::iter(chunks.into_iter().enumerate());
        let paced = chunks.then(move |(no, chunk)| async move {
            tokio::time::sleep(pause(no)).await;
            chunk
        });
        if behaviour == Behaviour::Stall {
            return self.sign(req, answer_stream(paced.chain(stream::pending())));
        }
        if behaviour == Behaviour::EndlessThenHang {
            let endless = stream::repeat(text).then(|text| async move {
                tokio::time::sleep(Duration::from_millis(1)).await;
                Ok(Frame::data(Bytes::from_static(text.as_bytes())))
            });
            return self.sign(req, answer_stream(paced.chain(endless)));
        }
        self.sign(req, answer_stream(paced))
    }

    fn sign(&self, req: &BufferedRequest, mut response: Response<Body>) -> Response<Body> {
        let headers = response.headers_mut();
        if *lock(&self.behaviour) == Behaviour::Leave {
            headers.insert("server-leaving", "1".parse().expect("value"));
        }
        if let Some(id) = req.headers().get("x-request-id") {
            headers.insert("x-request-id", id.clone());
        }
        headers.insert(
            "x-server-stamp",
            self.id.parse().expect("id is a header value"),
        );
        response
    }
}

/// The headers of `describe_stream` that hold for the bytes of one answer only.
pub const SINGLE_ANSWER_HEADERS: [&str; 5] = [
    "content-length",
    "content-digest",
    "repr-digest",
    "etag",
    "accept-ranges",
];

/// Adds the headers with which `behaviour` describes the bytes of a stream from its first event.
fn describe_stream(response: &mut Response<Body>, behaviour: Behaviour) {
    let length: usize = (0..EVENT_COUNT).map(|no| event(no).len()).sum();
    let length = match behaviour {
        Behaviour::Sized => length,
        Behaviour::SizedTruncate => length - PARTIAL_EVENT.len(),
        Behaviour::Encoded => {
            let gzip = "gzip".parse().expect("value");
            response.headers_mut().insert("content-encoding", gzip);
            return;
        }
        _ => return,
    };
    let values = [
        &*length.to_string(),
        "sha-256=:AAAA:",
        "sha-256=:AAAA:",
        "\"v1\"",
        "bytes",
    ];
    for (name, value) in SINGLE_ANSWER_HEADERS.iter().zip(values) {
        let value = value.parse().expect("value");
        response.headers_mut().insert(*name, value);
    }
}

/// Returns whether an upstream with `behaviour` runs `req`, or doesn't state that it did not.
fn may_run(req: &BufferedRequest, behaviour: Behaviour) -> bool {
    let is_own_call = req.method() == http::Method::DELETE || req.uri().path().starts_with("/api/");
    let is_refused = match behaviour {
        Behaviour::Shed | Behaviour::ShedForSeconds | Behaviour::OtherInstance => true,
        Behaviour::LosePrompt => req.headers().contains_key("x-kv-source"),
        _ => false,
    };
    !is_own_call && !is_refused && !req.headers().contains_key("x-stage")
}

#[async_trait]
impl Handler for StandInUpstream {
    async fn handle(&self, req: BufferedRequest) -> Option<Response<Body>> {
        let behaviour = *lock(&self.behaviour);
        let run = may_run(&req, behaviour).then(|| OpenRun::begin(&self.runs, &self.id, &req));
        let response = self.answer(&req, behaviour).await?;
        let Some(run) = run else {
            return Some(response);
        };
        // The run ends with the body, which is dropped at its end or when the connection closes.
        let body = response.map(|body| {
            let with_run = body.map_frame(move |frame| {
                let _ = &run;
                frame
            });
            with_run.boxed_unsync()
        });
        Some(body)
    }
}

impl StandInUpstream {
    async fn answer(&self, req: &BufferedRequest, behaviour: Behaviour) -> Option<Response<Body>> {
        lock(&self.seen).push(SeenRequest {
            upstream: self.id.clone(),
            request_line: format!("{} {}", req.method(), req.uri()),
            headers: req.headers().clone(),
            body: req.body().clone(),
            may_have_run: may_run(req, behaviour),
        });
        if req.method() == http::Method::DELETE {
            return Some(answer_json(200, &json!({})));
        }
        let refuses = matches!(behaviour, Behaviour::Shed | Behaviour::ShedForSeconds);
        if req.uri().path() == "/api/hold-take" && !refuses {
            return Some(answer_json(
                200,
                &json!({ "hold": format!("r-{}", self.id) }),
            ));
        }
        let status = |status: u16, header: Option<(&'static str, &str)>| {
            let mut response = bytes(Bytes::new());
            *response.status_mut() = status.try_into().expect("status");
            if let Some((name, value)) = header {
                response
                    .headers_mut()
                    .insert(name, value.parse().expect("value"));
            }
            if let Some(id) = req.headers().get("x-request-id") {
                response.headers_mut().insert("x-request-id", id.clone());
            }
            Some(response)
        };
        let is_resumed = req.headers().contains_key("last-event-id");
        let is_first = self.is_first_call(req);
        match behaviour {
            Behaviour::Shed => return status(503, Some(("x-not-run", "1"))),
            Behaviour::ShedForSeconds => {
                let mut refusal = status(503, Some(("x-not-run", "1")))?;
                let pause = SHED_PAUSE_SECONDS.parse().expect("value");
                refusal.headers_mut().insert("retry-after", pause);
                return Some(refusal);
            }
            Behaviour::LosePrompt if req.headers().contains_key("x-kv-source") => {
                return status(503, Some(("x-not-run", "1")));
            }
            Behaviour::VagueRefusal => return status(503, None),
            Behaviour::StaleRefusal => {
                let mut refusal = status(503, Some(("x-not-run", "1")))?;
                let earlier = "earlier".parse().expect("value");
                refusal.headers_mut().insert("x-request-id", earlier);
                return Some(refusal);
            }
            Behaviour::OtherInstance => return status(421, Some(("x-instance-id", "i-other"))),
            Behaviour::LoseAnswer => return None,
            Behaviour::LoseFirstAnswer if is_first => return None,
            Behaviour::Slow => tokio::time::sleep(SLOW).await,
            Behaviour::Delayed => tokio::time::sleep(DELAY).await,
            Behaviour::Hang => std::future::pending().await,
            Behaviour::Stall | Behaviour::EndlessThenHang if is_resumed => {
                std::future::pending::<()>().await;
            }
            _ => {}
        }
        if req
            .headers()
            .get("x-stage")
            .is_some_and(|stage| stage == "prefill")
        {
            let handle = format!("h-{}", self.id);
            return Some(answer_json(
                200,
                &json!({ "kvHandle": handle, "tokens": 10, "version": 1 }),
            ));
        }
        Some(self.run(req, behaviour))
    }

    /// Returns whether no upstream received a call of this request before that may have run.
    fn is_first_call(&self, req: &BufferedRequest) -> bool {
        let id = req.headers().get("x-request-id");
        let seen = lock(&self.seen);
        let calls = seen.iter().filter(|seen| seen.may_have_run);
        let calls = calls.filter(|seen| seen.headers.get("x-request-id") == id);
        calls.count() <= 1
    }

    /// Returns the response to a request that the upstream runs.
    fn run(&self, req: &BufferedRequest, behaviour: Behaviour) -> Response<Body> {
        match behaviour {
            Behaviour::FailThenHang => return self.half_then_hang(req, 500, SHORT_BODY_BYTES),
            Behaviour::LongThenHang => return self.half_then_hang(req, 200, LONG_BODY_BYTES),
            _ => {}
        }
        if req.uri().path().starts_with("/text/") || req.uri().path().starts_with("/long/") {
            let is_resumed = req.headers().contains_key("last-event-id");
            let behaviour = match behaviour {
                Behaviour::EncodedResumed if is_resumed => Behaviour::Encoded,
                Behaviour::EncodedResumed => Behaviour::Truncate,
                behaviour => behaviour,
            };
            let mut response = self.stream(req, behaviour);
            describe_stream(&mut response, behaviour);
            return response;
        }
        let mut response = self.sign(req, bytes(Bytes::from(format!("done by {}", self.id))));
        match behaviour {
            Behaviour::OtherId => {
                let other = "another".parse().expect("value");
                response.headers_mut().insert("x-request-id", other);
            }
            Behaviour::Unsigned => {
                response.headers_mut().remove("x-server-stamp");
            }
            Behaviour::EndlessBytes => {
                let text = "x".repeat(4096).leak();
                return self.endless(req, text, Duration::ZERO);
            }
            Behaviour::Fail => *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR,
            Behaviour::Truncate => {
                let parts = vec![
                    Ok(Frame::data(Bytes::from("half"))),
                    Err(std::io::Error::other("crashed")),
                ];
                response = self.sign(req, answer_stream(stream::iter(parts)));
            }
            _ => {}
        }
        response
    }
}

/// A response as the caller sees it.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers of the response.
    pub headers: http::HeaderMap,
    /// The body, as far as it arrived.
    pub body: String,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

/// Stand-ins for the store, two prefill engines, two decode engines and two upstreams of a plain service.
pub struct StandIns {
    /// The entries, which tests read and write directly.
    pub store: Arc<MemoryStore>,
    /// The address of the store's HTTP API.
    pub store_address: SocketAddr,
    /// The upstreams: `p-0`, `p-1`, `d-0`, `d-1`, `s-0`, `s-1`.
    pub upstreams: Vec<Arc<StandInUpstream>>,
    /// The addresses under which the upstreams are registered, in the same order.
    pub addresses: Vec<SocketAddr>,
    /// The requests that the upstreams received.
    pub seen: SeenLog,
    /// The runs at the upstreams.
    pub runs: RunLog,
    _servers: Vec<EmulatorServer>,
}

/// A host whose store and upstreams are stand-ins.
pub struct Platform {
    /// The host; tests that stop it take it out.
    pub host: Option<ForwardHost>,
    /// The address that callers connect to.
    pub address: SocketAddr,
    stand_ins: StandIns,
}

impl Deref for Platform {
    type Target = StandIns;

    fn deref(&self) -> &StandIns {
        &self.stand_ins
    }
}

/// Returns the configuration document of the stand-in platform.
pub fn configuration(version: u64) -> Value {
    let stream = |name: &str, prefix: &str, resumable: bool| {
        json!({ "name": name, "hostname": HOST, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 4000,
            "targetLatencyMs": 900, "gapTargetMs": 300, "priority": 1, "service": "writers",
            "maxAttempts": if resumable { 3 } else { 1 }, "public": false, "sticky": true, "resumable": resumable })
    };
    let plain = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        json!({ "name": name, "hostname": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 2000,
            "targetLatencyMs": 100, "priority": 2, "service": "desk", "maxAttempts": attempts, "public": false })
    };
    json!({
        "version": version,
        "routes": [
            stream("text", "/text/", false),
            stream("long", "/long/", true),
            plain("book", "/book/", "non_idempotent", 1),
            plain("read", "/read/", "idempotent", 2),
            { "name": "open", "hostname": HOST, "pathPrefix": "/read/open/", "kind": "idempotent", "timeoutMs": 2000,
              "priority": 2, "service": "desk", "maxAttempts": 1, "public": true },
        ],
        "services": [
            { "name": "writers", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false,
              "engine": { "slots": 8, "kvCapacityTokens": 50000, "kvTokenBytes": 100, "kvHoldS": 0.5, "models": [{ "name": "m" }] } },
            { "name": "desk", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false },
        ],
        "limits": { "maxBodyBytes": 1_000_000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "coast", "apiKeys": [KEY], "priority": 1, "unit": "tokens", "plainTokens": 200,
            "ratePerS": 100_000, "burst": 200_000 }],
    })
}

/// Returns the same configuration with engines that take reservations.
pub fn configuration_with_reservations(version: u64) -> Value {
    let mut document = configuration(version);
    document["services"][0]["engine"]["holdMs"] = 2000.into();
    document
}

impl Platform {
    /// Starts the stand-ins with engines that take reservations, and a host, and waits until it is ready.
    pub async fn start_with_reservations() -> Self {
        let platform = Self::start_unconfigured().await;
        platform
            .configure(&configuration_with_reservations(1))
            .await;
        platform.wait_ready().await;
        platform
    }

    /// Starts the stand-ins and a host, and waits until it is ready.
    pub async fn start() -> Self {
        let platform = Self::start_unconfigured().await;
        platform.configure(&configuration(1)).await;
        platform.wait_ready().await;
        platform
    }

    /// Starts the stand-ins and a host, without a configuration.
    pub async fn start_unconfigured() -> Self {
        let stand_ins = StandIns::start().await;
        stand_ins.register_all().await;
        let forwarding = ForwardingSettings {
            store_address: stand_ins.store_address,
            watch_wait: Duration::from_millis(500),
            ..ForwardingSettings::default()
        };
        Self::start_with(stand_ins, forwarding).await
    }

    /// Starts a host that reaches the store of the stand-ins at the address in the settings, with short intervals.
    pub async fn start_with(stand_ins: StandIns, forwarding: ForwardingSettings) -> Self {
        let store_address = forwarding.store_address;
        let settings = Settings {
            host: "host-1".into(),
            data_centre: "a".into(),
            callers_address: any_loopback(),
            peer: PeerSettings {
                address: any_loopback(),
                ..PeerSettings::default()
            },
            ..Settings::default()
        };
        let forwarding = ForwardingSettings {
            list: ListSchedule {
                interval: Duration::from_millis(50),
                ..ListSchedule::default()
            },
            grace: Duration::from_secs(3),
            drain_delay: Duration::from_millis(200),
            ..forwarding
        };
        let outside = platform::connect(store_address);
        let host = ForwardHost::start(settings, forwarding, outside).await;
        let host = host.expect("host starts");
        Self {
            address: host.callers_address,
            host: Some(host),
            stand_ins,
        }
    }

    /// Waits until the host is ready.
    pub async fn wait_ready(&self) {
        let host = self.host.as_ref().expect("host runs");
        wait_until("host is ready", || host.not_ready().is_none()).await;
    }

    /// Sends a request with the customer's key.
    pub async fn call(&self, method: &str, path: &str) -> Answer {
        self.send(self.request(method, path)).await
    }

    /// Builds a request with the customer's key.
    pub fn request(&self, method: &str, path: &str) -> Request<Full<Bytes>> {
        request(method, &format!("http://{}{path}", self.address))
    }

    /// Sends a request and reads the whole response.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Answer {
        send(self.address, req).await
    }
}

/// Sends a request to the host at `address` and reads the whole response.
pub async fn send(address: SocketAddr, req: Request<Full<Bytes>>) -> Answer {
    read_answer(send_raw(address, req).await).await
}

/// The body of requests.
pub const REQUEST_BODY: &str = "a body";

/// Builds a request with the customer's key and a random id.
pub fn request(method: &str, uri: &str) -> Request<Full<Bytes>> {
    let id = format!("{:016x}", rand::random::<u64>());
    Request::builder()
        .method(method)
        .uri(uri)
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", "2000")
        .header("x-model", "m")
        .header("x-token-counts", "1000,100")
        .header("authorization", format!("Token {KEY}"))
        .body(Full::new(Bytes::from(REQUEST_BODY)))
        .expect("request is valid")
}

/// Reads a response to its end, or until it breaks off.
pub async fn read_answer(response: Response<hyper::body::Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let (mut text, mut is_complete) = (String::new(), true);
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&data));
            }
            Err(_) => is_complete = false,
        }
    }
    Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: text,
        is_complete,
    }
}

/// The upstreams: id, service and stage.
const UPSTREAMS: [(&str, &str, Option<&str>); 6] = [
    ("p-0", "writers", Some("prefill")),
    ("p-1", "writers", Some("prefill")),
    ("d-0", "writers", Some("decode")),
    ("d-1", "writers", Some("decode")),
    ("s-0", "desk", None),
    ("s-1", "desk", None),
];

impl StandIns {
    /// Starts the stand-ins, with no upstream registered.
    pub async fn start() -> Self {
        let store = MemoryStore::new(Arc::new(SystemClock));
        let api = EmulatorServer::start(any_loopback(), Arc::new(StoreApi(store.clone())));
        let api = api.await.expect("store starts");
        let store_address = api.address();
        let (seen, runs) = (SeenLog::default(), RunLog::default());
        let (mut upstreams, mut servers, mut addresses) = (Vec::new(), vec![api], Vec::new());
        for (id, _, _) in UPSTREAMS {
            let upstream = Arc::new(StandInUpstream {
                id: id.to_owned(),
                behaviour: Mutex::new(Behaviour::Run),
                seen: seen.clone(),
                runs: runs.clone(),
            });
            let server = EmulatorServer::start(any_loopback(), upstream.clone()).await;
            let server = server.expect("upstream starts");
            addresses.push(server.address());
            upstreams.push(upstream);
            servers.push(server);
        }
        Self {
            store,
            store_address,
            upstreams,
            addresses,
            seen,
            runs,
            _servers: servers,
        }
    }

    /// Registers all upstreams as `ready`.
    pub async fn register_all(&self) {
        for (id, _, _) in UPSTREAMS {
            self.register(id, "ready").await;
        }
    }

    /// Writes a configuration to the store, as the operators do.
    pub async fn configure(&self, document: &Value) {
        put_json(&self.store, "op/config", document).await;
    }

    /// Registers an upstream as `ready` or `draining`, replacing its registration.
    pub async fn register(&self, id: &str, readiness: &str) {
        self.register_in(id, readiness, "a").await;
    }

    /// Registers an upstream in the data centre `zone`, replacing its registration.
    pub async fn register_in(&self, id: &str, readiness: &str, zone: &str) {
        let index = UPSTREAMS
            .iter()
            .position(|(upstream, _, _)| *upstream == id);
        let index = index.expect("known upstream");
        let (_, service, stage) = UPSTREAMS[index];
        let mut registration = registration(service, self.addresses[index], stage, readiness);
        registration["zone"] = zone.into();
        put_json(&self.store, &format!("servers/{id}"), &registration).await;
    }

    /// Registers an upstream that has started anew under its id.
    pub async fn register_restarted(&self, id: &str) {
        let key = format!("servers/{id}");
        let entry = self.store.get(&key).await.expect("store answers");
        let entry = entry.expect("upstream is registered");
        let mut registration: Value = serde_json::from_slice(&entry.value).expect("JSON");
        let born = registration["born"].as_u64().expect("born");
        registration["born"] = (born + 1).into();
        put_json(&self.store, &key, &registration).await;
    }

    /// Asks to evacuate a data centre, as the operators do.
    pub async fn evacuate(&self, zone: &str) {
        put_json(&self.store, &format!("op/evacuate/{zone}"), &json!({})).await;
    }

    /// Returns an evacuated data centre to service, as the operators do.
    pub async fn return_to_service(&self, zone: &str) {
        let key = format!("op/evacuate/{zone}");
        let entry = self.store.get(&key).await.expect("store answers");
        let revision = entry.expect("zone is evacuated").revision;
        let deleted = self.store.delete(&key, revision).await;
        deleted.expect("store answers");
    }

    /// Returns the upstream `id`.
    pub fn upstream(&self, id: &str) -> &StandInUpstream {
        self.upstreams
            .iter()
            .find(|upstream| upstream.id == id)
            .expect("known upstream")
    }

    /// Returns the requests that upstreams whose id begins with `prefix` received.
    pub fn seen_by(&self, prefix: &str) -> Vec<SeenRequest> {
        let seen = lock(&self.seen).clone();
        seen.into_iter()
            .filter(|seen| seen.upstream.starts_with(prefix))
            .collect()
    }
}

/// Sends a request over its own connection, with the `Host` header that it has.
async fn send_raw(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Response<hyper::body::Incoming> {
    let socket = tokio::net::TcpStream::connect(address)
        .await
        .expect("host accepts");
    send_on(socket, req).await.expect("host answers")
}

/// Sends a request on a connection, with the `Host` header that it has; `None` if the connection ends without an answer.
pub async fn send_on<B>(
    socket: tokio::net::TcpStream,
    req: Request<B>,
) -> Option<Response<hyper::body::Incoming>>
where
    B: hyper::body::Body<Data = Bytes> + Unpin + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let io = hyper_util::rt::TokioIo::new(socket);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(connection);
    let (mut parts, body) = req.into_parts();
    parts.uri = parts
        .uri
        .path_and_query()
        .expect("path")
        .as_str()
        .parse()
        .expect("path");
    let sent = sender.send_request(Request::from_parts(parts, body)).await;
    sent.ok()
}

fn registration(service: &str, address: SocketAddr, stage: Option<&str>, readiness: &str) -> Value {
    json!({ "service": service, "address": address, "zone": "a", "version": "v1", "slots": 8, "state": readiness,
        "coldLeftMs": 0, "stage": stage, "models": [{ "name": "m", "version": 1, "adapters": [] }], "seq": 1, "born": 7 })
}

async fn put_json(store: &MemoryStore, key: &str, value: &Value) {
    let value = serde_json::to_vec(value).expect("JSON");
    let known = store.get(key).await.expect("store answers");
    let expected = known.map_or(Expected::Absent, |entry| Expected::At(entry.revision));
    store
        .swap(key, expected, value, None)
        .await
        .expect("store answers");
}

/// Waits until `holds` returns true, and panics after about 5 s. `what` names the condition in the panic message.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..500 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not in time: {what}");
}
