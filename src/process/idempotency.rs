//! Requests that run at most once: a record of the idempotency key is written by compare-and-swap before the
//! request is sent. Keys are hashed into shards, and the records of a shard are one value in the store.

mod local;
mod owner;
mod records;
mod router;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::message::{ClaimOnce, FinishOnce, OnceReply};

pub use local::LocalIdempotency;
pub use owner::IdempotencyOwner;
pub use records::{ClaimDecision, IdempotencyRecords, MAX_RECORDS, RECORD_TTL};
pub use router::SharedIdempotency;

/// The largest body of a stored answer, in bytes. Larger answers are not stored.
pub const MAX_ANSWER_BYTES: usize = 16 << 10;
/// The number of shards that keys are hashed into.
const SHARD_COUNT: u16 = 1024;

/// Claims idempotency keys, and records the outcomes of their requests.
#[async_trait]
pub trait Idempotency: Send + Sync {
    /// Claims a key. The request may be sent only after `OnceReply::Claimed`, and only once for each claim.
    async fn claim(&self, claim: ClaimOnce) -> OnceReply;
    /// Records an outcome. Until then repeats get `OnceReply::Started`.
    async fn finish(&self, finish: FinishOnce);
}

/// Hashes customer, route and idempotency key.
pub fn key_hash(customer: &str, route: &str, key: &str) -> Digest {
    hash_parts(
        "hibiscusspread once key v1",
        &[customer, route, key].map(str::as_bytes),
    )
}

/// Hashes the parts of a request that must be equal in its repeats.
pub fn body_hash(method: &str, path: &str, body: &[u8]) -> Digest {
    let parts = [method.as_bytes(), path.as_bytes(), body];
    hash_parts("hibiscusspread once body v1", &parts)
}

/// Hashes parts with their lengths, so that moving bytes from one part to the next changes the hash.
pub(crate) fn hash_parts(context: &str, parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// Returns the shard of a key.
fn shard_of(key: &Digest) -> u16 {
    u16::from_le_bytes([key[0], key[1]]) % SHARD_COUNT
}

/// Returns the store key of a shard.
fn shard_key(shard: u16) -> String {
    format!("once/{shard:04}")
}
