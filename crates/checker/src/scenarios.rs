//! The bounds of the explorations: the small bounds run in CI, the large bounds are run by hand.
//!
//! Bounds keep their names: `planted.txt`, the tests and the notes on measurements refer to them.

use crate::agreement::{Agreement, Allowance, Opening, PlannedChange};
use crate::explore::Model;
use crate::fleet::{ANY_FAULT, FaultKind, Fleet, OpeningFault};
use crate::quota::Opening::{Calls, Deliver, PassTime, Refund, RestartHolder, Run};
use crate::quota::{self, Limit, Quota};
use sumacvale_core::base::{MS, Micros, SEC};

/// A named bound of a model.
pub struct Scenario<M: Model> {
    /// The name of the bound on the command line.
    pub name: &'static str,
    /// True if the tests explore the bound completely.
    pub is_small: bool,
    /// The model with its bounds.
    pub model: M,
}

impl<M: Model> Scenario<M> {
    fn small(name: &'static str, model: M) -> Self {
        Scenario { name, is_small: true, model }
    }

    fn large(name: &'static str, model: M) -> Self {
        Scenario { name, is_small: false, model }
    }
}

/// No faults: only deliveries, syncs and submissions.
const NONE: Allowance =
    Allowance { crashes: 0, wipes: 0, losses: 0, duplicates: 0, timeouts: 0, probes: 0, resubmissions: 0, yields: 0 };

/// Two operators submit different changes on the same base to different machines.
fn race() -> Vec<PlannedChange> {
    vec![PlannedChange::document(0, 1, "a", &[0, 2]), PlannedChange::document(0, 2, "b", &[1, 2])]
}

/// One machine receives both changes.
fn same_receiver() -> Vec<PlannedChange> {
    vec![PlannedChange::document(0, 1, "a", &[0]), PlannedChange::document(0, 2, "b", &[0])]
}

/// The second change is based on the first, and is submitted once the first is acknowledged.
fn chain() -> Vec<PlannedChange> {
    vec![PlannedChange::document(0, 1, "a", &[0, 1]), PlannedChange::document(1, 2, "b", &[2, 1]).after(0)]
}

/// Three versions, each based on the previous version and all submitted to machine 0, which holds each version
/// first.
fn chain_of_three() -> Vec<PlannedChange> {
    vec![
        PlannedChange::document(0, 1, "a", &[0]),
        PlannedChange::document(1, 2, "b", &[0]).after(0),
        PlannedChange::document(2, 3, "c", &[0]).after(1),
    ]
}

/// Three versions: two operators race for the first two, the third is based on the first.
fn race_and_chain() -> Vec<PlannedChange> {
    let mut changes = race();
    changes.push(PlannedChange::document(1, 3, "c", &[2]).after(0));
    changes
}

/// The second change names a base that was not acknowledged to any operator yet.
fn unacknowledged_base() -> Vec<PlannedChange> {
    vec![PlannedChange::document(0, 1, "a", &[0]), PlannedChange::document(1, 2, "b", &[1])]
}

/// One change that may be submitted to any voter.
fn single_change() -> Vec<PlannedChange> {
    vec![PlannedChange::document(0, 1, "a", &[0, 1, 2])]
}

/// A spare replaces a voter while a document is changed.
fn voters() -> Vec<PlannedChange> {
    vec![PlannedChange::voters(0, &[0, 1, 3], &[0]), PlannedChange::document(0, 1, "a", &[1, 2])]
}

/// Two changes based on the same version replace different voters with the same spare.
fn competing_voter_sets() -> Vec<PlannedChange> {
    vec![PlannedChange::voters(0, &[0, 1, 3], &[0]), PlannedChange::voters(0, &[0, 2, 3], &[0])]
}

fn agreement(machines: usize, changes: Vec<PlannedChange>, allowance: Allowance, slow_disks: &[usize]) -> Agreement {
    let slow_disks = slow_disks.to_vec();
    Agreement { machines, is_bootstrap: false, opening: Vec::new(), allowance, changes, slow_disks }
}

