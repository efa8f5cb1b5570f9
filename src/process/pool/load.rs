//! The corrected load of one upstream: last report + sent since − ended since.

use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::pool::AttemptKey;
use crate::request::engine::EngineLoad;

/// What was sent to an upstream.
#[derive(Debug, Clone)]
struct Sent {
    key: AttemptKey,
    at: Instant,
    tokens: Tokens,
    ended: Option<Instant>,
}

/// The load of one upstream.
#[derive(Debug, Clone, Default)]
pub struct CorrectedLoad {
    /// The time at which the engine took the figures of the last report.
    measured_at: Option<Instant>,
    running: u32,
    queued: Tokens,
    /// In order of sending: everything that runs, and what ended after the last report was taken.
    sent: Vec<Sent>,
}

impl CorrectedLoad {
    /// Counts an attempt as sent.
    pub fn record_sent(&mut self, key: AttemptKey, tokens: Tokens, now: Instant) {
        self.sent.push(Sent {
            key,
            at: now,
            tokens,
            ended: None,
        });
    }

    /// Counts an attempt as ended.
    pub fn record_end(&mut self, key: AttemptKey, max_age: Duration, now: Instant) {
        if let Some(sent) = self.sent.iter_mut().find(|s| s.key == key) {
            sent.ended = Some(now);
        }
        // Without a recent report nothing is subtracted from, so ended attempts need not be kept.
        let fresh = self
            .measured_at
            .is_some_and(|measured_at| now - measured_at <= max_age);
        self.sent.retain(|s| fresh || s.ended.is_none());
    }

    /// Takes a report that was received at `now`. An older one than the last is ignored.
    pub fn record_report(&mut self, load: &EngineLoad, now: Instant) {
        let measured_at = now.checked_sub(load.age).unwrap_or(now);
        if self.measured_at.is_some_and(|last| measured_at < last) {
            return;
        }
        self.measured_at = Some(measured_at);
        self.running = load.running;
        self.queued = load.queued_tokens;
        self.sent
            .retain(|s| s.ended.is_none_or(|ended| ended > measured_at));
    }

    /// Returns the time at which the engine took the figures of the last report.
    pub fn measured_at(&self) -> Option<Instant> {
        self.measured_at
    }

    /// Returns the requests running; `None` if there is no report younger than `max_age`.
    pub fn running(&self, max_age: Duration, now: Instant) -> Option<u32> {
        let measured_at = self
            .measured_at
            .filter(|measured_at| now - *measured_at <= max_age)?;
        let mut running = i64::from(self.running);
        for sent in &self.sent {
            match (sent.at > measured_at, sent.ended) {
                (true, None) => running += 1,
                (false, Some(ended)) if ended > measured_at => running -= 1,
                _ => {}
            }
        }
        Some(u32::try_from(running.max(0)).unwrap_or(u32::MAX))
    }

    /// Returns the time until the prompt tokens waiting now are prefilled at `rate` tokens a second.
    pub fn prefill_wait(&self, rate: Tokens, now: Instant) -> Duration {
        let rate = rate.max(1) as f64;
        let mut backlog = self.queued as f64;
        let mut drained = self.measured_at;
        for sent in &self.sent {
            let reported = self
                .measured_at
                .is_some_and(|measured_at| sent.at <= measured_at);
            if reported || sent.ended.is_some() {
                continue;
            }
            let elapsed = drained.map_or(Duration::ZERO, |t| sent.at.saturating_duration_since(t));
            backlog = (backlog - elapsed.as_secs_f64() * rate).max(0.0) + sent.tokens as f64;
            drained = Some(sent.at);
        }
        let elapsed = drained.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        Duration::from_secs_f64((backlog / rate - elapsed.as_secs_f64()).max(0.0))
    }
}
