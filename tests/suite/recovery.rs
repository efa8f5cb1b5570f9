//! Tests of how placements are recovered or released when hosts are gone.

use std::time::{Duration, Instant};

use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{
    Adopt, Inflight, ListPart, PlaceReply, PlaceRequest, RunningAttempt,
};
use hibiscusspread::process::placer::Placer;
use hibiscusspread::process::pool::{Pool, PoolAction};
use hibiscusspread::process::pool_owner::pool_owners;
use hibiscusspread::process::recovery::StandbyList;
use hibiscusspread::version::compiled::Role;

use crate::fixtures::assert_matches;
use crate::pool_fleet::Fleet;
use crate::pool_support::{
    place_request, placements, pool, pool_and_start, pool_id, replies, upstream,
};

/// Returns a prefill engine and a decode engine with 2 slots.
fn engines() -> Vec<std::sync::Arc<hibiscusspread::version::compiled::Upstream>> {
    vec![
        upstream("p", Role::Prefill, 20),
        upstream("d", Role::Decode, 2),
    ]
}

fn cancelled(actions: &[PoolAction]) -> Vec<(RequestId, AttemptNo, usize)> {
    let cancels = actions.iter().filter_map(|action| match action {
        PoolAction::Cancel {
            request,
            attempt,
            engines,
        } => Some((*request, *attempt, engines.len())),
        PoolAction::Reply { .. } => None,
    });
    cancels.collect()
}

/// Places two requests; returns the pool, and the attempts as listed by its standby.
fn placed(now: Instant) -> (Pool, Vec<RunningAttempt>) {
    let mut old = pool(&engines(), now);
    for request in [1, 2] {
        assert_eq!(
            placements(&old.place(place_request(request, "c"), now)).len(),
            1
        );
    }
    let mut standby = StandbyList::default();
    standby.apply(old.take_changes().expect("placements are copied"));
    (old, standby.into_attempts().collect())
}

/// Returns an announcement of the entry host that `pool_support::place_request` sets.
fn announced(attempts: Vec<RunningAttempt>) -> Adopt {
    Adopt {
        pool: pool_id(),
        host: "h1".into(),
        part: ListPart::only(1, 1),
        attempts,
    }
}

/// Guards against engine memory that stays reserved for the callers of a dead entry host, and against releasing the
/// attempts of its restarted process.
#[test]
fn ends_what_a_dead_entry_host_held() {
    let (mut pool, now) = pool_and_start(&engines());
    let of_h1 = place_request(1, "c");
    let restarted = PlaceRequest {
        incarnation: 2,
        ..place_request(2, "c")
    };
    pool.place(of_h1, now);
    pool.place(restarted, now);
    pool.place(place_request(3, "c"), now);
    let other = PlaceRequest {
        host: "h2".into(),
        ..place_request(4, "c")
    };
    assert!(placements(&pool.place(other, now)).is_empty());
    let actions = pool.host_down(&"h1".into(), 1, now);
    assert_eq!(cancelled(&actions), [(1, AttemptNo::MAX, 2)]);
    assert_eq!(
        placements(&actions)[0].0,
        (4, 1),
        "the freed slot went to another host"
    );
    assert!(replies(&actions).contains(&((3, 1), PlaceReply::Withdrawn)));
    let late = pool.place(place_request(5, "c"), now);
    assert_eq!(
        replies(&late),
        [((5, 1), PlaceReply::Withdrawn)],
        "a late request held a slot"
    );
}

/// Guards against a new pool owner that gives out slots which its predecessor's placements hold, cancels adopted
/// attempts, or keeps slots for attempts that no entry host runs any more.
#[test]
fn new_owner_cancels_what_nobody_adopts() {
    let now = Instant::now();
    let (_, listed) = placed(now);
    let mut new = pool(&engines(), now);
    new.take_over(listed.clone(), now);
    assert!(
        placements(&new.place(place_request(3, "c"), now)).is_empty(),
        "overbooked"
    );
    let adopted: Vec<_> = listed.into_iter().filter(|r| r.request == 1).collect();
    let adopt = announced(adopted);
    let later = now + Duration::from_secs(4);
    assert!(new.adopt(&adopt, later).is_empty());
    let actions = new.tick(now + Duration::from_secs(5));
    assert_eq!(cancelled(&actions), [(2, AttemptNo::MAX, 2)]);
    assert_eq!(placements(&actions)[0].0, (3, 1));
    assert_eq!(new.placed(), 2);
    let actions = new.tick(now + Duration::from_secs(50));
    assert!(
        cancelled(&actions).is_empty(),
        "an adopted attempt was cancelled"
    );
}

