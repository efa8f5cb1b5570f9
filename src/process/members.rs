//! The interface to membership, and owners of keys by rendezvous hashing.

use std::sync::{Arc, Mutex};

use tokio::sync::watch;

use crate::prelude::*;
use crate::process::message::Member;
use crate::process::shard::{lock, rendezvous_order};

/// The live hosts of the fleet, as this host knows them.
pub trait Members: Send + Sync {
    /// Returns the record of this host.
    fn me(&self) -> Member;
    /// Returns the live hosts, including this one and the leaving ones, which are marked. The list is shared, so that
    /// a call copies nothing.
    fn live(&self) -> Arc<[Member]>;
    /// Subscribes to changes of the live hosts; the value counts them.
    fn subscribe(&self) -> watch::Receiver<u64>;
}

/// Ranks the hosts of a data centre that are not leaving for `key`: the first one owns it, the second is its standby.
pub fn owners(members: &dyn Members, data_centre: &str, key: &str) -> Vec<HostId> {
    let live = members.live();
    let hosts = live
        .iter()
        .filter(|m| &*m.data_centre == data_centre && !m.leaving)
        .map(|m| &m.host);
    let ranked = rendezvous_order(key, hosts);
    ranked.into_iter().cloned().collect()
}

/// A set of hosts that changes only by [`set_live`](Self::set_live), for a host without a fleet and for tests.
pub struct StaticMembers {
    me: Member,
    live: Mutex<Arc<[Member]>>,
    changed: watch::Sender<u64>,
}

impl StaticMembers {
    /// Creates a set in which `me` and `others` are live.
    pub fn new(me: Member, others: impl IntoIterator<Item = Member>) -> Self {
        let live: Arc<[_]> = std::iter::once(me.clone()).chain(others).collect();
        Self {
            me,
            live: Mutex::new(live),
            changed: watch::Sender::new(0),
        }
    }

    /// Replaces the live hosts and notifies the subscribers.
    pub fn set_live(&self, live: Vec<Member>) {
        *lock(&self.live) = live.into();
        self.changed.send_modify(|count| *count += 1);
    }
}

impl Members for StaticMembers {
    fn me(&self) -> Member {
        self.me.clone()
    }

    fn live(&self) -> Arc<[Member]> {
        lock(&self.live).clone()
    }

    fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
