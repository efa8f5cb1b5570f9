//! Failure detection: facts and instants in, actions out. Holds no sockets and reads no clock.

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

/// The replaced processes remembered; a day's restarts and failures at the stated size.
const GONE_KEPT: usize = 512;
/// The hosts declared down that a heartbeat names; bounds its size while many are cut off.
const LOST_TOLD: usize = 8;
/// The shortest time between two announcements of this host to all others. The replies to an
/// announcement may say again that this host was out.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);

/// The settings of failure detection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DetectorSettings {
    /// Between heartbeats to a host of the same data centre.
    pub heartbeat_interval: Duration,
    /// Between heartbeats to a host of another data centre.
    pub remote_heartbeat_interval: Duration,
    /// The ring successors that get heartbeats.
    pub successors: usize,
    /// The silence after which a host is suspected.
    pub suspect_after: Duration,
    /// The suspicion after which a host is declared down without proof.
    pub down_after: Duration,
    /// The time by which the platform's list lags at most. A host that vanishes from the list may be
    /// an earlier process of the same name unless the present one was known for longer.
    pub max_list_lag: Duration,
    /// Between probes of hosts that were declared down without proof.
    pub lost_probe_interval: Duration,
    /// The time after which a host that was declared down without proof is forgotten.
    pub lost_retention: Duration,
    /// The hosts outside the ring that get heartbeats at once because their record is gone.
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

/// The state of failure detection on one host.
pub struct Detector {
    settings: DetectorSettings,
    me: Member,
    peers: BTreeMap<HostId, Peer>,
    /// Processes that were replaced or proven gone; their messages don't count.
    gone: VecDeque<(HostId, Incarnation)>,
    /// The number of the last question.
    last_seq: u64,
    last_tick: Instant,
    last_announced: Option<Instant>,
    announced_join: bool,
    listed_leaving: bool,
    next_lost_probe: Instant,
    payload: (Version, Option<Duration>),
    /// The other hosts of this data centre that are not declared down, in ring order from this host.
    ring: Vec<HostId>,
    /// The hosts of this data centre that were declared down without proof, the last one first.
    lost: Vec<HostId>,
    /// The hosts of each other data centre, the counterpart of this host first.
    far: Vec<Vec<HostId>>,
    stale_ring: bool,
    /// The hosts that got heartbeats at the last tick.
    watched: Vec<HostId>,
}

impl Detector {
    /// Creates the detector of a host that knows no other host yet.
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
            far: Vec::new(),
            stale_ring: false,
            watched: Vec::new(),
        }
    }

    /// Returns this host.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the hosts that are not declared down, this one included.
    pub fn live(&self) -> Vec<Member> {
        let others = self.peers.values().filter(|p| p.state == State::Live);
        std::iter::once(&self.me)
            .chain(others.map(|p| &p.member))
            .cloned()
            .collect()
    }

    /// Returns the hosts that are suspected at the moment.
    pub fn suspected(&self) -> Vec<HostId> {
        let watched = self.watched.iter().filter_map(|host| self.peers.get(host));
        let suspected = watched.filter(|p| p.suspected_since.is_some() && p.state == State::Live);
        suspected.map(|p| p.member.host.clone()).collect()
    }

    /// Sets what heartbeats carry about the configuration.
    pub fn set_payload(&mut self, payload: (Version, Option<Duration>)) {
        self.payload = payload;
    }

    /// Marks this host as leaving and tells all others.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.leaving = true;
        let leaving = Leaving {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
        };
        self.tell_all(&PeerRequest::Leaving(leaving))
    }

    /// Does what is due: heartbeats, suspicions, declarations. Called several times a heartbeat.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap >= self.settings.suspect_after {
            // Nothing was heard because nothing was read: the silence says nothing about others.
            for peer in self.peers.values_mut() {
                peer.forgive(now);
            }
            actions.push(Action::Publish(MemberEvent::Paused(gap)));
        }
        let targets = self.targets();
        self.watch(&targets, now);
        self.judge(&targets, now, &mut actions);
        self.beat(&targets, now, &mut actions);
        self.prove_lost(now, &mut actions);
        self.probe_lost(now, &mut actions);
        actions
    }

    fn heartbeat(&self, out: bool) -> Heartbeat {
        Heartbeat {
            from: self.me.clone(),
            version: self.payload.0,
            age: self.payload.1,
            suspected: self.doubted(),
            out,
        }
    }

    /// Returns the suspected hosts and those of this data centre that were declared down last, so that
    /// a host that missed the announcement does not take this one for a witness that they live.
    fn doubted(&self) -> SmallVec<[HostId; 4]> {
        let lost = self.lost.iter().take(LOST_TOLD).cloned();
        self.suspected().into_iter().chain(lost).collect()
    }

    fn ask(&mut self, host: &HostId, actions: &mut Vec<Action>) {
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

    /// Sends a heartbeat to every known host, so that all know this one.
    fn announce_self(&mut self, now: Instant, actions: &mut Vec<Action>) -> bool {
        let recent = |at| now.saturating_duration_since(at) < ANNOUNCE_INTERVAL;
        if self.last_announced.is_some_and(recent) {
            return false;
        }
        self.last_announced = Some(now);
        for host in self.peers.keys().cloned().collect::<Vec<_>>() {
            self.ask(&host, actions);
        }
        true
    }

    fn tell_all(&self, req: &PeerRequest) -> Vec<Action> {
        let tell = |host: &HostId| Action::Notify {
            to: host.clone(),
            req: req.clone(),
        };
        self.peers.keys().map(tell).collect()
    }

    /// Declares a process down. An unproven one is kept and probed; a process that was seen at another
    /// address takes the place of either.
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
        let next = peer.next.take();
        peer.state = State::Lost;
        peer.lost_at = now;
        peer.suspected_since = None;
        if proven || next.is_some() {
            self.peers.remove(host);
            self.remember_gone(host, incarnation);
        }
        self.stale_ring = true;
        actions.push(Action::Publish(MemberEvent::HostDown(down.clone())));
        if announce {
            actions.extend(self.tell_all(&PeerRequest::HostDown(down)));
        }
        match next {
            Some(next) => self.add(next, now, actions),
            None if proven => actions.push(Action::RemoveAddress(host.clone())),
            None => {}
        }
    }

    fn add(&mut self, member: Member, now: Instant, actions: &mut Vec<Action>) {
        let peer = Peer::new(member.clone(), self.last_seq, now);
        self.peers.insert(member.host.clone(), peer);
        self.stale_ring = true;
        actions.push(Action::Publish(MemberEvent::Joined(member)));
    }

    fn remember_gone(&mut self, host: &HostId, incarnation: Incarnation) {
        if self.is_gone(host, incarnation) {
            return;
        }
        if self.gone.len() == GONE_KEPT {
            self.gone.pop_front();
        }
        self.gone.push_back((host.clone(), incarnation));
    }

    fn is_gone(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let same = |gone: &(HostId, Incarnation)| gone.1 == incarnation && gone.0 == *host;
        self.gone.iter().any(same)
    }
}
