//! The changes of a pool that its standby has not been told of.

use std::collections::BTreeMap;

use crate::process::message::{Inflight, PoolId, RunningAttempt};
use crate::process::pool::AttemptKey;

/// Placements and ends since the last batch. Placements are found by key, so that the end of one takes no longer
/// when many were placed since.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    placed: BTreeMap<AttemptKey, RunningAttempt>,
    ended: Vec<AttemptKey>,
}

impl PendingChanges {
    /// Notes that an attempt holds upstreams.
    pub fn record_placed(&mut self, running: RunningAttempt) {
        self.placed.insert(running.key(), running);
    }

    /// Notes that an attempt ended.
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
