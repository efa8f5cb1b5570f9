//! The bounds on callers, malformed requests, drains, and calls of plain services.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use hibiscusspread::connection::caller_listener::CallerSettings;
use hibiscusspread::connection::http_client::AnswerBody;
use hibiscusspread::connection::service::HttpUpstreams;
use hibiscusspread::emulator::booking::{BookingFaults, CrashPoint};
use hibiscusspread::emulator::engine::EngineSettings;
use hibiscusspread::prelude::*;
use hibiscusspread::process::settings::Settings;
use hibiscusspread::request::service::ServiceCall;

use crate::engine_fleet::{Fleet, PROMPT, TEST_TIMEOUT, completion, slow_engines, wait_for};
use crate::support::KEY;

async fn fleet_with(change: impl FnOnce(&mut CallerSettings)) -> Fleet {
    let mut settings = Settings::default();
    change(&mut settings.callers);
    Fleet::with_settings(1, EngineSettings::default(), settings).await
}

async fn connect(fleet: &Fleet) -> TcpStream {
    let connected = TcpStream::connect(fleet.node.callers_address).await;
    connected.expect("host accepts")
}

/// Sends bytes and returns all that comes back until the host closes the connection.
async fn exchange(fleet: &Fleet, bytes: &[u8]) -> String {
    let mut socket = connect(fleet).await;
    socket.write_all(bytes).await.expect("host reads");
    read_to_close(&mut socket).await
}

async fn read_to_close(socket: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = timeout(TEST_TIMEOUT, socket.read_to_end(&mut answer)).await;
    read.expect("host closes").expect("connection is whole");
    String::from_utf8_lossy(&answer).into_owned()
}

fn raw_completion(body: &str, last: bool) -> String {
    let connection = if last { "connection: close\r\n" } else { "" };
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n{connection}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn assert_refused(answer: &str, status: &str, what: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{what}: {answer}"
    );
    assert!(answer.contains(r#""run":"not_run""#), "{what}: {answer}");
}

/// Guards against malformed HTTP that gets no refusal in the JSON form, or ends the process.
#[tokio::test]
async fn refuses_malformed_http_as_json() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let long = format!(
        "GET / HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n",
        "a".repeat(40_000)
    );
    let many = "x: 1\r\n".repeat(200);
    let many = format!("GET / HTTP/1.1\r\nhost: h\r\n{many}\r\n");
    let cases = [
        ("garbage\r\n\r\n", "400"),
        ("GET /\u{1} HTTP/1.1\r\nhost: h\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nbad header\r\n\r\n", "400"),
        (
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: -1\r\n\r\n",
            "400",
        ),
        (
            "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
            "400",
        ),
        (&long, "431"),
        (&many, "431"),
    ];
    for (bytes, status) in cases {
        let what: String = bytes.chars().take(60).collect();
        assert_refused(&exchange(&fleet, bytes.as_bytes()).await, status, &what);
    }
    assert_eq!(fleet.sum(|c| c.prefills), 0);
}

/// Guards against JSON of wrong types, absurd token counts or nesting that runs, holds something or ends the process.
#[tokio::test]
async fn refuses_malformed_json() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let deep = format!(
        r#"{{"model":"forecast","prompt":"x","a":{}"#,
        "[".repeat(100_000)
    );
    let cases = [
        "",
        "{",
        "null",
        "[]",
        "\"x\"",
        &deep,
        r#"{"model":1,"prompt":"x"}"#,
        r#"{"model":"forecast","prompt":["x"]}"#,
        r#"{"model":"forecast","prompt":"x","stream":"yes"}"#,
        r#"{"model":"forecast","prompt":"x","max_tokens":-1}"#,
        r#"{"model":"forecast","prompt":"x","max_tokens":1.5}"#,
        r#"{"model":"forecast","prompt":"x","max_tokens":1e30}"#,
        r#"{"model":"forecast","prompt":"x","max_tokens":"8"}"#,
        r#"{"model":"forecast","prompt":"x","max_tokens":4294967295}"#,
        r#"{"model":"forecast","prompt":"x","max_tokens":18446744073709551616}"#,
        r#"{"model":"forecast","prompt":"x","max_tokens":1,"max_tokens":2}"#,
    ];
    for body in cases {
        let answer = exchange(&fleet, raw_completion(body, true).as_bytes()).await;
        let what: String = body.chars().take(80).collect();
        assert_refused(&answer, "400", &what);
    }
    let mut bytes = raw_completion("{\"model\":\"forecast\",\"prompt\":\"xx\"}", true).into_bytes();
    let end = bytes.len() - 4;
    bytes[end] = 0xff;
    assert_refused(&exchange(&fleet, &bytes).await, "400", "not UTF-8");
    assert_eq!(fleet.sum(|c| c.prefills), 0);
    assert_eq!(fleet.sum(|c| c.held as u64), 0);
}

