//! A crash of an upstream, and which crashes have a cause in common. Does no I/O and reads no clock.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::CrashReport;

/// The shortest time for which an upstream that crashed is gone. Reports of one upstream from different requests count as the same
/// crash for that long: if the same body was sent several times at once, one crash interrupts all of these requests.
pub const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The crashes kept for each fingerprint: enough to tell the parts of the same requests apart.
pub const MAX_KEPT_CRASHES: usize = 8;

/// A crash of an upstream while it ran a request.
#[derive(Debug, Clone)]
pub struct Crash {
    /// The request that the upstream was running.
    pub request: RequestId,
    /// The attempt that it was running.
    pub attempt: AttemptNo,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The start of its process in Unix milliseconds; `None` if this host doesn't know it.
    pub started: Option<u64>,
    /// When this host learned of it.
    pub at: Instant,
    /// Whether something seen since shows that the request did not cause it.
    pub is_dismissed: bool,
}

impl Crash {
    /// Creates a crash of the process that started at `started`, of which this host learns now.
    pub fn new(report: &CrashReport, started: Option<u64>, now: Instant) -> Self {
        Self {
            request: report.request,
            attempt: report.attempt,
            upstream: report.upstream.clone(),
            started,
            at: now,
            is_dismissed: false,
        }
    }

    /// Returns whether both name the same attempt of a request.
    pub fn is_same(&self, other: &Self) -> bool {
        self.request == other.request && self.attempt == other.attempt
    }

    /// Returns whether one end of an upstream, or one disruption of several, is the cause of both this crash and an earlier one.
    fn has_common_cause(&self, earlier: &Self, common_cause_window: Duration) -> bool {
        let elapsed = self.at.saturating_duration_since(earlier.at);
        let is_same_process = match (self.started, earlier.started) {
            (Some(started), Some(before)) => started == before,
            _ => self.request != earlier.request && elapsed < SAME_CRASH_WINDOW,
        };
        (self.upstream == earlier.upstream && is_same_process) || elapsed < common_cause_window
    }
}

/// Returns the crashes, oldest first, without those that have a cause in common with one before.
pub fn crashes_apart<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    common_cause_window: Duration,
) -> SmallVec<[&'a Crash; MAX_KEPT_CRASHES]> {
    let mut apart: SmallVec<[&Crash; MAX_KEPT_CRASHES]> = SmallVec::new();
    for crash in crashes {
        let mut earlier = apart.iter();
        if !earlier.any(|earlier| crash.has_common_cause(earlier, common_cause_window)) {
            apart.push(crash);
        }
    }
    apart
}
