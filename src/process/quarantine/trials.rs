//! When a host lets a request through that equal ones, or others with a part of its prompt, make suspected. Does no I/O and reads no clock.

use std::time::{Duration, Instant};

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

/// This host's next trial.
#[derive(Debug, Clone, Copy)]
struct NextTrial {
    /// The crashes that it follows.
    crashes: usize,
    at: Instant,
    period: Duration,
}

/// This host's trials of one fingerprint.
#[derive(Debug, Default)]
pub struct Trials {
    next: Option<NextTrial>,
    /// The time until which the outcome of another host's trial may not be known.
    held_until: Option<Instant>,
}

impl Trials {
    /// Forgets the next trial, as some crashes no longer count.
    pub fn reset(&mut self) {
        self.next = None;
    }

    /// Makes no trial before `until`, as another host makes one.
    pub fn hold(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    /// Makes a trial if it is time for one, and returns the time that is left until then; zero if it is made. The first one comes
    /// `delay` after the last of so many `crashes`, at this host's turn, which `turn` gives.
    pub fn make(
        &mut self,
        crashes: usize,
        last_crash: Instant,
        delay: Duration,
        turn: impl FnOnce(usize) -> TrialTurn,
        now: Instant,
    ) -> Duration {
        let known = self.next.filter(|next| next.crashes == crashes);
        let mut next = known.unwrap_or_else(|| {
            let turn = turn(crashes);
            NextTrial {
                crashes,
                at: last_crash + delay + turn.wait,
                period: turn.period,
            }
        });
        let allowed_at = next.at.max(self.held_until.unwrap_or(next.at));
        let left = allowed_at.saturating_duration_since(now);
        if left.is_zero() {
            next.at = now + next.period.max(delay);
        }
        self.next = Some(next);
        left
    }
}
