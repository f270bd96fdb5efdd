//! Placement compared with other strategies in the emulator, with a fixed seed.

use sumacvale_testbed::engines::{Case, Deployment, Report, Strategy, run};

const SEED: u64 = 1;
const SECONDS: u64 = 15;

/// Returns the report of a short run, without the wall-clock time of a choice.
fn emulate(strategy: Strategy, deployment: Deployment, adjust: impl Fn(&mut Case)) -> Report {
    let mut case = Case::new(deployment, strategy, SEED);
    case.seconds = SECONDS;
    adjust(&mut case);
    Report { choice_ns: 0, ..run(&case) }
}

/// Returns the utility percentage minus the costs of repeated prefill and of bytes between zones. The
/// costs have the default weights of placement: a fraction of a call's utility for each thousand tokens
/// or bytes.
fn net_utility(report: &Report) -> f64 {
    let calls: f64 = report.kinds.iter().map(|kind| kind.calls as f64).sum();
    let cost = 0.1 * report.repeated_tokens as f64 + 0.003 * report.cross_zone_bytes as f64;
    report.utility_percent - 100.0 * cost / 1_000.0 / calls
}

/// Guards against a report that depends on anything but the case, such as the iteration order of a map.
#[test]
fn a_run_is_determined_by_its_seed() {
    let emulate = || emulate(Strategy::Placement, Deployment::DERWENT, |_| {});
    assert_eq!(emulate(), emulate());
}

/// Guards against changes of placement that save prefill or bytes between zones at the cost of latency,
/// or the reverse: under the default load, half of it, crashed workers, a hot subject and a burst of chats.
#[test]
fn placement_has_a_higher_net_utility_than_ring_and_rendezvous_hashing() {
    type Adjust = fn(&mut Case);
    let cases: [(&str, Adjust); 5] = [
        ("default", |_| {}),
        ("half the load", |case| case.load_factor = 0.5),
        ("a third of the workers crashed", |case| case.crash_workers = true),
        ("hot subject", |case| case.hot_subject_fraction = 0.28),
        ("burst of chats", |case| case.chat_burst_factor = 1.5),
    ];
    for deployment in [Deployment::MTATSMINDA, Deployment::DERWENT] {
        for (name, adjust) in cases {
            let [placement, ring, hash] = [Strategy::Placement, Strategy::BoundedLoadRing, Strategy::RendezvousHash]
                .map(|strategy| emulate(strategy, deployment, adjust));
            let placement_utility = net_utility(&placement);
            assert!(
                placement_utility > net_utility(&ring) && placement_utility > net_utility(&hash),
                "{} {name}: {placement:?} {ring:?} {hash:?}",
                deployment.name
            );
            assert!(
                placement.utility_percent > ring.utility_percent - 1.5,
                "{} {name}: {placement:?} {ring:?}",
                deployment.name
            );
            assert_eq!(placement.rejected, 0, "{} {name}", deployment.name);
        }
    }
}
