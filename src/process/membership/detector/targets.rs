//! Selects the hosts that get heartbeats, and detects failures from their silence.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

use crate::prelude::*;
use crate::process::membership::Action;
use crate::process::shard::stable_hash;

use super::peer::{Peer, State};
use super::{Detector, DetectorSettings};

/// In a data centre of at most this many hosts, each one watches all others.
const SMALL_DATA_CENTRE: usize = 5;
/// The hosts of each other data centre that get heartbeats while the first one is suspected.
const REMOTE_TARGETS: usize = 2;

/// The hosts that get heartbeats.
pub(super) struct Targets {
    /// Hosts of this data centre, in ring order.
    local: Vec<HostId>,
    /// Hosts of other data centres.
    remote: Vec<HostId>,
    /// Other hosts, whose record or list entry is gone.
    extra: Vec<HostId>,
}

impl Targets {
    fn all(&self) -> impl Iterator<Item = &HostId> {
        self.local.iter().chain(&self.remote).chain(&self.extra)
    }
}

impl Detector {
    pub(super) fn targets(&mut self) -> Targets {
        self.refresh_ring();
        let local = self.local_targets();
        let mut remote = Vec::new();
        for hosts in &self.remote {
            let first = hosts.iter().position(|host| !self.is_suspected(host));
            let count = first.map_or(REMOTE_TARGETS, |at| (at + 1).min(REMOTE_TARGETS));
            remote.extend(hosts.iter().take(count).cloned());
        }
        let extra = self
            .peers
            .values()
            .filter(|p| p.state == State::Live && p.needs_probe())
            .map(|p| &p.member.host)
            .filter(|host| !local.contains(host) && !remote.contains(host))
            .take(self.settings.max_extra_targets)
            .cloned()
            .collect();
        Targets {
            local,
            remote,
            extra,
        }
    }

    /// Returns ring successors until enough of them are not suspected, so that neighbours that fail together are
    /// detected together.
    fn local_targets(&self) -> Vec<HostId> {
        if self.ring.len() < SMALL_DATA_CENTRE {
            return self.ring.clone();
        }
        let mut local = Vec::new();
        let mut unsuspected = 0;
        for host in &self.ring {
            if unsuspected == self.settings.successors {
                break;
            }
            unsuspected += usize::from(!self.is_suspected(host));
            local.push(host.clone());
        }
        local
    }

    fn is_suspected(&self, host: &HostId) -> bool {
        self.peers
            .get(host)
            .is_some_and(|p| p.suspected_since.is_some())
    }

    fn refresh_ring(&mut self) {
        if !std::mem::take(&mut self.stale_ring) {
            return;
        }
        // Ring order by hash separates the hosts of a rack, which often fail together.
        let mut rings: BTreeMap<&DataCentreId, Vec<(u64, HostId)>> = BTreeMap::new();
        for peer in self.peers.values().filter(|p| p.state == State::Live) {
            let ring = rings.entry(&peer.member.data_centre).or_default();
            ring.push((stable_hash(&peer.member.host), peer.member.host.clone()));
        }
        let mine = (stable_hash(&self.me.host), self.me.host.clone());
        let hosts = |ring: Vec<(u64, HostId)>| ring.into_iter().map(|(_, host)| host).collect();
        let mut local = rings.remove(&self.me.data_centre).unwrap_or_default();
        local.sort();
        let rank = local.partition_point(|p| *p < mine);
        let size = local.len() + 1;
        local.rotate_left(rank);
        self.ring = hosts(local);
        let is_lost =
            |p: &&Peer| p.state == State::Lost && p.member.data_centre == self.me.data_centre;
        let mut lost: Vec<_> = self.peers.values().filter(is_lost).collect();
        lost.sort_by_key(|p| Reverse(p.lost_at));
        self.lost = lost.iter().map(|p| p.member.host.clone()).collect();
        self.remote = rings
            .into_values()
            .map(|mut ring| {
                ring.sort();
                // Hosts of corresponding ranks watch each other, which spreads the heartbeats evenly.
                let counterpart = rank * ring.len() / size;
                ring.rotate_left(counterpart);
                hosts(ring)
            })
            .collect();
    }

    /// Starts to measure the silence of new targets, and stops for hosts that are targets no longer.
    pub(super) fn watch(&mut self, targets: &Targets, now: Instant) {
        let watched: Vec<_> = targets.all().cloned().collect();
        for host in std::mem::replace(&mut self.watched, watched) {
            if !self.watched.contains(&host)
                && let Some(peer) = self.peers.get_mut(&host)
            {
                peer.stop_watching();
            }
        }
        for host in &self.watched {
            if let Some(peer) = self.peers.get_mut(host) {
                peer.watched_since.get_or_insert(now);
            }
        }
    }

