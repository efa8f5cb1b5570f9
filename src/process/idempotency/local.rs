//! In-memory idempotency of a single-host deployment.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use async_trait::async_trait;

use crate::prelude::*;
use crate::process::idempotency::{
    ClaimDecision, Idempotency, IdempotencyRecords, MAX_ANSWER_BYTES, shard_of,
};
use crate::process::message::{ClaimOnce, FinishOnce, OnceOutcome, OnceReply, StoredAnswer};
use crate::process::shard::Shards;

/// The answers kept under each lock; the oldest is dropped first. About 8 MB in all at the largest size.
const MAX_STORED_ANSWERS: usize = 16;

/// Idempotency of a single-host deployment. The records last as long as the process.
pub struct LocalIdempotency {
    clock: Arc<dyn Clock>,
    shards: Shards<LocalRecords>,
}

#[derive(Default)]
struct LocalRecords {
    /// The records by shard of keys; several such shards share one lock.
    records: HashMap<u16, IdempotencyRecords>,
    /// The answers with their claims, oldest first.
    answers: VecDeque<(RequestId, StoredAnswer)>,
}

impl LocalIdempotency {
    /// Creates idempotency without records.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            shards: Shards::default(),
        }
    }
}

#[async_trait]
impl Idempotency for LocalIdempotency {
    async fn claim(&self, claim: ClaimOnce) -> OnceReply {
        let now = self.clock.wall_time();
        let shard = shard_of(&claim.key);
        let mut local = self.shards.lock(&shard);
        let records = local.records.entry(shard).or_default();
        records.expire(now);
        match records.claim(&claim, now) {
            ClaimDecision::Done { claim, .. } => {
                let found = local.answers.iter().find(|(id, _)| *id == claim);
                let answer = found.map(|(_, answer)| answer.clone());
                OnceReply::Done { answer }
            }
            decision => decision.reply(),
        }
    }

    async fn finish(&self, finish: FinishOnce) {
        let now = self.clock.wall_time();
        let shard = shard_of(&finish.key);
        let mut local = self.shards.lock(&shard);
        let records = local.records.entry(shard).or_default();
        match finish.outcome {
            OnceOutcome::NotRun => records.finish_not_run(&finish.key, finish.claim, now),
            OnceOutcome::Done(answer) => {
                let fits = answer.body.len() <= MAX_ANSWER_BYTES;
                records.finish_done(&finish.key, finish.claim, fits);
                if fits {
                    local.answers.push_back((finish.claim, answer));
                }
                if local.answers.len() > MAX_STORED_ANSWERS {
                    local.answers.pop_front();
                }
            }
        }
    }
}
