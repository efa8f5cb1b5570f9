//! Decides how a host reacts to events about the configuration. Does no I/O and reads no clock.

pub mod fetch;

use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::distribution::catch_up::CatchUp;
use crate::process::distribution::core::fetch::OngoingFetch;
use crate::process::distribution::document::HeldDocument;
use crate::process::distribution::error::DistributionError;
use crate::process::distribution::event::{Action, Event};
use crate::process::distribution::freshness::Confirmation;
use crate::process::distribution::topology::{relay_targets, watchers};
use crate::process::message::{ConfigDelta, FetchSections, Head, Member, SectionText};
use crate::version::repository::Texts;

/// A host's document, its confirmation, and the requests for a newer version.
#[derive(Debug)]
pub struct DistributionCore {
    me: Member,
    live: Vec<Member>,
    document: HeldDocument,
    confirmed: Option<Confirmation>,
    /// When the version in force was put in force.
    advanced_at: Option<Instant>,
    fetching: Option<OngoingFetch>,
    /// The last host that relayed a change which could not be applied; it is asked once no fetch is under way.
    missed_from: Option<HostId>,
    /// The last version whose texts from the store were refused; a watch without a change doesn't read them again.
    refused_version: Option<Version>,
    /// A newer head from the store of which texts are missing.
    catch_up: Option<CatchUp>,
    watching: bool,
}

