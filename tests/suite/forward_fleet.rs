//! The state of a forwarding host and its decisions: upstream directory, load and health, selection, wait queue, stage plan, other
//! hosts, retry budget.

use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::directory::{
    Directory, DirectorySettings, Instance, Stage,
};
use hibiscusspread::process::forwarding::load::{
    CallOutcome, LoadSettings, LoadTracker, LoadView, Work,
};
use hibiscusspread::process::forwarding::peers::{
    HostReport, PeerTable, Registration, ReportFreshness,
};
use hibiscusspread::process::forwarding::retry_budget::{HostRetryBudget, RetryBudgetSettings};
use hibiscusspread::process::forwarding::selection::{
    Candidate, PredictedTimeSelection, Purpose, Requirements, Selection, SelectionSettings,
};
use hibiscusspread::process::forwarding::source::{Reach, Source};
use hibiscusspread::process::forwarding::stage_plan::{
    ServiceLoad, StagePlanSettings, plan_stage_changes,
};
use hibiscusspread::process::forwarding::wait_queue::{WaitQueue, Waiter};

/// The revision of the store of lists of upstreams whose revision does not matter.
const REVISION: Revision = 1;

/// An instance of the service `writers`.
pub fn instance(id: &str, stage: Stage, data_centre: &str) -> Instance {
    Instance {
        id: id.into(),
        born: 1,
        service: "writers".into(),
        address: "127.0.0.1:9".parse().expect("address"),
        data_centre: data_centre.into(),
        stage,
        draining: false,
        slots: 8,
        models: std::iter::once("m".into()).collect(),
    }
}

/// A decode engine in data centre `x`.
pub fn decode_instance(id: &str) -> Instance {
    instance(id, Stage::Decode, "x")
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ids(directory: &Directory) -> Vec<UpstreamId> {
    let available = directory.available("writers").unwrap_or_default();
    available
        .iter()
        .map(|instance| instance.id.clone())
        .collect()
}

/// Guards against new work for an upstream that drains, or that is no longer listed while the store is available.
#[test]
fn leaving_upstreams_get_no_work() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let (a, b) = (
        instance("a", Stage::Whole, "x"),
        instance("b", Stage::Whole, "x"),
    );
    directory.apply(vec![a.clone(), b.clone()], REVISION, now);
    let draining = Instance {
        draining: true,
        ..a
    };
    let change = directory.apply(vec![draining], REVISION, now + millis(800));
    assert_eq!(change.left.len(), 2);
    assert!(ids(&directory).is_empty());
}

/// Guards against each host needing a refused call of its own to find that an engine was replaced: the prompt prefilled for that
/// call is wasted.
#[test]
fn replaced_upstream_is_reported_to_other_hosts() {
    let now = Instant::now();
    let (mut finder, mut other) = (Directory::default(), Directory::default());
    for directory in [&mut finder, &mut other] {
        directory.apply(vec![instance("a", Stage::Decode, "x")], REVISION, now);
    }
    finder.remove(&"a".into(), 2, now);
    assert!(finder.recently_left(Reach::Host, now).is_empty());
    finder.remove(&"a".into(), 1, now);
    assert_eq!(finder.recently_left(Reach::Host, now), [("a".into(), 1)]);
    for (id, born) in finder.recently_left(Reach::Host, now) {
        assert!(other.mark_left(&id, born, Reach::Fleet, now));
    }
    assert!(ids(&finder).is_empty() && ids(&other).is_empty());
    let restarted = Instance {
        born: 2,
        ..instance("a", Stage::Decode, "x")
    };
    other.apply(vec![restarted], REVISION, now + millis(800));
    assert_eq!(ids(&other).len(), 1);
}

/// Guards against dropping upstreams whose registrations expired during a store outage, and against keeping them forever.
#[test]
fn missing_upstreams_are_kept_shortly_after_an_outage() {
    let now = Instant::now();
    let mut directory = Directory::new(DirectorySettings::default());
    directory.apply(vec![instance("a", Stage::Whole, "x")], REVISION, now);
    directory.record_read_failure();
    let change = directory.apply(Vec::new(), REVISION, now + millis(5000));
    assert_eq!((change.kept, ids(&directory).len()), (1, 1));
    directory.apply(Vec::new(), REVISION, now + millis(6000));
    assert_eq!(ids(&directory).len(), 1);
    directory.apply(Vec::new(), REVISION, now + millis(7300));
    assert!(ids(&directory).is_empty());
}

