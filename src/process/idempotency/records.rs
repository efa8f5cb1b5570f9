//! The records of one group of keys, and the decisions on them. Holds no I/O and reads no clock.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::message::{ClaimOnce, OnceReply};
use crate::process::store::MAX_VALUE_BYTES;

/// The time for which a key is remembered.
pub const RECORD_TTL: Duration = Duration::from_hours(24);
/// The time for which a withdrawn claim is remembered, so that its own late arrival finds it withdrawn.
const WITHDRAWN_KEPT: Duration = Duration::from_mins(10);
/// The largest encoded record: two hashes, claim, state and time.
const RECORD_BYTES: usize = 32 + 32 + 17 + 2 + 9;
/// The withdrawn claims of one group; the oldest makes room.
const MAX_WITHDRAWN: usize = 1024;
/// The largest encoded withdrawn claim: claim and time.
const WITHDRAWN_BYTES: usize = 17 + 9;
/// The records that fit into one store value.
pub const MAX_RECORDS: usize =
    (MAX_VALUE_BYTES - 32 - MAX_WITHDRAWN * WITHDRAWN_BYTES) / RECORD_BYTES;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Started,
    Done { kept: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    key: Digest,
    body: Digest,
    claim: RequestId,
    state: State,
    /// When it was claimed, in seconds since the Unix epoch. The calendar is the only clock that hosts
    /// share; 24 h are long against its errors.
    at: u64,
}

/// The decision on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim holds the key.
    Claimed,
    /// Another claim holds it.
    Started,
    /// The request of this claim was answered.
    Done {
        /// The claim that ran.
        claim: RequestId,
        /// Whether the answer was kept.
        kept: bool,
    },
    /// The key was used with another body.
    BodyDiffers,
    /// The claim was withdrawn before it arrived.
    Withdrawn,
    /// There is no room.
    Full,
}

impl ClaimDecision {
    /// Returns the reply, without a stored answer.
    pub fn reply(self) -> OnceReply {
        match self {
            Self::Claimed => OnceReply::Claimed,
            Self::Started => OnceReply::Started,
            Self::Done { .. } => OnceReply::Done { answer: None },
            Self::BodyDiffers => OnceReply::BodyDiffers,
            Self::Withdrawn => OnceReply::Unavailable,
            Self::Full => OnceReply::Full,
        }
    }
}

/// The records of one group of keys.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecords {
    records: Vec<Record>,
    /// Claims that did not run, with the time in seconds since the Unix epoch. They are kept apart from the
    /// keys, because a key may have several whose late arrival must not start it.
    withdrawn: Vec<(RequestId, u64)>,
}

impl IdempotencyRecords {
    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops records that are older than they are kept.
    pub fn expire(&mut self, now: SystemTime) {
        let now = seconds(now);
        let keeps = |at: u64, kept: Duration| now < at.saturating_add(kept.as_secs());
        self.records.retain(|r| keeps(r.at, RECORD_TTL));
        self.withdrawn.retain(|w| keeps(w.1, WITHDRAWN_KEPT));
    }

    /// Decides on a claim and records it. The same claim gets the same decision again.
    pub fn claim(&mut self, claim: &ClaimOnce, now: SystemTime) -> ClaimDecision {
        if self.withdrawn.iter().any(|w| w.0 == claim.claim) {
            return ClaimDecision::Withdrawn;
        }
        let new = Record {
            key: claim.key,
            body: claim.body,
            claim: claim.claim,
            state: State::Started,
            at: seconds(now),
        };
        let Some(record) = self.records.iter().find(|r| r.key == claim.key) else {
            if self.records.len() >= MAX_RECORDS {
                return ClaimDecision::Full;
            }
            self.records.push(new);
            return ClaimDecision::Claimed;
        };
        match record.state {
            State::Started if record.claim == claim.claim => ClaimDecision::Claimed,
            _ if record.body != claim.body => ClaimDecision::BodyDiffers,
            State::Started => ClaimDecision::Started,
            State::Done { kept } => ClaimDecision::Done {
                claim: record.claim,
                kept,
            },
        }
    }

    /// Records that a claim's request was answered.
    pub fn finish_done(&mut self, key: &Digest, claim: RequestId, kept: bool) {
        let holds = |r: &&mut Record| r.key == *key && r.claim == claim;
        if let Some(record) = self.records.iter_mut().find(holds)
            && record.state == State::Started
        {
            record.state = State::Done { kept };
        }
    }

    /// Records that a claim's request did not run: its key may be claimed again, and the claim itself counts
    /// no more, even if it arrives later.
    pub fn finish_not_run(&mut self, key: &Digest, claim: RequestId, now: SystemTime) {
        let started = |r: &Record| r.claim == claim && r.state == State::Started;
        self.records.retain(|r| r.key != *key || !started(r));
        if self.withdrawn.iter().any(|w| w.0 == claim) {
            return;
        }
        if self.withdrawn.len() == MAX_WITHDRAWN {
            self.withdrawn.remove(0);
        }
        self.withdrawn.push((claim, seconds(now)));
    }
}

fn seconds(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
