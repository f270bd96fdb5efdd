//! Taking over what an earlier set of voters granted, under losses that follow one another.

mod fleet;

use fleet::{Fleet, address, core, decree, kept};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, NodeId, SEC};
use sumacvale_core::lease::{ROLE_COUNT, quota_role};
use sumacvale_core::protocol::{
    Ballot, ConsensusMessage, DisseminationMessage, LeaseMessage, MembershipMessage, Message, PeerRecord, QuotaMessage,
    WindowGrant,
};

const A: u64 = 1;
const B: u64 = 2;
const C: u64 = 3;
const D: u64 = 4;
const E: u64 = 5;

fn ids(fleet: &Fleet, n: u64) -> Vec<u64> {
    fleet.node(n).consensus.state.voters().iter().map(|c| c.node_id.0).collect()
}

fn duties_held(fleet: &Fleet, n: u64) -> Vec<u32> {
    (0..ROLE_COUNT).filter(|d| fleet.node(n).leases.held.valid_epoch(*d, fleet.now).is_some()).collect()
}

/// B was lost and replaced by D; A is lost before anyone took over what it granted with B.
fn second_loss() -> Fleet {
    let first = decree(0, 0, &[], &[A, B, C]);
    let second = decree(1, 1, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    let mut c = kept(C, &[first, second.clone()], Some(0));
    c.epochs = (0..ROLE_COUNT).map(|d| (d, 3)).collect();
    fleet.start(C, c);
    fleet.start(D, kept(D, &[second], None));
    fleet
}

#[test]
fn a_second_loss_before_the_handover_leaves_a_fleet_that_goes_on() {
    let mut fleet = second_loss();
    fleet.start(E, kept(E, &[], None));
    let full = |f: &Fleet| {
        let set = ids(f, C);
        set.contains(&E) && [C, D, E].iter().all(|n| ids(f, *n) == set)
    };
    let replaced = fleet.run_until(10 * SEC, full);
    assert!(replaced.is_some(), "A is not replaced: the voters are still {:?}", ids(&fleet, C));
    let granted = |f: &Fleet| [C, D, E].iter().map(|n| duties_held(f, *n).len()).sum::<usize>() == ROLE_COUNT as usize;
    let terms = fleet.run_until(20 * SEC, granted);
    assert!(terms.is_some(), "nobody holds the duties 20 s later");
    println!("replaced after {replaced:?} us, all duties held {terms:?} us later");
}

#[test]
fn a_later_set_outbids_epochs_that_it_knows_nothing_of() {
    let mut fleet = second_loss();
    let all = |f: &Fleet| [C, D].iter().map(|n| duties_held(f, *n).len()).sum::<usize>() == ROLE_COUNT as usize;
    assert!(fleet.run_until(20 * SEC, all).is_some(), "the duties are not held");
    // A and B may have granted any number of epochs that C never heard of.
    for n in [C, D] {
        for d in duties_held(&fleet, n) {
            let epoch = fleet.node(n).leases.held.by_role[&d].epoch;
            assert!(epoch > 1_000_000, "duty {d} is held by epoch {epoch}: nodes that heard of a higher one refuse it");
        }
    }
}

/// What the lost voters gave of a window is not known, so all of it counts as given.
#[test]
fn a_window_counts_as_spent_once_when_nobody_can_hand_it_over() {
    let body = r#"{"defaults":{"quota":{"calls":50,"window_ms":5000}},"pools":{"llm":{}},
        "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
        "tenants":{"home":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#;
    let mut second = decree(1, 1, &[A, B, C], &[A, C, D]);
    second.body = body.into();
    let mut fleet = Fleet::default();
    fleet.auto = false;
    fleet.start(C, kept(C, std::slice::from_ref(&second), Some(0)));
    fleet.start(D, kept(D, &[second], None));
    let home = quota_role("home");
    let holder = |f: &Fleet| [C, D].into_iter().find(|n| duties_held(f, *n).contains(&home));
    assert!(fleet.run_until(10 * SEC, |f| holder(f).is_some()).is_some(), "nobody holds the duty");
    let begin = fleet.now;
    let asks = |fleet: &mut Fleet, n| {
        let to = holder(fleet).expect("a holder");
        fleet.sent.clear();
        fleet.tell(
            90,
            to,
            Message::Quota(QuotaMessage::SliceRequest {
                request_id: n,
                tenant: "home".into(),
                wanted_units: 5,
                window: 7,
                returned: 0,
            }),
        );
        fleet.run(200 * MS);
        let said = fleet.sent.iter().map(|s| &s.1.message);
        let slice = |m: &Message| {
            if let Message::Quota(QuotaMessage::SliceGranted { window, .. }) = m { Some(*window) } else { None }
        };
        (
            said.clone().find_map(slice),
            said.filter(|m| matches!(m, Message::Quota(QuotaMessage::WindowSpent { .. }))).count(),
        )
    };
    // The asker must be known, else nothing can be sent to it.
    let front = PeerRecord {
        node_id: NodeId(90),
        incarnation: 1,
        heartbeat: 1,
        addr: address(90),
        admin: String::new(),
        zone: "z".into(),
        is_core: false,
        draining: false,
        version: 1,
    };
    for n in [C, D] {
        let rows = vec![front.clone()];
        let gossip = Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![],
            records: rows,
            unknown_nodes: vec![],
            wants_reply: false,
            incarnation_set: 0,
            compact_heartbeats: vec![],
        });
        fleet.tell(90, n, gossip);
    }
    let (slice, spent) = asks(&mut fleet, 1);
    assert!(slice.is_none() && spent > 0, "{slice:?} {spent}: the window may be spent");
    fleet.run((begin + 5_100 * MS).saturating_sub(fleet.now));
    let (slice, _) = asks(&mut fleet, 2);
    assert!(slice.is_some_and(|w| w > 1_000_000), "{slice:?}: a later window, with a number above all before it");
}