/// Guards against an upstream that restarts under the same id and stays blocked for the failures of its previous process.
#[test]
fn restarted_upstream_is_not_blocked() {
    let now = Instant::now();
    let loads = LoadTracker::new(LoadSettings::default());
    let old = instance("a", Stage::Whole, "x");
    let work = Work {
        calls: 1,
        ..Work::default()
    };
    loads.start_call(&old, work);
    loads.end_call(&old, 1, work, CallOutcome::Failed, now);
    assert!(loads.view(&old, now).is_blocked);
    let restarted = Instance { born: 2, ..old };
    assert!(!loads.view(&restarted, now).is_blocked);
    let mut directory = Directory::default();
    directory.apply(vec![instance("a", Stage::Whole, "x")], REVISION, now);
    let change = directory.apply(vec![restarted], REVISION, now);
    assert_eq!(change.started.len(), 1);
}

/// Guards against failed upstreams that get work again at once, or never.
#[test]
fn failed_upstream_is_blocked_longer_each_time() {
    let now = Instant::now();
    let loads = LoadTracker::new(LoadSettings::default());
    let a = instance("a", Stage::Whole, "x");
    let work = Work {
        calls: 1,
        ..Work::default()
    };
    let mut blocks = Vec::new();
    for _ in 0..6 {
        loads.start_call(&a, work);
        loads.end_call(&a, 1, work, CallOutcome::Failed, now);
        let block = (0..100).find(|step| !loads.view(&a, now + millis(step * 100)).is_blocked);
        blocks.push(block.expect("block ends"));
    }
    assert!(blocks.is_sorted() && blocks[0] < blocks[5], "{blocks:?}");
    loads.start_call(&a, work);
    loads.end_call(&a, 1, work, CallOutcome::Answered, now);
    assert!(!loads.view(&a, now).is_blocked);
}

/// Load pattern: a quarter of the engines of 60 hosts crashes. Guards against each host finding each crashed engine by a failed
/// call of its own, which takes more retries than all hosts together may make.
#[test]
fn unhealthy_upstream_is_reported_to_other_hosts() {
    let now = Instant::now();
    let (finder, other) = (
        LoadTracker::new(LoadSettings::default()),
        LoadTracker::new(LoadSettings::default()),
    );
    let crashed = instance("a", Stage::Decode, "x");
    other.view(&crashed, now);
    let work = Work {
        calls: 1,
        ..Work::default()
    };
    finder.start_call(&crashed, work);
    finder.end_call(&crashed, 1, work, CallOutcome::Unreachable, now);
    let reports = finder.unhealthy_reports(Reach::Host, now);
    assert_eq!(reports.len(), 1);
    // A host that the upstream has just answered ignores the report.
    other.record_answer(&crashed, 1, now);
    other.apply_unhealthy_report(&reports[0], Reach::Fleet, now + millis(100));
    assert!(!other.view(&crashed, now + millis(100)).is_blocked);
    other.apply_unhealthy_report(&reports[0], Reach::Fleet, now + millis(400));
    assert!(other.view(&crashed, now + millis(400)).is_blocked);
    assert!(!other.view(&crashed, now + millis(1000)).is_blocked);
    let restarted = Instance { born: 2, ..crashed };
    assert!(!other.view(&restarted, now + millis(400)).is_blocked);
    assert!(
        finder
            .unhealthy_reports(Reach::Host, now + millis(700))
            .is_empty()
    );
}

/// Guards against trying each upstream of an unreachable data centre, and against never trying the data centre again.
#[test]
fn cut_off_data_centre_is_avoided_for_a_while() {
    let now = Instant::now();
    let loads = LoadTracker::new(LoadSettings::default());
    let upstreams: Vec<_> = ["a", "b", "c"]
        .iter()
        .map(|id| instance(id, Stage::Whole, "x"))
        .collect();
    let elsewhere = instance("d", Stage::Whole, "y");
    let work = Work {
        calls: 1,
        ..Work::default()
    };
    for upstream in &upstreams[..2] {
        assert!(!loads.view(&upstreams[2], now).is_cut_off);
        loads.start_call(upstream, work);
        loads.end_call(upstream, 1, work, CallOutcome::Unreachable, now);
    }
    assert!(loads.view(&upstreams[2], now).is_cut_off);
    assert!(!loads.view(&elsewhere, now).is_cut_off);
    assert!(!loads.view(&upstreams[2], now + millis(2500)).is_cut_off);
    loads.record_answer(&upstreams[2], 1, now);
    assert!(!loads.view(&upstreams[2], now).is_cut_off);
}

