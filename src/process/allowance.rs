//! One data centre's holding of a customer's rate and burst. Pure state: the time is passed in.
//!
//! Burst and tokens always move together: tokens on their way between two data centres never exceed
//! the burst that is on its way with them. So the levels and what is under way never exceed the
//! customer's burst, and grow at most at its rate.

mod charges;
mod demand;
mod given;
mod handover;
mod loans;
mod shortage;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply, Settle};
use crate::process::token_bucket::TokenBucket;

use charges::Charges;
use demand::Demand;
use given::Given;
use loans::Taken;
use shortage::Shortage;

pub use loans::{LoanAction, LoanAmount};

/// The time to live of a loan.
pub const LOAN_TTL: Duration = Duration::from_secs(10);
/// The time to live of a loan without rate, which collects tokens for one large charge. Such a loan
/// may include the floor, so a successor waits for it before it holds anything.
pub const BURST_LOAN_TTL: Duration = Duration::from_secs(1);
/// The time for which the answer to a charge is valid.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(500);
/// The part of the home share, as a divisor, that ordinary loans never include.
const FLOOR_DIVISOR: Share = 5;

/// Returns the time that a lender waits for a loan to end: the time to live with 2 % for drift of the
/// clocks, and the validity of a grant made in its last moment.
pub fn lender_wait(ttl: Duration) -> Duration {
    ttl + ttl / 50 + GRANT_VALIDITY
}

/// What the configuration says about a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerLimit {
    /// The version it comes from.
    pub version: Version,
    /// The rate in tokens a second over all hosts together.
    pub rate: Tokens,
    /// The burst in tokens over all hosts together.
    pub burst: Tokens,
    /// The home share of this data centre.
    pub home_share: Share,
}

/// An allowance as the operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AllowanceView {
    /// The customer.
    pub customer: CustomerId,
    /// The host that holds it.
    pub holder: HostId,
    /// The whole tokens available.
    pub level: Tokens,
    /// The time until the holder's lease ends.
    pub lease_left: Duration,
    /// The loans given, as (borrower, rate, burst, time left).
    pub given: Vec<(DataCentreId, Share, Share, Duration)>,
    /// The loans taken, as (lender, rate, burst, time left).
    pub taken: Vec<(DataCentreId, Share, Share, Duration)>,
    /// The configuration version that is applied.
    pub version: Version,
}

/// One data centre's holding of a customer.
#[derive(Debug)]
pub struct Allowance {
    limit: CustomerLimit,
    epoch: Epoch,
    /// When the floor, and when the whole home share, is certainly free of a predecessor's loans.
    floor_from: Instant,
    whole_from: Instant,
    bucket: TokenBucket,
    charges: Charges,
    demand: Demand,
    given: BTreeMap<LoanId, Given>,
    taken: BTreeMap<LoanId, Taken>,
    /// The loans asked for and not answered, with the time before the question.
    asked: BTreeMap<LoanId, loans::Asked>,
    /// No new loan is asked for before this time.
    next_ask: Option<Instant>,
    /// The pause after the next round of questions.
    ask_pause: Duration,
    shortage: Shortage,
}

impl Allowance {
    /// Creates the holding of a new owner: empty, and without what its predecessor may have lent.
    pub fn new(limit: CustomerLimit, epoch: Epoch, claimed: Instant) -> Self {
        let mut allowance = Self {
            limit,
            epoch,
            floor_from: claimed + lender_wait(BURST_LOAN_TTL),
            whole_from: claimed + lender_wait(LOAN_TTL),
            bucket: TokenBucket::empty(0, 0, claimed),
            charges: Charges::default(),
            demand: Demand::new(claimed),
            given: BTreeMap::new(),
            taken: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_ask: None,
            ask_pause: loans::ASK_PAUSE,
            shortage: Shortage::default(),
        };
        allowance.apply_shares(claimed);
        allowance
    }

    /// Returns the ownership period.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Follows the configuration. Older versions are ignored.
    pub fn set_limit(&mut self, limit: CustomerLimit, now: Instant) {
        if limit.version <= self.limit.version {
            return;
        }
        // A lower rate may have been in force since the last refill.
        self.limit.rate = self.limit.rate.min(limit.rate);
        self.apply_shares(self.bucket.updated());
        self.advance(now);
        // A larger home share needs no wait here: the check of the document admits it only once no host
        // uses an earlier list with which the shares sum to more than the whole.
        self.limit = limit;
        self.apply_shares(now);
    }

