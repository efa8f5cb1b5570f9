//! Outages, in which every upstream of a pool has failed: callers who gain nothing from a long wait are refused early.

use std::time::Instant;

use crate::process::message::{LatePolicy, PlaceRequest};
use crate::process::pool::upstream::UpstreamState;
use crate::process::pool::{Pool, PoolAction};
use crate::version::compiled::Role;

/// The current outage of a pool, if there is one.
#[derive(Debug, Default)]
pub(super) struct Outage {
    since: Option<Instant>,
    /// The time at which waiting requests are refused; `None` once they were.
    refuse_at: Option<Instant>,
}

impl Outage {
    pub fn refuse_at(&self) -> Option<Instant> {
        self.refuse_at
    }
}

/// Returns whether a request is refused once an outage lasts too long: if late answers are useless, or after a failed
/// attempt, because the caller may be reading a stream that has stopped.
pub(super) fn is_refused_in_outage(req: &PlaceRequest) -> bool {
    req.late == LatePolicy::Refuse || !req.avoid.is_empty()
}

impl Pool {
    /// Detects the start and the end of an outage.
    pub(super) fn update_outage(&mut self, now: Instant) {
        if !self.is_in_outage(now) {
            self.outage = Outage::default();
        } else if self.outage.since.is_none() {
            self.outage = Outage {
                since: Some(now),
                refuse_at: Some(now + self.settings.max_outage_wait),
            };
        }
    }

    /// Returns whether an outage has lasted for `max_outage_wait`.
    pub(super) fn is_long_outage(&self, now: Instant) -> bool {
        let long_from = self
            .outage
            .since
            .map(|at| at + self.settings.max_outage_wait);
        long_from.is_some_and(|at| at <= now)
    }

    /// Refuses the waiting requests for which `is_refused_in_outage` holds, once an outage has lasted too long.
    pub(super) fn refuse_in_outage(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        if self.outage.refuse_at.is_none_or(|at| now < at) {
            return;
        }
        self.outage.refuse_at = None;
        let waiting = self.queue.keys_matching(is_refused_in_outage);
        for key in waiting {
            self.expire(key, now, actions);
        }
    }

    /// Returns whether no target is up, or none of the prefill engines that the targets need.
    fn is_in_outage(&self, now: Instant) -> bool {
        let is_up = |u: &UpstreamState| !u.leaving && !u.health.is_excluded(now);
        let mut up = self.upstreams.values().filter(|u| is_up(u));
        let has_target = up.clone().any(|u| u.config.role != Role::Prefill);
        let has_prefill = up.any(|u| u.config.role == Role::Prefill);
        let mut all = self.upstreams.values();
        let needs_prefill = all.any(|u| u.config.role == Role::Decode);
        !has_target || (needs_prefill && !has_prefill)
    }
}
