//! Recent decisions, so that the dump can answer why a request was refused, retried, cut or queued long.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use serde::Serialize;

use crate::prelude::*;
use crate::process::shard::Shards;

/// The entries kept in each shard.
const ENTRIES_PER_SHARD: usize = 32;

/// Time in a queue from which a request counts as queued long.
pub const LONG_QUEUE_THRESHOLD: Duration = Duration::from_millis(500);

/// What was decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It was refused.
    Refused,
    /// It was tried again.
    Retried,
    /// Its answer broke off.
    Cut,
    /// It waited long for upstreams.
    QueuedLong,
}

/// A decision with the rule behind it and its figures.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct JournalEntry {
    /// When it was decided.
    #[serde(serialize_with = "as_rfc3339")]
    pub time: SystemTime,
    /// The request, in hexadecimal as in logs.
    #[serde(serialize_with = "as_hex")]
    pub request: RequestId,
    /// The customer; `None` on open routes and for unknown keys.
    pub customer: Option<CustomerId>,
    /// The path.
    pub path: String,
    /// What was decided.
    pub decision: Decision,
    /// The rule: the kind of refusal or of upstream failure.
    pub rule: String,
    /// The figures: waits, levels, attempts.
    pub figures: String,
}

/// Keeps the latest decisions of this host.
#[derive(Debug, Default)]
pub struct Journal {
    shards: Shards<VecDeque<JournalEntry>>,
}

impl Journal {
    /// Adds a decision; the oldest one of its shard makes room.
    pub fn record(&self, entry: JournalEntry) {
        let mut shard = self.shards.lock(&entry.request);
        if shard.len() == ENTRIES_PER_SHARD {
            shard.pop_front();
        }
        shard.push_back(entry);
    }

    /// Returns the decisions kept, newest first.
    pub fn recent(&self) -> Vec<JournalEntry> {
        let mut entries: Vec<_> = self
            .shards
            .iter()
            .flat_map(|shard| shard.iter().cloned().collect::<Vec<_>>())
            .collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.time));
        entries
    }
}

fn as_rfc3339<S: serde::Serializer>(time: &SystemTime, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_rfc3339_millis(*time))
}

pub(crate) fn as_hex<S: serde::Serializer>(
    request: &RequestId,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{request:032x}"))
}
