//! A runner that states the length of its stream crashes. Another runner goes on, its events take more bytes, and the client gets a
//! stream that is cut at the stated length and looks complete.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::{Host, HostSettings, SWANREACH, give_up};
use crate::http::{self, Message};
use crate::record;
use crate::runner::{Override, Runner, client_request, configuration};
use crate::store::Store;

/// The tokens of a stream, as the sheet's 69 tokens out, and the time between two.
const TOKENS: u32 = 69;
const TOKEN_INTERVAL: Duration = Duration::from_millis(30);

/// The clients, each of which reads one stream after the other.
const CLIENTS: usize = 8;

/// When a runner crashes, for how long it is down, and when the run ends.
const CRASH_AT: Duration = Duration::from_secs(6);
const DOWN_FOR: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(12);

pub fn run(folder: &Path, has_trouble: bool) -> Vec<String> {
    let store = Store::start();
    store.write("op/config", &configuration(3));
    let is_down = Arc::new(AtomicBool::new(false));
    let mut runners = Vec::new();
    for i in 0..6 {
        let stage = if i < 2 { "prefill" } else { "decode" };
        // The runner that crashes puts two tokens into an event, the others put one.
        let special = if i == 2 {
            streams(2, Some(is_down.clone()))
        } else {
            streams(1, None)
        };
        let (id, zone) = (format!("i-engine{i}"), SWANREACH.zones[i % 4]);
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
        name: "front-coast-3-1".to_owned(),
        zone: SWANREACH.zones[2].to_owned(),
        store: store.address,
        bootstrap: true,
    };
    let host = Host::start(&settings, folder);
    if !host.wait_ready(Duration::from_secs(10)) {
        give_up("the host isn't ready");
    }
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let to = host.callers;
            thread::spawn(move || read_streams(client, to, start))
        })
        .collect();
    if has_trouble {
        thread::sleep(CRASH_AT);
        is_down.store(true, Ordering::Relaxed);
        record!("runner i-engine2: crashes");
        thread::sleep(DOWN_FOR);
        is_down.store(false, Ordering::Relaxed);
        record!("runner i-engine2: is back");
    }
    let broken = clients.into_iter().map(|client| client.join());
    let broken: Vec<String> = broken
        .flat_map(|found| found.unwrap_or_else(|_| give_up("a client failed")))
        .collect();
    drop(host);
    broken
}

/// A runner's streams, with `tokens_per_event` tokens in each event. The id of an event is the number of its last token. While `is_down`
/// holds, the runner is down: its connections end, and new ones get nothing.
fn streams(tokens_per_event: u32, is_down: Option<Arc<AtomicBool>>) -> Override {
    Box::new(
        move |runner: &Runner, req: &Message, socket: &mut TcpStream| {
            let is_down = || {
                is_down
                    .as_ref()
                    .is_some_and(|down| down.load(Ordering::Relaxed))
            };
            if is_down() {
                let _ = socket.shutdown(Shutdown::Both);
                return Some(false);
            }
            if req.path().starts_with("/api/")
                || req.path() == "/healthz"
                || req.header("x-stage") == "prefill"
            {
                return None;
            }
            runner.record_run(req);
            let id = req.header("x-request-id");
            let done: u32 = req.header("last-event-id").parse().unwrap_or(0);
            let mut events = Vec::new();
            let mut first = done + 1;
            while first <= TOKENS {
                let last = (first + tokens_per_event - 1).min(TOKENS);
                let tokens: Vec<_> = (first..=last)
                    .map(|number| format!("t{number:03}"))
                    .collect();
                events.push(format!("id: {last}\ndata: {}\n\n", tokens.join(" ")));
                first = last + 1;
            }
            let length: usize = events.iter().map(String::len).sum();
            record!(
                "runner {}: stream of {id} after token {done}, {length} bytes",
                runner.id
            );
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: {length}\r\n{}\r\n",
                runner.answer_headers(req)
            );
            let mut is_sent = socket.write_all(head.as_bytes()).is_ok();
            for event in events {
                thread::sleep(TOKEN_INTERVAL * tokens_per_event);
                if is_down() {
                    let _ = socket.shutdown(Shutdown::Both);
                    return Some(false);
                }
                is_sent = is_sent && socket.write_all(event.as_bytes()).is_ok();
                if !is_sent {
                    return Some(false);
                }
            }
            Some(true)
        },
    )
}

/// Reads one stream after the other, and returns those that looked complete and weren't.
fn read_streams(client: usize, to: SocketAddr, start: Instant) -> Vec<String> {
    let mut broken = Vec::new();
    let mut number = 0;
    while start.elapsed() < END_AT {
        number += 1;
        let id = format!("s-{client}-{number}");
        let request = client_request("POST", "/review/1", &id, id.as_bytes());
        let request = String::from_utf8_lossy(&request).into_owned();
        // Parts of its own, so that one prompt says nothing of another.
        let parts = format!("a{client:03x}{number:04x}:200,b{client:03x}{number:04x}:800");
        let request = request.replace("5c1e07a2:200,91bd3f06:800", &parts);
        let answer = http::call(to, request.as_bytes(), Duration::from_secs(14));
        let body = String::from_utf8_lossy(&answer.message.body);
        let tokens: Vec<_> = (1..=TOKENS)
            .filter(|t| body.contains(&format!("t{t:03}")))
            .collect();
        let got = tokens.len();
        record!(
            "client: {id} got {} with {got} of {TOKENS} tokens, {} bytes, complete={} {}",
            answer.message.start,
            body.len(),
            answer.is_complete,
            answer.error
        );
        let is_success = answer.message.status() == 200 && answer.is_complete;
        if is_success && got < TOKENS as usize {
            broken.push(format!(
                "{id}: ended as complete with {got} of {TOKENS} tokens, at the length that the first runner stated ({})",
                answer.message.header("content-length")
            ));
        }
    }
    broken
}
