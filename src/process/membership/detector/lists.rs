//! Handles the hosts' records in the store and the platform's host list.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::host_list::{ListedHost, ListedState};
use crate::process::membership::{Action, MemberEvent};
use crate::process::message::Member;

use super::Detector;

/// The time after which a known host must have a record: the lease's time to live (30 s) and one read interval (10 s).
const RECORD_DEADLINE: Duration = Duration::from_secs(40);

impl Detector {
    /// Handles a read of all hosts' records in the store.
    pub fn handle_records(&mut self, now: Instant, records: &[Member]) -> Vec<Action> {
        let mut actions = Vec::new();
        for member in records {
            self.update_member(member, false, now, &mut actions);
        }
        let found: HashMap<_, _> = records.iter().map(|m| (&m.host, m.incarnation)).collect();
        for peer in self.peers.values_mut() {
            let present = found.get(&peer.member.host) == Some(&peer.member.incarnation);
            // A host that was first known by its messages writes its record within one time to live of a lease.
            let known = now.saturating_duration_since(peer.known_since);
            peer.seen_in_store |= present || known >= RECORD_DEADLINE;
            peer.record_gone = peer.seen_in_store && !present;
        }
        if !self.announced_join {
            self.announced_join = true;
            self.announce_self(now, &mut actions);
        }
        actions
    }

    /// Handles a read of the platform's list of hosts.
    pub fn handle_host_list(&mut self, now: Instant, hosts: &[ListedHost]) -> Vec<Action> {
        let listed: HashSet<&HostId> = hosts.iter().map(|h| &h.host).collect();
        for peer in self.peers.values_mut() {
            if listed.contains(&peer.member.host) {
                peer.listed = true;
                peer.delisted_at = None;
            } else if std::mem::take(&mut peer.listed) {
                peer.delisted_at = Some(now);
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
