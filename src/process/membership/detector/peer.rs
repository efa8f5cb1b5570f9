//! What a host knows about another one.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::Member;

/// Whether a host counts as there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// It is not declared down.
    Live,
    /// It was declared down without proof, and may come back.
    Lost,
}

/// What is known about one host.
pub(super) struct Peer {
    pub member: Member,
    pub state: State,
    /// The last message of this incarnation.
    pub last_heard: Instant,
    /// The start of the heartbeats to it; `None` while it gets none from here.
    pub watched_since: Option<Instant>,
    pub next_beat: Option<Instant>,
    pub suspected_since: Option<Instant>,
    pub lost_at: Instant,
    /// The number of the last question before this incarnation was known. Answers to earlier
    /// questions may come from earlier processes.
    pub seq_when_added: u64,
    pub known_since: Instant,
    /// Whom it suspects, and when it said so.
    pub suspects: Option<(SmallVec<[HostId; 4]>, Instant)>,
    /// A process of the same name at another address.
    pub next: Option<Member>,
    pub in_store: bool,
    /// Whether its record was there and is gone.
    pub record_gone: bool,
    pub listed: bool,
    /// When the platform dropped it from its list.
    pub dropped_at: Option<Instant>,
}

impl Peer {
    pub fn new(member: Member, seq_when_added: u64, now: Instant) -> Self {
        Self {
            member,
            state: State::Live,
            last_heard: now,
            watched_since: None,
            next_beat: None,
            suspected_since: None,
            lost_at: now,
            seq_when_added,
            known_since: now,
            suspects: None,
            next: None,
            in_store: false,
            record_gone: false,
            listed: false,
            dropped_at: None,
        }
    }

    /// Starts the count of its silence again.
    pub fn forgive(&mut self, now: Instant) {
        self.watched_since = self.watched_since.map(|_| now);
        self.suspected_since = None;
        self.suspects = None;
    }

    /// Ends the count of its silence.
    pub fn unwatch(&mut self) {
        self.watched_since = None;
        self.next_beat = None;
        self.suspected_since = None;
    }

    /// Returns how long it did not answer while it was asked.
    pub fn silence(&self, now: Instant) -> Duration {
        self.watched_since.map_or(Duration::ZERO, |since| {
            now.saturating_duration_since(since.max(self.last_heard))
        })
    }

    /// Tells whether its state has to be found out although no ring successor watches for it.
    pub fn is_doubtful(&self) -> bool {
        self.record_gone || self.dropped_at.is_some()
    }
}
