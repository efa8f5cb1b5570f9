//! Enforces customers' rates and bursts over all hosts. Performs no I/O and reads no clock.
//!
//! Every host keeps a token bucket per customer, and charges it for its own requests and for the grants that other hosts report. A
//! silent source of reports is assumed to grant its hosts' even share of the rate until it reports again. So after a network
//! partition both groups of hosts together grant no more than the rate, and at most one burst each.
//!
//! In a large fleet reports take up to a second, and all hosts see the same tokens at once. There a request is granted for certain
//! only if the bucket also holds what the whole fleet may be asked for meanwhile; otherwise it is granted with the probability with
//! which the expected grants of all hosts together match the rate.

mod bucket;

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub use crate::process::forwarding::usage::bucket::{Reporter, UsageTotals};

use crate::prelude::*;
use crate::process::forwarding::source::{Reach, Source};
use crate::process::forwarding::usage::bucket::Bucket;
use crate::process::shard::{Shards, lock};
use crate::version::forwarding::ForwardCustomer;

/// The tolerated overrun of limits, and how much of a burst a new host and small requests may use.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageSettings {
    /// The time over which limits are checked: no more may be granted in it than its part of the rate, one burst and the overrun.
    pub window: Duration,
    /// The tolerated overrun in a window, as a fraction of what the limit allows in it.
    pub overrun: f64,
    /// The tolerated overrun in a window in tokens, on top of that fraction.
    pub slack: Tokens,
    /// The fraction of the tolerated overrun that all hosts together may grant right after they all have started at the same time.
    /// They have forgotten what they granted before, and don't know of each other's grants yet.
    pub initial_overrun: f64,
    /// The fraction of a burst that a host may grant right after its start, at most.
    pub initial_level: f64,
    /// Whether the fleet starts for the first time, so that no host has granted anything and buckets start full.
    pub starts_full: bool,
    /// The fraction of a burst up to which a request counts as small, and which is kept for small requests, so that they don't wait
    /// behind large ones. A large request costs as much as some dozens of small ones.
    pub small_request_fraction: f64,
    /// The fraction of a burst by which small requests may overdraw a bucket. Large requests that several hosts grant at the same
    /// moment overdraw it as well; both are made up for as the bucket refills.
    pub small_request_overdraft: f64,
}

impl Default for UsageSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overrun: 0.1,
            slack: 100_000,
            initial_overrun: 0.5,
            initial_level: 0.25,
            starts_full: false,
            small_request_fraction: 0.02,
            small_request_overdraft: 0.25,
        }
    }
}

/// The time in which a bucket that is above or below zero should return there, where grants are a matter of probability. It is
/// longer than reports take, so that the grants of all hosts don't swing.
const LEVEL_RETURN_TIME: Duration = Duration::from_secs(2);

/// The `Retry-After` of a request that a host of a large fleet refuses because it has not heard of the others' grants yet. The
/// first report arrives within about this time.
const UNHEARD_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The shortest `Retry-After` of a request that is refused by chance.
const MIN_CHANCE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a host knows of the fleet when it grants a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetKnowledge {
    /// The number of all hosts, this one included.
    pub hosts: usize,
    /// The time that reports take through relays; `None` if hosts report to each other directly, within milliseconds.
    pub relay_delay: Option<Duration>,
    /// The part of all hosts whose grants are reported to this one, its own included. With relays, hosts that don't hear each other
    /// share the tokens of a bucket as they stood when they last did.
    pub heard_part: f64,
    /// Whether other hosts' grants were reported since the start of this host.
    pub is_informed: bool,
}

impl Default for FleetKnowledge {
    fn default() -> Self {
        Self {
            hosts: 1,
            relay_delay: None,
            heard_part: 1.0,
            is_informed: true,
        }
    }
}

/// The result of charging a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// The request was charged and may run.
    Granted,
    /// The request was queued, because its tokens are available only after this time.
    Queued(Duration),
}

/// The token buckets of all customers, in shards under a lock each.
#[derive(Debug, Default)]
pub struct UsageTracker {
    settings: UsageSettings,
    knowledge: Mutex<FleetKnowledge>,
    buckets: Shards<HashMap<CustomerId, Bucket>>,
}

