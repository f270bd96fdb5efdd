//! The sweep tool: same shape and seed, same counts; and what it counts is what was asked for.

// See `src/hollow/mod.rs`; a slope of one point is exactly zero.
#![allow(clippy::float_cmp)]

use sumacvale_core::base::SEC;
use sumacvale_testbed::hollow::{Outcome, Role, SWEEPS, Shape, fit, run};

fn small() -> Shape {
    Shape { nodes: 9, tenants: 5, matches: 5, warm: 4 * SEC, secs: 3, ..Shape::default() }
}

fn sum(o: &Outcome, col: &str) -> f64 {
    o.rows.iter().map(|r| r.get(col) * r.count as f64).sum()
}

/// Everything but the times of the machine that it ran on.
fn counts(o: &Outcome) -> Vec<String> {
    let cols = |r: &sumacvale_testbed::hollow::Row| -> Vec<String> {
        let timed = ["step_us", "step_us_most", "wire_us", "memory"];
        r.cols.iter().filter(|c| !timed.contains(&c.0)).map(|c| format!("{} {:.3}", c.0, c.1)).collect()
    };
    let mut v: Vec<_> = o.rows.iter().map(|r| format!("{:?} {} {:?}", r.role, r.count, cols(r))).collect();
    v.push(format!("{:?} {} {} {} {}", o.spread, o.stale, o.calls, o.served, o.workers));
    v
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let s = Shape { workers: 30, calls: 100, changes: 1_000, ..small() };
    let (a, b) = (run(s), run(s));
    assert_eq!(counts(&a), counts(&b));
    assert_ne!(counts(&a), counts(&run(Shape { seed: 2, ..s })));
}

#[test]
fn what_was_asked_for_is_there() {
    let cases = [
        Shape { workers: 30, ..small() },
        Shape { zones: 2, regions: 2, ..small() },
        Shape { calls: 200, ..small() },
        Shape { changes: 1_000, ..small() },
        Shape { cores: 5, voters: 5, zones: 5, regions: 4, changes: 500, ..small() },
    ];
    for s in cases {
        let o = run(s);
        let core = o.rows.iter().find(|r| r.role == Role::Core).map_or(0, |r| r.count);
        assert_eq!((o.nodes, core), (s.nodes, s.voters), "{s:?}");
        assert_eq!(o.workers, s.workers, "{s:?}");
        assert_eq!(o.rows.iter().map(|r| r.count).sum::<u64>(), s.nodes, "{s:?}");
        assert!(o.calls.abs_diff(s.calls * s.secs) <= 1 && o.gave_up == 0, "{s:?}: {o:?}");
        assert!(o.served + 5 >= o.calls, "{s:?}: {o:?}");
        assert_eq!(o.stale, 0, "{s:?}");
        assert!(o.spread.len() as u64 + 1 >= s.changes * s.secs / 1_000, "{s:?}: {o:?}");
        assert!(o.spread.iter().all(|t| *t < SEC), "{s:?}: {:?}", o.spread);
        assert_eq!(sum(&o, "bytes_region") > 0.0, s.regions > 1, "{s:?}");
        assert!(sum(&o, "bytes_far") >= sum(&o, "bytes_region"), "{s:?}");
        assert!(sum(&o, "msgs_out") > 0.0 && sum(&o, "bytes_out") >= sum(&o, "bytes_far"), "{s:?}");
        assert!((sum(&o, "msgs_out") - sum(&o, "msgs_in")).abs() < s.nodes as f64 * 3.0, "{s:?}");
    }
}

#[test]
fn a_line_is_found_with_its_error() {
    let f = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((f.base - 3.0).abs() < 1e-9 && (f.slope - 2.0).abs() < 1e-9 && f.error < 1e-9, "{f:?}");
    let f = fit(&[(1.0, 3.0), (2.0, 12.0), (4.0, 48.0)]);
    assert!((f.power - 2.0).abs() < 1e-9 && f.error > 0.0, "{f:?}");
    // The slope's error is that of the textbook: sqrt(rest / (n - 2) / sxx).
    let f = fit(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)]);
    assert!((f.slope - 0.8).abs() < 1e-9 && (f.error - 0.18f64.sqrt()).abs() < 1e-9, "{f:?}");
    assert_eq!(fit(&[(2.0, 4.0)]).slope, 0.0);
}

#[test]
fn sizes_that_no_fleet_has_are_refused() {
    let bad = [
        Shape { voters: 0, ..small() },
        Shape { voters: 4, ..small() },
        Shape { cores: 9, ..small() },
        Shape { beat: 0, ..small() },
        Shape { zones: 0, ..small() },
        Shape { tenants: 0, calls: 1, ..small() },
        Shape { nodes: 2_001, ..small() },
    ];
    for s in bad {
        assert!(s.check().is_err(), "{s:?}");
    }
    for a in SWEEPS {
        for x in a.points {
            assert_eq!((a.shape)(*x).check(), Ok(()), "{} {x}", a.name);
        }
    }
}
