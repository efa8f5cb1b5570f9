//! The store calls and the background task for `Ownership`, and the search for owners.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use crate::prelude::*;
use crate::process::members::owners;
use crate::process::ownership::{
    Claim, OWNERSHIP_LEASE_TTL, OWNERSHIP_RENEWAL_INTERVAL, OwnerRecord, PARTITION_COUNT,
    partition_key, partition_of, partition_prefix,
};
use crate::process::shard::lock;

use super::FleetLimits;

/// The pause after each synchronisation with the store, failed or not, unless the store throttles and sets its own.
const SYNC_PAUSE: Duration = Duration::from_millis(500);
/// How long the set of hosts in the data centre must be unchanged before partitions are handed over: longer than a
/// restart, so that a rolling restart does not move partitions back and forth.
const REBALANCE_DELAY: Duration = Duration::from_secs(30);
/// The partitions handed over at a time, and the pause until the next ones.
const REBALANCE_BATCH: usize = 4;
const REBALANCE_PAUSE: Duration = Duration::from_secs(1);
/// The least time between two reads of another data centre's owners.
const REMOTE_READ_INTERVAL: Duration = Duration::from_secs(5);

type Records = BTreeMap<Partition, (OwnerRecord, Revision)>;

/// The owners in another data centre as last read from the store.
#[derive(Default)]
pub(super) struct RemoteOwners {
    records: Records,
    /// When the last read was started.
    last_read: Option<Instant>,
    /// Whether a recorded owner has turned out to be unreachable or not the owner.
    stale: bool,
}

impl FleetLimits {
    /// Starts the task that renews the lease, claims and rebalances partitions, and applies configuration versions.
    pub fn start(self: &Arc<Self>) -> JoinHandle<()> {
        let limits = self.clone();
        tokio::spawn(async move { limits.run().await })
    }

    /// Records proof that a process has ended, so that its partitions can be claimed.
    pub fn note_process_gone(&self, host: HostId, incarnation: Incarnation) {
        lock(&self.ownership).note_gone(host, incarnation);
        self.refresh.notify_one();
    }

    async fn run(&self) {
        let mut members = self.parts.members.subscribe();
        let mut versions = self.parts.versions.subscribe();
        let mut stopped = self.stopped.subscribe();
        let mut renewed_at: Option<Instant> = None;
        let mut sync_needed = true;
        let mut not_before = tokio::time::Instant::now();
        let mut hosts = self.local_hosts();
        let mut rebalance_at = Some(not_before + REBALANCE_DELAY);
        loop {
            if sync_needed && tokio::time::Instant::now() >= not_before {
                let mut pause = SYNC_PAUSE;
                match self.sync_with_store(&mut renewed_at).await {
                    Ok(()) => sync_needed = false,
                    Err(StoreError::Throttled { retry_after }) => pause = retry_after,
                    Err(e) => log::debug!("could not sync ownership with the store: {e}"),
                }
                not_before = tokio::time::Instant::now() + pause;
                self.owners_changed.send_modify(|count| *count += 1);
            }
            let now = tokio::time::Instant::now();
            // Not while the store is unavailable, because no host could claim a released partition.
            if !sync_needed && rebalance_at.is_some_and(|at| at <= now) {
                rebalance_at = match self.rebalance(REBALANCE_BATCH).await {
                    (0, 0) => None,
                    (_, 0) => Some(now + REBALANCE_PAUSE),
                    _ => Some(now + REBALANCE_DELAY),
                };
                sync_needed |= rebalance_at.is_some();
            }
            self.apply_limits();
            let next_sync = match renewed_at {
                Some(at) if !sync_needed => {
                    let since = self.parts.clock.now().saturating_duration_since(at);
                    let renew_in = OWNERSHIP_RENEWAL_INTERVAL.saturating_sub(since);
                    not_before.max(tokio::time::Instant::now() + renew_in)
                }
                _ => not_before,
            };
            tokio::select! {
                _ = stopped.wait_for(|stopped| *stopped) => return,
                () = tokio::time::sleep_until(next_sync) => sync_needed = true,
                () = sleep_until(rebalance_at.filter(|_| !sync_needed)) => {}
                changed = members.changed() => {
                    sync_needed |= changed.is_ok();
                    let current = self.local_hosts();
                    if current != hosts {
                        hosts = current;
                        rebalance_at = Some(tokio::time::Instant::now() + REBALANCE_DELAY);
                    }
                }
                changed = versions.changed() => if changed.is_err() { return },
                () = self.refresh.notified() => sync_needed = true,
            }
        }
    }

    /// Returns the live processes in this data centre that are not leaving.
    fn local_hosts(&self) -> BTreeSet<(HostId, Incarnation)> {
        let live = self.parts.members.live();
        live.iter()
            .filter(|m| m.data_centre == self.data_centre && !m.leaving)
            .map(|m| (m.host.clone(), m.incarnation))
            .collect()
    }

