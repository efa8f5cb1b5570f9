//! Orders to engines: in each data centre one controller at a time brings them to their desired state. This is safe
//! even with engines that ignore fencing tokens.

pub mod leadership;
pub mod reconciler;
pub mod roles;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Serialize;

use crate::prelude::*;
use crate::process::members::{Members, owners};
use crate::process::orders::leadership::{
    LEASE_TTL, LeaderRecord, Leadership, LeaseCheckSchedule, ORDER_TIMEOUT,
};
use crate::process::orders::reconciler::{DesiredState, EngineOrder, Reconciler};
use crate::process::shard::lock;
use crate::process::weight_store::WeightStore;
use crate::request::engine::Order;
use crate::version::cell::VersionCell;
use crate::version::compiled::CompiledConfig;

/// The time between two reconciliation rounds. Each round renews the lease, which lasts three times as long.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(5);

/// Competes for the controller's lease of a data centre and, while it holds the lease, brings the engines to their
/// desired state.
pub struct OrderController {
    host: HostId,
    incarnation: Incarnation,
    data_centre: DataCentreId,
    members: Arc<dyn Members>,
    store: Arc<dyn Store>,
    upstreams: Arc<dyn UpstreamClients>,
    weights: Arc<dyn WeightStore>,
    clock: Arc<dyn Clock>,
    versions: Arc<VersionCell>,
    state: Mutex<State>,
}

struct State {
    leadership: Leadership,
    lease_checks: LeaseCheckSchedule,
    reconciler: Reconciler,
    lease: Option<LeaseId>,
    leaving: bool,
}

/// The controller's state as the dump shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrdersView {
    /// The fencing token if this host may send orders now; `None` if it does not hold the lease, or must wait for a
    /// predecessor's orders to time out.
    pub fence: Option<Epoch>,
    /// The upstreams that are not yet in their desired state.
    pub pending: Vec<UpstreamId>,
    /// The orders confirmed since the process started.
    pub confirmed: u64,
    /// The orders that failed since the process started; each is repeated.
    pub failed: u64,
}

/// The dependencies of an [`OrderController`].
pub struct OrderControllerParts {
    /// This host, as written to the leader record.
    pub host: HostId,
    /// The incarnation of this process, as written to the leader record.
    pub incarnation: Incarnation,
    /// The data centre whose engines are controlled.
    pub data_centre: DataCentreId,
    /// The live hosts, which rank the candidates for the lease.
    pub members: Arc<dyn Members>,
    /// Holds the lease and the leader record.
    pub store: Arc<dyn Store>,
    /// Creates the clients that send orders to engines.
    pub upstreams: Arc<dyn UpstreamClients>,
    /// Gives the sizes of weights and the rate at which they may be loaded.
    pub weights: Arc<dyn WeightStore>,
    /// Bounds the lease and the orders.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force, which states the desired state of each engine.
    pub versions: Arc<VersionCell>,
}

impl OrderController {
    /// Creates a controller that does not hold the lease yet.
    pub fn new(parts: OrderControllerParts) -> Self {
        let data_centres = parts.versions.current().data_centres.len().max(1) as u64;
        let rate = parts.weights.rate() / data_centres;
        let now = parts.clock.now();
        Self {
            host: parts.host,
            incarnation: parts.incarnation,
            data_centre: parts.data_centre,
            members: parts.members,
            store: parts.store,
            upstreams: parts.upstreams,
            weights: parts.weights,
            clock: parts.clock,
            versions: parts.versions,
            state: Mutex::new(State {
                leadership: Leadership::default(),
                lease_checks: LeaseCheckSchedule::default(),
                reconciler: Reconciler::new(rate, now),
                lease: None,
                leaving: false,
            }),
        }
    }

