//! An emulator of the platform's key-value service with compare-and-swap, leases, watches, a call budget, outages,
//! delays and replies that are lost after the write took effect.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use tokio::sync::Notify;

use crate::prelude::*;
use crate::process::shard::lock;
use crate::process::store::{AsOf, MAX_VALUE_BYTES};

/// The faults injected into the store.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct StoreFaults {
    /// Whether every call fails without taking effect.
    pub outage: bool,
    /// The delay before each call takes effect.
    pub delay: Duration,
    /// The number of upcoming successful writes whose replies are lost.
    pub lost_replies: u32,
    /// The maximum number of calls per second; `None` for no limit. A watch counts as one call, however long it waits.
    pub calls_per_second: Option<u32>,
}

/// A store in memory, with faults to emulate.
pub struct MemoryStore {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    revision: Revision,
    entries: BTreeMap<String, Stored>,
    leases: HashMap<LeaseId, Lease>,
    /// All changes since the creation of the store, for watches.
    changes: Vec<StoreChange>,
    faults: StoreFaults,
    calls: u64,
    /// The start of the current one-second window of the call budget, and the calls admitted in it.
    budget_window: Option<(Instant, u32)>,
}

struct Stored {
    value: Vec<u8>,
    revision: Revision,
    lease: Option<LeaseId>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

impl MemoryStore {
    /// Creates an empty store.
    pub fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        lock(&self.state).faults = faults;
        self.changed.notify_waiters();
    }

    /// Returns the number of calls received outside outages, throttled ones included.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    /// Waits for the injected delay, checks outage and call budget, expires leases, and runs `call`.
    async fn run<T>(
        &self,
        call: impl FnOnce(&mut State) -> Result<T, StoreError> + Send,
    ) -> Result<T, StoreError> {
        self.delay().await;
        let now = self.clock.now();
        lock(&self.state).admit(now)?;
        self.apply(now, call)
    }

    async fn delay(&self) {
        let delay = lock(&self.state).faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    /// Runs `call` without counting it against the call budget. Fails during an outage.
    fn apply<T>(
        &self,
        now: Instant,
        call: impl FnOnce(&mut State) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut state = lock(&self.state);
        state.check_outage()?;
        let before = state.revision;
        state.expire(now);
        let result = call(&mut state);
        let changed = state.revision != before;
        drop(state);
        if changed {
            self.changed.notify_waiters();
        }
        result
    }

    /// Runs a write as `run` does. Its reply may be lost after it took effect.
    async fn write<T>(
        &self,
        call: impl FnOnce(&mut State) -> Result<T, StoreError> + Send,
    ) -> Result<T, StoreError> {
        self.run(|state| {
            let result = call(state);
            if result.is_ok() && state.faults.lost_replies > 0 {
                state.faults.lost_replies -= 1;
                let cause = "reply lost".to_owned();
                return Err(StoreError::Unknown { cause });
            }
            result
        })
        .await
    }
}

impl State {
    fn check_outage(&self) -> Result<(), StoreError> {
        if self.faults.outage {
            let cause = "outage".to_owned();
            return Err(StoreError::Unavailable { cause });
        }
        Ok(())
    }

    fn admit(&mut self, now: Instant) -> Result<(), StoreError> {
        self.check_outage()?;
        self.calls += 1;
        let Some(limit) = self.faults.calls_per_second else {
            return Ok(());
        };
        let second = Duration::from_secs(1);
        let (start, count) = match self.budget_window {
            Some((start, count)) if now < start + second => (start, count),
            _ => (now, 0),
        };
        if count >= limit {
            return Err(StoreError::Throttled {
                retry_after: start + second - now,
            });
        }
        self.budget_window = Some((start, count + 1));
        Ok(())
    }

