//! Plans orders by comparing the desired state of engines with the state that they confirmed, within the weight
//! store's rate.

use std::collections::HashMap;
use std::time::Instant;

use crate::prelude::*;
use crate::process::token_bucket::TokenBucket;
use crate::request::engine::Order;
use crate::version::compiled::{Role, Upstream};

/// The weights that may be loaded in one burst, in seconds of the weight store's rate.
const BURST_SECONDS: u64 = 60;

/// What an engine is configured to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// The engine's id in the configuration.
    pub upstream: UpstreamId,
    /// The model to load.
    pub model: ModelId,
    /// The version of its weights; empty if the engine keeps those that it started with.
    pub model_version: String,
    /// The adapters to load on top of the model.
    pub adapters: Vec<String>,
    /// The role: `prefill` or `decode`.
    pub role: String,
}

impl DesiredState {
    /// Returns the configured state of an engine; `None` for plain services.
    pub fn of(upstream: &Upstream) -> Option<Self> {
        let role = match upstream.role {
            Role::Prefill => "prefill",
            Role::Decode => "decode",
            Role::Service => return None,
        };
        Some(Self {
            upstream: upstream.id.clone(),
            model: upstream.model.clone(),
            model_version: upstream.model_version.clone(),
            adapters: upstream.adapters.clone(),
            role: role.to_owned(),
        })
    }

    fn weights(&self) -> (ModelId, String) {
        (self.model.clone(), self.model_version.clone())
    }
}

/// An order with the engine that it is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine that receives the order.
    pub upstream: UpstreamId,
    /// The desired state with the fencing token.
    pub order: Order,
}

/// Plans orders. Each contains the whole desired state, so that orders are idempotent.
#[derive(Debug)]
pub struct Reconciler {
    /// The last order that each engine confirmed.
    confirmed_orders: HashMap<UpstreamId, Order>,
    pending: Vec<UpstreamId>,
    /// The sizes of the weights of model versions, in bytes.
    sizes: HashMap<(ModelId, String), u64>,
    /// The bytes that may be loaded now.
    load_budget: TokenBucket,
    /// Bytes a second.
    rate: u64,
    confirmed: u64,
    failed: u64,
}

impl Reconciler {
    /// Creates a reconciler that loads at most `rate` bytes a second.
    pub fn new(rate: u64, now: Instant) -> Self {
        Self {
            confirmed_orders: HashMap::new(),
            pending: Vec::new(),
            sizes: HashMap::new(),
            load_budget: TokenBucket::full(rate, rate.saturating_mul(BURST_SECONDS), now),
            rate,
            confirmed: 0,
            failed: 0,
        }
    }

    /// Returns the model versions among `desired` whose weights' size is not known yet.
    pub fn unknown_sizes(&self, desired: &[DesiredState]) -> Vec<(ModelId, String)> {
        let mut unknown: Vec<_> = desired
            .iter()
            .map(DesiredState::weights)
            .filter(|weights| !weights.1.is_empty() && !self.sizes.contains_key(weights))
            .collect();
        unknown.sort();
        unknown.dedup();
        unknown
    }

    /// Sets the size of a model version's weights, in bytes.
    pub fn set_size(&mut self, model: ModelId, version: String, size: u64) {
        self.sizes.insert((model, version), size);
    }

    /// Returns the orders to send now; those whose weights exceed the weight store's rate stay pending.
    pub fn plan(
        &mut self,
        desired: &[DesiredState],
        fence: Epoch,
        now: Instant,
    ) -> Vec<EngineOrder> {
        self.pending.clear();
        let mut orders = Vec::new();
        for state in desired {
            let next = EngineOrder::new(state, fence);
            let last = self.confirmed_orders.get(&state.upstream);
            if last.is_some_and(|last| same_end_state(last, &next.order)) {
                continue;
            }
            let loads = last.is_none_or(|last| loads_weights(last, &next.order));
            self.pending.push(state.upstream.clone());
            if !loads || self.admit_load(&state.weights(), now) {
                orders.push(next);
            }
        }
        orders
    }

    /// Records that an engine confirmed an order.
    pub fn confirm(&mut self, planned: &EngineOrder) {
        self.confirmed += 1;
        self.pending.retain(|id| *id != planned.upstream);
        self.confirmed_orders
            .insert(planned.upstream.clone(), planned.order.clone());
    }

    /// Records that an order failed; the next round plans it again.
    pub fn fail(&mut self, planned: &EngineOrder) {
        self.failed += 1;
        self.confirmed_orders.remove(&planned.upstream);
    }

    /// Returns the engines that were not in their desired state in the last round.
    pub fn pending(&self) -> Vec<UpstreamId> {
        self.pending.clone()
    }

    /// Returns the number of orders confirmed so far.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Returns the number of orders that failed so far.
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// Takes the size of a load from the budget; returns whether it fits. Weights larger than the whole bucket are
    /// admitted when it is full, since they would never fit otherwise.
    fn admit_load(&mut self, weights: &(ModelId, String), now: Instant) -> bool {
        if weights.1.is_empty() {
            // Without a configured version the engine loads nothing.
            return true;
        }
        let Some(size) = self.sizes.get(weights) else {
            return false;
        };
        let size = (*size).min(self.rate.saturating_mul(BURST_SECONDS));
        self.load_budget.take(size, now).is_ok()
    }
}

fn same_end_state(a: &Order, b: &Order) -> bool {
    !loads_weights(a, b) && a.adapters == b.adapters && a.role == b.role
}

fn loads_weights(last: &Order, next: &Order) -> bool {
    last.model != next.model || last.model_version != next.model_version
}
