//! `testbed bounds`: what ways to bound a quota admit and refuse.

use sumacvale_testbed::bounds::{Arrivals, QuotaBound, measure};

/// The arrivals that every bound is measured with.
const ARRIVALS: [Arrivals; 7] = [
    Arrivals { quota_percent: 50, bursts: false },
    Arrivals { quota_percent: 75, bursts: false },
    Arrivals { quota_percent: 90, bursts: false },
    Arrivals { quota_percent: 100, bursts: false },
    Arrivals { quota_percent: 200, bursts: false },
    Arrivals { quota_percent: 50, bursts: true },
    Arrivals { quota_percent: 100, bursts: true },
];

const BOUNDS: [QuotaBound; 4] = [QuotaBound::Fixed, QuotaBound::Parts(5), QuotaBound::Parts(10), QuotaBound::Exact];

const SEED: u64 = 1;

/// Measures and prints one line for each arrival pattern and bound; always passed.
pub fn run() -> bool {
    for arrivals in ARRIVALS {
        for bound in BOUNDS {
            let admissions = measure(bound, arrivals, SEED);
            println!(
                "{} {:3} % of the quota, {bound:?}: refused {:5.1} %, worst interval {} of 60",
                if arrivals.bursts { "bursts" } else { "steady" },
                arrivals.quota_percent,
                admissions.refused as f64 * 100.0 / admissions.calls as f64,
                admissions.most_per_window
            );
        }
    }
    true
}
