//! The interface to the connections to upstreams.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;

use crate::request::refusal::Run;

/// The error that ends a response body early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an upstream's response. Dropping it before its end closes the connection.
pub type UpstreamBody = UnsyncBoxBody<Bytes, BodyError>;

/// The time limits of one call, and whether it may use a kept connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendLimits {
    /// The time limit for opening a connection.
    pub connect_timeout: Duration,
    /// When the head of the response must have arrived.
    pub deadline: Instant,
    /// Whether the call may be sent on an idle connection that was kept open.
    pub may_reuse_connection: bool,
}

/// Why a call got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection could be opened, so nothing was sent.
    Unreachable {
        /// The error of connecting, or of a connection that closed before the call was sent.
        cause: String,
    },
    /// The connection broke before the whole response had arrived, as it does if the upstream crashes.
    Broken {
        /// The I/O error.
        cause: String,
    },
    /// The upstream sent something that is no valid response to the call.
    Invalid {
        /// What is wrong with it.
        cause: String,
    },
    /// No response arrived before the deadline.
    Timeout,
}

impl SendFailure {
    /// Returns whether the call may have run.
    pub fn run(&self) -> Run {
        match self {
            Self::Unreachable { .. } => Run::NotRun,
            Self::Broken { .. } | Self::Invalid { .. } | Self::Timeout => Run::Unknown,
        }
    }
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { cause } => write!(f, "upstream not reached ({cause})"),
            Self::Broken { cause } => write!(f, "connection to the upstream broke ({cause})"),
            Self::Invalid { cause } => write!(f, "upstream sent no valid response ({cause})"),
            Self::Timeout => f.write_str("upstream did not answer in time"),
        }
    }
}

impl std::error::Error for SendFailure {}

/// Sends calls to upstreams.
#[async_trait]
pub trait UpstreamTransport: Send + Sync {
    /// Sends a call and waits for the head of its response. Dropping the future closes the connection, which cancels the call.
    ///
    /// # Errors
    /// Returns a `SendFailure` that tells whether the call may have run.
    async fn send(
        &self,
        to: SocketAddr,
        req: Request<Full<Bytes>>,
        limits: SendLimits,
    ) -> Result<Response<UpstreamBody>, SendFailure>;

    /// Closes the idle connections to an upstream after a failure, because they may be dead too.
    fn close_idle(&self, to: SocketAddr);
}

/// Reads a whole body; `None` if it is longer than `limit` bytes.
///
/// # Errors
/// Returns the error of a body that breaks off.
pub async fn read_whole<B>(body: &mut B, limit: usize) -> Result<Option<Bytes>, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut parts = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame?.into_data() else {
            continue;
        };
        if parts.len() + part.len() > limit {
            return Ok(None);
        }
        parts.extend_from_slice(&part);
    }
    Ok(Some(parts.freeze()))
}

/// Creates a body from bytes that are already in memory.
pub fn whole_body(bytes: Bytes) -> UpstreamBody {
    let body = Full::new(bytes).map_err(|never| -> BodyError { match never {} });
    body.boxed_unsync()
}