/// A bootstrap by three seeds with empty disks: after the opening, timers expire up to `timeouts` times in all.
fn bootstrap(opening: Vec<Opening>, timeouts: u8, allowance: Allowance, slow_disks: &[usize]) -> Agreement {
    let allowance = Allowance { timeouts, ..allowance };
    Agreement { is_bootstrap: true, opening, ..agreement(3, Vec::new(), allowance, slow_disks) }
}

/// All seeds announce their votes once. The announcements in `delivered` (from, to) arrive, all others are lost.
fn seeds_announce(delivered: &[(usize, usize)]) -> Vec<Opening> {
    let mut steps: Vec<_> = (0..3).map(|machine| Opening::Timeout { machine }).collect();
    for (from, to) in EVERY_PAIR {
        let kind = "Bootstrap";
        steps.push(match delivered.contains(&(from, to)) {
            true => Opening::Deliver { kind, from, to },
            false => Opening::Lose { kind, from, to },
        });
    }
    steps
}

/// All pairs of seeds, as sender and receiver.
const EVERY_PAIR: [(usize, usize); 6] = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];

/// All seeds voted for one set. Only machine 1 received all votes and bootstrapped the fleet; then machine 1's disk
/// is lost.
fn bootstrapper_wiped() -> Vec<Opening> {
    let mut steps = seeds_announce(&EVERY_PAIR);
    steps.extend(seeds_announce(&[(0, 1), (2, 1)]));
    steps.push(Opening::Wipe { machine: 1 });
    steps.extend(seeds_announce(&EVERY_PAIR));
    steps
}

/// Machine 2 received nothing from machine 1 and did not vote; machine 0 announces its vote again. Then machine
/// 1's disk is lost.
fn announcement_not_received() -> Vec<Opening> {
    let mut steps = seeds_announce(&[(1, 0), (2, 0), (0, 1), (2, 1), (0, 2)]);
    steps.push(Opening::Timeout { machine: 0 });
    steps.push(Opening::Lose { kind: "Bootstrap", from: 0, to: 1 });
    steps.push(Opening::Lose { kind: "Bootstrap", from: 0, to: 2 });
    steps.push(Opening::Wipe { machine: 1 });
    steps
}

/// Machines 0 and 2 crash before their votes are synced, and machine 1, which may have received the votes, loses
/// its disk.
fn votes_unsynced() -> Vec<Opening> {
    let mut steps = seeds_announce(&EVERY_PAIR);
    steps.extend(seeds_announce(&[(0, 1), (2, 1)]));
    steps.push(Opening::Crash { machine: 0, landed: 0 });
    steps.push(Opening::Crash { machine: 2, landed: 0 });
    steps.push(Opening::Wipe { machine: 1 });
    steps.extend(seeds_announce(&EVERY_PAIR));
    steps
}

/// Machine 0 ran a ballot, had change "a" accepted by machine 1, and restarted before any of its own votes were
/// synced. Now machine 0 has another change to propose, and machine 1 a third change, once machine 1 has yielded
/// long enough to the ballots that it voted for.
fn second_incarnation() -> Agreement {
    let changes = vec![
        PlannedChange::document(0, 1, "a", &[0]),
        PlannedChange::document(0, 2, "b", &[0]),
        PlannedChange::document(0, 3, "c", &[1]),
    ];
    let opening = vec![
        Opening::Submit { change: 0, to: 0 },
        Opening::Deliver { kind: "Prepare", from: 0, to: 1 },
        Opening::Deliver { kind: "Prepare", from: 0, to: 2 },
        Opening::Deliver { kind: "Promise", from: 1, to: 0 },
        Opening::Deliver { kind: "Promise", from: 2, to: 0 },
        Opening::Deliver { kind: "Accept", from: 0, to: 1 },
        Opening::Crash { machine: 0, landed: 0 },
        Opening::Submit { change: 1, to: 0 },
        Opening::Deliver { kind: "Prepare", from: 0, to: 2 },
        Opening::Sync { machine: 0 },
        Opening::Deliver { kind: "Promise", from: 2, to: 0 },
        Opening::Lose { kind: "Prepare", from: 0, to: 1 },
        Opening::Lose { kind: "Accept", from: 0, to: 2 },
    ];
    Agreement { opening, ..agreement(3, changes, Allowance { yields: 1, ..NONE }, &[0]) }
}

