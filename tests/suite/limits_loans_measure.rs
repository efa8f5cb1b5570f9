//! Measures grants above customers' limits and wrongful refusals, in simulated time.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use hibiscusspread::emulator::store::StoreFaults;
use hibiscusspread::prelude::*;
use hibiscusspread::process::message::ChargeReply;
use hibiscusspread::process::shard::lock;
use hibiscusspread::process::token_bucket::TokenBucket;

use crate::limits_fleet::{Fleet, SimulatedClock, charge};

const CENTRES: [(&str, usize); 4] = [("a", 3), ("b", 2), ("c", 2), ("d", 2)];
const HOSTS: u64 = 9;
/// Name, rate in tokens a second, burst in tokens: two large customers and three small ones.
const CUSTOMERS: [(&str, Tokens, Tokens); 5] = [
    ("large-1", 40_000, 400_000),
    ("large-2", 20_000, 200_000),
    ("small-1", 1_000, 10_000),
    ("small-2", 500, 5_000),
    ("small-3", 200, 2_000),
];
const SEED: u64 = 20_261_204;
const ADMISSION_WAIT: Duration = Duration::from_secs(2);
/// The time from a crash until all hosts have proof of it: within the 3 s of failure detection.
const PROOF_DELAY: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Even,
    OneCentre,
    SeveralTimesTheRate,
    HostCrash,
    StoreOutage,
    CentreCutOff,
}

impl Scenario {
    const ALL: [(Self, &str); 6] = [
        (Self::Even, "even demand"),
        (Self::OneCentre, "one data centre only"),
        (Self::SeveralTimesTheRate, "large-1 at 4 times"),
        (Self::HostCrash, "host crash"),
        (Self::StoreOutage, "store outage of 1 h"),
        (Self::CentreCutOff, "data centre cut, 1 h"),
    ];

    fn length(self) -> Duration {
        match self {
            Self::StoreOutage | Self::CentreCutOff => Duration::from_mins(70),
            _ => Duration::from_mins(10),
        }
    }
}

/// A single bucket with a customer's whole rate and burst, charged with all grants. A grant that doesn't fit is above
/// the limit; a refusal of a request that would have fitted is wrongful.
struct Reference {
    bucket: TokenBucket,
    asked: u64,
    refused: u64,
    wrongful: u64,
    above: u64,
    tokens: Tokens,
}

#[derive(Default)]
struct Tally {
    references: HashMap<&'static str, Reference>,
    /// The number of messages about loans between all hosts.
    loan_messages: u64,
}

impl Tally {
    fn new(now: Instant) -> Self {
        let reference = |rate, burst| Reference {
            bucket: TokenBucket::full(rate, burst, now),
            asked: 0,
            refused: 0,
            wrongful: 0,
            above: 0,
            tokens: 0,
        };
        let customers = CUSTOMERS.iter();
        let references = customers.map(|c| (c.0, reference(c.1, c.2))).collect();
        Self {
            references,
            loan_messages: 0,
        }
    }

    fn count(&mut self, customer: &str, tokens: Tokens, granted: bool, now: Instant) {
        let reference = self
            .references
            .get_mut(customer)
            .expect("customer is listed");
        reference.asked += 1;
        if granted {
            reference.tokens += tokens;
            reference.above += u64::from(reference.bucket.take(tokens, now).is_err());
        } else {
            reference.refused += 1;
            reference.wrongful += u64::from(reference.bucket.level(now) >= tokens);
        }
    }
}

/// A request of the load.
struct Arrival {
    /// The time since the start.
    at: Duration,
    customer: &'static str,
    /// The index of the host that receives it.
    host: usize,
    tokens: Tokens,
}

