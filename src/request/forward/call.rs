//! A caller's request that is passed on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::prelude::*;
use crate::process::quarantine::fingerprint;
use crate::version::forwarding::{ForwardCustomer, ForwardRoute};

/// The tokens that a request states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// The tokens of the prompt.
    pub prompt: Tokens,
    /// The most tokens to generate.
    pub output: Tokens,
}

impl TokenCounts {
    /// Returns the memory in tokens that a running request takes on average: it grows with each token generated, and most
    /// requests generate about half of what they may.
    pub fn memory(self) -> Tokens {
        self.prompt.saturating_add(self.output / 4)
    }

    /// Returns the sum, which is charged.
    pub fn total(self) -> Tokens {
        self.prompt.saturating_add(self.output)
    }
}

/// What the head of a request says, apart from its encoding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's id of the request.
    pub id: Arc<str>,
    /// The host name that the caller asks for, in lower case.
    pub host: String,
    /// The hash of the caller's key.
    pub key: Option<Digest>,
    /// The time for which the caller waits.
    pub patience: Option<Duration>,
    /// The tokens stated.
    pub tokens: Option<TokenCounts>,
    /// The model.
    pub model: Option<Name>,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event: Option<String>,
}

/// A request that was admitted, with its body.
#[derive(Debug, Clone)]
pub struct Call {
    /// What its head says.
    pub head: CallHead,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<ForwardRoute>,
    /// The customer; `None` on open routes.
    pub customer: Option<Arc<ForwardCustomer>>,
    /// The deadline: the caller's or the route's, whichever is first.
    pub deadline: Instant,
    /// The time at which its head had been read.
    pub arrived: Instant,
}

impl Call {
    /// Returns the tokens that the request is charged.
    pub fn cost(&self) -> Tokens {
        match (self.head.tokens, &self.customer) {
            (_, None) => 0,
            (Some(tokens), Some(customer)) if customer.charges_tokens => tokens.total(),
            (_, Some(customer)) => customer.default_cost,
        }
    }

    /// Returns what makes two requests the same for the quarantine.
    pub fn fingerprint(&self) -> Digest {
        let customer = self.customer.as_ref().map_or("", |customer| &*customer.id);
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        fingerprint(customer, path, &[self.head.host.as_bytes(), &self.body])
    }

    /// Returns the urgency; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let customer = self
            .customer
            .as_ref()
            .and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority)
    }
}

/// The part of a call that an upstream is asked to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// All of it.
    Whole,
    /// The prompt only.
    Prefill,
    /// The tokens, from a prompt that was prefilled elsewhere.
    Decode {
        /// The address of the engine that holds the prefilled prompt.
        source: SocketAddr,
        /// Its name there.
        handle: Arc<str>,
    },
}

/// What one attempt adds to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHead {
    /// The upstream that is meant; another one at its address refuses the call.
    pub upstream: UpstreamId,
    /// The part to run.
    pub part: Part,
    /// The time left.
    pub time_left: Duration,
    /// The last event that the caller has, if a stream is resumed.
    pub last_event: Option<String>,
    /// The name of the memory that was reserved for the call.
    pub reservation: Option<Arc<str>>,
}

/// Memory to reserve at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservationRequest {
    /// The engine that is meant.
    pub upstream: UpstreamId,
    /// The tokens to reserve memory for.
    pub tokens: Tokens,
    /// The time after which the engine gives the memory to others.
    pub ttl: Duration,
}

/// What the head of an upstream's answer says, apart from its encoding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether the upstream signed it.
    pub is_signed: bool,
    /// Whether the upstream says that the call did not run and won't.
    pub not_run: bool,
    /// The upstream that answered, if it says so.
    pub upstream: Option<String>,
}

/// A prefilled prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefilled {
    /// Its name at the engine that holds it.
    pub handle: Arc<str>,
}
