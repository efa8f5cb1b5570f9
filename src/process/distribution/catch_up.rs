//! Collects the texts of a newer head from peers and from the store. Does no I/O and reads no clock.
//!
//! At 4,000 customers the head names 416 texts. A host that lacks many of them asks peers first, and reads from the
//! store only what they don't have; otherwise a start of 390 hosts would make 162,240 reads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::message::{Head, SectionRef, SectionText};
use crate::version::repository::Texts;

/// The most missing texts that a host reads from the store without asking peers. If all of 390 hosts do so at once,
/// that takes less than a second of the store's 2,000 reads a second.
pub const MAX_DIRECT_READS: usize = 4;

/// The time after which a round asks no further peer; an unreachable one takes up to 2 s.
const MAX_ROUND_DURATION: Duration = Duration::from_secs(4);

/// Texts with their references, by team.
pub type KnownTexts = BTreeMap<TeamId, (SectionRef, Arc<str>)>;

/// The next step to get the texts of a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// No text is missing.
    Complete,
    /// Starts a round of requests to peers.
    AskPeers,
    /// Reads the missing texts from the store.
    ReadStore,
    /// Waits for the next answer of the store or a peer.
    Wait,
}

/// A newer head from the store, and those of its texts that this host has.
#[derive(Debug)]
pub struct CatchUp {
    /// When the store was asked for the head.
    asked_at: Instant,
    head: Head,
    /// When this host first received a newer head.
    behind_since: Instant,
    texts: KnownTexts,
    /// When the current round of requests to peers began; `None` before it.
    round_began: Option<Instant>,
    /// Whether the store may be read: once for each head that it answers with, so that a failing read is not repeated
    /// without a pause.
    may_read: bool,
    /// The version whose texts are being read from the store.
    reading_version: Option<Version>,
}

impl CatchUp {
    /// Starts with a head that the store returned when asked at `asked_at`, and the texts of the version in force.
    pub fn new(asked_at: Instant, head: Head, in_force: KnownTexts, now: Instant) -> Self {
        let mut this = Self {
            asked_at,
            head: Head::default(),
            behind_since: now,
            texts: BTreeMap::new(),
            round_began: None,
            may_read: false,
            reading_version: None,
        };
        this.update_head(asked_at, head, in_force);
        this
    }

    /// Replaces the head by one that the store returned; ignored if the store was asked earlier than for the known one.
    pub fn update_head(&mut self, asked_at: Instant, head: Head, in_force: KnownTexts) {
        if asked_at < self.asked_at {
            return;
        }
        self.asked_at = asked_at;
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

    /// Adds those of a peer's texts that the head names; returns whether none is missing now.
    pub fn add_texts(&mut self, parts: &[SectionText]) -> bool {
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

    /// Returns the next step. A host that lacks many texts reads them from the store only `read_delay` after it
    /// received a newer head. `fetching` tells whether a request to a peer is under way.
    pub fn next_step(&self, fetching: bool, read_delay: Duration, now: Instant) -> Step {
        let missing = self.missing();
        if missing == 0 {
            return Step::Complete;
        }
        let may_read = self.may_read && self.reading_version != Some(self.head.version);
        if missing <= MAX_DIRECT_READS {
            return if may_read {
                Step::ReadStore
            } else {
                Step::Wait
            };
        }
        if fetching || self.reading_version.is_some() {
            Step::Wait
        } else if self.round_began.is_none() {
            Step::AskPeers
        } else if may_read && now.saturating_duration_since(self.behind_since) >= read_delay {
            Step::ReadStore
        } else {
            Step::Wait
        }
    }

    /// Begins a round of requests to peers.
    pub fn begin_round(&mut self, now: Instant) {
        self.round_began = Some(now);
    }

    /// Allows another round of requests to peers.
    pub fn reset_round(&mut self) {
        self.round_began = None;
    }

    /// Returns whether the current round has lasted too long to ask further peers.
    pub fn is_round_over(&self, now: Instant) -> bool {
        self.round_began
            .is_some_and(|began| now.saturating_duration_since(began) >= MAX_ROUND_DURATION)
    }

    /// Begins a read from the store; returns when the head was asked for, the head, and the texts not to read.
    pub fn begin_read(&mut self) -> (Instant, Head, KnownTexts) {
        self.may_read = false;
        self.reading_version = Some(self.head.version);
        (self.asked_at, self.head.clone(), self.texts.clone())
    }

    /// Ends the read of the texts of `version`.
    pub fn end_read(&mut self, version: Version) {
        self.reading_version.take_if(|reading| *reading == version);
    }

    /// Returns when the store was asked for the head, and the head.
    pub fn head(&self) -> (Instant, &Head) {
        (self.asked_at, &self.head)
    }

    /// Returns the texts that are known so far.
    pub fn texts(&self) -> Texts {
        let texts = self.texts.iter();
        texts
            .map(|(team, (_, text))| (team.clone(), text.clone()))
            .collect()
    }
}
