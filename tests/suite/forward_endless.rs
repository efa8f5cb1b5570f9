//! Upstreams whose responses go on without end, at full speed or with a byte now and then.

use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use hibiscusspread::connection::forward::upstream_pool::{PooledTransport, UpstreamPool};
use hibiscusspread::connection::http_client::HttpClient;
use hibiscusspread::request::forward::transport::{SendFailure, SendLimits, UpstreamTransport};

use crate::platform_stand_in::{Behaviour, EVENT_COUNT, Platform, event};

/// The route's timeout of streams in the stand-ins' configuration, and the time after it by which an answer must have ended.
const STREAM_LIMIT: Duration = Duration::from_millis(4500);

/// The time without a whole event after which a resumable stream must go on at another engine, and that for the rest of it.
const RESUME_LIMIT: Duration = Duration::from_secs(2);

fn set_decode_engines(platform: &Platform, behaviour: Behaviour) {
    for id in ["d-0", "d-1"] {
        platform.upstream(id).set_behaviour(behaviour);
    }
}

/// Guards against a stream of endless events that occupies a host until its caller closes: it ends at the route's timeout, and does
/// not look complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_events_end_at_the_timeout() {
    let platform = Platform::start().await;
    set_decode_engines(&platform, Behaviour::EndlessEvents);
    let started = Instant::now();
    let answer = tokio::time::timeout(STREAM_LIMIT * 2, platform.call("POST", "/text/1")).await;
    let answer = answer.expect("the stream ends");
    assert!(!answer.is_complete);
    assert!(started.elapsed() < STREAM_LIMIT, "{:?}", started.elapsed());
}

/// Guards against passing on bytes without end that are no event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_that_are_no_event_end_the_stream() {
    let platform = Platform::start().await;
    set_decode_engines(&platform, Behaviour::EndlessBytes);
    for path in ["/text/1", "/long/1"] {
        let started = Instant::now();
        let answer = tokio::time::timeout(STREAM_LIMIT * 2, platform.call("POST", path)).await;
        let answer = answer.expect("the stream ends");
        assert!(!answer.is_complete, "{path}");
        assert!(
            answer.body.len() <= 128 << 10,
            "{} bytes",
            answer.body.len()
        );
        assert!(started.elapsed() < Duration::from_secs(2), "{path}");
    }
}

/// Guards against a stalled stream that counts as sound because a byte arrives now and then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trickling_stream_goes_on_at_another_engine() {
    let platform = Platform::start().await;
    platform.upstream("d-0").set_behaviour(Behaviour::Trickle);
    let whole: String = (0..EVENT_COUNT).map(event).collect();
    for _ in 0..2 {
        let started = Instant::now();
        let answer = tokio::time::timeout(STREAM_LIMIT * 2, platform.call("POST", "/long/1")).await;
        let answer = answer.expect("the stream ends");
        assert_eq!(answer.body, whole);
        assert!(answer.is_complete);
        assert!(started.elapsed() < RESUME_LIMIT, "{:?}", started.elapsed());
    }
}

/// Guards against cutting a stream that is slow but sound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_stream_arrives_whole() {
    let platform = Platform::start().await;
    set_decode_engines(&platform, Behaviour::SlowEvents);
    let whole: String = (0..EVENT_COUNT).map(event).collect();
    for path in ["/text/1", "/long/1"] {
        let mut req = platform.request("POST", path);
        let patient = "4000".parse().expect("value");
        req.headers_mut().insert("x-deadline-ms", patient);
        let answer = platform.send(req).await;
        assert_eq!((answer.body.as_str(), answer.is_complete), (&*whole, true));
    }
}

