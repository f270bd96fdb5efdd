//! One golden frame for each message between nodes, and for each kind of optional content.

use crate::folder::GoldenFolder;
use crate::values::*;
use crate::variants::{CHANGE_NAMES, FATE_NAMES, MESSAGE_NAMES, change_name, fate_name, message_name};
use std::collections::BTreeSet;
use sumacvale_core::base::{ChangeId, NodeId};
use sumacvale_core::protocol::{Change, ChangeOutcome, Frame, Message, decode_frame, encode_frame};

/// A message, and what tells its file from others of the same variant; empty for the plain one.
struct Case {
    label: String,
    message: Message,
}

impl Case {
    fn file_name(&self) -> String {
        let variant = message_name(&self.message);
        if self.label.is_empty() { format!("{variant}.bin") } else { format!("{variant}-{}.bin", self.label) }
    }

    fn frame(&self) -> Frame {
        Frame {
            from: NodeId(0xFF00_1122_3344_5566),
            to: NodeId(0x7788),
            incarnation: 101,
            fleet_id: 10_002,
            sent_at: 1_700_000_000_003,
            message: self.message.clone(),
        }
    }
}

fn case(label: &str, message: Message) -> Case {
    Case { label: label.into(), message }
}

fn plain(message: Message) -> Case {
    case("", message)
}

fn cases() -> Vec<Case> {
    let groups = [gossip(), agreement(), news(), workers(), terms(), quota(), changes(), shares(), other()];
    groups.into_iter().flatten().collect()
}

fn gossip() -> Vec<Case> {
    let found = |version| Message::Found { me: core(6), version, pledge: vec![core(7), core(8)], first: true };
    vec![
        plain(Message::Gossip {
            beats: vec![beat()],
            rows: vec![peer(), leaving_peer()],
            ask: vec![NodeId(201), NodeId(202)],
            reply: true,
            set: 203,
            pulse: vec![0x21, 0x00, 0xE2, 0x23],
        }),
        plain(found(Some(211))),
        case("without_version", found(None)),
    ]
}

fn agreement() -> Vec<Case> {
    let promise = |accepted| Message::Promise { instance: 221, ballot: ballot(222), accepted };
    let accept = |decree| Message::Accept { ballot: ballot(223), decree };
    vec![
        plain(Message::Prepare { instance: 224, ballot: ballot(225) }),
        plain(promise(Some((ballot(226), full_decree())))),
        case("body", promise(Some((ballot(226), body_decree())))),
        case("patch", promise(Some((ballot(226), patch_decree())))),
        case("packed", promise(Some((ballot(226), packed_decree())))),
        case("nothing_accepted", promise(None)),
        plain(Message::Refuse { instance: 227, ballot: ballot(228) }),
        plain(accept(full_decree())),
        case("body", accept(body_decree())),
        case("patch", accept(patch_decree())),
        case("packed", accept(packed_decree())),
        plain(Message::Accepted { instance: 229, ballot: ballot(230) }),
        plain(Message::Learn { decrees: vec![full_decree(), body_decree()] }),
        case("body", Message::Learn { decrees: vec![body_decree()] }),
        case("patch", Message::Learn { decrees: vec![patch_decree()] }),
        case("packed", Message::Learn { decrees: vec![packed_decree()] }),
        plain(Message::Have { version: 231 }),
        plain(Message::DigestAsk { from: 232, to: 233 }),
        plain(Message::Digests { from: 234, to: 235, rows: vec![digest(1), digest(200)] }),
    ]
}

fn news() -> Vec<Case> {
    let confirmed = |ready| Message::Confirmed { seq: 241, version: 242, have: 243, ready, pend: true };
    let tell = |stamp, before, decree| Message::Tell {
        ask: 251,
        since: 252,
        stamp,
        version: 254,
        before,
        decree,
        idx: 255,
        whole: true,
        rows: vec![row(), gone_row()],
    };
    vec![
        plain(Message::Confirm { seq: 244, version: 245 }),
        plain(confirmed(Some(246))),
        case("not_ready", confirmed(None)),
        plain(Message::Ask { seq: 247, version: 248, idx: 249, of: 250, svcs: vec!["small".into(), "large".into()] }),
        plain(tell(Some(253), vec![patch_decree()], Some(full_decree()))),
        case("body", tell(Some(253), Vec::new(), Some(body_decree()))),
        case("patch", tell(Some(253), Vec::new(), Some(patch_decree()))),
        case("packed", tell(Some(253), vec![packed_decree()], Some(packed_decree()))),
        case("without_decree", tell(Some(253), Vec::new(), None)),
        case("without_stamp", tell(None, Vec::new(), None)),
    ]
}

fn workers() -> Vec<Case> {
    vec![
        plain(Message::Reports { rows: vec![row(), gone_row()] }),
        plain(Message::Ends { rows: vec![gone_row(), row()] }),
        plain(Message::EndsOk { keys: row_keys() }),
        plain(Message::EndsDone { keys: row_keys() }),
    ]
}

