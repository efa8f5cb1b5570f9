//! The state that the detector keeps for each other host.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::Member;

/// Whether a host is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Not declared down.
    Live,
    /// Declared down without proof that its process ended; it may come back.
    Lost,
}

/// Another host of the fleet.
pub(super) struct Peer {
    pub member: Member,
    pub state: State,
    /// When the last message of this incarnation was received.
    pub last_heard: Instant,
    /// When this host began to send heartbeats to it; `None` while it sends none.
    pub watched_since: Option<Instant>,
    pub next_heartbeat: Option<Instant>,
    pub suspected_since: Option<Instant>,
    pub lost_at: Instant,
    /// The sequence number of the last heartbeat before this incarnation was known. Replies to it and to earlier ones
    /// may come from earlier processes.
    pub seq_when_added: u64,
    pub known_since: Instant,
    /// The hosts that its last heartbeat named as suspected or lost, and when that was received.
    pub reported_suspects: Option<(SmallVec<[HostId; 4]>, Instant)>,
    /// Another process of the same name, at another address.
    pub replacement: Option<Member>,
    /// Whether its record was read, or should have been by now.
    pub seen_in_store: bool,
    /// Whether its record is missing although `seen_in_store`.
    pub record_gone: bool,
    /// Whether it was on the platform's list at the last read.
    pub listed: bool,
    /// When it disappeared from the platform's list; `None` while listed or never listed.
    pub delisted_at: Option<Instant>,
}

impl Peer {
    pub fn new(member: Member, seq_when_added: u64, now: Instant) -> Self {
        Self {
            member,
            state: State::Live,
            last_heard: now,
            watched_since: None,
            next_heartbeat: None,
            suspected_since: None,
            lost_at: now,
            seq_when_added,
            known_since: now,
            reported_suspects: None,
            replacement: None,
            seen_in_store: false,
            record_gone: false,
            listed: false,
            delisted_at: None,
        }
    }

    /// Measures its silence from `now` on, and drops what was concluded from it.
    pub fn reset_silence(&mut self, now: Instant) {
        self.watched_since = self.watched_since.map(|_| now);
        self.suspected_since = None;
        self.reported_suspects = None;
    }

    /// Ends the measurement of its silence.
    pub fn stop_watching(&mut self) {
        self.watched_since = None;
        self.next_heartbeat = None;
        self.suspected_since = None;
    }

    /// Returns the time without a message from it while it was sent heartbeats.
    pub fn silence(&self, now: Instant) -> Duration {
        self.watched_since.map_or(Duration::ZERO, |since| {
            now.saturating_duration_since(since.max(self.last_heard))
        })
    }

    /// Returns whether its record or its entry on the platform's list is gone, so that it is sent heartbeats even by
    /// hosts that don't watch it in the ring.
    pub fn needs_probe(&self) -> bool {
        self.record_gone || self.delisted_at.is_some()
    }
}
