//! `testbed place`: model workers in virtual time, by ways to choose among them.

use super::options::Arguments;
use sumacvale_core::config::PlacementWeights;
use sumacvale_testbed::engines::{Case, Deployment, Strategy, run as emulate};

/// The highest placement weight, in percent of the default.
const MAX_WEIGHT_PERCENT: u64 = 10_000;

/// Emulates every strategy, or the one of `--way`, and prints its report; always passed.
pub fn run(arguments: &Arguments) -> bool {
    let mut deployment = arguments.deployment(Deployment::named);
    deployment.workers = arguments.count("workers", deployment.workers);
    deployment.fronts = arguments.count("fronts", deployment.fronts);
    let only = arguments.text("way");
    let is_chosen = |strategy: &Strategy| only.as_deref().is_none_or(|name| name == strategy.name());
    for strategy in Strategy::ALL.into_iter().filter(is_chosen) {
        emulate(&case(arguments, deployment, strategy)).print(strategy.name());
    }
    true
}

fn case(arguments: &Arguments, deployment: Deployment, strategy: Strategy) -> Case {
    let share = |name, default| arguments.number(name, default) as f64 / 100.0;
    let weight = |name| u32::try_from(arguments.number(name, 100).min(MAX_WEIGHT_PERCENT)).unwrap_or(100);
    let case = Case::new(deployment, strategy, arguments.number("seed", 1));
    Case {
        seconds: arguments.number("seconds", 34).clamp(2, 3_600),
        load: share("scale", 100),
        hot_share: share("hot", 0),
        chat_burst: share("burst", 100),
        lose_workers: arguments.flag("lose"),
        weights: PlacementWeights {
            zone_locality: weight("near"),
            prefix_affinity: weight("reread"),
            load_spread: weight("spread"),
            ..case.weights
        },
        ..case
    }
}
