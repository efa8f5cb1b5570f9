//! The state machine of one pool, the upstreams of a data centre that serve one model or plain service: its queue,
//! reservations, and the load, health and cache index of each upstream.
//!
//! It does no I/O and reads no clock: each method takes an event and the current `Instant` and returns the actions that
//! the caller has to perform.

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
use crate::process::pool::changes::PendingChanges;
use crate::process::pool::dump::RecentPlacements;
use crate::process::pool::outage::Outage;
use crate::process::pool::queue::{FairQueue, QueuedRequest, token_cost};
use crate::process::pool::reservation::{Reservation, Tombstone, upstream_ids};
use crate::process::pool::settings::PlacementSettings;
use crate::process::pool::upstream::UpstreamState;
use crate::process::recovery::Announcements;
use crate::request::engine::{CacheEvents, EngineLoad};
use crate::version::compiled::Upstream;

/// Identifies an attempt of a request.
pub type AttemptKey = (RequestId, AttemptNo);

/// Returns the key of the attempt that a place request is for.
pub fn attempt_key(req: &PlaceRequest) -> AttemptKey {
    (req.request, req.attempt)
}

/// An action that the caller of a pool has to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum PoolAction {
    /// Send the reply to everyone who waits for a placement of this attempt.
    Reply {
        /// The attempt that was placed or refused.
        key: AttemptKey,
        /// The reply, the same for all waiters.
        reply: PlaceReply,
    },
    /// Cancel attempts of a request at its engines.
    Cancel {
        /// The request whose attempts are cancelled.
        request: RequestId,
        /// The newest attempt to cancel; earlier ones are cancelled too.
        attempt: AttemptNo,
        /// The engines that may hold memory for the request.
        engines: Vec<Arc<Upstream>>,
    },
}

/// The state of one pool, kept by the host that owns it.
pub struct Pool {
    id: PoolId,
    settings: PlacementSettings,
    policy: Arc<dyn Policy>,
    upstreams: BTreeMap<UpstreamId, UpstreamState>,
    queue: FairQueue,
    reservations: HashMap<AttemptKey, Reservation>,
    /// The attempts that wait or hold a slot.
    attempts: AttemptIndex,
    /// The times at which waiting attempts are refused and placed ones are ended.
    timers: BTreeSet<(Instant, AttemptKey)>,
    tombstones: HashMap<AttemptKey, (Instant, Tombstone)>,
    /// The tombstones to remove, oldest first. An attempt whose tombstone was replaced is listed twice.
    tombstone_order: VecDeque<(Instant, AttemptKey)>,
    /// Entry-host processes that are gone; place requests of theirs that arrive late are refused.
    gone_processes: Vec<(Instant, HostId, Incarnation)>,
    /// The time until which nothing is placed, see [`Pool::start_settling`].
    settling_until: Option<Instant>,
    /// The earliest time at which a waiting request may become placeable without any event.
    unblocked_at: Option<Instant>,
    outage: Outage,
    /// The seconds for which a slot is held per token, as an exponential moving average; 0 until an attempt finishes.
    hold_secs_per_token: f64,
    changes: PendingChanges,
    /// The announced lists of running attempts, by entry host and incarnation.
    announcements: HashMap<(HostId, Incarnation), Announcements>,
    /// The latest placements, for the dump.
    recent: RecentPlacements,
}

impl Pool {
    /// Creates a pool without upstreams.
    pub fn new(id: PoolId, settings: PlacementSettings, policy: Arc<dyn Policy>) -> Self {
        Self {
            changes: PendingChanges::default(),
            announcements: HashMap::new(),
            id,
            settings,
            policy,
            upstreams: BTreeMap::new(),
            queue: FairQueue::default(),
            reservations: HashMap::new(),
            attempts: AttemptIndex::default(),
            timers: BTreeSet::new(),
            tombstones: HashMap::new(),
            tombstone_order: VecDeque::new(),
            gone_processes: Vec::new(),
            settling_until: None,
            unblocked_at: None,
            outage: Outage::default(),
            hold_secs_per_token: 0.0,
            recent: RecentPlacements::default(),
        }
    }

