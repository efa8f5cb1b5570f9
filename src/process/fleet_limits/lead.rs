//! Charges that the owner in this data centre can't serve, at the customer's lead data centre.

use std::time::Duration;

use tokio::time::timeout;

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply, PeerReply, PeerRequest};
use crate::process::shard::rendezvous_order;

use super::FleetLimits;

/// How long the lead may take: shorter than a grant is valid, and long enough for one lender that is silent.
const FORWARD_WAIT: Duration = Duration::from_millis(400);
/// The least wait told to a charge that was forwarded, because each repeat crosses data centres again.
const REPEAT_WAIT: Duration = Duration::from_millis(50);

impl FleetLimits {
    /// Returns the data centres in the order in which they serve a customer beside its own, the lead first.
    pub(super) fn ranked_centres(&self, customer: &CustomerId) -> Vec<DataCentreId> {
        let compiled = self.parts.versions.current();
        rendezvous_order(customer, compiled.data_centres.iter().cloned())
    }

    /// Returns the data centre that gathers a customer's tokens while they are short.
    pub(super) fn lead(&self, customer: &CustomerId) -> Option<DataCentreId> {
        self.ranked_centres(customer).into_iter().next()
    }

    /// Forwards a charge that didn't fit during a shortage; `None` if it has to be served here.
    pub(super) async fn charge_at_lead(&self, charge: &Charge) -> Option<ChargeReply> {
        let forwards = |held: &mut super::Held, _, now| held.allowance.should_forward(now);
        if !self.with_allowance(&charge.customer, forwards)? {
            return None;
        }
        let lead = self.lead(&charge.customer)?;
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
        let ask = PeerRequest::ForwardCharge(charge.clone());
        match timeout(FORWARD_WAIT, self.parts.peers.ask(&host, ask)).await {
            Ok(Ok(PeerReply::Charge(ChargeReply::Later(wait)))) => {
                Some(ChargeReply::Later(wait.max(REPEAT_WAIT)))
            }
            Ok(Ok(PeerReply::Charge(reply))) if reply != ChargeReply::NotOwner => Some(reply),
            Ok(_) => {
                self.doubt_remote(lead);
                None
            }
            Err(_) => None,
        }
    }
}
