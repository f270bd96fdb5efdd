//! `testbed place`: emulates model workers in virtual time and compares placement strategies.

use super::options::Arguments;
use sumacvale_core::config::PlacementWeights;
use sumacvale_testbed::engines::{Case, Deployment, Strategy, run as emulate};

/// The maximum placement weight, in percent of the default.
const MAX_WEIGHT_PERCENT: u64 = 10_000;

/// Emulates every strategy, or the one of `--way`, and prints its report. Always returns true.
pub fn run(arguments: &Arguments) -> bool {
    let mut deployment = arguments.deployment(Deployment::named);
    deployment.workers = arguments.count("workers", deployment.workers);
    deployment.fronts = arguments.count("fronts", deployment.fronts);
    let only_strategy = arguments.text("way");
    let is_selected = |strategy: &Strategy| only_strategy.as_deref().is_none_or(|name| name == strategy.name());
    for strategy in Strategy::ALL.into_iter().filter(is_selected) {
        emulate(&case(arguments, deployment, strategy)).print(strategy.name());
    }
    true
}

/// Returns the case that the command line describes.
fn case(arguments: &Arguments, deployment: Deployment, strategy: Strategy) -> Case {
    let fraction = |name, default| arguments.number(name, default) as f64 / 100.0;
    let weight = |name| u32::try_from(arguments.number(name, 100).min(MAX_WEIGHT_PERCENT)).unwrap_or(100);
    let case = Case::new(deployment, strategy, arguments.number("seed", 1));
    Case {
        seconds: arguments.number("seconds", 34).clamp(2, 3_600),
        load_factor: fraction("scale", 100),
        hot_subject_fraction: fraction("hot", 0),
        chat_burst_factor: fraction("burst", 100),
        crash_workers: arguments.has_flag("lose"),
        weights: PlacementWeights {
            zone_locality: weight("near"),
            prefix_affinity: weight("reread"),
            load_spread: weight("spread"),
            ..case.weights
        },
        ..case
    }
}
