//! Operators' documents with numbers of their own, agreed by cores that are stepped directly.

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
fn documents_build_on_one_another_by_their_own_numbers() {
    type Sent = (usize, u64, String, &'static str);
    let d = doc;
    // Name; the node, its base, the document, and how it ends; versions in the end.
    let cases: Vec<(&str, Vec<Sent>, u64)> = vec![
        ("the first one", vec![(0, 0, d(1, "a"), "done")], 1),
        ("at a front", vec![(FRONT, 0, d(1, "a"), "done")], 1),
        ("uneven steps", vec![(0, 0, d(5, "a"), "done"), (1, 5, d(90, "b"), "done"), (2, 90, d(91, "c"), "done")], 3),
        ("the same again", vec![(0, 0, d(5, "a"), "done"), (0, 0, d(5, "a"), "done")], 1),
        ("the same elsewhere", vec![(0, 0, d(5, "a"), "done"), (FRONT, 0, d(5, "a"), "done")], 1),
        (
            "the same after others",
            vec![(0, 0, d(5, "a"), "done"), (1, 5, d(6, "b"), "done"), (2, 0, d(5, "a"), "done")],
            2,
        ),
        ("a base that is passed", vec![(0, 0, d(5, "a"), "done"), (1, 0, d(6, "b"), "stale")], 1),
        ("a passed base within a step", vec![(0, 0, d(5, "a"), "done"), (1, 3, d(6, "b"), "stale")], 1),
        ("a base that never was", vec![(0, 0, d(5, "a"), "done"), (1, 7, d(8, "b"), "stale")], 1),
        ("an equal number", vec![(0, 0, d(5, "a"), "done"), (1, 5, d(5, "b"), "invalid")], 1),
        ("a lower number", vec![(0, 0, d(5, "a"), "done"), (1, 5, d(4, "b"), "invalid")], 1),
        ("no number", vec![(0, 0, "{}".into(), "invalid")], 0),
        ("not read whole", vec![(0, 0, "{\"revision\":1,".into(), "invalid")], 0),
        ("refused, then mended", vec![(0, 0, d(0, "a"), "invalid"), (0, 0, d(2, "a"), "done")], 1),
    ];
    for (name, sent, vers) in cases {
        let mut n = Net::new(1);
        let mut last = "{}".to_owned();
        for (k, (i, base, body, want)) in sent.into_iter().enumerate() {
            let before = n.held().0;
            assert_eq!(n.put_now(i, base, &body), want, "{name}, {k}");
            if n.held().0 > before {
                last = body;
            }
        }
        assert_eq!(n.held(), (vers, last), "{name}");
    }
}

#[test]
fn of_two_documents_on_one_base_exactly_one_wins() {
    for seed in 0..20 {
        for (a, b) in [(0, 1), (1, 2), (2, 2), (FRONT, 0), (FRONT, FRONT)] {
            let mut n = Net::new(seed);
            assert_eq!(n.put_now(0, 0, &doc(3, "zero")), "done");
            n.put(a, 1, 3, &doc(7, "a"));
            n.put(b, 2, 3, &doc(4, "b"));
            n.run(4 * SEC);
            let ends = (n.end(1), n.end(2));
            let want = if ends.0 == "done" { doc(7, "a") } else { doc(4, "b") };
            assert!(
                matches!((ends.0.as_str(), ends.1.as_str()), ("done", "stale") | ("stale", "done")),
                "seed {seed}, at {a} and {b}: {ends:?}"
            );
            assert_eq!(n.held(), (2, want), "seed {seed}, at {a} and {b}");
        }
    }
}

#[test]
fn one_document_sent_twice_at_once_is_one_change() {
    for seed in 0..10 {
        let mut n = Net::new(seed);
        for (i, req) in [(0, 1), (1, 2), (FRONT, 3)] {
            n.put(i, req, 0, &doc(9, "a"));
        }
        n.run(4 * SEC);
        assert_eq!([1, 2, 3].map(|r| n.end(r)), ["done", "done", "done"], "seed {seed}");
        assert_eq!(n.held(), (1, doc(9, "a")));
    }
}

#[test]
fn a_change_of_the_cores_outdates_no_document() {
    // Between two documents.
    let mut n = Net::new(3);
    assert_eq!(n.put_now(0, 0, &doc(5, "a")), "done");
    n.cores(1, 1, &[0, 1]);
    n.run(4 * SEC);
    assert_eq!((n.end(1), n.held()), ("done".into(), (2, doc(5, "a"))));
    assert_eq!(n.put_now(1, 5, &doc(6, "b")), "done");
    assert_eq!(n.put_now(0, 0, &doc(5, "a")), "done", "the first one again");
    assert_eq!(n.put_now(0, 0, &doc(7, "c")), "stale");
    assert_eq!(n.held(), (3, doc(6, "b")));
    // At the same time: whichever comes first.
    for seed in 0..10 {
        let mut n = Net::new(seed);
        n.cores(1, 0, &[0, 1]);
        n.put(1, 2, 0, &doc(5, "a"));
        n.run(6 * SEC);
        assert_eq!(n.end(2), "done", "seed {seed}: {}", n.end(1));
        assert_eq!(n.held().1, doc(5, "a"), "seed {seed}");
    }
}

#[test]
fn a_core_that_was_cut_off_tells_what_became_of_old_documents() {
    // What is sent to it after it missed three, and how that ends.
    for (name, base, body, want) in [
        ("the first it missed", 0, doc(2, "a"), "done"),
        ("the second", 2, doc(4, "b"), "done"),
        ("the newest", 4, doc(6, "c"), "done"),
        ("another on the base that it holds", 0, doc(3, "x"), "stale"),
        ("another within", 2, doc(5, "x"), "stale"),
        ("one on the newest", 6, doc(7, "x"), "done"),
    ] {
        let mut n = Net::new(5);
        n.cut.push(2);
        for (b, r, w) in [(0, 2, "a"), (2, 4, "b"), (4, 6, "c")] {
            assert_eq!(n.put_now(0, b, &doc(r, w)), "done", "{name}");
        }
        n.cut.clear();
        assert_eq!(n.put_now(2, base, &body), want, "{name}");
    }
}

#[test]
fn a_document_without_a_clear_end_is_sent_again_and_stands_once() {
    let mut n = Net::new(8);
    n.cut.push(0);
    n.put(0, 1, 0, &doc(2, "a"));
    n.run(4 * SEC);
    assert!(!["done", "stale", "invalid"].contains(&n.end(1).as_str()), "nobody could know: {}", n.end(1));
    assert_eq!(n.put_now(1, 0, &doc(2, "a")), "done");
    n.cut.clear();
    n.run(2 * SEC);
    assert_eq!(n.put_now(0, 0, &doc(2, "a")), "done");
    assert_eq!(n.held(), (1, doc(2, "a")));
}

/// One operator's document on its way.
struct Sent {
    base: u64,
    revision: u64,
    body: String,
    req: u64,
    at: Micros,
    since: Micros,
}

#[test]
fn whatever_is_lost_an_acknowledged_document_stays_and_a_refused_one_never_was() {
    let (mut took, mut stale) = (0, 0);
    for seed in 0..24 {
        let mut n = Net::new(seed);
        let mut r = Rng::new(1_000 + seed);
        n.lost = 2;
        let mut ops: [Option<Sent>; 2] = [None, None];
        let (mut done, mut refused) = (Vec::<(u64, String)>::new(), Vec::new());
        let (mut req, mut serial) = (1, 0);
        let mut all = BTreeMap::new();
        while n.now < 40 * SEC {
            n.run(100 * MS);
            n.known(&mut all);
            // One core at a time is cut off or ends; a while later it is back.
            if r.chance(5) && n.cut.is_empty() && n.dead.is_empty() {
                let i = usize::try_from(r.below(3)).expect("small");
                if r.chance(50) { n.cut.push(i) } else { n.dead.push(i) }
            } else if r.chance(8) {
                n.cut.clear();
                n.dead.clone().into_iter().for_each(|i| n.start(i));
            }
            for (k, o) in ops.iter_mut().enumerate() {
                let to = usize::try_from(r.below(4)).expect("small");
                let Some(s) = o else {
                    if !r.chance(15) {
                        continue;
                    }
                    // What it builds on is what some core holds, which may be old.
                    let i = usize::try_from(r.below(3)).expect("small");
                    let base = n.nodes[i].consensus.state.newest().map_or(0, |d| d.revision);
                    serial += 1;
                    let revision = base + 1 + r.below(9);
                    let body = doc(revision, &format!("by{k}n{serial}"));
                    req += 1;
                    n.put(to, req, base, &body);
                    *o = Some(Sent { base, revision, body, req, at: n.now, since: n.now });
                    continue;
                };
                match n.end(s.req).as_str() {
                    "done" => done.push((s.base, s.body.clone())),
                    "stale" => refused.push(s.body.clone()),
                    "invalid" => panic!("seed {seed}: {} on {} is valid", s.revision, s.base),
                    "none" if n.now < s.at + 4 * SEC => continue,
                    _ => {
                        // No clear answer: the same again, anywhere.
                        assert!(n.now < s.since + 30 * SEC, "seed {seed}: no clear answer in half a minute");
                        req += 1;
                        n.put(to, req, s.base, &s.body);
                        (s.req, s.at) = (req, n.now);
                        continue;
                    }
                }
                *o = None;
            }
        }
        n.cut.clear();
        n.dead.clone().into_iter().for_each(|i| n.start(i));
        n.lost = 0;
        n.run(6 * SEC);
        n.held();
        n.known(&mut all);
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
        (took, stale) = (took + done.len(), stale + refused.len());
    }
    assert!(took > 200 && stale > 20, "enough happened: {took} taken, {stale} refused");
}

#[test]
fn an_order_is_answered_after_hundreds_of_others_through_any_node_and_any_loss() {
    let mut n = Net::new(11);
    for (revision, what) in [(1, "a"), (2, "b"), (3, "c")] {
        assert_eq!(n.put_soon(0, revision - 1, &doc(revision, what)), "done");
    }
    let last = n.many(3, 150, |r| doc(r, "later"));
    let all_ends = |n: &mut Net, when: &str| {
        for i in 0..ALL {
            for (revision, what) in [(1, "a"), (2, "b"), (3, "c")] {
                assert_eq!(n.put_soon(i, revision - 1, &doc(revision, what)), "done", "{when}: taken, again at {i}");
                assert_eq!(n.put_soon(i, revision - 1, &doc(revision, "x")), "stale", "{when}: another one at {i}");
            }
        }
    };
    all_ends(&mut n, "later");
    n.start(0);
    n.run(2 * SEC);
    all_ends(&mut n, "after a new start");
    // Each disk is lost once, one after the other: nobody has seen the orders themselves.
    for i in 0..CORES {
        n.wipe(i);
        n.run(4 * SEC);
    }
    all_ends(&mut n, "after the loss of every disk");
    assert_eq!(n.many(last, 2, |r| doc(r, "last")), last + 2);
}

#[test]
fn a_core_that_joined_by_a_snapshot_refuses_nothing_that_may_have_been_taken() {
    let mut n = Net::new(12);
    for revision in 1..=5 {
        assert_eq!(n.put_soon(0, revision - 1, &doc(revision, "a")), "done");
    }
    let grown = |r| doc(r, "a") + &" ".repeat(300_000);
    n.many(5, 20, grown);
    // It learns the newest version and hears nothing of what it skipped.
    n.mute = vec!["DigestReply"];
    n.wipe(2);
    n.run(4 * SEC);
    for revision in 1..=5 {
        for what in ["a", "x"] {
            let end = n.put_soon(2, revision - 1, &doc(revision, what));
            assert!(!["stale", "invalid"].contains(&end.as_str()), "{revision} {what}: {end}");
        }
    }
    n.mute.clear();
    n.run(SEC);
    assert_eq!(n.put_soon(2, 0, &doc(1, "a")), "done");
    assert_eq!(n.put_soon(2, 0, &doc(1, "x")), "stale");
}

#[test]
fn a_change_that_a_front_may_have_handed_to_another_core_is_not_refused_by_one_that_skipped_it() {
    let mut n = Net::new(13);
    let body = doc(2, "a");
    let change_id = ChangeId(hash64(body.as_bytes()).max(1));
    n.cut.push(0);
    // The front came here first; this core can't reach the others.
    let msg = Message::Consensus(ConsensusMessage::Forward {
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
        sent_at: n.now,
        message: msg,
    };
    n.step(0, Event::Frame(Box::new(frame)));
    // It went on to another one, which took it, and so was a further one.
    assert_eq!(n.put_soon(1, 0, &body), "done");
    assert_eq!(n.put_soon(1, 2, &doc(4, "b")), "done");
    let newest = n.nodes[1].consensus.state.newest().expect("has a version").clone();
    let msg = Message::Consensus(ConsensusMessage::Replicate { entries: vec![newest] });
    let frame = Frame {
        from: core(1).node_id,
        to: core(0).node_id,
        incarnation: SEC,
        fleet_id: 7,
        sent_at: n.now,
        message: msg,
    };
    n.sent.clear();
    n.step(0, Event::Frame(Box::new(frame)));
    n.run(4 * SEC);
    let said: Vec<_> = n.sent.iter().filter(|s| s.0 == 0).filter_map(|s| s.2.clone()).collect();
    assert!(!said.is_empty(), "it says something in the end");
    assert!(!said.iter().any(|f| matches!(f, ChangeOutcome::Stale { .. })), "taken and refused: {said:?}");
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
    let mut n = Net::new(14);
    assert_eq!(n.put_soon(0, 0, &large(1)), "done");
    let bytes = large(1).len();
    n.dead.push(2);
    let last = n.many(1, 500, large);
    n.run(2 * SEC);
    n.sent.clear();
    n.start(2);
    let from = n.now;
    while n.nodes[2].version() != n.nodes[0].version() && n.now < from + 10 * SEC {
        n.run(MS);
    }
    let caught = n.now - from;
    let old: Vec<_> = n.sent.iter().filter(|s| s.0 == 2).map(|s| s.1).collect();
    let acts = ["Prepare", "Promise", "Accept", "Accepted", "Replicate", "TakeoverReply", "LeaseGranted"];
    assert!(!old.iter().any(|k| acts.contains(k)), "acted on old state: {old:?}");
    assert!(caught <= SEC, "{} ms until it held the newest version", caught / MS);
    assert_eq!(n.put_soon(2, 0, &large(1)), "done");
    assert_eq!(n.put_soon(2, 250, &large(251)), "done", "one that it never heard of");
    assert_eq!(n.put_soon(2, 250, &(large(251) + " ")), "stale");
    let answered = n.now - from;
    assert!(answered <= 4 * SEC, "{} ms until it could tell of every order", answered / MS);
    n.many(last, 3, large);
    println!(
        "500 changes of {bytes} bytes: newest version after {} ms, all orders after {} ms",
        caught / MS,
        answered / MS
    );
}

/// A document of four megabytes.
fn huge(revision: u64) -> String {
    doc(revision, "a") + &" ".repeat((4 << 20) - 100)
}

#[test]
fn bodies_in_memory_are_bounded_in_bytes_also_while_a_disk_stands_still() {
    let mut n = Net::new(15);
    let last = n.many(0, 8, huge);
    n.stalled.push(2);
    let mut most = 0;
    let mut stalled = last;
    for _ in 0..12 {
        // Through the others: the stalled one can't tell that it is on its disk.
        let by = usize::try_from(stalled % 2).expect("small");
        assert_eq!(n.put_soon(by, stalled, &huge(stalled + 1)), "done");
        stalled += 1;
        most = most.max(n.waiting.iter().flat_map(|w| &w.2).map(DurableWrite::size).sum());
    }
    let held: Vec<usize> =
        n.nodes.iter().map(|x| x.consensus.state.history.values().map(|d| d.body.len()).sum()).collect();
    println!("20 versions of 4 MiB: bodies held {held:?}, at most {most} bytes waited for the disk");
    assert!(held.iter().all(|b| *b <= MAX_HISTORY_BYTES), "{held:?}");
    assert_eq!(n.nodes[FRONT].consensus.state.history.len(), 1, "a front holds the newest alone");
    assert_eq!(held[FRONT], huge(stalled).len());
    assert!(most <= MAX_UNSYNCED_BYTES + 2 * huge(1).len(), "{most}");
    n.resume();
    n.run(2 * SEC);
    assert_eq!(n.nodes[2].version(), n.nodes[0].version(), "it learns what it missed");
    for i in 0..CORES {
        assert_eq!(n.put_soon(i, 3, &huge(4)), "done", "at {i}");
        assert_eq!(n.put_soon(i, 3, &doc(4, "x")), "stale", "at {i}");
    }
}

/// Reads any text as a document with the number 1.
fn read_anything(_: &str) -> Result<CompiledConfig, Vec<ConfigError>> {
    Ok(CompiledConfig { revision: 1, ..CompiledConfig::default() })
}

#[test]
fn a_change_that_no_frame_could_bring_on_is_refused() {
    let n = Net::new(16);
    let kept = n.kept[0].clone();
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
fn changes_that_wait_at_one_core_are_bounded_in_bytes() {
    let mut n = Net::new(17);
    n.cut.push(0);
    // Retries of the same count too: nobody looks whether their asker still waits.
    for req in 1..=8 {
        n.put(0, req, 0, &huge(1));
    }
    let open = |n: &Net| (1..=8).filter(|r| n.end(*r) == "none").count();
    assert_eq!(open(&n), 8, "so many fit");
    n.put(0, 9, 0, &huge(1));
    assert_eq!(n.end(9), "Unknown", "said at once, and nothing more than that");
    assert_eq!(open(&n), 8);
}

#[test]
fn a_large_version_is_handed_to_a_few_askers_at_a_time() {
    const ASKERS: u64 = 12;
    let mut n = Net::new(18);
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
    let frame = |n: &Net, from, msg| Frame {
        from,
        to: core(0).node_id,
        incarnation: 1,
        fleet_id: 7,
        sent_at: n.now,
        message: msg,
    };
    for i in 0..ASKERS {
        let rows = vec![peer(i)];
        let msg = Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![],
            records: rows,
            unknown_nodes: vec![],
            wants_reply: false,
            incarnation_set: 0,
            compact_heartbeats: vec![],
        });
        let f = frame(&n, peer(i).node_id, msg);
        n.step(0, Event::Frame(Box::new(f)));
        let ask = Message::Dissemination(DisseminationMessage::Subscribe {
            seq: 1,
            next_version: 1,
            from_index: 0,
            incarnation: 0,
            topics: vec!["config".into()],
        });
        let f = frame(&n, peer(i).node_id, ask);
        n.step(0, Event::Frame(Box::new(f)));
    }
    n.told.clear();
    // Text that does not get smaller by packing it.
    let mut rng = Rng::new(18);
    let noise: String = (0..3 << 16).map(|_| format!("{:016x}", rng.next_u64())).collect();
    assert_eq!(n.put_soon(1, 0, &doc(1, &noise)), "done");
    n.run(SEC / 2);
    let by_zero: Vec<_> = n.told.iter().filter(|t| t.0.0 == 0).map(|t| *t.1).collect();
    let (most, sum) = (by_zero.iter().max().copied().unwrap_or(0), by_zero.iter().sum::<usize>());
    let one = n.nodes[0].consensus.state.newest().map_or(0, |d| d.without_body().size());
    assert!(one > noise.len() / 3 && one < noise.len(), "{one} bytes packed of {}", noise.len());
    assert!(most <= one, "{most} bytes in one step, {one} for one");
    assert!(sum >= one * usize::try_from(ASKERS).expect("small"), "all were told: {sum}");
}
