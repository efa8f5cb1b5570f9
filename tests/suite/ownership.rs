//! Guards against two hosts that own the same partition at the same time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

use hibiscusspread::prelude::*;
use hibiscusspread::process::ownership::{
    Claim, OWNERSHIP_LEASE_TTL, OwnerRecord, Ownership, PARTITION_COUNT, partition_of,
};

const HOSTS: usize = 3;
/// The partitions that the simulation claims and checks.
const CHECKED_PARTITIONS: Partition = 2;

#[derive(Debug, Clone)]
enum Op {
    /// Advances the clock by seconds.
    Advance(u64),
    /// Grants or renews a host's lease; the reply may be lost.
    Lease {
        host: usize,
        lost: bool,
    },
    List(usize),
    /// Makes all claims of a host. The store's replies may be lost or late.
    Claim {
        host: usize,
        lost: bool,
        late: bool,
    },
    LateReply(usize),
    Crash(usize),
    Prove(usize),
    ReleaseAll(usize),
    DeleteReleased(usize),
    /// Releases a partition in order to hand it over.
    Release(usize, Partition),
    /// Claims the partition of the hand-over message sent `message` messages ago, which may be late or a duplicate. The
    /// reply to the claim may be lost or late. The host may be the one that released the partition.
    TakeOver {
        host: usize,
        message: usize,
        lost: bool,
        late: bool,
    },
    /// Revokes the lease of a host that has released all partitions.
    Revoke(usize),
}

fn ops() -> impl Strategy<Value = Op> {
    let host = 0..HOSTS;
    let any = prop::bool::ANY;
    prop_oneof![
        4 => prop_oneof![0..60_u64, 3_000..8_000_u64].prop_map(Op::Advance),
        4 => (host.clone(), any).prop_map(|(host, lost)| Op::Lease { host, lost }),
        4 => host.clone().prop_map(Op::List),
        6 => (host.clone(), any, any).prop_map(|(host, lost, late)| Op::Claim { host, lost, late }),
        2 => host.clone().prop_map(Op::LateReply),
        1 => host.clone().prop_map(Op::Crash),
        2 => host.clone().prop_map(Op::Prove),
        1 => host.clone().prop_map(Op::ReleaseAll),
        2 => host.clone().prop_map(Op::DeleteReleased),
        6 => (host.clone(), 0..CHECKED_PARTITIONS).prop_map(|(host, p)| Op::Release(host, p)),
        8 => (host.clone(), prop_oneof![3 => Just(0), 1 => 0..5_usize], any, any).prop_map(|(host, message, lost, late)| {
            Op::TakeOver { host, message, lost, late }
        }),
        1 => host.prop_map(Op::Revoke),
    ]
}

struct Process {
    ownership: Ownership,
    incarnation: Incarnation,
    /// Successful claims whose replies are late.
    late: Vec<(Claim, Revision)>,
    /// The partitions released by `release_all` whose entries may still be in the store.
    released: Vec<(Partition, Revision)>,
    lease_to_revoke: Option<LeaseId>,
}

#[derive(Default)]
struct SimulatedStore {
    records: BTreeMap<Partition, (OwnerRecord, Revision)>,
    leases: BTreeMap<LeaseId, Instant>,
    revision: Revision,
}

impl SimulatedStore {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, until| now < *until);
        let leases = &self.leases;
        self.records
            .retain(|_, (record, _)| leases.contains_key(&record.lease));
    }

    fn swap(&mut self, claim: &Claim) -> Option<Revision> {
        let current = self.records.get(&claim.partition).map(|r| r.1);
        let expected = match claim.expected {
            Expected::Absent => None,
            Expected::At(revision) => Some(revision),
        };
        if current != expected || !self.leases.contains_key(&claim.record.lease) {
            return None;
        }
        self.revision += 1;
        let entry = (claim.record.clone(), self.revision);
        self.records.insert(claim.partition, entry);
        Some(self.revision)
    }
}

fn name(host: usize) -> HostId {
    format!("h{host}").into()
}

struct Simulation {
    now: Instant,
    store: SimulatedStore,
    processes: Vec<Process>,
    gone: Vec<(HostId, Incarnation)>,
    last_incarnation: Incarnation,
    /// All hand-over messages sent so far.
    messages: Vec<(Partition, Epoch)>,
    /// The number of completed hand-overs.
    hand_overs: u32,
}

