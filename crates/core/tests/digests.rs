//! Digests of decided versions: what is concluded from them, and what is not where some are missing.

use sumacvale_core::agree::{DIGESTS, Digests, Known};
use sumacvale_core::base::{ChangeId, NodeId, Version};
use sumacvale_core::peer::{Change, Core, Decree, Digest};

fn core(n: u64) -> Core {
    Core { node_id: NodeId(n), addr: format!("10.0.0.{n}:1") }
}

/// Version `version` with a document of number `3 * version`.
fn decree(version: Version) -> Decree {
    Decree {
        version,
        change_id: ChangeId(version + 100),
        fleet: 9,
        since: 0,
        old: Vec::new(),
        cores: vec![core(1)],
        body: format!("document {version}"),
        revision: 3 * version,
        patch: None,
        packed: Vec::new(),
    }
}

fn digests(versions: impl IntoIterator<Item = Version>) -> Digests {
    let mut all = Digests::default();
    all.extend(versions.into_iter().map(|v| Digest::of(&decree(v))));
    all
}

fn document(version: Version) -> Change {
    Change::Doc(decree(version).body)
}

#[test]
fn a_change_is_known_by_its_id_and_all_of_its_bytes() {
    let all = digests(0..10);
    assert_eq!(all.find(ChangeId(104), &document(4)), Known::Taken(4));
    assert_eq!(all.find(ChangeId(104), &document(5)), Known::Reused);
    assert_eq!(all.find(ChangeId(999), &document(4)), Known::Absent);
    // Of two changes under one id each is known.
    let mut all = digests(0..10);
    all.extend([Digest::of(&Decree { change_id: ChangeId(104), body: "other".into(), ..decree(10) })]);
    assert_eq!(all.find(ChangeId(104), &document(4)), Known::Taken(4));
    assert_eq!(all.find(ChangeId(104), &Change::Doc("other".into())), Known::Taken(10));
}

#[test]
fn a_change_of_the_cores_is_known_by_the_cores() {
    let mut all = digests(0..3);
    all.extend([Digest::of(&Decree { since: 3, cores: vec![core(1), core(2)], ..decree(3) })]);
    assert_eq!(all.find(ChangeId(103), &Change::Cores(vec![core(2), core(1)])), Known::Taken(3));
    assert_eq!(all.find(ChangeId(103), &Change::Cores(vec![core(1)])), Known::Reused);
    assert_eq!(all.find(ChangeId(103), &document(3)), Known::Reused);
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
    assert_eq!(mine.missing(), Some((410, 998)));
    let mut pieces = 0;
    while let Some((from, to)) = mine.missing() {
        let piece = full.piece(from, to, 300);
        assert!(piece.len() <= 300 && piece.last().is_some_and(|d| d.version == to));
        assert_eq!(mine.extend(piece.clone()), piece, "all of it is new");
        assert!(mine.extend(piece).is_empty(), "nothing is taken twice");
        pieces += 1;
    }
    assert_eq!((mine, pieces), (full, 4));
}

#[test]
fn the_oldest_go_where_there_are_too_many() {
    let most = DIGESTS as Version;
    let mut all = digests(0..most);
    assert_eq!((all.len(), all.missing()), (DIGESTS, None));
    all.extend([Digest::of(&decree(most + 4))]);
    assert_eq!((all.floor(), all.len()), (5, DIGESTS - 4));
    assert_eq!(all.find(ChangeId(104), &document(4)), Known::Absent);
    assert_eq!(all.find(ChangeId(105), &document(5)), Known::Taken(5));
    assert_eq!(all.missing(), Some((most, most + 3)));
    assert!(all.extend([Digest::of(&decree(3))]).is_empty(), "what is too old is not taken");
}
