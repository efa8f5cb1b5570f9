//! Times in which every upstream of a pool has failed: callers who gain nothing from a long wait are told soon.

use std::time::Instant;

use crate::process::message::{LatePolicy, PlaceRequest};
use crate::process::pool::upstream::UpstreamState;
use crate::process::pool::{Pool, PoolAction};
use crate::version::compiled::Role;

/// The present outage of a pool, if there is one.
#[derive(Debug, Default)]
pub(super) struct Outage {
    since: Option<Instant>,
    /// The time at which waiting work is refused; `None` once it was.
    timer: Option<Instant>,
}

impl Outage {
    pub fn timer(&self) -> Option<Instant> {
        self.timer
    }
}

/// Tells whether a request is refused once an outage lasts too long: if late answers are useless, or after a failed
/// attempt, as its caller may be reading a stream that has stopped.
pub(super) fn is_told_soon(req: &PlaceRequest) -> bool {
    req.late == LatePolicy::Refuse || !req.avoid.is_empty()
}

impl Pool {
    /// Notes the start or the end of an outage.
    pub(super) fn follow_outage(&mut self, now: Instant) {
        if !self.is_in_outage(now) {
            self.outage = Outage::default();
        } else if self.outage.since.is_none() {
            self.outage = Outage {
                since: Some(now),
                timer: Some(now + self.settings.max_outage_wait),
            };
        }
    }

    /// Tells whether an outage has lasted so long that callers are told.
    pub(super) fn is_outage_long(&self, now: Instant) -> bool {
        let ends = self
            .outage
            .since
            .map(|at| at + self.settings.max_outage_wait);
        ends.is_some_and(|at| at <= now)
    }

    /// Refuses those who are told soon once an outage has lasted too long.
    pub(super) fn end_outage_wait(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        if self.outage.timer.is_none_or(|at| now < at) {
            return;
        }
        self.outage.timer = None;
        let waiting = self.queue.keys_matching(is_told_soon);
        for key in waiting {
            self.expire(key, now, actions);
        }
    }

    /// Tells whether no target, or no prefill engine that targets need, is left.
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
