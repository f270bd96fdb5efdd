//! `testbed lookups`: measures the cost of a lookup in the layered cache.

use sumacvale_testbed::lookups::{LookupCost, Workload, measure};

/// The measured percentages of lookups for keys that do not exist.
const UNKNOWN_PERCENTS: [u64; 4] = [0, 2, 20, 90];

/// Measures the cost and prints one line for each percentage of unknown keys. Always returns true.
pub fn run() -> bool {
    for unknown_percent in UNKNOWN_PERCENTS {
        let cost = measure(Workload { threads: 4, lookups: 500_000, unknown_percent, lookups_per_version: 50_000 });
        print(unknown_percent, &cost);
    }
    true
}

/// Prints the cost of one workload.
fn print(unknown_percent: u64, cost: &LookupCost) {
    let percent = |count: u64| count as f64 * 100.0 / cost.sources.total() as f64;
    println!(
        "{unknown_percent:2} % unknown keys: L1 {:6.3} %  L2 {:6.3} %  fetched {:6.3} %  {} ns per lookup  cached {} values and {} misses",
        percent(cost.sources.local),
        percent(cost.sources.shared),
        percent(cost.sources.fetched),
        cost.lookup_ns,
        cost.shared_values,
        cost.shared_misses
    );
}
