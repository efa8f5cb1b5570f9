//! The choice of upstreams. Holds no I/O and reads no clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::prelude::*;
use crate::process::forwarding::directory::Instance;
use crate::process::forwarding::load::LoadView;
use crate::process::settings::PolicyKind;

/// What an upstream is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A call of a plain service.
    Call,
    /// Prefilling a prompt.
    Prefill,
    /// Generating tokens.
    Decode,
}

/// What an upstream is needed for, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirements {
    /// The purpose.
    pub purpose: Purpose,
    /// The tokens of the request.
    pub tokens: Tokens,
    /// The data centre that its bytes come from: the host's, or that of the prefilled prompt.
    pub source_data_centre: DataCentreId,
    /// The tokens that fit into one engine; 0 for plain services.
    pub kv_tokens: Tokens,
    /// The hosts that choose at the same time.
    pub host_count: usize,
}

/// An upstream to choose from.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The upstream.
    pub instance: Arc<Instance>,
    /// Its load.
    pub load: LoadView,
}

/// Chooses upstreams.
pub trait Selection: Send + Sync {
    /// Returns the index of the best candidate; `None` if there is none.
    fn choose(&self, need: &Requirements, candidates: &[Candidate]) -> Option<usize>;
}

/// The settings of `PredictedTimeSelection`.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectionSettings {
    /// The prompt tokens a second that an engine prefills, before any was measured.
    pub initial_prefill_rate: f64,
    /// The time that a call of a plain service takes, before any was measured.
    pub initial_call_time: Duration,
    /// The time that a running generation adds to another one at the same engine.
    pub decode_slowdown: Duration,
    /// What a call to another data centre is made dearer by; covers the distance and the price of the bytes.
    pub remote_call_penalty: Duration,
    /// What a prefill in another data centre is made dearer by.
    pub remote_prefill_penalty: Duration,
    /// What moving a prefilled prompt to another data centre is made dearer by.
    pub remote_transfer_penalty: Duration,
    /// The part of an engine's memory above which it gets no further request while there are others.
    pub max_kv_fill: f64,
    /// The calls of other hosts that are not reported yet, for each host; their time is spread at random over the candidates, so
    /// that many hosts don't all choose the one that was best a moment ago.
    pub unreported_calls_per_host: f64,
    /// The time without an answer after which an upstream is taken to hang: a multiple of the time expected.
    pub hang_factor: f64,
    /// The least such time.
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
            unreported_calls_per_host: 0.05,
            hang_factor: 6.0,
            min_hang_time: Duration::from_millis(250),
        }
    }
}

/// What a hanging, a full, a cut off and a failed upstream are made dearer by, in seconds: each is taken only if all others are worse.
const HANGING: f64 = 10.0;
const FULL: f64 = 20.0;
const CUT_OFF: f64 = 50.0;
const BLOCKED: f64 = 100.0;

/// Chooses by the predicted time until the upstream has done its part.
#[derive(Debug, Default)]
pub struct PredictedTimeSelection {
    settings: SelectionSettings,
    turn: AtomicUsize,
}

impl PredictedTimeSelection {
    /// Creates a choice with `settings`.
    pub fn new(settings: SelectionSettings) -> Self {
        Self {
            settings,
            turn: AtomicUsize::new(0),
        }
    }

    /// Returns the predicted time in seconds, with what makes the candidate a worse choice added.
    fn cost(&self, need: &Requirements, candidate: &Candidate) -> f64 {
        let settings = &self.settings;
        let load = &candidate.load;
        let work = load.work();
        let unreported =
            settings.unreported_calls_per_host * need.host_count as f64 * rand::random::<f64>();
        let (time, distance) = match need.purpose {
            Purpose::Call => {
                let time = load
                    .seconds_per_unit
                    .unwrap_or(settings.initial_call_time.as_secs_f64());
                let queue = f64::from(work.calls + 1) / f64::from(candidate.instance.slots.max(1));
                (
                    time * (1.0 + queue + unreported),
                    settings.remote_call_penalty,
                )
            }
            Purpose::Prefill => {
                let pace = load
                    .seconds_per_unit
                    .unwrap_or(1.0 / settings.initial_prefill_rate);
                let tokens = (work.tokens + need.tokens) as f64 + unreported * need.tokens as f64;
                (tokens * pace, settings.remote_prefill_penalty)
            }
            Purpose::Decode => {
                let share = settings.decode_slowdown.as_secs_f64();
                let calls = f64::from(work.calls) + unreported;
                let time = load.seconds_per_unit.unwrap_or_default() + calls * share;
                (time, settings.remote_transfer_penalty)
            }
        };
        let mut cost = time;
        if candidate.instance.data_centre != need.source_data_centre {
            cost += distance.as_secs_f64();
        }
        let hang = (time * settings.hang_factor).max(settings.min_hang_time.as_secs_f64());
        if load.unanswered.as_secs_f64() > hang {
            cost += HANGING;
        }
        let filled = (work.tokens + need.tokens) as f64;
        if need.purpose == Purpose::Decode && filled > need.kv_tokens as f64 * settings.max_kv_fill
        {
            cost += FULL;
        }
        if load.is_cut_off {
            cost += CUT_OFF;
        }
        if load.is_blocked {
            cost += BLOCKED;
        }
        cost
    }
}

impl Selection for PredictedTimeSelection {
    fn choose(&self, need: &Requirements, candidates: &[Candidate]) -> Option<usize> {
        // Equal candidates are taken in turn.
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let count = candidates.len();
        let in_turn = (0..count).map(|i| (i + turn) % count);
        let costs = in_turn.map(|i| (self.cost(need, &candidates[i]), i));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, i)| i)
    }
}

/// Chooses the upstream with the fewest calls, or one after the other: baselines to compare with.
#[derive(Debug)]
pub struct BaselineSelection {
    by_load: bool,
    turn: AtomicUsize,
}

impl Selection for BaselineSelection {
    fn choose(&self, _need: &Requirements, candidates: &[Candidate]) -> Option<usize> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let count = candidates.len();
        let in_turn = (0..count).map(|i| (i + turn) % count);
        in_turn.min_by_key(|i| {
            let load = &candidates[*i].load;
            let calls = if self.by_load { load.work().calls } else { 0 };
            (load.is_blocked, calls)
        })
    }
}

/// Creates the choice that the settings name.
pub fn create(policy: PolicyKind, settings: SelectionSettings) -> Arc<dyn Selection> {
    match policy {
        PolicyKind::Joint => Arc::new(PredictedTimeSelection::new(settings)),
        PolicyKind::LeastLoaded | PolicyKind::RoundRobin => Arc::new(BaselineSelection {
            by_load: policy == PolicyKind::LeastLoaded,
            turn: AtomicUsize::new(0),
        }),
    }
}
