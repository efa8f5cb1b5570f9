//! Tests of the orders to engines: which host may send them, when, and at which rate.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use proptest::prelude::*;

use hibiscusspread::emulator::clock::ManualClock;
use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::prelude::*;
use hibiscusspread::process::members::StaticMembers;
use hibiscusspread::process::message::Member;
use hibiscusspread::process::orders::leadership::{
    LEASE_CANDIDATES, LEASE_TTL, Leadership, ORDER_TIMEOUT,
};
use hibiscusspread::process::orders::reconciler::{DesiredState, Reconciler};
use hibiscusspread::process::orders::roles::{Candidate, QueueTimes, RolePlanner};
use hibiscusspread::process::orders::{OrderController, OrderControllerParts, ROUND_INTERVAL};
use hibiscusspread::process::shard::rendezvous_order;
use hibiscusspread::process::weight_store::WeightStore;
use hibiscusspread::request::engine::Order;
use hibiscusspread::version::cell::VersionCell;
use hibiscusspread::version::compiled::Role;

use crate::fixtures::{self, EnginesOnly, StubEngine, lost_replies, outage, versions};

/// Engines that ignore the fencing token and record each order with its time of arrival.
struct RecordingEngines {
    clock: Arc<ManualClock>,
    orders: Mutex<Vec<(Instant, Order)>>,
}

impl RecordingEngines {
    fn orders(&self) -> Vec<(Instant, Order)> {
        self.orders.lock().expect("not poisoned").clone()
    }
}

#[async_trait]
impl StubEngine for Arc<RecordingEngines> {
    async fn order(&self, order: Order) -> Result<(), UpstreamError> {
        let mut orders = self.orders.lock().expect("not poisoned");
        orders.push((self.clock.now(), order));
        Ok(())
    }
}

struct FixedWeights;

#[async_trait]
impl WeightStore for FixedWeights {
    async fn size(&self, _model: &ModelId, _version: &str) -> Option<u64> {
        Some(1_000)
    }

    fn rate(&self) -> u64 {
        1_000_000
    }
}

fn member(host: &str) -> Member {
    fixtures::member(host, "a")
}

struct TestBed {
    clock: Arc<ManualClock>,
    store: Arc<MemoryStore>,
    engines: Arc<RecordingEngines>,
    versions: Arc<VersionCell>,
}

impl TestBed {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::default());
        let document = "[t/fleet/main]\ndata_centres = a\n\
             [t/upstream/p]\naddress = 127.0.0.1:1\ndata_centre = a\nrole = prefill\nmodel = m\nmodel_version = 3\n";
        let versions = versions(document);
        let engines = Arc::new(RecordingEngines {
            clock: clock.clone(),
            orders: Mutex::default(),
        });
        Self {
            store: MemoryStore::new(clock.clone()),
            engines,
            versions,
            clock,
        }
    }

    fn controller(&self, host: &str) -> OrderController {
        let members = StaticMembers::new(member(host), [member("h1"), member("h2")]);
        self.controller_among(host, Arc::new(members))
    }

    fn controller_among(&self, host: &str, members: Arc<StaticMembers>) -> OrderController {
        let engines = self.engines.clone();
        OrderController::new(OrderControllerParts {
            host: host.into(),
            incarnation: 1,
            data_centre: "a".into(),
            members,
            store: self.store.clone(),
            upstreams: Arc::new(EnginesOnly(move |_: &str| engines.clone())),
            weights: Arc::new(FixedWeights),
            clock: self.clock.clone(),
            versions: self.versions.clone(),
        })
    }
}

/// Guards against a successor whose orders overlap with those of a predecessor that crashed.
#[tokio::test]
async fn successor_waits_until_the_predecessors_orders_have_timed_out() {
    let bed = TestBed::new();
    let (first, second) = (bed.controller("h1"), bed.controller("h2"));
    first.round().await;
    second.round().await;
    assert!(
        bed.engines.orders().is_empty(),
        "a new leader must wait first"
    );
    bed.clock.advance(ORDER_TIMEOUT + Duration::from_secs(1));
    first.round().await;
    second.round().await;
    let orders = bed.engines.orders();
    assert_eq!(orders.len(), 1);
    let (sent, order) = &orders[0];
    assert_eq!(order.model_version, "3");

    // The first host stops; the second takes over once the lease has expired.
    bed.clock.advance(LEASE_TTL);
    second.round().await;
    assert_eq!(bed.engines.orders().len(), 1);
    bed.clock.advance(ORDER_TIMEOUT + Duration::from_secs(1));
    second.round().await;
    let orders = bed.engines.orders();
    assert_eq!(orders.len(), 2);
    assert!(orders[1].0 > *sent + ORDER_TIMEOUT);
    assert!(orders[1].1.fence > order.fence);
}

