//! Orders engines to change their stage. One host at a time does so for the whole fleet, under a lease in the platform's store.
//!
//! This is safe even with engines that ignore fencing tokens: an order names the wanted stage, it is sent only if the lease
//! outlasts its time limit, and a new lease holder waits until the orders of the previous one have been carried out or given up.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::prelude::*;
use crate::process::forwarding::directory::OrderedStage;
use crate::process::forwarding::fleet::FleetState;
use crate::process::forwarding::peers::Registration;
use crate::process::forwarding::source::Reach;
use crate::process::forwarding::stage_plan::{
    ServiceLoad, StageChange, StagePlanSettings, plan_stage_changes,
};
use crate::process::orders::leadership::LeaderRecord;
use crate::request::forward::codec::{CallCodec, StageOrder};
use crate::request::forward::transport::{SendLimits, UpstreamTransport};

/// The store key whose entry names the lease holder.
const HOLDER_KEY: &str = "orders/holder";

/// The time between two checks for stage changes that are due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The time to live of the lease. It is not renewed: the holder sends the few orders that are due and lets it expire.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// The time within which an engine must answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// The end of the lease that is not used, in case this host is slow or stalls for a moment.
const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// The time, on top of that of the reports, between the announcement of a change of stage to the other hosts and the order: a request that
/// was sent before reaches the engine within it.
const ANNOUNCEMENT_MARGIN: Duration = Duration::from_millis(300);

/// The time for which an engine gets no second order: it takes some seconds to change its stage and register the new one.
const REORDER_DELAY: Duration = Duration::from_secs(15);

/// The maximum number of orders sent per check, so that few engines change at once.
const MAX_ORDERS_PER_CHECK: usize = 4;

/// The time after the first start of the fleet within which a lease holder need not wait for a previous one. It is shorter than
/// `LEASE_TTL`, so only the first holder can be within it.
const FIRST_LEASE_WINDOW: Duration = Duration::from_secs(8);

/// Sends stage orders to engines while this host holds the lease.
pub struct StageController {
    /// This host, which the lease's entry and the orders name.
    pub own: Registration,
    /// When this process started.
    pub started: Instant,
    /// The registered engines and the other hosts.
    pub state: Arc<FleetState>,
    /// The store that grants the lease.
    pub store: Arc<dyn Store>,
    /// Sends orders to engines.
    pub transport: Arc<dyn UpstreamTransport>,
    /// Encodes orders.
    pub codec: Arc<dyn CallCodec>,
    /// The clock by which the lease and the intervals between orders are measured.
    pub clock: Arc<dyn Clock>,
    /// How many engines should prefill.
    pub settings: StagePlanSettings,
    /// The time that a new lease holder waits before its first order, so that orders of two holders are at least this far apart.
    pub handover_delay: Duration,
    /// Whether the whole fleet starts for the first time, so that no host has sent orders yet.
    pub is_first_start: bool,
}

/// A lease that this host holds or has held.
struct OrderLease {
    /// The fencing token, which grows with each holder.
    fence: Epoch,
    /// The time by which every order must have been answered.
    valid_until: Instant,
}

