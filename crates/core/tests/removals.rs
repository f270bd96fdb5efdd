//! Tests of removals of workers: acknowledged ones are known to every node in time, whatever is lost, restarted or late.

mod worker_net;

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Node;
use sumacvale_core::protocol::WorkerReport;
use worker_net::{CORES, MACHINES, Net, drain, leave, report, unnumbered};

#[test]
fn an_acknowledged_removal_is_known_in_time_whichever_node_is_lost() {
    type Fault = fn(&mut Net);
    fn kill(net: &mut Net, machine: usize) {
        net.nodes[machine] = None;
    }
    let cases: [(&str, Fault, Fault, Micros); 8] = [
        ("nothing is lost", |_| {}, |_| {}, 50 * MS),
        ("the core dies", |_| {}, |net| kill(net, 0), 50 * MS),
        ("the core is cut off", |_| {}, |net| net.cut_off.push(0), 50 * MS),
        (
            "the home node dies with it",
            |_| {},
            |net| {
                let home = net.home_node(1);
                kill(net, home);
                kill(net, 0);
            },
            50 * MS,
        ),
        (
            "a home node was dead",
            |net| {
                let home = net.home_node(0);
                kill(net, home);
            },
            |net| kill(net, 0),
            700 * MS,
        ),
        ("another core was dead", |net| kill(net, 1), |net| kill(net, 0), 700 * MS),
        ("a front was dead", |net| kill(net, 5), |net| net.cut_off.push(0), 700 * MS),
        // The front was unreachable until the first core was lost.
        (
            "a front comes back in contact",
            |net| net.cut_off.push(7),
            |net| {
                kill(net, 0);
                net.cut_off.clear();
            },
            700 * MS,
        ),
    ];
    for (name, before, after, deadline) in cases {
        for removal in [drain("a", 2), leave("a", 2), WorkerReport::removal("a", 1)] {
            let mut net = Net::new();
            net.report(0, 1, report("a", 1));
            net.run(500 * MS);
            assert_eq!(net.fronts_using("a").len(), MACHINES - CORES, "{name}");
            before(&mut net);
            let reported_at = net.now;
            net.report(0, 2, removal);
            while net.answer(2).is_none() && net.now < reported_at + 2 * SEC {
                net.run(MS);
            }
            let (is_accepted, answered_at) = net.answer(2).unwrap_or_else(|| panic!("{name}: no answer"));
            let waited = answered_at - reported_at;
            assert!(is_accepted && waited <= deadline, "{name}: {is_accepted} after {waited}");
            after(&mut net);
            net.run(1_500 * MS);
            let remaining = net.running_fronts_using("a");
            assert!(remaining.is_empty(), "{name}: {remaining:?} still send to it");
            net.report(2, 3, report("a", 1));
            net.run(500 * MS);
            let remaining = net.running_fronts_using("a");
            assert!(remaining.is_empty(), "{name}: a late report revives it at {remaining:?}");
            net.run(12 * SEC);
            let is_spreading = |node: &&Node| !node.dissemination.workers.removals.is_empty();
            let spreading = net.nodes.iter().flatten().filter(is_spreading).count();
            assert_eq!(spreading, 0, "{name}: nothing is spread for ever");
        }
    }
}

#[test]
fn a_late_report_revives_no_removed_worker_after_all_machines_lost_power() {
    for (name, removal) in [("drain", drain("a", 5)), ("removal", leave("a", 5)), ("id", WorkerReport::removal("a", 1))]
    {
        for reported_to in [0, CORES] {
            let mut net = Net::new();
            net.report(0, 1, report("a", 4));
            net.run(500 * MS);
            net.report(reported_to, 2, removal.clone());
            while net.answer(2).is_none() {
                net.run(MS);
            }
            assert_eq!(net.answer(2).map(|answer| answer.0), Some(true), "{name} to {reported_to}");
            net.kill_and_restart_all();
            net.run(2 * SEC);
            for machine in 0..CORES {
                net.report(machine, 10 + machine as u64, unnumbered("a", 3));
                net.run(200 * MS);
                let revived = net.running_fronts_using("a");
                assert!(revived.is_empty(), "{name} to {reported_to}: a late report revives it at {revived:?}");
            }
            net.run(40 * SEC);
            let kept = net.disks.iter().filter(|disk| !disk.removals.is_empty()).count();
            assert_eq!(kept, 0, "{name} to {reported_to}: no removal is kept for ever");
        }
    }
}

