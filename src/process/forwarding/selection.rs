//! The policies that choose an upstream for a call. Perform no I/O and read no clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rand::RngExt;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::load::LoadView;
use crate::process::settings::PolicyKind;

/// The kind of call for which an upstream is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A call to a plain service.
    Call,
    /// Prefilling a prompt, which another engine fetches to decode.
    Prefill,
    /// Generating tokens; the engine fetches the prefilled prompt or prefills it itself.
    Decode,
}

/// What a call requires of its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirements {
    /// The kind of call.
    pub purpose: Purpose,
    /// The engine memory of a generation or the prompt of a prefill, in tokens; 0 for plain services.
    pub tokens: Tokens,
    /// The data centre to stay in, because the call, the prefilled prompt or the decode engine is there. Upstreams elsewhere cost a
    /// penalty.
    pub preferred_data_centre: DataCentreId,
    /// The memory of one engine in tokens; 0 for plain services.
    pub kv_tokens: Tokens,
    /// The time after which other hosts' calls are reported to this one.
    pub report_delay: Duration,
}

/// An upstream that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The registered instance of the upstream.
    pub instance: Arc<Instance>,
    /// Its load when the choice began.
    pub load: LoadView,
}

/// Chooses the upstream of a call.
pub trait Selection: Send + Sync {
    /// Returns the index of the best candidate; `None` if there are no candidates.
    fn choose(&self, requirements: &Requirements, candidates: &[Candidate]) -> Option<usize>;
}

/// The settings of `PredictedTimeSelection`.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectionSettings {
    /// The prompt tokens per second that an engine is assumed to prefill until its speed was measured.
    pub initial_prefill_rate: f64,
    /// The time that a call to a plain service is assumed to take until one was measured.
    pub initial_call_time: Duration,
    /// The time by which each running generation is assumed to delay another one at the same engine.
    pub decode_slowdown: Duration,
    /// The penalty on a call to another data centre, for the network latency and the cost of the traffic.
    pub remote_call_penalty: Duration,
    /// The penalty on a prefill in another data centre.
    pub remote_prefill_penalty: Duration,
    /// The penalty on transferring a prefilled prompt to another data centre.
    pub remote_transfer_penalty: Duration,
    /// The fraction of an engine's memory above which it counts as full, and is chosen only if all others are worse.
    pub max_kv_fill: f64,
    /// The time in which the running calls of a service are assumed to be replaced by others.
    pub turnover: Duration,
    /// The time without an answer after which an upstream counts as hanging, as a multiple of the predicted time.
    pub hang_factor: f64,
    /// The lower bound of that time.
    pub min_hang_time: Duration,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            initial_prefill_rate: 50_000.0,
            initial_call_time: Duration::from_millis(15),
            decode_slowdown: Duration::from_millis(20),
            remote_call_penalty: Duration::from_millis(5),
            remote_prefill_penalty: Duration::from_millis(40),
            remote_transfer_penalty: Duration::from_millis(100),
            max_kv_fill: 0.85,
            turnover: Duration::from_millis(2500),
            hang_factor: 6.0,
            min_hang_time: Duration::from_millis(250),
        }
    }
}

/// The penalties on hanging, full, cut off and blocked upstreams, in seconds. They rank these below all other upstreams, and each
/// kind below the one before.
const HANGING_PENALTY_S: f64 = 10.0;
const FULL_PENALTY_S: f64 = 20.0;
const CUT_OFF_PENALTY_S: f64 = 50.0;
const BLOCKED_PENALTY_S: f64 = 100.0;

/// The fewest upstreams that are compared. Between two random ones, even loads that are quite old avoid the long queues.
const MIN_COMPARED: usize = 2;

/// Chooses the upstream with the shortest predicted time until the call is done, penalties included, of a random part.
///
/// Other hosts choose at the same time and see the same loads. If all of them compared all upstreams, each would send its calls to
/// the one that was best when they last reported. So the more calls begin between two reports, the fewer upstreams are compared.
#[derive(Debug, Default)]
pub struct PredictedTimeSelection {
    settings: SelectionSettings,
    /// Counts the choices, to rotate among equal candidates.
    rotation: AtomicUsize,
}

impl PredictedTimeSelection {
    /// Creates the policy; no choice was made yet.
    pub fn new(settings: SelectionSettings) -> Self {
        Self {
            settings,
            rotation: AtomicUsize::new(0),
        }
    }

