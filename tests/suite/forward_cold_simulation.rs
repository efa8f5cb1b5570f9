//! Load pattern: many engines come back at once before hosts that choose by loads that are some time old.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::cold::{
    Admission, ColdEngines, ColdFleet, ColdSettings, PassOutcome,
};
use hibiscusspread::process::forwarding::directory::Instance;
use hibiscusspread::process::forwarding::load::{LoadView, Work};
use hibiscusspread::process::forwarding::selection::{
    self, Candidate, Purpose, Requirements, Selection, SelectionSettings,
};
use hibiscusspread::process::forwarding::source::Reach;
use hibiscusspread::process::settings::PolicyKind;
use hibiscusspread::version::forwarding::ColdLimits;

use crate::forward_fleet::decode_instance;

/// The engines that come back at once.
const BACK: usize = 20;
/// When the engines come back, and the end of the simulation, in seconds.
const BACK_S: f64 = 10.0;
const LENGTH_S: f64 = 25.0;
/// The data centres, over which hosts and engines are spread.
const DATA_CENTRES: [&str; 3] = ["x", "y", "z"];
/// The time in seconds within which each host hears that the engines are back.
const NEWS_S: f64 = 2.4;
/// The age of reports and the time between two of them, in seconds.
const REPORT_S: f64 = 0.6;
const REPORT_INTERVAL_S: f64 = 0.1;
/// The time in seconds over which running calls are averaged.
const AVERAGE_S: f64 = 0.5;
/// The time in seconds in which the number of hosts doubles from three to more than 295.
const RAMP_S: f64 = 0.7;
/// The times that requests run in which an empty engine fills to `SHARE`, -ln(1 - 0.8), and some for the averaging.
const FILL_TIMES: f64 = 2.0;
/// The part of the running calls of the other engines from which an engine carries its share.
const SHARE: f64 = 0.8;

/// The bounds of the deployment that has cold engines.
pub fn settings() -> ColdSettings {
    ColdSettings {
        overrun: 1.5,
        slack: 5.0,
        ..ColdSettings::default()
    }
}

/// The limits of the service there.
pub const LIMITS: ColdLimits = ColdLimits {
    duration: Duration::from_secs(3),
    requests_per_second: 8.8,
};

/// The requests a second that may reach a cold upstream there.
pub const BOUND: usize = 18;

/// What arrives at the hosts.
#[derive(Debug, Clone, Copy)]
struct Load {
    purpose: Purpose,
    /// The engines that run all the time.
    warm: usize,
    /// Requests per second.
    arrivals: f64,
    /// The mean time that a request runs, in seconds.
    hold_s: f64,
}

/// Generations, at 70 in 100 of what all engines can run, of which a quarter comes back.
const GENERATIONS: Load = Load {
    purpose: Purpose::Decode,
    warm: 60,
    arrivals: 180.0,
    hold_s: 2.5,
};

/// Prompts of 5,000 tokens, at 130 in 100 of what all engines can prefill, of which half comes back.
const PROMPTS: Load = Load {
    purpose: Purpose::Prefill,
    warm: 20,
    arrivals: 580.0,
    hold_s: 0.09,
};

fn at(base: Instant, seconds: f64) -> Instant {
    base + Duration::from_secs_f64(seconds)
}

/// The time in seconds that a request takes to its engine: some milliseconds, and up to the time limit of connecting for some.
fn transit(rng: &mut SmallRng) -> f64 {
    if rng.random_bool(0.02) {
        rng.random_range(0.01..0.15)
    } else {
        rng.random_range(0.001..0.004)
    }
}

/// Whether a host is heard by others and hears them: each second one is silent.
fn is_silent(host: usize) -> bool {
    host % 2 == 1
}

/// What the simulation measured.
#[derive(Debug)]
struct Outcome {
    /// The most requests that reached one of the cold engines within a second.
    most_in_second: usize,
    /// The engines that got more than they may.
    above_bound: usize,
    /// The time in seconds after which the engines that came back carried their share on average; infinite if they did not.
    share_after_s: f64,
    /// The most calls that ran at one engine after the end of the cold period.
    most_calls: u32,
}

/// The state of the engines and what the hosts know of it.
struct World {
    instances: Vec<Arc<Instance>>,
    /// Each host's running calls at each engine.
    calls: Vec<Vec<u32>>,
    totals: Vec<u32>,
    /// The calls of the hosts that are heard, and each host's own part of them, at the reports of the last `REPORT_S`.
    reported: VecDeque<(Vec<u32>, Vec<Vec<u32>>)>,
}