/// Of rates nothing is proven free by the lives that happen to be known here.
#[test]
fn who_takes_over_alone_proves_nobody_dead() {
    let mut fleet = second_loss();
    fleet.run(5 * SEC);
    for n in [C, D] {
        let unknown = fleet.kept(n).registered.keys().any(|l| l.0 == NodeId::default());
        assert!(unknown, "{n} holds shares of lives that it never heard of for ended");
    }
}

#[test]
fn the_founding_set_has_nobody_to_take_over_from() {
    let mut fleet = Fleet::default();
    for n in [A, B] {
        // They were down when version 0 was decided, and were taught a later one.
        fleet.start(n, kept(n, &[decree(3, 0, &[], &[A, B, C])], None));
    }
    let held = |f: &Fleet| [A, B].iter().map(|n| duties_held(f, *n).len()).sum::<usize>() == ROLE_COUNT as usize;
    assert!(fleet.run_until(3 * SEC, held).is_some(), "both wait for each other");
}

/// C became a voter with version 5 and had not taken over yet when B was lost.
#[test]
fn a_member_that_never_took_its_set_over_is_a_voice_of_it() {
    let five = decree(5, 5, &[A, B, E], &[A, B, C]);
    let six = decree(6, 6, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.start(A, kept(A, &[decree(0, 0, &[], &[A, B, E]), five.clone(), six.clone()], Some(5)));
    fleet.start(C, kept(C, &[five, six.clone()], None));
    fleet.start(D, kept(D, &[six], None));
    let held = |f: &Fleet| [A, C, D].iter().map(|n| duties_held(f, *n).len()).sum::<usize>() == ROLE_COUNT as usize;
    let t = fleet.run_until(3 * SEC, held);
    assert!(t.is_some(), "A alone can't hand over, C may not: nothing is granted");
}

fn handed(set: u64, rows: Vec<WindowGrant>) -> Message {
    Message::Membership(MembershipMessage::TakeoverReply {
        voter_set: set,
        is_complete: false,
        grants: rows,
        registered: vec![],
    })
}

/// Suspicion: a voice that knows only an older set counts as one of the set before. It does,
/// and that is safe: of any majority one knows each grant of that set.
#[test]
fn a_voice_that_skipped_a_set_counts_and_no_grant_is_lost() {
    let six = decree(6, 6, &[A, B, C], &[A, C, D]);
    let grant = WindowGrant { tenant: "t".into(), window: 9, node_id: NodeId(90), granted_total: 7, age: 0 };
    let takes_over = |voices: &[(u64, Vec<WindowGrant>)]| {
        let mut fleet = Fleet::default();
        fleet.start(D, kept(D, std::slice::from_ref(&six), None));
        fleet.run(100 * MS);
        for (n, rows) in voices {
            fleet.tell(*n, D, handed(6, rows.clone()));
        }
        let kept = fleet.kept(D).clone();
        (kept.ready_set, kept.grants.into_values().map(|g| g.granted_total).collect::<Vec<_>>())
    };
    // C was taught the newest version only; A confirmed the grant together with B, which is lost.
    assert_eq!(takes_over(&[(C, vec![])]), (None, vec![]), "one voice of three");
    assert_eq!(takes_over(&[(C, vec![]), (E, vec![])]), (None, vec![]), "who was no voter is no voice");
    assert_eq!(takes_over(&[(C, vec![]), (A, vec![grant])]), (Some(6), vec![7]));
}

#[test]
fn a_voice_is_given_only_once_the_new_set_is_on_its_disk() {
    let six = decree(6, 6, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.start(A, kept(A, &[decree(5, 5, &[], &[A, B, C])], Some(5)));
    fleet.run(100 * MS);
    fleet.stuck.insert(A);
    fleet.tell(C, A, Message::Consensus(ConsensusMessage::Replicate { entries: vec![six] }));
    fleet.sent.clear();
    fleet.tell(D, A, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 6 }));
    let replies = |f: &Fleet| {
        f.sent
            .iter()
            .filter(|s| matches!(s.1.message, Message::Membership(MembershipMessage::TakeoverReply { .. })))
            .count()
    };
    assert_eq!(replies(&fleet), 0, "after a loss of power it would act for the old set again");
    fleet.stuck.remove(&A);
    fleet.run(100 * MS);
    fleet.tell(D, A, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 6 }));
    assert!(replies(&fleet) > 0, "it hands over once the set is synced");
}

