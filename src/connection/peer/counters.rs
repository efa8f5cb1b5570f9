//! Counters of what links drop.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why a connection or a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The other side does not know the secret, speaks another version or is not who it should be.
    Stranger,
    /// The frame was seen before.
    Replay,
    /// The frame's hash does not match, or it is cut short.
    Forged,
    /// The frame is larger than allowed.
    Oversized,
    /// The frame's content is no message.
    Garbled,
    /// The sender's process is known to be gone.
    Retired,
}

/// Counts dropped connections and frames.
#[derive(Debug, Default)]
pub struct PeerCounters {
    counts: [AtomicU64; 6],
}

impl PeerCounters {
    /// Returns the count for `reason`.
    pub fn get(&self, reason: DropReason) -> u64 {
        self.counts[reason as usize].load(Ordering::Relaxed)
    }

    /// Counts one drop.
    pub fn count(&self, reason: DropReason) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
        metrics::counter!("peer_dropped", "reason" => format!("{reason:?}")).increment(1);
    }
}