fn terms() -> Vec<Case> {
    let grants = || vec![grant(1), grant(2)];
    let lives = || vec![life(3), life(4)];
    vec![
        plain(Message::TermAsk { set: 261, duty: 262, epoch: 263, n: 264, new: true }),
        plain(Message::TermYes { duty: 265, epoch: 266, n: 267, rows: grants(), first: true, lives: lives() }),
        plain(Message::TermNo { duty: 268, epoch: 269, n: 270, holder: NodeId(271), left: 272 }),
        plain(Message::Grants { set: 273, duty: 274, epoch: 275, n: 276, rows: grants() }),
        plain(Message::GrantsOk { duty: 277, epoch: 278, n: 279 }),
        plain(Message::TakeoverAsk { set: 280 }),
        plain(Message::TakeoverReply { set: 281, full: true, rows: grants(), lives: lives() }),
        plain(Message::HoldsAsk { n: 282 }),
        plain(Message::HoldsNone { n: 283 }),
    ]
}

fn quota() -> Vec<Case> {
    let tenant = || "acme".to_owned();
    vec![
        plain(Message::SliceAsk { n: 301, tenant: tenant(), want: 302, window: 303, returned: 304 }),
        plain(Message::Slice { n: 305, tenant: tenant(), window: 306, granted_total: 307, left: 308, epoch: 309 }),
        plain(Message::Spent { n: 310, tenant: tenant(), window: 311, left: 312 }),
        plain(Message::NotHolder { n: 313, tenant: tenant(), holder: NodeId(314) }),
        plain(Message::Recall { tenant: tenant(), window: 315, epoch: 316 }),
        plain(Message::Return { tenant: tenant(), window: 317, returned: 318 }),
    ]
}

/// One case for each variant of `Change` and of `Fate`, labelled by it.
fn changes() -> Vec<Case> {
    let changes = [
        Change::Tree("{\"tree\":1}".into()),
        Change::Document("{\"revision\":2}".into()),
        Change::Patch(patch()),
        Change::Voters(vec![core(9), core(10)]),
        Change::QueryOutcome,
        Change::ReadHistory,
        Change::ReadNewest,
    ];
    let fates = [
        ChangeOutcome::Committed { version: 331 },
        ChangeOutcome::Stale { version: 332 },
        ChangeOutcome::NoQuorum,
        ChangeOutcome::Unknown,
        ChangeOutcome::IdReused,
        ChangeOutcome::Invalid { reason: "no pool of that name".into() },
        ChangeOutcome::Content { text: "[1,2,3]".into() },
    ];
    let forward = |change: Change| {
        let label = change_name(&change);
        case(label, Message::Forward { n: 321, change_id: ChangeId(322), fresh: true, base: 323, change })
    };
    let forwarded = |fate: ChangeOutcome| case(fate_name(&fate), Message::Forwarded { n: 324, fate });
    changes.into_iter().map(forward).chain(fates.into_iter().map(forwarded)).collect()
}

fn shares() -> Vec<Case> {
    let marks = || vec![share_mark(1), share_mark(2)];
    vec![
        plain(Message::Probe { marks: marks() }),
        plain(Message::Probed { addr: "10.5.0.1:7400".into(), marks: marks(), age: 341 }),
        plain(Message::ShareAsk { n: 342, rows: vec![share_ask()], marks: marks(), idle: vec![343] }),
        plain(Message::Shares { n: 344, rows: vec![share_given()], marks: marks() }),
    ]
}

fn other() -> Vec<Case> {
    vec![
        plain(Message::Ready { set: 351 }),
        plain(Message::Enroll { set: 352, n: 353, rows: vec![life(5), life(6)] }),
        plain(Message::Enrolled { set: 354, n: 355 }),
        plain(Message::ClockAsk { n: 356 }),
        plain(Message::ClockReply { n: 357 }),
    ]
}

fn folder() -> GoldenFolder {
    GoldenFolder::in_crate(env!("CARGO_MANIFEST_DIR"), "tests/golden/frames")
}

#[test]
fn frames_are_encoded_to_the_golden_bytes_and_decoded_from_them() {
    for case in cases() {
        let file_name = case.file_name();
        let encoded = encode_frame(&case.frame()).expect("the frame can be packed");
        let stored = folder().expect_same_bytes(&file_name, &encoded);
        let decoded = decode_frame(&stored).unwrap_or_else(|error| panic!("{file_name}: {error}"));
        assert_eq!(decoded, case.frame(), "{file_name}: decoded to another value");
        assert_eq!(encode_frame(&decoded).as_ref(), Ok(&stored), "{file_name}: encoded again to other bytes");
    }
    // In the same test, so that files which this run writes are there already.
    let file_names: Vec<String> = cases().iter().map(Case::file_name).collect();
    folder().expect_only(file_names.iter().map(String::as_str));
}

#[test]
fn each_variant_has_a_case() {
    let messages: BTreeSet<&str> = cases().iter().map(|case| message_name(&case.message)).collect();
    assert_eq!(messages, MESSAGE_NAMES.iter().copied().collect(), "variants of Msg");
    let labels_of = |variant: &str| -> BTreeSet<String> {
        let of_variant = changes().into_iter().filter(|case| message_name(&case.message) == variant);
        of_variant.map(|case| case.label).collect()
    };
    let owned = |names: &[&str]| -> BTreeSet<String> { names.iter().map(|name| (*name).to_owned()).collect() };
    assert_eq!(labels_of("forward"), owned(CHANGE_NAMES), "variants of Change");
    assert_eq!(labels_of("forwarded"), owned(FATE_NAMES), "variants of Fate");
}
