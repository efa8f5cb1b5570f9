//! The table of results, as text and as JSON.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::meter::Meter;
use crate::prelude::*;

/// One row of the table: a run with one policy at one load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The policy and, if given, the load as a part of the capacity.
    pub run: String,
    /// The completions per second answered within both targets.
    pub goodput: f64,
    /// The part of the sent completions that were answered within both targets.
    pub good_part: f64,
    /// The part of the prefilled tokens that contributed to no complete answer.
    pub wasted_prefill: f64,
    /// The lowest part, over all customers, of the completions within the limit that met both targets.
    pub worst_served: f64,
    /// The part of the requests within their customer's limit that were refused.
    pub wrongful_refusals: f64,
    /// The time to the first token in milliseconds: 50th, 95th and 99th percentile.
    pub first_token_ms: [f64; 3],
    /// The time between tokens in milliseconds: 50th, 95th and 99th percentile.
    pub token_gap_ms: [f64; 3],
    /// The latency of plain calls in milliseconds: 50th, 95th and 99th percentile.
    pub call_ms: [f64; 3],
    /// The completions sent, also those refused or failed.
    pub completions: u64,
    /// The requests refused with status 429, and with another status.
    pub refused: [u64; 2],
    /// The requests that failed and may have run.
    pub failed: u64,
    /// The answers that were truncated without an error; must be 0.
    pub short: u64,
    /// Whether the run was interrupted, so that the figures cover only a part of it.
    pub partial: bool,
}

impl Row {
    /// Summarizes a run that sent requests for `length` and prefilled `prefilled` tokens.
    pub fn new(
        run: String,
        meter: &Meter,
        length: Duration,
        prefilled: Tokens,
        partial: bool,
    ) -> Self {
        let completions = meter.completions.max(1) as f64;
        let wasted = prefilled.saturating_sub(meter.answered_prompt_tokens);
        Self {
            run,
            goodput: meter.good as f64 / length.as_secs_f64().max(0.001),
            good_part: meter.good as f64 / completions,
            wasted_prefill: wasted as f64 / prefilled.max(1) as f64,
            worst_served: meter.worst_served(),
            wrongful_refusals: meter.wrongful_refusals as f64 / meter.within_limit.max(1) as f64,
            first_token_ms: percentiles(&meter.first_token),
            token_gap_ms: percentiles(&meter.token_gaps),
            call_ms: percentiles(&meter.call_times),
            completions: meter.completions,
            refused: [meter.rate_limited, meter.refused],
            failed: meter.failed,
            short: meter.truncated,
            partial,
        }
    }
}

fn percentiles(times: &Histogram<u64>) -> [f64; 3] {
    [0.50, 0.95, 0.99].map(|q| times.value_at_quantile(q) as f64 / 1_000.0)
}

/// Formats rows as a text table with a header line.
pub fn text(rows: &[Row]) -> String {
    let mut table = String::new();
    let _ = writeln!(
        table,
        "{:<28} {:>8} {:>6} {:>7} {:>7} {:>8} {:>20} {:>20} {:>20} {:>6} {:>6} {:>6} {:>5}",
        "run",
        "goodput",
        "good",
        "wasted",
        "worst",
        "wrongful",
        "first ms 50/95/99",
        "gap ms 50/95/99",
        "call ms 50/95/99",
        "429",
        "refus.",
        "failed",
        "short",
    );
    for row in rows {
        let _ = writeln!(
            table,
            "{:<28} {:>8.2} {:>5.1}% {:>6.1}% {:>6.1}% {:>7.2}% {:>20} {:>20} {:>20} {:>6} {:>6} {:>6} {:>5}{}",
            row.run,
            row.goodput,
            row.good_part * 100.0,
            row.wasted_prefill * 100.0,
            row.worst_served * 100.0,
            row.wrongful_refusals * 100.0,
            join(row.first_token_ms),
            join(row.token_gap_ms),
            join(row.call_ms),
            row.refused[0],
            row.refused[1],
            row.failed,
            row.short,
            if row.partial { "  (partial)" } else { "" },
        );
    }
    table
}

fn join(values: [f64; 3]) -> String {
    values.map(|v| format!("{v:.1}")).join("/")
}

/// Formats rows as a JSON array.
pub fn json(rows: &[Row]) -> String {
    serde_json::to_string_pretty(rows).unwrap_or_default()
}
