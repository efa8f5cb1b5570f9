//! Sends claims to the owner of their group, or decides on them here if it can't be reached.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::Semaphore;

use crate::prelude::*;
use crate::process::idempotency::{Idempotency, IdempotencyOwner, shard_key, shard_of};
use crate::process::members::{Members, owners};
use crate::process::message::{
    ClaimOnce, FinishOnce, OnceOutcome, OnceReply, PeerReply, PeerRequest,
};
use crate::process::peer::PeerLink;

/// The attempts to record an outcome, with doubling waits: about 32 s in all.
const FINISH_ATTEMPTS: u32 = 8;
/// The wait after the first failed attempt.
const FINISH_RETRY: Duration = Duration::from_millis(250);
/// The outcomes that are being repeated at once. Each holds an answer of up to 16 KB; without
/// room the key stays started, which is safe.
const FINISHES_PENDING: usize = 256;

/// Idempotency of a host that shares the store with others.
#[derive(Clone)]
pub struct SharedIdempotency {
    members: Arc<dyn Members>,
    link: Arc<dyn PeerLink>,
    owner: Arc<IdempotencyOwner>,
    pending: Arc<Semaphore>,
}

impl SharedIdempotency {
    /// Creates the router; `owner` also answers the questions of other hosts.
    pub fn new(
        members: Arc<dyn Members>,
        link: Arc<dyn PeerLink>,
        owner: Arc<IdempotencyOwner>,
    ) -> Self {
        Self {
            members,
            link,
            owner,
            pending: Arc::new(Semaphore::new(FINISHES_PENDING)),
        }
    }

    /// Returns the other host that owns the group of `key`; `None` if this one does.
    fn other_owner(&self, key: &Digest) -> Option<HostId> {
        let me = self.members.me();
        let group = shard_key(shard_of(key));
        let owner = owners(&*self.members, &me.data_centre, &group)
            .into_iter()
            .next();
        owner.filter(|owner| *owner != me.host)
    }

    async fn try_finish(&self, finish: &FinishOnce) -> Result<(), ()> {
        if let Some(owner) = self.other_owner(&finish.key) {
            let req = PeerRequest::FinishOnce(finish.clone());
            if let Ok(PeerReply::Ack) = self.link.ask(&owner, req).await {
                return Ok(());
            }
        }
        self.owner.finish(finish.clone()).await
    }
}

#[async_trait]
impl Idempotency for SharedIdempotency {
    async fn claim(&self, claim: ClaimOnce) -> OnceReply {
        if let Some(owner) = self.other_owner(&claim.key) {
            let req = PeerRequest::ClaimOnce(claim.clone());
            if let Ok(PeerReply::Once(reply)) = self.link.ask(&owner, req).await {
                return reply;
            }
            // The owner may have recorded the claim. The same claim is recognised by its id.
        }
        self.owner.claim(claim).await
    }

    async fn finish(&self, finish: FinishOnce) {
        if self.try_finish(&finish).await.is_ok() {
            return;
        }
        let Ok(permit) = self.pending.clone().try_acquire_owned() else {
            log::warn!(claim:% = format!("{:032x}", finish.claim); "outcome not recorded; the key stays started");
            return;
        };
        let this = self.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let mut wait = FINISH_RETRY;
            for _ in 1..FINISH_ATTEMPTS {
                tokio::time::sleep(wait).await;
                if this.try_finish(&finish).await.is_ok() {
                    return;
                }
                wait *= 2;
            }
            let ran = matches!(finish.outcome, OnceOutcome::Done(_));
            log::warn!(claim:% = format!("{:032x}", finish.claim), ran; "outcome not recorded; the key stays started");
        });
    }
}
