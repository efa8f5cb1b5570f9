//! How much engine time the prompts and the generations of each service take, as all hosts measured it. Performs no I/O and reads no
//! clock.
//!
//! One host sees too few requests to tell, so hosts report decayed sums, which add up.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::prelude::*;
use crate::process::forwarding::source::{Reach, Source};
use crate::process::shard::lock;

/// The time after which a measurement counts half.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// The time for which a report counts.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// The shortest time between two reports; the sums change slowly.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The longest time of one measurement that counts in full. A longer one tells of a fault rather than of the load.
const MAX_PREFILL_TIME: Duration = Duration::from_secs(4);

/// The most services that a report tells of.
const MAX_REPORTED_SERVICES: usize = 16;

/// The largest value of a reported sum; keeps sums of many hosts finite.
const MAX_SUM: f64 = 1e15;

/// The weights of measurements from which they tell the time that prompts and generations take.
const MIN_MEASUREMENTS: f64 = 40.0;

/// Decayed sums over the prefills and generations of one service. The sums of two hosts add up to those of both.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StageSums {
    /// The number of prefills.
    pub prefills: f64,
    /// The tokens of their prompts.
    pub prompt_tokens: f64,
    /// The tokens queued at the engine when each prefill was sent, its own included.
    pub queued_tokens: f64,
    /// The squares of the queued tokens.
    pub queued_squared: f64,
    /// The seconds from sending to the answer.
    pub seconds: f64,
    /// The products of the seconds and the queued tokens.
    pub queued_seconds: f64,
    /// The number of generations.
    pub generations: f64,
    /// The tokens of engine memory of each generation.
    pub held_tokens: f64,
    /// The tokens of engine memory of each generation times the seconds for which it held them.
    pub token_seconds: f64,
}

impl StageSums {
    fn fields(&mut self) -> [&mut f64; 9] {
        [
            &mut self.prefills,
            &mut self.prompt_tokens,
            &mut self.queued_tokens,
            &mut self.queued_squared,
            &mut self.seconds,
            &mut self.queued_seconds,
            &mut self.generations,
            &mut self.held_tokens,
            &mut self.token_seconds,
        ]
    }

    fn add(&mut self, mut other: Self) {
        for (field, added) in self.fields().into_iter().zip(other.fields()) {
            *field += *added;
        }
    }

    fn scale(&mut self, factor: f64) {
        for field in self.fields() {
            *field *= factor;
        }
    }

    /// Returns these sums without values that no host can have measured.
    fn bounded(mut self) -> Self {
        for field in self.fields() {
            *field = if field.is_finite() {
                field.clamp(0.0, MAX_SUM)
            } else {
                0.0
            };
        }
        self
    }

    /// Returns the engine seconds that the prompt of an average request takes: the slope of a least-squares line through the times
    /// over the queued tokens. The constant part of each time, such as the network latency, occupies no engine.
    pub fn prefill_seconds(&self) -> Option<f64> {
        if self.prefills < MIN_MEASUREMENTS {
            return None;
        }
        let n = self.prefills;
        let spread = n * self.queued_squared - self.queued_tokens * self.queued_tokens;
        let covariance = n * self.queued_seconds - self.queued_tokens * self.seconds;
        let slope = covariance / spread;
        let seconds = slope * self.prompt_tokens / n;
        (seconds.is_finite() && seconds > 0.0).then_some(seconds)
    }

    /// Returns the tokens of engine memory that a generation holds on average.
    pub fn tokens_per_generation(&self) -> Option<f64> {
        let tokens = self.held_tokens / self.generations;
        (tokens.is_finite() && tokens > 0.0).then_some(tokens)
    }

    /// Returns the seconds for which an average request occupies a decode engine with memory for `kv_tokens`.
    pub fn decode_seconds(&self, kv_tokens: Tokens) -> Option<f64> {
        if self.generations < MIN_MEASUREMENTS || kv_tokens == 0 {
            return None;
        }
        let seconds = self.token_seconds / self.generations / kv_tokens as f64;
        (seconds.is_finite() && seconds > 0.0).then_some(seconds)
    }
}

#[derive(Debug, Default)]
struct ServiceLoad {
    own: StageSums,
    /// When `own` was last decayed.
    decayed_at: Option<Instant>,
    others: HashMap<Source, (StageSums, Instant)>,
}

