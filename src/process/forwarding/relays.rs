//! Which hosts relay reports. Performs no I/O and reads no clock.
//!
//! A small fleet has no relays: each host reports to all others. In a large one each host reports to two relays of its data centre.
//! A relay sends the sum of its data centre to the relays of the others, and the sum of the fleet to the hosts of its own. So the
//! messages of a host don't grow with the fleet. Relays are not elected: all hosts rank the hosts of a data centre alike, and a host
//! that misses relays ranked before it steps in.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::peers::Registration;
use crate::process::shard::stable_hash;

/// The number of relays of a data centre. Each gets all reports, so that one may fail without a gap.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// The time by which each further host in the ranking waits longer before it steps in for a missing relay, so that the one before
/// it is heard first.
const TAKEOVER_STEP: Duration = Duration::from_millis(400);

/// Orders the hosts of a data centre: those with the most processor time first, equal ones by a hash.
pub type RelayRank = (Reverse<u32>, u64);

/// Returns the rank of a host whose processor share is `capacity` thousandths of a core.
pub fn relay_rank(host: &str, capacity: u32) -> RelayRank {
    (Reverse(capacity), stable_hash(host))
}

/// Another host, as the ranking needs it.
#[derive(Debug, Clone)]
pub struct RankedHost {
    /// Its rank within its data centre.
    pub rank: RelayRank,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The address at which it receives messages.
    pub address: SocketAddr,
    /// Whether it was heard recently or became known only recently.
    pub is_live: bool,
}

/// A host's part in the exchange of reports.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It reports to all other hosts.
    #[default]
    Direct,
    /// It reports to the relays of its data centre and hears the sum of the fleet from them.
    Member,
    /// It hears the hosts of its data centre and the relays of the others.
    Relay,
}

/// To whom a host sends which messages.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ExchangePlan {
    /// The host's part.
    pub role: Role,
    /// The hosts that get its report.
    pub reports: SmallVec<[SocketAddr; 8]>,
    /// The relays of other data centres, which get the sum of its data centre; empty unless it is a relay.
    pub remote_relays: SmallVec<[SocketAddr; 8]>,
    /// The hosts of its data centre, which get the sum of the fleet; empty unless it is a relay.
    pub members: Vec<SocketAddr>,
}

/// Decides this host's part in the exchange.
#[derive(Debug, Default)]
pub struct RelayPlanner {
    /// When enough relays ranked before this host were last live.
    last_complete: Option<Instant>,
}

impl RelayPlanner {
    /// Returns to whom `own` sends which messages from now on. The fleet has relays if it has more than `max_direct_hosts` hosts.
    pub fn plan(
        &mut self,
        own: &Registration,
        hosts: &[RankedHost],
        fleet_size: usize,
        max_direct_hosts: usize,
        now: Instant,
    ) -> ExchangePlan {
        if fleet_size <= max_direct_hosts {
            self.last_complete = None;
            return ExchangePlan {
                reports: hosts.iter().map(|host| host.address).collect(),
                ..ExchangePlan::default()
            };
        }
        let mut by_data_centre: BTreeMap<&DataCentreId, Vec<&RankedHost>> = BTreeMap::new();
        for host in hosts {
            by_data_centre
                .entry(&host.data_centre)
                .or_default()
                .push(host);
        }
        for ranked in by_data_centre.values_mut() {
            ranked.sort_by_key(|host| host.rank);
        }
        let neighbours = by_data_centre.remove(&own.data_centre).unwrap_or_default();
        if !self.is_relay(own, &neighbours, now) {
            return ExchangePlan {
                role: Role::Member,
                reports: relays_of(&neighbours).collect(),
                ..ExchangePlan::default()
            };
        }
        let own_rank = relay_rank(&own.host, own.capacity);
        let is_first = neighbours.iter().take(RELAYS_PER_DATA_CENTRE);
        let is_first = is_first.filter(|host| host.rank < own_rank).count() < 1;
        let others = RELAYS_PER_DATA_CENTRE - usize::from(is_first);
        ExchangePlan {
            role: Role::Relay,
            reports: relays_of(&neighbours).take(others).collect(),
            remote_relays: by_data_centre
                .values()
                .flat_map(|ranked| relays_of(ranked))
                .collect(),
            members: neighbours.iter().map(|host| host.address).collect(),
        }
    }

    fn is_relay(&mut self, own: &Registration, neighbours: &[&RankedHost], now: Instant) -> bool {
        let own_rank = relay_rank(&own.host, own.capacity);
        let before = neighbours.iter().filter(|host| host.rank < own_rank);
        let live = before.clone().filter(|host| host.is_live).count();
        let last_complete = *self.last_complete.get_or_insert(now);
        if live >= RELAYS_PER_DATA_CENTRE {
            self.last_complete = Some(now);
            return false;
        }
        let position = before.count();
        let steps = position.saturating_sub(RELAYS_PER_DATA_CENTRE);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        let missing = now.saturating_duration_since(last_complete);
        position < RELAYS_PER_DATA_CENTRE || missing >= TAKEOVER_STEP.saturating_mul(steps)
    }
}

/// Returns the addresses of a data centre's relays, given its hosts by rank: the first live ones and, if there are too few, the
/// first others, which may be back.
fn relays_of<'a>(ranked: &'a [&RankedHost]) -> impl Iterator<Item = SocketAddr> + 'a {
    let live = ranked.iter().filter(|host| host.is_live);
    let others = ranked.iter().filter(|host| !host.is_live);
    live.chain(others)
        .map(|host| host.address)
        .take(RELAYS_PER_DATA_CENTRE)
}
