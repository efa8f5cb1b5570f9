//! The partitions of customers that this host owns in its data centre. Does no I/O and reads no clock: the
//! caller passes the time in and makes the store calls that are returned.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::connection::codec;
use crate::prelude::*;
use crate::process::shard::stable_hash;
use crate::process::store::MAX_VALUE_BYTES;

/// The number of partitions that customers are hashed into.
pub const PARTITION_COUNT: Partition = 64;
/// The time to live of a host's ownership lease in the store. Renewals may fail for nearly this long before the host
/// loses its partitions.
pub const OWNERSHIP_LEASE_TTL: Duration = Duration::from_hours(2);
/// The time between renewals of that lease.
pub const OWNERSHIP_RENEWAL_INTERVAL: Duration = Duration::from_mins(10);

/// Returns the partition of a customer.
pub fn partition_of(customer: &str) -> Partition {
    Partition::try_from(stable_hash(customer) % u64::from(PARTITION_COUNT)).unwrap_or_default()
}

/// Returns the store key of a partition in a data centre.
pub fn partition_key(data_centre: &str, partition: Partition) -> String {
    format!("{}{partition}", partition_prefix(data_centre))
}

/// Returns the prefix of the store keys of a data centre's partitions.
pub fn partition_prefix(data_centre: &str) -> String {
    format!("own/{data_centre}/")
}

/// The owner of a partition, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The host that owns the partition.
    pub host: HostId,
    /// The incarnation of the host's process; a later process does not own the partition.
    pub incarnation: Incarnation,
    /// The lease that the entry is attached to. The store deletes the entry with it, so a process that holds
    /// another lease by now does not own the partition.
    pub lease: LeaseId,
}

impl OwnerRecord {
    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        // A record holds only strings and integers, which can always be encoded.
        codec::encode(self).unwrap_or_default()
    }

    /// Decodes a stored record; `None` if it is not valid.
    pub fn decode(value: &[u8]) -> Option<Self> {
        codec::decode_exactly::<Self, MAX_VALUE_BYTES>(value).ok()
    }
}

/// A compare-and-swap at the store that claims a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The partition to claim; `partition_key` gives its store key.
    pub partition: Partition,
    /// The state of the entry that the write requires.
    pub expected: Expected,
    /// The record to write.
    pub record: OwnerRecord,
}

/// The ownership of the partitions in this host's data centre, as known to this host.
#[derive(Debug)]
pub struct Ownership {
    host: HostId,
    incarnation: Incarnation,
    /// The lease in the store, and this host's deadline for it, which comes earlier.
    lease: Option<(LeaseId, Instant)>,
    /// The partitions owned, with the revision of the store entry as epoch.
    owned: BTreeMap<Partition, Epoch>,
    /// The records last read from the store or written to it.
    records: BTreeMap<Partition, (OwnerRecord, Revision)>,
    /// The processes that have certainly ended.
    gone: BTreeSet<(HostId, Incarnation)>,
    /// The last revision of each released partition. That revision and earlier ones are never owned again, even if a
    /// late reply or an outdated listing of the store contains them.
    released: BTreeMap<Partition, Revision>,
    /// The released partitions whose next owner has not replied yet.
    handing_over: BTreeSet<Partition>,
    leaving: bool,
}

