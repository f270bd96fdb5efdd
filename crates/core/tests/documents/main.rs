//! Changes of documents with revisions, decided by cores that the test steps directly.

mod deep;
mod net;
#[path = "../nodes/mod.rs"]
mod nodes;
mod packed;
mod patches;
mod restarts;

use net::{ALL, CORES, FRONT, SimulatedNetwork, machine_settings};
use nodes::{core, pool_document};
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, Rng, SEC, hash64};
use sumacvale_core::config::CompiledConfig;
use sumacvale_core::config::check::ConfigError;
use sumacvale_core::consensus::{DurableWrite, MAX_HISTORY_BYTES};
use sumacvale_core::node::{Effect, Event, MAX_BODY_BYTES, MAX_UNSYNCED_BYTES, Node, NodeSettings};
use sumacvale_core::protocol::{
    Change, ChangeOutcome, ConsensusMessage, DisseminationMessage, Frame, Message, PeerRecord,
};

/// A document must name the revision in force as its base and have a higher revision of its own. A document that
/// is sent again has the same outcome as before.
#[test]
fn a_document_is_committed_only_on_the_revision_in_force() {
    type Submitted = (usize, u64, String, &'static str);
    let document = pool_document;
    // Name; the node, base, document and outcome of each change; the final version.
    let cases: Vec<(&str, Vec<Submitted>, u64)> = vec![
        ("the first document", vec![(0, 0, document(1, "a"), "committed")], 1),
        ("at a front", vec![(FRONT, 0, document(1, "a"), "committed")], 1),
        (
            "revisions with gaps",
            vec![
                (0, 0, document(5, "a"), "committed"),
                (1, 5, document(90, "b"), "committed"),
                (2, 90, document(91, "c"), "committed"),
            ],
            3,
        ),
        (
            "the same document again",
            vec![(0, 0, document(5, "a"), "committed"), (0, 0, document(5, "a"), "committed")],
            1,
        ),
        (
            "the same document at another node",
            vec![(0, 0, document(5, "a"), "committed"), (FRONT, 0, document(5, "a"), "committed")],
            1,
        ),
        (
            "the same document after others",
            vec![
                (0, 0, document(5, "a"), "committed"),
                (1, 5, document(6, "b"), "committed"),
                (2, 0, document(5, "a"), "committed"),
            ],
            2,
        ),
        ("a superseded base", vec![(0, 0, document(5, "a"), "committed"), (1, 0, document(6, "b"), "stale")], 1),
        (
            "a base between two revisions",
            vec![(0, 0, document(5, "a"), "committed"), (1, 3, document(6, "b"), "stale")],
            1,
        ),
        (
            "a base that never existed",
            vec![(0, 0, document(5, "a"), "committed"), (1, 7, document(8, "b"), "stale")],
            1,
        ),
        ("an equal revision", vec![(0, 0, document(5, "a"), "committed"), (1, 5, document(5, "b"), "invalid")], 1),
        ("a lower revision", vec![(0, 0, document(5, "a"), "committed"), (1, 5, document(4, "b"), "invalid")], 1),
        ("no revision", vec![(0, 0, "{}".into(), "invalid")], 0),
        ("truncated JSON", vec![(0, 0, "{\"revision\":1,".into(), "invalid")], 0),
        (
            "rejected, then corrected",
            vec![(0, 0, document(0, "a"), "invalid"), (0, 0, document(2, "a"), "committed")],
            1,
        ),
    ];
    for (name, sent, version) in cases {
        let mut net = SimulatedNetwork::new(1);
        let mut last = "{}".to_owned();
        for (index, (node, base, body, expected)) in sent.into_iter().enumerate() {
            let previous_version = net.decided().0;
            assert_eq!(net.submit_and_run(node, base, &body), expected, "{name}, {index}");
            if net.decided().0 > previous_version {
                last = body;
            }
        }
        assert_eq!(net.decided(), (version, last), "{name}");
    }
}

#[test]
fn of_two_documents_on_one_base_exactly_one_wins() {
    for seed in 0..20 {
        for (first, second) in [(0, 1), (1, 2), (2, 2), (FRONT, 0), (FRONT, FRONT)] {
            let mut net = SimulatedNetwork::new(seed);
            assert_eq!(net.submit_and_run(0, 0, &pool_document(3, "zero")), "committed");
            net.submit(first, 1, 3, &pool_document(7, "a"));
            net.submit(second, 2, 3, &pool_document(4, "b"));
            net.run(4 * SEC);
            let outcomes = (net.outcome(1), net.outcome(2));
            let expected = if outcomes.0 == "committed" { pool_document(7, "a") } else { pool_document(4, "b") };
            assert!(
                matches!((outcomes.0.as_str(), outcomes.1.as_str()), ("committed", "stale") | ("stale", "committed")),
                "seed {seed}, at {first} and {second}: {outcomes:?}"
            );
            assert_eq!(net.decided(), (2, expected), "seed {seed}, at {first} and {second}");
        }
    }
}

#[test]
fn a_document_sent_to_several_nodes_at_once_is_one_change() {
    for seed in 0..10 {
        let mut net = SimulatedNetwork::new(seed);
        for (node, request_id) in [(0, 1), (1, 2), (FRONT, 3)] {
            net.submit(node, request_id, 0, &pool_document(9, "a"));
        }
        net.run(4 * SEC);
        assert_eq!([1, 2, 3].map(|r| net.outcome(r)), ["committed", "committed", "committed"], "seed {seed}");
        assert_eq!(net.decided(), (1, pool_document(9, "a")));
    }
}

#[test]
fn a_change_of_voters_makes_no_document_stale() {
    // A change of voters between two documents.
    let mut net = SimulatedNetwork::new(3);
    assert_eq!(net.submit_and_run(0, 0, &pool_document(5, "a")), "committed");
    net.submit_voters(1, 1, &[0, 1]);
    net.run(4 * SEC);
    assert_eq!((net.outcome(1), net.decided()), ("committed".into(), (2, pool_document(5, "a"))));
    assert_eq!(net.submit_and_run(1, 5, &pool_document(6, "b")), "committed");
    assert_eq!(net.submit_and_run(0, 0, &pool_document(5, "a")), "committed", "the first document again");
    assert_eq!(net.submit_and_run(0, 0, &pool_document(7, "c")), "stale");
    assert_eq!(net.decided(), (3, pool_document(6, "b")));
    // A change of voters at the same time as a document, decided in either order.
    for seed in 0..10 {
        let mut net = SimulatedNetwork::new(seed);
        net.submit_voters(1, 0, &[0, 1]);
        net.submit(1, 2, 0, &pool_document(5, "a"));
        net.run(6 * SEC);
        assert_eq!(net.outcome(2), "committed", "seed {seed}: {}", net.outcome(1));
        assert_eq!(net.decided().1, pool_document(5, "a"), "seed {seed}");
    }
}

#[test]
fn a_core_knows_the_outcomes_of_old_documents_after_a_partition() {
    // The documents that the core receives after it missed three versions, and their outcomes.
    for (name, base, body, expected) in [
        ("the first document that it missed", 0, pool_document(2, "a"), "committed"),
        ("the second", 2, pool_document(4, "b"), "committed"),
        ("the newest", 4, pool_document(6, "c"), "committed"),
        ("another document on the base that it holds", 0, pool_document(3, "x"), "stale"),
        ("another document on a base that it missed", 2, pool_document(5, "x"), "stale"),
        ("a document on the newest revision", 6, pool_document(7, "x"), "committed"),
    ] {
        let mut net = SimulatedNetwork::new(5);
        net.partitioned.push(2);
        for (missed_base, revision, pool) in [(0, 2, "a"), (2, 4, "b"), (4, 6, "c")] {
            assert_eq!(net.submit_and_run(0, missed_base, &pool_document(revision, pool)), "committed", "{name}");
        }
        net.partitioned.clear();
        assert_eq!(net.submit_and_run(2, base, &body), expected, "{name}");
    }
}

#[test]
fn a_document_with_an_unknown_outcome_is_retried_and_committed_once() {
    let mut net = SimulatedNetwork::new(8);
    net.partitioned.push(0);
    net.submit(0, 1, 0, &pool_document(2, "a"));
    net.run(4 * SEC);
    assert!(
        !["committed", "stale", "invalid"].contains(&net.outcome(1).as_str()),
        "the partitioned core can't know the outcome: {}",
        net.outcome(1)
    );
    assert_eq!(net.submit_and_run(1, 0, &pool_document(2, "a")), "committed");
    net.partitioned.clear();
    net.run(2 * SEC);
    assert_eq!(net.submit_and_run(0, 0, &pool_document(2, "a")), "committed");
    assert_eq!(net.decided(), (1, pool_document(2, "a")));
}

/// A submitted document whose outcome is pending.
struct Submitted {
    base: u64,
    revision: u64,
    body: String,
    request_id: u64,
    submitted_at: Micros,
    first_submitted_at: Micros,
}

/// Guards against a lost commit and a false rejection: frames are lost, cores are partitioned and restarted, and
/// documents with unknown outcomes are sent again to other nodes.
#[test]
fn despite_losses_an_acknowledged_document_stays_and_a_rejected_one_is_never_decided() {
    let (mut committed, mut stale) = (0, 0);
    for seed in 0..24 {
        let mut net = SimulatedNetwork::new(seed);
        let mut rng = Rng::new(1_000 + seed);
        net.loss_percent = 2;
        let mut submissions: [Option<Submitted>; 2] = [None, None];
        let (mut acknowledged, mut rejected) = (Vec::<(u64, String)>::new(), Vec::new());
        let (mut request_id, mut serial) = (1, 0);
        let mut decided = BTreeMap::new();
        while net.now < 40 * SEC {
            net.run(100 * MS);
            net.collect_decided(&mut decided);
            // At most one core at a time is partitioned or stopped, and later restored.
            if rng.chance_percent(5) && net.partitioned.is_empty() && net.stopped.is_empty() {
                let core_index = usize::try_from(rng.next_below(3)).expect("small");
                if rng.chance_percent(50) { net.partitioned.push(core_index) } else { net.stopped.push(core_index) }
            } else if rng.chance_percent(8) {
                net.partitioned.clear();
                net.stopped.clone().into_iter().for_each(|i| net.restart(i));
            }
            for (index, submission) in submissions.iter_mut().enumerate() {
                let target = usize::try_from(rng.next_below(4)).expect("small");
                let Some(submitted) = submission else {
                    if !rng.chance_percent(15) {
                        continue;
                    }
                    // The base is the newest revision of some core, which may be stale.
                    let core_index = usize::try_from(rng.next_below(3)).expect("small");
                    let base = net.nodes[core_index].consensus.state.newest().map_or(0, |entry| entry.revision);
                    serial += 1;
                    let revision = base + 1 + rng.next_below(9);
                    let body = pool_document(revision, &format!("by{index}n{serial}"));
                    request_id += 1;
                    net.submit(target, request_id, base, &body);
                    *submission = Some(Submitted {
                        base,
                        revision,
                        body,
                        request_id,
                        submitted_at: net.now,
                        first_submitted_at: net.now,
                    });
                    continue;
                };
                match net.outcome(submitted.request_id).as_str() {
                    "committed" => acknowledged.push((submitted.base, submitted.body.clone())),
                    "stale" => rejected.push(submitted.body.clone()),
                    "invalid" => panic!("seed {seed}: {} on {} is valid", submitted.revision, submitted.base),
                    "pending" if net.now < submitted.submitted_at + 4 * SEC => continue,
                    _ => {
                        // The outcome is unknown, so the document is sent again to any node.
                        assert!(
                            net.now < submitted.first_submitted_at + 30 * SEC,
                            "seed {seed}: no definite outcome within 30 s"
                        );
                        request_id += 1;
                        net.submit(target, request_id, submitted.base, &submitted.body);
                        (submitted.request_id, submitted.submitted_at) = (request_id, net.now);
                        continue;
                    }
                }
                *submission = None;
            }
        }
        net.partitioned.clear();
        net.stopped.clone().into_iter().for_each(|i| net.restart(i));
        net.loss_percent = 0;
        net.run(6 * SEC);
        net.decided();
        net.collect_decided(&mut decided);
        let revisions: Vec<_> = decided.values().map(|entry| entry.0).collect();
        assert!(revisions.is_sorted_by(|a, b| a < b), "seed {seed}: revisions increase: {revisions:?}");
        let bodies: BTreeSet<_> = decided.values().map(|entry| entry.1.clone()).collect();
        let bases: BTreeSet<_> = acknowledged.iter().map(|document| document.0).collect();
        assert_eq!(bases.len(), acknowledged.len(), "seed {seed}: two documents were committed on one base");
        for (base, body) in &acknowledged {
            assert!(bodies.contains(body), "seed {seed}: acknowledged on {base} and lost: {body}");
        }
        for body in &rejected {
            assert!(!bodies.contains(body), "seed {seed}: rejected and decided: {body}");
        }
        (committed, stale) = (committed + acknowledged.len(), stale + rejected.len());
    }
    assert!(committed > 200 && stale > 20, "too few outcomes: {committed} committed, {stale} stale");
}

#[test]
fn the_outcome_of_a_change_is_known_after_hundreds_of_others_at_any_node_and_after_any_loss() {
    let mut net = SimulatedNetwork::new(11);
    for (revision, what) in [(1, "a"), (2, "b"), (3, "c")] {
        assert_eq!(net.submit_and_wait(0, revision - 1, &pool_document(revision, what)), "committed");
    }
    let last = net.submit_many(3, 150, |revision| pool_document(revision, "later"));
    let check_outcomes = |net: &mut SimulatedNetwork, when: &str| {
        for node in 0..ALL {
            for (revision, what) in [(1, "a"), (2, "b"), (3, "c")] {
                assert_eq!(
                    net.submit_and_wait(node, revision - 1, &pool_document(revision, what)),
                    "committed",
                    "{when}: committed, sent again to {node}"
                );
                assert_eq!(
                    net.submit_and_wait(node, revision - 1, &pool_document(revision, "x")),
                    "stale",
                    "{when}: another document sent to {node}"
                );
            }
        }
    };
    check_outcomes(&mut net, "later");
    net.restart(0);
    net.run(2 * SEC);
    check_outcomes(&mut net, "after a restart");
    // Each disk is lost once, one after the other, so that no node has seen the changes themselves.
    for i in 0..CORES {
        net.lose_disk(i);
        net.run(4 * SEC);
    }
    check_outcomes(&mut net, "after the loss of every disk");
    assert_eq!(net.submit_many(last, 2, |revision| pool_document(revision, "last")), last + 2);
}

#[test]
fn a_core_that_joined_by_a_snapshot_rejects_nothing_that_may_have_been_decided() {
    let mut net = SimulatedNetwork::new(12);
    for revision in 1..=5 {
        assert_eq!(net.submit_and_wait(0, revision - 1, &pool_document(revision, "a")), "committed");
    }
    let large_document = |revision| pool_document(revision, "a") + &" ".repeat(300_000);
    net.submit_many(5, 20, large_document);
    // The core receives the newest version but no digests of the versions that it skipped.
    net.dropped_kinds = vec!["DigestReply"];
    net.lose_disk(2);
    net.run(4 * SEC);
    for revision in 1..=5 {
        for what in ["a", "x"] {
            let outcome = net.submit_and_wait(2, revision - 1, &pool_document(revision, what));
            assert!(!["stale", "invalid"].contains(&outcome.as_str()), "{revision} {what}: {outcome}");
        }
    }
    net.dropped_kinds.clear();
    net.run(SEC);
    assert_eq!(net.submit_and_wait(2, 0, &pool_document(1, "a")), "committed");
    assert_eq!(net.submit_and_wait(2, 0, &pool_document(1, "x")), "stale");
}

#[test]
fn a_change_that_may_have_been_forwarded_to_another_core_is_not_rejected_by_one_that_skipped_it() {
    let mut net = SimulatedNetwork::new(13);
    let body = pool_document(2, "a");
    let change_id = ChangeId(hash64(body.as_bytes()).max(1));
    net.partitioned.push(0);
    // The change is first forwarded to this core, which is partitioned from the others.
    let message = Message::Consensus(ConsensusMessage::Forward {
        request_id: 9,
        change_id,
        is_first_send: true,
        base: 0,
        change: Change::Document(body.clone()),
    });
    let frame = Frame {
        from: core(FRONT).node_id,
        to: core(0).node_id,
        incarnation: SEC,
        fleet_id: 7,
        sent_at: net.now,
        message,
    };
    net.step(0, Event::Frame(Box::new(frame)));
    // The change is also sent to another core, which gets it decided, followed by a later change.
    assert_eq!(net.submit_and_wait(1, 0, &body), "committed");
    assert_eq!(net.submit_and_wait(1, 2, &pool_document(4, "b")), "committed");
    let newest = net.nodes[1].consensus.state.newest().expect("has a version").clone();
    let message = Message::Consensus(ConsensusMessage::Replicate { entries: vec![newest] });
    let frame =
        Frame { from: core(1).node_id, to: core(0).node_id, incarnation: SEC, fleet_id: 7, sent_at: net.now, message };
    net.sent.clear();
    net.step(0, Event::Frame(Box::new(frame)));
    net.run(4 * SEC);
    let outcomes: Vec<_> =
        net.sent.iter().filter(|message| message.from == 0).filter_map(|message| message.outcome.clone()).collect();
    assert!(!outcomes.is_empty(), "the core replies with an outcome");
    assert!(
        !outcomes.iter().any(|outcome| matches!(outcome, ChangeOutcome::Stale { .. })),
        "committed and rejected: {outcomes:?}"
    );
}

/// Returns a document with 350 matches, the size of a large fleet's.
fn large(revision: u64) -> String {
    let matches: Vec<_> = (0..350)
        .map(|i| {
            let path = format!("/under/the/host/of/somebody/{i}/{}", "long/".repeat(30));
            format!("\"m{i}\":{{\"path\":\"{path}\",\"pool\":\"a\",\"kind\":\"chat\"}}")
        })
        .collect();
    format!("{{\"revision\":{revision},\"pools\":{{\"a\":{{}}}},\"matches\":{{{}}}}}", matches.join(","))
}

/// Guards against replaying every missed version: a restarted core must fetch the newest version directly and send
/// no consensus message based on its old state.
#[test]
fn a_core_that_missed_500_large_changes_catches_up_within_a_second_and_votes_on_no_old_version() {
    let mut net = SimulatedNetwork::new(14);
    assert_eq!(net.submit_and_wait(0, 0, &large(1)), "committed");
    let bytes = large(1).len();
    net.stopped.push(2);
    let last = net.submit_many(1, 500, large);
    net.run(2 * SEC);
    net.sent.clear();
    net.restart(2);
    let restarted_at = net.now;
    while net.nodes[2].version() != net.nodes[0].version() && net.now < restarted_at + 10 * SEC {
        net.run(MS);
    }
    let caught_up_after = net.now - restarted_at;
    let sent_kinds: Vec<_> = net.sent.iter().filter(|message| message.from == 2).map(|message| message.kind).collect();
    let forbidden_kinds = ["Prepare", "Promise", "Accept", "Accepted", "Replicate", "TakeoverReply", "LeaseGranted"];
    assert!(!sent_kinds.iter().any(|kind| forbidden_kinds.contains(kind)), "acted on old state: {sent_kinds:?}");
    assert!(caught_up_after <= SEC, "{} ms until it held the newest version", caught_up_after / MS);
    assert_eq!(net.submit_and_wait(2, 0, &large(1)), "committed");
    assert_eq!(net.submit_and_wait(2, 250, &large(251)), "committed", "a change that it never received");
    assert_eq!(net.submit_and_wait(2, 250, &(large(251) + " ")), "stale");
    let known_after = net.now - restarted_at;
    assert!(known_after <= 4 * SEC, "{} ms until it knew the outcome of every change", known_after / MS);
    net.submit_many(last, 3, large);
    println!(
        "500 changes of {bytes} bytes: newest version after {} ms, all outcomes after {} ms",
        caught_up_after / MS,
        known_after / MS
    );
}

/// Returns a document of about 4 MiB.
fn huge(revision: u64) -> String {
    pool_document(revision, "a") + &" ".repeat((4 << 20) - 100)
}

#[test]
fn bodies_in_memory_are_bounded_in_bytes_while_a_disk_is_stalled() {
    let mut net = SimulatedNetwork::new(15);
    let last = net.submit_many(0, 8, huge);
    net.stalled_disks.push(2);
    let mut max_pending_bytes = 0;
    let mut newest_revision = last;
    for _ in 0..12 {
        // Submitted to the other cores: the stalled core can't acknowledge what is not on its disk.
        let submitter = usize::try_from(newest_revision % 2).expect("small");
        assert_eq!(net.submit_and_wait(submitter, newest_revision, &huge(newest_revision + 1)), "committed");
        newest_revision += 1;
        max_pending_bytes = max_pending_bytes
            .max(net.pending_writes.iter().flat_map(|pending| &pending.writes).map(DurableWrite::size).sum());
    }
    let history_bytes: Vec<usize> = net
        .nodes
        .iter()
        .map(|node| node.consensus.state.history.values().map(|entry| entry.body.len()).sum())
        .collect();
    println!("20 versions of 4 MiB: {history_bytes:?} bytes in memory, at most {max_pending_bytes} bytes pending");
    assert!(history_bytes.iter().all(|bytes| *bytes <= MAX_HISTORY_BYTES), "{history_bytes:?}");
    assert_eq!(net.nodes[FRONT].consensus.state.history.len(), 1, "a front holds only the newest version");
    assert_eq!(history_bytes[FRONT], huge(newest_revision).len());
    assert!(max_pending_bytes <= MAX_UNSYNCED_BYTES + 2 * huge(1).len(), "{max_pending_bytes}");
    net.resume_disks();
    net.run(2 * SEC);
    assert_eq!(net.nodes[2].version(), net.nodes[0].version(), "the stalled core catches up");
    for i in 0..CORES {
        assert_eq!(net.submit_and_wait(i, 3, &huge(4)), "committed", "at {i}");
        assert_eq!(net.submit_and_wait(i, 3, &pool_document(4, "x")), "stale", "at {i}");
    }
}

/// Accepts any text as a document with revision 1.
// The signature is that of a `ConfigReader`.
#[allow(clippy::unnecessary_wraps)]
fn read_anything(_: &str) -> Result<CompiledConfig, Vec<ConfigError>> {
    Ok(CompiledConfig { revision: 1, ..CompiledConfig::default() })
}

#[test]
fn a_change_too_large_for_a_frame_is_rejected() {
    let net = SimulatedNetwork::new(16);
    let disk = net.disks[0].clone();
    let mut node = Node::new(NodeSettings { config_reader: read_anything, ..machine_settings(0, SEC) }, &disk, 1, SEC);
    for (size, is_rejected) in [(MAX_BODY_BYTES, false), (MAX_BODY_BYTES + 1, true)] {
        let change = Change::Document(" ".repeat(size));
        let effects = node.step(
            Event::SubmitChange { request_id: 1, change_id: ChangeId(5), is_first_send: false, base: 0, change },
            2 * SEC,
        );
        let is_invalid = effects
            .iter()
            .any(|effect| matches!(effect, Effect::CompleteChange { outcome: ChangeOutcome::Invalid { .. }, .. }));
        assert_eq!(is_invalid, is_rejected, "{size}");
    }
}

#[test]
fn pending_changes_of_a_core_are_bounded_in_bytes() {
    let mut net = SimulatedNetwork::new(17);
    net.partitioned.push(0);
    // Retries of the same change count too, whether or not their callers still wait.
    for request_id in 1..=8 {
        net.submit(0, request_id, 0, &huge(1));
    }
    let pending_count = |net: &SimulatedNetwork| (1..=8).filter(|request| net.outcome(*request) == "pending").count();
    assert_eq!(pending_count(&net), 8, "eight changes fit");
    net.submit(0, 9, 0, &huge(1));
    assert_eq!(net.outcome(9), "Unknown", "the ninth change is answered at once, with an unknown outcome");
    assert_eq!(pending_count(&net), 8);
}

#[test]
fn a_large_version_is_sent_to_a_few_subscribers_at_a_time() {
    const SUBSCRIBERS: u64 = 12;
    let mut net = SimulatedNetwork::new(18);
    let peer = |i: u64| PeerRecord {
        node_id: NodeId(900 + i),
        incarnation: 1,
        heartbeat: 1,
        addr: format!("asker{i}"),
        admin: String::new(),
        zone: "z0".into(),
        is_core: false,
        draining: false,
        version: 0,
    };
    let frame = |net: &SimulatedNetwork, from, message| Frame {
        from,
        to: core(0).node_id,
        incarnation: 1,
        fleet_id: 7,
        sent_at: net.now,
        message,
    };
    for i in 0..SUBSCRIBERS {
        let records = vec![peer(i)];
        let message = Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![],
            records,
            unknown_nodes: vec![],
            wants_reply: false,
            incarnation_set: 0,
            compact_heartbeats: vec![],
        });
        let gossip_frame = frame(&net, peer(i).node_id, message);
        net.step(0, Event::Frame(Box::new(gossip_frame)));
        let subscribe = Message::Dissemination(DisseminationMessage::Subscribe {
            seq: 1,
            next_version: 1,
            from_index: 0,
            incarnation: 0,
            topics: vec!["config".into()],
        });
        let subscribe_frame = frame(&net, peer(i).node_id, subscribe);
        net.step(0, Event::Frame(Box::new(subscribe_frame)));
    }
    net.update_bytes.clear();
    // Random text, which compression hardly makes smaller.
    let mut rng = Rng::new(18);
    let noise: String = (0..3 << 16).map(|_| format!("{:016x}", rng.next_u64())).collect();
    assert_eq!(net.submit_and_wait(1, 0, &pool_document(1, &noise)), "committed");
    net.run(SEC / 2);
    let bytes_per_step: Vec<_> =
        net.update_bytes.iter().filter(|update| update.0.0 == 0).map(|update| *update.1).collect();
    let (max_bytes, sum) = (bytes_per_step.iter().max().copied().unwrap_or(0), bytes_per_step.iter().sum::<usize>());
    let entry_bytes = net.nodes[0].consensus.state.newest().map_or(0, |entry| entry.without_body().size());
    assert!(
        entry_bytes > noise.len() / 3 && entry_bytes < noise.len(),
        "{entry_bytes} bytes compressed of {}",
        noise.len()
    );
    assert!(max_bytes <= entry_bytes, "{max_bytes} bytes in one step, {entry_bytes} for one subscriber");
    assert!(
        sum >= entry_bytes * usize::try_from(SUBSCRIBERS).expect("small"),
        "every subscriber received the version: {sum}"
    );
}
