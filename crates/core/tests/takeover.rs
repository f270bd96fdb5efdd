//! Takeover of an earlier voter set's grants, also after several losses in quick succession.

mod fleet;

use fleet::{Fleet, address, core, durable_state, log_entry};
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

fn voter_ids(fleet: &Fleet, machine: u64) -> Vec<u64> {
    fleet.node(machine).consensus.state.voters().iter().map(|voter| voter.node_id.0).collect()
}

fn held_roles(fleet: &Fleet, machine: u64) -> Vec<u32> {
    (0..ROLE_COUNT).filter(|role| fleet.node(machine).leases.held.valid_epoch(*role, fleet.now).is_some()).collect()
}

/// Returns whether these nodes together hold the leases of all roles.
fn are_all_roles_held(fleet: &Fleet, nodes: &[u64]) -> bool {
    nodes.iter().map(|machine| held_roles(fleet, *machine).len()).sum::<usize>() == ROLE_COUNT as usize
}

/// Returns a fleet in which B was lost and replaced by D, and A was lost before any voter took over the
/// grants of A and B.
fn fleet_after_second_loss() -> Fleet {
    let first = log_entry(0, 0, &[], &[A, B, C]);
    let second = log_entry(1, 1, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    let mut durable = durable_state(C, &[first, second.clone()], Some(0));
    durable.epochs = (0..ROLE_COUNT).map(|role| (role, 3)).collect();
    fleet.start(C, durable);
    fleet.start(D, durable_state(D, &[second], None));
    fleet
}

/// A second voter is lost before the first loss was taken over, so no majority of the previous set can reply.
/// The remaining voters must become ready by time-out, and replace the second voter too.
#[test]
fn a_fleet_recovers_from_a_second_loss_before_the_takeover() {
    let mut fleet = fleet_after_second_loss();
    fleet.start(E, durable_state(E, &[], None));
    let has_replaced_a = |fleet: &Fleet| {
        let voters = voter_ids(fleet, C);
        voters.contains(&E) && [C, D, E].iter().all(|machine| voter_ids(fleet, *machine) == voters)
    };
    let replaced = fleet.run_until(10 * SEC, has_replaced_a);
    assert!(replaced.is_some(), "A is not replaced: the voters are still {:?}", voter_ids(&fleet, C));
    let granted = |fleet: &Fleet| are_all_roles_held(fleet, &[C, D, E]);
    let held = fleet.run_until(20 * SEC, granted);
    assert!(held.is_some(), "some roles have no holder 20 s later");
    println!("replaced after {replaced:?} µs, all roles held {held:?} µs later");
}

/// Lost voters may have granted epochs that the remaining ones do not know. A new lease with a lower epoch
/// would be fenced off by nodes that know a higher one.
#[test]
fn a_later_set_uses_higher_epochs_than_unknown_earlier_ones() {
    let mut fleet = fleet_after_second_loss();
    let all = |fleet: &Fleet| are_all_roles_held(fleet, &[C, D]);
    assert!(fleet.run_until(20 * SEC, all).is_some(), "some roles have no holder");
    // A and B may have granted any number of epochs that C does not know.
    for machine in [C, D] {
        for role in held_roles(&fleet, machine) {
            let epoch = fleet.node(machine).leases.held.by_role[&role].epoch;
            assert!(
                epoch > 1_000_000,
                "role {role} is held with epoch {epoch}: nodes that know of a higher one reject it"
            );
        }
    }
}

/// The grants of the lost voters are unknown. A new holder that counted only the known grants would exceed
/// the tenant's quota, so the whole window must count as granted.
#[test]
fn one_window_counts_as_spent_after_a_takeover_by_timeout() {
    let body = r#"{"defaults":{"quota":{"calls":50,"window_ms":5000}},"pools":{"llm":{}},
        "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
        "tenants":{"home":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#;
    let mut second = log_entry(1, 1, &[A, B, C], &[A, C, D]);
    second.body = body.into();
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    fleet.start(C, durable_state(C, std::slice::from_ref(&second), Some(0)));
    fleet.start(D, durable_state(D, &[second], None));
    let home = quota_role("home");
    let holder = |fleet: &Fleet| [C, D].into_iter().find(|machine| held_roles(fleet, *machine).contains(&home));
    assert!(fleet.run_until(10 * SEC, |fleet| holder(fleet).is_some()).is_some(), "the role has no holder");
    let held_since = fleet.now;
    let request_slice = |fleet: &mut Fleet, request_id| {
        let to = holder(fleet).expect("a holder");
        fleet.sent.clear();
        fleet.deliver_message(
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
    // The requester must be a known peer, otherwise nothing can be sent to it.
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
    for machine in [C, D] {
        let records = vec![front.clone()];
        let gossip = Message::Dissemination(DisseminationMessage::Gossip {
            heartbeats: vec![],
            records,
            unknown_nodes: vec![],
            wants_reply: false,
            incarnation_set: 0,
            compact_heartbeats: vec![],
        });
        fleet.deliver_message(90, machine, gossip);
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

/// The lost voters may have registered more incarnations than the remaining ones know. If only the known ones
/// were checked, shares of rates that are still in use would count as free.
#[test]
fn a_takeover_by_timeout_registers_an_unknown_incarnation() {
    let mut fleet = fleet_after_second_loss();
    fleet.run(5 * SEC);
    for machine in [C, D] {
        let has_unknown =
            fleet.synced_state(machine).registered.keys().any(|(node_id, _)| *node_id == NodeId::default());
        assert!(has_unknown, "{machine} takes the shares of incarnations that it does not know for free");
    }
}

/// The first set of a fleet has no predecessor. If its voters waited for replies of a majority, two of them
/// that start without any ready voter would wait for each other.
#[test]
fn the_first_set_is_ready_without_a_takeover() {
    let mut fleet = Fleet::default();
    for machine in [A, B] {
        // Both were down when version 0 was decided; a later version was replicated to them.
        fleet.start(machine, durable_state(machine, &[log_entry(3, 0, &[], &[A, B, C])], None));
    }
    let held = |fleet: &Fleet| are_all_roles_held(fleet, &[A, B]);
    assert!(fleet.run_until(3 * SEC, held).is_some(), "each waits for the other");
}

/// C became a voter with version 5 and was not ready yet when B was lost. If C did not count for its set, the
/// next takeover would
/// have no majority of the previous set.
#[test]
fn a_voter_that_was_never_ready_counts_for_its_set() {
    let five = log_entry(5, 5, &[A, B, E], &[A, B, C]);
    let six = log_entry(6, 6, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.start(A, durable_state(A, &[log_entry(0, 0, &[], &[A, B, E]), five.clone(), six.clone()], Some(5)));
    fleet.start(C, durable_state(C, &[five, six.clone()], None));
    fleet.start(D, durable_state(D, &[six], None));
    let held = |fleet: &Fleet| are_all_roles_held(fleet, &[A, C, D]);
    let held_after = fleet.run_until(3 * SEC, held);
    assert!(held_after.is_some(), "A alone can't hand over, C may not: nothing is granted");
}

fn takeover_reply(voter_set: u64, grants: Vec<WindowGrant>) -> Message {
    Message::Membership(MembershipMessage::TakeoverReply { voter_set, is_complete: false, grants, registered: vec![] })
}

/// A voter that knows only an older set counts as one of the previous set. No grant is lost by this: of any
/// majority of the previous set, one voter knows each grant.
#[test]
fn a_voter_that_skipped_a_set_counts_and_no_grant_is_lost() {
    let six = log_entry(6, 6, &[A, B, C], &[A, C, D]);
    let grant = WindowGrant { tenant: "t".into(), window: 9, node_id: NodeId(90), granted_total: 7, age: 0 };
    let take_over_from = |voters: &[(u64, Vec<WindowGrant>)]| {
        let mut fleet = Fleet::default();
        fleet.start(D, durable_state(D, std::slice::from_ref(&six), None));
        fleet.run(100 * MS);
        for (machine, grants) in voters {
            fleet.deliver_message(*machine, D, takeover_reply(6, grants.clone()));
        }
        let durable = fleet.synced_state(D).clone();
        (durable.ready_set, durable.grants.into_values().map(|grant| grant.granted_total).collect::<Vec<_>>())
    };
    // Only the newest version was replicated to C. A confirmed the grant together with B, which is lost.
    assert_eq!(take_over_from(&[(C, vec![])]), (None, vec![]), "one voter of three");
    assert_eq!(take_over_from(&[(C, vec![]), (E, vec![])]), (None, vec![]), "a node that was no voter does not count");
    assert_eq!(take_over_from(&[(C, vec![]), (A, vec![grant])]), (Some(6), vec![7]));
}

/// A voter that hands over before the new set is synced could lose power and act under the old set again,
/// with grants that the new set does not know.
#[test]
fn a_voter_hands_over_only_once_the_new_set_is_on_its_disk() {
    let six = log_entry(6, 6, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.start(A, durable_state(A, &[log_entry(5, 5, &[], &[A, B, C])], Some(5)));
    fleet.run(100 * MS);
    fleet.stalled_disks.insert(A);
    fleet.deliver_message(C, A, Message::Consensus(ConsensusMessage::Replicate { entries: vec![six] }));
    fleet.sent.clear();
    fleet.deliver_message(D, A, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 6 }));
    let replies = |fleet: &Fleet| {
        fleet
            .sent
            .iter()
            .filter(|sent| matches!(sent.1.message, Message::Membership(MembershipMessage::TakeoverReply { .. })))
            .count()
    };
    assert_eq!(replies(&fleet), 0, "after a loss of power it would act under the old set again");
    fleet.stalled_disks.remove(&A);
    fleet.run(100 * MS);
    fleet.deliver_message(D, A, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 6 }));
    assert!(replies(&fleet) > 0, "it hands over once the set is synced");
}

/// A and C decide on a new set, then A's disk stalls and A receives messages of B only. Without fencing, A
/// and B would go on under the old set while C and D grant the same roles under the new one.
#[test]
fn no_role_is_held_under_two_sets_at_once() {
    let zero = log_entry(0, 0, &[], &[A, B, C]);
    let one = log_entry(1, 1, &[A, B, C], &[A, C, D]);
    let mut held_before = BTreeMap::new();
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    for machine in [A, B, C] {
        fleet.start(machine, durable_state(machine, std::slice::from_ref(&zero), Some(0)));
    }
    fleet.run(4 * SEC);
    // A and B take over all roles of C while C is partitioned.
    fleet.partition(&[A, B], &[C, D]);
    fleet.run(4 * SEC);
    for machine in [A, B] {
        held_before.insert(machine, held_roles(&fleet, machine));
    }
    assert_eq!(held_before.values().map(Vec::len).sum::<usize>(), ROLE_COUNT as usize, "{held_before:?}");
    let ballot = Ballot { number: 99, node_id: NodeId(C), incarnation: 1 };
    fleet.deliver_message(C, A, Message::Consensus(ConsensusMessage::Accept { ballot, entry: one.clone() }));
    fleet.stalled_disks.insert(A);
    fleet.start(D, durable_state(D, &[], None));
    fleet.deliver_message(A, C, Message::Consensus(ConsensusMessage::Replicate { entries: vec![one.clone()] }));
    fleet.deliver_message(C, D, Message::Consensus(ConsensusMessage::Replicate { entries: vec![one] }));
    let mut later = 0;
    for _ in 0..800 {
        fleet.run(25 * MS);
        let mut holders = BTreeMap::new();
        for machine in [A, B, C, D] {
            for role in held_roles(&fleet, machine) {
                if let Some(other) = holders.insert(role, machine) {
                    panic!("{}: role {role} is held by {other} and by {machine}", fleet.now);
                }
            }
        }
        later = held_roles(&fleet, C).len() + held_roles(&fleet, D).len();
    }
    assert_eq!(later, ROLE_COUNT as usize, "the new set grants all roles by itself");
}

/// C holds roles by the votes of B and C, unknown to A. B stops and is replaced by D: A and D are a majority
/// of the new set, and neither knows a lease of C.
#[test]
fn a_new_voter_grants_no_role_that_an_earlier_set_may_have_granted() {
    let zero = log_entry(0, 0, &[], &[A, B, C]);
    let one = log_entry(1, 1, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    fleet.partition(&[A], &[C]);
    for machine in [A, B, C, D] {
        fleet.start(machine, durable_state(machine, std::slice::from_ref(&zero), Some(0)));
    }
    fleet.run(4 * SEC);
    let before = held_roles(&fleet, C);
    assert!(!before.is_empty(), "C holds nothing by the votes of B and C");
    // A and B decided on the new set, and the reply of B is enough for A and D to take over.
    fleet.partition(&[A, B, D], &[C]);
    for machine in [A, B, D] {
        fleet.deliver_message(
            C,
            machine,
            Message::Consensus(ConsensusMessage::Replicate { entries: vec![one.clone()] }),
        );
    }
    for _ in 0..160 {
        let later: Vec<_> = [A, B, D].iter().flat_map(|machine| held_roles(&fleet, *machine)).collect();
        let held_twice: Vec<_> = held_roles(&fleet, C).into_iter().filter(|role| later.contains(role)).collect();
        assert!(held_twice.is_empty(), "{}: {held_twice:?} are held by C and under the next set", fleet.now);
        fleet.run(25 * MS);
    }
    let later: usize = [A, D].iter().map(|machine| held_roles(&fleet, *machine).len()).sum();
    assert_eq!(later, ROLE_COUNT as usize, "the new set grants all roles");
}

/// If all voters except the lost one reply, the vote of the new voter is not needed, so no role waits for the
/// time when that voter may vote.
#[test]
fn a_change_of_voters_leaves_no_role_vacant_where_the_remaining_voters_reply() {
    let zero = log_entry(0, 0, &[], &[A, B, C]);
    let one = log_entry(1, 1, &[A, B, C], &[A, C, D]);
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    for machine in [A, B, C, D] {
        fleet.start(machine, durable_state(machine, std::slice::from_ref(&zero), Some(0)));
    }
    fleet.run(4 * SEC);
    fleet.stop(B);
    fleet.run(750 * MS);
    for machine in [A, C, D] {
        fleet.deliver_message(
            B,
            machine,
            Message::Consensus(ConsensusMessage::Replicate { entries: vec![one.clone()] }),
        );
    }
    let all = |fleet: &Fleet| are_all_roles_held(fleet, &[A, C, D]);
    // The leases of B expire at most one second after their last renewal.
    let vacant_for = fleet.run_until(4 * SEC, all).expect("all roles are held again");
    assert!(vacant_for <= 600 * MS, "roles were vacant for {vacant_for} µs after the change");
}

/// A core that lost its disk starts as a new node at the old address. A promise of that node must not count
/// as a second vote in place of the old one.
#[test]
fn a_voter_that_lost_its_disk_does_not_promise_as_its_former_node() {
    let zero = log_entry(0, 0, &[], &[A, B, C]);
    let mut fleet = Fleet::default();
    fleet.start_at(77, A, durable_state(77, &[], None));
    fleet.deliver_message(B, A, Message::Consensus(ConsensusMessage::Replicate { entries: vec![zero] }));
    fleet.sent.clear();
    let ballot = Ballot { number: 5, node_id: NodeId(B), incarnation: 1 };
    fleet.deliver_message(B, A, Message::Consensus(ConsensusMessage::Prepare { instance: 1, ballot }));
    assert!(
        !fleet.sent.iter().any(|sent| matches!(sent.1.message, Message::Consensus(ConsensusMessage::Promise { .. }))),
        "{:?}",
        fleet.sent
    );
    assert!(fleet.node(A).consensus.state.promised_ballot == Ballot::default());
    assert!(!fleet.node(A).is_voter());
}

/// Each loss of the disk starts a new node at the same address. Its predecessors must not keep it from
/// becoming a voter.
#[test]
fn a_machine_that_loses_its_disk_repeatedly_votes_again_each_time() {
    let mut fleet = Fleet::default();
    for machine in [A, B, C] {
        fleet.start(machine, durable_state(machine, &[log_entry(0, 0, &[], &[A, B, C])], Some(0)));
    }
    fleet.run(4 * SEC);
    for (loss, new) in [71, 72, 73].into_iter().enumerate() {
        fleet.stop(A);
        fleet.run(500 * MS);
        fleet.start_at(new, A, durable_state(new, &[], None));
        let votes = |fleet: &Fleet| fleet.node(B).consensus.state.is_voter(NodeId(new)) && fleet.node(A).is_voter();
        let votes_after = fleet.run_until(4 * SEC, votes);
        assert!(votes_after.is_some(), "loss {loss}: the voters are {:?}", voter_ids(&fleet, B));
        assert_eq!(voter_ids(&fleet, B).len(), 3);
        fleet.run(4 * SEC);
    }
}

/// A voter that accepted a change of the set must not grant a lease that the next set, which may be in force
/// already, does not know. This holds across a restart.
#[test]
fn an_accepted_change_of_voters_stops_new_leases_until_its_outcome_is_known() {
    let zero = log_entry(0, 0, &[], &[A, B, C]);
    let one = log_entry(1, 1, &[A, B, C], &[A, C, D]);
    let is_granted = |fleet: &mut Fleet, epoch| {
        fleet.sent.clear();
        fleet.deliver_message(
            B,
            A,
            Message::Lease(LeaseMessage::Request { voter_set: 0, role: 0, epoch, request_id: 1, is_new_epoch: true }),
        );
        fleet.sent.iter().any(|sent| matches!(sent.1.message, Message::Lease(LeaseMessage::Granted { .. })))
    };
    let mut fleet = Fleet::default();
    fleet.start(A, durable_state(A, &[zero], Some(0)));
    fleet.run(3 * SEC);
    assert!(is_granted(&mut fleet, 40), "it grants a lease before");
    let mut same_voters = one.clone();
    (same_voters.voters_since, same_voters.voters, same_voters.previous_voters) =
        (0, vec![core(A), core(B), core(C)], vec![]);
    let ballot = |number| Ballot { number, node_id: NodeId(C), incarnation: 1 };
    fleet.deliver_message(
        C,
        A,
        Message::Consensus(ConsensusMessage::Accept { ballot: ballot(9_000), entry: same_voters }),
    );
    fleet.run(2 * SEC);
    assert!(is_granted(&mut fleet, 50), "other changes stop no leases");
    fleet.deliver_message(C, A, Message::Consensus(ConsensusMessage::Accept { ballot: ballot(9_000_000), entry: one }));
    fleet.run(2 * SEC);
    assert!(!is_granted(&mut fleet, 60), "the set may have changed");
    fleet.restart(A);
    fleet.run(3 * SEC);
    assert!(!is_granted(&mut fleet, 70), "also after a start");
}

/// The age of a window that a voter hands over must include the transit time and the wait for the replies of
/// other voters. Otherwise the new voter would take the window for younger than it is.
#[test]
fn the_age_of_a_window_includes_its_transit_to_a_new_voter() {
    let six = log_entry(6, 6, &[A, B, C], &[A, C, D]);
    let grants = |granted_total, age| {
        vec![WindowGrant { tenant: "t".into(), window: 9, node_id: NodeId(90), granted_total, age }]
    };
    // The second voter knows the window too, or does not.
    for second_reply in [grants(7, 100 * MS), vec![]] {
        let mut fleet = Fleet::default();
        fleet.start(D, durable_state(D, std::slice::from_ref(&six), None));
        fleet.run(100 * MS);
        for machine in [A, C] {
            fleet.deliver_message(machine, D, Message::Consensus(ConsensusMessage::Synced { version: 6 }));
        }
        fleet.deliver_message_late(A, D, takeover_reply(6, grants(3, 400 * MS)), 200 * MS);
        fleet.run(300 * MS);
        fleet.deliver_message(C, D, takeover_reply(6, second_reply));
        fleet.run(50 * MS);
        fleet.sent.clear();
        fleet.deliver_message(A, D, Message::Membership(MembershipMessage::TakeoverRequest { voter_set: 6 }));
        let ages: Vec<_> = fleet
            .sent
            .iter()
            .filter_map(|sent| {
                if let Message::Membership(MembershipMessage::TakeoverReply { grants, .. }) = &sent.1.message {
                    Some(grants[0].age)
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(ages, [950 * MS], "400 ms as sent, 200 in transit, 300 and 50 since");
    }
}

/// A fleet with a core that has requested a lease.
struct Requested {
    fleet: Fleet,
    role: u32,
    epoch: u64,
    request_id: u64,
}

/// Returns a core that requests the role of a tenant with a window of 1 s and is in contact with a majority
/// by the replies of B.
fn request_role_of_a_window() -> Requested {
    let mut zero = log_entry(0, 0, &[], &[A, B, C]);
    zero.body = r#"{"defaults":{"quota":{"calls":50,"window_ms":1000}},"pools":{"llm":{}},
        "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
        "tenants":{"home":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#
        .into();
    let role = quota_role("home");
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    fleet.start(A, durable_state(A, &[zero], Some(0)));
    let requested = |fleet: &Fleet| {
        fleet.sent.iter().rev().find_map(|sent| match sent.1.message {
            Message::Lease(LeaseMessage::Request {
                role: requested, epoch, request_id, is_new_epoch: true, ..
            }) if requested == role => Some((epoch, request_id)),
            _ => None,
        })
    };
    fleet.deliver_message(B, A, Message::Consensus(ConsensusMessage::Synced { version: 0 }));
    for _ in 0..120 {
        // B replies to each probe, so that A is in contact with a majority.
        fleet.run(25 * MS);
        let seq = fleet.sent.iter().rev().find_map(|sent| {
            if let Message::Consensus(ConsensusMessage::FreshnessProbe { seq, .. }) = sent.1.message {
                Some(seq)
            } else {
                None
            }
        });
        if let Some(seq) = seq {
            fleet.deliver_message(
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

/// Requests a slice and returns the windows of which the holder grants one.
fn granted_windows(fleet: &mut Fleet) -> Vec<u64> {
    fleet.sent.clear();
    fleet.deliver_message(
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
    let grants = fleet.sent.iter().filter_map(|sent| {
        if let Message::Quota(QuotaMessage::ReplicateGrants { grants, .. }) = &sent.1.message {
            Some(grants[0].window)
        } else {
            None
        }
    });
    grants.collect()
}

/// A new holder that ignored the transit time of a grant would take the window for younger than it is, and go
/// on with a window that has ended.
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
    fleet.deliver_message_late(B, A, vote, 200 * MS);
    assert_eq!(held_roles(&fleet, A), [role]);
    let windows = granted_windows(&mut fleet);
    assert!(
        !windows.is_empty() && windows.iter().all(|window| *window == 10),
        "{windows:?}: the window of 1 s has ended, 900 ms old as sent and 200 ms in transit"
    );
}

/// A new holder is the only one of its majority to know a window, and votes for itself once its vote is on
/// its disk. The age of the window must include that wait.
#[test]
fn the_age_of_a_window_includes_the_wait_for_the_new_holders_disk() {
    let Requested { mut fleet, role, epoch, request_id } = request_role_of_a_window();
    let grants =
        vec![WindowGrant { tenant: "home".into(), window: 9, node_id: NodeId(90), granted_total: 50, age: 850 * MS }];
    fleet.deliver_message(
        B,
        A,
        Message::Quota(QuotaMessage::ReplicateGrants { voter_set: 0, role, epoch: epoch - 1, request_id: 1, grants }),
    );
    fleet.stalled_disks.insert(A);
    fleet.deliver_message(
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
    fleet.stalled_disks.clear();
    fleet.run(25 * MS);
    assert_eq!(held_roles(&fleet, A), [role]);
    let windows = granted_windows(&mut fleet);
    assert!(
        !windows.is_empty() && windows.iter().all(|window| *window == 10),
        "{windows:?}: the window of 1 s has ended, 850 ms old as sent and 200 ms until its own vote was on disk"
    );
}
