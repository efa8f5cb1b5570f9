//! The table of a run, as text and as JSON.

use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::meter::Meter;
use crate::prelude::*;

/// One line of the table: a run under one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The policy and, where given, the load as a part of capacity.
    pub run: String,
    /// The completions a second answered within both targets.
    pub goodput: f64,
    /// The part of completions sent that were answered within both targets.
    pub good_part: f64,
    /// The part of prefilled tokens that served no whole answer.
    pub wasted_prefill: f64,
    /// The lowest part, over customers, of completions inside the rate that met both targets.
    pub worst_served: f64,
    /// The part of requests inside their customer's rate that were refused.
    pub wrongful_refusals: f64,
    /// The time to the first token in milliseconds: 50th, 95th and 99th percentile.
    pub first_token_ms: [f64; 3],
    /// The time between tokens in milliseconds: 50th, 95th and 99th percentile.
    pub token_gap_ms: [f64; 3],
    /// The time of plain calls in milliseconds: 50th, 95th and 99th percentile.
    pub call_ms: [f64; 3],
    /// The completions sent.
    pub completions: u64,
    /// The requests refused by 429, and otherwise.
    pub refused: [u64; 2],
    /// The requests that failed after they may have run.
    pub failed: u64,
    /// The answers that ended short without an error; must be 0.
    pub short: u64,
    /// Whether the run was interrupted, so that the figures cover a part of it.
    pub partial: bool,
}

impl Row {
    /// Sums up a run that took `length` and prefilled `prefilled` tokens.
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

/// Writes rows as a table.
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

/// Writes rows as JSON.
pub fn json(rows: &[Row]) -> String {
    serde_json::to_string_pretty(rows).unwrap_or_default()
}
