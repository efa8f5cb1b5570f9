//! What failure detection asks of its shell, and what it tells other modules.

use std::time::Duration;

use crate::prelude::*;
use crate::process::message::{Heartbeat, HostDown, Leaving, Member, PeerRequest};

/// A change of the set of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// A host is there, or there again after it was declared down without proof.
    Joined(Member),
    /// A host takes no new work any more.
    Leaving(Leaving),
    /// A host is down. Comes a second time, with proof, if proof is found later.
    HostDown(HostDown),
    /// This process did not run for a while; whatever it holds by time may have lapsed.
    Paused(Duration),
    /// Other hosts had declared this one down; whatever it owned may have other owners.
    WasDeclaredDown,
    /// The platform lists this host as leaving.
    ListedLeaving,
}

/// What the shell does for failure detection.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a heartbeat and passes its outcome back under `seq`.
    SendHeartbeat {
        /// The receiver.
        to: HostId,
        /// The incarnation that is expected to answer.
        incarnation: Incarnation,
        /// The number of the question.
        seq: u64,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Sends a message whose outcome does not matter.
    Notify {
        /// The receiver.
        to: HostId,
        /// The message.
        req: PeerRequest,
    },
    /// Passes an event to other modules.
    Publish(MemberEvent),
    /// Forgets the address of a host.
    RemoveAddress(HostId),
}

/// What heartbeats carry for the distribution of configurations.
pub trait HeartbeatPayload: Send + Sync {
    /// Returns this host's configuration version and the age of its confirmation by the store.
    fn payload(&self) -> (Version, Option<Duration>);
    /// Learns another host's version and age.
    fn receive(&self, from: &HostId, version: Version, age: Option<Duration>);
}

/// Content of hosts without a shared configuration.
#[derive(Debug, Default, Clone, Copy)]
pub struct EmptyPayload;

impl HeartbeatPayload for EmptyPayload {
    fn payload(&self) -> (Version, Option<Duration>) {
        (0, None)
    }

    fn receive(&self, _from: &HostId, _version: Version, _age: Option<Duration>) {}
}
