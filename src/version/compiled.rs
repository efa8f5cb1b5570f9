//! A configuration version compiled for lookup.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::prelude::*;
use crate::process::message::{LatePolicy, PoolId};

/// A customer and its configured limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The name in the header of the entry.
    pub id: CustomerId,
    /// The rate in tokens a second over all hosts together.
    pub rate: Tokens,
    /// The burst in tokens over all hosts together.
    pub burst: Tokens,
}

/// A caller's key, of which only the hash is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerKey {
    /// The name by which operators know the key.
    pub name: Name,
    /// The customer that it belongs to.
    pub customer: CustomerId,
    /// The BLAKE3 hash of the key.
    pub hash: Digest,
    /// The routes that it is valid for; empty means all.
    pub routes: Vec<RouteId>,
}

/// What serves the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// The engines of the model that the request names.
    Engines,
    /// The upstreams of a plain service.
    Service(ModelId),
}

/// A route by path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The name in the header of the entry.
    pub id: RouteId,
    /// The prefix of request paths; starts with a slash.
    pub path: String,
    /// What serves the requests.
    pub target: RouteTarget,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The priority class of the requests.
    pub priority: Priority,
    /// The time within which the first token, or the answer of a plain service, is due.
    pub deadline: Duration,
    /// What happens to a request that can't meet its deadline any more.
    pub late: LatePolicy,
    /// The tokens charged for a call of a plain service.
    pub cost: Tokens,
}

/// The role of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Prefills prompts and exports their KV caches.
    Prefill,
    /// Fetches KV caches from prefill engines and generates tokens.
    Decode,
    /// Runs calls of a plain service.
    Service,
}

/// An upstream entry of the document, with defaults filled in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// The name in the header of the entry.
    pub id: UpstreamId,
    /// The address of its HTTP listener.
    pub address: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The role; `Service` if none is configured.
    pub role: Role,
    /// The model or plain service that it serves.
    pub model: ModelId,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The prefill rate in prompt tokens a second.
    pub prefill_rate: Tokens,
    /// The rate of KV cache transfers over its link, in prompt tokens a second.
    pub link_rate: Tokens,
    /// Whether it checks the fencing token of orders.
    pub fenced: bool,
    /// The model version that it is to run; empty means the one that it started with.
    pub model_version: String,
    /// The adapters that it is to load.
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
    /// The name in the header of the entry.
    pub name: Name,
    /// The upstream or host that stops.
    pub subject: StopSubject,
    /// The time from which the subject gets no new work.
    pub from: SystemTime,
    /// The time at which the stop is over; `None` if it is for good.
    pub until: Option<SystemTime>,
}

/// What a planned stop takes out of service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopSubject {
    /// The upstream with this id.
    Upstream(UpstreamId),
    /// The host with this id.
    Host(HostId),
}

impl PlannedStop {
    /// Returns whether the stop is in force at `time`.
    pub fn is_active(&self, time: SystemTime) -> bool {
        self.from <= time && self.until.is_none_or(|until| time < until)
    }
}

/// A configuration version, compiled into lookup tables.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct CompiledConfig {
    /// The version; 0 means that there is no configuration yet.
    pub version: Version,
    /// The data centres among which rates and bursts are shared.
    pub data_centres: Vec<DataCentreId>,
    /// The number of equal parts, the home shares, into which limits are divided; above the number of data centres
    /// while one is being added or removed.
    pub shares: u32,
    /// The customers by id.
    pub customers: HashMap<CustomerId, Customer>,
    /// The keys by hash.
    pub keys: HashMap<Digest, CallerKey>,
    /// The routes, longest path first.
    pub routes: Vec<Arc<Route>>,
    /// The upstreams by id.
    pub upstreams: HashMap<UpstreamId, Arc<Upstream>>,
    /// The upstreams by pool.
    pub pools: HashMap<PoolId, Vec<Arc<Upstream>>>,
    /// The planned stops of upstreams and hosts, past ones included.
    pub stops: Vec<PlannedStop>,
}

impl CompiledConfig {
    /// Returns the part of each customer's rate and burst that belongs to each data centre.
    pub fn home_share(&self) -> Share {
        WHOLE_SHARE / self.shares.max(1)
    }

    /// Returns the customer with this id.
    pub fn customer(&self, id: &str) -> Option<&Customer> {
        self.customers.get(id)
    }

    /// Returns the key with this hash.
    pub fn key(&self, hash: &Digest) -> Option<&CallerKey> {
        self.keys.get(hash)
    }

    /// Returns the route with the longest prefix of `path`; a prefix matches whole path segments only.
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

    /// Returns whether any data centre has upstreams for the model.
    pub fn serves(&self, model: &str) -> bool {
        self.pools.keys().any(|pool| &*pool.model == model)
    }

    /// Returns whether a planned stop keeps new work from the upstream at `time`.
    pub fn is_upstream_stopping(&self, upstream: &UpstreamId, time: SystemTime) -> bool {
        self.has_active_stop(
            time,
            |subject| matches!(subject, StopSubject::Upstream(id) if id == upstream),
        )
    }

    /// Returns whether a planned stop keeps new work from the host at `time`.
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
