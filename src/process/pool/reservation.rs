//! What is held for attempts, and what is remembered of those that hold nothing.

use std::time::Instant;

use crate::prelude::*;
use crate::process::message::{LatePolicy, PlaceReply, Placement, ReleaseOutcome, RunningAttempt};
use crate::process::placement::Transfer;
use crate::process::pool::{AttemptKey, Pool};

/// What is held for an attempt.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    pub running: RunningAttempt,
    pub since: Instant,
    /// The time at which it ends whatever happens: the attempt's deadline, or the end of the time for adoption.
    pub ends: Instant,
    /// The attempt's deadline.
    pub deadline: Instant,
    /// Whether it was taken over from a former owner, and its entry host has not announced it yet.
    pub awaits_adoption: bool,
}

/// What is remembered of an attempt that holds nothing.
#[derive(Debug, Clone)]
pub(super) enum Past {
    /// It was cancelled, possibly before it was seen, or it ended.
    Withdrawn,
    /// It was refused. The same question under another late policy is a new one.
    Refused(LatePolicy, PlaceReply),
}

impl Pool {
    /// Frees what an attempt holds.
    pub(super) fn free(&mut self, key: AttemptKey, now: Instant) -> Option<Reservation> {
        let held = self.reservations.remove(&key)?;
        self.timers.remove(&(held.ends, key));
        for id in upstream_ids(&held.running.placement) {
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
        self.attempts.remove(key, &held.running.process());
        self.changes.end(key);
        self.remember(key, Past::Withdrawn, now);
        Some(held)
    }

    /// Records that an attempt, which is in the index already, holds upstreams, until `adopt_until` if it has to be
    /// adopted.
    pub(super) fn hold(
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
        let deadline = now + running.hold_limit;
        let ends = adopt_until.unwrap_or(deadline).min(deadline);
        self.timers.insert((ends, key));
        self.changes.place(running.clone());
        let reservation = Reservation {
            running,
            since: now,
            ends,
            deadline,
            awaits_adoption: adopt_until.is_some(),
        };
        self.reservations.insert(key, reservation);
    }

    /// Sets the time at which a reservation ends, or its deadline if that is earlier.
    pub(super) fn set_end(&mut self, key: AttemptKey, ends: Instant) {
        if let Some(held) = self.reservations.get_mut(&key) {
            self.timers.remove(&(held.ends, key));
            held.ends = ends.min(held.deadline);
            self.timers.insert((held.ends, key));
        }
    }

    pub(super) fn remember(&mut self, key: AttemptKey, past: Past, now: Instant) {
        self.past.insert(key, (now, past));
        self.past_order.push_back((now, key));
    }

    pub(super) fn note_failure(
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
