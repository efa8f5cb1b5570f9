//! Lists of running attempts, which are sent in parts because one message would exceed a frame.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hibiscusspread::connection::peer::encode;
use hibiscusspread::prelude::*;
use hibiscusspread::process::message::{
    Adopt, Inflight, ListPart, PeerRequest, Placement, RunningAttempt,
};
use hibiscusspread::process::pool::{Pool, PoolAction};
use hibiscusspread::process::recovery::StandbyList;
use hibiscusspread::version::compiled::Role;
use proptest::prelude::*;

use crate::pool_support::{place_request, pool, pool_id, upstream};

/// More than the attempts that fit into one message.
const MANY: u128 = 20_000;
/// Enough for several parts.
const SOME: u128 = 2_000;

fn attempt(request: RequestId) -> RunningAttempt {
    let placement = Placement {
        prefill: Some("p".into()),
        target: "d".into(),
        expected_cached: 0,
    };
    RunningAttempt::new(&place_request(request, "c"), placement)
}

fn attempts(requests: impl IntoIterator<Item = RequestId>) -> Vec<RunningAttempt> {
    requests.into_iter().map(attempt).collect()
}

fn copied(list: ListNo, requests: impl IntoIterator<Item = RequestId>) -> Vec<Inflight> {
    let batch = Inflight {
        whole: Some(ListPart::only(1, list)),
        placed: attempts(requests),
        ..Inflight::empty(pool_id())
    };
    batch.split()
}

fn announced(list: ListNo, requests: impl IntoIterator<Item = RequestId>) -> Vec<Adopt> {
    let adopt = Adopt {
        pool: pool_id(),
        host: "h1".into(),
        part: ListPart::only(1, list),
        attempts: attempts(requests),
    };
    adopt.split()
}

fn new_pool(now: Instant) -> Pool {
    let members = [
        upstream("p", Role::Prefill, 20),
        upstream("d", Role::Decode, 40_000),
    ];
    pool(&members, now)
}

fn listed(list: StandbyList) -> BTreeSet<RequestId> {
    list.into_attempts().map(|r| r.request).collect()
}

fn cancels(actions: &[PoolAction]) -> usize {
    let cancels = actions.iter();
    cancels
        .filter(|action| matches!(action, PoolAction::Cancel { .. }))
        .count()
}

/// Guards against a list that can't be sent at all, and one that loses or duplicates attempts between its parts, also
/// with the longest names.
#[test]
fn parts_of_a_long_list_fit_and_hold_everything_once() {
    let named = |request| {
        let mut running = attempt(request);
        running.host = "h".repeat(300).into();
        running
    };
    for count in [0, 1, 1_000, MANY] {
        let batch = Inflight {
            whole: Some(ListPart::only(1, 1)),
            placed: (0..count).map(named).collect(),
            ended: (0..count).map(|r| (RequestId::MAX - r, u32::MAX)).collect(),
            ..Inflight::empty(pool_id())
        };
        let parts = batch.clone().split();
        let of_list: Vec<_> = parts.iter().filter_map(|p| p.whole).collect();
        let lasts: Vec<_> = of_list.iter().map(|p| p.is_last).collect();
        assert_eq!(lasts.iter().filter(|last| **last).count(), 1);
        assert_eq!(lasts.last(), Some(&true));
        assert!((0..).zip(&of_list).all(|(index, p)| p.index == index));
        let placed: Vec<_> = parts.iter().flat_map(|p| p.placed.clone()).collect();
        let ended: Vec<_> = parts.iter().flat_map(|p| p.ended.clone()).collect();
        assert_eq!((placed, ended), (batch.placed, batch.ended));
        for part in parts {
            encode(&PeerRequest::Inflight(part)).expect("a part fits into a frame");
        }
        for part in announced(1, 0..count) {
            encode(&PeerRequest::Adopt(part)).expect("a part fits into a frame");
        }
    }
}

/// Guards against running requests that are cut off because the part of an announcement that lists them is lost or
/// late, and against slots that are held for good once the whole list is there.
#[test]
fn nothing_ends_while_a_part_of_the_announcement_is_missing() {
    let now = Instant::now();
    let at = |seconds| now + Duration::from_secs(seconds);
    let parts = announced(1, 0..MANY);
    assert!(parts.len() > 3);
    let mut pool = new_pool(now);
    // An attempt that its entry host no longer runs; another one is taken over below, while a part is missing.
    pool.take_over(attempts((0..MANY).chain([MANY])), now);
    for (index, part) in parts.iter().enumerate() {
        if index != 1 {
            assert_eq!(cancels(&pool.adopt(part, at(4))), 0);
            assert_eq!(cancels(&pool.adopt(part, at(4))), 0, "repeated part");
        }
    }
    pool.take_over([attempt(MANY + 1)], at(5));
    assert_eq!(
        cancels(&pool.tick(at(30))),
        0,
        "a missing part counted as empty"
    );
    assert_eq!(cancels(&pool.adopt(&parts[1], at(30))), 0);
    assert_eq!(cancels(&pool.tick(at(34))), 0);
    assert_eq!(cancels(&pool.tick(at(35))), 2);
    assert_eq!(pool.placed() as u128, MANY);
}

