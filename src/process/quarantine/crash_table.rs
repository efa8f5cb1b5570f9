//! The crashes of each fingerprint. Holds no I/O and reads no clock.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::CrashReport;

/// The crashes after which a request is refused.
pub const MAX_CRASHES: usize = 2;
/// The time for which a fingerprint is kept after its last crash.
pub const FINGERPRINT_TTL: Duration = Duration::from_hours(1);

/// The time within which reports of one upstream from different requests are taken for one crash: the same body sent
/// several times at once sees the same process die.
pub const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

struct Crash {
    request: RequestId,
    attempt: AttemptNo,
    upstream: UpstreamId,
    at: Instant,
}

impl Crash {
    fn is_same(&self, report: &CrashReport, now: Instant) -> bool {
        if self.request == report.request {
            return self.attempt == report.attempt;
        }
        let elapsed = now.saturating_duration_since(self.at);
        self.upstream == report.upstream && elapsed < SAME_CRASH_WINDOW
    }
}

struct Entry {
    /// Each crash once, however often it is reported.
    crashes: SmallVec<[Crash; MAX_CRASHES]>,
    last: Instant,
}

/// A bounded number of fingerprints with their crashes.
pub struct CrashTable {
    capacity: usize,
    entries: HashMap<Digest, Entry>,
}

impl CrashTable {
    /// Creates an empty book for `capacity` fingerprints; the one that crashed longest ago makes room.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
        }
    }

    /// Returns the number of fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no fingerprint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a crash.
    pub fn record(&mut self, report: &CrashReport, now: Instant) {
        if !self.entries.contains_key(&report.fingerprint) {
            self.make_room(now);
        }
        let entry = self.entries.entry(report.fingerprint);
        let entry = entry.or_insert_with(|| Entry {
            crashes: SmallVec::new(),
            last: now,
        });
        if is_over(entry, now) {
            entry.crashes.clear();
        }
        entry.last = now;
        let known = entry.crashes.iter().any(|c| c.is_same(report, now));
        if entry.crashes.len() < MAX_CRASHES && !known {
            entry.crashes.push(Crash {
                request: report.request,
                attempt: report.attempt,
                upstream: report.upstream.clone(),
                at: now,
            });
        }
    }

    /// Tells whether a fingerprint has crashed as many upstreams as allowed.
    pub fn is_quarantined(&self, fingerprint: &Digest, now: Instant) -> bool {
        self.entries
            .get(fingerprint)
            .is_some_and(|entry| !is_over(entry, now) && entry.crashes.len() >= MAX_CRASHES)
    }

    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < self.capacity {
            return;
        }
        self.entries.retain(|_, entry| !is_over(entry, now));
        if self.entries.len() < self.capacity {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&oldest);
        }
    }
}

fn is_over(entry: &Entry, now: Instant) -> bool {
    now.saturating_duration_since(entry.last) >= FINGERPRINT_TTL
}