    /// Charges the bucket. `lease_until` is the holder's own deadline.
    pub fn charge(&mut self, charge: &Charge, lease_until: Instant, now: Instant) -> ChargeReply {
        if now >= lease_until {
            return ChargeReply::NotOwner;
        }
        self.advance(now);
        if let Some(reply) = self.charges.repeat(charge, self.epoch, now) {
            return reply;
        }
        if charge.tokens > self.limit.burst {
            return ChargeReply::TooLarge {
                burst: self.limit.burst,
            };
        }
        self.demand.count(charge.request, charge.tokens, now);
        match self.bucket.take(charge.tokens, now) {
            Ok(()) => {
                self.demand.served(charge.request);
                self.charges
                    .remember(charge, self.epoch, self.bucket.take_count(), now);
                ChargeReply::Granted { epoch: self.epoch }
            }
            Err(Duration::MAX) => ChargeReply::Later(self.wait_for_burst(charge.tokens, now)),
            Err(wait) => ChargeReply::Later(wait),
        }
    }

    /// Returns the unused part of a charge to the bucket that was charged, or that continues it. Tells whether
    /// the charge is known here, settled or not.
    pub fn settle(&mut self, settle: &Settle, lease_until: Instant, now: Instant) -> bool {
        if now >= lease_until {
            return false;
        }
        self.advance(now);
        let Some((take, tokens)) = self.charges.settle(settle) else {
            return false;
        };
        self.bucket.refund_take(take, tokens, now);
        true
    }

    /// Returns the view for the dump.
    pub fn view(
        &mut self,
        customer: CustomerId,
        holder: HostId,
        lease_until: Instant,
        now: Instant,
    ) -> AllowanceView {
        self.advance(now);
        let left = |until: Instant| until.saturating_duration_since(now);
        AllowanceView {
            customer,
            holder,
            level: self.bucket.level(now),
            lease_left: left(lease_until),
            given: self
                .given
                .values()
                .map(|g| (g.to.clone(), g.rate(), g.burst(), left(g.until())))
                .collect(),
            taken: self
                .taken
                .values()
                .map(|t| (t.from.clone(), t.rate, t.burst, left(t.until)))
                .collect(),
            version: self.limit.version,
        }
    }

    /// Applies everything that fell due until `now`, in the order of time.
    fn advance(&mut self, now: Instant) {
        while let Some(at) = self.next_change().filter(|at| *at <= now) {
            self.bucket.refill(at);
            self.taken.retain(|_, loan| loan.until > at);
            self.given.retain(|_, loan| loan.end_parts(at));
            self.apply_shares(at);
        }
        self.bucket.refill(now);
        if let Some(take) = self.charges.forget_old(now) {
            self.bucket.forget_takes(take);
        }
    }

    /// Returns the next time at which the shares held change by themselves.
    fn next_change(&self) -> Option<Instant> {
        let updated = self.bucket.updated();
        let starts = [self.floor_from, self.whole_from];
        let starts = starts.into_iter().filter(|at| *at > updated);
        let taken = self.taken.values().map(|loan| loan.until);
        let given = self.given.values().map(Given::next_end);
        starts.chain(taken).chain(given).min()
    }

    /// Returns the part of the home share that no predecessor can have lent.
    fn home_at(&self, now: Instant) -> Share {
        if now < self.floor_from {
            0
        } else if now < self.whole_from {
            self.limit.home_share / FLOOR_DIVISOR
        } else {
            self.limit.home_share
        }
    }

    /// Returns the shares of rate and burst held at the time of the last refill.
    fn held(&self) -> (Share, Share) {
        let home_share = self.home_at(self.bucket.updated());
        let taken = |part: fn(&Taken) -> Share| self.taken.values().map(part).sum::<Share>();
        let given = |part: fn(&Given) -> Share| self.given.values().map(part).sum::<Share>();
        (
            (home_share + taken(|t| t.rate)).saturating_sub(given(Given::rate)),
            (home_share + taken(|t| t.burst)).saturating_sub(given(Given::burst)),
        )
    }

    fn apply_shares(&mut self, now: Instant) {
        let (rate, burst) = self.held();
        self.bucket
            .set_shares((self.limit.rate, rate), (self.limit.burst, burst), now);
    }

    /// Estimates when the whole burst can hold a charge that exceeds the local part.
    fn wait_for_burst(&mut self, tokens: Tokens, now: Instant) -> Duration {
        let missing = tokens.saturating_sub(self.bucket.level(now));
        let nanos = u128::from(missing) * 1_000_000_000 / u128::from(self.limit.rate.max(1));
        let wait = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        wait.clamp(Duration::from_millis(100), Duration::from_hours(1))
    }
}
