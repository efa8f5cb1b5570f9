//! Failure detection by heartbeats along a ring of hosts, the records in the store and the platform's host list.
//!
//! Messages, lists and instants go in, actions come out; this module does no I/O and reads no clock.

mod lists;
mod messages;
mod peer;
mod targets;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::membership::{Action, MemberEvent};
use crate::process::message::{Heartbeat, HostDown, Leaving, Member, PeerRequest};

use peer::{Peer, State};

/// The ended processes that are remembered: a day's restarts and failures of the largest supported fleet.
const MAX_GONE: usize = 512;
/// The lost hosts that a heartbeat names; bounds its size during a large network partition.
const MAX_LOST_IN_HEARTBEAT: usize = 8;
/// The shortest time between two announcements of this host to all others. Without it, replies to an announcement
/// that still say that this host was declared down would start the next one.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);

/// The intervals and limits of failure detection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetectorSettings {
    /// The time between heartbeats to a host of the same data centre.
    pub heartbeat_interval: Duration,
    /// The time between heartbeats to a host of another data centre.
    pub remote_heartbeat_interval: Duration,
    /// The number of unsuspected ring successors that get heartbeats.
    pub successors: usize,
    /// The silence after which a host is suspected.
    pub suspect_after: Duration,
    /// The time after which a suspected host is declared down without proof.
    pub down_after: Duration,
    /// The longest lag of the platform's list. A removal from the list within this time after a process was first
    /// known may be that of an earlier process of the same name, so it proves nothing.
    pub max_list_lag: Duration,
    /// The time between two probes of lost hosts, those declared down without proof; each probe goes to one of them.
    pub lost_probe_interval: Duration,
    /// The time after which a lost host is removed.
    pub lost_retention: Duration,
    /// The most hosts that get heartbeats, in addition to the usual ones, because their record or list entry is gone.
    pub max_extra_targets: usize,
}

impl Default for DetectorSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            remote_heartbeat_interval: Duration::from_secs(2),
            successors: 4,
            suspect_after: Duration::from_secs(2),
            down_after: Duration::from_secs(10),
            max_list_lag: Duration::from_mins(1),
            lost_probe_interval: Duration::from_secs(1),
            lost_retention: Duration::from_hours(2),
            max_extra_targets: 8,
        }
    }
}

/// The failure detector of one host.
pub struct Detector {
    settings: DetectorSettings,
    me: Member,
    peers: BTreeMap<HostId, Peer>,
    /// Processes that were replaced or are proven to have ended; their messages are ignored.
    gone: VecDeque<(HostId, Incarnation)>,
    /// The sequence number of the last heartbeat that was sent.
    last_seq: u64,
    last_tick: Instant,
    last_announced: Option<Instant>,
    announced_join: bool,
    listed_leaving: bool,
    next_lost_probe: Instant,
    payload: (Version, Option<Duration>),
    /// The other live hosts of this data centre, in ring order after this host.
    ring: Vec<HostId>,
    /// The lost hosts of this data centre, the last one declared down first.
    lost: Vec<HostId>,
    /// The live hosts of each other data centre, in ring order from the host of this one's rank.
    remote: Vec<Vec<HostId>>,
    stale_ring: bool,
    /// The hosts that got heartbeats at the last tick.
    watched: Vec<HostId>,
}

impl Detector {
    /// Creates a detector that knows no other host.
    pub fn new(settings: DetectorSettings, me: Member, now: Instant) -> Self {
        Self {
            settings,
            me,
            peers: BTreeMap::new(),
            gone: VecDeque::new(),
            last_seq: 0,
            last_tick: now,
            last_announced: None,
            announced_join: false,
            listed_leaving: false,
            next_lost_probe: now,
            payload: (0, None),
            ring: Vec::new(),
            lost: Vec::new(),
            remote: Vec::new(),
            stale_ring: false,
            watched: Vec::new(),
        }
    }

    /// Returns the record of this host.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the hosts that are not declared down, including this one.
    pub fn live(&self) -> Vec<Member> {
        let others = self.peers.values().filter(|p| p.state == State::Live);
        std::iter::once(&self.me)
            .chain(others.map(|p| &p.member))
            .cloned()
            .collect()
    }

    /// Returns the hosts that this host suspects.
    pub fn suspected(&self) -> Vec<HostId> {
        let watched = self.watched.iter().filter_map(|host| self.peers.get(host));
        let suspected = watched.filter(|p| p.suspected_since.is_some() && p.state == State::Live);
        suspected.map(|p| p.member.host.clone()).collect()
    }

