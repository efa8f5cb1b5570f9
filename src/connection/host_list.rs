//! The client of the platform's list of hosts, see `docs/protocols.md`.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::connection::http_client::HttpClient;
use crate::prelude::*;
use crate::process::host_list::{HostList, ListedHost, ListedState};

/// The URL path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// The time limit of one read; the list is read every 10 s.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The JSON form of a `ListedHost`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHost {
    host: HostId,
    data_centre: DataCentreId,
    leaving: bool,
}

impl From<ListedHost> for WireHost {
    fn from(listed: ListedHost) -> Self {
        Self {
            host: listed.host,
            data_centre: listed.data_centre,
            leaving: listed.state == ListedState::Leaving,
        }
    }
}

impl From<WireHost> for ListedHost {
    fn from(wire: WireHost) -> Self {
        Self {
            host: wire.host,
            data_centre: wire.data_centre,
            state: if wire.leaving {
                ListedState::Leaving
            } else {
                ListedState::Live
            },
        }
    }
}

/// The platform's list of hosts, reached over HTTP.
pub struct HttpHostList {
    uri: String,
    client: HttpClient,
}

impl HttpHostList {
    /// Creates a client for the list at `address` (`host:port`).
    pub fn new(address: &str) -> Self {
        Self {
            uri: format!("http://{address}{HOSTS_PATH}"),
            client: HttpClient::default(),
        }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn hosts(&self) -> Option<Vec<ListedHost>> {
        match self
            .client
            .get_json::<Vec<WireHost>>(&self.uri, TIMEOUT)
            .await
        {
            Ok(hosts) => Some(hosts.into_iter().map(ListedHost::from).collect()),
            Err(e) => {
                log::warn!("failed to read the host list: {}", e.cause);
                None
            }
        }
    }
}