/// Guards against cutting a stream that seems stalled while no other engine has room for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_stream_is_kept_while_no_other_engine_has_room() {
    let platform = Platform::start_with_reservations().await;
    set_decode_engines(&platform, Behaviour::PausedEvents);
    let mut req = platform.request("POST", "/long/1");
    let patient = "4000".parse().expect("value");
    req.headers_mut().insert("x-deadline-ms", patient);
    let calling = platform.send(req);
    let filling = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        set_decode_engines(&platform, Behaviour::Shed);
    };
    let (answer, ()) = tokio::join!(calling, filling);
    let whole: String = (0..EVENT_COUNT).map(event).collect();
    assert_eq!((answer.body.as_str(), answer.is_complete), (&*whole, true));
}

/// Guards against an endless answer of a plain service that fills a host's memory or keeps its caller from another upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answer_of_a_service_is_given_up() {
    let platform = Platform::start().await;
    platform
        .upstream("s-0")
        .set_behaviour(Behaviour::EndlessBytes);
    for _ in 0..4 {
        let answer = tokio::time::timeout(STREAM_LIMIT, platform.call("GET", "/read/1")).await;
        let answer = answer.expect("the call ends");
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, "done by s-1");
    }
}

/// Guards against a response head without end: it is given up after a bounded number of bytes, and the connection is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_head_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("address");
    let server = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("connection");
        let mut buf = [0; 4096];
        let _ = socket.read(&mut buf).await.expect("request");
        let mut sent = 0;
        let line = format!("x-header: {}\r\n", "y".repeat(1000));
        if socket.write_all(b"HTTP/1.1 200 OK\r\n").await.is_ok() {
            while socket.write_all(line.as_bytes()).await.is_ok() {
                sent += line.len();
            }
        }
        sent
    });
    let transport = PooledTransport(UpstreamPool::new());
    let limits = SendLimits {
        connect_timeout: Duration::from_secs(1),
        deadline: Instant::now() + Duration::from_secs(10),
        may_reuse_connection: false,
    };
    let req = Request::get("/").body(Full::default()).expect("request");
    let sent = transport.send(address, req, limits).await;
    assert!(matches!(sent, Err(SendFailure::Invalid { .. })));
    // What the kernel buffers comes on top of what the host reads.
    let written = server.await.expect("server ends");
    assert!(written < 16 << 20, "{written}");
}

/// Answers one request with `count` interim responses, and a final one after them.
async fn answer_after_interim(listener: &TcpListener, count: usize) {
    let (mut socket, _) = listener.accept().await.expect("connection");
    let mut buf = [0; 4096];
    let _ = socket.read(&mut buf).await.expect("request");
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for _ in 0..count {
        if socket.write_all(interim.as_bytes()).await.is_err() {
            return;
        }
    }
    let last = socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    // The host may have closed the connection.
    let _ = last.await;
}

/// Guards against interim responses without end, which keep a host busy until the deadline, and against the loss of a response that follows
/// a few of them; for calls to upstreams, and for those to the store and to the project's own engines.
#[tokio::test]
async fn interim_responses_without_end_are_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("address");
    for (count, is_answered) in [(3, true), (1_000_000, false)] {
        let transport = PooledTransport(UpstreamPool::new());
        let limits = SendLimits {
            connect_timeout: Duration::from_secs(1),
            deadline: Instant::now() + Duration::from_secs(10),
            may_reuse_connection: false,
        };
        let req = Request::get("/").body(Full::default()).expect("request");
        let sending = transport.send(address, req, limits);
        let (sent, ()) = tokio::join!(sending, answer_after_interim(&listener, count));
        match sent {
            Ok(_) => assert!(is_answered),
            Err(e) => assert!(
                !is_answered && matches!(e, SendFailure::Invalid { .. }),
                "{e}"
            ),
        }
        let req = Request::get(format!("http://{address}/")).body(Full::default());
        let client = HttpClient::default();
        let sending = client.send(req.expect("request"), Duration::from_secs(10));
        let (sent, ()) = tokio::join!(sending, answer_after_interim(&listener, count));
        assert_eq!(sent.is_ok(), is_answered);
    }
}
