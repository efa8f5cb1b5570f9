//! Which upstreams an attempt runs on: the joint choice, and two baselines to compare it with.

mod joint;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::prelude::*;
use crate::process::placement::joint::{Limits, cheapest};
use crate::process::pool::settings::PlacementSettings;

/// A predicted transfer over a decode engine's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// The time at which it starts.
    pub start: Instant,
    /// The time at which it ends.
    pub end: Instant,
}

/// A prefill engine that may be chosen.
#[derive(Debug, Clone)]
pub struct PrefillCandidate {
    /// The engine.
    pub id: UpstreamId,
    /// The attempts placed there.
    pub running: u32,
    /// The time until the prompts waiting there are prefilled.
    pub wait: Duration,
    /// The prompt tokens of this request that are expected in its cache.
    pub cached: Tokens,
    /// The prompt tokens that it prefills a second.
    pub rate: Tokens,
}

/// A decode engine or service runner with a free slot.
#[derive(Debug, Clone)]
pub struct TargetCandidate<'a> {
    /// The upstream.
    pub id: UpstreamId,
    /// The requests running there.
    pub running: u32,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The prompt tokens' KV cache that its link carries a second.
    pub link_rate: Tokens,
    /// The transfers expected on its link.
    pub transfers: &'a [Transfer],
}

impl PrefillCandidate {
    /// Returns the time that the prefill of a prompt's uncached tokens takes.
    fn time(&self, prompt_tokens: Tokens) -> Duration {
        time_at_rate(prompt_tokens.saturating_sub(self.cached), self.rate)
    }
}

impl TargetCandidate<'_> {
    /// Returns the time of a decode batch step with one request more.
    fn step(&self, settings: &PlacementSettings) -> Duration {
        let full = f64::from(self.running + 1) / f64::from(self.slots.max(1));
        settings.decode_step.mul_f64(1.0 + full)
    }
}

/// What is known when a request is placed.
#[derive(Debug, Clone)]
pub struct PlacementInput<'a> {
    /// The time.
    pub now: Instant,
    /// The prompt tokens.
    pub prompt_tokens: Tokens,
    /// The prefill engines; empty for a plain service.
    pub prefills: &'a [PrefillCandidate],
    /// The targets.
    pub targets: &'a [TargetCandidate<'a>],
}

/// The upstreams chosen, as indexes into `PlacementInput`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The prefill engine; `None` for a plain service.
    pub prefill: Option<usize>,
    /// The target.
    pub target: usize,
}

/// The predicted parts of the time to the first token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Prediction {
    /// The wait at the prefill engine.
    pub queue: Duration,
    /// The prefill of the uncached tokens.
    pub prefill: Duration,
    /// The wait for the link.
    pub link_wait: Duration,
    /// The transfer.
    pub transfer: Duration,
    /// The decode batch step.
    pub step: Duration,
}

impl Prediction {
    /// Predicts the time to the first token over a pair.
    pub fn new(settings: &PlacementSettings, input: &PlacementInput<'_>, choice: Choice) -> Self {
        let target = &input.targets[choice.target];
        let step = target.step(settings);
        let Some(prefill) = choice.prefill.map(|index| &input.prefills[index]) else {
            return Self {
                step,
                ..Self::default()
            };
        };
        let prefill_time = prefill.time(input.prompt_tokens);
        let transfer = time_at_rate(input.prompt_tokens, target.link_rate);
        let ready = input.now + prefill.wait + prefill_time;
        Self {
            queue: prefill.wait,
            prefill: prefill_time,
            link_wait: link_wait(target.transfers, ready, transfer),
            transfer,
            step,
        }
    }

    /// Returns the time to the first token.
    pub fn time_to_first_token(&self) -> Duration {
        self.queue + self.prefill + self.link_wait + self.transfer + self.step
    }

    /// Returns the time to the first token in weighted seconds, by which the joint choice compares pairs.
    pub fn weighted_seconds(&self, settings: &PlacementSettings) -> f64 {
        settings.queue_weight * self.queue.as_secs_f64()
            + settings.prefill_weight * self.prefill.as_secs_f64()
            + settings.transfer_weight * (self.link_wait + self.transfer).as_secs_f64()
            + settings.decode_weight * self.step.as_secs_f64()
    }
}

/// Returns the time that `tokens` take at `rate` tokens a second.
pub fn time_at_rate(tokens: Tokens, rate: Tokens) -> Duration {
    Duration::from_secs_f64(tokens as f64 / rate.max(1) as f64)
}

/// Returns how long a transfer that is ready at `ready` waits for the transfers expected at the same time.
fn link_wait(transfers: &[Transfer], ready: Instant, length: Duration) -> Duration {
    transfers
        .iter()
        .filter(|t| t.start < ready + length && ready < t.end)
        .map(|t| t.end.saturating_duration_since(t.start.max(ready)))
        .sum()
}

/// Chooses upstreams for a request.
pub trait Policy: Send + Sync {
    /// Returns the name, for tables and the dump.
    fn name(&self) -> &'static str;
    /// Chooses upstreams; `None` if the request had better wait.
    fn choose(&self, settings: &PlacementSettings, input: &PlacementInput<'_>) -> Option<Choice>;
    /// Returns the best choice other than `chosen`, for the dump, even if a limit on waits rules it out; `None` if
    /// there is none, or if the policy doesn't rank choices.
    fn runner_up(
        &self,
        _settings: &PlacementSettings,
        _facts: &PlacementInput<'_>,
        _chosen: Choice,
    ) -> Option<Choice> {
        None
    }
}

/// Chooses the pair with the least weighted prediction among those without long waits.
#[derive(Debug, Default)]
pub struct JointPolicy;

impl Policy for JointPolicy {
    fn name(&self) -> &'static str {
        "joint"
    }

    fn choose(&self, settings: &PlacementSettings, input: &PlacementInput<'_>) -> Option<Choice> {
        let limits = Limits {
            prefill_wait: settings.prefill_wait,
            link_wait: settings.link_wait,
            excluded: None,
        };
        cheapest(settings, input, limits)
    }

    fn runner_up(
        &self,
        settings: &PlacementSettings,
        input: &PlacementInput<'_>,
        chosen: Choice,
    ) -> Option<Choice> {
        let limits = Limits {
            prefill_wait: Duration::MAX,
            link_wait: Duration::MAX,
            excluded: Some(chosen),
        };
        cheapest(settings, input, limits)
    }
}

/// Chooses each upstream in turn.
#[derive(Debug, Default)]
pub struct RoundRobinPolicy {
    count: AtomicUsize,
}

impl Policy for RoundRobinPolicy {
    fn name(&self) -> &'static str {
        "round robin"
    }

    fn choose(&self, _: &PlacementSettings, input: &PlacementInput<'_>) -> Option<Choice> {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        (!input.targets.is_empty()).then(|| Choice {
            prefill: (!input.prefills.is_empty()).then(|| count % input.prefills.len()),
            target: count % input.targets.len(),
        })
    }
}

/// Chooses the upstreams with the fewest requests, one role at a time.
#[derive(Debug, Default)]
pub struct LeastLoadedPolicy;

impl Policy for LeastLoadedPolicy {
    fn name(&self) -> &'static str {
        "least loaded"
    }

    fn choose(&self, _: &PlacementSettings, input: &PlacementInput<'_>) -> Option<Choice> {
        let prefills = input.prefills.iter().enumerate();
        let targets = input.targets.iter().enumerate();
        Some(Choice {
            prefill: prefills.min_by_key(|(_, p)| p.running).map(|(i, _)| i),
            target: targets.min_by_key(|(_, t)| t.running)?.0,
        })
    }
}