/// Guards against a process that sends orders after a pause longer than its lease.
#[tokio::test]
async fn paused_leader_sends_nothing_after_it_resumes() {
    let bed = TestBed::new();
    let controller = bed.controller("h1");
    controller.round().await;
    bed.clock.advance(LEASE_TTL);
    bed.store.set_faults(outage());
    controller.round().await;
    assert!(bed.engines.orders().is_empty());
    assert_eq!(controller.view().fence, None);
}

/// Guards against a host that claims the lease again while it drains.
#[tokio::test]
async fn leaving_host_sends_no_more_orders() {
    let bed = TestBed::new();
    let controller = bed.controller("h1");
    controller.round().await;
    controller.leave().await;
    for _ in 0..3 {
        controller.round().await;
        bed.clock.advance(ORDER_TIMEOUT);
    }
    assert!(bed.engines.orders().is_empty());
    assert_eq!(controller.view().fence, None);
}

/// Guards against a data centre without a leader after the store's reply to a claim was lost. The fault hits the first
/// write of the claim, the lease grant.
#[tokio::test]
async fn lost_reply_to_the_claim_is_settled_by_reading_back() {
    let bed = TestBed::new();
    let controller = bed.controller("h1");
    // The reply to the lease grant is lost; the next round starts over.
    bed.store.set_faults(lost_replies(1));
    controller.round().await;
    controller.round().await;
    bed.clock.advance(ORDER_TIMEOUT + Duration::from_secs(1));
    controller.round().await;
    assert_eq!(bed.engines.orders().len(), 1);
}

/// Guards against reads of the lease by every host of a data centre in every round, and against a takeover that is
/// late because few hosts read it: after the loss of the leader, of the leader with all other candidates, and while no
/// candidate reaches the store.
#[tokio::test]
async fn few_hosts_check_the_lease_and_the_takeover_stays_in_time() {
    const HOSTS: usize = 97;
    let bed = TestBed::new();
    let mut live: Vec<_> = (0..HOSTS).map(|k| member(&format!("h{k}"))).collect();
    let mut controllers: Vec<_> = live
        .iter()
        .map(|me| {
            let members = Arc::new(StaticMembers::new(me.clone(), []));
            members.set_live(live.clone());
            let controller = bed.controller_among(&me.host, members.clone());
            (me.host.clone(), members, controller)
        })
        .collect();
    for others_lost in [0, LEASE_CANDIDATES] {
        let calls = bed.store.calls();
        for _ in 0..12 {
            for (_, _, controller) in &controllers {
                controller.round().await;
            }
            bed.clock.advance(ROUND_INTERVAL);
        }
        let calls = bed.store.calls() - calls;
        println!("{} hosts, a minute: {calls} calls", controllers.len());
        // A claim takes two calls more than a check.
        assert!(calls <= 12 * LEASE_CANDIDATES as u64 + 2, "{calls} calls");
        let leads =
            |(_, _, controller): &(_, _, OrderController)| controller.view().fence.is_some();
        let leader = controllers.iter().position(leads).expect("a leader");
        let ranked = rendezvous_order("orders/a", live.iter().map(|m| m.host.clone()));
        let gone: Vec<_> = std::iter::once(controllers[leader].0.clone())
            .chain(ranked.into_iter().take(others_lost))
            .collect();
        controllers.retain(|(host, _, _)| !gone.contains(host));
        live.retain(|m| !gone.contains(&m.host));
        let mut rounds = 0;
        while !controllers.iter().any(leads) {
            // Membership detects a dead host before its lease expires.
            if rounds == 2 {
                for (_, members, _) in &controllers {
                    members.set_live(live.clone());
                }
            }
            for (_, _, controller) in &controllers {
                controller.round().await;
            }
            bed.clock.advance(ROUND_INTERVAL);
            rounds += 1;
            assert!(rounds <= 6, "{gone:?} lost: nobody took over");
        }
        let took = ROUND_INTERVAL * rounds;
        println!("{} lost: orders again after {took:?}", gone.len());
        let bound = LEASE_TTL + ROUND_INTERVAL + ORDER_TIMEOUT + ROUND_INTERVAL;
        assert!(took <= bound, "{took:?}");
    }
    // The leader dies; the candidates can't reach the store but stay live in membership.
    let ranked = rendezvous_order("orders/a", live.iter().map(|m| m.host.clone()));
    controllers.retain(|(host, _, _)| !ranked[..LEASE_CANDIDATES].contains(host));
    for _ in 0..70 {
        for (_, _, controller) in &controllers {
            controller.round().await;
        }
        bed.clock.advance(ROUND_INTERVAL);
    }
    assert!(
        controllers
            .iter()
            .any(|(_, _, controller)| controller.view().fence.is_some())
    );
}

