use super::fit::fit;
use super::tally::Role;
use super::{Fit, Outcome, Shape, run};
use std::fmt::Write;
use sumacvale_core::base::SEC;

/// One size that grows while all else stays.
pub struct Axis {
    pub name: &'static str,
    pub unit: &'static str,
    pub points: &'static [u64],
    pub shape: fn(u64) -> Shape,
}

fn quota() -> Shape {
    Shape { calls: 400, tenants: 50, ..Shape::default() }
}

fn regions() -> Shape {
    Shape { zones: 11, regions: 4, ..Shape::default() }
}

pub const SWEEPS: &[Axis] = &[
    Axis {
        name: "nodes",
        unit: "nodes",
        points: &[20, 40, 80, 160, 320],
        shape: |x| Shape { nodes: x, workers: 100, ..Shape::default() },
    },
    Axis {
        name: "zones",
        unit: "zones",
        points: &[1, 3, 6, 11],
        shape: |x| Shape { nodes: 88, workers: 400, zones: x, secs: 5, ..Shape::default() },
    },
    Axis {
        name: "workers",
        unit: "workers",
        points: &[100, 400, 1_600, 4_000, 12_000],
        shape: |x| Shape { workers: x, warm: 4 * SEC, secs: 3, ..Shape::default() },
    },
    Axis {
        name: "pools",
        unit: "pools",
        points: &[1, 5, 25],
        shape: |x| Shape { nodes: 48, workers: 500, pools: x, ..Shape::default() },
    },
    Axis {
        name: "tenants",
        unit: "tenants",
        points: &[20, 100, 400, 1_600],
        shape: |x| Shape { tenants: x, changes: 1_000, ..Shape::default() },
    },
    Axis {
        name: "matches",
        unit: "matches",
        points: &[25, 250, 1_000, 5_000],
        shape: |x| Shape { matches: x, changes: 500, ..Shape::default() },
    },
    Axis {
        name: "changes",
        unit: "changes in 1,000 s",
        points: &[100, 500, 1_000, 2_000, 5_000],
        shape: |x| Shape { tenants: 100, changes: x, secs: 20, ..Shape::default() },
    },
    Axis {
        name: "calls",
        unit: "calls a second",
        points: &[50, 200, 800, 3_200],
        shape: |x| Shape { calls: x, ..quota() },
    },
    Axis {
        name: "call-tenants",
        unit: "tenants that share 400 calls a second",
        points: &[10, 50, 200, 800, 1_600],
        shape: |x| Shape { tenants: x, ..quota() },
    },
    Axis {
        name: "call-nodes",
        unit: "nodes that share 400 calls a second",
        points: &[12, 24, 48, 96, 192],
        shape: |x| Shape { nodes: x, ..quota() },
    },
    Axis {
        name: "voters",
        unit: "voters in 4 regions",
        points: &[3, 5, 7, 9, 11],
        shape: |x| Shape { voters: x, cores: x, nodes: 44, changes: 500, secs: 20, calls: 200, ..regions() },
    },
    Axis {
        name: "whole",
        unit: "percent of the two-year size",
        points: &[3, 5, 10, 20],
        shape: |x| Shape {
            nodes: 320 * x / 100,
            cores: (20 * x / 100).max(5),
            voters: 5,
            workers: 12_000 * x / 100,
            pools: 25,
            tenants: 1_600 * x / 100,
            matches: 100,
            calls: 21_000 * x / 100,
            changes: 170,
            warm: 5 * SEC,
            secs: 4,
            ..regions()
        },
    },
];

pub struct Run {
    pub x: u64,
    pub repeat: u64,
    pub out: Outcome,
}

pub fn sweep(a: &Axis, repeats: u64, most: u64, mut seen: impl FnMut(&Run)) -> Vec<Run> {
    let mut v = Vec::new();
    for x in a.points.iter().filter(|x| **x <= most) {
        for repeat in 0..repeats {
            let r = Run { x: *x, repeat, out: run(Shape { seed: 1 + repeat, ..(a.shape)(*x) }) };
            seen(&r);
            v.push(r);
        }
    }
    v
}

/// The points of one column of one role.
pub fn points(rs: &[Run], role: Role, col: &str) -> Vec<(f64, f64)> {
    let of = |r: &Run| r.out.rows.iter().find(|w| w.role == role).map(|w| (r.x as f64, w.get(col)));
    rs.iter().filter_map(of).collect()
}

pub fn fits(rs: &[Run]) -> Vec<(Role, &'static str, Fit)> {
    let mut v = Vec::new();
    let cols: Vec<_> = rs.first().and_then(|r| r.out.rows.first()).map(|w| w.cols.clone()).unwrap_or_default();
    for role in [Role::Core, Role::Home, Role::Other] {
        for (c, _) in &cols {
            let p = points(rs, role, c);
            if p.len() > 1 && p.iter().any(|p| p.1 > 0.0) {
                v.push((role, *c, fit(&p)));
            }
        }
    }
    v
}

/// Every run as a line for each role.
pub fn csv(a: &Axis, rs: &[Run]) -> String {
    let mut s = String::new();
    for r in rs {
        for w in &r.out.rows {
            if s.is_empty() {
                s.push_str("sweep,x,repeat,role,count");
                w.cols.iter().for_each(|c| {
                    let _ = write!(s, ",{}", c.0);
                });
                s.push_str(",spread_p50_ms,spread_most_ms,stale,calls,served,gave_up,workers_seen,nodes_seen,body_bytes,wall_ms\n");
            }
            let _ = write!(s, "{},{},{},{:?},{}", a.name, r.x, r.repeat, w.role, w.count);
            for c in &w.cols {
                let _ = write!(s, ",{:.1}", c.1);
            }
            let o = &r.out;
            let mut sp = o.spread.clone();
            sp.sort_unstable();
            let at = |i: usize| sp.get(i).map_or(0.0, |u| *u as f64 / 1e3);
            let _ = writeln!(
                s,
                ",{:.1},{:.1},{},{},{},{},{},{},{},{}",
                at(sp.len() / 2),
                at(sp.len().saturating_sub(1)),
                o.stale,
                o.calls,
                o.served,
                o.gave_up,
                o.workers,
                o.nodes,
                o.body,
                o.wall_ms
            );
        }
    }
    s
}

pub fn csv_fits(a: &Axis, rs: &[Run]) -> String {
    let mut s = "sweep,role,column,base,slope,slope_error,power,power_error\n".to_owned();
    for (r, c, f) in fits(rs) {
        let _ = writeln!(
            s,
            "{},{r:?},{c},{:.3},{:.5},{:.5},{:.3},{:.3}",
            a.name, f.base, f.slope, f.error, f.power, f.power_error
        );
    }
    s
}
