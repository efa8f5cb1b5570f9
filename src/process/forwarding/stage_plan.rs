//! Plans how many engines of a service prefill and how many decode. Performs no I/O and reads no clock.

use std::collections::HashMap;
use std::sync::Arc;

use crate::prelude::*;
use crate::process::forwarding::directory::{Instance, Stage};

/// How many of a service's engines should prefill.
#[derive(Debug, Clone, PartialEq)]
pub struct StagePlanSettings {
    /// The fraction of a service's engines that should prefill. A prefill engine processes about 10 prompts of 5,000 tokens per
    /// second; a decode engine has memory for 9 requests of 3 to 4 s each. So one prefill engine feeds nearly four decode engines.
    pub prefill_part: f64,
    /// The number of engines below which a service's engines keep their stages.
    pub min_engines: usize,
}

impl Default for StagePlanSettings {
    fn default() -> Self {
        Self {
            prefill_part: 0.22,
            min_engines: 6,
        }
    }
}

/// A planned change of an engine's stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageChange {
    /// The engine, with the stage that it has registered.
    pub instance: Arc<Instance>,
    /// The stage that it should change to.
    pub stage: Stage,
}

/// Returns the engines of one service that should change from prefill to decode; too few prefill engines are left as they are.
/// `is_changing` tells which engines were ordered to change but still register their old stage.
pub fn plan_stage_changes(
    settings: &StagePlanSettings,
    engines: &[Arc<Instance>],
    is_changing: impl Fn(&UpstreamId) -> bool,
) -> Vec<StageChange> {
    let mut prefilling: Vec<_> = engines
        .iter()
        .filter(|engine| engine.stage == Stage::Prefill)
        .collect();
    prefilling.retain(|engine| !is_changing(&engine.id));
    let count = engines
        .iter()
        .filter(|engine| engine.stage != Stage::Whole)
        .count();
    if count < settings.min_engines {
        return Vec::new();
    }
    // The count is small and not negative.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let wanted = ((count as f64 * settings.prefill_part).ceil() as usize).max(2);
    let mut changes = Vec::new();
    while prefilling.len() > wanted {
        // The data centre with the most prefill engines gives one up. Prompts are best transferred within a data centre, so each
        // should keep a prefill engine for as long as possible.
        let mut per_data_centre: HashMap<DataCentreId, usize> = HashMap::new();
        for instance in &prefilling {
            *per_data_centre
                .entry(instance.data_centre.clone())
                .or_default() += 1;
        }
        let rank = |i: &Arc<Instance>| (per_data_centre.get(&i.data_centre).copied(), i.id.clone());
        let Some(most) = (0..prefilling.len()).max_by_key(|i| rank(prefilling[*i])) else {
            break;
        };
        changes.push(StageChange {
            instance: prefilling.swap_remove(most).clone(),
            stage: Stage::Decode,
        });
    }
    changes
}
