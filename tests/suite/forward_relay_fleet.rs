//! Hosts that exchange reports, directly or through relays, without a network and on a clock that tests advance.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;

use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::peers::{HostReport, Registration};
use hibiscusspread::process::forwarding::report_exchange::{
    ExchangeSettings, ReportExchange, ReportLink,
};
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::shard::lock;
use hibiscusspread::version::forwarding::ForwardCustomer;

/// The number of data centres.
const DATA_CENTRES: usize = 6;

/// The time between two rounds of reports of a host: the longest one in a large fleet.
pub const ROUND: Duration = Duration::from_millis(700);

/// The time within which all hosts send one round.
pub const STEP: Duration = Duration::from_millis(100);

/// How hosts report to each other.
#[derive(Debug, Clone, Copy)]
pub struct Reporting {
    /// The number of hosts up to which all report to each other.
    pub max_direct_hosts: usize,
    /// The time between two rounds of reports of a host.
    pub round: Duration,
    /// The time within which all hosts send one round.
    pub step: Duration,
}

/// Reports through relays, with the longest rounds of a large fleet.
pub const RELAYED: Reporting = Reporting {
    max_direct_hosts: 8,
    round: ROUND,
    step: STEP,
};

/// Direct reports, with the longest rounds of a fleet of 62 hosts: a change may just have missed a report, and waits for the next one.
pub const DIRECT: Reporting = Reporting {
    max_direct_hosts: 80,
    round: Duration::from_millis(120),
    step: Duration::from_millis(20),
};

/// The datagrams on their way, and how many each host has sent and received.
#[derive(Default)]
pub struct Datagrams {
    inboxes: Mutex<HashMap<SocketAddr, Vec<HostReport>>>,
    /// The hosts that get nothing.
    cut_off: Mutex<HashSet<SocketAddr>>,
    /// Each datagram whose number is a multiple of this is lost; 0 for none.
    lost_each: Mutex<usize>,
    sent: Mutex<usize>,
    count: Mutex<HashMap<SocketAddr, usize>>,
}

struct Link {
    own: SocketAddr,
    datagrams: Arc<Datagrams>,
}

#[async_trait]
impl ReportLink for Link {
    async fn send(&self, to: &[SocketAddr], report: &HostReport) {
        let cut_off = lock(&self.datagrams.cut_off);
        let mut count = lock(&self.datagrams.count);
        for address in to {
            *count.entry(self.own).or_default() += 1;
            if cut_off.contains(address) || cut_off.contains(&self.own) {
                continue;
            }
            let mut sent = lock(&self.datagrams.sent);
            *sent += 1;
            let lost_each = *lock(&self.datagrams.lost_each);
            if lost_each > 0 && sent.is_multiple_of(lost_each) {
                continue;
            }
            *count.entry(*address).or_default() += 1;
            let mut inboxes = lock(&self.datagrams.inboxes);
            inboxes.entry(*address).or_default().push(report.clone());
        }
    }

    async fn receive(&self) -> HostReport {
        std::future::pending().await
    }
}

/// One host.
pub struct Host {
    /// What it knows.
    pub state: Arc<FleetState>,
    /// Its exchange of reports.
    pub exchange: ReportExchange,
    number: u64,
    next_round: Instant,
    /// Whether its process runs.
    pub runs: bool,
}

/// A fleet in six data centres.
pub struct RelayFleet {
    /// How its hosts report to each other.
    pub reporting: Reporting,
    /// All hosts; each sixth one is in the same data centre.
    pub hosts: Vec<Host>,
    /// The clock of all hosts.
    pub clock: Arc<ManualClock>,
    datagrams: Arc<Datagrams>,
    customers: Vec<ForwardCustomer>,
    incarnations: Incarnation,
    runtime: tokio::runtime::Runtime,
}

impl RelayFleet {
    /// Starts `count` hosts that know each other and the customers, and whose buckets are full if `is_first_start`.
    pub fn start(count: usize, customers: Vec<ForwardCustomer>, is_first_start: bool) -> Self {
        Self::start_with(RELAYED, count, customers, is_first_start)
    }

