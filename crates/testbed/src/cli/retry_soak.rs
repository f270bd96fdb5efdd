//! `testbed retry-soak`: soaks the retry budget of processes on loopback, one seed after the other.

use super::fleet_runtime;
use super::options::Arguments;
use sumacvale_testbed::fleet::{FleetSpec, RetrySoak, RetrySoakOutcome, run_retry_soak};

/// Runs the soaks and prints their results. Returns true if no allowance was exceeded.
pub fn run(arguments: &Arguments) -> bool {
    let deployment = arguments.deployment(FleetSpec::named);
    let spec = FleetSpec { fronts: arguments.count("fronts", deployment.fronts), ..deployment };
    let seconds = arguments.number("seconds", 30).clamp(10, 600);
    let runtime = fleet_runtime();
    let first_seed = arguments.number("seed", 1);
    let mut passed = true;
    for seed in first_seed..first_seed + arguments.number("seeds", 5) {
        let soak = RetrySoak { spec, seconds, seed };
        match runtime.block_on(run_retry_soak(soak)) {
            Ok(outcome) => {
                print(seed, &outcome);
                passed &= outcome.excesses.is_empty();
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                passed = false;
            }
        }
    }
    passed
}

fn print(seed: u64, outcome: &RetrySoakOutcome) {
    let RetrySoakOutcome { requests, repeats, events, excesses, excesses_without_slack } = outcome;
    println!(
        "seed {seed}: {requests} requests, repeated arrivals {repeats:?}, {events:?}, over the allowance {excesses:?}, without slack {excesses_without_slack:?}"
    );
}