impl UsageTracker {
    /// Creates a tracker without buckets.
    pub fn new(settings: UsageSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records what this host knows of the fleet from now on.
    pub fn set_knowledge(&self, knowledge: FleetKnowledge) {
        *lock(&self.knowledge) = knowledge;
    }

    fn knowledge(&self) -> FleetKnowledge {
        *lock(&self.knowledge)
    }

    /// Returns the tokens with which a customer's bucket starts at one of `hosts` hosts.
    fn initial_level(&self, customer: &ForwardCustomer, hosts: usize) -> f64 {
        let settings = &self.settings;
        let burst = customer.burst as f64;
        if settings.starts_full {
            return burst;
        }
        let in_window = customer.rate as f64 * settings.window.as_secs_f64() + burst;
        let overrun = in_window * settings.overrun + settings.slack as f64;
        let share = overrun * settings.initial_overrun / hosts.max(1) as f64;
        share.min(burst * settings.initial_level)
    }

    /// Creates buckets for customers that have none, so that other hosts' grants to them count from now on.
    pub fn add_customers<'a>(
        &self,
        customers: impl IntoIterator<Item = &'a ForwardCustomer>,
        now: Instant,
    ) {
        let hosts = self.knowledge().hosts;
        for customer in customers {
            let mut buckets = self.buckets.lock(&customer.id);
            buckets
                .entry(customer.id.clone())
                .or_insert_with(|| Bucket::new(customer, self.initial_level(customer, hosts), now));
        }
    }

    /// Charges a request, or queues it if its tokens are available within `max_wait`. A queued request must be followed up with
    /// `charge_queued` or `cancel_queued`. `draw` is uniformly distributed from 0 to 1.
    ///
    /// # Errors
    /// Returns the time after which a repeat may be granted; nothing is charged then.
    pub fn charge(
        &self,
        customer: &ForwardCustomer,
        tokens: Tokens,
        max_wait: Duration,
        draw: f64,
        now: Instant,
    ) -> Result<ChargeOutcome, Duration> {
        if customer.rate == 0 {
            return Ok(ChargeOutcome::Granted);
        }
        let knowledge = self.knowledge();
        let mut buckets = self.buckets.lock(&customer.id);
        let bucket = buckets.entry(customer.id.clone()).or_insert_with(|| {
            Bucket::new(customer, self.initial_level(customer, knowledge.hosts), now)
        });
        bucket.rate = customer.rate as f64;
        bucket.burst = customer.burst as f64;
        bucket.refill(now);
        bucket.request(tokens, now);
        let small_request_limit = bucket.burst * self.settings.small_request_fraction;
        let wanted = tokens as f64;
        let overdraft = if wanted <= small_request_limit {
            bucket.burst * self.settings.small_request_overdraft
        } else {
            0.0
        };
        let required_level = if wanted <= small_request_limit {
            wanted - overdraft
        } else {
            // A request larger than the burst is granted by a full bucket; otherwise it could never run.
            (wanted + bucket.queued + small_request_limit).min(bucket.burst + bucket.queued)
        };
        let wait = ((required_level - bucket.level) / bucket.rate).max(0.0);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        if knowledge.relay_delay.is_some() {
            if draw < grant_probability(bucket, wanted, overdraft, knowledge, now) {
                bucket.grant(tokens, now);
                return Ok(ChargeOutcome::Granted);
            }
            return Err(if knowledge.is_informed {
                wait.max(MIN_CHANCE_RETRY_AFTER)
            } else {
                UNHEARD_RETRY_AFTER
            });
        }
        if wait.is_zero() {
            bucket.grant(tokens, now);
            return Ok(ChargeOutcome::Granted);
        }
        if wait > max_wait {
            return Err(wait);
        }
        bucket.queued += wanted;
        Ok(ChargeOutcome::Queued(wait))
    }

