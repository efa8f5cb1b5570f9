//! Links between hosts: h2 over TCP, one stream a question, bincode bodies.
//!
//! A connection starts with a mutual proof of the shared secret, before any h2 frame. Every body
//! then carries a keyed hash under a key of this connection, over a sequence number and the body.

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

/// The version of the protocol; hosts of different versions refuse each other.
pub const PROTOCOL_VERSION: u16 = 2;

/// Who this process is towards other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// This host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
}

/// The time limits of links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// For connecting and for the mutual proof.
    pub connect: Duration,
    /// Between pings.
    pub ping_interval: Duration,
    /// The silence after which a connection is replaced.
    pub ping_timeout: Duration,
    /// The time without questions after which a connection is closed. Pings on idle links between
    /// all hosts of a data centre would use most of the traffic allowed for control.
    pub idle: Duration,
    /// The first wait before connecting again after a failure; doubles up to `max_backoff`.
    pub initial_backoff: Duration,
    /// The longest wait before connecting again.
    pub max_backoff: Duration,
    /// For reading one question's body.
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
