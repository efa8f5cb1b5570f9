//! Policies that choose the upstreams of an attempt: the joint choice, and two baselines to compare it with.

mod joint;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::prelude::*;
use crate::process::placement::joint::{SearchLimits, cheapest_pair};
use crate::process::pool::settings::PlacementSettings;
use crate::process::stated_time::time_at_rate;

/// A predicted transfer over a decode engine's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// The time at which it is expected to start, after its wait for the link.
    pub start: Instant,
    /// The time at which it is expected to end.
    pub end: Instant,
}

/// A prefill engine that may be chosen.
#[derive(Debug, Clone)]
pub struct PrefillCandidate {
    /// The engine's configured id.
    pub id: UpstreamId,
    /// The number of attempts placed there that have not ended.
    pub running: u32,
    /// The time until the prompts that wait there are prefilled.
    pub wait: Duration,
    /// The number of this request's prompt tokens that are expected in its cache.
    pub cached: Tokens,
    /// The prefill rate, in prompt tokens per second.
    pub rate: Tokens,
}

/// A decode engine or service runner with a free slot.
#[derive(Debug, Clone)]
pub struct TargetCandidate<'a> {
    /// The upstream's configured id.
    pub id: UpstreamId,
    /// The number of requests that run there, less than `slots`.
    pub running: u32,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The rate of its link, in prompt tokens whose KV cache is transferred per second.
    pub link_rate: Tokens,
    /// The transfers expected on its link.
    pub transfers: &'a [Transfer],
}

impl PrefillCandidate {
    /// Returns the duration of the prefill of a prompt's uncached tokens.
    fn prefill_time(&self, prompt_tokens: Tokens) -> Duration {
        time_at_rate(prompt_tokens.saturating_sub(self.cached), self.rate)
    }
}

impl TargetCandidate<'_> {
    /// Returns the duration of a decode batch step with one more request.
    fn step_time(&self, settings: &PlacementSettings) -> Duration {
        let occupancy = f64::from(self.running + 1) / f64::from(self.slots.max(1));
        settings.decode_step.mul_f64(1.0 + occupancy)
    }
}

/// The input of a policy: the request and its candidates.
#[derive(Debug, Clone)]
pub struct PlacementInput<'a> {
    /// The time of the placement.
    pub now: Instant,
    /// The length of the request's prompt, in tokens; 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// The prefill engines; empty for a plain service.
    pub prefills: &'a [PrefillCandidate],
    /// The decode engines or service runners.
    pub targets: &'a [TargetCandidate<'a>],
}

/// The chosen upstreams, as indexes into the candidates of a `PlacementInput`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The index into `prefills`; `None` for a plain service.
    pub prefill: Option<usize>,
    /// The index into `targets`.
    pub target: usize,
}

/// The predicted parts of the time to the first token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Prediction {
    /// The wait at the prefill engine; zero for a plain service.
    pub queue: Duration,
    /// The prefill of the uncached tokens; zero for a plain service.
    pub prefill: Duration,
    /// The wait for the link; zero for a plain service.
    pub link_wait: Duration,
    /// The transfer of the KV cache; zero for a plain service.
    pub transfer: Duration,
    /// The decode batch step that yields the first token.
    pub step: Duration,
}

impl Prediction {
    /// Predicts the time to the first token for a choice of upstreams.
    pub fn new(settings: &PlacementSettings, input: &PlacementInput<'_>, choice: Choice) -> Self {
        let target = &input.targets[choice.target];
        let step = target.step_time(settings);
        let Some(prefill) = choice.prefill.map(|index| &input.prefills[index]) else {
            return Self {
                step,
                ..Self::default()
            };
        };
        let prefill_time = prefill.prefill_time(input.prompt_tokens);
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

    /// Returns the weighted sum of the parts, in seconds, by which the joint choice compares pairs.
    pub fn weighted_seconds(&self, settings: &PlacementSettings) -> f64 {
        settings.queue_weight * self.queue.as_secs_f64()
            + settings.prefill_weight * self.prefill.as_secs_f64()
            + settings.transfer_weight * (self.link_wait + self.transfer).as_secs_f64()
            + settings.decode_weight * self.step.as_secs_f64()
    }
}

/// Returns how long a transfer of this length that is ready at `ready` waits for transfers that overlap with it.
fn link_wait(transfers: &[Transfer], ready: Instant, length: Duration) -> Duration {
    transfers
        .iter()
        .filter(|t| t.start < ready + length && ready < t.end)
        .map(|t| t.end.saturating_duration_since(t.start.max(ready)))
        .sum()
}

/// Chooses the upstreams of a request.
pub trait Policy: Send + Sync {
    /// Returns the name of the policy, shown in tables and in the dump.
    fn name(&self) -> &'static str;
    /// Chooses upstreams; `None` if the request should keep waiting.
    fn choose(&self, settings: &PlacementSettings, input: &PlacementInput<'_>) -> Option<Choice>;
    /// Returns the best choice other than `chosen`, for the dump, even if it exceeds a limit on waits; `None` if there
    /// is no other, or if the policy doesn't rank choices.
    fn runner_up(
        &self,
        _settings: &PlacementSettings,
        _input: &PlacementInput<'_>,
        _chosen: Choice,
    ) -> Option<Choice> {
        None
    }
}

/// Chooses the pair with the lowest weighted prediction among those whose waits are within the limits.
#[derive(Debug, Default)]
pub struct JointPolicy;

impl Policy for JointPolicy {
    fn name(&self) -> &'static str {
        "joint"
    }

    fn choose(&self, settings: &PlacementSettings, input: &PlacementInput<'_>) -> Option<Choice> {
        let limits = SearchLimits {
            prefill_wait: settings.prefill_wait,
            link_wait: settings.link_wait,
            excluded: None,
        };
        cheapest_pair(settings, input, limits)
    }

    fn runner_up(
        &self,
        settings: &PlacementSettings,
        input: &PlacementInput<'_>,
        chosen: Choice,
    ) -> Option<Choice> {
        let limits = SearchLimits {
            prefill_wait: Duration::MAX,
            link_wait: Duration::MAX,
            excluded: Some(chosen),
        };
        cheapest_pair(settings, input, limits)
    }
}

/// Chooses the upstreams of each role in turn.
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

/// Chooses the upstreams with the fewest running requests, for each role on its own.
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
