//! The view of a pool in the dump: why a request waits, and why it was placed where it was.
//!
//! All lists are bounded; omitted items are counted.

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

/// The largest number of entries in [`PoolView::queue`]; those with the longest waits are shown.
pub const MAX_CUSTOMERS: usize = 64;

/// The largest number of upstreams shown for a pool. Pools of the largest fleet planned for have about 12.
pub const MAX_UPSTREAMS: usize = 256;

/// The number of placements kept for each pool.
pub const MAX_PLACEMENTS: usize = 64;

/// The state of a pool.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolView {
    /// The data centre and the model of the pool.
    pub pool: PoolId,
    /// The name of the policy that chooses upstreams.
    pub policy: &'static str,
    /// The number of waiting requests.
    pub queued: usize,
    /// The number of attempts that hold a slot.
    pub placed: usize,
    /// Why waiting requests are not placed; `None` if nothing waits.
    pub blocked_by: Option<BlockedBy>,
    /// The waiting requests by customer and priority, the longest wait first.
    pub queue: Vec<QueueView>,
    /// The number of entries omitted from `queue`.
    pub customers_omitted: usize,
    /// The upstreams in order of their ids.
    pub upstreams: Vec<UpstreamView>,
    /// The number of upstreams omitted from `upstreams`.
    pub upstreams_omitted: usize,
    /// The latest placements, newest first.
    pub recent: Vec<PlacementView>,
}

/// The reason why waiting requests are not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockedBy {
    /// The owner is new and waits until entry hosts have announced their running attempts.
    Settling,
    /// All decode engines or service runners are excluded.
    NoTarget,
    /// All prefill engines are excluded.
    NoPrefill,
    /// All slots of targets that take work are in use.
    NoSlot,
    /// The waits for prefill engines or links are above their limits, or the request avoids the free upstreams.
    Policy,
}

/// The waiting requests of a customer with one priority.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QueueView {
    /// The customer; on open routes the name of the route.
    pub customer: CustomerId,
    /// Whether the requests have batch priority.
    pub is_batch: bool,
    /// The number of waiting requests.
    pub requests: usize,
    /// Their prompt tokens and tokens to generate at most; 1 for each call of a plain service.
    pub tokens: Tokens,
    /// The request that has waited longest.
    #[serde(serialize_with = "as_hex")]
    pub oldest: RequestId,
    /// The time for which `oldest` has waited.
    pub longest_wait: Duration,
}

/// The state of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamView {
    /// The configured id.
    pub id: UpstreamId,
    /// `prefill`, `decode` or `service`.
    pub role: &'static str,
    /// The number of attempts that the owner placed there and that have not ended.
    pub held: u32,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The running requests by the corrected load report; `None` without a recent report.
    pub reported_running: Option<u32>,
    /// The predicted wait for a prefill there; zero unless the role is `prefill`.
    pub prefill_wait: Duration,
    /// The number of transfers expected on its link.
    pub transfers: usize,
    /// The time until the last of these transfers ends.
    pub link_busy: Duration,
    /// Why it is excluded from placement; `None` if it takes new work.
    pub left_out: Option<ExclusionReason>,
    /// The number of prompt pieces known to be cached there.
    pub cached_pieces: usize,
    /// The time since the engine measured its last load report; `None` before the first one.
    pub report_age: Option<Duration>,
}

/// The reason why an upstream gets no new work.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// It is leaving, or was removed from the configuration.
    Leaving,
    /// It failed, and the time or the load report that ends its exclusion has not come yet.
    Failed {
        /// The number of failures since it last served an attempt.
        failures: u32,
        /// The time for which it stays excluded even if a load report arrives.
        left: Duration,
        /// Whether it stays excluded until it answers a poll for a load report.
        awaits_report: bool,
    },
    /// One attempt runs there as a trial, to find out whether it is back.
    Trial {
        /// The request of the trial.
        #[serde(serialize_with = "as_hex")]
        request: RequestId,
    },
}

/// The placement of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlacementView {
    /// The request that was placed.
    #[serde(serialize_with = "as_hex")]
    pub request: RequestId,
    /// Which attempt of the request it was.
    pub attempt: AttemptNo,
    /// The customer; on open routes the name of the route.
    pub customer: CustomerId,
    /// The time since the placement.
    pub age: Duration,
    /// The time that the request spent in the queue.
    pub queued: Duration,
    /// The upstreams held for the attempt.
    pub chosen: PairView,
    /// The next best upstreams; `None` if there were no others, or if the policy doesn't rank them.
    pub runner_up: Option<PairView>,
}

/// Upstreams considered for an attempt, with the prediction for them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PairView {
    /// The prefill engine; `None` for a plain service.
    pub prefill: Option<UpstreamId>,
    /// The decode engine or service runner.
    pub target: UpstreamId,
    /// The predicted parts of the time to the first token.
    pub predicted: Prediction,
}

/// A placement, recorded for the dump.
#[derive(Debug, Clone)]
pub(super) struct PlacementRecord {
    pub key: AttemptKey,
    pub customer: CustomerId,
    pub queued_at: Instant,
    pub placed_at: Instant,
    pub chosen: PairView,
    pub runner_up: Option<PairView>,
}

/// The latest placements of a pool, oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentPlacements(VecDeque<PlacementRecord>);

impl RecentPlacements {
    /// Adds a placement and drops the oldest one above `MAX_PLACEMENTS`.
    pub fn record(&mut self, placed: PlacementRecord) {
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
            age: now.saturating_duration_since(placed.placed_at),
            queued: placed.placed_at.saturating_duration_since(placed.queued_at),
            chosen: placed.chosen.clone(),
            runner_up: placed.runner_up.clone(),
        });
        views.collect()
    }
}

impl Pool {
    /// Returns the state of the pool for the dump.
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
        Some(if self.settling_until.is_some_and(|until| now < until) {
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
            left_out: exclusion_reason(upstream, now),
            cached_pieces: upstream.cache.len(),
            report_age: age,
        }
    }
}

fn exclusion_reason(upstream: &UpstreamState, now: Instant) -> Option<ExclusionReason> {
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
