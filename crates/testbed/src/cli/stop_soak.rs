//! `testbed stop-soak`: soaks planned work with processes on loopback, one seed after the other.

use super::fleet_runtime;
use super::options::Arguments;
use sumacvale_testbed::fleet::{FleetSpec, StopSoak, StopSoakOutcome, run_stop_soak};

/// Runs the soaks and prints their results. Returns true if no answer was lost and none violated the protocol.
pub fn run(arguments: &Arguments) -> bool {
    let deployment = arguments.deployment(FleetSpec::named);
    let spec = FleetSpec { fronts: arguments.count("fronts", deployment.fronts), ..deployment };
    let seconds = arguments.number("seconds", 30).clamp(10, 600);
    let clients = arguments.count("clients", 100);
    let runtime = fleet_runtime();
    let first_seed = arguments.number("seed", 1);
    let mut passed = true;
    for seed in first_seed..first_seed + arguments.number("seeds", 5) {
        match runtime.block_on(run_stop_soak(StopSoak { spec, clients, seconds, seed })) {
            Ok(outcome) => {
                print(seed, &outcome);
                passed &= outcome.lost.is_empty() && outcome.violations.is_empty();
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                passed = false;
            }
        }
    }
    passed
}

fn print(seed: u64, outcome: &StopSoakOutcome) {
    let StopSoakOutcome { answers, events, lost, violations } = outcome;
    println!(
        "seed {seed}: {} requests, {} lost, {} violations, answers {answers:?}, {events:?}",
        outcome.requests(),
        lost.len(),
        violations.len()
    );
    for (lost, log) in lost {
        println!("  lost: {lost:?}\n  {log}");
    }
    for violation in violations {
        println!("  violation: {violation}");
    }
}
