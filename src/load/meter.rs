//! Collects latencies and counts of a run.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::load::arrivals::RequestKind;
use crate::load::client::{Outcome, TimedOutcome};
use crate::load::shape::Shape;
use crate::prelude::*;
use crate::process::token_bucket::TokenBucket;

/// The target for the time to the first token.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(1);

/// The target for the time between tokens.
pub const TOKEN_GAP_TARGET: Duration = Duration::from_millis(50);

/// The minimum part of an answer's token gaps that must meet `TOKEN_GAP_TARGET`.
const GAPS_IN_TARGET: f64 = 0.95;

/// The largest time in histograms, in microseconds: 10 minutes.
const HISTOGRAM_MAX: u64 = 600_000_000;

/// The results of one customer.
#[derive(Debug, Clone)]
struct CustomerMeter {
    /// The customer's rate and burst over the whole fleet, to decide whether a request was within the limit.
    allowance: TokenBucket,
    /// The completions sent within the limit.
    sent_within_limit: u64,
    /// The completions within the limit that met both targets.
    good: u64,
}

/// Collects the results of a run.
#[derive(Debug, Clone)]
pub struct Meter {
    customers: Vec<CustomerMeter>,
    /// Times to the first token in microseconds.
    pub first_token: Histogram<u64>,
    /// Times between tokens in microseconds.
    pub token_gaps: Histogram<u64>,
    /// Times of plain calls in microseconds.
    pub call_times: Histogram<u64>,
    /// The completions sent, also those that are refused or fail.
    pub completions: u64,
    /// The completions answered completely and within both targets.
    pub good: u64,
    /// The completions answered completely.
    pub answered: u64,
    /// The prompt tokens of the completions answered completely.
    pub answered_prompt_tokens: Tokens,
    /// The requests refused with status 429.
    pub rate_limited: u64,
    /// The requests refused with another status.
    pub refused: u64,
    /// The requests sent within their customer's rate and burst.
    pub within_limit: u64,
    /// The requests refused although within their customer's rate and burst.
    pub wrongful_refusals: u64,
    /// The requests that failed and may have run.
    pub failed: u64,
    /// The answers that were truncated without an error.
    pub truncated: u64,
    /// The bookings answered.
    pub bookings: u64,
}

/// A sent request, as `Meter::record_answer` needs it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// The index of the customer in the shape.
    pub customer: usize,
    /// The kind of the request.
    pub kind: RequestKind,
    /// Whether it was within its customer's rate and burst when it was sent.
    pub within_limit: bool,
}

impl Meter {
    /// Creates a meter for a run that starts at `now`.
    ///
    /// # Panics
    /// Never: the histogram bounds are valid constants.
    pub fn new(shape: &Shape, now: Instant) -> Self {
        let histogram = || Histogram::new_with_max(HISTOGRAM_MAX, 3).expect("valid bounds");
        let customers = shape.customers.iter().map(|customer| CustomerMeter {
            allowance: TokenBucket::full(
                shape.customer_rate(customer),
                shape.customer_burst(customer),
                now,
            ),
            sent_within_limit: 0,
            good: 0,
        });
        Self {
            customers: customers.collect(),
            first_token: histogram(),
            token_gaps: histogram(),
            call_times: histogram(),
            completions: 0,
            good: 0,
            answered: 0,
            answered_prompt_tokens: 0,
            rate_limited: 0,
            refused: 0,
            within_limit: 0,
            wrongful_refusals: 0,
            failed: 0,
            truncated: 0,
            bookings: 0,
        }
    }

    /// Records a request that is sent now, and charges it to its customer's allowance.
    pub fn record_sent(&mut self, customer: usize, kind: RequestKind, now: Instant) -> SentRequest {
        let tokens = match &kind {
            RequestKind::Completion {
                prompt_tokens,
                output_tokens,
                ..
            } => prompt_tokens + Tokens::from(*output_tokens),
            RequestKind::Booking | RequestKind::StatusCheck => 1,
        };
        let entry = &mut self.customers[customer];
        let within_limit = entry.allowance.take(tokens, now).is_ok();
        self.within_limit += u64::from(within_limit);
        if matches!(kind, RequestKind::Completion { .. }) {
            self.completions += 1;
            entry.sent_within_limit += u64::from(within_limit);
        }
        SentRequest {
            customer,
            kind,
            within_limit,
        }
    }

    /// Records the outcome of a request.
    pub fn record_answer(&mut self, sent: &SentRequest, timed: &TimedOutcome) {
        match &timed.outcome {
            Outcome::Answered => self.count_answer(sent, timed),
            Outcome::Refused { status } => {
                *(if *status == 429 {
                    &mut self.rate_limited
                } else {
                    &mut self.refused
                }) += 1;
                self.wrongful_refusals += u64::from(sent.within_limit);
            }
            Outcome::Failed { cause } => {
                log::warn!("request failed: {cause}");
                self.failed += 1;
            }
            Outcome::Truncated => self.truncated += 1,
        }
    }

    fn count_answer(&mut self, sent: &SentRequest, timed: &TimedOutcome) {
        let first = timed.latency.unwrap_or_default();
        match &sent.kind {
            RequestKind::Completion {
                prompt_tokens,
                batch,
                ..
            } => {
                self.answered += 1;
                self.answered_prompt_tokens += prompt_tokens;
                self.first_token.saturating_record(micros(first));
                for gap in &timed.token_gaps {
                    self.token_gaps.saturating_record(micros(*gap));
                }
                // Batch work has no target for the first token.
                if (*batch || first <= FIRST_TOKEN_TARGET) && gaps_in_target(&timed.token_gaps) {
                    self.good += 1;
                    self.customers[sent.customer].good += u64::from(sent.within_limit);
                }
            }
            RequestKind::Booking => {
                self.bookings += 1;
                self.call_times.saturating_record(micros(first));
            }
            RequestKind::StatusCheck => self.call_times.saturating_record(micros(first)),
        }
    }

    /// Returns the lowest part, over all customers, of the completions within the limit that met both targets.
    pub fn worst_served(&self) -> f64 {
        self.customers
            .iter()
            .filter(|c| c.sent_within_limit > 0)
            .map(|c| c.good as f64 / c.sent_within_limit as f64)
            .fold(1.0, f64::min)
    }
}

fn gaps_in_target(gaps: &[Duration]) -> bool {
    let met = gaps.iter().filter(|gap| **gap <= TOKEN_GAP_TARGET).count();
    met as f64 >= gaps.len() as f64 * GAPS_IN_TARGET
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
