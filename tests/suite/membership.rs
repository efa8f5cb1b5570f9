//! Failure detection in simulated time.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use crate::fixtures::{self, heartbeat};
use crate::membership_world::{Power, World};
use hibiscusspread::prelude::*;
use hibiscusspread::process::host_list::{ListedHost, ListedState};
use hibiscusspread::process::membership::{Action, Detector, DetectorSettings, MemberEvent};
use hibiscusspread::process::message::{HostDown, Member};

const SECOND: Duration = Duration::from_secs(1);

/// Starts a fleet, runs it until membership is stable, and clears its events.
fn settled(data_centres: &[usize]) -> World {
    let mut world = World::new(data_centres);
    world.run(15 * SECOND);
    assert_all_agree_on_live(&world);
    world.events.clear();
    world
}

fn assert_all_agree_on_live(world: &World) {
    let live = world.actual_live();
    for at in 0..world.len() {
        assert_eq!(world.live_at(at), live, "host {at}");
    }
}

/// Returns the hosts that declared `host` down, or received its declaration, with this value of `proven`.
fn down_reports(world: &World, host: usize, proven: bool) -> Vec<usize> {
    let name = world.host(host);
    let reporters = world
        .events
        .iter()
        .filter_map(|(_, at, event)| match event {
            MemberEvent::HostDown(down) if down.host == name && down.proven == proven => Some(*at),
            _ => None,
        });
    reporters.collect()
}

fn assert_none_down(world: &World) {
    let down = |event: &MemberEvent| matches!(event, MemberEvent::HostDown(_));
    let downs: Vec<_> = world.events.iter().filter(|e| down(&e.2)).collect();
    assert!(downs.is_empty(), "{downs:?}");
}

/// Guards against the end of a process that is detected late, or by some hosts only.
#[test]
fn ended_process_is_known_everywhere_with_proof() {
    for fleet in [&[9][..], &[5, 4], &[25, 25], &[3, 2, 2, 2]] {
        let mut world = settled(fleet);
        world.kill(1, Power::On);
        // Failure detection takes less than 3 s (design, section 6).
        world.run(3 * SECOND);
        let mut reporters = down_reports(&world, 1, true);
        reporters.sort_unstable();
        let others: Vec<_> = (0..world.len()).filter(|at| *at != 1).collect();
        assert_eq!(reporters, others, "fleet {fleet:?}");
        assert_eq!(world.violations, [""; 0]);
    }
}

/// Guards against a silent machine that is never declared down, and against a claim of proof for it.
#[test]
fn silent_machine_is_declared_down_without_proof() {
    for fleet in [&[9][..], &[3, 4], &[25, 25]] {
        let mut world = settled(fleet);
        world.kill(1, Power::Off);
        world.run(11 * SECOND);
        assert_none_down(&world);
        // 2 s of silence, 10 s of suspicion, and a heartbeat each for detection and announcement.
        world.run(2 * SECOND);
        assert_eq!(
            down_reports(&world, 1, false).len(),
            world.len() - 1,
            "fleet {fleet:?}"
        );
        assert!(down_reports(&world, 1, true).is_empty());
    }
}

/// Guards against a failed rack whose hosts are detected one ring step after the other.
#[test]
fn rack_that_fails_at_once_is_found_at_once() {
    let mut world = settled(&[50]);
    for at in 0..12 {
        world.kill(at, Power::Off);
    }
    // As for one machine, and at most 2 s more for each further group of 4 ring neighbours.
    world.run(19 * SECOND);
    for at in 0..12 {
        assert_eq!(down_reports(&world, at, false).len(), 38, "machine {at}");
    }
}

/// Guards against a host that is declared down because of one broken link.
#[test]
fn lost_link_takes_no_host_down() {
    let mut world = settled(&[9]);
    for at in 1..9 {
        world.set_cut(0, at, at % 2 == 0);
    }
    world.run(60 * SECOND);
    assert_none_down(&world);
}

