//! The other hosts and their reports. Performs no I/O and reads no clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::forwarding::load::{UnhealthyReport, Work};
use crate::process::forwarding::usage::GrantedTokens;
use crate::process::message::CrashReport;

/// The state that a host reports to all others. Each report replaces the previous one, so that a lost report does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host that reports.
    pub host: HostId,
    /// The address at which it receives reports.
    pub address: SocketAddr,
    /// The incarnation of its process; changes with a restart.
    pub incarnation: Incarnation,
    /// The sequence number of the report; grows within an incarnation.
    pub number: u64,
    /// The time since its process started.
    pub uptime: Duration,
    /// The configuration version in force there.
    pub version: Version,
    /// Whether the host is shutting down; this is its last report.
    pub leaving: bool,
    /// The tokens that it has granted since its start, for customers for whom they changed recently.
    pub granted: Vec<(CustomerId, GrantedTokens)>,
    /// The unfinished work that it has given to upstreams.
    pub work: Vec<(UpstreamId, Work)>,
    /// The upstreams that it recently found unhealthy.
    pub unwell: Vec<UnhealthyReport>,
    /// The upstreams that it recently found to have left, each with its start in Unix milliseconds.
    pub left: Vec<(UpstreamId, u64)>,
    /// Whether any request that is queued there can still meet its target.
    pub has_on_time: bool,
    /// The requests whose upstream recently broke off while it ran them.
    pub crashes: Vec<CrashReport>,
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
}

/// What this host knows of another one.
#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    incarnation: Incarnation,
    number: u64,
    /// When its last report arrived or, before the first one, when it became known.
    last_heard: Instant,
    /// The time up to which customers have been charged for its silence.
    charged_until: Instant,
    registered: bool,
    has_on_time: bool,
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

/// The time without a report after which a host that never registered is removed.
const UNREGISTERED_TTL: Duration = Duration::from_secs(5);

/// The other hosts that this host knows, by id.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<HostId, Peer>,
}

impl PeerTable {
    /// Records a report and tells whether it is the newest of its host. A leaving host is removed.
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
                last_heard: now,
                charged_until: now,
                registered,
                has_on_time: report.has_on_time,
            },
        );
        ReportFreshness::Newest
    }

    /// Applies the list of registered hosts, which must not contain this one. Returns the hosts that were removed, because they
    /// are silent and not listed.
    pub fn apply_registrations(&mut self, hosts: &[Registration], now: Instant) -> Vec<HostId> {
        for host in hosts {
            let known = self.peers.get_mut(&host.host);
            match known {
                Some(peer) if peer.incarnation == host.incarnation => peer.registered = true,
                // The reports of a live host carry a newer incarnation than the list may hold.
                Some(peer) if peer.is_live(now) => {
                    peer.registered = true;
                }
                _ => {
                    let peer = Peer {
                        address: host.address,
                        incarnation: host.incarnation,
                        number: 0,
                        last_heard: now,
                        charged_until: now,
                        registered: true,
                        has_on_time: false,
                    };
                    self.peers.insert(host.host.clone(), peer);
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
        }
        gone
    }

    /// Returns the silent hosts, each with the part of its silence that was not charged yet, and marks that part as charged.
    pub fn take_uncharged_silence(&mut self, now: Instant) -> Vec<(HostId, Incarnation, Duration)> {
        let mut silent = Vec::new();
        for (host, peer) in &mut self.peers {
            if !peer.is_live(now) {
                let uncharged = now.saturating_duration_since(peer.charged_until);
                peer.charged_until = now;
                silent.push((host.clone(), peer.incarnation, uncharged));
            }
        }
        silent
    }

    /// Returns the addresses of all known hosts, silent ones included.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Returns whether any live host has a queued request that can still meet its target.
    pub fn has_on_time_waiter(&self, now: Instant) -> bool {
        self.peers
            .values()
            .any(|peer| peer.has_on_time && peer.is_live(now))
    }

    /// Returns the live host with the lowest id; `None` if all others are silent.
    pub fn first_live(&self, now: Instant) -> Option<HostId> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(now));
        live.map(|(host, _)| host).min().cloned()
    }

    /// Returns the number of other hosts that are live.
    pub fn live_count(&self, now: Instant) -> usize {
        let live = self.peers.values().filter(|peer| peer.is_live(now));
        live.count()
    }

    /// Returns the number of known hosts, including this one and silent ones.
    pub fn host_count(&self) -> usize {
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
