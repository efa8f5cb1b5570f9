//! A whole fleet in one process: hosts on loopback with emulated surroundings.

use std::time::Duration;

use crate::emulator::environment::{Environment, hosts_of};
use crate::emulator::http::any_loopback;
use crate::load::shape::Shape;
use crate::process::host_list::ListedHost;
use crate::process::node::Node;
use crate::process::settings::{PeerSettings, Settings};

/// The longest wait until all hosts are ready.
const READY_WAIT: Duration = Duration::from_secs(20);

/// The time between two looks at whether the hosts are ready.
const READY_CHECK: Duration = Duration::from_millis(50);

/// The time after which the owners of customers' buckets hold all they can: a loan lease after the start.
pub const WARM_UP: Duration = Duration::from_secs(12);

/// A running fleet.
pub struct Fleet {
    /// The hosts.
    pub nodes: Vec<Node>,
    /// Everything outside.
    pub environment: Environment,
    settings: Settings,
}

impl Fleet {
    /// Starts the fleet of a shape; `settings` are those of each host but for its name and addresses.
    ///
    /// # Errors
    /// Returns an I/O error if an address can't be bound, the document of the shape is not valid or the hosts do not get ready.
    pub async fn start(shape: &Shape, settings: Settings) -> std::io::Result<Self> {
        let mut fleet = Self {
            nodes: Vec::new(),
            environment: Environment::start(shape).await?,
            settings,
        };
        for host in hosts_of(shape) {
            fleet.add(&host).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts a host.
    ///
    /// # Errors
    /// Returns the I/O error if an address can't be bound.
    pub async fn add(&mut self, listed: &ListedHost) -> std::io::Result<()> {
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

    /// Waits until all hosts take work.
    ///
    /// # Errors
    /// Returns an I/O error that names what the first host still lacks after 20 s.
    pub async fn wait_until_ready(&self) -> std::io::Result<()> {
        let deadline = tokio::time::Instant::now() + READY_WAIT;
        while let Some(reason) = self.nodes.iter().find_map(Node::not_ready) {
            if tokio::time::Instant::now() > deadline {
                return Err(std::io::Error::other(format!("host not ready: {reason}")));
            }
            tokio::time::sleep(READY_CHECK).await;
        }
        Ok(())
    }

    /// Returns the callers' addresses of the hosts.
    pub fn callers_addresses(&self) -> Vec<String> {
        let addresses = self.nodes.iter().map(|n| n.callers_address.to_string());
        addresses.collect()
    }

    /// Lets open requests finish and stops all hosts.
    pub async fn drain(self) {
        for node in self.nodes {
            node.drain().await;
        }
    }
}