impl StageController {
    /// Sends the orders that are due until dropped.
    pub async fn run(&self) {
        let mut ordered: HashMap<UpstreamId, Instant> = HashMap::new();
        let mut lease: Option<OrderLease> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.clock.now();
            ordered.retain(|_, at| now.saturating_duration_since(*at) < REORDER_DELAY);
            if !self.is_first_live_host() || self.due_changes(&ordered).is_empty() {
                continue;
            }
            if let Some(lease) = lease
                .as_ref()
                .filter(|lease| now + ORDER_TIMEOUT <= lease.valid_until)
            {
                self.send_orders(lease, &mut ordered).await;
                continue;
            }
            match self.acquire_lease().await {
                Ok(acquired) => {
                    self.send_orders(&acquired, &mut ordered).await;
                    lease = Some(acquired);
                }
                Err(StoreError::Conflict { .. }) => tokio::time::sleep(LEASE_TTL).await,
                Err(e) => {
                    log::info!(target: "orders", "lease for stage orders not acquired: {e}");
                    tokio::time::sleep(LEASE_TTL).await;
                }
            }
        }
    }

    /// Returns whether this host is the first of all live hosts. If two hosts find that of themselves, the lease decides.
    fn is_first_live_host(&self) -> bool {
        let now = self.clock.now();
        self.state.peers().is_first_live(&self.own, now)
    }

    /// Returns the stage changes that are due. Engines that were recently ordered to change count as changed.
    fn due_changes(&self, ordered: &HashMap<UpstreamId, Instant>) -> Vec<StageChange> {
        let table = self.state.config.current();
        let now = self.clock.now();
        let is_ordered = |id: &UpstreamId| ordered.contains_key(id);
        let mut changes = Vec::new();
        for service in table.services.values() {
            let Some(engine) = service.engine else {
                continue;
            };
            let load = ServiceLoad {
                sums: self.state.stage_load.sums(&service.id, now),
                kv_tokens: engine.kv_tokens,
            };
            let engines = self.state.with_directory(|d| d.staying(&service.id));
            let planned = plan_stage_changes(&self.settings, &engines, &load, is_ordered);
            if let Some(first) = planned.first() {
                let ms = |seconds: Option<f64>| (seconds.unwrap_or_default() * 1e3).round();
                log::info!(target: "orders", "service {}: {} of {} engines should change to stage {:?}; a request takes {} ms of a prefill engine and {} ms of a decode engine", service.id, planned.len(), engines.len(), first.stage, ms(load.sums.prefill_seconds()), ms(load.sums.decode_seconds(load.kv_tokens)));
            }
            changes.extend(planned);
        }
        changes
    }

    /// Acquires the lease and waits for `handover_delay`, unless the fleet has just started for the first time.
    async fn acquire_lease(&self) -> Result<OrderLease, StoreError> {
        let requested_at = self.clock.now();
        let lease = self.store.grant_lease(LEASE_TTL).await?;
        let holder = LeaderRecord {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation,
        };
        let value = serde_json::to_vec(&holder).unwrap_or_default();
        let fence = self
            .store
            .swap(HOLDER_KEY, Expected::Absent, value, Some(lease))
            .await?;
        let started = self.clock.now().saturating_duration_since(self.started);
        if !(self.is_first_start && started < FIRST_LEASE_WINDOW) {
            tokio::time::sleep(self.handover_delay).await;
        }
        Ok(OrderLease {
            fence,
            valid_until: requested_at + LEASE_TTL.saturating_sub(LEASE_MARGIN),
        })
    }

    /// Sends the orders that are due, as long as the lease outlasts their time limit. All hosts hear of the changes first, so that no
    /// request is on its way to an engine that then refuses it.
    async fn send_orders(&self, lease: &OrderLease, ordered: &mut HashMap<UpstreamId, Instant>) {
        let mut changes = self.due_changes(ordered);
        changes.truncate(MAX_ORDERS_PER_CHECK);
        let now = self.clock.now();
        let announcement_delay = self.state.report_delay() + ANNOUNCEMENT_MARGIN;
        if now + announcement_delay + ORDER_TIMEOUT > lease.valid_until {
            return;
        }
        for change in &changes {
            let announced = OrderedStage {
                upstream: change.instance.id.clone(),
                born: change.instance.born,
                stage: change.stage,
            };
            self.state.mark_changing(&announced, Reach::Host, now);
        }
        tokio::time::sleep(announcement_delay).await;
        for change in changes {
            let now = self.clock.now();
            if now + ORDER_TIMEOUT > lease.valid_until {
                return;
            }
            // An order before this one may have taken long, and the engine may have left or its data centre may be evacuated since.
            if !self
                .state
                .with_directory(|d| d.is_staying(&change.instance))
            {
                continue;
            }
            // An order without an answer may still be carried out, so the engine counts as ordered in any case.
            ordered.insert(change.instance.id.clone(), now);
            let order = StageOrder {
                upstream: change.instance.id.clone(),
                stage: change.stage,
                holder: self.own.host.clone(),
                fence: lease.fence,
            };
            let limits = SendLimits {
                connect_timeout: ORDER_TIMEOUT / 2,
                deadline: now + ORDER_TIMEOUT,
                may_reuse_connection: false,
            };
            let req = self.codec.write_order(&order);
            let sent = self
                .transport
                .send(change.instance.address, req, limits)
                .await;
            let result = match sent {
                Ok(response) => response.status().to_string(),
                Err(failure) => failure.to_string(),
            };
            log::info!(target: "orders", "order to engine {} to change to stage {:?}, fence {}: {result}", order.upstream, order.stage, order.fence);
        }
    }
}
