//! Messages between entry hosts and the owner of a pool.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;

/// The upstreams of one model or service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolId {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The model or the service.
    pub model: ModelId,
}

/// What happens to a request that can't meet its deadline any more.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LatePolicy {
    /// It waits on.
    #[default]
    Wait,
    /// It is refused.
    Refuse,
}

/// Asks for upstreams. The answer may take as long as the request is queued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The entry host that holds the caller's connection. It is the sender, so it is not sent: the receiver takes it
    /// from the proof of the connection.
    #[serde(skip)]
    pub host: HostId,
    /// The incarnation of that host; not sent either.
    #[serde(skip)]
    pub incarnation: Incarnation,
    /// The pool.
    pub pool: PoolId,
    /// The customer; on open routes the name of the route.
    pub customer: CustomerId,
    /// The customer's weight in fair queueing: its rate in tokens a second.
    pub weight: Tokens,
    /// The prompt tokens; 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// The tokens to generate at most; 0 for a plain service.
    pub max_tokens: Tokens,
    /// The chained hashes of the prompt's pieces, see `request::prefix`.
    pub pieces: SmallVec<[u64; 8]>,
    /// The urgency.
    pub priority: Priority,
    /// The time left until the first token is due.
    pub deadline: Duration,
    /// What happens past the deadline.
    pub late: LatePolicy,
    /// The longest time to stay queued.
    pub max_wait: Duration,
    /// The longest time for which the attempt may hold its upstreams.
    pub hold_limit: Duration,
    /// Upstreams that failed this request before.
    pub avoid: SmallVec<[UpstreamId; 2]>,
}

impl PlaceRequest {
    /// Returns the process that asks.
    pub fn process(&self) -> (HostId, Incarnation) {
        (self.host.clone(), self.incarnation)
    }
}

/// The upstreams held for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The prefill engine; `None` for a plain service.
    pub prefill: Option<UpstreamId>,
    /// The decode engine or service runner whose slot is held.
    pub target: UpstreamId,
    /// The prompt tokens expected in the prefill engine's cache.
    pub expected_cached: Tokens,
}

/// The answer to `PlaceRequest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// Upstreams are held until `Release`.
    Placed(Placement),
    /// The pool can't serve it in time.
    Busy {
        /// The expected time in the queue.
        expected_wait: Duration,
    },
    /// The pool has no upstream that takes new work.
    NoUpstream,
    /// The receiver does not own the pool.
    NotOwner,
    /// The attempt was cancelled or has ended.
    Withdrawn,
}

/// Tells that an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The pool.
    pub pool: PoolId,
    /// How it ended.
    pub outcome: ReleaseOutcome,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// It delivered its whole answer.
    Finished {
        /// The tokens generated.
        output_tokens: Tokens,
    },
    /// The caller left.
    Cancelled,
    /// An upstream failed.
    Failed {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether the upstream seems to be down, rather than refusing this request.
        down: bool,
    },
}

/// Withdraws a place request, whether queued, placed or not seen yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelPlace {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The pool.
    pub pool: PoolId,
}

/// A running attempt with its entry host: what a pool owner needs to hold its slot and to end it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The entry host.
    pub host: HostId,
    /// The incarnation of that host.
    pub incarnation: Incarnation,
    /// The prompt tokens; 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// The tokens to generate at most; 0 for a plain service.
    pub max_tokens: Tokens,
    /// The longest time for which it may hold its upstreams.
    pub hold_limit: Duration,
    /// What is held for it.
    pub placement: Placement,
}

impl RunningAttempt {
    /// Returns what is running after a question was answered with a placement.
    pub fn new(asked: &PlaceRequest, placement: Placement) -> Self {
        Self {
            request: asked.request,
            attempt: asked.attempt,
            host: asked.host.clone(),
            incarnation: asked.incarnation,
            prompt_tokens: asked.prompt_tokens,
            max_tokens: asked.max_tokens,
            hold_limit: asked.hold_limit,
            placement,
        }
    }

