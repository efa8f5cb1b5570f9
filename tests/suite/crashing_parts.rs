//! Tests of the refusal of requests with a part of a prompt that crashes upstreams.

use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use hibiscusspread::emulator::store::MemoryStore;
use hibiscusspread::platform::PlatformStateCodec;
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::forwarding::store_watchers::StoreWatchers;
use hibiscusspread::process::message::CrashReport;
use hibiscusspread::process::quarantine::{
    COMMON_CAUSE_WINDOW, MIN_PART_CRASHES, PART_TTL, PartTable, SAME_CRASH_WINDOW, Verdict,
};

use crate::forward_fleet::registration;
use crate::platform_stand_in::{Answer, Behaviour, CRASHING_PART, Platform, wait_until};

const FIRST: Digest = [1; 32];
const CRASHING: Digest = [2; 32];

/// Longer than all windows within which crashes count as one.
const APART: Duration = Duration::from_secs(3);

fn report(part: Digest, request: RequestId) -> CrashReport {
    CrashReport {
        fingerprint: part,
        request,
        attempt: 1,
        upstream: format!("u{request}").into(),
    }
}

/// The number of requests after whose crashes a part is refused.
const ENOUGH: u128 = MIN_PART_CRASHES as u128;

/// Records crashes of `requests` with `parts`, apart from each other, and returns the time of the last one.
fn crash_apart(
    table: &mut PartTable,
    parts: &[Digest],
    requests: Range<RequestId>,
    start: Instant,
) -> Instant {
    let mut now = start;
    for request in requests {
        now += APART;
        // A part that no other request has explains nothing.
        let own = [100 + u8::try_from(request).expect("small"); 32];
        for part in parts.iter().chain([&own]) {
            table.record_crash(&report(*part, request), None, now);
        }
    }
    now
}

/// Guards against requests that go on crashing upstreams because no two of them are alike, and against the refusal of sound requests
/// that share all other parts with them.
#[test]
fn only_requests_with_the_crashing_part_are_refused() {
    let mut table = PartTable::new(100);
    let parts = [FIRST, CRASHING];
    let now = crash_apart(&mut table, &parts, 1..ENOUGH, Instant::now());
    assert_eq!(table.refused_part(&parts, now), None, "too few crashes");
    let now = crash_apart(&mut table, &parts, ENOUGH..ENOUGH + 1, now);
    assert!(table.refused_part(&parts, now).is_some());
    // Either part may be the cause, so only both together are refused.
    assert_eq!(table.refused_part(&[FIRST], now), None);
    assert_eq!(table.refused_part(&[FIRST, [3; 32]], now), None);
    // A request with the first part alone ran to its end.
    let now = now + APART;
    table.record_sound(&FIRST, now, now);
    assert_eq!(table.refused_part(&[CRASHING], now), Some(CRASHING));
    assert_eq!(table.refused_part(&[FIRST], now), None);
}

/// Guards against the blame of a common part for a disruption that ends several upstreams at once, or for one crash that
/// interrupts several requests.
#[test]
fn crashes_with_a_common_cause_count_once() {
    let start = Instant::now();
    let mut table = PartTable::new(100);
    for request in 0..20 {
        let now = start + COMMON_CAUSE_WINDOW / 25 * u32::try_from(request).expect("small");
        table.record_crash(&report(FIRST, request), None, now);
    }
    assert_eq!(table.refused_part(&[FIRST], start + APART), None);
    let mut table = PartTable::new(100);
    for request in 0..20 {
        let mut report = report(FIRST, request);
        report.upstream = "u".into();
        let now = start + SAME_CRASH_WINDOW / 25 * u32::try_from(request).expect("small");
        table.record_crash(&report, None, now);
    }
    assert_eq!(table.refused_part(&[FIRST], start + APART), None);
}

/// Guards against a part that stays refused although requests with it run, because other hosts repeat their reports, and against
/// clearing a part by a request that was sent before the crashes.
#[test]
fn sound_requests_clear_a_part() {
    let mut table = PartTable::new(100);
    let start = Instant::now();
    let now = crash_apart(&mut table, &[FIRST], 0..ENOUGH, start);
    assert!(
        !table.record_sound(&FIRST, start, now).ends_suspicion,
        "sent before the crashes"
    );
    assert_eq!(table.refused_part(&[FIRST], now), Some(FIRST));
    assert!(
        table
            .record_sound(&FIRST, now + APART, now + APART)
            .ends_suspicion
    );
    let later = now + APART * 2;
    for request in 0..ENOUGH {
        table.record_crash(&report(FIRST, request), None, later);
    }
    assert_eq!(table.refused_part(&[FIRST], later), None);
}

/// Returns the part for which a host refuses a request with `parts`.
fn refused_part(state: &FleetState, parts: &[Digest], now: Instant) -> Option<Digest> {
    let (verdict, part) = state.judge_parts(parts, 0, now);
    part.filter(|_| matches!(verdict, Verdict::Refused { .. }))
}

/// Guards against a sound part that is refused after one disruption which breaks off more requests with it than the table keeps: a
/// repeated report of one that was dropped passes for a later crash.
#[test]
fn repeated_reports_are_no_further_crashes() {
    let state = FleetState::new(&ForwardingSettings::default());
    let start = Instant::now();
    let reports: Vec<_> = (0..40).map(|request| report(FIRST, request)).collect();
    for report in &reports {
        state.record_crash(report, Reach::Host, start);
    }
    // Through relays, crashes are repeated for up to three times as long as by their finder.
    for (no, report) in reports.iter().cycle().take(90).enumerate() {
        let now = start + Duration::from_millis(100) * u32::try_from(no).expect("small");
        state.record_crash(report, Reach::Fleet, now);
        assert_eq!(refused_part(&state, &[FIRST], now), None, "repeat {no}");
    }
}

