//! Guards requests with idempotency keys, which run at most once: records, owners, races and outages.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use proptest::prelude::*;

use crate::fixtures::{RuntimeClock, delayed, lost_replies, member, outage};
use crate::support::Bench;
use hibiscusspread::connection::peer::{decode, encode};
use hibiscusspread::emulator::peers::PeerHub;
use hibiscusspread::emulator::store::{MemoryStore, StoreFaults};
use hibiscusspread::prelude::*;
use hibiscusspread::process::background::BackgroundTasks;
use hibiscusspread::process::idempotency::{
    ClaimDecision, Idempotency, IdempotencyOwner, IdempotencyRecords, MAX_ANSWER_BYTES,
    MAX_RECORDS, RECORD_TTL, SharedIdempotency, body_hash, key_hash,
};
use hibiscusspread::process::members::StaticMembers;
use hibiscusspread::process::message::{
    ClaimOnce, FinishOnce, OnceOutcome, OnceReply, PeerReply, PeerRequest, StoredAnswer,
};
use hibiscusspread::process::peer::PeerHandler;
use hibiscusspread::process::store::MAX_VALUE_BYTES;
use hibiscusspread::request::idempotency::{ClaimResult, IdempotencyClaim};
use hibiscusspread::request::service::ServiceResponse;

struct Handler(Arc<IdempotencyOwner>);

#[async_trait]
impl PeerHandler for Handler {
    async fn handle(&self, _from: &HostId, req: PeerRequest) -> PeerReply {
        let reply = self.0.handle(req).await;
        reply.unwrap_or_else(|| PeerReply::Failed("other question".to_owned()))
    }
}

struct Fleet {
    hub: Arc<PeerHub>,
    store: Arc<MemoryStore>,
    hosts: Vec<SharedIdempotency>,
    names: Vec<HostId>,
}

impl Fleet {
    /// Creates hosts. With `split` each knows no other host, so that each owns every key.
    fn new(count: usize, split: bool) -> Self {
        let clock: Arc<dyn Clock> = RuntimeClock::start();
        let (hub, store) = (PeerHub::new(), MemoryStore::new(clock.clone()));
        let names: Vec<HostId> = (0..count).map(|k| format!("h{k}").into()).collect();
        let host = |name: &HostId| {
            let owner = IdempotencyOwner::new(store.clone(), clock.clone());
            hub.connect(name, Arc::new(Handler(owner.clone())));
            let others = names.iter().filter(|n| !split && *n != name);
            let others = others.map(|n| member(n, "a"));
            let members = Arc::new(StaticMembers::new(member(name, "a"), others));
            SharedIdempotency::new(members, hub.link(name), owner)
        };
        let hosts = names.iter().map(host).collect();
        Self {
            hub,
            store,
            hosts,
            names,
        }
    }

    fn set_faults(&self, faults: StoreFaults) {
        self.store.set_faults(faults);
    }

    /// Claims at a host and asserts the reply.
    async fn expect(&self, host: usize, claim: ClaimOnce, reply: OnceReply) {
        let id = claim.claim;
        let found = self.hosts[host].claim(claim).await;
        assert_eq!(found, reply, "claim {id} at host {host}");
    }

    async fn finish(&self, host: usize, claim: &ClaimOnce, outcome: OnceOutcome) {
        self.hosts[host].finish(finish(claim, outcome)).await;
    }
}

fn claim(id: RequestId, key: &str, body: &str) -> ClaimOnce {
    ClaimOnce {
        claim: id,
        key: key_hash("c", "r", key),
        body: body_hash("POST", "/bookings", body.as_bytes()),
    }
}

fn answer(size: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        content_type: Some("text/plain".to_owned()),
        body: vec![b'x'; size],
    }
}

fn finish(claim: &ClaimOnce, outcome: OnceOutcome) -> FinishOnce {
    FinishOnce {
        claim: claim.claim,
        key: claim.key,
        outcome,
    }
}