    /// Sets the configuration data in further heartbeats: the version, and the time since the store confirmed it.
    pub fn set_payload(&mut self, payload: (Version, Option<Duration>)) {
        self.payload = payload;
    }

    /// Marks this host as leaving and notifies all others.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.leaving = true;
        let leaving = Leaving {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
        };
        self.notify_all(&PeerRequest::Leaving(leaving))
    }

    /// Sends the heartbeats that are due, and suspects and declares down silent hosts. Called more often than
    /// `heartbeat_interval`.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap >= self.settings.suspect_after {
            // This process was suspended and read no messages, so the others' silence proves nothing.
            for peer in self.peers.values_mut() {
                peer.reset_silence(now);
            }
            actions.push(Action::Publish(MemberEvent::Paused(gap)));
        }
        let targets = self.targets();
        self.watch(&targets, now);
        self.detect_failures(&targets, now, &mut actions);
        self.send_heartbeats(&targets, now, &mut actions);
        self.prove_lost(now, &mut actions);
        self.probe_lost(now, &mut actions);
        actions
    }

    fn heartbeat(&self, out: bool) -> Heartbeat {
        Heartbeat {
            from: self.me.clone(),
            version: self.payload.0,
            age: self.payload.1,
            suspected: self.suspected_and_lost(),
            out,
        }
    }

    /// Returns the suspected hosts and the last lost ones of this data centre. Without the lost ones, a host that
    /// missed their declaration would conclude that this host still gets replies from them.
    fn suspected_and_lost(&self) -> SmallVec<[HostId; 4]> {
        let lost = self.lost.iter().take(MAX_LOST_IN_HEARTBEAT).cloned();
        self.suspected().into_iter().chain(lost).collect()
    }

    fn send_heartbeat(&mut self, host: &HostId, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(host) else {
            return;
        };
        self.last_seq += 1;
        actions.push(Action::SendHeartbeat {
            to: host.clone(),
            incarnation: peer.member.incarnation,
            seq: self.last_seq,
            heartbeat: self.heartbeat(peer.state == State::Lost),
        });
    }

    /// Sends a heartbeat to every known host, unless the last announcement is too recent; returns whether it did.
    fn announce_self(&mut self, now: Instant, actions: &mut Vec<Action>) -> bool {
        let recent = |at| now.saturating_duration_since(at) < MIN_ANNOUNCE_INTERVAL;
        if self.last_announced.is_some_and(recent) {
            return false;
        }
        self.last_announced = Some(now);
        for host in self.peers.keys().cloned().collect::<Vec<_>>() {
            self.send_heartbeat(&host, actions);
        }
        true
    }

    fn notify_all(&self, req: &PeerRequest) -> Vec<Action> {
        let notify = |host: &HostId| Action::Notify {
            to: host.clone(),
            req: req.clone(),
        };
        self.peers.keys().map(notify).collect()
    }

    /// Declares a process down. Without proof, the host is kept as lost and probed. With proof, or if another process
    /// of the same name was seen at another address, it is removed; that other process takes its place.
    fn declare_down(
        &mut self,
        host: &HostId,
        proven: bool,
        announce: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(host) else {
            return;
        };
        let incarnation = peer.member.incarnation;
        let down = HostDown {
            host: host.clone(),
            incarnation,
            proven,
        };
        let replacement = peer.replacement.take();
        peer.state = State::Lost;
        peer.lost_at = now;
        peer.suspected_since = None;
        if proven || replacement.is_some() {
            self.peers.remove(host);
            self.remember_gone(host, incarnation);
        }
        self.stale_ring = true;
        actions.push(Action::Publish(MemberEvent::HostDown(down.clone())));
        if announce {
            actions.extend(self.notify_all(&PeerRequest::HostDown(down)));
        }
        match replacement {
            Some(replacement) => self.add_peer(replacement, now, actions),
            None if proven => actions.push(Action::RemoveAddress(host.clone())),
            None => {}
        }
    }

    fn add_peer(&mut self, member: Member, now: Instant, actions: &mut Vec<Action>) {
        let peer = Peer::new(member.clone(), self.last_seq, now);
        self.peers.insert(member.host.clone(), peer);
        self.stale_ring = true;
        actions.push(Action::Publish(MemberEvent::Joined(member)));
    }

    fn remember_gone(&mut self, host: &HostId, incarnation: Incarnation) {
        if self.is_gone(host, incarnation) {
            return;
        }
        if self.gone.len() == MAX_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back((host.clone(), incarnation));
    }

    fn is_gone(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let same = |gone: &(HostId, Incarnation)| gone.1 == incarnation && gone.0 == *host;
        self.gone.iter().any(same)
    }
}
