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
/// The partitions that the machine looks at.
const LOOKED_AT: Partition = 2;

#[derive(Debug, Clone)]
enum Op {
    Advance(u64),
    /// Grants or renews a host's lease; the reply may be lost.
    Lease {
        host: usize,
        lost: bool,
    },
    List(usize),
    /// Claims what is free; replies may be lost or come later.
    Claim {
        host: usize,
        lost: bool,
        late: bool,
    },
    LateReply(usize),
    Crash(usize),
    Prove(usize),
    HandBack(usize),
    Delete(usize),
    /// Gives a partition up to hand it over.
    GiveUp(usize, Partition),
    /// Claims a partition that was given up `message` messages ago; the message may be late or come twice, and so may the
    /// claim's reply. The host may be the one that gave it up.
    TakeOver {
        host: usize,
        message: usize,
        lost: bool,
        late: bool,
    },
    /// Revokes the lease of a host that has handed back.
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
        1 => host.clone().prop_map(Op::HandBack),
        2 => host.clone().prop_map(Op::Delete),
        6 => (host.clone(), 0..LOOKED_AT).prop_map(|(host, p)| Op::GiveUp(host, p)),
        8 => (host.clone(), prop_oneof![3 => Just(0), 1 => 0..5_usize], any, any).prop_map(|(host, message, lost, late)| {
            Op::TakeOver { host, message, lost, late }
        }),
        1 => host.prop_map(Op::Revoke),
    ]
}

struct Process {
    ownership: Ownership,
    incarnation: Incarnation,
    late: Vec<(Claim, Revision)>,
    handed_back: Vec<(Partition, Revision)>,
    left: Option<LeaseId>,
}

#[derive(Default)]
struct Stored {
    records: BTreeMap<Partition, (OwnerRecord, Revision)>,
    leases: BTreeMap<LeaseId, Instant>,
    revision: Revision,
}

impl Stored {
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

struct World {
    now: Instant,
    store: Stored,
    processes: Vec<Process>,
    gone: Vec<(HostId, Incarnation)>,
    next: Incarnation,
    /// The hand-over messages sent so far.
    messages: Vec<(Partition, Epoch)>,
    /// The hand-overs that a host completed.
    moved: u32,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Instant::now(),
            store: Stored::default(),
            processes: Vec::new(),
            gone: Vec::new(),
            next: 0,
            messages: Vec::new(),
            moved: 0,
        };
        for host in 0..HOSTS {
            let process = world.process(host);
            world.processes.push(process);
        }
        world
    }

    fn process(&mut self, host: usize) -> Process {
        self.next += 1;
        Process {
            ownership: Ownership::new(name(host), self.next),
            incarnation: self.next,
            late: Vec::new(),
            handed_back: Vec::new(),
            left: None,
        }
    }

    fn apply(&mut self, op: &Op) {
        let now = self.now;
        self.store.expire(now);
        match *op {
            Op::Advance(seconds) => self.now += Duration::from_secs(seconds),
            Op::Lease { host, lost } => self.lease(host, lost),
            Op::List(host) => {
                let records = self.store.records.clone();
                self.processes[host].ownership.apply_listing(records, now);
            }
            Op::Claim { host, lost, late } => {
                let process = &mut self.processes[host];
                for claim in process.ownership.claims(|p| p < LOOKED_AT, now) {
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
                self.processes[host] = self.process(host);
            }
            Op::Prove(host) => {
                for (gone, incarnation) in &self.gone {
                    let ownership = &mut self.processes[host].ownership;
                    ownership.note_gone(gone.clone(), *incarnation);
                }
            }
            Op::HandBack(host) => {
                let process = &mut self.processes[host];
                let (given_up, lease) = process.ownership.release_all();
                process.handed_back.extend(&given_up);
                process.left = lease;
                self.messages.extend(given_up);
            }
            Op::Delete(host) => {
                for (partition, revision) in self.processes[host].handed_back.drain(..) {
                    let entry = self.store.records.get(&partition);
                    if entry.is_some_and(|(_, current)| *current == revision) {
                        self.store.records.remove(&partition);
                    }
                }
            }
            Op::GiveUp(host, partition) => {
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
                    self.moved += 1;
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
                if let Some(lease) = self.processes[host].left.take() {
                    self.store.leases.remove(&lease);
                    self.store.expire(now);
                }
            }
        }
    }

    fn lease(&mut self, host: usize, lost: bool) {
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
        for partition in 0..LOOKED_AT {
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

    /// Guards against double ownership after lapses, crashes, lost and late replies and hand-backs.
    #[test]
    fn never_two_owners(ops in prop::collection::vec(ops(), 1..120)) {
        let mut world = World::new();
        for op in ops {
            world.apply(&op);
            world.check()?;
        }
    }
}

/// Guards against a state machine that completes no hand-over.
#[test]
fn reaches_hand_overs() {
    let mut runner = TestRunner::deterministic();
    let mut moved = 0;
    for _ in 0..200 {
        let ops = prop::collection::vec(ops(), 120).new_tree(&mut runner);
        let mut world = World::new();
        for op in ops.unwrap().current() {
            world.apply(&op);
        }
        moved += world.moved;
    }
    assert!(moved >= 50, "{moved}");
}

/// Guards against a partition without an owner when neither the next host nor the old one could claim
/// it at the end of a hand-over.
#[test]
fn a_stranded_partition_is_claimed_again() {
    let now = Instant::now();
    let mut ownership = owner_at(now);
    let claim = ownership.claims(|p| p == 7, now).remove(0);
    ownership.note_claimed(claim.clone(), 9);
    assert_eq!(ownership.release(7), Some(9));
    let records = BTreeMap::from([(7, (claim.record, 9))]);
    ownership.apply_listing(records, now);
    assert_eq!(ownership.epoch(7), None, "given up for good");
    assert!(ownership.claims(|_| false, now).is_empty(), "on its way");
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

/// Guards against a claim that took effect, lost its reply and is then owned by nobody for hours.
#[test]
fn a_claim_with_a_lost_reply_is_read_back() {
    let now = Instant::now();
    let mut ownership = owner_at(now);
    let claims = ownership.claims(|_| true, now);
    assert_eq!(claims.len(), usize::from(PARTITION_COUNT));
    let claim = claims[3].clone();
    let records = BTreeMap::from([(claim.partition, (claim.record, 9))]);
    ownership.apply_listing(records, now);
    assert_eq!(ownership.epoch(claim.partition), Some(9));
}

/// Guards against a host that keeps an entry which the store drops with an earlier lease.
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

/// Guards against a takeover from a host that is only silent.
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
        "an earlier process is gone"
    );
    ownership.note_restart(&name(1), 6);
    assert_eq!(
        ownership.claims(|p| p == 7, now)[0].expected,
        Expected::At(9)
    );
}

/// Guards against a partitioning that leaves customers on few owners.
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
