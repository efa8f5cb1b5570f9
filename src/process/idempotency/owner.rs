//! Decides on claims by compare-and-swap in the store, in batches.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::connection::peer::{decode, encode};
use crate::prelude::*;
use crate::process::idempotency::{
    ClaimDecision, IdempotencyRecords, MAX_ANSWER_BYTES, RECORD_TTL, shard_key, shard_of,
};
use crate::process::message::{
    ClaimOnce, FinishOnce, OnceOutcome, OnceReply, PeerReply, PeerRequest, StoredAnswer,
};
use crate::process::shard::{Shards, lock};

/// How long operations on one shard are collected into a batch, which is written at once.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// How long the write of a batch may take, with repeats; shorter than a peer waits for the reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long one store call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long new answers are stored under the same lease.
const ANSWER_LEASE_SHARING: Duration = Duration::from_hours(1);

enum Op {
    Claim(ClaimOnce, oneshot::Sender<OnceReply>),
    /// The reply is `Ok` if the outcome is recorded.
    Finish(Finish, oneshot::Sender<Result<(), ()>>),
}

struct Finish {
    key: Digest,
    claim: RequestId,
    /// Whether the answer was stored; `None` if the request did not run.
    done: Option<bool>,
}

#[derive(Default)]
struct Queue {
    waiting: Vec<Op>,
}