#[test]
fn no_removal_is_acknowledged_that_a_majority_does_not_have_on_disk() {
    for reported_to in [0, CORES] {
        let mut net = Net::new();
        net.report(0, 1, report("a", 1));
        net.run(500 * MS);
        net.stalled_disks = vec![1, 2];
        net.report(reported_to, 2, drain("a", 2));
        net.run(950 * MS);
        assert_eq!(net.answer(2).map(|answer| answer.0), Some(false), "reported to {reported_to}");
    }
}

#[test]
fn a_worker_that_returned_to_service_serves_after_all_machines_lost_power() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    net.run(500 * MS);
    net.report(0, 2, leave("a", 2));
    net.run(SEC);
    net.report(0, 3, WorkerReport { incarnation: 2, ..report("a", 3) });
    net.run(1_500 * MS);
    net.kill_and_restart_all();
    net.run(2 * SEC);
    net.report(0, 4, unnumbered("a", 4));
    net.run(500 * MS);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
}

#[test]
fn no_removal_is_acknowledged_that_no_other_core_knows() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    net.run(500 * MS);
    net.cut_off.push(0);
    net.report(0, 2, drain("a", 2));
    net.run(950 * MS);
    assert_eq!(net.answer(2).map(|answer| answer.0), Some(false), "within a second the worker is redirected");
    net.report(1, 3, drain("a", 2));
    net.run(700 * MS);
    assert_eq!(net.answer(3).map(|answer| answer.0), Some(true));
    assert_eq!(net.fronts_using("a").len(), 0);
    net.run(4 * SEC);
    net.report(0, 4, report("b", 1));
    assert_eq!(net.answer(4).map(|answer| answer.0), Some(false), "a core that is cut off accepts no reports");
}

#[test]
fn a_drain_reported_again_is_not_spread_again() {
    let mut net = Net::new();
    net.report(0, 1, drain("a", 1));
    net.run(100 * MS);
    let started = |net: &Net| net.nodes.iter().flatten().map(|node| node.counters.removals_started).sum::<u64>();
    let before = started(&net);
    for seq in 2..6 {
        net.report(usize::try_from(seq).unwrap_or(0) % 3, seq, drain("a", seq));
        assert_eq!(net.answer(seq), Some((true, net.now)));
        net.run(100 * MS);
    }
    assert_eq!(started(&net), before);
}

/// What happens to a fleet before or after an acknowledged removal.
type Trouble = fn(&mut Net);

