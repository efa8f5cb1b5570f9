//! The addresses of hosts, and which processes are gone for good.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

use crate::prelude::*;
use crate::process::message::Member;
use crate::process::shard::{Shards, lock};

/// The gone processes remembered; a day's restarts and failures at the stated size.
const RETIRED_KEPT: usize = 512;

/// Where hosts listen, written by membership and read by links.
#[derive(Default)]
pub struct AddressBook {
    members: Shards<HashMap<HostId, Member>>,
    retired: Mutex<VecDeque<(HostId, Incarnation)>>,
}

impl AddressBook {
    /// Enters or replaces a host.
    pub fn set(&self, member: Member) {
        let mut shard = self.members.lock(&member.host);
        shard.insert(member.host.clone(), member);
    }

    /// Removes a host.
    pub fn remove(&self, host: &HostId) {
        self.members.lock(host).remove(host);
    }

    /// Returns a host's entry.
    pub fn get(&self, host: &HostId) -> Option<Member> {
        self.members.lock(host).get(host).cloned()
    }

    /// Marks a process as gone for good; its late messages don't count.
    pub fn retire(&self, host: &HostId, incarnation: Incarnation) {
        let mut retired = lock(&self.retired);
        if retired.len() == RETIRED_KEPT {
            retired.pop_front();
        }
        retired.push_back((host.clone(), incarnation));
    }

    /// Tells whether a process is known to be gone for good.
    pub fn is_retired(&self, host: &HostId, incarnation: Incarnation) -> bool {
        lock(&self.retired)
            .iter()
            .any(|(h, i)| *i == incarnation && h == host)
    }
}
