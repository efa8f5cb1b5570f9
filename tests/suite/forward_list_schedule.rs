//! When hosts read the list of upstreams from the store.

use std::time::Duration;

use hibiscusspread::process::forwarding::list_schedule::ListSchedule;
use hibiscusspread::process::forwarding::relays::Role;

/// The time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(20);

/// The time after which an upstream that leaves must get no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// What hosts without relays did in a while.
struct Observed {
    reads: usize,
    oldest: Duration,
}

/// Lets `hosts` hosts follow the list for `time`. What one reads is reported to all others after `report_delay`; the first
/// `refused` hosts by rank can't reach the store.
fn follow_list(hosts: usize, refused: usize, report_delay: Duration, time: Duration) -> Observed {
    let schedule = ListSchedule::default();
    let mut listed = vec![Duration::ZERO; hosts];
    let mut reports: Vec<(Duration, Duration)> = Vec::new();
    let (mut now, mut reads, mut oldest) = (Duration::ZERO, 0, Duration::ZERO);
    while now < time {
        now += STEP;
        let arrived = reports.iter().filter(|(at, _)| *at <= now);
        let newest = arrived.map(|(_, read)| *read).max();
        for (rank, listed) in listed.iter_mut().enumerate() {
            *listed = (*listed).max(newest.unwrap_or_default());
            oldest = oldest.max(now.checked_sub(*listed).unwrap());
            let is_due =
                now.checked_sub(*listed).unwrap() >= schedule.max_age(Role::Direct, rank, 0.5);
            if is_due && rank >= refused {
                *listed = now;
                reads += 1;
                reports.push((now + report_delay, now));
            }
        }
        reports.retain(|(at, _)| *at + report_delay > now);
    }
    Observed { reads, oldest }
}

/// Guards against calls of the store that grow with the fleet: at 62 hosts the list took six in ten of all calls.
#[test]
fn reads_do_not_grow_with_the_fleet() {
    let minute = Duration::from_mins(1);
    for hosts in [9, 62, 80] {
        let report_delay = Duration::from_millis(u64::try_from(hosts).expect("small"));
        let observed = follow_list(hosts, 0, report_delay, minute);
        // One host reads once per interval.
        assert!(observed.reads <= 2 * 60 * 1000 / 800, "{}", observed.reads);
    }
}

/// Guards against a list that grows too old because the hosts that should read it can't reach the store.
#[test]
fn list_stays_young_while_the_first_hosts_are_refused() {
    let minute = Duration::from_mins(1);
    for (hosts, refused) in [(9, 3), (62, 20), (62, 40)] {
        let observed = follow_list(hosts, refused, Duration::from_millis(62), minute);
        assert!(observed.oldest < LEAVING_BOUND, "{:?}", observed.oldest);
    }
}