    fn expire(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        let attached: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, stored)| stored.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in attached {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            self.changes.push(StoreChange::Deleted {
                key: key.to_owned(),
                revision: self.revision,
            });
        }
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<LeaseId>) -> Revision {
        self.revision += 1;
        let entry = StoreEntry {
            key: key.to_owned(),
            value: value.clone(),
            revision: self.revision,
        };
        self.changes.push(StoreChange::Put(entry));
        let stored = Stored {
            value,
            revision: self.revision,
            lease,
        };
        self.entries.insert(key.to_owned(), stored);
        self.revision
    }

    fn check_revision(&self, key: &str, expected: Expected) -> Result<(), StoreError> {
        let current = self.entries.get(key).map(|stored| stored.revision);
        let wanted = match expected {
            Expected::Absent => None,
            Expected::At(revision) => Some(revision),
        };
        if current == wanted {
            Ok(())
        } else {
            Err(StoreError::Conflict { current })
        }
    }

    fn changes_after(&self, prefix: &str, after: Revision) -> Vec<StoreChange> {
        let matches = |change: &&StoreChange| {
            let (key, revision) = match change {
                StoreChange::Put(entry) => (&entry.key, entry.revision),
                StoreChange::Deleted { key, revision } => (key, *revision),
            };
            revision > after && key.starts_with(prefix)
        };
        self.changes.iter().filter(matches).cloned().collect()
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.run(|state| {
            Ok(state.entries.get(key).map(|stored| StoreEntry {
                key: key.to_owned(),
                value: stored.value.clone(),
                revision: stored.revision,
            }))
        })
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        Ok(self.list_as_of(prefix).await?.value)
    }

    async fn list_as_of(&self, prefix: &str) -> Result<AsOf<Vec<StoreEntry>>, StoreError> {
        self.run(|state| {
            let revision = state.revision;
            let entries = state.entries.range(prefix.to_owned()..);
            let value = entries
                .take_while(|(key, _)| key.starts_with(prefix))
                .map(|(key, stored)| StoreEntry {
                    key: key.clone(),
                    value: stored.value.clone(),
                    revision: stored.revision,
                })
                .collect();
            Ok(AsOf { value, revision })
        })
        .await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        self.write(|state| {
            if lease.is_some_and(|lease| !state.leases.contains_key(&lease)) {
                return Err(StoreError::LeaseGone);
            }
            state.check_revision(key, expected)?;
            Ok(state.put(key, value, lease))
        })
        .await
    }

    async fn delete(&self, key: &str, revision: Revision) -> Result<(), StoreError> {
        self.write(|state| {
            state.check_revision(key, Expected::At(revision))?;
            state.remove(key);
            Ok(())
        })
        .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let expires = self.clock.now() + ttl;
        self.write(|state| {
            state.revision += 1;
            let id = state.revision;
            state.leases.insert(id, Lease { ttl, expires });
            Ok(id)
        })
        .await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let now = self.clock.now();
        self.write(|state| {
            let lease = state.leases.get_mut(&lease).ok_or(StoreError::LeaseGone)?;
            lease.expires = now + lease.ttl;
            Ok(())
        })
        .await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(|state| {
            state.end_lease(lease);
            Ok(())
        })
        .await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError> {
        let deadline = tokio::time::Instant::now() + wait;
        // Counts the watch as one call, however often it wakes.
        self.run(|_| Ok(())).await?;
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let (changes, next_expiry) = self.apply(self.clock.now(), |state| {
                let next = state.leases.values().map(|lease| lease.expires).min();
                Ok((state.changes_after(prefix, after), next))
            })?;
            if !changes.is_empty() || tokio::time::Instant::now() >= deadline {
                return Ok(changes);
            }
            let until_expiry = next_expiry.map(|at| at.saturating_duration_since(self.clock.now()));
            let expiry = tokio::time::Instant::now() + until_expiry.unwrap_or(wait);
            let _ = tokio::time::timeout_at(expiry.min(deadline), notified).await;
            self.delay().await;
        }
    }
}