/// Only machine 0 accepted "a" in its ballot; machine 1 promised a higher ballot to machine 2, which proposes "b".
fn two_acceptances(allowance: Allowance) -> Agreement {
    let opening = vec![
        Opening::Submit { change: 0, to: 0 },
        Opening::Deliver { kind: "Prepare", from: 0, to: 1 },
        Opening::Deliver { kind: "Promise", from: 1, to: 0 },
        Opening::Submit { change: 1, to: 2 },
        Opening::Deliver { kind: "Prepare", from: 2, to: 1 },
        Opening::Deliver { kind: "Promise", from: 1, to: 2 },
        Opening::Lose { kind: "Prepare", from: 0, to: 2 },
        Opening::Lose { kind: "Prepare", from: 2, to: 0 },
        Opening::Lose { kind: "Accept", from: 0, to: 1 },
        Opening::Lose { kind: "Accept", from: 0, to: 2 },
    ];
    Agreement {
        opening,
        ..agreement(
            3,
            vec![PlannedChange::document(0, 1, "a", &[0]), PlannedChange::document(0, 2, "b", &[2])],
            allowance,
            &[],
        )
    }
}

/// The bounds of consensus.
#[must_use]
pub fn agreements() -> Vec<Scenario<Agreement>> {
    vec![
        Scenario::small("race", agreement(3, race(), NONE, &[])),
        Scenario::large("race-yield", agreement(3, race(), Allowance { yields: 1, ..NONE }, &[])),
        Scenario::large("race-yields", agreement(3, race(), Allowance { yields: 2, ..NONE }, &[])),
        Scenario::large("race-crash", agreement(3, race(), Allowance { crashes: 1, ..NONE }, &[])),
        Scenario::large("race-wipe", agreement(3, race(), Allowance { wipes: 1, ..NONE }, &[])),
        Scenario::large("race-lost", agreement(3, race(), Allowance { losses: 1, ..NONE }, &[])),
        Scenario::large("race-doubled", agreement(3, race(), Allowance { duplicates: 1, ..NONE }, &[])),
        Scenario::large("race-timeout", agreement(3, race(), Allowance { timeouts: 1, ..NONE }, &[])),
        Scenario::large("race-repeat", agreement(3, race(), Allowance { resubmissions: 1, ..NONE }, &[])),
        Scenario::large("race-question", agreement(3, race(), Allowance { probes: 1, ..NONE }, &[])),
        Scenario::large("race-slow-crash", agreement(3, race(), Allowance { crashes: 1, ..NONE }, &[2])),
        Scenario::large("twice-slow-crash", agreement(3, same_receiver(), Allowance { crashes: 1, ..NONE }, &[0])),
        Scenario::small("second-life", second_incarnation()),
        Scenario::small("two-acceptances", two_acceptances(Allowance { timeouts: 1, ..NONE })),
        Scenario::small("founding", bootstrap(seeds_announce(&EVERY_PAIR), 6, NONE, &[])),
        Scenario::small("founding-wiped", bootstrap(bootstrapper_wiped(), 12, Allowance { wipes: 1, ..NONE }, &[])),
        Scenario::small(
            "founding-unheard",
            bootstrap(announcement_not_received(), 7, Allowance { wipes: 1, ..NONE }, &[]),
        ),
        Scenario::small("founding-unsynced", bootstrap(votes_unsynced(), 12, Allowance { wipes: 1, ..NONE }, &[0, 2])),
        Scenario::large("founding-any", bootstrap(Vec::new(), 6, NONE, &[])),
        Scenario::large("founding-wipe", bootstrap(Vec::new(), 8, Allowance { wipes: 1, ..NONE }, &[])),
        Scenario::large("founding-crash", bootstrap(Vec::new(), 8, Allowance { crashes: 1, ..NONE }, &[0])),
        Scenario::large("three", agreement(3, race_and_chain(), NONE, &[])),
        Scenario::large("three-crash", agreement(3, race_and_chain(), Allowance { crashes: 1, ..NONE }, &[])),
        Scenario::small("chain", agreement(3, chain(), NONE, &[])),
        Scenario::large("chain-slow", agreement(3, chain(), NONE, &[2])),
        Scenario::large("three-in-a-row-slow", agreement(3, chain_of_three(), NONE, &[2])),
        Scenario::large("chain-lost", agreement(3, chain(), Allowance { losses: 1, ..NONE }, &[])),
        Scenario::large("chain-question", agreement(3, chain(), Allowance { probes: 1, ..NONE }, &[])),
        Scenario::large("chain-crash", agreement(3, chain(), Allowance { crashes: 1, timeouts: 1, ..NONE }, &[])),
        Scenario::large("chain-repeat", agreement(3, chain(), Allowance { resubmissions: 1, ..NONE }, &[])),
        Scenario::small("ahead", agreement(3, unacknowledged_base(), NONE, &[])),
        Scenario::large("ahead-slow", agreement(3, unacknowledged_base(), NONE, &[2])),
        Scenario::small("one-question", agreement(3, single_change(), Allowance { probes: 1, ..NONE }, &[])),
        Scenario::small("one-crash", agreement(3, single_change(), Allowance { crashes: 1, ..NONE }, &[])),
        Scenario::large(
            "one-crash-timeout",
            agreement(3, single_change(), Allowance { crashes: 1, timeouts: 1, ..NONE }, &[]),
        ),
        Scenario::small("one-wipe", agreement(3, single_change(), Allowance { wipes: 1, ..NONE }, &[])),
        Scenario::small("one-lost", agreement(3, single_change(), Allowance { losses: 1, ..NONE }, &[])),
        Scenario::large(
            "one-lost-doubled",
            agreement(3, single_change(), Allowance { losses: 1, duplicates: 1, ..NONE }, &[]),
        ),
        Scenario::small("one-timeout", agreement(3, single_change(), Allowance { timeouts: 1, ..NONE }, &[])),
        Scenario::small("one-repeat", agreement(3, single_change(), Allowance { resubmissions: 1, ..NONE }, &[])),
        Scenario::small("one-slow-crash", agreement(3, single_change(), Allowance { crashes: 1, ..NONE }, &[2])),
        Scenario::large(
            "one-all-slow-crash",
            agreement(3, single_change(), Allowance { crashes: 1, ..NONE }, &[0, 1, 2]),
        ),
        Scenario::large(
            "one-slow-crashes",
            agreement(3, single_change(), Allowance { crashes: 2, timeouts: 1, ..NONE }, &[0, 1, 2]),
        ),
        Scenario::large("voters", agreement(4, voters(), NONE, &[])),
        Scenario::small("two-lists", agreement(4, competing_voter_sets(), NONE, &[])),
        Scenario::large("voters-crash", agreement(4, voters(), Allowance { crashes: 1, ..NONE }, &[])),
    ]
}

