//! The state of one pool, checked against a simple oracle.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{
    LatePolicy, PlaceReply, PlaceRequest, Release, ReleaseOutcome,
};
use hibiscusspread::process::pool::cache::CacheIndex;
use hibiscusspread::process::pool::load::CorrectedLoad;
use hibiscusspread::process::pool::{AttemptKey, Pool, PoolAction, attempt_key};
use hibiscusspread::request::engine::{CacheEvent, CacheEvents, EngineLoad};
use hibiscusspread::version::compiled::{Role, Upstream};
use proptest::prelude::*;

use crate::pool_support::{
    cancel, place_request, placements, pool, pool_and_start, pool_id, replies, upstream,
};

const SLOTS: u32 = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn release(request: RequestId, outcome: ReleaseOutcome) -> Release {
    Release {
        request,
        attempt: 1,
        pool: pool_id(),
        outcome,
    }
}

fn finished(request: RequestId) -> Release {
    release(request, ReleaseOutcome::Finished { output_tokens: 1 })
}

fn priority(is_batch: bool) -> Priority {
    if is_batch {
        Priority::Batch
    } else {
        Priority::Interactive
    }
}

fn members() -> Vec<Arc<Upstream>> {
    vec![
        upstream("p1", Role::Prefill, 20),
        upstream("p2", Role::Prefill, 20),
        upstream("d1", Role::Decode, SLOTS),
        upstream("d2", Role::Decode, SLOTS),
    ]
}

#[derive(Debug, Clone)]
enum Step {
    Place {
        request: u8,
        customer: u8,
        prompt: u16,
        batch: bool,
        refuse: bool,
    },
    Finish(u8),
    Fail(u8, bool),
    Cancel(u8),
    HostDown(u8),
    Leave(u8, bool),
    Advance(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<u8>(), 0..4u8, 1..8_000u16, any::<bool>(), any::<bool>()).prop_map(
            |(request, customer, prompt, batch, refuse)| Step::Place {
                request: request % 40, customer, prompt, batch, refuse,
            }
        ),
        4 => (0..40u8).prop_map(Step::Finish),
        1 => (0..40u8, any::<bool>()).prop_map(|(r, down)| Step::Fail(r, down)),
        2 => (0..40u8).prop_map(Step::Cancel),
        1 => (0..3u8).prop_map(Step::HostDown),
        1 => (0..4u8, any::<bool>()).prop_map(|(u, leaving)| Step::Leave(u, leaving)),
        4 => (1..3_000u16).prop_map(Step::Advance),
    ]
}

/// What a correct pool may do, told only from questions and actions.
struct Oracle {
    pool: Pool,
    now: Instant,
    members: Vec<Arc<Upstream>>,
    leaving: HashSet<UpstreamId>,
    held: HashMap<AttemptKey, (PlaceRequest, PlaceReply)>,
    waiting: HashMap<AttemptKey, PlaceRequest>,
    withdrawn: HashMap<AttemptKey, Instant>,
    down_hosts: HashMap<HostId, Instant>,
}

impl Oracle {
    fn new() -> Self {
        let now = Instant::now();
        let members = members();
        Self {
            pool: pool(&members, now),
            now,
            members,
            leaving: HashSet::new(),
            held: HashMap::new(),
            waiting: HashMap::new(),
            withdrawn: HashMap::new(),
            down_hosts: HashMap::new(),
        }
    }

    fn check(&mut self, actions: &[PoolAction]) {
        for action in actions {
            match action {
                PoolAction::Reply { key, reply } => self.check_reply(*key, reply),
                PoolAction::Cancel { request, .. } => {
                    let ended: Vec<_> = self
                        .held
                        .keys()
                        .filter(|k| k.0 == *request)
                        .copied()
                        .collect();
                    assert!(!ended.is_empty(), "cancelled an attempt that held nothing");
                    for key in ended {
                        self.held.remove(&key);
                        self.withdrawn.insert(key, self.now);
                    }
                }
            }
        }
        let mut slots: HashMap<UpstreamId, u32> = HashMap::new();
        for (_, reply) in self.held.values() {
            if let PlaceReply::Placed(placement) = reply {
                *slots.entry(placement.target.clone()).or_default() += 1;
            }
        }
        for (upstream, held) in slots {
            assert!(held <= SLOTS, "{upstream} overbooked with {held}");
        }
        assert_eq!(self.pool.placed(), self.held.len(), "reservations differ");
        assert_eq!(self.pool.queued(), self.waiting.len(), "waiting differ");
    }