    /// Runs a round every `ROUND_INTERVAL`; never returns.
    pub async fn run(&self) {
        loop {
            self.round().await;
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    /// Renews or claims the lease; if it is held, sends the orders that are due.
    pub async fn round(&self) {
        if lock(&self.state).leaving {
            return;
        }
        self.renew_or_claim_lease().await;
        let compiled = self.versions.current();
        let desired = desired_states(&compiled, &self.data_centre);
        self.fetch_sizes(&desired).await;
        let orders = {
            let now = self.clock.now();
            let mut state = lock(&self.state);
            let Some(fence) = state.leadership.fence_for_order(now) else {
                return;
            };
            state.reconciler.plan(&desired, fence, now)
        };
        for order in orders {
            self.send_order(order).await;
        }
    }

    /// Returns the controller's state for the dump.
    pub fn view(&self) -> OrdersView {
        let now = self.clock.now();
        let state = lock(&self.state);
        OrdersView {
            fence: state.leadership.fence_for_order(now),
            pending: state.reconciler.pending(),
            confirmed: state.reconciler.confirmed(),
            failed: state.reconciler.failed(),
        }
    }

    /// Stops sending orders for good and revokes the lease, so that a successor need not wait until it expires.
    pub async fn leave(&self) {
        let lease = {
            let mut state = lock(&self.state);
            state.leaving = true;
            state.leadership.lose();
            state.lease.take()
        };
        if let Some(lease) = lease
            && let Err(e) = self.store.revoke_lease(lease).await
        {
            log::warn!("order controller's lease not revoked, it expires by itself: {e}");
        }
    }

    async fn renew_or_claim_lease(&self) {
        let asked_at = self.clock.now();
        let held = lock(&self.state).lease;
        let Some(lease) = held else {
            return self.claim_lease().await;
        };
        match self.store.renew_lease(lease).await {
            Ok(()) => lock(&self.state).leadership.renewed(asked_at),
            Err(StoreError::LeaseGone) => {
                let mut state = lock(&self.state);
                state.leadership.lose();
                state.lease = None;
            }
            // The lease may still be valid; `Leadership` uses it until its local deadline.
            Err(e) => log::warn!("order controller's lease not renewed: {e}"),
        }
    }

    async fn claim_lease(&self) {
        let key = format!("orders/{}", self.data_centre);
        let ranked = owners(&*self.members, &self.data_centre, &key);
        let rank = ranked.iter().position(|host| *host == self.host);
        if !lock(&self.state).lease_checks.start_round(rank) {
            return;
        }
        match self.store.get(&key).await {
            Ok(None) => {}
            Ok(Some(_)) => return,
            Err(e) => return log::debug!("leader record not read: {e}"),
        }
        let asked_at = self.clock.now();
        let Ok(lease) = self.store.grant_lease(LEASE_TTL).await else {
            return;
        };
        let record = LeaderRecord {
            host: self.host.clone(),
            incarnation: self.incarnation,
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let swapped = self
            .store
            .swap(&key, Expected::Absent, value.clone(), Some(lease))
            .await;
        let fence = match swapped {
            Ok(revision) => Some(revision),
            Err(StoreError::Unknown { .. }) => self.read_back(&key, &value).await,
            Err(_) => None,
        };
        let Some(fence) = fence else {
            // The lease is of no use. If the call fails, it expires by itself.
            let _ = self.store.revoke_lease(lease).await;
            return;
        };
        let mut state = lock(&self.state);
        state.lease = Some(lease);
        state.leadership.acquired(fence, asked_at, self.clock.now());
        log::info!(fence; "this host controls the engines of its data centre");
    }

    /// Finds out whether a claim whose reply was lost took effect. The record holds the incarnation, so an equal
    /// record is this process's own.
    async fn read_back(&self, key: &str, value: &[u8]) -> Option<Revision> {
        let entry = self.store.get(key).await.ok()??;
        (entry.value == value).then_some(entry.revision)
    }

    async fn fetch_sizes(&self, desired: &[DesiredState]) {
        let unknown = lock(&self.state).reconciler.unknown_sizes(desired);
        for (model, version) in unknown {
            if let Some(size) = self.weights.size(&model, &version).await {
                lock(&self.state).reconciler.set_size(model, version, size);
            }
        }
    }

    async fn send_order(&self, planned: EngineOrder) {
        // The process may have been paused since the order was planned: check again that the lease outlasts the order.
        let now = self.clock.now();
        if lock(&self.state).leadership.fence_for_order(now) != Some(planned.order.fence) {
            return;
        }
        let compiled = self.versions.current();
        let Some(upstream) = compiled.upstreams.get(&planned.upstream) else {
            return;
        };
        let engine = self.upstreams.engine(&upstream.address.to_string());
        let result = engine.order(planned.order.clone()).await;
        let mut state = lock(&self.state);
        match result {
            Ok(()) => state.reconciler.confirm(&planned),
            Err(e) => {
                log::warn!(upstream:% = planned.upstream; "order not confirmed: {e}");
                state.reconciler.fail(&planned);
                if e.kind == UpstreamErrorKind::Fenced {
                    state.leadership.lose();
                    state.lease = None;
                }
            }
        }
    }
}

/// Returns the configured state of each engine of a data centre, sorted by upstream.
fn desired_states(compiled: &CompiledConfig, data_centre: &DataCentreId) -> Vec<DesiredState> {
    let mut desired: Vec<_> = compiled
        .upstreams
        .values()
        .filter(|u| u.data_centre == *data_centre)
        .filter_map(|u| DesiredState::of(u))
        .collect();
    desired.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    desired
}

impl EngineOrder {
    /// Creates the order that brings an engine to its desired state.
    pub fn new(desired: &DesiredState, fence: Epoch) -> Self {
        Self {
            upstream: desired.upstream.clone(),
            order: Order {
                fence,
                model: desired.model.clone(),
                model_version: desired.model_version.clone(),
                adapters: desired.adapters.clone(),
                role: desired.role.clone(),
                timeout: ORDER_TIMEOUT,
            },
        }
    }
}
