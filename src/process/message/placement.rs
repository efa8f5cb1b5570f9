//! Messages between entry hosts, the owner of a pool and its standby.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::stated_time;

/// The upstreams of one model or service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolId {
    /// The data centre of all upstreams of the pool.
    pub data_centre: DataCentreId,
    /// The model that its engines run, or the name of its plain service.
    pub model: ModelId,
}

/// The policy for a request that can't meet its deadline any more.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LatePolicy {
    /// It stays queued for up to `max_wait`.
    #[default]
    Wait,
    /// It is refused, also on arrival if the expected wait is too long.
    Refuse,
}

/// Requests upstreams for an attempt. The pool owner replies after the time in the queue, at most `max_wait`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The request to place.
    pub request: RequestId,
    /// The attempt to place; a repeat gets the same placement.
    pub attempt: AttemptNo,
    /// The entry host that holds the caller's connection. It is the sender and not encoded: the receiver takes it from
    /// the authenticated connection.
    #[serde(skip)]
    pub host: HostId,
    /// The incarnation of that host; not encoded either.
    #[serde(skip)]
    pub incarnation: Incarnation,
    /// The pool to place it in.
    pub pool: PoolId,
    /// The customer; on open routes the name of the route.
    pub customer: CustomerId,
    /// The customer's weight in fair queueing: its rate in tokens a second.
    pub weight: Tokens,
    /// The prompt tokens; 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// The maximum of tokens to generate; 0 for a plain service.
    pub max_tokens: Tokens,
    /// The chained hashes of the prompt's pieces, see `request::prefix`.
    pub pieces: SmallVec<[u64; 8]>,
    /// The class of the request, which decides its order in the queue.
    pub priority: Priority,
    /// The time left until the first token is due.
    #[serde(deserialize_with = "stated_time::deserialize")]
    pub deadline: Duration,
    /// What happens when the deadline can't be met.
    pub late: LatePolicy,
    /// The longest time to stay queued.
    #[serde(deserialize_with = "stated_time::deserialize")]
    pub max_wait: Duration,
    /// The longest time for which the attempt may hold its upstreams.
    #[serde(deserialize_with = "stated_time::deserialize")]
    pub hold_limit: Duration,
    /// The upstreams that failed an earlier attempt of this request.
    pub avoid: SmallVec<[UpstreamId; 2]>,
}

impl PlaceRequest {
    /// Returns the process that sent the request.
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

/// The reply to `PlaceRequest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReply {
    /// The attempt is placed; its upstreams are held until `Release`.
    Placed(Placement),
    /// The pool can't serve the attempt in time.
    Busy {
        /// The expected time in the queue.
        #[serde(deserialize_with = "stated_time::deserialize")]
        expected_wait: Duration,
    },
    /// The pool has no upstream that takes new work.
    NoUpstream,
    /// The receiver does not own the pool.
    NotOwner,
    /// The attempt was cancelled or has ended.
    Withdrawn,
}

/// Tells that an attempt ended, so that its upstreams are free again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt that ended.
    pub attempt: AttemptNo,
    /// The pool that placed it.
    pub pool: PoolId,
    /// How it ended; says which upstream failed, if one did.
    pub outcome: ReleaseOutcome,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// Its answer was complete.
    Finished {
        /// The tokens of the whole answer, also those of earlier attempts; 0 for a plain service.
        output_tokens: Tokens,
    },
    /// The caller disconnected.
    Cancelled,
    /// An upstream failed, or refused the attempt.
    Failed {
        /// The upstream that failed.
        upstream: UpstreamId,
        /// Whether the upstream seems to be down; false if it refused this request.
        down: bool,
    },
}

/// Withdraws a place request, whether it is queued, placed or not received yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelPlace {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt to withdraw.
    pub attempt: AttemptNo,
    /// The pool of the place request.
    pub pool: PoolId,
}

