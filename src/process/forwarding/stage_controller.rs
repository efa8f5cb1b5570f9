//! Gives orders to engines: one host at a time over the whole fleet, by a lease in the platform's store.
//!
//! Engines that ignore fencing numbers are safe, too: orders state a wanted stage, none is sent unless the lease outlasts it,
//! and a new holder waits until the orders of the one before have been carried out or given up.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::forwarding::fleet::FleetState;
use crate::process::forwarding::stage_plan::{StageChange, StagePlanSettings, plan_stage_changes};
use crate::process::orders::leadership::LeaderRecord;
use crate::request::forward::codec::{CallCodec, StageOrder};
use crate::request::forward::link::{SendLimits, UpstreamLink};

/// The key whose entry names the holder.
const HOLDER_KEY: &str = "orders/holder";

/// The time between two looks at the division of engines.
const ROUND: Duration = Duration::from_secs(1);

/// The time for which a holder may give orders. It gives the few that are due and lets the lease lapse.
const HOLDER_TTL: Duration = Duration::from_secs(10);

/// The time limit of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// The part of the lease that is not used, for a host that is slow or stands still for a moment.
const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// The time for which an engine gets no second order: a change of its stage takes some seconds and shows later.
const SETTLE: Duration = Duration::from_secs(15);

/// The orders given in one round, so that few engines change at once.
const ORDERS_PER_ROUND: usize = 4;

/// The time after the first start of the fleet within which the first holder needs not wait for one before it. A second
/// holder can't have its turn yet, because the lease of the first is longer.
const FIRST_TURN: Duration = Duration::from_secs(8);

/// Gives orders to engines.
pub struct StageController {
    /// This host.
    pub host: HostId,
    /// Its process start.
    pub incarnation: Incarnation,
    /// When it started.
    pub started: Instant,
    /// What it knows.
    pub state: Arc<FleetState>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The connections to engines.
    pub link: Arc<dyn UpstreamLink>,
    /// The encodings.
    pub codec: Arc<dyn CallCodec>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The division wanted.
    pub settings: StagePlanSettings,
    /// The time that a new holder waits, so that turns of two holders are this far apart.
    pub handover_delay: Duration,
    /// Whether no host has given orders yet.
    pub is_first_start: bool,
}

/// The right to give orders.
struct Turn {
    fence: Epoch,
    /// The time before which an order must be answered.
    until: Instant,
}

impl StageController {
    /// Gives the orders that are due, for good.
    pub async fn run(&self) {
        let mut ordered: HashMap<UpstreamId, Instant> = HashMap::new();
        let mut turn: Option<Turn> = None;
        loop {
            tokio::time::sleep(ROUND).await;
            let now = self.clock.now();
            ordered.retain(|_, at| now.saturating_duration_since(*at) < SETTLE);
            if !self.is_first() || self.due(&ordered).is_empty() {
                continue;
            }
            if let Some(turn) = turn
                .as_ref()
                .filter(|turn| now + ORDER_TIMEOUT <= turn.until)
            {
                self.give(turn, &mut ordered).await;
                continue;
            }
            match self.take_turn().await {
                Ok(taken) => {
                    self.give(&taken, &mut ordered).await;
                    turn = Some(taken);
                }
                Err(StoreError::Conflict { .. }) => tokio::time::sleep(HOLDER_TTL).await,
                Err(e) => {
                    log::info!(target: "orders", "no turn to give orders: {e}");
                    tokio::time::sleep(HOLDER_TTL).await;
                }
            }
        }
    }

    /// Tells whether this host is the first of those that are heard. The lease decides where two think so.
    fn is_first(&self) -> bool {
        self.state
            .peers()
            .first_live(self.clock.now())
            .is_none_or(|first| self.host < first)
    }

    /// Returns the changes that are due. Engines that were ordered lately count as changed.
    fn due(&self, ordered: &HashMap<UpstreamId, Instant>) -> Vec<StageChange> {
        let table = self.state.config.current();
        let engines = table
            .services
            .values()
            .filter(|service| service.engine.is_some());
        let is_ordered = |id: &UpstreamId| ordered.contains_key(id);
        let changes = engines.flat_map(|service| {
            plan_stage_changes(
                &self.settings,
                &self.state.available_upstreams(&service.id),
                is_ordered,
            )
        });
        changes.collect()
    }

    async fn take_turn(&self) -> Result<Turn, StoreError> {
        let asked = self.clock.now();
        let lease = self.store.grant_lease(HOLDER_TTL).await?;
        let holder = LeaderRecord {
            host: self.host.clone(),
            incarnation: self.incarnation,
        };
        let value = serde_json::to_vec(&holder).unwrap_or_default();
        let fence = self
            .store
            .swap(HOLDER_KEY, Expected::Absent, value, Some(lease))
            .await?;
        let started = self.clock.now().saturating_duration_since(self.started);
        if !(self.is_first_start && started < FIRST_TURN) {
            tokio::time::sleep(self.handover_delay).await;
        }
        Ok(Turn {
            fence,
            until: asked + HOLDER_TTL.saturating_sub(LEASE_MARGIN),
        })
    }

    async fn give(&self, turn: &Turn, ordered: &mut HashMap<UpstreamId, Instant>) {
        for change in self.due(ordered).into_iter().take(ORDERS_PER_ROUND) {
            let now = self.clock.now();
            if now + ORDER_TIMEOUT > turn.until {
                return;
            }
            // An order without an answer may still be carried out, so it counts as given.
            ordered.insert(change.instance.id.clone(), now);
            let order = StageOrder {
                upstream: change.instance.id.clone(),
                stage: change.stage,
                holder: self.host.clone(),
                fence: turn.fence,
            };
            let limits = SendLimits {
                connect: ORDER_TIMEOUT / 2,
                deadline: now + ORDER_TIMEOUT,
                reuse: false,
            };
            let req = self.codec.write_order(&order);
            let sent = self.link.send(change.instance.address, req, limits).await;
            let result = match sent {
                Ok(response) => response.status().to_string(),
                Err(failure) => failure.to_string(),
            };
            log::info!(target: "orders", "{} to {:?}, fence {}: {result}", order.upstream, order.stage, order.fence);
        }
    }
}
