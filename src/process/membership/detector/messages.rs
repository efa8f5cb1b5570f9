//! Handles messages of other hosts.

use std::time::Instant;

use crate::prelude::*;
use crate::process::membership::{Action, MemberEvent};
use crate::process::message::{Heartbeat, HostDown, Leaving, Member};

use super::Detector;
use super::peer::State;

impl Detector {
    /// Handles a heartbeat and returns the reply to it.
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
        self.update_sender(heartbeat, now, &mut actions);
        if heartbeat.out {
            self.on_declared_down(now, &mut actions);
        }
        (self.heartbeat(out), actions)
    }

    /// Handles the reply to the heartbeat `seq`.
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
            // A new process at the same address proves that the known one ended, unless the reply is to a heartbeat
            // from before the known one was added.
            if seq <= peer.seq_when_added || peer.member.address != from.address {
                return actions;
            }
            self.declare_down(to, true, true, now, &mut actions);
        }
        self.update_sender(heartbeat, now, &mut actions);
        if heartbeat.out {
            self.on_declared_down(now, &mut actions);
        }
        actions
    }

    /// Handles the failure of a heartbeat. A refused connection proves that the process ended.
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

    /// Handles another host's declaration that a host is down.
    pub fn handle_host_down(&mut self, now: Instant, down: &HostDown) -> Vec<Action> {
        let mut actions = Vec::new();
        if down.host == self.me.host {
            if down.incarnation == self.me.incarnation {
                self.on_declared_down(now, &mut actions);
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
        // A host that this one hears is not declared down for its silence towards another one.
        let silence = now.saturating_duration_since(peer.last_heard);
        let heard_recently = silence < self.settings.suspect_after;
        if down.proven || (peer.state == State::Live && !heard_recently) {
            self.declare_down(&down.host, down.proven, false, now, &mut actions);
        }
        actions
    }

    /// Handles another host's message that it is leaving.
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

    /// Updates a host from its own message (`directly`) or from a record in the store.
    pub(super) fn update_member(
        &mut self,
        member: &Member,
        directly: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if member.host == self.me.host || self.is_gone(&member.host, member.incarnation) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&member.host) else {
            return self.add_peer(member.clone(), now, actions);
        };
        if peer.member.incarnation != member.incarnation {
            // It may be older or newer than the known process; the reply to a heartbeat shows which.
            if peer.member.address != member.address {
                peer.replacement = Some(member.clone());
            }
            if peer.state == State::Lost && peer.replacement.is_some() {
                let down_already = peer.member.incarnation;
                self.remember_gone(&member.host, down_already);
                return self.add_peer(member.clone(), now, actions);
            }
            return self.send_heartbeat(&member.host, actions);
        }
        if member.leaving && !peer.member.leaving {
            peer.member.leaving = true;
            actions.push(Action::Publish(MemberEvent::Leaving(Leaving {
                host: member.host.clone(),
                incarnation: member.incarnation,
            })));
        }
        if !directly {
            return;
        }
        peer.last_heard = now;
        peer.suspected_since = None;
        if peer.state == State::Lost {
            peer.state = State::Live;
            peer.next_heartbeat = None;
            let member = peer.member.clone();
            self.stale_ring = true;
            actions.push(Action::Publish(MemberEvent::Joined(member)));
        }
    }

    fn update_sender(&mut self, heartbeat: &Heartbeat, now: Instant, actions: &mut Vec<Action>) {
        let from = &heartbeat.from;
        self.update_member(from, true, now, actions);
        if let Some(peer) = self.peers.get_mut(&from.host)
            && peer.member.incarnation == from.incarnation
        {
            peer.reported_suspects = Some((heartbeat.suspected.clone(), now));
        }
    }

    /// Announces this host to all others, which had declared it down.
    fn on_declared_down(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.announce_self(now, actions) {
            actions.push(Action::Publish(MemberEvent::WasDeclaredDown));
        }
    }
}
