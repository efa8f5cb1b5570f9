//! A journal of recent decisions: the dump shows from it why a request was refused, retried, cut off or queued long.

use std::collections::VecDeque;
use std::time::{Duration, SystemTime};

use serde::Serialize;

use crate::prelude::*;
use crate::process::shard::Shards;

/// The entries kept in each shard.
const ENTRIES_PER_SHARD: usize = 32;

/// The time in a queue above which a request is recorded as queued long.
pub const LONG_QUEUE_THRESHOLD: Duration = Duration::from_millis(500);

/// What was decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It was refused; `rule` is the kind of the refusal.
    Refused,
    /// It was retried on other upstreams.
    Retried,
    /// Its answer was cut off before its end.
    Cut,
    /// It was queued for longer than `LONG_QUEUE_THRESHOLD`.
    QueuedLong,
}

/// A decision about a request, with its cause and the values behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct JournalEntry {
    /// The time of the decision.
    #[serde(serialize_with = "as_rfc3339")]
    pub time: SystemTime,
    /// The request, in hexadecimal as in logs.
    #[serde(serialize_with = "as_hex")]
    pub request: RequestId,
    /// The customer; `None` on open routes and for unknown keys.
    pub customer: Option<CustomerId>,
    /// The path of the HTTP request.
    pub path: String,
    /// The kind of decision; `rule` and `figures` say why it was made.
    pub decision: Decision,
    /// The cause: the kind of refusal or of upstream failure.
    pub rule: String,
    /// The values that led to the decision, such as waits, bucket levels and attempts.
    pub figures: String,
}

/// The latest decisions of this host, in shards of bounded size.
#[derive(Debug, Default)]
pub struct Journal {
    shards: Shards<VecDeque<JournalEntry>>,
}

impl Journal {
    /// Adds a decision; a full shard drops its oldest one.
    pub fn record(&self, entry: JournalEntry) {
        let mut shard = self.shards.lock(&entry.request);
        if shard.len() == ENTRIES_PER_SHARD {
            shard.pop_front();
        }
        shard.push_back(entry);
    }

    /// Returns all stored decisions, newest first.
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