/// Guards against bodies beyond the limit that are held in memory, announced or not, and against a refusal that the
/// caller can't read because the connection is reset.
#[tokio::test]
async fn refuses_bodies_beyond_the_limit() {
    let fleet = fleet_with(|s| s.body_limit = 10_000).await;
    let body = "a".repeat(15_000);
    let answer = exchange(&fleet, raw_completion(&body, true).as_bytes()).await;
    assert_refused(&answer, "413", "announced");
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n3a98\r\n{body}\r\n0\r\n\r\n"
    );
    let answer = exchange(&fleet, chunked.as_bytes()).await;
    assert_refused(&answer, "413", "chunked");
}

/// Guards against many bodies, each within the limit, that together use up the host's memory, and against memory that
/// stays reserved for a caller that left.
#[tokio::test]
async fn bounds_the_memory_of_all_bodies() {
    let fleet = fleet_with(|s| {
        s.body_limit = 8 << 10;
        s.body_memory = 8 << 10;
    })
    .await;
    let large = raw_completion(&" ".repeat(6_000), true);
    let small = raw_completion(&" ".repeat(3_000), true);
    let mut sender = connect(&fleet).await;
    let part = &large.as_bytes()[..large.len() / 2];
    sender.write_all(part).await.expect("host reads");
    let refused = async {
        loop {
            let answer = exchange(&fleet, small.as_bytes()).await;
            if answer.starts_with("HTTP/1.1 503") {
                return answer;
            }
        }
    };
    let refused = timeout(TEST_TIMEOUT, refused)
        .await
        .expect("memory is bounded");
    assert_refused(&refused, "503", "second body");
    assert!(refused.contains("retry-after: 1"), "{refused}");
    drop(sender);
    let accepted = async {
        while exchange(&fleet, small.as_bytes())
            .await
            .starts_with("HTTP/1.1 503")
        {}
    };
    timeout(TEST_TIMEOUT, accepted)
        .await
        .expect("memory is free again");
    assert_eq!(fleet.sum(|c| c.prefills), 0);
}

/// Guards against callers that hold a connection by sending headers or a body slowly.
#[tokio::test]
async fn ends_slow_senders() {
    let fleet = fleet_with(|s| s.read_timeout = Duration::from_millis(200)).await;
    let answer = exchange(&fleet, b"POST /v1/completions HTTP/1.1\r\nhost:").await;
    assert!(!answer.contains("200 OK"), "{answer}");
    let whole = raw_completion(&completion(PROMPT, 4), true);
    let part = &whole.as_bytes()[..whole.len() - 5];
    assert_refused(&exchange(&fleet, part).await, "400", "slow body");
    assert_eq!(fleet.sum(|c| c.prefills), 0);
}

/// Guards against idle connections that use up the bound on open ones, before the first request or after one.
#[tokio::test]
async fn ends_idle_connections() {
    let fleet = fleet_with(|s| s.read_timeout = Duration::from_millis(200)).await;
    assert_eq!(exchange(&fleet, b"").await, "");
    let request = raw_completion(&completion(PROMPT, 1), false);
    let answer = exchange(&fleet, request.as_bytes()).await;
    assert!(answer.contains("[DONE]"), "{answer}");
}

