//! What customers have used of their limits over all hosts, as far as this host knows. Holds no I/O and reads no clock.
//!
//! Every host keeps a bucket for each customer, charges it for its own requests and for what the others report. A host that
//! has fallen silent is taken to use its even share of the rate, until it reports again. So two groups of hosts that
//! don't hear each other together grant no more than the rate, and at most one burst each.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::shard::Shards;
use crate::version::forwarding::ForwardCustomer;

/// The settings of the accounts.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageSettings {
    /// The part of a burst that a host grants after its start. All hosts may start at once, each before it hears the
    /// others, so that their parts add up.
    pub initial_level: f64,
    /// The part of a burst that is kept for small requests: those of at most that size. They don't wait behind large
    /// ones, of which each costs as much as some dozens of them.
    pub small_request_fraction: f64,
    /// The part of a burst by which small requests may overdraw an account. Large requests that several hosts grant at the
    /// same moment overdraw it, too, and take the time to make up for both.
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

/// How a request is charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// The tokens were there.
    Granted,
    /// The tokens will be there after this time.
    Queued(Duration),
}

/// The tokens that a host has granted since its start, less what it took back.
pub type GrantedTokens = i64;

/// What is known of another host's grants to one customer.
#[derive(Debug, Clone, Copy)]
struct PeerUse {
    incarnation: Incarnation,
    /// The grants that it reported last.
    granted: GrantedTokens,
    /// The tokens charged for it while it was silent.
    assumed: f64,
}

/// One customer's bucket.
#[derive(Debug)]
struct Account {
    rate: f64,
    burst: f64,
    level: f64,
    /// The tokens of requests that wait for them.
    queued: f64,
    updated: Instant,
    granted: GrantedTokens,
    /// When `granted` changed last.
    changed: Instant,
    peers: HashMap<HostId, PeerUse>,
}

impl Account {
    fn new(customer: &ForwardCustomer, initial: f64, now: Instant) -> Self {
        let burst = customer.burst as f64;
        Self {
            rate: customer.rate as f64,
            burst,
            level: burst * initial,
            queued: 0.0,
            updated: now,
            granted: 0,
            changed: now,
            peers: HashMap::new(),
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate).min(self.burst);
    }

    fn grant(&mut self, tokens: Tokens, now: Instant) {
        self.debit(tokens as f64);
        self.granted += signed(tokens);
        self.changed = now;
    }

    fn debit(&mut self, tokens: f64) {
        self.level = (self.level - tokens).min(self.burst);
    }
}

/// A host whose grants are reported.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// The host.
    pub host: &'a HostId,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Whether it started after this host, so that all its grants are news.
    pub started_later: bool,
}

/// The accounts of all customers.
#[derive(Debug, Default)]
pub struct UsageTracker {
    settings: UsageSettings,
    accounts: Shards<HashMap<CustomerId, Account>>,
}

impl UsageTracker {
    /// Creates accounts with `settings`.
    pub fn new(settings: UsageSettings) -> Self {
        Self {
            settings,
            accounts: Shards::default(),
        }
    }

