//! Whom a host sends heartbeats to, and what it concludes from silence.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

use crate::prelude::*;
use crate::process::membership::Action;
use crate::process::shard::stable_hash;

use super::peer::{Peer, State};
use super::{Detector, DetectorSettings};

/// Up to this many hosts in a data centre, each watches all others.
const SMALL_DATA_CENTRE: usize = 5;
/// The hosts of another data centre that get heartbeats while the first one is silent.
const FAR_LINKS: usize = 2;

/// Hosts that get heartbeats.
pub(super) struct Targets {
    /// Hosts of this data centre, in ring order.
    near: Vec<HostId>,
    /// Hosts of other data centres.
    far: Vec<HostId>,
    /// Hosts whose record or listing is gone.
    extra: Vec<HostId>,
}

impl Targets {
    fn all(&self) -> impl Iterator<Item = &HostId> {
        self.near.iter().chain(&self.far).chain(&self.extra)
    }
}

impl Detector {
    pub(super) fn targets(&mut self) -> Targets {
        self.refresh_ring();
        let near = self.near_targets();
        let mut far = Vec::new();
        for hosts in &self.far {
            let first = hosts.iter().position(|host| !self.is_suspected(host));
            let count = first.map_or(FAR_LINKS, |at| (at + 1).min(FAR_LINKS));
            far.extend(hosts.iter().take(count).cloned());
        }
        let extra = self
            .peers
            .values()
            .filter(|p| p.state == State::Live && p.is_doubtful())
            .map(|p| &p.member.host)
            .filter(|host| !near.contains(host) && !far.contains(host))
            .take(self.settings.max_extra_targets)
            .cloned()
            .collect();
        Targets { near, far, extra }
    }

    /// Returns successors until enough of them are not suspected, so that neighbours that fail
    /// together are found together.
    fn near_targets(&self) -> Vec<HostId> {
        if self.ring.len() < SMALL_DATA_CENTRE {
            return self.ring.clone();
        }
        let mut near = Vec::new();
        let mut calm = 0;
        for host in &self.ring {
            if calm == self.settings.successors {
                break;
            }
            calm += usize::from(!self.is_suspected(host));
            near.push(host.clone());
        }
        near
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
        // Hashed order keeps the hosts of a rack, which fail together, apart.
        let mut rings: BTreeMap<&DataCentreId, Vec<(u64, HostId)>> = BTreeMap::new();
        for peer in self.peers.values().filter(|p| p.state == State::Live) {
            let ring = rings.entry(&peer.member.data_centre).or_default();
            ring.push((stable_hash(&peer.member.host), peer.member.host.clone()));
        }
        let mine = (stable_hash(&self.me.host), self.me.host.clone());
        let hosts = |ring: Vec<(u64, HostId)>| ring.into_iter().map(|(_, host)| host).collect();
        let mut near = rings.remove(&self.me.data_centre).unwrap_or_default();
        near.sort();
        let rank = near.partition_point(|p| *p < mine);
        let size = near.len() + 1;
        near.rotate_left(rank);
        self.ring = hosts(near);
        let is_lost =
            |p: &&Peer| p.state == State::Lost && p.member.data_centre == self.me.data_centre;
        let mut lost: Vec<_> = self.peers.values().filter(is_lost).collect();
        lost.sort_by_key(|p| Reverse(p.lost_at));
        self.lost = lost.iter().map(|p| p.member.host.clone()).collect();
        self.far = rings
            .into_values()
            .map(|mut ring| {
                ring.sort();
                // Equal ranks are counterparts, which spreads the links evenly.
                let counterpart = rank * ring.len() / size;
                ring.rotate_left(counterpart);
                hosts(ring)
            })
            .collect();
    }

    /// Starts and ends the count of silence as hosts become targets.
    pub(super) fn watch(&mut self, targets: &Targets, now: Instant) {
        let watched: Vec<_> = targets.all().cloned().collect();
        for host in std::mem::replace(&mut self.watched, watched) {
            if !self.watched.contains(&host)
                && let Some(peer) = self.peers.get_mut(&host)
            {
                peer.unwatch();
            }
        }
        for host in &self.watched {
            if let Some(peer) = self.peers.get_mut(host) {
                peer.watched_since.get_or_insert(now);
            }
        }
    }

