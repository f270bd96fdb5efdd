//! The small bounds, explored whole; the large ones are run by hand (`model all`).

use std::time::Duration;
use sumacvale_checker::explore::{Model, Options, Report, explore};
use sumacvale_checker::{planted, scenarios};

/// The bound of three versions with a slow disk takes many minutes whole. Where a version is told of
/// before it is on disk, a few hundred states show it.
const SLOW_STATES: u64 = 100_000;

fn whole<M: Model>(name: &str, model: &M) -> Report {
    let options = Options { most_time: Duration::from_secs(600), recover_each: 500, ..Options::default() };
    let report = explore(model, &options);
    println!(
        "{name}: {} states, {} transitions, {} recoveries, {:.1} s",
        report.states, report.transitions, report.recoveries, report.seconds
    );
    if let Some(breach) = &report.breach {
        panic!("{name}: {}\n{}", breach.what, breach.trace.join("\n"));
    }
    assert!(report.complete, "{name}: not explored whole");
    assert!(report.recoveries > 0, "{name}: no recovery was judged");
    report
}

#[test]
fn agreement_holds_in_every_order_of_its_frames() {
    let states: u64 = scenarios::all().iter().filter(|s| s.small).map(|s| whole(s.name, &s.model).states).sum();
    assert!(states > 50_000, "{states} states are too few to mean much");
}

#[test]
fn fleets_hold_and_recover_whatever_fails_when() {
    let states: u64 = scenarios::fleets().iter().filter(|s| s.small).map(|s| whole(s.name, &s.model).states).sum();
    assert!(states > 500, "{states} states are too few to mean much");
}

#[test]
fn quotas_hold_and_all_units_come_back_in_every_order_of_their_frames() {
    let states: u64 = scenarios::quotas().iter().filter(|s| s.small).map(|s| whole(s.name, &s.model).states).sum();
    assert!(states > 5_000, "{states} states are too few to mean much");
}

#[test]
fn every_planted_fault_still_finds_its_guard() {
    let text = std::fs::read_to_string(planted::root().join("crates/checker/planted.txt")).expect("the list is there");
    let faults = planted::read(&text);
    assert!(faults.len() >= 33);
    let copy = std::env::temp_dir().join(format!("sumacvale-planted-{}", std::process::id()));
    planted::copy_sources(&planted::root(), &copy).expect("copied");
    let done = planted::plant(&copy, &faults);
    std::fs::remove_dir_all(&copy).expect("removed");
    assert_eq!(done, Ok(()));
    let mut known: Vec<_> = scenarios::all().iter().map(|s| s.name).collect();
    known.extend(scenarios::fleets().iter().map(|s| s.name));
    known.extend(scenarios::quotas().iter().map(|s| s.name));
    for fault in faults {
        assert!(
            fault.run.iter().all(|r| known.contains(&r.as_str())),
            "{} names a bound that is not there",
            fault.name
        );
    }
}

/// A slow machine holds a version that is not yet on its disk, and is asked to vote on one that
/// lies further on.
#[test]
fn what_a_machine_says_that_it_has_is_on_its_disk() {
    let bounds = scenarios::all();
    let bound = bounds.iter().find(|s| s.name == "three-in-a-row-slow").expect("the bound is there");
    let options = Options { most_states: SLOW_STATES, recover_each: 5_000, ..Options::default() };
    let report = explore(&bound.model, &options);
    if let Some(breach) = &report.breach {
        panic!("{}: {}\n{}", bound.name, breach.what, breach.trace.join("\n"));
    }
    assert!(report.complete || report.states >= SLOW_STATES, "only {} states", report.states);
}
