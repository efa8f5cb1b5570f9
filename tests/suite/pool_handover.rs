//! Owner changes of one pool, checked against what its entry hosts run.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{
    Adopt, CancelPlace, Inflight, ListPart, PlaceReply, PlaceRequest, Release, ReleaseOutcome,
    RunningAttempt,
};
use hibiscusspread::process::pool::{AttemptKey, Pool, PoolAction, attempt_key};
use hibiscusspread::process::recovery::StandbyList;
use hibiscusspread::version::compiled::Role;
use proptest::prelude::*;

use crate::pool_support::{place_request, pool, pool_id, upstream};

const HOSTS: u8 = 3;
const ADOPT_WITHIN: Duration = Duration::from_secs(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What happens to a message or a list.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Arrives,
    Late(u16),
    Lost,
}

#[derive(Debug, Clone)]
enum Step {
    Place { request: u8, answer_lost: bool },
    Repeat(u8),
    Finish { request: u8, delay: u16 },
    Copy(Fate),
    OwnerDies { list: Fate, adopt_delays: [u16; 3] },
    HostDies { host: u8, told_after: u16 },
    RepeatAdopt(u8),
    Advance(u16),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Arrives),
        2 => (1..8_000u16).prop_map(Fate::Late),
        1 => Just(Fate::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let delays = prop::array::uniform3(0..4_900u16);
    prop_oneof![
        8 => (0..40u8, any::<bool>(), any::<bool>())
            .prop_map(|(request, a, b)| Step::Place { request, answer_lost: a && b }),
        2 => (0..40u8).prop_map(Step::Repeat),
        4 => (0..40u8, 0..3_000u16).prop_map(|(request, delay)| Step::Finish { request, delay }),
        4 => fate().prop_map(Step::Copy),
        2 => (fate(), delays).prop_map(|(list, adopt_delays)| Step::OwnerDies { list, adopt_delays }),
        1 => (0..HOSTS, 0..10_000u16)
            .prop_map(|(host, told_after)| Step::HostDies { host, told_after }),
        1 => any::<u8>().prop_map(Step::RepeatAdopt),
        4 => (1..3_000u16).prop_map(Step::Advance),
    ]
}

#[derive(Debug, Clone)]
enum Message {
    Adopt(Adopt),
    Release(Release),
    TakeOver(Vec<RunningAttempt>),
    Copy(Inflight),
    HostDown(HostId, Incarnation),
}