/// Guards against work for an upstream that another host found to have left, while this host can't read the list.
#[test]
fn upstream_reported_as_left_gets_no_work() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(vec![instance("a", Stage::Whole, "x")], REVISION, now);
    assert!(!directory.mark_left(&"a".into(), 7, Reach::Fleet, now));
    assert!(directory.mark_left(&"a".into(), 1, Reach::Fleet, now));
    assert!(ids(&directory).is_empty());
    // The next list that this host reads overrides the report.
    directory.apply(
        vec![instance("a", Stage::Whole, "x")],
        REVISION,
        now + millis(800),
    );
    assert_eq!(ids(&directory).len(), 1);
    directory.apply(Vec::new(), REVISION, now + millis(1600));
    assert_eq!(
        directory.recently_left(Reach::Fleet, now),
        vec![("a".into(), 1)]
    );
}

/// Guards against adding up successive reports of another host, and against counting a report after that host has fallen silent.
#[test]
fn reports_replace_each_other_and_expire() {
    let now = Instant::now();
    let loads = LoadTracker::new(LoadSettings::default());
    let a = instance("a", Stage::Decode, "x");
    loads.view(&a, now);
    let work = Work {
        calls: 2,
        tokens: 9000,
        prompts: 0,
    };
    for _ in 0..3 {
        loads.apply_report(&Source::Host("b".into()), &[("a".into(), work)], now);
    }
    assert_eq!(loads.view(&a, now).others, work);
    loads.apply_report(&Source::Host("b".into()), &[], now);
    assert_eq!(loads.view(&a, now).others, Work::default());
    loads.apply_report(&Source::Host("b".into()), &[("a".into(), work)], now);
    assert_eq!(loads.view(&a, now + millis(2000)).others, Work::default());
}

fn candidate(id: &str, stage: Stage, data_centre: &str, load: LoadView) -> Candidate {
    Candidate {
        instance: Arc::new(instance(id, stage, data_centre)),
        load,
    }
}

fn requirements(purpose: Purpose) -> Requirements {
    Requirements {
        purpose,
        tokens: 5000,
        preferred_data_centre: "x".into(),
        kv_tokens: 50_000,
        report_delay: Duration::ZERO,
    }
}

fn busy(calls: u32, tokens: Tokens) -> LoadView {
    LoadView {
        own: Work {
            calls,
            tokens,
            prompts: 0,
        },
        ..LoadView::default()
    }
}

/// Guards against traffic between data centres without need, and against queueing at a near upstream while a remote one is free.
#[test]
fn preferred_data_centre_is_chosen_unless_busy() {
    let selection = PredictedTimeSelection::new(SelectionSettings::default());
    let far = candidate("far", Stage::Prefill, "y", LoadView::default());
    let near = candidate("near", Stage::Prefill, "x", LoadView::default());
    let requirements = requirements(Purpose::Prefill);
    assert_eq!(
        selection.choose(&requirements, &[far.clone(), near]),
        Some(1)
    );
    let near = candidate("near", Stage::Prefill, "x", busy(4, 20_000));
    assert_eq!(selection.choose(&requirements, &[far, near]), Some(0));
}

/// Guards against work for upstreams that hang, are full or are blocked, while a healthy one is available.
#[test]
fn unhealthy_upstreams_are_chosen_last() {
    let selection = PredictedTimeSelection::new(SelectionSettings::default());
    let hangs = LoadView {
        unanswered: millis(5000),
        ..busy(1, 5000)
    };
    let blocked = LoadView {
        is_blocked: true,
        ..LoadView::default()
    };
    let candidates = [
        candidate("hangs", Stage::Decode, "x", hangs),
        candidate("full", Stage::Decode, "x", busy(9, 48_000)),
        candidate("blocked", Stage::Decode, "x", blocked),
        candidate("well", Stage::Decode, "y", busy(5, 25_000)),
    ];
    for _ in 0..8 {
        assert_eq!(
            selection.choose(&requirements(Purpose::Decode), &candidates),
            Some(3)
        );
    }
    assert_eq!(selection.choose(&requirements(Purpose::Decode), &[]), None);
}