/// Troubles by name: what happens before a removal, and after its acknowledgement.
fn troubles() -> [(&'static str, Trouble, Trouble); 11] {
    [
        ("nothing", |_| {}, |_| {}),
        ("the cores restart", |_| {}, |net| net.kill_and_restart(0..CORES)),
        (
            "the cores restart, and again while they start",
            |_| {},
            |net| {
                net.kill_and_restart(0..CORES);
                net.run(100 * MS);
                net.kill_and_restart(0..CORES);
            },
        ),
        (
            "all restart, and a core has lost its disk",
            |_| {},
            |net| {
                net.kill_and_restart_all();
                net.replace(0, 90);
            },
        ),
        (
            "the cores restart later, and a core has lost its disk",
            |_| {},
            |net| {
                net.run(11 * SEC);
                net.kill_and_restart(0..CORES);
                net.replace(2, 90);
            },
        ),
        (
            "new fronts replace those of a zone",
            |_| {},
            |net| {
                net.run(SEC);
                net.replace(4, 91);
                net.replace(7, 92);
            },
        ),
        (
            "the fronts restart, and the cores once they know each other",
            |_| {},
            |net| {
                net.run(SEC);
                net.kill_and_restart(CORES..MACHINES);
                net.run(SEC);
                net.kill_and_restart(0..CORES);
            },
        ),
        (
            "a zone was cut off",
            |net| {
                net.cut_off.extend([2, 5, 8]);
                net.run(6 * SEC);
            },
            |net| {
                net.run(3 * SEC);
                net.cut_off.clear();
            },
        ),
        (
            "a core was cut off",
            |net| {
                net.cut_off.push(2);
                net.run(6 * SEC);
            },
            |net| {
                net.run(11 * SEC);
                net.cut_off.clear();
            },
        ),
        (
            "the fronts of a zone were cut off from the cores alone",
            |net| {
                net.cut_links.extend((0..CORES).flat_map(|core| [(core, 4), (core, 7)]));
                net.run(SEC);
            },
            |net| {
                net.run(12 * SEC);
                net.cut_links.clear();
            },
        ),
        (
            "the fronts of a zone were cut off from the cores alone, for long before",
            |net| {
                net.cut_links.extend((0..CORES).flat_map(|core| [(core, 4), (core, 7)]));
                net.run(6 * SEC);
            },
            |net| {
                net.run(3 * SEC);
                net.cut_links.clear();
            },
        ),
    ]
}

/// The pools of the simulated network: in zone z1, one home node of the first is a core, and both of the second are fronts.
const POOLS: [&str; 2] = ["p", "q"];

/// A removal of a worker of `pool` that is reported to a machine.
struct ReportedRemoval {
    pool: &'static str,
    removal: WorkerReport,
    reported_to: usize,
}

/// Returns the removals that are played with each trouble.
fn reported_removals() -> Vec<ReportedRemoval> {
    let mut reported = Vec::new();
    for pool in POOLS {
        let in_pool = |report: WorkerReport| WorkerReport { pool: pool.into(), ..report };
        for removal in [in_pool(drain("a", 9)), in_pool(leave("a", 9)), WorkerReport::removal("a", 1)] {
            for reported_to in [0, CORES] {
                reported.push(ReportedRemoval { pool, removal: removal.clone(), reported_to });
            }
        }
    }
    reported
}

/// Plays one removal with a trouble and late reports. Returns the fronts that have the worker in service once all machines
/// have been in contact for some seconds; `None` if the removal was not acknowledged.
fn fronts_reviving(before: Trouble, after: Trouble, reported: &ReportedRemoval) -> Option<Vec<usize>> {
    let beat = |seq| WorkerReport { pool: reported.pool.into(), ..unnumbered("a", seq) };
    let mut net = Net::new();
    net.report(0, 1, beat(7));
    net.run(500 * MS);
    before(&mut net);
    net.report(0, 2, beat(8));
    net.run(500 * MS);
    if !net.report_and_wait(reported.reported_to, 3, reported.removal.clone()) {
        return None;
    }
    after(&mut net);
    // The older report arrives last.
    for seq in [6, 5] {
        for machine in 0..MACHINES {
            net.report(machine, 1_000 + net.now, beat(seq));
            net.run(150 * MS);
        }
    }
    net.run(300 * MS);
    let mut reviving = Vec::new();
    for _ in 0..20 {
        reviving.extend(net.running_fronts_using("a"));
        net.run(100 * MS);
    }
    reviving.sort_unstable();
    reviving.dedup();
    Some(reviving)
}

/// Guards against an acknowledged removal that is forgotten by nodes that start, return or lose a disk after it: late
/// reports of the worker return it to service.
#[test]
fn a_late_report_revives_no_removed_worker_whatever_starts_or_returns() {
    let mut failures = Vec::new();
    for (name, before, after) in troubles() {
        for reported in reported_removals() {
            let reviving = fronts_reviving(before, after, &reported);
            if reviving != Some(Vec::new()) {
                let ReportedRemoval { pool, removal, reported_to } = reported;
                let removed = removal.removed;
                failures.push(format!("{name}, pool {pool}, removed {removed}, to {reported_to}: {reviving:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against an acknowledgement that counts nodes at which the removal had no effect: they know a later incarnation
/// of the worker.
#[test]
fn no_removal_is_acknowledged_by_nodes_that_know_a_later_incarnation() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 7));
    net.run(500 * MS);
    net.cut_off.push(CORES);
    net.report(0, 2, WorkerReport { incarnation: 2, ..report("a", 1) });
    net.run(500 * MS);
    net.cut_off.clear();
    let is_accepted = net.report_and_wait(CORES, 3, drain("a", 8));
    assert!(!is_accepted || net.running_fronts_using("a").is_empty(), "acknowledged, and still in service");
    assert!(net.answer(3).is_some_and(|answer| answer.1 < net.now + MS), "answered in time");
    net.run(500 * MS);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES, "the later incarnation serves");
}

/// Guards against the acknowledgement of a drain that is older than the worker's return to service.
#[test]
fn a_drain_older_than_a_return_to_service_is_not_acknowledged() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 9));
    net.run(500 * MS);
    for (request_id, machine) in [(2, 0), (3, 1), (4, CORES)] {
        assert!(!net.report_and_wait(machine, request_id, drain("a", 8)), "acknowledged by {machine}");
    }
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
}

/// Guards against a request that is never answered, as the worker returned to service while its drain was waiting.
#[test]
fn a_drain_that_waits_is_rejected_once_the_worker_returns_to_service() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 7));
    net.run(500 * MS);
    net.stalled_disks = vec![1, 2];
    net.report(0, 2, drain("a", 8));
    net.run(100 * MS);
    net.report(0, 3, report("a", 9));
    assert_eq!(net.answer(2), Some((false, net.now)), "rejected at once");
}
