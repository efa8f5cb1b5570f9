//! Sends claims to the host that owns their shard, or decides on them here if that host does not reply.

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

/// The most attempts to record an outcome. The delays between them double and add up to about 32 s.
const FINISH_ATTEMPTS: u32 = 8;
/// The delay after the first failed attempt.
const FINISH_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The most outcomes that are retried at once, each with an answer of up to 16 KB. Outcomes above the limit are not
/// recorded, which is safe: repeats get `OnceReply::Started` and are not sent.
const MAX_PENDING_FINISHES: usize = 256;

/// Idempotency of a host that shares the store with other hosts.
#[derive(Clone)]
pub struct SharedIdempotency {
    members: Arc<dyn Members>,
    link: Arc<dyn PeerLink>,
    owner: Arc<IdempotencyOwner>,
    /// Limits the outcomes that are being retried.
    pending: Arc<Semaphore>,
}

impl SharedIdempotency {
    /// Creates the router. `owner` is the one that also handles the requests of other hosts.
    pub fn new(
        members: Arc<dyn Members>,
        link: Arc<dyn PeerLink>,
        owner: Arc<IdempotencyOwner>,
    ) -> Self {
        Self {
            members,
            link,
            owner,
            pending: Arc::new(Semaphore::new(MAX_PENDING_FINISHES)),
        }
    }

    /// Returns the other host that owns the shard of `key`; `None` if this one does.
    fn other_owner(&self, key: &Digest) -> Option<HostId> {
        let me = self.members.me();
        let shard = shard_key(shard_of(key));
        let owner = owners(&*self.members, &me.data_centre, &shard)
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
            // The owner may have recorded the claim. A repeat is recognised by the claim's id.
        }
        self.owner.claim(claim).await
    }

    async fn finish(&self, finish: FinishOnce) {
        if self.try_finish(&finish).await.is_ok() {
            return;
        }
        let Ok(permit) = self.pending.clone().try_acquire_owned() else {
            log::warn!(claim:% = format!("{:032x}", finish.claim); "could not record the outcome of a request, and too many others are being retried; repeats with its idempotency key are refused");
            return;
        };
        let this = self.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let mut wait = FINISH_RETRY_DELAY;
            for _ in 1..FINISH_ATTEMPTS {
                tokio::time::sleep(wait).await;
                if this.try_finish(&finish).await.is_ok() {
                    return;
                }
                wait *= 2;
            }
            let ran = matches!(finish.outcome, OnceOutcome::Done(_));
            log::warn!(claim:% = format!("{:032x}", finish.claim), ran; "could not record the outcome of a request in {FINISH_ATTEMPTS} attempts; repeats with its idempotency key are refused");
        });
    }
}
