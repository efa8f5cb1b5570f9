//! A simulated fleet of hosts in several data centres, for tests of the rate limits.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use async_trait::async_trait;

use hibiscusspread::emulator::peers::PeerHub;
use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::prelude::*;
use hibiscusspread::process::fleet_limits::{FleetLimits, FleetLimitsParts};
use hibiscusspread::process::limits::Limits;
use hibiscusspread::process::members::StaticMembers;
use hibiscusspread::process::message::{
    Charge, ChargeReply, Member, PeerError, PeerReply, PeerRequest,
};
use hibiscusspread::process::peer::PeerLink;
use hibiscusspread::version::cell::VersionCell;
use hibiscusspread::version::compiled::{CompiledConfig, Customer};

use crate::config_fleet::StoreProxy;

/// A clock that follows tokio's paused time, so that leases and timers use the same time.
pub struct SimulatedClock;

impl Clock for SimulatedClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// A host with the parts that tests inspect or control.
pub struct Host {
    pub member: Member,
    pub limits: Arc<FleetLimits>,
    pub members: Arc<StaticMembers>,
    pub versions: Arc<VersionCell>,
    pub store: Arc<StoreProxy>,
    pub alive: bool,
}

/// Counts the requests about loans and the forwarded charges.
struct CountingLink {
    link: Arc<dyn PeerLink>,
    asked: Arc<AtomicU64>,
}

#[async_trait]
impl PeerLink for CountingLink {
    async fn ask(&self, host: &HostId, req: PeerRequest) -> Result<PeerReply, PeerError> {
        if matches!(
            req,
            PeerRequest::Borrow(_) | PeerRequest::ReturnLoan(_) | PeerRequest::ForwardCharge(_)
        ) {
            self.asked.fetch_add(1, Ordering::Relaxed);
        }
        self.link.ask(host, req).await
    }
}

/// All hosts, their store and the network between them.
pub struct Fleet {
    pub store: Arc<MemoryStore>,
    pub hub: Arc<PeerHub>,
    pub hosts: Vec<Host>,
    /// The number of requests about loans and forwarded charges so far.
    pub loan_messages: Arc<AtomicU64>,
}

/// Returns a configuration with these customers, given as (id, rate, burst).
pub fn configuration(
    version: Version,
    centres: &[&str],
    customers: &[(&str, Tokens, Tokens)],
) -> CompiledConfig {
    let customer = |&(id, rate, burst): &(&str, Tokens, Tokens)| {
        let id: CustomerId = id.into();
        (id.clone(), Customer { id, rate, burst })
    };
    CompiledConfig {
        version,
        data_centres: centres.iter().map(|&dc| dc.into()).collect(),
        shares: u32::try_from(centres.len()).expect("there are few data centres"),
        customers: customers.iter().map(customer).collect(),
        ..CompiledConfig::default()
    }
}

