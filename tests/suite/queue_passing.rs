//! Requests that pass one of their customer which avoids what is free.

use std::time::Instant;

use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{PlaceRequest, Release, ReleaseOutcome};
use hibiscusspread::process::pool::Pool;
use hibiscusspread::version::compiled::Role;

use crate::pool_support::{place_request, placements, pool, pool_id, upstream};

/// A pool of two decode engines with one slot each; requests 1 and 2 hold `d1` and `d2`.
fn full_pool(now: Instant) -> Pool {
    let members = [
        upstream("p1", Role::Prefill, 8),
        upstream("d1", Role::Decode, 1),
        upstream("d2", Role::Decode, 1),
    ];
    let mut pool = pool(&members, now);
    for (request, avoid) in [(1, "d2"), (2, "d1")] {
        assert_eq!(place(&mut pool, request, "z", &[avoid], now).len(), 1);
    }
    pool
}

/// Returns the requests placed, with their decode engines.
fn place(
    pool: &mut Pool,
    request: RequestId,
    customer: &str,
    avoid: &[&str],
    now: Instant,
) -> Vec<(RequestId, UpstreamId)> {
    let question = PlaceRequest {
        avoid: avoid.iter().map(|id| UpstreamId::from(*id)).collect(),
        ..place_request(request, customer)
    };
    let actions = pool.place(question, now);
    let placed = placements(&actions).into_iter();
    placed.map(|((id, _), p)| (id, p.target)).collect()
}

fn finish(pool: &mut Pool, request: RequestId, now: Instant) -> Vec<(RequestId, UpstreamId)> {
    let release = Release {
        request,
        attempt: 1,
        pool: pool_id(),
        outcome: ReleaseOutcome::Cancelled,
    };
    let placed = placements(&pool.release(&release, now)).into_iter();
    placed.map(|((id, _), p)| (id, p.target)).collect()
}

/// Guards against a request that can't use the free engine and keeps its customer's other work from it, and against
/// one that passes a request which waits for the same engine, or takes the engine that the blocked one waits for.
#[test]
fn later_requests_pass_one_that_avoids_the_free_engine() {
    let now = Instant::now();
    let mut pool = full_pool(now);
    for (request, avoid) in [(3, &["d1"][..]), (4, &["d1"]), (5, &[]), (6, &[])] {
        assert_eq!(place(&mut pool, request, "a", avoid, now), []);
    }
    assert_eq!(finish(&mut pool, 1, now), [(5, "d1".into())]);
    assert_eq!(finish(&mut pool, 2, now), [(3, "d2".into())]);
    assert_eq!(finish(&mut pool, 3, now), [(4, "d2".into())]);
    assert_eq!(finish(&mut pool, 4, now), [(6, "d2".into())]);
}

/// Guards against a blocked request that starves: each one that passes it moves its customer behind the other one, which
/// would then take every free slot of the engine that the blocked one waits for. Also guards against a customer that
/// gets more than its half by passing.
#[test]
fn blocked_request_keeps_its_turn() {
    const ROUNDS: u32 = 20;
    let now = Instant::now();
    let mut pool = full_pool(now);
    let blocked = 10;
    assert_eq!(place(&mut pool, blocked, "a", &["d1"], now), []);
    for request in 0..60 {
        place(&mut pool, 100 + request, "a", &[], now);
        place(&mut pool, 200 + request, "b", &[], now);
    }
    let mut running: [RequestId; 2] = [1, 2];
    let mut started: Vec<(RequestId, UpstreamId)> = Vec::new();
    for _ in 0..ROUNDS {
        for slot in &mut running {
            let placed = finish(&mut pool, *slot, now);
            assert_eq!(placed.len(), 1, "a slot stayed free");
            *slot = placed[0].0;
            started.extend(placed);
        }
    }
    assert_eq!(started[0], (100, "d1".into()));
    assert_eq!(started[1], (blocked, "d2".into()));
    let of_b = started.iter().filter(|(request, _)| *request >= 200);
    let of_b = of_b.count();
    let half = ROUNDS as usize;
    assert!(of_b.abs_diff(half) <= 1, "b got {of_b} of {}", 2 * half);
}
