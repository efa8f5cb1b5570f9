//! The services outside its fleet that a host uses.

use std::sync::Arc;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::host_list::HostList;
use crate::process::weight_store::WeightStore;

/// The platform's services, the upstreams and the clock, as trait objects.
#[derive(Clone)]
pub struct ExternalServices {
    /// The time source of all parts of the host.
    pub clock: Arc<dyn Clock>,
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// The platform's list of hosts.
    pub host_list: Arc<dyn HostList>,
    /// The platform's weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Creates clients for upstreams.
    pub upstreams: Arc<dyn UpstreamClients>,
}

/// A weight store with fixed limits, set by an operator in the `[weights]` section of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaticWeightStore {
    /// The bytes a second that all data centres together may read.
    pub rate: u64,
    /// The size of any model version's weights, in bytes.
    pub size: u64,
}

impl Default for StaticWeightStore {
    fn default() -> Self {
        Self {
            rate: 1 << 30,
            size: 16 << 30,
        }
    }
}

#[async_trait]
impl WeightStore for StaticWeightStore {
    async fn size(&self, _model: &ModelId, _version: &str) -> Option<u64> {
        Some(self.size)
    }

    fn rate(&self) -> u64 {
        self.rate
    }
}
