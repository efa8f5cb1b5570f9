//! What hosts tell each other of crashes, directly or through relays, without a network and on a clock that tests advance.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hibiscusspread::connection::forward::reports::{decode_report, encode_report};
use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::fleet::FleetState;
use hibiscusspread::process::forwarding::peers::HostReport;
use hibiscusspread::process::forwarding::settings::ForwardingSettings;
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::message::CrashReport;
use hibiscusspread::process::quarantine::Verdict;

use crate::forward_fleet::report;
use crate::forward_relay_fleet::{DIRECT, Host, RELAYED, RelayFleet, Reporting};

const FINGERPRINT: Digest = [1; 32];

/// A fleet whose hosts all report to each other, and one with relays.
const FLEETS: [(Reporting, usize); 2] = [(DIRECT, 9), (RELAYED, 24)];

/// Longer than a piece of news takes to all hosts.
const NEWS_TIME: Duration = Duration::from_millis(2200);

/// Has a host find that an upstream of its own crashed while it ran `request`.
fn crash(fleet: &RelayFleet, host: usize, request: RequestId) {
    let report = CrashReport {
        fingerprint: FINGERPRINT,
        request,
        attempt: 1,
        upstream: format!("u{request}").into(),
    };
    let state = &fleet.hosts[host].state;
    state.record_crash(&report, Reach::Host, fleet.now());
}

/// Returns the hosts that refuse requests with the fingerprint.
fn refusing(fleet: &RelayFleet) -> Vec<usize> {
    let is_refused = |host: &Host| {
        let verdict = host.state.judge_request(&FINGERPRINT, 0, fleet.now());
        matches!(verdict, Verdict::Refused { .. })
    };
    let hosts = fleet.hosts.iter().enumerate();
    let refusing = hosts.filter(|(_, host)| is_refused(host));
    refusing.map(|(index, _)| index).collect()
}

/// The time after which requests are served again, as the platform bounds it (`recoverS`), without `NEWS_TIME`.
const RECOVERY_TIME: Duration = Duration::from_millis(9800);

/// The time for which hosts count as disturbed after a crash, as the platform states it (`stableMs`).
const STABLE_TIME: Duration = Duration::from_secs(3);

/// The fleets in which trials are tested: today's, one of the largest with direct reports, and one with relays.
const TRIAL_FLEETS: [(Reporting, usize); 3] = [(DIRECT, 7), (DIRECT, 62), (RELAYED, 96)];

/// The time that an upstream takes until it answers a request, or crashes on it.
const RUN_TIME: Duration = Duration::from_millis(1200);

/// Which hosts get an equal request in each step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrivals {
    /// All of them.
    AllHosts,
    /// One after the other.
    OneHost,
}

/// Sends equal requests for `time` and returns when they ran. `is_crashing` tells whether they crash their upstreams.
fn run_requests(
    fleet: &mut RelayFleet,
    time: Duration,
    arrivals: Arrivals,
    is_crashing: bool,
) -> Vec<Instant> {
    let (mut runs, mut running) = (Vec::new(), VecDeque::new());
    let end = fleet.now() + time;
    let mut request: RequestId = 1000;
    for step in 0.. {
        fleet.step();
        let now = fleet.now();
        if now >= end {
            break;
        }
        while let Some((host, sent_at, request)) = running.pop_front() {
            if now < sent_at + RUN_TIME {
                running.push_front((host, sent_at, request));
                break;
            }
            if is_crashing {
                crash(fleet, host, request);
            } else {
                let state = &fleet.hosts[host].state;
                state.record_sound(&[FINGERPRINT], sent_at, now);
            }
        }
        for (index, host) in fleet.hosts.iter().enumerate() {
            if arrivals == Arrivals::OneHost && index != step % fleet.hosts.len() {
                continue;
            }
            request += 1;
            let verdict = host.state.judge_request(&FINGERPRINT, request, now);
            if matches!(verdict, Verdict::Refused { .. }) {
                continue;
            }
            runs.push(now);
            running.push_back((index, now, request));
        }
    }
    runs
}

