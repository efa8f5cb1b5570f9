//! Dispatches other hosts' requests to the services that handle them.

use std::sync::Arc;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::distribution::Distribution;
use crate::process::fleet_limits::FleetLimits;
use crate::process::idempotency::IdempotencyOwner;
use crate::process::membership::Membership;
use crate::process::message::{PeerReply, PeerRequest};
use crate::process::peer::PeerHandler;
use crate::process::pool_owner::PoolHandler;
use crate::process::quarantine::CrashQuarantine;

/// The services of a host that handle other hosts' requests.
pub struct NodeHandler {
    /// Handles heartbeats and the reports of hosts that are down or leave.
    pub membership: Arc<Membership>,
    /// Handles changes of the configuration.
    pub distribution: Arc<Distribution>,
    /// Handles charges, loans and hand-overs of customers.
    pub limits: Arc<FleetLimits>,
    /// Handles placements in the pools that this host owns, and copies of them as a standby.
    pub pools: PoolHandler,
    /// Handles claims of idempotency keys.
    pub idempotency: Arc<IdempotencyOwner>,
    /// Handles crash reports.
    pub quarantine: Arc<CrashQuarantine>,
}

#[async_trait]
impl PeerHandler for NodeHandler {
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply {
        let unhandled = || PeerReply::Failed("question not understood".to_owned());
        match &req {
            PeerRequest::Heartbeat(_) | PeerRequest::HostDown(_) | PeerRequest::Leaving(_) => {
                // Other services learn of these through the events of `Membership`.
                self.membership.handle(from, &req).unwrap_or_else(unhandled)
            }
            PeerRequest::Charge(_)
            | PeerRequest::Settle(_)
            | PeerRequest::Borrow(_)
            | PeerRequest::ReturnLoan(_)
            | PeerRequest::HandOver(_)
            | PeerRequest::ForwardCharge(_) => self.limits.handle(from, req).await,
            PeerRequest::Place(_)
            | PeerRequest::Release(_)
            | PeerRequest::CancelPlace(_)
            | PeerRequest::Adopt(_)
            | PeerRequest::Inflight(_) => self.pools.handle(from, req).await,
            PeerRequest::ConfigDelta(_) | PeerRequest::FetchSections(_) => {
                self.distribution.handle(from, req).await
            }
            PeerRequest::ClaimOnce(_) | PeerRequest::FinishOnce(_) => {
                self.idempotency.handle(req).await.unwrap_or_else(unhandled)
            }
            PeerRequest::CrashReport(_) => self.quarantine.handle(&req).unwrap_or_else(unhandled),
        }
    }
}