/// A running attempt with its entry host: what a new pool owner needs to reserve its slot and to end it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The entry host that runs it.
    pub host: HostId,
    /// The incarnation of that host.
    pub incarnation: Incarnation,
    /// The prompt tokens; 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// The maximum of tokens to generate; 0 for a plain service.
    pub max_tokens: Tokens,
    /// The longest time for which it may hold its upstreams.
    #[serde(deserialize_with = "stated_time::deserialize")]
    pub hold_limit: Duration,
    /// The upstreams that are held for it.
    pub placement: Placement,
}

impl RunningAttempt {
    /// Creates the running attempt of a request that was placed.
    pub fn new(req: &PlaceRequest, placement: Placement) -> Self {
        Self {
            request: req.request,
            attempt: req.attempt,
            host: req.host.clone(),
            incarnation: req.incarnation,
            prompt_tokens: req.prompt_tokens,
            max_tokens: req.max_tokens,
            hold_limit: req.hold_limit,
            placement,
        }
    }

    /// Returns the request and the number of the attempt.
    pub fn key(&self) -> (RequestId, AttemptNo) {
        (self.request, self.attempt)
    }

    /// Returns the process of its entry host.
    pub fn process(&self) -> (HostId, Incarnation) {
        (self.host.clone(), self.incarnation)
    }

    /// Returns an upper bound of its encoded size in bytes. All numbers together take less than `MAX_NUMBER_BYTES`.
    fn size_bound(&self) -> usize {
        const MAX_NUMBER_BYTES: usize = 128;
        let prefill = self.placement.prefill.as_ref().map_or(0, |id| id.len());
        MAX_NUMBER_BYTES + self.host.len() + prefill + self.placement.target.len()
    }
}

/// The maximum size of one part of a list in bytes, unless a single entry is larger. A larger message would delay
/// others on the same connection.
pub const MAX_PART_BYTES: usize = 64 << 10;

/// An upper bound of the encoded size of an ended attempt, in bytes.
const MAX_ENDED_BYTES: usize = 24;

/// The position of a message in a list that is sent in parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPart {
    /// The incarnation of the process that sends the list.
    pub sender: Incarnation,
    /// The number of the list; a higher one is newer.
    pub list: ListNo,
    /// The index of the part, from 0.
    pub index: u32,
    /// Whether this is the last part.
    pub is_last: bool,
}

impl ListPart {
    /// Returns the position of a list that has a single part.
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

/// Splits a list into parts of at most `MAX_PART_BYTES`. An empty list gives one empty part.
fn split_by_size<T>(items: Vec<T>, size_bound: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
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

/// Announces an entry host's running attempts to a new pool owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adopt {
    /// The pool that placed the attempts.
    pub pool: PoolId,
    /// The entry host that runs them.
    pub host: HostId,
    /// The position of this message in the list. Its `sender` is the incarnation of `host`.
    pub part: ListPart,
    /// The attempts in this part of the list.
    pub attempts: Vec<RunningAttempt>,
}

impl Adopt {
    /// Splits a whole list into messages of bounded size.
    pub fn split(self) -> Vec<Self> {
        let parts = split_by_size(self.attempts, RunningAttempt::size_bound);
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

/// The pool owner's changes since the last batch, or a part of a full list, for its standby.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inflight {
    /// The pool whose placements changed.
    pub pool: PoolId,
    /// The position of this message in a list of all placements; `None` if it contains changes.
    pub whole: Option<ListPart>,
    /// Whether the sender hands the pool over to the receiver.
    pub hands_over: bool,
    /// The attempts that were placed.
    pub placed: Vec<RunningAttempt>,
    /// The attempts that ended.
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

    /// Splits a batch into messages of bounded size. They may arrive in any order, because no attempt is both placed
    /// and ended in the same batch.
    pub fn split(self) -> Vec<Self> {
        let mut placed = split_by_size(self.placed, RunningAttempt::size_bound).into_iter();
        let mut ended = split_by_size(self.ended, |_| MAX_ENDED_BYTES).into_iter();
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