/// Guards against hosts that are declared down during a network partition between data centres although the store
/// shows them alive, and against a burst of events when it ends.
#[test]
fn cut_between_data_centres_takes_no_host_down() {
    let mut world = settled(&[6, 6]);
    for a in 0..6 {
        for b in 6..12 {
            world.set_cut(a, b, true);
        }
    }
    world.run(120 * SECOND);
    world.cuts.clear();
    world.run(30 * SECOND);
    assert_eq!(world.events, []);
}

/// Guards against a short suspension that counts as a failure, and a suspended host that suspects others because it
/// read no messages itself.
#[test]
fn short_pause_changes_nothing_but_is_noticed() {
    let mut world = settled(&[9]);
    world.pause(3);
    world.run(6 * SECOND);
    world.resume(3);
    world.run(20 * SECOND);
    assert_none_down(&world);
    let paused = world.events.iter();
    let paused = paused.filter(|(_, at, e)| *at == 3 && matches!(e, MemberEvent::Paused(_)));
    assert_eq!(paused.count(), 1);
}

/// Guards against a suspended host that continues as if it had never been declared down.
#[test]
fn long_paused_host_learns_that_it_was_declared_down_and_rejoins() {
    for fleet in [&[9][..], &[4, 4]] {
        let mut world = settled(fleet);
        world.pause(3);
        world.run(20 * SECOND);
        assert_eq!(down_reports(&world, 3, false).len(), world.len() - 1);
        world.resume(3);
        world.run(3 * SECOND);
        let events = world.events.iter();
        let events = events.filter(|(_, at, e)| *at == 3 && *e == MemberEvent::WasDeclaredDown);
        assert_eq!(events.count(), 1, "fleet {fleet:?}");
        assert_all_agree_on_live(&world);
        assert_eq!(world.violations, [""; 0]);
    }
}

/// Guards against a restarted process that is mistaken for the old one, or late messages of the old one that count
/// for the new one.
#[test]
fn restart_proves_that_the_old_process_is_gone() {
    let mut world = settled(&[9]);
    let old = world.incarnation(2);
    world.delays = vec![Duration::from_millis(1), Duration::from_millis(700)];
    world.run(2 * SECOND);
    world.events.clear();
    world.kill(2, Power::On);
    world.start(2);
    world.run(5 * SECOND);
    assert_ne!(world.incarnation(2), old);
    assert_eq!(down_reports(&world, 2, true).len(), 8);
    assert_all_agree_on_live(&world);
    assert_eq!(world.violations, [""; 0]);
}

/// Guards against a silent machine that is never proven to be gone although the platform has removed it from its list,
/// which keeps its partitions from being taken over.
#[test]
fn dropped_from_the_platforms_list_is_proof() {
    let mut world = settled(&[5, 4]);
    world.run(90 * SECOND);
    world.kill(1, Power::Off);
    // The list lags by 20 s and is read every 10 s.
    world.run(32 * SECOND);
    assert_eq!(down_reports(&world, 1, false).len(), 8);
    assert_eq!(down_reports(&world, 1, true).len(), 8);
    assert_eq!(world.violations, [""; 0]);
}

/// Guards against a gap in the lagging list, from the end of an earlier process, that counts as proof against the
/// present one.
#[test]
fn gap_in_the_list_of_an_earlier_process_is_no_proof() {
    let mut world = settled(&[5, 4]);
    world.run(90 * SECOND);
    world.kill(1, Power::Off);
    world.run(13 * SECOND);
    world.start(1);
    world.run(5 * SECOND);
    // The list shows the gap 20 s to 33 s after the end of the first process.
    world.pause(1);
    world.run(20 * SECOND);
    assert_eq!(world.violations, [""; 0]);
    world.resume(1);
    world.run(5 * SECOND);
    assert_all_agree_on_live(&world);
}

