//! Finds the parts of prompts that crash upstreams. Does no I/O and reads no clock.

use std::ops::Range;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::message::{CrashId, CrashReport};
use crate::process::quarantine::SAME_CRASH_WINDOW;
use crate::process::quarantine::crash::Crash;
use crate::process::quarantine::evidence::{Evidence, EvidenceRule};
use crate::process::quarantine::evidence_table::{Dismissal, EvidenceTable};
use crate::process::quarantine::trials::{TrialTurn, Verdict};

/// The number of crashes from which requests with a part are refused.
pub const MIN_PART_CRASHES: usize = 3;

/// The time within which crashes of different upstreams count as one, because a single disruption may have ended them all.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(250);

/// How long requests with a part are refused after its last crash.
pub const PART_TTL: Duration = Duration::from_mins(5);

/// The time until the first trial of a part; longer than for a whole request, as each crash breaks off the many requests of an engine.
const PART_TRIAL_DELAY: Duration = Duration::from_secs(10);

/// The crashes of a bounded number of parts of prompts.
///
/// A part is suspected if requests with it crashed upstreams several times. The requests that share a suspected part may share others
/// as well, so a request is refused for a part only if no other suspected part, which it lacks, explains the crashes.
#[derive(Debug)]
pub struct PartTable(EvidenceTable);

impl PartTable {
    /// Creates an empty table. When it holds `capacity` parts, a new one evicts the one whose last crash is the oldest.
    pub fn new(capacity: usize) -> Self {
        let rule = EvidenceRule {
            min_crashes: MIN_PART_CRASHES,
            common_cause_window: COMMON_CAUSE_WINDOW,
            ttl: PART_TTL,
            trial_delay: PART_TRIAL_DELAY,
        };
        Self(EvidenceTable::new(capacity, rule))
    }

    /// Records that a request with a part crashed an upstream, whose process started at `started` in Unix milliseconds, if known.
    /// Returns whether the part is now suspected and was not before.
    pub fn record_crash(
        &mut self,
        report: &CrashReport,
        started: Option<u64>,
        now: Instant,
    ) -> bool {
        let was_suspected = self.is_suspected(&report.fingerprint, now);
        self.0.record(report, started, now);
        !was_suspected && self.is_suspected(&report.fingerprint, now)
    }

    /// Records that an upstream ran a request with `part`, which was sent at `sent_at`, to its end.
    pub fn record_sound(&mut self, part: &Digest, sent_at: Instant, now: Instant) -> Dismissal {
        self.0.record_sound(part, sent_at, now)
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

    /// Decides whether a request whose prompt has `parts` may run. `turn` gives this host's turn for a trial of a part after so many
    /// crashes. Returns the verdict with the part that it is about.
    pub fn judge(
        &mut self,
        parts: &[Digest],
        turn: impl FnOnce(&Digest, usize) -> TrialTurn,
        now: Instant,
    ) -> (Verdict, Option<Digest>) {
        let Some(part) = self.refused_part(parts, now) else {
            return (Verdict::Allowed, None);
        };
        let turn = |crashes| turn(&part, crashes);
        (self.0.judge(&part, turn, now), Some(part))
    }

    /// Lets no request with this fingerprint through as a trial before `until`, as another host does.
    pub fn hold_trials(&mut self, fingerprint: &Digest, until: Instant) {
        self.0.hold_trials(fingerprint, until);
    }

    /// Returns the part of a prompt with `parts` for which a request is refused, trials apart.
    pub fn refused_part(&self, parts: &[Digest], now: Instant) -> Option<Digest> {
        let is_refused = |digest: &&Digest| {
            let Some(part) = self.0.suspected(digest, now) else {
                return false;
            };
            let others = self.0.fingerprints().filter(|other| !parts.contains(other));
            let mut suspected = others.filter_map(|other| self.0.suspected(other, now));
            suspected.all(|other| {
                let is_shared = |crash: &Crash| {
                    let mut crashes = other.counting();
                    crashes.any(|c| c.request == crash.request)
                };
                let unexplained = part.counting().filter(|crash| !is_shared(crash));
                self.0.is_enough(unexplained)
            })
        };
        parts.iter().find(is_refused).copied()
    }

    fn is_suspected(&self, part: &Digest, now: Instant) -> bool {
        self.0.suspected(part, now).is_some()
    }

    /// Returns the crashes of a suspected part, to store them; empty if it isn't suspected.
    pub fn crashes_of(&self, part: &Digest, now: Instant) -> Vec<(RequestId, UpstreamId)> {
        let part = self.0.suspected(part, now).into_iter();
        let crashes = part.flat_map(Evidence::counting);
        crashes.map(|c| (c.request, c.upstream.clone())).collect()
    }

    /// Adds the crashes of a part that was suspected before this process started, unless the part is known.
    pub fn restore(&mut self, part: Digest, crashes: &[(RequestId, UpstreamId)], now: Instant) {
        if self.0.contains(&part) {
            return;
        }
        // Their times are not stored; spaced by a window each counts by itself, as it did.
        let mut at = now;
        let mut restored: Vec<_> = Vec::with_capacity(crashes.len());
        for (request, upstream) in crashes.iter().rev() {
            let report = CrashReport {
                fingerprint: part,
                request: *request,
                attempt: 1,
                upstream: upstream.clone(),
            };
            restored.push(Crash::new(&report, None, at));
            at = at.checked_sub(SAME_CRASH_WINDOW).unwrap_or(at);
        }
        restored.reverse();
        self.0.entry(part, now).restore(restored);
    }
}
