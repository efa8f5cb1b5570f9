//! Responses whose body does not end in time.

use std::convert::Infallible;
use std::future::pending;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use smallvec::SmallVec;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use hibiscusspread::connection::forward::upstream_pool::{PooledTransport, UpstreamPool};
use hibiscusspread::emulator::http::any_loopback;
use hibiscusspread::platform;
use hibiscusspread::prelude::*;
use hibiscusspread::process::background::BackgroundTasks;
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::selection;
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::settings::PolicyKind;
use hibiscusspread::process::shard::lock;
use hibiscusspread::request::forward::attempt::Attempt;
use hibiscusspread::request::forward::call::Call;
use hibiscusspread::request::forward::call::CallHead;
use hibiscusspread::request::forward::flow::ForwardContext;
use hibiscusspread::request::forward::record::ForwardRecord;
use hibiscusspread::request::forward::relay::{Interruption, RelayStep, ResponseSource, relay};
use hibiscusspread::request::forward::response::ForwardResponse;
use hibiscusspread::request::forward::transport::{UpstreamBody, whole_body};

use crate::forward_fleet::decode_instance;
use crate::homes;

use crate::platform_stand_in::{
    Answer, Behaviour, LONG_BODY_BYTES, Platform, configuration, read_answer, send_on,
};

/// The routes' timeout in these tests, and the time after it by which a request must have its final answer.
const TIMEOUT: Duration = Duration::from_secs(1);
const FINAL_ANSWER_LIMIT: Duration = Duration::from_millis(1500);

/// How long callers wait: longer than the routes' timeout, so that only the host can end a request.
const PATIENCE_MS: u32 = 10_000;

/// Starts a platform whose routes have `timeout`, and sets how the engines for tokens and the services behave.
async fn start(timeout: Duration, behaviour: Behaviour) -> Platform {
    let platform = Platform::start_unconfigured().await;
    let mut document = configuration(1);
    let timeout_ms = u64::try_from(timeout.as_millis()).expect("short");
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = timeout_ms.into();
    }
    platform.configure(&document).await;
    platform.wait_ready().await;
    for id in ["d-0", "d-1", "s-0", "s-1"] {
        platform.upstream(id).set_behaviour(behaviour);
    }
    platform
}

/// Makes a patient call. Returns the answer, if it ended, and how long it took.
async fn call(platform: &Platform, method: &str, path: &str) -> (Option<Answer>, Duration) {
    let mut req = platform.request(method, path);
    req.headers_mut()
        .insert("x-deadline-ms", PATIENCE_MS.into());
    let started = Instant::now();
    let answer = timeout(TIMEOUT * 4, platform.send(req)).await;
    (answer.ok(), started.elapsed())
}

/// Guards against an error answer that hangs midway and is held past the route's timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn error_that_hangs_midway_gets_a_final_answer_in_time() {
    let platform = start(TIMEOUT, Behaviour::FailThenHang).await;
    for (method, path) in [
        ("POST", "/text/1"),
        ("POST", "/long/1"),
        ("POST", "/book/1"),
        ("GET", "/read/1"),
    ] {
        let (answer, took) = call(&platform, method, path).await;
        let answer = answer.unwrap_or_else(|| panic!("{path} gets no final answer"));
        assert!(answer.is_complete, "{path}: {answer:?}");
        assert!(matches!(answer.status, 502 | 504), "{path}: {answer:?}");
        assert!(took < FINAL_ANSWER_LIMIT, "{path}: {took:?}");
    }
}

/// Guards against callers that wait for the rest of an error answer until a timeout of many seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn error_that_hangs_midway_does_not_use_up_a_long_timeout() {
    let platform = start(TIMEOUT * 8, Behaviour::FailThenHang).await;
    for path in ["/text/1", "/book/1"] {
        let (answer, _) = call(&platform, "POST", path).await;
        let answer = answer.unwrap_or_else(|| panic!("{path} gets no final answer"));
        assert_eq!((answer.status, answer.is_complete), (502, true), "{path}");
    }
}

/// Guards against a long answer that is passed on, hangs midway and is held past the route's timeout, and against one that is cut and
/// looks complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_answer_that_hangs_midway_ends_at_the_timeout() {
    let platform = start(TIMEOUT, Behaviour::LongThenHang).await;
    for (method, path) in [("POST", "/book/1"), ("GET", "/read/1")] {
        let (answer, took) = call(&platform, method, path).await;
        let answer = answer.unwrap_or_else(|| panic!("{path} is held"));
        assert_eq!((answer.status, answer.is_complete), (200, false), "{path}");
        assert_eq!(answer.body.len(), LONG_BODY_BYTES / 2, "{path}");
        assert!(
            (TIMEOUT..FINAL_ANSWER_LIMIT).contains(&took),
            "{path}: {took:?}"
        );
    }
}

/// Creates the context of a host that knows no upstream.
pub fn context() -> Arc<ForwardContext> {
    let forwarding = ForwardingSettings::default();
    let outside = platform::connect(any_loopback());
    Arc::new(ForwardContext {
        data_centre: "x".into(),
        state: Arc::new(FleetState::new(&forwarding)),
        selection: selection::create(PolicyKind::Joint, forwarding.selection.clone()),
        transport: Arc::new(PooledTransport(UpstreamPool::new())),
        codec: outside.call_codec,
        clock: outside.clock,
        settings: forwarding.requests,
        tasks: BackgroundTasks::default(),
    })
}

