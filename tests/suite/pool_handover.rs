//! Changes of the owner of a pool, checked against the attempts that its entry hosts run.

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
/// The default of `PlacementSettings::adoption_timeout`.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether and when a message or a list arrives; delays are in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Immediate,
    Delayed(u16),
    Lost,
}

/// An event of a run; delays and times are in milliseconds.
#[derive(Debug, Clone)]
enum Step {
    Place {
        request: u8,
        answer_lost: bool,
    },
    Repeat(u8),
    Finish {
        request: u8,
        delay: u16,
    },
    Copy(Delivery),
    OwnerFails {
        list: Delivery,
        adopt_delays: [u16; 3],
    },
    HostFails {
        host: u8,
        detected_after: u16,
    },
    RepeatAdopt(u8),
    Advance(u16),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        3 => Just(Delivery::Immediate),
        2 => (1..8_000u16).prop_map(Delivery::Delayed),
        1 => Just(Delivery::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let delays = prop::array::uniform3(0..4_900u16);
    prop_oneof![
        8 => (0..40u8, any::<bool>(), any::<bool>())
            .prop_map(|(request, a, b)| Step::Place { request, answer_lost: a && b }),
        2 => (0..40u8).prop_map(Step::Repeat),
        4 => (0..40u8, 0..3_000u16).prop_map(|(request, delay)| Step::Finish { request, delay }),
        4 => delivery().prop_map(Step::Copy),
        2 => (delivery(), delays).prop_map(|(list, adopt_delays)| Step::OwnerFails { list, adopt_delays }),
        1 => (0..HOSTS, 0..10_000u16)
            .prop_map(|(host, detected_after)| Step::HostFails { host, detected_after }),
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

/// A pool, its standby's list, its entry hosts and the messages in flight.
struct Simulation {
    pool: Pool,
    standby: StandbyList,
    now: Instant,
    incarnations: [Incarnation; HOSTS as usize],
    /// The attempts that run at live entry hosts.
    running: HashMap<AttemptKey, RunningAttempt>,
    /// The place requests without a reply, each with the number of the owner that got it first.
    unanswered: HashMap<AttemptKey, (PlaceRequest, u32)>,
    /// The number of the current owner, from 0.
    owner_number: u32,
    seen_requests: HashSet<RequestId>,
    messages: BTreeMap<(Instant, u64), Message>,
    sent: u64,
    announcements: Vec<Adopt>,
    /// The entry-host processes that were reported gone, as a pool owner remembers them.
    gone_processes: Vec<(HostId, Incarnation)>,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            pool: Self::create(now),
            standby: StandbyList::default(),
            now,
            incarnations: [1; HOSTS as usize],
            running: HashMap::new(),
            unanswered: HashMap::new(),
            owner_number: 0,
            seen_requests: HashSet::new(),
            messages: BTreeMap::new(),
            sent: 0,
            announcements: Vec::new(),
            gone_processes: Vec::new(),
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
        let mut needs_announcement = false;
        for action in actions {
            match action {
                PoolAction::Reply { key, reply } => {
                    if is_answer_lost {
                        continue;
                    }
                    let Some((req, first_owner)) = self.unanswered.get(&key).cloned() else {
                        continue;
                    };
                    match reply {
                        PlaceReply::Placed(placement) => {
                            self.unanswered.remove(&key);
                            needs_announcement |= first_owner != self.owner_number;
                            let running = RunningAttempt::new(&req, placement);
                            self.running.insert(key, running);
                        }
                        other => panic!("{key:?} of a live host was answered with {other:?}"),
                    }
                }
                PoolAction::Cancel { request, .. } => {
                    let runs = self.running.keys().any(|key| key.0 == request);
                    assert!(
                        !runs,
                        "{request} was cancelled while it runs at a live entry host"
                    );
                }
            }
        }
        if needs_announcement {
            // As `FleetPlacer` does, because the owner changed after the hosts announced their running attempts.
            for host in 0..usize::from(HOSTS) {
                let adopt = self.announcement_of(host);
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
            assert!(
                keys.insert(running.key()),
                "an attempt holds two reservations"
            );
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

    fn place(&mut self, req: PlaceRequest, is_answer_lost: bool) {
        let first = (req.clone(), self.owner_number);
        self.unanswered.entry(attempt_key(&req)).or_insert(first);
        let actions = self.pool.place(req, self.now);
        self.perform(actions, is_answer_lost);
    }

    fn deliver(&mut self, message: Message) {
        let actions = match message {
            Message::Adopt(adopt) => self.pool.adopt(&adopt, self.now),
            Message::Release(release) => self.pool.release(&release, self.now),
            Message::TakeOver(listed) => self.pool.take_over(listed, self.now),
            Message::HostDown(host, incarnation) => {
                self.gone_processes.push((host.clone(), incarnation));
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

    fn announcement_of(&self, host: usize) -> Adopt {
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

    fn replace_owner(&mut self, list: Delivery, adopt_delays: [u16; 3]) {
        self.owner_number += 1;
        self.pool = Self::create(self.now);
        self.pool.start_settling(self.now);
        for (host, incarnation) in self.gone_processes.clone() {
            self.pool.host_down(&host, incarnation, self.now);
        }
        // Releases and host failures are sent to the new owner too; the rest was meant for the former one or its
        // standby.
        self.messages
            .retain(|_, m| matches!(m, Message::Release(_) | Message::HostDown(..)));
        self.announcements.clear();
        let listed = std::mem::take(&mut self.standby).into_attempts().collect();
        match list {
            Delivery::Immediate => self.deliver(Message::TakeOver(listed)),
            Delivery::Delayed(delay) => self.send(ms(delay.into()), Message::TakeOver(listed)),
            Delivery::Lost => {}
        }
        for (host, delay) in adopt_delays.into_iter().enumerate() {
            let adopt = self.announcement_of(host);
            self.announcements.push(adopt.clone());
            self.send(ms(delay.into()), Message::Adopt(adopt));
        }
        let unanswered: Vec<_> = self
            .unanswered
            .values()
            .map(|(req, _)| req.clone())
            .collect();
        for req in unanswered {
            self.place(req, false);
        }
    }

    fn run(&mut self, step: &Step) {
        match step.clone() {
            Step::Place {
                request,
                answer_lost,
            } => {
                let request = RequestId::from(request);
                if !self.seen_requests.insert(request) {
                    return;
                }
                let host = Self::host_of(request);
                let req = PlaceRequest {
                    host: format!("h{host}").into(),
                    incarnation: self.incarnations[host],
                    hold_limit: Duration::from_mins(30),
                    max_wait: Duration::from_mins(30),
                    ..place_request(request, "c")
                };
                self.place(req, answer_lost);
            }
            Step::Repeat(request) => {
                if let Some((req, _)) = self.unanswered.get(&(request.into(), 1)).cloned() {
                    self.place(req, false);
                }
            }
            Step::Finish { request, delay } => {
                let key = (request.into(), 1);
                if self.running.contains_key(&key) {
                    self.end(key, ms(delay.into()));
                }
            }
            Step::Copy(delivery) => {
                let Some(batch) = self.pool.take_changes() else {
                    return;
                };
                match delivery {
                    Delivery::Immediate => self.deliver(Message::Copy(batch)),
                    Delivery::Delayed(delay) => self.send(ms(delay.into()), Message::Copy(batch)),
                    Delivery::Lost => {}
                }
            }
            Step::OwnerFails { list, adopt_delays } => self.replace_owner(list, adopt_delays),
            Step::HostFails {
                host,
                detected_after,
            } => {
                let index = usize::from(host);
                let incarnation = self.incarnations[index];
                self.incarnations[index] += 1;
                self.running.retain(|key, _| Self::host_of(key.0) != index);
                self.unanswered
                    .retain(|key, _| Self::host_of(key.0) != index);
                let host = format!("h{host}").into();
                self.send(
                    ms(detected_after.into()),
                    Message::HostDown(host, incarnation),
                );
            }
            Step::RepeatAdopt(index) => {
                if !self.announcements.is_empty() {
                    let adopt =
                        self.announcements[usize::from(index) % self.announcements.len()].clone();
                    self.deliver(Message::Adopt(adopt));
                }
            }
            Step::Advance(by) => self.advance(ms(by.into())),
        }
    }

    /// Advances the clock until all messages have arrived and the adoption timeout has passed.
    fn quiesce(&mut self) {
        self.advance(Duration::from_secs(12) + ADOPTION_TIMEOUT);
        assert!(self.messages.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against a new owner that cancels running attempts, slots that stay held for ended attempts or those of
    /// failed hosts, and attempts that are counted twice, when lists and messages are delayed, lost or repeated.
    #[test]
    fn owner_changes_preserve_running_attempts(steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.run(step);
        }
        simulation.quiesce();
        let held: HashSet<_> = simulation.pool.running().iter().map(RunningAttempt::key).collect();
        for key in simulation.running.keys() {
            prop_assert!(held.contains(key), "{key:?} runs and holds no slot");
        }
        for key in &held {
            let is_known = simulation.running.contains_key(key) || simulation.unanswered.contains_key(key);
            prop_assert!(is_known, "{key:?} holds a slot, but neither runs nor waits");
        }
        // Ends everything that still runs or waits.
        for key in simulation.running.keys().copied().collect::<Vec<_>>() {
            simulation.end(key, Duration::ZERO);
        }
        for key in std::mem::take(&mut simulation.unanswered).into_keys() {
            let cancel = CancelPlace { request: key.0, attempt: key.1, pool: pool_id() };
            simulation.pool.cancel(&cancel, simulation.now);
        }
        simulation.quiesce();
        prop_assert_eq!((simulation.pool.placed(), simulation.pool.queued()), (0, 0));
    }
}
