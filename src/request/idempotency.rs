//! The claim of an idempotency key by one request that may run at most once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::idempotency::Idempotency;
use crate::process::message::{ClaimOnce, FinishOnce, OnceOutcome, OnceReply, StoredAnswer};
use crate::request::service::ServiceResponse;

/// How long the caller's response waits for the outcome to be recorded. Recording goes on in the background.
const FINISH_WAIT: Duration = Duration::from_millis(500);

/// How a request goes on after its key was claimed.
pub enum ClaimResult {
    /// It is to run; the claim holds the key.
    Run(IdempotencyClaim),
    /// An earlier request with the key was answered; its stored response is repeated.
    Replay(ServiceResponse),
}

/// A claimed idempotency key. Dropping it before the request was sent withdraws the claim; dropping it later leaves the
/// key claimed, because the request may have run.
pub struct IdempotencyClaim {
    idempotency: Arc<dyn Idempotency>,
    tasks: BackgroundTasks,
    claim: ClaimOnce,
    state: ClaimState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimState {
    NotSent,
    Sent,
    /// Dropping the claim changes nothing: the outcome is recorded, or another request holds the key.
    Closed,
}

impl IdempotencyClaim {
    /// Claims an idempotency key.
    ///
    /// # Errors
    /// Returns a refusal of kind `Duplicate` if the key's request has no stored response, `Unprocessable` if the key
    /// was used with another body, or `Unavailable` if the claim can't be recorded.
    pub async fn claim(
        idempotency: Arc<dyn Idempotency>,
        tasks: BackgroundTasks,
        claim: ClaimOnce,
    ) -> Result<ClaimResult, Refusal> {
        let claims = idempotency.clone();
        // Created before the call, so that the claim is withdrawn if this future is dropped meanwhile.
        let mut claim = Self {
            idempotency,
            tasks,
            claim,
            state: ClaimState::NotSent,
        };
        let reply = claims.claim(claim.claim.clone()).await;
        if reply == OnceReply::Claimed {
            return Ok(ClaimResult::Run(claim));
        }
        // After `Unavailable` the claim may still have been recorded, so it is withdrawn on drop.
        if reply != OnceReply::Unavailable {
            claim.state = ClaimState::Closed;
        }
        match reply {
            OnceReply::Done {
                answer: Some(answer),
            } => Ok(ClaimResult::Replay(ServiceResponse {
                status: answer.status,
                content_type: answer.content_type,
                body: Bytes::from(answer.body),
                ..ServiceResponse::default()
            })),
            reply => Err(refusal(&reply)),
        }
    }

    /// Marks the request as sent. Called before sending; from then on the request may have run.
    pub fn mark_sent(&mut self) {
        self.state = ClaimState::Sent;
    }

    /// Marks the request as not sent, after attempts that certainly did not run.
    pub fn mark_not_run(&mut self) {
        self.state = ClaimState::NotSent;
    }

    /// Records the response, for later requests with the same key.
    pub async fn record_answer(mut self, answer: &ServiceResponse) {
        self.state = ClaimState::Closed;
        self.finish(OnceOutcome::Done(StoredAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.to_vec(),
        }))
        .await;
    }

    /// Records a refusal: the key is freed if the request certainly did not run, and stays claimed otherwise.
    pub async fn record_refusal(mut self, run: Run) {
        self.state = ClaimState::Closed;
        if run == Run::NotRun {
            self.finish(OnceOutcome::NotRun).await;
        }
    }

    async fn finish(&self, outcome: OnceOutcome) {
        // Spawned, so that the outcome is recorded even if the caller disconnects.
        let finished = self.spawn_finish(outcome);
        let _ = tokio::time::timeout(FINISH_WAIT, finished).await;
    }

    fn spawn_finish(&self, outcome: OnceOutcome) -> tokio::task::JoinHandle<()> {
        let idempotency = self.idempotency.clone();
        let finish = FinishOnce {
            claim: self.claim.claim,
            key: self.claim.key,
            outcome,
        };
        self.tasks
            .spawn(async move { idempotency.finish(finish).await })
    }
}

impl Drop for IdempotencyClaim {
    fn drop(&mut self) {
        if self.state == ClaimState::NotSent {
            self.spawn_finish(OnceOutcome::NotRun);
        }
    }
}

/// Returns the refusal for a reply that does not let the request run.
fn refusal(reply: &OnceReply) -> Refusal {
    match reply {
        OnceReply::BodyDiffers => Refusal::not_run(
            RefusalKind::Unprocessable,
            "the idempotency key was used with another request; use a new key",
        ),
        OnceReply::Unavailable => Refusal::not_run(
            RefusalKind::Unavailable,
            "the idempotency key can't be recorded now; repeat shortly",
        ),
        OnceReply::Full => Refusal::not_run(
            RefusalKind::Unavailable,
            "too many idempotency keys in 24 h; repeat later",
        ),
        OnceReply::Started => Refusal::may_have_run(
            RefusalKind::Duplicate,
            "a request with this idempotency key was started; check its outcome",
        ),
        OnceReply::Done { .. } | OnceReply::Claimed => Refusal::may_have_run(
            RefusalKind::Duplicate,
            "a request with this idempotency key was answered; its answer is not kept",
        ),
    }
}
