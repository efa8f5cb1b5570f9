//! Which prompt prefixes an engine has cached, as far as its events tell.

use std::collections::HashSet;

use crate::prelude::*;
use crate::request::engine::{CacheEvent, CacheEvents};
use crate::request::prefix::PIECE_TOKENS;

/// The pieces cached at one engine.
#[derive(Debug, Clone, Default)]
pub struct CacheIndex {
    pieces: HashSet<u64>,
    next_event: u64,
}

impl CacheIndex {
    /// Returns the sequence number of the next event to ask for.
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Returns the number of pieces known to be cached.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Tells whether no piece is known to be cached.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Takes events. A gap in the sequence, or one that starts anew after a restart of the engine, drops the
    /// index: the missing events may have been evictions.
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

    /// Returns the prompt tokens that are expected in the cache.
    pub fn cached_tokens(&self, pieces: &[u64], prompt_tokens: Tokens) -> Tokens {
        let whole = pieces.iter().take_while(|p| self.pieces.contains(p));
        (whole.count() as Tokens * PIECE_TOKENS).min(prompt_tokens)
    }
}