/// Guards against equal hashes of requests that differ only in where one part ends and the next begins.
#[test]
fn hashes_keep_their_parts_apart() {
    assert_ne!(key_hash("ab", "c", "k"), key_hash("a", "bc", "k"));
    assert_ne!(body_hash("POST", "/a", b"b"), body_hash("POST", "/ab", b""));
}

/// Guards against a shard whose records outgrow a store value or can't be decoded.
#[test]
fn full_shard_is_refused_and_still_readable() {
    let mut records = IdempotencyRecords::default();
    let now = SystemTime::UNIX_EPOCH + Duration::from_hours(500_000);
    let nth = |n: usize| ClaimOnce {
        claim: RequestId::MAX - n as RequestId,
        key: *blake3_of(n).as_bytes(),
        body: [255; 32],
    };
    for n in 0..MAX_RECORDS {
        assert_eq!(records.claim(&nth(n), now), ClaimDecision::Claimed);
        records.finish_done(&nth(n).key, nth(n).claim, true);
    }
    assert_eq!(records.claim(&nth(MAX_RECORDS), now), ClaimDecision::Full);
    assert_eq!(
        records.claim(&nth(MAX_RECORDS), now).reply(),
        OnceReply::Full
    );
    let bytes = encode(&records).expect("full shard fits");
    assert!(bytes.len() <= MAX_VALUE_BYTES);
    assert_eq!(
        decode::<IdempotencyRecords>(&bytes).expect("full shard decodes"),
        records
    );
    records.expire(now + RECORD_TTL - Duration::from_secs(1));
    assert_eq!(records.len(), MAX_RECORDS, "records dropped before 24 h");
    records.expire(now + RECORD_TTL);
    assert!(records.is_empty());
}

fn blake3_of(n: usize) -> blake3::Hash {
    blake3::hash(&n.to_le_bytes())
}

/// Guards against one write per claim, which exceeds the store's call rate.
#[tokio::test(start_paused = true)]
async fn claims_of_one_shard_share_a_write() {
    let fleet = Fleet::new(1, false);
    let clock: Arc<dyn Clock> = RuntimeClock::start();
    let owner = IdempotencyOwner::new(fleet.store.clone(), clock);
    let claims = (0_u16..500).map(|n| {
        let mut claim = claim(RequestId::from(n), &format!("k{n}"), "b");
        claim.key[..2].copy_from_slice(&[7, 0]);
        let owner = owner.clone();
        async move { owner.claim(claim).await }
    });
    let replies = join_all(claims).await;
    assert!(replies.iter().all(|r| *r == OnceReply::Claimed));
    assert_eq!(fleet.store.calls(), 2, "one read and one write");
}

/// Guards against bookings that exceed the store's limit of several hundred writes a second.
#[tokio::test(start_paused = true)]
async fn booking_takes_few_store_calls() {
    const BOOKINGS: u16 = 400;
    let fleet = Fleet::new(3, false);
    let bookings = (0..BOOKINGS).map(|n| {
        let host = fleet.hosts[usize::from(n % 3)].clone();
        async move {
            // Spread over a second.
            tokio::time::sleep(Duration::from_micros(u64::from(n) * 2500)).await;
            let claim = claim(RequestId::from(n), &format!("k{n}"), "b");
            assert_eq!(host.claim(claim.clone()).await, OnceReply::Claimed);
            host.finish(finish(&claim, OnceOutcome::Done(answer(200))))
                .await;
        }
    });
    join_all(bookings).await;
    let calls = fleet.store.calls();
    println!("{BOOKINGS} bookings, {calls} store calls");
    // Claim and outcome each take a read and a write of the shard, the answer a write, and leases a few calls.
    assert!(calls <= u64::from(BOOKINGS) * 5 + 10, "{calls} calls");
}

