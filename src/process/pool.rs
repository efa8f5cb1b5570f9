//! One pool: its queue, slots, links, load, cache index and reservations.
//!
//! The pool reads no clock and performs nothing: it takes facts and an `Instant` and returns actions.

mod attempts;
pub mod cache;
mod changes;
mod choose;
pub mod dump;
pub mod health;
pub mod load;
mod outage;
pub mod queue;
mod recover;
mod reservation;
pub mod settings;
pub mod upstream;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use crate::prelude::*;
use crate::process::message::{
    CancelPlace, Inflight, LatePolicy, PlaceReply, PlaceRequest, PoolId, Release, ReleaseOutcome,
    RunningAttempt,
};
use crate::process::placement::Policy;
use crate::process::pool::attempts::AttemptIndex;
use crate::process::pool::changes::Changes;
use crate::process::pool::dump::RecentPlacements;
use crate::process::pool::outage::Outage;
use crate::process::pool::queue::{FairQueue, QueuedRequest, token_cost};
use crate::process::pool::reservation::{Past, Reservation, upstream_ids};
use crate::process::pool::settings::PlacementSettings;
use crate::process::pool::upstream::UpstreamState;
use crate::process::recovery::Announcements;
use crate::request::engine::{CacheEvents, EngineLoad};
use crate::version::compiled::Upstream;

/// An attempt of a request.
pub type AttemptKey = (RequestId, AttemptNo);

