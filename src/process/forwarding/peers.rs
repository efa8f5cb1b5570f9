//! The other hosts and their reports. Performs no I/O and reads no clock.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::forwarding::directory::ListNews;
use crate::process::forwarding::load::{UnhealthyReport, Work};
use crate::process::forwarding::relays::{
    ExchangePlan, RankedHost, RelayPlanner, Role, relay_rank,
};
use crate::process::forwarding::report_sections::ReportSection;
use crate::process::forwarding::source::{Reach, Source};
use crate::process::forwarding::usage::UsageTotals;
use crate::process::message::CrashReport;
use crate::process::shard::rendezvous_weight;

/// The state of a host, or the sum of several hosts that a relay has heard of. Each report replaces the previous one of the same
/// sender and reach, so that a lost report does no harm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host that reports.
    pub sender: Registration,
    /// The hosts whose state is summed up.
    pub reach: Reach,
    /// The sequence number of the report; grows within an incarnation.
    pub number: u64,
    /// The time since the sender's process started.
    pub uptime: Duration,
    /// The number of hosts that the sender knows, itself included.
    pub hosts: usize,
    /// The number of these hosts that the sender hears nothing of, directly or through relays.
    pub silent_hosts: usize,
    /// The newest configuration version that is in force at any of the hosts.
    pub version: Version,
    /// Whether the host is shutting down; this is its last report.
    pub leaving: bool,
    /// The tokens requested and granted, for customers for whom they changed recently.
    pub usage: Vec<(CustomerId, UsageTotals)>,
    /// The unfinished work that the hosts have given to upstreams.
    pub work: Vec<(UpstreamId, Work)>,
    /// The upstreams that they recently found unhealthy.
    pub unwell: Vec<UnhealthyReport>,
    /// The upstreams that they recently found to have left, each with its start in Unix milliseconds.
    pub left: Vec<(UpstreamId, u64)>,
    /// Whether any request that is queued there can still meet its target.
    pub has_on_time: bool,
    /// The requests whose upstream recently broke off while it ran them.
    pub crashes: Vec<CrashReport>,
    /// The newest changes of the list of upstreams; `None` if the receivers read the list themselves.
    pub list: Option<ListNews>,
    /// What follows the report in the form that all builds know.
    #[serde(skip)]
    pub sections: Vec<ReportSection>,
}

/// A host's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The host that registered.
    pub host: HostId,
    /// The address at which it receives reports.
    pub address: SocketAddr,
    /// The incarnation of its process; changes with a restart.
    pub incarnation: Incarnation,
    /// The data centre in which it runs; empty in entries of versions without it.
    #[serde(default = "unknown_data_centre")]
    pub data_centre: DataCentreId,
    /// Its share of a processor, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
}

fn unknown_data_centre() -> DataCentreId {
    "".into()
}

/// What this host knows of another one.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    data_centre: DataCentreId,
    capacity: u32,
    incarnation: Incarnation,
    number: u64,
    /// When its last report arrived or, before the first one, when it became known.
    last_heard: Instant,
    /// The time up to which customers have been charged for its silence.
    charged_until: Instant,
    registered: bool,
    /// The hosts of which it last reported that a request queued there can still meet its target; `None` if there is none.
    on_time: Option<Reach>,
}

/// A data centre or the fleet, as reported by its relays.
#[derive(Debug, Clone, Copy)]
struct Aggregate {
    last_heard: Option<Instant>,
    /// The time up to which customers have been charged for its silence.
    charged_until: Instant,
}

/// The part of a source's silence for which customers were not charged yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Silence {
    /// The silent source.
    pub source: Source,
    /// The number of its hosts.
    pub hosts: usize,
    /// The time of silence that was not charged yet.
    pub uncharged: Duration,
}

impl Peer {
    /// Returns whether its last report is newer than `SILENCE_TIMEOUT`.
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) < SILENCE_TIMEOUT
    }
}

/// Whether a report is the newest one of its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportFreshness {
    /// No newer report of the host has arrived.
    Newest,
    /// A report of the same incarnation with this number or a higher one has arrived before.
    Stale,
}

/// The time without a report after which a host counts as silent. At least two reports are due within it.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The number of ended incarnations that are remembered: more than are replaced while a report can be under way.
const MAX_ENDED: usize = 1024;

/// The time without a report after which a host that never registered is removed.
const UNREGISTERED_TTL: Duration = Duration::from_secs(5);

