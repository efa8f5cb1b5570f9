//! Who runs what: the lists from which placements are recovered when a host is gone.

mod parts;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{Adopt, Inflight, ListPart, PoolId, RunningAttempt};
use crate::process::pool::AttemptKey;
use crate::process::shard::Shards;

pub use parts::{Announcements, ReceivedParts};

/// The attempts remembered at most for a list of which parts are missing. The sender gives up long before.
const MAX_REMEMBERED: usize = 100_000;

/// An attempt at its entry host.
#[derive(Debug, Default)]
struct Entry {
    /// The pools that were asked.
    asked: SmallVec<[PoolId; 2]>,
    /// The pool that placed it, and what it placed.
    placed: Option<(PoolId, RunningAttempt)>,
    /// The hosts that were asked as owners and whose answer was not heard. They may hold a slot for the attempt
    /// even after another owner has placed it.
    unanswered: SmallVec<[(HostId, PoolId); 2]>,
}

/// Who may still hold or queue an attempt that ended.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PossibleHolders {
    /// The pool that placed it, or else all that were asked.
    pub pools: SmallVec<[PoolId; 2]>,
    /// The hosts whose answer was not heard, with the pool that they were asked for.
    pub unanswered: SmallVec<[(HostId, PoolId); 2]>,
}

/// The attempts of this entry host, for `Adopt`.
#[derive(Debug)]
pub struct RunningAttempts {
    host: HostId,
    incarnation: Incarnation,
    entries: Shards<HashMap<AttemptKey, Entry>>,
    /// Counts the lists that were announced.
    lists: AtomicU64,
}

impl RunningAttempts {
    /// Creates the empty list of a process.
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            entries: Shards::default(),
            lists: AtomicU64::default(),
        }
    }

    /// Records that a pool is asked for an attempt.
    pub fn record_asked(&self, key: AttemptKey, pool: &PoolId) {
        let mut entries = self.entries.lock(&key);
        let asked = &mut entries.entry(key).or_default().asked;
        if !asked.contains(pool) {
            asked.push(pool.clone());
        }
    }

    /// Records that a host is asked as the owner of a pool.
    pub fn record_owner_asked(&self, key: AttemptKey, pool: &PoolId, owner: &HostId) {
        if let Some(entry) = self.entries.lock(&key).get_mut(&key) {
            let asked = (owner.clone(), pool.clone());
            if !entry.unanswered.contains(&asked) {
                entry.unanswered.push(asked);
            }
        }
    }

    /// Records that a host answered as the owner of a pool, or is known to hold nothing.
    pub fn record_owner_answered(&self, key: AttemptKey, pool: &PoolId, owner: &HostId) {
        if let Some(entry) = self.entries.lock(&key).get_mut(&key) {
            entry
                .unanswered
                .retain(|(host, asked)| (&*host, &*asked) != (owner, pool));
        }
    }

    /// Records by which pool an attempt was placed. Returns false if it was ended meanwhile.
    pub fn record_placed(&self, pool: PoolId, running: RunningAttempt) -> bool {
        let key = running.key();
        let mut entries = self.entries.lock(&key);
        let Some(entry) = entries.get_mut(&key) else {
            return false;
        };
        entry.placed = Some((pool, running));
        true
    }

    /// Removes an attempt; returns who may hold or queue it.
    pub fn remove(&self, key: AttemptKey) -> PossibleHolders {
        let Some(entry) = self.entries.lock(&key).remove(&key) else {
            return PossibleHolders::default();
        };
        PossibleHolders {
            pools: match entry.placed {
                Some((pool, _)) => SmallVec::from_iter([pool]),
                None => entry.asked,
            },
            unanswered: entry.unanswered,
        }
    }

    /// Returns the pools that placed attempts of this host.
    pub fn pools(&self) -> BTreeSet<PoolId> {
        let mut pools = BTreeSet::new();
        for entries in self.entries.iter() {
            let placed = entries.values().filter_map(|e| e.placed.as_ref());
            pools.extend(placed.map(|(pool, _)| pool.clone()));
        }
        pools
    }

    /// Returns the attempts that a pool placed, as a list with a number of its own.
    pub fn announcement(&self, pool: &PoolId) -> Adopt {
        // Taken before the attempts are read, so that a list with a higher number is not an older one.
        let list = self.lists.fetch_add(1, Ordering::SeqCst) + 1;
        let mut attempts = Vec::new();
        for entries in self.entries.iter() {
            let placed = entries.values().filter_map(|e| e.placed.as_ref());
            let of_pool = placed.filter(|(placed_by, _)| placed_by == pool);
            attempts.extend(of_pool.map(|(_, running)| running.clone()));
        }
        Adopt {
            pool: pool.clone(),
            host: self.host.clone(),
            part: ListPart::only(self.incarnation, list),
            attempts,
        }
    }
}

