//! Memory that an engine keeps for a request until it comes.
//!
//! Several hosts choose engines at the same time, each without what the others chose in the last milliseconds. The engine
//! itself decides who gets its last memory, before a prompt is prefilled for it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::load::CallOutcome;
use crate::request::forward::attempt::{Attempt, AttemptFailure, other_at_address};
use crate::request::forward::call::ReservationRequest;
use crate::request::forward::flow::ForwardServices;
use crate::request::forward::link::{SendFailure, SendLimits, read_whole};

/// The largest answer to a reservation, in bytes.
const MAX_RESERVATION_ANSWER: usize = 16 << 10;

/// The time for a call that gives something back to an engine, which gives it to others by itself about as soon.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reserved memory. Dropping it gives it back, unless a call used it.
pub(super) struct Reservation {
    cx: Arc<ForwardServices>,
    holder: Arc<Instance>,
    name: Arc<str>,
    /// The time until which it can be used.
    until: Instant,
    used: bool,
}

impl Reservation {
    /// Returns its name for the call that uses it now; `None` if it has lapsed.
    pub(super) fn take(&mut self) -> Option<Arc<str>> {
        self.used = self.is_valid();
        self.used.then(|| self.name.clone())
    }

    fn is_valid(&self) -> bool {
        self.cx.clock.now() < self.until
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.used {
            let path = self.cx.codec.cancel_path(&self.name);
            release(&self.cx, &self.holder, path);
        }
    }
}

/// Room for a request at a decode engine.
pub(super) struct Room {
    /// The place in this host's count of the engine's load.
    pub(super) attempt: Attempt,
    /// The memory that the engine keeps for the request; `None` if engines take no reservations or none had memory to spare.
    pub(super) reservation: Option<Reservation>,
}

impl Room {
    /// Tells whether the engine may no longer keep the memory that was reserved.
    pub(super) fn has_lapsed(&self) -> bool {
        let reservation = self.reservation.as_ref();
        reservation.is_some_and(|reservation| !reservation.is_valid())
    }

    /// Makes room of a place in the engine's load: has the engine keep `tokens` for up to `ttl`.
    ///
    /// # Errors
    /// Returns why the engine does not; the place has been given back.
    pub(super) async fn reserve(
        cx: &Arc<ForwardServices>,
        attempt: Attempt,
        tokens: Tokens,
        ttl: Duration,
    ) -> Result<Self, AttemptFailure> {
        let holder = attempt.instance.clone();
        let asked = cx.clock.now();
        match ask(cx, &holder, tokens, ttl).await {
            Ok(name) => {
                let reservation = Reservation {
                    cx: cx.clone(),
                    holder,
                    name,
                    until: asked + ttl.mul_f64(cx.settings.reservation_part),
                    used: false,
                };
                Ok(Self {
                    attempt,
                    reservation: Some(reservation),
                })
            }
            Err(failure) => {
                let end = match &failure {
                    AttemptFailure::Rejected {
                        end: CallOutcome::Full,
                        ..
                    } => CallOutcome::NoMemory,
                    AttemptFailure::Rejected { end, .. } => *end,
                    AttemptFailure::Sending(SendFailure::Unreachable { .. }) => {
                        CallOutcome::Unreachable
                    }
                    AttemptFailure::Sending(_) => CallOutcome::Failed,
                };
                if end != CallOutcome::NoMemory {
                    cx.link.close_idle(holder.address);
                }
                attempt.end(end);
                Err(failure)
            }
        }
    }
}

async fn ask(
    cx: &ForwardServices,
    holder: &Instance,
    tokens: Tokens,
    ttl: Duration,
) -> Result<Arc<str>, AttemptFailure> {
    let now = cx.clock.now();
    let req = cx.codec.write_reservation(&ReservationRequest {
        upstream: holder.id.clone(),
        tokens,
        ttl,
    });
    let last_sign = cx.state.loads.last_contact(holder);
    let fresh = cx.settings.fresh_repeatable;
    let limits = SendLimits {
        connect: cx.settings.connect_timeout,
        deadline: now + cx.settings.reservation_timeout,
        reuse: last_sign.is_some_and(|at| now.saturating_duration_since(at) < fresh),
    };
    let sent = cx.link.send(holder.address, req, limits).await;
    let (head, mut body) = sent.map_err(AttemptFailure::Sending)?.into_parts();
    if !head.status.is_success() || other_at_address(cx, holder, &head).is_some() {
        return Err(AttemptFailure::refused_by(cx, holder, &head));
    }
    let whole = read_whole(&mut body, MAX_RESERVATION_ANSWER);
    let broken = |cause: String| AttemptFailure::Sending(SendFailure::Broken { cause });
    let name = match tokio::time::timeout_at(limits.deadline.into(), whole).await {
        Ok(Ok(Some(whole))) => cx.codec.read_reservation(&whole).map_err(broken)?,
        Ok(Ok(None)) => return Err(broken("answer too long".to_owned())),
        Ok(Err(e)) => return Err(broken(e.to_string())),
        Err(_) => return Err(AttemptFailure::Sending(SendFailure::Timeout)),
    };
    cx.state.loads.record_contact(holder, cx.clock.now());
    Ok(name)
}

/// Gives back what an engine keeps under `path`, in the background.
pub(super) fn release(cx: &Arc<ForwardServices>, holder: &Instance, path: String) {
    let (services, address) = (cx.clone(), holder.address);
    cx.tasks.spawn(async move {
        let req = match Request::delete(&path).body(Full::default()) {
            Ok(req) => req,
            Err(e) => {
                log::warn!(target: "upstream", "{path} at {address} can't be freed: {e}");
                return;
            }
        };
        let limits = SendLimits {
            connect: services.settings.connect_timeout,
            deadline: services.clock.now() + RELEASE_TIMEOUT,
            reuse: true,
        };
        if let Err(failure) = services.link.send(address, req, limits).await {
            // The engine gives it to others by itself when its time is over.
            log::debug!(target: "upstream", "{path} at {address} not freed: {failure}");
        }
    });
}
