//! The records in the store and the platform's list as evidence.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::host_list::{ListedHost, ListedState};
use crate::process::membership::{Action, MemberEvent};
use crate::process::message::Member;

use super::Detector;

/// The time by which the record of a live host must have been read: a lease and a reading.
const RECORD_DUE: Duration = Duration::from_secs(40);

impl Detector {
    /// Takes all records of hosts as read from the store.
    pub fn handle_records(&mut self, now: Instant, records: &[Member]) -> Vec<Action> {
        let mut actions = Vec::new();
        for member in records {
            self.note_member(member, false, now, &mut actions);
        }
        let found: HashMap<_, _> = records.iter().map(|m| (&m.host, m.incarnation)).collect();
        for peer in self.peers.values_mut() {
            let present = found.get(&peer.member.host) == Some(&peer.member.incarnation);
            // A host that was first known from its messages writes its record within one lease.
            let known = now.saturating_duration_since(peer.known_since);
            peer.in_store |= present || known >= RECORD_DUE;
            peer.record_gone = peer.in_store && !present;
        }
        if !self.announced_join {
            self.announced_join = true;
            self.announce_self(now, &mut actions);
        }
        actions
    }

    /// Takes the platform's list of hosts.
    pub fn handle_host_list(&mut self, now: Instant, hosts: &[ListedHost]) -> Vec<Action> {
        let listed: HashSet<&HostId> = hosts.iter().map(|h| &h.host).collect();
        for peer in self.peers.values_mut() {
            if listed.contains(&peer.member.host) {
                peer.listed = true;
                peer.dropped_at = None;
            } else if std::mem::take(&mut peer.listed) {
                peer.dropped_at = Some(now);
            }
        }
        let leaving = hosts
            .iter()
            .any(|h| h.host == self.me.host && h.state == ListedState::Leaving);
        let first = leaving && !self.listed_leaving;
        self.listed_leaving = leaving;
        let event = first.then_some(Action::Publish(MemberEvent::ListedLeaving));
        event.into_iter().collect()
    }
}