/// A response whose body of a stated length hangs midway or, with `is_whole`, is empty.
fn response(status: u16, length: usize, is_whole: bool) -> Response<UpstreamBody> {
    let body = if is_whole {
        whole_body(Bytes::new())
    } else {
        let half = Ok(Frame::data(Bytes::from(vec![b'x'; length / 2])));
        StreamBody::new(stream::iter([half]).chain(stream::pending())).boxed_unsync()
    };
    let response = Response::builder()
        .status(status)
        .header("content-length", length);
    response.body(body).expect("response is valid")
}

/// Guards against an upstream that counts as sound from the head of an answer that hangs midway, so that it gets the next calls too.
#[tokio::test]
async fn upstream_whose_answer_hangs_midway_is_blocked() {
    let cx = context();
    for (id, status, length, is_whole) in [
        ("held", 500, 24, false),
        ("passed-on", 200, LONG_BODY_BYTES, false),
        ("whole", 500, 0, true),
    ] {
        let began = Instant::now();
        let instance = Arc::new(decode_instance(id));
        let attempt = Attempt::begin(&cx, instance.clone(), 0);
        let deadline = began + Duration::from_millis(50);
        let response = response(status, length, is_whole);
        let call = Call {
            deadline,
            ..homes::call(&[], None)
        };
        let received = ForwardResponse::receive(&cx, &call, attempt, response, |_| {}).await;
        if let Ok(response) = received {
            let mut body = response.into_http(&cx, deadline, record()).into_body();
            while body.frame().await.is_some_and(|frame| frame.is_ok()) {}
        }
        let load = cx.state.loads.view(&instance, began);
        assert_eq!(load.is_blocked, !is_whole, "{id}");
        assert_eq!(load.own.calls, 0, "{id}");
    }
}

/// Guards against a request whose body comes too slowly and that is held past its route's timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_upload_is_refused_at_the_timeout() {
    let platform = start(TIMEOUT, Behaviour::Run).await;
    let socket = TcpStream::connect(platform.address).await.expect("host");
    let mut req = platform.request("POST", "/book/1");
    let headers = req.headers_mut();
    headers.insert("x-deadline-ms", PATIENCE_MS.into());
    headers.insert("content-length", LONG_BODY_BYTES.into());
    let first = stream::iter([Ok::<_, Infallible>(Frame::data(Bytes::from_static(
        b"a part",
    )))]);
    let req = req.map(|_| StreamBody::new(Box::pin(first.chain(stream::pending()))));
    let started = Instant::now();
    let answer = async {
        let response = send_on(socket, req).await.expect("host answers");
        read_answer(response).await
    };
    let answer = timeout(TIMEOUT * 4, answer).await.expect("final answer");
    assert_eq!((answer.status, answer.is_complete), (503, true));
    assert!(started.elapsed() < FINAL_ANSWER_LIMIT);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(platform.seen_by("s").is_empty());
}

/// Guards against an open answer that a stop of its host does not end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_ends_a_long_answer_that_hangs_midway() {
    let mut platform = start(TIMEOUT * 8, Behaviour::LongThenHang).await;
    let host = platform.host.take().expect("host runs");
    let calling = call(&platform, "POST", "/book/1");
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        host.drain().await;
    };
    let ((answer, _), ()) = tokio::join!(calling, stopping);
    let answer = answer.expect("the stop ends the answer");
    assert!(!answer.is_complete);
}

/// A source of bytes without end, or of a single part.
struct FakeSource {
    has_end: bool,
    parts: u32,
    interrupted: Arc<Mutex<Option<Interruption>>>,
}

#[async_trait]
impl ResponseSource for FakeSource {
    async fn next(&mut self, _record: &mut ForwardRecord) -> RelayStep {
        if self.has_end && self.parts > 0 {
            pending::<()>().await;
        }
        self.parts += 1;
        RelayStep::Bytes(Bytes::from_static(b"part"))
    }

    fn interrupt(&mut self, interruption: Interruption) {
        *lock(&self.interrupted) = Some(interruption);
    }
}

/// Starts the record of a request.
pub fn record() -> ForwardRecord {
    let head = CallHead {
        id: "r-1".into(),
        host: "desk.example".to_owned(),
        key_hash: None,
        timeout: None,
        tokens: None,
        model: None,
        shared_parts: SmallVec::new(),
        last_event_id: None,
    };
    ForwardRecord::start(Arc::new(SystemClock), &head, 1, Instant::now())
}

/// Guards against an upstream that is blamed for a caller that reads slowly or for a stop of the host, and against a body without end that
/// outlasts the deadline because it always has bytes.
#[tokio::test(start_paused = true)]
async fn interruption_tells_who_was_late() {
    const DEADLINE: Duration = Duration::from_secs(1);
    let never = Duration::MAX;
    for (has_end, read_after, stop_after, expected) in [
        (true, Duration::ZERO, never, Interruption::UpstreamLate),
        (true, DEADLINE * 2, never, Interruption::CallerSlow),
        (false, DEADLINE * 2, never, Interruption::CallerSlow),
        (true, Duration::ZERO, DEADLINE / 2, Interruption::HostStops),
    ] {
        let interrupted = Arc::default();
        let source = FakeSource {
            has_end,
            parts: 0,
            interrupted: Arc::clone(&interrupted),
        };
        let deadline = tokio::time::Instant::now() + DEADLINE;
        let stop = sleep(stop_after);
        let mut body = relay(Box::new(source), 200, deadline.into_std(), stop, record());
        assert!(body.frame().await.is_some_and(|frame| frame.is_ok()));
        sleep(read_after).await;
        let rest = timeout(DEADLINE, async {
            while body.frame().await.is_some_and(|frame| frame.is_ok()) {}
        });
        rest.await.expect("the body ends");
        assert_eq!(*lock(&interrupted), Some(expected));
    }
}
