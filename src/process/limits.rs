//! The interface to customers' rate limits, and its implementation for a single host.

use std::collections::HashMap;
use std::sync::Arc;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply, Settle};
use crate::process::shard::Shards;
use crate::process::token_bucket::TokenBucket;
use crate::version::cell::VersionCell;

/// Enforces each customer's rate and burst, in tokens.
#[async_trait]
pub trait Limits: Send + Sync {
    /// Takes tokens from a customer's bucket, whichever host holds it.
    async fn charge(&self, charge: Charge) -> ChargeReply;
    /// Returns the unused tokens of a charge to the bucket.
    async fn settle(&self, settle: Settle);
}

/// Limits of a single-host deployment, where the host holds every customer's whole rate and burst.
pub struct LocalLimits {
    versions: Arc<VersionCell>,
    clock: Arc<dyn Clock>,
    buckets: Shards<HashMap<CustomerId, TokenBucket>>,
}

impl LocalLimits {
    /// Creates limits that use the rates and bursts of the current version in `versions`.
    pub fn new(versions: Arc<VersionCell>, clock: Arc<dyn Clock>) -> Self {
        Self {
            versions,
            clock,
            buckets: Shards::default(),
        }
    }
}

#[async_trait]
impl Limits for LocalLimits {
    async fn charge(&self, charge: Charge) -> ChargeReply {
        let compiled = self.versions.current();
        let Some(customer) = compiled.customer(&charge.customer) else {
            return ChargeReply::NotOwner;
        };
        if charge.tokens > customer.burst {
            return ChargeReply::TooLarge {
                burst: customer.burst,
            };
        }
        let now = self.clock.now();
        let mut shard = self.buckets.lock(&charge.customer);
        let bucket = shard
            .entry(charge.customer.clone())
            .or_insert_with(|| TokenBucket::full(customer.rate, customer.burst, now));
        bucket.set_limit(customer.rate, customer.burst, now);
        match bucket.take(charge.tokens, now) {
            Ok(()) => ChargeReply::Granted { epoch: 0 },
            Err(wait) => ChargeReply::Later(wait),
        }
    }

    async fn settle(&self, settle: Settle) {
        let now = self.clock.now();
        let mut shard = self.buckets.lock(&settle.customer);
        if let Some(bucket) = shard.get_mut(&settle.customer) {
            bucket.refund(settle.unused, now);
        }
    }
}
