//! A core that leaves ends once a majority without it holds what it holds.

mod fleet;

use fleet::{Fleet, decree, kept};
use sumacvale_core::base::{MS, NodeId, SEC};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Ballot, ConsensusMessage, Message};

const A: u64 = 1;
const B: u64 = 2;
const C: u64 = 3;
const D: u64 = 4;

fn three() -> Fleet {
    let mut fleet = Fleet::default();
    for n in [A, B, C] {
        fleet.start(n, kept(n, &[decree(0, 0, &[], &[A, B, C])], Some(0)));
    }
    fleet.run(4 * SEC);
    fleet
}

fn may_end(fleet: &Fleet, n: u64) -> bool {
    fleet.node(n).may_stop(fleet.now)
}

fn leave(fleet: &mut Fleet, n: u64) {
    let effects = fleet.step(n, Event::Shutdown);
    fleet.carry(n, effects);
}

#[test]
fn it_waits_for_its_successor_and_for_what_that_takes_over() {
    let mut fleet = three();
    fleet.start(D, kept(D, &[], None));
    fleet.run(2 * SEC);
    fleet.stuck.insert(D);
    leave(&mut fleet, A);
    assert!(!may_end(&fleet, A), "it votes, and D could take its place");
    fleet.run(SEC);
    assert!(!fleet.node(B).consensus.state.is_voter(NodeId(A)), "it was replaced");
    assert!(!fleet.node(A).voter());
    // B and C are a majority without it and without D.
    assert!(may_end(&fleet, A));
    assert!(fleet.kept(D).ready_set != Some(1), "D took nothing over that is on its disk");
}

#[test]
fn it_waits_while_only_one_other_disk_holds_the_newest() {
    let mut fleet = three();
    fleet.start(D, kept(D, &[], None));
    fleet.run(2 * SEC);
    leave(&mut fleet, A);
    fleet.stuck.insert(D);
    fleet.run(25 * MS);
    fleet.stuck.insert(C);
    let removed = |f: &Fleet| !f.node(A).consensus.state.is_voter(NodeId(A));
    assert!(fleet.run_until(SEC, removed).is_some(), "A's own vote decides it");
    fleet.run(SEC);
    assert!(!may_end(&fleet, A), "only B has it on its disk");
    fleet.stuck.clear();
    let t = fleet.run_until(SEC, |f| may_end(f, A));
    assert!(t.is_some(), "it may end once another disk has it");
}

#[test]
fn it_waits_until_the_newest_version_is_on_two_other_disks() {
    let mut fleet = three();
    fleet.stuck.insert(C);
    for (from, to) in [(B, A), (A, B), (A, C)] {
        fleet.tell(
            from,
            to,
            Message::Consensus(ConsensusMessage::Replicate { entries: vec![decree(1, 0, &[], &[A, B, C])] }),
        );
    }
    leave(&mut fleet, A);
    fleet.run(SEC);
    assert!(!may_end(&fleet, A), "C has it in memory only");
    fleet.stuck.clear();
    assert!(fleet.run_until(SEC, |f| may_end(f, A)).is_some(), "B and C hold it");
}

#[test]
fn it_ends_without_a_successor_when_the_others_hold_all() {
    let mut fleet = three();
    leave(&mut fleet, A);
    assert!(fleet.run_until(SEC, |f| may_end(f, A)).is_some(), "no core could take its place");
}

#[test]
fn it_stays_while_another_is_lost_and_it_holds_one_of_two_copies() {
    let mut fleet = three();
    fleet.stop(B);
    fleet.run(4 * SEC);
    leave(&mut fleet, A);
    fleet.run(SEC);
    assert!(!may_end(&fleet, A), "C alone would hold the newest");
    fleet.start(D, kept(D, &[], None));
    let t = fleet.run_until(3 * SEC, |f| may_end(f, A));
    assert!(t.is_some() && fleet.node(D).voter(), "D votes, and C and D hold all");
}

#[test]
fn it_stays_while_a_change_that_it_accepted_is_open() {
    let mut fleet = three();
    fleet.part(&[A], &[B, C]);
    let one = decree(1, 0, &[], &[A, B, C]);
    let ballot = Ballot { number: 9_000, node_id: NodeId(B), incarnation: 1 };
    fleet.tell(B, A, Message::Consensus(ConsensusMessage::Accept { ballot, entry: one }));
    leave(&mut fleet, A);
    fleet.run(200 * MS);
    assert!(!may_end(&fleet, A), "it may be one of the two that decided it");
}

#[test]
fn the_last_one_ends_at_once() {
    let mut fleet = three();
    for n in [A, B, C] {
        leave(&mut fleet, n);
    }
    fleet.run(500 * MS);
    assert!([A, B, C].iter().all(|n| may_end(&fleet, *n)), "all of them leave");
}

/// Two voters are lost with their disks in order, and the third leaves too.
#[test]
fn one_that_leaves_alone_still_proposes_its_successor() {
    let mut fleet = Fleet::default();
    fleet.start(A, kept(A, &[decree(0, 0, &[], &[A])], Some(0)));
    fleet.start(D, kept(D, &[], None));
    fleet.run(3 * SEC);
    assert!(fleet.node(A).voter() && !fleet.node(D).voter(), "one voter of two cores");
    leave(&mut fleet, A);
    assert!(!may_end(&fleet, A), "it holds the only copy");
    let t = fleet.run_until(3 * SEC, |f| f.node(D).voter() && may_end(f, A));
    assert!(t.is_some(), "D never becomes the voter");
    assert!(fleet.kept(D).entries.contains_key(&1), "D has it on its disk");
}