    /// Suspects silent hosts, and declares down those that stay silent.
    pub(super) fn detect_failures(
        &mut self,
        targets: &Targets,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        for (index, host) in targets.all().enumerate() {
            let remote =
                (targets.local.len()..targets.local.len() + targets.remote.len()).contains(&index);
            let settings = &self.settings;
            let Some(peer) = self.peers.get_mut(host) else {
                continue;
            };
            let limit = if remote {
                settings.suspect_after + 2 * settings.remote_heartbeat_interval
            } else {
                settings.suspect_after
            };
            if peer.silence(now) < limit {
                peer.suspected_since = None;
                continue;
            }
            let since = *peer.suspected_since.get_or_insert(now);
            let local = peer.member.data_centre == self.me.data_centre;
            let record_gone = peer.record_gone;
            let is_overdue = now.saturating_duration_since(since) >= settings.down_after;
            if is_delisting_proof(peer, settings) {
                self.declare_down(&host.clone(), true, false, now, actions);
            } else if is_overdue && record_gone {
                // Every host reads by itself that the record expired, so no announcement is needed.
                self.declare_down(&host.clone(), false, false, now, actions);
            } else if is_overdue && local && self.other_watchers_agree(host, now) {
                // Only within a data centre: silence between data centres may be a network partition.
                self.declare_down(&host.clone(), false, true, now, actions);
            }
        }
    }

    /// Returns whether every other watcher of `host` with a recent heartbeat suspects it too. Otherwise a broken link
    /// between this host and `host` alone would take `host` down.
    fn other_watchers_agree(&self, host: &HostId, now: Instant) -> bool {
        let len = self.ring.len();
        let Some(at) = self.ring.iter().position(|h| h == host) else {
            return true;
        };
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) <= self.settings.suspect_after;
        // `ring` starts after this host, which would be its last entry; the watchers of `host` are its predecessors.
        let count = if len < SMALL_DATA_CENTRE {
            len - 1
        } else {
            self.settings.successors.min(len - 1)
        };
        (1..=count)
            .filter_map(|step| {
                let before = (at + len + 1 - step) % (len + 1);
                self.ring.get(before)
            })
            .filter(|watcher| *watcher != host)
            .filter_map(|watcher| self.peers.get(watcher)?.reported_suspects.as_ref())
            .filter(|(_, said)| is_recent(*said))
            .all(|(suspects, _)| suspects.contains(host))
    }

    pub(super) fn send_heartbeats(
        &mut self,
        targets: &Targets,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        for host in targets.all() {
            let Some(peer) = self.peers.get_mut(host) else {
                continue;
            };
            let local = peer.member.data_centre == self.me.data_centre;
            let interval = if local || peer.needs_probe() {
                self.settings.heartbeat_interval
            } else {
                self.settings.remote_heartbeat_interval
            };
            // The first one is sent at once; later ones are due at fixed intervals, so that late ticks don't add up.
            let due = peer.next_heartbeat.unwrap_or(now);
            if due > now {
                continue;
            }
            peer.next_heartbeat = Some((due + interval).max(now));
            self.send_heartbeat(host, actions);
        }
    }

    /// Declares lost hosts down with proof once they have disappeared from the platform's list.
    pub(super) fn prove_lost(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let settings = &self.settings;
        let is_proven = |p: &&Peer| p.state == State::Lost && is_delisting_proof(p, settings);
        let proven = self.peers.values().filter(is_proven);
        for host in proven.map(|p| p.member.host.clone()).collect::<Vec<_>>() {
            // Every host reads the list by itself.
            self.declare_down(&host, true, false, now, actions);
        }
    }

    pub(super) fn probe_lost(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_lost_probe {
            return;
        }
        self.next_lost_probe = now + self.settings.lost_probe_interval;
        let lost = self.peers.values().filter(|p| p.state == State::Lost);
        let mut lost: Vec<_> = lost
            .map(|p| (p.next_heartbeat, p.member.host.clone(), p.lost_at))
            .collect();
        for (_, host, lost_at) in &lost {
            if now.saturating_duration_since(*lost_at) >= self.settings.lost_retention {
                self.peers.remove(host);
                actions.push(Action::RemoveAddress(host.clone()));
            }
        }
        // Probes the host whose last probe is longest ago.
        lost.sort();
        if let Some((_, host, _)) = lost.first()
            && let Some(peer) = self.peers.get_mut(host)
        {
            peer.next_heartbeat = Some(now);
            self.send_heartbeat(host, actions);
        }
    }
}

/// Returns whether the platform's list lost this process, rather than an earlier one of the same name. The list lags.
fn is_delisting_proof(peer: &Peer, settings: &DetectorSettings) -> bool {
    peer.delisted_at.is_some_and(|delisted_at| {
        delisted_at.saturating_duration_since(peer.known_since) >= settings.max_list_lag
    })
}
