//! A small HTTP server for the stand-ins.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::process::shard::lock;

/// The body of a stand-in's answer. An error in it breaks the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A request with its body read.
pub type BufferedRequest = Request<Bytes>;

/// Answers requests to a stand-in.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `None` closes the connection without an answer.
    async fn answer(&self, req: BufferedRequest) -> Option<Response<Body>>;
}

/// A running stand-in server. Dropping it closes the listener and all connections at once, like a crash.
pub struct EmulatorServer {
    address: SocketAddr,
    /// Keeps the port from other servers while this one refuses connections.
    _port: TcpSocket,
    task: JoinHandle<()>,
    listening: watch::Receiver<bool>,
    headers: HeaderLog,
}

/// The headers of the requests seen, to check that no caller's key is among them.
type HeaderLog = Arc<Mutex<Vec<String>>>;

/// The headers kept in a log.
const KEPT_HEADERS: usize = 4_096;

impl EmulatorServer {
    /// Starts a server on `address`; port 0 picks a free one.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub async fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let (_, up) = watch::channel(true);
        Self::start_switchable(address, handler, up).await
    }

    /// Starts a server that closes its listener and all connections while `up` is false, and listens at the same
    /// address again afterwards.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    #[expect(
        clippy::unused_async,
        reason = "must run within a runtime, like all starts"
    )]
    pub async fn start_switchable(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        up: watch::Receiver<bool>,
    ) -> std::io::Result<Self> {
        let port = bind(address)?;
        let address = port.local_addr()?;
        let listener = listen(address)?;
        let (listens, listening) = watch::channel(true);
        let headers = HeaderLog::default();
        let handler = Arc::new(Logged {
            handler,
            headers: headers.clone(),
        });
        let task = tokio::spawn(run(listener, address, handler, up, listens));
        Ok(Self {
            address,
            _port: port,
            task,
            listening,
            headers,
        })
    }

    /// Returns the headers seen so far, as `name: value`.
    pub fn headers_seen(&self) -> Vec<String> {
        lock(&self.headers).clone()
    }

    /// Waits until the server listens or, with `false`, until it refuses connections.
    pub async fn wait_listening(&self, wanted: bool) {
        let mut listening = self.listening.clone();
        // An error means that the server ended; nothing will change any more.
        let _ = listening.wait_for(|listening| *listening == wanted).await;
    }

    /// Closes the listener and all connections for good; the port stays taken, so that connections are refused.
    pub async fn stop(&self) {
        self.task.abort();
        self.wait_listening(false).await;
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for EmulatorServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The connections that wait for their acceptance at most.
const BACKLOG: u32 = 1024;

/// Binds a socket in a way that lets the same process bind the port again.
fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    bind(address)?.listen(BACKLOG)
}

/// Returns a free loopback address to bind to.
pub fn any_loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A handler whose requests' headers are logged.
struct Logged {
    handler: Arc<dyn Handler>,
    headers: HeaderLog,
}

#[async_trait]
impl Handler for Logged {
    async fn answer(&self, req: BufferedRequest) -> Option<Response<Body>> {
        {
            let mut log = lock(&self.headers);
            let headers = req.headers().iter();
            log.extend(headers.map(|(name, value)| {
                format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
            }));
            log.truncate(KEPT_HEADERS);
        }
        self.handler.answer(req).await
    }
}

async fn run(
    listener: TcpListener,
    address: SocketAddr,
    handler: Arc<Logged>,
    mut up: watch::Receiver<bool>,
    listens: watch::Sender<bool>,
) {
    let mut listener = Some(listener);
    loop {
        if let Some(listener) = listener.take() {
            tokio::select! {
                () = accept(listener, handler.clone()) => return,
                () = changed_to(&mut up, false) => {}
            }
        }
        listens.send_replace(false);
        changed_to(&mut up, true).await;
        match listen(address) {
            Ok(bound) => listener = Some(bound),
            Err(e) => {
                log::error!("stand-in can't listen at {address} again: {e}");
                return;
            }
        }
        listens.send_replace(true);
    }
}

/// Waits until the switch is as wanted; forever if it can't change any more.
async fn changed_to(up: &mut watch::Receiver<bool>, wanted: bool) {
    if up.wait_for(|up| *up == wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn accept(listener: TcpListener, handler: Arc<Logged>) {
    // The connections end with this task, because dropping the set aborts them.
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let _ = socket.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |req| answer(handler.clone(), req));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
        connections.spawn(connection);
        while connections.try_join_next().is_some() {}
    }
}

async fn answer(
    handler: Arc<Logged>,
    req: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?;
    let req = Request::from_parts(head, body.to_bytes());
    let closed = || std::io::Error::other("closed by the stand-in");
    handler.answer(req).await.ok_or_else(closed)
}

/// Answers with bytes.
pub fn bytes(body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    Response::new(body.boxed_unsync())
}

/// Answers with JSON.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = bytes(Bytes::from(body));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Answers with a stream of chunks.
pub fn stream(
    chunks: impl Stream<Item = Result<Frame<Bytes>, std::io::Error>> + Send + 'static,
) -> Response<Body> {
    Response::new(StreamBody::new(chunks).boxed_unsync())
}
