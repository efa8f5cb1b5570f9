//! A small HTTP server for the emulators.

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

/// The body of a response. An error in it breaks the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A request whose body was read completely.
pub type BufferedRequest = Request<Bytes>;

/// Handles the requests to an emulator.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. `None` closes the connection without a response.
    async fn handle(&self, req: BufferedRequest) -> Option<Response<Body>>;
}

/// A running server. Dropping it closes the listener and all connections immediately, like a crash.
pub struct EmulatorServer {
    address: SocketAddr,
    /// Reserves the port while the server refuses connections.
    _port: TcpSocket,
    task: JoinHandle<()>,
    listening: watch::Receiver<bool>,
    headers: HeaderLog,
}

/// The headers of received requests, for checks that no caller's key is forwarded.
type HeaderLog = Arc<Mutex<Vec<String>>>;

/// The maximum number of headers in a `HeaderLog`; later ones are dropped.
const MAX_LOGGED_HEADERS: usize = 4_096;

impl EmulatorServer {
    /// Starts a server on `address`; port 0 picks a free one.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub async fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let (_, up) = watch::channel(true);
        Self::start_switchable(address, handler, up).await
    }

    /// Starts a server that closes its listener and all connections while `up` is false, and then listens at the same
    /// address again.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    #[expect(
        clippy::unused_async,
        reason = "spawns a task, so it must be called within a runtime, like the other start functions"
    )]
    pub async fn start_switchable(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        up: watch::Receiver<bool>,
    ) -> std::io::Result<Self> {
        let port = bind(address)?;
        let address = port.local_addr()?;
        let listener = listen(address)?;
        let (listening_tx, listening) = watch::channel(true);
        let headers = HeaderLog::default();
        let handler = Arc::new(HeaderLogger {
            handler,
            headers: headers.clone(),
        });
        let task = tokio::spawn(serve(listener, address, handler, up, listening_tx));
        Ok(Self {
            address,
            _port: port,
            task,
            listening,
            headers,
        })
    }

    /// Returns the logged headers as `name: value`.
    pub fn headers_seen(&self) -> Vec<String> {
        lock(&self.headers).clone()
    }

    /// Waits until the server listens or, with `false`, until it refuses connections.
    pub async fn wait_listening(&self, wanted: bool) {
        let mut listening = self.listening.clone();
        // An error means that the server has ended and won't change its state any more.
        let _ = listening.wait_for(|listening| *listening == wanted).await;
    }

    /// Closes the listener and all connections permanently. The port stays reserved, so that connections are refused.
    pub async fn stop(&self) {
        self.task.abort();
        self.wait_listening(false).await;
    }

    /// Returns the address with the actual port, also if the server was started on port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for EmulatorServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Binds a socket so that the same process can bind the port again.
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

/// Returns the loopback address with port 0, for which the kernel picks a free port.
pub fn any_loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Logs the headers of each request before the inner handler gets it.
struct HeaderLogger {
    handler: Arc<dyn Handler>,
    headers: HeaderLog,
}

#[async_trait]
impl Handler for HeaderLogger {
    async fn handle(&self, req: BufferedRequest) -> Option<Response<Body>> {
        {
            let mut log = lock(&self.headers);
            let headers = req.headers().iter();
            log.extend(headers.map(|(name, value)| {
                format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
            }));
            log.truncate(MAX_LOGGED_HEADERS);
        }
        self.handler.handle(req).await
    }
}

async fn serve(
    listener: TcpListener,
    address: SocketAddr,
    handler: Arc<HeaderLogger>,
    mut up: watch::Receiver<bool>,
    listening_tx: watch::Sender<bool>,
) {
    let mut listener = Some(listener);
    loop {
        if let Some(listener) = listener.take() {
            tokio::select! {
                () = accept_connections(listener, handler.clone()) => return,
                () = wait_for_switch(&mut up, false) => {}
            }
        }
        listening_tx.send_replace(false);
        wait_for_switch(&mut up, true).await;
        match listen(address) {
            Ok(bound) => listener = Some(bound),
            Err(e) => {
                log::error!("emulator can't listen on {address} after its restart: {e}");
                return;
            }
        }
        listening_tx.send_replace(true);
    }
}

/// Waits until `up` equals `wanted`, forever if the sender is gone.
async fn wait_for_switch(up: &mut watch::Receiver<bool>, wanted: bool) {
    if up.wait_for(|up| *up == wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn accept_connections(listener: TcpListener, handler: Arc<HeaderLogger>) {
    // Dropping the set aborts the connections, so they end with this task.
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let _ = socket.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |req| read_and_handle(handler.clone(), req));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
        connections.spawn(connection);
        while connections.try_join_next().is_some() {}
    }
}

async fn read_and_handle(
    handler: Arc<HeaderLogger>,
    req: Request<Incoming>,
) -> Result<Response<Body>, std::io::Error> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?;
    let req = Request::from_parts(head, body.to_bytes());
    let closed = || std::io::Error::other("connection closed by the emulator");
    handler.handle(req).await.ok_or_else(closed)
}

/// Builds a response with status 200 and this body.
pub fn bytes(body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    Response::new(body.boxed_unsync())
}

/// Builds a response with a JSON body.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = bytes(Bytes::from(body));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Builds a response with status 200 whose body is a stream of frames.
pub fn stream(
    chunks: impl Stream<Item = Result<Frame<Bytes>, std::io::Error>> + Send + 'static,
) -> Response<Body> {
    Response::new(StreamBody::new(chunks).boxed_unsync())
}
