//! A runner hangs in the middle of an error answer, and the host holds the request without a limit.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::{Host, HostSettings, SWANREACH, give_up};
use crate::http::{self, Message};
use crate::record;
use crate::runner::{Override, Runner, client_request, configuration};
use crate::store::Store;

/// The timeout of the route (`timeoutMs`), as a version may set it.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time after it by which the rule wants a final answer.
const SLACK: Duration = Duration::from_millis(500);

/// For how long a client waits: four times the objective of 900 ms.
const CLIENT_PATIENCE: Duration = Duration::from_millis(3600);

/// The share of its requests that the one runner fails.
const FAILED_SHARE: f64 = 0.4;

/// For how long streams are sent, and how many in a second.
const TIME: Duration = Duration::from_secs(30);
const STREAMS_PER_SECOND: f64 = 13.0;

/// A stream's tokens and the time between two.
const TOKENS: u32 = 20;
const TOKEN_INTERVAL: Duration = Duration::from_millis(30);

pub fn run(folder: &Path, has_trouble: bool) -> Vec<String> {
    let store = Store::start();
    let config = configuration(3);
    let timeout = format!(r#""timeoutMs":{}"#, ROUTE_TIMEOUT.as_millis());
    store.write(
        "op/config",
        &config.replace(r#""timeoutMs":14000"#, &timeout),
    );
    let mut runners = Vec::new();
    // One of seven runners is grey.
    for i in 0..7 {
        let stage = if i < 2 { "prefill" } else { "decode" };
        let (id, zone) = (format!("i-engine{i}"), SWANREACH.zones[i % 4]);
        let special = streams(has_trouble && i == 4);
        runners.push(Runner::start(
            &store,
            &id,
            "draft-llm",
            zone,
            stage,
            Some(special),
        ));
    }
    let settings = HostSettings {
        sheet: &SWANREACH,
        name: "front-coast-1-1".to_owned(),
        zone: SWANREACH.zones[0].to_owned(),
        store: store.address,
        bootstrap: true,
    };
    let host = Host::start(&settings, folder);
    if !host.wait_ready(Duration::from_secs(10)) {
        give_up("the host isn't ready");
    }
    let times: Mutex<Vec<(String, Option<Duration>)>> = Mutex::default();
    thread::scope(|scope| {
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < TIME {
            while f64::from(number) < start.elapsed().as_secs_f64() * STREAMS_PER_SECOND {
                number += 1;
                let (to, times) = (host.callers, &times);
                scope.spawn(move || {
                    let outcome = stream(number, to);
                    times.lock().expect("poisoned").push(outcome);
                });
            }
            thread::sleep(Duration::from_millis(5));
        }
    });
    drop(host);
    let times = times.into_inner().expect("poisoned");
    let is_long = |took: &Option<Duration>| took.is_none_or(|took| took > ROUTE_TIMEOUT);
    let long: Vec<_> = times.iter().filter(|(_, took)| is_long(took)).collect();
    let is_late = |took: &Option<Duration>| took.is_none_or(|took| took > ROUTE_TIMEOUT + SLACK);
    let late = long.iter().filter(|(_, took)| is_late(took)).count();
    record!(
        "{} of {} requests lasted longer than the timeout, {late} had no final answer 0.5 s after it",
        long.len(),
        times.len()
    );
    if late >= 8 && late * 4 > long.len() {
        return vec![format!(
            "{late} of {} requests that lasted longer than their route's timeout had no final answer 0.5 s after it",
            long.len()
        )];
    }
    Vec::new()
}

/// An engine's streams. A grey one fails some of them: it answers 500 and hangs in the middle of the body.
fn streams(is_grey: bool) -> Override {
    let runs = AtomicU32::new(0);
    Box::new(
        move |runner: &Runner, req: &Message, socket: &mut TcpStream| {
            if req.path().starts_with("/api/")
                || req.path() == "/healthz"
                || req.header("x-stage") == "prefill"
            {
                return None;
            }
            runner.record_run(req);
            let id = req.header("x-request-id");
            let run = f64::from(runs.fetch_add(1, Ordering::Relaxed));
            if is_grey && ((run + 1.0) * FAILED_SHARE).floor() > (run * FAILED_SHARE).floor() {
                let body = r#"{"error":"out of order"}"#;
                let head = format!(
                    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n",
                    body.len(),
                    runner.answer_headers(req)
                );
                record!("runner {}: hangs in its answer to {id}", runner.id);
                let _ = socket.write_all(format!("{head}{}", &body[..body.len() / 2]).as_bytes());
                // It hangs for as long as its caller keeps the connection.
                let _ = socket.set_read_timeout(Some(Duration::from_secs(10)));
                let _ = std::io::Read::read(socket, &mut [0; 1]);
                return Some(false);
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\r\n",
                runner.answer_headers(req)
            );
            let mut is_sent = socket.write_all(head.as_bytes()).is_ok();
            for number in 1..=TOKENS {
                thread::sleep(TOKEN_INTERVAL);
                let event = format!("id: {number}\ndata: t{number:03}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                is_sent = is_sent && socket.write_all(chunk.as_bytes()).is_ok();
                if !is_sent {
                    return Some(false);
                }
            }
            Some(socket.write_all(b"0\r\n\r\n").is_ok())
        },
    )
}

/// Asks for one stream. Returns its id and when its answer ended, if it did before the client left.
fn stream(number: u32, to: SocketAddr) -> (String, Option<Duration>) {
    let id = format!("s-{number}");
    let request = client_request("POST", "/draft/1", &id, id.as_bytes());
    let request = String::from_utf8_lossy(&request).into_owned();
    // Parts of its own, so that one prompt says nothing of another.
    let parts = format!("a{number:07x}:200,b{number:07x}:800");
    let request = request.replace("5c1e07a2:200,91bd3f06:800", &parts);
    let start = Instant::now();
    let answer = http::call(to, request.as_bytes(), CLIENT_PATIENCE);
    let took = start.elapsed();
    record!(
        "client: {id} got {} complete={} after {} ms {}",
        answer.message.start,
        answer.is_complete,
        took.as_millis(),
        answer.error
    );
    // A broken connection is an end too; a client that left got none.
    let has_left = !answer.is_complete && took >= CLIENT_PATIENCE;
    (id, (!has_left).then_some(took))
}