    /// Returns the data centre and the model that identify the pool.
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

    /// Returns the state of all upstreams, including those that are leaving.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams.values()
    }

    /// Returns a copy of the attempts that hold a slot.
    pub fn running(&self) -> Vec<RunningAttempt> {
        let reservations = self.reservations.values();
        reservations.map(|r| r.running.clone()).collect()
    }

    /// Applies the upstreams of a configuration, each with a flag that says whether it is leaving. Removed upstreams
    /// get no new work and are dropped once their last attempt ends.
    pub fn set_upstreams(
        &mut self,
        configured: impl IntoIterator<Item = (Arc<Upstream>, bool)>,
        now: Instant,
    ) -> Vec<PoolAction> {
        for state in self.upstreams.values_mut() {
            state.leaving = true;
        }
        for (config, leaving) in configured {
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

    /// Handles a place request. The answer is a `PoolAction::Reply`, returned by this call or by a later one.
    pub fn place(&mut self, req: PlaceRequest, now: Instant) -> Vec<PoolAction> {
        let mut actions = self.tick(now);
        let key = attempt_key(&req);
        let reply = |reply| PoolAction::Reply { key, reply };
        if let Some(reservation) = self.reservations.get(&key) {
            actions.push(reply(PlaceReply::Placed(
                reservation.running.placement.clone(),
            )));
            return actions;
        }
        if self.queue.contains(key) {
            return actions;
        }
        match self.tombstones.get(&key).map(|(_, tombstone)| tombstone) {
            Some(Tombstone::Ended) => {
                actions.push(reply(PlaceReply::Withdrawn));
                return actions;
            }
            Some(Tombstone::Refused(late, refused)) if *late == req.late => {
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
            // Leaves no tombstone: an upstream may come back before the request is repeated.
            actions.push(reply(PlaceReply::NoUpstream));
            return actions;
        }
        let due = now + req.deadline;
        let service_time = self.min_time_to_first_token(req.prompt_tokens);
        let expected_wait = self.expected_wait(&req, now);
        let scaled_wait = expected_wait.div_f64(self.settings.refuse_factor);
        let would_be_late =
            req.late == LatePolicy::Refuse && scaled_wait + service_time > req.deadline;
        if would_be_late || (self.is_long_outage(now) && outage::is_refused_in_outage(&req)) {
            let refused = PlaceReply::Busy { expected_wait };
            self.add_tombstone(key, Tombstone::Refused(req.late, refused.clone()), now);
            actions.push(reply(refused));
            return actions;
        }
        let latest = now + req.max_wait;
        let refuse_at = match req.late {
            LatePolicy::Wait => latest,
            LatePolicy::Refuse => latest.min(due.checked_sub(service_time).unwrap_or(now)),
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

    /// Handles the end of an attempt: frees what it holds and updates the health of its upstreams.
    pub fn release(&mut self, release: &Release, now: Instant) -> Vec<PoolAction> {
        let key = (release.request, release.attempt);
        let mut actions = self.withdraw(key, now);
        let Some(reservation) = self.free_reservation(key, now) else {
            self.record_failure(&release.outcome, None, now);
            return actions;
        };
        let finished = matches!(release.outcome, ReleaseOutcome::Finished { .. });
        if finished {
            let seconds = now
                .saturating_duration_since(reservation.held_since)
                .as_secs_f64();
            let running = &reservation.running;
            let per_token = seconds / token_cost(running.prompt_tokens, running.max_tokens) as f64;
            self.hold_secs_per_token = if self.hold_secs_per_token > 0.0 {
                0.9 * self.hold_secs_per_token + 0.1 * per_token
            } else {
                per_token
            };
        }
        self.record_failure(&release.outcome, Some(key), now);
        for id in upstream_ids(&reservation.running.placement) {
            if let Some(state) = self.upstreams.get_mut(id) {
                state.health.record_end(key, finished);
            }
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Withdraws a place request, whether it waits, is placed or has not arrived yet. Frees what it holds; the entry
    /// host itself cancels the attempt at the engines.
    pub fn cancel(&mut self, cancel: &CancelPlace, now: Instant) -> Vec<PoolAction> {
        let release = Release {
            request: cancel.request,
            attempt: cancel.attempt,
            pool: cancel.pool.clone(),
            outcome: ReleaseOutcome::Cancelled,
        };
        self.release(&release, now)
    }

    /// Handles a load report of an upstream.
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

    /// Applies cache events of an engine to its cache index.
    pub fn report_cache(&mut self, upstream: &UpstreamId, events: &CacheEvents) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.cache.apply(events);
        }
    }

    /// Records that a load report could not be read because the upstream is unreachable.
    pub fn report_unreachable(&mut self, upstream: &UpstreamId, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.health.record_unreachable(now);
        }
        self.update_outage(now);
    }

    /// Records an answer that is not a load report, but shows that the upstream is reachable.
    pub fn report_reachable(&mut self, upstream: &UpstreamId, now: Instant) -> Vec<PoolAction> {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.health.record_answer(now, now);
        }
        self.dispatch(now)
    }

    /// Refuses or ends the attempts whose timers have passed, and places the requests that have become placeable.
    pub fn tick(&mut self, now: Instant) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        while let Some((_, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.expire(key, now, &mut actions);
        }
        self.update_outage(now);
        self.refuse_in_outage(now, &mut actions);
        let forget_until = now.checked_sub(self.settings.tombstone_ttl);
        while let Some((at, key)) = self.tombstone_order.front().copied()
            && forget_until.is_some_and(|until| at <= until)
        {
            self.tombstone_order.pop_front();
            if self
                .tombstones
                .get(&key)
                .is_some_and(|(last, _)| *last <= at)
            {
                self.tombstones.remove(&key);
            }
        }
        self.gone_processes
            .retain(|(at, ..)| forget_until.is_none_or(|until| *at > until));
        actions.extend(self.dispatch(now));
        actions
    }

    /// Returns the time at which `tick` has to be called next; `None` if there is nothing to wait for.
    pub fn next_timer(&self) -> Option<Instant> {
        let first = self.timers.first().map(|(at, _)| *at);
        let unblocked_at = self.unblocked_at.filter(|_| !self.queue.is_empty());
        let outage = self.outage.refuse_at().filter(|_| !self.queue.is_empty());
        first.into_iter().chain(unblocked_at).chain(outage).min()
    }

    /// Returns the changes since the last call, to be copied to the standby; `None` if there are none.
    pub fn take_changes(&mut self) -> Option<Inflight> {
        self.changes.take(&self.id)
    }

    /// Refuses a waiting attempt, or ends a placed one.
    fn expire(&mut self, key: AttemptKey, now: Instant, actions: &mut Vec<PoolAction>) {
        if let Some(waiting) = self.dequeue(key) {
            let refused = PlaceReply::Busy {
                expected_wait: self.expected_wait(&waiting.req, now),
            };
            let tombstone = Tombstone::Refused(waiting.req.late, refused.clone());
            self.add_tombstone(key, tombstone, now);
            actions.push(PoolAction::Reply {
                key,
                reply: refused,
            });
        } else if let Some(action) = self.end_and_cancel(key, now) {
            actions.push(action);
        }
    }

    /// Leaves a tombstone, so that a late place request is not queued; removes the attempt from the queue if it waits.
    fn withdraw(&mut self, key: AttemptKey, now: Instant) -> Vec<PoolAction> {
        self.add_tombstone(key, Tombstone::Ended, now);
        if self.dequeue(key).is_none() {
            return Vec::new();
        }
        let reply = PlaceReply::Withdrawn;
        vec![PoolAction::Reply { key, reply }]
    }

    /// Removes an attempt that will not start from the queue, with its timer and index entry.
    pub(super) fn dequeue(&mut self, key: AttemptKey) -> Option<QueuedRequest> {
        let waiting = self.queue.remove(key)?;
        self.timers.remove(&(waiting.refuse_at, key));
        self.attempts.remove(key, &waiting.req.process());
        Some(waiting)
    }
}
