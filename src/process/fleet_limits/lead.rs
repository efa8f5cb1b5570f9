//! Forwards charges to the customer's lead data centre, which gathers its tokens during a shortage.

use std::time::Duration;

use tokio::time::timeout;

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply, PeerReply, PeerRequest};
use crate::process::shard::rendezvous_order;

use super::FleetLimits;

/// How long the lead may take to reply: less than `GRANT_VALIDITY`, and enough for one lender that does not reply to
/// it (`REMOTE_OWNER_TIMEOUT`).
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);
/// The least retry delay for a forwarded charge, because each repeat goes to the other data centre again.
const MIN_FORWARD_RETRY_AFTER: Duration = Duration::from_millis(50);

impl FleetLimits {
    /// Returns the data centres in the order in which charges that their own cannot serve are sent to them. The first
    /// is the customer's lead.
    pub(super) fn ranked_data_centres(&self, customer: &CustomerId) -> Vec<DataCentreId> {
        let compiled = self.parts.versions.current();
        rendezvous_order(customer, compiled.data_centres.iter().cloned())
    }

    /// Returns the data centre that gathers a customer's tokens during a shortage.
    pub(super) fn lead_data_centre(&self, customer: &CustomerId) -> Option<DataCentreId> {
        self.ranked_data_centres(customer).into_iter().next()
    }

    /// Forwards a charge that exceeds the local level during a shortage; `None` if it has to be served here.
    pub(super) async fn charge_at_lead(&self, charge: &Charge) -> Option<ChargeReply> {
        let should_forward =
            |held: &mut super::HeldAllowance, _, now| held.allowance.should_forward(now);
        if !self.with_allowance(&charge.customer, should_forward)? {
            return None;
        }
        let lead = self.lead_data_centre(&charge.customer)?;
        if lead == self.data_centre {
            return None;
        }
        let reply = self.forward(charge, &lead).await;
        self.with_allowance(&charge.customer, |held, _, now| match &reply {
            Some(reply) => held.allowance.apply_forwarded_reply(charge, reply, now),
            None => held.allowance.note_lead_unreachable(now),
        });
        reply
    }

    async fn forward(&self, charge: &Charge, lead: &DataCentreId) -> Option<ChargeReply> {
        let host = self.remote_owner(lead, &charge.customer).await?;
        let req = PeerRequest::ForwardCharge(charge.clone());
        match timeout(FORWARD_TIMEOUT, self.parts.peers.ask(&host, req)).await {
            Ok(Ok(PeerReply::Charge(ChargeReply::Later(wait)))) => {
                Some(ChargeReply::Later(wait.max(MIN_FORWARD_RETRY_AFTER)))
            }
            Ok(Ok(PeerReply::Charge(reply))) if reply != ChargeReply::NotOwner => Some(reply),
            Ok(_) => {
                self.mark_remote_owners_stale(lead);
                None
            }
            Err(_) => None,
        }
    }
}
