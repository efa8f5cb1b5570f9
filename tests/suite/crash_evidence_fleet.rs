//! What hosts tell each other of crashes, directly or through relays, without a network and on a clock that tests advance.

use std::time::Duration;

use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::message::CrashReport;

use crate::forward_relay_fleet::{DIRECT, RELAYED, RelayFleet, Reporting};

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
    let hosts = fleet.hosts.iter().enumerate();
    let refusing = hosts.filter(|(_, host)| host.state.is_quarantined(&FINGERPRINT, fleet.now()));
    refusing.map(|(index, _)| index).collect()
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