/// The other hosts that this host knows, by id.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<HostId, Peer>,
    aggregates: HashMap<Source, Aggregate>,
    planner: RelayPlanner,
    /// This host, as last planned.
    own: Option<HostId>,
    role: Role,
    /// The incarnations that were replaced or have left, oldest first. Their late reports are dropped.
    ended: VecDeque<Incarnation>,
    /// The lists of hosts that were applied.
    lists: u64,
    /// Changes with the hosts and their data centres.
    membership: u64,
    /// The numbers of all and of silent hosts that a relay of this host's data centre reported last, and when.
    reported_hosts: Option<(usize, usize, Instant)>,
}

impl PeerTable {
    /// Returns whether a report comes from a process that has not reported before.
    pub fn is_first_report(&self, report: &HostReport) -> bool {
        let known = self.peers.get(&report.sender.host);
        known.is_none_or(|peer| peer.number == 0 || peer.incarnation != report.sender.incarnation)
    }

    /// Records a report and tells whether it is the newest of its host. A leaving host is removed.
    pub fn record_report(&mut self, report: &HostReport, now: Instant) -> ReportFreshness {
        let sender = &report.sender;
        let known = self.peers.get(&sender.host);
        if let Some(known) = known
            && known.incarnation == sender.incarnation
            && known.number >= report.number
        {
            return ReportFreshness::Stale;
        }
        if self.ended.contains(&sender.incarnation) {
            return ReportFreshness::Stale;
        }
        let replaced = known.map(|known| known.incarnation);
        let replaced = replaced.filter(|known| *known != sender.incarnation);
        let registered = known.is_some_and(|peer| peer.registered);
        let is_known = known.is_some_and(|peer| peer.data_centre == sender.data_centre);
        if let Some(replaced) = replaced {
            self.add_ended(replaced);
        }
        if report.leaving {
            self.add_ended(sender.incarnation);
            self.peers.remove(&sender.host);
            self.membership += 1;
            return ReportFreshness::Newest;
        }
        if report.reach == Reach::Fleet {
            self.reported_hosts = Some((report.hosts, report.silent_hosts, now));
        }
        if !is_known {
            self.membership += 1;
        }
        self.peers.insert(
            sender.host.clone(),
            Peer {
                address: sender.address,
                data_centre: sender.data_centre.clone(),
                capacity: sender.capacity,
                incarnation: sender.incarnation,
                number: report.number,
                last_heard: now,
                charged_until: now,
                registered,
                on_time: report.has_on_time.then_some(report.reach),
            },
        );
        ReportFreshness::Newest
    }

    fn add_ended(&mut self, incarnation: Incarnation) {
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(incarnation);
    }

