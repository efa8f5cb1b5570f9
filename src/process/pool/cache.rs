//! An index of the prompt prefixes that an engine has cached, built from its cache events.

use std::collections::HashSet;

use crate::prelude::*;
use crate::request::engine::{CacheEvent, CacheEvents};
use crate::request::prefix::PIECE_TOKENS;

/// The prompt pieces known to be cached at one engine, by their chained hashes.
#[derive(Debug, Clone, Default)]
pub struct CacheIndex {
    pieces: HashSet<u64>,
    next_event: u64,
}

impl CacheIndex {
    /// Returns the sequence number from which events are to be fetched next.
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Returns the number of pieces known to be cached.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Returns whether no piece is known to be cached.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Applies a batch of events. Clears the index first if the batch does not continue the sequence, because of a gap
    /// or a restart of the engine: the missing events may have been evictions.
    pub fn apply(&mut self, batch: &CacheEvents) {
        if batch.first != self.next_event {
            self.pieces.clear();
        }
        self.next_event = batch.first + batch.events.len() as u64;
        for event in &batch.events {
            match event {
                CacheEvent::Stored(piece) => self.pieces.insert(*piece),
                CacheEvent::Evicted(piece) => self.pieces.remove(piece),
            };
        }
    }

    /// Returns the number of a prompt's leading tokens that are expected in the cache. Only whole pieces without a gap
    /// from the start of the prompt count.
    pub fn cached_tokens(&self, pieces: &[u64], prompt_tokens: Tokens) -> Tokens {
        let whole = pieces.iter().take_while(|p| self.pieces.contains(p));
        (whole.count() as Tokens * PIECE_TOKENS).min(prompt_tokens)
    }
}
