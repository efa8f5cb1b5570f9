//! A configuration version compiled for lookup.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::prelude::*;
use crate::process::message::{LatePolicy, PoolId};

/// A customer and its voted limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The customer.
    pub id: CustomerId,
    /// The rate in tokens a second over all hosts together.
    pub rate: Tokens,
    /// The burst in tokens over all hosts together.
    pub burst: Tokens,
}

/// A caller's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerKey {
    /// The name under which operators know it.
    pub name: Name,
    /// The customer it belongs to.
    pub customer: CustomerId,
    /// The hash of the key.
    pub hash: Digest,
    /// The routes it is valid for; empty means all.
    pub routes: Vec<RouteId>,
}

/// What serves a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// Engines, by the model named in the request.
    Engines,
    /// The runners of a plain service.
    Service(ModelId),
}

/// A route by path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route.
    pub id: RouteId,
    /// The path prefix.
    pub path: String,
    /// What serves it.
    pub target: RouteTarget,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The urgency.
    pub priority: Priority,
    /// The time until the first token or the answer is due.
    pub deadline: Duration,
    /// What happens past the deadline.
    pub late: LatePolicy,
    /// The tokens charged for a call of a plain service.
    pub cost: Tokens,
}

/// What an upstream does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Runs prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Runs calls of a plain service.
    Service,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// The upstream.
    pub id: UpstreamId,
    /// The address of its HTTP listener.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it does.
    pub role: Role,
    /// The model or service that it serves.
    pub model: ModelId,
    /// The requests it runs at once.
    pub slots: u32,
    /// The prompt tokens a second that it prefills.
    pub prefill_rate: Tokens,
    /// The prompt tokens' KV cache that its link carries a second.
    pub link_rate: Tokens,
    /// Whether it checks the fencing number of orders.
    pub fenced: bool,
    /// The version of the model wanted; empty means the one that it started with.
    pub model_version: String,
    /// The adapters wanted.
    pub adapters: Vec<String>,
}

impl Upstream {
    /// Returns the pool that the upstream belongs to.
    pub fn pool(&self) -> PoolId {
        PoolId {
            data_centre: self.data_centre.clone(),
            model: self.model.clone(),
        }
    }
}

/// A planned stop of an upstream or a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedStop {
    /// The name of the stop.
    pub name: Name,
    /// The upstream or host that stops.
    pub subject: StopSubject,
    /// The time from which it gets no new work.
    pub from: SystemTime,
    /// The time at which the stop is over; `None` if it is for good.
    pub until: Option<SystemTime>,
}

/// What a planned stop takes out of service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopSubject {
    /// An upstream.
    Upstream(UpstreamId),
    /// A host.
    Host(HostId),
}

impl PlannedStop {
    /// Tells whether the stop is in force at `time`.
    pub fn is_active(&self, time: SystemTime) -> bool {
        self.from <= time && self.until.is_none_or(|until| time < until)
    }
}

/// A whole configuration version with its lookup tables.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CompiledConfig {
    /// The version; 0 means that there is none yet.
    pub version: Version,
    /// The data centres among which rates and bursts are shared.
    pub data_centres: Vec<DataCentreId>,
    /// The number of equal home shares; above the number of data centres while one is being added or removed.
    pub shares: u32,
    /// The customers.
    pub customers: HashMap<CustomerId, Customer>,
    /// The keys by hash.
    pub keys: HashMap<Digest, CallerKey>,
    /// The routes, longest path first.
    pub routes: Vec<Arc<Route>>,
    /// The upstreams by id.
    pub upstreams: HashMap<UpstreamId, Arc<Upstream>>,
    /// The upstreams by pool.
    pub pools: HashMap<PoolId, Vec<Arc<Upstream>>>,
    /// The planned stops.
    pub stops: Vec<PlannedStop>,
}

impl CompiledConfig {
    /// Returns the part of each customer's rate and burst that belongs to each data centre.
    pub fn home_share(&self) -> Share {
        WHOLE_SHARE / self.shares.max(1)
    }

    /// Returns a customer.
    pub fn customer(&self, id: &str) -> Option<&Customer> {
        self.customers.get(id)
    }

    /// Returns the key with this hash.
    pub fn key(&self, hash: &Digest) -> Option<&CallerKey> {
        self.keys.get(hash)
    }

    /// Returns the route with the longest prefix of `path`; a prefix ends at a path segment.
    pub fn route(&self, path: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| {
            path.strip_prefix(route.path.as_str()).is_some_and(|rest| {
                rest.is_empty() || rest.starts_with(['/', '?']) || route.path.ends_with('/')
            })
        })
    }

    /// Returns the upstreams of a pool.
    pub fn pool(&self, pool: &PoolId) -> &[Arc<Upstream>] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Tells whether any data centre has upstreams for the model.
    pub fn serves(&self, model: &str) -> bool {
        self.pools.keys().any(|pool| &*pool.model == model)
    }

    /// Tells whether a planned stop keeps new work from the upstream at `time`.
    pub fn is_upstream_stopping(&self, upstream: &UpstreamId, time: SystemTime) -> bool {
        self.has_active_stop(
            time,
            |subject| matches!(subject, StopSubject::Upstream(id) if id == upstream),
        )
    }

    /// Tells whether a planned stop keeps new work from the host at `time`.
    pub fn is_host_stopping(&self, host: &HostId, time: SystemTime) -> bool {
        self.has_active_stop(
            time,
            |subject| matches!(subject, StopSubject::Host(id) if id == host),
        )
    }

    /// Returns the next time after `time` at which a planned stop begins or ends.
    pub fn next_stop_change(&self, time: SystemTime) -> Option<SystemTime> {
        let edges = self
            .stops
            .iter()
            .flat_map(|stop| [Some(stop.from), stop.until]);
        edges.flatten().filter(|edge| *edge > time).min()
    }

    fn has_active_stop(&self, time: SystemTime, matches: impl Fn(&StopSubject) -> bool) -> bool {
        self.stops
            .iter()
            .any(|stop| stop.is_active(time) && matches(&stop.subject))
    }
}
