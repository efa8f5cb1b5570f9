//! Panics in the tasks of requests.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use hibiscusspread::connection::caller_listener::{
    CallerHandler, CallerListener, CallerSettings, ResponseBody, StopPhase,
};
use hibiscusspread::process::metrics;
use hibiscusspread::process::panics::report_panics;
use hibiscusspread::request::forward::attempt::Attempt;
use hibiscusspread::request::forward::transport::whole_body;

use crate::forward_fleet::decode_instance;
use crate::forward_late_bodies::{context, record};

struct PanickingHandler;

#[async_trait]
impl CallerHandler for PanickingHandler {
    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        assert_ne!(req.uri().path(), "/panic", "the test wants a panic");
        Response::new(whole_body(Bytes::from_static(b"ok")))
    }
}

/// Guards against a panic that closes the caller's connection without an answer, and that no log line or counter shows.
#[tokio::test]
async fn panic_gets_a_final_answer_and_is_counted() {
    metrics::recorder();
    report_panics();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("address");
    let callers = CallerListener::new(Arc::new(PanickingHandler), CallerSettings::default());
    let (_stop, stopped) = watch::channel(StopPhase::Serving);
    tokio::spawn(callers.serve(listener, stopped));
    let socket = TcpStream::connect(address).await.expect("host accepts");
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.expect("connection");
    tokio::spawn(connection);
    for (path, status) in [("/panic", 502), ("/", 200), ("/panic", 502)] {
        let req = Request::get(path).body(Empty::<Bytes>::new());
        let response = sender.send_request(req.expect("request")).await;
        assert_eq!(response.expect("answer").status().as_u16(), status);
        sender.ready().await.expect("connection is kept");
    }
    assert!(metrics::render().contains("hibiscusspread_panics_total"));
}

/// Guards against an upstream that draws more and more calls, because a panic on what it sends says nothing of its health.
#[tokio::test]
async fn panic_counts_against_the_upstream_of_its_attempt() {
    let cx = context();
    let (instance, now) = (Arc::new(decode_instance("d")), Instant::now());
    let attempt = Attempt::begin(&cx, instance.clone(), 0);
    let panicked = catch_unwind(AssertUnwindSafe(move || {
        let _attempt = attempt;
        panic!("the test wants a panic");
    }));
    assert!(panicked.is_err());
    let load = cx.state.loads.view(&instance, now);
    assert!(load.is_blocked);
    assert_eq!(load.own.calls, 0);
    drop(Attempt::begin(&cx, instance.clone(), 0));
    // A caller that leaves says nothing of its upstream.
    let later = now + Duration::from_secs(5);
    assert!(!cx.state.loads.view(&instance, later).is_blocked);
}

/// Guards against a log line that blames the caller for a panic.
#[test]
fn panicked_request_has_an_outcome_of_its_own() {
    metrics::recorder();
    let panicked = catch_unwind(AssertUnwindSafe(|| {
        let _record = record();
        panic!("the test wants a panic");
    }));
    assert!(panicked.is_err());
    assert!(metrics::render().contains(r#"outcome="panicked""#));
}
