//! When a host reads the list of upstreams from the store itself. Performs no I/O and reads no clock.
//!
//! Hosts tell each other what they read, so the list of most hosts is young without a call of their own. Each host reads it at another
//! age: the first ones by rank keep the list young for all, and the next ones step in if they can't reach the store.

use std::time::Duration;

use crate::process::forwarding::relays::Role;

/// The ages of the list of upstreams at which hosts read it.
#[derive(Debug, Clone, PartialEq)]
pub struct ListSchedule {
    /// The shortest time between two reads of the list. An upstream that leaves must get no new work after two seconds; with this
    /// interval, one read may fail.
    pub interval: Duration,
    /// In a fleet without relays, the age at which a host reads the list grows by this with each live host ranked before it, so that
    /// the report of one that has just read it arrives first.
    pub direct_step: Duration,
    /// The upper bound of that growth. With `interval` it stays below the time within which an upstream that leaves must get no new
    /// work, also where the hosts ranked first can't read the list.
    pub max_direct_delay: Duration,
    /// The spread of the relays' reads after `interval`.
    pub relay_spread: Duration,
    /// The age at which a host that hears of the list from relays reads it itself.
    pub member_interval: Duration,
    /// The spread of these reads after `member_interval`.
    pub member_spread: Duration,
}

impl Default for ListSchedule {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(800),
            direct_step: Duration::from_millis(100),
            max_direct_delay: Duration::from_millis(1400),
            relay_spread: Duration::from_millis(1200),
            member_interval: Duration::from_millis(2400),
            member_spread: Duration::from_secs(2),
        }
    }
}

impl ListSchedule {
    /// Returns the age of the list at which a host with this `role` reads it. `live_before` is the number of live hosts ranked before
    /// it, `place` differs between hosts from 0 to 1.
    pub fn max_age(&self, role: Role, live_before: usize, place: f64) -> Duration {
        match role {
            Role::Direct => {
                let before = u32::try_from(live_before).unwrap_or(u32::MAX);
                let delay = self.direct_step.saturating_mul(before);
                self.interval + delay.min(self.max_direct_delay)
            }
            Role::Relay => self.interval + self.relay_spread.mul_f64(place),
            Role::Member => self.member_interval + self.member_spread.mul_f64(place),
        }
    }
}