impl Simulation {
    fn new() -> Self {
        let mut sim = Self {
            now: Instant::now(),
            store: SimulatedStore::default(),
            processes: Vec::new(),
            gone: Vec::new(),
            last_incarnation: 0,
            messages: Vec::new(),
            hand_overs: 0,
        };
        for host in 0..HOSTS {
            let process = sim.new_process(host);
            sim.processes.push(process);
        }
        sim
    }

    fn new_process(&mut self, host: usize) -> Process {
        self.last_incarnation += 1;
        Process {
            ownership: Ownership::new(name(host), self.last_incarnation),
            incarnation: self.last_incarnation,
            late: Vec::new(),
            released: Vec::new(),
            lease_to_revoke: None,
        }
    }

    fn apply(&mut self, op: &Op) {
        let now = self.now;
        self.store.expire(now);
        match *op {
            Op::Advance(seconds) => self.now += Duration::from_secs(seconds),
            Op::Lease { host, lost } => self.lease_host(host, lost),
            Op::List(host) => {
                let records = self.store.records.clone();
                self.processes[host].ownership.apply_listing(records, now);
            }
            Op::Claim { host, lost, late } => {
                let process = &mut self.processes[host];
                for claim in process.ownership.claims(|p| p < CHECKED_PARTITIONS, now) {
                    match self.store.swap(&claim) {
                        Some(revision) if late => process.late.push((claim, revision)),
                        Some(revision) if !lost => process.ownership.note_claimed(claim, revision),
                        _ => {}
                    }
                }
            }
            Op::LateReply(host) => {
                let process = &mut self.processes[host];
                for (claim, revision) in process.late.drain(..) {
                    process.ownership.note_claimed(claim, revision);
                }
            }
            Op::Crash(host) => {
                let gone = self.processes[host].incarnation;
                self.gone.push((name(host), gone));
                self.processes[host] = self.new_process(host);
            }
            Op::Prove(host) => {
                for (gone, incarnation) in &self.gone {
                    let ownership = &mut self.processes[host].ownership;
                    ownership.note_gone(gone.clone(), *incarnation);
                }
            }
            Op::ReleaseAll(host) => {
                let process = &mut self.processes[host];
                let (released, lease) = process.ownership.release_all();
                process.released.extend(&released);
                process.lease_to_revoke = lease;
                self.messages.extend(released);
            }
            Op::DeleteReleased(host) => {
                for (partition, revision) in self.processes[host].released.drain(..) {
                    let entry = self.store.records.get(&partition);
                    if entry.is_some_and(|(_, current)| *current == revision) {
                        self.store.records.remove(&partition);
                    }
                }
            }
            Op::Release(host, partition) => {
                let epoch = self.processes[host].ownership.release(partition);
                self.messages.extend(epoch.map(|epoch| (partition, epoch)));
            }
            Op::TakeOver {
                host,
                message,
                lost,
                late,
            } if !self.messages.is_empty() => {
                let last = self.messages.len() - 1;
                let (partition, epoch) = self.messages[last - message.min(last)];
                let process = &mut self.processes[host];
                let claim = process.ownership.claim_handed_over(partition, epoch, now);
                if let Some(claim) = claim
                    && let Some(revision) = self.store.swap(&claim)
                {
                    self.hand_overs += 1;
                    if late {
                        process.late.push((claim, revision));
                    } else if !lost {
                        process.ownership.note_claimed(claim, revision);
                    }
                }
                process.ownership.end_hand_over(partition);
            }
            Op::TakeOver { .. } => {}
            Op::Revoke(host) => {
                if let Some(lease) = self.processes[host].lease_to_revoke.take() {
                    self.store.leases.remove(&lease);
                    self.store.expire(now);
                }
            }
        }
    }