/// Guards against crashes that are left out because one disruption before them broke off many requests with the part.
#[test]
fn later_crashes_count_beside_those_of_a_disruption() {
    let mut table = PartTable::new(100);
    let start = Instant::now();
    for request in 0..40 {
        table.record_crash(&report(FIRST, request), None, start);
    }
    let now = crash_apart(&mut table, &[FIRST], 40..40 + ENOUGH - 1, start);
    assert_eq!(table.refused_part(&[FIRST], now), Some(FIRST));
}

/// Guards against a refusal that outlives the crashes on which it rests, and against a table that grows without bound.
#[test]
fn crashes_expire_and_the_table_is_bounded() {
    let mut table = PartTable::new(2 * MIN_PART_CRASHES);
    let now = crash_apart(&mut table, &[FIRST], 0..ENOUGH, Instant::now());
    assert_eq!(table.refused_part(&[FIRST], now + APART), Some(FIRST));
    assert_eq!(table.refused_part(&[FIRST], now + PART_TTL), None);
    let now = crash_apart(&mut table, &[CRASHING], 10..10 + ENOUGH, now);
    let now = crash_apart(&mut table, &[[3; 32]], 20..20 + ENOUGH, now);
    assert_eq!(table.refused_part(&[FIRST], now), None, "evicted");
    assert_eq!(table.refused_part(&[CRASHING], now), Some(CRASHING));
}

fn host(store: &Arc<MemoryStore>) -> (Arc<FleetState>, Arc<StoreWatchers>) {
    let settings = ForwardingSettings::default();
    let state = Arc::new(FleetState::new(&settings));
    let watchers = StoreWatchers {
        state: state.clone(),
        store: store.clone(),
        codec: Arc::new(PlatformStateCodec),
        clock: Arc::new(SystemClock),
        settings,
        registration: registration("host-1", 1),
        registered: Notify::new(),
        logged_unreadable: Mutex::default(),
    };
    (state, Arc::new(watchers))
}

/// Guards against a fleet whose hosts all restart and then let the same part crash upstreams again, and against a part that is
/// refused after a restart although requests with it ran before.
#[tokio::test]
async fn crashing_part_survives_a_restart_of_all_hosts() {
    let store = MemoryStore::new(Arc::new(SystemClock));
    let (before, watchers) = host(&store);
    let keeping = tokio::spawn(async move { watchers.keep_crashing_parts().await });
    let start = Instant::now();
    let mut now = start;
    for request in 0..ENOUGH {
        now += APART;
        for part in [FIRST, CRASHING] {
            before.record_crash(&report(part, request), Reach::Host, now);
        }
    }
    let stored = async |count: usize| {
        let deadline = Instant::now() + Duration::from_secs(5);
        while store.list("crashing-parts/").await.expect("answer").len() != count {
            assert!(Instant::now() < deadline, "{count} stored parts");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    stored(2).await;

    let (after, watchers) = host(&store);
    let restored = tokio::spawn(async move { watchers.keep_crashing_parts().await });
    wait_until("the part is restored", || {
        refused_part(&after, &[FIRST, CRASHING], Instant::now()).is_some()
    })
    .await;
    assert_eq!(refused_part(&after, &[FIRST], Instant::now()), None);

    let now = now + APART;
    before.record_sound(&[FIRST], now, now);
    stored(1).await;
    keeping.abort();
    restored.abort();
}

async fn generate(platform: &Platform, id: &str, parts: &str) -> Answer {
    // Equal requests are refused for themselves; these differ in their paths.
    let mut req = platform.request("POST", &format!("/text/{id}"));
    for (name, value) in [("x-request-id", id), ("x-prefix-hash", parts)] {
        req.headers_mut()
            .insert(name, value.parse().expect("value"));
    }
    platform.send(req).await
}

fn is_served(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_complete
}

/// Returns whether the request `id` reached an engine.
fn reached(platform: &Platform, id: &str) -> bool {
    let mut seen = platform.seen_by("").into_iter();
    seen.any(|seen| seen.header("x-request-id") == Some(id))
}

/// Guards against a host that sends requests with a part of a prompt to engines after it has crashed several of them.
#[tokio::test]
async fn requests_with_a_crashing_part_reach_no_engine() {
    let platform = Platform::start().await;
    for id in ["d-0", "d-1"] {
        platform.upstream(id).set_behaviour(Behaviour::CrashOnPart);
    }
    let crashing = |no: usize| format!("5c1e:800,{CRASHING_PART}:410,e44{no}:250");
    for no in 0..MIN_PART_CRASHES {
        let answer = generate(&platform, &format!("crash-{no}"), &crashing(no)).await;
        assert!(!is_served(&answer), "{answer:?}");
        // An upstream that crashed is gone for a while, and starts anew.
        for id in ["d-0", "d-1"] {
            platform.register_restarted(id).await;
        }
        tokio::time::sleep(SAME_CRASH_WINDOW).await;
    }
    let answer = generate(&platform, "refused", &crashing(9)).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(!reached(&platform, "refused"));
    // Shares the first part and the caller.
    let answer = generate(&platform, "sound", "5c1e:800,e449:250").await;
    assert!(is_served(&answer), "{answer:?}");
    // The last part belongs to the request alone.
    let own = format!("5c1e:800,{CRASHING_PART}:250");
    generate(&platform, "own", &own).await;
    assert!(reached(&platform, "own"));
}
