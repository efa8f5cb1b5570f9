//! Handles other hosts' requests about limits.

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::message::{BorrowReply, ChargeReply, PeerReply, PeerRequest};
use crate::process::peer::PeerHandler;

use super::FleetLimits;

#[async_trait]
impl PeerHandler for FleetLimits {
    async fn handle(&self, _from: &HostId, req: PeerRequest) -> PeerReply {
        match req {
            PeerRequest::Charge(charge) => {
                let reply = self.charge_as_owner(&charge, false).await;
                if reply == ChargeReply::NotOwner {
                    self.refresh.notify_one();
                }
                PeerReply::Charge(reply)
            }
            PeerRequest::ForwardCharge(charge) => {
                PeerReply::Charge(self.charge_as_owner(&charge, true).await)
            }
            PeerRequest::Settle(settle) => {
                if self.settle_as_owner(&settle) {
                    PeerReply::Ack
                } else {
                    PeerReply::Failed("charge not known".to_owned())
                }
            }
            PeerRequest::Borrow(borrow) => {
                let reply = self.with_allowance(&borrow.customer, |held, lease_until, now| {
                    held.allowance.lend(&borrow, lease_until, now)
                });
                PeerReply::Borrow(reply.unwrap_or(BorrowReply::NotOwner))
            }
            PeerRequest::ReturnLoan(back) => {
                self.with_allowance(&back.customer, |held, _, now| {
                    held.allowance.reclaim(&back, now);
                });
                PeerReply::Ack
            }
            PeerRequest::HandOver(hand_over) => {
                if self.take_over(hand_over).await {
                    PeerReply::Ack
                } else {
                    PeerReply::Failed("partition not taken over".to_owned())
                }
            }
            _ => PeerReply::Failed("not a question about limits".to_owned()),
        }
    }
}
