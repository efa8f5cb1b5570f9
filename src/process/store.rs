//! The interface to the platform's key-value service.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;

use crate::prelude::*;

/// The largest value that the platform's service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A stored value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// The full key, prefix included.
    pub key: String,
    /// The value; at most `MAX_VALUE_BYTES`.
    pub value: Vec<u8>,
    /// The revision of the last write. Each write to any key of the store gets a higher one.
    pub revision: Revision,
}

/// The precondition of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// No entry under the key.
    Absent,
    /// An entry at exactly this revision.
    At(Revision),
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// A value was written.
    Put(StoreEntry),
    /// A key was deleted, or its lease expired.
    Deleted {
        /// The full key of the deleted entry.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

impl StoreChange {
    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// Why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The entry does not meet the precondition of the compare-and-swap.
    Conflict {
        /// The entry's current revision; `None` if it is absent.
        current: Option<Revision>,
    },
    /// The call certainly had no effect.
    Unavailable {
        /// Why the call did not reach the store or was refused, for the log.
        cause: String,
    },
    /// The call may or may not have taken effect; read back to find out.
    Unknown {
        /// Why no valid response arrived, for the log.
        cause: String,
    },
    /// The rate limit for calls is exceeded.
    Throttled {
        /// The time after which a call may be admitted.
        retry_after: Duration,
    },
    /// The lease has expired or was revoked.
    LeaseGone,
    /// The value exceeds `MAX_VALUE_BYTES`.
    TooLarge {
        /// The size of the value in bytes.
        size: usize,
    },
    /// The store no longer has the history that a watch asks for.
    Compacted,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current } => {
                write!(
                    f,
                    "entry was changed concurrently (current revision {current:?}); read it again and retry"
                )
            }
            Self::Unavailable { cause } => {
                write!(
                    f,
                    "store unavailable ({cause}); check [store] address and retry"
                )
            }
            Self::Unknown { cause } => {
                write!(
                    f,
                    "outcome of store call unknown ({cause}); read the entry back"
                )
            }
            Self::Throttled { retry_after } => {
                write!(f, "store call rate exceeded; retry after {retry_after:?}")
            }
            Self::LeaseGone => f.write_str("lease expired; acquire a new one"),
            Self::TooLarge { size } => {
                write!(
                    f,
                    "value of {size} bytes exceeds {MAX_VALUE_BYTES}; split it"
                )
            }
            Self::Compacted => f.write_str("history compacted; read the entries again"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The result of a read, with the revision of the store up to which it is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AsOf<T> {
    /// The entries or changes that the call returned.
    pub value: T,
    /// Changes up to this revision are included; a watch continues after it.
    pub revision: Revision,
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads the entry under `key`; `None` if there is none.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is unavailable or throttles the call.
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads all entries whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is unavailable or throttles the call.
    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError>;

    /// Writes `value` if the entry is as `expected`; returns its new revision. An entry attached to a `lease` is
    /// deleted when the lease ends.
    ///
    /// # Errors
    /// Returns `Conflict` if the entry differs, `Unknown` if the reply was lost, and another error if nothing was
    /// written.
    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError>;

    /// Deletes the entry if it is still at `revision`.
    ///
    /// # Errors
    /// As for `swap`.
    async fn delete(&self, key: &str, revision: Revision) -> Result<(), StoreError>;

    /// Grants a lease that expires after `ttl` without a renewal.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is unavailable or throttles the call.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its whole time to live.
    ///
    /// # Errors
    /// Returns `LeaseGone` if it has expired, and another `StoreError` if the call failed.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease and deletes the entries attached to it.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is unavailable or throttles the call.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Waits up to `wait` for changes under `prefix` with a revision above `after`. Returns an empty list if there is
    /// none in that time.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is unavailable or throttles the call.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError>;

    /// Reads all entries under `prefix` together with a revision from which a watch misses no change.
    ///
    /// # Errors
    /// As for `list`.
    async fn list_as_of(&self, prefix: &str) -> Result<AsOf<Vec<StoreEntry>>, StoreError> {
        let entries = self.list(prefix).await?;
        let revision = entries.iter().map(|entry| entry.revision).max();
        Ok(AsOf {
            revision: revision.unwrap_or_default(),
            value: entries,
        })
    }

    /// Reads all entries under `prefix`. The result may be some seconds old, so that the read is cheaper for the store.
    ///
    /// # Errors
    /// As for `list`.
    async fn list_allow_stale(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.list(prefix).await
    }

    /// Waits as `watch` does, and returns the revision from which to continue.
    ///
    /// # Errors
    /// As for `watch`; returns `Compacted` if the store no longer has the changes after `after`.
    async fn watch_as_of(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<AsOf<Vec<StoreChange>>, StoreError> {
        let changes = self.watch(prefix, after, wait).await?;
        let revisions = changes.iter().map(StoreChange::revision);
        Ok(AsOf {
            revision: revisions.max().unwrap_or(after),
            value: changes,
        })
    }
}