    /// Returns the request and the number of the attempt.
    pub fn key(&self) -> (RequestId, AttemptNo) {
        (self.request, self.attempt)
    }

    /// Returns the process that asked for it.
    pub fn process(&self) -> (HostId, Incarnation) {
        (self.host.clone(), self.incarnation)
    }

    /// Returns the bytes that it takes at most in a message: the numbers take less than `NUMBERS`.
    fn size_bound(&self) -> usize {
        const NUMBERS: usize = 128;
        let prefill = self.placement.prefill.as_ref().map_or(0, |id| id.len());
        NUMBERS + self.host.len() + prefill + self.placement.target.len()
    }
}

/// The bytes of one part of a list at most, unless a single entry is larger. A larger message would hold up others
/// on the same connection.
pub const MAX_PART_BYTES: usize = 64 << 10;

/// The bytes at most of an ended attempt in a message.
const ENDED_BYTES: usize = 24;

/// Where a message stands in a list that is sent in parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPart {
    /// The incarnation of the process that made the list.
    pub sender: Incarnation,
    /// The list.
    pub list: ListNo,
    /// The number of the part, from 0.
    pub index: u32,
    /// Whether no further part follows.
    pub is_last: bool,
}

impl ListPart {
    /// Returns the only part of a list.
    pub fn only(sender: Incarnation, list: ListNo) -> Self {
        Self {
            sender,
            list,
            index: 0,
            is_last: true,
        }
    }

    fn at(self, index: usize, count: usize) -> Self {
        Self {
            index: u32::try_from(index).unwrap_or(u32::MAX),
            is_last: index + 1 == count,
            ..self
        }
    }
}

/// Divides a list into parts of at most `MAX_PART_BYTES`; the first may be empty.
fn divide<T>(items: Vec<T>, size_bound: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for item in items {
        let size = size_bound(&item);
        if bytes > 0 && bytes + size > MAX_PART_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts
}

/// Re-announces an entry host's running attempts to a new pool owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adopt {
    /// The pool.
    pub pool: PoolId,
    /// The entry host.
    pub host: HostId,
    /// The part of the list. Its sender is the host's incarnation.
    pub part: ListPart,
    /// The attempts.
    pub attempts: Vec<RunningAttempt>,
}

impl Adopt {
    /// Divides a whole list into messages of bounded size.
    pub fn split(self) -> Vec<Self> {
        let parts = divide(self.attempts, RunningAttempt::size_bound);
        let count = parts.len();
        let parts = parts.into_iter().enumerate();
        parts
            .map(|(index, attempts)| Self {
                pool: self.pool.clone(),
                host: self.host.clone(),
                part: self.part.at(index, count),
                attempts,
            })
            .collect()
    }
}

/// The pool owner's changes since the last batch, for its standby.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inflight {
    /// The pool.
    pub pool: PoolId,
    /// The part of the list, if the attempts below belong to a list of all there are, rather than being changes.
    pub whole: Option<ListPart>,
    /// Whether the sender gives the pool up to the receiver.
    pub hands_over: bool,
    /// Attempts placed.
    pub placed: Vec<RunningAttempt>,
    /// Attempts ended.
    pub ended: Vec<(RequestId, AttemptNo)>,
}

impl Inflight {
    /// Creates a batch without changes.
    pub fn empty(pool: PoolId) -> Self {
        Self {
            pool,
            whole: None,
            hands_over: false,
            placed: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Divides a batch into messages of bounded size. They may arrive in any order, because no attempt is both
    /// placed and ended in one batch.
    pub fn split(self) -> Vec<Self> {
        let mut placed = divide(self.placed, RunningAttempt::size_bound).into_iter();
        let mut ended = divide(self.ended, |_| ENDED_BYTES).into_iter();
        let count = placed.len().max(ended.len());
        (0..count)
            .map(|index| Self {
                pool: self.pool.clone(),
                whole: self.whole.map(|part| part.at(index, count)),
                hands_over: self.hands_over,
                placed: placed.next().unwrap_or_default(),
                ended: ended.next().unwrap_or_default(),
            })
            .collect()
    }
}