/// Guards against claims that fail because the store throttles.
#[tokio::test(start_paused = true)]
async fn throttled_store_delays_claims() {
    let fleet = Fleet::new(3, false);
    fleet.set_faults(StoreFaults {
        calls_per_second: Some(300),
        ..StoreFaults::default()
    });
    let claims = (0_u16..250).map(|n| {
        let host = fleet.hosts[usize::from(n % 3)].clone();
        async move {
            host.claim(claim(RequestId::from(n), &format!("k{n}"), "b"))
                .await
        }
    });
    let replies = join_all(claims).await;
    let claimed = replies.iter().filter(|r| **r == OnceReply::Claimed).count();
    assert_eq!(claimed, 250);
}

/// Guards against wrong replies to repeats: while the request runs, after its answer was stored or was too large to
/// store, after it was refused, and with another body.
#[tokio::test(start_paused = true)]
async fn repeats_are_answered_from_the_first_request() {
    let fleet = Fleet::new(3, false);
    let first = claim(1, "k", "b");
    fleet.expect(0, first.clone(), OnceReply::Claimed).await;
    fleet
        .expect(1, claim(2, "k", "b"), OnceReply::Started)
        .await;
    fleet
        .expect(2, claim(3, "k", "other"), OnceReply::BodyDiffers)
        .await;
    let done = OnceOutcome::Done(answer(MAX_ANSWER_BYTES));
    fleet.finish(0, &first, done).await;
    let replayed = OnceReply::Done {
        answer: Some(answer(MAX_ANSWER_BYTES)),
    };
    fleet.expect(1, claim(4, "k", "b"), replayed).await;
    fleet
        .expect(1, claim(5, "k", "other"), OnceReply::BodyDiffers)
        .await;
    let large = claim(6, "large", "b");
    fleet.expect(2, large.clone(), OnceReply::Claimed).await;
    let done = OnceOutcome::Done(answer(MAX_ANSWER_BYTES + 1));
    fleet.finish(2, &large, done).await;
    let unkept = OnceReply::Done { answer: None };
    fleet.expect(0, claim(7, "large", "b"), unkept).await;
    let refused = claim(8, "refused", "b");
    fleet.expect(0, refused.clone(), OnceReply::Claimed).await;
    fleet.finish(0, &refused, OnceOutcome::NotRun).await;
    fleet
        .expect(1, claim(9, "refused", "other"), OnceReply::Claimed)
        .await;
}

/// Guards against a key or a stored answer that is dropped before 24 h, or never.
#[tokio::test(start_paused = true)]
async fn keys_and_answers_last_24_hours() {
    let fleet = Fleet::new(1, false);
    let first = claim(1, "k", "b");
    fleet.expect(0, first.clone(), OnceReply::Claimed).await;
    fleet.hosts[0]
        .finish(finish(&first, OnceOutcome::Done(answer(10))))
        .await;
    let nearly = RECORD_TTL.saturating_sub(Duration::from_secs(10));
    tokio::time::advance(nearly).await;
    let replayed = OnceReply::Done {
        answer: Some(answer(10)),
    };
    fleet.expect(0, claim(2, "k", "b"), replayed).await;
    tokio::time::advance(Duration::from_secs(20)).await;
    fleet
        .expect(0, claim(3, "k", "b"), OnceReply::Claimed)
        .await;
    tokio::time::advance(Duration::from_hours(2)).await;
    assert!(fleet.store.list("once-answer/").await.unwrap().is_empty());
}

/// Guards against a claim that is taken for refused, or for another host's, because the store's reply was lost.
#[tokio::test(start_paused = true)]
async fn lost_store_reply_is_settled_by_reading_back() {
    let fleet = Fleet::new(2, true);
    fleet.set_faults(lost_replies(1));
    fleet
        .expect(0, claim(1, "k", "b"), OnceReply::Claimed)
        .await;
    fleet
        .expect(1, claim(2, "k", "b"), OnceReply::Started)
        .await;
}

