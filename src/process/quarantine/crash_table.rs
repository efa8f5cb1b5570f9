//! Counts the crashes of each fingerprint. Does no I/O and reads no clock.

use std::ops::Range;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::message::{CrashId, CrashReport};
use crate::process::quarantine::evidence::{Evidence, EvidenceRule};
use crate::process::quarantine::evidence_table::{Dismissal, EvidenceTable};
use crate::process::quarantine::trials::{TrialTurn, Verdict};

/// The number of crashes from which a request is refused.
pub const MAX_CRASHES: usize = 2;
/// How long a fingerprint is kept after its last crash.
pub const FINGERPRINT_TTL: Duration = Duration::from_hours(1);

/// The crashes of a bounded number of fingerprints of whole requests.
#[derive(Debug)]
pub struct CrashTable(EvidenceTable);

impl CrashTable {
    /// Creates an empty table. When `capacity` fingerprints are stored, a new one evicts the one whose last crash is
    /// the oldest.
    pub fn new(capacity: usize) -> Self {
        let rule = EvidenceRule {
            min_crashes: MAX_CRASHES,
            ttl: FINGERPRINT_TTL,
            ..EvidenceRule::default()
        };
        Self(EvidenceTable::new(capacity, rule))
    }

    /// Returns the number of stored fingerprints, expired ones included.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no fingerprint is stored.
    pub fn is_empty(&self) -> bool {
        self.0.len() == 0
    }

    /// Records a reported crash at `now`, unless the same crash was reported before. `started` is the start of the upstream's process in
    /// Unix milliseconds, if known.
    pub fn record(&mut self, report: &CrashReport, started: Option<u64>, now: Instant) {
        self.0.record(report, started, now);
    }

    /// Records that an upstream ran a request with this fingerprint, which was sent at `sent_at`, to its end.
    pub fn record_sound(
        &mut self,
        fingerprint: &Digest,
        sent_at: Instant,
        now: Instant,
    ) -> Dismissal {
        self.0.record_sound(fingerprint, sent_at, now)
    }

    /// Dismisses a crash, as another host found out that the request did not cause it.
    pub fn dismiss(&mut self, crash: &CrashId, now: Instant) -> Dismissal {
        self.0.dismiss_crash(crash, now)
    }

    /// Dismisses the crashes, reported within `time`, of the process of `upstream` that started at `started` and is still alive.
    pub fn dismiss_crashes_of(
        &mut self,
        upstream: &UpstreamId,
        started: u64,
        time: &Range<Instant>,
        now: Instant,
    ) -> Vec<(Digest, Dismissal)> {
        self.0.dismiss_crashes_of(upstream, started, time, now)
    }

    /// Returns whether a fingerprint has caused `MAX_CRASHES` crashes and has not expired.
    pub fn is_quarantined(&self, fingerprint: &Digest, now: Instant) -> bool {
        self.0.suspected(fingerprint, now).is_some()
    }

    /// Decides whether a request with this fingerprint may run. `turn` gives this host's turn for a trial after so many crashes.
    pub fn judge(
        &mut self,
        fingerprint: &Digest,
        turn: impl FnOnce(usize) -> TrialTurn,
        now: Instant,
    ) -> Verdict {
        self.0.judge(fingerprint, turn, now)
    }

    /// Lets no request with this fingerprint through as a trial before `until`, as another host does.
    pub fn hold_trials(&mut self, fingerprint: &Digest, until: Instant) {
        self.0.hold_trials(fingerprint, until);
    }

    /// Returns the upstreams of the crashes of a fingerprint that count, for the log.
    pub fn crashed_upstreams(&self, fingerprint: &Digest, now: Instant) -> Vec<UpstreamId> {
        let crashes = self.0.get(fingerprint, now).into_iter();
        let crashes = crashes.flat_map(Evidence::counting);
        crashes.map(|crash| crash.upstream.clone()).collect()
    }
}