    /// Returns the predicted time in seconds plus the penalties that apply to the candidate.
    fn cost(&self, requirements: &Requirements, candidate: &Candidate) -> f64 {
        let settings = &self.settings;
        let load = &candidate.load;
        let work = load.work();
        let (time, remote_penalty) = match requirements.purpose {
            Purpose::Call => {
                let time = load
                    .seconds_per_unit
                    .unwrap_or(settings.initial_call_time.as_secs_f64());
                let queue = f64::from(work.calls + 1) / f64::from(candidate.instance.slots.max(1));
                (time * (1.0 + queue), settings.remote_call_penalty)
            }
            Purpose::Prefill => {
                let seconds_per_token = load
                    .seconds_per_unit
                    .unwrap_or(1.0 / settings.initial_prefill_rate);
                let tokens = (work.tokens + requirements.tokens) as f64;
                (tokens * seconds_per_token, settings.remote_prefill_penalty)
            }
            Purpose::Decode => {
                let slowdown = settings.decode_slowdown.as_secs_f64();
                let queue = f64::from(work.calls) * slowdown;
                let time = load.seconds_per_unit.unwrap_or_default() + queue;
                (time, settings.remote_transfer_penalty)
            }
        };
        let mut cost = time;
        if candidate.instance.data_centre != requirements.preferred_data_centre {
            cost += remote_penalty.as_secs_f64();
        }
        let hang_time = (time * settings.hang_factor).max(settings.min_hang_time.as_secs_f64());
        if load.unanswered.as_secs_f64() > hang_time {
            cost += HANGING_PENALTY_S;
        }
        let filled = (work.tokens + requirements.tokens) as f64;
        if requirements.purpose == Purpose::Decode
            && filled > requirements.kv_tokens as f64 * settings.max_kv_fill
        {
            cost += FULL_PENALTY_S;
        }
        if load.is_cut_off {
            cost += CUT_OFF_PENALTY_S;
        }
        if load.is_blocked {
            cost += BLOCKED_PENALTY_S;
        }
        cost
    }
}

impl PredictedTimeSelection {
    /// Returns how many of `group` are compared.
    fn compared(&self, requirements: &Requirements, group: &[(f64, &Candidate, usize)]) -> usize {
        let running = group.iter().map(|(_, c, _)| f64::from(c.load.work().calls));
        let delay = requirements.report_delay.as_secs_f64();
        let unreported = running.sum::<f64>() * delay / self.settings.turnover.as_secs_f64();
        // The quotient is positive and at most the number of candidates.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let compared = (group.len() as f64 / unreported.max(1.0)).ceil() as usize;
        compared.max(MIN_COMPARED)
    }

    /// Returns the candidate with the lowest cost of a random part of `group`, and the cost.
    fn best_of_some(
        &self,
        requirements: &Requirements,
        group: &mut [(f64, &Candidate, usize)],
    ) -> Option<(f64, usize)> {
        let compared = self.compared(requirements, group).min(group.len());
        let mut rng = rand::rng();
        for place in 0..compared {
            let other = rng.random_range(place..group.len());
            group.swap(place, other);
        }
        let best = group[..compared]
            .iter()
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((best.0, best.2))
    }
}

impl Selection for PredictedTimeSelection {
    fn choose(&self, requirements: &Requirements, candidates: &[Candidate]) -> Option<usize> {
        // The first of equal candidates is chosen, so each choice begins at another one.
        let start = self.rotation.fetch_add(1, Ordering::Relaxed);
        let count = candidates.len();
        let rotated = (0..count).map(|i| (i + start) % count);
        let costs: Vec<_> = rotated
            .map(|i| (self.cost(requirements, &candidates[i]), &candidates[i], i))
            .collect();
        let is_sound = |(cost, _, _): &&(f64, &Candidate, usize)| *cost < HANGING_PENALTY_S;
        let is_near = |(_, candidate, _): &(f64, &Candidate, usize)| {
            candidate.instance.data_centre == requirements.preferred_data_centre
        };
        // Of the cold ones, no part is taken: few hosts may choose them, and those few should.
        let (cold, warm): (Vec<&(f64, &Candidate, usize)>, Vec<_>) = costs
            .iter()
            .filter(is_sound)
            .partition(|(_, candidate, _)| candidate.load.is_cold);
        let cold = cold.into_iter().min_by(|a, b| a.0.total_cmp(&b.0));
        let cold = cold.map(|(cost, _, i)| (*cost, *i));
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            warm.into_iter().copied().partition(|c| is_near(c));
        let near = self.best_of_some(requirements, &mut near);
        let far = self.best_of_some(requirements, &mut far);
        let sound = cold.into_iter().chain(near).chain(far);
        let best = sound.min_by(|a, b| a.0.total_cmp(&b.0));
        // Upstreams in trouble are compared in full: few choose them, and the least bad one matters.
        let fallback = || {
            let all = costs.iter().map(|(cost, _, i)| (*cost, *i));
            all.min_by(|a, b| a.0.total_cmp(&b.0))
        };
        best.or_else(fallback).map(|(_, i)| i)
    }
}

/// Chooses the upstream with the fewest calls, or each in turn: baselines for comparison.
#[derive(Debug)]
pub struct BaselineSelection {
    /// Whether to compare calls; otherwise upstreams are chosen in turn.
    by_load: bool,
    /// Counts the choices, to rotate among equal candidates.
    rotation: AtomicUsize,
}

impl Selection for BaselineSelection {
    fn choose(&self, _requirements: &Requirements, candidates: &[Candidate]) -> Option<usize> {
        let start = self.rotation.fetch_add(1, Ordering::Relaxed);
        let count = candidates.len();
        let rotated = (0..count).map(|i| (i + start) % count);
        rotated.min_by_key(|i| {
            let load = &candidates[*i].load;
            let calls = if self.by_load { load.work().calls } else { 0 };
            (load.is_blocked, calls)
        })
    }
}

/// Creates the policy of the given kind.
pub fn create(policy: PolicyKind, settings: SelectionSettings) -> Arc<dyn Selection> {
    match policy {
        PolicyKind::Joint => Arc::new(PredictedTimeSelection::new(settings)),
        PolicyKind::LeastLoaded | PolicyKind::RoundRobin => Arc::new(BaselineSelection {
            by_load: policy == PolicyKind::LeastLoaded,
            rotation: AtomicUsize::new(0),
        }),
    }
}
