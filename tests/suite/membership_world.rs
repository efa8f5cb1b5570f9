//! Hosts, a network, a store and a host list in simulated time, around the detectors of all hosts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hibiscusspread::connection::peer::{SEAL_BYTES, encode};
use hibiscusspread::prelude::*;
use hibiscusspread::process::host_list::{ListedHost, ListedState};
use hibiscusspread::process::membership::{Action, Detector, DetectorSettings, MemberEvent};
use hibiscusspread::process::message::{Heartbeat, Member, PeerReply, PeerRequest};

const TICK: Duration = Duration::from_millis(250);
const READ: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_secs(30);
const ASK_LIMIT: Duration = Duration::from_millis(1500);

/// What a machine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Power {
    /// Runs, with or without a process.
    On,
    /// Its process does not run but keeps its port.
    Paused,
    /// Answers nothing.
    Off,
}

struct Process {
    incarnation: Incarnation,
    detector: Detector,
}

struct Machine {
    host: HostId,
    data_centre: DataCentreId,
    address: SocketAddr,
    power: Power,
    process: Option<Process>,
    /// When a process started or ended, for the lagging list.
    history: Vec<(Instant, bool)>,
    /// Messages that wait while the process is paused.
    waiting: Vec<Delivery>,
}

#[derive(Clone)]
enum Delivery {
    Tick(usize, Incarnation),
    Read(usize, Incarnation),
    Question {
        from: usize,
        asker: Incarnation,
        to: usize,
        seq: u64,
        expected: Incarnation,
        heartbeat: Heartbeat,
        asked: Instant,
    },
    Answer {
        from: usize,
        to: usize,
        asker: Incarnation,
        seq: u64,
        heartbeat: Heartbeat,
        asked: Instant,
    },
    Refused {
        from: usize,
        to: usize,
        asker: Incarnation,
        expected: Incarnation,
    },
    Tell {
        from: usize,
        to: usize,
        req: PeerRequest,
    },
}

/// Messages and bytes of one host, both directions.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// The simulated fleet.
pub struct World {
    pub now: Instant,
    machines: Vec<Machine>,
    index: BTreeMap<HostId, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    sequence: u64,
    records: BTreeMap<HostId, (Member, Instant)>,
    pub store_down: bool,
    pub cuts: HashSet<(usize, usize)>,
    pub list_lag: Duration,
    /// Delays of messages in turn.
    pub delays: Vec<Duration>,
    pub events: Vec<(Instant, usize, MemberEvent)>,
    pub traffic: Vec<Traffic>,
    /// Whether traffic is counted, which takes most of the time of a run.
    pub measured: bool,
    /// What went wrong with what is checked at every event.
    pub violations: Vec<String>,
    next_incarnation: Incarnation,
}

impl World {
    /// Creates a fleet with these numbers of hosts in its data centres, all running.
    pub fn new(data_centres: &[usize]) -> Self {
        let now = Instant::now();
        let mut machines = Vec::new();
        for (dc, count) in data_centres.iter().enumerate() {
            for k in 0..*count {
                let port_offset = u16::try_from(machines.len()).unwrap();
                machines.push(Machine {
                    host: format!("entry-{dc}-{k}").into(),
                    data_centre: format!("north-{dc}").into(),
                    address: SocketAddr::from(([10, 1, 0, 1], port_offset + 1000)),
                    power: Power::On,
                    process: None,
                    history: Vec::new(),
                    waiting: Vec::new(),
                });
            }
        }
        let index = machines.iter().enumerate();
        let index = index.map(|(at, m)| (m.host.clone(), at)).collect();
        let mut world = Self {
            now,
            traffic: vec![Traffic::default(); machines.len()],
            machines,
            index,
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            records: BTreeMap::new(),
            store_down: false,
            cuts: HashSet::new(),
            list_lag: Duration::from_secs(20),
            delays: vec![Duration::from_millis(1)],
            events: Vec::new(),
            measured: false,
            violations: Vec::new(),
            next_incarnation: 0x1234_5678_9abc_0000,
        };
        for at in 0..world.machines.len() {
            world.start(at);
        }
        world
    }

    pub fn len(&self) -> usize {
        self.machines.len()
    }

    pub fn host(&self, at: usize) -> HostId {
        self.machines[at].host.clone()
    }

    /// Returns the incarnation of the process at a machine, running or paused.
    pub fn incarnation(&self, at: usize) -> Option<Incarnation> {
        self.machines[at].process.as_ref().map(|p| p.incarnation)
    }

    pub fn is_running(&self, at: usize) -> bool {
        self.machines[at].power == Power::On && self.machines[at].process.is_some()
    }

