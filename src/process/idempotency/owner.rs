//! Decides on claims by compare-and-swap in the store, several at a time.

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

/// The time for which operations on one group of keys are collected into one write.
const GROUPING: Duration = Duration::from_millis(5);
/// The longest time for one group's write, with repeats; shorter than a peer's wait for the answer.
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// The longest time for one store call.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// The time for which stored answers share one lease.
const LEASE_SHARED: Duration = Duration::from_hours(1);

enum Op {
    Claim(ClaimOnce, oneshot::Sender<OnceReply>),
    /// `Ok` if the outcome is recorded.
    Finish(Finish, oneshot::Sender<Result<(), ()>>),
}

struct Finish {
    key: Digest,
    claim: RequestId,
    /// Whether the answer was kept; `None` if the request did not run.
    done: Option<bool>,
}

#[derive(Default)]
struct Queue {
    waiting: Vec<Op>,
}

/// Decides on the claims of any group. Two hosts that decide on the same group at once are kept apart by
/// compare-and-swap.
pub struct IdempotencyOwner {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    /// A group has an entry while a task works on it.
    queues: Shards<HashMap<u16, Queue>>,
    answer_lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl IdempotencyOwner {
    /// Creates an owner that works on `store`.
    pub fn new(store: Arc<dyn Store>, clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            store,
            clock,
            queues: Shards::default(),
            answer_lease: Mutex::default(),
        })
    }

    /// Answers a question about idempotency of another host; `None` for other questions.
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
    /// Returns an error if the store did not confirm it; it can be repeated.
    pub async fn finish(self: &Arc<Self>, finish: FinishOnce) -> Result<(), ()> {
        let done = match &finish.outcome {
            OnceOutcome::NotRun => None,
            // The answer goes first, so that a record never points to an answer that may come later.
            OnceOutcome::Done(answer) => Some(self.keep_answer(&finish, answer).await),
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
        tokio::spawn(self.clone().work(shard));
    }

    /// Writes groups of operations until none waits.
    async fn work(self: Arc<Self>, shard: u16) {
        loop {
            tokio::time::sleep(GROUPING).await;
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
            let verdicts = tokio::time::timeout(WRITE_LIMIT, written).await;
            self.reply(ops, verdicts.ok().flatten()).await;
        }
    }

    /// Applies the operations and writes the result. Returns the verdicts on the claims in their order, or
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
                        |e| log::error!(key:%; "idempotency records not readable: {e}"),
                    );
                    (records.ok()?, Expected::At(entry.revision))
                }
            };
            let before = records.clone();
            let verdicts = apply(&mut records, ops, self.clock.wall_time());
            if records == before {
                return Some(verdicts);
            }
            let value = encode(&records)
                .inspect_err(|e| log::error!(key:%; "idempotency records not written: {e}"))
                .ok()?;
            match self
                .call(self.store.swap(&key, expected, value, None))
                .await
            {
                Ok(Some(_)) => return Some(verdicts),
                // Read again: the claim ids show what was written, by this host or another one.
                Ok(None) | Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => {}
                Err(_) => return None,
            }
        }
    }

    /// Makes a store call; `None` if it was throttled and may be repeated now.
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<Option<T>, StoreError> {
        match tokio::time::timeout(CALL_LIMIT, call).await {
            Ok(Ok(result)) => Ok(Some(result)),
            Ok(Err(StoreError::Throttled { retry_after })) => {
                tokio::time::sleep(retry_after.max(GROUPING)).await;
                Ok(None)
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(StoreError::Unknown {
                cause: "no reply in time".to_owned(),
            }),
        }
    }

    async fn reply(&self, ops: Vec<Op>, verdicts: Option<Vec<ClaimDecision>>) {
        let confirmed = verdicts.is_some();
        let mut verdicts = verdicts.into_iter().flatten();
        for op in ops {
            match op {
                Op::Finish(_, tx) => {
                    let _ = tx.send(if confirmed { Ok(()) } else { Err(()) });
                }
                Op::Claim(claim, tx) => {
                    let reply = match verdicts.next() {
                        Some(ClaimDecision::Done { claim: ran, kept }) => OnceReply::Done {
                            answer: self.read_answer(&claim.key, ran, kept).await,
                        },
                        Some(verdict) => verdict.reply(),
                        None => OnceReply::Unavailable,
                    };
                    let _ = tx.send(reply);
                }
            }
        }
    }

    async fn read_answer(&self, key: &Digest, ran: RequestId, kept: bool) -> Option<StoredAnswer> {
        if !kept {
            return None;
        }
        let entry = self.call(self.store.get(&answer_key(key))).await.ok()??;
        let (claim, answer) = decode::<(RequestId, StoredAnswer)>(&entry?.value).ok()?;
        (claim == ran).then_some(answer)
    }

    /// Stores an answer if it is small enough. Returns whether it is kept.
    async fn keep_answer(&self, finish: &FinishOnce, answer: &StoredAnswer) -> bool {
        if answer.body.len() > MAX_ANSWER_BYTES {
            return false;
        }
        let kept = tokio::time::timeout(WRITE_LIMIT, self.try_keep_answer(finish, answer));
        kept.await.is_ok_and(|kept| kept.is_ok())
    }

    async fn try_keep_answer(
        &self,
        finish: &FinishOnce,
        answer: &StoredAnswer,
    ) -> Result<(), StoreError> {
        let lease = self.answer_lease().await?;
        let value = encode(&(finish.claim, answer));
        let value = value.map_err(|cause| StoreError::Unavailable { cause })?;
        let key = answer_key(&finish.key);
        // Nearly always absent: only a key that is used again within the answer's lease finds one.
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

    /// Returns a lease under which an answer lasts as long as its record. Answers share it, because a lease each
    /// would double the writes.
    async fn answer_lease(&self) -> Result<LeaseId, StoreError> {
        let now = self.clock.now();
        let shared = *lock(&self.answer_lease);
        if let Some((lease, granted)) = shared
            && now.saturating_duration_since(granted) < LEASE_SHARED
        {
            return Ok(lease);
        }
        let lease = self.store.grant_lease(RECORD_TTL + LEASE_SHARED).await?;
        *lock(&self.answer_lease) = Some((lease, now));
        Ok(lease)
    }
}

fn apply(
    records: &mut IdempotencyRecords,
    ops: &[Op],
    now: std::time::SystemTime,
) -> Vec<ClaimDecision> {
    records.expire(now);
    let mut verdicts = Vec::new();
    for op in ops {
        match op {
            Op::Claim(claim, _) => verdicts.push(records.claim(claim, now)),
            Op::Finish(finish, _) => match finish.done {
                Some(kept) => records.finish_done(&finish.key, finish.claim, kept),
                None => records.finish_not_run(&finish.key, finish.claim, now),
            },
        }
    }
    verdicts
}

fn answer_key(key: &Digest) -> String {
    let mut name = String::from("once-answer/");
    for byte in key {
        let _ = write!(name, "{byte:02x}");
    }
    name
}
