//! Enforces customers' rates and bursts over all hosts. Performs no I/O and reads no clock.
//!
//! Every host keeps a token bucket per customer, and charges it for its own requests and for the grants that other hosts report. A
//! silent host is assumed to grant its even share of the rate until it reports again. So after a network partition both groups of
//! hosts together grant no more than the rate, and at most one burst each.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::shard::Shards;
use crate::version::forwarding::ForwardCustomer;

/// How much of a burst a new host and small requests may use.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageSettings {
    /// The fraction of a burst that a host may grant right after its start. Hosts that start at the same time don't know of each
    /// other's grants yet, so their fractions add up.
    pub initial_level: f64,
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
            initial_level: 0.25,
            small_request_fraction: 0.02,
            small_request_overdraft: 0.25,
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

/// The tokens that a host has granted to a customer since its start, less those refunded.
pub type GrantedTokens = i64;

/// Another host's grants to one customer.
#[derive(Debug, Clone, Copy)]
struct PeerGrants {
    incarnation: Incarnation,
    /// The total that it reported last.
    granted: GrantedTokens,
    /// The tokens charged for it since, while it was silent.
    assumed: f64,
}

/// One customer's token bucket.
#[derive(Debug)]
struct Bucket {
    /// Tokens per second.
    rate: f64,
    burst: f64,
    /// The tokens available; negative while the bucket is overdrawn.
    level: f64,
    /// The tokens of requests that wait for the bucket to refill.
    queued: f64,
    refilled_at: Instant,
    /// The tokens that this host has granted.
    granted: GrantedTokens,
    /// When `granted` last changed.
    granted_changed_at: Instant,
    peers: HashMap<HostId, PeerGrants>,
}

impl Bucket {
    fn new(customer: &ForwardCustomer, initial_level: f64, now: Instant) -> Self {
        let burst = customer.burst as f64;
        Self {
            rate: customer.rate as f64,
            burst,
            level: burst * initial_level,
            queued: 0.0,
            refilled_at: now,
            granted: 0,
            granted_changed_at: now,
            peers: HashMap::new(),
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate).min(self.burst);
    }

    fn grant(&mut self, tokens: Tokens, now: Instant) {
        self.debit(tokens as f64);
        self.granted += signed(tokens);
        self.granted_changed_at = now;
    }

    fn debit(&mut self, tokens: f64) {
        self.level = (self.level - tokens).min(self.burst);
    }
}

/// The host that a report of grants comes from.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// The host that reports.
    pub host: &'a HostId,
    /// The incarnation of its process; a restart begins to count from 0.
    pub incarnation: Incarnation,
    /// Whether it started after this host, so that even its first report must be charged in full.
    pub started_later: bool,
}

/// The token buckets of all customers, in shards under a lock each.
#[derive(Debug, Default)]
pub struct UsageTracker {
    settings: UsageSettings,
    buckets: Shards<HashMap<CustomerId, Bucket>>,
}

impl UsageTracker {
    /// Creates a tracker without buckets.
    pub fn new(settings: UsageSettings) -> Self {
        Self {
            settings,
            buckets: Shards::default(),
        }
    }

