//! One of two servers spoils each 50th of its answers: the body ends with bytes that look like the head of another HTTP answer.
#[path = "../common.rs"]
mod common;

use common::*;
use std::path::Path;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicU32, Ordering};

const SEEN: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

fn main() {
    let case = Path::new("review/1");
    let record = Record::create(case);
    let folder = Folder::create("1");
    let (store, store_address) = Store::start();
    let config = r#"{"version":1,"routes":[{"name":"r-read","hostname":"a.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":100,"priority":2,"service":"desk","maxAttempts":2,"public":false}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
    store.put("op/config", config);
    let runs = Arc::new(AtomicU32::new(0));
    // The body that a server sent for a request.
    let sent = Arc::new(Mutex::new(HashMap::<String, String>::new()));
    for n in 1..=2 {
        let (record, runs) = (record.clone(), runs.clone());
        let id = format!("i-desk-{n}");
        let own = id.clone();
        let answered = AtomicU32::new(0);
        let sent = sent.clone();
        let address = serve(move |req, wire| {
            let request = req.header("x-request-id").unwrap_or("-").to_owned();
            if req.path() == "/healthz" {
                wire.send(&answer("200 OK", &[("X-Instance-Id", &own)], b""))?;
                return Ok(true);
            }
            runs.fetch_add(1, Ordering::Relaxed);
            let answers = answered.fetch_add(1, Ordering::Relaxed) + 1;
            let spoils = trouble() && n == 1 && answers % 50 == 0;
            let body = if spoils { format!("exchange of {}\r\n{SEEN}", req.path()) } else { format!("state of {}: accepted", req.path()) };
            sent.lock().unwrap().insert(request.clone(), body.clone());
            record.line(format!("{own} ran {request} {} and answered 200 with {} bytes", req.path(), body.len()));
            let headers = [("X-Request-Id", request.as_str()), ("X-Server-Stamp", "3e1b.07.5a2"), ("Content-Type", "text/plain")];
            wire.send(&answer("200 OK", &headers, body.as_bytes()))?;
            Ok(true)
        });
        store.put(&format!("servers/{id}"), &registration("desk", address, "z1", 6, None));
    }
    let hosts: Vec<Host> = (1..=2).map(|n| Host::start(&format!("front-{n}"), "z1", store_address, &folder.0)).collect();
    for host in &hosts {
        host.wait_ready();
    }
    let mut broken = 0;
    // 20 clients, each with a kept connection.
    for client in 0..20 {
        let host = &hosts[client % 2];
        let mut wire = connect(host.callers, 2500).unwrap_or_else(|e| cannot_run(&e.to_string()));
        for turn in 0..30 {
            let (id, path) = (format!("{:016x}", client * 100 + turn), format!("/read/{client}-{turn}"));
            record.line(format!("client {client} sends {id} GET {path}"));
            let request = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\n\r\n");
            if wire.send(request.as_bytes()).is_err() {
                record.line(format!("client {client}: connection closed; opens another"));
                wire = connect(host.callers, 2500).unwrap_or_else(|e| cannot_run(&e.to_string()));
                let _ = wire.send(request.as_bytes());
            }
            match wire.answer() {
                Ok(a) if a.status == 200 => {
                    let wanted = sent.lock().unwrap().get(&id).cloned().unwrap_or_default();
                    if a.body == wanted.as_bytes() && a.header("x-request-id") == Some(id.as_str()) {
                        record.line(format!("client {client} got {id}: 200, the server's whole body"));
                    } else {
                        broken += 1;
                        record.line(format!("client {client} got {id}: MIXED: 200, stamp {:?}, body {:?}; the server sent {wanted:?}", a.header("x-server-stamp"), String::from_utf8_lossy(&a.body)));
                    }
                }
                Ok(a) if a.start.starts_with("HTTP/1.1 ") && a.status > 0 => record.line(format!("client {client} got {id}: {:?}", a.start)),
                Ok(a) => {
                    broken += 1;
                    record.line(format!("client {client} got {id}: MIXED: bytes that are no answer: {:?}", a.start));
                }
                Err(e) => {
                    record.line(format!("client {client} got {id}: no answer: {e}; bytes left over: {:?}", String::from_utf8_lossy(&wire.buf)));
                    wire = connect(host.callers, 2500).unwrap_or_else(|e| cannot_run(&e.to_string()));
                }
            }
        }
    }
    record.line(format!("requests run {}, answers that break MIXED {broken}", runs.load(Ordering::Relaxed)));
    println!("requests run {}, answers that break MIXED {broken}", runs.load(Ordering::Relaxed));
    drop((hosts, folder));
    std::process::exit(i32::from(broken > 0));
}
