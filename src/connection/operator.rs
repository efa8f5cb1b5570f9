//! The HTTP port for operators: state dump, metrics and health checks.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use oxhttp::Server;
use oxhttp::model::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use oxhttp::model::{Body, Method, Request, Response, StatusCode};

/// The time limit for a client to send its request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The most connections open at once.
const MAX_CONNECTIONS: usize = 16;

/// The attempts to bind a free port, because another socket may take it between `free_address` and `serve`.
const FREE_PORT_ATTEMPTS: u32 = 10;

/// The state that the operators' port serves.
pub trait OperatorView: Send + Sync {
    /// Returns the process's state as JSON.
    fn dump(&self) -> serde_json::Value;
    /// Returns the metrics in Prometheus text format.
    fn metrics(&self) -> String;
    /// Returns why the host accepts no new work, or `None` if it accepts some.
    fn not_ready(&self) -> Option<String>;
}

/// Starts the operators' port on its own threads and returns its address. Port 0 selects a free port.
///
/// # Errors
/// Returns the I/O error if the address can't be bound.
pub fn start(address: SocketAddr, view: &Arc<dyn OperatorView>) -> std::io::Result<SocketAddr> {
    let mut attempts = if address.port() == 0 {
        FREE_PORT_ATTEMPTS
    } else {
        1
    };
    loop {
        attempts -= 1;
        let address = free_address(address)?;
        match serve(address, view.clone()) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && attempts > 0 => {}
            served => return served.map(|()| address),
        }
    }
}

fn serve(address: SocketAddr, view: Arc<dyn OperatorView>) -> std::io::Result<()> {
    let server = Server::new(move |req| respond(&*view, req))
        .with_global_timeout(READ_TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS);
    match address {
        SocketAddr::V4(address) => server.bind(address),
        SocketAddr::V6(address) => server.bind(address),
    }
    .spawn()
    .map(drop)
}

/// Replaces port 0 by a free port, because the HTTP server does not report the port that it bound.
fn free_address(address: SocketAddr) -> std::io::Result<SocketAddr> {
    if address.port() == 0 {
        TcpListener::bind(address)?.local_addr()
    } else {
        Ok(address)
    }
}

fn respond(view: &dyn OperatorView, req: &mut Request<Body>) -> Response<Body> {
    if req.method() != Method::GET {
        let cause = "method not allowed; send GET\n".to_owned();
        let mut response = text(StatusCode::METHOD_NOT_ALLOWED, cause);
        let headers = response.headers_mut();
        headers.insert(ALLOW, HeaderValue::from_static("GET"));
        return response;
    }
    match req.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" => match view.not_ready() {
            None => text(StatusCode::OK, "ready\n".to_owned()),
            Some(reason) => text(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("not ready: {reason}\n"),
            ),
        },
        "/metrics" => text(StatusCode::OK, view.metrics()),
        "/dump" => answer(StatusCode::OK, "application/json", view.dump().to_string()),
        _ => text(
            StatusCode::NOT_FOUND,
            "unknown path; try /dump, /metrics, /healthz or /readyz\n".to_owned(),
        ),
    }
}

fn text(status: StatusCode, body: String) -> Response<Body> {
    answer(status, "text/plain; charset=utf-8", body)
}

fn answer(status: StatusCode, content_type: &str, body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
