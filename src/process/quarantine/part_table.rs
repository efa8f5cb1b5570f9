//! Finds the parts of prompts that crash upstreams. Does no I/O and reads no clock.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::CrashReport;
use crate::process::quarantine::SAME_CRASH_WINDOW;

/// The number of crashes from which requests with a part are refused.
pub const MIN_PART_CRASHES: usize = 3;

/// The crashes kept for each part: enough to tell the parts of the same requests apart.
const MAX_KEPT_CRASHES: usize = 8;

/// The time within which crashes of different upstreams count as one, because a single disruption may have ended them all.
pub const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(250);

/// How long requests with a part are refused after its last crash.
pub const PART_TTL: Duration = Duration::from_mins(5);

#[derive(Debug, Clone)]
struct Crash {
    request: RequestId,
    upstream: UpstreamId,
    /// When this host learned of it.
    at: Instant,
}

#[derive(Debug, Default)]
struct Part {
    /// Oldest first, one a request.
    crashes: SmallVec<[Crash; MIN_PART_CRASHES]>,
    /// When the last request with the part was sent that an upstream ran to its end.
    sound_at: Option<Instant>,
}

impl Part {
    /// Returns the crashes that count at `now`: a request that was sent after a crash and ran to its end shows that the part did
    /// not cause it.
    fn evidence(&self, now: Instant) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| {
            let is_recent = now.saturating_duration_since(crash.at) < PART_TTL;
            is_recent && self.sound_at.is_none_or(|sound_at| crash.at >= sound_at)
        })
    }

    fn is_suspected(&self, now: Instant) -> bool {
        count_events(self.evidence(now)) >= MIN_PART_CRASHES
    }

    fn last_at(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }
}

/// The crashes of a bounded number of parts of prompts.
///
/// A part is suspected if requests with it crashed upstreams several times. The requests that share a suspected part may share others
/// as well, so a request is refused for a part only if no other suspected part, which it lacks, explains the crashes.
#[derive(Debug)]
pub struct PartTable {
    capacity: usize,
    parts: HashMap<Digest, Part>,
}

impl PartTable {
    /// Creates an empty table. When it holds `capacity` parts, a new one evicts the one whose last crash is the oldest.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            parts: HashMap::new(),
        }
    }

    /// Records that a request with a part crashed an upstream. Returns whether the part is now suspected and was not before.
    pub fn record_crash(&mut self, report: &CrashReport, now: Instant) -> bool {
        if !self.parts.contains_key(&report.fingerprint) {
            self.evict_if_full();
        }
        let part = self.parts.entry(report.fingerprint).or_default();
        if part.crashes.iter().any(|c| c.request == report.request) {
            return false;
        }
        let was_suspected = part.is_suspected(now);
        if part.crashes.len() == MAX_KEPT_CRASHES {
            part.crashes.remove(0);
        }
        part.crashes.push(Crash {
            request: report.request,
            upstream: report.upstream.clone(),
            at: now,
        });
        !was_suspected && part.is_suspected(now)
    }

    /// Records that an upstream ran a request with `part`, which was sent at `sent_at`, to its end. Returns whether the part was
    /// suspected and no longer is.
    pub fn record_sound(&mut self, part: &Digest, sent_at: Instant, now: Instant) -> bool {
        let Some(part) = self.parts.get_mut(part) else {
            return false;
        };
        let was_suspected = part.is_suspected(now);
        part.sound_at = part.sound_at.max(Some(sent_at));
        was_suspected && !part.is_suspected(now)
    }

    /// Returns the part of a prompt with `parts` for which a request is refused.
    pub fn refused_part(&self, parts: &[Digest], now: Instant) -> Option<Digest> {
        let is_refused = |digest: &&Digest| {
            let Some(part) = self.suspected(digest, now) else {
                return false;
            };
            let others = self.parts.keys().filter(|other| !parts.contains(other));
            let mut suspected = others.filter_map(|other| self.suspected(other, now));
            suspected.all(|other| {
                let is_shared = |crash: &Crash| {
                    let mut crashes = other.evidence(now);
                    crashes.any(|c| c.request == crash.request)
                };
                let unexplained = part.evidence(now).filter(|crash| !is_shared(crash));
                count_events(unexplained) >= MIN_PART_CRASHES
            })
        };
        parts.iter().find(is_refused).copied()
    }

    fn suspected(&self, part: &Digest, now: Instant) -> Option<&Part> {
        let part = self.parts.get(part);
        part.filter(|part| part.is_suspected(now))
    }

    /// Returns the crashes of a suspected part, to store them; empty if it isn't suspected.
    pub fn crashes_of(&self, part: &Digest, now: Instant) -> Vec<(RequestId, UpstreamId)> {
        let part = self.suspected(part, now).into_iter();
        let crashes = part.flat_map(|part| part.evidence(now));
        crashes.map(|c| (c.request, c.upstream.clone())).collect()
    }

    /// Adds the crashes of a part that was suspected before this process started, unless the part is known.
    pub fn restore(&mut self, part: Digest, crashes: &[(RequestId, UpstreamId)], now: Instant) {
        if self.parts.contains_key(&part) {
            return;
        }
        self.evict_if_full();
        let kept = &crashes[crashes.len().saturating_sub(MAX_KEPT_CRASHES)..];
        // Their times are not stored; spaced by a window each counts by itself, as it did.
        let mut at = now;
        let mut restored: SmallVec<[Crash; MIN_PART_CRASHES]> = SmallVec::new();
        for (request, upstream) in kept.iter().rev() {
            restored.push(Crash {
                request: *request,
                upstream: upstream.clone(),
                at,
            });
            at = at.checked_sub(SAME_CRASH_WINDOW).unwrap_or(at);
        }
        restored.reverse();
        let part = self.parts.entry(part).or_default();
        part.crashes = restored;
    }

    fn evict_if_full(&mut self) {
        if self.parts.len() < self.capacity {
            return;
        }
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.last_at());
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.parts.remove(&oldest);
        }
    }
}

/// Counts crashes, oldest first, without those that have a cause in common with the one before.
fn count_events<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut counted: SmallVec<[&Crash; MAX_KEPT_CRASHES]> = SmallVec::new();
    for crash in crashes {
        let has_common_cause = counted.iter().any(|before| {
            let elapsed = crash.at.saturating_duration_since(before.at);
            elapsed < COMMON_CAUSE_WINDOW
                || (before.upstream == crash.upstream && elapsed < SAME_CRASH_WINDOW)
        });
        if !has_common_cause {
            counted.push(crash);
        }
    }
    counted.len()
}
