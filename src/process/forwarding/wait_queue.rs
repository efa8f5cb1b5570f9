//! The queue of requests that wait for free memory at a service's engines. Performs no I/O and reads no clock.
//!
//! Requests that can still meet their latency target are served before late ones. Each group is ordered by priority, then by
//! target, earliest first, or for late requests by arrival. Under overload, earliest-first would serve each request just before its
//! target, and the time to prefill its prompt would then make it late. So while a request that is still on time has waited for
//! long, the latest target goes first: a burst makes some requests late rather than all of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::prelude::*;

/// Identifies a request within one queue; grows with each request.
pub type WaiterId = u64;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiter {
    /// The urgency of the customer or the route; 0 is the most urgent.
    pub priority: u8,
    /// When the request began to wait.
    pub since: Instant,
    /// The time by which an engine must have memory for the request, so that it can meet its latency target.
    pub on_time_until: Instant,
    /// The engine memory that the request needs, in tokens.
    pub tokens: Tokens,
}

impl Waiter {
    /// Returns whether the request can still meet its target.
    pub fn is_on_time(&self, now: Instant) -> bool {
        now < self.on_time_until
    }

    /// Returns whether the request has waited for so long that the queue counts as overloaded.
    fn has_waited_long(&self, now: Instant) -> bool {
        let allowed = self.on_time_until.saturating_duration_since(self.since);
        now.saturating_duration_since(self.since) > allowed.mul_f64(OVERLOAD_FRACTION)
    }
}

/// The fraction of a request's time until it is late after which the queue counts as overloaded. With one half, short queues stay
/// in order, and half of the time is left to serve the newest requests.
const OVERLOAD_FRACTION: f64 = 0.5;

/// The requests that wait for the engines of one service, and how long requests occupy an engine.
#[derive(Debug, Default)]
pub struct WaitQueue {
    next: WaiterId,
    waiters: BTreeMap<WaiterId, Waiter>,
    /// The moving average of the time for which a request holds its engine memory, in seconds.
    hold_time_s: Option<f64>,
    /// The moving average of the hold time divided by the request's output limit, in seconds per token.
    seconds_per_token: Option<f64>,
}

/// The weight of the newest hold time in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;

/// The hold time assumed before any was measured, in seconds.
const INITIAL_HOLD_TIME_S: f64 = 2.5;

/// The seconds per token assumed before any were measured.
const INITIAL_SECONDS_PER_TOKEN: f64 = 0.004;

impl WaitQueue {
    /// Adds a request and returns its id, by which it is removed.
    pub fn enqueue(&mut self, waiter: Waiter) -> WaiterId {
        let id = self.next;
        self.next += 1;
        self.waiters.insert(id, waiter);
        id
    }

    /// Removes a request that was served or has given up; does nothing if it is gone already.
    pub fn remove(&mut self, id: WaiterId) {
        self.waiters.remove(&id);
    }

    /// Returns the request to serve next.
    pub fn head(&self, now: Instant) -> Option<WaiterId> {
        let mut on_time = self.waiters.values().filter(|w| w.is_on_time(now));
        let is_overloaded = on_time.any(|waiter| waiter.has_waited_long(now));
        let rank = |id: WaiterId, waiter: &Waiter| {
            let late = !waiter.is_on_time(now);
            let target = (!late).then_some(waiter.on_time_until);
            let (oldest, newest) = if is_overloaded {
                (None, target)
            } else {
                (target, None)
            };
            (late, waiter.priority, oldest, Reverse(newest), id)
        };
        self.waiters
            .iter()
            .min_by_key(|(id, waiter)| rank(**id, waiter))
            .map(|(id, _)| *id)
    }

    /// Returns the engine memory that all queued requests need, in tokens.
    pub fn queued_tokens(&self) -> Tokens {
        self.waiters.values().map(|waiter| waiter.tokens).sum()
    }

    /// Returns whether any queued request can still meet its target.
    pub fn has_on_time_waiter(&self, now: Instant) -> bool {
        self.waiters.values().any(|waiter| waiter.is_on_time(now))
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Updates the averages with a request of at most `output` generated tokens that held its engine memory for `time`.
    pub fn record_hold_time(&mut self, time: Duration, output: Tokens) {
        let time = time.as_secs_f64();
        let average = |old: Option<f64>, new: f64| {
            let old = old.unwrap_or(new);
            Some(old + (new - old) * NEWEST_WEIGHT)
        };
        self.hold_time_s = average(self.hold_time_s, time);
        self.seconds_per_token = average(self.seconds_per_token, time / output.max(1) as f64);
    }

    /// Predicts for how long a request of at most `output` generated tokens holds its engine memory.
    pub fn predicted_hold_time(&self, output: Tokens) -> Duration {
        let seconds_per_token = self.seconds_per_token.unwrap_or(INITIAL_SECONDS_PER_TOKEN);
        Duration::try_from_secs_f64(seconds_per_token * output as f64).unwrap_or(Duration::MAX)
    }

    /// Predicts the wait of a request of `tokens` that is queued now, assuming that all `capacity` tokens of engine memory are
    /// reassigned once per hold time and that this host gets an even share of them. Returns `Duration::MAX` without capacity.
    pub fn predicted_wait(&self, tokens: Tokens, capacity: Tokens, hosts: usize) -> Duration {
        let hold_time_s = self.hold_time_s.unwrap_or(INITIAL_HOLD_TIME_S);
        let share = capacity as f64 / hosts.max(1) as f64;
        if share <= 0.0 {
            return Duration::MAX;
        }
        let ahead = (self.queued_tokens() + tokens) as f64;
        Duration::try_from_secs_f64(ahead / share * hold_time_s).unwrap_or(Duration::MAX)
    }
}
