//! Leadership of the order controller: when a host checks for a free lease, and until when it may send orders.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The time to live of the controller's lease.
pub const LEASE_TTL: Duration = Duration::from_secs(15);

/// The time after which an engine ignores an order that it has not begun.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// A safety margin for clocks that run at different speeds: kept free at the end of a lease, and added to the wait for
/// a predecessor's orders.
const DRIFT_MARGIN: Duration = Duration::from_millis(300);

/// The number of hosts of a data centre that check for a free lease in every round: usually the holder and the next
/// two in rank.
pub const LEASE_CANDIDATES: usize = 3;

/// The rounds after which every other host checks, too, so that the lease is taken even if no candidate reaches the
/// store. They last 5 min, so that 390 hosts make 1.3 reads a second.
pub const ROUNDS_BETWEEN_LEASE_CHECKS: u32 = 60;

/// Decides in which rounds a host without the lease checks whether it is free. With 390 hosts, a check by each host in
/// each round would make 77 of 138 reads a second.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct LeaseCheckSchedule {
    /// The rounds since the last check.
    rounds: u32,
}

impl LeaseCheckSchedule {
    /// Starts a round; returns whether to check the lease in it. `rank` is the host's position among the hosts that may
    /// take the lease, from 0; `None` if it may not.
    ///
    /// A dead candidate is detected 12 s after its last answer, before its lease of 15 s expires, so that the hosts
    /// behind it have moved up by then.
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

/// The record of the lease holder in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The host that holds the lease.
    pub host: HostId,
    /// The incarnation of its process, which distinguishes its claim from one before a restart.
    pub incarnation: Incarnation,
}

/// The right to send orders, derived from the lease.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Leadership {
    held: Option<Held>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Held {
    fence: Epoch,
    /// The end of the lease, counted from before the request to the store, so that it is never too late.
    lease_end: Instant,
    /// The time by which a predecessor's orders have timed out.
    orders_from: Instant,
}

impl Leadership {
    /// Takes over after the store granted the lease that was requested at `asked_at`. No order is sent until those of
    /// a predecessor have timed out, because some engines ignore the fencing token.
    pub fn acquired(&mut self, fence: Epoch, asked_at: Instant, now: Instant) {
        self.held = Some(Held {
            fence,
            lease_end: asked_at + LEASE_TTL,
            orders_from: now + ORDER_TIMEOUT + DRIFT_MARGIN,
        });
    }

    /// Extends the lease after the store confirmed the renewal that was requested at `asked_at`.
    pub fn renewed(&mut self, asked_at: Instant) {
        if let Some(held) = &mut self.held {
            held.lease_end = held.lease_end.max(asked_at + LEASE_TTL);
        }
    }

    /// Drops the right to send orders: the lease has expired, was revoked, or a newer holder has ordered an engine.
    pub fn lose(&mut self) {
        self.held = None;
    }

    /// Returns the fencing token if an order may be sent at `now`: it times out before the lease ends, and a
    /// predecessor's orders have timed out.
    pub fn fence_for_order(&self, now: Instant) -> Option<Epoch> {
        let held = self.held.as_ref()?;
        let ends_in_time = now + ORDER_TIMEOUT + DRIFT_MARGIN <= held.lease_end;
        (ends_in_time && now >= held.orders_from).then_some(held.fence)
    }
}