impl Fleet {
    /// Starts hosts in these data centres and waits until every partition has an owner.
    pub async fn start(centres: &[(&str, usize)], customers: &[(&str, Tokens, Tokens)]) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SimulatedClock);
        let names: Vec<_> = centres.iter().map(|(dc, _)| *dc).collect();
        let mut members = Vec::new();
        for &(centre, count) in centres {
            for i in 0..count {
                members.push(Member {
                    host: format!("{centre}{i}").into(),
                    data_centre: centre.into(),
                    address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                    incarnation: 1,
                    leaving: false,
                });
            }
        }
        let mut fleet = Self {
            store: MemoryStore::new(clock.clone()),
            hub: PeerHub::new(),
            hosts: Vec::new(),
            loan_messages: Arc::default(),
        };
        for member in &members {
            let versions = configuration(1, &names, customers);
            let host = fleet.start_host(member.clone(), &members, versions);
            fleet.hosts.push(host);
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet
    }

    /// Starts a host that knows `all` members.
    fn start_host(&self, member: Member, all: &[Member], compiled: CompiledConfig) -> Host {
        let others = all.iter().filter(|m| m.host != member.host).cloned();
        let versions = Arc::new(VersionCell::default());
        versions.advance(compiled);
        let members = Arc::new(StaticMembers::new(member.clone(), others));
        let store = StoreProxy::new(&self.store);
        let limits = FleetLimits::new(FleetLimitsParts {
            versions: versions.clone(),
            clock: Arc::new(SimulatedClock),
            store: store.clone(),
            peers: Arc::new(CountingLink {
                link: self.hub.link(&member.host),
                asked: self.loan_messages.clone(),
            }),
            members: members.clone(),
        });
        self.hub.connect(&member.host, limits.clone());
        limits.start();
        Host {
            member,
            limits,
            members,
            versions,
            store,
            alive: true,
        }
    }

    /// Starts a new host, or a known one in a new process. Returns its index.
    pub fn join(&mut self, host: &str, centre: &str) -> usize {
        let known = self.hosts.iter().position(|h| &*h.member.host == host);
        let earlier = known.map_or(0, |i| self.hosts[i].member.incarnation);
        let member = Member {
            host: host.into(),
            data_centre: centre.into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            incarnation: earlier + 1,
            leaving: false,
        };
        let compiled = CompiledConfig::clone(&self.hosts[0].versions.current());
        let index = known.unwrap_or(self.hosts.len());
        let mut all = self.live();
        all.push(member.clone());
        let host = self.start_host(member, &all, compiled);
        if known.is_some() {
            self.hosts[index] = host;
        } else {
            self.hosts.push(host);
        }
        self.tell_members();
        index
    }

    /// Marks a host as leaving. The test then has to call its `hand_over_all`.
    pub fn mark_leaving(&mut self, index: usize) {
        self.hosts[index].member.leaving = true;
        self.tell_members();
    }

    /// Ends the process of a host that has left.
    pub fn exit(&mut self, index: usize) {
        self.crash(index);
        self.tell_members();
    }

    fn live(&self) -> Vec<Member> {
        let live = self.hosts.iter().filter(|h| h.alive);
        live.map(|h| h.member.clone()).collect()
    }

    fn tell_members(&self) {
        for host in self.hosts.iter().filter(|h| h.alive) {
            host.members.set_live(self.live());
        }
    }

    /// Returns the live hosts of a data centre.
    pub fn hosts_in(&self, centre: &str) -> Vec<&Host> {
        let live = self.hosts.iter().filter(|host| host.alive);
        live.filter(|h| &*h.member.data_centre == centre).collect()
    }

    /// Ends a host's process. The others have proof of it when `prove` is called.
    pub fn crash(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.alive = false;
        host.limits.stop();
        host.store.cut.store(true, Ordering::Relaxed);
        self.hub.kill(&host.member.host);
    }

    /// Gives the others proof that a crashed host's process is gone.
    pub fn prove(&self, index: usize) {
        let gone = &self.hosts[index].member;
        let live = self.hosts.iter().filter(|h| h.alive);
        let live: Vec<_> = live.map(|h| h.member.clone()).collect();
        for host in self.hosts.iter().filter(|h| h.alive) {
            host.members.set_live(live.clone());
            host.limits
                .note_process_gone(gone.host.clone(), gone.incarnation);
        }
    }

    /// Cuts a data centre off from the others and from the store, or reconnects it.
    pub fn set_cut(&self, centre: &str, cut: bool) {
        let (inside, outside): (Vec<_>, Vec<_>) = self
            .hosts
            .iter()
            .partition(|h| &*h.member.data_centre == centre);
        for a in inside {
            a.store.cut.store(cut, Ordering::Relaxed);
            for b in &outside {
                self.hub.set_cut(&a.member.host, &b.member.host, cut);
            }
        }
    }

    /// Makes a configuration current on every host.
    pub fn advance(&self, compiled: &CompiledConfig) {
        for host in &self.hosts {
            host.versions.advance(compiled.clone());
        }
    }
}

/// Charges at a host as the request path does: repeats after each `Later` for up to `max_wait`.
pub async fn charge(
    limits: &FleetLimits,
    customer: &str,
    request: RequestId,
    tokens: Tokens,
    max_wait: Duration,
) -> ChargeReply {
    let charge = Charge {
        request,
        customer: customer.into(),
        tokens,
    };
    let give_up = tokio::time::Instant::now() + max_wait;
    loop {
        let reply = limits.charge(charge.clone()).await;
        match reply {
            ChargeReply::Later(wait) if tokio::time::Instant::now() + wait <= give_up => {
                tokio::time::sleep(wait).await;
            }
            reply => return reply,
        }
    }
}
