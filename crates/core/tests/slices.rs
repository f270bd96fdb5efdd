//! How the holder of a window's quota answers asks while it polls for what is idle, and what a
//! node makes of its word.

mod fleet;

use fleet::{Fleet, decree, kept};
use sumacvale_core::base::{MS, Micros, NodeId, SEC};
use sumacvale_core::config::{CompiledConfig, WindowQuota};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{ConsensusMessage, Message, QuotaMessage};
use sumacvale_core::quota::{LedgerAction, SliceRequest, TakeOutcome, WindowLedger, WindowSlices};

const QUOTA: WindowQuota = WindowQuota { calls: 60, window: SEC };
const TENANT: &str = "t";
const NODES: u64 = 1;

fn ask(ledger: &mut WindowLedger, node: u64, want: u64, now: Micros) -> Vec<LedgerAction> {
    let ask = SliceRequest { node_id: NodeId(node), request_id: node, wanted_units: want, received_at: now };
    ledger.request(TENANT, QUOTA, ask, (0, 0), NODES, now)
}

fn told_spent(turns: &[LedgerAction]) -> Vec<u64> {
    turns
        .iter()
        .filter_map(|t| if let LedgerAction::Spent { node_id, .. } = t { Some(node_id.0) } else { None })
        .collect()
}

/// Gives all units of the window to node 1.
fn all_given_to_one(ledger: &mut WindowLedger, now: Micros) {
    let given = |turns: &[LedgerAction]| {
        let of = |t: &LedgerAction| if let LedgerAction::Grant { grant: g, .. } = t { g.granted_total } else { 0 };
        turns.iter().map(of).max().unwrap_or(0)
    };
    let mut most = 0;
    while most < QUOTA.calls {
        most = given(&ask(ledger, 1, QUOTA.calls, now));
        assert!(most > 0, "the window is free at its beginning");
    }
}

/// What a poll brings in proves nothing to those who asked after it began.
#[test]
fn an_ask_that_comes_during_a_poll_is_told_spent_only_after_a_poll_of_its_own() {
    let mut ledger = WindowLedger::default();
    let start = 10 * SEC;
    all_given_to_one(&mut ledger, start);

    let first = ask(&mut ledger, 2, 1, start + 10 * MS);
    assert!(matches!(&first[..], [LedgerAction::Recall { to, window: 1 }] if to == &[NodeId(1)]), "{first:?}");
    let second = ask(&mut ledger, 3, 1, start + 20 * MS);
    assert!(second.is_empty(), "the poll is under way: {second:?}");

    let nothing = ledger.return_units(TENANT, QUOTA, NodeId(1), 1, 0, NODES, start + 30 * MS);
    assert_eq!(told_spent(&nothing), [2], "node 3 asked after the poll began: {nothing:?}");

    let again = ledger.tick(TENANT, QUOTA, NODES, start + 200 * MS);
    assert!(matches!(&again[..], [LedgerAction::Recall { to, window: 1 }] if to == &[NodeId(1)]), "{again:?}");
    let some = ledger.return_units(TENANT, QUOTA, NodeId(1), 1, 5, NODES, start + 210 * MS);
    assert!(
        matches!(&some[..], [LedgerAction::Grant { request_id: 3, .. }]),
        "what came back goes to who waits: {some:?}"
    );
}

#[test]
fn who_does_not_answer_a_poll_is_asked_once_more() {
    let mut ledger = WindowLedger::default();
    let start = 10 * SEC;
    all_given_to_one(&mut ledger, start);
    ask(&mut ledger, 2, 1, start + 10 * MS);

    let early = ledger.tick(TENANT, QUOTA, NODES, start + 60 * MS);
    assert!(early.is_empty(), "{early:?}");
    let again = ledger.tick(TENANT, QUOTA, NODES, start + 90 * MS);
    assert!(matches!(&again[..], [LedgerAction::Recall { to, window: 1 }] if to == &[NodeId(1)]), "{again:?}");
    let more = ledger.tick(TENANT, QUOTA, NODES, start + 120 * MS);
    assert!(more.is_empty(), "twice is enough: {more:?}");
    let over = ledger.tick(TENANT, QUOTA, NODES, start + 170 * MS);
    assert_eq!(told_spent(&over), [2], "{over:?}");
}

/// A call that waits for a place keeps its unit until others need it more.
#[test]
fn the_unit_of_a_call_that_waits_for_a_place_is_given_back_on_a_recall() {
    let start = 10 * SEC;
    // What happens while it waits; whether it has its unit then, and what is given back and free.
    type Meanwhile = fn(&WindowSlices, u64);
    let cases: [(&str, Meanwhile, bool, (u64, u64)); 4] = [
        ("nothing", |_, _| {}, true, (0, 1)),
        ("a recall", |s, now| assert_eq!(s.return_idle(TENANT, 1, now), Some(2)), false, (2, 0)),
        ("a recall of another window", |s, now| assert_eq!(s.return_idle(TENANT, 2, now), None), true, (0, 1)),
        ("the next window", |s, now| s.add_granted(TENANT, 2, 5, now + SEC), false, (0, 5)),
    ];
    for (name, meanwhile, keeps, (returned, free)) in cases {
        let slices = WindowSlices::default();
        slices.add_granted(TENANT, 1, 2, start + SEC);
        assert!(matches!(slices.take(TENANT, start), TakeOutcome::Taken { window: 1, .. }), "{name}");
        assert!(slices.park(TENANT, 1), "{name}");
        assert!(!slices.park(TENANT, 1), "{name}: no more than was taken");
        meanwhile(&slices, start + 10 * MS);
        assert_eq!(slices.unpark(TENANT, 1), keeps, "{name}");
        assert!(!slices.unpark(TENANT, 1), "{name}: once");
        let list = slices.list();
        assert_eq!((list[0].3, list[0].4), (returned, free), "{name}");
        slices.refund(TENANT, 1);
        assert_eq!(slices.list()[0].4, free + u64::from(keeps), "{name}: nothing comes back twice");
    }
    let slices = WindowSlices::default();
    let plan = r#"{"tenants":{"t":{"keys":[],"quota":{"rate":9,"burst":9}}}}"#;
    slices.rates.apply_plan(&CompiledConfig::compile(1, plan), start);
    assert!(!slices.park(TENANT, 0), "a unit of a rate stays with its call");
}

