//! Upstreams and questions for tests of pools.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{
    CancelPlace, LatePolicy, PlaceReply, PlaceRequest, Placement, PoolId,
};
use hibiscusspread::process::placement::JointPolicy;
use hibiscusspread::process::pool::settings::PlacementSettings;
use hibiscusspread::process::pool::{AttemptKey, Pool, PoolAction};
use hibiscusspread::version::compiled::{Role, Upstream};

/// Returns the pool that tests use.
pub fn pool_id() -> PoolId {
    PoolId {
        data_centre: "a".into(),
        model: "forecast".into(),
    }
}

/// Returns an upstream of the pool.
pub fn upstream(id: &str, role: Role, slots: u32) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: id.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        data_centre: "a".into(),
        role,
        model: "forecast".into(),
        slots,
        prefill_rate: 20_000,
        link_rate: 200_000,
        fenced: false,
        model_version: String::new(),
        adapters: Vec::new(),
    })
}

/// Returns a question for the pool.
pub fn place_request(request: RequestId, customer: &str) -> PlaceRequest {
    PlaceRequest {
        request,
        attempt: 1,
        host: "h1".into(),
        incarnation: 1,
        pool: pool_id(),
        customer: customer.into(),
        weight: 100,
        prompt_tokens: 200,
        max_tokens: 100,
        pieces: smallvec::SmallVec::new(),
        priority: Priority::Interactive,
        deadline: Duration::from_secs(1),
        late: LatePolicy::Wait,
        max_wait: Duration::from_secs(30),
        hold_limit: Duration::from_mins(1),
        avoid: smallvec::SmallVec::new(),
    }
}

/// Creates a pool with the joint policy and default settings.
pub fn pool(members: &[Arc<Upstream>], now: Instant) -> Pool {
    let policy = Arc::new(JointPolicy);
    let mut pool = Pool::new(pool_id(), PlacementSettings::default(), policy);
    let actions = pool.set_upstreams(members.iter().map(|u| (u.clone(), false)), now);
    assert!(actions.is_empty());
    pool
}

/// Returns the answers among actions.
pub fn replies(actions: &[PoolAction]) -> Vec<(AttemptKey, PlaceReply)> {
    let replies = actions.iter().filter_map(|action| match action {
        PoolAction::Reply { key, reply } => Some((*key, reply.clone())),
        PoolAction::Cancel { .. } => None,
    });
    replies.collect()
}

/// Returns the placements among actions.
pub fn placements(actions: &[PoolAction]) -> Vec<(AttemptKey, Placement)> {
    let placed = replies(actions)
        .into_iter()
        .filter_map(|(key, reply)| match reply {
            PlaceReply::Placed(placement) => Some((key, placement)),
            _ => None,
        });
    placed.collect()
}

/// Returns a pool and the time of its start.
pub fn pool_and_start(members: &[Arc<Upstream>]) -> (Pool, Instant) {
    let now = Instant::now();
    (pool(members, now), now)
}

/// Withdraws the first attempt of a request.
pub fn cancel(request: RequestId) -> CancelPlace {
    CancelPlace {
        request,
        attempt: 1,
        pool: pool_id(),
    }
}