    /// Returns the hosts that `at` takes for there, with incarnations.
    pub fn live_at(&self, at: usize) -> BTreeSet<(HostId, Incarnation)> {
        let process = self.machines[at].process.as_ref().expect("process runs");
        let live = process.detector.live().into_iter();
        live.map(|m| (m.host, m.incarnation)).collect()
    }

    /// Returns the hosts that are there.
    pub fn truly_live(&self) -> BTreeSet<(HostId, Incarnation)> {
        let running = (0..self.len()).filter(|at| self.is_running(*at));
        running
            .filter_map(|at| Some((self.host(at), self.incarnation(at)?)))
            .collect()
    }

    /// Starts a process on a machine without one, and the machine if it is off.
    pub fn start(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        if machine.process.is_some() {
            return;
        }
        machine.power = Power::On;
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        let me = Member {
            host: machine.host.clone(),
            data_centre: machine.data_centre.clone(),
            address: machine.address,
            incarnation,
            leaving: false,
        };
        machine.process = Some(Process {
            incarnation,
            detector: Detector::new(DetectorSettings::default(), me, self.now),
        });
        machine.history.push((self.now, true));
        // Hosts don't tick in step.
        let phase = Duration::from_millis(at as u64 * 37 % 250);
        self.schedule(phase, Delivery::Tick(at, incarnation));
        self.schedule(phase, Delivery::Read(at, incarnation));
    }

    /// Ends the process on a machine; its kernel refuses connections if it stays on.
    pub fn kill(&mut self, at: usize, power: Power) {
        let machine = &mut self.machines[at];
        if machine.process.take().is_some() {
            machine.history.push((self.now, false));
        }
        machine.waiting.clear();
        machine.power = power;
    }

    pub fn pause(&mut self, at: usize) {
        if self.is_running(at) {
            self.machines[at].power = Power::Paused;
        }
    }

    pub fn resume(&mut self, at: usize) {
        if self.machines[at].power == Power::Paused {
            self.machines[at].power = Power::On;
            for delivery in std::mem::take(&mut self.machines[at].waiting) {
                self.schedule(Duration::ZERO, delivery);
            }
        }
    }