/// The times at which faults may occur, in microseconds.
#[derive(Clone, Copy)]
struct FaultTimes {
    /// The time between choices.
    step: Micros,
    /// The time within which the first fault occurs.
    first: Micros,
    /// The time after each fault within which the next fault occurs.
    next: Micros,
}

fn fleet(machines: usize, kinds: &[FaultKind], faults: u8, times: FaultTimes) -> Fleet {
    Fleet {
        machines,
        kinds: kinds.to_vec(),
        opening: Vec::new(),
        faults,
        step: times.step,
        first_within: times.first,
        next_within: times.next,
        has_requesters: false,
        allows_close_losses: false,
    }
}

/// One fault within `first`, with a choice every `step` microseconds.
fn one_fault(kinds: &[FaultKind], step: Micros, first: Micros) -> Fleet {
    fleet(4, kinds, 1, FaultTimes { step, first, next: 0 })
}

fn after(opening: &[(Micros, FaultKind, usize)], model: Fleet) -> Fleet {
    let opening =
        opening.iter().map(|(delay, kind, machine)| OpeningFault { delay: *delay, kind: *kind, machine: *machine });
    Fleet { opening: opening.collect(), ..model }
}

fn with_requesters(model: Fleet) -> Fleet {
    Fleet { has_requesters: true, ..model }
}