fn detector(now: Instant) -> Detector {
    Detector::new(DetectorSettings::default(), named("me", 1), now)
}

fn named(host: &str, incarnation: Incarnation) -> Member {
    Member {
        incarnation,
        ..fixtures::member(host, "a")
    }
}

/// Guards against a late reply of an earlier process that counts as proof against the present one.
#[test]
fn late_answer_of_an_earlier_process_proves_nothing() {
    let now = Instant::now();
    let mut detector = detector(now);
    let asked = detector.handle_records(now, &[named("x", 1)]);
    let seq = asked.iter().find_map(|action| match action {
        Action::SendHeartbeat { seq, .. } => Some(*seq),
        _ => None,
    });
    let seq = seq.expect("the new host is sent a heartbeat");
    let down = HostDown {
        host: "x".into(),
        incarnation: 1,
        proven: true,
    };
    detector.handle_host_down(now, &down);
    detector.handle_heartbeat(now, &heartbeat(named("x", 3)));
    // Process 2 replied before process 3 started.
    let actions = detector.handle_reply(now, &"x".into(), seq, &heartbeat(named("x", 2)));
    assert!(actions.is_empty(), "{actions:?}");
    assert!(detector.live().contains(&named("x", 3)));
    // Process 1 is known to have ended.
    detector.handle_heartbeat(now, &heartbeat(named("x", 1)));
    assert!(detector.live().contains(&named("x", 3)));
    // The refused connection was to process 1.
    detector.handle_failure(now, &"x".into(), 1, true);
    assert!(detector.live().contains(&named("x", 3)));
}

/// Guards against a host that continues although the platform is about to stop it, and one that publishes this with
/// every read of the list.
#[test]
fn listed_leaving_is_published_once() {
    let now = Instant::now();
    let mut detector = detector(now);
    let list = [ListedHost {
        host: "me".into(),
        data_centre: "a".into(),
        state: ListedState::Leaving,
    }];
    let first = detector.handle_host_list(now, &list);
    assert!(matches!(
        first[..],
        [Action::Publish(MemberEvent::ListedLeaving)]
    ));
    assert!(detector.handle_host_list(now, &list).is_empty());
}

/// Guards against hosts that are declared down because the store is unreachable.
#[test]
fn store_outage_keeps_the_last_known_hosts() {
    let mut world = settled(&[9, 3]);
    world.store_down = true;
    world.run(600 * SECOND);
    world.store_down = false;
    world.run(60 * SECOND);
    assert_eq!(world.events, []);
}

/// Guards against a leaving host that gets new work because others don't know that it leaves.
#[test]
fn leaving_is_sent_to_all() {
    let mut world = settled(&[6, 3]);
    world.leave(4);
    world.run(SECOND);
    let leaving = world.events.iter();
    let leaving = leaving.filter(|(_, _, e)| matches!(e, MemberEvent::Leaving(_)));
    assert_eq!(leaving.count(), 8);
}

/// Guards against control traffic that grows faster than the fleet or exceeds its share of 22 KB/s.
#[test]
fn traffic_per_host_stays_within_its_bound() {
    // An assumption for the headers of one message, in bytes, added to the measured bodies: HTTP/2 frames,
    // HPACK-indexed request headers, and TCP and IP with acknowledgements, on loopback-sized frames.
    const OVERHEAD: u64 = 120;
    let mut table = String::from("hosts  messages/s  body B/s  with overhead B/s\n");
    let fleets: [&[usize]; 4] = [
        &[3, 2, 2, 2],
        &[13, 13, 12, 12],
        &[25; 4],
        &[49, 49, 49, 49, 49, 49, 48, 48],
    ];
    for fleet in fleets {
        let mut world = settled(fleet);
        world.measured = true;
        let before = world.traffic.clone();
        world.run(10 * SECOND);
        let mut most = (0, 0);
        for (after, before) in world.traffic.iter().zip(&before) {
            let messages = (after.messages - before.messages) / 10;
            let bytes = (after.bytes - before.bytes) / 10;
            most = (most.0.max(messages), most.1.max(bytes));
        }
        let (messages, bytes) = most;
        let whole = bytes + messages * OVERHEAD;
        let _ = writeln!(
            table,
            "{:5}  {messages:10}  {bytes:8}  {whole:17}",
            world.len()
        );
        // All control traffic may take 22 KB/s; the other half is for placement, limits and configuration.
        assert!(whole <= 11_000, "{table}");
        assert_eq!(world.events, []);
    }
    println!("busiest host\n{table}");
}

