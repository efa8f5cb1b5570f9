//! Places waiting requests on upstreams, and estimates waits.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{PlaceReply, PlaceRequest, Placement, RunningAttempt};
use crate::process::placement::{
    Choice, PlacementInput, Prediction, PrefillCandidate, TargetCandidate, Transfer,
};
use crate::process::pool::dump::{PairView, PlacementRecord};
use crate::process::pool::queue::{Head, request_cost};
use crate::process::pool::reservation::upstream_ids;
use crate::process::pool::upstream::UpstreamState;
use crate::process::pool::{AttemptKey, Pool, PoolAction, attempt_key};
use crate::process::stated_time::{self, MAX_STATED_TIME, time_at_rate};
use crate::version::compiled::Role;

/// The most requests of a customer that are examined when its first one is blocked by the upstreams it avoids. A failed
/// upstream leaves about as many such requests as it has slots; those with equal `avoid` lists are skipped cheaply.
const MAX_BYPASSED: usize = 64;

/// The upstreams that the policy chose for a request, with the predicted transfer.
struct Selection {
    placement: Placement,
    transfer: Option<Transfer>,
    chosen: PairView,
    runner_up: Option<PairView>,
}

impl Pool {
    /// Places as many waiting requests as possible.
    pub(super) fn dispatch(&mut self, now: Instant) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        self.unblocked_at = None;
        self.update_outage(now);
        if self.queue.is_empty() {
            return actions;
        }
        if let Some(settling_until) = self.settling_until.filter(|until| now < *until) {
            self.unblocked_at = Some(settling_until);
            return actions;
        }
        for state in self.upstreams.values_mut() {
            state.expire_links(now);
        }
        while let Some((key, selection)) = self.next_placement(now) {
            let per_batch = self.settings.interactive_per_batch;
            let Some(waiting) = self.queue.start(key, per_batch) else {
                break;
            };
            self.timers.remove(&(waiting.refuse_at, key));
            let reply = PlaceReply::Placed(selection.placement.clone());
            self.recent.record(PlacementRecord {
                key,
                customer: waiting.req.customer.clone(),
                queued_at: waiting.queued_at,
                placed_at: now,
                chosen: selection.chosen,
                runner_up: selection.runner_up,
            });
            let running = RunningAttempt::new(&waiting.req, selection.placement);
            self.reserve(running, None, selection.transfer, now);
            actions.push(PoolAction::Reply { key, reply });
        }
        if !self.queue.is_empty() {
            self.unblocked_at = self.next_unblocked(now);
        }
        actions
    }

    /// Returns the first request in fair order that can be placed now.
    fn next_placement(&mut self, now: Instant) -> Option<(AttemptKey, Selection)> {
        if self.queue.is_empty() || !self.targets().any(|u| self.is_available(u, now)) {
            return None;
        }
        let settings = &self.settings;
        let heads = self
            .queue
            .heads(settings.late_behind, settings.interactive_per_batch, now);
        heads.into_iter().find_map(|head| match head {
            Head::Bypassed(key) => {
                let req = &self.queue.get(key)?.req;
                Some((key, self.select(req, &req.avoid, now)?))
            }
            Head::First(key) => self.select_for_customer(&self.queue.get(key)?.req, now),
        })
    }

    /// Returns the first request of a customer that can be placed now. A request bypasses an earlier one only if that
    /// one is blocked by nothing but the upstreams it avoids, and only onto upstreams that it avoids; otherwise small
    /// requests could starve a large one.
    fn select_for_customer(
        &self,
        first: &PlaceRequest,
        now: Instant,
    ) -> Option<(AttemptKey, Selection)> {
        let mut bypassed: SmallVec<[&[UpstreamId]; 4]> = SmallVec::new();
        for waiting in self.queue.requests_of_customer(first).take(MAX_BYPASSED) {
            let req = &waiting.req;
            if bypassed.contains(&&req.avoid[..]) {
                continue;
            }
            if let Some(selection) = self.select(req, &req.avoid, now) {
                let mut bypassed = bypassed.iter();
                let may_bypass = bypassed.all(|avoid| {
                    let mut used = upstream_ids(&selection.placement);
                    used.any(|id| avoid.contains(id))
                });
                return may_bypass.then(|| (attempt_key(req), selection));
            }
            if req.avoid.is_empty() || self.select(req, &[], now).is_none() {
                return None;
            }
            bypassed.push(&req.avoid);
        }
        None
    }

    fn targets(&self) -> impl Iterator<Item = &UpstreamState> + Clone {
        self.upstreams
            .values()
            .filter(|u| u.config.role != Role::Prefill)
    }

    fn prefills(&self) -> impl Iterator<Item = &UpstreamState> + Clone {
        self.upstreams
            .values()
            .filter(|u| u.config.role == Role::Prefill)
    }

    fn is_available(&self, upstream: &UpstreamState, now: Instant) -> bool {
        upstream.takes_work(now) && upstream.has_slot(&self.settings, now)
    }

    /// Returns whether the pool has the upstreams that a request needs, even if all of them are excluded after
    /// failures.
    pub(super) fn can_serve(&self) -> bool {
        let mut targets = self.targets().filter(|u| !u.leaving).peekable();
        let needs_prefill = targets
            .peek()
            .is_some_and(|u| u.config.role == Role::Decode);
        targets.peek().is_some() && (!needs_prefill || self.prefills().any(|u| !u.leaving))
    }

    fn select(&self, req: &PlaceRequest, avoid: &[UpstreamId], now: Instant) -> Option<Selection> {
        let targets: Vec<_> = eligible(self.targets(), avoid, now)
            .filter(|u| u.has_slot(&self.settings, now))
            .map(|u| TargetCandidate {
                id: u.config.id.clone(),
                running: u.running(&self.settings, now),
                slots: u.config.slots,
                link_rate: u.config.link_rate,
                transfers: u.transfers(),
            })
            .collect();
        let prefills: Vec<_> = eligible(self.prefills(), avoid, now)
            .map(|u| PrefillCandidate {
                id: u.config.id.clone(),
                running: u.held,
                wait: u.load.prefill_wait(u.config.prefill_rate, now),
                cached: u.cache.cached_tokens(&req.pieces, req.prompt_tokens),
                rate: u.config.prefill_rate,
            })
            .collect();
        let needs_prefill = self.targets().any(|u| u.config.role == Role::Decode);
        if targets.is_empty() || (needs_prefill && prefills.is_empty()) {
            return None;
        }
        let input = PlacementInput {
            now,
            prompt_tokens: req.prompt_tokens,
            prefills: &prefills,
            targets: &targets,
        };
        let choice = self.policy.choose(&self.settings, &input)?;
        let prediction = Prediction::new(&self.settings, &input, choice);
        let prefill = choice.prefill.map(|index| &prefills[index]);
        let ready = now + prediction.queue + prediction.prefill + prediction.link_wait;
        let target = &targets[choice.target];
        let pair = |choice: Choice| PairView {
            prefill: choice.prefill.map(|index| prefills[index].id.clone()),
            target: targets[choice.target].id.clone(),
            predicted: Prediction::new(&self.settings, &input, choice),
        };
        let runner_up = self.policy.runner_up(&self.settings, &input, choice);
        debug_assert!(target.running < target.slots, "a full upstream was chosen");
        Some(Selection {
            placement: Placement {
                prefill: prefill.map(|p| p.id.clone()),
                target: target.id.clone(),
                expected_cached: prefill.map_or(0, |p| p.cached),
            },
            transfer: prefill.map(|_| Transfer {
                start: ready,
                end: ready + prediction.transfer,
            }),
            chosen: pair(choice),
            runner_up: runner_up.map(pair),
        })
    }

    /// Returns the earliest time at which a wait above its limit has become short enough, or a failed upstream is
    /// retried. Freed slots need no timer: they come as events.
    fn next_unblocked(&self, now: Instant) -> Option<Instant> {
        let retries = self.upstreams.values().filter(|u| !u.leaving);
        let retries = retries.filter_map(|u| u.health.retry_at());
        let has_slot = self.targets().any(|u| self.is_available(u, now));
        let waits = self
            .prefills()
            .filter(|u| has_slot && u.takes_work(now))
            .filter_map(|u| {
                let wait = u.load.prefill_wait(u.config.prefill_rate, now);
                wait.checked_sub(self.settings.prefill_wait)
            })
            .map(|excess| now + excess + Duration::from_millis(1));
        let link_ends = self.targets().filter(|_| has_slot);
        let link_ends = link_ends.flat_map(UpstreamState::transfers).map(|t| t.end);
        // A report that counts more than this owner placed needs no timer: the next report corrects it, or it expires.
        let all = retries.chain(waits).chain(link_ends);
        all.filter(|at| *at > now).min()
    }

    /// Estimates the time that a new request would spend in the queue.
    pub(super) fn expected_wait(&self, req: &PlaceRequest, now: Instant) -> Duration {
        let targets = || eligible(self.targets(), &req.avoid, now);
        let Some(unavailable_for) = self.time_until_available(req, now) else {
            return Duration::ZERO;
        };
        let is_free = targets().any(|u| u.has_slot(&self.settings, now));
        if is_free && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let tokens = (self.queue.tokens_ahead(req) + request_cost(req)) as f64;
        let slots: u32 = targets().map(|u| u.config.slots).sum();
        let secs_by_slots = tokens * self.hold_secs_per_token / f64::from(slots.max(1));
        let prompt_share = req.prompt_tokens as f64 / request_cost(req) as f64;
        let rate: Tokens = eligible(self.prefills(), &req.avoid, now)
            .map(|u| u.config.prefill_rate)
            .sum();
        let secs_by_prefill = if rate == 0 {
            0.0
        } else {
            tokens * prompt_share / rate as f64
        };
        let wait = stated_time::from_secs(secs_by_slots.max(secs_by_prefill));
        unavailable_for + wait.unwrap_or(MAX_STATED_TIME)
    }

    /// Returns the time until some target takes work; zero if one does now, `None` if all are leaving.
    fn time_until_available(&self, req: &PlaceRequest, now: Instant) -> Option<Duration> {
        if eligible(self.targets(), &req.avoid, now).next().is_some() {
            return Some(Duration::ZERO);
        }
        self.targets()
            .filter(|u| !u.leaving)
            .map(|u| u.health.expected_downtime(now))
            .min()
    }

    /// Returns the time to the first token over the fastest prefill engine and link without any wait.
    pub(super) fn min_time_to_first_token(&self, prompt_tokens: Tokens) -> Duration {
        let prefill = self.prefills().map(|u| u.config.prefill_rate).max();
        let link = self.targets().map(|u| u.config.link_rate).max();
        match (prefill, link) {
            (Some(prefill), Some(link)) => {
                time_at_rate(prompt_tokens, prefill) + time_at_rate(prompt_tokens, link)
            }
            _ => Duration::ZERO,
        }
    }
}

/// Returns the upstreams that may be chosen for a request. One that failed it before is allowed only if it is known to
/// be up and no other takes work. A request that failed on every runner of a plain service may also be the trial of
/// one: it would never be placed if there is no other request for the service.
fn eligible<'a>(
    upstreams: impl Iterator<Item = &'a UpstreamState> + Clone,
    avoid: &'a [UpstreamId],
    now: Instant,
) -> impl Iterator<Item = &'a UpstreamState> {
    let mut present = upstreams.clone().filter(|u| !u.leaving);
    let avoids_all = present.all(|u| avoid.contains(&u.config.id));
    let usable = upstreams.filter(move |u| u.takes_work(now));
    let is_preferred = |u: &&UpstreamState| !avoid.contains(&u.config.id);
    let has_preferred = usable.clone().any(|u| is_preferred(&u));
    usable.filter(move |u| {
        is_preferred(u) || (!has_preferred && (avoids_all || u.health.is_known_up(now)))
    })
}
