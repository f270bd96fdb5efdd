//! Tests of the lease holder's responses to requests while it recalls idle units of a window, and of the node that
//! applies these responses.

mod fleet;

use fleet::{Fleet, durable_state, log_entry};
use sumacvale_core::base::{MS, Micros, NodeId, SEC};
use sumacvale_core::config::{CompiledConfig, WindowQuota};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{ConsensusMessage, Message, QuotaMessage};
use sumacvale_core::quota::{AcquireOutcome, LedgerAction, SliceRequest, TenantQuotas, WindowLedger};

const QUOTA: WindowQuota = WindowQuota { calls: 60, window: SEC };
const TENANT: &str = "t";
const NODES: u64 = 1;

fn request(ledger: &mut WindowLedger, node: u64, wanted_units: u64, now: Micros) -> Vec<LedgerAction> {
    let request = SliceRequest { node_id: NodeId(node), request_id: node, wanted_units, received_at: now };
    ledger.request(TENANT, QUOTA, request, (0, 0), NODES, now)
}

fn nodes_reported_spent(actions: &[LedgerAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| if let LedgerAction::Spent { node_id, .. } = action { Some(node_id.0) } else { None })
        .collect()
}

/// Grants all units of the window to node 1.
fn grant_all_to_one(ledger: &mut WindowLedger, now: Micros) {
    let largest_total = |actions: &[LedgerAction]| {
        let granted_total = |action: &LedgerAction| {
            if let LedgerAction::Grant { grant, .. } = action { grant.granted_total } else { 0 }
        };
        actions.iter().map(granted_total).max().unwrap_or(0)
    };
    let mut granted = 0;
    while granted < QUOTA.calls {
        granted = largest_total(&request(ledger, 1, QUOTA.calls, now));
        assert!(granted > 0, "nothing of the window is granted at its start");
    }
}

/// A recall doesn't prove that no unit is idle for requests that arrived after the recall started.
#[test]
fn a_request_during_a_recall_is_reported_spent_only_after_a_recall_of_its_own() {
    let mut ledger = WindowLedger::default();
    let start = 10 * SEC;
    grant_all_to_one(&mut ledger, start);

    let first = request(&mut ledger, 2, 1, start + 10 * MS);
    assert!(matches!(&first[..], [LedgerAction::Recall { to, window: 1 }] if to == &[NodeId(1)]), "{first:?}");
    let second = request(&mut ledger, 3, 1, start + 20 * MS);
    assert!(second.is_empty(), "the recall is in progress: {second:?}");

    let nothing = ledger.record_recall_reply(TENANT, QUOTA, NodeId(1), 1, 0, NODES, start + 30 * MS);
    assert_eq!(nodes_reported_spent(&nothing), [2], "node 3 requested after the recall started: {nothing:?}");

    let again = ledger.tick(TENANT, QUOTA, NODES, start + 200 * MS);
    assert!(matches!(&again[..], [LedgerAction::Recall { to, window: 1 }] if to == &[NodeId(1)]), "{again:?}");
    let some = ledger.record_recall_reply(TENANT, QUOTA, NodeId(1), 1, 5, NODES, start + 210 * MS);
    assert!(
        matches!(&some[..], [LedgerAction::Grant { request_id: 3, .. }]),
        "what was returned is granted to the waiting request: {some:?}"
    );
}

#[test]
fn an_unanswered_recall_is_retried_once() {
    let mut ledger = WindowLedger::default();
    let start = 10 * SEC;
    grant_all_to_one(&mut ledger, start);
    request(&mut ledger, 2, 1, start + 10 * MS);

    let early = ledger.tick(TENANT, QUOTA, NODES, start + 60 * MS);
    assert!(early.is_empty(), "{early:?}");
    let again = ledger.tick(TENANT, QUOTA, NODES, start + 90 * MS);
    assert!(matches!(&again[..], [LedgerAction::Recall { to, window: 1 }] if to == &[NodeId(1)]), "{again:?}");
    let more = ledger.tick(TENANT, QUOTA, NODES, start + 120 * MS);
    assert!(more.is_empty(), "twice is enough: {more:?}");
    let over = ledger.tick(TENANT, QUOTA, NODES, start + 170 * MS);
    assert_eq!(nodes_reported_spent(&over), [2], "{over:?}");
}

