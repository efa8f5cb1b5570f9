//! An index of the attempts that wait or hold a slot, by request and by entry-host process.

use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;
use crate::process::pool::AttemptKey;

/// The attempts of a pool that wait or hold a slot.
#[derive(Debug, Default)]
pub(super) struct AttemptIndex {
    all: BTreeSet<AttemptKey>,
    by_process: HashMap<(HostId, Incarnation), BTreeSet<AttemptKey>>,
}

impl AttemptIndex {
    /// Adds an attempt; does nothing if it is there already.
    pub fn insert(&mut self, key: AttemptKey, process: (HostId, Incarnation)) {
        self.all.insert(key);
        self.by_process.entry(process).or_default().insert(key);
    }

    /// Removes an attempt that ended or was refused.
    pub fn remove(&mut self, key: AttemptKey, process: &(HostId, Incarnation)) {
        self.all.remove(&key);
        if let Some(attempts) = self.by_process.get_mut(process) {
            attempts.remove(&key);
            if attempts.is_empty() {
                self.by_process.remove(process);
            }
        }
    }

    /// Returns whether any attempt of the request is left.
    pub fn has_request(&self, request: RequestId) -> bool {
        let attempts = (request, AttemptNo::MIN)..=(request, AttemptNo::MAX);
        self.all.range(attempts).next().is_some()
    }

    /// Returns the attempts of an entry-host process.
    pub fn of_process(&self, process: &(HostId, Incarnation)) -> Vec<AttemptKey> {
        let attempts = self.by_process.get(process);
        attempts.into_iter().flatten().copied().collect()
    }
}
