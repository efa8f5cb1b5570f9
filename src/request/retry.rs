//! Which failed attempts may be retried, and the budgets that limit retries.

use std::collections::HashMap;
use std::time::Instant;

use crate::prelude::*;
use crate::process::message::PoolId;
use crate::process::shard::Shards;
use crate::process::token_bucket::TokenBucket;

/// The cost of a retry in units of the bucket. A request adds one unit, so 10 requests add one retry.
const RETRY_COST: Tokens = 10;

/// The units that a budget gains per second without any requests: 3 retries.
const REFILL_PER_S: Tokens = 3 * RETRY_COST;

/// The largest number of units saved: 100 retries. An engine that dies breaks about 20 streams, a rack several times as
/// many; all of them may be retried at once.
const BUDGET_BURST: Tokens = 100 * RETRY_COST;

/// The retry budget of one pool: 10 retries per 100 requests plus 3 per second, so that retries don't multiply an
/// overload.
#[derive(Debug)]
pub struct RetryBudget {
    bucket: TokenBucket,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self {
            bucket: TokenBucket::full(REFILL_PER_S, BUDGET_BURST, now),
        }
    }

    /// Adds what a new request earns.
    pub fn count_request(&mut self, now: Instant) {
        self.bucket.refund(1, now);
    }

    /// Takes one retry; returns `false` if the budget is used up.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.bucket.take(RETRY_COST, now).is_ok()
    }
}

/// The retry budgets of all pools for the requests of this host.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    pools: Shards<HashMap<PoolId, RetryBudget>>,
}

impl RetryBudgets {
    /// Adds what a new request earns to the budget of its pool.
    pub fn count_request(&self, pool: &PoolId, now: Instant) {
        self.with_budget(pool, now, |budget| budget.count_request(now));
    }

    /// Takes one retry from the budget of a pool; returns `false` if it is used up.
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

/// What decides whether a failed attempt may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The number of attempts made, this one included.
    pub attempts: u32,
    /// The number of attempts allowed.
    pub max_attempts: u32,
    /// Whether this attempt may have run.
    pub run: Run,
    /// Whether the route allows a request to run more than once.
    pub repeatable: bool,
}

impl FailedAttempt {
    /// Returns whether another attempt is allowed, apart from the budget: an attempt is retried only if it certainly did
    /// not run or the route is repeatable.
    pub fn may_retry(self) -> bool {
        self.attempts < self.max_attempts && (self.run == Run::NotRun || self.repeatable)
    }
}