/// The bounds of whole fleets.
#[must_use]
pub fn fleets() -> Vec<Scenario<Fleet>> {
    // One voter receives nothing until its grants have expired, then the lease holder is partitioned, and the
    // third voter's process crashes.
    let restart = [(0, FaultKind::Partition, 2), (950 * MS, FaultKind::Partition, 0)];
    // One voter is replaced; another voter accepts the replacement, receives nothing, and then receives frames only
    // from the replaced voter. The second entry extends the isolation of the replaced voter.
    let pending_voter_change = [(0, FaultKind::Aside, 2), (2_600 * MS, FaultKind::Aside, 2)];
    // A partition separates two voters; the third voter leaves and is replaced.
    let newcomer = [(0, FaultKind::PairPartition, 0), (1_500 * MS, FaultKind::Leave, 2)];
    let grant_losses = [
        FaultKind::Crash,
        FaultKind::Gone,
        FaultKind::Partition,
        FaultKind::LongPartition,
        FaultKind::LostSends,
        FaultKind::Freeze,
        FaultKind::Blackout,
    ];
    let losses = [FaultKind::Wipe, FaultKind::Gone, FaultKind::LongPartition];
    vec![
        Scenario::small("any-one", one_fault(&ANY_FAULT, 100 * MS, SEC)),
        Scenario::large("any-one-fine", one_fault(&ANY_FAULT, 25 * MS, 2 * SEC)),
        Scenario::small("restarted-voter", after(&restart, one_fault(&[FaultKind::Crash], 25 * MS, 300 * MS))),
        Scenario::small(
            "change-under-way",
            after(&pending_voter_change, one_fault(&[FaultKind::Aside], 25 * MS, 600 * MS)),
        ),
        Scenario::small("newcomer", after(&newcomer, one_fault(&[FaultKind::LongPartition], 25 * MS, 600 * MS))),
        Scenario::small("window", with_requesters(one_fault(&grant_losses, 100 * MS, 600 * MS))),
        Scenario::large(
            "window-two",
            with_requesters(fleet(5, &grant_losses, 2, FaultTimes { step: 100 * MS, first: 600 * MS, next: 10 * SEC })),
        ),
        Scenario::small("two-losses", fleet(5, &losses, 2, FaultTimes { step: SEC, first: SEC, next: 10 * SEC })),
        Scenario::large(
            "two-losses-fine",
            fleet(5, &losses, 2, FaultTimes { step: 250 * MS, first: 500 * MS, next: 10 * SEC }),
        ),
        Scenario::large(
            "two-cuts",
            fleet(5, &[FaultKind::LongPartition], 2, FaultTimes { step: 250 * MS, first: 500 * MS, next: 10 * SEC }),
        ),
        Scenario::large(
            "two-close",
            Fleet {
                allows_close_losses: true,
                ..fleet(5, &[FaultKind::Gone], 2, FaultTimes { step: 50 * MS, first: 50 * MS, next: 5 * SEC })
            },
        ),
        Scenario::large(
            "two-near",
            fleet(
                4,
                &[FaultKind::LostReceives, FaultKind::Crash],
                2,
                FaultTimes { step: 50 * MS, first: 100 * MS, next: 1_600 * MS },
            ),
        ),
        Scenario::large(
            "any-two",
            fleet(4, &ANY_FAULT, 2, FaultTimes { step: 250 * MS, first: 500 * MS, next: 5 * SEC }),
        ),
        Scenario::large(
            "any-two-near",
            fleet(4, &ANY_FAULT, 2, FaultTimes { step: 50 * MS, first: 100 * MS, next: SEC }),
        ),
    ]
}