/// Guards against a claim that is granted without a record.
#[tokio::test(start_paused = true)]
async fn store_outage_makes_claims_unavailable() {
    let fleet = Fleet::new(3, false);
    fleet.set_faults(outage());
    for host in &fleet.hosts {
        assert_eq!(host.claim(claim(1, "k", "b")).await, OnceReply::Unavailable);
    }
    fleet.set_faults(delayed(Duration::from_mins(1)));
    let start = tokio::time::Instant::now();
    fleet
        .expect(0, claim(2, "k", "b"), OnceReply::Unavailable)
        .await;
    // The wait for the owner's reply, then the write on this host.
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against two hosts that both own a key and both grant it.
#[tokio::test(start_paused = true)]
async fn two_owners_grant_a_key_once() {
    let fleet = Fleet::new(5, true);
    let claims = fleet
        .hosts
        .iter()
        .zip(1..)
        .map(|(host, id)| host.claim(claim(id, "k", "b")));
    let replies = join_all(claims).await;
    let granted = replies.iter().filter(|r| **r == OnceReply::Claimed).count();
    assert_eq!(granted, 1, "{replies:?}");
    let waiting = replies.iter().filter(|r| **r == OnceReply::Started).count();
    assert_eq!(waiting, 4, "{replies:?}");
}

/// Guards against claims that fail while the owner is unreachable, and against a key that is granted twice because
/// the owner's reply was lost.
#[tokio::test(start_paused = true)]
async fn unreachable_owner_is_bypassed() {
    let fleet = Fleet::new(3, false);
    for name in &fleet.names[1..] {
        fleet.hub.kill(name);
    }
    for n in 0..20 {
        let claim = claim(n, &format!("k{n}"), "b");
        fleet.expect(0, claim, OnceReply::Claimed).await;
    }
    let fleet = Fleet::new(3, false);
    for n in 0..20 {
        fleet.hub.drop_replies(1);
        let (first, second) = (
            claim(n, &format!("k{n}"), "b"),
            claim(n + 100, &format!("k{n}"), "b"),
        );
        fleet.expect(0, first, OnceReply::Claimed).await;
        fleet.hub.drop_replies(0);
        fleet.expect(1, second, OnceReply::Started).await;
    }
}

/// Guards against a claim that arrives after its withdrawal and then blocks the key.
#[tokio::test(start_paused = true)]
async fn late_withdrawn_claim_has_no_effect() {
    let fleet = Fleet::new(1, false);
    let late = claim(1, "k", "b");
    fleet.finish(0, &late, OnceOutcome::NotRun).await;
    fleet.expect(0, late, OnceReply::Unavailable).await;
    fleet
        .expect(0, claim(2, "k", "b"), OnceReply::Claimed)
        .await;
}

/// Guards against withdrawn claims of one key that replace each other, so that a late one takes effect.
#[test]
fn several_withdrawn_claims_stay_withdrawn() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_hours(500_000);
    let mut records = IdempotencyRecords::default();
    for id in 1..4 {
        records.finish_not_run(&claim(id, "k", "b").key, id, now);
    }
    for id in 1..4 {
        assert_eq!(
            records.claim(&claim(id, "k", "b"), now),
            ClaimDecision::Withdrawn
        );
    }
    assert_eq!(
        records.claim(&claim(4, "k", "b"), now),
        ClaimDecision::Claimed
    );
    // A repeated withdrawal of another claim does not free the key.
    records.finish_not_run(&claim(1, "k", "b").key, 1, now);
    assert_eq!(
        records.claim(&claim(5, "k", "b"), now),
        ClaimDecision::Started
    );
}