/// A pool owner's placements as copied to its standby.
#[derive(Debug, Default)]
pub struct StandbyList {
    attempts: HashMap<AttemptKey, RunningAttempt>,
    /// The newest whole list that began.
    whole: Option<WholeList>,
}

/// A list of all placements, of which parts may be missing.
#[derive(Debug)]
struct WholeList {
    sender: Incarnation,
    list: ListNo,
    parts: ReceivedParts,
    /// What is listed so far, and what was placed since the first part.
    listed: HashSet<AttemptKey>,
    /// What ended since the first part, and a later part may still list.
    ended: HashSet<AttemptKey>,
}

impl WholeList {
    fn new(part: &ListPart) -> Self {
        Self {
            sender: part.sender,
            list: part.list,
            parts: ReceivedParts::default(),
            listed: HashSet::new(),
            ended: HashSet::new(),
        }
    }
}

impl StandbyList {
    /// Takes a batch of changes, or a part of a whole list. What a whole list leaves out is removed only when all
    /// of its parts are here, because a missing part may hold it.
    pub fn apply(&mut self, batch: Inflight) {
        if let Some(part) = &batch.whole
            && !self.begin(part)
        {
            return;
        }
        for running in batch.placed {
            let key = running.key();
            if let Some(whole) = self.incomplete() {
                whole.listed.insert(key);
                if whole.ended.contains(&key) {
                    continue;
                }
            }
            self.attempts.insert(key, running);
        }
        for key in batch.ended {
            self.remove(key);
        }
        if let Some(part) = &batch.whole
            && let Some(whole) = self.incomplete()
        {
            whole.parts.record(part);
            if whole.parts.is_complete() {
                let listed = std::mem::take(&mut whole.listed);
                whole.ended.clear();
                self.attempts.retain(|key, _| listed.contains(key));
            }
        }
    }

    /// Removes an attempt that ended.
    pub fn remove(&mut self, key: AttemptKey) {
        if let Some(whole) = self.incomplete() {
            whole.ended.insert(key);
        }
        self.attempts.remove(&key);
    }

    /// Follows a whole list. Returns false if the part belongs to one that is complete or older than the last one.
    fn begin(&mut self, part: &ListPart) -> bool {
        let known = self.whole.as_ref().filter(|w| w.sender == part.sender);
        if known.is_none_or(|whole| whole.list < part.list) {
            self.whole = Some(WholeList::new(part));
        }
        self.incomplete()
            .is_some_and(|whole| whole.list == part.list)
    }

    /// Returns the whole list of which parts are missing.
    fn incomplete(&mut self) -> Option<&mut WholeList> {
        self.whole
            .take_if(|whole| whole.listed.len() + whole.ended.len() > MAX_REMEMBERED);
        self.whole
            .as_mut()
            .filter(|whole| !whole.parts.is_complete())
    }

    /// Tells whether nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the attempts for the new owner.
    pub fn into_attempts(self) -> impl Iterator<Item = RunningAttempt> {
        self.attempts.into_values()
    }
}
