//! A fleet in one process: hosts on loopback with emulated external systems.

use std::time::Duration;

use crate::emulator::environment::{Environment, hosts_of};
use crate::emulator::http::any_loopback;
use crate::load::shape::Shape;
use crate::process::host_list::ListedHost;
use crate::process::node::Node;
use crate::process::settings::{PeerSettings, Settings};

/// The timeout for all hosts to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The time from the start until the owners of customers' buckets hold their full share: one loan lease.
pub const BUCKET_WARM_UP: Duration = Duration::from_secs(12);

/// The hosts of a fleet in one process, with the external systems that they use.
pub struct Fleet {
    /// The hosts in the order in which they were added.
    pub nodes: Vec<Node>,
    /// The external systems that the hosts use.
    pub environment: Environment,
    settings: Settings,
}

impl Fleet {
    /// Starts the fleet of a shape. Each host gets `settings` with a name, a secret and addresses of its own.
    ///
    /// # Errors
    /// Returns an I/O error if an address can't be bound, the document of the shape is not valid or the hosts don't
    /// become ready in time.
    pub async fn start(shape: &Shape, settings: Settings) -> std::io::Result<Self> {
        let mut fleet = Self {
            nodes: Vec::new(),
            environment: Environment::start(shape).await?,
            settings,
        };
        for host in hosts_of(shape) {
            fleet.add_host(&host).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts a host and adds it to the fleet.
    ///
    /// # Errors
    /// Returns the I/O error if an address can't be bound.
    pub async fn add_host(&mut self, listed: &ListedHost) -> std::io::Result<()> {
        let settings = Settings {
            host: listed.host.clone(),
            data_centre: listed.data_centre.clone(),
            callers_address: any_loopback(),
            operators_address: Some(any_loopback()),
            peer: PeerSettings {
                address: any_loopback(),
                secret: "emulated fleet".to_owned(),
            },
            drain_delay: Duration::ZERO,
            ..self.settings.clone()
        };
        let node = Node::join(settings, self.environment.outside()).await?;
        self.nodes.push(node);
        Ok(())
    }

    /// Waits until all hosts are ready.
    ///
    /// # Errors
    /// Returns an I/O error with the reason of the first host that is not ready after `READY_TIMEOUT`.
    pub async fn wait_until_ready(&self) -> std::io::Result<()> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while let Some(reason) = self.nodes.iter().find_map(Node::not_ready) {
            if tokio::time::Instant::now() > deadline {
                return Err(std::io::Error::other(format!("host not ready: {reason}")));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the addresses at which the hosts serve callers.
    pub fn callers_addresses(&self) -> Vec<String> {
        let addresses = self.nodes.iter().map(|n| n.callers_address.to_string());
        addresses.collect()
    }

    /// Drains and stops the hosts one after the other.
    pub async fn drain(self) {
        for node in self.nodes {
            node.drain().await;
        }
    }
}
