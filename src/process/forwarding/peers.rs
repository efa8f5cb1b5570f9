//! The other hosts, and what they report. Holds no I/O and reads no clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::forwarding::load::{UnhealthyReport, Work};
use crate::process::forwarding::usage::GrantedTokens;
use crate::process::message::CrashReport;

/// What a host tells the others. Every report replaces the ones before, so that lost ones do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// The address at which it receives reports.
    pub address: SocketAddr,
    /// Its process start.
    pub incarnation: Incarnation,
    /// The number of the report; grows within an incarnation.
    pub number: u64,
    /// The time since its start.
    pub uptime: Duration,
    /// The configuration in force there.
    pub version: Version,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Its grants to customers for whom they changed lately.
    pub granted: Vec<(CustomerId, GrantedTokens)>,
    /// The work that it has given to upstreams.
    pub work: Vec<(UpstreamId, Work)>,
    /// The upstreams that it found unwell lately.
    pub unwell: Vec<UnhealthyReport>,
    /// The upstreams that it found to have left lately, each with its start.
    pub left: Vec<(UpstreamId, u64)>,
    /// Whether a request waits there for room that can still meet its target.
    pub has_on_time: bool,
    /// The requests that broke off with their upstream lately.
    pub crashes: Vec<CrashReport>,
}

/// A host as it registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The host.
    pub host: HostId,
    /// The address at which it receives reports.
    pub address: SocketAddr,
    /// Its process start.
    pub incarnation: Incarnation,
}

/// What is known of another host.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    incarnation: Incarnation,
    number: u64,
    /// When it was heard, or became known.
    heard: Instant,
    /// The time up to which its silence is charged.
    charged: Instant,
    registered: bool,
    has_on_time: bool,
}

impl Peer {
    /// Tells whether it was heard lately.
    fn is_heard(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < SILENCE_TIMEOUT
    }
}

/// What a report means for this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportFreshness {
    /// It is the newest.
    Newest,
    /// A newer one, or one of a newer process, has been seen.
    Stale,
}

/// The time without a report after which a host counts as silent. Reports come at least twice as often.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The time after which a host that never registered is forgotten.
const UNREGISTERED_TTL: Duration = Duration::from_secs(5);

/// The other hosts.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<HostId, Peer>,
}

impl PeerTable {
    /// Takes note of a report.
    pub fn record_report(&mut self, report: &HostReport, now: Instant) -> ReportFreshness {
        let known = self.peers.get(&report.host);
        if let Some(known) = known
            && known.incarnation == report.incarnation
            && known.number >= report.number
        {
            return ReportFreshness::Stale;
        }
        if report.leaving {
            self.peers.remove(&report.host);
            return ReportFreshness::Newest;
        }
        let registered = known.is_some_and(|peer| peer.registered);
        self.peers.insert(
            report.host.clone(),
            Peer {
                address: report.address,
                incarnation: report.incarnation,
                number: report.number,
                heard: now,
                charged: now,
                registered,
                has_on_time: report.has_on_time,
            },
        );
        ReportFreshness::Newest
    }

    /// Takes over the list of registered hosts without this one; returns the hosts that are gone.
    pub fn apply_registrations(&mut self, hosts: &[Registration], now: Instant) -> Vec<HostId> {
        for host in hosts {
            let known = self.peers.get_mut(&host.host);
            match known {
                Some(peer) if peer.incarnation == host.incarnation => peer.registered = true,
                // A host that is heard knows its own process start better than a list does.
                Some(peer) if peer.is_heard(now) => {
                    peer.registered = true;
                }
                _ => {
                    let peer = Peer {
                        address: host.address,
                        incarnation: host.incarnation,
                        number: 0,
                        heard: now,
                        charged: now,
                        registered: true,
                        has_on_time: false,
                    };
                    self.peers.insert(host.host.clone(), peer);
                }
            }
        }
        let is_listed = |id: &HostId| hosts.iter().any(|host| host.host == *id);
        let gone = |id: &HostId, peer: &Peer| {
            let silent = now.saturating_duration_since(peer.heard);
            !is_listed(id)
                && (silent >= UNREGISTERED_TTL || (peer.registered && silent >= SILENCE_TIMEOUT))
        };
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(id, peer)| gone(id, peer))
            .map(|(id, _)| id.clone())
            .collect();
        for host in &gone {
            self.peers.remove(host);
        }
        gone
    }

    /// Returns the hosts that are silent, and the time of silence that was not charged yet.
    pub fn take_uncharged_silence(&mut self, now: Instant) -> Vec<(HostId, Incarnation, Duration)> {
        let mut silent = Vec::new();
        for (host, peer) in &mut self.peers {
            if !peer.is_heard(now) {
                let uncharged = now.saturating_duration_since(peer.charged);
                peer.charged = now;
                silent.push((host.clone(), peer.incarnation, uncharged));
            }
        }
        silent
    }

    /// Returns the addresses to which reports go.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Tells whether a request waits for room at another host that can still meet its target.
    pub fn has_on_time_waiter(&self, now: Instant) -> bool {
        self.peers
            .values()
            .any(|peer| peer.has_on_time && peer.is_heard(now))
    }

    /// Returns the first by name of the other hosts that are not silent.
    pub fn first_live(&self, now: Instant) -> Option<HostId> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard(now));
        heard.map(|(host, _)| host).min().cloned()
    }

    /// Returns the number of other hosts that are not silent.
    pub fn live_count(&self, now: Instant) -> usize {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        heard.count()
    }

    /// Returns the number of all hosts with this one.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the hosts with the time since each was heard, for the dump.
    pub fn report_ages(&self, now: Instant) -> Vec<(HostId, Duration)> {
        let age = |peer: &Peer| now.saturating_duration_since(peer.heard);
        let peers = self.peers.iter();
        peers
            .map(|(host, peer)| (host.clone(), age(peer)))
            .collect()
    }
}
