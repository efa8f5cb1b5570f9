//! A circuit breaker per upstream: excludes a failed upstream with exponential backoff, and until there is evidence
//! that it is back.
//!
//! For engines the evidence is a load report: an attempt would cost a prefill if the decode engine were still down.
//! Plain services have no load reports, so one attempt is let through as a trial.

use std::time::{Duration, Instant};

use crate::process::pool::AttemptKey;
use crate::process::pool::settings::PlacementSettings;

/// The health of one upstream.
#[derive(Debug, Clone)]
pub struct Health {
    has_reports: bool,
    failures: u32,
    excluded_until: Option<Instant>,
    /// The start of the current downtime; a failed trial does not restart it.
    down_since: Option<Instant>,
    /// The last failure that no later load report has cleared; only with load reports.
    awaiting_report_since: Option<Instant>,
    /// The attempt that runs as a trial; only without load reports.
    trial: Option<AttemptKey>,
}

impl Health {
    /// Creates the health of an upstream that has not failed. `has_reports` says whether it has load reports.
    pub fn new(has_reports: bool) -> Self {
        Self {
            has_reports,
            failures: 0,
            excluded_until: None,
            down_since: None,
            awaiting_report_since: None,
            trial: None,
        }
    }

    /// Returns whether the upstream may get an attempt.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.is_excluded(now) && self.trial.is_none()
    }

    /// Returns whether the upstream is excluded because of a failure. A running trial does not count as an exclusion.
    pub fn is_excluded(&self, now: Instant) -> bool {
        self.awaiting_report_since.is_some() || self.excluded_until.is_some_and(|until| until > now)
    }

    /// Returns whether the upstream is usable and the next attempt would not be a trial.
    pub fn is_known_up(&self, now: Instant) -> bool {
        self.is_usable(now) && (self.has_reports || self.excluded_until.is_none())
    }

    /// Returns the time from which the upstream may be used again; `None` if it is not excluded, or if that takes a
    /// load report or the end of a trial.
    pub fn retry_at(&self) -> Option<Instant> {
        self.excluded_until
            .filter(|_| self.trial.is_none() && self.awaiting_report_since.is_none())
    }

    /// Estimates the time until the upstream is used again. A downtime that only a load report can end is expected to
    /// last as long again as it has lasted so far.
    pub fn expected_downtime(&self, now: Instant) -> Duration {
        let lasted = self
            .down_since
            .filter(|_| self.awaiting_report_since.is_some());
        let lasted = lasted.map(|since| now.saturating_duration_since(since));
        self.excluded_for(now).max(lasted.unwrap_or_default())
    }

    /// Returns the time for which the upstream stays excluded even if a load report arrives.
    pub fn excluded_for(&self, now: Instant) -> Duration {
        self.excluded_until
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns the number of failures since the upstream last served an attempt.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the upstream stays excluded until a load report arrives.
    pub fn awaits_report(&self) -> bool {
        self.awaiting_report_since.is_some()
    }

    /// Returns the attempt that runs as a trial, if there is one.
    pub fn trial(&self) -> Option<AttemptKey> {
        self.trial
    }

    /// Records that an attempt was placed; it is the trial of a plain service that has failed.
    pub fn record_sent(&mut self, key: AttemptKey) {
        if self.excluded_until.is_some() && !self.has_reports {
            self.trial = Some(key);
        }
    }

    /// Records a load report, or any other answer to a poll for one. Answers from before the last failure are
    /// ignored.
    pub fn record_answer(&mut self, measured_at: Instant, now: Instant) {
        if !self.has_reports
            || self
                .awaiting_report_since
                .is_some_and(|failed| failed >= measured_at)
        {
            return;
        }
        self.awaiting_report_since = None;
        if !self.is_excluded(now) {
            self.excluded_until = None;
            self.down_since = None;
        }
    }

    /// Records that a poll for a load report did not reach the engine. This does not extend the backoff: the next
    /// report that arrives ends the downtime.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.awaiting_report_since = Some(now);
        self.down_since.get_or_insert(now);
    }

    /// Records a failure of the upstream as a whole, seen by the attempt `key` if that was still placed. Further
    /// failures of attempts that were running when the upstream failed do not extend the backoff.
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
            let exclusion: Duration = doubled.min(settings.max_exclusion);
            self.excluded_until = Some(now + exclusion);
            self.failures += 1;
            if !is_trial {
                self.down_since = Some(now);
            }
        }
        if self.has_reports {
            self.awaiting_report_since = Some(now);
        }
        if is_trial {
            self.trial = None;
        }
    }

    /// Records the end of an attempt; `served` says whether it finished. A finished attempt clears the failures, unless
    /// the upstream is down and the attempt was not the trial.
    pub fn record_end(&mut self, key: AttemptKey, served: bool) {
        let is_trial = self.trial == Some(key);
        if is_trial {
            self.trial = None;
        }
        let is_down = self.excluded_until.is_some() || self.awaiting_report_since.is_some();
        if served && (is_trial || !is_down) {
            *self = Self::new(self.has_reports);
        }
    }
}