    /// Applies the list of registered hosts, which must not contain this one. Returns the hosts that were removed, because they
    /// are silent and not listed.
    pub fn apply_registrations(&mut self, hosts: &[Registration], now: Instant) -> Vec<HostId> {
        self.lists += 1;
        for host in hosts {
            let known = self.peers.get_mut(&host.host);
            match known {
                _ if self.ended.contains(&host.incarnation) => {}
                Some(peer) if peer.incarnation == host.incarnation => peer.registered = true,
                // The reports of a live host carry a newer incarnation than the list may hold.
                Some(peer) if peer.is_live(now) => {
                    peer.registered = true;
                }
                _ => {
                    let peer = Peer {
                        address: host.address,
                        data_centre: host.data_centre.clone(),
                        capacity: host.capacity,
                        incarnation: host.incarnation,
                        number: 0,
                        last_heard: now,
                        charged_until: now,
                        registered: true,
                        on_time: None,
                    };
                    self.peers.insert(host.host.clone(), peer);
                    self.membership += 1;
                }
            }
        }
        let is_listed = |id: &HostId| hosts.iter().any(|host| host.host == *id);
        let is_gone = |id: &HostId, peer: &Peer| {
            let silent = now.saturating_duration_since(peer.last_heard);
            !is_listed(id)
                && (silent >= UNREGISTERED_TTL || (peer.registered && silent >= SILENCE_TIMEOUT))
        };
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(id, peer)| is_gone(id, peer))
            .map(|(id, _)| id.clone())
            .collect();
        for host in &gone {
            self.peers.remove(host);
            self.membership += 1;
        }
        gone
    }

    /// Records that the relays of a data centre or of the fleet were heard.
    pub fn record_aggregate(&mut self, source: Source, now: Instant) {
        let heard = Aggregate {
            last_heard: Some(now),
            charged_until: now,
        };
        self.aggregates.insert(source, heard);
    }

    /// Returns the silent sources that this host listens to in its role, and marks their silence as charged. Sources that were not
    /// heard since this host knows them are silent from then on.
    pub fn take_uncharged_silence(&mut self, own: &Registration, now: Instant) -> Vec<Silence> {
        let role = self.role;
        let mut silent = Vec::new();
        let mut data_centres: HashMap<DataCentreId, usize> = HashMap::new();
        for (host, peer) in &mut self.peers {
            let is_heard_itself = role == Role::Direct
                || (role == Role::Relay && peer.data_centre == own.data_centre);
            let is_silent = peer.number == 0 || !peer.is_live(now);
            if is_heard_itself && is_silent {
                silent.push(Silence {
                    source: Source::Host(host.clone()),
                    hosts: 1,
                    uncharged: now.saturating_duration_since(peer.charged_until),
                });
            }
            if !is_heard_itself || is_silent {
                peer.charged_until = now;
            }
            if role == Role::Relay && peer.data_centre != own.data_centre {
                *data_centres.entry(peer.data_centre.clone()).or_default() += 1;
            }
        }
        let mut sources: Vec<_> = data_centres
            .into_iter()
            .map(|(data_centre, hosts)| (Source::DataCentre(data_centre), hosts))
            .collect();
        if role == Role::Member {
            sources.push((Source::Fleet, self.host_count() - 1));
        }
        self.aggregates
            .retain(|known, _| sources.iter().any(|(source, _)| source == known));
        for (source, hosts) in sources {
            let aggregate = self.aggregates.entry(source.clone()).or_insert(Aggregate {
                last_heard: None,
                charged_until: now,
            });
            let age = aggregate
                .last_heard
                .map(|at| now.saturating_duration_since(at));
            if age.is_none_or(|age| age >= SILENCE_TIMEOUT) {
                silent.push(Silence {
                    source,
                    hosts,
                    uncharged: now.saturating_duration_since(aggregate.charged_until),
                });
                aggregate.charged_until = now;
            }
        }
        silent
    }

    /// Decides to whom `own` sends which messages from now on.
    pub fn plan(
        &mut self,
        own: &Registration,
        max_direct_hosts: usize,
        now: Instant,
    ) -> ExchangePlan {
        let ranked = |(id, peer): (&HostId, &Peer)| RankedHost {
            rank: relay_rank(id, peer.capacity),
            data_centre: peer.data_centre.clone(),
            address: peer.address,
            is_live: peer.is_live(now),
        };
        let hosts: Vec<_> = self.peers.iter().map(ranked).collect();
        self.reported_hosts = self
            .reported_hosts
            .filter(|(_, _, at)| now.saturating_duration_since(*at) < UNREGISTERED_TTL);
        let fleet_size = self.host_count();
        let plan = self
            .planner
            .plan(own, &hosts, fleet_size, max_direct_hosts, now);
        self.role = plan.role;
        self.own = Some(own.host.clone());
        plan
    }

    /// Returns this host's place, from 0, among all hosts that it knows in the order of their weight for `key`, and their number.
    pub fn turn(&self, key: &impl Hash) -> (usize, usize) {
        let own = self.own.as_deref().unwrap_or_default();
        let own_weight = rendezvous_weight(key, own);
        let others = self.peers.keys();
        let before = others.filter(|other| rendezvous_weight(key, other) > own_weight);
        (before.count(), self.known_hosts())
    }

    /// Returns this host's part in the exchange, as last planned.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns whether a relay has told this host of the fleet recently.
    pub fn hears_relays(&self, now: Instant) -> bool {
        let fleet = self.aggregates.get(&Source::Fleet);
        let last_heard = fleet.and_then(|fleet| fleet.last_heard);
        last_heard.is_some_and(|at| now.saturating_duration_since(at) < SILENCE_TIMEOUT)
    }

    /// Returns how many hosts this one hears nothing of, directly or through relays.
    pub fn silent_hosts(&self, own: &Registration, now: Instant) -> usize {
        let others = self.host_count() - 1;
        if self.role == Role::Member {
            let reported = self.reported_hosts.filter(|_| self.hears_relays(now));
            return reported.map_or(others, |(_, silent, _)| silent.min(others));
        }
        let is_silent = |peer: &&Peer| {
            if self.role == Role::Direct || peer.data_centre == own.data_centre {
                return peer.number == 0 || !peer.is_live(now);
            }
            let source = Source::DataCentre(peer.data_centre.clone());
            let last_heard = self.aggregates.get(&source).and_then(|a| a.last_heard);
            last_heard.is_none_or(|at| now.saturating_duration_since(at) >= SILENCE_TIMEOUT)
        };
        self.peers.values().filter(is_silent).count()
    }

    /// Returns whether this host knows the others, and what they have granted if the fleet has relays.
    pub fn is_introduced(&self) -> bool {
        self.lists > 0 && self.is_informed()
    }

    /// Returns a number that changes with the hosts and their data centres; `None` until this host knows the fleet. Of hosts that start
    /// together, each finds in its first list only those that registered before it.
    pub fn membership(&self) -> Option<u64> {
        (self.lists > 1 && self.is_informed()).then_some(self.membership)
    }

    /// Returns the other hosts that this host knows itself, silent ones included, each with its data centre.
    pub fn hosts(&self) -> Vec<(HostId, DataCentreId)> {
        let peers = self.peers.iter();
        peers
            .map(|(host, peer)| (host.clone(), peer.data_centre.clone()))
            .collect()
    }

    /// Returns whether the sources that this host listens to were heard, so that it knows what others have granted.
    pub fn is_informed(&self) -> bool {
        match self.role {
            Role::Direct => true,
            Role::Member | Role::Relay => {
                let mut aggregates = self.aggregates.values();
                aggregates.any(|aggregate| aggregate.last_heard.is_some())
            }
        }
    }

    /// Returns whether any live host has a queued request that can still meet its target.
    pub fn has_on_time_waiter(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.on_time.is_some() && peer.is_live(now))
    }

    /// Returns whether a relay may tell the hosts or relays that get its sum of `reach` of a queued request that can still meet its
    /// target. What it heard of a sum goes no further than to its own hosts, so that relays don't return it to each other.
    pub fn has_on_time_waiter_within(&self, reach: Reach, now: Instant) -> bool {
        let heard_of = |peer: &Peer| peer.on_time.filter(|_| peer.is_live(now));
        let mut heard = self.peers.values().filter_map(heard_of);
        heard.any(|of| of < reach)
    }

    /// Returns whether `own` is the first of all live hosts: the one with the lowest id or, with relays, the first relay of its data
    /// centre with a lower id than the relays of the others.
    pub fn is_first_live(&self, own: &Registration, now: Instant) -> bool {
        let own_rank = relay_rank(&own.host, own.capacity);
        let is_before = |(id, peer): (&HostId, &Peer)| {
            let is_neighbour = peer.data_centre == own.data_centre;
            if self.role == Role::Relay && is_neighbour {
                relay_rank(id, peer.capacity) < own_rank
            } else {
                *id < own.host
            }
        };
        let mut live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        self.role != Role::Member && !live.any(is_before)
    }

    /// Returns whether fewer than `count` live hosts rank before `own`, in the fleet or, at a relay, in its data centre.
    pub fn is_among_first(&self, own: &Registration, count: usize, now: Instant) -> bool {
        self.live_before(own, now).count() < count
    }

    /// Returns the live hosts that rank before `own`, in the fleet or, at a relay, in its data centre.
    pub fn live_before(&self, own: &Registration, now: Instant) -> impl Iterator<Item = &HostId> {
        let own_rank = relay_rank(&own.host, own.capacity);
        let neighbours_only = self.role == Role::Relay;
        let data_centre = own.data_centre.clone();
        let before = self.peers.iter().filter(move |(id, peer)| {
            peer.is_live(now)
                && (!neighbours_only || peer.data_centre == data_centre)
                && relay_rank(id, peer.capacity) < own_rank
        });
        before.map(|(id, _)| id)
    }

    /// Returns the number of other hosts that are live.
    pub fn live_count(&self, now: Instant) -> usize {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.count()
    }

    /// Returns the number of known hosts, including this one, silent ones, and those that only a relay knows.
    pub fn host_count(&self) -> usize {
        let reported = self.reported_hosts.filter(|_| self.role != Role::Relay);
        let reported = reported.map_or(0, |(hosts, _, _)| hosts);
        self.known_hosts().max(reported)
    }

    /// Returns the data centres of all other known hosts.
    pub fn data_centres(&self) -> BTreeSet<DataCentreId> {
        let peers = self.peers.values();
        peers.map(|peer| peer.data_centre.clone()).collect()
    }

    /// Returns the number of hosts that this host knows itself, including this one.
    pub fn known_hosts(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the time since the last report of each host, for the dump.
    pub fn report_ages(&self, now: Instant) -> Vec<(HostId, Duration)> {
        let age = |peer: &Peer| now.saturating_duration_since(peer.last_heard);
        let peers = self.peers.iter();
        peers
            .map(|(host, peer)| (host.clone(), age(peer)))
            .collect()
    }
}