#[derive(Debug, Clone)]
enum Op {
    Kill(usize),
    Off(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize, usize),
    CutDataCentre(usize),
    Heal,
    Store(bool),
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0_usize..12;
    prop_oneof![
        host.clone().prop_map(Op::Kill),
        host.clone().prop_map(Op::Off),
        host.clone().prop_map(Op::Start),
        host.clone().prop_map(Op::Pause),
        host.clone().prop_map(Op::Resume),
        (host.clone(), host.clone()).prop_map(|(a, b)| Op::Cut(a, b)),
        (0_usize..3).prop_map(Op::CutDataCentre),
        Just(Op::Heal),
        any::<bool>().prop_map(Op::Store),
    ]
}

fn apply(world: &mut World, op: &Op) {
    const DATA_CENTRES: [std::ops::Range<usize>; 3] = [0..7, 7..10, 10..12];
    match op {
        Op::Kill(at) => world.kill(*at, Power::On),
        Op::Off(at) => world.kill(*at, Power::Off),
        Op::Start(at) => world.start(*at),
        Op::Pause(at) => world.pause(*at),
        Op::Resume(at) => world.resume(*at),
        Op::Cut(a, b) if a != b => world.set_cut(*a, *b, true),
        Op::Cut(..) => {}
        Op::CutDataCentre(dc) => {
            let inside = DATA_CENTRES[*dc].clone();
            for a in inside.clone() {
                for b in (0..12).filter(|b| !inside.contains(b)) {
                    world.set_cut(a, b, true);
                }
            }
        }
        Op::Heal => world.cuts.clear(),
        Op::Store(down) => world.store_down = *down,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    /// Guards, under any mix of failures, against a running process that is declared down with proof, ended ones that
    /// are not detected, running ones that stay unknown, and flapping after the failures.
    #[test]
    fn any_failures_end_in_the_true_set_of_hosts(
        steps in proptest::collection::vec((op(), 0_u64..20_000), 1..25),
        delays in proptest::collection::vec(prop_oneof![8 => 0_u64..50, 1 => 0_u64..4000], 1..40),
    ) {
        let mut world = settled(&[7, 3, 2]);
        world.delays = delays.into_iter().map(Duration::from_millis).collect();
        for (op, wait) in &steps {
            apply(&mut world, op);
            world.run(Duration::from_millis(*wait));
        }
        // A declaration starts at most one announcement by each host, and each host sees each other one go down and
        // rejoin at most a few times for each failure.
        let bound = (steps.len() + 1) * 12 * 12 * 4;
        prop_assert!(world.events.len() <= bound, "{} events", world.events.len());
        world.cuts.clear();
        world.store_down = false;
        world.delays = vec![Duration::from_millis(1)];
        for at in 0..12 {
            world.resume(at);
        }
        // The lease expires (30 s), the records are read (10 s), silence is detected in another data centre (6 s) and
        // lasts (10 s). The rest allows for hosts that are detected only after their watchers.
        world.run(100 * SECOND);
        let live = world.actual_live();
        for at in (0..12).filter(|at| world.is_running(*at)) {
            prop_assert_eq!(&world.live_at(at), &live, "host {}", at);
        }
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        world.events.clear();
        world.run(60 * SECOND);
        prop_assert!(world.events.is_empty(), "{:?}", world.events);
    }
}
