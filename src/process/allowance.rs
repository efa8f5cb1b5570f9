//! One data centre's part of a customer's rate and burst. Does no I/O and reads no clock: the caller passes
//! the time in.
//!
//! Tokens move between data centres only together with burst, and never more tokens than burst. So the
//! levels of all buckets plus the tokens in transit never exceed the customer's burst, and grow at most at
//! its rate.

mod charges;
mod demand;
mod handover;
mod loan_given;
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
use loan_given::LoanGiven;
use loans::LoanTaken;
use shortage::Shortage;

pub use loans::{LoanAction, LoanAmount};

/// The time to live of a loan that includes rate.
pub const LOAN_TTL: Duration = Duration::from_secs(10);
/// The time to live of a loan of burst and tokens only, taken for a single charge. Such a loan may include the
/// floor (see `FLOOR_DIVISOR`), so a new owner holds nothing until its predecessor's loans of this kind have ended.
pub const BURST_LOAN_TTL: Duration = Duration::from_secs(1);
/// The time for which a granted charge may be used, counted from before the owner was asked.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(500);
/// The floor, which loans of rate never include, is the home share divided by this.
const FLOOR_DIVISOR: Share = 5;

/// Returns the time after which a lender uses lent shares again if they are not returned: the time to live, 2 % of
/// it for clock drift, and the validity of a grant that the borrower made at its end.
pub fn lender_wait(ttl: Duration) -> Duration {
    ttl + ttl / 50 + GRANT_VALIDITY
}

/// A customer's limit in one version of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerLimit {
    /// The configuration version; an allowance ignores limits of earlier ones.
    pub version: Version,
    /// The rate in tokens a second over all hosts together.
    pub rate: Tokens,
    /// The burst in tokens over all hosts together.
    pub burst: Tokens,
    /// The share of rate and burst that this data centre holds when no loans exist.
    pub home_share: Share,
}

/// An allowance as shown in the dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AllowanceView {
    /// The customer whose rate and burst it is a part of.
    pub customer: CustomerId,
    /// The host that owns the customer's partition in its data centre.
    pub holder: HostId,
    /// The level of the bucket in whole tokens.
    pub level: Tokens,
    /// The time until the holder's own deadline for its ownership lease.
    pub lease_left: Duration,
    /// The loans given, as (borrower, rate, burst, time until the lender may use them again).
    pub given: Vec<(DataCentreId, Share, Share, Duration)>,
    /// The loans taken, as (lender, rate, burst, time to live left).
    pub taken: Vec<(DataCentreId, Share, Share, Duration)>,
    /// The configuration version of the limit that is applied.
    pub version: Version,
}

/// One data centre's part of a customer's rate and burst, with the bucket that it fills.
#[derive(Debug)]
pub struct Allowance {
    limit: CustomerLimit,
    epoch: Epoch,
    /// When the floor, and the whole home share, are free of the loans that a previous owner may have given.
    floor_free_from: Instant,
    home_free_from: Instant,
    bucket: TokenBucket,
    charges: Charges,
    demand: Demand,
    given: BTreeMap<LoanId, LoanGiven>,
    taken: BTreeMap<LoanId, LoanTaken>,
    /// The requests for loans and renewals that are not answered yet.
    pending_loans: BTreeMap<LoanId, loans::PendingLoan>,
    /// No charge requests loans before this time.
    borrow_not_before: Option<Instant>,
    /// How long no charge requests loans after the next one that does.
    borrow_pause: Duration,
    shortage: Shortage,
}

impl Allowance {
    /// Creates the allowance of a new owner. Its bucket is empty, and it holds no share that a previous owner may
    /// have lent.
    pub fn new(limit: CustomerLimit, epoch: Epoch, claimed: Instant) -> Self {
        let mut allowance = Self {
            limit,
            epoch,
            floor_free_from: claimed + lender_wait(BURST_LOAN_TTL),
            home_free_from: claimed + lender_wait(LOAN_TTL),
            bucket: TokenBucket::empty(0, 0, claimed),
            charges: Charges::default(),
            demand: Demand::new(claimed),
            given: BTreeMap::new(),
            taken: BTreeMap::new(),
            pending_loans: BTreeMap::new(),
            borrow_not_before: None,
            borrow_pause: loans::BORROW_PAUSE,
            shortage: Shortage::default(),
        };
        allowance.apply_shares(claimed);
        allowance
    }