/// Guards against unusual methods and targets that end the process, reach an upstream or get no refusal.
#[tokio::test]
async fn refuses_unusual_requests() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let head = format!("host: h\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\r\n");
    for line in [
        "CONNECT h:443 HTTP/1.1",
        "OPTIONS * HTTP/1.1",
        "GET /v1/completions HTTP/1.1",
        "DELETE /v1/completions HTTP/1.1",
        "BREW /v1/completions/ HTTP/1.1",
        "GET http://elsewhere/nowhere HTTP/1.1",
        "GET //bookings HTTP/1.1",
        "GET /bookingsx HTTP/1.1",
    ] {
        let answer = exchange(&fleet, format!("{line}\r\n{head}").as_bytes()).await;
        assert_refused(&answer, "4", line);
    }
    let answer = exchange(
        &fleet,
        format!("HEAD /bookings/x HTTP/1.1\r\n{head}").as_bytes(),
    )
    .await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let handshake = [
        0x16, 0x03, 0x01, 0x02, 0x00, 0x01, 0x00, 0x01, 0xfc, 0x03, 0x03,
    ];
    let answer = exchange(&fleet, &[&handshake[..], b"\r\n\r\n"].concat()).await;
    assert_refused(&answer, "400", "TLS handshake");
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let answer = exchange(&fleet, preface).await;
    assert!(!answer.contains("200"), "{answer}");
    assert_eq!(fleet.sum(|c| c.prefills), 0);
    assert_eq!(fleet.bookings[0].booking.booked(), 0);
}

/// Guards against a caller that stops reading its answer and keeps engine memory for ever.
#[tokio::test]
async fn ends_callers_that_do_not_read() {
    let settings = Settings {
        callers: CallerSettings {
            read_timeout: Duration::from_millis(500),
            ..CallerSettings::default()
        },
        ..Settings::default()
    };
    // The engine would generate for longer than `TEST_TIMEOUT`, so that only a cancel can free it in time.
    let engines = EngineSettings {
        token_interval: Duration::from_micros(700),
        ..EngineSettings::default()
    };
    let fleet = Fleet::with_settings(1, engines, settings).await;
    // With a small receive buffer the sockets soon take no more.
    let socket = TcpSocket::new_v4().expect("socket opens");
    socket.set_recv_buffer_size(4_096).expect("size is set");
    let connected = socket.connect(fleet.node.callers_address).await;
    let mut socket = connected.expect("host accepts");
    let request = raw_completion(&completion(PROMPT, 32_000), true);
    socket
        .write_all(request.as_bytes())
        .await
        .expect("host reads");
    let decode = &fleet.decode[0].engine;
    let started = timeout(TEST_TIMEOUT, decode.wait_for(|c| c.streams == 1)).await;
    assert!(started.is_ok());
    fleet.wait_until_free().await;
    let mut answer = Vec::new();
    // A reset also ends the answer.
    let read = timeout(TEST_TIMEOUT, socket.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection stays open");
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.contains("[DONE]"), "the answer came to its end");
}

/// Guards against more open connections than the bound.
#[tokio::test]
async fn bounds_open_connections() {
    let fleet = fleet_with(|s| s.max_connections = 1).await;
    let first = connect(&fleet).await;
    let mut second = connect(&fleet).await;
    let request = raw_completion(&completion(PROMPT, 1), true);
    second.write_all(request.as_bytes()).await.expect("queued");
    let mut byte = [0];
    let early = timeout(Duration::from_millis(300), second.read(&mut byte)).await;
    assert!(
        early.is_err(),
        "a second connection is served beside the first"
    );
    drop(first);
    let answer = read_to_close(&mut second).await;
    assert!(answer.contains("[DONE]"), "{answer}");
}

