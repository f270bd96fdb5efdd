//! The log of digests: it reports the status of changes, and no result where digests are missing.

use sumacvale_core::base::{ChangeId, NodeId, Version};
use sumacvale_core::consensus::{ChangeStatus, DigestLog, MAX_DIGESTS};
use sumacvale_core::protocol::{Change, EntryDigest, LogEntry, Voter};

fn voter(number: u64) -> Voter {
    Voter { node_id: NodeId(number), addr: format!("10.0.0.{number}:1") }
}

/// The entry of this version, with a document of revision `3 * version`.
fn entry(version: Version) -> LogEntry {
    LogEntry {
        version,
        change_id: ChangeId(version + 100),
        fleet_id: 9,
        voters_since: 0,
        previous_voters: Vec::new(),
        voters: vec![voter(1)],
        body: format!("document {version}"),
        revision: 3 * version,
        patch: None,
        compressed: Vec::new(),
    }
}

fn digest_log(versions: impl IntoIterator<Item = Version>) -> DigestLog {
    let mut log = DigestLog::default();
    log.insert_missing(versions.into_iter().map(|version| EntryDigest::of(&entry(version))));
    log
}

fn document(version: Version) -> Change {
    Change::Document(entry(version).body)
}

#[test]
fn a_change_is_identified_by_its_id_and_its_content() {
    let log = digest_log(0..10);
    assert_eq!(log.status_of(ChangeId(104), &document(4)), ChangeStatus::Decided(4));
    assert_eq!(log.status_of(ChangeId(104), &document(5)), ChangeStatus::IdReused);
    assert_eq!(log.status_of(ChangeId(999), &document(4)), ChangeStatus::Unknown);
    // Two changes with the same identifier are both recognized.
    let mut log = digest_log(0..10);
    log.insert_missing([EntryDigest::of(&LogEntry { change_id: ChangeId(104), body: "other".into(), ..entry(10) })]);
    assert_eq!(log.status_of(ChangeId(104), &document(4)), ChangeStatus::Decided(4));
    assert_eq!(log.status_of(ChangeId(104), &Change::Document("other".into())), ChangeStatus::Decided(10));
}

#[test]
fn a_change_of_voters_is_identified_by_the_voters() {
    let mut log = digest_log(0..3);
    log.insert_missing([EntryDigest::of(&LogEntry { voters_since: 3, voters: vec![voter(1), voter(2)], ..entry(3) })]);
    assert_eq!(log.status_of(ChangeId(103), &Change::Voters(vec![voter(2), voter(1)])), ChangeStatus::Decided(3));
    assert_eq!(log.status_of(ChangeId(103), &Change::Voters(vec![voter(1)])), ChangeStatus::IdReused);
    assert_eq!(log.status_of(ChangeId(103), &document(3)), ChangeStatus::IdReused);
}

#[test]
fn lookups_return_no_result_where_digests_are_missing() {
    // The versions whose digests are retained, the base revision, and the version known to follow it.
    let cases: [(&[Version], u64, Option<Version>); 7] = [
        (&[0, 1, 2, 3], 3, Some(2)),
        (&[0, 1, 2, 3], 4, Some(2)),
        (&[0, 1, 2, 3], 9, None),
        (&[0, 1, 3], 3, None),
        (&[0, 1, 3], 6, None),
        (&[2, 3], 3, None),
        (&[3, 2], 6, Some(3)),
    ];
    for (retained, base, expected) in cases {
        let successor = digest_log(retained.iter().copied()).after_revision(base).map(|digest| digest.version);
        assert_eq!(successor, expected, "{retained:?}, {base}");
    }
    assert_eq!(digest_log([0, 1, 3]).after_version(1), None);
    assert_eq!(digest_log([0, 1, 3]).after_version(2).map(|digest| digest.version), Some(3));
    assert_eq!(digest_log([0]).after_version(Version::MAX), None);
}

#[test]
fn gaps_are_filled_in_chunks_the_newest_versions_first() {
    let complete_log = digest_log(0..1_000);
    let mut log = digest_log((0..50).chain(400..410).chain([999]));
    assert_eq!(log.newest_gap(), Some((410, 998)));
    let mut chunks = 0;
    while let Some((from, to)) = log.newest_gap() {
        let chunk = complete_log.chunk(from, to, 300);
        assert!(chunk.len() <= 300 && chunk.last().is_some_and(|digest| digest.version == to));
        assert_eq!(log.insert_missing(chunk.clone()), chunk, "the whole chunk is new");
        assert!(log.insert_missing(chunk).is_empty(), "nothing is inserted twice");
        chunks += 1;
    }
    assert_eq!((log, chunks), (complete_log, 4));
}

#[test]
fn the_oldest_digests_are_removed_beyond_the_maximum() {
    let max_digests = MAX_DIGESTS as Version;
    let mut log = digest_log(0..max_digests);
    assert_eq!((log.len(), log.newest_gap()), (MAX_DIGESTS, None));
    log.insert_missing([EntryDigest::of(&entry(max_digests + 4))]);
    assert_eq!((log.lowest_retained_version(), log.len()), (5, MAX_DIGESTS - 4));
    assert_eq!(log.status_of(ChangeId(104), &document(4)), ChangeStatus::Unknown);
    assert_eq!(log.status_of(ChangeId(105), &document(5)), ChangeStatus::Decided(5));
    assert_eq!(log.newest_gap(), Some((max_digests, max_digests + 3)));
    assert!(log.insert_missing([EntryDigest::of(&entry(3))]).is_empty(), "digests that are too old are not inserted");
}

/// A faulty peer may send two digests of one version in one message: the first is inserted, and the change
/// identifier of the second stays unknown.
#[test]
fn only_the_first_of_two_digests_of_one_version_is_inserted() {
    let first = EntryDigest::of(&entry(4));
    let second = EntryDigest::of(&LogEntry { change_id: ChangeId(900), body: "other".into(), ..entry(4) });
    let mut log = digest_log(0..4);
    assert_eq!(log.insert_missing([first, second]).len(), 1, "what is to be written to the disk");
    assert_eq!(log.len(), 5);
    assert_eq!(log.status_of(ChangeId(104), &document(4)), ChangeStatus::Decided(4));
    assert_eq!(log.status_of(ChangeId(900), &document(4)), ChangeStatus::Unknown);
    assert_eq!(log.with_id(ChangeId(900)).count(), 0);
}