    /// Suspects silent hosts and declares those down that stay silent.
    pub(super) fn judge(&mut self, targets: &Targets, now: Instant, actions: &mut Vec<Action>) {
        for (index, host) in targets.all().enumerate() {
            let far = (targets.near.len()..targets.near.len() + targets.far.len()).contains(&index);
            let settings = &self.settings;
            let Some(peer) = self.peers.get_mut(host) else {
                continue;
            };
            let limit = if far {
                settings.suspect_after + 2 * settings.remote_heartbeat_interval
            } else {
                settings.suspect_after
            };
            if peer.silence(now) < limit {
                peer.suspected_since = None;
                continue;
            }
            let since = *peer.suspected_since.get_or_insert(now);
            let near = peer.member.data_centre == self.me.data_centre;
            let record_gone = peer.record_gone;
            let long = now.saturating_duration_since(since) >= settings.down_after;
            if dropped_with_proof(peer, settings) {
                self.declare_down(&host.clone(), true, false, now, actions);
            } else if long && record_gone {
                // Every host reads by itself that the record lapsed, so none is told.
                self.declare_down(&host.clone(), false, false, now, actions);
            } else if long && near && self.others_agree(host, now) {
                // Silence between data centres alone may be a cut and takes no host down.
                self.declare_down(&host.clone(), false, true, now, actions);
            }
        }
    }

    /// Tells whether no other host that watches `host` has lately said that it hears it. A link that
    /// only this host has lost must not take the other one down.
    fn others_agree(&self, host: &HostId, now: Instant) -> bool {
        let len = self.ring.len();
        let Some(at) = self.ring.iter().position(|h| h == host) else {
            return true;
        };
        let fresh = |at: Instant| now.saturating_duration_since(at) <= self.settings.suspect_after;
        // The ring starts behind this host, which closes it; predecessors are the entries before.
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
            .filter_map(|watcher| self.peers.get(watcher)?.suspects.as_ref())
            .filter(|(_, said)| fresh(*said))
            .all(|(suspects, _)| suspects.contains(host))
    }

    pub(super) fn beat(&mut self, targets: &Targets, now: Instant, actions: &mut Vec<Action>) {
        for host in targets.all() {
            let Some(peer) = self.peers.get_mut(host) else {
                continue;
            };
            let near = peer.member.data_centre == self.me.data_centre;
            let interval = if near || peer.is_doubtful() {
                self.settings.heartbeat_interval
            } else {
                self.settings.remote_heartbeat_interval
            };
            // The first one goes at once; the following ones keep to their times although ticks are late.
            let due = peer.next_beat.unwrap_or(now);
            if due > now {
                continue;
            }
            peer.next_beat = Some((due + interval).max(now));
            self.ask(host, actions);
        }
    }

    /// Turns silence into proof once the platform has dropped a host that was declared down.
    pub(super) fn prove_lost(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let settings = &self.settings;
        let is_proven = |p: &&Peer| p.state == State::Lost && dropped_with_proof(p, settings);
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
            .map(|p| (p.next_beat, p.member.host.clone(), p.lost_at))
            .collect();
        for (_, host, lost_at) in &lost {
            if now.saturating_duration_since(*lost_at) >= self.settings.lost_retention {
                self.peers.remove(host);
                actions.push(Action::RemoveAddress(host.clone()));
            }
        }
        // The one whose last probe is longest ago.
        lost.sort();
        if let Some((_, host, _)) = lost.first()
            && let Some(peer) = self.peers.get_mut(host)
        {
            peer.next_beat = Some(now);
            self.ask(host, actions);
        }
    }
}

/// Tells whether the platform dropped this very process from its list.
fn dropped_with_proof(peer: &Peer, settings: &DetectorSettings) -> bool {
    peer.dropped_at.is_some_and(|dropped| {
        dropped.saturating_duration_since(peer.known_since) >= settings.max_list_lag
    })
}
