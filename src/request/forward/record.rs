//! The account of one forwarded request: one log line at its end, with what decided its way.

use std::fmt::{self, Write};
use std::sync::Arc;
use std::time::Instant;

use crate::prelude::*;
use crate::process::metrics;
use crate::request::forward::call::{Call, CallHead};

/// How a forwarded request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Its whole answer was passed on.
    Answered,
    /// The router answered by itself.
    Refused,
    /// Its answer broke off.
    Cut,
    /// The caller left.
    Left,
}

impl Outcome {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::Left => "left",
        }
    }
}

/// The account of one forwarded request. Dropping it without `finish` records that the caller left.
pub struct ForwardRecord {
    clock: Arc<dyn Clock>,
    id: Arc<str>,
    route: Option<RouteId>,
    customer: Option<CustomerId>,
    version: Version,
    started: Instant,
    first: Option<Instant>,
    trail: String,
    finished: bool,
}

impl ForwardRecord {
    /// Starts the account of a request that arrived at `started` under configuration `version`.
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
            first: None,
            trail: String::new(),
            finished: false,
        }
    }

    /// Sets what the admission found.
    pub fn set_admitted(&mut self, call: &Call) {
        self.route = Some(call.route.id.clone());
        self.customer = call.customer.as_ref().map(|customer| customer.id.clone());
    }

    /// Adds a decision or its result to the line.
    pub fn note(&mut self, note: impl fmt::Display) {
        let millis = self.millis();
        let separator = if self.trail.is_empty() { "" } else { "; " };
        // Writing to a string can't fail.
        let _ = write!(self.trail, "{separator}{millis}ms {note}");
    }

    /// Takes note of the first part of the answer.
    pub fn record_first_part(&mut self) {
        if self.first.is_none() {
            let now = self.clock.now();
            self.first = Some(now);
            let waited = now.saturating_duration_since(self.started);
            ::metrics::histogram!(metrics::FIRST_TOKEN).record(waited.as_secs_f64());
        }
    }

    /// Ends the account of a request that was refused.
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

    /// Ends the account.
    pub fn finish(mut self, outcome: Outcome, status: u16) {
        self.write(outcome, status);
    }

    fn write(&mut self, outcome: Outcome, status: u16) {
        self.finished = true;
        let took = self.clock.now().saturating_duration_since(self.started);
        ::metrics::counter!(metrics::REQUESTS, "outcome" => outcome.name()).increment(1);
        ::metrics::histogram!(metrics::REQUEST_TIME, "outcome" => outcome.name())
            .record(took.as_secs_f64());
        let first = self.first.map_or(0, |first| {
            first.saturating_duration_since(self.started).as_millis()
        });
        log::info!(
            target: "request",
            "id={} outcome={} status={status} ms={} first_ms={first} version={} route={} customer={} trail=[{}]",
            self.id,
            outcome.name(),
            took.as_millis(),
            self.version,
            self.route.as_deref().unwrap_or("-"),
            self.customer.as_deref().unwrap_or("-"),
            self.trail,
        );
    }

    fn millis(&self) -> u128 {
        let elapsed = self.clock.now().saturating_duration_since(self.started);
        elapsed.as_millis()
    }
}

impl Drop for ForwardRecord {
    fn drop(&mut self) {
        if !self.finished {
            self.write(Outcome::Left, 0);
        }
    }
}
