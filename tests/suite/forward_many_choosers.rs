//! Load pattern: many hosts choose engines at the same time, by loads that are some time old.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use hibiscusspread::process::forwarding::load::{LoadView, Work};
use hibiscusspread::process::forwarding::selection::{
    self, Candidate, Purpose, Requirements, Selection, SelectionSettings,
};
use hibiscusspread::process::settings::PolicyKind;

use crate::forward_fleet::decode_instance;

/// The decode engines.
const ENGINES: usize = 112;
/// Generations that begin, per second.
const ARRIVALS: f64 = 160.0;
/// The mean time that a generation runs, in seconds.
const HOLD_S: f64 = 2.5;
/// The time of the simulation, in seconds.
const LENGTH_S: f64 = 60.0;

/// A generation that ends: the time since the start, the host and the engine. The earliest one is the greatest.
type End = (Reverse<Duration>, usize, usize);

/// Lets `hosts` choose engines by a policy. Each host knows its own calls at once and those of the others as of the last report,
/// which are `delay_s` seconds apart. Returns the mean over all requests of the calls that run at the chosen engine.
fn mean_calls_at_chosen(policy: &dyn Selection, hosts: usize, delay_s: f64, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let instances: Vec<_> = (0..ENGINES)
        .map(|index| Arc::new(decode_instance(&format!("e{index}"))))
        .collect();
    let mut calls = vec![vec![0u32; ENGINES]; hosts];
    let mut totals = vec![0u32; ENGINES];
    // The totals and each host's own part of them at the last report.
    let mut reported = (totals.clone(), calls.clone());
    let mut ends: BinaryHeap<End> = BinaryHeap::new();
    let (mut now_s, mut reported_s, mut sum, mut count) = (0.0, 0.0, 0.0, 0.0);
    while now_s < LENGTH_S {
        now_s += -(1.0 - rng.random::<f64>()).ln() / ARRIVALS;
        let elapsed = Duration::from_secs_f64(now_s);
        while ends.peek().is_some_and(|(at, _, _)| at.0 <= elapsed) {
            let Some((_, host, engine)) = ends.pop() else {
                break;
            };
            calls[host][engine] -= 1;
            totals[engine] -= 1;
        }
        if now_s - reported_s >= delay_s {
            reported_s = now_s;
            reported = (totals.clone(), calls.clone());
        }
        let host = rng.random_range(0..hosts);
        let candidates: Vec<_> = (0..ENGINES)
            .map(|engine| {
                let others = reported.0[engine] - reported.1[host][engine];
                let work = |calls| Work {
                    calls,
                    ..Work::default()
                };
                Candidate {
                    instance: instances[engine].clone(),
                    load: LoadView {
                        own: work(calls[host][engine]),
                        others: work(others),
                        ..LoadView::default()
                    },
                }
            })
            .collect();
        let requirements = Requirements {
            purpose: Purpose::Decode,
            tokens: 5000,
            preferred_data_centre: "x".into(),
            kv_tokens: 50_000,
            report_delay: Duration::from_secs_f64(delay_s),
        };
        let chosen = policy.choose(&requirements, &candidates).expect("engines");
        if now_s > LENGTH_S / 4.0 {
            sum += f64::from(totals[chosen]);
            count += 1.0;
        }
        calls[host][chosen] += 1;
        totals[chosen] += 1;
        let held = -(1.0 - rng.random::<f64>()).ln() * HOLD_S;
        let end = elapsed + Duration::from_secs_f64(held);
        ends.push((Reverse(end), host, chosen));
    }
    sum / count
}

/// The time between two reports that reach all hosts, in seconds, at each number of hosts.
const FLEETS: [(usize, f64); 3] = [(9, 0.02), (60, 0.08), (295, 0.6)];

/// Guards against hosts that crowd at the engine that was free a moment ago, and against choosing at random although loads are known.
#[test]
fn choice_stays_near_that_of_a_single_chooser() {
    let joint = selection::create(PolicyKind::Joint, SelectionSettings::default());
    let least = selection::create(PolicyKind::LeastLoaded, SelectionSettings::default());
    let robin = selection::create(PolicyKind::RoundRobin, SelectionSettings::default());
    let single = mean_calls_at_chosen(&*least, 1, 0.0, 1);
    for (hosts, delay_s) in FLEETS {
        let of = |policy: &Arc<dyn Selection>| mean_calls_at_chosen(&**policy, hosts, delay_s, 1);
        let (joint, least, robin) = (of(&joint), of(&least), of(&robin));
        println!(
            "{hosts} hosts: joint {joint:.2}, least {least:.2}, robin {robin:.2}, single {single:.2}"
        );
        assert!(
            joint < robin,
            "{hosts} hosts: {joint:.2}, in turn {robin:.2}"
        );
        assert!(
            joint <= least + 0.2,
            "{hosts} hosts: {joint:.2}, least loaded {least:.2}"
        );
        assert!(
            joint <= single + 1.0,
            "{hosts} hosts: {joint:.2}, single chooser {single:.2}"
        );
    }
}
