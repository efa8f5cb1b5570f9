//! The records of one shard of keys, and the decisions on claims. Does no I/O and reads no clock.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::message::{ClaimOnce, OnceReply};
use crate::process::store::MAX_VALUE_BYTES;

/// How long a record is kept after the claim. Afterwards its key can be claimed anew.
pub const RECORD_TTL: Duration = Duration::from_hours(24);
/// How long a withdrawn claim is kept, so that a late message with that claim does not take effect.
const WITHDRAWN_TTL: Duration = Duration::from_mins(10);
/// The largest encoded record, in bytes: two hashes, claim, state and time.
const RECORD_BYTES: usize = 32 + 32 + 17 + 2 + 9;
/// The most withdrawn claims of one shard; the oldest is dropped first.
const MAX_WITHDRAWN: usize = 1024;
/// The largest encoded withdrawn claim, in bytes: claim and time.
const WITHDRAWN_BYTES: usize = 17 + 9;
/// The most records of one shard, which fit into one store value with the withdrawn claims.
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
    /// When the key was claimed, in seconds since the Unix epoch. Wall-clock time is the only time that hosts
    /// share, and its errors are small against the 24 h of `RECORD_TTL`.
    at: u64,
}

/// The decision on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim holds the key; the request may be sent.
    Claimed,
    /// Another claim holds the key, and its outcome is not recorded.
    Started,
    /// A request with the key was answered.
    Done {
        /// The claim whose request was answered.
        claim: RequestId,
        /// Whether the answer was stored.
        kept: bool,
    },
    /// The key was used with another body.
    BodyDiffers,
    /// The claim was withdrawn before, because its request did not run.
    Withdrawn,
    /// The shard has `MAX_RECORDS` records.
    Full,
}

impl ClaimDecision {
    /// Returns the reply to the claim, without a stored answer.
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

/// The records of one shard of keys.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecords {
    records: Vec<Record>,
    /// The claims that did not run, with the time of their withdrawal in seconds since the Unix epoch. They are kept
    /// apart from the records, because one key may have several, none of which may take effect later.
    withdrawn: Vec<(RequestId, u64)>,
}

impl IdempotencyRecords {
    /// Returns the number of records, without withdrawn claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops records and withdrawn claims whose time to live has ended.
    pub fn expire(&mut self, now: SystemTime) {
        let now = seconds(now);
        let is_live = |at: u64, ttl: Duration| now < at.saturating_add(ttl.as_secs());
        self.records.retain(|r| is_live(r.at, RECORD_TTL));
        self.withdrawn.retain(|w| is_live(w.1, WITHDRAWN_TTL));
    }

    /// Decides on a claim and records it if it holds the key. A repeat of that claim gets `Claimed` again until its
    /// outcome is recorded.
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

    /// Records that a claim's request was answered. `kept` is whether the answer was stored.
    pub fn finish_done(&mut self, key: &Digest, claim: RequestId, kept: bool) {
        let holds = |r: &&mut Record| r.key == *key && r.claim == claim;
        if let Some(record) = self.records.iter_mut().find(holds)
            && record.state == State::Started
        {
            record.state = State::Done { kept };
        }
    }

    /// Records that a claim's request did not run. Its key may be claimed again, and the claim itself is withdrawn, even
    /// if its message arrives later.
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