/// A pool, its standby's list, its entry hosts and the messages under way.
struct World {
    pool: Pool,
    standby: StandbyList,
    now: Instant,
    incarnations: [Incarnation; HOSTS as usize],
    /// What entry hosts run.
    running: HashMap<AttemptKey, RunningAttempt>,
    /// What entry hosts asked for and have no answer to, with the owner that was asked first.
    asking: HashMap<AttemptKey, (PlaceRequest, u32)>,
    /// Counts the owners.
    owner: u32,
    used: HashSet<RequestId>,
    messages: BTreeMap<(Instant, u64), Message>,
    sent: u64,
    adopts: Vec<Adopt>,
    /// The hosts that are known to be gone, as a pool owner remembers them.
    gone: Vec<(HostId, Incarnation)>,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            pool: Self::create(now),
            standby: StandbyList::default(),
            now,
            incarnations: [1; HOSTS as usize],
            running: HashMap::new(),
            asking: HashMap::new(),
            owner: 0,
            used: HashSet::new(),
            messages: BTreeMap::new(),
            sent: 0,
            adopts: Vec::new(),
            gone: Vec::new(),
        }
    }

    fn create(now: Instant) -> Pool {
        let members = [
            upstream("d1", Role::Decode, 3),
            upstream("d2", Role::Decode, 3),
            upstream("p", Role::Prefill, 40),
        ];
        pool(&members, now)
    }

    fn send(&mut self, delay: Duration, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }

    fn perform(&mut self, actions: Vec<PoolAction>, is_answer_lost: bool) {
        let mut is_announced = false;
        for action in actions {
            match action {
                PoolAction::Reply { key, reply } => {
                    if is_answer_lost {
                        continue;
                    }
                    let Some((asked, first_owner)) = self.asking.get(&key).cloned() else {
                        continue;
                    };
                    match reply {
                        PlaceReply::Placed(placement) => {
                            self.asking.remove(&key);
                            is_announced |= first_owner != self.owner;
                            let running = RunningAttempt::new(&asked, placement);
                            self.running.insert(key, running);
                        }
                        other => panic!("{key:?} of a live host was answered with {other:?}"),
                    }
                }
                PoolAction::Cancel { request, .. } => {
                    let runs = self.running.keys().any(|key| key.0 == request);
                    assert!(
                        !runs,
                        "{request} runs at a live entry host and was cancelled"
                    );
                }
            }
        }
        if is_announced {
            // As the placer does, because the owner changed after the hosts announced what they run.
            for host in 0..usize::from(HOSTS) {
                let adopt = self.adopt_of(host);
                self.send(ms(1_000), Message::Adopt(adopt));
            }
        }
        self.check_counts();
    }

    /// Checks that every attempt is counted once on each of its upstreams.
    fn check_counts(&self) {
        let mut counts: HashMap<UpstreamId, u32> = HashMap::new();
        let mut keys = HashSet::new();
        for running in self.pool.running() {
            assert!(keys.insert(running.key()), "held twice");
            let placement = running.placement;
            for id in placement.prefill.into_iter().chain([placement.target]) {
                *counts.entry(id).or_default() += 1;
            }
        }
        for upstream in self.pool.upstreams() {
            let expected = counts.get(&upstream.config.id).copied().unwrap_or(0);
            assert_eq!(upstream.held, expected, "{}", upstream.config.id);
        }
    }

    fn ask(&mut self, question: PlaceRequest, is_answer_lost: bool) {
        let first = (question.clone(), self.owner);
        self.asking.entry(attempt_key(&question)).or_insert(first);
        let actions = self.pool.place(question, self.now);
        self.perform(actions, is_answer_lost);
    }

    fn deliver(&mut self, message: Message) {
        let actions = match message {
            Message::Adopt(adopt) => self.pool.adopt(&adopt, self.now),
            Message::Release(release) => self.pool.release(&release, self.now),
            Message::TakeOver(listed) => self.pool.take_over(listed, self.now),
            Message::HostDown(host, incarnation) => {
                self.gone.push((host.clone(), incarnation));
                self.pool.host_down(&host, incarnation, self.now)
            }
            Message::Copy(batch) => {
                self.standby.apply(batch);
                Vec::new()
            }
        };
        self.perform(actions, false);
    }

    fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        loop {
            let message = self
                .messages
                .keys()
                .next()
                .copied()
                .filter(|k| k.0 <= until);
            let timer = self.pool.next_timer().filter(|at| *at <= until);
            match (message, timer) {
                (Some(key), timer) if timer.is_none_or(|at| key.0 <= at) => {
                    self.now = self.now.max(key.0);
                    let message = self.messages.remove(&key).expect("it is there");
                    self.deliver(message);
                }
                (_, Some(at)) => {
                    self.now = self.now.max(at);
                    let actions = self.pool.tick(self.now);
                    self.perform(actions, false);
                }
                _ => break,
            }
        }
        self.now = until;
    }

    fn host_of(request: RequestId) -> usize {
        usize::try_from(request % RequestId::from(HOSTS)).expect("small")
    }

    fn adopt_of(&self, host: usize) -> Adopt {
        let running = self.running.values();
        let theirs = running.filter(|r| Self::host_of(r.request) == host);
        Adopt {
            pool: pool_id(),
            host: format!("h{host}").into(),
            part: ListPart::only(self.incarnations[host], self.sent),
            attempts: theirs.cloned().collect(),
        }
    }

    fn end(&mut self, key: AttemptKey, delay: Duration) {
        self.running.remove(&key);
        let release = Release {
            request: key.0,
            attempt: key.1,
            pool: pool_id(),
            outcome: ReleaseOutcome::Finished { output_tokens: 1 },
        };
        self.send(delay, Message::Release(release));
    }

    fn replace_owner(&mut self, list: Fate, adopt_delays: [u16; 3]) {
        self.owner += 1;
        self.pool = Self::create(self.now);
        self.pool.start_settling(self.now);
        for (host, incarnation) in self.gone.clone() {
            self.pool.host_down(&host, incarnation, self.now);
        }
        // Releases and deaths are told to the next owner; the rest was meant for the former one or its standby.
        self.messages
            .retain(|_, m| matches!(m, Message::Release(_) | Message::HostDown(..)));
        self.adopts.clear();
        let listed = std::mem::take(&mut self.standby).into_attempts().collect();
        match list {
            Fate::Arrives => self.deliver(Message::TakeOver(listed)),
            Fate::Late(delay) => self.send(ms(delay.into()), Message::TakeOver(listed)),
            Fate::Lost => {}
        }
        for (host, delay) in adopt_delays.into_iter().enumerate() {
            let adopt = self.adopt_of(host);
            self.adopts.push(adopt.clone());
            self.send(ms(delay.into()), Message::Adopt(adopt));
        }
        let asking: Vec<_> = self
            .asking
            .values()
            .map(|(question, _)| question.clone())
            .collect();
        for question in asking {
            self.ask(question, false);
        }
    }

    fn run(&mut self, step: &Step) {
        match step.clone() {
            Step::Place {
                request,
                answer_lost,
            } => {
                let request = RequestId::from(request);
                if !self.used.insert(request) {
                    return;
                }
                let host = Self::host_of(request);
                let question = PlaceRequest {
                    host: format!("h{host}").into(),
                    incarnation: self.incarnations[host],
                    hold_limit: Duration::from_mins(30),
                    max_wait: Duration::from_mins(30),
                    ..place_request(request, "c")
                };
                self.ask(question, answer_lost);
            }
            Step::Repeat(request) => {
                if let Some((question, _)) = self.asking.get(&(request.into(), 1)).cloned() {
                    self.ask(question, false);
                }
            }
            Step::Finish { request, delay } => {
                let key = (request.into(), 1);
                if self.running.contains_key(&key) {
                    self.end(key, ms(delay.into()));
                }
            }
            Step::Copy(fate) => {
                let Some(batch) = self.pool.take_changes() else {
                    return;
                };
                match fate {
                    Fate::Arrives => self.deliver(Message::Copy(batch)),
                    Fate::Late(delay) => self.send(ms(delay.into()), Message::Copy(batch)),
                    Fate::Lost => {}
                }
            }
            Step::OwnerDies { list, adopt_delays } => self.replace_owner(list, adopt_delays),
            Step::HostDies { host, told_after } => {
                let index = usize::from(host);
                let incarnation = self.incarnations[index];
                self.incarnations[index] += 1;
                self.running.retain(|key, _| Self::host_of(key.0) != index);
                self.asking.retain(|key, _| Self::host_of(key.0) != index);
                let host = format!("h{host}").into();
                self.send(ms(told_after.into()), Message::HostDown(host, incarnation));
            }
            Step::RepeatAdopt(index) => {
                if !self.adopts.is_empty() {
                    let adopt = self.adopts[usize::from(index) % self.adopts.len()].clone();
                    self.deliver(Message::Adopt(adopt));
                }
            }
            Step::Advance(by) => self.advance(ms(by.into())),
        }
    }

    /// Lets all messages arrive, and the time for adoption pass.
    fn quiesce(&mut self) {
        self.advance(Duration::from_secs(12) + ADOPT_WITHIN);
        assert!(self.messages.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against running requests that a new owner cuts off, slots that stay held for attempts of dead hosts or
    /// ended attempts, and attempts that are counted twice, with lists and messages that are late, lost or repeated.
    #[test]
    fn owner_changes_keep_what_runs(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
        }
        world.quiesce();
        let held: HashSet<_> = world.pool.running().iter().map(RunningAttempt::key).collect();
        for key in world.running.keys() {
            prop_assert!(held.contains(key), "{key:?} runs and holds no slot");
        }
        for key in &held {
            let is_known = world.running.contains_key(key) || world.asking.contains_key(key);
            prop_assert!(is_known, "{key:?} holds a slot that nobody uses");
        }
        // Everything that still runs or is asked for ends.
        for key in world.running.keys().copied().collect::<Vec<_>>() {
            world.end(key, Duration::ZERO);
        }
        for key in std::mem::take(&mut world.asking).into_keys() {
            let cancel = CancelPlace { request: key.0, attempt: key.1, pool: pool_id() };
            world.pool.cancel(&cancel, world.now);
        }
        world.quiesce();
        prop_assert_eq!((world.pool.placed(), world.pool.queued()), (0, 0));
    }
}