impl Ownership {
    /// Creates the state of a host that owns no partition.
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            lease: None,
            owned: BTreeMap::new(),
            records: BTreeMap::new(),
            gone: BTreeSet::new(),
            released: BTreeMap::new(),
            handing_over: BTreeSet::new(),
            leaving: false,
        }
    }

    /// Returns the lease in the store; `None` from this host's deadline for it on.
    pub fn lease(&self, now: Instant) -> Option<LeaseId> {
        self.lease.filter(|(_, until)| now < *until).map(|l| l.0)
    }

    /// Returns this host's deadline for its lease; `now` without a lease.
    pub fn lease_until(&self, now: Instant) -> Instant {
        self.lease.map_or(now, |(_, until)| until)
    }

    /// Records a lease that was granted or renewed by a store call started at `asked_at`.
    ///
    /// This host's deadline is the time to live after `asked_at`, less 2 % for clock drift.
    pub fn set_lease(&mut self, lease: LeaseId, asked_at: Instant) {
        self.lease = Some((lease, asked_at + OWNERSHIP_LEASE_TTL / 50 * 49));
    }

    /// Removes the lease and the partitions owned under it.
    pub fn clear_lease(&mut self) {
        self.lease = None;
        self.owned.clear();
    }

    /// Applies a listing of all records in the store.
    ///
    /// Partitions that this host claimed in a call whose reply was lost are owned from now on. Partitions that another
    /// host has claimed are not owned any more.
    pub fn apply_listing(
        &mut self,
        records: BTreeMap<Partition, (OwnerRecord, Revision)>,
        now: Instant,
    ) {
        self.records = records;
        let lease = self.lease(now).filter(|_| !self.leaving);
        let mine = self.records.iter().filter(|(p, (r, revision))| {
            self.is_own(r, lease) && !self.is_released(**p, *revision)
        });
        self.owned = mine
            .map(|(partition, (_, revision))| (*partition, *revision))
            .collect();
    }

    /// Records proof that a process has ended.
    pub fn note_gone(&mut self, host: HostId, incarnation: Incarnation) {
        self.gone.insert((host, incarnation));
    }

    /// Records that `host` now runs as `incarnation`, which proves that its earlier processes have ended.
    pub fn note_restart(&mut self, host: &HostId, incarnation: Incarnation) {
        let earlier = self.records.values().map(|(record, _)| record);
        let earlier = earlier.filter(|r| r.host == *host && r.incarnation != incarnation);
        let earlier: Vec<_> = earlier.map(|r| (r.host.clone(), r.incarnation)).collect();
        self.gone.extend(earlier);
    }

    /// Returns the claims to make: free partitions that `is_preferred` assigns to this host, and released ones that no
    /// other host has claimed.
    pub fn claims(&self, is_preferred: impl Fn(Partition) -> bool, now: Instant) -> Vec<Claim> {
        let free = |partition: Partition| match self.records.get(&partition) {
            None => Some(Expected::Absent),
            Some((record, revision)) => {
                let process = (record.host.clone(), record.incarnation);
                // A record of this host that it does not own comes from an earlier process or lease.
                (record.host == self.host || self.gone.contains(&process))
                    .then_some(Expected::At(*revision))
            }
        };
        (0..PARTITION_COUNT)
            .filter(|p| {
                !self.handing_over.contains(p) && (is_preferred(*p) || self.is_orphaned(*p))
            })
            .filter_map(|partition| self.claim(partition, free(partition)?, now))
            .collect()
    }

    /// Returns the claim of a partition that its owner, recorded at `revision`, has released and hands over.
    pub fn claim_handed_over(
        &self,
        partition: Partition,
        revision: Revision,
        now: Instant,
    ) -> Option<Claim> {
        self.claim(partition, Expected::At(revision), now)
    }

    /// Returns the claim of a partition; `None` if it is owned, without a lease, and after `release_all`.
    fn claim(&self, partition: Partition, expected: Expected, now: Instant) -> Option<Claim> {
        let lease = self.lease(now).filter(|_| !self.leaving)?;
        (!self.owned.contains_key(&partition)).then(|| Claim {
            partition,
            expected,
            record: OwnerRecord {
                host: self.host.clone(),
                incarnation: self.incarnation,
                lease,
            },
        })
    }

    /// Records a claim that the store accepted at `revision`.
    pub fn note_claimed(&mut self, claim: Claim, revision: Revision) {
        let current = self.lease.map(|(lease, _)| lease);
        let released = self.is_released(claim.partition, revision);
        if !self.leaving && current == Some(claim.record.lease) && !released {
            self.owned.insert(claim.partition, revision);
        }
        self.records
            .insert(claim.partition, (claim.record, revision));
    }

    /// Returns the owned partitions in ascending order.
    pub fn owned(&self) -> Vec<Partition> {
        self.owned.keys().copied().collect()
    }

    /// Stops owning a partition in order to hand it over. Returns the epoch in which it was owned.
    pub fn release(&mut self, partition: Partition) -> Option<Epoch> {
        let epoch = self.owned.remove(&partition)?;
        self.released.insert(partition, epoch);
        self.handing_over.insert(partition);
        Some(epoch)
    }

    /// Records that a hand-over has ended, whether the next owner took the partition over or not.
    pub fn end_hand_over(&mut self, partition: Partition) {
        self.handing_over.remove(&partition);
    }

    /// Records that all hand-overs have ended.
    pub fn end_all_hand_overs(&mut self) {
        self.handing_over.clear();
    }

    /// Returns whether a partition was released and its next owner has not replied yet.
    pub fn is_handing_over(&self, partition: Partition) -> bool {
        self.handing_over.contains(&partition)
    }

    /// Releases all partitions and claims none from now on. Returns the partitions to hand over, and the lease to
    /// revoke afterwards.
    pub fn release_all(&mut self) -> (Vec<(Partition, Epoch)>, Option<LeaseId>) {
        self.leaving = true;
        let owned = self.owned().into_iter();
        let all = owned.filter_map(|partition| Some((partition, self.release(partition)?)));
        (all.collect(), self.lease.map(|(lease, _)| lease))
    }

    /// Returns the epoch in which this host owns a partition.
    pub fn epoch(&self, partition: Partition) -> Option<Epoch> {
        self.owned.get(&partition).copied()
    }

    /// Returns whether a process has certainly ended.
    pub fn is_gone(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.gone.contains(&(host.clone(), incarnation))
    }

    /// Returns the owner that the store had on record for a partition, which may have ended since.
    pub fn owner(&self, partition: Partition) -> Option<&OwnerRecord> {
        self.records.get(&partition).map(|(record, _)| record)
    }

    /// Returns whether a partition was released here and no host has claimed it since.
    fn is_orphaned(&self, partition: Partition) -> bool {
        let record = self.records.get(&partition);
        record.is_some_and(|(_, revision)| self.released.get(&partition) == Some(revision))
    }

    fn is_released(&self, partition: Partition, revision: Revision) -> bool {
        let last = self.released.get(&partition);
        last.is_some_and(|last| revision <= *last)
    }

    fn is_own(&self, record: &OwnerRecord, lease: Option<LeaseId>) -> bool {
        record.host == self.host
            && record.incarnation == self.incarnation
            && Some(record.lease) == lease
    }
}
