//! Answers the messages about pools.

use std::sync::Arc;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::message::{PeerReply, PeerRequest};
use crate::process::peer::PeerHandler;
use crate::process::pool_owner::PoolOwner;

/// The handler of the messages about pools.
pub struct PoolHandler(pub Arc<PoolOwner>);

#[async_trait]
impl PeerHandler for PoolHandler {
    async fn handle(&self, _: &HostId, req: PeerRequest) -> PeerReply {
        let acknowledge = |is_owner| {
            if is_owner {
                PeerReply::Ack
            } else {
                PeerReply::Failed("not the owner of the pool".to_owned())
            }
        };
        match req {
            PeerRequest::Place(asked) => PeerReply::Place(self.0.place(asked).await),
            PeerRequest::Release(release) => acknowledge(self.0.release(&release)),
            PeerRequest::CancelPlace(cancel) => acknowledge(self.0.cancel(&cancel)),
            PeerRequest::Adopt(adopt) => acknowledge(self.0.adopt(&adopt)),
            PeerRequest::Inflight(batch) => {
                self.0.receive_inflight(batch);
                PeerReply::Ack
            }
            PeerRequest::HostDown(down) => {
                self.0.host_down(&down);
                PeerReply::Ack
            }
            _ => PeerReply::Failed("not a message about pools".to_owned()),
        }
    }
}
