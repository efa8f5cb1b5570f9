//! Accepts callers' connections and serves HTTP on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
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

use crate::connection::caller::refusal_response;
use crate::connection::caller_io::CallerIo;
use crate::connection::caller_io::response_framing::QueuedResponses;
use crate::prelude::*;
use crate::request::forward::transport::UpstreamBody;

/// The body of a response to a caller. An error closes the connection, so that a truncated response never looks
/// complete.
pub type ResponseBody = UpstreamBody;

/// The phases in which a listener stops, in their order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Accepts connections and keeps them open between requests.
    #[default]
    Serving,
    /// Open connections close after their current response. New ones are still accepted, because the load balancer may
    /// still send callers.
    Draining,
    /// Accepts no new connections.
    Stopped,
}

/// Responds to the requests that a listener accepts.
#[async_trait]
pub trait CallerHandler: Send + Sync {
    /// Handles one request. Dropping the future or the response body cancels the request. A panic ends it with status 502.
    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody>;
}

/// The limits of the port for callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// The largest request body, in bytes.
    pub body_limit: usize,
    /// The largest request head, in bytes. Values below 8 KiB act as 8 KiB, because the HTTP library reads that
    /// much at once.
    pub header_limit: usize,
    /// The time for a caller to send the head of a request, and again its body; also the longest time without progress
    /// in writing its response.
    pub read_timeout: Duration,
    /// The most connections open at once; further ones wait in the backlog of the socket.
    pub max_connections: usize,
    /// The most bytes of request bodies held at once; a body counts until its request has ended.
    pub body_memory: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            body_limit: 4 << 20,
            header_limit: 16 << 10,
            read_timeout: Duration::from_secs(10),
            max_connections: 10_000,
            // Room for 64 bodies of the largest size, or some thousand long prompts.
            body_memory: 256 << 20,
        }
    }
}

/// Accepts callers' connections and passes their requests to a `CallerHandler`.
pub struct CallerListener {
    handler: Arc<dyn CallerHandler>,
    settings: CallerSettings,
    connections: Arc<Semaphore>,
}

impl CallerListener {
    /// Creates a listener that passes requests to `handler`.
    pub fn new(handler: Arc<dyn CallerHandler>, settings: CallerSettings) -> Arc<Self> {
        Arc::new(Self {
            handler,
            connections: Arc::new(Semaphore::new(settings.max_connections)),
            settings,
        })
    }

    /// Accepts connections until `stop` reaches `Stopped`, then waits until open requests have finished.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        mut stop: watch::Receiver<StopPhase>,
    ) {
        let mut open = JoinSet::new();
        loop {
            let permit = tokio::select! {
                permit = self.connections.clone().acquire_owned() => permit,
                () = wait_for_phase(&mut stop, StopPhase::Stopped) => break,
            };
            let Ok(permit) = permit else { break };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = wait_for_phase(&mut stop, StopPhase::Stopped) => break,
            };
            match accepted {
                Ok((socket, peer)) => {
                    self.spawn_connection(&mut open, socket, peer, &stop, permit);
                }
                Err(e) => {
                    // Mostly a lack of file descriptors; the wait lets open connections end.
                    log::warn!("failed to accept a caller connection: {e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            while open.try_join_next().is_some() {}
        }
        self.serve_backlog(&listener, &mut open, &stop);
        drop(listener);
        while open.join_next().await.is_some() {}
    }

    /// Serves the connections in the backlog of the socket, which callers opened before the stop.
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
        let (this, stop) = (self.clone(), stop.clone());
        open.spawn(async move {
            this.serve_connection(socket, peer, stop).await;
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
            log::debug!("failed to set TCP_NODELAY for {peer}: {e}");
        }
        let this = self.clone();
        let responses = QueuedResponses::default();
        let queue = responses.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let (handler, queue) = (this.handler.clone(), queue.clone());
            async move {
                let method = req.method().clone();
                let responding = AssertUnwindSafe(handler.respond(req)).catch_unwind();
                let response = responding.await.unwrap_or_else(|_| {
                    let message = "internal error; repeat it only if it may run twice";
                    let kind = RefusalKind::UpstreamFailed;
                    refusal_response(&Refusal::may_have_run(kind, message))
                });
                queue.push(method);
                Ok::<_, Infallible>(response)
            }
        });
        let io = CallerIo::new(socket, self.settings.read_timeout, responses);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.settings.read_timeout)
            .max_buf_size(self.settings.header_limit.max(8 << 10))
            .serve_connection(io, service);
        tokio::pin!(connection);
        // A connection that is opened while draining still gets its first request served.
        let shutdown_phase = if *stop.borrow() == StopPhase::Serving {
            StopPhase::Draining
        } else {
            StopPhase::Stopped
        };
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = wait_for_phase(&mut stop, shutdown_phase) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(e) = result {
            log::debug!("caller connection from {peer} ended: {e}");
        }
    }
}

/// Waits until `stop` has reached `phase`, or its sender is dropped.
async fn wait_for_phase(stop: &mut watch::Receiver<StopPhase>, phase: StopPhase) {
    let _ = stop.wait_for(|stop| *stop >= phase).await;
}
