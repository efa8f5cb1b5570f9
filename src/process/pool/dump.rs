//! What the dump shows of a pool: why a request waits, and why it was placed where it was.
//!
//! All lists are bounded; what a list leaves out is counted.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::prelude::*;
use crate::process::journal::as_hex;
use crate::process::message::PoolId;
use crate::process::placement::Prediction;
use crate::process::pool::upstream::UpstreamState;
use crate::process::pool::{AttemptKey, Pool};
use crate::version::compiled::Role;

/// The customers shown for each pool: those with the longest waits.
pub const MAX_CUSTOMERS: usize = 64;

/// The upstreams shown for each pool. Pools of the largest fleet planned for have about 12.
pub const MAX_UPSTREAMS: usize = 256;

/// The placements kept for each pool.
pub const MAX_PLACEMENTS: usize = 64;

/// A pool.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolView {
    /// The pool.
    pub pool: PoolId,
    /// The name of its policy.
    pub policy: &'static str,
    /// The requests waiting.
    pub queued: usize,
    /// The attempts placed.
    pub placed: usize,
    /// Why the first waiting request is not placed; `None` if nothing waits.
    pub blocked_by: Option<BlockedBy>,
    /// What waits, the longest wait first.
    pub queue: Vec<QueueView>,
    /// The customers with waiting requests that `queue` leaves out.
    pub customers_omitted: usize,
    /// The upstreams, by id.
    pub upstreams: Vec<UpstreamView>,
    /// The upstreams that `upstreams` leaves out.
    pub upstreams_omitted: usize,
    /// The latest placements, newest first.
    pub recent: Vec<PlacementView>,
}

/// Why nothing is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockedBy {
    /// A new owner waits for entry hosts to announce what runs.
    Settling,
    /// All decode engines or service runners are left out.
    NoTarget,
    /// All prefill engines are left out.
    NoPrefill,
    /// All slots are held.
    NoSlot,
    /// The waits for prefill engines or links are above their limits, or the request avoids what is free.
    Policy,
}

/// What a customer waits for in one urgency.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QueueView {
    /// The customer.
    pub customer: CustomerId,
    /// Whether it is batch work.
    pub is_batch: bool,
    /// The requests.
    pub requests: usize,
    /// Their tokens.
    pub tokens: Tokens,
    /// The request that waits longest.
    #[serde(serialize_with = "as_hex")]
    pub oldest: RequestId,
    /// The time for which it has waited.
    pub longest_wait: Duration,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamView {
    /// The upstream.
    pub id: UpstreamId,
    /// Its role.
    pub role: &'static str,
    /// The attempts that this owner placed there.
    pub held: u32,
    /// Its slots.
    pub slots: u32,
    /// The requests running by the corrected report; `None` without a recent report.
    pub reported_running: Option<u32>,
    /// The predicted wait for a prefill there.
    pub prefill_wait: Duration,
    /// The transfers expected on its link.
    pub transfers: usize,
    /// The time until the last of them is over.
    pub link_busy: Duration,
    /// Why it gets no new work; `None` if it does.
    pub left_out: Option<ExclusionReason>,
    /// The prompt pieces known to be cached there.
    pub cached_pieces: usize,
    /// The age of the figures of the last load report.
    pub report_age: Option<Duration>,
}

/// Why an upstream gets no new work.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// It is leaving, or was removed from the configuration.
    Leaving,
    /// It failed.
    Failed {
        /// The failures since it last served an attempt.
        failures: u32,
        /// The time for which it is left out in any case.
        left: Duration,
        /// Whether it is left out until it answers a question for a load report.
        awaits_report: bool,
    },
    /// One attempt finds out whether it is back.
    Trial {
        /// The request.
        #[serde(serialize_with = "as_hex")]
        request: RequestId,
    },
}

/// A placement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlacementView {
    /// The request.
    #[serde(serialize_with = "as_hex")]
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The customer.
    pub customer: CustomerId,
    /// The time since it was placed.
    pub age: Duration,
    /// The time that it was queued.
    pub queued: Duration,
    /// The upstreams chosen.
    pub chosen: PairView,
    /// The next best upstreams; `None` if there were no others, or for a policy that doesn't rank.
    pub runner_up: Option<PairView>,
}

/// Upstreams considered for an attempt.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PairView {
    /// The prefill engine; `None` for a plain service.
    pub prefill: Option<UpstreamId>,
    /// The decode engine or service runner.
    pub target: UpstreamId,
    /// The predicted parts of the time to the first token.
    pub predicted: Prediction,
}

/// A placement as recorded.
#[derive(Debug, Clone)]
pub(super) struct Placed {
    pub key: AttemptKey,
    pub customer: CustomerId,
    pub since: Instant,
    pub at: Instant,
    pub chosen: PairView,
    pub runner_up: Option<PairView>,
}

