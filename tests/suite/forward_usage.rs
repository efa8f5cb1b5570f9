//! Customers' limits over all hosts, as every host counts them.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::usage::{
    ChargeOutcome, Reporter, UsageSettings, UsageTracker,
};
use hibiscusspread::version::forwarding::ForwardCustomer;

const RATE: u64 = 10_000;
const BURST: u64 = 20_000;
/// The largest request of the tests; larger than the part that is kept for small ones.
const LARGE: u64 = 5_000;

fn customer() -> ForwardCustomer {
    ForwardCustomer {
        id: "coast".into(),
        priority: None,
        rate: RATE,
        burst: BURST,
        by_tokens: true,
        plain_cost: 200,
    }
}

fn book(initial_level: f64) -> UsageTracker {
    UsageTracker::new(UsageSettings {
        initial_level,
        ..UsageSettings::default()
    })
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a host that grants more than the rate and the burst by itself.
#[test]
fn alone_grants_burst_then_rate() {
    let (book, now) = (book(1.0), Instant::now());
    let mut granted = 0;
    while book.charge(&customer(), LARGE, Duration::ZERO, now).is_ok() {
        granted += LARGE;
    }
    assert!(granted <= BURST, "{granted}");
    let wait = book
        .charge(&customer(), LARGE, Duration::ZERO, now)
        .expect_err("used up");
    assert!(
        book.charge(&customer(), LARGE, Duration::ZERO, now + wait + millis(1))
            .is_ok()
    );
}

/// Guards against a customer whose small requests starve behind its own large ones.
#[test]
fn small_requests_pass_while_large_ones_wait() {
    let (book, now) = (book(1.0), Instant::now());
    while book.charge(&customer(), LARGE, millis(400), now).is_ok() {}
    for _ in 0..10 {
        assert_eq!(
            book.charge(&customer(), 200, Duration::ZERO, now),
            Ok(ChargeOutcome::Granted)
        );
    }
}

/// Guards against small requests that are let through without bound.
#[test]
fn small_requests_are_bounded_too() {
    let (book, now) = (book(1.0), Instant::now());
    let mut granted = 0;
    while book.charge(&customer(), 200, Duration::ZERO, now).is_ok() {
        granted += 200;
        assert!(granted <= 2 * BURST, "no bound");
    }
    assert!(granted <= BURST + BURST / 4, "{granted}");
}

/// Guards against requests that wait for more tokens than the rate brings, and against a place in the queue that stays taken.
#[test]
fn waiting_requests_queue_up_and_leave() {
    let (book, now) = (book(0.0), Instant::now());
    let first = book.charge(&customer(), LARGE, millis(2000), now);
    let Ok(ChargeOutcome::Queued(first)) = first else {
        panic!("{first:?}");
    };
    let second = book.charge(&customer(), LARGE, millis(2000), now);
    let Ok(ChargeOutcome::Queued(second)) = second else {
        panic!("{second:?}");
    };
    assert!(second >= first + millis(450), "{first:?} {second:?}");
    book.cancel_queued(&customer().id, LARGE);
    book.cancel_queued(&customer().id, LARGE);
    let third = book.charge(&customer(), LARGE, millis(2000), now);
    assert_eq!(third, Ok(ChargeOutcome::Queued(first)));
}

/// Guards against a host that ignores what the others grant.
#[test]
fn reports_of_others_count() {
    let (book, now) = (book(1.0), Instant::now());
    book.add_customers([&customer()], now);
    let host: HostId = "b".into();
    let reporter = Reporter {
        host: &host,
        incarnation: 1,
        started_later: true,
    };
    book.apply_granted(reporter, &customer().id, 16_000, now);
    assert!(
        book.charge(&customer(), LARGE, Duration::ZERO, now)
            .is_err()
    );
    // The same report again, as it is repeated, counts once.
    book.apply_granted(reporter, &customer().id, 16_000, now);
    let later = now + millis(300);
    assert!(
        book.charge(&customer(), LARGE, Duration::ZERO, later)
            .is_ok()
    );
}

/// Guards against charging what an older host granted before this one started, and against missing what a younger one did.
#[test]
fn grants_before_the_own_start_are_no_news() {
    let (book, now) = (book(1.0), Instant::now());
    book.add_customers([&customer()], now);
    let host: HostId = "b".into();
    let mut reporter = Reporter {
        host: &host,
        incarnation: 1,
        started_later: false,
    };
    book.apply_granted(reporter, &customer().id, 1_000_000, now);
    assert!(book.charge(&customer(), LARGE, Duration::ZERO, now).is_ok());
    reporter.incarnation = 2;
    reporter.started_later = true;
    book.apply_granted(reporter, &customer().id, 15_000, now);
    assert!(
        book.charge(&customer(), LARGE, Duration::ZERO, now)
            .is_err()
    );
}

/// Guards against charging the time of a silence twice: once as assumed, once when the host reports again.
#[test]
fn silence_is_charged_and_corrected() {
    let (book, now) = (book(1.0), Instant::now());
    book.add_customers([&customer()], now);
    let host: HostId = "b".into();
    let reporter = Reporter {
        host: &host,
        incarnation: 1,
        started_later: true,
    };
    book.apply_granted(reporter, &customer().id, 0, now);
    for step in 1..=40 {
        book.charge_silent_hosts(
            &[(host.clone(), 1)],
            2,
            millis(100),
            now + millis(100 * step),
        );
    }
    // Half of the rate for 4 s is assumed, while the bucket gains the whole rate.
    book.apply_granted(reporter, &customer().id, 0, now + millis(4000));
    let levels = book.levels();
    assert!(levels[0].1 <= BURST as f64, "{levels:?}");
    assert!(levels[0].1 >= BURST as f64 * 0.99, "{levels:?}");
}

/// Returns the names and full accounts of three hosts that start at `now`.
fn three_hosts(now: Instant) -> (Vec<HostId>, Vec<UsageTracker>) {
    let hosts: Vec<HostId> = vec!["a".into(), "b".into(), "c".into()];
    let books: Vec<_> = hosts.iter().map(|_| book(1.0)).collect();
    for book in &books {
        book.add_customers([&customer()], now);
    }
    (hosts, books)
}

proptest! {
    /// Guards against hosts that don't hear each other and together grant more than the rate and one burst each.
    #[test]
    fn separated_hosts_keep_the_rate(
        requests in prop::collection::vec((0usize..3, 1u64..40, 100u64..6000), 1..400),
    ) {
        let now = Instant::now();
        let (hosts, books) = three_hosts(now);
        let (mut at, mut granted) = (now, 0);
        for (host, gap, tokens) in requests {
            at += millis(gap);
            for (i, book) in books.iter().enumerate() {
                let silent: Vec<_> = hosts.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, h)| (h.clone(), 1)).collect();
                book.charge_silent_hosts(&silent, 3, millis(gap), at);
            }
            if books[host].charge(&customer(), tokens, Duration::ZERO, at).is_ok() {
                granted += tokens;
            }
        }
        let elapsed = at.duration_since(now).as_secs_f64();
        // Each host may hold one burst and overdraw it by small requests.
        let bound = 3.0 * BURST as f64 * 1.25 + RATE as f64 * elapsed;
        prop_assert!(granted as f64 <= bound + 1.0, "{granted} {bound}");
    }

    /// Guards against hosts that hear each other and grant more than rate and burst, but for what is under way.
    #[test]
    fn connected_hosts_keep_rate_and_burst(
        requests in prop::collection::vec((0usize..3, 1u64..40, 100u64..6000), 1..400),
    ) {
        let now = Instant::now();
        let (hosts, books) = three_hosts(now);
        let (mut at, mut granted) = (now, 0);
        for (host, gap, tokens) in requests {
            at += millis(gap);
            if books[host].charge(&customer(), tokens, Duration::ZERO, at).is_ok() {
                granted += tokens;
            }
            let reports: Vec<_> = books.iter().map(|book| book.granted_since(now)).collect();
            for (i, book) in books.iter().enumerate() {
                for (j, report) in reports.iter().enumerate().filter(|(j, _)| *j != i) {
                    let reporter = Reporter { host: &hosts[j], incarnation: 1, started_later: true };
                    for (customer, granted) in report {
                        book.apply_granted(reporter, customer, *granted, at);
                    }
                }
            }
        }
        let elapsed = at.duration_since(now).as_secs_f64();
        let bound = BURST as f64 * 1.25 + RATE as f64 * elapsed;
        prop_assert!(granted as f64 <= bound + 1.0, "{granted} {bound}");
    }
}
