//! Gets newer versions from peers, in parts, and from the store.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::distribution::catch_up::{CatchUp, Step};
use crate::process::distribution::core::DistributionCore;
use crate::process::distribution::error::DistributionError;
use crate::process::distribution::event::Action;
use crate::process::distribution::topology::{catch_up_order, fallback_order, store_read_delay};
use crate::process::message::{ConfigDelta, FetchSections};

/// The times that a fetch starts over because the other host's version changed between two parts.
const MAX_RESTARTS: u32 = 3;

/// A request to a peer that is under way.
#[derive(Debug)]
pub(super) struct OngoingFetch {
    host: HostId,
    /// The parts received so far, joined.
    parts: Option<ConfigDelta>,
    restarts: u32,
    /// The hosts to ask if this one doesn't answer with a confirmed version.
    pub(super) others: VecDeque<HostId>,
}

impl DistributionCore {
    /// Asks peers for the newest version, because the store failed to answer.
    pub(super) fn fetch_without_store(&mut self, actions: &mut Vec<Action>) {
        if self.fetching.is_none() {
            let order = fallback_order(&self.me, &self.live);
            self.fetch_from(order.into(), actions);
        }
    }

    /// Performs the next step of the catch-up, if one is under way.
    pub(super) fn continue_catch_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(catch_up) = &mut self.catch_up else {
            return;
        };
        let fetching = self.fetching.is_some();
        // Only a starting host waits for its turn. Few hosts lack many texts of a later version, and a host that waits
        // receives no relayed change.
        let turn = match self.document.head().version {
            0 => store_read_delay(&self.me, &self.live),
            _ => Duration::ZERO,
        };
        match catch_up.next_step(fetching, turn, now) {
            Step::Complete => {
                let (asked_at, head) = catch_up.head();
                let (head, texts) = (head.clone(), catch_up.texts());
                self.on_texts(asked_at, &head, &texts, now, actions);
            }
            Step::AskPeers => {
                catch_up.begin_round(now);
                let order = catch_up_order(&self.me, &self.live);
                self.fetch_next(order.into(), now, actions);
            }
            Step::ReadStore => {
                let (asked_at, head, have) = catch_up.begin_read();
                actions.push(Action::ReadTexts {
                    asked_at,
                    head,
                    have,
                });
            }
            Step::Wait => {}
        }
    }

    /// Asks a peer for the changes since the version in force, now or after the fetch under way.
    pub(super) fn fetch_missed(&mut self, from: Option<&HostId>, actions: &mut Vec<Action>) {
        self.missed_from = from.cloned().or(self.missed_from.take());
        if self.fetching.is_none() {
            self.fetch_from(VecDeque::new(), actions);
        }
    }

    pub(super) fn on_part(
        &mut self,
        from: &HostId,
        asked_at: Instant,
        delta: ConfigDelta,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut fetching) = self.take_fetching(from) else {
            return;
        };
        if let Some(catch_up) = &mut self.catch_up
            && catch_up.add_texts(&delta.changed)
        {
            self.continue_catch_up(now, actions);
            if delta.version <= self.version() {
                return self.fetch_from(VecDeque::new(), actions);
            }
        }
        let delta = match fetching.parts.take() {
            None => delta,
            Some(parts) if parts.version == delta.version && parts.base == delta.base => {
                let mut changed = parts.changed;
                changed.extend(delta.changed);
                ConfigDelta { changed, ..delta }
            }
            Some(_) if fetching.restarts < MAX_RESTARTS => {
                fetching.restarts += 1;
                actions.push(self.fetch_action(from, None));
                self.fetching = Some(fetching);
                return;
            }
            Some(_) => return self.fetch_next(fetching.others, now, actions),
        };
        if delta.next.is_some() {
            actions.push(self.fetch_action(from, delta.next.clone()));
            fetching.parts = Some(delta);
            self.fetching = Some(fetching);
            return;
        }
        let in_force = match self.compare(delta.version, &delta.result, Some(from), actions) {
            None if self.differs_from_store(&delta) => {
                let version = delta.version;
                actions.push(Action::Reject(DistributionError::Forked { version }));
                false
            }
            None => delta.base <= self.version() && self.advance(&delta, Some(from), now, actions),
            Some(same) => same,
        };
        let confirmed = match delta.age {
            Some(age) if in_force => self.confirm(asked_at, age, actions),
            _ => false,
        };
        let others = if confirmed {
            VecDeque::new()
        } else {
            fetching.others
        };
        self.fetch_next(others, now, actions);
    }

    /// Returns whether a peer's version has the number of the store's newer head but another content.
    pub(super) fn differs_from_store(&self, delta: &ConfigDelta) -> bool {
        self.catch_up.as_ref().is_some_and(|catch_up| {
            let (_, head) = catch_up.head();
            head.version == delta.version && head.digest() != delta.result
        })
    }

    /// Ends the catch-up once its head, or a newer one, is in force.
    pub(super) fn end_catch_up(&mut self, actions: &mut Vec<Action>) {
        let version = self.version();
        let done = self
            .catch_up
            .take_if(|catch_up| catch_up.head().1.version <= version);
        if let Some(catch_up) = done {
            let (asked_at, head) = catch_up.head();
            if *head == *self.document.head() {
                self.confirm(asked_at, Duration::ZERO, actions);
            }
        }
    }

    /// Asks the first of `hosts` unless the round is over, and continues the catch-up.
    pub(super) fn fetch_next(
        &mut self,
        hosts: VecDeque<HostId>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let is_over = |catch_up: &CatchUp| catch_up.is_round_over(now);
        let hosts = if self.catch_up.as_ref().is_some_and(is_over) {
            VecDeque::new()
        } else {
            hosts
        };
        self.fetch_from(hosts, actions);
        self.continue_catch_up(now, actions);
    }

    /// Asks the first of `hosts`, or if there is none, the last host whose change could not be applied.
    pub(super) fn fetch_from(&mut self, mut hosts: VecDeque<HostId>, actions: &mut Vec<Action>) {
        if self.fetching.is_some() {
            return;
        }
        let Some(host) = hosts.pop_front().or_else(|| self.missed_from.take()) else {
            return;
        };
        actions.push(self.fetch_action(&host, None));
        self.fetching = Some(OngoingFetch {
            host,
            parts: None,
            restarts: 0,
            others: hosts,
        });
    }

    pub(super) fn fetch_action(&self, host: &HostId, after: Option<TeamId>) -> Action {
        let base = self.version();
        Action::Fetch {
            host: host.clone(),
            request: FetchSections { base, after },
        }
    }

    pub(super) fn take_fetching(&mut self, from: &HostId) -> Option<OngoingFetch> {
        self.fetching.take_if(|fetching| fetching.host == *from)
    }
}
