//! Plans how many engines of a service prefill and how many decode. Performs no I/O and reads no clock.
//!
//! The plan follows from the engine time that prompts and generations take, as hosts measure it, and not from the demand of the moment: an
//! engine that changes its stage is away for seconds, longer than most bursts take to arrive. So the engines are divided as a load needs
//! that nearly fills them, and the plan changes only with what requests are like.

use std::collections::HashMap;
use std::sync::Arc;

use crate::prelude::*;
use crate::process::forwarding::directory::{Instance, Stage};
use crate::process::forwarding::stage_load::StageSums;

/// How many of a service's engines should prefill.
#[derive(Debug, Clone, PartialEq)]
pub struct StagePlanSettings {
    /// The fraction of a service's engines that should prefill until enough was measured. A prefill engine processes about 10
    /// prompts of 5,000 tokens per second; a decode engine has memory for 9 requests of 3 to 4 s each. So one prefill engine feeds
    /// nearly four decode engines.
    pub prefill_part: f64,
    /// The number of engines below which a service's engines keep their stages.
    pub min_engines: usize,
    /// The utilization at which the measured load is assumed when engines are divided.
    pub planned_utilization: f64,
    /// The difference between planned and present prefill engines, as a fraction of all engines but one engine at least, up to which
    /// engines keep their stages. Measurements vary, and an engine that changes its stage is away for seconds.
    pub tolerance: f64,
    /// The fraction of the engines that may change at once for a measured plan, as they are missing meanwhile.
    pub max_changing: f64,
}

impl Default for StagePlanSettings {
    fn default() -> Self {
        Self {
            prefill_part: 0.22,
            min_engines: 6,
            planned_utilization: 0.9,
            tolerance: 0.025,
            max_changing: 0.05,
        }
    }
}

/// What is known of a service's engines and the load on them.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// The measurements of all hosts.
    pub sums: StageSums,
    /// The memory of one engine, in tokens.
    pub kv_tokens: Tokens,
}

/// A planned change of an engine's stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageChange {
    /// The engine, with the stage that it has registered.
    pub instance: Arc<Instance>,
    /// The stage that it should change to.
    pub stage: Stage,
}

impl StagePlanSettings {
    /// Returns how many of `count` engines should prefill, and the tolerance of that number.
    fn wanted_prefill(&self, count: usize, load: &ServiceLoad) -> (f64, f64) {
        let count = count as f64;
        let measured = load
            .sums
            .prefill_seconds()
            .zip(load.sums.decode_seconds(load.kv_tokens));
        let Some((prefill, decode)) = measured else {
            return ((count * self.prefill_part).ceil(), 0.0);
        };
        let busy = count * self.planned_utilization;
        let spare = count - busy;
        let prefilling = busy * prefill / (prefill + decode);
        let decoding = busy - prefilling;
        // The load of a pool of servers varies by about the square root of what they run. A decode engine runs several requests.
        let held = load
            .sums
            .tokens_per_generation()
            .unwrap_or(load.kv_tokens as f64);
        let requests_per_engine = (load.kv_tokens as f64 / held).max(1.0);
        let prefill_spread = prefilling.sqrt();
        let decode_spread = (decoding / requests_per_engine).sqrt();
        let wanted = prefilling + spare * prefill_spread / (prefill_spread + decode_spread);
        (wanted, (count * self.tolerance).max(1.0))
    }

    /// Returns how many engines may begin to change while `changing` of `count` do.
    fn allowed_changes(&self, count: usize, changing: usize, is_measured: bool) -> usize {
        if !is_measured {
            return count;
        }
        // The count is small and not negative.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = (count as f64 * self.max_changing) as usize;
        allowed.max(1).saturating_sub(changing)
    }
}