fn desired(upstream: &str, version: &str) -> DesiredState {
    DesiredState {
        upstream: upstream.into(),
        model: "m".into(),
        model_version: version.to_owned(),
        adapters: Vec::new(),
        role: "decode".to_owned(),
    }
}

/// Guards against orders whose weights exceed the weight store's rate.
#[test]
fn loads_stay_within_the_weight_stores_rate() {
    let start = Instant::now();
    let mut reconciler = Reconciler::new(100, start);
    reconciler.set_size("m".into(), "2".to_owned(), 4_000);
    let states = ["a", "b", "c"].map(|id| desired(id, "2"));
    let first = reconciler.plan(&states, 1, start);
    assert_eq!(first.len(), 1, "60 s of rate carry one load of 40 s");
    reconciler.confirm(&first[0]);
    assert!(reconciler.plan(&states, 1, start).is_empty());
    let second = reconciler.plan(&states, 1, start + Duration::from_secs(20));
    assert_eq!(second.len(), 1);
    assert_eq!(reconciler.pending().len(), 2);
}

/// Guards against engines that flap between roles, and against a pool that loses the last engine of a role.
#[test]
fn roles_change_only_after_a_lasting_imbalance() {
    let start = Instant::now();
    let queues = QueueTimes {
        prefill: Duration::from_secs(3),
        decode: Duration::ZERO,
    };
    let engine = |id: &str, role, running| Candidate {
        upstream: id.into(),
        role,
        running,
    };
    let engines = [
        engine("p", Role::Prefill, 0),
        engine("d1", Role::Decode, 5),
        engine("d2", Role::Decode, 2),
    ];
    let mut planner = RolePlanner::default();
    assert_eq!(planner.plan(queues, &engines, start), None);
    let later = start + Duration::from_secs(59);
    assert_eq!(planner.plan(queues, &engines, later), None);
    let later = start + Duration::from_mins(1);
    let change = planner.plan(queues, &engines, later);
    assert_eq!(change, Some(("d2".into(), Role::Prefill)));
    let one_left = [engine("p", Role::Prefill, 0), engine("d1", Role::Decode, 0)];
    for seconds in 61..600 {
        let now = start + Duration::from_secs(seconds);
        assert_eq!(
            planner.plan(queues, &one_left, now),
            None,
            "last decode engine"
        );
    }
}

proptest! {
    /// Guards against an order that is still valid at an engine after the sender's lease has ended, under any mix of
    /// renewals and pauses.
    #[test]
    fn no_order_outlives_its_lease(steps in proptest::collection::vec((0u64..20_000, any::<bool>()), 1..60)) {
        let start = Instant::now();
        let mut now = start;
        let mut leadership = Leadership::default();
        let mut lease_end = now + LEASE_TTL;
        leadership.acquired(7, now, now);
        for (millis, renew) in steps {
            now += Duration::from_millis(millis);
            // The store renews only a lease that has not expired.
            if renew && now < lease_end {
                lease_end = now + LEASE_TTL;
                leadership.renewed(now);
            }
            if leadership.fence_for_order(now).is_some() {
                prop_assert!(now + ORDER_TIMEOUT <= lease_end);
                prop_assert!(now >= start + ORDER_TIMEOUT);
            }
        }
    }
}
