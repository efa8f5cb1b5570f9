//! The shapes of deployments: fleet, customers and request mix.

use std::time::Duration;

use crate::command::CommandError;
use crate::emulator::engine::EngineSettings;
use crate::prelude::*;

/// A customer of a shape.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerShape {
    /// The id in the document and in keys.
    pub id: CustomerId,
    /// The customer's share of the requests, relative to the weights of the others.
    pub weight: f64,
    /// The customer's limit as a multiple of the tokens that it sends at full load; below 1 it exceeds its limit.
    pub headroom: f64,
}

/// A fleet with its customers and their request mix.
#[derive(Debug, Clone, PartialEq)]
pub struct Shape {
    /// The name for the option that selects the shape.
    pub name: &'static str,
    /// The data centres, each with the same upstreams.
    pub data_centres: Vec<DataCentreId>,
    /// The number of entry hosts in each data centre, in the order of `data_centres`.
    pub hosts: Vec<usize>,
    /// The number of prefill engines in each data centre.
    pub prefill_engines: usize,
    /// The number of decode engines in each data centre.
    pub decode_engines: usize,
    /// The number of instances of the plain service in each data centre.
    pub service_runners: usize,
    /// The settings of every engine.
    pub engine: EngineSettings,
    /// The customers, in the order to which arrivals refer by index.
    pub customers: Vec<CustomerShape>,
    /// The shortest and the longest prompt; lengths are log-uniform between them.
    pub prompt_tokens: (Tokens, Tokens),
    /// The shortest and the longest answer in tokens; lengths are log-uniform between them.
    pub output_tokens: (u32, u32),
    /// The part of the prompts that start with one of the few prefixes that their customer reuses.
    pub shared_prefix_fraction: f64,
    /// The part of the completions that have batch priority.
    pub batch_fraction: f64,
    /// The number of bookings per completion.
    pub bookings_per_completion: f64,
    /// The number of status checks per completion.
    pub status_checks_per_completion: f64,
}

/// Returns customers with these weights; the one at index `over_limit` sends more than its rate.
fn customers(weights: [f64; 5], over_limit: usize) -> Vec<CustomerShape> {
    weights
        .into_iter()
        .enumerate()
        .map(|(index, weight)| CustomerShape {
            id: format!("customer-{}", index + 1).into(),
            weight,
            headroom: if index == over_limit { 0.4 } else { 2.0 },
        })
        .collect()
}

impl Shape {
    /// Returns the shape with long station briefs, interactive answers that are needed before air, and studio bookings.
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

    /// Returns the shape with long documents queued overnight, lodgements and many status checks.
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

    /// Returns the shape of the demo: two data centres with one host each and one customer.
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
    /// Returns `Usage` with the known names if there is no such shape.
    pub fn find(name: &str) -> Result<Self, CommandError> {
        let shapes = [Self::tillicum(), Self::swanreach(), Self::demo()];
        let known = shapes.iter().map(|s| s.name).collect::<Vec<_>>().join(", ");
        let found = shapes.into_iter().find(|shape| shape.name == name);
        found.ok_or_else(|| {
            CommandError::Usage(format!("unknown shape {name:?}; known shapes are {known}"))
        })
    }

    /// Estimates the capacity of the engines in completions per second: the lower of prefill and decode capacity.
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

    /// Returns the rate limit of a customer in tokens per second: what it sends at full load times its headroom.
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

    /// Returns the burst of a customer in tokens: 5 s of its rate, and at least four of the largest requests.
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