/// A and C decided on the new set, then A's disk stalls and A hears of nobody but B.
#[test]
fn no_duty_is_held_in_two_sets_at_once() {
    let zero = decree(0, 0, &[], &[A, B, C]);
    let one = decree(1, 1, &[A, B, C], &[A, C, D]);
    let mut held_before = BTreeMap::new();
    let mut fleet = Fleet::default();
    fleet.auto = false;
    for n in [A, B, C] {
        fleet.start(n, kept(n, std::slice::from_ref(&zero), Some(0)));
    }
    fleet.run(4 * SEC);
    // All duties of C fall to the others while it is cut off.
    fleet.part(&[A, B], &[C, D]);
    fleet.run(4 * SEC);
    for n in [A, B] {
        held_before.insert(n, duties_held(&fleet, n));
    }
    assert_eq!(held_before.values().map(Vec::len).sum::<usize>(), ROLE_COUNT as usize, "{held_before:?}");
    let ballot = Ballot { number: 99, node_id: NodeId(C), incarnation: 1 };
    fleet.tell(C, A, Message::Consensus(ConsensusMessage::Accept { ballot, entry: one.clone() }));
    fleet.stuck.insert(A);
    fleet.start(D, kept(D, &[], None));
    fleet.tell(A, C, Message::Consensus(ConsensusMessage::Replicate { entries: vec![one.clone()] }));
    fleet.tell(C, D, Message::Consensus(ConsensusMessage::Replicate { entries: vec![one] }));
    let mut later = 0;
    for _ in 0..800 {
        fleet.run(25 * MS);
        let mut by = BTreeMap::new();
        for n in [A, B, C, D] {
            for d in duties_held(&fleet, n) {
                if let Some(other) = by.insert(d, n) {
                    panic!("{}: duty {d} is held by {other} and by {n}", fleet.now);
                }
            }
        }
        later = duties_held(&fleet, C).len() + duties_held(&fleet, D).len();
    }
    assert_eq!(later, ROLE_COUNT as usize, "the new set goes on by itself");
}

