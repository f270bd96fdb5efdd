//! Takeover of what an earlier set of voters granted, with losses in quick succession.

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

fn voter_ids(fleet: &Fleet, n: u64) -> Vec<u64> {
    fleet.node(n).consensus.state.voters().iter().map(|voter| voter.node_id.0).collect()
}

fn held_roles(fleet: &Fleet, n: u64) -> Vec<u32> {
    (0..ROLE_COUNT).filter(|role| fleet.node(n).leases.held.valid_epoch(*role, fleet.now).is_some()).collect()
}

/// Whether these nodes hold all roles between them.
fn are_all_roles_held(fleet: &Fleet, nodes: &[u64]) -> bool {
    nodes.iter().map(|n| held_roles(fleet, *n).len()).sum::<usize>() == ROLE_COUNT as usize
}

/// A fleet in which B was lost and replaced by D, and A is lost before any voter took over what A and B
/// granted.
fn fleet_after_second_loss() -> Fleet {
    let first = decree(0, 0, &[], &[A, B, C]);
    let second = decree(1, 1, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    let mut durable = kept(C, &[first, second.clone()], Some(0));
    durable.epochs = (0..ROLE_COUNT).map(|role| (role, 3)).collect();
    fleet.start(C, durable);
    fleet.start(D, kept(D, &[second], None));
    fleet
}

#[test]
fn a_fleet_recovers_from_a_second_loss_before_the_takeover() {
    let mut fleet = fleet_after_second_loss();
    fleet.start(E, kept(E, &[], None));
    let has_replaced_a = |fleet: &Fleet| {
        let voters = voter_ids(fleet, C);
        voters.contains(&E) && [C, D, E].iter().all(|n| voter_ids(fleet, *n) == voters)
    };
    let replaced = fleet.run_until(10 * SEC, has_replaced_a);
    assert!(replaced.is_some(), "A is not replaced: the voters are still {:?}", voter_ids(&fleet, C));
    let granted = |fleet: &Fleet| are_all_roles_held(fleet, &[C, D, E]);
    let held = fleet.run_until(20 * SEC, granted);
    assert!(held.is_some(), "some roles have no holder 20 s later");
    println!("replaced after {replaced:?} µs, all roles held {held:?} µs later");
}

#[test]
fn a_later_set_uses_higher_epochs_than_unknown_earlier_ones() {
    let mut fleet = fleet_after_second_loss();
    let all = |fleet: &Fleet| are_all_roles_held(fleet, &[C, D]);
    assert!(fleet.run_until(20 * SEC, all).is_some(), "some roles have no holder");
    // A and B may have granted any number of epochs that C does not know of.
    for n in [C, D] {
        for role in held_roles(&fleet, n) {
            let epoch = fleet.node(n).leases.held.by_role[&role].epoch;
            assert!(
                epoch > 1_000_000,
                "role {role} is held with epoch {epoch}: nodes that know of a higher one reject it"
            );
        }
    }
}

/// What the lost voters granted of a window is not known, so all of it counts as granted.
#[test]
fn one_window_counts_as_spent_after_a_takeover_by_timeout() {
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
    let holder = |fleet: &Fleet| [C, D].into_iter().find(|n| held_roles(fleet, *n).contains(&home));
    assert!(fleet.run_until(10 * SEC, |f| holder(f).is_some()).is_some(), "the role has no holder");
    let held_since = fleet.now;
    let request_slice = |fleet: &mut Fleet, request_id| {
        let to = holder(fleet).expect("a holder");
        fleet.sent.clear();
        fleet.tell(
            90,
            to,
            Message::Quota(QuotaMessage::SliceRequest {
                request_id,
                tenant: "home".into(),
                wanted_units: 5,
                window: 7,
                returned: 0,
            }),
        );
        fleet.run(200 * MS);
        let replies = fleet.sent.iter().map(|(_, frame)| &frame.message);
        let granted_window = |message: &Message| match message {
            Message::Quota(QuotaMessage::SliceGranted { window, .. }) => Some(*window),
            _ => None,
        };
        (
            replies.clone().find_map(granted_window),
            replies.filter(|message| matches!(message, Message::Quota(QuotaMessage::WindowSpent { .. }))).count(),
        )
    };
    // The requester must be a known peer, else nothing can be sent to it.
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
        let records = vec![front.clone()];
        let gossip = Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![],
            records,
            unknown_nodes: vec![],
            wants_reply: false,
            incarnation_set: 0,
            compact_heartbeats: vec![],
        });
        fleet.tell(90, n, gossip);
    }
    let (granted_window, spent) = request_slice(&mut fleet, 1);
    assert!(granted_window.is_none() && spent > 0, "{granted_window:?} {spent}: the window may be spent");
    fleet.run((held_since + 5_100 * MS).saturating_sub(fleet.now));
    let (granted_window, _) = request_slice(&mut fleet, 2);
    assert!(
        granted_window.is_some_and(|window| window > 1_000_000),
        "{granted_window:?}: a later window, with a number above all before it"
    );
}

