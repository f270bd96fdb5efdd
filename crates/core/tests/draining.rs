//! A draining core may stop once a majority that does not include it holds all that it holds.

mod fleet;

use fleet::{Fleet, durable_state, log_entry};
use sumacvale_core::base::{MS, NodeId, SEC};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Ballot, ConsensusMessage, Message};

const A: u64 = 1;
const B: u64 = 2;
const C: u64 = 3;
const D: u64 = 4;

fn three_voters() -> Fleet {
    let mut fleet = Fleet::default();
    for machine in [A, B, C] {
        fleet.start(machine, durable_state(machine, &[log_entry(0, 0, &[], &[A, B, C])], Some(0)));
    }
    fleet.run(4 * SEC);
    fleet
}

fn may_stop(fleet: &Fleet, machine: u64) -> bool {
    fleet.node(machine).may_stop(fleet.now)
}

fn drain(fleet: &mut Fleet, machine: u64) {
    let effects = fleet.step(machine, Event::Shutdown);
    fleet.apply_effects(machine, effects);
}

/// A voter that stops before its replacement would leave the fleet with one voter less.
#[test]
fn a_draining_voter_waits_until_it_is_replaced() {
    let mut fleet = three_voters();
    fleet.start(D, durable_state(D, &[], None));
    fleet.run(2 * SEC);
    fleet.stalled_disks.insert(D);
    drain(&mut fleet, A);
    assert!(!may_stop(&fleet, A), "it votes, and D could take its place");
    fleet.run(SEC);
    assert!(!fleet.node(B).consensus.state.is_voter(NodeId(A)), "it was replaced");
    assert!(!fleet.node(A).is_voter());
    // B and C are a majority without A and D.
    assert!(may_stop(&fleet, A));
    assert!(fleet.synced_state(D).ready_set != Some(1), "D has synced no takeover");
}

/// The replacement is decided by the draining voter's own vote. If it stopped then, only one disk of the new
/// set would hold the version.
#[test]
fn a_draining_voter_waits_while_only_one_other_disk_holds_the_newest_version() {
    let mut fleet = three_voters();
    fleet.start(D, durable_state(D, &[], None));
    fleet.run(2 * SEC);
    drain(&mut fleet, A);
    fleet.stalled_disks.insert(D);
    fleet.run(25 * MS);
    fleet.stalled_disks.insert(C);
    let is_replaced = |fleet: &Fleet| !fleet.node(A).consensus.state.is_voter(NodeId(A));
    assert!(fleet.run_until(SEC, is_replaced).is_some(), "A's own vote decides it");
    fleet.run(SEC);
    assert!(!may_stop(&fleet, A), "only B has it on its disk");
    fleet.stalled_disks.clear();
    let waited = fleet.run_until(SEC, |fleet| may_stop(fleet, A));
    assert!(waited.is_some(), "it may stop once another disk has it");
}

/// A version that a core holds in memory only is lost with that core.
#[test]
fn a_draining_voter_waits_until_the_newest_version_is_on_two_other_disks() {
    let mut fleet = three_voters();
    fleet.stalled_disks.insert(C);
    for (from, to) in [(B, A), (A, B), (A, C)] {
        fleet.deliver_message(
            from,
            to,
            Message::Consensus(ConsensusMessage::Replicate { entries: vec![log_entry(1, 0, &[], &[A, B, C])] }),
        );
    }
    drain(&mut fleet, A);
    fleet.run(SEC);
    assert!(!may_stop(&fleet, A), "C has it in memory only");
    fleet.stalled_disks.clear();
    assert!(fleet.run_until(SEC, |fleet| may_stop(fleet, A)).is_some(), "B and C hold it");
}

/// Without a candidate, waiting for a replacement would never end.
#[test]
fn a_draining_voter_stops_without_a_replacement_if_the_others_hold_all_versions() {
    let mut fleet = three_voters();
    drain(&mut fleet, A);
    assert!(fleet.run_until(SEC, |fleet| may_stop(fleet, A)).is_some(), "no core could take its place");
}

/// One voter is lost already. If another one stopped, a single core would hold the newest version.
#[test]
fn a_draining_voter_waits_while_it_holds_one_of_two_copies() {
    let mut fleet = three_voters();
    fleet.stop(B);
    fleet.run(4 * SEC);
    drain(&mut fleet, A);
    fleet.run(SEC);
    assert!(!may_stop(&fleet, A), "C alone would hold the newest");
    fleet.start(D, durable_state(D, &[], None));
    let waited = fleet.run_until(3 * SEC, |fleet| may_stop(fleet, A));
    assert!(waited.is_some() && fleet.node(D).is_voter(), "D votes, and C and D hold all versions");
}

/// The accepted change may be decided by this voter's acceptance, and would be lost with its disk.
#[test]
fn a_draining_voter_waits_while_a_change_that_it_accepted_is_undecided() {
    let mut fleet = three_voters();
    fleet.partition(&[A], &[B, C]);
    let entry = log_entry(1, 0, &[], &[A, B, C]);
    let ballot = Ballot { number: 9_000, node_id: NodeId(B), incarnation: 1 };
    fleet.deliver_message(B, A, Message::Consensus(ConsensusMessage::Accept { ballot, entry }));
    drain(&mut fleet, A);
    fleet.run(200 * MS);
    assert!(!may_stop(&fleet, A), "it may be one of the two that decide it");
}

/// A fleet that shuts down as a whole has no replacements. Its voters must not wait for each other.
#[test]
fn all_voters_that_drain_together_may_stop_at_once() {
    let mut fleet = three_voters();
    for machine in [A, B, C] {
        drain(&mut fleet, machine);
    }
    fleet.run(500 * MS);
    assert!([A, B, C].iter().all(|machine| may_stop(&fleet, *machine)), "all of them drain");
}

/// Two of three voters were lost one after the other, and the third drains too: no other voter could propose
/// the replacement.
#[test]
fn a_sole_voter_that_drains_still_proposes_its_replacement() {
    let mut fleet = Fleet::default();
    fleet.start(A, durable_state(A, &[log_entry(0, 0, &[], &[A])], Some(0)));
    fleet.start(D, durable_state(D, &[], None));
    fleet.run(3 * SEC);
    assert!(fleet.node(A).is_voter() && !fleet.node(D).is_voter(), "one voter of two cores");
    drain(&mut fleet, A);
    assert!(!may_stop(&fleet, A), "it holds the only copy");
    let waited = fleet.run_until(3 * SEC, |fleet| fleet.node(D).is_voter() && may_stop(fleet, A));
    assert!(waited.is_some(), "D never becomes the voter");
    assert!(fleet.synced_state(D).entries.contains_key(&1), "D has it on its disk");
}