/// A window that is longer than any run of a model, in microseconds.
const LONG_WINDOW: Micros = 600 * SEC;
/// A window that ends during the exploration, in microseconds.
const SHORT_WINDOW: Micros = 400 * MS;
/// No calls, faults or passing of time: only deliveries.
const DELIVERIES_ONLY: quota::Allowance =
    quota::Allowance { calls: 0, refunds: 0, time_steps: 0, losses: 0, duplicates: 0, restarts: 0 };
/// The time that passes in one step, in microseconds.
const QUOTA_STEP: Micros = 100 * MS;

fn window(calls: u64, length: Micros, opening: &[quota::Opening], allowance: quota::Allowance) -> Quota {
    let limit = Limit::Window { calls, length };
    Quota { cores: 1, fronts: 2, limit, opening: opening.to_vec(), allowance, step: QUOTA_STEP }
}

fn rate(rate: u64, burst: u64, opening: &[quota::Opening], allowance: quota::Allowance) -> Quota {
    let limit = Limit::Rate { rate, burst };
    Quota { cores: 1, fronts: 2, limit, opening: opening.to_vec(), allowance, step: QUOTA_STEP }
}

/// The time after peer discovery by which a standby holds its reserve, in microseconds. The first request of a
/// standby can't prove yet that the standby knows the lease.
const STANDBY_READY: Micros = 6 * SEC;

/// The fronts of the bounds of quotas.
const FIRST_FRONT: usize = 0;
const SECOND_FRONT: usize = 1;

/// All units are granted; the first front holds two unused units.
fn idle_units() -> Vec<quota::Opening> {
    vec![
        Calls { front: FIRST_FRONT, count: 3 },
        Run { duration: 600 * MS },
        Refund { front: FIRST_FRONT },
        Refund { front: FIRST_FRONT },
        Calls { front: SECOND_FRONT, count: 1 },
        Run { duration: 100 * MS },
    ]
}

/// Idle units in a short window, which ends while the return of two units is in flight.
fn late_return() -> Vec<quota::Opening> {
    vec![
        Calls { front: FIRST_FRONT, count: 3 },
        Run { duration: 50 * MS },
        Refund { front: FIRST_FRONT },
        Refund { front: FIRST_FRONT },
        Calls { front: SECOND_FRONT, count: 2 },
        PassTime { duration: 50 * MS },
        Deliver { kind: "SliceRequest" },
        Deliver { kind: "SliceGranted" },
        Deliver { kind: "SliceRequest" },
        Deliver { kind: "RecallSlice" },
        PassTime { duration: 350 * MS },
    ]
}

/// Idle units, then the lease holder restarts and has a successor.
fn idle_units_then_restart() -> Vec<quota::Opening> {
    let mut opening = idle_units();
    opening.extend([RestartHolder, Run { duration: 1_500 * MS }]);
    opening
}

/// Both fronts request more than the available units, and their requests are still in flight.
fn busy_fronts() -> Vec<quota::Opening> {
    vec![
        Calls { front: FIRST_FRONT, count: 2 },
        Run { duration: 500 * MS },
        Calls { front: FIRST_FRONT, count: 4 },
        Calls { front: SECOND_FRONT, count: 5 },
    ]
}

/// The whole burst was spent when the lease holder restarted; its successor receives requests for more.
fn spent_burst() -> Vec<quota::Opening> {
    vec![
        Calls { front: FIRST_FRONT, count: 8 },
        Run { duration: 300 * MS },
        RestartHolder,
        Run { duration: 2 * SEC },
        Calls { front: SECOND_FRONT, count: 8 },
    ]
}

