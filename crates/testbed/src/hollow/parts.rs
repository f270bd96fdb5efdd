//! What single structures cost, apart from any fleet.

use super::Shape;
use super::load::{row, tree};
use super::meter::live;
use std::time::Instant;
use sumacvale_core::base::Rng;
use sumacvale_core::config::{CompiledConfig, validate};
use sumacvale_core::placement::{PlacementTable, WorkerLoads};
use sumacvale_core::protocol::WorkerReport;

#[derive(Clone, Debug)]
pub struct Part {
    pub name: &'static str,
    pub x: u64,
    /// The best, the middle and the worst of the repeats.
    pub us: [f64; 3],
    pub bytes: i64,
}

fn time<T>(name: &'static str, x: u64, n: u64, f: impl Fn() -> T) -> Part {
    let before = live();
    let kept = f();
    let bytes = live() - before;
    drop(kept);
    let mut v: Vec<f64> = (0..n.max(1))
        .map(|_| {
            let t = Instant::now();
            let k = f();
            let us = t.elapsed().as_nanos() as f64 / 1e3;
            drop(k);
            us
        })
        .collect();
    v.sort_by(f64::total_cmp);
    Part { name, x, us: [v[0], v[v.len() / 2], v[v.len() - 1]], bytes }
}

/// The table of one pool with `x` workers: made anew, its loads read, a prefix placed.
pub fn places(x: u64, n: u64) -> Vec<Part> {
    let s = Shape { pools: 1, zones: 3, ..Shape::default() };
    let rows: Vec<WorkerReport> = (0..x).map(|k| row(&s, k, 1)).collect();
    let t = PlacementTable::new(rows.iter());
    let loads = WorkerLoads::default();
    let load = loads.current(&t);
    let mut r = Rng::new(1);
    let hs: Vec<u64> = (0..100).map(|_| r.next_u64()).collect();
    let z = rows.first().map(|r| r.zone.clone()).unwrap_or_default();
    let mut put =
        time("place_100", x, n, || hs.iter().filter_map(|h| t.choose_by_ring(*h, &z, &load, &[])).sum::<usize>());
    put.us = put.us.map(|u| u / 100.0);
    put.name = "place";
    vec![time("table", x, n, || PlacementTable::new(rows.iter())), time("loads", x, n, || loads.current(&t)), put]
}

/// A configuration of `x` tenants: judged and compiled.
pub fn plans(x: u64, n: u64) -> Vec<Part> {
    let s = Shape { tenants: x, ..Shape::default() };
    let b = tree(&s, 1);
    let mut v = vec![time("judge", x, n, || validate(&b)), time("compile", x, n, || CompiledConfig::compile(1, &b))];
    v.push(Part { name: "body", x, us: [0.0; 3], bytes: i64::try_from(b.len()).unwrap_or(0) });
    v
}