/// Guards against a request path that ignores the idempotency key.
#[tokio::test]
async fn booking_with_a_key_runs_once() {
    let bench = Bench::start().await;
    let first = bench
        .post_once("k1", "/bookings/studio-2", r#"{"slot":"18:00"}"#)
        .await;
    let again = bench
        .post_once("k1", "/bookings/studio-2", r#"{"slot":"18:00"}"#)
        .await;
    assert_eq!((first.status, again.status), (201, 201));
    assert_eq!(first.body, again.body);
    assert_eq!(bench.booking.booked(), 1);
    let other = bench
        .post_once("k1", "/bookings/studio-2", r#"{"slot":"19:00"}"#)
        .await;
    assert_eq!(other.status, 422);
    assert_eq!(other.refusal()["run"], "not_run");
    let new = bench
        .post_once("k2", "/bookings/studio-2", r#"{"slot":"19:00"}"#)
        .await;
    assert_eq!(new.status, 201);
    assert_eq!((bench.booking.runs("k1"), bench.booking.runs("k2")), (1, 1));
}

/// Guards against a repeat that runs although the first outcome is unknown, and against a key that stays blocked
/// although nothing ran.
#[tokio::test]
async fn key_is_free_again_only_if_nothing_ran() {
    let bench = Bench::start().await;
    bench.stop_upstreams().await;
    let refused = bench.post_once("k1", "/bookings/studio-2", "{}").await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.refusal()["run"], "not_run");
    let again = bench
        .post_once("k1", "/bookings/studio-2", r#"{"other":1}"#)
        .await;
    assert_eq!(again.status, 503, "{}", again.body);
    assert_eq!(again.refusal()["run"], "not_run");
}

/// What happens to a request after its claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The upstream runs it and answers.
    Answers,
    /// The upstream refuses it, so it certainly does not run.
    Refuses,
    /// The upstream runs it, and the answer is lost.
    LosesAnswer,
    /// The request is lost, so it does not run, but the host can't know.
    LosesRequest,
    /// The host crashes between claim and send.
    Crashes,
    /// The caller disconnects after this many milliseconds.
    Leaves(u64),
}

#[derive(Debug, Clone)]
enum Op {
    Request {
        host: usize,
        key: u8,
        body: u8,
        outcome: Outcome,
    },
    LoseReplies(u32),
    LoseAnswers(u32),
    Outage(bool),
    Slow(u64),
    Cut(usize, usize, bool),
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        Just(Outcome::Answers),
        Just(Outcome::Refuses),
        Just(Outcome::LosesAnswer),
        Just(Outcome::LosesRequest),
        Just(Outcome::Crashes),
        (0_u64..60).prop_map(Outcome::Leaves),
    ];
    let request = (0_usize..3, 0_u8..3, 0_u8..2, outcome);
    prop_oneof![
        8 => request.prop_map(|(host, key, body, outcome)| Op::Request { host, key, body, outcome }),
        1 => (0_u32..4).prop_map(Op::LoseReplies),
        1 => (0_u32..4).prop_map(Op::LoseAnswers),
        1 => any::<bool>().prop_map(Op::Outage),
        1 => (0_u64..30).prop_map(Op::Slow),
        1 => (0_usize..3, 0_usize..3, any::<bool>()).prop_map(|(a, b, cut)| Op::Cut(a, b, cut)),
    ]
}

/// What the upstream really ran.
#[derive(Debug, Default)]
struct Ledger {
    runs: BTreeMap<u8, u32>,
    ran: BTreeSet<RequestId>,
    /// The keys that may stay started.
    uncertain: BTreeSet<u8>,
}

/// Runs one request as the request path does. Returns the `run` of the refusal; `None` if the caller gets none.
async fn run_request(
    once: SharedIdempotency,
    id: RequestId,
    (key, body): (u8, u8),
    outcome: Outcome,
    ledger: Arc<Mutex<Ledger>>,
) -> Option<Run> {
    let claim = claim(id, &format!("k{key}"), &format!("b{body}"));
    let mut held =
        match IdempotencyClaim::claim(Arc::new(once), BackgroundTasks::default(), claim).await {
            Ok(ClaimResult::Replay(_)) => {
                assert_eq!(
                    ledger.lock().unwrap().runs.get(&key),
                    Some(&1),
                    "answer without a run"
                );
                return None;
            }
            Ok(ClaimResult::Run(held)) => held,
            Err(refusal) => return Some(refusal.run),
        };
    if outcome == Outcome::Crashes {
        ledger.lock().unwrap().uncertain.insert(key);
        std::mem::forget(held);
        return None;
    }
    held.mark_sent();
    if outcome != Outcome::Refuses {
        // From here on the caller may disconnect, and the outcome is then unknown.
        ledger.lock().unwrap().uncertain.insert(key);
    }
    if !matches!(outcome, Outcome::Refuses | Outcome::LosesRequest) {
        let mut ledger = ledger.lock().unwrap();
        *ledger.runs.entry(key).or_default() += 1;
        ledger.ran.insert(id);
    }
    tokio::time::sleep(Duration::from_millis(10)).await;
    match outcome {
        Outcome::Answers | Outcome::Leaves(_) => {
            let answer = ServiceResponse {
                status: 201,
                content_type: None,
                body: Bytes::from_static(b"done"),
                ..ServiceResponse::default()
            };
            held.record_answer(&answer).await;
            None
        }
        Outcome::Refuses => {
            held.record_refusal(Run::NotRun).await;
            Some(Run::NotRun)
        }
        _ => {
            held.record_refusal(Run::Unknown).await;
            Some(Run::Unknown)
        }
    }
}

async fn check(steps: Vec<(Op, u64)>, split: bool) -> Result<(), TestCaseError> {
    let fleet = Fleet::new(3, split);
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let mut faults = StoreFaults::default();
    let mut tasks = Vec::new();
    for (id, (op, wait)) in (1..).zip(steps) {
        match op {
            Op::Request {
                host,
                key,
                body,
                outcome,
            } => {
                let once = fleet.hosts[host].clone();
                let request = run_request(once, id, (key, body), outcome, ledger.clone());
                let limit = match outcome {
                    Outcome::Leaves(after) => Duration::from_millis(after),
                    _ => Duration::from_mins(1),
                };
                let task = async move { (id, tokio::time::timeout(limit, request).await) };
                tasks.push(tokio::spawn(task));
            }
            Op::LoseReplies(count) => faults.lost_replies = count,
            Op::LoseAnswers(count) => fleet.hub.drop_replies(count),
            Op::Outage(outage) => faults.outage = outage,
            Op::Slow(delay) => faults.delay = Duration::from_millis(delay),
            Op::Cut(a, b, cut) => fleet.hub.set_cut(&fleet.names[a], &fleet.names[b], cut),
        }
        fleet.set_faults(faults.clone());
        faults.lost_replies = 0;
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
    fleet.set_faults(StoreFaults::default());
    fleet.hub.drop_replies(0);
    let outcomes = join_all(tasks).await;
    // Withdrawals are retried for up to 32 s.
    tokio::time::sleep(Duration::from_secs(40)).await;
    {
        let ledger = ledger.lock().unwrap();
        for (key, runs) in &ledger.runs {
            prop_assert!(*runs <= 1, "key {key} ran {runs} times");
        }
        for outcome in outcomes {
            let (id, reported) = outcome.expect("request does not panic");
            if reported == Ok(Some(Run::NotRun)) {
                prop_assert!(
                    !ledger.ran.contains(&id),
                    "request {id} ran despite not_run"
                );
            }
        }
    }
    for key in 0..3 {
        let uncertain = ledger.lock().unwrap().uncertain.contains(&key);
        let id = 1000 + RequestId::from(key);
        let reply = fleet.hosts[0]
            .claim(claim(id, &format!("k{key}"), "b0"))
            .await;
        prop_assert!(
            uncertain || reply == OnceReply::Claimed,
            "key {key} blocked: {reply:?}"
        );
        let free = reply == OnceReply::Claimed;
        let ran = ledger.lock().unwrap().runs.contains_key(&key);
        prop_assert!(!(free && ran), "key {key} is free although it ran");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against a key that runs twice, a false `not_run`, and a key that stays blocked although nothing was sent,
    /// after any mix of lost replies, repeats, races, crashes and outages.
    #[test]
    fn each_key_runs_at_most_once(
        steps in proptest::collection::vec((op(), prop_oneof![Just(0_u64), 0_u64..80]), 1..30),
        split: bool,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime starts");
        runtime.block_on(check(steps, split))?;
    }
}
