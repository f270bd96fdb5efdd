//! One golden frame for each message between nodes, and for each kind of optional content.

use crate::folder::GoldenFolder;
use crate::values::*;
use crate::variants::{CHANGE_NAMES, OUTCOME_NAMES, change_name, message_name, message_names, outcome_name};
use std::collections::BTreeSet;
use sumacvale_core::base::{ChangeId, NodeId};
use sumacvale_core::protocol::{
    Change, ChangeOutcome, ConsensusMessage, DisseminationMessage, Frame, LeaseMessage, MembershipMessage, Message,
    QuotaMessage, decode_frame, encode_frame,
};

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
    let found = |version| {
        Message::Membership(MembershipMessage::Bootstrap {
            sender: core(6),
            version,
            vote: vec![core(7), core(8)],
            may_bootstrap: true,
        })
    };
    vec![
        plain(Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![beat()],
            records: vec![peer(), leaving_peer()],
            unknown_nodes: vec![NodeId(201), NodeId(202)],
            wants_reply: true,
            incarnation_set: 203,
            compact_heartbeats: vec![0x21, 0x00, 0xE2, 0x23],
        })),
        plain(found(Some(211))),
        case("without_version", found(None)),
    ]
}

fn agreement() -> Vec<Case> {
    let promise =
        |accepted| Message::Consensus(ConsensusMessage::Promise { instance: 221, ballot: ballot(222), accepted });
    let accept = |decree| Message::Consensus(ConsensusMessage::Accept { ballot: ballot(223), entry: decree });
    vec![
        plain(Message::Consensus(ConsensusMessage::Prepare { instance: 224, ballot: ballot(225) })),
        plain(promise(Some((ballot(226), full_decree())))),
        case("body", promise(Some((ballot(226), body_decree())))),
        case("patch", promise(Some((ballot(226), patch_decree())))),
        case("packed", promise(Some((ballot(226), packed_decree())))),
        case("nothing_accepted", promise(None)),
        plain(Message::Consensus(ConsensusMessage::Reject { instance: 227, ballot: ballot(228) })),
        plain(accept(full_decree())),
        case("body", accept(body_decree())),
        case("patch", accept(patch_decree())),
        case("packed", accept(packed_decree())),
        plain(Message::Consensus(ConsensusMessage::Accepted { instance: 229, ballot: ballot(230) })),
        plain(Message::Consensus(ConsensusMessage::Replicate { entries: vec![full_decree(), body_decree()] })),
        case("body", Message::Consensus(ConsensusMessage::Replicate { entries: vec![body_decree()] })),
        case("patch", Message::Consensus(ConsensusMessage::Replicate { entries: vec![patch_decree()] })),
        case("packed", Message::Consensus(ConsensusMessage::Replicate { entries: vec![packed_decree()] })),
        plain(Message::Consensus(ConsensusMessage::Synced { version: 231 })),
        plain(Message::Consensus(ConsensusMessage::DigestRequest { from: 232, to: 233 })),
        plain(Message::Consensus(ConsensusMessage::DigestReply {
            from: 234,
            to: 235,
            digests: vec![digest(1), digest(200)],
        })),
    ]
}

fn news() -> Vec<Case> {
    let confirmed = |ready| {
        Message::Consensus(ConsensusMessage::FreshnessReply {
            seq: 241,
            version: 242,
            synced_version: 243,
            ready_set: ready,
            has_accepted: true,
        })
    };
    let tell = |stamp, before, decree| {
        Message::Dissemination(DisseminationMessage::Update {
            request_seq: 251,
            answered_after: 252,
            confirmed_age: stamp,
            version: 254,
            preceding: before,
            entry: decree,
            change_index: 255,
            is_complete: true,
            reports: vec![row(), gone_row()],
        })
    };
    vec![
        plain(Message::Consensus(ConsensusMessage::FreshnessProbe { seq: 244, version: 245 })),
        plain(confirmed(Some(246))),
        case("not_ready", confirmed(None)),
        plain(Message::Dissemination(DisseminationMessage::Subscribe {
            seq: 247,
            next_version: 248,
            from_index: 249,
            incarnation: 250,
            topics: vec!["small".into(), "large".into()],
        })),
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
        plain(Message::Dissemination(DisseminationMessage::Reports { reports: vec![row(), gone_row()] })),
        plain(Message::Dissemination(DisseminationMessage::Removals { reports: vec![gone_row(), row()] })),
        plain(Message::Dissemination(DisseminationMessage::RemovalsReceived { keys: row_keys() })),
        plain(Message::Dissemination(DisseminationMessage::RemovalsKnownByAll { keys: row_keys() })),
    ]
}

