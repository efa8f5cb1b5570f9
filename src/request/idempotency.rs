//! The claim of one request that may run at most once.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::prelude::*;
use crate::process::background::BackgroundTasks;
use crate::process::idempotency::Idempotency;
use crate::process::message::{ClaimOnce, FinishOnce, OnceOutcome, OnceReply, StoredAnswer};
use crate::request::service::ServiceResponse;

/// The longest wait for an outcome to be recorded before the caller gets its answer. Recording goes
/// on without the caller.
const FINISH_WAIT: Duration = Duration::from_millis(500);

/// What to do with a request after its key was claimed.
pub enum ClaimResult {
    /// Run it; this claim holds the key.
    Run(IdempotencyClaim),
    /// Answer it with the stored answer.
    Replay(ServiceResponse),
}

/// A claimed key. Dropping it before the request was sent withdraws the claim; dropping it later
/// leaves the key started, because the outcome is unknown.
pub struct IdempotencyClaim {
    once: Arc<dyn Idempotency>,
    tasks: BackgroundTasks,
    claim: ClaimOnce,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    NotSent,
    Sent,
    Closed,
}

impl IdempotencyClaim {
    /// Claims a key.
    ///
    /// # Errors
    /// Returns a refusal of kind `Duplicate`, `Unprocessable` or `Unavailable`.
    pub async fn claim(
        once: Arc<dyn Idempotency>,
        tasks: BackgroundTasks,
        claim: ClaimOnce,
    ) -> Result<ClaimResult, Refusal> {
        let reply = once.clone();
        // Made before the question, so that a claim whose caller leaves meanwhile is withdrawn.
        let mut held = Self {
            once,
            tasks,
            claim,
            state: State::NotSent,
        };
        let reply = reply.claim(held.claim.clone()).await;
        if reply == OnceReply::Claimed {
            return Ok(ClaimResult::Run(held));
        }
        if reply != OnceReply::Unavailable {
            held.state = State::Closed;
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

    /// Notes that the request is being sent: from here on its outcome is unknown until it is told.
    pub fn mark_sent(&mut self) {
        self.state = State::Sent;
    }

    /// Notes that no attempt so far has run.
    pub fn mark_not_run(&mut self) {
        self.state = State::NotSent;
    }

    /// Records the answer.
    pub async fn record_answer(mut self, answer: &ServiceResponse) {
        self.state = State::Closed;
        self.finish(OnceOutcome::Done(StoredAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.to_vec(),
        }))
        .await;
    }

    /// Records a refusal: the key may be claimed again if the request certainly did not run.
    pub async fn record_refusal(mut self, run: Run) {
        self.state = State::Closed;
        if run == Run::NotRun {
            self.finish(OnceOutcome::NotRun).await;
        }
    }

    async fn finish(&self, outcome: OnceOutcome) {
        // Spawned, so that the outcome is recorded although the caller leaves.
        let finished = self.spawn_finish(outcome);
        let _ = tokio::time::timeout(FINISH_WAIT, finished).await;
    }

    fn spawn_finish(&self, outcome: OnceOutcome) -> tokio::task::JoinHandle<()> {
        let once = self.once.clone();
        let finish = FinishOnce {
            claim: self.claim.claim,
            key: self.claim.key,
            outcome,
        };
        self.tasks.spawn(async move { once.finish(finish).await })
    }
}

impl Drop for IdempotencyClaim {
    fn drop(&mut self) {
        if self.state == State::NotSent {
            self.spawn_finish(OnceOutcome::NotRun);
        }
    }
}

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
