//! How the engines of a service are divided between prefill and decode: the measurements of many hosts, and the plan that follows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;

use hibiscusspread::prelude::*;
use hibiscusspread::process::forwarding::directory::{Directory, Instance, OrderedStage, Stage};
use hibiscusspread::process::forwarding::source::{Reach, Source};
use hibiscusspread::process::forwarding::stage_load::{StageLoad, StageSums};
use hibiscusspread::process::forwarding::stage_plan::{
    ServiceLoad, StageChange, StagePlanSettings, plan_stage_changes,
};

use crate::forward_fleet::decode_instance;

/// The memory of an engine, in tokens.
const KV_TOKENS: Tokens = 45_000;

/// The memory that a request holds, in tokens.
const HELD: Tokens = 5_600;

fn service() -> ModelId {
    "writers".into()
}

/// What requests are like: the seconds for which a prompt occupies a prefill engine, and those for which a request holds memory.
#[derive(Debug, Clone, Copy)]
struct Mix {
    prefill_s: f64,
    hold_s: f64,
}

/// The part of the engines that should prefill so that neither stage is the bottleneck.
fn balanced(mix: Mix) -> f64 {
    let decode_s = mix.hold_s * HELD as f64 / KV_TOKENS as f64;
    mix.prefill_s / (mix.prefill_s + decode_s)
}

/// Lets a host measure `requests` requests, whose times vary by the factors in `noise` in turn.
fn measure(load: &StageLoad, mix: Mix, requests: usize, noise: &[f64], now: Instant) {
    for n in 0..requests {
        let factor = noise[n % noise.len()];
        let prompt = 2000 + 600 * (n as u64 % 11);
        let queued = 5000 * (n as u64 % 4);
        let work = (prompt + queued) as f64 / 5000.0;
        let prefill = Duration::from_secs_f64(0.02 + mix.prefill_s * work * factor);
        load.record_prefill(&service(), prompt, queued, prefill, now);
        let hold = Duration::from_secs_f64(mix.hold_s * factor);
        load.record_generation(&service(), HELD, hold, now);
    }
}

fn engines(prefill: usize, decode: usize) -> Vec<Arc<Instance>> {
    let engine = |n: usize| Instance {
        id: format!("e-{n:03}").into(),
        stage: if n < prefill {
            Stage::Prefill
        } else {
            Stage::Decode
        },
        data_centre: format!("dc-{}", n % 3).into(),
        ..decode_instance("e")
    };
    (0..prefill + decode).map(|n| Arc::new(engine(n))).collect()
}

fn plan(engines: &[Arc<Instance>], sums: StageSums) -> Vec<StageChange> {
    let load = ServiceLoad {
        sums,
        kv_tokens: KV_TOKENS,
    };
    plan_stage_changes(&StagePlanSettings::default(), engines, &load, |_| false)
}

/// Applies the plan until it asks for no more changes, and returns how many engines prefill then.
fn settle(mut engines: Vec<Arc<Instance>>, sums: StageSums) -> usize {
    for _ in 0..200 {
        let changes = plan(&engines, sums);
        if changes.is_empty() {
            break;
        }
        for change in changes {
            let engine = engines.iter_mut().find(|e| e.id == change.instance.id);
            let engine = engine.expect("a registered engine");
            *engine = Arc::new(Instance {
                stage: change.stage,
                ..(**engine).clone()
            });
        }
    }
    engines.iter().filter(|e| e.stage == Stage::Prefill).count()
}

/// Guards against a fixed division of the engines: with long prompts the prefill engines were overloaded while decode engines idled,
/// and with long answers the reverse.
#[test]
fn engines_follow_what_requests_are_like() {
    let now = Instant::now();
    let mixes = [
        Mix {
            prefill_s: 0.10,
            hold_s: 3.3,
        },
        Mix {
            prefill_s: 0.16,
            hold_s: 2.0,
        },
        Mix {
            prefill_s: 0.05,
            hold_s: 4.0,
        },
    ];
    for mix in mixes {
        let load = StageLoad::default();
        measure(&load, mix, 200, &[1.0], now);
        for prefill in [10, 30, 60] {
            let settled = settle(engines(prefill, 90 - prefill), load.sums("writers", now));
            let wanted = balanced(mix) * 90.0;
            // Never below the balance of both stages beyond the tolerance, and above it by less than the spare engines.
            assert!(settled as f64 >= wanted * 0.9 - 3.0, "{mix:?}: {settled}");
            assert!(settled as f64 <= wanted + 9.0 + 3.0, "{mix:?}: {settled}");
        }
    }
}