impl ServiceLoad {
    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.decayed_at {
            let elapsed = now.saturating_duration_since(at).as_secs_f64();
            self.own
                .scale(0.5f64.powf(elapsed / HALF_LIFE.as_secs_f64()));
        }
        self.decayed_at = Some(now);
        self.others
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_TTL);
    }

    fn within(&self, reach: Reach) -> StageSums {
        let mut sums = self.own;
        for (source, (other, _)) in &self.others {
            let is_within = match source {
                Source::Host(_) => reach >= Reach::DataCentre,
                Source::DataCentre(_) => reach >= Reach::Fleet,
                Source::Fleet => false,
            };
            if is_within {
                sums.add(*other);
            }
        }
        sums
    }
}

/// The measurements of all services. Written once a request, so one lock suffices.
#[derive(Debug, Default)]
pub struct StageLoad {
    services: Mutex<HashMap<ModelId, ServiceLoad>>,
    /// When this host last reported its sums within each reach.
    reported: Mutex<SmallVec<[(Reach, Instant); 3]>>,
}

impl StageLoad {
    /// Records a prefill of `prompt` tokens behind `queued` tokens that took `time`.
    pub fn record_prefill(
        &self,
        service: &ModelId,
        prompt: Tokens,
        queued: Tokens,
        time: Duration,
        now: Instant,
    ) {
        let queued = queued.saturating_add(prompt) as f64;
        let seconds = time.min(MAX_PREFILL_TIME).as_secs_f64();
        let sums = StageSums {
            prefills: 1.0,
            prompt_tokens: prompt as f64,
            queued_tokens: queued,
            queued_squared: queued * queued,
            seconds,
            queued_seconds: queued * seconds,
            ..StageSums::default()
        };
        self.record(service, sums, now);
    }

    /// Records a generation that held `tokens` of engine memory for `time`.
    pub fn record_generation(
        &self,
        service: &ModelId,
        tokens: Tokens,
        time: Duration,
        now: Instant,
    ) {
        let sums = StageSums {
            generations: 1.0,
            held_tokens: tokens as f64,
            token_seconds: tokens as f64 * time.as_secs_f64(),
            ..StageSums::default()
        };
        self.record(service, sums, now);
    }

    fn record(&self, service: &ModelId, sums: StageSums, now: Instant) {
        let mut services = lock(&self.services);
        let load = services.entry(service.clone()).or_default();
        load.decay(now);
        load.own.add(sums);
    }

    /// Returns the sums of the hosts within `reach`, to report them; empty if they were reported within `REPORT_INTERVAL`, or if no
    /// host needs them: only the relays plan the stages of a large fleet.
    pub fn report(&self, reach: Reach, now: Instant) -> Vec<(ModelId, StageSums)> {
        if reach == Reach::Fleet || !self.is_report_due(reach, now) {
            return Vec::new();
        }
        let mut services = lock(&self.services);
        let mut reported = Vec::new();
        for (service, load) in services.iter_mut().take(MAX_REPORTED_SERVICES) {
            load.decay(now);
            let sums = load.within(reach);
            // What has decayed to less than one measurement tells nothing.
            if sums.prefills + sums.generations >= 1.0 {
                reported.push((service.clone(), sums));
            }
        }
        reported
    }

    fn is_report_due(&self, reach: Reach, now: Instant) -> bool {
        let mut reported = lock(&self.reported);
        let last = reported.iter_mut().find(|(known, _)| *known == reach);
        match last {
            Some((_, at)) if now.saturating_duration_since(*at) < REPORT_INTERVAL => false,
            Some((_, at)) => {
                *at = now;
                true
            }
            None => {
                reported.push((reach, now));
                true
            }
        }
    }

    /// Replaces the sums that a source has reported.
    pub fn apply_report(&self, source: &Source, report: &[(ModelId, StageSums)], now: Instant) {
        let mut services = lock(&self.services);
        for (service, sums) in report.iter().take(MAX_REPORTED_SERVICES) {
            // Services of which this host has measured nothing yet are planned by those that have.
            if let Some(load) = services.get_mut(service) {
                load.others.insert(source.clone(), (sums.bounded(), now));
            }
        }
    }

    /// Returns the sums of all hosts, as far as this host knows.
    pub fn sums(&self, service: &str, now: Instant) -> StageSums {
        let mut services = lock(&self.services);
        let Some(load) = services.get_mut(service) else {
            return StageSums::default();
        };
        load.decay(now);
        load.within(Reach::Fleet)
    }
}
