//! Messages about idempotency keys, and about crashes caused by requests.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Claims an idempotency key before its request is sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOnce {
    /// The id of the claim; unique, so that the owner can read back whether a claim took effect whose reply was lost.
    pub claim: RequestId,
    /// The hash of customer, route and idempotency key.
    pub key: Digest,
    /// The hash of the body.
    pub body: Digest,
}

/// The reply to `ClaimOnce`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceReply {
    /// The claim is recorded; send the request.
    Claimed,
    /// The key is claimed by a request that may still run, or whose outcome is unknown.
    Started,
    /// The key's request was answered.
    Done {
        /// The stored answer; `None` if it was not kept.
        answer: Option<StoredAnswer>,
    },
    /// The key was claimed with another body.
    BodyDiffers,
    /// The store did not confirm the claim; the request must not be sent.
    Unavailable,
    /// The store value that would hold the record has reached its maximum size; the request must not be sent.
    Full,
}

/// The answer of an upstream, stored to be replayed to repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status, replayed unchanged.
    pub status: u16,
    /// The `Content-Type` header; `None` if the answer had none.
    pub content_type: Option<String>,
    /// The whole body; the answer is not kept if it exceeds `MAX_ANSWER_BYTES`.
    pub body: Vec<u8>,
}

/// Records the outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishOnce {
    /// The id of the claim.
    pub claim: RequestId,
    /// The hash of customer, route and idempotency key, as in the claim.
    pub key: Digest,
    /// What became of the request.
    pub outcome: OnceOutcome,
}

/// The outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// The request certainly did not run; the key may be claimed again.
    NotRun,
    /// The request was answered.
    Done(StoredAnswer),
}

/// Tells that a request crashed an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The hash of customer, route and body.
    pub fingerprint: Digest,
    /// The request that the upstream was running.
    pub request: RequestId,
    /// The attempt that the upstream was running; reports of the same attempt count as one crash.
    pub attempt: AttemptNo,
    /// The upstream that crashed.
    pub upstream: UpstreamId,
}

impl CrashReport {
    /// Returns what identifies the crash among those that are held against fingerprints.
    pub fn id(&self) -> CrashId {
        CrashId {
            fingerprint: self.fingerprint,
            request: self.request,
        }
    }
}

/// A crash that is held against a fingerprint, or a trial that may end in one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The fingerprint.
    pub fingerprint: Digest,
    /// The request that the upstream was running.
    pub request: RequestId,
}
