//! Accepts callers' connections and serves HTTP on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;

use crate::connection::caller_io::CallerIo;
use crate::request::forward::transport::UpstreamBody;

/// The body of an answer to a caller. An error closes the connection, so that the answer never looks complete.
pub type ResponseBody = UpstreamBody;

/// How far a listener has stopped.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It serves.
    #[default]
    Serving,
    /// Open connections end with the answers under way; new ones are still taken, for callers whom the balancer sends.
    Closing,
    /// It takes no new connections.
    Stopped,
}

/// Answers callers' requests.
#[async_trait]
pub trait CallerHandler: Send + Sync {
    /// Answers one request. Dropping the future, or the body of the answer, cancels the request.
    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody>;
}

/// The settings of the front for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// The largest request body, in bytes.
    pub body_limit: usize,
    /// The most bytes of headers. Below 8 KiB it has no effect, because the HTTP library reads that much at once.
    pub header_limit: usize,
    /// The time for a caller to send headers, and again the body; also the longest time for which it may take no byte
    /// of its answer.
    pub read_timeout: Duration,
    /// The connections open at once.
    pub max_connections: usize,
    /// The bytes of request bodies held at once; a body counts until its request has ended.
    pub body_memory: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            body_limit: 4 << 20,
            header_limit: 16 << 10,
            read_timeout: Duration::from_secs(10),
            max_connections: 10_000,
            // Leaves 64 bodies of the largest size, or some thousand long prompts.
            body_memory: 256 << 20,
        }
    }
}

/// Accepts callers' connections.
pub struct CallerListener {
    handler: Arc<dyn CallerHandler>,
    settings: CallerSettings,
    connections: Arc<Semaphore>,
}

impl CallerListener {
    /// Creates a listener whose requests `handler` answers.
    pub fn new(handler: Arc<dyn CallerHandler>, settings: CallerSettings) -> Arc<Self> {
        Arc::new(Self {
            handler,
            connections: Arc::new(Semaphore::new(settings.max_connections)),
            settings,
        })
    }

    /// Accepts connections until it is stopped, then lets open requests finish.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        mut stop: watch::Receiver<StopPhase>,
    ) {
        let mut open = JoinSet::new();
        loop {
            let permit = tokio::select! {
                permit = self.connections.clone().acquire_owned() => permit,
                () = reached(&mut stop, StopPhase::Stopped) => break,
            };
            let Ok(permit) = permit else { break };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = reached(&mut stop, StopPhase::Stopped) => break,
            };
            match accepted {
                Ok((socket, peer)) => {
                    self.spawn_connection(&mut open, socket, peer, &stop, permit);
                }
                Err(e) => {
                    // Out of file descriptors: waiting lets open connections end.
                    log::warn!("caller connection not accepted: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            while open.try_join_next().is_some() {}
        }
        self.serve_backlog(&listener, &mut open, &stop);
        drop(listener);
        while open.join_next().await.is_some() {}
    }

    /// Serves the connections that callers opened before the stop but that were not accepted yet.
    fn serve_backlog(
        self: &Arc<Self>,
        listener: &TcpListener,
        open: &mut JoinSet<()>,
        stop: &watch::Receiver<StopPhase>,
    ) {
        while let Ok(permit) = self.connections.clone().try_acquire_owned() {
            let Some(Ok((socket, peer))) = listener.accept().now_or_never() else {
                return;
            };
            self.spawn_connection(open, socket, peer, stop, permit);
        }
    }

    fn spawn_connection(
        self: &Arc<Self>,
        open: &mut JoinSet<()>,
        socket: TcpStream,
        peer: SocketAddr,
        stop: &watch::Receiver<StopPhase>,
        permit: OwnedSemaphorePermit,
    ) {
        let (front, stop) = (self.clone(), stop.clone());
        open.spawn(async move {
            front.serve_connection(socket, peer, stop).await;
            drop(permit);
        });
    }

    async fn serve_connection(
        self: Arc<Self>,
        socket: TcpStream,
        peer: SocketAddr,
        mut stop: watch::Receiver<StopPhase>,
    ) {
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("no TCP_NODELAY for {peer}: {e}");
        }
        let front = self.clone();
        let service = service_fn(move |req| {
            let handler = front.handler.clone();
            async move { Ok::<_, Infallible>(handler.respond(req).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.settings.read_timeout)
            .max_buf_size(self.settings.header_limit.max(8 << 10))
            .serve_connection(CallerIo::new(socket, self.settings.read_timeout), service);
        tokio::pin!(connection);
        // A connection that is opened while the others close still gets its first request served.
        let end = if *stop.borrow() == StopPhase::Serving {
            StopPhase::Closing
        } else {
            StopPhase::Stopped
        };
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = reached(&mut stop, end) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(e) = result {
            log::debug!("caller connection from {peer} ended: {e}");
        }
    }
}

/// Waits until the listener has stopped as far as `phase`, or its owner is gone.
async fn reached(stop: &mut watch::Receiver<StopPhase>, phase: StopPhase) {
    let _ = stop.wait_for(|stop| *stop >= phase).await;
}
