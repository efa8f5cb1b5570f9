//! What a pool does when an entry host or the pool's former owner is gone.

use std::time::Instant;

use crate::prelude::*;
use crate::process::message::{Adopt, PlaceReply, RunningAttempt};
use crate::process::pool::reservation::{Past, upstream_ids};
use crate::process::pool::{AttemptKey, Pool, PoolAction};
use crate::process::recovery::Announcements;

impl Pool {
    /// Ends everything of an entry host whose process is gone, at the engines too.
    pub fn host_down(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<PoolAction> {
        self.gone.push((now, host.clone(), incarnation));
        self.announcements.remove(&(host.clone(), incarnation));
        let mut actions = Vec::new();
        let theirs = self.attempts.of_process(&(host.clone(), incarnation));
        // What waits goes first: a request that is left without any other attempt is cancelled whole.
        let (waiting, held): (Vec<_>, Vec<_>) = theirs
            .into_iter()
            .partition(|key| self.queue.contains(*key));
        for key in waiting {
            actions.extend(self.withdraw(key, now));
        }
        for key in held {
            actions.extend(self.end_at_engines(key, now));
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Places nothing for a while, because a former owner may have placed what is not known here yet.
    pub fn start_settling(&mut self, now: Instant) {
        self.settled = Some(now + self.settings.settle_time);
    }

    /// Takes over a former owner's placements, or a part of them. Each ends unless it is adopted in time.
    pub fn take_over(
        &mut self,
        attempts: impl IntoIterator<Item = RunningAttempt>,
        now: Instant,
    ) -> Vec<PoolAction> {
        for running in attempts {
            let key = running.key();
            if self.knows(key) {
                continue;
            }
            let of = running.process();
            let is_announcing = self.is_announcing(&of);
            // The engines may still hold memory for the attempts of a host that is gone, so these are held
            // until the tick below cancels them.
            let ends = if self.is_gone(&of.0, of.1) {
                now
            } else {
                now + self.settings.adoption_timeout
            };
            self.attempts.insert(key, of);
            self.hold(running, Some(ends), None, now);
            if is_announcing {
                self.suspend_end(key);
            }
        }
        self.tick(now)
    }

    /// Takes over attempts that an entry host says are running.
    ///
    /// While parts of its list are missing, none of its attempts ends for want of adoption: a missing part may
    /// hold it. The attempts' own deadlines still apply.
    pub fn adopt(&mut self, adopt: &Adopt, now: Instant) -> Vec<PoolAction> {
        let of = (adopt.host.clone(), adopt.part.sender);
        if self.is_gone(&of.0, of.1) {
            return self.tick(now);
        }
        for running in &adopt.attempts {
            let key = running.key();
            if let Some(held) = self.reservations.get_mut(&key) {
                held.awaits_adoption = false;
                self.suspend_end(key);
            } else if !self.knows(key) {
                self.attempts.insert(key, of.clone());
                self.hold(running.clone(), None, None, now);
            }
        }
        let was_announcing = self.is_announcing(&of);
        let lists = self.announcements.entry(of.clone()).or_default();
        lists.take(&adopt.part);
        let is_announcing = lists.has_missing_parts();
        if is_announcing != was_announcing {
            let ends = now + self.settings.adoption_timeout;
            for key in self.awaiting_adoption(&of) {
                if is_announcing {
                    self.suspend_end(key);
                } else {
                    self.set_end(key, ends);
                }
            }
        }
        self.tick(now)
    }

    /// Lets a reservation last until its deadline.
    fn suspend_end(&mut self, key: AttemptKey) {
        if let Some(deadline) = self.reservations.get(&key).map(|held| held.deadline) {
            self.set_end(key, deadline);
        }
    }

    /// Tells whether parts of an entry host's announced list are missing.
    fn is_announcing(&self, of: &(HostId, Incarnation)) -> bool {
        self.announcements
            .get(of)
            .is_some_and(Announcements::has_missing_parts)
    }

    fn awaiting_adoption(&self, of: &(HostId, Incarnation)) -> Vec<AttemptKey> {
        let mut keys = self.attempts.of_process(of);
        keys.retain(|key| {
            let held = self.reservations.get(key);
            held.is_some_and(|held| held.awaits_adoption)
        });
        keys
    }

    /// Gives the pool up to another owner: everyone who waits is told to ask there. Placed attempts go on.
    pub fn step_down(&mut self) -> Vec<PoolAction> {
        let waiting = self.queue.keys_matching(|_| true).into_iter();
        let actions = waiting.map(|key| {
            self.leave_queue(key);
            let reply = PlaceReply::NotOwner;
            PoolAction::Reply { key, reply }
        });
        actions.collect()
    }

    /// Frees an attempt and returns the order to cancel it at its engines.
    pub(super) fn end_at_engines(&mut self, key: AttemptKey, now: Instant) -> Option<PoolAction> {
        let ids: Vec<_> = upstream_ids(&self.reservations.get(&key)?.running.placement)
            .cloned()
            .collect();
        let engines = ids.iter().filter_map(|id| self.upstreams.get(id));
        let engines = engines.map(|u| u.config.clone()).collect();
        self.free(key, now)?;
        // A resumed stream runs under a higher number than it was placed with, so all of them are
        // cancelled, unless a later attempt of the request may live on the same engine.
        let (request, attempt) = key;
        let is_last = !self.attempts.has_request(request);
        Some(PoolAction::Cancel {
            request,
            attempt: if is_last { AttemptNo::MAX } else { attempt },
            engines,
        })
    }

    /// Tells whether a process is gone.
    pub(super) fn is_gone(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.gone
            .iter()
            .any(|(_, gone, process)| (gone, *process) == (host, incarnation))
    }

    fn knows(&self, key: AttemptKey) -> bool {
        self.reservations.contains_key(&key)
            || self.queue.contains(key)
            || matches!(self.past.get(&key), Some((_, Past::Withdrawn)))
    }
}