    pub fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cuts.insert(pair);
            } else {
                self.cuts.remove(&pair);
            }
        }
    }

    /// Lets a host leave.
    pub fn leave(&mut self, at: usize) {
        let process = self.machines[at].process.as_mut().expect("process runs");
        let actions = process.detector.leave();
        self.perform(at, actions);
    }

    /// Runs the fleet for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(delivery) = self.deliveries.remove(&sequence) {
                self.deliver(&delivery);
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence)));
        self.deliveries.insert(self.sequence, delivery);
    }

    fn delay(&self) -> Duration {
        let at = usize::try_from(self.sequence).unwrap() % self.delays.len();
        self.delays[at]
    }

    fn count(&mut self, from: usize, to: usize, message: &impl serde::Serialize) {
        if !self.measured {
            return;
        }
        let bytes = encode(message).unwrap().len();
        for at in [from, to] {
            self.traffic[at].messages += 1;
            self.traffic[at].bytes += (bytes + SEAL_BYTES) as u64;
        }
    }

    /// Returns the process that takes a message, unless it waits or is lost.
    fn reach(&mut self, from: usize, to: usize, delivery: &Delivery) -> bool {
        if self.cuts.contains(&(from, to)) {
            return false;
        }
        let machine = &mut self.machines[to];
        match machine.power {
            Power::Off => false,
            Power::Paused => {
                machine.waiting.push(delivery.clone());
                false
            }
            Power::On => true,
        }
    }

    fn wake(&mut self, at: usize, incarnation: Incarnation, delivery: &Delivery) {
        if !self.reach(at, at, delivery) || self.incarnation(at) != Some(incarnation) {
            return;
        }
        if matches!(delivery, Delivery::Tick(..)) {
            let process = self.machines[at].process.as_mut().expect("process runs");
            let actions = process.detector.tick(self.now);
            self.perform(at, actions);
            self.schedule(TICK, delivery.clone());
        } else {
            self.read(at);
            self.schedule(READ, delivery.clone());
        }
    }

    fn deliver(&mut self, delivery: &Delivery) {
        let now = self.now;
        match delivery.clone() {
            Delivery::Tick(at, incarnation) | Delivery::Read(at, incarnation) => {
                self.wake(at, incarnation, delivery);
            }
            Delivery::Question {
                from,
                asker,
                to,
                seq,
                expected,
                heartbeat,
                asked,
            } => {
                if !self.reach(from, to, delivery) {
                    return;
                }
                let Some(process) = self.machines[to].process.as_mut() else {
                    let delay = self.delay();
                    return self.schedule(
                        delay,
                        Delivery::Refused {
                            from,
                            to,
                            asker,
                            expected,
                        },
                    );
                };
                let (reply, actions) = process.detector.handle_heartbeat(now, &heartbeat);
                self.perform(to, actions);
                self.count(to, from, &PeerReply::Heartbeat(reply.clone()));
                let answer = Delivery::Answer {
                    from: to,
                    to: from,
                    asker,
                    seq,
                    heartbeat: reply,
                    asked,
                };
                let delay = self.delay();
                self.schedule(delay, answer);
            }
            Delivery::Answer {
                from,
                to,
                asker,
                seq,
                heartbeat,
                asked,
            } => {
                if !self.reach(from, to, delivery)
                    || self.incarnation(to) != Some(asker)
                    || now - asked > ASK_LIMIT
                {
                    return;
                }
                let host = self.host(from);
                let process = self.machines[to].process.as_mut().expect("process runs");
                let actions = process.detector.handle_reply(now, &host, seq, &heartbeat);
                self.perform(to, actions);
            }
            Delivery::Refused {
                from,
                to,
                asker,
                expected,
            } => {
                if !self.reach(to, from, delivery) || self.incarnation(from) != Some(asker) {
                    return;
                }
                let host = self.host(to);
                let process = self.machines[from].process.as_mut().expect("process runs");
                let actions = process.detector.handle_failure(now, &host, expected, true);
                self.perform(from, actions);
            }
            Delivery::Tell { from, to, req } => {
                if !self.reach(from, to, delivery) {
                    return;
                }
                let Some(process) = self.machines[to].process.as_mut() else {
                    return;
                };
                let actions = match &req {
                    PeerRequest::HostDown(down) => process.detector.handle_host_down(now, down),
                    PeerRequest::Leaving(leaving) => process.detector.handle_leaving(leaving),
                    _ => Vec::new(),
                };
                self.perform(to, actions);
            }
        }
    }

    fn read(&mut self, at: usize) {
        let now = self.now;
        let listed = self.listed();
        let process = self.machines[at].process.as_mut().expect("process runs");
        let mut actions = process.detector.handle_host_list(now, &listed);
        if !self.store_down {
            let me = process.detector.me().clone();
            self.records.insert(me.host.clone(), (me, now + LEASE));
            self.records.retain(|_, (_, expires)| *expires > now);
            let records: Vec<_> = self.records.values().map(|r| r.0.clone()).collect();
            actions.extend(process.detector.handle_records(now, &records));
        }
        self.perform(at, actions);
    }

    /// Returns the platform's list as it was `list_lag` ago.
    fn listed(&self) -> Vec<ListedHost> {
        let up_at = |machine: &&Machine| {
            let seen = |change: &&(Instant, bool)| change.0 + self.list_lag <= self.now;
            machine
                .history
                .iter()
                .rfind(seen)
                .is_some_and(|change| change.1)
        };
        let listed = self.machines.iter().filter(up_at);
        listed
            .map(|m| ListedHost {
                host: m.host.clone(),
                data_centre: m.data_centre.clone(),
                state: ListedState::Live,
            })
            .collect()
    }

    fn perform(&mut self, at: usize, actions: Vec<Action>) {
        let asker = self.incarnation(at).expect("process runs");
        for action in actions {
            let delay = self.delay();
            match action {
                Action::SendHeartbeat {
                    to,
                    incarnation,
                    seq,
                    heartbeat,
                } => {
                    let to = self.index[&to];
                    self.count(at, to, &PeerRequest::Heartbeat(heartbeat.clone()));
                    let question = Delivery::Question {
                        from: at,
                        asker,
                        to,
                        seq,
                        expected: incarnation,
                        heartbeat,
                        asked: self.now,
                    };
                    self.schedule(delay, question);
                }
                Action::Notify { to, req } => {
                    let to = self.index[&to];
                    self.count(at, to, &req);
                    self.schedule(delay, Delivery::Tell { from: at, to, req });
                }
                Action::Publish(event) => self.check(at, event),
                Action::RemoveAddress(_) => {}
            }
        }
    }

    fn check(&mut self, at: usize, event: MemberEvent) {
        if let MemberEvent::HostDown(down) = &event {
            let target = self.index[&down.host];
            if down.proven && self.incarnation(target) == Some(down.incarnation) {
                let by = self.host(at);
                let cause = format!("{by} has proof that {} is gone, but it lives", down.host);
                self.violations.push(cause);
            }
        }
        self.events.push((self.now, at, event));
    }
}
