//! Which partitions of customers this host owns in its data centre. Pure state: the time is passed
//! in, and what to do at the store is returned.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::connection::codec;
use crate::prelude::*;
use crate::process::shard::stable_hash;
use crate::process::store::MAX_VALUE_BYTES;

/// The number of partitions into which customers are hashed.
pub const PARTITION_COUNT: Partition = 64;
/// The time to live of a host's ownership lease in the store.
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

/// What the store holds about a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The lease that the entry is attached to. The entry goes with that lease, so a process that has
    /// another one by now doesn't own the partition.
    pub lease: LeaseId,
}

impl OwnerRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // A record holds only strings and integers, which can always be encoded.
        codec::encode(self).unwrap_or_default()
    }

    /// Decodes a record; `None` if it does not parse.
    pub fn decode(value: &[u8]) -> Option<Self> {
        codec::decode_exactly::<Self, MAX_VALUE_BYTES>(value).ok()
    }
}

/// A write that claims a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The partition.
    pub partition: Partition,
    /// What the store must hold.
    pub expected: Expected,
    /// What to write.
    pub record: OwnerRecord,
}

/// This host's view of the partitions of its data centre.
#[derive(Debug)]
pub struct Ownership {
    host: HostId,
    incarnation: Incarnation,
    /// The lease in the store and this host's own deadline for it.
    lease: Option<(LeaseId, Instant)>,
    /// The partitions owned, with the revision of the store entry as epoch.
    owned: BTreeMap<Partition, Epoch>,
    records: BTreeMap<Partition, (OwnerRecord, Revision)>,
    /// Processes that are certainly gone.
    gone: BTreeSet<(HostId, Incarnation)>,
    /// The last revision of each partition that was given up. It is never owned again, even if a late
    /// reply or an earlier reading of the store shows it.
    released: BTreeMap<Partition, Revision>,
    /// The partitions that were given up and whose next owner hasn't answered yet.
    handing_over: BTreeSet<Partition>,
    leaving: bool,
}

impl Ownership {
    /// Creates the view of a host that owns nothing yet.
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

    /// Returns the lease in the store while this host may still use it.
    pub fn lease(&self, now: Instant) -> Option<LeaseId> {
        self.lease.filter(|(_, until)| now < *until).map(|l| l.0)
    }

    /// Returns this host's deadline; `now` without a lease.
    pub fn lease_until(&self, now: Instant) -> Instant {
        self.lease.map_or(now, |(_, until)| until)
    }

    /// Records a lease that was granted or renewed by a call made at `asked`.
    ///
    /// The deadline counts from before the call, with 2 % for drift of the clocks.
    pub fn set_lease(&mut self, lease: LeaseId, asked: Instant) {
        self.lease = Some((lease, asked + OWNERSHIP_LEASE_TTL / 50 * 49));
    }

    /// Drops the lease and everything that was owned under it.
    pub fn clear_lease(&mut self) {
        self.lease = None;
        self.owned.clear();
    }

    /// Records what the store holds for all partitions.
    ///
    /// What this host claimed in a call with a lost reply is owned from now on; what another host has
    /// taken over is not owned any more.
    pub fn apply_listing(
        &mut self,
        records: BTreeMap<Partition, (OwnerRecord, Revision)>,
        now: Instant,
    ) {
        self.records = records;
        let lease = self.lease(now).filter(|_| !self.leaving);
        let mine = self.records.iter().filter(|(p, (r, revision))| {
            self.is_mine(r, lease) && !self.is_released(**p, *revision)
        });
        self.owned = mine
            .map(|(partition, (_, revision))| (*partition, *revision))
            .collect();
    }

    /// Records that a process is certainly gone.
    pub fn note_gone(&mut self, host: HostId, incarnation: Incarnation) {
        self.gone.insert((host, incarnation));
    }

