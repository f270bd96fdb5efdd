//! `testbed bounds`: compares how quota bounds admit and reject calls.

use sumacvale_testbed::bounds::{Arrivals, QuotaBound, measure};

/// The arrival patterns that each bound is measured with.
const ARRIVALS: [Arrivals; 7] = [
    Arrivals { quota_percent: 50, bursts: false },
    Arrivals { quota_percent: 75, bursts: false },
    Arrivals { quota_percent: 90, bursts: false },
    Arrivals { quota_percent: 100, bursts: false },
    Arrivals { quota_percent: 200, bursts: false },
    Arrivals { quota_percent: 50, bursts: true },
    Arrivals { quota_percent: 100, bursts: true },
];

/// The bounds that are compared.
const BOUNDS: [QuotaBound; 4] = [QuotaBound::Fixed, QuotaBound::Parts(5), QuotaBound::Parts(10), QuotaBound::Exact];

/// The seed of the drawn arrivals.
const SEED: u64 = 1;

/// Measures each bound with each arrival pattern and prints one line for each pair. Always returns true.
pub fn run() -> bool {
    for arrivals in ARRIVALS {
        for bound in BOUNDS {
            let admissions = measure(bound, arrivals, SEED);
            println!(
                "{} {:3} % of the quota, {bound:?}: rejected {:5.1} %, worst interval {} of 60",
                if arrivals.bursts { "bursts" } else { "steady" },
                arrivals.quota_percent,
                admissions.rejected as f64 * 100.0 / admissions.calls as f64,
                admissions.most_per_window
            );
        }
    }
    true
}
