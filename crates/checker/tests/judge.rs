//! The violations that the judge finds in artificial histories.

use sumacvale_checker::judge::{Base, Judge};
use sumacvale_checker::machine::voter;
use sumacvale_core::base::{ChangeId, Version};
use sumacvale_core::protocol::{ChangeOutcome, LogEntry};

const FOUNDING: ChangeId = ChangeId(1);
const FIRST: ChangeId = ChangeId(2);
const SECOND: ChangeId = ChangeId(3);

/// Returns a log entry for a change, with the revision of the document in this version.
fn entry(version: Version, change_id: ChangeId, revision: u64) -> LogEntry {
    LogEntry {
        version,
        change_id,
        fleet_id: 7,
        voters_since: 0,
        previous_voters: Vec::new(),
        voters: (0..3).map(voter).collect(),
        body: String::new(),
        revision,
        patch: None,
        compressed: Vec::new(),
    }
}

/// Returns a judge that has observed these changes and revisions as versions 0, 1 and so on.
fn judge_of(versions: &[(ChangeId, u64)]) -> Judge {
    let mut judge = Judge::default();
    for (version, (change_id, revision)) in (0..).zip(versions) {
        judge.on_decided(0, &entry(version, *change_id, *revision)).expect("each version is seen once");
    }
    judge
}

fn acknowledge(judge: &mut Judge, change: ChangeId, base: Base, version: Version) -> Result<(), String> {
    judge.on_outcome(change, base, &ChangeOutcome::Committed { version }, 0)
}

fn assert_violates(result: Result<(), String>, rule: &str) {
    let message = result.expect_err("the judge finds a violation");
    assert!(message.starts_with(rule), "{message}");
}

#[test]
fn a_set_of_voters_and_a_document_are_both_committed_on_revision_0() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 0), (SECOND, 1)]);
    assert_eq!(acknowledge(&mut judge, FIRST, Base::Voters(0), 1), Ok(()));
    assert_eq!(acknowledge(&mut judge, SECOND, Base::Document(0), 2), Ok(()));
}

#[test]
fn two_documents_acknowledged_on_one_revision_are_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 1), (SECOND, 2)]);
    assert_eq!(acknowledge(&mut judge, FIRST, Base::Document(0), 1), Ok(()));
    assert_violates(acknowledge(&mut judge, SECOND, Base::Document(0), 2), "two acknowledged on one base");
}

#[test]
fn two_sets_of_voters_acknowledged_on_one_version_are_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 0), (SECOND, 0)]);
    assert_eq!(acknowledge(&mut judge, FIRST, Base::Voters(0), 1), Ok(()));
    assert_violates(acknowledge(&mut judge, SECOND, Base::Voters(0), 2), "two acknowledged on one base");
}

#[test]
fn a_document_that_does_not_follow_its_base_revision_is_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 1), (SECOND, 2)]);
    assert_violates(acknowledge(&mut judge, SECOND, Base::Document(0), 2), "changes stand on their base");
}

#[test]
fn a_document_that_does_not_raise_the_revision_is_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 0)]);
    assert_violates(acknowledge(&mut judge, FIRST, Base::Document(0), 1), "changes stand on their base");
}

#[test]
fn a_set_of_voters_that_does_not_follow_its_base_version_is_found() {
    let mut judge = judge_of(&[(FOUNDING, 0), (FIRST, 1), (SECOND, 1)]);
    assert_violates(acknowledge(&mut judge, SECOND, Base::Voters(0), 2), "changes stand on their base");
}

#[test]
fn acknowledgements_are_compared_with_versions_that_are_seen_later() {
    let mut judge = judge_of(&[(FOUNDING, 0)]);
    assert_eq!(acknowledge(&mut judge, FIRST, Base::Document(0), 1), Ok(()));
    assert_violates(judge.on_decided(1, &entry(1, SECOND, 1)), "acknowledged is for ever");
    let mut judge = judge_of(&[(FOUNDING, 0)]);
    assert_eq!(acknowledge(&mut judge, SECOND, Base::Document(0), 2), Ok(()));
    assert_violates(judge.on_decided(1, &entry(1, FIRST, 1)), "changes stand on their base");
}
