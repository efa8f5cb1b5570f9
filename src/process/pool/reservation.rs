//! Reservations of upstreams by attempts, and tombstones of attempts that have ended or were refused.

use std::time::Instant;

use crate::prelude::*;
use crate::process::message::{LatePolicy, PlaceReply, Placement, ReleaseOutcome, RunningAttempt};
use crate::process::placement::Transfer;
use crate::process::pool::{AttemptKey, Pool};

/// The slots that are held for a placed attempt.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    pub running: RunningAttempt,
    pub held_since: Instant,
    /// The time at which the reservation ends at the latest: the earlier of the hold deadline and the adoption timeout.
    pub ends_at: Instant,
    /// The end of the attempt's `hold_limit`.
    pub hold_deadline: Instant,
    /// Whether the attempt was taken over from a former owner, and its entry host has not announced it yet.
    pub awaits_adoption: bool,
}

/// What is remembered for `tombstone_ttl` of an attempt that holds nothing.
#[derive(Debug, Clone)]
pub(super) enum Tombstone {
    /// The attempt ended, or was cancelled, possibly before its place request arrived.
    Ended,
    /// The attempt was refused with this reply. A place request with another late policy is treated as a new one.
    Refused(LatePolicy, PlaceReply),
}

impl Pool {
    /// Frees the slots and the link that an attempt holds, and leaves a tombstone.
    pub(super) fn free_reservation(
        &mut self,
        key: AttemptKey,
        now: Instant,
    ) -> Option<Reservation> {
        let reservation = self.reservations.remove(&key)?;
        self.timers.remove(&(reservation.ends_at, key));
        for id in upstream_ids(&reservation.running.placement) {
            if let Some(state) = self.upstreams.get_mut(id) {
                state.held = state.held.saturating_sub(1);
                state
                    .load
                    .record_end(key, self.settings.report_max_age, now);
                state.free_link(key);
                if state.leaving && state.held == 0 {
                    self.upstreams.remove(id);
                }
            }
        }
        self.attempts.remove(key, &reservation.running.process());
        self.changes.record_ended(key);
        self.add_tombstone(key, Tombstone::Ended, now);
        Some(reservation)
    }

    /// Reserves the upstreams of a placed attempt, which must be in the index already. `adopt_until` is set if the
    /// attempt ends then unless its entry host adopts it.
    pub(super) fn reserve(
        &mut self,
        running: RunningAttempt,
        adopt_until: Option<Instant>,
        transfer: Option<Transfer>,
        now: Instant,
    ) {
        let key = running.key();
        let placement = &running.placement;
        let uncached = running
            .prompt_tokens
            .saturating_sub(placement.expected_cached);
        for id in upstream_ids(placement) {
            if let Some(state) = self.upstreams.get_mut(id) {
                state.held += 1;
                state.load.record_sent(key, uncached, now);
                state.health.record_sent(key);
            }
        }
        if let (Some(transfer), Some(target)) =
            (transfer, self.upstreams.get_mut(&placement.target))
        {
            target.reserve_link(key, transfer);
        }
        let hold_deadline = now + running.hold_limit;
        let ends_at = adopt_until.unwrap_or(hold_deadline).min(hold_deadline);
        self.timers.insert((ends_at, key));
        self.changes.record_placed(running.clone());
        let reservation = Reservation {
            running,
            held_since: now,
            ends_at,
            hold_deadline,
            awaits_adoption: adopt_until.is_some(),
        };
        self.reservations.insert(key, reservation);
    }

    /// Sets the time at which a reservation ends, capped by its hold deadline.
    pub(super) fn set_end(&mut self, key: AttemptKey, ends_at: Instant) {
        if let Some(reservation) = self.reservations.get_mut(&key) {
            self.timers.remove(&(reservation.ends_at, key));
            reservation.ends_at = ends_at.min(reservation.hold_deadline);
            self.timers.insert((reservation.ends_at, key));
        }
    }

    pub(super) fn add_tombstone(&mut self, key: AttemptKey, tombstone: Tombstone, now: Instant) {
        self.tombstones.insert(key, (now, tombstone));
        self.tombstone_order.push_back((now, key));
    }

    pub(super) fn record_failure(
        &mut self,
        outcome: &ReleaseOutcome,
        key: Option<AttemptKey>,
        now: Instant,
    ) {
        if let ReleaseOutcome::Failed {
            upstream,
            down: true,
        } = outcome
            && let Some(state) = self.upstreams.get_mut(upstream)
        {
            state.health.record_failure(key, &self.settings, now);
        }
    }
}

/// Returns the upstreams of a placement, the target last.
pub(super) fn upstream_ids(placement: &Placement) -> impl Iterator<Item = &UpstreamId> {
    placement
        .prefill
        .iter()
        .chain(std::iter::once(&placement.target))
}