fn terms() -> Vec<Case> {
    let grants = || vec![grant(1), grant(2)];
    let lives = || vec![life(3), life(4)];
    vec![
        plain(Message::Lease(LeaseMessage::Request {
            voter_set: 261,
            role: 262,
            epoch: 263,
            request_id: 264,
            is_new_epoch: true,
        })),
        plain(Message::Lease(LeaseMessage::Granted {
            role: 265,
            epoch: 266,
            request_id: 267,
            grants: grants(),
            has_no_predecessor: true,
            registered: lives(),
        })),
        plain(Message::Lease(LeaseMessage::Rejected {
            role: 268,
            epoch: 269,
            request_id: 270,
            holder: NodeId(271),
            remaining: 272,
        })),
        plain(Message::Quota(QuotaMessage::ReplicateGrants {
            voter_set: 273,
            role: 274,
            epoch: 275,
            request_id: 276,
            grants: grants(),
        })),
        plain(Message::Quota(QuotaMessage::GrantsSynced { role: 277, epoch: 278, request_id: 279 })),
        plain(Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 280 })),
        plain(Message::Membership(MembershipMessage::TakeoverReply {
            voter_set: 281,
            is_complete: true,
            grants: grants(),
            registered: lives(),
        })),
        plain(Message::Lease(LeaseMessage::HeldLeasesQuery { query_id: 282 })),
        plain(Message::Lease(LeaseMessage::NoHeldLeases { query_id: 283 })),
    ]
}

fn quota() -> Vec<Case> {
    let tenant = || "acme".to_owned();
    vec![
        plain(Message::Quota(QuotaMessage::SliceRequest {
            request_id: 301,
            tenant: tenant(),
            wanted_units: 302,
            window: 303,
            returned: 304,
        })),
        plain(Message::Quota(QuotaMessage::SliceGranted {
            request_id: 305,
            tenant: tenant(),
            window: 306,
            granted_total: 307,
            remaining: 308,
            epoch: 309,
        })),
        plain(Message::Quota(QuotaMessage::WindowSpent {
            request_id: 310,
            tenant: tenant(),
            window: 311,
            remaining: 312,
        })),
        plain(Message::Quota(QuotaMessage::NotLeaseHolder { request_id: 313, tenant: tenant(), holder: NodeId(314) })),
        plain(Message::Quota(QuotaMessage::RecallSlice { tenant: tenant(), window: 315, epoch: 316 })),
        plain(Message::Quota(QuotaMessage::ReturnSlice { tenant: tenant(), window: 317, returned: 318 })),
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
        case(
            label,
            Message::Consensus(ConsensusMessage::Forward {
                request_id: 321,
                change_id: ChangeId(322),
                is_first_send: true,
                base: 323,
                change,
            }),
        )
    };
    let forwarded = |fate: ChangeOutcome| {
        case(outcome_name(&fate), Message::Consensus(ConsensusMessage::ForwardReply { request_id: 324, outcome: fate }))
    };
    changes.into_iter().map(forward).chain(fates.into_iter().map(forwarded)).collect()
}

fn shares() -> Vec<Case> {
    let marks = || vec![share_mark(1), share_mark(2)];
    vec![
        plain(Message::Quota(QuotaMessage::ShareProbe { claims: marks() })),
        plain(Message::Quota(QuotaMessage::ShareProbeReply {
            addr: "10.5.0.1:7400".into(),
            claims: marks(),
            age: 341,
        })),
        plain(Message::Quota(QuotaMessage::ShareRequests {
            request_id: 342,
            requests: vec![share_ask()],
            claims: marks(),
            idle_for: vec![343],
        })),
        plain(Message::Quota(QuotaMessage::ShareGrants {
            request_id: 344,
            grants: vec![share_given()],
            claims: marks(),
        })),
        plain(Message::Quota(QuotaMessage::LoanRequests { request_id: 345, requests: vec![loan_request()] })),
        plain(Message::Quota(QuotaMessage::Loans { request_id: 346, loans: vec![loan()] })),
    ]
}

fn other() -> Vec<Case> {
    vec![
        plain(Message::Membership(MembershipMessage::Ready { voter_set: 351 })),
        plain(Message::Membership(MembershipMessage::Register {
            voter_set: 352,
            request_id: 353,
            incarnations: vec![life(5), life(6)],
        })),
        plain(Message::Membership(MembershipMessage::Registered { voter_set: 354, request_id: 355 })),
        plain(Message::Dissemination(DisseminationMessage::ClockRequest { request_id: 356 })),
        plain(Message::Dissemination(DisseminationMessage::ClockReply { request_id: 357 })),
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
    assert_eq!(messages, message_names().into_iter().collect(), "variants of Message");
    let labels_of = |variant: &str| -> BTreeSet<String> {
        let of_variant = changes().into_iter().filter(|case| message_name(&case.message) == variant);
        of_variant.map(|case| case.label).collect()
    };
    let owned = |names: &[&str]| -> BTreeSet<String> { names.iter().map(|name| (*name).to_owned()).collect() };
    assert_eq!(labels_of("forward"), owned(CHANGE_NAMES), "variants of Change");
    assert_eq!(labels_of("forwarded"), owned(OUTCOME_NAMES), "variants of ChangeOutcome");
}