/// Load pattern: a burst larger than the memory of all decode engines. Guards against a queue in which every request becomes late
/// because the oldest, which are late already, are served first.
#[test]
fn burst_makes_some_requests_late_rather_than_all() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let waiter = |until: u64| Waiter {
        priority: 1,
        since: now,
        on_time_until: now + millis(until),
        tokens: 5000,
    };
    let old = queue.enqueue(waiter(100));
    let next = queue.enqueue(waiter(900));
    let soon = queue.enqueue(waiter(500));
    assert_eq!(queue.head(now + millis(50)), Some(old));
    assert_eq!(queue.head(now + millis(200)), Some(soon));
    queue.remove(soon);
    assert_eq!(queue.head(now + millis(200)), Some(next));
    queue.remove(next);
    assert_eq!(queue.head(now + millis(200)), Some(old));
    // Late requests are served in order of arrival.
    let later = queue.enqueue(waiter(0));
    assert_eq!(queue.head(now + millis(200)), Some(old));
    queue.remove(old);
    assert_eq!(queue.head(now + millis(200)), Some(later));
}

/// Guards against urgent requests that wait behind less urgent ones.
#[test]
fn urgent_requests_go_first() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let waiter = |priority| Waiter {
        priority,
        since: now,
        on_time_until: now + millis(500),
        tokens: 5000,
    };
    queue.enqueue(waiter(2));
    let urgent = queue.enqueue(waiter(0));
    assert_eq!(queue.head(now), Some(urgent));
}

/// Guards against queueing requests although those ahead of them take longer than they may wait.
#[test]
fn predicted_wait_grows_with_the_queue() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    queue.record_hold_time(millis(4000), 1000);
    let short = queue.predicted_wait(5000, 500_000, 5);
    for _ in 0..20 {
        queue.enqueue(Waiter {
            priority: 1,
            since: now,
            on_time_until: now,
            tokens: 5000,
        });
    }
    let long = queue.predicted_wait(5000, 500_000, 5);
    assert!(
        short < millis(300) && long > millis(3000),
        "{short:?} {long:?}"
    );
    assert_eq!(queue.predicted_wait(5000, 0, 5), Duration::MAX);
}

/// Guards against a draining host that accepts streams it would have to cut off.
#[test]
fn predicted_hold_time_follows_the_output_limit() {
    let mut queue = WaitQueue::default();
    assert_eq!(queue.predicted_hold_time(1000), millis(4000));
    for _ in 0..50 {
        queue.record_hold_time(millis(3000), 1000);
    }
    let predicted = queue.predicted_hold_time(2000);
    assert!(
        predicted > millis(5900) && predicted < millis(6100),
        "{predicted:?}"
    );
}

/// Guards against too few prefill or decode engines, and against orders without need.
#[test]
fn surplus_prefill_engines_change_to_decode() {
    let settings = StagePlanSettings::default();
    let engines: Vec<_> = (0..18)
        .map(|i| {
            let stage = if i < 7 { Stage::Prefill } else { Stage::Decode };
            Arc::new(instance(
                &format!("e-{i:02}"),
                stage,
                ["x", "y", "z"][i % 3],
            ))
        })
        .collect();
    let unmeasured = ServiceLoad::default();
    let changes = plan_stage_changes(&settings, &engines, &unmeasured, |_| false);
    assert_eq!(changes.len(), 3);
    assert!(
        changes
            .iter()
            .all(|change| change.stage == Stage::Decode && change.instance.stage == Stage::Prefill)
    );
    let centres: std::collections::HashSet<_> = changes
        .iter()
        .map(|c| c.instance.data_centre.clone())
        .collect();
    assert!(centres.len() >= 2, "{centres:?}");
    // Engines that were already ordered to change still register their old stage.
    let ordered: Vec<_> = changes
        .iter()
        .map(|change| change.instance.id.clone())
        .collect();
    assert!(
        plan_stage_changes(&settings, &engines, &unmeasured, |id| ordered.contains(id)).is_empty()
    );
    assert!(plan_stage_changes(&settings, &engines[5..9], &unmeasured, |_| false).is_empty());
}

