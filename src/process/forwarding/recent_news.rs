//! News that hosts repeat to each other for a while. Performs no I/O and reads no clock.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::process::forwarding::source::Reach;

/// Pieces of news that are repeated until a time to live ends, counted from when this host first learned of them. An equal piece
/// that arrives meanwhile does not prolong it, so relays that tell each other can't keep it alive.
#[derive(Debug)]
pub struct RecentNews<T> {
    ttl: Duration,
    /// How long a piece is known, so that an equal one is no news.
    memory: Duration,
    /// Oldest first.
    entries: VecDeque<(Instant, Reach, T)>,
    /// The pieces in `entries`.
    known: HashSet<T>,
}

impl<T: Clone + Eq + Hash> RecentNews<T> {
    /// Creates an empty list whose entries are repeated for `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            memory: ttl,
            entries: VecDeque::new(),
            known: HashSet::new(),
        }
    }

    /// Knows the pieces for `memory`, longer than they are repeated: other hosts may learn of them later, and repeat them for longer.
    #[must_use]
    pub fn with_memory(mut self, memory: Duration) -> Self {
        self.memory = memory.max(self.ttl);
        self
    }

    /// Adds a piece of news that was found within `reach`. Returns whether it was not listed before.
    pub fn add(&mut self, item: T, reach: Reach, now: Instant) -> bool {
        self.drop_expired(now);
        let is_new = self.known.insert(item.clone());
        if is_new {
            let index = self.entries.partition_point(|(at, _, _)| *at <= now);
            self.entries.insert(index, (now, reach, item));
        }
        is_new
    }

    /// Returns whether a piece of news is listed, an expired one included that was not dropped yet.
    pub fn contains(&self, item: &T) -> bool {
        self.known.contains(item)
    }

    /// Returns the news found within `reach` that is still repeated.
    pub fn within(&mut self, reach: Reach, now: Instant) -> Vec<T> {
        self.drop_expired(now);
        let ttl = self.ttl;
        let entries = self.entries.iter();
        let repeated = entries
            .filter(|(at, found, _)| *found <= reach && now.saturating_duration_since(*at) < ttl);
        repeated.map(|(_, _, item)| item.clone()).collect()
    }

    /// Returns all pieces, expired ones included that were not dropped yet.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|(_, _, item)| item)
    }

    /// Returns the number of pieces, expired ones included that were not dropped yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no pieces.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops the pieces that are neither repeated nor known any longer.
    pub fn drop_expired(&mut self, now: Instant) {
        let memory = self.memory;
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= memory;
        let expired = self.entries.partition_point(|(at, _, _)| is_expired(*at));
        for (_, _, item) in self.entries.drain(..expired) {
            self.known.remove(&item);
        }
    }
}
