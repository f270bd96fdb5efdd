//! `testbed fleet`: processes of sumacvale on loopback, with traffic and faults.

use super::fail;
use super::options::Arguments;
use sumacvale_testbed::fleet::{FleetSpec, rehearse};

/// Threads of the runtime that drives the traffic and the faults.
const THREADS: usize = 4;

/// Rehearses the deployment; passed where there are no findings.
pub fn run(arguments: &Arguments) -> bool {
    let spec = arguments.deployment(FleetSpec::named);
    let seconds = arguments.number("seconds", 30).clamp(5, 600);
    let seed = arguments.number("seed", 1);
    let faults = !arguments.flag("calm");
    let scale_percent = arguments.number("scale", 100).clamp(1, 1000);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .unwrap_or_else(|error| fail(&error.to_string()));
    let outcomes =
        runtime.block_on(rehearse(spec, seconds, seed, faults, scale_percent)).unwrap_or_else(|error| fail(&error));
    outcomes.print();
    outcomes.findings.is_empty()
}