/// Guards against hosts that each try a request which crashes its upstreams, or try it without end: the platform allows three runs
/// later than `STABLE_TIME` after its third crash.
#[test]
fn hosts_try_a_crashing_request_in_turns() {
    for (reporting, count) in TRIAL_FLEETS {
        for arrivals in [Arrivals::AllHosts, Arrivals::OneHost] {
            let mut fleet = RelayFleet::start_with(reporting, count, Vec::new(), true);
            fleet.run(NEWS_TIME);
            for request in 0..3 {
                crash(&fleet, 0, request);
            }
            let third_crash = fleet.now();
            fleet.run(STABLE_TIME);
            let runs = run_requests(&mut fleet, Duration::from_secs(20), arrivals, true);
            let late = runs.iter().filter(|at| **at > third_crash + STABLE_TIME);
            let late = late.count();
            assert!(
                (1..=3).contains(&late),
                "{count} hosts, {arrivals:?}: {late}"
            );
        }
    }
}

/// Guards against a sound request that stays refused after unrelated crashes, at the host that gets it or at others.
#[test]
fn one_trial_clears_a_sound_request_at_all_hosts() {
    for (reporting, count) in TRIAL_FLEETS {
        let mut fleet = RelayFleet::start_with(reporting, count, Vec::new(), true);
        fleet.run(NEWS_TIME);
        for request in 0..2 {
            crash(&fleet, 0, request);
        }
        fleet.run(NEWS_TIME);
        assert_eq!(refusing(&fleet).len(), count);
        run_requests(&mut fleet, RECOVERY_TIME, Arrivals::AllHosts, false);
        assert!(refusing(&fleet).is_empty(), "{count} hosts");
    }
}

/// Guards against hosts that refuse equal requests because they hear of crashes only, and not that the requests ran since.
#[test]
fn other_hosts_hear_that_requests_ran() {
    for (reporting, count) in FLEETS {
        let mut fleet = RelayFleet::start_with(reporting, count, Vec::new(), true);
        fleet.run(NEWS_TIME);
        for request in 0..4 {
            let host = usize::try_from(request).expect("small");
            crash(&fleet, host, request);
            fleet.run(NEWS_TIME);
            let state = &fleet.hosts[host].state;
            state.record_sound(&[FINGERPRINT], fleet.now(), fleet.now());
            fleet.run(NEWS_TIME);
            assert!(refusing(&fleet).is_empty(), "{reporting:?} {request}");
        }
        // Without a request that ran they count everywhere.
        for request in 10..12 {
            crash(&fleet, 0, request);
            fleet.run(NEWS_TIME);
        }
        assert_eq!(refusing(&fleet).len(), count, "{reporting:?}");
    }
}

/// Guards against hosts that start anew or were cut off, hear of crashes late, and refuse requests for those that no longer count.
#[test]
fn late_hosts_hear_of_no_dismissed_crashes() {
    let mut fleet = RelayFleet::start_with(DIRECT, 9, Vec::new(), true);
    fleet.run(NEWS_TIME);
    fleet.set_cut_off(3, true);
    for request in 0..2 {
        crash(&fleet, 0, request);
    }
    fleet.run(Duration::from_millis(200));
    let state = &fleet.hosts[0].state;
    state.record_sound(&[FINGERPRINT], fleet.now(), fleet.now());
    fleet.run(Duration::from_millis(500));
    fleet.set_cut_off(3, false);
    fleet.restart(4);
    fleet.run(NEWS_TIME);
    assert!(refusing(&fleet).is_empty());
    crash(&fleet, 0, 10);
    fleet.run(NEWS_TIME);
    assert!(refusing(&fleet).is_empty());
}

/// Guards against a host that falls silent to all others because a disruption broke off more requests than fit into a datagram.
#[test]
fn many_crashes_fit_into_a_report() {
    let state = FleetState::new(&ForwardingSettings::default());
    let now = Instant::now();
    for request in 0..2000 {
        let report = CrashReport {
            fingerprint: FINGERPRINT,
            request: request << 100,
            attempt: 1,
            upstream: "i-3cee9b9093".into(),
        };
        state.record_crash(&report, Reach::Host, now);
    }
    let sent = HostReport {
        crashes: state.recent_crashes(Reach::Host, now),
        ..report("host-a", 7, 3)
    };
    assert!(encode_report(&sent).is_ok());
    state.record_sound(&[FINGERPRINT], now + NEWS_TIME, now + NEWS_TIME);
    let sections = state.report_sections(Reach::Host, now + NEWS_TIME);
    let sent = HostReport {
        crashes: state.recent_crashes(Reach::Host, now + NEWS_TIME),
        sections,
        ..report("host-a", 7, 3)
    };
    let bytes = encode_report(&sent).expect("report fits");
    assert_eq!(decode_report(&bytes), Ok(sent));
}