/// The word counts the window's end later than it is, by its time on the way.
#[test]
fn the_word_that_a_window_is_spent_lengthens_no_unit() {
    let slices = WindowSlices::default();
    let start = 10 * SEC;
    slices.add_granted(TENANT, 1, 5, start + 100 * MS);
    slices.mark_spent(TENANT, 1, start + 300 * MS, start + 90 * MS);
    let before = slices.take(TENANT, start + 95 * MS);
    assert!(matches!(before, TakeOutcome::Taken { window: 1, until, .. } if until == start + 100 * MS), "{before:?}");
    let after = slices.take(TENANT, start + 150 * MS);
    assert_eq!(after, TakeOutcome::WindowSpent { remaining: 150 * MS }, "the slice ended 50 ms ago");
}

/// A core that is not the first one nominated for the tenant's duty.
const ASKER: u64 = 2;

/// One core of three, to which another one can answer as the holder of the tenant's duty.
fn asker() -> (Fleet, u64, u64) {
    let mut zero = decree(0, 0, &[], &[1, 2, 3]);
    zero.body = r#"{"defaults":{"quota":{"calls":60,"window_ms":1000}},"pools":{"llm":{}},
        "matches":{"chat":{"path":"/v1/chat","pool":"llm","kind":"chat"}},
        "tenants":{"t":{"keys":["sha256:0000000000000000000000000000000000000000000000000000000000000000"]}}}"#
        .into();
    let mut fleet = Fleet::default();
    fleet.auto = false;
    fleet.start(ASKER, kept(ASKER, &[zero], Some(0)));
    fleet.run(100 * MS);
    let effects = fleet.step(ASKER, Event::QuotaNeeded { tenant: TENANT.into(), waiting: 2 });
    fleet.carry(ASKER, effects);
    let (holder, n) = newest_ask(&fleet).expect("it asks");
    (fleet, holder, n)
}

fn newest_ask(fleet: &Fleet) -> Option<(u64, u64)> {
    fleet.sent.iter().rev().find_map(|(_, f)| {
        if let Message::Quota(QuotaMessage::SliceRequest { request_id: n, .. }) = f.message {
            Some((f.to.0, n))
        } else {
            None
        }
    })
}

#[test]
fn a_word_about_a_window_that_ended_on_its_way_refuses_nobody() {
    // Told as left, on the way longer than others, and whether the window runs when it comes.
    for (left, late, runs) in [
        (58 * MS, 0, true),
        (58 * MS, 57 * MS, true),
        (58 * MS, 58 * MS, false),
        (58 * MS, 180 * MS, false),
        (123 * MS, 161 * MS, false),
    ] {
        let (mut fleet, holder, n) = asker();
        fleet.tell(holder, ASKER, Message::Consensus(ConsensusMessage::Synced { version: 0 }));
        let spent = Message::Quota(QuotaMessage::WindowSpent {
            request_id: n,
            tenant: TENANT.into(),
            window: 24,
            remaining: left,
        });
        fleet.tell_late(holder, ASKER, spent, late);
        let now = fleet.now;
        let takes = fleet.node(ASKER).quota.slices.take(TENANT, now);
        let asks_anew = newest_ask(&fleet).is_some_and(|a| a.1 != n);
        if runs {
            assert_eq!(takes, TakeOutcome::WindowSpent { remaining: left - late }, "{left} left, {late} late");
            assert!(!asks_anew, "{left} left, {late} late: the window is spent");
        } else {
            assert_eq!(takes, TakeOutcome::Empty, "{left} left, {late} late: a new window has begun");
            assert!(asks_anew, "{left} left, {late} late: who waits is asked for in the new window");
        }
    }
}

/// The holder counts as this node's whatever it granted, also for an ask that came to it twice.
#[test]
fn units_of_an_ask_that_came_twice_are_heard_of() {
    for answer_between in [false, true] {
        let (mut fleet, holder, n) = asker();
        fleet.tell(holder, ASKER, Message::Consensus(ConsensusMessage::Synced { version: 0 }));
        let slice = |granted_total| {
            Message::Quota(QuotaMessage::SliceGranted {
                request_id: n,
                tenant: TENANT.into(),
                window: 1,
                granted_total,
                remaining: 500 * MS,
                epoch: 1,
            })
        };
        fleet.tell(holder, ASKER, slice(1));
        if answer_between {
            let now = fleet.now;
            fleet.step(ASKER, Event::QuotaNeeded { tenant: TENANT.into(), waiting: 1 });
            let newer = newest_ask(&fleet).expect("it asked").1;
            let spent = Message::Quota(QuotaMessage::WindowSpent {
                request_id: newer,
                tenant: TENANT.into(),
                window: 1,
                remaining: 500 * MS,
            });
            fleet.tell(holder, ASKER, spent);
            assert_eq!(fleet.now, now);
        }
        fleet.tell(holder, ASKER, slice(2));
        let rows = fleet.node(ASKER).quota.slices.list();
        assert_eq!(rows, [(TENANT.to_owned(), 1, 2, 0, 2)], "tenant, window, granted, returned, free");
    }
}