/// The incarnations that happen to be known here prove no share of a rate to be free.
#[test]
fn a_takeover_by_timeout_registers_an_unknown_incarnation() {
    let mut fleet = fleet_after_second_loss();
    fleet.run(5 * SEC);
    for n in [C, D] {
        let has_unknown = fleet.kept(n).registered.keys().any(|(node_id, _)| *node_id == NodeId::default());
        assert!(has_unknown, "{n} takes the shares of incarnations that it does not know for free");
    }
}

#[test]
fn the_first_set_is_ready_without_a_takeover() {
    let mut fleet = Fleet::default();
    for n in [A, B] {
        // They were down when version 0 was decided, and a later one was replicated to them.
        fleet.start(n, kept(n, &[decree(3, 0, &[], &[A, B, C])], None));
    }
    let held = |fleet: &Fleet| are_all_roles_held(fleet, &[A, B]);
    assert!(fleet.run_until(3 * SEC, held).is_some(), "each waits for the other");
}

/// C became a voter with version 5 and was not ready yet when B was lost.
#[test]
fn a_voter_that_was_never_ready_counts_for_its_set() {
    let five = decree(5, 5, &[A, B, E], &[A, B, C]);
    let six = decree(6, 6, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.start(A, kept(A, &[decree(0, 0, &[], &[A, B, E]), five.clone(), six.clone()], Some(5)));
    fleet.start(C, kept(C, &[five, six.clone()], None));
    fleet.start(D, kept(D, &[six], None));
    let held = |fleet: &Fleet| are_all_roles_held(fleet, &[A, C, D]);
    let held_after = fleet.run_until(3 * SEC, held);
    assert!(held_after.is_some(), "A alone can't hand over, C may not: nothing is granted");
}

fn takeover_reply(voter_set: u64, grants: Vec<WindowGrant>) -> Message {
    Message::Membership(MembershipMessage::TakeoverReply { voter_set, is_complete: false, grants, registered: vec![] })
}

/// A voter that knows only an older set counts as one of the set before. That is safe: of any majority one
/// knows each grant of that set.
#[test]
fn a_voter_that_skipped_a_set_counts_and_no_grant_is_lost() {
    let six = decree(6, 6, &[A, B, C], &[A, C, D]);
    let grant = WindowGrant { tenant: "t".into(), window: 9, node_id: NodeId(90), granted_total: 7, age: 0 };
    let take_over_from = |voters: &[(u64, Vec<WindowGrant>)]| {
        let mut fleet = Fleet::default();
        fleet.start(D, kept(D, std::slice::from_ref(&six), None));
        fleet.run(100 * MS);
        for (n, grants) in voters {
            fleet.tell(*n, D, takeover_reply(6, grants.clone()));
        }
        let durable = fleet.kept(D).clone();
        (durable.ready_set, durable.grants.into_values().map(|g| g.granted_total).collect::<Vec<_>>())
    };
    // Only the newest version was replicated to C; A confirmed the grant together with B, which is lost.
    assert_eq!(take_over_from(&[(C, vec![])]), (None, vec![]), "one voter of three");
    assert_eq!(take_over_from(&[(C, vec![]), (E, vec![])]), (None, vec![]), "a node that was no voter does not count");
    assert_eq!(take_over_from(&[(C, vec![]), (A, vec![grant])]), (Some(6), vec![7]));
}

#[test]
fn a_voter_hands_over_only_once_the_new_set_is_on_its_disk() {
    let six = decree(6, 6, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.start(A, kept(A, &[decree(5, 5, &[], &[A, B, C])], Some(5)));
    fleet.run(100 * MS);
    fleet.stuck.insert(A);
    fleet.tell(C, A, Message::Consensus(ConsensusMessage::Replicate { entries: vec![six] }));
    fleet.sent.clear();
    fleet.tell(D, A, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 6 }));
    let replies = |fleet: &Fleet| {
        fleet
            .sent
            .iter()
            .filter(|s| matches!(s.1.message, Message::Membership(MembershipMessage::TakeoverReply { .. })))
            .count()
    };
    assert_eq!(replies(&fleet), 0, "after a loss of power it would act under the old set again");
    fleet.stuck.remove(&A);
    fleet.run(100 * MS);
    fleet.tell(D, A, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 6 }));
    assert!(replies(&fleet) > 0, "it hands over once the set is synced");
}

