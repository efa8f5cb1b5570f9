//! The prefix cache of an emulated engine and its event log.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::emulator::engine::settings::EngineSettings;
use crate::request::engine::{CacheEvent, CacheEvents};

/// The number of events kept for readers. A reader that needs older ones sees a gap.
const MAX_EVENTS: usize = 1_024;

/// An LRU cache of prompt pieces, which are identified by their hashes.
pub(super) struct PrefixCache {
    capacity: usize,
    /// The value of `uses` at the last use of each piece.
    pieces: HashMap<u64, u64>,
    /// Counts the uses of pieces.
    uses: u64,
    next_event: u64,
    /// The events with the times of their publication; `None` stands for a lost one.
    events: VecDeque<(Instant, Option<CacheEvent>)>,
    event_delay: Duration,
    loss_ppm: u32,
    random: StdRng,
}

impl PrefixCache {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            capacity: settings.cache_pieces,
            pieces: HashMap::new(),
            uses: 0,
            next_event: 0,
            events: VecDeque::new(),
            event_delay: settings.event_delay,
            loss_ppm: settings.event_loss_ppm,
            random: StdRng::seed_from_u64(settings.seed),
        }
    }

    /// Returns the number of leading pieces that are cached, and marks them as used.
    pub(super) fn find(&mut self, pieces: &[u64]) -> usize {
        let found = pieces
            .iter()
            .take_while(|piece| self.pieces.contains_key(piece))
            .count();
        for piece in &pieces[..found] {
            self.touch(*piece);
        }
        found
    }

    /// Stores the pieces of a prompt and evicts the least recently used pieces beyond the capacity.
    pub(super) fn store(&mut self, pieces: &[u64], now: Instant) {
        for piece in pieces {
            let is_new = !self.pieces.contains_key(piece);
            self.touch(*piece);
            if is_new {
                self.publish(CacheEvent::Stored(*piece), now);
            }
        }
        while self.pieces.len() > self.capacity {
            let oldest = self.pieces.iter().min_by_key(|(_, used)| **used);
            let Some(piece) = oldest.map(|(piece, _)| *piece) else {
                break;
            };
            self.pieces.remove(&piece);
            self.publish(CacheEvent::Evicted(piece), now);
        }
    }

    /// Empties the cache without eviction events, as a crash does. The skipped event number shows readers the gap.
    pub(super) fn clear(&mut self, now: Instant) {
        self.pieces.clear();
        self.push(None, now);
    }

    /// Returns the published events from number `from` on, up to the next gap. A gap at `from` itself is skipped.
    pub(super) fn events(&self, from: u64, now: Instant) -> CacheEvents {
        let kept_from = self.next_event - self.events.len() as u64;
        let start = from.max(kept_from);
        let skip = usize::try_from(start - kept_from).unwrap_or(usize::MAX);
        let published = self.events.iter().skip(skip);
        let mut published = published.take_while(|(at, _)| *at <= now).peekable();
        let mut first = start;
        while published.next_if(|(_, event)| event.is_none()).is_some() {
            first += 1;
        }
        CacheEvents {
            first,
            events: published.map_while(|(_, event)| *event).collect(),
        }
    }

    fn touch(&mut self, piece: u64) {
        self.uses += 1;
        self.pieces.insert(piece, self.uses);
    }

    fn publish(&mut self, event: CacheEvent, now: Instant) {
        let lost = self.random.random_range(0..1_000_000) < self.loss_ppm;
        self.push((!lost).then_some(event), now);
    }

    fn push(&mut self, event: Option<CacheEvent>, now: Instant) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now + self.event_delay, event));
        self.next_event += 1;
    }
}
