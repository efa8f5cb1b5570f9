//! Charges at the owners in other data centres, and settlements at the owner that made the charge.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::timeout;

use crate::prelude::*;
use crate::process::message::{Charge, ChargeReply, PeerReply, PeerRequest, Settle};
use crate::process::ownership::partition_of;

use super::{FleetLimits, OWNER_TIMEOUT, REMOTE_OWNER_TIMEOUT};

/// The most hosts of another data centre that a charge is sent to in turn; each that does not reply costs
/// `REMOTE_OWNER_TIMEOUT`.
const MAX_OWNERS_ASKED: usize = 3;
/// The hosts that a charge is sent to in turn.
type ProbableOwners = SmallVec<[HostId; MAX_OWNERS_ASKED]>;
/// The pauses before a settlement is repeated that no owner confirmed: longer than a hand-over, then longer than a
/// brief loss of the connection to a host.
const SETTLE_RETRY_PAUSES: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(2)];

impl FleetLimits {
    /// Charges the customer's bucket in another data centre when the owner in this one does not reply. A missing reply
    /// does not prove that the owner is gone, so no host may replace it before its lease ends. The tokens come from
    /// the other bucket, so none are granted twice.
    pub(super) async fn charge_remote(&self, charge: &Charge) -> ChargeReply {
        for data_centre in self.other_data_centres(&charge.customer) {
            for host in self.probable_owners(&data_centre, &charge.customer).await {
                let asked_at = self.parts.clock.now();
                let req = PeerRequest::Charge(charge.clone());
                let reply = timeout(REMOTE_OWNER_TIMEOUT, self.parts.peers.ask(&host, req)).await;
                if let Ok(Ok(PeerReply::Charge(reply))) = reply
                    && let Some(reply) = self.usable_reply(reply, asked_at)
                {
                    return reply;
                }
            }
        }
        ChargeReply::NotOwner
    }

    /// Returns the hosts of another data centre that may own a customer: the recorded owner, then the preferred ones.
    /// Without the store only the latter are known, and a preferred owner may not have taken the partition over yet.
    async fn probable_owners(&self, data_centre: &DataCentreId, customer: &str) -> ProbableOwners {
        let known = self.remote_owner(data_centre, customer).await;
        let ranked = self.preferred_owners(data_centre, partition_of(customer), MAX_OWNERS_ASKED);
        let others = ranked
            .into_iter()
            .filter(|host| known.as_ref() != Some(host));
        let hosts = known.iter().cloned().chain(others);
        hosts.take(MAX_OWNERS_ASKED).collect()
    }

    /// Returns the other data centres in the customer's order of preference.
    fn other_data_centres(&self, customer: &CustomerId) -> Vec<DataCentreId> {
        let mut others = self.ranked_data_centres(customer);
        others.retain(|data_centre| *data_centre != self.data_centre);
        others
    }

    /// Settles a charge, with repeats while no owner knows it: its partition may be on its way to another host.
    pub(super) async fn settle_at_owner(&self, settle: &Settle) {
        for pause in SETTLE_RETRY_PAUSES {
            if self.settle_once(settle).await {
                return;
            }
            self.refresh.notify_one();
            tokio::time::sleep(pause).await;
        }
        if !self.settle_once(settle).await {
            log::debug!(
                "settlement for customer {} dropped: no owner knows the charge",
                settle.customer
            );
        }
    }

    /// Settles at the owner in this data centre or, if it does not know the charge, in the others. Returns whether one
    /// knew it. At most one does, because an ownership period belongs to one owner in one data centre.
    async fn settle_once(&self, settle: &Settle) -> bool {
        let known = match self.local_owner(&settle.customer) {
            Some((host, _)) if host == self.host => self.settle_as_owner(settle),
            Some((host, _)) => self.settle_at(&host, settle, OWNER_TIMEOUT).await,
            None => false,
        };
        if known {
            return true;
        }
        for data_centre in self.other_data_centres(&settle.customer) {
            if let Some(host) = self.remote_owner(&data_centre, &settle.customer).await
                && self.settle_at(&host, settle, REMOTE_OWNER_TIMEOUT).await
            {
                return true;
            }
        }
        false
    }

    async fn settle_at(&self, host: &HostId, settle: &Settle, reply_timeout: Duration) -> bool {
        let req = PeerRequest::Settle(settle.clone());
        let reply = timeout(reply_timeout, self.parts.peers.ask(host, req)).await;
        matches!(reply, Ok(Ok(PeerReply::Ack)))
    }

    /// Settles a charge as the customer's owner. Returns whether the charge is known.
    pub(super) fn settle_as_owner(&self, settle: &Settle) -> bool {
        let known = self.with_allowance(&settle.customer, |held, lease_until, now| {
            held.allowance.settle(settle, lease_until, now)
        });
        known.unwrap_or_default()
    }
}
