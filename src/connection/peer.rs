//! Links between hosts: HTTP/2 over TCP, one stream per request, bincode bodies.
//!
//! A connection starts with mutual authentication by a shared secret, before any HTTP/2 frame. Every body then carries
//! a MAC over its sequence number and payload, under a key of this connection.

mod client;
mod codec;
mod counters;
mod frame_auth;
mod handshake;
mod server;

use std::time::Duration;

use crate::prelude::*;

pub use client::PeerClient;
pub use codec::{MAX_MESSAGE_BYTES, decode, encode};
pub use counters::{DropReason, PeerCounters};
pub use frame_auth::{
    REPLY_OVERHEAD_BYTES, REQUEST_OVERHEAD_BYTES, ReplayWindow, VerifyError, sign_reply,
    sign_request, verify_reply, verify_request,
};
pub use handshake::{Hello, PeerSecret, Session, client_handshake, server_handshake};
pub use server::PeerServer;

/// The version of the protocol between hosts; hosts of different versions refuse each other.
pub const PROTOCOL_VERSION: u16 = 2;

/// The identity of a process, as exchanged in the handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The host that the process runs on.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// Tells the process from earlier ones on the same host.
    pub incarnation: Incarnation,
}

/// The time limits and intervals of links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// The limit on opening a connection, including the handshake.
    pub connect: Duration,
    /// The time between pings.
    pub ping_interval: Duration,
    /// The time without a pong after which the connecting side replaces a connection; the accepting side waits several
    /// times as long.
    pub ping_timeout: Duration,
    /// The time without requests after which a connection is closed. Pings on idle links between all hosts of a data
    /// centre would use most of the traffic allowed for control.
    pub idle: Duration,
    /// The longest wait before reconnecting after the first failure; doubles with each further one up to `max_backoff`.
    pub initial_backoff: Duration,
    /// The upper bound on the wait before reconnecting.
    pub max_backoff: Duration,
    /// The limit on reading the body of one request.
    pub read: Duration,
}

impl Default for PeerTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            ping_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_secs(2),
            idle: Duration::from_secs(10),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(1),
            read: Duration::from_secs(5),
        }
    }
}