/// A host of data centre `x`.
pub fn registration(host: &str, incarnation: Incarnation) -> Registration {
    Registration {
        host: host.into(),
        address: "127.0.0.1:9".parse().expect("address"),
        incarnation,
        data_centre: "x".into(),
        capacity: 120,
    }
}

/// A report of a host of data centre `x` that tells nothing.
pub fn report(host: &str, incarnation: Incarnation, number: u64) -> HostReport {
    HostReport {
        sender: registration(host, incarnation),
        reach: Reach::Host,
        number,
        uptime: millis(1),
        hosts: 2,
        silent_hosts: 0,
        version: 1,
        leaving: false,
        usage: Vec::new(),
        work: Vec::new(),
        unwell: Vec::new(),
        left: Vec::new(),
        has_on_time: false,
        crashes: Vec::new(),
        list: None,
        sections: Vec::new(),
    }
}

/// Guards against applying a report that was overtaken by a newer one, against charging the same silence twice, and against
/// counting hosts that have left.
#[test]
fn stale_reports_silence_and_leaving_are_recognized() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    assert_eq!(
        peers.record_report(&report("b", 1, 5), now),
        ReportFreshness::Newest
    );
    assert_eq!(
        peers.record_report(&report("b", 1, 4), now),
        ReportFreshness::Stale
    );
    assert_eq!(
        peers.record_report(&report("b", 2, 1), now),
        ReportFreshness::Newest
    );
    assert_eq!(peers.host_count(), 2);
    let own = registration("a", 1);
    assert!(
        peers
            .take_uncharged_silence(&own, now + millis(500))
            .is_empty()
    );
    let silent = peers.take_uncharged_silence(&own, now + millis(2000));
    assert_eq!(silent[0].uncharged, millis(2000));
    let silent = peers.take_uncharged_silence(&own, now + millis(2500));
    assert_eq!(silent[0].uncharged, millis(500));
    let leaving = HostReport {
        leaving: true,
        ..report("b", 2, u64::MAX)
    };
    peers.record_report(&leaving, now + millis(2500));
    assert_eq!(peers.host_count(), 1);
}

/// Guards against removing hosts that report but are not registered yet, and against keeping hosts that are gone.
#[test]
fn registration_adds_and_removes_hosts() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    assert!(
        peers
            .apply_registrations(&[registration("b", 1)], now)
            .is_empty()
    );
    assert_eq!(peers.host_count(), 2);
    peers.record_report(&report("c", 1, 1), now + millis(2000));
    let gone = peers.apply_registrations(&[], now + millis(2000));
    assert_eq!(gone, vec![HostId::from("b")]);
    assert_eq!(peers.host_count(), 2);
}

proptest! {
    /// Guards against more retries than this host's share in any window.
    #[test]
    fn retries_stay_within_the_share(steps in prop::collection::vec((1u64..200, any::<bool>()), 1..400)) {
        let bounds = RetryBudgetSettings { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10), used_fraction: 0.8 };
        let share = HostRetryBudget::new(bounds.clone());
        let service: ModelId = "desk".into();
        let start = Instant::now();
        let (mut at, mut requests, mut retries) = (start, Vec::new(), Vec::new());
        for (gap, is_request) in steps {
            at += millis(gap);
            if is_request {
                share.record_request(&service, at);
                requests.push(at);
            } else if share.try_take(&service, 7, at) {
                retries.push(at);
            }
        }
        for end in &retries {
            let within = |times: &[Instant]| times.iter().filter(|t| **t <= *end && end.duration_since(**t) <= bounds.window).count();
            let allowed = bounds.ratio * within(&requests) as f64 + bounds.slack / 7.0;
            prop_assert!(within(&retries) as f64 <= allowed, "{} {allowed}", within(&retries));
        }
    }

    /// Guards against a queue that loses requests or serves one twice.
    #[test]
    fn queue_serves_each_request_once(targets in prop::collection::vec((0u8..4, 0u64..2000), 1..60)) {
        let now = Instant::now();
        let mut queue = WaitQueue::default();
        for (priority, until) in &targets {
            queue.enqueue(Waiter { priority: *priority, since: now, on_time_until: now + millis(*until), tokens: 1 });
        }
        let mut served = std::collections::HashSet::new();
        while let Some(head) = queue.head(now + millis(1000)) {
            prop_assert!(served.insert(head));
            queue.remove(head);
        }
        prop_assert_eq!(served.len(), targets.len());
    }
}
