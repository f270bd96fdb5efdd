//! Digests of decided versions: what is concluded from them, and what is not where some are missing.

use sumacvale_core::base::{ChangeId, NodeId, Version};
use sumacvale_core::consensus::{ChangeStatus, DigestLog, MAX_DIGESTS};
use sumacvale_core::protocol::{Change, EntryDigest, LogEntry, Voter};

fn core(n: u64) -> Voter {
    Voter { node_id: NodeId(n), addr: format!("10.0.0.{n}:1") }
}

/// Version `version` with a document of number `3 * version`.
fn decree(version: Version) -> LogEntry {
    LogEntry {
        version,
        change_id: ChangeId(version + 100),
        fleet_id: 9,
        voters_since: 0,
        previous_voters: Vec::new(),
        voters: vec![core(1)],
        body: format!("document {version}"),
        revision: 3 * version,
        patch: None,
        compressed: Vec::new(),
    }
}

fn digests(versions: impl IntoIterator<Item = Version>) -> DigestLog {
    let mut all = DigestLog::default();
    all.insert_all(versions.into_iter().map(|v| EntryDigest::of(&decree(v))));
    all
}

fn document(version: Version) -> Change {
    Change::Document(decree(version).body)
}

#[test]
fn a_change_is_known_by_its_id_and_all_of_its_bytes() {
    let all = digests(0..10);
    assert_eq!(all.status_of(ChangeId(104), &document(4)), ChangeStatus::Decided(4));
    assert_eq!(all.status_of(ChangeId(104), &document(5)), ChangeStatus::IdReused);
    assert_eq!(all.status_of(ChangeId(999), &document(4)), ChangeStatus::Unknown);
    // Of two changes under one id each is known.
    let mut all = digests(0..10);
    all.insert_all([EntryDigest::of(&LogEntry { change_id: ChangeId(104), body: "other".into(), ..decree(10) })]);
    assert_eq!(all.status_of(ChangeId(104), &document(4)), ChangeStatus::Decided(4));
    assert_eq!(all.status_of(ChangeId(104), &Change::Document("other".into())), ChangeStatus::Decided(10));
}

#[test]
fn a_change_of_the_cores_is_known_by_the_cores() {
    let mut all = digests(0..3);
    all.insert_all([EntryDigest::of(&LogEntry { voters_since: 3, voters: vec![core(1), core(2)], ..decree(3) })]);
    assert_eq!(all.status_of(ChangeId(103), &Change::Voters(vec![core(2), core(1)])), ChangeStatus::Decided(3));
    assert_eq!(all.status_of(ChangeId(103), &Change::Voters(vec![core(1)])), ChangeStatus::IdReused);
    assert_eq!(all.status_of(ChangeId(103), &document(3)), ChangeStatus::IdReused);
}

#[test]
fn nothing_is_concluded_where_versions_are_missing() {
    // Which versions are held; the base that is asked about; the version known to come after it.
    let cases: [(&[Version], u64, Option<Version>); 7] = [
        (&[0, 1, 2, 3], 3, Some(2)),
        (&[0, 1, 2, 3], 4, Some(2)),
        (&[0, 1, 2, 3], 9, None),
        (&[0, 1, 3], 3, None),
        (&[0, 1, 3], 6, None),
        (&[2, 3], 3, None),
        (&[3, 2], 6, Some(3)),
    ];
    for (held, base, want) in cases {
        let after = digests(held.iter().copied()).after_revision(base).map(|d| d.version);
        assert_eq!(after, want, "{held:?}, {base}");
    }
    assert_eq!(digests([0, 1, 3]).after_version(1), None);
    assert_eq!(digests([0, 1, 3]).after_version(2).map(|d| d.version), Some(3));
    assert_eq!(digests([0]).after_version(Version::MAX), None);
}

#[test]
fn what_is_missing_is_asked_for_from_the_newest_on_in_pieces() {
    let full = digests(0..1_000);
    let mut mine = digests((0..50).chain(400..410).chain([999]));
    assert_eq!(mine.newest_gap(), Some((410, 998)));
    let mut pieces = 0;
    while let Some((from, to)) = mine.newest_gap() {
        let piece = full.chunk(from, to, 300);
        assert!(piece.len() <= 300 && piece.last().is_some_and(|d| d.version == to));
        assert_eq!(mine.insert_all(piece.clone()), piece, "all of it is new");
        assert!(mine.insert_all(piece).is_empty(), "nothing is taken twice");
        pieces += 1;
    }
    assert_eq!((mine, pieces), (full, 4));
}

#[test]
fn the_oldest_go_where_there_are_too_many() {
    let most = MAX_DIGESTS as Version;
    let mut all = digests(0..most);
    assert_eq!((all.len(), all.newest_gap()), (MAX_DIGESTS, None));
    all.insert_all([EntryDigest::of(&decree(most + 4))]);
    assert_eq!((all.lowest_kept_version(), all.len()), (5, MAX_DIGESTS - 4));
    assert_eq!(all.status_of(ChangeId(104), &document(4)), ChangeStatus::Unknown);
    assert_eq!(all.status_of(ChangeId(105), &document(5)), ChangeStatus::Decided(5));
    assert_eq!(all.newest_gap(), Some((most, most + 3)));
    assert!(all.insert_all([EntryDigest::of(&decree(3))]).is_empty(), "what is too old is not taken");
}
