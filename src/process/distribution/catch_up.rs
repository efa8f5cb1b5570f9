//! A newer head from the store, and those of its texts that this host has by now. Holds no socket and reads no clock.
//!
//! At 4,000 customers the head names 416 texts. A host that lacks many of them asks peers first, and reads only what
//! they can't give from the store; else the start of 390 hosts would make 162,240 reads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::message::{Head, SectionRef, SectionText};
use crate::version::repository::SectionTexts;

/// The missing texts up to which a host reads them from the store without asking peers; with 390 hosts at once that
/// is less than a second of the store's 2,000 reads a second.
pub const DIRECT_READS: usize = 4;

/// The time after which no further peer is asked in a round; an unreachable one costs up to 2 s.
const ROUND_LIMIT: Duration = Duration::from_secs(4);

/// Texts with their references, by team.
pub type KnownTexts = BTreeMap<TeamId, (SectionRef, Arc<str>)>;

/// What to do next for a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// All texts are there.
    Complete,
    /// Peers are asked.
    AskPeers,
    /// The missing texts are read from the store.
    ReadStore,
    /// Nothing until the store or a peer is heard again.
    Wait,
}

/// A newer head from the store, and the texts of it that are known.
#[derive(Debug)]
pub struct CatchUp {
    /// When the store was asked for the head.
    asked: Instant,
    head: Head,
    /// When a newer head was first heard.
    since: Instant,
    texts: KnownTexts,
    /// When the current round of questions to peers began; `None` before it.
    round: Option<Instant>,
    /// Whether the store may be read; once for each time that it answers with a head, so that a failing read is not
    /// repeated without a pause.
    may_read: bool,
    /// The version whose texts are being read from the store.
    reading: Option<Version>,
}

impl CatchUp {
    /// Starts with a head that the store gave when asked at `asked`; `in_force` are the texts of the version in force.
    pub fn new(asked: Instant, head: Head, in_force: KnownTexts, now: Instant) -> Self {
        let mut this = Self {
            asked,
            head: Head::default(),
            since: now,
            texts: BTreeMap::new(),
            round: None,
            may_read: false,
            reading: None,
        };
        this.hear_head(asked, head, in_force);
        this
    }

    /// Takes the store's answer to a later question; an answer to an earlier one is ignored.
    pub fn hear_head(&mut self, asked: Instant, head: Head, in_force: KnownTexts) {
        if asked < self.asked {
            return;
        }
        self.asked = asked;
        self.may_read = true;
        if self.head != head {
            self.head = head;
            self.texts.extend(in_force);
            let head = &self.head;
            self.texts.retain(|team, (known, _)| {
                head.section(team)
                    .is_some_and(|section| section.hash == known.hash)
            });
        }
    }

    /// Takes those of a peer's texts that the head names; tells whether all are there now.
    pub fn hear_texts(&mut self, parts: &[SectionText]) -> bool {
        for SectionText { section, text } in parts {
            let hash: Digest = blake3::hash(text.as_bytes()).into();
            if let Some(named) = self.head.section(&section.team)
                && named.hash == hash
            {
                let known = (named.clone(), text.as_str().into());
                self.texts.insert(section.team.clone(), known);
            }
        }
        self.missing() == 0
    }

    fn missing(&self) -> usize {
        self.head.sections.len() - self.texts.len()
    }

    /// Decides what to do next. `turn` is the time after which this host reads from the store although it lacks many
    /// texts; `fetching` tells whether a peer is being asked.
    pub fn next_step(&self, fetching: bool, turn: Duration, now: Instant) -> Step {
        let missing = self.missing();
        if missing == 0 {
            return Step::Complete;
        }
        let may_read = self.may_read && self.reading != Some(self.head.version);
        if missing <= DIRECT_READS {
            return if may_read {
                Step::ReadStore
            } else {
                Step::Wait
            };
        }
        if fetching || self.reading.is_some() {
            Step::Wait
        } else if self.round.is_none() {
            Step::AskPeers
        } else if may_read && now.saturating_duration_since(self.since) >= turn {
            Step::ReadStore
        } else {
            Step::Wait
        }
    }

    /// Notes that a round of questions to peers begins.
    pub fn begin_round(&mut self, now: Instant) {
        self.round = Some(now);
    }

    /// Lets peers be asked again.
    pub fn renew_round(&mut self) {
        self.round = None;
    }

    /// Tells whether the current round has lasted too long to ask further peers.
    pub fn is_round_over(&self, now: Instant) -> bool {
        self.round
            .is_some_and(|began| now.saturating_duration_since(began) >= ROUND_LIMIT)
    }

    /// Notes that the texts are being read from the store; returns what the read needs.
    pub fn begin_read(&mut self) -> (Instant, Head, KnownTexts) {
        self.may_read = false;
        self.reading = Some(self.head.version);
        (self.asked, self.head.clone(), self.texts.clone())
    }

    /// Notes that the texts of `version` are no longer being read.
    pub fn end_read(&mut self, version: Version) {
        self.reading.take_if(|reading| *reading == version);
    }

    /// Returns the head and when the store was asked for it.
    pub fn head(&self) -> (Instant, &Head) {
        (self.asked, &self.head)
    }

    /// Returns the texts known so far.
    pub fn texts(&self) -> SectionTexts {
        let texts = self.texts.iter();
        texts
            .map(|(team, (_, text))| (team.clone(), text.clone()))
            .collect()
    }
}
