//! Places waiting requests on upstreams, and estimates waits.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{PlaceReply, PlaceRequest, Placement, RunningAttempt};
use crate::process::placement::{
    Choice, PlacementInput, Prediction, PrefillCandidate, TargetCandidate, Transfer, time_at_rate,
};
use crate::process::pool::dump::{PairView, Placed};
use crate::process::pool::queue::{Head, request_cost};
use crate::process::pool::reservation::upstream_ids;
use crate::process::pool::upstream::UpstreamState;
use crate::process::pool::{AttemptKey, Pool, PoolAction, attempt_key};
use crate::version::compiled::Role;

/// The requests of a customer that are looked at while its first one is blocked by what it avoids. A failed upstream
/// leaves about as many such requests as it has slots, and those that avoid the same are skipped cheaply.
const MAX_BYPASSED: usize = 64;

/// A request that is accepted by a policy, with the predicted transfer.
struct Found {
    placement: Placement,
    transfer: Option<Transfer>,
    chosen: PairView,
    runner_up: Option<PairView>,
}

impl Pool {
    /// Places as many waiting requests as possible.
    pub(super) fn dispatch(&mut self, now: Instant) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        self.unblocked = None;
        self.follow_outage(now);
        if self.queue.is_empty() {
            return actions;
        }
        if let Some(settled) = self.settled.filter(|settled| now < *settled) {
            self.unblocked = Some(settled);
            return actions;
        }
        for state in self.upstreams.values_mut() {
            state.expire_links(now);
        }
        while let Some((key, found)) = self.next_placement(now) {
            let per_batch = self.settings.interactive_per_batch;
            let Some(waiting) = self.queue.start(key, per_batch) else {
                break;
            };
            self.timers.remove(&(waiting.refuse_at, key));
            let reply = PlaceReply::Placed(found.placement.clone());
            self.recent.record(Placed {
                key,
                customer: waiting.req.customer.clone(),
                since: waiting.queued_at,
                at: now,
                chosen: found.chosen,
                runner_up: found.runner_up,
            });
            let running = RunningAttempt::new(&waiting.req, found.placement);
            self.hold(running, None, found.transfer, now);
            actions.push(PoolAction::Reply { key, reply });
        }
        if !self.queue.is_empty() {
            self.unblocked = self.next_unblocked(now);
        }
        actions
    }

    /// Finds the first request in fair order that can be placed.
    fn next_placement(&mut self, now: Instant) -> Option<(AttemptKey, Found)> {
        if self.queue.is_empty() || !self.targets().any(|u| self.is_open(u, now)) {
            return None;
        }
        let settings = &self.settings;
        let heads = self
            .queue
            .heads(settings.late_behind, settings.interactive_per_batch, now);
        heads.into_iter().find_map(|head| match head {
            Head::Bypassed(key) => {
                let req = &self.queue.get(key)?.req;
                Some((key, self.find(req, &req.avoid, now)?))
            }
            Head::First(key) => self.find_of_customer(&self.queue.get(key)?.req, now),
        })
    }

    /// Finds the first request of a customer that can be placed. One passes another only if nothing but what the other
    /// avoids keeps it waiting, and only onto upstreams that the other avoids; otherwise small requests could keep a
    /// large one waiting for ever.
    fn find_of_customer(&self, first: &PlaceRequest, now: Instant) -> Option<(AttemptKey, Found)> {
        let mut bypassed: SmallVec<[&[UpstreamId]; 4]> = SmallVec::new();
        for waiting in self.queue.requests_of_customer(first).take(MAX_BYPASSED) {
            let req = &waiting.req;
            if bypassed.contains(&&req.avoid[..]) {
                continue;
            }
            if let Some(found) = self.find(req, &req.avoid, now) {
                let mut bypassed = bypassed.iter();
                let may_bypass = bypassed.all(|avoid| {
                    let mut used = upstream_ids(&found.placement);
                    used.any(|id| avoid.contains(id))
                });
                return may_bypass.then(|| (attempt_key(req), found));
            }
            if req.avoid.is_empty() || self.find(req, &[], now).is_none() {
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

    fn is_open(&self, upstream: &UpstreamState, now: Instant) -> bool {
        upstream.takes_work(now) && upstream.has_slot(&self.settings, now)
    }

    /// Tells whether the pool has upstreams that take new work, now or after a failure.
    pub(super) fn can_serve(&self) -> bool {
        let mut targets = self.targets().filter(|u| !u.leaving).peekable();
        let needs_prefill = targets
            .peek()
            .is_some_and(|u| u.config.role == Role::Decode);
        targets.peek().is_some() && (!needs_prefill || self.prefills().any(|u| !u.leaving))
    }

    fn find(&self, req: &PlaceRequest, avoid: &[UpstreamId], now: Instant) -> Option<Found> {
        let targets: Vec<_> = allowed(self.targets(), avoid, now)
            .filter(|u| u.has_slot(&self.settings, now))
            .map(|u| TargetCandidate {
                id: u.config.id.clone(),
                running: u.running(&self.settings, now),
                slots: u.config.slots,
                link_rate: u.config.link_rate,
                transfers: u.transfers(),
            })
            .collect();
        let prefills: Vec<_> = allowed(self.prefills(), avoid, now)
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
        Some(Found {
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

    /// Returns the earliest time at which a wait that is too long now is short enough, or a failed upstream is
    /// tried again. Freed slots are events of their own.
    fn next_unblocked(&self, now: Instant) -> Option<Instant> {
        let failed = self.upstreams.values().filter(|u| !u.leaving);
        let failed = failed.filter_map(|u| u.health.retry_at());
        let has_slot = self.targets().any(|u| self.is_open(u, now));
        let waits = self
            .prefills()
            .filter(|u| has_slot && u.takes_work(now))
            .filter_map(|u| {
                let wait = u.load.prefill_wait(u.config.prefill_rate, now);
                wait.checked_sub(self.settings.prefill_wait)
            })
            .map(|over| now + over + Duration::from_millis(1));
        let links = self.targets().filter(|_| has_slot);
        let links = links.flat_map(UpstreamState::transfers).map(|t| t.end);
        // A report that counts more than this owner placed is corrected by the next one, or ignored in time.
        let all = failed.chain(waits).chain(links);
        all.filter(|at| *at > now).min()
    }

    /// Estimates the time in the queue.
    pub(super) fn expected_wait(&self, req: &PlaceRequest, now: Instant) -> Duration {
        let targets = || allowed(self.targets(), &req.avoid, now);
        let Some(reopens) = self.reopens(req, now) else {
            return Duration::ZERO;
        };
        let is_free = targets().any(|u| u.has_slot(&self.settings, now));
        if is_free && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let tokens = (self.queue.tokens_ahead(req) + request_cost(req)) as f64;
        let slots: u32 = targets().map(|u| u.config.slots).sum();
        let by_slots = tokens * self.hold_per_token / f64::from(slots.max(1));
        let prompt_part = req.prompt_tokens as f64 / request_cost(req) as f64;
        let rate: Tokens = allowed(self.prefills(), &req.avoid, now)
            .map(|u| u.config.prefill_rate)
            .sum();
        let by_prefill = if rate == 0 {
            0.0
        } else {
            tokens * prompt_part / rate as f64
        };
        reopens + Duration::try_from_secs_f64(by_slots.max(by_prefill)).unwrap_or(Duration::MAX / 2)
    }

    /// Returns the time until some target is tried again; zero if one takes work now, `None` if none ever does.
    fn reopens(&self, req: &PlaceRequest, now: Instant) -> Option<Duration> {
        if allowed(self.targets(), &req.avoid, now).next().is_some() {
            return Some(Duration::ZERO);
        }
        self.targets()
            .filter(|u| !u.leaving)
            .map(|u| u.health.expected_downtime(now))
            .min()
    }

    /// Returns the time to the first token over the fastest upstreams without any wait.
    pub(super) fn fastest(&self, prompt_tokens: Tokens) -> Duration {
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

/// Keeps upstreams that take work. Those that failed the request before are left out while another one takes work,
/// and while they are not known to be up. Only a request that failed on every runner of a plain service may be the
/// trial of one; it would wait in vain if nobody else asks for the service.
fn allowed<'a>(
    upstreams: impl Iterator<Item = &'a UpstreamState> + Clone,
    avoid: &'a [UpstreamId],
    now: Instant,
) -> impl Iterator<Item = &'a UpstreamState> {
    let mut present = upstreams.clone().filter(|u| !u.leaving);
    let is_last_chance = present.all(|u| avoid.contains(&u.config.id));
    let usable = upstreams.filter(move |u| u.takes_work(now));
    let is_fresh = |u: &&UpstreamState| !avoid.contains(&u.config.id);
    let has_fresh = usable.clone().any(|u| is_fresh(&u));
    usable.filter(move |u| {
        is_fresh(u) || (!has_fresh && (is_last_chance || u.health.is_known_up(now)))
    })
}
