//! The types of a forwarded request, its attempts and its responses, independent of their encoding.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::settings::Regions;
use crate::process::quarantine::{fingerprint, part_fingerprint};
use crate::version::forwarding::{ForwardCustomer, ForwardRoute, Homes};

/// The token counts that a request states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The maximum to generate.
    pub output: Tokens,
}

impl TokenCounts {
    /// Returns the KV memory in tokens that a running request takes on average. It grows with each generated token, and most
    /// requests generate about half of their maximum.
    pub fn expected_kv_tokens(self) -> Tokens {
        self.prompt.saturating_add(self.output / 4)
    }

    /// Returns the sum that the customer is charged.
    pub fn total(self) -> Tokens {
        self.prompt.saturating_add(self.output)
    }
}

/// The decoded head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The request id, chosen by the caller.
    pub id: Arc<str>,
    /// The requested host name, in lower case and without a port.
    pub host: String,
    /// The hash of the caller's API key; `None` if the request has none.
    pub key_hash: Option<Digest>,
    /// How long the caller waits from the start of this call; `None` if it doesn't say.
    pub timeout: Option<Duration>,
    /// The stated token counts; `None` if the request has none.
    pub tokens: Option<TokenCounts>,
    /// The model that the upstream must hold; `None` for any.
    pub model: Option<Name>,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: SmallVec<[Name; 4]>,
    /// The id of the last event that the caller received of a stream that it resumes.
    pub last_event_id: Option<String>,
}

/// An admitted request with its body.
#[derive(Debug, Clone)]
pub struct Call {
    /// What the router decoded from the head of the request.
    pub head: CallHead,
    /// The HTTP method, which upstreams get unchanged.
    pub method: Method,
    /// The path and query, which upstreams get unchanged.
    pub uri: Uri,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The whole body, which every attempt sends.
    pub body: Bytes,
    /// The route that the request matched.
    pub route: Arc<ForwardRoute>,
    /// The customer that is charged; `None` if no valid key was given on an open route, or no customers are configured.
    pub customer: Option<Arc<ForwardCustomer>>,
    /// The deadline: the caller's or the route's, whichever is earlier.
    pub deadline: Instant,
    /// When its head was read.
    pub arrived: Instant,
}

impl Call {
    /// Returns the tokens that the customer is charged for the request.
    pub fn cost(&self) -> Tokens {
        match (self.head.tokens, &self.customer) {
            (_, None) => 0,
            (Some(tokens), Some(customer)) if customer.charges_tokens => tokens.total(),
            (_, Some(customer)) => customer.default_cost,
        }
    }

    /// Returns the id under which the quarantine knows the request. Callers choose ids of any length; the first 16 bytes of the hash fit
    /// into a `RequestId`.
    pub fn quarantine_id(&self) -> RequestId {
        let hash = blake3::hash(self.head.id.as_bytes());
        let mut id = [0; 16];
        id.copy_from_slice(&hash.as_bytes()[..16]);
        RequestId::from_le_bytes(id)
    }

    /// Returns the hash by which the quarantine recognizes equal requests.
    pub fn fingerprint(&self) -> Digest {
        let customer = self.customer.as_ref().map_or("", |customer| &*customer.id);
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        fingerprint(customer, path, &[self.head.host.as_bytes(), &self.body])
    }

    /// Returns the hashes by which the quarantine recognizes the shared parts of the prompt.
    pub fn part_fingerprints(&self) -> SmallVec<[Digest; 4]> {
        let model = self.head.model.as_deref().unwrap_or_default();
        let parts = self.head.shared_parts.iter();
        parts.map(|part| part_fingerprint(model, part)).collect()
    }

    /// Returns the hashes under which crashes count against the request: its own and those of the parts of its prompt.
    pub fn fingerprints(&self) -> SmallVec<[Digest; 4]> {
        let mut fingerprints = self.part_fingerprints();
        fingerprints.push(self.fingerprint());
        fingerprints
    }

    /// Returns the regions to which the request is confined by its route, its customer or both; `None` for all.
    pub fn homes(&self) -> Option<Homes> {
        let customer = self.customer.as_ref();
        match (&self.route.homes, customer.and_then(|c| c.homes.as_ref())) {
            (Some(route), Some(customer)) => Some(route.common(customer)),
            (route, customer) => route.as_ref().or(customer).cloned(),
        }
    }

    /// Returns whether the request, or memory with its prompt, may be at an upstream in `data_centre`. One of unknown region is in no
    /// home.
    pub fn may_reach(&self, data_centre: &DataCentreId, regions: &Regions) -> bool {
        let customer = self.customer.as_ref();
        let customer = customer.and_then(|customer| customer.homes.as_ref());
        let mut homes = self.route.homes.iter().chain(customer);
        homes.all(|homes| {
            let region = regions.get(data_centre);
            region.is_some_and(|region| homes.contains(region))
        })
    }

    /// Returns the priority; 0 is the most urgent.
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
pub enum CallPart {
    /// Prompt and tokens, or a call without generation.
    Whole,
    /// The prefill of the prompt only.
    Prefill,
    /// The generation of tokens from a prompt that another engine prefilled.
    Decode {
        /// The address of the engine that holds the prefilled prompt.
        source: SocketAddr,
        /// The handle of the prompt at that engine.
        handle: Arc<str>,
    },
}

/// The headers that one attempt adds to a call, before their encoding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHead {
    /// The intended upstream; any other one at its address refuses the call.
    pub upstream: UpstreamId,
    /// The part of the call to run.
    pub part: CallPart,
    /// The time until the deadline of the call.
    pub time_left: Duration,
    /// The id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<String>,
    /// The name of the reservation that the call uses.
    pub reservation: Option<Arc<str>>,
}

/// A request to reserve KV memory at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservationRequest {
    /// The intended engine, named in the request so that any other one at its address refuses.
    pub upstream: UpstreamId,
    /// The amount of memory, in tokens.
    pub tokens: Tokens,
    /// The time after which the engine frees the reservation.
    pub ttl: Duration,
}

/// The decoded head of an upstream's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the request that it answers; `None` if the response has none.
    pub request_id: Option<String>,
    /// Whether it carries a signature of the upstream; the signature isn't verified.
    pub is_signed: bool,
    /// Whether the upstream states that the call did not run and won't.
    pub not_run: bool,
    /// Whether the upstream states that it leaves: it finishes its work and wants no more.
    pub is_leaving: bool,
    /// The time for which the upstream wants no call from this host, if it turned this one away and said so.
    pub retry_after: Option<Duration>,
    /// The id of the upstream that answered; given if it refused a call intended for another one.
    pub upstream: Option<String>,
}

/// The response to a prefill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillResponse {
    /// The handle under which the engine holds the prefilled prompt.
    pub handle: Arc<str>,
}