/// C holds duties by the votes of B and its own, and A never heard of them. B goes and is replaced by
/// D: A and D are a majority of the new set, and neither knows of a term of C's.
#[test]
fn a_new_member_gives_no_duty_away_that_an_earlier_set_may_have_granted() {
    let zero = decree(0, 0, &[], &[A, B, C]);
    let one = decree(1, 1, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.auto = false;
    fleet.part(&[A], &[C]);
    for n in [A, B, C, D] {
        fleet.start(n, kept(n, std::slice::from_ref(&zero), Some(0)));
    }
    fleet.run(4 * SEC);
    let before = duties_held(&fleet, C);
    assert!(!before.is_empty(), "C holds nothing by the votes of B and C");
    // A and B decided on the new set, and B's word is enough for A and D to take it over.
    fleet.part(&[A, B, D], &[C]);
    for n in [A, B, D] {
        fleet.tell(C, n, Message::Consensus(ConsensusMessage::Replicate { entries: vec![one.clone()] }));
    }
    for _ in 0..160 {
        let later: Vec<_> = [A, B, D].iter().flat_map(|n| duties_held(&fleet, *n)).collect();
        let twice: Vec<_> = duties_held(&fleet, C).into_iter().filter(|d| later.contains(d)).collect();
        assert!(twice.is_empty(), "{}: {twice:?} are held by C and under the next set", fleet.now);
        fleet.run(25 * MS);
    }
    let later: usize = [A, D].iter().map(|n| duties_held(&fleet, *n).len()).sum();
    assert_eq!(later, ROLE_COUNT as usize, "the new set goes on");
}

/// Where all voters but the lost one answer, the newcomer's vote is not needed, so nothing waits for it.
#[test]
fn a_change_of_voters_leaves_no_duty_vacant_where_those_who_stay_agree() {
    let zero = decree(0, 0, &[], &[A, B, C]);
    let one = decree(1, 1, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.auto = false;
    for n in [A, B, C, D] {
        fleet.start(n, kept(n, std::slice::from_ref(&zero), Some(0)));
    }
    fleet.run(4 * SEC);
    fleet.stop(B);
    fleet.run(750 * MS);
    for n in [A, C, D] {
        fleet.tell(B, n, Message::Consensus(ConsensusMessage::Replicate { entries: vec![one.clone()] }));
    }
    let all = |f: &Fleet| [A, C, D].iter().map(|n| duties_held(f, *n).len()).sum::<usize>() == ROLE_COUNT as usize;
    // The terms of B end a second after its last renewal, at most.
    let took = fleet.run_until(4 * SEC, all).expect("all duties are held again");
    assert!(took <= 600 * MS, "duties were vacant for {took} us after the change");
}

/// A disk that was lost gives a new member at the old address: it has no vote to give twice.
#[test]
fn a_wiped_voter_promises_nothing_under_its_old_place() {
    let zero = decree(0, 0, &[], &[A, B, C]);
    let mut fleet = Fleet::default();
    fleet.start_at(77, A, kept(77, &[], None));
    fleet.tell(B, A, Message::Consensus(ConsensusMessage::Replicate { entries: vec![zero] }));
    fleet.sent.clear();
    let ballot = Ballot { number: 5, node_id: NodeId(B), incarnation: 1 };
    fleet.tell(B, A, Message::Consensus(ConsensusMessage::Prepare { instance: 1, ballot }));
    assert!(
        !fleet.sent.iter().any(|s| matches!(s.1.message, Message::Consensus(ConsensusMessage::Promise { .. }))),
        "{:?}",
        fleet.sent
    );
    assert!(fleet.node(A).consensus.state.promised_ballot == Ballot::default());
    assert!(!fleet.node(A).voter());
}

#[test]
fn a_disk_is_lost_twice_and_its_machine_votes_again_each_time() {
    let mut fleet = Fleet::default();
    for n in [A, B, C] {
        fleet.start(n, kept(n, &[decree(0, 0, &[], &[A, B, C])], Some(0)));
    }
    fleet.run(4 * SEC);
    for (i, new) in [71, 72, 73].into_iter().enumerate() {
        fleet.stop(A);
        fleet.run(500 * MS);
        fleet.start_at(new, A, kept(new, &[], None));
        let votes = |f: &Fleet| f.node(B).consensus.state.is_voter(NodeId(new)) && f.node(A).voter();
        let t = fleet.run_until(4 * SEC, votes);
        assert!(t.is_some(), "loss {i}: the voters are {:?}", ids(&fleet, B));
        assert_eq!(ids(&fleet, B).len(), 3);
        fleet.run(4 * SEC);
    }
}

#[test]
fn an_accepted_change_of_voters_stops_new_terms_until_its_end_is_known() {
    let zero = decree(0, 0, &[], &[A, B, C]);
    let one = decree(1, 1, &[A, B, C], &[A, C, D]);
    let ask = |fleet: &mut Fleet, epoch| {
        fleet.sent.clear();
        fleet.tell(
            B,
            A,
            Message::Lease(LeaseMessage::Request { voter_set: 0, role: 0, epoch, request_id: 1, is_new_epoch: true }),
        );
        fleet.sent.iter().any(|s| matches!(s.1.message, Message::Lease(LeaseMessage::Granted { .. })))
    };
    let mut fleet = Fleet::default();
    fleet.start(A, kept(A, &[zero], Some(0)));
    fleet.run(3 * SEC);
    assert!(ask(&mut fleet, 40), "it grants before");
    let mut other = one.clone();
    (other.voters_since, other.voters, other.previous_voters) = (0, vec![core(A), core(B), core(C)], vec![]);
    let ballot = |n| Ballot { number: n, node_id: NodeId(C), incarnation: 1 };
    fleet.tell(C, A, Message::Consensus(ConsensusMessage::Accept { ballot: ballot(9_000), entry: other }));
    fleet.run(2 * SEC);
    assert!(ask(&mut fleet, 50), "other changes stop nothing");
    fleet.tell(C, A, Message::Consensus(ConsensusMessage::Accept { ballot: ballot(9_000_000), entry: one }));
    fleet.run(2 * SEC);
    assert!(!ask(&mut fleet, 60), "the set may have changed");
    fleet.restart(A);
    fleet.run(3 * SEC);
    assert!(!ask(&mut fleet, 70), "also after a start");
}

/// What is told of a window's beginning counts from when it was told, also where others are
/// waited for meanwhile.
#[test]
fn a_window_grows_no_longer_on_its_way_to_a_new_voter() {
    let six = decree(6, 6, &[A, B, C], &[A, C, D]);
    let row = |granted_total, age| {
        vec![WindowGrant { tenant: "t".into(), window: 9, node_id: NodeId(90), granted_total, age }]
    };
    // The other voice knows of the window too, or knows nothing of it.
    for second in [row(7, 100 * MS), vec![]] {
        let mut fleet = Fleet::default();
        fleet.start(D, kept(D, std::slice::from_ref(&six), None));
        fleet.run(100 * MS);
        for n in [A, C] {
            fleet.tell(n, D, Message::Consensus(ConsensusMessage::Synced { version: 6 }));
        }
        fleet.tell_late(A, D, handed(6, row(3, 400 * MS)), 200 * MS);
        fleet.run(300 * MS);
        fleet.tell(C, D, handed(6, second));
        fleet.run(50 * MS);
        fleet.sent.clear();
        fleet.tell(A, D, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 6 }));
        let ages: Vec<_> = fleet
            .sent
            .iter()
            .filter_map(|s| {
                if let Message::Membership(MembershipMessage::TakeoverReply { grants, .. }) = &s.1.message {
                    Some(grants[0].age)
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(ages, [950 * MS], "400 told, 200 on the way, 300 and 50 since");
    }
}

/// A core that asks for the duty of a tenant with a window of 1 s, in touch with a majority by B's word.
fn asks_for_a_window() -> (Fleet, u32, u64, u64) {
    let mut zero = decree(0, 0, &[], &[A, B, C]);
    zero.body = r#"{"defaults":{"quota":{"calls":50,"window_ms":1000}},"pools":{"llm":{}},
        "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
        "tenants":{"home":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#
        .into();
    let home = quota_role("home");
    let mut fleet = Fleet::default();
    fleet.auto = false;
    fleet.start(A, kept(A, &[zero], Some(0)));
    let asked =
        |f: &Fleet| {
            f.sent.iter().rev().find_map(|s| match s.1.message {
                Message::Lease(LeaseMessage::Request {
                    role: duty, epoch, request_id: n, is_new_epoch: true, ..
                }) if duty == home => Some((epoch, n)),
                _ => None,
            })
        };
    fleet.tell(B, A, Message::Consensus(ConsensusMessage::Synced { version: 0 }));
    for _ in 0..120 {
        // B confirms each round, so that A is in touch with a majority.
        fleet.run(25 * MS);
        let seq = fleet.sent.iter().rev().find_map(|s| {
            if let Message::Consensus(ConsensusMessage::FreshnessProbe { seq, .. }) = s.1.message {
                Some(seq)
            } else {
                None
            }
        });
        if let Some(seq) = seq {
            fleet.tell(
                B,
                A,
                Message::Consensus(ConsensusMessage::FreshnessReply {
                    seq,
                    version: 0,
                    synced_version: 0,
                    ready_set: Some(0),
                    has_accepted: false,
                }),
            );
        }
        if asked(&fleet).is_some() {
            break;
        }
    }
    let (epoch, n) = asked(&fleet).expect("it asks");
    (fleet, home, epoch, n)
}

/// The windows of which the holder gives a slice when it is asked now.
fn given(fleet: &mut Fleet) -> Vec<u64> {
    fleet.sent.clear();
    fleet.tell(
        91,
        A,
        Message::Quota(QuotaMessage::SliceRequest {
            request_id: 1,
            tenant: "home".into(),
            wanted_units: 1,
            window: 9,
            returned: 0,
        }),
    );
    let grants = fleet.sent.iter().filter_map(|s| {
        if let Message::Quota(QuotaMessage::ReplicateGrants { grants, .. }) = &s.1.message {
            Some(grants[0].window)
        } else {
            None
        }
    });
    grants.collect()
}

#[test]
fn a_window_grows_no_longer_on_its_way_to_a_new_holder() {
    let (mut fleet, home, epoch, n) = asks_for_a_window();
    let rows =
        vec![WindowGrant { tenant: "home".into(), window: 9, node_id: NodeId(90), granted_total: 50, age: 900 * MS }];
    let yes = Message::Lease(LeaseMessage::Granted {
        role: home,
        epoch,
        request_id: n,
        grants: rows,
        has_no_predecessor: false,
        registered: vec![],
    });
    fleet.tell_late(B, A, yes, 200 * MS);
    assert_eq!(duties_held(&fleet, A), [home]);
    let wins = given(&mut fleet);
    assert!(
        !wins.is_empty() && wins.iter().all(|w| *w == 10),
        "{wins:?}: the window of 1 s is over, 900 ms told and 200 on the way"
    );
}

/// A holder that is the only one of its majority to know of a window votes for itself once its disk has
/// the vote: the window went on meanwhile.
#[test]
fn a_window_grows_no_longer_while_the_new_holder_waits_for_its_own_disk() {
    let (mut fleet, home, epoch, n) = asks_for_a_window();
    let rows =
        vec![WindowGrant { tenant: "home".into(), window: 9, node_id: NodeId(90), granted_total: 50, age: 850 * MS }];
    fleet.tell(
        B,
        A,
        Message::Quota(QuotaMessage::ReplicateGrants {
            voter_set: 0,
            role: home,
            epoch: epoch - 1,
            request_id: 1,
            grants: rows,
        }),
    );
    fleet.stuck.insert(A);
    fleet.tell(
        B,
        A,
        Message::Lease(LeaseMessage::Granted {
            role: home,
            epoch,
            request_id: n,
            grants: vec![],
            has_no_predecessor: false,
            registered: vec![],
        }),
    );
    fleet.run(200 * MS);
    assert!(duties_held(&fleet, A).is_empty(), "its own vote is not on its disk");
    fleet.stuck.clear();
    fleet.run(25 * MS);
    assert_eq!(duties_held(&fleet, A), [home]);
    let wins = given(&mut fleet);
    assert!(
        !wins.is_empty() && wins.iter().all(|w| *w == 10),
        "{wins:?}: the window of 1 s is over, 850 ms told and 200 until its vote was on disk"
    );
}
