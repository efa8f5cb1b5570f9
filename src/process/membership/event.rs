//! The actions that the detector requests, and the events that other modules receive.

use std::time::Duration;

use crate::prelude::*;
use crate::process::message::{Heartbeat, HostDown, Leaving, Member, PeerRequest};

/// A change of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// A host is alive, possibly again after it was declared down without proof.
    Joined(Member),
    /// A host accepts no new work.
    Leaving(Leaving),
    /// A host is down. Published a second time if proof that its process ended is found later.
    HostDown(HostDown),
    /// This process was suspended for this long; its leases may have expired.
    Paused(Duration),
    /// Other hosts had declared this one down; others may own now what it owned.
    WasDeclaredDown,
    /// The platform lists this host as about to be stopped.
    ListedLeaving,
}

/// An action that the shell performs for the detector.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a heartbeat and passes its reply or failure back to the detector.
    SendHeartbeat {
        /// The host that is to reply, which may have been declared down.
        to: HostId,
        /// The incarnation that is expected to reply.
        incarnation: Incarnation,
        /// The sequence number, which the reply is passed back with.
        seq: u64,
        /// The state of this host, and whether it has declared the receiver down.
        heartbeat: Heartbeat,
    },
    /// Sends a message without retrying it or using its reply.
    Notify {
        /// One of the known hosts; each gets a `Notify` of its own.
        to: HostId,
        /// `HostDown` or `Leaving`.
        req: PeerRequest,
    },
    /// Publishes an event to other modules.
    Publish(MemberEvent),
    /// Removes a host from the address book.
    RemoveAddress(HostId),
}

/// The data that heartbeats carry about the configuration.
pub trait HeartbeatPayload: Send + Sync {
    /// Returns this host's configuration version and the time since the store confirmed it, `None` if it never did.
    fn payload(&self) -> (Version, Option<Duration>);
    /// Receives the same data of another host.
    fn receive(&self, from: &HostId, version: Version, age: Option<Duration>);
}

/// The payload of hosts without a shared configuration: version 0, never confirmed.
#[derive(Debug, Default, Clone, Copy)]
pub struct EmptyPayload;

impl HeartbeatPayload for EmptyPayload {
    fn payload(&self) -> (Version, Option<Duration>) {
        (0, None)
    }

    fn receive(&self, _from: &HostId, _version: Version, _age: Option<Duration>) {}
}
