//! A pool of HTTP connections to upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use tokio::net::TcpStream;

use crate::connection::http_client::{ConnectionTask, SendError, open_connection, send_request};
use crate::process::shard::Shards;
use crate::request::forward::transport::{
    BodyError, SendFailure, SendLimits, UpstreamBody, UpstreamTransport,
};

/// The most idle connections kept to one upstream. A host sends only a few calls to an upstream at once.
const MAX_IDLE_PER_UPSTREAM: usize = 4;

/// How long an idle connection is kept if the upstream sends no `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// How long an idle connection is kept at the most, however long the upstream keeps it. After a longer time, what lies between may have
/// lost track of it.
const MAX_KEEP_ALIVE: Duration = Duration::from_mins(1);

/// Subtracted from an upstream's `Keep-Alive` timeout, so that no call is sent while the upstream closes the
/// connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);

struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
}

struct IdleConnection {
    connection: Connection,
    /// The time at which the pool drops it.
    until: Instant,
}

/// Keeps idle connections to upstreams for later calls.
#[derive(Default)]
pub struct UpstreamPool {
    idle: Shards<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Takes an idle connection that is ready for a call, and drops the expired and closed ones.
    fn take(&self, to: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock(&to);
        let kept = idle.get_mut(&to)?;
        kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let ready = kept
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        Some(kept.swap_remove(ready).connection)
    }

    fn keep_idle(&self, to: SocketAddr, connection: Connection, keep: Duration) {
        let mut idle = self.idle.lock(&to);
        let kept = idle.entry(to).or_default();
        let now = Instant::now();
        kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        if kept.len() < MAX_IDLE_PER_UPSTREAM {
            let until = now + keep;
            kept.push(IdleConnection { connection, until });
        }
    }

    async fn open(to: SocketAddr, timeout: Duration) -> Result<Connection, SendFailure> {
        let unreachable = |cause: String| SendFailure::Unreachable { cause };
        let socket = match tokio::time::timeout(timeout, TcpStream::connect(to)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(e)) => return Err(unreachable(e.to_string())),
            Err(_) => return Err(unreachable(format!("no connection in {timeout:?}"))),
        };
        socket
            .set_nodelay(true)
            .map_err(|e| unreachable(e.to_string()))?;
        let opened = open_connection(socket).await;
        let (sender, task) = opened.map_err(|e| unreachable(e.to_string()))?;
        Ok(Connection {
            sender,
            _task: task,
        })
    }
}

/// Sends calls over a pool that response bodies share, to return their connections to it.
pub struct PooledTransport(pub Arc<UpstreamPool>);

#[async_trait]
impl UpstreamTransport for PooledTransport {
    async fn send(
        &self,
        to: SocketAddr,
        req: Request<Full<Bytes>>,
        limits: SendLimits,
    ) -> Result<Response<UpstreamBody>, SendFailure> {
        let mut req = req;
        let kept = if limits.may_reuse_connection {
            self.0.take(to)
        } else {
            None
        };
        if let Some(connection) = kept {
            match exchange(connection, req, limits.deadline).await {
                ExchangeResult::Response(connection, response) => {
                    return Ok(self.pooled_response(to, connection, response));
                }
                ExchangeResult::Failed(failure) => return Err(failure),
                ExchangeResult::Unsent(back, _) => req = back,
            }
        }
        let left = limits.deadline.saturating_duration_since(Instant::now());
        let connection = UpstreamPool::open(to, limits.connect_timeout.min(left)).await?;
        match exchange(connection, req, limits.deadline).await {
            ExchangeResult::Response(connection, response) => {
                Ok(self.pooled_response(to, connection, response))
            }
            ExchangeResult::Failed(failure) => Err(failure),
            ExchangeResult::Unsent(_, cause) => Err(SendFailure::Unreachable { cause }),
        }
    }

    fn close_idle(&self, to: SocketAddr) {
        self.0.idle.lock(&to).remove(&to);
    }
}

impl PooledTransport {
    fn pooled_response(
        &self,
        to: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Response<UpstreamBody> {
        let keep = keep_alive_time(response.headers());
        response.map(|body| {
            let mut answer = AnswerBody {
                body,
                connection: Some(connection),
                pool: Arc::downgrade(&self.0),
                to,
                keep,
            };
            if answer.body.is_end_stream() {
                answer.finish();
            }
            answer.boxed_unsync()
        })
    }
}

/// The result of sending on one connection.
enum ExchangeResult {
    /// The response head arrived.
    Response(Connection, Response<Incoming>),
    /// The connection had closed before a byte was sent; the call can be sent on another one.
    Unsent(Request<Full<Bytes>>, String),
    /// The call may have run.
    Failed(SendFailure),
}

async fn exchange(
    mut connection: Connection,
    req: Request<Full<Bytes>>,
    deadline: Instant,
) -> ExchangeResult {
    let sending = send_request(&mut connection.sender, req);
    match tokio::time::timeout_at(deadline.into(), sending).await {
        Ok(Ok(response)) => ExchangeResult::Response(connection, response),
        Ok(Err(SendError::Unsent { req, cause })) => ExchangeResult::Unsent(*req, cause),
        Ok(Err(SendError::Broken { cause })) => {
            ExchangeResult::Failed(SendFailure::Broken { cause })
        }
        Ok(Err(SendError::Invalid { cause })) => {
            ExchangeResult::Failed(SendFailure::Invalid { cause })
        }
        Err(_) => ExchangeResult::Failed(SendFailure::Timeout),
    }
}

/// Returns how long a connection may be kept after a response with these headers; `None` if it may not.
fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let value = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let closes =
        value(CONNECTION.as_str()).is_some_and(|v| v.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let stated = value("keep-alive").and_then(|parameters| {
        let timeout = parameters
            .split(',')
            .find_map(|p| p.trim().strip_prefix("timeout="))?;
        timeout.parse().ok().map(Duration::from_secs)
    });
    let keep = stated.map_or(DEFAULT_KEEP_ALIVE, |stated| {
        stated.saturating_sub(KEEP_ALIVE_MARGIN).min(MAX_KEEP_ALIVE)
    });
    (!keep.is_zero()).then_some(keep)
}

/// The body of a response. Its connection returns to the pool at the end, and closes if the body is dropped before.
struct AnswerBody {
    body: Incoming,
    connection: Option<Connection>,
    pool: Weak<UpstreamPool>,
    to: SocketAddr,
    keep: Option<Duration>,
}

impl AnswerBody {
    fn finish(&mut self) {
        let connection = self.connection.take();
        if let (Some(connection), Some(keep), Some(pool)) =
            (connection, self.keep, self.pool.upgrade())
        {
            pool.keep_idle(self.to, connection, keep);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.finish(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.finish(),
            _ => {}
        }
        polled.map(|frame| frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
