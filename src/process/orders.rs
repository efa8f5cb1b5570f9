//! Orders to engines: one order-giver per data centre, safe for engines that ignore fencing numbers.

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
use crate::version::compiled::Compiled;

/// The time between two rounds of the order-giver. Also the renewal interval: a third of the lease.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(5);

/// Holds the order-giver's lease of one data centre when it can, and brings engines to the wanted state.
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

/// The order-giver as the dump shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrdersView {
    /// The fencing number held; `None` if another host gives the orders.
    pub fence: Option<Epoch>,
    /// The upstreams that are not yet in the wanted state.
    pub pending: Vec<UpstreamId>,
    /// The orders confirmed so far.
    pub confirmed: u64,
    /// The orders that failed so far; each is repeated.
    pub failed: u64,
}

/// What an order-giver is made of.
pub struct OrderControllerParts {
    /// This host.
    pub host: HostId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The data centre whose engines it orders.
    pub data_centre: DataCentreId,
    /// The live hosts.
    pub members: Arc<dyn Members>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Clients for engines.
    pub upstreams: Arc<dyn UpstreamClients>,
    /// The weight store.
    pub weights: Arc<dyn WeightStore>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force.
    pub versions: Arc<VersionCell>,
}

impl OrderController {
    /// Creates an order-giver that does not hold the lease yet.
    pub fn new(parts: OrderControllerParts) -> Self {
        let share = parts.versions.current().data_centres.len().max(1) as u64;
        let rate = parts.weights.rate() / share;
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

    /// Runs rounds until the task is dropped.
    pub async fn run(&self) {
        loop {
            self.round().await;
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    /// Renews or claims the lease, then sends the orders that are due.
    pub async fn round(&self) {
        if lock(&self.state).leaving {
            return;
        }
        self.hold_lease().await;
        let compiled = self.versions.current();
        let wanted = desired_states(&compiled, &self.data_centre);
        self.learn_sizes(&wanted).await;
        let instructions = {
            let now = self.clock.now();
            let mut state = lock(&self.state);
            let Some(fence) = state.leadership.fence_for_order(now) else {
                return;
            };
            state.reconciler.plan(&wanted, fence, now)
        };
        for instruction in instructions {
            self.send(instruction).await;
        }
    }

    /// Returns the order-giver's state for the dump.
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

    /// Gives the lease up for good, so that a successor need not wait for its lapse.
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
            log::warn!("order-giver's lease not revoked, it lapses by itself: {e}");
        }
    }

    async fn hold_lease(&self) {
        let asked_at = self.clock.now();
        let held = lock(&self.state).lease;
        let Some(lease) = held else {
            return self.claim().await;
        };
        match self.store.renew_lease(lease).await {
            Ok(()) => lock(&self.state).leadership.renewed(asked_at),
            Err(StoreError::LeaseGone) => {
                let mut state = lock(&self.state);
                state.leadership.lose();
                state.lease = None;
            }
            // The lease may still run; it counts only up to its own deadline.
            Err(e) => log::warn!("order-giver's lease not renewed: {e}"),
        }
    }

    async fn claim(&self) {
        let key = format!("orders/{}", self.data_centre);
        let ranked = owners(&*self.members, &self.data_centre, &key);
        let rank = ranked.iter().position(|host| *host == self.host);
        if !lock(&self.state).lease_checks.start_round(rank) {
            return;
        }
        match self.store.get(&key).await {
            Ok(None) => {}
            Ok(Some(_)) => return,
            Err(e) => return log::debug!("order-giver's record not read: {e}"),
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
            // Nobody is served by this lease; without the call it lapses by itself.
            let _ = self.store.revoke_lease(lease).await;
            return;
        };
        let mut state = lock(&self.state);
        state.lease = Some(lease);
        state.leadership.acquired(fence, asked_at, self.clock.now());
        log::info!(fence; "this host gives the orders in its data centre");
    }

    /// Settles a claim whose reply was lost. The record names the incarnation, so it can't be another's.
    async fn read_back(&self, key: &str, value: &[u8]) -> Option<Revision> {
        let entry = self.store.get(key).await.ok()??;
        (entry.value == value).then_some(entry.revision)
    }

    async fn learn_sizes(&self, wanted: &[DesiredState]) {
        let unknown = lock(&self.state).reconciler.unknown_sizes(wanted);
        for (model, version) in unknown {
            if let Some(size) = self.weights.size(&model, &version).await {
                lock(&self.state).reconciler.set_size(model, version, size);
            }
        }
    }

    async fn send(&self, instruction: EngineOrder) {
        // A pause may have come since planning: the lease must still outlast the order.
        let now = self.clock.now();
        if lock(&self.state).leadership.fence_for_order(now) != Some(instruction.order.fence) {
            return;
        }
        let compiled = self.versions.current();
        let Some(upstream) = compiled.upstreams.get(&instruction.upstream) else {
            return;
        };
        let engine = self.upstreams.engine(&upstream.address.to_string());
        let result = engine.order(instruction.order.clone()).await;
        let mut state = lock(&self.state);
        match result {
            Ok(()) => state.reconciler.confirm(&instruction),
            Err(e) => {
                log::warn!(upstream:% = instruction.upstream; "order not confirmed: {e}");
                state.reconciler.fail(&instruction);
                if e.kind == UpstreamErrorKind::Fenced {
                    state.leadership.lose();
                    state.lease = None;
                }
            }
        }
    }
}

/// Lists the wanted state of each engine of a data centre, as configured.
fn desired_states(compiled: &Compiled, data_centre: &DataCentreId) -> Vec<DesiredState> {
    let mut wanted: Vec<_> = compiled
        .upstreams
        .values()
        .filter(|u| u.data_centre == *data_centre)
        .filter_map(|u| DesiredState::of(u))
        .collect();
    wanted.sort_by(|a, b| a.upstream.cmp(&b.upstream));
    wanted
}

impl EngineOrder {
    /// Creates the order that brings an engine to a wanted state.
    pub fn new(wanted: &DesiredState, fence: Epoch) -> Self {
        Self {
            upstream: wanted.upstream.clone(),
            order: Order {
                fence,
                model: wanted.model.clone(),
                model_version: wanted.model_version.clone(),
                adapters: wanted.adapters.clone(),
                role: wanted.role.clone(),
                timeout: ORDER_TIMEOUT,
            },
        }
    }
}