fn arrivals(scenario: Scenario) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut all = Vec::new();
    for (customer, rate, _) in CUSTOMERS {
        let several = scenario == Scenario::SeveralTimesTheRate && customer == "large-1";
        // The share of the rate that is requested; a request takes 0.4 s of the rate on average.
        let load = if several { 4.0 } else { 0.8 };
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at -= uniform.ln() * 0.4 / load;
            if at >= scenario.length().as_secs_f64() {
                break;
            }
            let hosts = if scenario == Scenario::OneCentre {
                3
            } else {
                9
            };
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                customer,
                host: rng.random_range(0..hosts),
                tokens: rng.random_range(rate / 10..=rate * 7 / 10),
            });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Runs the load against owners that lend each other tokens.
async fn run_fleet(scenario: Scenario) -> Tally {
    let mut fleet = Fleet::start(&CENTRES, &CUSTOMERS).await;
    tokio::time::sleep(Duration::from_mins(1)).await;
    let start = tokio::time::Instant::now();
    let tally = Arc::new(Mutex::new(Tally::new(SimulatedClock.now())));
    let fault_at = start + Duration::from_mins(2);
    let mut faults = match scenario {
        Scenario::HostCrash => vec![(fault_at, 0), (fault_at + PROOF_DELAY, 1)],
        Scenario::StoreOutage => vec![(fault_at, 2), (fault_at + Duration::from_hours(1), 3)],
        Scenario::CentreCutOff => vec![(fault_at, 4), (fault_at + Duration::from_hours(1), 5)],
        _ => Vec::new(),
    };
    let crashing = busiest(&fleet);
    let mut tasks = tokio::task::JoinSet::new();
    for (request, arrival) in arrivals(scenario).into_iter().enumerate() {
        let at = start + arrival.at;
        while let Some((time, fault)) = faults.first().copied().filter(|(time, _)| *time <= at) {
            faults.remove(0);
            tokio::time::sleep_until(time).await;
            let outage = |outage| StoreFaults {
                outage,
                ..StoreFaults::default()
            };
            match fault {
                0 => fleet.crash(crashing),
                1 => fleet.prove(crashing),
                2 => fleet.store.set_faults(outage(true)),
                3 => fleet.store.set_faults(outage(false)),
                4 => fleet.set_cut("d", true),
                _ => fleet.set_cut("d", false),
            }
        }
        tokio::time::sleep_until(at).await;
        // The load balancer sends nothing to a crashed host.
        let centre = fleet.hosts[arrival.host].member.data_centre.clone();
        let host = match &fleet.hosts[arrival.host] {
            host if host.alive => host,
            _ => fleet.hosts_in(&centre)[0],
        };
        let (limits, tally) = (host.limits.clone(), tally.clone());
        tasks.spawn(async move {
            let (customer, tokens) = (arrival.customer, arrival.tokens);
            let request = request as RequestId;
            let reply = charge(&limits, customer, request, tokens, ADMISSION_WAIT).await;
            let granted = matches!(reply, ChargeReply::Granted { .. });
            let now = SimulatedClock.now();
            lock(&tally).count(customer, tokens, granted, now);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    for host in &fleet.hosts {
        host.limits.stop();
    }
    lock(&tally).loan_messages = fleet.loan_messages.load(Ordering::Relaxed);
    std::mem::replace(&mut *lock(&tally), Tally::new(SimulatedClock.now()))
}

/// Returns the index of the host that owns the most customers.
fn busiest(fleet: &Fleet) -> usize {
    let owned = |i: &usize| fleet.hosts[*i].limits.dump().len();
    (0..fleet.hosts.len())
        .max_by_key(owned)
        .expect("there are hosts")
}

/// Runs the load against limits that are split evenly over the hosts. A crashed host's part is lost.
async fn run_split(scenario: Scenario) -> Tally {
    let start = tokio::time::Instant::now();
    let tally = Arc::new(Mutex::new(Tally::new(start.into_std())));
    let bucket = |c: &(&'static str, Tokens, Tokens)| {
        (
            c.0,
            TokenBucket::full(c.1 / HOSTS, c.2 / HOSTS, start.into_std()),
        )
    };
    let buckets = (0..HOSTS).map(|_| CUSTOMERS.iter().map(bucket).collect::<HashMap<_, _>>());
    let buckets = Arc::new(Mutex::new(buckets.collect::<Vec<_>>()));
    let mut tasks = tokio::task::JoinSet::new();
    for arrival in arrivals(scenario) {
        tokio::time::sleep_until(start + arrival.at).await;
        let crashed = scenario == Scenario::HostCrash
            && arrival.host == 0
            && arrival.at >= Duration::from_mins(2);
        let host = if crashed { 1 } else { arrival.host };
        let (buckets, tally) = (buckets.clone(), tally.clone());
        tasks.spawn(async move {
            let give_up = tokio::time::Instant::now() + ADMISSION_WAIT;
            let granted = loop {
                let now = SimulatedClock.now();
                let taken = lock(&buckets)[host]
                    .get_mut(arrival.customer)
                    .map(|bucket| bucket.take(arrival.tokens, now));
                match taken {
                    Some(Ok(())) => break true,
                    Some(Err(wait)) if wait <= give_up - tokio::time::Instant::now() => {
                        tokio::time::sleep(wait).await;
                    }
                    _ => break false,
                }
            };
            let now = SimulatedClock.now();
            lock(&tally).count(arrival.customer, arrival.tokens, granted, now);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    std::mem::replace(&mut *lock(&tally), Tally::new(SimulatedClock.now()))
}

fn print_row(scenario: (Scenario, &str), policy: &str, tally: &Tally) -> (u64, u64) {
    let (length, name) = (scenario.0.length().as_secs(), scenario.1);
    let bound: Tokens = CUSTOMERS.iter().map(|c| c.1 * length + c.2).sum();
    let sum = |part: fn(&Reference) -> u64| tally.references.values().map(part).sum::<u64>();
    let worst = tally
        .references
        .iter()
        .max_by_key(|(_, r)| r.wrongful * 10_000 / r.asked.max(1));
    let (worst, figures) = worst.expect("there are customers");
    let per_cent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
    println!(
        "{name:<22} {policy:<12} {:>7} {:>12} {:>8} {:>8} {:>9.2} % {:>9.2} % {worst:<8} {:>9.2} {:>8.1} %",
        sum(|r| r.asked),
        sum(|r| r.tokens),
        sum(|r| r.above),
        sum(|r| r.refused),
        per_cent(sum(|r| r.wrongful), sum(|r| r.asked)),
        per_cent(figures.wrongful, figures.asked),
        tally.loan_messages as f64 / length as f64,
        per_cent(sum(|r| r.tokens), bound),
    );
    (sum(|r| r.above), sum(|r| r.wrongful))
}

/// Guards against grants above a customer's limit in any window, and against more wrongful refusals than with limits
/// that are split evenly over the hosts. Prints the table with `--nocapture`.
#[tokio::test(start_paused = true)]
async fn owners_with_loans_against_an_even_split() {
    println!(
        "{:<22} {:<12} {:>7} {:>12} {:>8} {:>8} {:>11} {:>11} {:<8} {:>9} {:>10}",
        "scenario",
        "policy",
        "asked",
        "tokens",
        "above",
        "refused",
        "wrongful",
        "worst",
        "",
        "loans/s",
        "of bound"
    );
    for (scenario, name) in Scenario::ALL {
        let split = run_split(scenario).await;
        let (_, split_wrongful) = print_row((scenario, name), "even split", &split);
        let fleet = run_fleet(scenario).await;
        let (above, wrongful) = print_row((scenario, name), "loans", &fleet);
        assert_eq!(above, 0, "{name}: grants above rate and burst");
        assert!(
            wrongful <= split_wrongful,
            "{name}: {wrongful} against {split_wrongful}"
        );
    }
}
