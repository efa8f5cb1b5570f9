//! Records one forwarded request: its metrics, and one log line at its end with a trail of the decisions made for it.

use std::fmt::{self, Write};
use std::sync::Arc;
use std::time::Instant;

use crate::prelude::*;
use crate::process::metrics;
use crate::request::forward::call::{Call, CallHead};

/// How a forwarded request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Its whole response was passed on.
    Answered,
    /// The router refused it.
    Refused,
    /// Its response broke off.
    Cut,
    /// The caller disconnected.
    Left,
    /// Its task panicked.
    Panicked,
}

impl Outcome {
    /// Returns the value of `outcome` in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Left => "left",
            Self::Panicked => "panicked",
        }
    }
}

/// The record of one forwarded request. Dropping it unfinished records that the caller disconnected, or that its task panicked.
pub struct ForwardRecord {
    clock: Arc<dyn Clock>,
    id: Arc<str>,
    route: Option<RouteId>,
    customer: Option<CustomerId>,
    version: Version,
    started: Instant,
    first_part_at: Option<Instant>,
    trail: String,
    finished: bool,
}

impl ForwardRecord {
    /// Starts the record of a request that arrived at `started` under configuration `version`.
    pub fn start(
        clock: Arc<dyn Clock>,
        head: &CallHead,
        version: Version,
        started: Instant,
    ) -> Self {
        Self {
            clock,
            id: head.id.clone(),
            route: None,
            customer: None,
            version,
            started,
            first_part_at: None,
            trail: String::new(),
            finished: false,
        }
    }

    /// Sets the route and the customer.
    pub fn set_admitted(&mut self, call: &Call) {
        self.route = Some(call.route.id.clone());
        self.customer = call.customer.as_ref().map(|customer| customer.id.clone());
    }

    /// Adds a decision or its result to the trail, with the milliseconds since the start.
    pub fn note(&mut self, note: impl fmt::Display) {
        let elapsed_ms = self.elapsed_ms();
        let separator = if self.trail.is_empty() { "" } else { "; " };
        // Writing to a string can't fail.
        let _ = write!(self.trail, "{separator}{elapsed_ms}ms {note}");
    }

    /// Records when the first part of the response arrived; later calls have no effect.
    pub fn record_first_part(&mut self) {
        if self.first_part_at.is_none() {
            let now = self.clock.now();
            self.first_part_at = Some(now);
            let waited = now.saturating_duration_since(self.started);
            ::metrics::histogram!(metrics::FIRST_TOKEN).record(waited.as_secs_f64());
        }
    }

    /// Finishes the record of a refused request.
    pub fn refused(mut self, refusal: &Refusal) {
        ::metrics::counter!(metrics::REFUSALS, "kind" => refusal.kind.name()).increment(1);
        let run = if refusal.run == Run::NotRun {
            "not run"
        } else {
            "may have run"
        };
        if !refusal.figures.is_empty() {
            self.note(&refusal.figures);
        }
        self.note(format_args!("{refusal} ({run})"));
        self.finish(Outcome::Refused, refusal.kind.status());
    }

    /// Finishes the record. `status` is the HTTP status that the caller got.
    pub fn finish(mut self, outcome: Outcome, status: u16) {
        self.write(outcome, status);
    }

    fn write(&mut self, outcome: Outcome, status: u16) {
        self.finished = true;
        let duration = self.clock.now().saturating_duration_since(self.started);
        ::metrics::counter!(metrics::REQUESTS, "outcome" => outcome.name()).increment(1);
        ::metrics::histogram!(metrics::REQUEST_TIME, "outcome" => outcome.name())
            .record(duration.as_secs_f64());
        let first_ms = self.first_part_at.map_or(0, |first_part_at| {
            first_part_at
                .saturating_duration_since(self.started)
                .as_millis()
        });
        log::info!(
            target: "request",
            "id={} outcome={} status={status} ms={} first_ms={first_ms} version={} route={} customer={} trail=[{}]",
            self.id,
            outcome.name(),
            duration.as_millis(),
            self.version,
            self.route.as_deref().unwrap_or("-"),
            self.customer.as_deref().unwrap_or("-"),
            self.trail,
        );
    }

    fn elapsed_ms(&self) -> u128 {
        let elapsed = self.clock.now().saturating_duration_since(self.started);
        elapsed.as_millis()
    }
}

impl Drop for ForwardRecord {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let outcome = if std::thread::panicking() {
            Outcome::Panicked
        } else {
            Outcome::Left
        };
        self.write(outcome, 0);
    }
}
