//! The interface to other hosts.

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::message::{PeerError, PeerReply, PeerRequest};

/// Sends requests to other hosts.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends a request to `host` and waits for its reply.
    ///
    /// # Errors
    /// Returns a `PeerError` that tells whether the request may have been handled.
    async fn ask(&self, host: &HostId, req: PeerRequest) -> Result<PeerReply, PeerError>;
}

/// Handles requests of other hosts.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles a request of the authenticated host `from`.
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply;
}

/// The link of a host without a fleet: every host is unknown.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoPeers;

#[async_trait]
impl PeerLink for NoPeers {
    async fn ask(&self, host: &HostId, _: PeerRequest) -> Result<PeerReply, PeerError> {
        Err(PeerError::UnknownHost(host.clone()))
    }
}
