//! The evidence against a bounded number of fingerprints. Does no I/O and reads no clock.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Instant;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::{CrashId, CrashReport};
use crate::process::quarantine::crash::{Crash, crashes_apart};
use crate::process::quarantine::evidence::{Evidence, EvidenceRule};
use crate::process::quarantine::trials::{TrialTurn, Verdict};

/// What came of a sign that requests did not cause the crashes held against them.
#[derive(Debug, Default, Clone)]
pub struct Dismissal {
    /// The crashes that no longer count.
    pub crashes: SmallVec<[Crash; 2]>,
    /// Whether the fingerprint was suspected and no longer is.
    pub ends_suspicion: bool,
}

/// The evidence against fingerprints, judged by one rule.
#[derive(Debug)]
pub struct EvidenceTable {
    capacity: usize,
    rule: EvidenceRule,
    entries: HashMap<Digest, Evidence>,
}

impl EvidenceTable {
    /// Creates an empty table. When `capacity` fingerprints are stored, a new one evicts the one whose last crash is the
    /// oldest.
    pub fn new(capacity: usize, rule: EvidenceRule) -> Self {
        Self {
            capacity,
            rule,
            entries: HashMap::new(),
        }
    }

    /// Returns the number of stored fingerprints, expired ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the stored fingerprints, expired ones included.
    pub fn fingerprints(&self) -> impl Iterator<Item = &Digest> {
        self.entries.keys()
    }

    /// Returns whether a fingerprint is stored, perhaps an expired one.
    pub fn contains(&self, fingerprint: &Digest) -> bool {
        self.entries.contains_key(fingerprint)
    }

    /// Returns the evidence against a fingerprint, unless it has expired.
    pub fn get(&self, fingerprint: &Digest, now: Instant) -> Option<&Evidence> {
        let evidence = self.entries.get(fingerprint);
        evidence.filter(|evidence| !self.is_expired(evidence, now))
    }

    /// Returns the evidence against a fingerprint if it is suspected.
    pub fn suspected(&self, fingerprint: &Digest, now: Instant) -> Option<&Evidence> {
        let evidence = self.get(fingerprint, now);
        evidence.filter(|evidence| self.is_enough(evidence.counting()))
    }

    /// Decides whether a request with this fingerprint may run. `turn` gives this host's turn for a trial after so many crashes.
    pub fn judge(
        &mut self,
        fingerprint: &Digest,
        turn: impl FnOnce(usize) -> TrialTurn,
        now: Instant,
    ) -> Verdict {
        if self.suspected(fingerprint, now).is_none() {
            return Verdict::Allowed;
        }
        let evidence = self.entries.get_mut(fingerprint);
        evidence.map_or(Verdict::Allowed, |evidence| {
            evidence.judge(&self.rule, turn, now)
        })
    }

    /// Lets no request with this fingerprint through as a trial before `until`, as another host does.
    pub fn hold_trials(&mut self, fingerprint: &Digest, until: Instant) {
        if let Some(evidence) = self.entries.get_mut(fingerprint) {
            evidence.hold_trials(until);
        }
    }

    /// Returns whether these crashes make a fingerprint suspected.
    pub fn is_enough<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> bool {
        crashes_apart(crashes, self.rule.common_cause_window).len() >= self.rule.min_crashes
    }

    /// Records a reported crash of the process that started at `started`, in Unix milliseconds; `None` if that is not known.
    pub fn record(&mut self, report: &CrashReport, started: Option<u64>, now: Instant) {
        let common_cause_window = self.rule.common_cause_window;
        let crash = Crash::new(report, started, now);
        let evidence = self.entry(report.fingerprint, now);
        evidence.record(crash, common_cause_window);
    }

    /// Records that an upstream ran a request with this fingerprint, which was sent at `sent_at`, to its end: it did not cause the
    /// crashes before.
    pub fn record_sound(
        &mut self,
        fingerprint: &Digest,
        sent_at: Instant,
        now: Instant,
    ) -> Dismissal {
        self.dismiss(fingerprint, |crash| crash.at < sent_at, now)
    }

    /// Dismisses the crashes, reported within `time`, of the process of `upstream` that started at `started` and is still alive. Returns
    /// what came of it for each fingerprint.
    pub fn dismiss_crashes_of(
        &mut self,
        upstream: &UpstreamId,
        started: u64,
        time: &Range<Instant>,
        now: Instant,
    ) -> Vec<(Digest, Dismissal)> {
        let is_alive = |crash: &Crash| {
            let is_process = crash.upstream == *upstream && crash.started == Some(started);
            is_process && time.contains(&crash.at)
        };
        let named = self.entries.iter();
        let named = named.filter(|(_, evidence)| evidence.counting().any(is_alive));
        let fingerprints: Vec<_> = named.map(|(fingerprint, _)| *fingerprint).collect();
        let dismissals = fingerprints
            .into_iter()
            .map(|fingerprint| (fingerprint, self.dismiss(&fingerprint, is_alive, now)));
        dismissals.collect()
    }

    /// Dismisses the crash that a request caused, as another host found out that it did not.
    pub fn dismiss_crash(&mut self, crash: &CrashId, now: Instant) -> Dismissal {
        let is_named = |known: &Crash| known.request == crash.request;
        self.dismiss(&crash.fingerprint, is_named, now)
    }

    /// Dismisses the crashes of a fingerprint that are disproved.
    fn dismiss(
        &mut self,
        fingerprint: &Digest,
        is_disproved: impl Fn(&Crash) -> bool,
        now: Instant,
    ) -> Dismissal {
        let was_suspected = self.suspected(fingerprint, now).is_some();
        let Some(evidence) = self.entries.get_mut(fingerprint) else {
            return Dismissal::default();
        };
        let crashes = evidence.dismiss(is_disproved);
        let ends_suspicion = was_suspected && self.suspected(fingerprint, now).is_none();
        Dismissal {
            crashes,
            ends_suspicion,
        }
    }

    /// Returns the evidence against a fingerprint, to add to it; that of an expired one begins anew.
    pub fn entry(&mut self, fingerprint: Digest, now: Instant) -> &mut Evidence {
        let stored = self.entries.get(&fingerprint);
        if stored.is_none() {
            self.evict_if_full(now);
        } else if stored.is_some_and(|evidence| self.is_expired(evidence, now)) {
            self.entries.remove(&fingerprint);
        }
        let entry = self.entries.entry(fingerprint);
        entry.or_insert_with(|| Evidence::new(now))
    }

    fn is_expired(&self, evidence: &Evidence, now: Instant) -> bool {
        now.saturating_duration_since(evidence.last_reported()) >= self.rule.ttl
    }

    fn evict_if_full(&mut self, now: Instant) {
        if self.entries.len() < self.capacity {
            return;
        }
        let ttl = self.rule.ttl;
        self.entries
            .retain(|_, evidence| now.saturating_duration_since(evidence.last_reported()) < ttl);
        if self.entries.len() < self.capacity {
            return;
        }
        let oldest = self.entries.iter();
        let oldest = oldest.min_by_key(|(_, evidence)| evidence.last_reported());
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&oldest);
        }
    }
}
