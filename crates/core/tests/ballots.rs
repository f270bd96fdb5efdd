//! Competing proposers: a core that promised or accepted another proposer's ballot gives this ballot time to
//! complete.

mod fleet;

use fleet::{Fleet, durable_state, log_entry};
use sumacvale_core::base::{ChangeId, MS, NodeId, SEC};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Ballot, Change, ConsensusMessage, Message};

/// Starts two of three voters with version 1; the test sends the messages of the third.
fn two_of_three() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    let versions = [log_entry(0, 0, &[], &[1, 2, 3]), log_entry(1, 0, &[], &[1, 2, 3])];
    fleet.start(1, durable_state(1, &versions, Some(0)));
    fleet.start(2, durable_state(2, &versions, Some(0)));
    fleet.run(SEC);
    fleet
}

fn submit_change(fleet: &mut Fleet, base: u64) {
    let change = Change::Tree("{}".into());
    let event = Event::SubmitChange { request_id: 1, change_id: ChangeId(77), is_first_send: true, base, change };
    let effects = fleet.step(1, event);
    fleet.apply_effects(1, effects);
}

/// A ballot of the third voter.
fn competing_ballot(number: u64) -> Ballot {
    Ballot { number, node_id: NodeId(3), incarnation: 1 }
}

/// Counts the `Prepare` messages of the first voter among the frames sent from index `since` on.
fn prepares_sent(fleet: &Fleet, since: usize) -> usize {
    fleet.sent[since..]
        .iter()
        .filter(|(machine, frame)| {
            *machine == 1 && matches!(frame.message, Message::Consensus(ConsensusMessage::Prepare { .. }))
        })
        .count()
}

#[test]
fn a_voter_starts_no_ballot_while_another_proposers_ballot_is_in_progress() {
    let mut fleet = two_of_three();
    fleet.deliver_message(
        3,
        1,
        Message::Consensus(ConsensusMessage::Prepare { instance: 2, ballot: competing_ballot(50) }),
    );
    let since = fleet.sent.len();
    submit_change(&mut fleet, 1);
    fleet.run(350 * MS);
    assert_eq!(prepares_sent(&fleet, since), 0, "preempted a ballot before it had time to complete");

    // The other proposer enters its accept phase, which needs another disk write.
    let next = log_entry(2, 0, &[], &[1, 2, 3]);
    fleet.deliver_message(
        3,
        1,
        Message::Consensus(ConsensusMessage::Accept { ballot: competing_ballot(50), entry: next }),
    );
    fleet.run(350 * MS);
    assert_eq!(prepares_sent(&fleet, since), 0, "preempted a ballot in its accept phase");
    // The change stays pending, and is rejected once the other proposer's version is known.
    fleet.run(SEC);
    assert_eq!(fleet.node(1).version(), Some(2));
    assert_eq!(fleet.synced_state(1).entries[&2].change_id, ChangeId(2));
}

#[test]
fn an_abandoned_ballot_does_not_block_other_proposers_for_long() {
    let mut fleet = two_of_three();
    fleet.deliver_message(
        3,
        1,
        Message::Consensus(ConsensusMessage::Prepare { instance: 2, ballot: competing_ballot(50) }),
    );
    let since = fleet.sent.len();
    fleet.run(100 * MS);
    submit_change(&mut fleet, 1);
    let has_started = |fleet: &Fleet| prepares_sent(fleet, since) > 0;
    assert!(fleet.run_until(325 * MS, has_started).is_some(), "still yields to a proposer that may have failed");
}

#[test]
fn the_next_ballot_may_start_once_the_version_is_decided() {
    let mut fleet = two_of_three();
    fleet.deliver_message(
        3,
        1,
        Message::Consensus(ConsensusMessage::Prepare { instance: 2, ballot: competing_ballot(50) }),
    );
    fleet.deliver_message(
        3,
        1,
        Message::Consensus(ConsensusMessage::Replicate { entries: vec![log_entry(2, 0, &[], &[1, 2, 3])] }),
    );
    assert_eq!(fleet.node(1).version(), Some(2));
    let since = fleet.sent.len();
    submit_change(&mut fleet, 2);
    fleet.run(50 * MS);
    assert!(prepares_sent(&fleet, since) > 0, "yields to a ballot whose version is decided");
}
