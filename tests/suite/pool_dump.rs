//! The view of a pool in the dump.

use std::time::{Duration, Instant};

use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{PlaceReply, PlaceRequest, Release, ReleaseOutcome};
use hibiscusspread::process::placer::Placer;
use hibiscusspread::process::pool::dump::{
    BlockedBy, ExclusionReason, MAX_CUSTOMERS, MAX_PLACEMENTS,
};
use hibiscusspread::request::engine::{CacheEvent, CacheEvents, EngineLoad};
use hibiscusspread::version::compiled::Role;

use crate::fixtures::assert_matches;
use crate::pool_fleet::Fleet;
use crate::pool_support::{place_request, placements, pool, pool_and_start, pool_id, upstream};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a dump that does not show why a request waits and for how long.
#[test]
fn shows_why_a_request_waits() {
    let now = Instant::now();
    let members = [
        upstream("d", Role::Decode, 1),
        upstream("p", Role::Prefill, 9),
    ];
    let mut pool = pool(&members, now);
    assert_eq!(pool.view(now).blocked_by, None);
    pool.place(place_request(1, "a"), now);
    pool.place(place_request(2, "b"), now + ms(10));
    pool.place(place_request(3, "b"), now + ms(20));
    let batch = PlaceRequest {
        priority: Priority::Batch,
        ..place_request(4, "b")
    };
    pool.place(batch, now + ms(30));
    let view = pool.view(now + ms(110));
    assert_eq!((view.queued, view.placed), (3, 1));
    assert_eq!(view.blocked_by, Some(BlockedBy::NoSlot));
    let rows = view.queue.iter();
    let rows: Vec<_> = rows
        .map(|q| {
            (
                &*q.customer,
                q.is_batch,
                q.requests,
                q.tokens,
                q.oldest,
                q.longest_wait,
            )
        })
        .collect();
    assert_eq!(
        rows,
        [
            ("b", false, 2, 600, 2, ms(100)),
            ("b", true, 1, 300, 4, ms(80))
        ]
    );
    let outcome = ReleaseOutcome::Failed {
        upstream: "d".into(),
        down: true,
    };
    let release = Release {
        request: 1,
        attempt: 1,
        pool: pool_id(),
        outcome,
    };
    pool.release(&release, now + ms(200));
    let view = pool.view(now + ms(300));
    assert_eq!(view.blocked_by, Some(BlockedBy::NoTarget));
    let left_out = ExclusionReason::Failed {
        failures: 1,
        left: ms(400),
        awaits_report: true,
    };
    assert_eq!(view.upstreams[0].left_out, Some(left_out));
    assert_eq!(view.upstreams[1].left_out, None);
}

/// Guards against a dump that does not explain a choice of upstreams: the pair, the next best pair and the predictions.
#[test]
fn shows_why_upstreams_were_chosen() {
    let now = Instant::now();
    let members = [
        upstream("d", Role::Decode, 9),
        upstream("p1", Role::Prefill, 9),
        upstream("p2", Role::Prefill, 9),
    ];
    let mut pool = pool(&members, now);
    let stored = CacheEvents {
        first: 0,
        events: vec![CacheEvent::Stored(5)],
    };
    pool.report_cache(&"p2".into(), &stored);
    let load = EngineLoad {
        age: ms(100),
        queued_tokens: 4_000,
        ..EngineLoad::default()
    };
    pool.report_load(&"p1".into(), &load, now);
    let req = PlaceRequest {
        prompt_tokens: 4_000,
        pieces: [5, 6].into_iter().collect(),
        ..place_request(1, "a")
    };
    assert_eq!(placements(&pool.place(req, now)).len(), 1);
    let view = pool.view(now + ms(10));
    let [placed] = &view.recent[..] else {
        panic!("one placement: {:?}", view.recent);
    };
    assert_eq!(
        (placed.request, placed.attempt, &*placed.customer),
        (1, 1, "a")
    );
    assert_eq!((placed.age, placed.queued), (ms(10), Duration::ZERO));
    assert_eq!(placed.chosen.prefill.as_deref(), Some("p2"));
    // 2,000 uncached tokens at 20,000 tokens per second, and 4,000 over a link of 200,000 tokens per second.
    assert_eq!(placed.chosen.predicted.prefill, ms(100));
    assert_eq!(placed.chosen.predicted.transfer, ms(20));
    let other = placed.runner_up.as_ref().expect("there was another pair");
    assert_eq!(other.prefill.as_deref(), Some("p1"));
    assert_eq!(other.predicted.queue, ms(100));
    assert_eq!(other.predicted.prefill, ms(200));
    let [target, busy, chosen] = &view.upstreams[..] else {
        panic!("three upstreams");
    };
    assert_eq!(
        (target.held, target.transfers, target.link_busy),
        (1, 1, ms(110))
    );
    assert_eq!((busy.held, busy.report_age), (0, Some(ms(110))));
    assert_eq!(
        (chosen.held, chosen.cached_pieces, chosen.report_age),
        (1, 1, None)
    );
}

/// Guards against a dump that grows with the number of customers or placements.
#[test]
fn dump_lists_are_bounded() {
    let (mut pool, now) = pool_and_start(&[upstream("s", Role::Service, 200)]);
    for request in 0..200 {
        pool.place(place_request(request, "a"), now);
    }
    for request in 200..300 {
        pool.place(place_request(request, &format!("c{request}")), now);
    }
    let view = pool.view(now);
    assert_eq!(view.recent.len(), MAX_PLACEMENTS);
    assert_eq!(
        view.recent[0].request, 199,
        "the newest placement is missing"
    );
    assert_eq!(view.queue.len(), MAX_CUSTOMERS);
    assert_eq!(view.customers_omitted, 100 - MAX_CUSTOMERS);
}

/// Guards against owned pools that are missing from the dump, and against values that can't be encoded as JSON.
#[tokio::test]
async fn dump_contains_owned_pools() {
    let fleet = Fleet::start(&["h1"], 2);
    let host: HostId = "h1".into();
    assert!(fleet.host(&host).owner.dump().is_empty());
    let found = fleet
        .host(&host)
        .placer
        .place(fleet.place_request(&host, 255))
        .await;
    assert_matches!(found => PlaceReply::Placed(_));
    let dump = serde_json::to_value(fleet.host(&host).owner.dump()).expect("encodes");
    assert_eq!(dump[0]["pool"]["model"], "forecast");
    let hex = format!("{:032x}", 255);
    assert_eq!(dump[0]["recent"][0]["request"], *hex);
    assert_eq!(dump[0]["upstreams"][0]["held"], 1);
}