    fn check_reply(&mut self, key: AttemptKey, reply: &PlaceReply) {
        if let Some((_, first)) = self.held.get(&key) {
            assert_eq!(first, reply, "a repeat got another answer");
            return;
        }
        let waiting = self.waiting.remove(&key);
        if let PlaceReply::Placed(placement) = reply {
            let asked = waiting.expect("placed without being asked");
            assert!(!self.is_withdrawn(key), "placed after its cancel");
            for id in placement.prefill.iter().chain([&placement.target]) {
                assert!(!self.leaving.contains(id), "{id} is leaving and got work");
            }
            self.held.insert(key, (asked, reply.clone()));
        }
    }

    fn is_withdrawn(&self, key: AttemptKey) -> bool {
        let limit = Duration::from_mins(1);
        self.withdrawn
            .get(&key)
            .is_some_and(|at| self.now - *at < limit)
    }

    fn place(&mut self, question: PlaceRequest) {
        let key = attempt_key(&question);
        let host = question.host.clone();
        let gone = self.down_hosts.get(&host).copied();
        let gone = gone.is_some_and(|at| self.now - at < Duration::from_mins(1));
        if !self.held.contains_key(&key) {
            self.waiting.entry(key).or_insert_with(|| question.clone());
        }
        let is_withdrawn = self.is_withdrawn(key);
        let actions = self.pool.place(question, self.now);
        if gone || is_withdrawn {
            assert!(
                replies(&actions)
                    .iter()
                    .all(|(k, r)| *k != key || !matches!(r, PlaceReply::Placed(_)))
                    || self.held.contains_key(&key),
                "placed a withdrawn attempt or one of a host that is gone"
            );
        }
        self.check(&actions);
    }

    fn end(&mut self, key: AttemptKey, act: impl FnOnce(&mut Pool, Instant) -> Vec<PoolAction>) {
        self.held.remove(&key);
        self.withdrawn.insert(key, self.now);
        let actions = act(&mut self.pool, self.now);
        self.check(&actions);
    }