    /// Charges a queued request that has waited for its tokens.
    pub fn charge_queued(&self, customer: &CustomerId, tokens: Tokens, now: Instant) {
        let mut buckets = self.buckets.lock(customer);
        if let Some(bucket) = buckets.get_mut(customer) {
            bucket.queued = (bucket.queued - tokens as f64).max(0.0);
            bucket.refill(now);
            bucket.grant(tokens, now);
        }
    }

    /// Removes a queued request that no longer waits, without charging it.
    pub fn cancel_queued(&self, customer: &CustomerId, tokens: Tokens) {
        let mut buckets = self.buckets.lock(customer);
        if let Some(bucket) = buckets.get_mut(customer) {
            bucket.queued = (bucket.queued - tokens as f64).max(0.0);
        }
    }

    /// Returns the tokens of a request that did not run to its customer.
    pub fn refund(&self, customer: &CustomerId, tokens: Tokens, now: Instant) {
        let mut buckets = self.buckets.lock(customer);
        let Some(bucket) = buckets.get_mut(customer) else {
            return;
        };
        bucket.refill(now);
        bucket.refund(tokens, now);
    }

    /// Charges what a source has granted since its last report, less what was assumed for it while it was silent.
    pub fn apply_totals(
        &self,
        source: &Source,
        reporter: Reporter<'_>,
        customer: &CustomerId,
        totals: UsageTotals,
        now: Instant,
    ) {
        let mut buckets = self.buckets.lock(customer);
        if let Some(bucket) = buckets.get_mut(customer) {
            bucket.apply(source, reporter, totals, now);
        }
    }

    /// Charges all customers for what the `silent_hosts` of a source are assumed to have granted during `elapsed`: an even share of
    /// the rate each. `hosts` is the number of all hosts.
    pub fn charge_silence(
        &self,
        source: &Source,
        silent_hosts: usize,
        hosts: usize,
        elapsed: Duration,
        now: Instant,
    ) {
        let share = silent_hosts as f64 / hosts.max(1) as f64 * elapsed.as_secs_f64();
        for mut buckets in self.buckets.iter() {
            for bucket in buckets.values_mut() {
                bucket.assume(source, bucket.rate * share, now);
            }
        }
    }

    /// Drops what a source that is gone for good has reported; what was charged for it stays.
    pub fn forget(&self, source: &Source) {
        for mut buckets in self.buckets.iter() {
            for bucket in buckets.values_mut() {
                bucket.forget(source);
            }
        }
    }

    /// Returns the totals within `reach` per customer, for customers whose totals have changed since `since`, to report them.
    pub fn totals_since(&self, reach: Reach, since: Instant) -> Vec<(CustomerId, UsageTotals)> {
        let mut changed = Vec::new();
        for mut buckets in self.buckets.iter() {
            for (customer, bucket) in buckets.iter_mut() {
                let totals = bucket.totals_since(reach, since);
                changed.extend(totals.map(|totals| (customer.clone(), totals)));
            }
        }
        changed
    }

    /// Returns the tokens available to each customer at the last refill, for the dump.
    pub fn levels(&self) -> Vec<(CustomerId, f64)> {
        let mut levels = Vec::new();
        for buckets in self.buckets.iter() {
            levels.extend(
                buckets
                    .iter()
                    .map(|(customer, bucket)| (customer.clone(), bucket.level)),
            );
        }
        levels
    }
}

/// Returns the probability with which a host of a large fleet grants a request of `wanted` tokens, which may overdraw the bucket by
/// `overdraft`.
fn grant_probability(
    bucket: &Bucket,
    wanted: f64,
    overdraft: f64,
    knowledge: FleetKnowledge,
    now: Instant,
) -> f64 {
    let part = knowledge.heard_part;
    let level = bucket.level + overdraft;
    let (available, rate) = (level * part, bucket.rate * part);
    let demand = bucket.demand(now);
    let delay = knowledge.relay_delay.unwrap_or_default();
    let unreported = (demand - rate).max(0.0) * delay.as_secs_f64();
    if available >= (wanted + unreported).min(bucket.burst) {
        return 1.0;
    }
    let affordable = rate + available / LEVEL_RETURN_TIME.as_secs_f64();
    (affordable / demand.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}
