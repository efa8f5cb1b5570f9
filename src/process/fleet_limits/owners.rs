//! The shell around `Ownership`: what it does at the store, and how owners are found.

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

/// The pause after a store call that failed, and the least time between two reads on request.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// The time for which the hosts of the data centre must stay the same before partitions are handed over:
/// longer than a restart, so that restarts one after the other don't move partitions back and forth.
const REBALANCE_AFTER: Duration = Duration::from_secs(30);
/// The partitions handed over at a time, and the pause between.
const REBALANCED_AT_ONCE: usize = 4;
const REBALANCE_PAUSE: Duration = Duration::from_secs(1);
/// The least time between two reads of another data centre's owners.
const REMOTE_PAUSE: Duration = Duration::from_secs(5);

type Records = BTreeMap<Partition, (OwnerRecord, Revision)>;

/// The owners in another data centre, as last read from the store.
#[derive(Default)]
pub(super) struct RemoteOwners {
    records: Records,
    /// When the store was last asked.
    read: Option<Instant>,
    /// Whether an owner didn't answer as one since then.
    doubted: bool,
}

impl FleetLimits {
    /// Starts the task that claims, renews and takes over partitions and follows the configuration.
    pub fn start(self: &Arc<Self>) -> JoinHandle<()> {
        let limits = self.clone();
        tokio::spawn(async move { limits.run().await })
    }

    /// Records proof that a process is gone, so that its partitions can be taken over.
    pub fn note_process_gone(&self, host: HostId, incarnation: Incarnation) {
        lock(&self.ownership).note_gone(host, incarnation);
        self.refresh.notify_one();
    }

    async fn run(&self) {
        let mut members = self.parts.members.subscribe();
        let mut versions = self.parts.versions.subscribe();
        let mut stopped = self.stopped.subscribe();
        let mut renewed: Option<Instant> = None;
        let mut wanted = true;
        let mut not_before = tokio::time::Instant::now();
        let mut hosts = self.hosts_here();
        let mut rebalance_at = Some(not_before + REBALANCE_AFTER);
        loop {
            if wanted && tokio::time::Instant::now() >= not_before {
                let mut pause = STORE_PAUSE;
                match self.follow_store(&mut renewed).await {
                    Ok(()) => wanted = false,
                    Err(StoreError::Throttled { retry_after }) => pause = retry_after,
                    Err(e) => log::debug!("ownership not brought up to date: {e}"),
                }
                not_before = tokio::time::Instant::now() + pause;
                self.owners_changed.send_modify(|count| *count += 1);
            }
            let now = tokio::time::Instant::now();
            // Without the store, no other host can claim what is given up.
            if !wanted && rebalance_at.is_some_and(|at| at <= now) {
                rebalance_at = match self.rebalance(REBALANCED_AT_ONCE).await {
                    (0, 0) => None,
                    (_, 0) => Some(now + REBALANCE_PAUSE),
                    _ => Some(now + REBALANCE_AFTER),
                };
                wanted |= rebalance_at.is_some();
            }
            self.apply_limits();
            let due = match renewed {
                Some(at) if !wanted => {
                    let since = self.parts.clock.now().saturating_duration_since(at);
                    let due = OWNERSHIP_RENEWAL_INTERVAL.saturating_sub(since);
                    not_before.max(tokio::time::Instant::now() + due)
                }
                _ => not_before,
            };
            tokio::select! {
                _ = stopped.wait_for(|stopped| *stopped) => return,
                () = tokio::time::sleep_until(due) => wanted = true,
                () = sleep_until(rebalance_at.filter(|_| !wanted)) => {}
                changed = members.changed() => {
                    wanted |= changed.is_ok();
                    let now = self.hosts_here();
                    if now != hosts {
                        hosts = now;
                        rebalance_at = Some(tokio::time::Instant::now() + REBALANCE_AFTER);
                    }
                }
                changed = versions.changed() => if changed.is_err() { return },
                () = self.refresh.notified() => wanted = true,
            }
        }
    }

