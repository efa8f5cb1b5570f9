//! The corrected load of one upstream: the last report, plus what was sent since, minus what ended since.

use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::pool::AttemptKey;
use crate::process::stated_time::{self, MAX_STATED_TIME};
use crate::request::engine::EngineLoad;

/// An attempt that was sent to the upstream.
#[derive(Debug, Clone)]
struct SentAttempt {
    key: AttemptKey,
    sent_at: Instant,
    tokens: Tokens,
    ended_at: Option<Instant>,
}

/// The load of one upstream: its last report, and the attempts with which it is corrected.
#[derive(Debug, Clone, Default)]
pub struct CorrectedLoad {
    /// The time at which the engine measured the last report.
    measured_at: Option<Instant>,
    reported_running: u32,
    reported_queue: Tokens,
    /// The attempts that run, and those that ended after the last report was measured, in order of sending.
    sent: Vec<SentAttempt>,
}

impl CorrectedLoad {
    /// Records an attempt with this number of uncached prompt tokens as sent.
    pub fn record_sent(&mut self, key: AttemptKey, tokens: Tokens, now: Instant) {
        self.sent.push(SentAttempt {
            key,
            sent_at: now,
            tokens,
            ended_at: None,
        });
    }

    /// Records an attempt as ended. `max_age` is the age above which the last report is ignored.
    pub fn record_end(&mut self, key: AttemptKey, max_age: Duration, now: Instant) {
        if let Some(sent) = self.sent.iter_mut().find(|s| s.key == key) {
            sent.ended_at = Some(now);
        }
        // Without a recent report there is nothing to subtract from, so ended attempts need not be kept.
        let has_recent_report = self.measured_at.is_some_and(|at| now - at <= max_age);
        self.sent
            .retain(|s| has_recent_report || s.ended_at.is_none());
    }

    /// Records a report that was received at `now`. Ignores it if it was measured before the last one.
    pub fn record_report(&mut self, load: &EngineLoad, now: Instant) {
        let measured_at = now.checked_sub(load.age).unwrap_or(now);
        if self.measured_at.is_some_and(|last| measured_at < last) {
            return;
        }
        self.measured_at = Some(measured_at);
        self.reported_running = load.running;
        self.reported_queue = load.queued_tokens;
        self.sent
            .retain(|s| s.ended_at.is_none_or(|ended| ended > measured_at));
    }

    /// Returns the time at which the engine measured the last report; `None` before the first one.
    pub fn measured_at(&self) -> Option<Instant> {
        self.measured_at
    }

    /// Returns the number of running requests; `None` if the last report is older than `max_age`.
    pub fn running(&self, max_age: Duration, now: Instant) -> Option<u32> {
        let measured_at = self.measured_at.filter(|at| now - *at <= max_age)?;
        let mut running = i64::from(self.reported_running);
        for sent in &self.sent {
            match (sent.sent_at > measured_at, sent.ended_at) {
                (true, None) => running += 1,
                (false, Some(ended)) if ended > measured_at => running -= 1,
                _ => {}
            }
        }
        Some(u32::try_from(running.max(0)).unwrap_or(u32::MAX))
    }

    /// Returns the time until the prompt tokens that wait now are prefilled at `rate` tokens a second.
    pub fn prefill_wait(&self, rate: Tokens, now: Instant) -> Duration {
        let rate = rate.max(1) as f64;
        let mut backlog = self.reported_queue as f64;
        let mut backlog_at = self.measured_at;
        for sent in &self.sent {
            let is_reported = self.measured_at.is_some_and(|at| sent.sent_at <= at);
            if is_reported || sent.ended_at.is_some() {
                continue;
            }
            let elapsed = backlog_at.map_or(Duration::ZERO, |t| {
                sent.sent_at.saturating_duration_since(t)
            });
            backlog = (backlog - elapsed.as_secs_f64() * rate).max(0.0) + sent.tokens as f64;
            backlog_at = Some(sent.sent_at);
        }
        let elapsed = backlog_at.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        let wait = (backlog / rate - elapsed.as_secs_f64()).max(0.0);
        stated_time::from_secs(wait).unwrap_or(MAX_STATED_TIME)
    }
}
