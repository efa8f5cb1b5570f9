//! The crashes of upstreams that are held against the requests with one fingerprint. Does no I/O and reads no clock.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::process::quarantine::crash::{Crash, MAX_KEPT_CRASHES, crashes_apart};
use crate::process::quarantine::trials::{TrialTurn, Trials, Verdict};

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

/// The crashes held against one fingerprint, oldest first.
#[derive(Debug)]
pub struct Evidence {
    crashes: SmallVec<[Crash; 2]>,
    /// When a crash was last reported.
    last_reported: Instant,
    trials: Trials,
}

impl Evidence {
    /// Creates evidence without a crash.
    pub fn new(now: Instant) -> Self {
        Self {
            crashes: SmallVec::new(),
            last_reported: now,
            trials: Trials::default(),
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
            self.trials.reset();
        }
        dismissed
    }

    /// Lets no request through as a trial before `until`, as another host does.
    pub fn hold_trials(&mut self, until: Instant) {
        self.trials.hold(until);
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
        let last_crash = self.counting().map(|crash| crash.at).max();
        let last_crash = last_crash.unwrap_or(now);
        let left = self.trials.make(crashes, last_crash, delay, turn, now);
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