    /// Opens accounts for customers that have none, so that other hosts' grants to them count from now on.
    pub fn add_customers<'a>(
        &self,
        customers: impl IntoIterator<Item = &'a ForwardCustomer>,
        now: Instant,
    ) {
        for customer in customers {
            let mut accounts = self.accounts.lock(&customer.id);
            accounts
                .entry(customer.id.clone())
                .or_insert_with(|| Account::new(customer, self.settings.initial_level, now));
        }
    }

    /// Charges a request, or lets it wait up to `longest` for its tokens. A request that waits is charged by `charge_queued`
    /// or forgotten by `cancel_queued`.
    ///
    /// # Errors
    /// Returns the time until the tokens will be there, if it is longer.
    pub fn charge(
        &self,
        customer: &ForwardCustomer,
        tokens: Tokens,
        longest: Duration,
        now: Instant,
    ) -> Result<ChargeOutcome, Duration> {
        if customer.rate == 0 {
            return Ok(ChargeOutcome::Granted);
        }
        let mut accounts = self.accounts.lock(&customer.id);
        let account = accounts
            .entry(customer.id.clone())
            .or_insert_with(|| Account::new(customer, self.settings.initial_level, now));
        account.rate = customer.rate as f64;
        account.burst = customer.burst as f64;
        account.refill(now);
        let small = account.burst * self.settings.small_request_fraction;
        let wanted = tokens as f64;
        let needed = if wanted <= small {
            wanted - account.burst * self.settings.small_request_overdraft
        } else {
            // A request above the whole burst is let through by a full bucket; it could never be served otherwise.
            (wanted + account.queued + small).min(account.burst + account.queued)
        };
        let wait = ((needed - account.level) / account.rate).max(0.0);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        if wait.is_zero() {
            account.grant(tokens, now);
            return Ok(ChargeOutcome::Granted);
        }
        if wait > longest {
            return Err(wait);
        }
        account.queued += wanted;
        Ok(ChargeOutcome::Queued(wait))
    }

    /// Charges a request that has waited for its tokens.
    pub fn charge_queued(&self, customer: &CustomerId, tokens: Tokens, now: Instant) {
        let mut accounts = self.accounts.lock(customer);
        if let Some(account) = accounts.get_mut(customer) {
            account.queued = (account.queued - tokens as f64).max(0.0);
            account.refill(now);
            account.grant(tokens, now);
        }
    }

    /// Forgets a request that waited for its tokens and does no more.
    pub fn cancel_queued(&self, customer: &CustomerId, tokens: Tokens) {
        let mut accounts = self.accounts.lock(customer);
        if let Some(account) = accounts.get_mut(customer) {
            account.queued = (account.queued - tokens as f64).max(0.0);
        }
    }

    /// Gives back the tokens of a request that did not run.
    pub fn refund(&self, customer: &CustomerId, tokens: Tokens, now: Instant) {
        let mut accounts = self.accounts.lock(customer);
        let Some(account) = accounts.get_mut(customer) else {
            return;
        };
        account.refill(now);
        account.debit(-(tokens as f64));
        account.granted -= signed(tokens);
        account.changed = now;
    }

    /// Charges what another host reports to have granted.
    pub fn apply_granted(
        &self,
        reporter: Reporter<'_>,
        customer: &CustomerId,
        granted: GrantedTokens,
        now: Instant,
    ) {
        let mut accounts = self.accounts.lock(customer);
        let Some(account) = accounts.get_mut(customer) else {
            return;
        };
        account.refill(now);
        let known = account.peers.get(reporter.host).copied();
        let known = known.filter(|peer| peer.incarnation == reporter.incarnation);
        let (before, assumed) = match known {
            Some(peer) => (peer.granted, peer.assumed),
            None if reporter.started_later => (0, 0.0),
            None => (granted, 0.0),
        };
        account.debit((granted - before) as f64 - assumed);
        account.peers.insert(
            reporter.host.clone(),
            PeerUse {
                incarnation: reporter.incarnation,
                granted,
                assumed: 0.0,
            },
        );
    }

    /// Charges the even share of `silent` hosts for the time `elapsed`, in which they were not heard; `hosts` is the number of all.
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
        for mut accounts in self.accounts.iter() {
            for account in accounts.values_mut() {
                account.refill(now);
                let share = account.rate / hosts.max(1) as f64 * elapsed.as_secs_f64();
                for (host, incarnation) in silent {
                    account.debit(share);
                    let peer = account.peers.entry(host.clone()).or_insert(PeerUse {
                        incarnation: *incarnation,
                        granted: 0,
                        assumed: 0.0,
                    });
                    peer.assumed += share;
                }
            }
        }
    }

    /// Forgets a host that is gone for good.
    pub fn forget_host(&self, host: &HostId) {
        for mut accounts in self.accounts.iter() {
            for account in accounts.values_mut() {
                account.peers.remove(host);
            }
        }
    }

    /// Returns this host's grants to customers for whom they changed after `since`, to report them.
    pub fn granted_since(&self, since: Instant) -> Vec<(CustomerId, GrantedTokens)> {
        let mut changed = Vec::new();
        for accounts in self.accounts.iter() {
            let recent = accounts.iter().filter(|(_, a)| a.changed >= since);
            changed.extend(recent.map(|(customer, a)| (customer.clone(), a.granted)));
        }
        changed
    }

    /// Returns the level of each customer's bucket in tokens, for the dump.
    pub fn levels(&self) -> Vec<(CustomerId, f64)> {
        let mut levels = Vec::new();
        for accounts in self.accounts.iter() {
            levels.extend(
                accounts
                    .iter()
                    .map(|(customer, a)| (customer.clone(), a.level)),
            );
        }
        levels
    }
}

fn signed(tokens: Tokens) -> GrantedTokens {
    GrantedTokens::try_from(tokens).unwrap_or(GrantedTokens::MAX)
}