    /// Returns the processes in this data centre that take work.
    fn hosts_here(&self) -> BTreeSet<(HostId, Incarnation)> {
        let live = self.parts.members.live();
        live.iter()
            .filter(|m| m.data_centre == self.data_centre && !m.leaving)
            .map(|m| (m.host.clone(), m.incarnation))
            .collect()
    }

    /// Renews the lease when it is due, reads the owners, and claims what is free.
    async fn follow_store(&self, renewed: &mut Option<Instant>) -> Result<(), StoreError> {
        let store = &self.parts.store;
        let asked = self.parts.clock.now();
        let lease = lock(&self.ownership).lease(asked);
        let due = renewed
            .is_none_or(|at| asked.saturating_duration_since(at) >= OWNERSHIP_RENEWAL_INTERVAL);
        match lease {
            Some(lease) if due => match store.renew_lease(lease).await {
                Ok(()) => lock(&self.ownership).set_lease(lease, asked),
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
                lock(&self.ownership).set_lease(lease, asked);
            }
        }
        if due || lease.is_none() {
            *renewed = Some(asked);
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
            let next: BTreeSet<_> = (0..PARTITION_COUNT).filter(|p| self.is_next(*p)).collect();
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
            // Another host was faster; the next read shows it.
            Err(StoreError::Conflict { .. }) => {}
            // After a lost reply, the next read shows whether the claim took effect.
            Err(e) => return Err(e),
        }
        Ok(())
    }

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

    fn is_next(&self, partition: Partition) -> bool {
        self.next_owner(&self.data_centre, partition) == Some(self.host.clone())
    }

    pub(super) fn next_owner(&self, data_centre: &str, partition: Partition) -> Option<HostId> {
        self.next_owners(data_centre, partition, 1).pop()
    }

    /// Returns the first `count` hosts that are not known to be gone, in the order in which they should own a partition.
    pub(super) fn next_owners(
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

    /// Returns the host to ask for a customer in this data centre, and its record if it has one.
    pub(super) fn owner_here(&self, customer: &str) -> Option<(HostId, Option<OwnerRecord>)> {
        let partition = partition_of(customer);
        let record = {
            let ownership = lock(&self.ownership);
            let record = ownership.owner(partition).cloned();
            record.filter(|r| !ownership.is_gone(&r.host, r.incarnation))
        };
        match record {
            Some(record) => Some((record.host.clone(), Some(record))),
            None => Some((self.next_owner(&self.data_centre, partition)?, None)),
        }
    }

    /// Returns the owner of a customer in another data centre.
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
            let needed = known.doubted || !known.records.contains_key(&partition);
            let pause = |at: Instant| now.saturating_duration_since(at) >= REMOTE_PAUSE;
            let read = needed && known.read.is_none_or(pause);
            if read {
                known.read = Some(now);
            }
            read
        };
        if read && let Ok(records) = self.read_owners(data_centre).await {
            let mut remote = lock(&self.remote);
            let known = remote.entry(data_centre.clone()).or_default();
            known.records = records;
            known.doubted = false;
        }
        let known = lock(&self.remote)
            .get(data_centre)
            .and_then(|known| known.records.get(&partition))
            .map(|(record, _)| record.host.clone());
        known.or_else(|| self.next_owner(data_centre, partition))
    }

    /// Records that an owner in another data centre lent nothing, perhaps because it is none.
    pub(super) fn doubt_remote(&self, data_centre: &DataCentreId) {
        if let Some(known) = lock(&self.remote).get_mut(data_centre) {
            known.doubted = true;
        }
    }
}

/// Returns the key by which the hosts are ranked for a partition.
pub(super) fn partition_rank_key(partition: Partition) -> String {
    format!("customers/{partition}")
}

/// Sleeps until `at`; for ever without one.
async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