    fn run(&mut self, step: &Step) {
        match step.clone() {
            Step::Place {
                request,
                customer,
                prompt,
                batch,
                refuse,
            } => {
                let question = place_request(request.into(), &format!("c{customer}"));
                self.place(PlaceRequest {
                    // A request stays with the host that holds its caller's connection.
                    host: format!("h{}", request % 3).into(),
                    weight: 1 + 100 * Tokens::from(customer),
                    prompt_tokens: prompt.into(),
                    priority: priority(batch),
                    late: if refuse {
                        LatePolicy::Refuse
                    } else {
                        LatePolicy::Wait
                    },
                    ..question
                });
            }
            Step::Finish(request) => {
                let release = finished(request.into());
                self.end((request.into(), 1), |pool, now| pool.release(&release, now));
            }
            Step::Fail(request, down) => {
                let outcome = ReleaseOutcome::Failed {
                    upstream: "d1".into(),
                    down,
                };
                let release = release(request.into(), outcome);
                self.end((request.into(), 1), |pool, now| pool.release(&release, now));
            }
            Step::Cancel(request) => {
                let cancel = cancel(request.into());
                self.end((request.into(), 1), |pool, now| pool.cancel(&cancel, now));
            }
            Step::HostDown(host) => {
                let host: HostId = format!("h{host}").into();
                self.down_hosts.insert(host.clone(), self.now);
                let actions = self.pool.host_down(&host, 1, self.now);
                self.check(&actions);
                assert!(
                    self.held.values().all(|(asked, _)| asked.host != host),
                    "a reservation outlived its entry host"
                );
            }
            Step::Leave(index, leaving) => {
                let id = self.members[usize::from(index)].id.clone();
                if leaving {
                    self.leaving.insert(id);
                } else {
                    self.leaving.remove(&id);
                }
                let members = self.members.iter();
                let members: Vec<_> = members
                    .map(|u| (u.clone(), self.leaving.contains(&u.id)))
                    .collect();
                let actions = self.pool.set_upstreams(members, self.now);
                self.check(&actions);
            }
            Step::Advance(by) => {
                let until = self.now + ms(by.into());
                while let Some(at) = self.pool.next_timer().filter(|at| *at <= until) {
                    self.now = self.now.max(at);
                    let actions = self.pool.tick(self.now);
                    self.check(&actions);
                }
                self.now = until;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(192))]

    /// Guards against overbooked slots, reservations that never end, work for leaving upstreams, placements after
    /// a cancel, and repeats that get another answer.
    #[test]
    fn pool_keeps_its_promises(steps in prop::collection::vec(step(), 1..150)) {
        let mut oracle = Oracle::new();
        for step in steps {
            oracle.run(&step);
        }
        for _ in 0..60 {
            oracle.run(&Step::Advance(3_000));
        }
        prop_assert_eq!(oracle.pool.placed(), 0, "a reservation outlived its deadline");
        prop_assert_eq!(oracle.pool.queued(), 0, "a question was never answered");
    }

    /// Guards against a customer that gains from sending more than its part: while two customers wait, their
    /// tokens in proportion to their weights differ by at most one request each (start-time fair queueing).
    #[test]
    fn queue_is_fair_within_one_request_each(
        weights in (1..1_000u64, 1..1_000u64),
        costs in prop::collection::vec((1..4_000u64, 1..4_000u64), 2..40),
    ) {
        let (mut pool, now) = pool_and_start(&[upstream("s", Role::Service, 1)]);
        prop_assert_eq!(placements(&pool.place(place_request(0, "first"), now)).len(), 1);
        let mut cost_of = HashMap::new();
        for (index, (a, b)) in costs.iter().enumerate() {
            for (customer, weight, cost) in [("a", weights.0, *a), ("b", weights.1, *b)] {
                let request = RequestId::try_from(cost_of.len() + 1).expect("small");
                cost_of.insert(request, (customer, cost, index));
                let question = PlaceRequest { weight, prompt_tokens: cost, max_tokens: 0, ..place_request(request, customer) };
                prop_assert!(placements(&pool.place(question, now)).is_empty());
            }
        }
        let largest = |pick: fn(&(u64, u64)) -> u64| costs.iter().map(pick).max().unwrap_or(0);
        let bound = largest(|c| c.0) as f64 / weights.0 as f64 + largest(|c| c.1) as f64 / weights.1 as f64;
        let mut served = [0u64; 2];
        let mut count = [0usize; 2];
        let mut running = 0;
        while count.iter().all(|c| *c < costs.len()) {
            let placed = placements(&pool.release(&finished(running), now));
            prop_assert_eq!(placed.len(), 1);
            running = placed[0].0.0;
            let (customer, cost, index) = cost_of[&running];
            let side = usize::from(customer == "b");
            prop_assert_eq!(index, count[side], "order within a customer changed");
            served[side] += cost;
            count[side] += 1;
            let gap = served[0] as f64 / weights.0 as f64 - served[1] as f64 / weights.1 as f64;
            prop_assert!(gap.abs() <= bound + 1e-6, "gap {gap} above {bound}");
        }
    }
}

/// Guards against slots that fill up while the prefill is still running: the slot is held from the placement on.
#[test]
fn holds_slots_before_the_prefill() {
    let (mut pool, now) = pool_and_start(&members());
    let placed: usize = (0..6)
        .map(|r| placements(&pool.place(place_request(r, "c"), now)).len())
        .sum();
    assert_eq!(placed, 2 * SLOTS as usize);
    assert_eq!(pool.queued(), 2);
    assert_eq!(placements(&pool.release(&finished(0), now)).len(), 1);
}

/// Guards against batch work that starves behind a steady interactive load, and against batch work that takes
/// more than its part.
#[test]
fn batch_gets_one_token_in_eleven() {
    let (mut pool, now) = pool_and_start(&[upstream("s", Role::Service, 1)]);
    pool.place(place_request(0, "first"), now);
    for r in 1..=110 {
        let question = PlaceRequest {
            priority: priority(r <= 55),
            ..place_request(r, "c")
        };
        pool.place(question, now);
    }
    let mut running = 0;
    let mut batch = 0;
    for _ in 0..44 {
        let placed = placements(&pool.release(&finished(running), now));
        running = placed[0].0.0;
        batch += usize::from(running <= 55);
    }
    assert_eq!(batch, 4);
}

/// Guards against wrongful refusals: work that is refused when late waits as long as its deadline can be met.
#[test]
fn refuses_late_work_only_when_the_deadline_is_lost() {
    let (mut pool, now) = pool_and_start(&[upstream("s", Role::Service, 1)]);
    pool.place(place_request(0, "c"), now);
    let question = PlaceRequest {
        late: LatePolicy::Refuse,
        ..place_request(1, "c")
    };
    assert!(replies(&pool.place(question, now)).is_empty());
    let due = pool.next_timer().expect("a timer is set");
    assert_eq!(due, now + Duration::from_secs(1));
    assert!(replies(&pool.tick(now + ms(999))).is_empty());
    let refused = replies(&pool.tick(due));
    assert!(matches!(refused[..], [((1, 1), PlaceReply::Busy { .. })]));
    let patient = pool.place(place_request(2, "c"), now);
    assert!(
        replies(&patient).is_empty(),
        "work that may be late was refused"
    );
}

/// Guards against a cancel that overtakes its place request and leaves a slot held.
#[test]
fn cancel_that_comes_first_wins() {
    let (mut pool, now) = pool_and_start(&members());
    pool.cancel(&cancel(7), now);
    let late = now + Duration::from_secs(59);
    let reply = replies(&pool.place(place_request(7, "c"), late));
    assert_eq!(reply, [((7, 1), PlaceReply::Withdrawn)]);
    assert_eq!(pool.placed(), 0);
    let later = now + Duration::from_secs(61);
    assert_eq!(
        placements(&pool.place(place_request(7, "c"), later)).len(),
        1
    );
}

/// Guards against a cancel that is forgotten early because the attempt was refused before.
#[test]
fn cancel_after_a_refusal_is_remembered_as_long() {
    let (mut pool, now) = pool_and_start(&members());
    let hopeless = PlaceRequest {
        late: LatePolicy::Refuse,
        deadline: Duration::ZERO,
        ..place_request(7, "c")
    };
    let refused = replies(&pool.place(hopeless, now));
    assert!(matches!(refused[..], [(_, PlaceReply::Busy { .. })]));
    pool.cancel(&cancel(7), now + Duration::from_secs(50));
    let reply = replies(&pool.place(place_request(7, "c"), now + Duration::from_secs(100)));
    assert_eq!(reply, [((7, 1), PlaceReply::Withdrawn)]);
}

/// Guards against attempts that keep going to an upstream that is down, against upstreams that never come back,
/// and against more than one attempt at a time on one that may still be down.
#[test]
fn leaves_failed_upstreams_out_for_a_growing_time() {
    let mut now = Instant::now();
    let mut pool = pool(&[upstream("s", Role::Service, 5)], now);
    pool.place(place_request(0, "c"), now);
    for (request, wait) in [(0, 500), (1, 1_000), (2, 2_000)] {
        pool.release(&down("s", request), now);
        assert!(placements(&pool.place(place_request(request + 1, "c"), now)).is_empty());
        assert_eq!(pool.next_timer(), Some(now + ms(wait)));
        now += ms(wait);
        assert_eq!(placements(&pool.tick(now)).len(), 1, "not tried again");
    }
    assert!(
        placements(&pool.place(place_request(9, "c"), now)).is_empty(),
        "second trial"
    );
    assert_eq!(placements(&pool.release(&finished(3), now)).len(), 1);
    assert_eq!(
        placements(&pool.place(place_request(10, "c"), now)).len(),
        1
    );
}

fn down(upstream: &str, request: RequestId) -> Release {
    let outcome = ReleaseOutcome::Failed {
        upstream: upstream.into(),
        down: true,
    };
    release(request, outcome)
}

fn one_pair() -> [Arc<Upstream>; 2] {
    [
        upstream("p", Role::Prefill, 9),
        upstream("d", Role::Decode, 9),
    ]
}

/// Guards against prefills that are wasted to find out whether a decode engine is back, against an engine that is
/// back and gets one stream at a time, and against forgetting its failures before it has served anything.
#[test]
fn load_report_is_the_trial_of_an_engine() {
    let (mut pool, now) = pool_and_start(&one_pair());
    pool.place(place_request(0, "c"), now);
    pool.release(&down("d", 0), now);
    pool.place(place_request(1, "c"), now);
    pool.place(place_request(2, "c"), now);
    let mut at = now;
    while at < now + Duration::from_secs(20) {
        assert!(placements(&pool.tick(at)).is_empty(), "a prefill was spent");
        pool.report_unreachable(&"d".into(), at);
        at += ms(250);
    }
    let report = |pool: &mut Pool, age, at| {
        let load = EngineLoad {
            age,
            ..EngineLoad::default()
        };
        pool.report_load(&"d".into(), &load, at)
    };
    assert!(
        placements(&report(&mut pool, ms(300), at)).is_empty(),
        "a report from before the failure was believed"
    );
    assert_eq!(placements(&report(&mut pool, ms(100), at)).len(), 2);
    pool.release(&down("d", 1), at);
    pool.place(place_request(3, "c"), at);
    assert!(placements(&report(&mut pool, ms(0), at + ms(999))).is_empty());
    assert_eq!(
        pool.next_timer(),
        Some(at + ms(1_000)),
        "failures were forgotten"
    );
    assert_eq!(placements(&pool.tick(at + ms(1_000))).len(), 1);
}

/// Guards against a request that is the trial of a runner which failed it while others could be tried, and against
/// a service of one runner that serves its retries never.
#[test]
fn avoided_runner_is_tried_only_as_the_last_chance() {
    let now = Instant::now();
    let one = upstream("s1", Role::Service, 5);
    let two = upstream("s2", Role::Service, 5);
    let mut pool = pool(&[one.clone(), two.clone()], now);
    for (request, id) in [(0, "s1"), (1, "s2")] {
        pool.place(place_request(request, "c"), now);
        pool.release(&down(id, request), now);
    }
    let avoiding = |request, ids: &[&str]| PlaceRequest {
        avoid: ids.iter().map(|id| (*id).into()).collect(),
        ..place_request(request, "c")
    };
    let later = now + ms(500);
    let first = placements(&pool.place(avoiding(2, &["s1"]), later));
    assert_eq!(&*first[0].1.target, "s2");
    assert!(placements(&pool.place(avoiding(3, &["s1"]), later)).is_empty());
    let last = PlaceRequest {
        customer: "d".into(),
        ..avoiding(4, &["s1", "s2"])
    };
    let last = placements(&pool.place(last, later));
    assert_eq!(&*last[0].1.target, "s1");
}

/// Guards against callers who wait for long, although late answers are useless, while every upstream is down, and
/// against refusing those who would rather wait.
#[test]
fn tells_of_an_outage_soon() {
    let (mut pool, now) = pool_and_start(&one_pair());
    let urgent = |request| PlaceRequest {
        late: LatePolicy::Refuse,
        deadline: Duration::from_mins(2),
        max_wait: Duration::from_mins(2),
        ..place_request(request, "c")
    };
    let patient = PlaceRequest {
        max_wait: Duration::from_mins(2),
        ..place_request(1, "c")
    };
    pool.report_unreachable(&"d".into(), now);
    assert!(replies(&pool.place(urgent(0), now + ms(10))).is_empty());
    assert!(replies(&pool.place(patient, now + ms(10))).is_empty());
    let retried = PlaceRequest {
        avoid: ["d".into()].into_iter().collect(),
        max_wait: Duration::from_mins(2),
        ..place_request(4, "c")
    };
    assert!(replies(&pool.place(retried, now + ms(10))).is_empty());
    assert!(replies(&pool.tick(now + ms(1_999))).is_empty());
    let due = pool.next_timer().expect("a timer is set");
    assert_eq!(due, now + ms(2_000));
    let mut refused = replies(&pool.tick(due));
    refused.sort_by_key(|(key, _)| *key);
    assert!(
        matches!(
            refused[..],
            [
                ((0, 1), PlaceReply::Busy { .. }),
                ((4, 1), PlaceReply::Busy { .. })
            ]
        ),
        "{refused:?}"
    );
    let refused = replies(&pool.place(urgent(2), due + ms(1)));
    assert!(
        matches!(refused[..], [((2, 1), PlaceReply::Busy { .. })]),
        "{refused:?}"
    );
    assert!(
        pool.next_timer().is_some_and(|at| at > due + ms(1)),
        "a timer that is past would spin"
    );
    let report = pool.report_load(&"d".into(), &EngineLoad::default(), due + ms(100));
    assert_eq!(placements(&report)[0].0, (1, 1));
    assert_eq!(placements(&pool.place(urgent(3), due + ms(100))).len(), 1);
}

/// Guards against a retry on the upstream that failed the request while another one exists, even a full one.
#[test]
fn avoids_failed_upstreams_while_others_exist() {
    let now = Instant::now();
    let one = upstream("s1", Role::Service, 1);
    let two = upstream("s2", Role::Service, 1);
    let mut pool = pool(&[one.clone(), two.clone()], now);
    let other = PlaceRequest {
        avoid: ["s1".into()].into_iter().collect(),
        ..place_request(0, "c")
    };
    assert_eq!(
        &*placements(&pool.place(other.clone(), now))[0].1.target,
        "s2"
    );
    let waits = PlaceRequest {
        request: 1,
        ..other.clone()
    };
    assert!(placements(&pool.place(waits, now)).is_empty());
    assert_eq!(
        placements(&pool.place(place_request(2, "d"), now)).len(),
        1,
        "another request was held up"
    );
    pool.set_upstreams([(one, false), (two, true)], now);
    let freed = placements(&pool.release(&finished(2), now));
    assert_eq!(&*freed[0].1.target, "s1", "no other one exists");
}

/// Guards against lagging reports that hide what was sent, and against counting ended work.
#[test]
fn corrects_lagging_reports() {
    let start = Instant::now();
    let at = |millis| start + ms(millis);
    let max_age = Duration::from_secs(5);
    let report = |running, age| EngineLoad {
        age: ms(age),
        running,
        queued_tokens: 0,
        kv_bytes: 0,
    };
    let mut load = CorrectedLoad::default();
    assert_eq!(load.running(max_age, start), None);
    load.record_sent((1, 1), 100, at(0));
    load.record_report(&report(1, 0), at(10));
    load.record_sent((2, 1), 100, at(20));
    assert_eq!(load.running(max_age, at(20)), Some(2));
    load.record_end((1, 1), max_age, at(30));
    assert_eq!(load.running(max_age, at(30)), Some(1));
    // Taken at 25: the second was sent and the first not yet ended.
    load.record_report(&report(2, 10), at(35));
    assert_eq!(load.running(max_age, at(35)), Some(1));
    load.record_report(&report(1, 0), at(40));
    assert_eq!(load.running(max_age, at(40)), Some(1));
    assert_eq!(
        load.running(max_age, at(6_000)),
        None,
        "a stale report was used"
    );
}

/// Guards against prefixes that are counted on although an eviction may have been missed.
#[test]
fn drops_the_index_at_a_gap() {
    let mut index = CacheIndex::default();
    let stored = |first, pieces: &[u64]| CacheEvents {
        first,
        events: pieces.iter().map(|p| CacheEvent::Stored(*p)).collect(),
    };
    index.apply(&stored(0, &[1, 2]));
    assert_eq!(index.cached_tokens(&[1, 2, 3], 9_000), 4_000);
    assert_eq!(
        index.cached_tokens(&[3, 1], 9_000),
        0,
        "only whole prefixes count"
    );
    index.apply(&stored(2, &[3]));
    assert_eq!(index.cached_tokens(&[1, 2, 3], 5_500), 5_500);
    index.apply(&stored(5, &[4]));
    assert_eq!(index.cached_tokens(&[1, 2, 3], 9_000), 0);
    assert_eq!(index.next_event(), 6);
    index.apply(&stored(0, &[1]));
    assert_eq!(index.cached_tokens(&[1], 9_000), 2_000);
    assert_eq!(index.next_event(), 1, "a restarted engine numbers anew");
}
