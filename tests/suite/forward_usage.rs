//! Customers' rates and bursts over all hosts, as each host enforces them.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::source::{Reach, Source};
use hibiscusspread::process::forwarding::usage::{
    ChargeOutcome, FleetKnowledge, RefusalCause, Reporter, UsageSettings, UsageTotals, UsageTracker,
};
use hibiscusspread::version::forwarding::ForwardCustomer;

/// Tokens per second.
const RATE: u64 = 10_000;
/// Tokens.
const BURST: u64 = 20_000;
/// The largest request of the tests, in tokens; it does not count as small.
const LARGE: u64 = 5_000;

/// The draw of requests whose grant is not a matter of chance.
const DRAW: f64 = 0.0;

fn granted(tokens: Tokens) -> UsageTotals {
    UsageTotals {
        granted: tokens,
        ..UsageTotals::default()
    }
}

/// A customer whose requests are charged by the tokens that they state.
pub fn customer_with(rate: Tokens, burst: Tokens) -> ForwardCustomer {
    ForwardCustomer {
        id: "coast".into(),
        priority: None,
        rate,
        burst,
        charges_tokens: true,
        default_cost: 200,
        homes: None,
    }
}

fn customer() -> ForwardCustomer {
    customer_with(RATE, BURST)
}

fn tracker(initial_level: f64) -> UsageTracker {
    UsageTracker::new(UsageSettings {
        initial_level,
        starts_full: initial_level >= 1.0,
        ..UsageSettings::default()
    })
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a single host that grants more than the rate and the burst.
#[test]
fn single_host_grants_burst_then_rate() {
    let (tracker, now) = (tracker(1.0), Instant::now());
    let mut granted = 0;
    while tracker
        .charge(&customer(), LARGE, Duration::ZERO, DRAW, now)
        .is_ok()
    {
        granted += LARGE;
    }
    assert!(granted <= BURST, "{granted}");
    let wait = tracker
        .charge(&customer(), LARGE, Duration::ZERO, DRAW, now)
        .expect_err("used up")
        .retry_after;
    assert!(
        tracker
            .charge(
                &customer(),
                LARGE,
                Duration::ZERO,
                DRAW,
                now + wait + millis(1)
            )
            .is_ok()
    );
}

/// Guards against small requests that starve behind large ones of the same customer.
#[test]
fn small_requests_pass_while_large_ones_wait() {
    let (tracker, now) = (tracker(1.0), Instant::now());
    while tracker
        .charge(&customer(), LARGE, millis(400), DRAW, now)
        .is_ok()
    {}
    for _ in 0..10 {
        assert_eq!(
            tracker.charge(&customer(), 200, Duration::ZERO, DRAW, now),
            Ok(ChargeOutcome::Granted)
        );
    }
}

/// Guards against small requests that are granted without limit.
#[test]
fn small_requests_are_bounded_too() {
    let (tracker, now) = (tracker(1.0), Instant::now());
    let mut granted = 0;
    while tracker
        .charge(&customer(), 200, Duration::ZERO, DRAW, now)
        .is_ok()
    {
        granted += 200;
        assert!(granted <= 2 * BURST, "no bound");
    }
    assert!(granted <= BURST + BURST / 4, "{granted}");
}

/// Guards against queued requests that are promised the same tokens, and against cancelled ones that still count as queued.
#[test]
fn queued_requests_wait_for_each_other_and_can_be_cancelled() {
    let (tracker, now) = (tracker(0.0), Instant::now());
    let first = tracker.charge(&customer(), LARGE, millis(2000), DRAW, now);
    let Ok(ChargeOutcome::Queued(first)) = first else {
        panic!("{first:?}");
    };
    let second = tracker.charge(&customer(), LARGE, millis(2000), DRAW, now);
    let Ok(ChargeOutcome::Queued(second)) = second else {
        panic!("{second:?}");
    };
    assert!(second >= first + millis(450), "{first:?} {second:?}");
    tracker.cancel_queued(&customer().id, LARGE, now);
    tracker.cancel_queued(&customer().id, LARGE, now);
    let third = tracker.charge(&customer(), LARGE, millis(2000), DRAW, now);
    assert_eq!(third, Ok(ChargeOutcome::Queued(first)));
}

/// Guards against two hosts that promise the same tokens to requests which wait for them, and against promises that outlast their host.
#[test]
fn tokens_promised_elsewhere_are_not_promised_again() {
    let now = Instant::now();
    let (here, there) = (tracker(0.0), tracker(0.0));
    let wait_of = |tracker: &UsageTracker, now: Instant| match tracker.charge(
        &customer(),
        LARGE,
        millis(3000),
        DRAW,
        now,
    ) {
        Ok(ChargeOutcome::Queued(wait)) => {
            tracker.cancel_queued(&customer().id, LARGE, now);
            wait
        }
        Ok(ChargeOutcome::Granted) => {
            tracker.refund(&customer().id, LARGE, now);
            Duration::ZERO
        }
        Err(refusal) => panic!("{refusal:?}"),
    };
    let alone = wait_of(&here, now);
    let queued = there.charge(&customer(), LARGE, millis(3000), DRAW, now);
    assert!(matches!(queued, Ok(ChargeOutcome::Queued(_))));
    let reported = there.queued_tokens(now);
    assert_eq!(reported, [(customer().id, LARGE)]);
    here.apply_queued(&"there".into(), &reported, now);
    assert_eq!(wait_of(&here, now), alone + millis(500));
    // Small requests don't wait behind large ones, wherever these are.
    let small = here.charge(&customer(), 200, Duration::ZERO, DRAW, now);
    assert_eq!(small, Ok(ChargeOutcome::Granted));
    here.refund(&customer().id, 200, now);
    there.cancel_queued(&customer().id, LARGE, now);
    here.apply_queued(&"there".into(), &there.queued_tokens(now), now);
    assert_eq!(wait_of(&here, now), alone);
    // A host that is gone takes its promises with it.
    here.apply_queued(&"there".into(), &reported, now);
    assert!(wait_of(&here, now + millis(1300)) < alone);
}

/// Guards against hosts that all grant what is left of a bucket before they hear of each other.
#[test]
fn large_requests_are_granted_by_chance_near_the_limit() {
    let tracker = tracker(1.0);
    tracker.set_knowledge(FleetKnowledge {
        hosts: 62,
        report_delay: millis(200),
        ..FleetKnowledge::default()
    });
    let mut now = Instant::now();
    let charge = |draw, now| tracker.charge(&customer(), LARGE, Duration::ZERO, draw, now);
    // Twenty times the rate, of which this host sees all.
    for _ in 0..100 {
        now += millis(25);
        let _ = charge(1.0, now);
    }
    // The bucket has filled up meanwhile, and the whole fleet may be asked for more than it holds before the next report.
    assert_eq!(charge(0.0, now), Ok(ChargeOutcome::Granted));
    let refusal = charge(1.0, now).expect_err("refused by chance");
    assert_eq!(refusal.cause, RefusalCause::Chance);
    assert!(refusal.retry_after >= millis(500), "{refusal:?}");
}

/// Guards against a host that ignores the grants of others, or charges a repeated report twice.
#[test]
fn grants_of_other_hosts_are_charged_once() {
    let (tracker, now) = (tracker(1.0), Instant::now());
    tracker.add_customers([&customer()], now);
    let host: HostId = "b".into();
    let source = Source::Host(host.clone());
    let reporter = Reporter {
        host: &host,
        incarnation: 1,
        started_later: true,
    };
    tracker.apply_totals(&source, reporter, &customer().id, granted(16_000), now);
    assert!(
        tracker
            .charge(&customer(), LARGE, Duration::ZERO, DRAW, now)
            .is_err()
    );
    // Reports are repeated in case some are lost.
    tracker.apply_totals(&source, reporter, &customer().id, granted(16_000), now);
    let later = now + millis(300);
    assert!(
        tracker
            .charge(&customer(), LARGE, Duration::ZERO, DRAW, later)
            .is_ok()
    );
}

/// Guards against charging what a host granted before this one started, and against missing the first grants of a later one.
#[test]
fn grants_before_this_host_started_are_not_charged() {
    let (tracker, now) = (tracker(1.0), Instant::now());
    tracker.add_customers([&customer()], now);
    let host: HostId = "b".into();
    let source = Source::Host(host.clone());
    let mut reporter = Reporter {
        host: &host,
        incarnation: 1,
        started_later: false,
    };
    tracker.apply_totals(&source, reporter, &customer().id, granted(1_000_000), now);
    assert!(
        tracker
            .charge(&customer(), LARGE, Duration::ZERO, DRAW, now)
            .is_ok()
    );
    reporter.incarnation = 2;
    reporter.started_later = true;
    tracker.apply_totals(&source, reporter, &customer().id, granted(15_000), now);
    assert!(
        tracker
            .charge(&customer(), LARGE, Duration::ZERO, DRAW, now)
            .is_err()
    );
}

/// Guards against charging a silent host twice: for its assumed grants, and for the real ones when it reports again.
#[test]
fn assumed_grants_are_corrected_by_the_next_report() {
    let (tracker, now) = (tracker(1.0), Instant::now());
    tracker.add_customers([&customer()], now);
    let host: HostId = "b".into();
    let source = Source::Host(host.clone());
    let reporter = Reporter {
        host: &host,
        incarnation: 1,
        started_later: true,
    };
    tracker.apply_totals(&source, reporter, &customer().id, granted(0), now);
    for step in 1..=40 {
        tracker.charge_silence(&source, 1, 2, millis(100), now + millis(100 * step));
    }
    // Half of the rate is assumed for 4 s, while the bucket refills at the whole rate.
    tracker.apply_totals(
        &source,
        reporter,
        &customer().id,
        granted(0),
        now + millis(4000),
    );
    let levels = tracker.levels();
    assert!(levels[0].1 <= BURST as f64, "{levels:?}");
    assert!(levels[0].1 >= BURST as f64 * 0.99, "{levels:?}");
}

/// Returns the ids of three hosts that start at `now`, and their trackers with full buckets.
fn three_hosts(now: Instant) -> (Vec<HostId>, Vec<UsageTracker>) {
    let hosts: Vec<HostId> = vec!["a".into(), "b".into(), "c".into()];
    let trackers: Vec<_> = hosts.iter().map(|_| tracker(1.0)).collect();
    for tracker in &trackers {
        tracker.add_customers([&customer()], now);
    }
    (hosts, trackers)
}

proptest! {
    /// Guards against hosts that can't reach each other and together grant more than the rate and one burst each.
    #[test]
    fn separated_hosts_keep_the_rate(
        requests in prop::collection::vec((0usize..3, 1u64..40, 100u64..6000), 1..400),
    ) {
        let now = Instant::now();
        let (hosts, trackers) = three_hosts(now);
        let (mut at, mut granted) = (now, 0);
        for (host, gap, tokens) in requests {
            at += millis(gap);
            for (i, tracker) in trackers.iter().enumerate() {
                for (_, host) in hosts.iter().enumerate().filter(|(j, _)| *j != i) {
                    tracker.charge_silence(&Source::Host(host.clone()), 1, 3, millis(gap), at);
                }
            }
            if trackers[host].charge(&customer(), tokens, Duration::ZERO, DRAW, at).is_ok() {
                granted += tokens;
            }
        }
        let elapsed = at.duration_since(now).as_secs_f64();
        // Each host may grant one burst and overdraw it by small requests.
        let bound = 3.0 * BURST as f64 * 1.25 + RATE as f64 * elapsed;
        prop_assert!(granted as f64 <= bound + 1.0, "{granted} {bound}");
    }

    /// Guards against hosts that report to each other and together grant more than the rate, one burst and the overdraft.
    #[test]
    fn connected_hosts_keep_rate_and_burst(
        requests in prop::collection::vec((0usize..3, 1u64..40, 100u64..6000), 1..400),
    ) {
        let now = Instant::now();
        let (hosts, trackers) = three_hosts(now);
        let (mut at, mut granted) = (now, 0);
        for (host, gap, tokens) in requests {
            at += millis(gap);
            if trackers[host].charge(&customer(), tokens, Duration::ZERO, DRAW, at).is_ok() {
                granted += tokens;
            }
            let reports: Vec<_> = trackers.iter().map(|tracker| tracker.totals_since(Reach::Host, now)).collect();
            for (i, tracker) in trackers.iter().enumerate() {
                for (j, report) in reports.iter().enumerate().filter(|(j, _)| *j != i) {
                    let reporter = Reporter { host: &hosts[j], incarnation: 1, started_later: true };
                    for (customer, totals) in report {
                        tracker.apply_totals(&Source::Host(hosts[j].clone()), reporter, customer, *totals, at);
                    }
                }
            }
        }
        let elapsed = at.duration_since(now).as_secs_f64();
        let bound = BURST as f64 * 1.25 + RATE as f64 * elapsed;
        prop_assert!(granted as f64 <= bound + 1.0, "{granted} {bound}");
    }
}
