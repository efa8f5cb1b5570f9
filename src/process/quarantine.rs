//! Requests that crash the upstreams which run them.

mod crash_quarantine;
mod crash_table;

use std::net::SocketAddr;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::idempotency::hash_parts;
use crate::process::message::CrashReport;

pub use crash_quarantine::CrashQuarantine;
pub use crash_table::{CrashTable, FINGERPRINT_TTL, MAX_CRASHES, SAME_CRASH_WINDOW};

/// Knows the fingerprints of requests that crash upstreams.
#[async_trait]
pub trait Quarantine: Send + Sync {
    /// Tells whether a request has crashed so many upstreams that it must not run again.
    fn is_quarantined(&self, fingerprint: &Digest) -> bool;
    /// Takes note that an upstream broke off the request that it was running. It counts as a crash only if the
    /// upstream is found down. Returns when other hosts know of it, or after a bounded time.
    async fn report_interruption(&self, report: CrashReport, address: SocketAddr);
}

/// Finds out whether an upstream is down.
#[async_trait]
pub trait UpstreamProbe: Send + Sync {
    /// Tells whether the upstream at `address` is down now.
    async fn is_down(&self, address: SocketAddr) -> bool;
}

/// Hashes what makes two requests the same for the quarantine.
pub fn fingerprint(customer: &str, route: &str, body: &[&[u8]]) -> Digest {
    let mut parts = vec![customer.as_bytes(), route.as_bytes()];
    parts.extend_from_slice(body);
    hash_parts("hibiscusspread crash fingerprint v1", &parts)
}
