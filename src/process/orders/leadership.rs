//! Who may give orders, and until when.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The lease of the order-giver.
pub const LEASE_TTL: Duration = Duration::from_secs(15);

/// The time after which an engine ignores an order that it has not begun.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// The part of a lease that is not used, for clocks that run at different speeds.
const DRIFT_MARGIN: Duration = Duration::from_millis(300);

/// The hosts of a data centre that look for a free lease in every round: the holder as a rule, and the next two.
pub const LEASE_CANDIDATES: usize = 3;

/// The rounds after which every other host looks, too, so that a lease is taken even if no candidate reaches the
/// store; 5 min, so that 390 hosts make 1.3 reads a second.
pub const ROUNDS_BETWEEN_LEASE_CHECKS: u32 = 60;

/// Decides in which rounds a host without the lease looks for it. A look by each host in each round would make 77 of
/// 138 reads a second at 390 hosts.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LeaseCheckSchedule {
    rounds: u32,
}

impl LeaseCheckSchedule {
    /// Tells whether to look in this round; `rank` is the host's place among those that may take the lease.
    ///
    /// A candidate that dies is known to be dead 12 s after its last answer, before a lease of 15 s lapses, so that
    /// the hosts after it have moved up by then.
    pub fn start_round(&mut self, rank: Option<usize>) -> bool {
        self.rounds += 1;
        let due = rank.is_some_and(|rank| {
            rank < LEASE_CANDIDATES || self.rounds >= ROUNDS_BETWEEN_LEASE_CHECKS
        });
        if due {
            self.rounds = 0;
        }
        due
    }
}

/// The order-giver's record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The host.
    pub host: HostId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// The right to give orders.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Leadership {
    held: Option<Held>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Held {
    fence: Epoch,
    /// The end of the lease, counted from before the store was asked.
    until: Instant,
    /// The time from which a predecessor's orders have timed out.
    quiet_from: Instant,
}

impl Leadership {
    /// Takes over after the store granted the lease that was asked for at `asked_at`. Orders
    /// wait until those of a predecessor have timed out, because some engines ignore the fencing number.
    pub fn acquired(&mut self, fence: Epoch, asked_at: Instant, now: Instant) {
        self.held = Some(Held {
            fence,
            until: asked_at + LEASE_TTL,
            quiet_from: now + ORDER_TIMEOUT + DRIFT_MARGIN,
        });
    }

    /// Prolongs the lease after the store confirmed the renewal that was asked for at `asked_at`.
    pub fn renewed(&mut self, asked_at: Instant) {
        if let Some(held) = &mut self.held {
            held.until = held.until.max(asked_at + LEASE_TTL);
        }
    }

    /// Gives up the right.
    pub fn lose(&mut self) {
        self.held = None;
    }

    /// Returns the fencing number if an order sent at `now` times out before the lease ends.
    pub fn fence_for_order(&self, now: Instant) -> Option<Epoch> {
        let held = self.held.as_ref()?;
        let ends_in_time = now + ORDER_TIMEOUT + DRIFT_MARGIN <= held.until;
        (ends_in_time && now >= held.quiet_from).then_some(held.fence)
    }
}
