//! How many engines prefill and how many decode. Holds no I/O and reads no clock.

use std::collections::HashMap;
use std::sync::Arc;

use crate::prelude::*;
use crate::process::forwarding::directory::{Instance, Stage};

/// The settings of the division of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct StagePlanSettings {
    /// The part of a service's engines that prefills. A prefill engine reads about 10 prompts of 5,000 tokens a second; a
    /// decode engine has memory for 9 requests, which take 3 to 4 s each. So one feeds nearly four.
    pub prefill_part: f64,
    /// The fewest engines of a service whose division is changed.
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

/// An engine whose stage should change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub instance: Arc<Instance>,
    /// The stage that it should have.
    pub stage: Stage,
}

/// Returns the changes that bring the engines of one service to the division wanted. Those for which `is_changing` holds are
/// about to leave the stage that they registered.
pub fn plan_stage_changes(
    settings: &StagePlanSettings,
    takers: &[Arc<Instance>],
    is_changing: impl Fn(&UpstreamId) -> bool,
) -> Vec<StageChange> {
    let mut left: Vec<_> = takers
        .iter()
        .filter(|taker| taker.stage == Stage::Prefill)
        .collect();
    left.retain(|taker| !is_changing(&taker.id));
    let engines = takers
        .iter()
        .filter(|taker| taker.stage != Stage::Whole)
        .count();
    if engines < settings.min_engines {
        return Vec::new();
    }
    // The count is small and not negative.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let wanted = ((engines as f64 * settings.prefill_part).ceil() as usize).max(2);
    let mut changes = Vec::new();
    while left.len() > wanted {
        // Prompts are moved within a data centre where possible, so that each keeps an engine as long as it can.
        let mut count: HashMap<DataCentreId, usize> = HashMap::new();
        for instance in &left {
            *count.entry(instance.data_centre.clone()).or_default() += 1;
        }
        let rank = |i: &Arc<Instance>| (count.get(&i.data_centre).copied(), i.id.clone());
        let Some(most) = (0..left.len()).max_by_key(|i| rank(left[*i])) else {
            break;
        };
        changes.push(StageChange {
            instance: left.swap_remove(most).clone(),
            stage: Stage::Decode,
        });
    }
    changes
}
