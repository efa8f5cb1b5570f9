//! Times and numbers from outside the process that are far above any that makes sense. The sum of such a time and a clock panics.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use hibiscusspread::connection::codec::{decode_exactly, encode};
use hibiscusspread::connection::forward::upstream_pool::{PooledTransport, UpstreamPool};
use hibiscusspread::platform::requests::PlatformCallCodec;
use hibiscusspread::prelude::*;
use hibiscusspread::process::allowance::{Allowance, CustomerLimit};
use hibiscusspread::process::message::{
    BorrowReply, ChargeReply, CustomerState, LoanState, PlaceReply,
};

use hibiscusspread::process::pool::load::CorrectedLoad;
use hibiscusspread::process::stated_time::{MAX_STATED_TIME, from_secs, time_at_rate};
use hibiscusspread::request::engine::EngineLoad;
use hibiscusspread::request::forward::codec::CallCodec;
use hibiscusspread::request::forward::transport::{SendLimits, UpstreamTransport, read_whole};
use hibiscusspread::version::fields::{Fields, Problem, parse_ini};

use crate::platform_stand_in::{Platform, configuration_with_reservations};

/// Seconds: the largest whole numbers of 64 bits, and the first that overflows them.
const HUGE_SECONDS: [&str; 4] = [
    "9223372036854775807",
    "18446744073709551614",
    "18446744073709551615",
    "18446744073709551616",
];

