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

/// A message with a golden file.
struct Case {
    /// The part of the file name that tells this case from others of the same variant; empty for the plain case.
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
    let groups = [
        gossip(),
        consensus(),
        freshness_and_updates(),
        worker_reports(),
        leases(),
        quota(),
        forwarded_changes(),
        share_messages(),
        registrations_and_clocks(),
    ];
    groups.into_iter().flatten().collect()
}

fn gossip() -> Vec<Case> {
    let bootstrap = |version| {
        Message::Membership(MembershipMessage::Bootstrap {
            sender: core(6),
            version,
            vote: vec![core(7), core(8)],
            may_bootstrap: true,
        })
    };
    vec![
        plain(Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![heartbeat()],
            records: vec![peer(), draining_peer()],
            unknown_nodes: vec![NodeId(201), NodeId(202)],
            wants_reply: true,
            incarnation_set: 203,
            compact_heartbeats: vec![0x21, 0x00, 0xE2, 0x23],
        })),
        plain(bootstrap(Some(211))),
        case("without_version", bootstrap(None)),
    ]
}

fn consensus() -> Vec<Case> {
    let promise =
        |accepted| Message::Consensus(ConsensusMessage::Promise { instance: 221, ballot: ballot(222), accepted });
    let accept = |entry| Message::Consensus(ConsensusMessage::Accept { ballot: ballot(223), entry });
    vec![
        plain(Message::Consensus(ConsensusMessage::Prepare { instance: 224, ballot: ballot(225) })),
        plain(promise(Some((ballot(226), full_decree())))),
        case("body", promise(Some((ballot(226), body_decree())))),
        case("patch", promise(Some((ballot(226), patch_entry())))),
        case("packed", promise(Some((ballot(226), compressed_entry())))),
        case("nothing_accepted", promise(None)),
        plain(Message::Consensus(ConsensusMessage::Reject { instance: 227, ballot: ballot(228) })),
        plain(accept(full_decree())),
        case("body", accept(body_decree())),
        case("patch", accept(patch_entry())),
        case("packed", accept(compressed_entry())),
        plain(Message::Consensus(ConsensusMessage::Accepted { instance: 229, ballot: ballot(230) })),
        plain(Message::Consensus(ConsensusMessage::Replicate { entries: vec![full_decree(), body_decree()] })),
        case("body", Message::Consensus(ConsensusMessage::Replicate { entries: vec![body_decree()] })),
        case("patch", Message::Consensus(ConsensusMessage::Replicate { entries: vec![patch_entry()] })),
        case("packed", Message::Consensus(ConsensusMessage::Replicate { entries: vec![compressed_entry()] })),
        plain(Message::Consensus(ConsensusMessage::Synced { version: 231 })),
        plain(Message::Consensus(ConsensusMessage::DigestRequest { from: 232, to: 233 })),
        plain(Message::Consensus(ConsensusMessage::DigestReply {
            from: 234,
            to: 235,
            digests: vec![digest(1), digest(200)],
        })),
    ]
}

fn freshness_and_updates() -> Vec<Case> {
    let freshness_reply = |ready_set| {
        Message::Consensus(ConsensusMessage::FreshnessReply {
            seq: 241,
            version: 242,
            synced_version: 243,
            ready_set,
            has_accepted: true,
        })
    };
    let update = |confirmed_age, preceding, entry| {
        Message::Dissemination(DisseminationMessage::Update {
            request_seq: 251,
            answered_after: 252,
            confirmed_age,
            version: 254,
            preceding,
            entry,
            change_index: 255,
            is_complete: true,
            reports: vec![worker_report(), removal_report()],
        })
    };
    vec![
        plain(Message::Consensus(ConsensusMessage::FreshnessProbe { seq: 244, version: 245 })),
        plain(freshness_reply(Some(246))),
        case("not_ready", freshness_reply(None)),
        plain(Message::Dissemination(DisseminationMessage::Subscribe {
            seq: 247,
            next_version: 248,
            from_index: 249,
            incarnation: 250,
            topics: vec!["small".into(), "large".into()],
        })),
        plain(update(Some(253), vec![patch_entry()], Some(full_decree()))),
        case("body", update(Some(253), Vec::new(), Some(body_decree()))),
        case("patch", update(Some(253), Vec::new(), Some(patch_entry()))),
        case("packed", update(Some(253), vec![compressed_entry()], Some(compressed_entry()))),
        case("without_decree", update(Some(253), Vec::new(), None)),
        case("without_stamp", update(None, Vec::new(), None)),
    ]
}