/// Guards against two concurrent announcements of which one ends the wait for the other's missing part too early, and
/// against an older one that keeps slots after a newer one is complete.
#[test]
fn newer_announcement_replaces_an_incomplete_one() {
    let now = Instant::now();
    let at = |seconds| now + Duration::from_secs(seconds);
    let (older, newer) = (announced(1, 0..SOME), announced(2, 1..=SOME));
    let mut pool = new_pool(now);
    // The last attempt is only in the missing part of the newer list.
    pool.take_over(attempts(0..=SOME), now);
    pool.adopt(&newer[0], at(1));
    for part in &older[1..] {
        pool.adopt(part, at(1));
    }
    assert_eq!(cancels(&pool.adopt(&older[0], at(1))), 0);
    assert_eq!(
        cancels(&pool.tick(at(20))),
        0,
        "the newer list is incomplete"
    );
    let mut pool = new_pool(now);
    pool.take_over(attempts(0..SOME), now);
    pool.adopt(&older[1], at(1));
    for part in &newer {
        pool.adopt(part, at(1));
    }
    assert_eq!(cancels(&pool.tick(at(6))), 1, "the newer list is complete");
    // An ended process keeps no slots by an incomplete announcement.
    let mut pool = new_pool(now);
    pool.take_over(attempts(0..SOME), now);
    pool.adopt(&older[1], at(1));
    assert_eq!(
        cancels(&pool.host_down(&"h1".into(), 1, at(2))) as u128,
        SOME
    );
}

/// A part of a list, or the placement or end of a request.
#[derive(Debug, Clone)]
enum Step {
    Part { list: usize, part: usize },
    Placed(RequestId),
    Ended(RequestId),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2usize, 0..8usize).prop_map(|(list, part)| Step::Part { list, part }),
        1 => (0..3_000u128).prop_map(|r| Step::Placed(10_000 + r)),
        1 => (0..3_000u128).prop_map(Step::Ended),
    ]
}

proptest! {
    // Each case copies thousands of attempts.
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a standby that treats a partial list as complete and drops running requests, that keeps ended
    /// ones, and that mixes up two concurrent lists.
    #[test]
    fn standby_takes_only_whole_lists(steps in prop::collection::vec(step(), 1..40)) {
        let lists = [copied(1, 0..2_000), copied(2, 1_000..3_000)];
        let mut standby = StandbyList::default();
        standby.apply(Inflight { placed: attempts([5_000]), ..Inflight::empty(pool_id()) });
        let mut expected = BTreeSet::from([5_000]);
        let (mut newest, mut seen) = (None, BTreeSet::new());
        let (mut kept, mut ended) = (BTreeSet::new(), BTreeSet::new());
        let mut is_whole = false;
        for step in steps {
            match step {
                Step::Part { list, part } => {
                    let part = part % lists[list].len();
                    let batch = lists[list][part].clone();
                    let requests: Vec<_> = batch.placed.iter().map(|r| r.request).collect();
                    standby.apply(batch);
                    if newest < Some(list) {
                        newest = Some(list);
                        seen.clear();
                        kept.clear();
                        ended.clear();
                        is_whole = false;
                    }
                    if newest == Some(list) && !is_whole {
                        seen.insert(part);
                        kept.extend(requests.iter().copied());
                        expected.extend(requests.into_iter().filter(|r| !ended.contains(r)));
                        is_whole = seen.len() == lists[list].len();
                        if is_whole {
                            expected.retain(|r| kept.contains(r));
                        }
                    }
                }
                Step::Placed(request) => {
                    let placed = attempts([request]);
                    standby.apply(Inflight { placed, ..Inflight::empty(pool_id()) });
                    if !ended.contains(&request) || is_whole || newest.is_none() {
                        expected.insert(request);
                    }
                    kept.insert(request);
                }
                Step::Ended(request) => {
                    standby.remove((request, 1));
                    expected.remove(&request);
                    ended.insert(request);
                }
            }
        }
        prop_assert_eq!(listed(standby), expected);
    }
}
