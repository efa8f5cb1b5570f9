//! An estimate of a customer's demand in one data centre.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::prelude::*;

/// The time constant of the average: half of `LOAN_TTL`, so that demand changes show by the renewal of a loan.
const AVERAGING_TIME: Duration = Duration::from_secs(5);
/// The most waiting requests that are tracked. Repeats of untracked ones are counted again.
const MAX_WAITING: usize = 256;

/// The tokens requested, averaged with exponential decay.
#[derive(Debug)]
pub struct Demand {
    /// The decayed sum of tokens; divided by `AVERAGING_TIME` it is the demand a second.
    sum: f64,
    updated: Instant,
    /// The requests that were counted and not served yet, so that their repeats are not counted again.
    waiting: HashMap<RequestId, Instant>,
}

impl Demand {
    /// Creates an estimate of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            updated: now,
            waiting: HashMap::new(),
        }
    }

    /// Returns the decayed sum of tokens for the next owner.
    pub fn hand_over(&mut self, now: Instant) -> Tokens {
        self.decay(now);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tokens = self.sum as Tokens;
        tokens
    }

    /// Sets the estimate to the previous owner's decayed sum.
    pub fn take_over(&mut self, tokens: Tokens) {
        self.sum = tokens as f64;
    }

    /// Adds the tokens of a request, unless it was counted and still waits.
    pub fn count(&mut self, request: RequestId, tokens: Tokens, now: Instant) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting
                .retain(|_, at| now.saturating_duration_since(*at) < AVERAGING_TIME);
        }
        if self.waiting.contains_key(&request) {
            return;
        }
        if self.waiting.len() < MAX_WAITING {
            self.waiting.insert(request, now);
        }
        self.decay(now);
        self.sum += tokens as f64;
    }

    /// Records that a request no longer waits for tokens.
    pub fn mark_served(&mut self, request: RequestId) {
        self.waiting.remove(&request);
    }

    /// Returns the demand as a share of `rate`, at most `WHOLE_SHARE`.
    pub fn share(&mut self, rate: Tokens, now: Instant) -> Share {
        self.decay(now);
        let share = self.sum / AVERAGING_TIME.as_secs_f64() / (rate.max(1) as f64);
        let parts = (share * f64::from(WHOLE_SHARE)).clamp(0.0, f64::from(WHOLE_SHARE));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let parts = parts as Share;
        parts
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        self.sum *= (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
    }
}
