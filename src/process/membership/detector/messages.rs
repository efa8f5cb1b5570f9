//! Messages of other hosts as evidence.

use std::time::Instant;

use crate::prelude::*;
use crate::process::membership::{Action, MemberEvent};
use crate::process::message::{Heartbeat, HostDown, Leaving, Member};

use super::Detector;
use super::peer::State;

impl Detector {
    /// Takes a heartbeat that another host sent, and returns the answer to it.
    pub fn handle_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> (Heartbeat, Vec<Action>) {
        let mut actions = Vec::new();
        let from = &heartbeat.from;
        let out = self.is_gone(&from.host, from.incarnation)
            || self.peers.get(&from.host).is_some_and(|p| {
                p.state == State::Lost && p.member.incarnation == from.incarnation
            });
        self.note_sender(heartbeat, now, &mut actions);
        if heartbeat.out {
            self.announce_survival(now, &mut actions);
        }
        (self.heartbeat(out), actions)
    }

    /// Takes the answer to a heartbeat.
    pub fn handle_reply(
        &mut self,
        now: Instant,
        to: &HostId,
        seq: u64,
        heartbeat: &Heartbeat,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let from = &heartbeat.from;
        if from.host != *to || self.is_gone(&from.host, from.incarnation) {
            return actions;
        }
        if let Some(peer) = self.peers.get(to)
            && peer.member.incarnation != from.incarnation
        {
            // Another process answers at the address, so the known one is gone, unless the answer is
            // older than what is known.
            if seq <= peer.seq_when_added || peer.member.address != from.address {
                return actions;
            }
            self.declare_down(to, true, true, now, &mut actions);
        }
        self.note_sender(heartbeat, now, &mut actions);
        if heartbeat.out {
            self.announce_survival(now, &mut actions);
        }
        actions
    }

    /// Takes the failure of a heartbeat. A refused connection proves that the process is gone.
    pub fn handle_failure(
        &mut self,
        now: Instant,
        to: &HostId,
        incarnation: Incarnation,
        refused: bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let known = self.peers.get(to);
        if refused && known.is_some_and(|p| p.member.incarnation == incarnation) {
            self.declare_down(to, true, true, now, &mut actions);
        }
        actions
    }

    /// Takes another host's declaration.
    pub fn handle_host_down(&mut self, now: Instant, down: &HostDown) -> Vec<Action> {
        let mut actions = Vec::new();
        if down.host == self.me.host {
            if down.incarnation == self.me.incarnation {
                self.announce_survival(now, &mut actions);
            }
            return actions;
        }
        let Some(peer) = self.peers.get(&down.host) else {
            if down.proven {
                self.remember_gone(&down.host, down.incarnation);
            }
            return actions;
        };
        if peer.member.incarnation != down.incarnation {
            if down.proven {
                self.remember_gone(&down.host, down.incarnation);
            }
            return actions;
        }
        // What this host hears itself weighs more than another one's silence.
        let silence = now.saturating_duration_since(peer.last_heard);
        let heard = silence < self.settings.suspect_after;
        if down.proven || (peer.state == State::Live && !heard) {
            self.declare_down(&down.host, down.proven, false, now, &mut actions);
        }
        actions
    }

    /// Takes another host's message that it is leaving.
    pub fn handle_leaving(&mut self, leaving: &Leaving) -> Vec<Action> {
        match self.peers.get_mut(&leaving.host) {
            Some(peer)
                if peer.member.incarnation == leaving.incarnation && !peer.member.leaving =>
            {
                peer.member.leaving = true;
                vec![Action::Publish(MemberEvent::Leaving(leaving.clone()))]
            }
            _ => Vec::new(),
        }
    }

    /// Notes that a host says or is said to be there.
    pub(super) fn note_member(
        &mut self,
        member: &Member,
        heard: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if member.host == self.me.host || self.is_gone(&member.host, member.incarnation) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&member.host) else {
            return self.add(member.clone(), now, actions);
        };
        if peer.member.incarnation != member.incarnation {
            // It may be older or newer than the known one; an answer decides.
            if peer.member.address != member.address {
                peer.next = Some(member.clone());
            }
            if peer.state == State::Lost && peer.next.is_some() {
                let down_already = peer.member.incarnation;
                self.remember_gone(&member.host, down_already);
                return self.add(member.clone(), now, actions);
            }
            return self.ask(&member.host, actions);
        }
        if member.leaving && !peer.member.leaving {
            peer.member.leaving = true;
            actions.push(Action::Publish(MemberEvent::Leaving(Leaving {
                host: member.host.clone(),
                incarnation: member.incarnation,
            })));
        }
        if !heard {
            return;
        }
        peer.last_heard = now;
        peer.suspected_since = None;
        if peer.state == State::Lost {
            peer.state = State::Live;
            peer.next_beat = None;
            let member = peer.member.clone();
            self.stale_ring = true;
            actions.push(Action::Publish(MemberEvent::Joined(member)));
        }
    }

    fn note_sender(&mut self, heartbeat: &Heartbeat, now: Instant, actions: &mut Vec<Action>) {
        let from = &heartbeat.from;
        self.note_member(from, true, now, actions);
        if let Some(peer) = self.peers.get_mut(&from.host)
            && peer.member.incarnation == from.incarnation
        {
            peer.suspects = Some((heartbeat.suspected.clone(), now));
        }
    }

    /// Tells the others that this host is there, after it was declared down.
    fn announce_survival(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.announce_self(now, actions) {
            actions.push(Action::Publish(MemberEvent::WasDeclaredDown));
        }
    }
}
