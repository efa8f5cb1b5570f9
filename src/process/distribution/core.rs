//! Decides what a host does with what it hears about the configuration. Holds no socket and reads no clock.

pub mod fetch;

use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::distribution::catch_up::CatchUp;
use crate::process::distribution::core::fetch::Fetching;
use crate::process::distribution::document::HeldDocument;
use crate::process::distribution::error::DistributionError;
use crate::process::distribution::event::{Action, Fact};
use crate::process::distribution::freshness::Confirmation;
use crate::process::distribution::route::{relay_targets, watchers};
use crate::process::message::{ConfigDelta, FetchSections, Head, Member, SectionText};
use crate::version::repository::SectionTexts;

/// The state of a host's configuration.
#[derive(Debug)]
pub struct DistributionCore {
    me: Member,
    live: Vec<Member>,
    document: HeldDocument,
    confirmed: Option<Confirmation>,
    /// When the version in force was learnt.
    advanced: Option<Instant>,
    fetching: Option<Fetching>,
    /// The last host that pushed a change which can't be applied, while a fetch was under way.
    missed: Option<HostId>,
    /// The last version whose texts in the store were refused; they are not read again at once.
    refused: Option<Version>,
    /// A newer head from the store whose texts are not all there yet.
    catch_up: Option<CatchUp>,
    watching: bool,
}

impl DistributionCore {
    /// Creates the state of a host that knows no version.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            live: Vec::new(),
            document: HeldDocument::default(),
            confirmed: None,
            advanced: None,
            fetching: None,
            missed: None,
            refused: None,
            catch_up: None,
            watching: false,
        }
    }

    /// Returns the document in force.
    pub fn document(&self) -> &HeldDocument {
        &self.document
    }

    /// Tells whether this host is to hold a watch.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Answers a peer's question.
    pub fn answer(&self, question: &FetchSections, now: Instant) -> ConfigDelta {
        let age = self.confirmed.map(|confirmed| confirmed.age_at(now));
        self.document.changes(question, age)
    }

    /// Decides on a fact.
    pub fn handle(&mut self, fact: Fact, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match fact {
            Fact::Members(live) => self.set_members(live, now, &mut actions),
            Fact::PollDue => actions.push(Action::ReadHead),
            Fact::StoreHead { asked, head } => self.hear_head(asked, head, now, &mut actions),
            Fact::StoreUnchanged { asked, version } => {
                if version == self.version() {
                    self.confirm(asked, Duration::ZERO, &mut actions);
                } else if version > self.version() && self.refused != Some(version) {
                    // The texts of that version could not be read before.
                    actions.push(Action::ReadHead);
                }
            }
            Fact::StoreTexts { asked, head, texts } => {
                if let Some(catch_up) = &mut self.catch_up {
                    catch_up.end_read(head.version);
                }
                self.hear_texts(asked, &head, &texts, now, &mut actions);
            }
            Fact::StoreFailed => self.ask_without_store(&mut actions),
            Fact::TextsFailed { version } => {
                if let Some(catch_up) = &mut self.catch_up {
                    catch_up.end_read(version);
                }
                self.ask_without_store(&mut actions);
            }
            Fact::StoreUnusable(cause) => {
                actions.push(Action::Reject(DistributionError::Unusable { cause }));
            }
            Fact::Pushed { from, delta } => self.hear_push(&from, &delta, now, &mut actions),
            Fact::Fetched { from, asked, delta } => {
                self.hear_part(&from, asked, delta, now, &mut actions);
            }
            Fact::FetchFailed { from } => {
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
        // A host that starts may hear of the head before it hears of its peers.
        if was_alone
            && self.live.len() > 1
            && let Some(catch_up) = &mut self.catch_up
        {
            catch_up.renew_round();
            self.pursue(now, actions);
        }
    }

    /// Checks the number and digest of an offered version; `None` if it is newer than the one in force, `Some(true)`
    /// if it is the one in force.
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

    fn hear_head(&mut self, asked: Instant, head: Head, now: Instant, actions: &mut Vec<Action>) {
        // A slow answer may be older than a version that a peer brought in the meantime.
        if head.version < self.version() && self.advanced.is_some_and(|at| asked < at) {
            return;
        }
        match self.compare(head.version, &head.digest(), None, actions) {
            None => {
                let in_force = self.document.texts();
                match &mut self.catch_up {
                    Some(catch_up) => catch_up.hear_head(asked, head, in_force),
                    None => self.catch_up = Some(CatchUp::new(asked, head, in_force, now)),
                }
                if self.fetching.is_none()
                    && let Some(catch_up) = &mut self.catch_up
                {
                    catch_up.renew_round();
                }
                self.pursue(now, actions);
            }
            Some(in_force) => {
                if in_force {
                    self.confirm(asked, Duration::ZERO, actions);
                }
            }
        }
    }

    fn hear_texts(
        &mut self,
        asked: Instant,
        head: &Head,
        texts: &SectionTexts,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        // A peer may have brought this version, or a newer one, while the texts were read.
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
            self.confirm(asked, Duration::ZERO, actions);
        } else {
            self.refused = Some(head.version);
        }
    }

    fn hear_push(
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
            self.ask_again(Some(from), actions);
        }
    }

    /// Puts a newer version in force and passes it on; tells whether it did.
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
                // A section may have been added here and removed again since the base; ask for the exact change.
                self.ask_again(from, actions);
                return false;
            }
            Err(error) => {
                actions.push(Action::Reject(error));
                return false;
            }
        };
        debug_assert!(base < self.version(), "version went back");
        // The confirmation known so far stays valid: a newer version was made after the store confirmed an older one
        // as the newest, so it holds every change up to that time.
        self.advanced = Some(now);
        actions.push(Action::PutInForce(Box::new(compiled)));
        self.end_catch_up(actions);
        let hosts = relay_targets(&self.me, &self.live, from);
        if !hosts.is_empty() {
            let delta = self.answer(&FetchSections { base, after: None }, now);
            actions.push(Action::Relay { hosts, delta });
        }
        true
    }

    /// Takes a confirmation of the version in force; tells whether it is newer than the one known.
    fn confirm(&mut self, asked: Instant, age: Duration, actions: &mut Vec<Action>) -> bool {
        let confirmation = Confirmation { asked, age };
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
