//! The line of requests that wait for room at an engine. Holds no I/O and reads no clock.
//!
//! Requests that can still meet their target go first, in the order of their targets; the others follow in the order of their
//! arrival. Under overload that order would serve each request just before it becomes late, and its prompt takes the rest: so the
//! newest goes first while the oldest has waited for long. A burst then makes some requests late, rather than all of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::prelude::*;

/// Names one request within a line.
pub type WaiterId = u64;

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// The urgency; 0 is the most urgent.
    pub priority: u8,
    /// When it began to wait.
    pub since: Instant,
    /// The time until which room must be found to meet the target.
    pub on_time_until: Instant,
    /// The tokens that it needs room for.
    pub tokens: Tokens,
}

impl Waiter {
    /// Tells whether it can still meet its target.
    pub fn is_on_time(&self, now: Instant) -> bool {
        now < self.on_time_until
    }

    /// Tells whether it has waited for so much of its time that the line is overloaded.
    fn has_waited_long(&self, now: Instant) -> bool {
        let allowed = self.on_time_until.saturating_duration_since(self.since);
        now.saturating_duration_since(self.since) > allowed.mul_f64(OVERLOADED_PART)
    }
}

/// The part of the time that a request may wait and be on time, after which the line counts as overloaded. Half of it leaves
/// short queues in order and the other half for the newest.
const OVERLOADED_PART: f64 = 0.5;

/// The requests that wait for one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    next: WaiterId,
    waiters: BTreeMap<WaiterId, Waiter>,
    /// The moving average of the time for which a request holds its room, in seconds.
    holding: Option<f64>,
    /// The moving average of the time for each token that a request might generate, in seconds.
    per_token: Option<f64>,
}

/// The weight of the newest holding time in the moving average.
const NEWEST: f64 = 0.1;

/// The holding time assumed before any was measured, in seconds.
const FIRST_HOLDING: f64 = 2.5;

/// The time for a token assumed before any was measured, in seconds.
const FIRST_PER_TOKEN: f64 = 0.004;

impl WaitQueue {
    /// Adds a request.
    pub fn enqueue(&mut self, waiter: Waiter) -> WaiterId {
        let no = self.next;
        self.next += 1;
        self.waiters.insert(no, waiter);
        no
    }

    /// Removes a request.
    pub fn remove(&mut self, no: WaiterId) {
        self.waiters.remove(&no);
    }

    /// Returns the request that is next.
    pub fn head(&self, now: Instant) -> Option<WaiterId> {
        let mut on_time = self.waiters.values().filter(|w| w.is_on_time(now));
        let is_overloaded = on_time.any(|waiter| waiter.has_waited_long(now));
        let rank = |no: WaiterId, waiter: &Waiter| {
            let late = !waiter.is_on_time(now);
            let target = (!late).then_some(waiter.on_time_until);
            let (oldest, newest) = if is_overloaded {
                (None, target)
            } else {
                (target, None)
            };
            (late, waiter.priority, oldest, Reverse(newest), no)
        };
        self.waiters
            .iter()
            .min_by_key(|(no, waiter)| rank(**no, waiter))
            .map(|(no, _)| *no)
    }

    /// Returns the tokens of the requests that wait.
    pub fn queued_tokens(&self) -> Tokens {
        self.waiters.values().map(|waiter| waiter.tokens).sum()
    }

    /// Tells whether a request waits that can still meet its target.
    pub fn has_on_time_waiter(&self, now: Instant) -> bool {
        self.waiters.values().any(|waiter| waiter.is_on_time(now))
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Takes note of the time for which a request that might generate `output` tokens held its room.
    pub fn record_hold_time(&mut self, time: Duration, output: Tokens) {
        let time = time.as_secs_f64();
        let average = |old: Option<f64>, new: f64| {
            let old = old.unwrap_or(new);
            Some(old + (new - old) * NEWEST)
        };
        self.holding = average(self.holding, time);
        self.per_token = average(self.per_token, time / output.max(1) as f64);
    }

    /// Predicts the time for which a request that might generate `output` tokens holds its room.
    pub fn predicted_hold_time(&self, output: Tokens) -> Duration {
        let per_token = self.per_token.unwrap_or(FIRST_PER_TOKEN);
        Duration::try_from_secs_f64(per_token * output as f64).unwrap_or(Duration::MAX)
    }

    /// Predicts the wait of a request that enters now: all room is given out once in a holding time, and this host gets
    /// its even part of `room` tokens.
    pub fn predicted_wait(&self, tokens: Tokens, room: Tokens, hosts: usize) -> Duration {
        let holding = self.holding.unwrap_or(FIRST_HOLDING);
        let part = room as f64 / hosts.max(1) as f64;
        if part <= 0.0 {
            return Duration::MAX;
        }
        let ahead = (self.queued_tokens() + tokens) as f64;
        Duration::try_from_secs_f64(ahead / part * holding).unwrap_or(Duration::MAX)
    }
}
