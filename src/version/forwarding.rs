//! A configuration version for requests that are forwarded whole: routes by host name and path, services, customers.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::prelude::*;
use crate::version::cell::Versioned;

/// Whether a request may run more than once, and whether its answer is a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The answer is a stream of events; the request may run at most once.
    Stream,
    /// The answer is a stream of events that another upstream may continue after any event.
    ResumableStream,
}

impl RepeatPolicy {
    /// Returns whether the request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and its weight in the traffic split of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// The id of the service.
    pub service: ModelId,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// The regions to which the requests of a route or a customer are confined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Homes(SmallVec<[RegionId; 2]>);

impl Homes {
    /// Creates homes from a list of regions; `None` for an empty list, which confines nothing.
    pub fn new(regions: impl IntoIterator<Item = RegionId>) -> Option<Self> {
        let mut regions: SmallVec<[RegionId; 2]> = regions.into_iter().collect();
        regions.sort();
        regions.dedup();
        (!regions.is_empty()).then_some(Self(regions))
    }

    /// Returns the regions in their order.
    pub fn regions(&self) -> &[RegionId] {
        &self.0
    }

    /// Returns whether requests may run in `region`.
    pub fn contains(&self, region: &RegionId) -> bool {
        self.0.contains(region)
    }

    /// Returns the regions that both lists contain, possibly none.
    #[must_use]
    pub fn common(&self, other: &Self) -> Self {
        let common = self.0.iter().filter(|region| other.contains(region));
        Self(common.cloned().collect())
    }
}

/// A route by host name and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRoute {
    /// The name of the route in the configuration.
    pub id: RouteId,
    /// The host name, in lower case.
    pub host: String,
    /// The path prefix; ends with a slash.
    pub prefix: String,
    /// The services among which requests are split.
    pub services: SmallVec<[ServiceShare; 2]>,
    /// Whether requests may run more than once.
    pub repeat: RepeatPolicy,
    /// The longest time that a caller waits; `None` if the route sets no limit.
    pub timeout: Option<Duration>,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Option<Duration>,
    /// The longest pause between two events of a stream that is on time.
    pub gap_target: Option<Duration>,
    /// The maximum number of upstreams to which one request is sent.
    pub max_attempts: u32,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether callers need no key.
    pub open: bool,
    /// The regions to which its requests are confined; `None` for all.
    pub homes: Option<Homes>,
}

impl ForwardRoute {
    /// Picks a service by weight; `draw` is uniformly distributed over all `u64` values.
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

/// The configured limits of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLimits {
    /// The KV cache capacity of one engine, in tokens.
    pub kv_tokens: Tokens,
    /// The time for which an engine keeps a prefilled prompt.
    pub handle_ttl: Duration,
    /// The longest time for which memory can be reserved; `None` if the engines take no reservations.
    pub reservation_ttl: Option<Duration>,
}

/// How an upstream of a service behaves after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// The time for which an upstream is cold after a start during traffic.
    pub duration: Duration,
    /// The requests per second that a cold upstream can take from all hosts together.
    pub requests_per_second: f64,
}

/// A service and the capacity of its upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardService {
    /// The name of the service in the configuration.
    pub id: ModelId,
    /// The maximum number of connections that one of its upstreams accepts from all hosts together.
    pub max_connections: u32,
    /// Its engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// What its upstreams can take after a start; `None` if they are never cold.
    pub cold: Option<ColdLimits>,
}

/// A customer with its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardCustomer {
    /// The name of the customer in the configuration.
    pub id: CustomerId,
    /// The priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// The rate in tokens a second over all hosts together; 0 for no limit.
    pub rate: Tokens,
    /// The burst in tokens over all hosts together.
    pub burst: Tokens,
    /// Whether requests are charged by the tokens that they state.
    pub charges_tokens: bool,
    /// The cost in tokens of a request that is not charged by the tokens that it states.
    pub default_cost: Tokens,
    /// The regions to which its requests are confined; `None` for all.
    pub homes: Option<Homes>,
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

/// A configuration version, compiled into lookup tables.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ForwardingTable {
    /// The version; 0 means that there is no configuration yet.
    pub version: Version,
    /// The routes by host name, longest prefix first.
    routes: HashMap<String, Vec<Arc<ForwardRoute>>>,
    /// The services by id.
    pub services: HashMap<ModelId, Arc<ForwardService>>,
    /// The customers by id.
    pub customers: HashMap<CustomerId, Arc<ForwardCustomer>>,
    /// The customers by the hash of their keys.
    pub keys: HashMap<Digest, CustomerId>,
    /// Whether routes that are not open need a key.
    pub requires_keys: bool,
    /// The bounds on what callers send.
    pub bounds: CallerBounds,
}

impl Versioned for ForwardingTable {
    fn version(&self) -> Version {
        self.version
    }
}

impl ForwardingTable {
    /// Adds routes and sorts those of each host name by the length of their prefix.
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

    /// Returns what the upstreams of a service can take after a start; `None` if they are never cold.
    pub fn cold_limits(&self, service: &str) -> Option<ColdLimits> {
        self.services.get(service)?.cold
    }

    /// Returns whether the upstreams of any service may be cold.
    pub fn has_cold_limits(&self) -> bool {
        self.services.values().any(|service| service.cold.is_some())
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns all regions to which requests of any route or customer are confined.
    pub fn home_regions(&self) -> BTreeSet<RegionId> {
        let routes = self.routes.values().flatten();
        let homes = routes.filter_map(|route| route.homes.as_ref());
        let customers = self.customers.values();
        let homes = homes.chain(customers.filter_map(|customer| customer.homes.as_ref()));
        homes.flat_map(|homes| homes.regions().to_vec()).collect()
    }

    /// Returns the customer to whom the key with this hash belongs.
    pub fn customer_of(&self, key: &Digest) -> Option<&Arc<ForwardCustomer>> {
        self.customers.get(self.keys.get(key)?)
    }
}
