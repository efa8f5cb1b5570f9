//! Counters of dropped connections and frames.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why a connection or a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The handshake failed or timed out, the peer is not the expected host, or too many handshakes are in progress.
    Stranger,
    /// The sequence number was received before, or is too old to tell.
    Replay,
    /// The MAC does not match, or the frame is truncated.
    Forged,
    /// The frame is larger than allowed.
    Oversized,
    /// The payload can't be decoded.
    Garbled,
    /// The sender's process is known to have ended.
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

    /// Counts one drop, also in the metrics.
    pub fn count(&self, reason: DropReason) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
        metrics::counter!("peer_dropped", "reason" => format!("{reason:?}")).increment(1);
    }
}
