//! What was seen of upstreams after they broke calls off. Performs no I/O and reads no clock.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Instant;

use crate::prelude::*;
use crate::process::quarantine::SAME_CRASH_WINDOW;
use crate::process::shard::Shards;

#[derive(Debug)]
struct Interruption {
    /// When a call was last broken off.
    at: Instant,
    /// When the upstream was last found to be unreachable since.
    unreachable_at: Option<Instant>,
}

/// The upstreams that broke calls off. One that crashed is gone for seconds; one that lost an answer goes on serving.
#[derive(Debug, Default)]
pub struct InterruptedUpstreams {
    upstreams: Shards<HashMap<UpstreamId, Interruption>>,
}

impl InterruptedUpstreams {
    /// Records that an upstream broke a call off.
    pub fn record_interruption(&self, upstream: &UpstreamId, now: Instant) {
        let mut upstreams = self.upstreams.lock(upstream);
        upstreams.retain(|_, interruption| is_recent(interruption, now));
        let interruption = upstreams
            .entry(upstream.clone())
            .or_insert_with(|| Interruption {
                at: now,
                unreachable_at: None,
            });
        interruption.at = now;
    }

    /// Records that no connection to an upstream could be opened. Returns whether that is the first sign that it is gone since it broke
    /// a call off.
    pub fn record_unreachable(&self, upstream: &UpstreamId, now: Instant) -> bool {
        let mut upstreams = self.upstreams.lock(upstream);
        let Some(interruption) = upstreams.get_mut(upstream) else {
            return false;
        };
        let is_first = interruption.unreachable_at.is_none() && is_recent(interruption, now);
        interruption.unreachable_at = Some(now);
        is_first
    }

    /// Records that an upstream answered a call that was sent at `sent_at`. Returns the time for which that shows that it did not
    /// crash: from when it was last unreachable, but no longer than a crashed upstream is gone, as a new process may serve under
    /// the same id before the list of upstreams shows it. `None` if it broke no call off in that time.
    pub fn record_answer(&self, upstream: &UpstreamId, sent_at: Instant) -> Option<Range<Instant>> {
        let mut upstreams = self.upstreams.lock(upstream);
        let interruption = upstreams.get(upstream)?;
        if interruption.at >= sent_at {
            return None;
        }
        let interruption = upstreams.remove(upstream)?;
        let earliest = sent_at.checked_sub(SAME_CRASH_WINDOW);
        let start = earliest.max(interruption.unreachable_at)?;
        (start < interruption.at).then_some(start..sent_at)
    }
}

fn is_recent(interruption: &Interruption, now: Instant) -> bool {
    now.saturating_duration_since(interruption.at) < SAME_CRASH_WINDOW
}
