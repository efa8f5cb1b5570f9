//! The addresses of hosts, and the processes that are known to have ended.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

use crate::prelude::*;
use crate::process::message::Member;
use crate::process::shard::{Shards, lock};

/// The ended processes that are remembered: a day's restarts and failures of the largest supported fleet.
const MAX_RETIRED: usize = 512;

/// The addresses of hosts' peer listeners, written by membership and read by peer links.
#[derive(Default)]
pub struct AddressBook {
    members: Shards<HashMap<HostId, Member>>,
    retired: Mutex<VecDeque<(HostId, Incarnation)>>,
}

impl AddressBook {
    /// Adds or replaces the entry of a host.
    pub fn set(&self, member: Member) {
        let mut shard = self.members.lock(&member.host);
        shard.insert(member.host.clone(), member);
    }

    /// Removes the entry of a host, if there is one.
    pub fn remove(&self, host: &HostId) {
        self.members.lock(host).remove(host);
    }

    /// Returns the entry of a host.
    pub fn get(&self, host: &HostId) -> Option<Member> {
        self.members.lock(host).get(host).cloned()
    }

    /// Marks a process as ended, so that its late messages are ignored.
    pub fn retire(&self, host: &HostId, incarnation: Incarnation) {
        let mut retired = lock(&self.retired);
        if retired.len() == MAX_RETIRED {
            retired.pop_front();
        }
        retired.push_back((host.clone(), incarnation));
    }

    /// Returns whether a process is known to have ended.
    pub fn is_retired(&self, host: &HostId, incarnation: Incarnation) -> bool {
        lock(&self.retired)
            .iter()
            .any(|(h, i)| *i == incarnation && h == host)
    }
}