impl DistributionCore {
    /// Creates the core of a host without a configuration, which is version 0.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            live: Vec::new(),
            document: HeldDocument::default(),
            confirmed: None,
            advanced_at: None,
            fetching: None,
            missed_from: None,
            refused_version: None,
            catch_up: None,
            watching: false,
        }
    }

    /// Returns the document in force.
    pub fn document(&self) -> &HeldDocument {
        &self.document
    }

    /// Returns whether this host is to watch the head.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Returns the part of the changes that a peer asks for.
    pub fn answer(&self, request: &FetchSections, now: Instant) -> ConfigDelta {
        let age = self.confirmed.map(|confirmed| confirmed.age_at(now));
        self.document.changes(request, age)
    }

    /// Handles an event; returns the actions to perform in this order.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Members(live) => self.set_members(live, now, &mut actions),
            Event::PollDue => actions.push(Action::ReadHead),
            Event::StoreHead { asked_at, head } => self.on_head(asked_at, head, now, &mut actions),
            Event::StoreUnchanged { asked_at, version } => {
                if version == self.version() {
                    self.confirm(asked_at, Duration::ZERO, &mut actions);
                } else if version > self.version() && self.refused_version != Some(version) {
                    // The texts of that version could not be read before.
                    actions.push(Action::ReadHead);
                }
            }
            Event::StoreTexts {
                asked_at,
                head,
                texts,
            } => {
                if let Some(catch_up) = &mut self.catch_up {
                    catch_up.end_read(head.version);
                }
                self.on_texts(asked_at, &head, &texts, now, &mut actions);
            }
            Event::StoreFailed => self.fetch_without_store(&mut actions),
            Event::TextsFailed { version } => {
                if let Some(catch_up) = &mut self.catch_up {
                    catch_up.end_read(version);
                }
                self.fetch_without_store(&mut actions);
            }
            Event::StoreUnusable(cause) => {
                actions.push(Action::Reject(DistributionError::Unusable { cause }));
            }
            Event::Pushed { from, delta } => self.on_push(&from, &delta, now, &mut actions),
            Event::Fetched {
                from,
                asked_at,
                delta,
            } => {
                self.on_part(&from, asked_at, delta, now, &mut actions);
            }
            Event::FetchFailed { from } => {
                if let Some(fetching) = self.take_fetching(&from) {
                    self.fetch_next(fetching.others, now, &mut actions);
                }
            }
        }
        actions
    }

    fn version(&self) -> Version {
        self.document.head().version
    }

    fn set_members(&mut self, live: Vec<Member>, now: Instant, actions: &mut Vec<Action>) {
        let watching = watchers(&live, &self.me.data_centre).contains(&self.me.host);
        let was_alone = self.live.len() <= 1;
        self.live = live;
        if watching != self.watching {
            self.watching = watching;
            actions.push(Action::Watch(watching));
        }
        // A starting host may receive the head before it knows its peers.
        if was_alone
            && self.live.len() > 1
            && let Some(catch_up) = &mut self.catch_up
        {
            catch_up.reset_round();
            self.continue_catch_up(now, actions);
        }
    }

    /// Compares an offered version with the one in force. Returns `None` if it is newer, `Some(true)` if it is the
    /// same, and `Some(false)` after refusing it because it is older or differs under the same number.
    fn compare(
        &self,
        version: Version,
        digest: &Digest,
        from: Option<&HostId>,
        actions: &mut Vec<Action>,
    ) -> Option<bool> {
        let known = self.version();
        if version > known {
            return None;
        }
        let error = if version < known {
            DistributionError::Older {
                known,
                offered: version,
                from: from.cloned(),
            }
        } else if *digest != self.document.head().digest() {
            DistributionError::Forked { version }
        } else {
            return Some(true);
        };
        actions.push(Action::Reject(error));
        Some(false)
    }

    fn on_head(&mut self, asked_at: Instant, head: Head, now: Instant, actions: &mut Vec<Action>) {
        // The store was asked before a peer sent the version in force, so its answer may be older.
        if head.version < self.version() && self.advanced_at.is_some_and(|at| asked_at < at) {
            return;
        }
        match self.compare(head.version, &head.digest(), None, actions) {
            None => {
                let in_force = self.document.texts();
                match &mut self.catch_up {
                    Some(catch_up) => catch_up.update_head(asked_at, head, in_force),
                    None => self.catch_up = Some(CatchUp::new(asked_at, head, in_force, now)),
                }
                if self.fetching.is_none()
                    && let Some(catch_up) = &mut self.catch_up
                {
                    catch_up.reset_round();
                }
                self.continue_catch_up(now, actions);
            }
            Some(in_force) => {
                if in_force {
                    self.confirm(asked_at, Duration::ZERO, actions);
                }
            }
        }
    }

    fn on_texts(
        &mut self,
        asked_at: Instant,
        head: &Head,
        texts: &Texts,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        // A peer may have sent this version, or a newer one, while the texts were read.
        if head.version < self.version() {
            return;
        }
        let changed = head.sections.iter().filter_map(|section| {
            let text = texts.get(&section.team)?.to_string();
            Some(SectionText {
                section: section.clone(),
                text,
            })
        });
        let whole = ConfigDelta {
            base: 0,
            version: head.version,
            changed: changed.collect(),
            removed: Vec::new(),
            next: None,
            result: head.digest(),
            age: Some(Duration::ZERO),
        };
        if head.version == self.version() || self.advance(&whole, None, now, actions) {
            self.confirm(asked_at, Duration::ZERO, actions);
        } else {
            self.refused_version = Some(head.version);
        }
    }

    fn on_push(
        &mut self,
        from: &HostId,
        delta: &ConfigDelta,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let (version, result) = (delta.version, &delta.result);
        if self.compare(version, result, Some(from), actions).is_some() {
            return;
        }
        if delta.base <= self.version() && delta.next.is_none() {
            self.advance(delta, Some(from), now, actions);
        } else {
            self.fetch_missed(Some(from), actions);
        }
    }

    /// Puts a newer version in force and relays it; returns whether it did.
    fn advance(
        &mut self,
        delta: &ConfigDelta,
        from: Option<&HostId>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let base = self.version();
        let compiled = match self.document.apply(delta) {
            Ok(compiled) => compiled,
            Err(DistributionError::WrongResult { .. }) if ![0, base].contains(&delta.base) => {
                // This host may have a section that was added and removed again after the base of the change. Asks for
                // the change since its own version instead.
                self.fetch_missed(from, actions);
                return false;
            }
            Err(error) => {
                actions.push(Action::Reject(error));
                return false;
            }
        };
        debug_assert!(base < self.version(), "version went back");
        // The known confirmation stays valid: a newer version was made after the store confirmed an older one as the
        // newest, so it contains every change up to that time.
        self.advanced_at = Some(now);
        actions.push(Action::PutInForce(Box::new(compiled)));
        self.end_catch_up(actions);
        let hosts = relay_targets(&self.me, &self.live, from);
        if !hosts.is_empty() {
            let delta = self.answer(&FetchSections { base, after: None }, now);
            actions.push(Action::Relay { hosts, delta });
        }
        true
    }

    /// Handles a confirmation of the version in force; returns whether it is newer than the known one.
    fn confirm(&mut self, asked_at: Instant, age: Duration, actions: &mut Vec<Action>) -> bool {
        let confirmation = Confirmation { asked_at, age };
        let newer = self
            .confirmed
            .is_none_or(|known| confirmation.is_newer_than(&known));
        if newer {
            self.confirmed = Some(confirmation);
            actions.push(Action::Confirm(confirmation));
        }
        newer
    }
}
