//! The interface to the platform's list of hosts.

use async_trait::async_trait;

use crate::prelude::*;

/// The state of a host on the platform's list, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Live,
    /// About to be stopped.
    Leaving,
}

/// A host on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// The name of the host.
    pub host: HostId,
    /// The data centre that the platform runs it in.
    pub data_centre: DataCentreId,
    /// Whether the platform is about to stop it.
    pub state: ListedState,
}

/// The platform's list of hosts, which lags.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the listed hosts, or `None` if the list can't be read.
    async fn hosts(&self) -> Option<Vec<ListedHost>>;
}
