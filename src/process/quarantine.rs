//! Refusal of requests that keep crashing the upstreams which run them.

mod crash;
mod crash_quarantine;
mod crash_table;
mod evidence;
mod evidence_table;
mod interrupted_upstreams;
mod part_table;
mod trials;

use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::idempotency::hash_parts;
use crate::process::message::CrashReport;

pub use crash::SAME_CRASH_WINDOW;
pub use crash_quarantine::CrashQuarantine;
pub use crash_table::{CrashTable, FINGERPRINT_TTL, MAX_CRASHES};
pub use evidence_table::Dismissal;
pub use interrupted_upstreams::InterruptedUpstreams;
pub use part_table::{COMMON_CAUSE_WINDOW, MIN_PART_CRASHES, PART_TTL, PartTable};
pub use trials::{TrialTurn, Verdict};

/// Decides whether a request may run, by the crashes that it has caused.
#[async_trait]
pub trait Quarantine: Send + Sync {
    /// Returns whether a request has caused so many crashes that it must not run again.
    fn is_quarantined(&self, fingerprint: &Digest) -> bool;
    /// Reports that an upstream broke the request off while running it. This counts as a crash only if a probe then
    /// finds the upstream down. Returns when the other hosts know of the crash, or after a bounded time.
    async fn report_interruption(&self, report: CrashReport, address: SocketAddr);
    /// Records that an upstream ran a request, which was sent at `sent_at`, to its end: equal ones did not cause the crashes that this host
    /// knew of by then.
    fn record_sound(&self, fingerprint: &Digest, sent_at: Instant);
}

/// Probes whether an upstream is down.
#[async_trait]
pub trait UpstreamProbe: Send + Sync {
    /// Returns whether the upstream at `address` is down now.
    async fn is_down(&self, address: SocketAddr) -> bool;
}

/// Hashes customer, route and body: requests that agree in these share their crash count.
pub fn fingerprint(customer: &str, route: &str, body: &[&[u8]]) -> Digest {
    let mut parts = vec![customer.as_bytes(), route.as_bytes()];
    parts.extend_from_slice(body);
    hash_parts("hibiscusspread crash fingerprint v1", &parts)
}

/// Hashes a part of a prompt for `model`: all requests with the part share its crash count, whoever sends them.
pub fn part_fingerprint(model: &str, part: &str) -> Digest {
    let parts = [model.as_bytes(), part.as_bytes()];
    hash_parts("hibiscusspread prompt part fingerprint v1", &parts)
}

/// The hexadecimal digits of a fingerprint in the log.
const LOG_DIGITS: usize = 16;

/// Returns the first digits of a fingerprint, for the log.
pub fn short_digits(fingerprint: &Digest) -> String {
    let digits = blake3::Hash::from_bytes(*fingerprint).to_hex();
    digits[..LOG_DIGITS].to_owned()
}
