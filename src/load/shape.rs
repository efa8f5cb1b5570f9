//! The shapes of deployments: fleets, customers and requests.

use std::time::Duration;

use crate::command::CommandError;
use crate::emulator::engine::EngineSettings;
use crate::prelude::*;

/// A customer of a shape.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerShape {
    /// The customer.
    pub id: CustomerId,
    /// The part of the completions that it sends, as a weight.
    pub weight: f64,
    /// Its limit as a multiple of what it sends at full load; below 1 it sends more than its rate.
    pub headroom: f64,
}

/// A fleet with its customers and their requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Shape {
    /// The name.
    pub name: &'static str,
    /// The data centres.
    pub data_centres: Vec<DataCentreId>,
    /// The entry hosts in each data centre.
    pub hosts: Vec<usize>,
    /// The prefill engines in each data centre.
    pub prefill_engines: usize,
    /// The decode engines in each data centre.
    pub decode_engines: usize,
    /// The runners of the plain service in each data centre.
    pub service_runners: usize,
    /// The engines.
    pub engine: EngineSettings,
    /// The customers.
    pub customers: Vec<CustomerShape>,
    /// The shortest and longest prompt in tokens.
    pub prompt_tokens: (Tokens, Tokens),
    /// The shortest and longest answer in tokens.
    pub output_tokens: (u32, u32),
    /// The part of prompts that start as an earlier one of the same customer does.
    pub shared_prefix_fraction: f64,
    /// The part of completions that are queued work.
    pub batch_fraction: f64,
    /// The bookings for each completion.
    pub bookings_per_completion: f64,
    /// The status checks for each completion.
    pub status_checks_per_completion: f64,
}

fn customers(weights: [f64; 5], over: usize) -> Vec<CustomerShape> {
    weights
        .into_iter()
        .enumerate()
        .map(|(index, weight)| CustomerShape {
            id: format!("customer-{}", index + 1).into(),
            weight,
            headroom: if index == over { 0.4 } else { 2.0 },
        })
        .collect()
}

impl Shape {
    /// Long station briefs, answers awaited before air, studio bookings.
    pub fn tillicum() -> Self {
        Self {
            name: "tillicum",
            data_centres: ["a", "b", "c", "d"].map(Name::from).into(),
            hosts: vec![2, 2, 2, 2],
            prefill_engines: 2,
            decode_engines: 2,
            service_runners: 1,
            engine: EngineSettings {
                token_interval: Duration::from_millis(20),
                ..EngineSettings::default()
            },
            customers: customers([8.0, 6.0, 2.0, 1.0, 1.0], 1),
            prompt_tokens: (1_000, 8_000),
            output_tokens: (60, 200),
            shared_prefix_fraction: 0.5,
            batch_fraction: 0.0,
            bookings_per_completion: 0.2,
            status_checks_per_completion: 0.5,
        }
    }

    /// Long documents queued overnight, lodgements, many status checks.
    pub fn swanreach() -> Self {
        Self {
            name: "swanreach",
            hosts: vec![2, 2, 2, 3],
            prefill_engines: 2,
            decode_engines: 1,
            customers: customers([6.0, 5.0, 1.0, 1.0, 1.0], 4),
            prompt_tokens: (2_000, 16_000),
            output_tokens: (40, 120),
            shared_prefix_fraction: 0.2,
            batch_fraction: 0.8,
            bookings_per_completion: 0.1,
            status_checks_per_completion: 2.0,
            ..Self::tillicum()
        }
    }

    /// Two data centres with one host each, for a first look.
    pub fn demo() -> Self {
        Self {
            name: "demo",
            data_centres: ["a", "b"].map(Name::from).into(),
            hosts: vec![1, 1],
            engine: EngineSettings::default(),
            customers: vec![CustomerShape {
                id: "demo".into(),
                weight: 1.0,
                headroom: 2.0,
            }],
            ..Self::tillicum()
        }
    }

    /// Returns the shape with this name.
    ///
    /// # Errors
    /// Returns `Usage` with the known names.
    pub fn find(name: &str) -> Result<Self, CommandError> {
        let shapes = [Self::tillicum(), Self::swanreach(), Self::demo()];
        let known = shapes.iter().map(|s| s.name).collect::<Vec<_>>().join(", ");
        let found = shapes.into_iter().find(|shape| shape.name == name);
        found.ok_or_else(|| {
            CommandError::Usage(format!("unknown shape {name:?}; known shapes are {known}"))
        })
    }

    /// Estimates the completions a second that the engines carry: the lower of prefill and decode capacity.
    pub fn capacity(&self) -> f64 {
        let fleet = self.data_centres.len() as f64;
        let prompt = log_mean(self.prompt_tokens.0 as f64, self.prompt_tokens.1 as f64);
        let output = log_mean(
            f64::from(self.output_tokens.0),
            f64::from(self.output_tokens.1),
        );
        let prefills = self.prefill_engines as f64 * self.engine.prefill_rate as f64 / prompt;
        let seconds = output * self.engine.token_interval.as_secs_f64();
        let streams = (self.decode_engines * self.engine.slots) as f64 / seconds;
        fleet * prefills.min(streams)
    }

    /// Returns the rate of a customer in tokens a second: what it sends at full load times its headroom.
    pub fn customer_rate(&self, customer: &CustomerShape) -> Tokens {
        let total: f64 = self.customers.iter().map(|c| c.weight).sum();
        let prompt = log_mean(self.prompt_tokens.0 as f64, self.prompt_tokens.1 as f64);
        let output = log_mean(
            f64::from(self.output_tokens.0),
            f64::from(self.output_tokens.1),
        );
        let tokens = self.capacity() * customer.weight / total * (prompt + output);
        to_tokens(tokens * customer.headroom)
    }

    /// Returns the burst of a customer in tokens: several seconds of its rate, and at least four of the
    /// largest requests.
    pub fn customer_burst(&self, customer: &CustomerShape) -> Tokens {
        let largest = self.prompt_tokens.1 + Tokens::from(self.output_tokens.1);
        (self.customer_rate(customer) * 5).max(largest * 4)
    }
}

/// Returns the mean of a log-uniform distribution.
fn log_mean(low: f64, high: f64) -> f64 {
    if high <= low {
        return low;
    }
    (high - low) / (high / low).ln()
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_tokens(value: f64) -> Tokens {
    value.max(1.0) as Tokens
}
