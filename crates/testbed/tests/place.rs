//! Placement against other strategies in the emulator of engines, always with the same seeds.

use sumacvale_testbed::engines::{Case, Deployment, Report, Strategy, run};

const SEED: u64 = 1;
const SECONDS: u64 = 15;

/// The report of a short run, without the measured time of a choice.
fn emulate(strategy: Strategy, deployment: Deployment, adjust: impl Fn(&mut Case)) -> Report {
    let mut case = Case::new(deployment, strategy, SEED);
    case.seconds = SECONDS;
    adjust(&mut case);
    Report { choice_ns: 0, ..run(&case) }
}

/// Percent of the worth less what was computed again and what crossed between zones, by the
/// weights that placement has by default: in parts of a call's worth, for a thousand each.
fn net_worth(report: &Report) -> f64 {
    let calls: f64 = report.kinds.iter().map(|kind| kind.calls as f64).sum();
    let cost = 0.1 * report.repeated_tokens as f64 + 0.003 * report.cross_zone_bytes as f64;
    report.worth_percent - 100.0 * cost / 1_000.0 / calls
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let emulate = || emulate(Strategy::Place, Deployment::DERWENT, |_| {});
    assert_eq!(emulate(), emulate());
}

#[test]
fn placement_serves_more_in_time_than_the_ring_and_than_hashing() {
    type Adjust = fn(&mut Case);
    let cases: [(&str, Adjust); 5] = [
        ("usual", |_| {}),
        ("half the load", |case| case.load = 0.5),
        ("a third of the workers lost", |case| case.lose_workers = true),
        ("hot subject", |case| case.hot_share = 0.28),
        ("burst of chats", |case| case.chat_burst = 1.5),
    ];
    for deployment in [Deployment::MTATSMINDA, Deployment::DERWENT] {
        for (name, adjust) in cases {
            let [place, ring, hash] =
                [Strategy::Place, Strategy::Ring, Strategy::Hash].map(|strategy| emulate(strategy, deployment, adjust));
            let place_worth = net_worth(&place);
            assert!(
                place_worth > net_worth(&ring) && place_worth > net_worth(&hash),
                "{} {name}: {place:?} {ring:?} {hash:?}",
                deployment.name
            );
            assert!(place.worth_percent > ring.worth_percent - 1.5, "{} {name}: {place:?} {ring:?}", deployment.name);
            assert_eq!(place.refused, 0, "{} {name}", deployment.name);
        }
    }
}
