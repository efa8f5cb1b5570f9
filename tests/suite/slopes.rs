//! The measurements behind the capacity page: that they run, and that lines are fitted right.

use hibiscusspread::load::slopes::fit::Line;
use hibiscusspread::load::slopes::probe::RetainedObjects;
use hibiscusspread::load::slopes::table::{Series, json, text};
use hibiscusspread::load::slopes::{Sizes, roles};

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

/// Guards against a wrong slope: points on a line must give it back exactly.
#[test]
fn points_on_a_line_give_the_line() {
    let line = Line::fit(&[(9.0, 25.0), (100.0, 207.0), (390.0, 787.0)]).expect("three sizes");
    assert!(close(line.slope, 2.0), "{line:?}");
    assert!(close(line.intercept, 7.0), "{line:?}");
    assert!(close(line.residual, 0.0), "{line:?}");
    assert!(close(line.at(1_000.0), 2_007.0), "{line:?}");
}

/// Guards against a residual that hides a bent curve. Worked by hand: through (0, 0), (1, 3) and (2, 0) the best line
/// is flat at 1, and its distances are 1, 2 and 1.
#[test]
fn points_beside_the_line_give_the_residual() {
    let line = Line::fit(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).expect("three sizes");
    assert!(close(line.slope, 0.0), "{line:?}");
    assert!(close(line.intercept, 1.0), "{line:?}");
    assert!(close(line.residual, 2.0_f64.sqrt()), "{line:?}");
}

/// Guards against a slope from too few sizes, which would be a division by zero.
#[test]
fn one_size_gives_no_line() {
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(Line::fit(&[(5.0, 1.0), (5.0, 2.0)]), None);
}

/// Guards against a role whose measurement no longer runs. The values themselves depend on the machine.
#[test]
fn every_role_is_measured_at_tiny_sizes() {
    let sizes = Sizes::tiny();
    let mut retained = RetainedObjects::default();
    let mut all: Vec<Series> = Vec::new();
    for role in roles() {
        let memory = role.memory(&sizes, &mut retained);
        let memory = memory.unwrap_or_else(|e| panic!("{}: {e}", role.role()));
        let work = role.work(&sizes, 1);
        let work = work.unwrap_or_else(|e| panic!("{}: {e}", role.role()));
        assert!(!work.is_empty(), "{} has no series", role.role());
        for series in memory.into_iter().chain(work) {
            assert_eq!(series.role, role.role());
            assert!(!series.points.is_empty(), "{series:?}");
            let finite = |(size, value): &(f64, f64)| size.is_finite() && value.is_finite();
            assert!(series.points.iter().all(finite), "{series:?}");
            all.push(series);
        }
    }
    assert_eq!(text(&all).lines().count(), all.len() + 1);
    let rows: Vec<serde_json::Value> = serde_json::from_str(&json(&all)).expect("JSON");
    assert_eq!(rows.len(), all.len());
}
