//! The age of the store's last confirmation that the configuration in force is the newest.
//!
//! A confirmation that is relayed between hosts carries its age, as in the EDNS EXPIRE draft
//! (draft-andrews-dnsext-expire-00): the sender adds the time for which it held it, and the receiver counts from the
//! moment of its request, so that the time in transit is added too. Neither a chain nor a loop of hosts can prolong
//! it. Ages in unrequested messages are not used, because such a message may stay in a socket buffer for any time
//! while its receiver is suspended.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::shard::lock;

/// The default time for which keys are trusted without a confirmation; longer than the network partitions between
/// regions to be survived, of one hour.
pub const DEFAULT_KEY_TRUST: Duration = Duration::from_mins(90);

/// A confirmation by the store that a version is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// When the store or the peer was asked.
    pub asked_at: Instant,
    /// The age in the answer; zero from the store.
    pub age: Duration,
}

impl Confirmation {
    /// Returns the age at `now`, at least the true time since the store's confirmation.
    pub fn age_at(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.asked_at)
            .saturating_add(self.age)
    }

    /// Returns whether this confirmation is newer than `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let now = self.asked_at.max(other.asked_at);
        self.age_at(now) < other.age_at(now)
    }
}

/// The last confirmation that this host knows, for admission and readiness.
#[derive(Debug)]
pub struct Freshness {
    /// The time for which keys are trusted after a confirmation; `None` for ever, without a store that confirms.
    key_trust: Option<Duration>,
    last: Mutex<Option<Confirmation>>,
}

impl Freshness {
    /// Creates the state of a host without a confirmation, which trusts no keys yet.
    pub fn new(key_trust: Duration) -> Self {
        Self {
            key_trust: Some(key_trust),
            last: Mutex::default(),
        }
    }

    /// Creates the state of a host with a document from a file, which is never confirmed and always trusted.
    pub fn unlimited() -> Self {
        Self {
            key_trust: None,
            last: Mutex::default(),
        }
    }

    /// Stores a confirmation of the version in force unless a newer one is known.
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

    /// Checks that keys are trusted at `now`.
    ///
    /// # Errors
    /// Returns a refusal of kind `Unavailable` if the last confirmation is too old, because a key may have been
    /// withdrawn since.
    pub fn check(&self, now: Instant) -> Result<(), Refusal> {
        let Some(key_trust) = self.key_trust else {
            return Ok(());
        };
        if self.age(now).is_some_and(|age| age <= key_trust) {
            return Ok(());
        }
        let message = "this host can't confirm that the key is still valid; repeat with another host or later";
        let figures = format!("age={:?} key_trust={key_trust:?}", self.age(now));
        Err(Refusal::not_run(RefusalKind::Unavailable, message).with_figures(figures))
    }

    /// Returns why the host is not ready at `now`, or `None` if it is.
    pub fn not_ready(&self, now: Instant) -> Option<String> {
        let key_trust = self.key_trust?;
        match self.age(now) {
            None => Some(
                "no configuration confirmed by the store yet; check the store and the peers"
                    .to_owned(),
            ),
            Some(age) if age > key_trust => Some(format!(
                "configuration last confirmed {} s ago, above key_trust of {} s; check the store and the peers",
                age.as_secs(),
                key_trust.as_secs()
            )),
            Some(_) => None,
        }
    }
}
