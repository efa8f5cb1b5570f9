//! Refusals, and what they say about the request having run.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

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
    /// Combines the outcome of several attempts: one unknown makes the whole unknown.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        if self == Self::NotRun { other } else { self }
    }
}

/// The kinds of refusal that a caller can meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request does not parse or has absurd values.
    InvalidRequest,
    /// No key, or one that is unknown or withdrawn.
    InvalidKey,
    /// The key is not valid for this route.
    Forbidden,
    /// No such route or model.
    NotFound,
    /// The body or the token count is above the bound.
    TooLarge,
    /// The customer's rate and burst are used up.
    RateLimited,
    /// The request crashed upstreams and is not run again, or reuses a key with another body.
    Unprocessable,
    /// A request with the same idempotency key runs or ran.
    Duplicate,
    /// No upstream can take the request in time.
    Overloaded,
    /// A part that is needed to decide is away.
    Unavailable,
    /// The upstream failed.
    UpstreamFailed,
    /// The upstream did not answer in time.
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

    /// Returns the name that callers see.
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

/// An answer that tells the caller why its request was not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub run: Run,
    /// The message for the caller, naming the remedy.
    pub message: String,
    /// The time after which a repeat may succeed.
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

    /// Sets the time after which a repeat may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets the figures behind the decision.
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