    /// Returns the ownership period, which is the store revision of the partition's entry.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Applies the limit of a later configuration version; others are ignored.
    pub fn set_limit(&mut self, limit: CustomerLimit, now: Instant) {
        if limit.version <= self.limit.version {
            return;
        }
        // The lower rate may have been in force on other hosts since the last refill.
        self.limit.rate = self.limit.rate.min(limit.rate);
        self.apply_shares(self.bucket.updated());
        self.advance(now);
        // A larger home share applies at once: the validation of the configuration accepts it only once no host
        // uses an earlier list of data centres with which the shares would add up to more than the whole.
        self.limit = limit;
        self.apply_shares(now);
    }

    /// Charges the bucket. Refuses as `NotOwner` from `lease_until` on, this host's deadline for its ownership lease.
    pub fn charge(&mut self, charge: &Charge, lease_until: Instant, now: Instant) -> ChargeReply {
        if now >= lease_until {
            return ChargeReply::NotOwner;
        }
        self.advance(now);
        if let Some(reply) = self.charges.reply_to_repeat(charge, self.epoch, now) {
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
                self.demand.mark_served(charge.request);
                self.charges
                    .insert(charge, self.epoch, self.bucket.take_count(), now);
                ChargeReply::Granted { epoch: self.epoch }
            }
            Err(Duration::MAX) => ChargeReply::Later(self.estimate_wait(charge.tokens, now)),
            Err(wait) => ChargeReply::Later(wait),
        }
    }

    /// Returns the unused tokens of a charge to this bucket, if it or the bucket that it continues was charged.
    /// Returns whether the charge is known here; a repeat of a settlement is known too, and changes nothing.
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

    /// Returns the state for the dump.
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

    /// Applies every end of a loan or waiting time up to `now` in order of time, refills the bucket, and drops old
    /// charges.
    fn advance(&mut self, now: Instant) {
        while let Some(at) = self.next_change().filter(|at| *at <= now) {
            self.bucket.refill(at);
            self.taken.retain(|_, loan| loan.until > at);
            self.given.retain(|_, loan| loan.drop_ended_terms(at));
            self.apply_shares(at);
        }
        self.bucket.refill(now);
        if let Some(take) = self.charges.expire(now) {
            self.bucket.forget_takes(take);
        }
    }

    /// Returns the next time at which the shares held change without a message.
    fn next_change(&self) -> Option<Instant> {
        let updated = self.bucket.updated();
        let starts = [self.floor_free_from, self.home_free_from];
        let starts = starts.into_iter().filter(|at| *at > updated);
        let taken = self.taken.values().map(|loan| loan.until);
        let given = self.given.values().map(LoanGiven::next_end);
        starts.chain(taken).chain(given).min()
    }

    /// Returns the part of the home share that no previous owner's loan can still include.
    fn free_home_share(&self, now: Instant) -> Share {
        if now < self.floor_free_from {
            0
        } else if now < self.home_free_from {
            self.limit.home_share / FLOOR_DIVISOR
        } else {
            self.limit.home_share
        }
    }

    /// Returns the shares of (rate, burst) held at the time of the last refill: home share plus loans taken minus
    /// loans given.
    fn held_shares(&self) -> (Share, Share) {
        let home_share = self.free_home_share(self.bucket.updated());
        let taken = |part: fn(&LoanTaken) -> Share| self.taken.values().map(part).sum::<Share>();
        let given = |part: fn(&LoanGiven) -> Share| self.given.values().map(part).sum::<Share>();
        (
            (home_share + taken(|t| t.rate)).saturating_sub(given(LoanGiven::rate)),
            (home_share + taken(|t| t.burst)).saturating_sub(given(LoanGiven::burst)),
        )
    }

    /// Sets the bucket's rate and burst to the shares held now.
    fn apply_shares(&mut self, now: Instant) {
        let (rate, burst) = self.held_shares();
        self.bucket
            .set_shares((self.limit.rate, rate), (self.limit.burst, burst), now);
    }

    /// Estimates the wait for a charge above the local burst: the time in which the customer's whole rate yields
    /// what the local bucket lacks.
    fn estimate_wait(&mut self, tokens: Tokens, now: Instant) -> Duration {
        let missing = tokens.saturating_sub(self.bucket.level(now));
        let nanos = u128::from(missing) * 1_000_000_000 / u128::from(self.limit.rate.max(1));
        let wait = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        wait.clamp(Duration::from_millis(100), Duration::from_hours(1))
    }
}
