//! A token bucket that is told the time.

use std::time::{Duration, Instant};

use crate::prelude::*;

/// One token in the units of a level. A nanosecond at one token a second of which one millionth is
/// held gains exactly one unit, so that refills are never rounded.
const TOKEN: u128 = 1_000_000_000 * WHOLE_SHARE as u128;

/// A token bucket: refills at a rate, holds at most a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// The units gained in a nanosecond.
    gain: u128,
    /// The most units held.
    capacity: u128,
    /// The units held.
    level: u128,
    updated: Instant,
    /// The number of takes so far.
    take_count: u64,
    /// The least free room between takes, as (takes before it, room). Older entries have fewer takes
    /// and less room: an entry is dropped when a later one has no more room.
    room: Vec<(u64, u128)>,
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
            gain: units(rate, WHOLE_SHARE),
            capacity: units(burst, WHOLE_SHARE) * 1_000_000_000,
            level: 0,
            updated: now,
            take_count: 0,
            room: Vec::new(),
        }
    }

    /// Changes rate and burst; a level above the new burst is cut.
    pub fn set_limit(&mut self, rate: Tokens, burst: Tokens, now: Instant) {
        self.set_shares((rate, WHOLE_SHARE), (burst, WHOLE_SHARE), now);
    }

    /// Changes rate and burst, each with the share held of it.
    pub fn set_shares(&mut self, rate: (Tokens, Share), burst: (Tokens, Share), now: Instant) {
        self.refill(now);
        self.note_room();
        self.gain = units(rate.0, rate.1);
        self.capacity = units(burst.0, burst.1) * 1_000_000_000;
        self.level = self.level.min(self.capacity);
    }

    /// Takes `tokens`, or returns the time until they will be there.
    ///
    /// # Errors
    /// Returns the wait if the level is too low; `Duration::MAX` if it will never suffice.
    pub fn take(&mut self, tokens: Tokens, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let wanted = u128::from(tokens) * TOKEN;
        if let Some(rest) = self.level.checked_sub(wanted) {
            self.note_room();
            self.take_count += 1;
            self.level = rest;
            return Ok(());
        }
        if wanted > self.capacity || self.gain == 0 {
            return Err(Duration::MAX);
        }
        let nanos = (wanted - self.level).div_ceil(self.gain);
        Err(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    /// Returns the number of takes so far, which names the last one.
    pub fn take_count(&self) -> u64 {
        self.take_count
    }

    /// Puts back tokens that were taken and not used; what exceeds the burst is lost.
    pub fn refund(&mut self, tokens: Tokens, now: Instant) {
        self.add(tokens, now);
    }

    /// Puts back tokens of one take, as far as the bucket would hold them had they never been taken.
    ///
    /// A bucket that has been full since then would have lost them. Putting them back nevertheless
    /// would allow nearly twice the burst within an instant.
    pub fn refund_take(&mut self, take: u64, tokens: Tokens, now: Instant) {
        self.refill(now);
        self.note_room();
        let first = self
            .room
            .partition_point(|(take_count, _)| *take_count < take);
        let Some(&(_, least)) = self.room.get(first) else {
            return;
        };
        let back = least.min(u128::from(tokens) * TOKEN);
        self.level += back;
        for (_, room) in &mut self.room[first..] {
            *room -= back;
        }
        let kept = self.room[..first].partition_point(|(_, room)| *room < least - back);
        self.room.drain(kept..first);
    }

    /// Returns how many whole tokens of a take the bucket would hold now had they never been taken.
    pub fn headroom_since(&mut self, take: u64, now: Instant) -> Tokens {
        self.refill(now);
        self.note_room();
        let first = self
            .room
            .partition_point(|(take_count, _)| *take_count < take);
        let least = self.room.get(first).map_or(0, |(_, room)| room / TOKEN);
        Tokens::try_from(least).unwrap_or(Tokens::MAX)
    }

    /// Continues a take of an earlier bucket whose level moved here, and returns its number. `room` is what
    /// `headroom_since` returned there; later takes have no less.
    pub fn import_take(&mut self, room: Tokens) -> u64 {
        self.take_count += 1;
        self.push_room(u128::from(room) * TOKEN);
        self.take_count
    }

    /// Drops what is known only for takes up to `take`.
    pub fn forget_takes(&mut self, take: u64) {
        let first = self
            .room
            .partition_point(|(take_count, _)| *take_count <= take);
        self.room.drain(..first);
    }

    /// Adds tokens that come with a loan; what exceeds the burst is lost.
    pub fn add(&mut self, tokens: Tokens, now: Instant) {
        self.refill(now);
        self.note_room();
        self.level = (self.level + u128::from(tokens) * TOKEN).min(self.capacity);
    }

    /// Removes up to `tokens` whole tokens that go out with a loan, and returns how many.
    pub fn remove(&mut self, tokens: Tokens, now: Instant) -> Tokens {
        let removed = self.level(now).min(tokens);
        self.note_room();
        self.level -= u128::from(removed) * TOKEN;
        removed
    }

    /// Returns the whole tokens available.
    pub fn level(&mut self, now: Instant) -> Tokens {
        self.refill(now);
        Tokens::try_from(self.level / TOKEN).unwrap_or(Tokens::MAX)
    }

    /// Returns the whole tokens that fit in.
    pub fn capacity(&self) -> Tokens {
        Tokens::try_from(self.capacity / TOKEN).unwrap_or(Tokens::MAX)
    }

    /// Returns the time up to which the level is known.
    pub fn updated(&self) -> Instant {
        self.updated
    }

    /// Adds what was gained until `now`.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        let gained = elapsed.as_nanos().saturating_mul(self.gain);
        self.level = self.level.saturating_add(gained).min(self.capacity);
    }

    /// Records the free room before a change that may enlarge it.
    fn note_room(&mut self) {
        self.push_room(self.capacity - self.level);
    }

    /// Records that the room is `room` after the latest take, and drops the entries that it makes useless.
    fn push_room(&mut self, room: u128) {
        while self.room.last().is_some_and(|(_, last)| *last >= room) {
            self.room.pop();
        }
        self.room.push((self.take_count, room));
    }
}

fn units(tokens: Tokens, share: Share) -> u128 {
    u128::from(tokens) * u128::from(share)
}
