//! Passes a response on to the caller as it arrives, until its end, the deadline of the request or the end of the host.

use std::pin::Pin;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::request::forward::record::{ForwardRecord, Outcome};
use crate::request::forward::transport::{BodyError, UpstreamBody};

/// What the caller gets next of a response.
#[derive(Debug, PartialEq, Eq)]
pub enum RelayStep {
    /// Bytes to pass on.
    Bytes(Bytes),
    /// The whole response was passed on.
    End,
    /// The response broke off.
    Cut(String),
}

/// Why a response is ended before its source ends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interruption {
    /// The deadline passed while the relay waited for the upstream.
    UpstreamLate,
    /// The deadline passed while the caller was slow to read.
    CallerSlow,
    /// The host stops.
    HostStops,
}

impl Interruption {
    /// Returns the cause for the log.
    pub fn cause(self) -> &'static str {
        match self {
            Self::UpstreamLate => "deadline passed before the end of the response",
            Self::CallerSlow => "deadline passed before the caller had read the response",
            Self::HostStops => "host stopped before the end of the response",
        }
    }
}

/// Where the body of a response comes from.
#[async_trait]
pub trait ResponseSource: Send {
    /// Waits for the next part of the body. Time limits are the caller's matter. After `End` and `Cut` it isn't called again.
    async fn next(&mut self, record: &mut ForwardRecord) -> RelayStep;

    /// Ends the call to the upstream, as no more of the body is passed on.
    fn interrupt(&mut self, interruption: Interruption);
}

/// A response that is being passed on.
struct Relay {
    source: Box<dyn ResponseSource>,
    record: ForwardRecord,
    /// Ends when nothing may be passed on any more.
    end: Pin<Box<dyn Future<Output = RelayEnd> + Send>>,
}

/// What ends a relay before its source does.
enum RelayEnd {
    Deadline,
    HostStops,
}

/// Creates the body of a response with `status` that is passed on from `source`, at the longest until `deadline` or until `host_stops`
/// ends. Dropping it cancels the request at its upstream.
pub fn relay(
    source: Box<dyn ResponseSource>,
    status: u16,
    deadline: Instant,
    host_stops: impl Future<Output = ()> + Send + 'static,
    record: ForwardRecord,
) -> UpstreamBody {
    let end = async move {
        tokio::select! {
            () = tokio::time::sleep_until(deadline.into()) => RelayEnd::Deadline,
            () = host_stops => RelayEnd::HostStops,
        }
    };
    let relay = Relay {
        source,
        record,
        end: Box::pin(end),
    };
    let frames = stream::unfold(Some(relay), move |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            RelayStep::Bytes(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
            RelayStep::End => {
                relay.record.finish(Outcome::Answered, status);
                None
            }
            RelayStep::Cut(cause) => {
                relay.record.note(&cause);
                relay.record.finish(Outcome::Cut, status);
                Some((Err(BodyError::from(cause)), None))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

impl Relay {
    async fn next(&mut self) -> RelayStep {
        let mut has_waited = false;
        // The end goes first: a source that always has bytes would never let it come.
        let end = tokio::select! {
            biased;
            end = &mut self.end => end,
            step = async {
                has_waited = true;
                self.source.next(&mut self.record).await
            } => return step,
        };
        let interruption = match end {
            RelayEnd::Deadline if has_waited => Interruption::UpstreamLate,
            RelayEnd::Deadline => Interruption::CallerSlow,
            RelayEnd::HostStops => Interruption::HostStops,
        };
        self.source.interrupt(interruption);
        RelayStep::Cut(interruption.cause().to_owned())
    }
}
