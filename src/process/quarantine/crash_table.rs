//! Counts the crashes of each fingerprint. Does no I/O and reads no clock.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::CrashReport;

/// The number of crashes from which a request is refused.
pub const MAX_CRASHES: usize = 2;
/// How long a fingerprint is kept after its last crash.
pub const FINGERPRINT_TTL: Duration = Duration::from_hours(1);

/// How long reports of one upstream from different requests count as the same crash: if the same body was sent several
/// times at once, one crash interrupts all of these requests.
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
    /// The distinct crashes; repeated reports are not added.
    crashes: SmallVec<[Crash; MAX_CRASHES]>,
    last_reported: Instant,
}

/// The crashes of a bounded number of fingerprints.
pub struct CrashTable {
    capacity: usize,
    entries: HashMap<Digest, Entry>,
}

impl CrashTable {
    /// Creates an empty table. When `capacity` fingerprints are stored, a new one evicts the one whose last crash is
    /// the oldest.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
        }
    }

    /// Returns the number of stored fingerprints, expired ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a reported crash at `now`, unless the same crash was reported before.
    pub fn record(&mut self, report: &CrashReport, now: Instant) {
        if !self.entries.contains_key(&report.fingerprint) {
            self.evict_if_full(now);
        }
        let entry = self.entries.entry(report.fingerprint);
        let entry = entry.or_insert_with(|| Entry {
            crashes: SmallVec::new(),
            last_reported: now,
        });
        if is_expired(entry, now) {
            entry.crashes.clear();
        }
        entry.last_reported = now;
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

    /// Returns whether a fingerprint has caused `MAX_CRASHES` crashes and has not expired.
    pub fn is_quarantined(&self, fingerprint: &Digest, now: Instant) -> bool {
        self.entries
            .get(fingerprint)
            .is_some_and(|entry| !is_expired(entry, now) && entry.crashes.len() >= MAX_CRASHES)
    }

    /// Returns the upstreams of the crashes of a fingerprint, for the log.
    pub fn crashed_upstreams(&self, fingerprint: &Digest) -> Vec<UpstreamId> {
        let crashes = self.entries.get(fingerprint).into_iter();
        let crashes = crashes.flat_map(|entry| &entry.crashes);
        crashes.map(|crash| crash.upstream.clone()).collect()
    }

    fn evict_if_full(&mut self, now: Instant) {
        if self.entries.len() < self.capacity {
            return;
        }
        self.entries.retain(|_, entry| !is_expired(entry, now));
        if self.entries.len() < self.capacity {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_reported);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&oldest);
        }
    }
}

fn is_expired(entry: &Entry, now: Instant) -> bool {
    now.saturating_duration_since(entry.last_reported) >= FINGERPRINT_TTL
}
