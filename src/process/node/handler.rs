//! Passes other hosts' questions to the parts that answer them.

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

/// The parts of a host that answer other hosts.
pub struct NodeHandler {
    /// Which hosts are there.
    pub membership: Arc<Membership>,
    /// The configuration.
    pub distribution: Arc<Distribution>,
    /// Customers' limits.
    pub limits: Arc<FleetLimits>,
    /// Pools of upstreams.
    pub pools: PoolHandler,
    /// Requests that run at most once.
    pub idempotency: Arc<IdempotencyOwner>,
    /// Requests that crash upstreams.
    pub quarantine: Arc<CrashQuarantine>,
}

#[async_trait]
impl PeerHandler for NodeHandler {
    async fn handle(&self, from: &HostId, req: PeerRequest) -> PeerReply {
        let unanswered = || PeerReply::Failed("question not understood".to_owned());
        match &req {
            PeerRequest::Heartbeat(_) | PeerRequest::HostDown(_) | PeerRequest::Leaving(_) => {
                // Other parts learn of members through the events of membership.
                self.membership
                    .handle(from, &req)
                    .unwrap_or_else(unanswered)
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
            PeerRequest::ClaimOnce(_) | PeerRequest::FinishOnce(_) => self
                .idempotency
                .handle(req)
                .await
                .unwrap_or_else(unanswered),
            PeerRequest::CrashReport(_) => self.quarantine.handle(&req).unwrap_or_else(unanswered),
        }
    }
}
