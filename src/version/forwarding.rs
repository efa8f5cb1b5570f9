//! A configuration version for requests that are passed on whole: routes by host name and path, services, customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::version::cell::Versioned;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once at most.
    Once,
    /// The answer is a stream of events; the request may run once at most.
    Stream,
    /// The answer is a stream of events that another upstream may continue after any event.
    ResumableStream,
}

impl RepeatPolicy {
    /// Tells whether the request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and its part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The service.
    pub service: ModelId,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// A route by host name and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRoute {
    /// The route.
    pub id: RouteId,
    /// The host name, in lower case.
    pub host: String,
    /// The path prefix; ends with a slash.
    pub prefix: String,
    /// The services that serve it.
    pub services: SmallVec<[ServiceShare; 2]>,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// The longest time for which a caller is kept waiting; `None` for no limit of its own.
    pub timeout: Option<Duration>,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Option<Duration>,
    /// The longest pause between two events of a stream that is on time.
    pub gap_target: Option<Duration>,
    /// The upstreams to which one request may be sent at most.
    pub max_attempts: u32,
    /// The urgency; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub open: bool,
}

impl ForwardRoute {
    /// Picks a service; `draw` is spread evenly over all numbers.
    pub fn pick_service(&self, draw: u64) -> Option<&ModelId> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.services.first().map(|share| &share.service);
        }
        let mut left = draw % total;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}

/// What the configuration says of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLimits {
    /// The tokens that fit into the memory of one engine.
    pub kv_tokens: Tokens,
    /// The time for which a prefilled prompt is kept.
    pub handle_ttl: Duration,
    /// The longest time for which memory can be reserved; `None` if the engines take no reservations.
    pub reservation_ttl: Option<Duration>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardService {
    /// The service.
    pub id: ModelId,
    /// The connections that one of its upstreams accepts from all hosts together.
    pub max_connections: u32,
    /// Its engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
}

/// A customer with its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardCustomer {
    /// The customer.
    pub id: CustomerId,
    /// The urgency that goes before the route's.
    pub priority: Option<u8>,
    /// The rate in tokens a second over all hosts together; 0 for no limit.
    pub rate: Tokens,
    /// The burst in tokens over all hosts together.
    pub burst: Tokens,
    /// Whether requests are charged by the tokens that they state.
    pub charges_tokens: bool,
    /// What a request that states no tokens is charged.
    pub default_cost: Tokens,
}

/// The bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The time for which a connection may be idle.
    pub idle: Duration,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// A whole configuration version with its lookup tables.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ForwardingTable {
    /// The version; 0 means that there is none yet.
    pub version: Version,
    /// The routes by host name, longest prefix first.
    routes: HashMap<String, Vec<Arc<ForwardRoute>>>,
    /// The services.
    pub services: HashMap<ModelId, Arc<ForwardService>>,
    /// The customers.
    pub customers: HashMap<CustomerId, Arc<ForwardCustomer>>,
    /// The customers by the hash of their keys.
    pub keys: HashMap<Digest, CustomerId>,
    /// Whether routes that are not open need a key.
    pub requires_keys: bool,
    /// The bounds on callers.
    pub bounds: CallerBounds,
}

impl Versioned for ForwardingTable {
    fn version(&self) -> Version {
        self.version
    }
}

impl ForwardingTable {
    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = ForwardRoute>) -> Self {
        for route in routes {
            let same_host = self.routes.entry(route.host.clone()).or_default();
            same_host.push(Arc::new(route));
        }
        for same_host in self.routes.values_mut() {
            same_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<ForwardRoute>> {
        let same_host = self.routes.get(host)?;
        same_host.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the customer to whom the key with this hash belongs.
    pub fn customer_of(&self, key: &Digest) -> Option<&Arc<ForwardCustomer>> {
        self.customers.get(self.keys.get(key)?)
    }
}
