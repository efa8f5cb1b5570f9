//! The response to a forwarded request: held until it is whole if it is short, passed on as it arrives if not.

use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode, response};
use http_body_util::BodyExt;
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::load::CallOutcome;
use crate::request::forward::attempt::{Attempt, AttemptFailure};
use crate::request::forward::call::Call;
use crate::request::forward::flow::ForwardContext;
use crate::request::forward::record::{ForwardRecord, Outcome};
use crate::request::forward::relay::{Interruption, RelayStep, ResponseSource, relay};
use crate::request::forward::transport::{SendFailure, UpstreamBody, read_whole, whole_body};

/// The longest response that is held until it is whole, so that a call whose response breaks off can be repeated or refused. A longer
/// one is passed on as it arrives.
const MAX_HELD_BYTES: usize = 256 << 10;

/// A response whose head has arrived.
pub struct ForwardResponse {
    /// The status and the headers, as the upstream sent them.
    pub head: response::Parts,
    body: ForwardBody,
}

enum ForwardBody {
    /// The whole body, which was received.
    Whole(Bytes),
    /// A body that is passed on as it arrives.
    Relayed(Box<dyn ResponseSource>),
}

impl ForwardResponse {
    /// Creates a response that is passed on from `source` as it arrives.
    pub fn relayed(head: response::Parts, source: impl ResponseSource + 'static) -> Self {
        let body = ForwardBody::Relayed(Box::new(source));
        Self { head, body }
    }

    /// Receives the response to `attempt` of `call`: a short one until it is whole, of a longer one the head. `on_whole` gets the
    /// attempt of one that is whole.
    ///
    /// # Errors
    /// Returns an `AttemptFailure`, which has been counted in the upstream's health, if a short response breaks off, has no end or isn't
    /// whole by the deadline of the call; an error response within the time after which a stream counts as stalled, because no more can come of it.
    pub async fn receive(
        cx: &ForwardContext,
        call: &Call,
        attempt: Attempt,
        response: Response<UpstreamBody>,
        on_whole: impl FnOnce(&Attempt),
    ) -> Result<Self, AttemptFailure> {
        let (head, mut body) = response.into_parts();
        let is_success = head.status.is_success();
        if stated_length(&head).is_some_and(|length| length > MAX_HELD_BYTES) {
            let source = CallBody {
                attempt: Some(attempt),
                fingerprints: if is_success {
                    call.fingerprints()
                } else {
                    SmallVec::new()
                },
                body,
            };
            return Ok(Self::relayed(head, source));
        }
        let deadline = if is_success {
            call.deadline
        } else {
            let latest = cx.clock.now() + cx.settings.stall_timeout;
            call.deadline.min(latest)
        };
        let read = read_whole(&mut body, MAX_HELD_BYTES);
        let failure = match tokio::time::timeout_at(deadline.into(), read).await {
            Ok(Ok(Some(bytes))) => {
                on_whole(&attempt);
                if is_success {
                    attempt.record_sound(&call.fingerprints());
                }
                attempt.end(CallOutcome::Answered);
                let body = ForwardBody::Whole(bytes);
                return Ok(Self { head, body });
            }
            Ok(Ok(None)) => SendFailure::Invalid {
                cause: format!("answer of unknown length above {MAX_HELD_BYTES} bytes"),
            },
            Ok(Err(e)) => SendFailure::Broken {
                cause: format!("answer broke off: {e}"),
            },
            Err(_) => SendFailure::Timeout,
        };
        attempt.end(CallOutcome::Failed);
        Err(AttemptFailure::Send(failure))
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Creates the response to the caller, whose body ends by `deadline` at the latest. Dropping it cancels the request at its upstream.
    pub fn into_http(
        self,
        cx: &Arc<ForwardContext>,
        deadline: Instant,
        mut record: ForwardRecord,
    ) -> Response<UpstreamBody> {
        let status = self.head.status.as_u16();
        let body = match self.body {
            ForwardBody::Whole(bytes) => {
                record.record_first_part();
                record.finish(Outcome::Answered, status);
                whole_body(bytes)
            }
            ForwardBody::Relayed(source) => {
                let state = cx.state.clone();
                let host_stops = async move { state.wait_for_drain_deadline().await };
                relay(source, status, deadline, host_stops, record)
            }
        };
        Response::from_parts(self.head, body)
    }
}

/// Returns the length of the body that the head states; `None` without one.
fn stated_length(head: &response::Parts) -> Option<usize> {
    let length = head.headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// The body of a single call, which nothing can continue.
struct CallBody {
    /// `None` after the end of the call.
    attempt: Option<Attempt>,
    /// The fingerprints of the request that has run if the body ends; empty if its answer is an error.
    fingerprints: SmallVec<[Digest; 4]>,
    body: UpstreamBody,
}

impl CallBody {
    fn end(&mut self, outcome: CallOutcome) {
        if let Some(attempt) = self.attempt.take() {
            attempt.end(outcome);
        }
    }
}

#[async_trait]
impl ResponseSource for CallBody {
    async fn next(&mut self, record: &mut ForwardRecord) -> RelayStep {
        record.record_first_part();
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return RelayStep::Bytes(bytes);
                    }
                }
                Some(Err(e)) => {
                    self.end(CallOutcome::Failed);
                    return RelayStep::Cut(format!("answer broke off: {e}"));
                }
                None => {
                    if let Some(attempt) = &self.attempt {
                        attempt.record_sound(&self.fingerprints);
                    }
                    self.end(CallOutcome::Answered);
                    return RelayStep::End;
                }
            }
        }
    }

    fn interrupt(&mut self, interruption: Interruption) {
        self.end(match interruption {
            Interruption::UpstreamLate => CallOutcome::Failed,
            Interruption::CallerSlow | Interruption::HostStops => CallOutcome::Abandoned,
        });
    }
}