/// Answers each request on a connection with `head` and an empty body.
async fn answer_with(listener: TcpListener, head: String) {
    while let Ok((mut socket, _)) = listener.accept().await {
        let head = head.clone();
        tokio::spawn(async move {
            let mut buf = [0; 4096];
            while matches!(socket.read(&mut buf).await, Ok(read) if read > 0) {
                if socket.write_all(head.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Guards against a panic on a long keep-alive time, by which the caller's connection ends without the answer.
#[tokio::test]
async fn answer_with_a_huge_keep_alive_time_arrives() {
    for seconds in HUGE_SECONDS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address: SocketAddr = listener.local_addr().expect("address");
        let head = format!(
            "HTTP/1.1 200 OK\r\nkeep-alive: timeout={seconds}\r\ncontent-length: 2\r\n\r\nok"
        );
        let server = tokio::spawn(answer_with(listener, head));
        let transport = PooledTransport(UpstreamPool::new());
        for _ in 0..3 {
            let limits = SendLimits {
                connect_timeout: Duration::from_secs(1),
                deadline: Instant::now() + Duration::from_secs(2),
                may_reuse_connection: true,
            };
            let req = Request::get("/").body(Full::default()).expect("request");
            let response = transport.send(address, req, limits).await.expect("answer");
            let body = read_whole(&mut response.into_body(), 1024).await;
            assert_eq!(
                body.expect("whole").as_deref(),
                Some(&b"ok"[..]),
                "{seconds}"
            );
        }
        server.abort();
    }
}

/// Guards against a configuration or a request with a huge time by which requests end without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_huge_times_are_served() {
    let platform = Platform::start_unconfigured().await;
    let mut document = configuration_with_reservations(1);
    let huge = json!(1.8e22);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = u64::MAX.into();
        route["targetLatencyMs"] = huge.clone();
        route["gapTargetMs"] = huge.clone();
    }
    let engine = &mut document["services"][0]["engine"];
    engine["kvHoldS"] = json!(1.8e19);
    engine["holdMs"] = huge.clone();
    document["limits"]["idleTimeoutMs"] = u64::MAX.into();
    platform.configure(&document).await;
    platform.wait_ready().await;
    for (method, path) in [
        ("POST", "/text/1"),
        ("POST", "/long/1"),
        ("POST", "/book/1"),
        ("GET", "/read/1"),
    ] {
        let mut req = platform.request(method, path);
        req.headers_mut().insert("x-deadline-ms", u64::MAX.into());
        let answer = platform.send(req).await;
        assert_eq!((answer.status, answer.is_complete), (200, true), "{path}");
    }
}

/// Guards against a request with huge token counts that ends without an answer, or overflows the work of the engines so that others do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_huge_token_counts_leave_others_alone() {
    let platform = Platform::start_unconfigured().await;
    let mut document = configuration_with_reservations(1);
    document["tenants"][0]["ratePerS"] = 0.into();
    platform.configure(&document).await;
    platform.wait_ready().await;
    let huge = format!("{0},{0}", u64::MAX);
    let huge = &*huge;
    for path in ["/text/1", "/long/1", "/book/1"] {
        let send = |counts: &str| {
            let mut req = platform.request("POST", path);
            let counts = counts.parse().expect("value");
            req.headers_mut().insert("x-token-counts", counts);
            platform.send(req)
        };
        let answers = tokio::join!(send(huge), send("1000,100"), send(huge), send("1000,100"));
        for answer in [answers.0, answers.2] {
            assert!(matches!(answer.status, 200 | 503), "{path}: {answer:?}");
        }
        for answer in [answers.1, answers.3] {
            assert_eq!(answer.status, 200, "{path}: {answer:?}");
        }
    }
}

/// Guards against a refusal whose predicted wait is too long to be encoded, with the jitter that hosts add.
#[test]
fn refusal_after_a_huge_wait_can_be_encoded() {
    let refusal = Refusal::not_run(RefusalKind::RateLimited, "later");
    let wait = refusal.with_retry_after(Duration::MAX).retry_after;
    let wait = wait.expect("wait").mul_f64(1.2);
    assert!(PlatformCallCodec.retry_after(wait).is_some());
}

/// Guards against numbers of seconds that are no time, and against those that are too many to be added to a clock.
#[test]
fn numbers_of_seconds_become_times_that_count() {
    for no_time in [f64::NAN, f64::NEG_INFINITY, -0.001, f64::INFINITY, 1.9e19] {
        assert_eq!(from_secs(no_time), None, "{no_time}");
    }
    for huge in [1.8e19, 9.3e18] {
        assert_eq!(from_secs(huge), Some(MAX_STATED_TIME), "{huge}");
    }
    assert_eq!(from_secs(0.25), Some(Duration::from_millis(250)));
    assert_eq!(time_at_rate(Tokens::MAX, 0), MAX_STATED_TIME);
}

/// Guards against an engine whose report of a huge queue ends the task that chooses engines.
#[test]
fn huge_reported_queue_is_a_long_wait() {
    let now = Instant::now();
    let mut load = CorrectedLoad::default();
    let report = EngineLoad {
        queued_tokens: Tokens::MAX,
        ..EngineLoad::default()
    };
    load.record_report(&report, now);
    assert_eq!(load.prefill_wait(0, now), MAX_STATED_TIME);
}

fn sent<T: serde::Serialize + serde::de::DeserializeOwned>(message: &T) -> T {
    let bytes = encode(message).expect("encoded");
    decode_exactly::<T, 4096>(&bytes).expect("decoded")
}

/// Guards against a message of another host with a huge time that ends the task which receives it.
#[test]
fn huge_times_in_messages_count_as_the_longest() {
    let huge = Duration::MAX;
    assert_eq!(
        sent(&ChargeReply::Later(huge)),
        ChargeReply::Later(MAX_STATED_TIME)
    );
    let busy = PlaceReply::Busy {
        expected_wait: huge,
    };
    let expected_wait = MAX_STATED_TIME;
    assert_eq!(sent(&busy), PlaceReply::Busy { expected_wait });
    let lent = sent(&BorrowReply::Lent {
        rate: 1,
        burst: 1,
        tokens: 1,
        ttl: huge,
    });
    assert!(matches!(lent, BorrowReply::Lent { ttl, .. } if ttl == MAX_STATED_TIME));
    let state = sent(&CustomerState {
        customer: "c".into(),
        level: 0,
        floor_wait: huge,
        whole_wait: huge,
        given: vec![LoanState {
            loan: 1,
            to: "x".into(),
            round: 1,
            rate: 1,
            burst: 1,
            left: huge,
        }],
        charges: Vec::new(),
        demand: 0,
        shortage: Some((huge, true)),
    });
    let limit = CustomerLimit {
        version: 1,
        rate: 10,
        burst: 1_000,
        home_share: 1_000_000,
    };
    let now = Instant::now();
    let owner = Allowance::from_hand_over(limit, 2, &state, now);
    assert_eq!(owner.epoch(), 2);
}

/// Guards against a setting of a time that can't be added to a clock.
#[test]
fn setting_of_a_huge_time_is_a_problem() {
    let ini = parse_ini("test", "[a]\nlong = 2years\nshort = 2h").expect("INI");
    let mut problems: Vec<Problem> = Vec::new();
    let mut fields = Fields::new("test", "a", ini.section(Some("a")), &mut problems);
    let default = Duration::from_secs(1);
    assert_eq!(fields.duration("long", default), default);
    assert_eq!(fields.duration("short", default), Duration::from_hours(2));
    fields.finish();
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!(problems[0].key, "long");
}
