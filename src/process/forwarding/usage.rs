//! Enforces customers' rates and bursts over all hosts. Performs no I/O and reads no clock.
//!
//! Every host keeps a token bucket per customer, and charges it for its own requests and for the grants that other hosts report. A
//! silent source of reports is assumed to grant its hosts' even share of the rate until it reports again. So after a network
//! partition both groups of hosts together grant no more than the rate, and each at most its hosts' share of the tokens that were left.
//!
//! All hosts see the same tokens at once until they hear of each other's grants. So a large request is granted for certain only if the
//! bucket also holds what the whole fleet may be asked for meanwhile; otherwise it is granted with the probability with which the
//! expected grants of all hosts together match the rate. Through relays, where reports take up to a second, this holds for small
//! requests too.
//!
//! Where hosts report to each other directly, a request may wait for its tokens. Reports carry the tokens of waiting requests, so
//! that no two hosts promise the same ones.

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
    /// Whether reports go through relays. They don't carry the tokens of waiting requests, so none may wait.
    pub has_relays: bool,
    /// The longest time after which all hosts have heard of a grant, apart from lost reports.
    pub report_delay: Duration,
    /// The part of all hosts whose grants are reported to this one, its own included. Hosts that don't hear each other share the tokens
    /// of a bucket as they stood when they last did.
    pub heard_part: f64,
    /// Whether other hosts' grants were reported since the start of this host.
    pub is_informed: bool,
}

impl Default for FleetKnowledge {
    fn default() -> Self {
        Self {
            hosts: 1,
            has_relays: false,
            report_delay: Duration::ZERO,
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

/// Why a request was not charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its tokens are available only after a longer wait than it has time for.
    LongWait,
    /// There may be tokens for it, but too many hosts are asked for them before they hear of each other.
    Chance,
    /// This host has not heard of the grants of others yet.
    Unheard,
}

impl RefusalCause {
    /// Returns the name used in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::LongWait => "wait",
            Self::Chance => "chance",
            Self::Unheard => "unheard",
        }
    }
}

/// Tells that a request was not charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitRefusal {
    /// The time after which a repeat may be granted.
    pub retry_after: Duration,
    /// The cause.
    pub cause: RefusalCause,
    /// The tokens available; negative while the bucket is overdrawn.
    pub level: f64,
    /// The tokens that are promised to waiting requests, here and elsewhere.
    pub promised: f64,
}

/// What a request needs of its customer's bucket, in tokens.
struct Need {
    /// Whether the request counts as small.
    is_small: bool,
    /// By how much it may overdraw the bucket.
    overdraft: f64,
    /// What is promised to waiting requests, here and elsewhere.
    promised: f64,
    /// The level of the bucket from which it is granted at once.
    level: f64,
}

