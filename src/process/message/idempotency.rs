//! Messages about requests that run at most once.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Claims an idempotency key before the request is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOnce {
    /// The claim; unique, so that a lost reply can be settled by reading back.
    pub claim: RequestId,
    /// The hash of customer, route and idempotency key.
    pub key: Digest,
    /// The hash of the body.
    pub body: Digest,
}

/// The answer to `ClaimOnce`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceReply {
    /// The claim is recorded; send the request.
    Claimed,
    /// The key is claimed by a request that may still run, or whose outcome is unknown.
    Started,
    /// The key's request was answered.
    Done {
        /// The stored answer, if it was kept.
        answer: Option<StoredAnswer>,
    },
    /// The key was used with another body.
    BodyDiffers,
    /// The store did not confirm; the request must not be sent.
    Unavailable,
    /// The key's group of records has reached the size of a store value; the request must not be sent.
    Full,
}

/// The answer of a request that ran once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Records the outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishOnce {
    /// The claim.
    pub claim: RequestId,
    /// The key.
    pub key: Digest,
    /// The outcome.
    pub outcome: OnceOutcome,
}

/// The outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// It certainly did not run; the key may be claimed again.
    NotRun,
    /// It was answered.
    Done(StoredAnswer),
}

/// Tells that a request crashed an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The hash of customer, route and body.
    pub fingerprint: Digest,
    /// The request that crashed it; each crash counts once.
    pub request: RequestId,
    /// The attempt that crashed it.
    pub attempt: AttemptNo,
    /// The upstream that crashed.
    pub upstream: UpstreamId,
}