/// Guards against connections that serve one request only, and against pipelined requests that are lost or answered
/// in another order. A malformed request behind good ones must not spoil their answers.
#[tokio::test]
async fn serves_pipelined_requests_in_order() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let mut bytes = raw_completion(&completion("first", 3), false);
    bytes += &raw_completion("{", false);
    bytes += &raw_completion(&completion("second", 3), false);
    bytes += "garbage\r\n\r\n";
    let answer = exchange(&fleet, bytes.as_bytes()).await;
    let heads: Vec<_> = answer.match_indices("HTTP/1.1 ").collect();
    let statuses: Vec<_> = heads
        .iter()
        .map(|(at, _)| &answer[at + 9..at + 12])
        .collect();
    assert_eq!(statuses, ["200", "400", "200", "400"], "{answer}");
    assert_eq!(answer.matches("data: [DONE]").count(), 2);
    let end = answer.rsplit("\r\n\r\n").next().unwrap_or_default();
    assert!(end.contains(r#""run":"not_run""#), "{answer}");
}

/// Guards against tokens that are held back until the answer is complete.
#[tokio::test]
async fn passes_each_token_at_once() {
    let engines = EngineSettings {
        token_interval: Duration::from_millis(100),
        ..EngineSettings::default()
    };
    let fleet = Fleet::start(1, engines).await;
    let mut stream = fleet.open(PROMPT, 10_000).await;
    stream.read_tokens(1).await;
    stream.read_tokens(2).await;
    assert_eq!(fleet.decode[0].engine.counters().decoding, 1);
}

/// Guards against streams that a planned stop cuts short, and against requests on connections that were opened before
/// the stop but not accepted yet.
#[tokio::test]
async fn drains_without_ending_a_stream_short() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let mut streams = Vec::new();
    for _ in 0..5 {
        let mut stream = fleet.open(PROMPT, 60).await;
        stream.read_tokens(1).await;
        streams.push(stream);
    }
    // Idle connections must not keep the host from stopping.
    let _idle = connect(&fleet).await;
    let address = fleet.node.callers_address;
    let Fleet {
        node,
        decode: _decode,
        prefill: _prefill,
        ..
    } = fleet;
    let drain = tokio::spawn(node.drain());
    for stream in streams {
        stream.read_all().await.assert_whole(PROMPT, 60);
    }
    let drained = timeout(TEST_TIMEOUT, drain).await;
    assert!(drained.is_ok(), "the drain does not end");
    assert!(TcpStream::connect(address).await.is_err());
}

/// Guards against a host that stops before the cancels of callers that left have reached the engines: memory would stay
/// held until the deadline.
#[tokio::test]
async fn drains_the_cancels_of_callers_that_left() {
    let fleet = Fleet::start(1, slow_engines()).await;
    let callers: Vec<_> = (0..10).map(|_| fleet.begin(PROMPT, 500)).collect();
    wait_for(&fleet.prefill[0].engine, |c| c.held > 0).await;
    let Fleet {
        node,
        prefill,
        decode,
        ..
    } = fleet;
    let drain = tokio::spawn(node.drain());
    for caller in callers {
        caller.abort();
    }
    let drained = timeout(TEST_TIMEOUT, drain).await;
    drained.expect("host stops").expect("drain does not panic");
    for running in prefill.iter().chain(&decode) {
        let counters = running.engine.counters();
        assert_eq!(counters.held, 0, "memory stays held: {counters:?}");
    }
}

/// Guards against an idempotency key that is ignored because it can't be read: the booking would run unprotected.
#[tokio::test]
async fn refuses_unreadable_idempotency_keys() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    for key in [
        "idempotency-key: \u{e9}\r\n",
        "idempotency-key: \r\n",
        "idempotency-key: a\r\nidempotency-key: b\r\n",
    ] {
        let bytes = format!(
            "POST /bookings/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n{key}content-length: 2\r\n\r\n{{}}"
        );
        assert_refused(&exchange(&fleet, bytes.as_bytes()).await, "400", key);
    }
    assert_eq!(fleet.bookings[0].booking.booked(), 0);
}

fn booking(fleet: &Fleet, key: &str) -> Request<http_body_util::Full<bytes::Bytes>> {
    let mut req = fleet.request("/bookings/studio-2?slot=18:00", "{}");
    let key = key.parse().expect("key is a header value");
    req.headers_mut().insert("idempotency-key", key);
    req
}

async fn assert_body_has(answer: Response<AnswerBody>, part: &str) {
    let body = answer.into_body().collect().await;
    let body = body.expect("answer is whole").to_bytes();
    let body = String::from_utf8_lossy(&body);
    assert!(body.contains(part), "{body}");
}

