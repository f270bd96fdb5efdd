//! The tool `testbed hollow`: runs are deterministic, and a run has the size and traffic of its shape.

// See `src/hollow/mod.rs`; the slope of a single point is exactly zero.
#![allow(clippy::float_cmp)]

use sumacvale_core::base::SEC;
use sumacvale_testbed::hollow::{Outcome, Role, SWEEPS, Shape, fit, run};

/// Returns a small shape.
fn small() -> Shape {
    Shape { nodes: 9, tenants: 5, matches: 5, warm: 4 * SEC, secs: 3, ..Shape::default() }
}

/// Returns the sum of a column over all nodes.
fn sum(outcome: &Outcome, column: &str) -> f64 {
    outcome.rows.iter().map(|row| row.get(column) * row.count as f64).sum()
}

/// Returns all figures of a run except measured times and memory.
fn counts(outcome: &Outcome) -> Vec<String> {
    let columns = |row: &sumacvale_testbed::hollow::Row| -> Vec<String> {
        let measured = ["step_us", "step_us_most", "wire_us", "memory"];
        row.cols
            .iter()
            .filter(|column| !measured.contains(&column.0))
            .map(|column| format!("{} {:.3}", column.0, column.1))
            .collect()
    };
    let mut lines: Vec<_> =
        outcome.rows.iter().map(|row| format!("{:?} {} {:?}", row.role, row.count, columns(row))).collect();
    lines.push(format!(
        "{:?} {} {} {} {}",
        outcome.spread, outcome.stale, outcome.calls, outcome.served, outcome.workers
    ));
    lines
}

/// Guards against figures that depend on anything but the shape and the seed.
#[test]
fn counts_are_determined_by_shape_and_seed() {
    let shape = Shape { workers: 30, calls: 100, changes: 1_000, ..small() };
    let (first, second) = (run(shape), run(shape));
    assert_eq!(counts(&first), counts(&second));
    assert_ne!(counts(&first), counts(&run(Shape { seed: 2, ..shape })));
}

/// Guards against a run that measures another size or less traffic than its shape requests.
#[test]
fn a_run_has_the_nodes_workers_calls_and_changes_of_its_shape() {
    let cases = [
        Shape { workers: 30, ..small() },
        Shape { zones: 2, regions: 2, ..small() },
        Shape { calls: 200, ..small() },
        Shape { changes: 1_000, ..small() },
        Shape { cores: 5, voters: 5, zones: 5, regions: 4, changes: 500, ..small() },
    ];
    for shape in cases {
        let outcome = run(shape);
        let core_count = outcome.rows.iter().find(|row| row.role == Role::Core).map_or(0, |row| row.count);
        assert_eq!((outcome.nodes, core_count), (shape.nodes, shape.voters), "{shape:?}");
        assert_eq!(outcome.workers, shape.workers, "{shape:?}");
        assert_eq!(outcome.rows.iter().map(|row| row.count).sum::<u64>(), shape.nodes, "{shape:?}");
        assert!(
            outcome.calls.abs_diff(shape.calls * shape.secs) <= 1 && outcome.gave_up == 0,
            "{shape:?}: {outcome:?}"
        );
        assert!(outcome.served + 5 >= outcome.calls, "{shape:?}: {outcome:?}");
        assert_eq!(outcome.stale, 0, "{shape:?}");
        assert!(outcome.spread.len() as u64 + 1 >= shape.changes * shape.secs / 1_000, "{shape:?}: {outcome:?}");
        assert!(outcome.spread.iter().all(|time| *time < SEC), "{shape:?}: {:?}", outcome.spread);
        assert_eq!(sum(&outcome, "bytes_region") > 0.0, shape.regions > 1, "{shape:?}");
        assert!(sum(&outcome, "bytes_far") >= sum(&outcome, "bytes_region"), "{shape:?}");
        assert!(
            sum(&outcome, "msgs_out") > 0.0 && sum(&outcome, "bytes_out") >= sum(&outcome, "bytes_far"),
            "{shape:?}"
        );
        assert!((sum(&outcome, "msgs_out") - sum(&outcome, "msgs_in")).abs() < shape.nodes as f64 * 3.0, "{shape:?}");
    }
}

/// Guards against wrong coefficients: the points lie on a known line, power law or textbook example.
#[test]
fn a_fit_finds_base_slope_power_and_standard_error() {
    let line = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((line.base - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9 && line.error < 1e-9, "{line:?}");
    let line = fit(&[(1.0, 3.0), (2.0, 12.0), (4.0, 48.0)]);
    assert!((line.power - 2.0).abs() < 1e-9 && line.error > 0.0, "{line:?}");
    // The standard error of the slope in simple linear regression: sqrt(SSR / (n - 2) / Sxx).
    let line = fit(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)]);
    assert!((line.slope - 0.8).abs() < 1e-9 && (line.error - 0.18f64.sqrt()).abs() < 1e-9, "{line:?}");
    assert_eq!(fit(&[(2.0, 4.0)]).slope, 0.0);
}

/// Guards against runs of shapes that no fleet can have.
#[test]
fn invalid_shapes_are_rejected_and_all_sweeps_are_valid() {
    let invalid = [
        Shape { voters: 0, ..small() },
        Shape { voters: 4, ..small() },
        Shape { cores: 9, ..small() },
        Shape { beat: 0, ..small() },
        Shape { zones: 0, ..small() },
        Shape { tenants: 0, calls: 1, ..small() },
        Shape { nodes: 2_001, ..small() },
    ];
    for shape in invalid {
        assert!(shape.check().is_err(), "{shape:?}");
    }
    for sweep in SWEEPS {
        for point in sweep.points {
            assert_eq!((sweep.shape)(*point).check(), Ok(()), "{} {point}", sweep.name);
        }
    }
}
