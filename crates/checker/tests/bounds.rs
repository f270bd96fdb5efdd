//! Explores the small bounds completely; the large bounds are run by hand (`checker all`).

use std::time::Duration;
use sumacvale_checker::explore::{Model, Options, Report, explore};
use sumacvale_checker::planted;
use sumacvale_checker::scenarios::{self, Scenario};

/// The number of states explored of the bound with three versions and a slow disk. The whole bound takes many
/// minutes; a version that is reported before its sync is found within a few hundred states.
const SLOW_DISK_STATES: u64 = 100_000;

/// Explores a bound completely and asserts that no rule is violated.
fn explore_completely<M: Model>(Scenario { name, model, .. }: &Scenario<M>) -> Report {
    let options = Options { max_duration: Duration::from_mins(10), recovery_interval: 500, ..Options::default() };
    let report = explore(model, &options);
    println!(
        "{name}: {} states, {} transitions, {} recoveries, {:.1} s",
        report.states, report.transitions, report.recoveries, report.seconds
    );
    assert_no_violation(name, &report);
    assert!(report.complete, "{name}: not explored whole");
    assert!(report.recoveries > 0, "{name}: no recovery was checked");
    report
}

fn assert_no_violation(name: &str, report: &Report) {
    if let Some(violation) = &report.violation {
        panic!("{name}: {}\n{}", violation.message, violation.trace.join("\n"));
    }
}

/// Explores the small bounds completely; returns the number of states.
fn explore_small<M: Model>(scenarios: &[Scenario<M>]) -> u64 {
    scenarios.iter().filter(|scenario| scenario.is_small).map(|scenario| explore_completely(scenario).states).sum()
}

#[test]
fn consensus_is_safe_in_every_order_of_its_frames() {
    let states = explore_small(&scenarios::agreements());
    assert!(states > 50_000, "{states} states are too few to mean much");
}

#[test]
fn fleets_are_safe_and_recover_from_every_fault_at_every_time() {
    let states = explore_small(&scenarios::fleets());
    assert!(states > 500, "{states} states are too few to mean much");
}

#[test]
fn quotas_are_kept_and_all_units_are_returned_in_every_order_of_their_frames() {
    let states = explore_small(&scenarios::quotas());
    assert!(states > 5_000, "{states} states are too few to mean much");
}

#[test]
fn every_planted_fault_still_finds_its_guard() {
    let faults = planted::read_list().expect("the list is there");
    assert!(faults.len() >= 37);
    let copy = std::env::temp_dir().join(format!("sumacvale-planted-{}", std::process::id()));
    planted::copy_workspace(&planted::root(), &copy).expect("copied");
    let planted = planted::plant(&copy, &faults);
    std::fs::remove_dir_all(&copy).expect("removed");
    assert_eq!(planted, Ok(()));
    let mut known: Vec<_> = scenarios::agreements().iter().map(|scenario| scenario.name).collect();
    known.extend(scenarios::fleets().iter().map(|scenario| scenario.name));
    known.extend(scenarios::quotas().iter().map(|scenario| scenario.name));
    for fault in faults {
        assert!(
            fault.bounds.iter().all(|bound| known.contains(&bound.as_str())),
            "{} names a bound that is not there",
            fault.name
        );
    }
}

/// Guards against a machine that reports a version before the version is synced: a machine with a slow disk holds
/// an unsynced version and receives a ballot for a later version.
#[test]
fn machines_report_only_versions_synced_to_their_disks() {
    let bounds = scenarios::agreements();
    let bound = bounds.iter().find(|scenario| scenario.name == "three-in-a-row-slow").expect("the bound is there");
    let options = Options { max_states: SLOW_DISK_STATES, recovery_interval: 5_000, ..Options::default() };
    let report = explore(&bound.model, &options);
    assert_no_violation(bound.name, &report);
    assert!(report.complete || report.states >= SLOW_DISK_STATES, "only {} states", report.states);
}
