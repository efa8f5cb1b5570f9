//! Leaves failed upstreams out for a growing time, and until there is evidence that they are back.
//!
//! For engines the evidence is a load report: an attempt would cost a prefill if the decode engine is still down.
//! Plain services have no reports, so one attempt is let through as a trial.

use std::time::{Duration, Instant};

use crate::process::pool::AttemptKey;
use crate::process::pool::settings::PlacementSettings;

/// The health of one upstream.
#[derive(Debug, Clone)]
pub struct Health {
    has_reports: bool,
    failures: u32,
    out_until: Option<Instant>,
    /// The start of the present outage.
    out_since: Option<Instant>,
    /// The last failure that no later load report has answered; only with load reports.
    unanswered: Option<Instant>,
    /// The one attempt that runs there to find out whether it is back; only without load reports.
    trial: Option<AttemptKey>,
}

impl Health {
    /// Creates the health of an upstream that has not failed, with or without load reports.
    pub fn new(has_reports: bool) -> Self {
        Self {
            has_reports,
            failures: 0,
            out_until: None,
            out_since: None,
            unanswered: None,
            trial: None,
        }
    }

    /// Tells whether the upstream may get an attempt.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.is_excluded(now) && self.trial.is_none()
    }

    /// Tells whether it is left out because of a failure; a trial does not count.
    pub fn is_excluded(&self, now: Instant) -> bool {
        self.unanswered.is_some() || self.out_until.is_some_and(|until| until > now)
    }

    /// Tells whether it is usable and known to be up, so that the next attempt would not be a trial.
    pub fn is_known_up(&self, now: Instant) -> bool {
        self.is_usable(now) && (self.has_reports || self.out_until.is_none())
    }

    /// Returns the time at which it is used again without a load report.
    pub fn retry_at(&self) -> Option<Instant> {
        self.out_until
            .filter(|_| self.trial.is_none() && self.unanswered.is_none())
    }

    /// Estimates the time until it is used again. An outage that only a load report ends is expected to last as long
    /// again as it has lasted.
    pub fn expected_downtime(&self, now: Instant) -> Duration {
        let lasted = self.out_since.filter(|_| self.unanswered.is_some());
        let lasted = lasted.map(|since| now.saturating_duration_since(since));
        self.excluded_for(now).max(lasted.unwrap_or_default())
    }

    /// Returns the time for which it is left out in any case.
    pub fn excluded_for(&self, now: Instant) -> Duration {
        self.out_until
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns the number of failures since it last served an attempt.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Tells whether only a load report can show that it is back.
    pub fn awaits_report(&self) -> bool {
        self.unanswered.is_some()
    }

    /// Returns the attempt that runs as a trial.
    pub fn trial(&self) -> Option<AttemptKey> {
        self.trial
    }

    /// Counts an attempt as sent; it is the trial if a plain service failed before.
    pub fn record_sent(&mut self, key: AttemptKey) {
        if self.out_until.is_some() && !self.has_reports {
            self.trial = Some(key);
        }
    }

    /// Takes a load report whose figures were taken at `taken`, or any other answer to the question for one.
    pub fn record_answer(&mut self, taken: Instant, now: Instant) {
        if !self.has_reports || self.unanswered.is_some_and(|failed| failed >= taken) {
            return;
        }
        self.unanswered = None;
        if !self.is_excluded(now) {
            self.out_until = None;
            self.out_since = None;
        }
    }

    /// Takes a question for a load report that did not reach the engine. It adds nothing to the time for which the
    /// engine is left out: the next report that arrives ends the outage.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.unanswered = Some(now);
        self.out_since.get_or_insert(now);
    }

    /// Counts a failure of the upstream as a whole. Failures of attempts that were under way when it failed
    /// do not add to the time.
    pub fn record_failure(
        &mut self,
        key: Option<AttemptKey>,
        settings: &PlacementSettings,
        now: Instant,
    ) {
        let is_trial = key.is_some() && key == self.trial;
        if !self.is_excluded(now) || is_trial {
            let doubled = settings
                .first_exclusion
                .saturating_mul(1 << self.failures.min(16));
            let out: Duration = doubled.min(settings.max_exclusion);
            self.out_until = Some(now + out);
            self.failures += 1;
            if !is_trial {
                self.out_since = Some(now);
            }
        }
        if self.has_reports {
            self.unanswered = Some(now);
        }
        if is_trial {
            self.trial = None;
        }
    }

    /// Counts an attempt that ended without a failure of the upstream as a whole.
    pub fn record_end(&mut self, key: AttemptKey, served: bool) {
        let is_trial = self.trial == Some(key);
        if is_trial {
            self.trial = None;
        }
        let has_outage = self.out_until.is_some() || self.unanswered.is_some();
        if served && (is_trial || !has_outage) {
            *self = Self::new(self.has_reports);
        }
    }
}