impl World {
    fn report(&mut self) {
        let heard = (0..self.totals.len()).map(|engine| {
            let heard = self.calls.iter().enumerate();
            let heard = heard.filter(|(host, _)| !is_silent(*host));
            heard.map(|(_, calls)| calls[engine]).sum()
        });
        let heard = heard.collect();
        self.reported.push_back((heard, self.calls.clone()));
        if self.reported.len() as f64 > REPORT_S / REPORT_INTERVAL_S {
            self.reported.pop_front();
        }
    }

    fn candidate(&self, host: usize, engine: usize) -> Candidate {
        let (heard, own) = &self.reported[0];
        let others = if is_silent(host) {
            0
        } else {
            heard[engine] - own[host][engine]
        };
        let work = |calls: u32| Work {
            calls,
            tokens: u64::from(calls) * 5000,
            ..Work::default()
        };
        Candidate {
            instance: self.instances[engine].clone(),
            load: LoadView {
                own: work(self.calls[host][engine]),
                others: work(others),
                ..LoadView::default()
            },
        }
    }
}

/// The hosts and what they know of the engines that come back.
struct Hosts {
    names: Vec<(HostId, DataCentreId)>,
    cold: Vec<ColdEngines>,
    /// When each host hears that the engines are back, in seconds.
    heard_s: Vec<f64>,
    has_heard: Vec<bool>,
    /// Whether hosts bound the requests to cold engines.
    is_bounded: bool,
    policy: Arc<dyn Selection>,
    base: Instant,
}

impl Hosts {
    fn start(count: usize, is_bounded: bool, rng: &mut SmallRng) -> Self {
        let name = |host: usize| {
            let data_centre = DATA_CENTRES[host % DATA_CENTRES.len()];
            (format!("host-{host}").into(), data_centre.into())
        };
        let names: Vec<(HostId, DataCentreId)> = (0..count).map(name).collect();
        let cold = (0..count).map(|host| {
            let cold = ColdEngines::new(settings());
            let mut others = names.clone();
            let (own, own_data_centre) = others.remove(host);
            cold.set_fleet(ColdFleet {
                membership: 1,
                own,
                own_data_centre,
                others,
            });
            cold
        });
        Self {
            cold: cold.collect(),
            heard_s: (0..count)
                .map(|_| BACK_S + rng.random_range(0.0..NEWS_S))
                .collect(),
            has_heard: vec![false; count],
            is_bounded,
            policy: selection::create(PolicyKind::Joint, SelectionSettings::default()),
            base: Instant::now(),
            names,
        }
    }

    /// Returns the engine to which a host sends a request at `now_s`.
    fn choose(&mut self, host: usize, load: Load, world: &World, now_s: f64) -> usize {
        let cold = &self.cold[host];
        let is_first = now_s >= self.heard_s[host]
            && !std::mem::replace(&mut self.has_heard[host], true)
            && self.is_bounded;
        if is_first {
            let heard = at(self.base, self.heard_s[host]);
            for instance in &world.instances[load.warm..] {
                cold.record_start(instance, &LIMITS, false, Reach::Host, heard);
            }
        }
        let known = if self.has_heard[host] {
            world.instances.len()
        } else {
            load.warm
        };
        let now = at(self.base, now_s);
        let candidates = (0..known).filter_map(|engine| {
            let mut candidate = world.candidate(host, engine);
            let admission = cold.may_choose(&candidate.instance, &LIMITS, now);
            candidate.load.is_cold = admission == Admission::WithPass;
            (!matches!(admission, Admission::Closed(_))).then_some((engine, candidate))
        });
        let (engines, candidates): (Vec<_>, Vec<_>) = candidates.unzip();
        let requirements = Requirements {
            purpose: load.purpose,
            tokens: 5000,
            preferred_data_centre: self.names[host].1.clone(),
            kv_tokens: 50_000,
            report_delay: Duration::from_secs_f64(REPORT_S),
        };
        let chosen = self.policy.choose(&requirements, &candidates);
        let engine = engines[chosen.expect("engines")];
        let pass = cold.take_pass(&world.instances[engine], &LIMITS, None, now);
        assert_ne!(pass, PassOutcome::Refused);
        engine
    }
}

/// Returns the most requests that reached an engine within a second while it was cold.
fn most_while_cold(arrivals: &[f64]) -> usize {
    let end = BACK_S + LIMITS.duration.as_secs_f64();
    let cold: Vec<_> = arrivals.iter().filter(|at| **at < end).collect();
    let within = |start: f64| {
        let within = cold.iter();
        within.filter(move |at| (start..start + 1.0).contains(**at))
    };
    let most = cold.iter().map(|start| within(**start).count()).max();
    most.unwrap_or_default()
}

