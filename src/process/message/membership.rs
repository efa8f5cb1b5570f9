//! Messages about the membership of hosts in the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;

/// A host as recorded in the store and in heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host's name in its settings.
    pub host: HostId,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The address of its peer listener.
    pub address: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it is shutting down and takes no new work.
    pub leaving: bool,
}

/// Tells that the sender is alive, and what it knows of the configuration and of failed hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's own record.
    pub from: Member,
    /// The configuration version that the sender has in force.
    pub version: Version,
    /// The time since the store confirmed that version as the newest; `None` if it never did.
    pub age: Option<Duration>,
    /// The hosts that the sender suspects to be down.
    pub suspected: SmallVec<[HostId; 4]>,
    /// Whether the sender had declared the receiver down. After a pause, a host detects by it that it was excluded.
    pub out: bool,
}

/// Tells that a host was declared down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDown {
    /// The host that is down.
    pub host: HostId,
    /// The incarnation that is down.
    pub incarnation: Incarnation,
    /// Whether the process is proven to be gone; false if it merely does not respond.
    pub proven: bool,
}

/// Tells that the sender is shutting down and gives up what it owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The sender.
    pub host: HostId,
    /// The incarnation that leaves; a restarted process is not affected.
    pub incarnation: Incarnation,
}