/// The latest placements of a pool.
#[derive(Debug, Default)]
pub(super) struct RecentPlacements(VecDeque<Placed>);

impl RecentPlacements {
    /// Adds a placement; the oldest one makes room.
    pub fn record(&mut self, placed: Placed) {
        if self.0.len() == MAX_PLACEMENTS {
            self.0.pop_front();
        }
        self.0.push_back(placed);
    }

    fn view(&self, now: Instant) -> Vec<PlacementView> {
        let newest_first = self.0.iter().rev();
        let views = newest_first.map(|placed| PlacementView {
            request: placed.key.0,
            attempt: placed.key.1,
            customer: placed.customer.clone(),
            age: now.saturating_duration_since(placed.at),
            queued: placed.at.saturating_duration_since(placed.since),
            chosen: placed.chosen.clone(),
            runner_up: placed.runner_up.clone(),
        });
        views.collect()
    }
}

impl Pool {
    /// Returns what the dump shows.
    pub fn view(&self, now: Instant) -> PoolView {
        let mut customers: Vec<_> = self.queue.customers().collect();
        customers.sort_by_key(|c| c.oldest.queued_at);
        let queue = customers.iter().take(MAX_CUSTOMERS).map(|c| QueueView {
            customer: c.customer.clone(),
            is_batch: c.priority == Priority::Batch,
            requests: c.requests,
            tokens: c.tokens,
            oldest: c.oldest.req.request,
            longest_wait: now.saturating_duration_since(c.oldest.queued_at),
        });
        let upstreams = self.upstreams.values().take(MAX_UPSTREAMS);
        PoolView {
            pool: self.id.clone(),
            policy: self.policy.name(),
            queued: self.queued(),
            placed: self.placed(),
            blocked_by: self.blocked_by(now),
            queue: queue.collect(),
            customers_omitted: customers.len().saturating_sub(MAX_CUSTOMERS),
            upstreams: upstreams.map(|u| self.view_upstream(u, now)).collect(),
            upstreams_omitted: self.upstreams.len().saturating_sub(MAX_UPSTREAMS),
            recent: self.recent.view(now),
        }
    }

    fn blocked_by(&self, now: Instant) -> Option<BlockedBy> {
        if self.queue.is_empty() {
            return None;
        }
        let takes_work = |role: fn(Role) -> bool| {
            let mut of_role = self.upstreams.values().filter(|u| role(u.config.role));
            of_role.any(|u| u.takes_work(now))
        };
        let needs_prefill = self
            .upstreams
            .values()
            .any(|u| u.config.role == Role::Decode);
        let is_target = |role| role != Role::Prefill;
        let mut targets = self.upstreams.values();
        Some(if self.settled.is_some_and(|settled| now < settled) {
            BlockedBy::Settling
        } else if !takes_work(is_target) {
            BlockedBy::NoTarget
        } else if needs_prefill && !takes_work(|role| role == Role::Prefill) {
            BlockedBy::NoPrefill
        } else if !targets.any(|u| {
            is_target(u.config.role) && u.takes_work(now) && u.has_slot(&self.settings, now)
        }) {
            BlockedBy::NoSlot
        } else {
            BlockedBy::Policy
        })
    }

    fn view_upstream(&self, upstream: &UpstreamState, now: Instant) -> UpstreamView {
        let left = |at: Instant| at.saturating_duration_since(now);
        let config = &upstream.config;
        let transfers = upstream.transfers().iter().filter(|t| t.end > now);
        let age = upstream
            .load
            .measured_at()
            .map(|at| now.saturating_duration_since(at));
        UpstreamView {
            id: config.id.clone(),
            role: match config.role {
                Role::Prefill => "prefill",
                Role::Decode => "decode",
                Role::Service => "service",
            },
            held: upstream.held,
            slots: config.slots,
            reported_running: upstream.load.running(self.settings.report_max_age, now),
            prefill_wait: match config.role {
                Role::Prefill => upstream.load.prefill_wait(config.prefill_rate, now),
                Role::Decode | Role::Service => Duration::ZERO,
            },
            transfers: transfers.clone().count(),
            link_busy: transfers.map(|t| left(t.end)).max().unwrap_or_default(),
            left_out: left_out(upstream, now),
            cached_pieces: upstream.cache.len(),
            report_age: age,
        }
    }
}

fn left_out(upstream: &UpstreamState, now: Instant) -> Option<ExclusionReason> {
    if upstream.leaving {
        return Some(ExclusionReason::Leaving);
    }
    if upstream.takes_work(now) {
        return None;
    }
    let health = &upstream.health;
    Some(match health.trial() {
        Some((request, _)) => ExclusionReason::Trial { request },
        None => ExclusionReason::Failed {
            failures: health.failures(),
            left: health.excluded_for(now),
            awaits_report: health.awaits_report(),
        },
    })
}
