//! The border to model engines.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// How urgent a request is.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Someone waits for the answer.
    #[default]
    Interactive,
    /// Queued work such as overnight drafts.
    Batch,
}

/// A prompt to run through a prefill engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillJob {
    /// The request.
    pub request: RequestId,
    /// The attempt; the engine drops what belongs to older ones.
    pub attempt: AttemptNo,
    /// The model.
    pub model: ModelId,
    /// The whole prompt, with the tokens already answered when it is a continuation.
    pub prompt: String,
    /// The urgency.
    pub priority: Priority,
    /// The time after which the engine frees whatever it holds for the request.
    pub deadline: Duration,
}

/// The outcome of a prefill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillResult {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The tokens of the prompt as the engine counts them.
    pub prompt_tokens: Tokens,
    /// The tokens found in the engine's prefix cache.
    pub cached_tokens: Tokens,
    /// The name of the KV cache at the prefill engine; evicted in under a second.
    pub kv: String,
}

/// A stream to start at a decode engine from an exported KV cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecodeJob {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The model.
    pub model: ModelId,
    /// The address of the prefill engine that exports the KV cache.
    pub source: String,
    /// The name of the KV cache there.
    pub kv: String,
    /// The offset of the first token to generate; above zero for a continuation.
    pub offset: u32,
    /// The tokens to generate at most, counted from `offset`.
    pub max_tokens: u32,
    /// The urgency.
    pub priority: Priority,
    /// The time after which the engine frees whatever it holds for the request.
    pub deadline: Duration,
}

/// One element of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request that the frame belongs to.
    pub request: RequestId,
    /// The attempt that the frame belongs to.
    pub attempt: AttemptNo,
    /// The offset of the token in the whole answer.
    pub offset: u32,
    /// The token, or the end of the answer.
    pub content: FrameContent,
}

/// The content of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FrameContent {
    /// One token as text.
    Token(String),
    /// The end of the answer.
    End(FinishReason),
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// The token bound ended it.
    Length,
}

impl FinishReason {
    /// Returns the name used in completions.
    pub fn name(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// A load report; it lags behind the engine's state.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The age of the figures when the engine answered.
    pub age: Duration,
    /// The requests running.
    pub running: u32,
    /// The prompt tokens waiting for prefill.
    pub queued_tokens: Tokens,
    /// The bytes of KV cache held for requests.
    pub kv_bytes: u64,
}

/// The cache events after a sequence number.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The sequence number of the first event below.
    pub first: u64,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// A change of an engine's prefix cache. A piece is named by the chained hash of the prompt up to
/// its end, see `request::prefix`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// The piece is now cached.
    Stored(u64),
    /// The piece was evicted.
    Evicted(u64),
}

/// What an engine is wanted to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the order-giver.
    pub fence: Epoch,
    /// The model wanted.
    pub model: ModelId,
    /// The version of the model wanted.
    pub model_version: String,
    /// The adapters wanted.
    pub adapters: Vec<String>,
    /// The role wanted: `prefill` or `decode`.
    pub role: String,
    /// The time after which the engine ignores the order.
    pub timeout: Duration,
}

/// Why an upstream call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamError {
    /// The kind.
    pub kind: UpstreamErrorKind,
    /// Whether the request may have run.
    pub run: Run,
    /// What failed, for logs and the dump.
    pub cause: String,
}

/// The kinds of upstream failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamErrorKind {
    /// No connection could be opened.
    Unreachable,
    /// The upstream refused the request.
    Refused,
    /// The upstream has no free slot.
    Full,
    /// The KV cache is evicted, or the request unknown there.
    Gone,
    /// The connection broke.
    Broken,
    /// No answer, or no next token, in time.
    Timeout,
    /// The answer does not parse or belongs to another request.
    Invalid,
    /// A newer fencing number was seen.
    Fenced,
}

impl UpstreamErrorKind {
    /// Returns the name used in the journal and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Full => "full",
            Self::Gone => "gone",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Invalid => "invalid",
            Self::Fenced => "fenced",
        }
    }
}

impl UpstreamError {
    /// Creates an error of a call that certainly did not run.
    pub fn not_run(kind: UpstreamErrorKind, cause: impl fmt::Display) -> Self {
        Self {
            kind,
            run: Run::NotRun,
            cause: cause.to_string(),
        }
    }

    /// Creates an error of a call that may have run.
    pub fn may_have_run(kind: UpstreamErrorKind, cause: impl fmt::Display) -> Self {
        Self {
            run: Run::Unknown,
            ..Self::not_run(kind, cause)
        }
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "upstream {:?} ({:?}): {}",
            self.kind, self.run, self.cause
        )
    }
}

impl std::error::Error for UpstreamError {}

/// A running token stream. Dropping it closes the connection but does not cancel the request.
#[async_trait]
pub trait TokenStream: Send {
    /// Returns the next frame. It may belong to another request or attempt; the reader checks.
    ///
    /// # Errors
    /// Returns an error if the stream breaks, goes silent past its token gap or can't be parsed.
    async fn next(&mut self) -> Result<Frame, UpstreamError>;
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Runs a prefill.
    ///
    /// # Errors
    /// Returns an error with `run` telling whether the engine may have run it.
    async fn prefill(&self, job: PrefillJob) -> Result<PrefillResult, UpstreamError>;

    /// Transfers the KV cache to this engine and starts the stream.
    ///
    /// # Errors
    /// Returns an error with `run` telling whether the engine may have run it.
    async fn decode(&self, job: DecodeJob) -> Result<Box<dyn TokenStream>, UpstreamError>;

    /// Reopens the stream of a request at `offset` under a higher attempt number.
    ///
    /// # Errors
    /// Returns `Gone` if the engine does not hold the request any more.
    async fn resume(
        &self,
        request: RequestId,
        attempt: AttemptNo,
        offset: u32,
    ) -> Result<Box<dyn TokenStream>, UpstreamError>;

    /// Frees whatever the engine holds for the attempts up to `attempt`. Repeating it is harmless; a cancel that
    /// arrives first stops the request when it arrives.
    ///
    /// # Errors
    /// Returns an error if the engine did not confirm.
    async fn cancel(&self, request: RequestId, attempt: AttemptNo) -> Result<(), UpstreamError>;

    /// Reads the load report.
    ///
    /// # Errors
    /// Returns an error if the engine did not answer.
    async fn load(&self) -> Result<EngineLoad, UpstreamError>;

    /// Reads the cache events from sequence number `from` on.
    ///
    /// # Errors
    /// Returns an error if the engine did not answer.
    async fn cache_events(&self, from: u64) -> Result<CacheEvents, UpstreamError>;

    /// Gives an order that states a wanted end state.
    ///
    /// # Errors
    /// Returns `Fenced` if the engine has seen a newer fencing number.
    async fn order(&self, order: Order) -> Result<(), UpstreamError>;
}
