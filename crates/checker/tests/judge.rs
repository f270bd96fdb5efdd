//! What the judge of the bounds finds wrong, shown on histories that are made up.

use sumacvale_checker::judge::{Base, Judge};
use sumacvale_checker::machine::core;
use sumacvale_core::base::{ChangeId, Version};
use sumacvale_core::protocol::{ChangeOutcome, LogEntry};

const FOUNDING: ChangeId = ChangeId(1);
const FIRST: ChangeId = ChangeId(2);
const SECOND: ChangeId = ChangeId(3);

/// A version of a change, and the number of the document that is in force with it.
fn decree(version: Version, change_id: ChangeId, revision: u64) -> LogEntry {
    let cores = (0..3).map(core).collect();
    LogEntry {
        version,
        change_id,
        fleet_id: 7,
        voters_since: 0,
        previous_voters: Vec::new(),
        voters: cores,
        body: String::new(),
        revision,
        patch: None,
        compressed: Vec::new(),
    }
}

/// A judge that has seen these changes as versions 0, 1 and so on, each with its number.
fn judge_of(versions: &[(ChangeId, u64)]) -> Judge {
    let mut judge = Judge::default();
    for (version, (change_id, revision)) in (0..).zip(versions) {
        judge.decided(0, &decree(version, *change_id, *revision)).expect("each version is seen once");
    }
    judge
}

fn acknowledge(judge: &mut Judge, change: ChangeId, base: Base, version: Version) -> Result<(), String> {
    judge.answered(change, base, &ChangeOutcome::Committed { version }, 0)
}

fn assert_breaks(result: Result<(), String>, rule: &str) {
    let what = result.expect_err("the judge finds a breach");
    assert!(what.starts_with(rule), "{what}");
}

#[test]
fn a_list_of_voters_and_a_document_are_both_taken_on_number_0() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 0), (SECOND, 1)]);
    assert_eq!(acknowledge(&mut judge, FIRST, Base::Voters(0), 1), Ok(()));
    assert_eq!(acknowledge(&mut judge, SECOND, Base::Document(0), 2), Ok(()));
}

#[test]
fn two_documents_acknowledged_on_one_number_are_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 1), (SECOND, 2)]);
    assert_eq!(acknowledge(&mut judge, FIRST, Base::Document(0), 1), Ok(()));
    assert_breaks(acknowledge(&mut judge, SECOND, Base::Document(0), 2), "two acknowledged on one base");
}

#[test]
fn two_lists_of_voters_acknowledged_on_one_version_are_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 0), (SECOND, 0)]);
    assert_eq!(acknowledge(&mut judge, FIRST, Base::Voters(0), 1), Ok(()));
    assert_breaks(acknowledge(&mut judge, SECOND, Base::Voters(0), 2), "two acknowledged on one base");
}

#[test]
fn a_document_that_does_not_stand_on_its_number_is_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 1), (SECOND, 2)]);
    assert_breaks(acknowledge(&mut judge, SECOND, Base::Document(0), 2), "changes stand on their base");
}

#[test]
fn a_document_whose_number_stays_is_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 0)]);
    assert_breaks(acknowledge(&mut judge, FIRST, Base::Document(0), 1), "changes stand on their base");
}

#[test]
fn a_list_of_voters_that_does_not_stand_on_its_version_is_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 1), (SECOND, 1)]);
    assert_breaks(acknowledge(&mut judge, SECOND, Base::Voters(0), 2), "changes stand on their base");
}

#[test]
fn what_was_acknowledged_is_held_to_versions_that_are_seen_later() {
    let mut judge = judge_of(&[(FOUNDING, 0)]);
    assert_eq!(acknowledge(&mut judge, FIRST, Base::Document(0), 1), Ok(()));
    assert_breaks(judge.decided(1, &decree(1, SECOND, 1)), "acknowledged is for ever");
    let mut judge = judge_of(&[(FOUNDING, 0)]);
    assert_eq!(acknowledge(&mut judge, SECOND, Base::Document(0), 2), Ok(()));
    assert_breaks(judge.decided(1, &decree(1, FIRST, 1)), "changes stand on their base");
}