/// The tokens of a customer's queued requests at one host, in its reports.
pub type QueuedTokens = (CustomerId, Tokens);

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
    /// Returns why the request is refused; nothing is charged then.
    pub fn charge(
        &self,
        customer: &ForwardCustomer,
        tokens: Tokens,
        max_wait: Duration,
        draw: f64,
        now: Instant,
    ) -> Result<ChargeOutcome, LimitRefusal> {
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
        let (part, delay) = (knowledge.heard_part, knowledge.report_delay);
        let need = self.need(bucket, tokens, part, now);
        let (level, rate) = (bucket.level * part, bucket.rate * part);
        let wait = ((need.level - level) / rate).max(0.0);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        let refusal = LimitRefusal {
            retry_after: wait,
            cause: RefusalCause::LongWait,
            level: bucket.level,
            promised: need.promised,
        };
        let by_chance = LimitRefusal {
            retry_after: wait.max(MIN_CHANCE_RETRY_AFTER),
            cause: RefusalCause::Chance,
            ..refusal
        };
        if knowledge.has_relays {
            let available = level + need.overdraft;
            if draw < grant_probability(bucket, tokens as f64, available, part, delay, now) {
                bucket.grant(tokens, now);
                return Ok(ChargeOutcome::Granted);
            }
            return Err(if knowledge.is_informed {
                by_chance
            } else {
                LimitRefusal {
                    retry_after: UNHEARD_RETRY_AFTER,
                    cause: RefusalCause::Unheard,
                    ..refusal
                }
            });
        }
        if wait > max_wait {
            return Err(refusal);
        }
        // Small requests are granted by the level alone, so that a customer's large ones don't starve them.
        if !need.is_small {
            let available = tokens as f64 + level + rate * max_wait.as_secs_f64() - need.level;
            if draw >= grant_probability(bucket, tokens as f64, available, part, delay, now) {
                return Err(by_chance);
            }
        }
        if wait.is_zero() {
            bucket.grant(tokens, now);
            return Ok(ChargeOutcome::Granted);
        }
        bucket.queue(tokens as f64, now);
        Ok(ChargeOutcome::Queued(wait))
    }

    /// Returns what a request of `tokens` needs of its customer's bucket at a host that hears `part` of all hosts.
    fn need(&self, bucket: &Bucket, tokens: Tokens, part: f64, now: Instant) -> Need {
        let wanted = tokens as f64;
        let small_request_limit = bucket.burst * self.settings.small_request_fraction;
        let is_small = wanted <= small_request_limit;
        let promised = bucket.promised(now);
        let overdraft = if is_small {
            bucket.burst * self.settings.small_request_overdraft * part
        } else {
            0.0
        };
        let level = if is_small {
            wanted - overdraft
        } else {
            // A request larger than the burst is granted by a full bucket; otherwise it could never run.
            (wanted + promised + small_request_limit).min(bucket.burst + promised)
        };
        Need {
            is_small,
            overdraft,
            promised,
            level,
        }
    }

    /// Charges a queued request that has waited for its tokens.
    pub fn charge_queued(&self, customer: &CustomerId, tokens: Tokens, now: Instant) {
        let mut buckets = self.buckets.lock(customer);
        if let Some(bucket) = buckets.get_mut(customer) {
            bucket.queue(-(tokens as f64), now);
            bucket.refill(now);
            bucket.grant(tokens, now);
        }
    }

    /// Removes a queued request that no longer waits, without charging it.
    pub fn cancel_queued(&self, customer: &CustomerId, tokens: Tokens, now: Instant) {
        let mut buckets = self.buckets.lock(customer);
        if let Some(bucket) = buckets.get_mut(customer) {
            bucket.queue(-(tokens as f64), now);
        }
    }

    /// Returns the tokens of this host's queued requests per customer, for customers for whom there are any or were any recently, to
    /// report them.
    pub fn queued_tokens(&self, now: Instant) -> Vec<QueuedTokens> {
        let mut queued = Vec::new();
        for buckets in self.buckets.iter() {
            for (customer, bucket) in buckets.iter() {
                let tokens = bucket.queued_tokens(now);
                queued.extend(tokens.map(|tokens| (customer.clone(), tokens)));
            }
        }
        queued
    }

    /// Replaces the tokens of the queued requests of another host, for the customers that its report names.
    pub fn apply_queued(&self, host: &HostId, queued: &[QueuedTokens], now: Instant) {
        for (customer, tokens) in queued {
            let mut buckets = self.buckets.lock(customer);
            if let Some(bucket) = buckets.get_mut(customer) {
                bucket.apply_queued(host, *tokens, now);
            }
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

/// Returns the probability with which a host grants a request of `wanted` tokens. `available` is what the hosts that it hears, which
/// are `part` of all, may grant at once; `delay` is the time after which they have heard of a grant.
fn grant_probability(
    bucket: &Bucket,
    wanted: f64,
    available: f64,
    part: f64,
    delay: Duration,
    now: Instant,
) -> f64 {
    let rate = bucket.rate * part;
    let demand = bucket.demand(now);
    let unreported = (demand - rate).max(0.0) * delay.as_secs_f64();
    if available >= (wanted + unreported).min(bucket.burst) {
        return 1.0;
    }
    let affordable = rate + available / LEVEL_RETURN_TIME.as_secs_f64();
    (affordable / demand.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}