/// Guards against a host that plans by its own few requests: no single host has measured enough.
#[test]
fn measurements_of_all_hosts_add_up() {
    let now = Instant::now();
    let mix = Mix {
        prefill_s: 0.1,
        hold_s: 3.0,
    };
    let hosts: Vec<StageLoad> = (0..60).map(|_| StageLoad::default()).collect();
    for host in &hosts {
        measure(host, mix, 2, &[1.0], now);
        assert!(
            host.sums("writers", now)
                .decode_seconds(KV_TOKENS)
                .is_none()
        );
    }
    for (n, host) in hosts.iter().enumerate().skip(1) {
        let report = host.report(Reach::Host, now);
        let source = Source::Host(format!("host-{n}").into());
        hosts[0].apply_report(&source, &report, now);
    }
    let sums = hosts[0].sums("writers", now);
    let decode = sums.decode_seconds(KV_TOKENS).expect("enough measured");
    assert!((decode - 3.0 * HELD as f64 / KV_TOKENS as f64).abs() < 0.01);
    // Reports that stop count no more after a while.
    let later = now + Duration::from_secs(6);
    let sums = hosts[0].sums("writers", later);
    assert!(sums.decode_seconds(KV_TOKENS).is_none());
}

/// Guards against engines that change back and forth because measurements vary: 15 in 100 take 2.5 times as long.
#[test]
fn plan_does_not_flap_with_varying_measurements() {
    let start = Instant::now();
    let mix = Mix {
        prefill_s: 0.1,
        hold_s: 3.3,
    };
    let load = StageLoad::default();
    let mut engines = engines(20, 70);
    let mut directions = Vec::new();
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        // Slow times come in spells, in other seconds for prefill and decode.
        let noise: &[f64] = match second % 7 {
            0 => &[2.5],
            1..=3 => &[1.0, 0.7],
            _ => &[0.9, 1.1],
        };
        measure(&load, mix, 40, noise, now);
        for change in plan(&engines, load.sums("writers", now)) {
            directions.push(change.stage);
            let changed = engines.iter_mut().find(|e| e.id == change.instance.id);
            *changed.expect("registered") = Arc::new(Instance {
                stage: change.stage,
                ..(*change.instance).clone()
            });
        }
    }
    let reversals = directions.windows(2).filter(|w| w[0] != w[1]).count();
    assert_eq!(reversals, 0, "{directions:?}");
}

/// Guards against too many engines that are away at once.
#[test]
fn few_engines_change_at_once() {
    let now = Instant::now();
    let load = StageLoad::default();
    let mix = Mix {
        prefill_s: 0.3,
        hold_s: 1.0,
    };
    measure(&load, mix, 200, &[1.0], now);
    let changes = plan(&engines(10, 80), load.sums("writers", now));
    assert!((1..=4).contains(&changes.len()), "{}", changes.len());
}

/// Guards against requests that are sent to an engine while it changes its stage and refuses them, and against an engine that gets no
/// work for good after an order that was not carried out.
#[test]
fn changing_engine_gets_no_work_until_it_has_changed() {
    let now = Instant::now();
    let ordered = |stage| OrderedStage {
        upstream: "a".into(),
        born: 1,
        stage,
    };
    let is_available = |directory: &Directory| {
        let available = directory.available("writers").unwrap_or_default();
        !available.is_empty()
    };
    let listed = decode_instance("a");
    let mut directory = Directory::default();
    directory.apply(vec![listed.clone()], 1, now);
    assert!(!directory.mark_changing(ordered(Stage::Decode), Reach::Host, now));
    assert!(directory.mark_changing(ordered(Stage::Prefill), Reach::Host, now));
    assert!(!is_available(&directory));
    assert_eq!(directory.staying("writers").len(), 1);
    let changed = Instance {
        stage: Stage::Prefill,
        ..listed.clone()
    };
    let later = now + Duration::from_secs(6);
    directory.apply(vec![changed], 2, later);
    assert!(is_available(&directory));
    // An order that is not carried out.
    directory.apply(vec![listed.clone()], 3, later);
    directory.mark_changing(ordered(Stage::Prefill), Reach::Fleet, later);
    directory.apply(vec![listed], 4, now + Duration::from_secs(30));
    assert!(is_available(&directory));
}

proptest! {
    /// Guards against a panic, or a plan that leaves a stage without engines, on any reported sums.
    #[test]
    fn any_reported_sums_leave_engines_of_both_stages(
        values in proptest::collection::vec(proptest::num::f64::ANY, 9),
        prefill in 2usize..40,
    ) {
        let now = Instant::now();
        let load = StageLoad::default();
        let mix = Mix { prefill_s: 0.1, hold_s: 3.0 };
        measure(&load, mix, 1, &[1.0], now);
        let sums = StageSums {
            prefills: values[0],
            prompt_tokens: values[1],
            queued_tokens: values[2],
            queued_squared: values[3],
            seconds: values[4],
            queued_seconds: values[5],
            generations: values[6],
            held_tokens: values[7],
            token_seconds: values[8],
        };
        load.apply_report(&Source::Host("b".into()), &[(service(), sums)], now);
        let settled = settle(engines(prefill, 60 - prefill), load.sums("writers", now));
        prop_assert!((2..60).contains(&settled));
    }
}