    fn lease_host(&mut self, host: usize, lost: bool) {
        let now = self.now;
        let ownership = &mut self.processes[host].ownership;
        let lease = if let Some(lease) = ownership.lease(now) {
            if !self.store.leases.contains_key(&lease) {
                return ownership.clear_lease();
            }
            lease
        } else {
            ownership.clear_lease();
            self.store.revision += 1;
            self.store.revision
        };
        self.store.leases.insert(lease, now + OWNERSHIP_LEASE_TTL);
        if !lost {
            ownership.set_lease(lease, now);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for partition in 0..CHECKED_PARTITIONS {
            let owners = self.processes.iter().filter(|process| {
                let ownership = &process.ownership;
                let usable = self.now < ownership.lease_until(self.now);
                usable && ownership.epoch(partition).is_some()
            });
            let owners: Vec<_> = owners.map(|process| process.incarnation).collect();
            prop_assert!(
                owners.len() <= 1,
                "partition {} has {:?}",
                partition,
                owners
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Guards against two owners after expired leases, crashes, lost and late replies, and hand-overs.
    #[test]
    fn never_two_owners(ops in prop::collection::vec(ops(), 1..120)) {
        let mut sim = Simulation::new();
        for op in ops {
            sim.apply(&op);
            sim.check()?;
        }
    }
}

/// Guards against a simulation that tests nothing because its operations complete no hand-over.
#[test]
fn reaches_hand_overs() {
    let mut runner = TestRunner::deterministic();
    let mut moved = 0;
    for _ in 0..200 {
        let ops = prop::collection::vec(ops(), 120).new_tree(&mut runner);
        let mut sim = Simulation::new();
        for op in ops.unwrap().current() {
            sim.apply(&op);
        }
        moved += sim.hand_overs;
    }
    assert!(moved >= 50, "{moved}");
}

/// Guards against a partition that stays without an owner because neither the next owner nor the previous one could
/// claim it at the end of a hand-over.
#[test]
fn an_orphaned_partition_is_claimed_again() {
    let now = Instant::now();
    let mut ownership = owner_at(now);
    let claim = ownership.claims(|p| p == 7, now).remove(0);
    ownership.note_claimed(claim.clone(), 9);
    assert_eq!(ownership.release(7), Some(9));
    let records = BTreeMap::from([(7, (claim.record, 9))]);
    ownership.apply_listing(records, now);
    assert_eq!(ownership.epoch(7), None, "released at this revision");
    assert!(
        ownership.claims(|_| false, now).is_empty(),
        "being handed over"
    );
    ownership.end_hand_over(7);
    let again = ownership.claims(|_| false, now);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].expected, Expected::At(9));
}

fn owner_at(now: Instant) -> Ownership {
    let mut ownership = Ownership::new(name(0), 1);
    ownership.set_lease(1, now);
    ownership
}

/// Guards against a claim whose reply was lost: its partition would have no acting owner until the lease ends.
#[test]
fn a_listing_confirms_a_claim_with_a_lost_reply() {
    let now = Instant::now();
    let mut ownership = owner_at(now);
    let claims = ownership.claims(|_| true, now);
    assert_eq!(claims.len(), usize::from(PARTITION_COUNT));
    let claim = claims[3].clone();
    let records = BTreeMap::from([(claim.partition, (claim.record, 9))]);
    ownership.apply_listing(records, now);
    assert_eq!(ownership.epoch(claim.partition), Some(9));
}

/// Guards against a host that owns an entry of its earlier lease, with which the store will delete the entry.
#[test]
fn an_entry_of_an_earlier_lease_is_not_owned() {
    let now = Instant::now();
    let mut ownership = owner_at(now);
    let claim = ownership.claims(|_| true, now).remove(0);
    ownership.note_claimed(claim.clone(), 9);
    ownership.clear_lease();
    ownership.set_lease(2, now);
    let records = BTreeMap::from([(claim.partition, (claim.record, 9))]);
    ownership.apply_listing(records, now);
    assert_eq!(ownership.epoch(claim.partition), None);
    let again = ownership.claims(|p| p == claim.partition, now);
    assert_eq!(again[0].expected, Expected::At(9));
}

/// Guards against a host that takes a partition over from a live one that merely does not reply.
#[test]
fn takes_over_on_proof_only() {
    let now = Instant::now();
    let mut ownership = owner_at(now);
    let record = OwnerRecord {
        host: name(1),
        incarnation: 5,
        lease: 4,
    };
    ownership.apply_listing(BTreeMap::from([(7, (record, 9))]), now);
    assert!(ownership.claims(|p| p == 7, now).is_empty());
    ownership.note_gone(name(1), 4);
    assert!(
        ownership.claims(|p| p == 7, now).is_empty(),
        "only an earlier process is gone"
    );
    ownership.note_restart(&name(1), 6);
    assert_eq!(
        ownership.claims(|p| p == 7, now)[0].expected,
        Expected::At(9)
    );
}

/// Guards against a hash that puts many customers into few partitions.
#[test]
fn customers_spread_over_partitions() {
    let mut counts = vec![0; usize::from(PARTITION_COUNT)];
    for i in 0..4_000 {
        counts[usize::from(partition_of(&format!("customer-{i}")))] += 1;
    }
    assert!(
        counts.iter().all(|count| (30..=100).contains(count)),
        "{counts:?}"
    );
}