/// Guards against a booking that is sent again although it may have run, and against a wrong `run` in its refusal.
#[tokio::test]
async fn sends_no_booking_twice_when_its_runner_crashes() {
    for (point, runs) in [(CrashPoint::BeforeEffect, 0), (CrashPoint::AfterEffect, 1)] {
        let fleet = Fleet::start(2, EngineSettings::default()).await;
        for running in &fleet.bookings {
            running.booking.set_faults(BookingFaults {
                crash: Some(point),
                ..BookingFaults::default()
            });
        }
        let answer = fleet.send(booking(&fleet, "k-1")).await;
        assert_eq!(answer.status(), 502, "{point:?}");
        assert_body_has(answer, r#""run":"unknown""#).await;
        let total: u64 = fleet.bookings.iter().map(|b| b.booking.runs("k-1")).sum();
        assert_eq!(total, runs, "{point:?}");
    }
}

/// Guards against a refused connection that counts as a possible run: the booking must go to another runner, and be
/// refused as not run if there is none.
#[tokio::test]
async fn books_elsewhere_when_connections_are_refused() {
    let fleet = Fleet::start(2, EngineSettings::default()).await;
    fleet.bookings[0].booking.crash();
    fleet.bookings[0].server.wait_listening(false).await;
    // A key runs once, so each booking has its own.
    for key in ["k-2a", "k-2b"] {
        let answer = fleet.send(booking(&fleet, key)).await;
        assert_eq!(answer.status(), 201);
        assert_eq!(fleet.bookings[1].booking.runs(key), 1);
    }
    fleet.bookings[1].booking.crash();
    fleet.bookings[1].server.wait_listening(false).await;
    let answer = fleet.send(booking(&fleet, "k-3")).await;
    assert_eq!(answer.status(), 503);
    assert_body_has(answer, r#""run":"not_run""#).await;
}

/// Guards against a call sent on a connection of a process that is gone: its outcome would be unknown without need.
#[tokio::test]
async fn books_after_a_runner_restarted() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let runner = &fleet.bookings[0];
    for round in 0..3 {
        // A key runs once, so each booking has its own.
        let key = format!("k-4-{round}");
        let answer = fleet.send(booking(&fleet, &key)).await;
        assert_eq!(answer.status(), 201, "round {round}");
        assert_eq!(runner.booking.runs(&key), 1, "round {round}");
        runner.booking.crash();
        runner.server.wait_listening(false).await;
        runner.booking.restart();
        runner.server.wait_listening(true).await;
    }
    assert_eq!(runner.booking.booked(), 3);
}

/// Guards against a late answer that is taken for a call that did not run.
#[tokio::test]
async fn reports_a_late_answer_as_unknown() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let runner = &fleet.bookings[0];
    runner.booking.set_faults(BookingFaults {
        answer_delay: TEST_TIMEOUT,
        ..BookingFaults::default()
    });
    let mut upstreams = HttpUpstreams::default();
    upstreams.service_timeout = Duration::from_millis(200);
    let service = upstreams.service(&runner.server.address().to_string());
    let call = ServiceCall {
        method: "POST".to_owned(),
        path: "/bookings/x".to_owned(),
        ..ServiceCall::default()
    };
    let error = service.call(call).await.expect_err("answer is late");
    assert_eq!(error.kind, UpstreamErrorKind::Timeout);
    assert_eq!(error.run, Run::Unknown);
    assert_eq!(runner.booking.booked(), 1);
}

/// Guards against credentials and connection headers that reach a service, and against useful ones that are lost.
#[tokio::test]
async fn passes_only_harmless_headers() {
    let fleet = Fleet::start(1, EngineSettings::default()).await;
    let mut req = booking(&fleet, "k-5");
    for (name, value) in [
        ("accept-language", "en-NZ"),
        ("cookie", "session=secret-1"),
        ("x-api-key", "secret-2"),
        ("proxy-authorization", "secret-3"),
        ("te", "trailers"),
        ("x-request-id", "chosen-by-caller"),
    ] {
        req.headers_mut()
            .insert(name, value.parse().expect("valid"));
    }
    let answer = fleet.send(req).await;
    assert_eq!(answer.headers()["location"], "/bookings/1");
    let seen = fleet.bookings[0].server.headers_seen();
    for header in [
        "accept-language: en-NZ",
        "idempotency-key: k-5",
        "content-type: application/json",
    ] {
        assert!(seen.iter().any(|h| h == header), "{header} lost: {seen:?}");
    }
    let id = answer.headers()["x-request-id"].to_str().expect("ASCII");
    assert!(seen.contains(&format!("x-request-id: {id}")), "{seen:?}");
    for secret in ["secret", "authorization", KEY, "te: ", "chosen-by-caller"] {
        assert!(
            !seen.iter().any(|h| h.contains(secret)),
            "{secret}: {seen:?}"
        );
    }
}
