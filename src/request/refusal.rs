//! Refusals, and whether the refused request may have run.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::stated_time;

/// Whether a failed request may have run at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No byte reached an upstream, or the upstream refused it.
    NotRun,
    /// It may have run, wholly or in part.
    Unknown,
}

impl Run {
    /// Combines two attempts: the request may have run if either of them may have.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        if self == Self::NotRun { other } else { self }
    }
}

/// The kinds of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request does not parse or has a value out of range.
    InvalidRequest,
    /// No key, or one that is unknown or withdrawn.
    InvalidKey,
    /// The key is not valid for this route.
    Forbidden,
    /// No such route or model.
    NotFound,
    /// The body or the number of tokens is above its limit.
    TooLarge,
    /// The customer's rate and burst don't cover the request.
    RateLimited,
    /// The request crashed upstreams and is not run again, or reuses an idempotency key with another body.
    Unprocessable,
    /// A request with the same idempotency key runs or ran.
    Duplicate,
    /// No upstream can take the request in time.
    Overloaded,
    /// A component that is needed to decide on the request can't be reached.
    Unavailable,
    /// No upstream completed the request.
    UpstreamFailed,
    /// The upstream did not respond within its time limit.
    UpstreamTimeout,
}

impl RefusalKind {
    /// Returns the HTTP status for the kind.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::InvalidKey => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Duplicate => 409,
            Self::TooLarge => 413,
            Self::Unprocessable => 422,
            Self::RateLimited => 429,
            Self::UpstreamFailed => 502,
            Self::Overloaded | Self::Unavailable => 503,
            Self::UpstreamTimeout => 504,
        }
    }

    /// Returns the name used in responses, in the journal and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::InvalidKey => "invalid_key",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::TooLarge => "too_large",
            Self::RateLimited => "rate_limited",
            Self::Unprocessable => "unprocessable",
            Self::Duplicate => "duplicate",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamTimeout => "upstream_timeout",
        }
    }
}

/// A response that tells the caller why its request was not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind, which decides the HTTP status.
    pub kind: RefusalKind,
    /// Whether any attempt of the request may have run.
    pub run: Run,
    /// The message for the caller, which says what to do.
    pub message: String,
    /// The time after which a repeat may succeed, sent as `Retry-After`; `None` if it can't be predicted.
    pub retry_after: Option<Duration>,
    /// The figures behind the decision, for the journal; callers don't see them.
    #[serde(skip)]
    pub figures: String,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            run: Run::NotRun,
            message: message.into(),
            retry_after: None,
            figures: String::new(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            run: Run::Unknown,
            ..Self::not_run(kind, message)
        }
    }

    /// Sets the time after which a repeat may succeed, sent as `Retry-After`.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(stated_time::bounded(wait));
        self
    }

    /// Sets the figures behind the decision, for the journal.
    #[must_use]
    pub fn with_figures(mut self, figures: impl Into<String>) -> Self {
        self.figures = figures.into();
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.name(), self.message)
    }
}

impl std::error::Error for Refusal {}