/// The first front received `before` calls when the lease holder restarted. Calls wait at both fronts and turn to
/// the standby, because nobody grants their requests.
fn calls_without_holder(before: u8) -> Vec<quota::Opening> {
    vec![
        Run { duration: STANDBY_READY },
        Calls { front: FIRST_FRONT, count: before },
        Run { duration: 300 * MS },
        RestartHolder,
        Calls { front: FIRST_FRONT, count: 4 },
        Calls { front: SECOND_FRONT, count: 2 },
        PassTime { duration: 50 * MS },
    ]
}

/// One front receives many more calls than the rate refills in four seconds.
fn overload_at_one_front() -> Vec<quota::Opening> {
    vec![
        Run { duration: STANDBY_READY },
        Calls { front: FIRST_FRONT, count: 80 },
        Run { duration: 4 * SEC },
        Calls { front: SECOND_FRONT, count: 2 },
        PassTime { duration: 50 * MS },
    ]
}

/// The bounds of quotas.
#[must_use]
pub fn quotas() -> Vec<Scenario<Quota>> {
    use quota::Allowance;
    let with_three_cores = |model| Quota { cores: 3, ..model };
    vec![
        Scenario::small(
            "units",
            window(4, LONG_WINDOW, &idle_units(), Allowance { calls: 1, duplicates: 1, ..DELIVERIES_ONLY }),
        ),
        Scenario::small(
            "units-lost",
            window(4, LONG_WINDOW, &idle_units(), Allowance { calls: 1, losses: 1, ..DELIVERIES_ONLY }),
        ),
        Scenario::small(
            "units-unrun",
            window(4, LONG_WINDOW, &idle_units(), Allowance { calls: 1, refunds: 1, ..DELIVERIES_ONLY }),
        ),
        Scenario::small(
            "units-short",
            window(4, SHORT_WINDOW, &late_return(), Allowance { calls: 1, refunds: 1, ..DELIVERIES_ONLY }),
        ),
        Scenario::small(
            "units-ended",
            with_three_cores(window(
                4,
                LONG_WINDOW,
                &idle_units_then_restart(),
                Allowance { calls: 1, duplicates: 1, ..DELIVERIES_ONLY },
            )),
        ),
        Scenario::large(
            "units-wide",
            window(
                4,
                LONG_WINDOW,
                &idle_units(),
                Allowance { calls: 2, refunds: 1, time_steps: 2, losses: 1, duplicates: 1, restarts: 0 },
            ),
        ),
        Scenario::small(
            "shares",
            rate(1, 8, &busy_fronts(), Allowance { duplicates: 1, refunds: 1, time_steps: 1, ..DELIVERIES_ONLY }),
        ),
        Scenario::small(
            "shares-lost",
            rate(1, 8, &busy_fronts(), Allowance { losses: 1, time_steps: 1, ..DELIVERIES_ONLY }),
        ),
        Scenario::small(
            "shares-ended",
            with_three_cores(rate(1, 8, &spent_burst(), Allowance { calls: 1, time_steps: 1, ..DELIVERIES_ONLY })),
        ),
        // The standby still has its part of the burst.
        Scenario::small(
            "shares-standby",
            with_three_cores(rate(
                1,
                8,
                &calls_without_holder(6),
                Allowance { duplicates: 1, losses: 1, ..DELIVERIES_ONLY },
            )),
        ),
        // More calls arrived than the burst has units: the standby lent all of its part.
        Scenario::small(
            "shares-standby-spent",
            with_three_cores(rate(
                1,
                8,
                &calls_without_holder(10),
                Allowance { duplicates: 1, losses: 1, ..DELIVERIES_ONLY },
            )),
        ),
        // Far more calls than the rate refills, so that the standby's part is spent as fast as it is refilled.
        Scenario::small(
            "shares-standby-refilled",
            with_three_cores(rate(8, 8, &overload_at_one_front(), Allowance { duplicates: 1, ..DELIVERIES_ONLY })),
        ),
        Scenario::large(
            "shares-wide",
            rate(
                1,
                8,
                &busy_fronts(),
                Allowance { calls: 1, refunds: 1, time_steps: 3, losses: 1, duplicates: 1, restarts: 0 },
            ),
        ),
    ]
}
