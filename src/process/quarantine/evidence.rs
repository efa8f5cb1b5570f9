//! The crashes of upstreams that are held against the requests with one fingerprint. Does no I/O and reads no clock.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::message::CrashReport;

/// The shortest time for which an upstream that crashed is gone. Reports of one upstream from different requests count as the same
/// crash for that long: if the same body was sent several times at once, one crash interrupts all of these requests.
pub const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The crashes kept for each fingerprint: enough to tell the parts of the same requests apart.
const MAX_KEPT_CRASHES: usize = 8;

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
    is_dismissed: bool,
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

    fn is_same(&self, other: &Self) -> bool {
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

/// How much evidence makes a fingerprint suspected, and how long it stays so.
#[derive(Debug, Clone, PartialEq)]
pub struct EvidenceRule {
    /// The crashes, apart from each other, from which a fingerprint is suspected.
    pub min_crashes: usize,
    /// The time within which crashes of different upstreams count as one, because a single disruption may have ended them all.
    pub common_cause_window: Duration,
    /// How long a fingerprint is kept after its last crash.
    pub ttl: Duration,
    /// The time from the crash that made a fingerprint suspected to the first trial; doubles with each crash after it.
    pub trial_delay: Duration,
}

impl Default for EvidenceRule {
    fn default() -> Self {
        Self {
            min_crashes: 2,
            common_cause_window: Duration::ZERO,
            ttl: Duration::from_hours(1),
            trial_delay: Duration::from_secs(5),
        }
    }
}

/// The number of failed trials after which a fingerprint stays refused until its evidence expires. Each costs an upstream.
const MAX_FAILED_TRIALS: usize = 2;

/// When a host may let a request with a suspected fingerprint through, after the delay for all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialTurn {
    /// The time until its first turn.
    pub wait: Duration,
    /// The time in which all hosts have one.
    pub period: Duration,
}

/// Whether a request may run, as far as its fingerprint tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Its fingerprint is not suspected.
    Allowed,
    /// It may run, at one upstream, to show whether its fingerprint is suspected for a reason.
    Trial,
    /// It must not run.
    Refused {
        /// The time after which this host lets the next request through.
        retry_after: Duration,
    },
}

/// This host's next trial of a fingerprint.
#[derive(Debug, Clone, Copy)]
struct Trial {
    /// The crashes that it follows.
    crashes: usize,
    at: Instant,
    period: Duration,
}

/// The crashes held against one fingerprint, oldest first.
#[derive(Debug)]
pub struct Evidence {
    crashes: SmallVec<[Crash; 2]>,
    /// When a crash was last reported.
    last_reported: Instant,
    trial: Option<Trial>,
    /// The time until which the outcome of another host's trial may not be known.
    held_until: Option<Instant>,
}

impl Evidence {
    /// Creates evidence without a crash.
    pub fn new(now: Instant) -> Self {
        Self {
            crashes: SmallVec::new(),
            last_reported: now,
            trial: None,
            held_until: None,
        }
    }

    /// Adds a reported crash, unless it is known. If as many are kept as may be, one that adds nothing yields to it.
    pub fn record(&mut self, crash: Crash, common_cause_window: Duration) {
        self.last_reported = crash.at;
        if self.crashes.iter().any(|known| known.is_same(&crash)) {
            return;
        }
        self.crashes.push(crash);
        if self.crashes.len() <= MAX_KEPT_CRASHES {
            return;
        }
        let redundant = self.redundant_crash(common_cause_window);
        self.crashes.remove(redundant.unwrap_or(MAX_KEPT_CRASHES));
    }

    /// Returns the place of the first crash that does not count, or not by itself.
    fn redundant_crash(&self, common_cause_window: Duration) -> Option<usize> {
        let apart = crashes_apart(self.counting(), common_cause_window);
        let is_apart = |crash: &Crash| apart.iter().any(|kept| std::ptr::eq(*kept, crash));
        self.crashes.iter().position(|crash| !is_apart(crash))
    }

    /// Replaces the crashes by those that a host stored, oldest first.
    pub fn restore(&mut self, crashes: impl IntoIterator<Item = Crash>) {
        self.crashes = crashes.into_iter().take(MAX_KEPT_CRASHES).collect();
    }

    /// Dismisses the crashes that are disproved, and returns them.
    pub fn dismiss(&mut self, is_disproved: impl Fn(&Crash) -> bool) -> SmallVec<[Crash; 2]> {
        let counting = self.crashes.iter_mut().filter(|crash| !crash.is_dismissed);
        let disproved = counting.filter(|crash| is_disproved(crash));
        let dismissed: SmallVec<_> = disproved
            .map(|crash| {
                crash.is_dismissed = true;
                crash.clone()
            })
            .collect();
        if !dismissed.is_empty() {
            self.trial = None;
        }
        dismissed
    }

    /// Lets no request through as a trial before `until`, as another host does.
    pub fn hold_trials(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    /// Decides whether a request with this fingerprint, which is suspected, may run. `turn` gives this host's turn for a trial after so
    /// many crashes.
    pub fn judge(
        &mut self,
        rule: &EvidenceRule,
        turn: impl FnOnce(usize) -> TrialTurn,
        now: Instant,
    ) -> Verdict {
        let expires_in = rule
            .ttl
            .saturating_sub(now.saturating_duration_since(self.last_reported));
        let crashes = crashes_apart(self.counting(), rule.common_cause_window).len();
        let failed_trials = crashes.saturating_sub(rule.min_crashes);
        if failed_trials >= MAX_FAILED_TRIALS {
            let retry_after = expires_in;
            return Verdict::Refused { retry_after };
        }
        let delay = rule.trial_delay * (1 << failed_trials);
        let known = self.trial.filter(|trial| trial.crashes == crashes);
        let mut trial = known.unwrap_or_else(|| {
            let turn = turn(crashes);
            let last_crash = self.counting().map(|crash| crash.at).max();
            Trial {
                crashes,
                at: last_crash.unwrap_or(now) + delay + turn.wait,
                period: turn.period,
            }
        });
        let allowed_at = trial.at.max(self.held_until.unwrap_or(trial.at));
        let left = allowed_at.saturating_duration_since(now);
        if left.is_zero() {
            trial.at = now + trial.period.max(delay);
        }
        self.trial = Some(trial);
        if left.is_zero() {
            Verdict::Trial
        } else {
            let retry_after = left.min(expires_in);
            Verdict::Refused { retry_after }
        }
    }

    /// Returns the crashes that count.
    pub fn counting(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_dismissed)
    }

    /// Returns when a crash was last reported.
    pub fn last_reported(&self) -> Instant {
        self.last_reported
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