/// A call that waits for a slot would block a unit that other calls could use: a recall takes its unit back.
#[test]
fn the_unit_of_a_call_that_waits_for_a_slot_is_returned_on_a_recall() {
    let start = 10 * SEC;
    // The event while the call waits; whether the call has its unit afterwards; the returned and the free units.
    type Meanwhile = fn(&TenantQuotas, u64);
    let cases: [(&str, Meanwhile, bool, (u64, u64)); 4] = [
        ("nothing", |_, _| {}, true, (0, 1)),
        ("a recall", |slices, now| assert_eq!(slices.return_idle_units(TENANT, 1, now), Some(2)), false, (2, 0)),
        (
            "a recall of another window",
            |slices, now| assert_eq!(slices.return_idle_units(TENANT, 2, now), None),
            true,
            (0, 1),
        ),
        ("the next window", |slices, now| slices.add_granted(TENANT, 2, 5, now + SEC), false, (0, 5)),
    ];
    for (name, meanwhile, keeps_unit, (returned, free)) in cases {
        let slices = TenantQuotas::default();
        slices.add_granted(TENANT, 1, 2, start + SEC);
        assert!(matches!(slices.acquire_unit(TENANT, start), AcquireOutcome::Acquired { window: 1, .. }), "{name}");
        assert!(slices.park(TENANT, 1), "{name}");
        assert!(!slices.park(TENANT, 1), "{name}: no more than was taken");
        meanwhile(&slices, start + 10 * MS);
        assert_eq!(slices.unpark(TENANT, 1), keeps_unit, "{name}");
        assert!(!slices.unpark(TENANT, 1), "{name}: once");
        let rows = slices.list();
        assert_eq!((rows[0].3, rows[0].4), (returned, free), "{name}");
        slices.refund(TENANT, 1);
        assert_eq!(slices.list()[0].4, free + u64::from(keeps_unit), "{name}: nothing is refunded twice");
    }
    let slices = TenantQuotas::default();
    let document = r#"{"tenants":{"t":{"keys":[],"quota":{"rate":9,"burst":9}}}}"#;
    slices.rates.apply_config(&CompiledConfig::compile(1, document), start);
    assert!(!slices.park(TENANT, 0), "a unit of a rate stays with its call");
}

/// The end of a window in a report is late by the delay of the report, and must not prolong the validity of units.
#[test]
fn a_report_that_a_window_is_spent_prolongs_no_unit() {
    let slices = TenantQuotas::default();
    let start = 10 * SEC;
    slices.add_granted(TENANT, 1, 5, start + 100 * MS);
    slices.record_window_spent(TENANT, 1, start + 300 * MS, start + 90 * MS);
    let before = slices.acquire_unit(TENANT, start + 95 * MS);
    assert!(
        matches!(before, AcquireOutcome::Acquired { window: 1, expires_at, .. } if expires_at == start + 100 * MS),
        "{before:?}"
    );
    let after = slices.acquire_unit(TENANT, start + 150 * MS);
    assert_eq!(after, AcquireOutcome::WindowSpent { remaining: 150 * MS }, "the slice ended 50 ms ago");
}

/// A core that is not the first candidate for the lease of the tenant's role.
const REQUESTER: u64 = 2;

