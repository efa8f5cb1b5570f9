//! The interface to the platform's rate-limited weight store.

use async_trait::async_trait;

use crate::prelude::*;

/// The limits of the store that engines load model weights from.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns the size of a model version's weights in bytes; `None` if they are not stored or the store is
    /// unavailable.
    async fn size(&self, model: &ModelId, version: &str) -> Option<u64>;

    /// Returns the bytes a second that all data centres together may read.
    fn rate(&self) -> u64;
}
