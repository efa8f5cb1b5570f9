//! Compares the wanted state of engines with what they confirmed, within the weight store's rate.

use std::collections::HashMap;
use std::time::Instant;

use crate::prelude::*;
use crate::process::token_bucket::TokenBucket;
use crate::request::engine::Order;
use crate::version::compiled::{Role, Upstream};

/// The weights that may be loaded in one go, in seconds of the weight store's rate.
const BURST_SECONDS: u64 = 60;

/// What an engine is wanted to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// The engine.
    pub upstream: UpstreamId,
    /// The model.
    pub model: ModelId,
    /// The version of the model.
    pub model_version: String,
    /// The adapters.
    pub adapters: Vec<String>,
    /// The role: `prefill` or `decode`.
    pub role: String,
}

impl DesiredState {
    /// Returns the wanted state of an engine as configured; `None` for plain services.
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

/// An order for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub upstream: UpstreamId,
    /// The order.
    pub order: Order,
}

/// Plans orders. Each states the whole wanted state, so that repeating it is harmless.
#[derive(Debug)]
pub struct Reconciler {
    confirmed_orders: HashMap<UpstreamId, Order>,
    pending: Vec<UpstreamId>,
    sizes: HashMap<(ModelId, String), u64>,
    weights: TokenBucket,
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
            weights: TokenBucket::full(rate, rate.saturating_mul(BURST_SECONDS), now),
            rate,
            confirmed: 0,
            failed: 0,
        }
    }

    /// Returns the weights among `wanted` whose size is not known yet.
    pub fn unknown_sizes(&self, wanted: &[DesiredState]) -> Vec<(ModelId, String)> {
        let mut unknown: Vec<_> = wanted
            .iter()
            .map(DesiredState::weights)
            .filter(|weights| !weights.1.is_empty() && !self.sizes.contains_key(weights))
            .collect();
        unknown.sort();
        unknown.dedup();
        unknown
    }

    /// Remembers the size of a model version's weights, in bytes.
    pub fn set_size(&mut self, model: ModelId, version: String, size: u64) {
        self.sizes.insert((model, version), size);
    }

    /// Returns the orders to send now; loads beyond the weight store's rate stay pending.
    pub fn plan(
        &mut self,
        wanted: &[DesiredState],
        fence: Epoch,
        now: Instant,
    ) -> Vec<EngineOrder> {
        self.pending.clear();
        let mut instructions = Vec::new();
        for state in wanted {
            let instruction = EngineOrder::new(state, fence);
            let last = self.confirmed_orders.get(&state.upstream);
            if last.is_some_and(|last| same_end_state(last, &instruction.order)) {
                continue;
            }
            let loads = last.is_none_or(|last| loads_weights(last, &instruction.order));
            self.pending.push(state.upstream.clone());
            if !loads || self.admit_load(&state.weights(), now) {
                instructions.push(instruction);
            }
        }
        instructions
    }

    /// Records that an engine is in the ordered state.
    pub fn confirm(&mut self, instruction: &EngineOrder) {
        self.confirmed += 1;
        self.pending.retain(|id| *id != instruction.upstream);
        self.confirmed_orders
            .insert(instruction.upstream.clone(), instruction.order.clone());
    }

    /// Records that an order failed; it is planned again.
    pub fn fail(&mut self, instruction: &EngineOrder) {
        self.failed += 1;
        self.confirmed_orders.remove(&instruction.upstream);
    }

    /// Returns the engines that are not yet in the wanted state.
    pub fn pending(&self) -> Vec<UpstreamId> {
        self.pending.clone()
    }

    /// Returns the number of orders confirmed.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Returns the number of orders failed.
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// Takes a load from the weight store's rate. Weights larger than the bucket pass when it is full, else they never would.
    fn admit_load(&mut self, weights: &(ModelId, String), now: Instant) -> bool {
        if weights.1.is_empty() {
            // No version configured: the engine keeps the weights that it started with.
            return true;
        }
        let Some(size) = self.sizes.get(weights) else {
            return false;
        };
        let size = (*size).min(self.rate.saturating_mul(BURST_SECONDS));
        self.weights.take(size, now).is_ok()
    }
}

fn same_end_state(a: &Order, b: &Order) -> bool {
    !loads_weights(a, b) && a.adapters == b.adapters && a.role == b.role
}

fn loads_weights(last: &Order, next: &Order) -> bool {
    last.model != next.model || last.model_version != next.model_version
}
