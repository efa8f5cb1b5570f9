//! Selects the hosts that watch the store, that a host relays changes to, and that it asks for changes.

use std::time::Duration;

use crate::prelude::*;
use crate::process::message::Member;
use crate::process::shard::rendezvous_order;

/// The hosts of each data centre that watch the head in the store.
pub const WATCHERS: usize = 2;

/// The most hosts that are asked for a newer version; each unreachable one takes a timeout.
const MAX_PEERS_ASKED: usize = 8;

/// The most hosts of its own data centre, other than watchers, that a host asks.
const MAX_NEIGHBOURS: usize = 2;

/// The time that a starting host waits for other hosts to appear before it reads the whole document from the store.
/// Hosts that start together register within this time.
const STARTUP_SETTLE_TIME: Duration = Duration::from_secs(2);

/// The time that the hosts of one turn have to read the document before the next turn begins: ten times that of 416
/// reads of 40 ms, 16 at a time.
const TURN_DURATION: Duration = Duration::from_secs(10);

/// The turns that last for `TURN_DURATION`; if the hosts of all of them failed, later turns follow each other faster.
const FULL_TURNS: u32 = 3;

/// The time between two later turns. Two hosts in each of four data centres make 8 × 416 reads in 2 s, within the
/// store's 2,000 reads a second.
const LATE_TURN_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the watchers of a data centre by rank, in the order of `process::members::owners`.
pub fn watchers(live: &[Member], data_centre: &str) -> Vec<HostId> {
    let mut ranked = rendezvous_order("watch", eligible_hosts(live, data_centre));
    ranked.truncate(WATCHERS);
    ranked
}

/// Returns the hosts to which `me` relays a change that it received from `from`.
///
/// Within a data centre, the hosts form a ring by name, and each relays to the hosts 1, 2, 4, ... places ahead. A
/// change reaches all of n hosts within log2(n) steps and on several paths, so that it need not be sent again when
/// hosts fail. Between data centres, it is only relayed by watchers, to watchers of the same rank.
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

/// Returns the hosts that `me` asks for the newest version while the store fails, best first.
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
    // For a watcher, the other data centres come first: another watcher of its own has probably lost the store too.
    let mut order: Vec<HostId> = if own.contains(&me.host) {
        // If all watchers have lost it, a host that polls it may still have a newer version.
        let own = own.into_iter().chain(neighbours(me, live));
        others.into_iter().chain(own).collect()
    } else {
        own.into_iter().chain(others).collect()
    };
    order.retain(|host| *host != me.host);
    order.truncate(MAX_PEERS_ASKED);
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
    order.truncate(MAX_PEERS_ASKED);
    order
}

/// Returns some hosts of the data centre of `me` that are no watchers; different hosts get different ones.
fn neighbours(me: &Member, live: &[Member]) -> Vec<HostId> {
    let own = watchers(live, &me.data_centre);
    let eligible = eligible_hosts(live, &me.data_centre);
    let others = eligible.filter(|host| !own.contains(host) && *host != me.host);
    let mut ranked = rendezvous_order(&*me.host, others);
    ranked.truncate(MAX_NEIGHBOURS);
    ranked
}

/// Returns the time after which a starting host reads the whole document from the store if no peer has it. The watchers
/// of a data centre read first, then two further hosts in each turn.
pub fn store_read_delay(me: &Member, live: &[Member]) -> Duration {
    let ranked = rendezvous_order("watch", eligible_hosts(live, &me.data_centre));
    let rank = ranked.iter().position(|host| *host == me.host);
    let turn = rank.and_then(|rank| u32::try_from(rank / WATCHERS).ok());
    let turn = turn.unwrap_or(FULL_TURNS);
    let later = turn.saturating_sub(FULL_TURNS);
    STARTUP_SETTLE_TIME
        + TURN_DURATION * turn.min(FULL_TURNS)
        + LATE_TURN_INTERVAL.saturating_mul(later)
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

/// Returns the hosts of a data centre that are not leaving.
fn eligible_hosts<'a>(
    live: &'a [Member],
    data_centre: &'a str,
) -> impl Iterator<Item = HostId> + 'a {
    live.iter()
        .filter(move |member| &*member.data_centre == data_centre && !member.leaving)
        .map(|member| member.host.clone())
}
