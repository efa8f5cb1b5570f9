//! What may be retried, and how often.

use std::collections::HashMap;
use std::time::Instant;

use crate::prelude::*;
use crate::process::message::PoolId;
use crate::process::shard::Shards;
use crate::process::token_bucket::TokenBucket;

/// Budgets are counted in tenths of a retry, because each request adds one tenth.
const RETRY: Tokens = 10;

/// Retries a second that are allowed without any requests, in tenths.
const BASE_RATE: Tokens = 3 * RETRY;

/// Retries saved up at most, in tenths. An engine that dies takes about 20 streams with it, a rack several times
/// as many; all of them may be retried at once.
const SAVED: Tokens = 100 * RETRY;

/// The retry budget of one pool: 10 retries per 100 requests plus 3 a second, which keeps an overload from being
/// multiplied by retries.
#[derive(Debug)]
pub struct RetryBudget {
    bucket: TokenBucket,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self {
            bucket: TokenBucket::full(BASE_RATE, SAVED, now),
        }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        self.bucket.refund(1, now);
    }

    /// Takes one retry; tells whether there was one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.bucket.take(RETRY, now).is_ok()
    }
}

/// The retry budgets of all pools at this host.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    pools: Shards<HashMap<PoolId, RetryBudget>>,
}

impl RetryBudgets {
    /// Counts a request.
    pub fn count_request(&self, pool: &PoolId, now: Instant) {
        self.with_budget(pool, now, |budget| budget.count_request(now));
    }

    /// Takes one retry; tells whether there was one.
    pub fn try_take(&self, pool: &PoolId, now: Instant) -> bool {
        self.with_budget(pool, now, |budget| budget.try_take(now))
    }

    fn with_budget<T>(
        &self,
        pool: &PoolId,
        now: Instant,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut pools = self.pools.lock(pool);
        if let Some(budget) = pools.get_mut(pool) {
            return act(budget);
        }
        act(pools
            .entry(pool.clone())
            .or_insert_with(|| RetryBudget::new(now)))
    }
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The attempts made, this one included.
    pub attempts: u32,
    /// The attempts allowed.
    pub max_attempts: u32,
    /// Whether this attempt may have run.
    pub run: Run,
    /// Whether the route says that a request may run more than once.
    pub repeatable: bool,
}

impl FailedAttempt {
    /// Tells whether another attempt is allowed, apart from the budget: only work that certainly did not run, or
    /// that may run more than once, is retried.
    pub fn may_retry(self) -> bool {
        self.attempts < self.max_attempts && (self.run == Run::NotRun || self.repeatable)
    }
}
