//! A token bucket that reads no clock: the caller passes the time in.

use std::time::{Duration, Instant};

use crate::prelude::*;

/// The fixed-point units in one token. At a rate of one token a second and a share of one millionth, a bucket
/// gains exactly one unit a nanosecond, so refills are never rounded.
const UNITS_PER_TOKEN: u128 = 1_000_000_000 * WHOLE_SHARE as u128;

/// A token bucket that refills at a rate and holds at most a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// The refill rate in units a nanosecond.
    units_per_nano: u128,
    /// The burst in units.
    capacity: u128,
    /// The units available at `updated`.
    level: u128,
    updated: Instant,
    /// The number of takes so far; it identifies the latest one.
    take_count: u64,
    /// The least free capacity seen since a take, as (take, units). Entries are sorted by both numbers: one is
    /// dropped when a later one has no more units.
    headroom: Vec<(u64, u128)>,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` in tokens a second, `burst` in tokens.
    pub fn full(rate: Tokens, burst: Tokens, now: Instant) -> Self {
        let mut bucket = Self::empty(rate, burst, now);
        bucket.level = bucket.capacity;
        bucket
    }

    /// Creates an empty bucket; `rate` in tokens a second, `burst` in tokens.
    pub fn empty(rate: Tokens, burst: Tokens, now: Instant) -> Self {
        Self {
            units_per_nano: units(rate, WHOLE_SHARE),
            capacity: units(burst, WHOLE_SHARE) * 1_000_000_000,
            level: 0,
            updated: now,
            take_count: 0,
            headroom: Vec::new(),
        }
    }

    /// Changes rate and burst. A level above the new burst is reduced to it.
    pub fn set_limit(&mut self, rate: Tokens, burst: Tokens, now: Instant) {
        self.set_shares((rate, WHOLE_SHARE), (burst, WHOLE_SHARE), now);
    }

    /// Changes rate and burst, each given as the whole and the share of it that this bucket holds.
    pub fn set_shares(&mut self, rate: (Tokens, Share), burst: (Tokens, Share), now: Instant) {
        self.refill(now);
        self.record_headroom();
        self.units_per_nano = units(rate.0, rate.1);
        self.capacity = units(burst.0, burst.1) * 1_000_000_000;
        self.level = self.level.min(self.capacity);
    }

    /// Takes `tokens` if the level suffices.
    ///
    /// # Errors
    /// Returns the time until the level will suffice; `Duration::MAX` if it never will.
    pub fn take(&mut self, tokens: Tokens, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let wanted = u128::from(tokens) * UNITS_PER_TOKEN;
        if let Some(rest) = self.level.checked_sub(wanted) {
            self.record_headroom();
            self.take_count += 1;
            self.level = rest;
            return Ok(());
        }
        if wanted > self.capacity || self.units_per_nano == 0 {
            return Err(Duration::MAX);
        }
        let nanos = (wanted - self.level).div_ceil(self.units_per_nano);
        Err(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    /// Returns the number of takes so far, which identifies the latest one.
    pub fn take_count(&self) -> u64 {
        self.take_count
    }

    /// Returns unused tokens to the bucket. Tokens above the burst are discarded.
    pub fn refund(&mut self, tokens: Tokens, now: Instant) {
        self.add(tokens, now);
    }

    /// Returns unused tokens of one take, up to the level that the bucket would have had without that take.
    ///
    /// A bucket that has been full since the take would have discarded the tokens. Returning them anyway would
    /// allow nearly twice the burst at one instant.
    pub fn refund_take(&mut self, take: u64, tokens: Tokens, now: Instant) {
        self.refill(now);
        self.record_headroom();
        let first = self
            .headroom
            .partition_point(|(take_count, _)| *take_count < take);
        let Some(&(_, least)) = self.headroom.get(first) else {
            return;
        };
        let back = least.min(u128::from(tokens) * UNITS_PER_TOKEN);
        self.level += back;
        for (_, headroom) in &mut self.headroom[first..] {
            *headroom -= back;
        }
        let kept = self.headroom[..first].partition_point(|(_, headroom)| *headroom < least - back);
        self.headroom.drain(kept..first);
    }

    /// Returns the most whole tokens of a take that `refund_take` could return now.
    pub fn headroom_since(&mut self, take: u64, now: Instant) -> Tokens {
        self.refill(now);
        self.record_headroom();
        let first = self
            .headroom
            .partition_point(|(take_count, _)| *take_count < take);
        let least = self
            .headroom
            .get(first)
            .map_or(0, |(_, headroom)| headroom / UNITS_PER_TOKEN);
        Tokens::try_from(least).unwrap_or(Tokens::MAX)
    }

    /// Registers a take of another bucket whose level moved here, and returns its number. `headroom` is the value of
    /// `headroom_since` in that bucket. Takes must be imported in their original order, in which the headroom never
    /// decreases.
    pub fn import_take(&mut self, headroom: Tokens) -> u64 {
        self.take_count += 1;
        self.push_headroom(u128::from(headroom) * UNITS_PER_TOKEN);
        self.take_count
    }

    /// Drops the records that only takes up to `take` need. Those takes can no longer be refunded.
    pub fn forget_takes(&mut self, take: u64) {
        let first = self
            .headroom
            .partition_point(|(take_count, _)| *take_count <= take);
        self.headroom.drain(..first);
    }

    /// Adds tokens that arrive with a loan. Tokens above the burst are discarded.
    pub fn add(&mut self, tokens: Tokens, now: Instant) {
        self.refill(now);
        self.record_headroom();
        self.level = (self.level + u128::from(tokens) * UNITS_PER_TOKEN).min(self.capacity);
    }

    /// Removes up to `tokens` whole tokens that leave with a loan, and returns the number removed.
    pub fn remove(&mut self, tokens: Tokens, now: Instant) -> Tokens {
        let removed = self.level(now).min(tokens);
        self.record_headroom();
        self.level -= u128::from(removed) * UNITS_PER_TOKEN;
        removed
    }

    /// Returns the whole tokens available.
    pub fn level(&mut self, now: Instant) -> Tokens {
        self.refill(now);
        Tokens::try_from(self.level / UNITS_PER_TOKEN).unwrap_or(Tokens::MAX)
    }

    /// Returns the burst in whole tokens.
    pub fn capacity(&self) -> Tokens {
        Tokens::try_from(self.capacity / UNITS_PER_TOKEN).unwrap_or(Tokens::MAX)
    }

    /// Returns the time of the last refill.
    pub fn updated(&self) -> Instant {
        self.updated
    }

    /// Adds the tokens gained since the last refill.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        let gained = elapsed.as_nanos().saturating_mul(self.units_per_nano);
        self.level = self.level.saturating_add(gained).min(self.capacity);
    }

    /// Records the free capacity before a change that may increase it.
    fn record_headroom(&mut self) {
        self.push_headroom(self.capacity - self.level);
    }

    /// Records `headroom` for the latest take and drops the entries that it supersedes.
    fn push_headroom(&mut self, headroom: u128) {
        while self
            .headroom
            .last()
            .is_some_and(|(_, last)| *last >= headroom)
        {
            self.headroom.pop();
        }
        self.headroom.push((self.take_count, headroom));
    }
}

/// Multiplies a number of tokens by a share in millionths.
fn units(tokens: Tokens, share: Share) -> u128 {
    u128::from(tokens) * u128::from(share)
}