    /// Creates buckets for customers that have none, so that other hosts' grants to them count from now on.
    pub fn add_customers<'a>(
        &self,
        customers: impl IntoIterator<Item = &'a ForwardCustomer>,
        now: Instant,
    ) {
        for customer in customers {
            let mut buckets = self.buckets.lock(&customer.id);
            buckets
                .entry(customer.id.clone())
                .or_insert_with(|| Bucket::new(customer, self.settings.initial_level, now));
        }
    }

    /// Charges a request, or queues it if its tokens are available within `max_wait`. A queued request must be followed up with
    /// `charge_queued` or `cancel_queued`.
    ///
    /// # Errors
    /// Returns the time until the tokens are available if it is longer than `max_wait`; nothing is charged then.
    pub fn charge(
        &self,
        customer: &ForwardCustomer,
        tokens: Tokens,
        max_wait: Duration,
        now: Instant,
    ) -> Result<ChargeOutcome, Duration> {
        if customer.rate == 0 {
            return Ok(ChargeOutcome::Granted);
        }
        let mut buckets = self.buckets.lock(&customer.id);
        let bucket = buckets
            .entry(customer.id.clone())
            .or_insert_with(|| Bucket::new(customer, self.settings.initial_level, now));
        bucket.rate = customer.rate as f64;
        bucket.burst = customer.burst as f64;
        bucket.refill(now);
        let small_request_limit = bucket.burst * self.settings.small_request_fraction;
        let wanted = tokens as f64;
        let required_level = if wanted <= small_request_limit {
            wanted - bucket.burst * self.settings.small_request_overdraft
        } else {
            // A request larger than the burst is granted by a full bucket; otherwise it could never run.
            (wanted + bucket.queued + small_request_limit).min(bucket.burst + bucket.queued)
        };
        let wait = ((required_level - bucket.level) / bucket.rate).max(0.0);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
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
        bucket.debit(-(tokens as f64));
        bucket.granted -= signed(tokens);
        bucket.granted_changed_at = now;
    }

    /// Charges what another host has granted since its last report, less what was assumed for it while it was silent.
    pub fn apply_granted(
        &self,
        reporter: Reporter<'_>,
        customer: &CustomerId,
        granted: GrantedTokens,
        now: Instant,
    ) {
        let mut buckets = self.buckets.lock(customer);
        let Some(bucket) = buckets.get_mut(customer) else {
            return;
        };
        bucket.refill(now);
        let known = bucket.peers.get(reporter.host).copied();
        let known = known.filter(|peer| peer.incarnation == reporter.incarnation);
        let (before, assumed) = match known {
            Some(peer) => (peer.granted, peer.assumed),
            None if reporter.started_later => (0, 0.0),
            None => (granted, 0.0),
        };
        bucket.debit((granted - before) as f64 - assumed);
        bucket.peers.insert(
            reporter.host.clone(),
            PeerGrants {
                incarnation: reporter.incarnation,
                granted,
                assumed: 0.0,
            },
        );
    }

    /// Charges all customers for what `silent` hosts are assumed to have granted during `elapsed`: an even share of the rate each.
    /// `hosts` is the number of all hosts.
    pub fn charge_silent_hosts(
        &self,
        silent: &[(HostId, Incarnation)],
        hosts: usize,
        elapsed: Duration,
        now: Instant,
    ) {
        if silent.is_empty() {
            return;
        }
        for mut buckets in self.buckets.iter() {
            for bucket in buckets.values_mut() {
                bucket.refill(now);
                let share = bucket.rate / hosts.max(1) as f64 * elapsed.as_secs_f64();
                for (host, incarnation) in silent {
                    bucket.debit(share);
                    let peer = bucket.peers.entry(host.clone()).or_insert(PeerGrants {
                        incarnation: *incarnation,
                        granted: 0,
                        assumed: 0.0,
                    });
                    peer.assumed += share;
                }
            }
        }
    }

    /// Drops what a host that is gone for good has reported; what was charged for it stays.
    pub fn forget_host(&self, host: &HostId) {
        for mut buckets in self.buckets.iter() {
            for bucket in buckets.values_mut() {
                bucket.peers.remove(host);
            }
        }
    }

    /// Returns this host's total grants per customer, for customers whose total has changed since `since`, to report them.
    pub fn granted_since(&self, since: Instant) -> Vec<(CustomerId, GrantedTokens)> {
        let mut changed = Vec::new();
        for buckets in self.buckets.iter() {
            let recent = buckets
                .iter()
                .filter(|(_, bucket)| bucket.granted_changed_at >= since);
            changed.extend(recent.map(|(customer, bucket)| (customer.clone(), bucket.granted)));
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

fn signed(tokens: Tokens) -> GrantedTokens {
    GrantedTokens::try_from(tokens).unwrap_or(GrantedTokens::MAX)
}
