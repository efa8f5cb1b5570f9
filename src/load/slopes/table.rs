//! The table of measured quantities, as text and as JSON.

use std::fmt::Write as _;

use serde::Serialize;
use serde_json::{Value, json};

use crate::load::slopes::fit::Line;

/// How a value was determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// Processor time from `schedstat`; the median of several runs.
    Cpu,
    /// Growth of the resident set from `statm`.
    Resident,
    /// Wall time.
    Wall,
    /// Exact count of messages, encoded bytes or store calls.
    Counted,
    /// Computed from the constants in the code.
    Computed,
}

impl Method {
    fn name(self) -> &'static str {
        match self {
            Self::Cpu => "cpu",
            Self::Resident => "rss",
            Self::Wall => "wall",
            Self::Counted => "counted",
            Self::Computed => "computed",
        }
    }
}

/// The values of one quantity of a role at several sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// The name of the role.
    pub role: &'static str,
    /// The quantity, with its unit.
    pub quantity: &'static str,
    /// What the sizes count.
    pub size: &'static str,
    /// How the values were determined.
    pub method: Method,
    /// The points (size, value).
    pub points: Vec<(f64, f64)>,
}

impl Series {
    /// Creates a series without points.
    pub fn new(
        role: &'static str,
        quantity: &'static str,
        size: &'static str,
        method: Method,
    ) -> Self {
        Self {
            role,
            quantity,
            size,
            method,
            points: Vec::new(),
        }
    }

    /// Adds the value measured at `size`.
    pub fn push(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }
}

/// Formats the table as text with a header line.
pub fn text(series: &[Series]) -> String {
    let mut out = format!(
        "{:<13} {:<44} {:<10} {:<8} {:<64} {:>12} {:>12} {:>10}\n",
        "role", "quantity", "size", "method", "size:value", "at 0", "slope", "residual"
    );
    for one in series {
        let points: Vec<_> = one
            .points
            .iter()
            .map(|(size, value)| format!("{size}:{}", format_value(*value)))
            .collect();
        let line = Line::fit(&one.points);
        let part = |part: fn(&Line) -> f64| {
            line.as_ref()
                .map_or("-".to_owned(), |l| format_value(part(l)))
        };
        let _ = writeln!(
            out,
            "{:<13} {:<44} {:<10} {:<8} {:<64} {:>12} {:>12} {:>10}",
            one.role,
            one.quantity,
            one.size,
            one.method.name(),
            points.join(" "),
            part(|l| l.intercept),
            part(|l| l.slope),
            part(|l| l.residual),
        );
    }
    out
}

/// Formats the table as a JSON array.
pub fn json(series: &[Series]) -> String {
    let rows: Vec<Value> = series
        .iter()
        .map(|one| {
            let line = Line::fit(&one.points);
            json!({
                "role": one.role,
                "quantity": one.quantity,
                "size": one.size,
                "method": one.method,
                "points": one.points,
                "intercept": line.map(|l| l.intercept),
                "slope": line.map(|l| l.slope),
                "residual": line.map(|l| l.residual),
            })
        })
        .collect();
    serde_json::to_string_pretty(&rows).unwrap_or_default()
}

/// Formats a value with about four significant digits.
fn format_value(value: f64) -> String {
    let size = value.abs();
    let digits = match size {
        _ if size >= 1_000.0 || value == 0.0 => 0,
        _ if size >= 10.0 => 1,
        _ if size >= 0.1 => 3,
        _ => 6,
    };
    format!("{value:.digits$}")
}
