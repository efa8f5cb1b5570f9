//! The operators' port, over real connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use hibiscusspread::connection::operator::{self, OperatorView};
use hibiscusspread::emulator::http::any_loopback;

/// Longer than the port waits for a request; only a failing test reaches it.
const PATIENCE: Duration = Duration::from_secs(20);

struct View(Option<String>);

impl OperatorView for View {
    fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "host": "h" })
    }

    fn metrics(&self) -> String {
        "requests 1\n".to_owned()
    }

    fn not_ready(&self) -> Option<String> {
        self.0.clone()
    }
}

fn start(not_ready: Option<&str>) -> SocketAddr {
    let view: Arc<dyn OperatorView> = Arc::new(View(not_ready.map(str::to_owned)));
    operator::start(any_loopback(), &view).expect("port starts")
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).expect("port accepts");
    socket
        .set_read_timeout(Some(PATIENCE))
        .expect("time is set");
    socket
}

/// Sends bytes and returns everything received until the port closes the connection.
fn exchange(address: SocketAddr, bytes: &str) -> String {
    let mut socket = connect(address);
    // The port may refuse and close before it has read everything.
    let _ = socket.write_all(bytes.as_bytes());
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn get(address: SocketAddr, path: &str) -> String {
    exchange(
        address,
        &format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"),
    )
}

/// Guards against a path whose status, content type or body differs from what operators and the load balancer expect.
#[test]
fn answers_its_paths() {
    let (ready, leaving) = (start(None), start(Some("leaving")));
    for (address, path, parts) in [
        (ready, "/healthz", ["200", "text/plain", "ok\n"]),
        (ready, "/readyz", ["200", "text/plain", "ready\n"]),
        (leaving, "/healthz", ["200", "text/plain", "ok\n"]),
        (
            leaving,
            "/readyz",
            ["503", "text/plain", "not ready: leaving\n"],
        ),
        (ready, "/metrics", ["200", "text/plain", "requests 1\n"]),
        (
            ready,
            "/dump",
            ["200", "application/json", r#"{"host":"h"}"#],
        ),
        (ready, "/nowhere", ["404", "text/plain", "try /dump"]),
    ] {
        let answer = get(address, path);
        for part in parts {
            assert!(answer.contains(part), "{path}: {part} missing in {answer}");
        }
    }
}

/// Guards against other methods than GET that seem to succeed.
#[test]
fn refuses_other_methods() {
    let request =
        "POST /dump HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let answer = exchange(start(None), request);
    assert!(answer.starts_with("HTTP/1.1 405"), "{answer}");
    assert!(answer.to_lowercase().contains("allow: get"), "{answer}");
}

/// Guards against an oversized request that gets a success response or stops the port.
#[test]
fn refuses_oversized_requests() {
    let address = start(None);
    let long = "a".repeat(1 << 20);
    let answer = exchange(
        address,
        &format!("GET /healthz HTTP/1.1\r\nhost: h\r\nx: {long}\r\n\r\n"),
    );
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(get(address, "/healthz").contains("200"), "the port is gone");
}

/// Guards against slow and idle clients that permanently block operators and the load balancer's checks.
#[test]
fn idle_connections_end() {
    let address = start(None);
    let idle: Vec<_> = (0..20).map(|_| connect(address)).collect();
    let mut slow = connect(address);
    slow.write_all(b"GET /healthz HTTP/1.1\r\nhost")
        .expect("port reads");
    assert!(
        get(address, "/healthz").contains("200"),
        "idle clients keep others out"
    );
    drop(idle);
}

/// Guards against an address in use that goes unnoticed.
#[test]
fn refuses_a_taken_address() {
    let taken = TcpListener::bind(any_loopback()).expect("loopback binds");
    let address = taken.local_addr().expect("address is known");
    let view: Arc<dyn OperatorView> = Arc::new(View(None));
    let started = operator::start(address, &view);
    assert!(started.is_err(), "started on an address in use");
}
