//! Proposers that meet: one whose voter heeds another's ballot gives it the time that it needs.

mod fleet;

use fleet::{Fleet, decree, kept};
use sumacvale_core::base::{ChangeId, MS, NodeId, SEC};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Ballot, Change, ConsensusMessage, Message};

/// Three voters with version 1, of which the third does not run: the test speaks for it.
fn two_of_three() -> Fleet {
    let mut f = Fleet::default();
    f.auto = false;
    let versions = [decree(0, 0, &[], &[1, 2, 3]), decree(1, 0, &[], &[1, 2, 3])];
    f.start(1, kept(1, &versions, Some(0)));
    f.start(2, kept(2, &versions, Some(0)));
    f.run(SEC);
    f
}

fn change(f: &mut Fleet, base: u64) {
    let change = Change::Tree("{}".into());
    let order = Event::SubmitChange { request_id: 1, change_id: ChangeId(77), is_first_send: true, base, change };
    let effects = f.step(1, order);
    f.carry(1, effects);
}

/// The ballot of another core, higher than all before it.
fn of_another(n: u64) -> Ballot {
    Ballot { number: n, node_id: NodeId(3), incarnation: 1 }
}

/// How many ballots this voter began since.
fn begun(f: &Fleet, since: usize) -> usize {
    f.sent[since..]
        .iter()
        .filter(|(m, x)| *m == 1 && matches!(x.message, Message::Consensus(ConsensusMessage::Prepare { .. })))
        .count()
}

#[test]
fn a_voter_begins_no_ballot_while_that_of_another_is_under_way() {
    let mut f = two_of_three();
    f.tell(3, 1, Message::Consensus(ConsensusMessage::Prepare { instance: 2, ballot: of_another(50) }));
    let since = f.sent.len();
    change(&mut f, 1);
    f.run(350 * MS);
    assert_eq!(begun(&f, since), 0, "it outbid a ballot that had no time to end");

    // The other goes on to its second step, which takes a write as well.
    let next = decree(2, 0, &[], &[1, 2, 3]);
    f.tell(3, 1, Message::Consensus(ConsensusMessage::Accept { ballot: of_another(50), entry: next }));
    f.run(350 * MS);
    assert_eq!(begun(&f, since), 0, "it outbid a ballot in its second step");
    // The change still waits, and is refused once the other's version is known.
    f.run(SEC);
    assert_eq!(f.node(1).version(), Some(2));
    assert_eq!(f.kept(1).entries[&2].change_id, ChangeId(2));
}

#[test]
fn a_ballot_that_comes_to_nothing_holds_nobody_up_for_long() {
    let mut f = two_of_three();
    f.tell(3, 1, Message::Consensus(ConsensusMessage::Prepare { instance: 2, ballot: of_another(50) }));
    let since = f.sent.len();
    f.run(100 * MS);
    change(&mut f, 1);
    let begins = |f: &Fleet| begun(f, since) > 0;
    assert!(f.run_until(325 * MS, begins).is_some(), "it still waits for one who may be gone");
}

#[test]
fn once_the_version_is_known_the_next_ballot_may_begin() {
    let mut f = two_of_three();
    f.tell(3, 1, Message::Consensus(ConsensusMessage::Prepare { instance: 2, ballot: of_another(50) }));
    f.tell(3, 1, Message::Consensus(ConsensusMessage::Replicate { entries: vec![decree(2, 0, &[], &[1, 2, 3])] }));
    assert_eq!(f.node(1).version(), Some(2));
    let since = f.sent.len();
    change(&mut f, 2);
    f.run(50 * MS);
    assert!(begun(&f, since) > 0, "it waits for a ballot that has ended");
}