/// Guards against a new owner that misses attempts which the standby did not list, or counts those twice that it did.
#[test]
fn adopts_what_the_standby_does_not_list() {
    let now = Instant::now();
    let (_, listed) = placed(now);
    let mut new = pool(&engines(), now);
    let adopt = announced(listed.clone());
    new.adopt(&adopt, now);
    new.take_over(listed, now);
    new.adopt(&adopt, now);
    assert_eq!(new.placed(), 2);
    assert!(placements(&new.place(place_request(3, "c"), now)).is_empty());
    assert!(
        new.tick(now + Duration::from_secs(10))
            .iter()
            .all(|a| !matches!(a, PoolAction::Cancel { .. }))
    );
}

fn placed_in(placed: Vec<RunningAttempt>) -> Inflight {
    Inflight {
        placed,
        ..Inflight::empty(pool_id())
    }
}

fn ended(request: RequestId) -> Inflight {
    Inflight {
        ended: vec![(request, 1)],
        ..Inflight::empty(pool_id())
    }
}

/// Guards against a standby list that keeps ended attempts or loses running ones.
#[test]
fn standby_follows_changes() {
    let now = Instant::now();
    let (_, listed) = placed(now);
    let mut list = StandbyList::default();
    list.apply(placed_in(listed.clone()));
    list.apply(ended(1));
    list.apply(ended(9));
    assert_eq!(
        list.into_attempts().map(|r| r.request).collect::<Vec<_>>(),
        [2]
    );
    let mut list = StandbyList::default();
    list.apply(placed_in(listed));
    list.apply(Inflight {
        whole: Some(ListPart::only(1, 1)),
        ..Inflight::empty(pool_id())
    });
    assert!(list.is_empty());
}

