//! How long ago the store confirmed the configuration in force.
//!
//! A confirmation that is relayed between hosts carries its age, as in the EDNS EXPIRE draft
//! (draft-andrews-dnsext-expire-00): the sender adds the time for which it held it, and the receiver counts from the
//! moment at which it asked, so that the time on the way is added too. Neither a chain nor a loop of hosts can
//! prolong it. Ages in messages that nobody asked for are not used, because such a message may lie in a socket
//! buffer for any time while its receiver is paused.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::shard::lock;

/// The default time for which keys are trusted without a confirmation; longer than the hour for which regions are
/// partitioned from each other.
pub const DEFAULT_KEY_TRUST: Duration = Duration::from_mins(90);

/// A confirmation by the store that a version is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// When the store or the peer was asked.
    pub asked_at: Instant,
    /// The age that the answer carried; zero from the store.
    pub age: Duration,
}

impl Confirmation {
    /// Returns the age at `now`.
    pub fn age_at(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.asked_at)
            .saturating_add(self.age)
    }

    /// Tells whether this confirmation is newer than `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let now = self.asked_at.max(other.asked_at);
        self.age_at(now) < other.age_at(now)
    }
}

/// The last confirmation known to this host, for admission and readiness.
#[derive(Debug)]
pub struct Freshness {
    /// The time for which keys are trusted; `None` without a store to confirm anything.
    trust: Option<Duration>,
    last: Mutex<Option<Confirmation>>,
}

impl Freshness {
    /// Creates the state of a host that had no confirmation yet.
    pub fn new(key_trust: Duration) -> Self {
        Self {
            trust: Some(key_trust),
            last: Mutex::default(),
        }
    }

    /// Creates the state of a host that serves with a document from a file, which nothing confirms.
    pub fn unlimited() -> Self {
        Self {
            trust: None,
            last: Mutex::default(),
        }
    }

    /// Takes a confirmation of the version in force unless a newer one is known.
    pub fn confirm(&self, confirmation: Confirmation) {
        let mut last = lock(&self.last);
        if last.is_none_or(|last| confirmation.is_newer_than(&last)) {
            *last = Some(confirmation);
        }
    }

    /// Returns the age of the last confirmation; `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        lock(&self.last).map(|last| last.age_at(now))
    }

    /// Checks that keys can be trusted at `now`.
    ///
    /// # Errors
    /// Returns a refusal of kind `Unavailable` if the last confirmation is too old, because a key may have been
    /// withdrawn since.
    pub fn check(&self, now: Instant) -> Result<(), Refusal> {
        let Some(trust) = self.trust else {
            return Ok(());
        };
        if self.age(now).is_some_and(|age| age <= trust) {
            return Ok(());
        }
        let message = "this host can't confirm that the key is still valid; repeat with another host or later";
        let figures = format!("age={:?} key_trust={trust:?}", self.age(now));
        Err(Refusal::not_run(RefusalKind::Unavailable, message).with_figures(figures))
    }

    /// Returns why the host is not ready at `now`, or `None` if it is.
    pub fn not_ready(&self, now: Instant) -> Option<String> {
        let trust = self.trust?;
        match self.age(now) {
            None => Some(
                "no configuration confirmed by the store yet; check the store and the peers"
                    .to_owned(),
            ),
            Some(age) if age > trust => Some(format!(
                "configuration last confirmed {} s ago, above key_trust of {} s; check the store and the peers",
                age.as_secs(),
                trust.as_secs()
            )),
            Some(_) => None,
        }
    }
}
