//! Times that come from outside the process: from upstreams, callers, the platform, operators and other hosts.
//!
//! The sum of a clock and a time panics on overflow, so none of these times may be used as it was stated.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

use crate::prelude::*;

/// The longest time that counts; a longer one counts as this. It outlasts each process, and sums of many of them don't overflow.
pub const MAX_STATED_TIME: Duration = Duration::from_hours(24 * 365);

/// Returns the time that counts of a stated one.
pub fn bounded(stated: Duration) -> Duration {
    stated.min(MAX_STATED_TIME)
}

/// Returns the time that counts of a stated number of seconds; `None` if that is negative, no number or out of the range of times.
pub fn from_secs(seconds: f64) -> Option<Duration> {
    let stated = Duration::try_from_secs_f64(seconds);
    stated.ok().map(bounded)
}

/// Reads a time of a message as it counts, for `#[serde(deserialize_with)]`.
///
/// # Errors
/// Returns the error of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    Duration::deserialize(deserializer).map(bounded)
}

/// Returns the time that `tokens` take at `rate` tokens per second; a rate of 0 counts as 1.
pub fn time_at_rate(tokens: Tokens, rate: Tokens) -> Duration {
    from_secs(tokens as f64 / rate.max(1) as f64).unwrap_or(MAX_STATED_TIME)
}
