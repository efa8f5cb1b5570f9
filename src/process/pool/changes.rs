//! The changes of a pool that have not been copied to its standby yet.

use std::collections::BTreeMap;

use crate::process::message::{Inflight, PoolId, RunningAttempt};
use crate::process::pool::AttemptKey;

/// The placements and ends since the last batch. Placements are kept by key, so that the cost of removing one does not
/// grow linearly with the size of the batch.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    placed: BTreeMap<AttemptKey, RunningAttempt>,
    ended: Vec<AttemptKey>,
}

impl PendingChanges {
    /// Records that an attempt holds upstreams.
    pub fn record_placed(&mut self, running: RunningAttempt) {
        self.placed.insert(running.key(), running);
    }

    /// Records that an attempt ended.
    pub fn record_ended(&mut self, key: AttemptKey) {
        self.placed.remove(&key);
        self.ended.push(key);
    }

    /// Returns the changes since the last call; `None` if there are none.
    pub fn take(&mut self, pool: &PoolId) -> Option<Inflight> {
        let Self { placed, ended } = std::mem::take(self);
        (!placed.is_empty() || !ended.is_empty()).then(|| Inflight {
            placed: placed.into_values().collect(),
            ended,
            ..Inflight::empty(pool.clone())
        })
    }
}