/// Returns the engines of one service that should change their stage. `is_changing` tells which engines were ordered to change but still
/// register their old stage. Before enough was measured, too few prefill engines are left as they are.
pub fn plan_stage_changes(
    settings: &StagePlanSettings,
    engines: &[Arc<Instance>],
    load: &ServiceLoad,
    is_changing: impl Fn(&UpstreamId) -> bool,
) -> Vec<StageChange> {
    let count = engines
        .iter()
        .filter(|engine| engine.stage != Stage::Whole)
        .count();
    if count < settings.min_engines {
        return Vec::new();
    }
    let is_measured =
        load.sums.prefill_seconds().is_some() && load.sums.decode_seconds(load.kv_tokens).is_some();
    let (wanted, tolerance) = settings.wanted_prefill(count, load);
    let changing: Vec<_> = engines.iter().filter(|e| is_changing(&e.id)).collect();
    let of_stage = |stage: Stage| {
        let others = engines.iter().filter(move |e| e.stage == stage);
        others.filter(|e| !is_changing(&e.id)).collect::<Vec<_>>()
    };
    let (mut prefilling, mut decoding) = (of_stage(Stage::Prefill), of_stage(Stage::Decode));
    let arriving = changing.iter().filter(|e| e.stage == Stage::Decode).count();
    let prefill_count = prefilling.len() + arriving;
    // The count is small and not negative.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let target = (wanted.round() as usize).clamp(2, count - 1);
    let allowed = settings.allowed_changes(count, changing.len(), is_measured);
    let mut changes = Vec::new();
    let present = prefill_count as f64;
    if present > wanted + tolerance {
        for _ in (target..prefill_count).take(allowed) {
            let Some(instance) = take_from_fullest(&mut prefilling) else {
                break;
            };
            changes.push(StageChange {
                instance,
                stage: Stage::Decode,
            });
        }
    } else if is_measured && present < wanted - tolerance {
        for _ in (prefill_count..target).take(allowed) {
            let Some(instance) = take_least_served(&mut decoding, &prefilling, &changes) else {
                break;
            };
            changes.push(StageChange {
                instance,
                stage: Stage::Prefill,
            });
        }
    }
    changes
}

/// Takes a prefill engine from the data centre that has the most. Prompts are best transferred within a data centre, so each should keep a
/// prefill engine for as long as possible.
fn take_from_fullest(prefilling: &mut Vec<&Arc<Instance>>) -> Option<Arc<Instance>> {
    let counts = per_data_centre(prefilling.iter().copied());
    let rank = |i: &Arc<Instance>| (counts.get(&i.data_centre).copied(), i.id.clone());
    let most = (0..prefilling.len()).max_by_key(|i| rank(prefilling[*i]))?;
    Some(prefilling.swap_remove(most).clone())
}

/// Takes a decode engine from the data centre that has the fewest prefill engines for its decode engines.
fn take_least_served(
    decoding: &mut Vec<&Arc<Instance>>,
    prefilling: &[&Arc<Instance>],
    changes: &[StageChange],
) -> Option<Arc<Instance>> {
    let joining = changes.iter().map(|change| &change.instance);
    let prefill = per_data_centre(prefilling.iter().copied().chain(joining));
    let decode = per_data_centre(decoding.iter().copied());
    let share = |i: &Arc<Instance>| {
        let of = |counts: &HashMap<DataCentreId, usize>| {
            counts.get(&i.data_centre).copied().unwrap_or_default()
        };
        (of(&prefill) * 1000 / of(&decode).max(1), i.id.clone())
    };
    let least = (0..decoding.len()).min_by_key(|i| share(decoding[*i]))?;
    Some(decoding.swap_remove(least).clone())
}

fn per_data_centre<'a>(
    engines: impl Iterator<Item = &'a Arc<Instance>>,
) -> HashMap<DataCentreId, usize> {
    let mut counts: HashMap<DataCentreId, usize> = HashMap::new();
    for engine in engines {
        *counts.entry(engine.data_centre.clone()).or_default() += 1;
    }
    counts
}