/// Returns the attempt that a place request is for.
pub fn attempt_key(req: &PlaceRequest) -> AttemptKey {
    (req.request, req.attempt)
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PoolAction {
    /// Answer everyone who asks for this attempt.
    Reply {
        /// The attempt.
        key: AttemptKey,
        /// The answer.
        reply: PlaceReply,
    },
    /// Cancel at engines.
    Cancel {
        /// The request.
        request: RequestId,
        /// The newest attempt to cancel.
        attempt: AttemptNo,
        /// The engines that may hold memory for it.
        engines: Vec<Arc<Upstream>>,
    },
}

/// The state of one pool at its owner.
pub struct Pool {
    id: PoolId,
    settings: PlacementSettings,
    policy: Arc<dyn Policy>,
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    queue: FairQueue,
    reservations: HashMap<AttemptKey, Reservation>,
    /// Whatever waits or holds a slot.
    attempts: AttemptIndex,
    /// The time at which each waiting or placed attempt is refused or ended.
    timers: BTreeSet<(Instant, AttemptKey)>,
    past: HashMap<AttemptKey, (Instant, Past)>,
    /// What is to be forgotten, in order of time; an attempt that was remembered again stands here twice.
    past_order: VecDeque<(Instant, AttemptKey)>,
    /// Processes that are gone, whose late questions are refused.
    gone: Vec<(Instant, HostId, Incarnation)>,
    /// The time until which nothing is placed.
    settled: Option<Instant>,
    /// The time at which waiting requests may become placeable without any event.
    unblocked: Option<Instant>,
    outage: Outage,
    /// The seconds for which a slot is held for each token, as a moving average.
    hold_per_token: f64,
    changes: Changes,
    /// What entry hosts announce, by host and incarnation.
    announcements: HashMap<(HostId, Incarnation), Announcements>,
    /// The latest placements, for the dump.
    recent: RecentPlacements,
}

impl Pool {
    /// Creates a pool without upstreams.
    pub fn new(id: PoolId, settings: PlacementSettings, policy: Arc<dyn Policy>) -> Self {
        Self {
            changes: Changes::default(),
            announcements: HashMap::new(),
            id,
            settings,
            policy,
            upstreams: BTreeMap::new(),
            queue: FairQueue::default(),
            reservations: HashMap::new(),
            attempts: AttemptIndex::default(),
            timers: BTreeSet::new(),
            past: HashMap::new(),
            past_order: VecDeque::new(),
            gone: Vec::new(),
            settled: None,
            unblocked: None,
            outage: Outage::default(),
            hold_per_token: 0.0,
            recent: RecentPlacements::default(),
        }
    }

    /// Returns the pool's id.
    pub fn id(&self) -> &PoolId {
        &self.id
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of attempts that hold a slot.
    pub fn placed(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the upstreams, for polling and the dump.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.values()
    }

    /// Returns the attempts that hold a slot.
    pub fn running(&self) -> Vec<RunningAttempt> {
        let held = self.reservations.values();
        held.map(|r| r.running.clone()).collect()
    }

    /// Takes the upstreams of a configuration, each with whether it is leaving. Removed ones finish their work.
    pub fn set_upstreams(
        &mut self,
        members: impl IntoIterator<Item = (Arc<Upstream>, bool)>,
        now: Instant,
    ) -> Vec<PoolAction> {
        for state in self.upstreams.values_mut() {
            state.leaving = true;
        }
        for (config, leaving) in members {
            let state = self
                .upstreams
                .entry(config.id.clone())
                .or_insert_with(|| UpstreamState::new(config.clone()));
            state.config = config;
            state.leaving = leaving;
        }
        self.upstreams.retain(|_, u| !u.leaving || u.held > 0);
        self.dispatch(now)
    }

    /// Takes a question for upstreams. The answer comes as a `Reply`, at once or later.
    pub fn place(&mut self, req: PlaceRequest, now: Instant) -> Vec<PoolAction> {
        let mut actions = self.tick(now);
        let key = attempt_key(&req);
        let reply = |reply| PoolAction::Reply { key, reply };
        if let Some(held) = self.reservations.get(&key) {
            actions.push(reply(PlaceReply::Placed(held.running.placement.clone())));
            return actions;
        }
        if self.queue.contains(key) {
            return actions;
        }
        match self.past.get(&key).map(|(_, past)| past) {
            Some(Past::Withdrawn) => {
                actions.push(reply(PlaceReply::Withdrawn));
                return actions;
            }
            Some(Past::Refused(late, refused)) if *late == req.late => {
                actions.push(reply(refused.clone()));
                return actions;
            }
            _ => {}
        }
        if self.is_gone(&req.host, req.incarnation) {
            actions.push(reply(PlaceReply::Withdrawn));
            return actions;
        }
        if !self.can_serve() {
            // Not remembered: an upstream may come back before the question is repeated.
            actions.push(reply(PlaceReply::NoUpstream));
            return actions;
        }
        let due = now + req.deadline;
        let service = self.fastest(req.prompt_tokens);
        let expected_wait = self.expected_wait(&req, now);
        let likely = expected_wait.div_f64(self.settings.refuse_factor);
        let is_late = req.late == LatePolicy::Refuse && likely + service > req.deadline;
        if is_late || (self.is_outage_long(now) && outage::is_told_soon(&req)) {
            let refused = PlaceReply::Busy { expected_wait };
            self.remember(key, Past::Refused(req.late, refused.clone()), now);
            actions.push(reply(refused));
            return actions;
        }
        let longest = now + req.max_wait;
        let refuse_at = match req.late {
            LatePolicy::Wait => longest,
            LatePolicy::Refuse => longest.min(due.checked_sub(service).unwrap_or(now)),
        };
        self.timers.insert((refuse_at, key));
        self.attempts.insert(attempt_key(&req), req.process());
        self.queue.push(QueuedRequest {
            req,
            queued_at: now,
            due,
            refuse_at,
        });
        actions.extend(self.dispatch(now));
        actions
    }

    /// Takes the end of an attempt.
    pub fn release(&mut self, release: &Release, now: Instant) -> Vec<PoolAction> {
        let key = (release.request, release.attempt);
        let mut actions = self.withdraw(key, now);
        let Some(held) = self.free(key, now) else {
            self.note_failure(&release.outcome, None, now);
            return actions;
        };
        let finished = matches!(release.outcome, ReleaseOutcome::Finished { .. });
        if finished {
            let seconds = now.saturating_duration_since(held.since).as_secs_f64();
            let running = &held.running;
            let per_token = seconds / token_cost(running.prompt_tokens, running.max_tokens) as f64;
            self.hold_per_token = if self.hold_per_token > 0.0 {
                0.9 * self.hold_per_token + 0.1 * per_token
            } else {
                per_token
            };
        }
        self.note_failure(&release.outcome, Some(key), now);
        for id in upstream_ids(&held.running.placement) {
            if let Some(state) = self.upstreams.get_mut(id) {
                state.health.record_end(key, finished);
            }
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Withdraws a question in whatever state it is, seen or not. What it held is freed; the entry host
    /// itself cancels at the engines.
    pub fn cancel(&mut self, cancel: &CancelPlace, now: Instant) -> Vec<PoolAction> {
        let release = Release {
            request: cancel.request,
            attempt: cancel.attempt,
            pool: cancel.pool.clone(),
            outcome: ReleaseOutcome::Cancelled,
        };
        self.release(&release, now)
    }

    /// Takes a load report.
    pub fn report_load(
        &mut self,
        upstream: &UpstreamId,
        load: &EngineLoad,
        now: Instant,
    ) -> Vec<PoolAction> {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.load.record_report(load, now);
            state
                .health
                .record_answer(now.checked_sub(load.age).unwrap_or(now), now);
        }
        self.dispatch(now)
    }

    /// Takes cache events.
    pub fn report_cache(&mut self, upstream: &UpstreamId, events: &CacheEvents) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.cache.apply(events);
        }
    }

    /// Takes a load report that could not be read because the upstream is unreachable.
    pub fn report_unreachable(&mut self, upstream: &UpstreamId, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.health.record_unreachable(now);
        }
        self.follow_outage(now);
    }

    /// Takes an answer that is no load report, but shows that the upstream is reachable.
    pub fn report_reachable(&mut self, upstream: &UpstreamId, now: Instant) -> Vec<PoolAction> {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.health.record_answer(now, now);
        }
        self.dispatch(now)
    }

    /// Ends what is due and places what has become placeable.
    pub fn tick(&mut self, now: Instant) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        while let Some((_, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.expire(key, now, &mut actions);
        }
        self.follow_outage(now);
        self.end_outage_wait(now, &mut actions);
        let forget = now.checked_sub(self.settings.tombstone_ttl);
        while let Some((at, key)) = self.past_order.front().copied()
            && forget.is_some_and(|forget| at <= forget)
        {
            self.past_order.pop_front();
            if self.past.get(&key).is_some_and(|(last, _)| *last <= at) {
                self.past.remove(&key);
            }
        }
        self.gone
            .retain(|(at, ..)| forget.is_none_or(|forget| *at > forget));
        actions.extend(self.dispatch(now));
        actions
    }

    /// Returns the time at which `tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        let first = self.timers.first().map(|(at, _)| *at);
        let unblocked = self.unblocked.filter(|_| !self.queue.is_empty());
        let outage = self.outage.timer().filter(|_| !self.queue.is_empty());
        first.into_iter().chain(unblocked).chain(outage).min()
    }

    /// Takes the changes since the last call, for the standby; `None` if there are none.
    pub fn take_changes(&mut self) -> Option<Inflight> {
        self.changes.take(&self.id)
    }

    /// Refuses or ends the attempt whose timer has passed.
    fn expire(&mut self, key: AttemptKey, now: Instant, actions: &mut Vec<PoolAction>) {
        if let Some(waiting) = self.leave_queue(key) {
            let refused = PlaceReply::Busy {
                expected_wait: self.expected_wait(&waiting.req, now),
            };
            let past = Past::Refused(waiting.req.late, refused.clone());
            self.remember(key, past, now);
            actions.push(PoolAction::Reply {
                key,
                reply: refused,
            });
        } else if let Some(action) = self.end_at_engines(key, now) {
            actions.push(action);
        }
    }

    /// Removes a waiting attempt, if it waits, and remembers that it was withdrawn.
    fn withdraw(&mut self, key: AttemptKey, now: Instant) -> Vec<PoolAction> {
        self.remember(key, Past::Withdrawn, now);
        if self.leave_queue(key).is_none() {
            return Vec::new();
        }
        let reply = PlaceReply::Withdrawn;
        vec![PoolAction::Reply { key, reply }]
    }

    /// Removes an attempt from the queue that will not start.
    pub(super) fn leave_queue(&mut self, key: AttemptKey) -> Option<QueuedRequest> {
        let waiting = self.queue.remove(key)?;
        self.timers.remove(&(waiting.refuse_at, key));
        self.attempts.remove(key, &waiting.req.process());
        Some(waiting)
    }
}
