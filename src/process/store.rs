//! The border to the platform's key-value service.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;

use crate::prelude::*;

/// The largest value the platform's service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A stored value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last write; grows over the whole store.
    pub revision: Revision,
}

/// What a compare-and-swap expects to find.
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
    /// A key was deleted, or its lease lapsed.
    Deleted {
        /// The key.
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
    /// The entry is not what the compare-and-swap expected.
    Conflict {
        /// The entry's revision now; `None` if it is absent.
        current: Option<Revision>,
    },
    /// The call certainly had no effect.
    Unavailable {
        /// What failed.
        cause: String,
    },
    /// The call may or may not have taken effect; read back to find out.
    Unknown {
        /// What failed.
        cause: String,
    },
    /// The store's call budget is used up.
    Throttled {
        /// The time after which a call may pass.
        retry_after: Duration,
    },
    /// The lease does not exist any more.
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
                    "entry changed meanwhile (revision {current:?}); read it again and repeat"
                )
            }
            Self::Unavailable { cause } => {
                write!(
                    f,
                    "store not reached ({cause}); check [store] address and repeat"
                )
            }
            Self::Unknown { cause } => {
                write!(
                    f,
                    "store call outcome unknown ({cause}); read the entry back"
                )
            }
            Self::Throttled { retry_after } => {
                write!(f, "store call budget used up; repeat after {retry_after:?}")
            }
            Self::LeaseGone => f.write_str("lease lapsed; acquire a new one"),
            Self::TooLarge { size } => {
                write!(
                    f,
                    "value of {size} bytes exceeds {MAX_VALUE_BYTES}; split it"
                )
            }
            Self::Compacted => f.write_str("history no longer kept; read the entries again"),
        }
    }
}

impl std::error::Error for StoreError {}

/// What was read, and the revision of the store up to which it is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AsOf<T> {
    /// What was read.
    pub value: T,
    /// The revision.
    pub revision: Revision,
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads one entry.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is away or throttles.
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads all entries whose key starts with `prefix`, in key order.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is away or throttles.
    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError>;

    /// Writes `value` if the entry is as `expected`; attaches it to `lease` if given.
    ///
    /// # Errors
    /// Returns `Conflict` if the entry differs, `Unknown` if the reply was lost, and the other kinds
    /// if nothing was written.
    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError>;

    /// Deletes the entry at `revision`.
    ///
    /// # Errors
    /// As for `swap`.
    async fn delete(&self, key: &str, revision: Revision) -> Result<(), StoreError>;

    /// Grants a lease that lapses after `ttl` without renewal.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is away or throttles.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its whole time to live.
    ///
    /// # Errors
    /// Returns `LeaseGone` if it lapsed already.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease and deletes the entries attached to it.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is away or throttles.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Waits up to `wait` for changes under `prefix` with a revision above `after`.
    /// Returns an empty list when the time passes without a change.
    ///
    /// # Errors
    /// Returns a `StoreError` if the store is away or throttles.
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

    /// Reads all entries under `prefix` as they were some seconds ago at the earliest, which is cheaper for the store.
    ///
    /// # Errors
    /// As for `list`.
    async fn list_allow_stale(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.list(prefix).await
    }

    /// Waits as `watch` does, and returns the revision from which to continue.
    ///
    /// # Errors
    /// As for `watch`; `Compacted` if changes after `after` are no longer known.
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