    /// Renews the lease if it is due, reads the ownership records, and makes the claims that follow from them.
    async fn sync_with_store(&self, renewed_at: &mut Option<Instant>) -> Result<(), StoreError> {
        let store = &self.parts.store;
        let asked_at = self.parts.clock.now();
        let lease = lock(&self.ownership).lease(asked_at);
        let renewal_due = renewed_at
            .is_none_or(|at| asked_at.saturating_duration_since(at) >= OWNERSHIP_RENEWAL_INTERVAL);
        match lease {
            Some(lease) if renewal_due => match store.renew_lease(lease).await {
                Ok(()) => lock(&self.ownership).set_lease(lease, asked_at),
                Err(StoreError::LeaseGone) => {
                    lock(&self.ownership).clear_lease();
                    return Err(StoreError::LeaseGone);
                }
                Err(e) => return Err(e),
            },
            Some(_) => {}
            None => {
                lock(&self.ownership).clear_lease();
                let lease = store.grant_lease(OWNERSHIP_LEASE_TTL).await?;
                lock(&self.ownership).set_lease(lease, asked_at);
            }
        }
        if renewal_due || lease.is_none() {
            *renewed_at = Some(asked_at);
        }
        let records = self.read_owners(&self.data_centre).await?;
        let live = self.parts.members.live();
        let claims = {
            let now = self.parts.clock.now();
            {
                let mut ownership = lock(&self.ownership);
                ownership.apply_listing(records, now);
                for member in live.iter() {
                    ownership.note_restart(&member.host, member.incarnation);
                }
            }
            let next: BTreeSet<_> = (0..PARTITION_COUNT)
                .filter(|p| self.is_preferred_owner(*p))
                .collect();
            lock(&self.ownership).claims(|partition| next.contains(&partition), now)
        };
        for claim in claims {
            self.claim(claim).await?;
        }
        Ok(())
    }

    async fn claim(&self, claim: Claim) -> Result<(), StoreError> {
        let key = partition_key(&self.data_centre, claim.partition);
        let value = claim.record.encode();
        let lease = Some(claim.record.lease);
        match self
            .parts
            .store
            .swap(&key, claim.expected, value, lease)
            .await
        {
            Ok(revision) => lock(&self.ownership).note_claimed(claim, revision),
            // Another host claimed it first. The next read shows its record.
            Err(StoreError::Conflict { .. }) => {}
            // If the outcome is unknown, the next read shows whether the claim took effect.
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Reads a data centre's ownership records, and skips entries that do not parse.
    async fn read_owners(&self, data_centre: &str) -> Result<Records, StoreError> {
        let prefix = partition_prefix(data_centre);
        let entries = self.parts.store.list(&prefix).await?;
        let parse = |entry: &StoreEntry| {
            let partition = entry.key.strip_prefix(&prefix)?.parse().ok()?;
            let record = OwnerRecord::decode(&entry.value)?;
            Some((partition, (record, entry.revision)))
        };
        Ok(entries.iter().filter_map(parse).collect())
    }

    fn is_preferred_owner(&self, partition: Partition) -> bool {
        self.preferred_owner(&self.data_centre, partition) == Some(self.host.clone())
    }

    pub(super) fn preferred_owner(
        &self,
        data_centre: &str,
        partition: Partition,
    ) -> Option<HostId> {
        self.preferred_owners(data_centre, partition, 1).pop()
    }

    /// Returns up to `count` live hosts that are not known to be gone, in the order of the partition's rendezvous hash.
    pub(super) fn preferred_owners(
        &self,
        data_centre: &str,
        partition: Partition,
        count: usize,
    ) -> Vec<HostId> {
        let key = partition_rank_key(partition);
        let ranked = owners(&*self.parts.members, data_centre, &key);
        let live = self.parts.members.live();
        let ownership = lock(&self.ownership);
        let is_there = |host: &HostId| {
            let member = live.iter().find(|member| member.host == *host);
            member.is_some_and(|member| !ownership.is_gone(host, member.incarnation))
        };
        ranked.into_iter().filter(is_there).take(count).collect()
    }

    /// Returns the owner of a customer in this data centre with its record; without a record, the preferred owner.
    pub(super) fn local_owner(&self, customer: &str) -> Option<(HostId, Option<OwnerRecord>)> {
        let partition = partition_of(customer);
        let record = {
            let ownership = lock(&self.ownership);
            let record = ownership.owner(partition).cloned();
            record.filter(|r| !ownership.is_gone(&r.host, r.incarnation))
        };
        match record {
            Some(record) => Some((record.host.clone(), Some(record))),
            None => Some((self.preferred_owner(&self.data_centre, partition)?, None)),
        }
    }

    /// Returns the recorded owner of a customer in another data centre, or else the preferred one. Reads the records
    /// again if they are stale or lack the partition, at most every `REMOTE_READ_INTERVAL`.
    pub(super) async fn remote_owner(
        &self,
        data_centre: &DataCentreId,
        customer: &str,
    ) -> Option<HostId> {
        let partition = partition_of(customer);
        let now = self.parts.clock.now();
        let read = {
            let mut remote = lock(&self.remote);
            let known = remote.entry(data_centre.clone()).or_default();
            let needed = known.stale || !known.records.contains_key(&partition);
            let is_due = |at: Instant| now.saturating_duration_since(at) >= REMOTE_READ_INTERVAL;
            let read = needed && known.last_read.is_none_or(is_due);
            if read {
                known.last_read = Some(now);
            }
            read
        };
        if read && let Ok(records) = self.read_owners(data_centre).await {
            let mut remote = lock(&self.remote);
            let known = remote.entry(data_centre.clone()).or_default();
            known.records = records;
            known.stale = false;
        }
        let known = lock(&self.remote)
            .get(data_centre)
            .and_then(|known| known.records.get(&partition))
            .map(|(record, _)| record.host.clone());
        known.or_else(|| self.preferred_owner(data_centre, partition))
    }

    /// Records that a host in another data centre was unreachable or did not act as the owner.
    pub(super) fn mark_remote_owners_stale(&self, data_centre: &DataCentreId) {
        if let Some(known) = lock(&self.remote).get_mut(data_centre) {
            known.stale = true;
        }
    }
}

/// Returns the key by which rendezvous hashing ranks the hosts for a partition.
pub(super) fn partition_rank_key(partition: Partition) -> String {
    format!("customers/{partition}")
}

/// Sleeps until `at`; `None` never ends.
async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