/// Starts one core of three, to which another core can respond as the lease holder of the tenant's role. Returns the
/// fleet, the lease holder, and the number of the core's request.
fn requester() -> (Fleet, u64, u64) {
    let mut initial = log_entry(0, 0, &[], &[1, 2, 3]);
    initial.body = r#"{"defaults":{"quota":{"calls":60,"window_ms":1000}},"pools":{"llm":{}},
        "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
        "tenants":{"t":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#
        .into();
    let mut fleet = Fleet::default();
    fleet.manages_voters = false;
    fleet.start(REQUESTER, durable_state(REQUESTER, &[initial], Some(0)));
    // The windows of these tests begin after the start: an earlier process has used no units of them.
    fleet.run(600 * MS);
    let effects = fleet.step(REQUESTER, Event::QuotaNeeded { tenant: TENANT.into(), waiting: 2 });
    fleet.apply_effects(REQUESTER, effects);
    let (holder, request_id) = newest_request(&fleet).expect("it sends a request");
    (fleet, holder, request_id)
}

fn newest_request(fleet: &Fleet) -> Option<(u64, u64)> {
    fleet.sent.iter().rev().find_map(|(_, frame)| {
        if let Message::Quota(QuotaMessage::SliceRequest { request_id, .. }) = frame.message {
            Some((frame.to.0, request_id))
        } else {
            None
        }
    })
}

#[test]
fn a_report_of_a_window_that_has_ended_rejects_no_call() {
    // The reported remaining time, the additional delay, and whether the window still runs on arrival.
    for (remaining, delay, runs) in [
        (58 * MS, 0, true),
        (58 * MS, 57 * MS, true),
        (58 * MS, 58 * MS, false),
        (58 * MS, 180 * MS, false),
        (123 * MS, 161 * MS, false),
    ] {
        let (mut fleet, holder, request_id) = requester();
        fleet.deliver_message(holder, REQUESTER, Message::Consensus(ConsensusMessage::Synced { version: 0 }));
        let spent =
            Message::Quota(QuotaMessage::WindowSpent { request_id, tenant: TENANT.into(), window: 24, remaining });
        fleet.deliver_message_late(holder, REQUESTER, spent, delay);
        let now = fleet.now;
        let outcome = fleet.node(REQUESTER).quota.slices.acquire_unit(TENANT, now);
        let requests_again = newest_request(&fleet).is_some_and(|newest| newest.1 != request_id);
        if runs {
            assert_eq!(
                outcome,
                AcquireOutcome::WindowSpent { remaining: remaining - delay },
                "{remaining} remaining, {delay} delay"
            );
            assert!(!requests_again, "{remaining} remaining, {delay} delay: the window is spent");
        } else {
            assert_eq!(outcome, AcquireOutcome::Empty, "{remaining} remaining, {delay} delay: a new window has begun");
            assert!(requests_again, "{remaining} remaining, {delay} delay: units are requested of the new window");
        }
    }
}

/// A request that was delivered twice is granted twice. The lease holder counts both grants as held by this node, so
/// units that the node ignored would be lost.
#[test]
fn units_for_a_request_that_was_delivered_twice_are_applied() {
    for has_response_between in [false, true] {
        let (mut fleet, holder, request_id) = requester();
        fleet.deliver_message(holder, REQUESTER, Message::Consensus(ConsensusMessage::Synced { version: 0 }));
        let granted = |granted_total| {
            Message::Quota(QuotaMessage::SliceGranted {
                request_id,
                tenant: TENANT.into(),
                window: 1,
                granted_total,
                remaining: 500 * MS,
                epoch: 1,
            })
        };
        fleet.deliver_message(holder, REQUESTER, granted(1));
        if has_response_between {
            let now = fleet.now;
            fleet.step(REQUESTER, Event::QuotaNeeded { tenant: TENANT.into(), waiting: 1 });
            let newer = newest_request(&fleet).expect("it sent a request").1;
            let spent = Message::Quota(QuotaMessage::WindowSpent {
                request_id: newer,
                tenant: TENANT.into(),
                window: 1,
                remaining: 500 * MS,
            });
            fleet.deliver_message(holder, REQUESTER, spent);
            assert_eq!(fleet.now, now);
        }
        fleet.deliver_message(holder, REQUESTER, granted(2));
        let rows = fleet.node(REQUESTER).quota.slices.list();
        assert_eq!(rows, [(TENANT.to_owned(), 1, 2, 0, 2)], "tenant, window, granted, returned, free");
    }
}
