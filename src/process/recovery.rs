//! Lists of running attempts, from which placements are recovered when a host is gone.

mod parts;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{Adopt, Inflight, ListPart, PoolId, RunningAttempt};
use crate::process::pool::AttemptKey;
use crate::process::shard::Shards;

pub use parts::{Announcements, ReceivedParts};

/// The most attempts tracked for a list of which parts are missing. The sender gives up long before.
const MAX_TRACKED_ATTEMPTS: usize = 100_000;

/// What an entry host knows of one of its attempts.
#[derive(Debug, Default)]
struct Entry {
    /// The pools that were asked to place it.
    asked: SmallVec<[PoolId; 2]>,
    /// The pool that placed it, with the placement.
    placed: Option<(PoolId, RunningAttempt)>,
    /// The pool owners that were asked and have not answered. They may hold a slot for the attempt even after another
    /// owner has placed it.
    unanswered: SmallVec<[(HostId, PoolId); 2]>,
}

/// The pools and hosts that may still hold or queue an attempt that ended.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PossibleHolders {
    /// The pool that placed it; all pools that were asked if none did.
    pub pools: SmallVec<[PoolId; 2]>,
    /// The hosts that have not answered, with the pool that they were asked for.
    pub unanswered: SmallVec<[(HostId, PoolId); 2]>,
}

/// The running attempts of this entry host, which it announces to new pool owners with `Adopt`.
#[derive(Debug)]
pub struct RunningAttempts {
    host: HostId,
    incarnation: Incarnation,
    entries: Shards<HashMap<AttemptKey, Entry>>,
    /// The number of the latest announced list.
    last_list: AtomicU64,
}

impl RunningAttempts {
    /// Creates an empty list for this process.
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            entries: Shards::default(),
            last_list: AtomicU64::default(),
        }
    }

    /// Records that a pool is asked to place an attempt.
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

    /// Records the pool that placed an attempt. Returns false if the attempt has ended meanwhile.
    pub fn record_placed(&self, pool: PoolId, running: RunningAttempt) -> bool {
        let key = running.key();
        let mut entries = self.entries.lock(&key);
        let Some(entry) = entries.get_mut(&key) else {
            return false;
        };
        entry.placed = Some((pool, running));
        true
    }

    /// Removes an attempt; returns the pools and hosts that may hold or queue it.
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

    /// Returns the attempts that a pool placed, as a list with a new number.
    pub fn announcement(&self, pool: &PoolId) -> Adopt {
        // Numbered before the attempts are read, so that a list with a higher number is never older.
        let list = self.last_list.fetch_add(1, Ordering::SeqCst) + 1;
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

/// The standby's copy of a pool owner's placements.
#[derive(Debug, Default)]
pub struct StandbyList {
    attempts: HashMap<AttemptKey, RunningAttempt>,
    /// The newest full list of which a part has arrived.
    newest_list: Option<FullList>,
}

/// A list of all placements, sent in parts.
#[derive(Debug)]
struct FullList {
    sender: Incarnation,
    list: ListNo,
    parts: ReceivedParts,
    /// The attempts in the parts received so far, and those placed since the first part.
    listed: HashSet<AttemptKey>,
    /// The attempts that ended since the first part; a later part may still list them.
    ended: HashSet<AttemptKey>,
}

impl FullList {
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
    /// Applies a batch of changes or a part of a full list. An attempt that a full list lacks is removed only after
    /// all parts have arrived, because a missing part may contain it.
    pub fn apply(&mut self, batch: Inflight) {
        if let Some(part) = &batch.whole
            && !self.switch_list(part)
        {
            return;
        }
        for running in batch.placed {
            let key = running.key();
            if let Some(list) = self.incomplete_list() {
                list.listed.insert(key);
                if list.ended.contains(&key) {
                    continue;
                }
            }
            self.attempts.insert(key, running);
        }
        for key in batch.ended {
            self.remove(key);
        }
        if let Some(part) = &batch.whole
            && let Some(list) = self.incomplete_list()
        {
            list.parts.record(part);
            if list.parts.is_complete() {
                let listed = std::mem::take(&mut list.listed);
                list.ended.clear();
                self.attempts.retain(|key, _| listed.contains(key));
            }
        }
    }

    /// Removes an attempt that ended.
    pub fn remove(&mut self, key: AttemptKey) {
        if let Some(list) = self.incomplete_list() {
            list.ended.insert(key);
        }
        self.attempts.remove(&key);
    }

    /// Switches to the full list of this part if it is newer than the current one. Returns false if the part belongs
    /// to a list that is complete or outdated.
    fn switch_list(&mut self, part: &ListPart) -> bool {
        let current = self
            .newest_list
            .as_ref()
            .filter(|l| l.sender == part.sender);
        if current.is_none_or(|current| current.list < part.list) {
            self.newest_list = Some(FullList::new(part));
        }
        self.incomplete_list()
            .is_some_and(|current| current.list == part.list)
    }

    /// Returns the current full list if parts of it are missing.
    fn incomplete_list(&mut self) -> Option<&mut FullList> {
        self.newest_list
            .take_if(|l| l.listed.len() + l.ended.len() > MAX_TRACKED_ATTEMPTS);
        self.newest_list.as_mut().filter(|l| !l.parts.is_complete())
    }

    /// Returns whether no attempt is listed.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the listed attempts; the standby reserves their slots when it takes the pool over.
    pub fn into_attempts(self) -> impl Iterator<Item = RunningAttempt> {
        self.attempts.into_values()
    }
}
