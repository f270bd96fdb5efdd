//! Changes of documents with revisions, decided by cores that are stepped directly.

mod net;
#[path = "../nodes/mod.rs"]
mod nodes;
mod packed;
mod patches;

use net::{ALL, CORES, FRONT, Net, me};
use nodes::{core, doc};
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, Rng, SEC, hash64};
use sumacvale_core::config::CompiledConfig;
use sumacvale_core::config::check::ConfigError;
use sumacvale_core::consensus::{DurableWrite, MAX_HISTORY_BYTES};
use sumacvale_core::node::{Effect, Event, MAX_BODY_BYTES, MAX_UNSYNCED_BYTES, Node, NodeSettings};
use sumacvale_core::protocol::{
    Change, ChangeOutcome, ConsensusMessage, DisseminationMessage, Frame, Message, PeerRecord,
};

#[test]
fn documents_build_on_one_another_by_their_revisions() {
    type Submitted = (usize, u64, String, &'static str);
    let d = doc;
    // Name; the node, base, document and outcome of each change; the version in the end.
    let cases: Vec<(&str, Vec<Submitted>, u64)> = vec![
        ("the first one", vec![(0, 0, d(1, "a"), "committed")], 1),
        ("at a front", vec![(FRONT, 0, d(1, "a"), "committed")], 1),
        (
            "uneven steps",
            vec![(0, 0, d(5, "a"), "committed"), (1, 5, d(90, "b"), "committed"), (2, 90, d(91, "c"), "committed")],
            3,
        ),
        ("the same again", vec![(0, 0, d(5, "a"), "committed"), (0, 0, d(5, "a"), "committed")], 1),
        ("the same elsewhere", vec![(0, 0, d(5, "a"), "committed"), (FRONT, 0, d(5, "a"), "committed")], 1),
        (
            "the same after others",
            vec![(0, 0, d(5, "a"), "committed"), (1, 5, d(6, "b"), "committed"), (2, 0, d(5, "a"), "committed")],
            2,
        ),
        ("a base that is passed", vec![(0, 0, d(5, "a"), "committed"), (1, 0, d(6, "b"), "stale")], 1),
        ("a passed base within a step", vec![(0, 0, d(5, "a"), "committed"), (1, 3, d(6, "b"), "stale")], 1),
        ("a base that never was", vec![(0, 0, d(5, "a"), "committed"), (1, 7, d(8, "b"), "stale")], 1),
        ("an equal number", vec![(0, 0, d(5, "a"), "committed"), (1, 5, d(5, "b"), "invalid")], 1),
        ("a lower number", vec![(0, 0, d(5, "a"), "committed"), (1, 5, d(4, "b"), "invalid")], 1),
        ("no number", vec![(0, 0, "{}".into(), "invalid")], 0),
        ("not read whole", vec![(0, 0, "{\"revision\":1,".into(), "invalid")], 0),
        ("refused, then mended", vec![(0, 0, d(0, "a"), "invalid"), (0, 0, d(2, "a"), "committed")], 1),
    ];
    for (name, sent, vers) in cases {
        let mut net = Net::new(1);
        let mut last = "{}".to_owned();
        for (index, (i, base, body, want)) in sent.into_iter().enumerate() {
            let before = net.decided().0;
            assert_eq!(net.submit_and_run(i, base, &body), want, "{name}, {index}");
            if net.decided().0 > before {
                last = body;
            }
        }
        assert_eq!(net.decided(), (vers, last), "{name}");
    }
}

#[test]
fn of_two_documents_on_one_base_exactly_one_wins() {
    for seed in 0..20 {
        for (a, b) in [(0, 1), (1, 2), (2, 2), (FRONT, 0), (FRONT, FRONT)] {
            let mut net = Net::new(seed);
            assert_eq!(net.submit_and_run(0, 0, &doc(3, "zero")), "committed");
            net.submit(a, 1, 3, &doc(7, "a"));
            net.submit(b, 2, 3, &doc(4, "b"));
            net.run(4 * SEC);
            let ends = (net.outcome(1), net.outcome(2));
            let want = if ends.0 == "committed" { doc(7, "a") } else { doc(4, "b") };
            assert!(
                matches!((ends.0.as_str(), ends.1.as_str()), ("committed", "stale") | ("stale", "committed")),
                "seed {seed}, at {a} and {b}: {ends:?}"
            );
            assert_eq!(net.decided(), (2, want), "seed {seed}, at {a} and {b}");
        }
    }
}

#[test]
fn one_document_sent_twice_at_once_is_one_change() {
    for seed in 0..10 {
        let mut net = Net::new(seed);
        for (i, request_id) in [(0, 1), (1, 2), (FRONT, 3)] {
            net.submit(i, request_id, 0, &doc(9, "a"));
        }
        net.run(4 * SEC);
        assert_eq!([1, 2, 3].map(|r| net.outcome(r)), ["committed", "committed", "committed"], "seed {seed}");
        assert_eq!(net.decided(), (1, doc(9, "a")));
    }
}

#[test]
fn a_change_of_voters_makes_no_document_stale() {
    // Between two documents.
    let mut net = Net::new(3);
    assert_eq!(net.submit_and_run(0, 0, &doc(5, "a")), "committed");
    net.submit_voters(1, 1, &[0, 1]);
    net.run(4 * SEC);
    assert_eq!((net.outcome(1), net.decided()), ("committed".into(), (2, doc(5, "a"))));
    assert_eq!(net.submit_and_run(1, 5, &doc(6, "b")), "committed");
    assert_eq!(net.submit_and_run(0, 0, &doc(5, "a")), "committed", "the first one again");
    assert_eq!(net.submit_and_run(0, 0, &doc(7, "c")), "stale");
    assert_eq!(net.decided(), (3, doc(6, "b")));
    // At the same time: whichever comes first.
    for seed in 0..10 {
        let mut net = Net::new(seed);
        net.submit_voters(1, 0, &[0, 1]);
        net.submit(1, 2, 0, &doc(5, "a"));
        net.run(6 * SEC);
        assert_eq!(net.outcome(2), "committed", "seed {seed}: {}", net.outcome(1));
        assert_eq!(net.decided().1, doc(5, "a"), "seed {seed}");
    }
}

#[test]
fn a_core_knows_the_outcomes_of_old_documents_after_a_partition() {
    // What is sent to it after it missed three, and how that ends.
    for (name, base, body, want) in [
        ("the first it missed", 0, doc(2, "a"), "committed"),
        ("the second", 2, doc(4, "b"), "committed"),
        ("the newest", 4, doc(6, "c"), "committed"),
        ("another on the base that it holds", 0, doc(3, "x"), "stale"),
        ("another within", 2, doc(5, "x"), "stale"),
        ("one on the newest", 6, doc(7, "x"), "committed"),
    ] {
        let mut net = Net::new(5);
        net.partitioned.push(2);
        for (b, r, w) in [(0, 2, "a"), (2, 4, "b"), (4, 6, "c")] {
            assert_eq!(net.submit_and_run(0, b, &doc(r, w)), "committed", "{name}");
        }
        net.partitioned.clear();
        assert_eq!(net.submit_and_run(2, base, &body), want, "{name}");
    }
}

#[test]
fn a_document_with_an_unknown_outcome_is_retried_and_committed_once() {
    let mut net = Net::new(8);
    net.partitioned.push(0);
    net.submit(0, 1, 0, &doc(2, "a"));
    net.run(4 * SEC);
    assert!(
        !["committed", "stale", "invalid"].contains(&net.outcome(1).as_str()),
        "nobody could know: {}",
        net.outcome(1)
    );
    assert_eq!(net.submit_and_run(1, 0, &doc(2, "a")), "committed");
    net.partitioned.clear();
    net.run(2 * SEC);
    assert_eq!(net.submit_and_run(0, 0, &doc(2, "a")), "committed");
    assert_eq!(net.decided(), (1, doc(2, "a")));
}

/// A document whose outcome is awaited.
struct Submitted {
    base: u64,
    revision: u64,
    body: String,
    request_id: u64,
    submitted_at: Micros,
    first_submitted_at: Micros,
}

#[test]
fn despite_losses_an_acknowledged_document_stays_and_a_rejected_one_is_never_decided() {
    let (mut committed, mut stale) = (0, 0);
    for seed in 0..24 {
        let mut net = Net::new(seed);
        let mut rng = Rng::new(1_000 + seed);
        net.loss_percent = 2;
        let mut submissions: [Option<Submitted>; 2] = [None, None];
        let (mut done, mut refused) = (Vec::<(u64, String)>::new(), Vec::new());
        let (mut request_id, mut serial) = (1, 0);
        let mut all = BTreeMap::new();
        while net.now < 40 * SEC {
            net.run(100 * MS);
            net.collect_decided(&mut all);
            // One core at a time is partitioned or stopped, and later back.
            if rng.chance(5) && net.partitioned.is_empty() && net.stopped.is_empty() {
                let i = usize::try_from(rng.below(3)).expect("small");
                if rng.chance(50) { net.partitioned.push(i) } else { net.stopped.push(i) }
            } else if rng.chance(8) {
                net.partitioned.clear();
                net.stopped.clone().into_iter().for_each(|i| net.restart(i));
            }
            for (index, submission) in submissions.iter_mut().enumerate() {
                let to = usize::try_from(rng.below(4)).expect("small");
                let Some(submitted) = submission else {
                    if !rng.chance(15) {
                        continue;
                    }
                    // The base is what some core holds, which may be stale.
                    let i = usize::try_from(rng.below(3)).expect("small");
                    let base = net.nodes[i].consensus.state.newest().map_or(0, |d| d.revision);
                    serial += 1;
                    let revision = base + 1 + rng.below(9);
                    let body = doc(revision, &format!("by{index}n{serial}"));
                    request_id += 1;
                    net.submit(to, request_id, base, &body);
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
                    "committed" => done.push((submitted.base, submitted.body.clone())),
                    "stale" => refused.push(submitted.body.clone()),
                    "invalid" => panic!("seed {seed}: {} on {} is valid", submitted.revision, submitted.base),
                    "pending" if net.now < submitted.submitted_at + 4 * SEC => continue,
                    _ => {
                        // The outcome is unknown: a retry at any node.
                        assert!(
                            net.now < submitted.first_submitted_at + 30 * SEC,
                            "seed {seed}: no clear answer in half a minute"
                        );
                        request_id += 1;
                        net.submit(to, request_id, submitted.base, &submitted.body);
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
        net.collect_decided(&mut all);
        let revs: Vec<_> = all.values().map(|x| x.0).collect();
        assert!(revs.is_sorted_by(|a, b| a < b), "seed {seed}: numbers rise: {revs:?}");
        let bodies: BTreeSet<_> = all.values().map(|x| x.1.clone()).collect();
        let bases: BTreeSet<_> = done.iter().map(|d| d.0).collect();
        assert_eq!(bases.len(), done.len(), "seed {seed}: two were taken on one base");
        for (b, d) in &done {
            assert!(bodies.contains(d), "seed {seed}: acknowledged on {b} and gone: {d}");
        }
        for d in &refused {
            assert!(!bodies.contains(d), "seed {seed}: refused and in force: {d}");
        }
        (committed, stale) = (committed + done.len(), stale + refused.len());
    }
    assert!(committed > 200 && stale > 20, "enough happened: {committed} taken, {stale} refused");
}

#[test]
fn the_outcome_of_a_change_is_known_after_hundreds_of_others_at_any_node_and_after_any_loss() {
    let mut net = Net::new(11);
    for (revision, what) in [(1, "a"), (2, "b"), (3, "c")] {
        assert_eq!(net.submit_and_wait(0, revision - 1, &doc(revision, what)), "committed");
    }
    let last = net.submit_many(3, 150, |r| doc(r, "later"));
    let check_outcomes = |net: &mut Net, when: &str| {
        for i in 0..ALL {
            for (revision, what) in [(1, "a"), (2, "b"), (3, "c")] {
                assert_eq!(
                    net.submit_and_wait(i, revision - 1, &doc(revision, what)),
                    "committed",
                    "{when}: taken, again at {i}"
                );
                assert_eq!(
                    net.submit_and_wait(i, revision - 1, &doc(revision, "x")),
                    "stale",
                    "{when}: another one at {i}"
                );
            }
        }
    };
    check_outcomes(&mut net, "later");
    net.restart(0);
    net.run(2 * SEC);
    check_outcomes(&mut net, "after a new start");
    // Each disk is lost once, one after the other: no node has seen the changes themselves.
    for i in 0..CORES {
        net.lose_disk(i);
        net.run(4 * SEC);
    }
    check_outcomes(&mut net, "after the loss of every disk");
    assert_eq!(net.submit_many(last, 2, |r| doc(r, "last")), last + 2);
}

#[test]
fn a_core_that_joined_by_a_snapshot_rejects_nothing_that_may_have_been_decided() {
    let mut net = Net::new(12);
    for revision in 1..=5 {
        assert_eq!(net.submit_and_wait(0, revision - 1, &doc(revision, "a")), "committed");
    }
    let grown = |r| doc(r, "a") + &" ".repeat(300_000);
    net.submit_many(5, 20, grown);
    // It learns the newest version but no digests of those that it skipped.
    net.dropped_kinds = vec!["DigestReply"];
    net.lose_disk(2);
    net.run(4 * SEC);
    for revision in 1..=5 {
        for what in ["a", "x"] {
            let end = net.submit_and_wait(2, revision - 1, &doc(revision, what));
            assert!(!["stale", "invalid"].contains(&end.as_str()), "{revision} {what}: {end}");
        }
    }
    net.dropped_kinds.clear();
    net.run(SEC);
    assert_eq!(net.submit_and_wait(2, 0, &doc(1, "a")), "committed");
    assert_eq!(net.submit_and_wait(2, 0, &doc(1, "x")), "stale");
}

#[test]
fn a_change_that_may_have_been_forwarded_to_another_core_is_not_rejected_by_one_that_skipped_it() {
    let mut net = Net::new(13);
    let body = doc(2, "a");
    let change_id = ChangeId(hash64(body.as_bytes()).max(1));
    net.partitioned.push(0);
    // The change was first forwarded to this core, which cannot reach the others.
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
    // It was forwarded to another core, which had it decided, and so was a later change.
    assert_eq!(net.submit_and_wait(1, 0, &body), "committed");
    assert_eq!(net.submit_and_wait(1, 2, &doc(4, "b")), "committed");
    let newest = net.nodes[1].consensus.state.newest().expect("has a version").clone();
    let message = Message::Consensus(ConsensusMessage::Replicate { entries: vec![newest] });
    let frame =
        Frame { from: core(1).node_id, to: core(0).node_id, incarnation: SEC, fleet_id: 7, sent_at: net.now, message };
    net.sent.clear();
    net.step(0, Event::Frame(Box::new(frame)));
    net.run(4 * SEC);
    let outcomes: Vec<_> =
        net.sent.iter().filter(|message| message.from == 0).filter_map(|message| message.outcome.clone()).collect();
    assert!(!outcomes.is_empty(), "it says something in the end");
    assert!(!outcomes.iter().any(|f| matches!(f, ChangeOutcome::Stale { .. })), "taken and refused: {outcomes:?}");
}

/// A document with 350 matches, as a large fleet has.
fn large(revision: u64) -> String {
    let matches: Vec<_> = (0..350)
        .map(|i| {
            let path = format!("/under/the/host/of/somebody/{i}/{}", "long/".repeat(30));
            format!("\"m{i}\":{{\"path\":\"{path}\",\"pool\":\"a\",\"kind\":\"chat\"}}")
        })
        .collect();
    format!("{{\"revision\":{revision},\"pools\":{{\"a\":{{}}}},\"matches\":{{{}}}}}", matches.join(","))
}

#[test]
fn a_core_that_was_down_through_500_large_changes_catches_up_at_once_and_votes_on_nothing_old() {
    let mut net = Net::new(14);
    assert_eq!(net.submit_and_wait(0, 0, &large(1)), "committed");
    let bytes = large(1).len();
    net.stopped.push(2);
    let last = net.submit_many(1, 500, large);
    net.run(2 * SEC);
    net.sent.clear();
    net.restart(2);
    let from = net.now;
    while net.nodes[2].version() != net.nodes[0].version() && net.now < from + 10 * SEC {
        net.run(MS);
    }
    let caught_up_after = net.now - from;
    let sent_kinds: Vec<_> = net.sent.iter().filter(|message| message.from == 2).map(|message| message.kind).collect();
    let forbidden_kinds = ["Prepare", "Promise", "Accept", "Accepted", "Replicate", "TakeoverReply", "LeaseGranted"];
    assert!(!sent_kinds.iter().any(|index| forbidden_kinds.contains(index)), "acted on old state: {sent_kinds:?}");
    assert!(caught_up_after <= SEC, "{} ms until it held the newest version", caught_up_after / MS);
    assert_eq!(net.submit_and_wait(2, 0, &large(1)), "committed");
    assert_eq!(net.submit_and_wait(2, 250, &large(251)), "committed", "one that it never heard of");
    assert_eq!(net.submit_and_wait(2, 250, &(large(251) + " ")), "stale");
    let known_after = net.now - from;
    assert!(known_after <= 4 * SEC, "{} ms until it could tell of every order", known_after / MS);
    net.submit_many(last, 3, large);
    println!(
        "500 changes of {bytes} bytes: newest version after {} ms, all orders after {} ms",
        caught_up_after / MS,
        known_after / MS
    );
}

/// A document of four megabytes.
fn huge(revision: u64) -> String {
    doc(revision, "a") + &" ".repeat((4 << 20) - 100)
}

#[test]
fn bodies_in_memory_are_bounded_in_bytes_while_a_disk_is_stalled() {
    let mut net = Net::new(15);
    let last = net.submit_many(0, 8, huge);
    net.stalled_disks.push(2);
    let mut most = 0;
    let mut stalled = last;
    for _ in 0..12 {
        // Through the others: the stalled core cannot acknowledge what is not on its disk.
        let by = usize::try_from(stalled % 2).expect("small");
        assert_eq!(net.submit_and_wait(by, stalled, &huge(stalled + 1)), "committed");
        stalled += 1;
        most = most.max(net.pending_writes.iter().flat_map(|pending| &pending.writes).map(DurableWrite::size).sum());
    }
    let held: Vec<usize> =
        net.nodes.iter().map(|x| x.consensus.state.history.values().map(|d| d.body.len()).sum()).collect();
    println!("20 versions of 4 MiB: bodies held {held:?}, at most {most} bytes waited for the disk");
    assert!(held.iter().all(|b| *b <= MAX_HISTORY_BYTES), "{held:?}");
    assert_eq!(net.nodes[FRONT].consensus.state.history.len(), 1, "a front holds the newest alone");
    assert_eq!(held[FRONT], huge(stalled).len());
    assert!(most <= MAX_UNSYNCED_BYTES + 2 * huge(1).len(), "{most}");
    net.resume_disks();
    net.run(2 * SEC);
    assert_eq!(net.nodes[2].version(), net.nodes[0].version(), "it learns what it missed");
    for i in 0..CORES {
        assert_eq!(net.submit_and_wait(i, 3, &huge(4)), "committed", "at {i}");
        assert_eq!(net.submit_and_wait(i, 3, &doc(4, "x")), "stale", "at {i}");
    }
}

/// Reads any text as a document with revision 1.
// It has the form of a `ConfigReader`.
#[allow(clippy::unnecessary_wraps)]
fn read_anything(_: &str) -> Result<CompiledConfig, Vec<ConfigError>> {
    Ok(CompiledConfig { revision: 1, ..CompiledConfig::default() })
}

#[test]
fn a_change_too_large_for_a_frame_is_rejected() {
    let net = Net::new(16);
    let kept = net.disks[0].clone();
    let mut node = Node::new(NodeSettings { config_reader: read_anything, ..me(0, SEC) }, &kept, 1, SEC);
    for (size, refused) in [(MAX_BODY_BYTES, false), (MAX_BODY_BYTES + 1, true)] {
        let change = Change::Document(" ".repeat(size));
        let out = node.step(
            Event::SubmitChange { request_id: 1, change_id: ChangeId(5), is_first_send: false, base: 0, change },
            2 * SEC,
        );
        let invalid =
            out.iter().any(|e| matches!(e, Effect::CompleteChange { outcome: ChangeOutcome::Invalid { .. }, .. }));
        assert_eq!(invalid, refused, "{size}");
    }
}

#[test]
fn pending_changes_of_a_core_are_bounded_in_bytes() {
    let mut net = Net::new(17);
    net.partitioned.push(0);
    // Retries of the same change count too, whether or not their caller still waits.
    for request_id in 1..=8 {
        net.submit(0, request_id, 0, &huge(1));
    }
    let open = |net: &Net| (1..=8).filter(|r| net.outcome(*r) == "pending").count();
    assert_eq!(open(&net), 8, "so many fit");
    net.submit(0, 9, 0, &huge(1));
    assert_eq!(net.outcome(9), "Unknown", "said at once, and nothing more than that");
    assert_eq!(open(&net), 8);
}

#[test]
fn a_large_version_is_sent_to_a_few_subscribers_at_a_time() {
    const SUBSCRIBERS: u64 = 12;
    let mut net = Net::new(18);
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
    let frame = |net: &Net, from, message| Frame {
        from,
        to: core(0).node_id,
        incarnation: 1,
        fleet_id: 7,
        sent_at: net.now,
        message,
    };
    for i in 0..SUBSCRIBERS {
        let rows = vec![peer(i)];
        let message = Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![],
            records: rows,
            unknown_nodes: vec![],
            wants_reply: false,
            incarnation_set: 0,
            compact_heartbeats: vec![],
        });
        let f = frame(&net, peer(i).node_id, message);
        net.step(0, Event::Frame(Box::new(f)));
        let ask = Message::Dissemination(DisseminationMessage::Subscribe {
            seq: 1,
            next_version: 1,
            from_index: 0,
            incarnation: 0,
            topics: vec!["config".into()],
        });
        let f = frame(&net, peer(i).node_id, ask);
        net.step(0, Event::Frame(Box::new(f)));
    }
    net.update_bytes.clear();
    // Text that compression does not make smaller.
    let mut rng = Rng::new(18);
    let noise: String = (0..3 << 16).map(|_| format!("{:016x}", rng.next_u64())).collect();
    assert_eq!(net.submit_and_wait(1, 0, &doc(1, &noise)), "committed");
    net.run(SEC / 2);
    let by_first_core: Vec<_> = net.update_bytes.iter().filter(|t| t.0.0 == 0).map(|t| *t.1).collect();
    let (most, sum) = (by_first_core.iter().max().copied().unwrap_or(0), by_first_core.iter().sum::<usize>());
    let one = net.nodes[0].consensus.state.newest().map_or(0, |d| d.without_body().size());
    assert!(one > noise.len() / 3 && one < noise.len(), "{one} bytes packed of {}", noise.len());
    assert!(most <= one, "{most} bytes in one step, {one} for one");
    assert!(sum >= one * usize::try_from(SUBSCRIBERS).expect("small"), "all were told: {sum}");
}
