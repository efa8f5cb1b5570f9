//! Reserves memory at a decode engine until the request is sent.
//!
//! Several hosts choose engines at the same time without knowing what the others chose in the last milliseconds. With a
//! reservation, the engine itself decides who gets its last memory, before a prompt is prefilled for it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::load::CallOutcome;
use crate::request::forward::attempt::{
    Attempt, AttemptFailure, apply_instance_state, record_answer, unexpected_upstream,
};
use crate::request::forward::call::ReservationRequest;
use crate::request::forward::flow::ForwardContext;
use crate::request::forward::transport::{SendFailure, SendLimits, read_whole};

/// The largest accepted response to a reservation.
const MAX_RESERVATION_RESPONSE_BYTES: usize = 16 << 10;

/// The time limit of a call that frees a reservation or a prompt. Engines free both by themselves after about as long.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reserved memory. Dropping it cancels the reservation, unless a call used it.
pub(super) struct Reservation {
    cx: Arc<ForwardContext>,
    engine: Arc<Instance>,
    name: Arc<str>,
    /// When it may no longer be used.
    valid_until: Instant,
    used: bool,
}

impl Reservation {
    /// Returns its name for the call that uses it now; `None` if it has expired.
    pub(super) fn take(&mut self) -> Option<Arc<str>> {
        self.used = self.is_valid();
        self.used.then(|| self.name.clone())
    }

    fn is_valid(&self) -> bool {
        self.cx.clock.now() < self.valid_until
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.used {
            let path = self.cx.codec.reservation_release_path(&self.name);
            release(&self.cx, &self.engine, path);
        }
    }
}

/// Capacity for one request at a decode engine.
pub(super) struct DecodeCapacity {
    /// The attempt, which counts towards the engine's load.
    pub(super) attempt: Attempt,
    /// The memory that the engine reserved; `None` if engines take no reservations or none had memory to reserve.
    pub(super) reservation: Option<Reservation>,
}

impl DecodeCapacity {
    /// Returns whether there was a reservation that the engine may have freed by now.
    pub(super) fn has_expired(&self) -> bool {
        let reservation = self.reservation.as_ref();
        reservation.is_some_and(|reservation| !reservation.is_valid())
    }

    /// Reserves memory for `tokens` at the engine of `attempt` for up to `ttl`.
    ///
    /// # Errors
    /// Returns why there is no reservation; the attempt has ended.
    pub(super) async fn reserve(
        cx: &Arc<ForwardContext>,
        attempt: Attempt,
        tokens: Tokens,
        ttl: Duration,
    ) -> Result<Self, AttemptFailure> {
        let engine = attempt.instance.clone();
        let requested_at = cx.clock.now();
        match request_reservation(cx, &engine, tokens, ttl).await {
            Ok(name) => {
                let reservation = Reservation {
                    cx: cx.clone(),
                    engine,
                    name,
                    valid_until: requested_at + ttl.mul_f64(cx.settings.reservation_ttl_fraction),
                    used: false,
                };
                Ok(Self {
                    attempt,
                    reservation: Some(reservation),
                })
            }
            Err(failure) => {
                let outcome = match &failure {
                    AttemptFailure::Rejected {
                        outcome: CallOutcome::Full,
                        ..
                    } => CallOutcome::NoMemory,
                    AttemptFailure::Rejected { outcome, .. } => *outcome,
                    AttemptFailure::Cold => CallOutcome::Abandoned,
                    AttemptFailure::Send(SendFailure::Unreachable { .. }) => {
                        CallOutcome::Unreachable
                    }
                    AttemptFailure::Send(_) => CallOutcome::Failed,
                };
                if outcome != CallOutcome::NoMemory {
                    cx.transport.close_idle(engine.address);
                }
                attempt.end(outcome);
                Err(failure)
            }
        }
    }
}

async fn request_reservation(
    cx: &ForwardContext,
    engine: &Instance,
    tokens: Tokens,
    ttl: Duration,
) -> Result<Arc<str>, AttemptFailure> {
    let now = cx.clock.now();
    let req = cx.codec.write_reservation(&ReservationRequest {
        upstream: engine.id.clone(),
        tokens,
        ttl,
    });
    let last_contact = cx.state.loads.last_contact(engine);
    let reuse_window = cx.settings.reuse_window_repeatable;
    let limits = SendLimits {
        connect_timeout: cx.settings.connect_timeout,
        deadline: now + cx.settings.reservation_timeout,
        may_reuse_connection: last_contact
            .is_some_and(|at| now.saturating_duration_since(at) < reuse_window),
    };
    let sent = cx.transport.send(engine.address, req, limits).await;
    if let Err(SendFailure::Unreachable { .. }) = &sent {
        cx.state.record_unreachable(engine, cx.clock.now());
    }
    let (head, mut body) = sent.map_err(AttemptFailure::Send)?.into_parts();
    apply_instance_state(cx, engine, &head);
    record_answer(cx, engine, &head, now);
    if !head.status.is_success() || unexpected_upstream(cx, engine, &head).is_some() {
        return Err(AttemptFailure::from_refusal(cx, engine, &head));
    }
    let read = read_whole(&mut body, MAX_RESERVATION_RESPONSE_BYTES);
    let name = match tokio::time::timeout_at(limits.deadline.into(), read).await {
        Ok(Ok(Some(bytes))) => cx
            .codec
            .read_reservation(&bytes)
            .map_err(AttemptFailure::invalid)?,
        Ok(Ok(None)) => return Err(AttemptFailure::invalid("response too long")),
        Ok(Err(e)) => return Err(AttemptFailure::invalid(e.to_string())),
        Err(_) => return Err(AttemptFailure::Send(SendFailure::Timeout)),
    };
    cx.state.loads.record_contact(engine, cx.clock.now());
    Ok(name)
}

/// Frees the reservation or the prompt at `path` of an engine, in the background.
pub(super) fn release(cx: &Arc<ForwardContext>, engine: &Instance, path: String) {
    let (context, address) = (cx.clone(), engine.address);
    cx.tasks.spawn(async move {
        let req = match Request::delete(&path).body(Full::default()) {
            Ok(req) => req,
            Err(e) => {
                log::warn!(target: "upstream", "nothing freed at {address}: {path} is not a valid path: {e}");
                return;
            }
        };
        let limits = SendLimits {
            connect_timeout: context.settings.connect_timeout,
            deadline: context.clock.now() + RELEASE_TIMEOUT,
            may_reuse_connection: true,
        };
        if let Err(failure) = context.transport.send(address, req, limits).await {
            // The engine frees it by itself when its time to live ends.
            log::debug!(target: "upstream", "{path} at {address} not freed, left to expire: {failure}");
        }
    });
}
