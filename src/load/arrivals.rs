//! Seeded arrivals: the same seed gives the same requests at the same times.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::load::shape::Shape;
use crate::prelude::*;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed completion.
    Completion {
        /// The tokens of the prompt.
        prompt_tokens: Tokens,
        /// The prompts of a customer with the same number start equally.
        prefix: u32,
        /// The tokens to generate.
        output_tokens: u32,
        /// Whether it is queued work.
        batch: bool,
    },
    /// A call that must run at most once.
    Booking,
    /// A repeatable call.
    StatusCheck,
}

/// A request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The time since the start of the run.
    pub at: Duration,
    /// The index of the customer in the shape.
    pub customer: usize,
    /// What it asks for.
    pub kind: RequestKind,
}

/// The number of prompt beginnings that each customer shares among its requests.
const PREFIXES: u32 = 4;

/// Draws the arrivals of a run at `rate` completions a second.
pub fn draw(shape: &Shape, rate: f64, length: Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let all = rate * (1.0 + shape.bookings_per_completion + shape.status_checks_per_completion);
    if all <= 0.0 {
        return arrivals;
    }
    loop {
        at += exponential(&mut rng, all);
        if at >= length.as_secs_f64() {
            return arrivals;
        }
        let kind = draw_kind(shape, &mut rng);
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            customer: draw_customer(shape, &mut rng),
            kind,
        });
    }
}

fn draw_kind(shape: &Shape, rng: &mut StdRng) -> RequestKind {
    let draw = rng.random::<f64>()
        * (1.0 + shape.bookings_per_completion + shape.status_checks_per_completion);
    if draw < shape.bookings_per_completion {
        return RequestKind::Booking;
    }
    if draw < shape.bookings_per_completion + shape.status_checks_per_completion {
        return RequestKind::StatusCheck;
    }
    let (low, high) = shape.prompt_tokens;
    let prompt_tokens = log_uniform(rng, low as f64, high as f64);
    let (low, high) = shape.output_tokens;
    let output_tokens = log_uniform(rng, f64::from(low), f64::from(high));
    let shared = rng.random::<f64>() < shape.shared_prefix_fraction;
    RequestKind::Completion {
        prompt_tokens,
        prefix: if shared {
            rng.random_range(0..PREFIXES)
        } else {
            rng.random()
        },
        output_tokens: u32::try_from(output_tokens).unwrap_or(u32::MAX),
        batch: rng.random::<f64>() < shape.batch_fraction,
    }
}

fn draw_customer(shape: &Shape, rng: &mut StdRng) -> usize {
    let total: f64 = shape.customers.iter().map(|c| c.weight).sum();
    let mut draw = rng.random::<f64>() * total;
    for (index, customer) in shape.customers.iter().enumerate() {
        draw -= customer.weight;
        if draw < 0.0 {
            return index;
        }
    }
    0
}

fn exponential(rng: &mut StdRng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn log_uniform(rng: &mut StdRng, low: f64, high: f64) -> u64 {
    (low.ln() + rng.random::<f64>() * (high / low).ln()).exp() as u64
}
