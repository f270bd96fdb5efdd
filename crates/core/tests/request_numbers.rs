//! The numbers by which replies find their requests, over restarts of the requester: a core keeps its identifier, so a
//! late reply to its earlier process reaches the new one.

mod fleet;

use fleet::{Fleet, durable_state, log_entry};
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{ChangeId, MS, NodeId, SEC};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{
    Change, ConsensusMessage, DisseminationMessage, LeaseMessage, MembershipMessage, Message, QuotaMessage,
};
use sumacvale_core::quota::AcquireOutcome;

/// The quota of the tenant with long windows, in calls.
const QUOTA: u64 = 50;
/// The core without a vote; the voters are the machines 1 to 3.
const WITHOUT_VOTE: u64 = 4;
/// A document with tenants whose quotas count in short and in long windows, and one that has a rate.
const DOCUMENT: &str = "{\"tenants\":{\"windows\":{\"keys\":[],\"quota\":{\"calls\":50,\"window_ms\":400}},\
                        \"long\":{\"keys\":[],\"quota\":{\"calls\":50,\"window_ms\":600000}},\
                        \"rate\":{\"keys\":[],\"quota\":{\"rate\":100,\"burst\":100}}}}";

/// Returns the kind and the number of a request whose reply repeats the number.
fn request_number(message: &Message) -> Option<(&'static str, u64)> {
    let number = match message {
        Message::Consensus(ConsensusMessage::Forward { request_id, .. }) => *request_id,
        Message::Consensus(ConsensusMessage::FreshnessProbe { seq, .. }) => *seq,
        Message::Lease(LeaseMessage::Request { request_id, .. }) => *request_id,
        Message::Lease(LeaseMessage::HeldLeasesQuery { query_id }) => *query_id,
        Message::Membership(MembershipMessage::Register { request_id, .. }) => *request_id,
        Message::Quota(QuotaMessage::SliceRequest { request_id, .. }) => *request_id,
        Message::Quota(QuotaMessage::ReplicateGrants { request_id, .. }) => *request_id,
        Message::Quota(QuotaMessage::ShareRequests { request_id, .. }) => *request_id,
        Message::Quota(QuotaMessage::LoanRequests { request_id, .. }) => *request_id,
        Message::Dissemination(DisseminationMessage::Subscribe { seq, .. }) => *seq,
        Message::Dissemination(DisseminationMessage::ClockRequest { request_id }) => *request_id,
        _ => return None,
    };
    Some((message.name(), number))
}

/// The numbers of all requests, by machine, process and kind.
type Numbers = BTreeMap<(u64, u64, &'static str), BTreeSet<u64>>;

fn numbers(fleet: &Fleet) -> Numbers {
    let mut numbers = Numbers::new();
    for (machine, frame) in &fleet.sent {
        if let Some((kind, number)) = request_number(&frame.message) {
            numbers.entry((*machine, frame.incarnation, kind)).or_default().insert(number);
        }
    }
    numbers
}

/// Lets every process have reasons for requests of all kinds. As in a process, the requests of callers are numbered
/// from 1.
fn use_all(fleet: &mut Fleet) {
    for round in 1..40 {
        for machine in 1..=WITHOUT_VOTE {
            let mut events: Vec<_> = ["windows", "rate"]
                .map(|tenant| Event::QuotaNeeded { tenant: tenant.into(), waiting: 60 })
                .into_iter()
                .collect();
            if machine == WITHOUT_VOTE {
                let read = Change::ReadNewest;
                let (request_id, change_id) = (round, ChangeId(0));
                events.push(Event::SubmitChange { request_id, change_id, is_first_send: false, base: 0, change: read });
            }
            for event in events {
                let effects = fleet.step(machine, event);
                fleet.apply_effects(machine, effects);
            }
        }
        fleet.run(50 * MS);
    }
}

fn start_fleet() -> Fleet {
    let mut entry = log_entry(1, 0, &[], &[1, 2, 3]);
    entry.body = DOCUMENT.into();
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    for machine in 1..=3 {
        fleet.start(machine, durable_state(machine, std::slice::from_ref(&entry), Some(0)));
    }
    fleet.start(WITHOUT_VOTE, DurableState { node_id: NodeId(WITHOUT_VOTE), ..DurableState::default() });
    fleet.run(12 * SEC);
    fleet
}

/// Guards against requests that a process numbers as the process before it did, so that a late reply to that one is taken
/// for the reply to another request.
#[test]
fn no_process_numbers_its_requests_as_the_process_before_it() {
    let mut fleet = start_fleet();
    use_all(&mut fleet);
    for machine in 1..=WITHOUT_VOTE {
        fleet.restart(machine);
        fleet.run(4 * SEC);
        use_all(&mut fleet);
    }
    let numbers = numbers(&fleet);
    let kinds: BTreeSet<_> = numbers.keys().map(|(_, _, kind)| *kind).collect();
    let mut compared = BTreeSet::new();
    for ((machine, process, kind), earlier) in &numbers {
        let Some(later) = numbers.get(&(*machine, process + 1, kind)) else { continue };
        compared.insert(*kind);
        let both: Vec<_> = earlier.intersection(later).collect();
        assert!(both.is_empty(), "machine {machine} numbers {kind} anew after its restart: {both:?}");
    }
    assert_eq!(compared, kinds, "each kind is sent before and after a restart");
    for kind in
        ["Forward", "FreshnessProbe", "LeaseRequest", "Register", "SliceRequest", "ReplicateGrants", "ShareRequests"]
    {
        assert!(compared.contains(kind), "{kind} is not sent at all: {compared:?}");
    }
}

/// Takes units of the tenant with long windows at a core, as its callers would. Returns how many it got.
fn take_units(fleet: &mut Fleet, machine: u64, wanted: u64) -> u64 {
    let mut taken = 0;
    for _ in 0..80 {
        if taken == wanted {
            break;
        }
        let effects = fleet.step(machine, Event::QuotaNeeded { tenant: "long".into(), waiting: 1 });
        fleet.apply_effects(machine, effects);
        fleet.run(25 * MS);
        let now = fleet.now;
        while taken < wanted
            && matches!(fleet.node(machine).quota.slices.acquire_unit("long", now), AcquireOutcome::Acquired { .. })
        {
            taken += 1;
        }
    }
    taken
}

/// Guards against units that the process before the restart has used and the new one is granted again: the total that the
/// lease holder grants counts both processes.
#[test]
fn a_restarted_core_gets_no_unit_that_its_earlier_process_used() {
    for restarted in 1..=WITHOUT_VOTE {
        let mut fleet = start_fleet();
        let before = take_units(&mut fleet, restarted, 20);
        assert_eq!(before, 20, "machine {restarted}");
        fleet.stop(restarted);
        fleet.restart(restarted);
        fleet.run(3 * SEC);
        let after = take_units(&mut fleet, restarted, QUOTA);
        let others = (1..=WITHOUT_VOTE).filter(|machine| *machine != restarted);
        let others: u64 =
            others.collect::<Vec<_>>().iter().map(|machine| take_units(&mut fleet, *machine, QUOTA)).sum();
        let total = before + after + others;
        assert!(total <= QUOTA, "machine {restarted}: {before}, then {after}, others {others}");
        assert!(total >= QUOTA * 4 / 5, "machine {restarted}: only {before}, then {after}, others {others}");
    }
}
