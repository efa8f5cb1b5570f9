//! Recovery of a pool after the loss of an entry host or of the pool's former owner.

use std::time::Instant;

use crate::prelude::*;
use crate::process::message::{Adopt, PlaceReply, RunningAttempt};
use crate::process::pool::reservation::{Tombstone, upstream_ids};
use crate::process::pool::{AttemptKey, Pool, PoolAction};
use crate::process::recovery::Announcements;

impl Pool {
    /// Ends all attempts of an entry-host process that is gone, also at the engines.
    pub fn host_down(
        &mut self,
        host: &HostId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<PoolAction> {
        self.gone_processes.push((now, host.clone(), incarnation));
        self.announcements.remove(&(host.clone(), incarnation));
        let mut actions = Vec::new();
        let theirs = self.attempts.of_process(&(host.clone(), incarnation));
        // Waiting attempts are withdrawn first, so that a request that has no other attempt left is cancelled as a
        // whole.
        let (waiting, held): (Vec<_>, Vec<_>) = theirs
            .into_iter()
            .partition(|key| self.queue.contains(*key));
        for key in waiting {
            actions.extend(self.withdraw(key, now));
        }
        for key in held {
            actions.extend(self.end_and_cancel(key, now));
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Places nothing for `settle_time`, because a former owner may have placed attempts that are not known here yet.
    pub fn start_settling(&mut self, now: Instant) {
        self.settling_until = Some(now + self.settings.settle_time);
    }

    /// Takes over a former owner's placements, or a part of them. Each one ends after `adoption_timeout` unless its
    /// entry host adopts it.
    pub fn take_over(
        &mut self,
        attempts: impl IntoIterator<Item = RunningAttempt>,
        now: Instant,
    ) -> Vec<PoolAction> {
        for running in attempts {
            let key = running.key();
            if self.is_known(key) {
                continue;
            }
            let process = running.process();
            let is_announcing = self.is_announcing(&process);
            // The engines may still hold memory for the attempts of a host that is gone, so these are reserved
            // until the tick below cancels them.
            let ends_at = if self.is_gone(&process.0, process.1) {
                now
            } else {
                now + self.settings.adoption_timeout
            };
            self.attempts.insert(key, process);
            self.reserve(running, Some(ends_at), None, now);
            if is_announcing {
                self.extend_to_hold_deadline(key);
            }
        }
        self.tick(now)
    }

    /// Adopts the attempts that an entry host announces as running.
    ///
    /// While parts of its list are missing, the adoption timeout of its attempts is suspended: a missing part may
    /// contain them. Their hold deadlines still apply.
    pub fn adopt(&mut self, adopt: &Adopt, now: Instant) -> Vec<PoolAction> {
        let process = (adopt.host.clone(), adopt.part.sender);
        if self.is_gone(&process.0, process.1) {
            return self.tick(now);
        }
        for running in &adopt.attempts {
            let key = running.key();
            if let Some(reservation) = self.reservations.get_mut(&key) {
                reservation.awaits_adoption = false;
                self.extend_to_hold_deadline(key);
            } else if !self.is_known(key) {
                self.attempts.insert(key, process.clone());
                self.reserve(running.clone(), None, None, now);
            }
        }
        let was_announcing = self.is_announcing(&process);
        let lists = self.announcements.entry(process.clone()).or_default();
        lists.record(&adopt.part);
        let is_announcing = lists.has_missing_parts();
        if is_announcing != was_announcing {
            let ends_at = now + self.settings.adoption_timeout;
            for key in self.awaiting_adoption(&process) {
                if is_announcing {
                    self.extend_to_hold_deadline(key);
                } else {
                    self.set_end(key, ends_at);
                }
            }
        }
        self.tick(now)
    }

    /// Lifts the adoption timeout of a reservation, which then lasts until its hold deadline.
    fn extend_to_hold_deadline(&mut self, key: AttemptKey) {
        if let Some(hold_deadline) = self.reservations.get(&key).map(|r| r.hold_deadline) {
            self.set_end(key, hold_deadline);
        }
    }

    /// Returns whether parts of the announced list of an entry-host process are missing.
    fn is_announcing(&self, process: &(HostId, Incarnation)) -> bool {
        self.announcements
            .get(process)
            .is_some_and(Announcements::has_missing_parts)
    }

    fn awaiting_adoption(&self, process: &(HostId, Incarnation)) -> Vec<AttemptKey> {
        let mut keys = self.attempts.of_process(process);
        keys.retain(|key| {
            let reservation = self.reservations.get(key);
            reservation.is_some_and(|r| r.awaits_adoption)
        });
        keys
    }

    /// Gives up ownership of the pool: refuses waiting requests, so that they are repeated at the new owner. Placed
    /// attempts keep running.
    pub fn step_down(&mut self) -> Vec<PoolAction> {
        let waiting = self.queue.keys_matching(|_| true).into_iter();
        let actions = waiting.map(|key| {
            self.dequeue(key);
            let reply = PlaceReply::NotOwner;
            PoolAction::Reply { key, reply }
        });
        actions.collect()
    }

    /// Frees what an attempt holds, and returns the action that cancels it at its engines.
    pub(super) fn end_and_cancel(&mut self, key: AttemptKey, now: Instant) -> Option<PoolAction> {
        let ids: Vec<_> = upstream_ids(&self.reservations.get(&key)?.running.placement)
            .cloned()
            .collect();
        let engines = ids.iter().filter_map(|id| self.upstreams.get(id));
        let engines = engines.map(|u| u.config.clone()).collect();
        self.free_reservation(key, now)?;
        // A resumed stream runs under a higher attempt number than it was placed with, so all numbers are
        // cancelled, unless another attempt of the request may run on the same engine.
        let (request, attempt) = key;
        let is_last = !self.attempts.has_request(request);
        Some(PoolAction::Cancel {
            request,
            attempt: if is_last { AttemptNo::MAX } else { attempt },
            engines,
        })
    }

    /// Returns whether an entry-host process was reported gone within `tombstone_ttl`.
    pub(super) fn is_gone(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.gone_processes
            .iter()
            .any(|(_, gone, process)| (gone, *process) == (host, incarnation))
    }

    fn is_known(&self, key: AttemptKey) -> bool {
        self.reservations.contains_key(&key)
            || self.queue.contains(key)
            || matches!(self.tombstones.get(&key), Some((_, Tombstone::Ended)))
    }
}