/// Guards against running requests that are cancelled, and slots that are counted twice or lost, when the owner of
/// their pool dies.
#[tokio::test]
async fn pool_survives_its_owner() {
    let fleet = Fleet::start(&["h1", "h2", "h3"], 4);
    let (entry, ranked) = fleet.entry_and_owners();
    for request in 0..3 {
        fleet.assert_placed(&entry, request).await;
    }
    let old = fleet.host(&ranked[0]).owner.clone();
    assert_eq!(old.queued_and_placed(&pool_id()), (0, 3));
    // Long enough for the changes to reach the standby.
    tokio::time::sleep(Duration::from_millis(250)).await;
    // The third request ends after the owner has died, so that only the standby still lists it.
    fleet.hub.kill(&ranked[0]);
    let release = Fleet::release(2);
    let placer = fleet.host(&entry).placer.clone();
    let released = tokio::spawn(async move { placer.release(release).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.set_live(|m| m.host != ranked[0]);
    released.await.expect("release ends");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let new = fleet.host(&ranked[1]).owner.clone();
    assert_eq!(new.queued_and_placed(&pool_id()), (0, 2));
    fleet.clock.advance(Duration::from_secs(6));
    new.tick();
    assert_eq!(
        new.queued_and_placed(&pool_id()),
        (0, 2),
        "adopted attempts were ended"
    );
    for request in [3, 4] {
        fleet.assert_placed(&entry, request).await;
    }
    assert_eq!(new.queued_and_placed(&pool_id()), (0, 4));
}

/// Guards against attempts that keep their slots after the pool owner and their entry host died together.
#[tokio::test]
async fn ends_attempts_whose_host_died_with_the_owner() {
    let fleet = Fleet::start(&["h1", "h2", "h3"], 4);
    let (entry, ranked) = fleet.entry_and_owners();
    fleet.assert_placed(&entry, 1).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    fleet.hub.kill(&ranked[0]);
    // The emulated network only refuses messages to a dead host; the cut drops those from it.
    fleet.hub.kill(&entry);
    fleet.hub.set_cut(&entry, &ranked[1], true);
    fleet.set_live(|m| m.host == ranked[1]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let new = fleet.host(&ranked[1]).owner.clone();
    assert_eq!(new.queued_and_placed(&pool_id()), (0, 1));
    fleet.clock.advance(Duration::from_secs(5));
    new.tick();
    assert_eq!(new.queued_and_placed(&pool_id()), (0, 0));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(
        fleet.upstreams.cancels(),
        2,
        "not cancelled at both engines"
    );
}

/// Guards against running requests that are cancelled while two hosts disagree on who owns their pool.
#[tokio::test]
async fn copies_of_another_owner_end_nothing() {
    let fleet = Fleet::start(&["h1", "h2"], 2);
    let owner = pool_owners(&*fleet.host(&"h1".into()).members, &pool_id())[0].clone();
    let owner = fleet.host(&owner).owner.clone();
    let (_, listed) = placed(Instant::now());
    let copy = Inflight {
        whole: Some(ListPart::only(1, 1)),
        ..placed_in(listed)
    };
    owner.receive_inflight(copy.clone());
    fleet.clock.advance(Duration::from_secs(6));
    owner.tick();
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(fleet.upstreams.cancels(), 0);
    owner.receive_inflight(Inflight {
        hands_over: true,
        ..copy
    });
    assert_eq!(owner.queued_and_placed(&pool_id()), (0, 2));
}

/// Guards against queued and running requests that are lost when their pool moves to a host that has just joined.
#[tokio::test]
async fn pool_moves_to_a_host_that_joins() {
    let fleet = Fleet::start(&["h1", "h2", "h3"], 2);
    let (entry, ranked) = fleet.entry_and_owners();
    fleet.set_live(|m| m.host != ranked[0]);
    let placer = fleet.host(&entry).placer.clone();
    for request in [1, 2] {
        fleet.assert_placed(&entry, request).await;
    }
    let waiting = (placer.clone(), fleet.place_request(&entry, 3));
    let waiting = tokio::spawn(async move { waiting.0.place(waiting.1).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    fleet.set_live(|_| true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let joined = fleet.host(&ranked[0]).owner.clone();
    assert_eq!(joined.queued_and_placed(&pool_id()), (1, 2));
    assert_eq!(
        fleet.host(&ranked[1]).owner.queued_and_placed(&pool_id()),
        (0, 0)
    );
    fleet.clock.advance(Duration::from_secs(6));
    joined.tick();
    assert_eq!(
        joined.queued_and_placed(&pool_id()),
        (1, 2),
        "adopted attempts were ended"
    );
    placer.release(Fleet::release(1)).await;
    assert_matches!(waiting.await.expect("placed") => PlaceReply::Placed(_));
}

/// Guards against slots and engine work that stay after their entry host has died.
#[tokio::test]
async fn host_down_frees_slots_at_the_owner() {
    let fleet = Fleet::start(&["h1", "h2"], 1);
    let entry = fleet.non_owner_entry();
    let owner = pool_owners(&*fleet.host(&entry).members, &pool_id())[0].clone();
    fleet.assert_placed(&entry, 1).await;
    let waiting = fleet.host(&owner).placer.clone();
    let req = fleet.place_request(&owner, 2);
    let waiting = tokio::spawn(async move { waiting.place(req).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(
        fleet.host(&owner).owner.queued_and_placed(&pool_id()),
        (1, 1)
    );
    fleet
        .host(&owner)
        .owner
        .host_down(&fleet.host_down_proof(&entry));
    assert_matches!(waiting.await.expect("placed") => PlaceReply::Placed(_));
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(fleet.upstreams.cancels(), 2);
}

/// Guards against slots held for an entry host that died before the new owner took the pool over, when that host's
/// last announcement arrives late.
#[tokio::test]
async fn new_owner_knows_who_died_before() {
    let fleet = Fleet::start(&["h1", "h2", "h3"], 2);
    let (entry, ranked) = fleet.entry_and_owners();
    let new = fleet.host(&ranked[1]).owner.clone();
    fleet.assert_placed(&entry, 1).await;
    let announced = fleet
        .host(&entry)
        .placer
        .attempts()
        .announcement(&pool_id());
    assert_eq!(announced.attempts.len(), 1);
    fleet.hub.kill(&entry);
    fleet.hub.set_cut(&entry, &ranked[1], true);
    new.host_down(&fleet.host_down_proof(&entry));
    fleet.hub.kill(&ranked[0]);
    fleet.set_live(|m| m.host == ranked[1]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(new.adopt(&announced));
    assert_eq!(new.queued_and_placed(&pool_id()), (0, 0));
}

/// Guards against a repeated announcement that still lists attempts which have ended meanwhile: the owner that it
/// reaches may not have received their release.
#[tokio::test]
async fn announces_what_runs_at_the_time() {
    let fleet = Fleet::start(&["h1", "h2", "h3"], 2);
    let (entry, ranked) = fleet.entry_and_owners();
    let placer = fleet.host(&entry).placer.clone();
    fleet.assert_placed(&entry, 1).await;
    // The standby lists nothing, so that the new owner learns of the attempt only from the announcement.
    fleet.hub.kill(&ranked[0]);
    fleet.hub.set_cut(&entry, &ranked[1], true);
    fleet.set_live(|m| m.host != ranked[0]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    // As if another owner had confirmed its release meanwhile.
    placer.attempts().remove((1, 1));
    fleet.hub.set_cut(&entry, &ranked[1], false);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let new = &fleet.host(&ranked[1]).owner;
    fleet.clock.advance(Duration::from_secs(6));
    new.tick();
    assert_eq!(new.queued_and_placed(&pool_id()), (0, 0));
}

/// Guards against a first request that waits for a new pool to settle because its owner creates the pool on demand.
#[tokio::test(start_paused = true)]
async fn owner_creates_its_pools_before_they_are_asked_for() {
    let fleet = Fleet::start(&["a-1", "a-2"], 2);
    fleet.set_live(|_| true);
    tokio::time::sleep(Duration::from_millis(1)).await;
    let owned = ["a-1", "a-2"].map(|host| fleet.host(&host.into()).owner.dump().len());
    assert_eq!(owned.iter().sum::<usize>(), 1, "{owned:?}");
}
