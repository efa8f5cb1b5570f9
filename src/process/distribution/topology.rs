//! Which hosts watch the store, to whom a host passes a change on, and whom it asks.

use std::time::Duration;

use crate::prelude::*;
use crate::process::message::Member;
use crate::process::shard::rendezvous_order;

/// The hosts of each data centre that hold a watch.
pub const WATCHERS: usize = 2;

/// The hosts that are asked after the store failed; each unreachable one costs a timeout.
const MAX_ASKED: usize = 8;

/// The hosts of its own data centre, apart from the watchers, that a host asks.
const MAX_NEIGHBOURS: usize = 2;

/// The time for which a starting host without an informed peer learns of the other hosts before it reads the whole
/// document from the store. Hosts that start together register within this time.
const START_SETTLE: Duration = Duration::from_secs(2);

/// The time that the hosts of one rank get to read the document before the next ones do; ten times what 416 reads take
/// at 40 ms each.
const READ_TURN: Duration = Duration::from_secs(10);

/// The turns that are waited for in full. If the hosts of all of them failed, the others read one after the other.
const FULL_TURNS: u32 = 3;

/// The time between two later turns; with two hosts in each of four data centres, 8 × 416 reads in 2 s keep within the
/// store's 2,000 reads a second.
const LATER_TURN: Duration = Duration::from_secs(2);

/// Returns the watchers of a data centre by rank. `process::members::owners` gives the same order.
pub fn watchers(live: &[Member], data_centre: &str) -> Vec<HostId> {
    let mut ranked = rendezvous_order("watch", takers(live, data_centre));
    ranked.truncate(WATCHERS);
    ranked
}

/// Returns the hosts to which `me` passes on a change that it heard from `from`.
///
/// Within a data centre, the hosts form a ring by name, and each passes a change on to the hosts 1, 2, 4, ... places
/// ahead: it reaches all of n hosts within log2(n) steps, and on many ways, so that it needs no repeat when hosts
/// fail. Between data centres, only watchers of the same rank are linked.
pub fn relay_targets(me: &Member, live: &[Member], from: Option<&HostId>) -> Vec<HostId> {
    let mut ring: Vec<_> = live
        .iter()
        .filter(|member| member.data_centre == me.data_centre)
        .map(|member| member.host.clone())
        .collect();
    ring.sort();
    let mut targets = Vec::new();
    if let Some(place) = ring.iter().position(|host| *host == me.host) {
        let mut step = 1;
        while step < ring.len() {
            targets.push(ring[(place + step) % ring.len()].clone());
            step *= 2;
        }
    }
    targets.extend(counterparts(me, live));
    targets.retain(|host| Some(host) != from);
    targets
}

/// Returns the hosts that `me` asks for the newest version while it can't reach the store, best first.
pub fn fallback_order(me: &Member, live: &[Member]) -> Vec<HostId> {
    let own = watchers(live, &me.data_centre);
    let others: Vec<_> = other_data_centres(me, live)
        .iter()
        .flat_map(|data_centre| watchers(live, data_centre))
        .collect();
    // Different hosts begin with different watchers.
    let mut others = rendezvous_order(&*me.host, others);
    let linked = counterparts(me, live);
    others.sort_by_key(|host| !linked.contains(host));
    // Another watcher of the same data centre has probably lost the store too.
    let mut order: Vec<HostId> = if own.contains(&me.host) {
        // All watchers may have lost it; then a host that polls it still helps.
        let own = own.into_iter().chain(neighbours(me, live));
        others.into_iter().chain(own).collect()
    } else {
        own.into_iter().chain(others).collect()
    };
    order.retain(|host| *host != me.host);
    order.truncate(MAX_ASKED);
    order
}

/// Returns the hosts that `me` asks for the texts of a newer head, best first: the watchers of its data centre, two
/// other hosts there, and watchers of other data centres. Hosts that start together begin with different ones.
pub fn catch_up_order(me: &Member, live: &[Member]) -> Vec<HostId> {
    let own = watchers(live, &me.data_centre);
    let others: Vec<_> = other_data_centres(me, live)
        .iter()
        .flat_map(|data_centre| watchers(live, data_centre))
        .collect();
    let mut order = rendezvous_order(&*me.host, own);
    order.extend(neighbours(me, live));
    order.extend(rendezvous_order(&*me.host, others));
    order.retain(|host| *host != me.host);
    order.truncate(MAX_ASKED);
    order
}

/// Returns some hosts of the data centre of `me` that hold no watch; different hosts get different ones.
fn neighbours(me: &Member, live: &[Member]) -> Vec<HostId> {
    let own = watchers(live, &me.data_centre);
    let takers = takers(live, &me.data_centre);
    let others = takers.filter(|host| !own.contains(host) && *host != me.host);
    let mut ranked = rendezvous_order(&*me.host, others);
    ranked.truncate(MAX_NEIGHBOURS);
    ranked
}

/// Returns the time after which a starting host reads the whole document from the store although no peer has it yet:
/// the watchers of its data centre first, then two further hosts at a time.
pub fn store_read_delay(me: &Member, live: &[Member]) -> Duration {
    let ranked = rendezvous_order("watch", takers(live, &me.data_centre));
    let rank = ranked.iter().position(|host| *host == me.host);
    let turn = rank.and_then(|rank| u32::try_from(rank / WATCHERS).ok());
    let turn = turn.unwrap_or(FULL_TURNS);
    let later = turn.saturating_sub(FULL_TURNS);
    START_SETTLE + READ_TURN * turn.min(FULL_TURNS) + LATER_TURN.saturating_mul(later)
}

/// Returns the watchers of the other data centres with the same rank as `me`; none if `me` is no watcher.
fn counterparts(me: &Member, live: &[Member]) -> Vec<HostId> {
    let own = watchers(live, &me.data_centre);
    let Some(rank) = own.iter().position(|host| *host == me.host) else {
        return Vec::new();
    };
    other_data_centres(me, live)
        .iter()
        .filter_map(|data_centre| {
            let ranked = watchers(live, data_centre);
            // A data centre with a single host has no second rank.
            ranked.get(rank).or(ranked.first()).cloned()
        })
        .collect()
}

fn other_data_centres(me: &Member, live: &[Member]) -> Vec<DataCentreId> {
    let mut names: Vec<_> = live
        .iter()
        .map(|member| member.data_centre.clone())
        .collect();
    names.sort();
    names.dedup();
    names.retain(|name| *name != me.data_centre);
    names
}

fn takers<'a>(live: &'a [Member], data_centre: &'a str) -> impl Iterator<Item = HostId> + 'a {
    live.iter()
        .filter(move |member| &*member.data_centre == data_centre && !member.leaving)
        .map(|member| member.host.clone())
}