    /// Records that `host` now runs as `incarnation`, which proves that earlier processes are gone.
    pub fn note_restart(&mut self, host: &HostId, incarnation: Incarnation) {
        let earlier = self.records.values().map(|(record, _)| record);
        let earlier = earlier.filter(|r| r.host == *host && r.incarnation != incarnation);
        let earlier: Vec<_> = earlier.map(|r| (r.host.clone(), r.incarnation)).collect();
        self.gone.extend(earlier);
    }

    /// Returns the claims to make, for the partitions that `is_next` assigns to this host.
    pub fn claims(&self, is_next: impl Fn(Partition) -> bool, now: Instant) -> Vec<Claim> {
        let free = |partition: Partition| match self.records.get(&partition) {
            None => Some(Expected::Absent),
            Some((record, revision)) => {
                let process = (record.host.clone(), record.incarnation);
                // Whatever this host held in an earlier process or under an earlier lease is dropped.
                (record.host == self.host || self.gone.contains(&process))
                    .then_some(Expected::At(*revision))
            }
        };
        (0..PARTITION_COUNT)
            .filter(|p| !self.handing_over.contains(p) && (is_next(*p) || self.is_orphaned(*p)))
            .filter_map(|partition| self.claim(partition, free(partition)?, now))
            .collect()
    }

    /// Returns the claim of a partition that its owner has given up at `revision` and hands over.
    pub fn claim_handed_over(
        &self,
        partition: Partition,
        revision: Revision,
        now: Instant,
    ) -> Option<Claim> {
        self.claim(partition, Expected::At(revision), now)
    }

    /// Returns the claim of a partition that isn't owned; `None` without a lease and when leaving.
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

    /// Records a claim that succeeded.
    pub fn note_claimed(&mut self, claim: Claim, revision: Revision) {
        let current = self.lease.map(|(lease, _)| lease);
        let released = self.is_released(claim.partition, revision);
        if !self.leaving && current == Some(claim.record.lease) && !released {
            self.owned.insert(claim.partition, revision);
        }
        self.records
            .insert(claim.partition, (claim.record, revision));
    }

    /// Returns the partitions owned.
    pub fn owned(&self) -> Vec<Partition> {
        self.owned.keys().copied().collect()
    }

    /// Gives up a partition that is to be handed over, and returns the epoch in which it was owned.
    pub fn release(&mut self, partition: Partition) -> Option<Epoch> {
        let epoch = self.owned.remove(&partition)?;
        self.released.insert(partition, epoch);
        self.handing_over.insert(partition);
        Some(epoch)
    }

    /// Records that a hand-over has ended, whether the partition was taken or not.
    pub fn end_hand_over(&mut self, partition: Partition) {
        self.handing_over.remove(&partition);
    }

    /// Records that all hand-overs have ended.
    pub fn end_all_hand_overs(&mut self) {
        self.handing_over.clear();
    }

    /// Tells whether a partition was given up and its next owner hasn't answered yet.
    pub fn is_handing_over(&self, partition: Partition) -> bool {
        self.handing_over.contains(&partition)
    }

    /// Gives up everything at once and for good. Returns what is to be handed over, and the lease to
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

    /// Tells whether a process is certainly gone.
    pub fn is_gone(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.gone.contains(&(host.clone(), incarnation))
    }

    /// Returns the recorded owner of a partition.
    pub fn owner(&self, partition: Partition) -> Option<&OwnerRecord> {
        self.records.get(&partition).map(|(record, _)| record)
    }

    /// Tells whether a partition was given up and no other host has claimed it.
    fn is_orphaned(&self, partition: Partition) -> bool {
        let record = self.records.get(&partition);
        record.is_some_and(|(_, revision)| self.released.get(&partition) == Some(revision))
    }

    fn is_released(&self, partition: Partition, revision: Revision) -> bool {
        let last = self.released.get(&partition);
        last.is_some_and(|last| revision <= *last)
    }

    fn is_mine(&self, record: &OwnerRecord, lease: Option<LeaseId>) -> bool {
        record.host == self.host
            && record.incarnation == self.incarnation
            && Some(record.lease) == lease
    }
}