    /// The same for hosts that report to each other as `reporting` says.
    pub fn start_with(
        reporting: Reporting,
        count: usize,
        customers: Vec<ForwardCustomer>,
        is_first_start: bool,
    ) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread();
        let mut fleet = Self {
            reporting,
            hosts: Vec::new(),
            clock: Arc::default(),
            datagrams: Arc::default(),
            customers,
            incarnations: 0,
            runtime: { runtime }.build().expect("runtime"),
        };
        for index in 0..count {
            let host = fleet.new_host(index, is_first_start);
            fleet.hosts.push(host);
        }
        for index in 0..count {
            fleet.introduce(index);
        }
        fleet
    }

    fn new_host(&mut self, index: usize, is_first_start: bool) -> Host {
        self.incarnations += 1;
        let port = u16::try_from(index).expect("index is small");
        // One host of each data centre in sixteen is large.
        let capacity = if (index / DATA_CENTRES).is_multiple_of(16) {
            500
        } else {
            120
        };
        let own = Registration {
            host: format!("host-{index}").into(),
            address: ([127, 0, 0, 1], port + 1000).into(),
            incarnation: self.incarnations,
            data_centre: format!("dc-{}", index % DATA_CENTRES).into(),
            capacity,
        };
        let mut settings = ForwardingSettings::default();
        settings.usage.slack = 190_000;
        settings.usage.starts_full = is_first_start;
        let state = Arc::new(FleetState::new(&settings));
        let link = Link {
            own: own.address,
            datagrams: self.datagrams.clone(),
        };
        let now = self.clock.now();
        let spread = u32::try_from(index * 7 % 100).expect("remainder is small");
        Host {
            exchange: ReportExchange {
                own,
                started: now,
                state: state.clone(),
                clock: self.clock.clone(),
                link: Arc::new(link),
                settings: ExchangeSettings {
                    max_direct_hosts: self.reporting.max_direct_hosts,
                    ..ExchangeSettings::default()
                },
                reported_work: Mutex::default(),
            },
            state,
            number: 0,
            next_round: now + self.reporting.round / 3 * spread / 100,
            runs: true,
        }
    }

    /// Gives a host the list of the others and the customers.
    fn introduce(&mut self, index: usize) {
        let own = &self.hosts[index].exchange.own.host;
        let others = self.hosts.iter().map(|host| host.exchange.own.clone());
        let others: Vec<_> = others.filter(|other| other.host != *own).collect();
        let host = &self.hosts[index];
        let now = self.clock.now();
        host.state.peers().apply_registrations(&others, now);
        host.exchange.plan_now();
        host.state.usage.add_customers(&self.customers, now);
    }

    /// Starts a new process of a host, which knows the others from the store.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index] = self.new_host(index, false);
        self.introduce(index);
    }

    /// Cuts a host off from all others, or ends that.
    pub fn set_cut_off(&self, index: usize, is_cut_off: bool) {
        let address = self.hosts[index].exchange.own.address;
        let mut cut_off = lock(&self.datagrams.cut_off);
        if is_cut_off {
            cut_off.insert(address);
        } else {
            cut_off.remove(&address);
        }
    }

    /// Loses one datagram of each `count` from now on; none if it is 0.
    pub fn lose_each(&self, count: usize) {
        *lock(&self.datagrams.lost_each) = count;
    }

    /// Lets a step pass: each host sends if its round is due, and applies what has arrived.
    pub fn step(&mut self) {
        self.clock.advance(self.reporting.step);
        let now = self.clock.now();
        let round_time = self.reporting.round;
        for host in self.hosts.iter_mut().filter(|host| host.runs) {
            let address = host.exchange.own.address;
            let received = lock(&self.datagrams.inboxes).remove(&address);
            for report in received.unwrap_or_default() {
                host.exchange.apply_report(&report, now);
            }
            if now >= host.next_round {
                host.next_round = now + round_time;
                let round = host.exchange.run_round(&mut host.number);
                self.runtime.block_on(round);
            }
        }
    }

    /// Lets time pass in steps.
    pub fn run(&mut self, time: Duration) {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            self.step();
        }
    }

    /// Returns the largest and the mean number of datagrams that hosts have sent and received since the last call.
    pub fn take_datagrams(&self) -> (usize, f64) {
        let count = std::mem::take(&mut *lock(&self.datagrams.count));
        let most = count.values().copied().max().unwrap_or_default();
        let all: usize = count.values().sum();
        (most, all as f64 / self.hosts.len() as f64)
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }
}