/// Lets `hosts` serve requests while the engines come back; with today's rule if `is_bounded` is not set.
fn simulate(load: Load, hosts: usize, is_bounded: bool, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let engines = load.warm + BACK;
    let instance = |index: usize| Instance {
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
        ..decode_instance(&format!("e{index}"))
    };
    let mut world = World {
        instances: (0..engines)
            .map(|index| Arc::new(instance(index)))
            .collect(),
        calls: vec![vec![0; engines]; hosts],
        totals: vec![0; engines],
        reported: VecDeque::new(),
    };
    world.report();
    let mut fleet = Hosts::start(hosts, is_bounded, &mut rng);
    let mut ends: BinaryHeap<(Reverse<Duration>, usize, usize)> = BinaryHeap::new();
    let mut arrivals: Vec<Vec<f64>> = vec![Vec::new(); engines];
    // The running calls of the engines that ran and of those that came back, on average over some time.
    let (mut calls_of_warm, mut calls_of_back) = (0.0, 0.0);
    let mut share_at = None;
    let (mut now_s, mut reported_s, mut most_calls) = (0.0, 0.0, 0);
    while now_s < LENGTH_S {
        now_s += -(1.0 - rng.random::<f64>()).ln() / load.arrivals;
        let elapsed = Duration::from_secs_f64(now_s);
        while ends.peek().is_some_and(|(end, _, _)| end.0 <= elapsed) {
            let Some((_, host, engine)) = ends.pop() else {
                break;
            };
            world.calls[host][engine] -= 1;
            world.totals[engine] -= 1;
        }
        if now_s - reported_s >= REPORT_INTERVAL_S {
            reported_s = now_s;
            world.report();
        }
        let host = rng.random_range(0..hosts);
        let engine = fleet.choose(host, load, &world, now_s);
        arrivals[engine].push(now_s + transit(&mut rng));
        world.calls[host][engine] += 1;
        world.totals[engine] += 1;
        let held = -(1.0 - rng.random::<f64>()).ln() * load.hold_s;
        let end = elapsed + Duration::from_secs_f64(held);
        ends.push((Reverse(end), host, engine));
        let mean = |part: &[u32]| f64::from(part.iter().sum::<u32>()) / part.len() as f64;
        if now_s <= BACK_S {
            calls_of_warm = mean(&world.totals[..load.warm]);
            continue;
        }
        let weight = 1.0 / (load.arrivals * AVERAGE_S);
        calls_of_warm += (mean(&world.totals[..load.warm]) - calls_of_warm) * weight;
        calls_of_back += (mean(&world.totals[load.warm..]) - calls_of_back) * weight;
        if calls_of_back >= calls_of_warm * SHARE {
            share_at.get_or_insert(now_s);
        }
        if now_s > BACK_S + LIMITS.duration.as_secs_f64() {
            most_calls = most_calls.max(world.totals[engine]);
        }
    }
    let most = arrivals[load.warm..].iter();
    let most: Vec<_> = most.map(|arrivals| most_while_cold(arrivals)).collect();
    Outcome {
        most_in_second: most.iter().copied().max().unwrap_or_default(),
        above_bound: most.iter().filter(|most| **most > BOUND).count(),
        share_after_s: share_at.map_or(f64::INFINITY, |at| at - BACK_S),
        most_calls,
    }
}

/// Guards against cold engines that get more than they can take from hosts that all see them empty, and against engines that get no
/// work for long after they are warm. Half of the hosts are silent.
#[test]
fn engines_that_come_back_at_once_get_no_more_than_they_take() {
    for load in [GENERATIONS, PROMPTS] {
        for hosts in [9, 60, 295] {
            let of = |is_bounded| [1, 2, 3].map(|seed| simulate(load, hosts, is_bounded, seed));
            let (bounded, today) = (of(true), of(false));
            println!("{:?}, {hosts} hosts:", load.purpose);
            for outcome in &bounded {
                println!("  {outcome:?}");
            }
            for outcome in &today {
                println!("  today: {outcome:?}");
            }
            // The time until the last host hears of the engines, the cold period, the ramp-up, and the time in which an engine that gets
            // as many requests as the others fills to its share.
            let latest = NEWS_S
                + LIMITS.duration.as_secs_f64()
                + RAMP_S
                + (load.hold_s + AVERAGE_S) * FILL_TIMES;
            for outcome in &bounded {
                assert!(outcome.most_in_second <= BOUND, "{outcome:?}");
                assert_eq!(outcome.above_bound, 0);
                assert!(outcome.share_after_s <= latest, "{outcome:?}");
            }
            let most_calls = |outcomes: &[Outcome]| outcomes.iter().map(|o| o.most_calls).max();
            let (most, most_today) = (most_calls(&bounded), most_calls(&today));
            assert!(
                most <= most_today.map(|most| most * 2),
                "{most:?}, {most_today:?}"
            );
            if load.purpose == Purpose::Prefill {
                let is_broken = today.iter().any(|outcome| outcome.above_bound > 0);
                assert!(is_broken, "the load does not show the failure: {today:?}");
            }
        }
    }
}
