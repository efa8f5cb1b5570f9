//! What lives as long as a process.

pub mod clock;
pub mod host_list;
pub mod idempotency;
pub mod ids;
pub mod limits;
pub mod members;
pub mod membership;
pub mod message;
pub mod node;
pub mod peer;
pub mod placer;
pub mod quarantine;
pub mod settings;
pub mod shard;
pub mod store;
pub mod token_bucket;