/// Decides on claims in any shard. If two hosts work on the same shard at once, compare-and-swap keeps their
/// decisions consistent.
pub struct IdempotencyOwner {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    /// The operations that wait for the next batch, by shard. A shard has an entry while a task processes it.
    queues: Shards<HashMap<u16, Queue>>,
    /// The lease for new answers, and when it was granted.
    answer_lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl IdempotencyOwner {
    /// Creates an owner that keeps the records in `store`.
    pub fn new(store: Arc<dyn Store>, clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            store,
            clock,
            queues: Shards::default(),
            answer_lease: Mutex::default(),
        })
    }

    /// Handles another host's request; `None` if it is not about idempotency.
    pub async fn handle(self: &Arc<Self>, req: PeerRequest) -> Option<PeerReply> {
        match req {
            PeerRequest::ClaimOnce(claim) => Some(PeerReply::Once(self.claim(claim).await)),
            PeerRequest::FinishOnce(finish) => Some(match self.finish(finish).await {
                Ok(()) => PeerReply::Ack,
                Err(()) => PeerReply::Failed("outcome not recorded; repeat".to_owned()),
            }),
            _ => None,
        }
    }

    /// Claims a key in the store.
    pub async fn claim(self: &Arc<Self>, claim: ClaimOnce) -> OnceReply {
        let (tx, rx) = oneshot::channel();
        let key = claim.key;
        self.submit(shard_of(&key), Op::Claim(claim, tx));
        rx.await.unwrap_or(OnceReply::Unavailable)
    }

    /// Records an outcome in the store.
    ///
    /// # Errors
    /// Returns an error if the store did not confirm the write. The call can be repeated.
    pub async fn finish(self: &Arc<Self>, finish: FinishOnce) -> Result<(), ()> {
        let done = match &finish.outcome {
            OnceOutcome::NotRun => None,
            // The answer is stored first, so that a record never refers to an answer that is not stored yet.
            OnceOutcome::Done(answer) => Some(self.store_answer(&finish, answer).await),
        };
        let (tx, rx) = oneshot::channel();
        let (key, claim) = (finish.key, finish.claim);
        let op = Finish { key, claim, done };
        self.submit(shard_of(&key), Op::Finish(op, tx));
        rx.await.unwrap_or(Err(()))
    }

    fn submit(self: &Arc<Self>, shard: u16, op: Op) {
        let mut queues = self.queues.lock(&shard);
        if let Some(queue) = queues.get_mut(&shard) {
            queue.waiting.push(op);
            return;
        }
        queues.insert(shard, Queue { waiting: vec![op] });
        drop(queues);
        tokio::spawn(self.clone().process_shard(shard));
    }

    /// Writes the batches of a shard until no operations wait.
    async fn process_shard(self: Arc<Self>, shard: u16) {
        loop {
            tokio::time::sleep(BATCH_DELAY).await;
            let ops = {
                let mut queues = self.queues.lock(&shard);
                let waiting = queues
                    .get_mut(&shard)
                    .map(|q| std::mem::take(&mut q.waiting));
                match waiting {
                    Some(ops) if !ops.is_empty() => ops,
                    _ => {
                        queues.remove(&shard);
                        return;
                    }
                }
            };
            let written = self.write(shard, &ops);
            let decisions = tokio::time::timeout(WRITE_TIMEOUT, written).await;
            self.reply(ops, decisions.ok().flatten()).await;
        }
    }

    /// Applies the operations and writes the result. Returns the decisions on the claims in the order of `ops`, or
    /// `None` if the store did not confirm them.
    async fn write(&self, shard: u16, ops: &[Op]) -> Option<Vec<ClaimDecision>> {
        let key = shard_key(shard);
        loop {
            let Some(found) = self.call(self.store.get(&key)).await.ok()? else {
                continue;
            };
            let (mut records, expected) = match found {
                None => (IdempotencyRecords::default(), Expected::Absent),
                Some(entry) => {
                    let records = decode::<IdempotencyRecords>(&entry.value);
                    let records = records.inspect_err(
                        |e| log::error!(key:%; "could not decode idempotency records: {e}"),
                    );
                    (records.ok()?, Expected::At(entry.revision))
                }
            };
            let before = records.clone();
            let decisions = apply(&mut records, ops, self.clock.wall_time());
            if records == before {
                return Some(decisions);
            }
            let value = encode(&records)
                .inspect_err(|e| log::error!(key:%; "could not encode idempotency records: {e}"))
                .ok()?;
            match self
                .call(self.store.swap(&key, expected, value, None))
                .await
            {
                Ok(Some(_)) => return Some(decisions),
                // Reads again. The claim ids in the records show whether this or another host's write took effect.
                Ok(None) | Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => {}
                Err(_) => return None,
            }
        }
    }

    /// Makes a store call. Returns `None` after the pause if it was throttled; it may then be repeated at once.
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<Option<T>, StoreError> {
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(result)) => Ok(Some(result)),
            Ok(Err(StoreError::Throttled { retry_after })) => {
                tokio::time::sleep(retry_after.max(BATCH_DELAY)).await;
                Ok(None)
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(StoreError::Unknown {
                cause: "no reply in time".to_owned(),
            }),
        }
    }

    async fn reply(&self, ops: Vec<Op>, decisions: Option<Vec<ClaimDecision>>) {
        let confirmed = decisions.is_some();
        let mut decisions = decisions.into_iter().flatten();
        for op in ops {
            match op {
                Op::Finish(_, tx) => {
                    let _ = tx.send(if confirmed { Ok(()) } else { Err(()) });
                }
                Op::Claim(claim, tx) => {
                    let reply = match decisions.next() {
                        Some(ClaimDecision::Done {
                            claim: answered,
                            kept,
                        }) => OnceReply::Done {
                            answer: self.read_answer(&claim.key, answered, kept).await,
                        },
                        Some(decision) => decision.reply(),
                        None => OnceReply::Unavailable,
                    };
                    let _ = tx.send(reply);
                }
            }
        }
    }

    async fn read_answer(
        &self,
        key: &Digest,
        answered: RequestId,
        kept: bool,
    ) -> Option<StoredAnswer> {
        if !kept {
            return None;
        }
        let entry = self.call(self.store.get(&answer_key(key))).await.ok()??;
        let (claim, answer) = decode::<(RequestId, StoredAnswer)>(&entry?.value).ok()?;
        (claim == answered).then_some(answer)
    }

    /// Stores an answer if its body is at most `MAX_ANSWER_BYTES`. Returns whether it was stored.
    async fn store_answer(&self, finish: &FinishOnce, answer: &StoredAnswer) -> bool {
        if answer.body.len() > MAX_ANSWER_BYTES {
            return false;
        }
        let write = tokio::time::timeout(WRITE_TIMEOUT, self.try_store_answer(finish, answer));
        write.await.is_ok_and(|result| result.is_ok())
    }

    async fn try_store_answer(
        &self,
        finish: &FinishOnce,
        answer: &StoredAnswer,
    ) -> Result<(), StoreError> {
        let lease = self.answer_lease().await?;
        let value = encode(&(finish.claim, answer));
        let value = value.map_err(|cause| StoreError::Unavailable { cause })?;
        let key = answer_key(&finish.key);
        // An entry exists only if the key was used before, within the lease of that answer.
        let put = |expected, value| self.store.swap(&key, expected, value, Some(lease));
        let mut swapped = put(Expected::Absent, value.clone()).await;
        if let Err(StoreError::Conflict {
            current: Some(revision),
        }) = swapped
        {
            swapped = put(Expected::At(revision), value).await;
        }
        if matches!(swapped, Err(StoreError::LeaseGone)) {
            lock(&self.answer_lease).take();
        }
        swapped.map(|_| ())
    }

    /// Returns a lease under which an answer lasts at least as long as its record. Answers share leases, because one
    /// lease per answer would double the writes.
    async fn answer_lease(&self) -> Result<LeaseId, StoreError> {
        let now = self.clock.now();
        let shared = *lock(&self.answer_lease);
        if let Some((lease, granted)) = shared
            && now.saturating_duration_since(granted) < ANSWER_LEASE_SHARING
        {
            return Ok(lease);
        }
        let lease = self
            .store
            .grant_lease(RECORD_TTL + ANSWER_LEASE_SHARING)
            .await?;
        *lock(&self.answer_lease) = Some((lease, now));
        Ok(lease)
    }
}

/// Drops expired records and applies the operations. Returns the decisions on the claims in the order of `ops`.
fn apply(
    records: &mut IdempotencyRecords,
    ops: &[Op],
    now: std::time::SystemTime,
) -> Vec<ClaimDecision> {
    records.expire(now);
    let mut decisions = Vec::new();
    for op in ops {
        match op {
            Op::Claim(claim, _) => decisions.push(records.claim(claim, now)),
            Op::Finish(finish, _) => match finish.done {
                Some(kept) => records.finish_done(&finish.key, finish.claim, kept),
                None => records.finish_not_run(&finish.key, finish.claim, now),
            },
        }
    }
    decisions
}

fn answer_key(key: &Digest) -> String {
    let mut name = String::from("once-answer/");
    for byte in key {
        let _ = write!(name, "{byte:02x}");
    }
    name
}
