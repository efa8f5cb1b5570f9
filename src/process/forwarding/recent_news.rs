//! News that hosts repeat to each other for a while. Performs no I/O and reads no clock.

use std::time::{Duration, Instant};

use crate::process::forwarding::source::Reach;

/// Pieces of news that are repeated until a time to live ends, counted from when this host first learned of them. An equal piece
/// that arrives meanwhile does not prolong it, so relays that tell each other can't keep it alive.
#[derive(Debug)]
pub struct RecentNews<T> {
    ttl: Duration,
    entries: Vec<(Instant, Reach, T)>,
}

impl<T: Clone + PartialEq> RecentNews<T> {
    /// Creates an empty list whose entries are repeated for `ttl`.
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            entries: Vec::new(),
        }
    }

    /// Adds a piece of news that was found within `reach`. Returns whether it was not listed before.
    pub fn add(&mut self, item: T, reach: Reach, now: Instant) -> bool {
        self.drop_expired(now);
        if self.entries.iter().any(|(_, _, known)| *known == item) {
            return false;
        }
        self.entries.push((now, reach, item));
        true
    }

    /// Returns the news found within `reach` that is still repeated.
    pub fn within(&mut self, reach: Reach, now: Instant) -> Vec<T> {
        self.drop_expired(now);
        let entries = self.entries.iter().filter(|(_, found, _)| *found <= reach);
        entries.map(|(_, _, item)| item.clone()).collect()
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

    /// Drops the pieces whose time to live has ended.
    pub fn drop_expired(&mut self, now: Instant) {
        let ttl = self.ttl;
        self.entries
            .retain(|(at, _, _)| now.saturating_duration_since(*at) < ttl);
    }
}