fn worker_reports() -> Vec<Case> {
    vec![
        plain(Message::Dissemination(DisseminationMessage::Reports {
            reports: vec![worker_report(), removal_report()],
        })),
        plain(Message::Dissemination(DisseminationMessage::Removals {
            reports: vec![removal_report(), worker_report()],
        })),
        plain(Message::Dissemination(DisseminationMessage::RemovalsReceived { keys: removal_keys() })),
        plain(Message::Dissemination(DisseminationMessage::RemovalsKnownByAll { keys: removal_keys() })),
    ]
}

fn leases() -> Vec<Case> {
    let grants = || vec![grant(1), grant(2)];
    let incarnations = || vec![life(3), life(4)];
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
            registered: incarnations(),
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
            registered: incarnations(),
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

/// One case for each variant of `Change` and of `ChangeOutcome`, labelled with the name of the variant.
fn forwarded_changes() -> Vec<Case> {
    let changes = [
        Change::Tree("{\"tree\":1}".into()),
        Change::Document("{\"revision\":2}".into()),
        Change::Patch(patch()),
        Change::Voters(vec![core(9), core(10)]),
        Change::QueryOutcome,
        Change::ReadHistory,
        Change::ReadNewest,
    ];
    let outcomes = [
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
    let forward_reply = |outcome: ChangeOutcome| {
        case(outcome_name(&outcome), Message::Consensus(ConsensusMessage::ForwardReply { request_id: 324, outcome }))
    };
    changes.into_iter().map(forward).chain(outcomes.into_iter().map(forward_reply)).collect()
}

fn share_messages() -> Vec<Case> {
    let claims = || vec![lease_claim(1), lease_claim(2)];
    vec![
        plain(Message::Quota(QuotaMessage::ShareProbe { claims: claims() })),
        plain(Message::Quota(QuotaMessage::ShareProbeReply {
            addr: "10.5.0.1:7400".into(),
            claims: claims(),
            age: 341,
        })),
        plain(Message::Quota(QuotaMessage::ShareRequests {
            request_id: 342,
            requests: vec![share_request()],
            claims: claims(),
            idle_for: vec![343],
        })),
        plain(Message::Quota(QuotaMessage::ShareGrants {
            request_id: 344,
            grants: vec![share_grant()],
            claims: claims(),
        })),
        plain(Message::Quota(QuotaMessage::LoanRequests { request_id: 345, requests: vec![loan_request()] })),
        plain(Message::Quota(QuotaMessage::Loans { request_id: 346, loans: vec![loan()] })),
    ]
}

fn registrations_and_clocks() -> Vec<Case> {
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
        let encoded = encode_frame(&case.frame()).expect("the frame can be encoded");
        let stored = folder().expect_same_bytes(&file_name, &encoded);
        let decoded = decode_frame(&stored).unwrap_or_else(|error| panic!("{file_name}: {error}"));
        assert_eq!(decoded, case.frame(), "{file_name}: decoded to another value");
        assert_eq!(encode_frame(&decoded).as_ref(), Ok(&stored), "{file_name}: encoded again to other bytes");
    }
    // In the same test, so that the files that this run writes exist already.
    let file_names: Vec<String> = cases().iter().map(Case::file_name).collect();
    folder().expect_only(file_names.iter().map(String::as_str));
}

#[test]
fn each_variant_has_a_case() {
    let messages: BTreeSet<&str> = cases().iter().map(|case| message_name(&case.message)).collect();
    assert_eq!(messages, message_names().into_iter().collect(), "variants of Message");
    let labels_of = |variant: &str| -> BTreeSet<String> {
        let of_variant = forwarded_changes().into_iter().filter(|case| message_name(&case.message) == variant);
        of_variant.map(|case| case.label).collect()
    };
    let owned = |names: &[&str]| -> BTreeSet<String> { names.iter().map(|name| (*name).to_owned()).collect() };
    assert_eq!(labels_of("forward"), owned(CHANGE_NAMES), "variants of Change");
    assert_eq!(labels_of("forwarded"), owned(OUTCOME_NAMES), "variants of ChangeOutcome");
}