/// A and C decided on the new set, then A's disk stalls and A receives messages of B only.
#[test]
fn no_role_is_held_under_two_sets_at_once() {
    let zero = decree(0, 0, &[], &[A, B, C]);
    let one = decree(1, 1, &[A, B, C], &[A, C, D]);
    let mut held_before = BTreeMap::new();
    let mut fleet = Fleet::default();
    fleet.auto = false;
    for n in [A, B, C] {
        fleet.start(n, kept(n, std::slice::from_ref(&zero), Some(0)));
    }
    fleet.run(4 * SEC);
    // The others take over all roles of C while it is partitioned.
    fleet.part(&[A, B], &[C, D]);
    fleet.run(4 * SEC);
    for n in [A, B] {
        held_before.insert(n, held_roles(&fleet, n));
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
        let mut holders = BTreeMap::new();
        for n in [A, B, C, D] {
            for role in held_roles(&fleet, n) {
                if let Some(other) = holders.insert(role, n) {
                    panic!("{}: role {role} is held by {other} and by {n}", fleet.now);
                }
            }
        }
        later = held_roles(&fleet, C).len() + held_roles(&fleet, D).len();
    }
    assert_eq!(later, ROLE_COUNT as usize, "the new set grants all roles by itself");
}

/// C holds roles by the votes of B and its own, unknown to A. B stops and is replaced by D: A and D are a
/// majority of the new set, and neither knows of a lease of C.
#[test]
fn a_new_voter_grants_no_role_that_an_earlier_set_may_have_granted() {
    let zero = decree(0, 0, &[], &[A, B, C]);
    let one = decree(1, 1, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.auto = false;
    fleet.part(&[A], &[C]);
    for n in [A, B, C, D] {
        fleet.start(n, kept(n, std::slice::from_ref(&zero), Some(0)));
    }
    fleet.run(4 * SEC);
    let before = held_roles(&fleet, C);
    assert!(!before.is_empty(), "C holds nothing by the votes of B and C");
    // A and B decided on the new set, and the reply of B is enough for A and D to take over.
    fleet.part(&[A, B, D], &[C]);
    for n in [A, B, D] {
        fleet.tell(C, n, Message::Consensus(ConsensusMessage::Replicate { entries: vec![one.clone()] }));
    }
    for _ in 0..160 {
        let later: Vec<_> = [A, B, D].iter().flat_map(|n| held_roles(&fleet, *n)).collect();
        let held_twice: Vec<_> = held_roles(&fleet, C).into_iter().filter(|role| later.contains(role)).collect();
        assert!(held_twice.is_empty(), "{}: {held_twice:?} are held by C and under the next set", fleet.now);
        fleet.run(25 * MS);
    }
    let later: usize = [A, D].iter().map(|n| held_roles(&fleet, *n).len()).sum();
    assert_eq!(later, ROLE_COUNT as usize, "the new set grants all roles");
}

/// Where all voters but the lost one reply, the new voter's vote is not needed, so nothing waits for it.
#[test]
fn a_change_of_voters_leaves_no_role_vacant_where_the_remaining_voters_reply() {
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
    let all = |fleet: &Fleet| are_all_roles_held(fleet, &[A, C, D]);
    // The leases of B expire at most a second after its last renewal.
    let vacant_for = fleet.run_until(4 * SEC, all).expect("all roles are held again");
    assert!(vacant_for <= 600 * MS, "roles were vacant for {vacant_for} µs after the change");
}

/// A lost disk makes a new node at the old address, which can't vote a second time in the old one's place.
#[test]
fn a_voter_that_lost_its_disk_does_not_promise_as_its_former_node() {
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
fn a_machine_that_loses_its_disk_repeatedly_votes_again_each_time() {
    let mut fleet = Fleet::default();
    for n in [A, B, C] {
        fleet.start(n, kept(n, &[decree(0, 0, &[], &[A, B, C])], Some(0)));
    }
    fleet.run(4 * SEC);
    for (i, new) in [71, 72, 73].into_iter().enumerate() {
        fleet.stop(A);
        fleet.run(500 * MS);
        fleet.start_at(new, A, kept(new, &[], None));
        let votes = |fleet: &Fleet| fleet.node(B).consensus.state.is_voter(NodeId(new)) && fleet.node(A).voter();
        let votes_after = fleet.run_until(4 * SEC, votes);
        assert!(votes_after.is_some(), "loss {i}: the voters are {:?}", voter_ids(&fleet, B));
        assert_eq!(voter_ids(&fleet, B).len(), 3);
        fleet.run(4 * SEC);
    }
}

#[test]
fn an_accepted_change_of_voters_stops_new_leases_until_its_outcome_is_known() {
    let zero = decree(0, 0, &[], &[A, B, C]);
    let one = decree(1, 1, &[A, B, C], &[A, C, D]);
    let is_granted = |fleet: &mut Fleet, epoch| {
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
    assert!(is_granted(&mut fleet, 40), "it grants a lease before");
    let mut same_voters = one.clone();
    (same_voters.voters_since, same_voters.voters, same_voters.previous_voters) =
        (0, vec![core(A), core(B), core(C)], vec![]);
    let ballot = |n| Ballot { number: n, node_id: NodeId(C), incarnation: 1 };
    fleet.tell(C, A, Message::Consensus(ConsensusMessage::Accept { ballot: ballot(9_000), entry: same_voters }));
    fleet.run(2 * SEC);
    assert!(is_granted(&mut fleet, 50), "other changes stop no leases");
    fleet.tell(C, A, Message::Consensus(ConsensusMessage::Accept { ballot: ballot(9_000_000), entry: one }));
    fleet.run(2 * SEC);
    assert!(!is_granted(&mut fleet, 60), "the set may have changed");
    fleet.restart(A);
    fleet.run(3 * SEC);
    assert!(!is_granted(&mut fleet, 70), "also after a start");
}

/// The age of a window that a voter hands over counts from when it was sent, also where the replies of
/// others are awaited meanwhile.
#[test]
fn the_age_of_a_window_includes_its_transit_to_a_new_voter() {
    let six = decree(6, 6, &[A, B, C], &[A, C, D]);
    let grants = |granted_total, age| {
        vec![WindowGrant { tenant: "t".into(), window: 9, node_id: NodeId(90), granted_total, age }]
    };
    // The other voter knows of the window too, or does not.
    for second_reply in [grants(7, 100 * MS), vec![]] {
        let mut fleet = Fleet::default();
        fleet.start(D, kept(D, std::slice::from_ref(&six), None));
        fleet.run(100 * MS);
        for n in [A, C] {
            fleet.tell(n, D, Message::Consensus(ConsensusMessage::Synced { version: 6 }));
        }
        fleet.tell_late(A, D, takeover_reply(6, grants(3, 400 * MS)), 200 * MS);
        fleet.run(300 * MS);
        fleet.tell(C, D, takeover_reply(6, second_reply));
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
        assert_eq!(ages, [950 * MS], "400 ms as sent, 200 in transit, 300 and 50 since");
    }
}

/// A lease that a core has requested.
struct Requested {
    fleet: Fleet,
    role: u32,
    epoch: u64,
    request_id: u64,
}

/// A core that requests the role of a tenant with a window of 1 s, in contact with a majority by the replies
/// of B.
fn request_role_of_a_window() -> Requested {
    let mut zero = decree(0, 0, &[], &[A, B, C]);
    zero.body = r#"{"defaults":{"quota":{"calls":50,"window_ms":1000}},"pools":{"llm":{}},
        "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
        "tenants":{"home":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#
        .into();
    let role = quota_role("home");
    let mut fleet = Fleet::default();
    fleet.auto = false;
    fleet.start(A, kept(A, &[zero], Some(0)));
    let requested = |fleet: &Fleet| {
        fleet.sent.iter().rev().find_map(|s| match s.1.message {
            Message::Lease(LeaseMessage::Request {
                role: requested, epoch, request_id, is_new_epoch: true, ..
            }) if requested == role => Some((epoch, request_id)),
            _ => None,
        })
    };
    fleet.tell(B, A, Message::Consensus(ConsensusMessage::Synced { version: 0 }));
    for _ in 0..120 {
        // B replies to each probe, so that A is in contact with a majority.
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
        if requested(&fleet).is_some() {
            break;
        }
    }
    let (epoch, request_id) = requested(&fleet).expect("it requests the role");
    Requested { fleet, role, epoch, request_id }
}

/// The windows of which the holder grants a slice that is requested now.
fn granted_windows(fleet: &mut Fleet) -> Vec<u64> {
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
fn the_age_of_a_window_includes_its_transit_to_a_new_holder() {
    let Requested { mut fleet, role, epoch, request_id } = request_role_of_a_window();
    let grants =
        vec![WindowGrant { tenant: "home".into(), window: 9, node_id: NodeId(90), granted_total: 50, age: 900 * MS }];
    let vote = Message::Lease(LeaseMessage::Granted {
        role,
        epoch,
        request_id,
        grants,
        has_no_predecessor: false,
        registered: vec![],
    });
    fleet.tell_late(B, A, vote, 200 * MS);
    assert_eq!(held_roles(&fleet, A), [role]);
    let windows = granted_windows(&mut fleet);
    assert!(
        !windows.is_empty() && windows.iter().all(|window| *window == 10),
        "{windows:?}: the window of 1 s has ended, 900 ms old as sent and 200 ms in transit"
    );
}

/// A holder that is the only one of its majority to know of a window votes for itself once the vote is on
/// its disk: the window went on meanwhile.
#[test]
fn the_age_of_a_window_includes_the_wait_for_the_new_holders_disk() {
    let Requested { mut fleet, role, epoch, request_id } = request_role_of_a_window();
    let grants =
        vec![WindowGrant { tenant: "home".into(), window: 9, node_id: NodeId(90), granted_total: 50, age: 850 * MS }];
    fleet.tell(
        B,
        A,
        Message::Quota(QuotaMessage::ReplicateGrants { voter_set: 0, role, epoch: epoch - 1, request_id: 1, grants }),
    );
    fleet.stuck.insert(A);
    fleet.tell(
        B,
        A,
        Message::Lease(LeaseMessage::Granted {
            role,
            epoch,
            request_id,
            grants: vec![],
            has_no_predecessor: false,
            registered: vec![],
        }),
    );
    fleet.run(200 * MS);
    assert!(held_roles(&fleet, A).is_empty(), "its own vote is not on its disk");
    fleet.stuck.clear();
    fleet.run(25 * MS);
    assert_eq!(held_roles(&fleet, A), [role]);
    let windows = granted_windows(&mut fleet);
    assert!(
        !windows.is_empty() && windows.iter().all(|window| *window == 10),
        "{windows:?}: the window of 1 s has ended, 850 ms old as sent and 200 ms until its own vote was on disk"
    );
}
