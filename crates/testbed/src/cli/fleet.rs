//! `testbed fleet`: runs processes of sumacvale on loopback, with traffic and faults.

use super::options::Arguments;
use super::{fail, fleet_runtime};
use sumacvale_testbed::fleet::{FleetSpec, run_scenario};

/// Runs a scenario of the deployment and prints its report. Returns true if there are no findings.
pub fn run(arguments: &Arguments) -> bool {
    let spec = arguments.deployment(FleetSpec::named);
    let seconds = arguments.number("seconds", 30).clamp(5, 600);
    let seed = arguments.number("seed", 1);
    let with_faults = !arguments.has_flag("calm");
    let scale_percent = arguments.number("scale", 100).clamp(1, 1000);
    let runtime = fleet_runtime();
    let outcome = runtime
        .block_on(run_scenario(spec, seconds, seed, with_faults, scale_percent))
        .unwrap_or_else(|error| fail(&error));
    outcome.print();
    outcome.findings.is_empty()
}
