//! The bounds that are explored: small ones in CI, large ones by hand.

use crate::agreement::{Agreement, Allowance, Opening, Order};
use crate::fleet::{ALL, Fleet, Kind};
use crate::quota::{self, Limit, Quota};
use sumacvale_core::base::{MS, Micros, SEC};

/// A named bound.
pub struct Scenario {
    pub name: &'static str,
    /// Explored whole by the tests.
    pub small: bool,
    pub model: Agreement,
}

const NONE: Allowance =
    Allowance { crashes: 0, wipes: 0, lost: 0, doubled: 0, timeouts: 0, questions: 0, repeats: 0, yields: 0 };

/// Two operators send different changes on the same base to different machines.
fn race() -> Vec<Order> {
    vec![Order::document(0, 1, "a", &[0, 2]), Order::document(0, 2, "b", &[1, 2])]
}

/// One machine is given both changes.
fn same() -> Vec<Order> {
    vec![Order::document(0, 1, "a", &[0]), Order::document(0, 2, "b", &[0])]
}

/// The second change builds on the first and is sent once that was acknowledged.
fn chain() -> Vec<Order> {
    vec![Order::document(0, 1, "a", &[0, 1]), Order::document(1, 2, "b", &[2, 1]).after(0)]
}

/// Three versions, each built on the one before and sent to the machine that has it first.
fn chain_of_three() -> Vec<Order> {
    vec![
        Order::document(0, 1, "a", &[0]),
        Order::document(1, 2, "b", &[0]).after(0),
        Order::document(2, 3, "c", &[0]).after(1),
    ]
}

/// Three versions: two operators race for the first two, the third builds on the first.
fn three() -> Vec<Order> {
    let mut orders = race();
    orders.push(Order::document(1, 3, "c", &[2]).after(0));
    orders
}

/// The second names a base that nobody was told of yet.
fn ahead() -> Vec<Order> {
    vec![Order::document(0, 1, "a", &[0]), Order::document(1, 2, "b", &[1])]
}

fn one() -> Vec<Order> {
    vec![Order::document(0, 1, "a", &[0, 1, 2])]
}

/// A spare takes the place of a voter while a document is changed.
fn voters() -> Vec<Order> {
    vec![Order::voters(0, &[0, 1, 3], &[0]), Order::document(0, 1, "a", &[1, 2])]
}

/// The same spare is to take the place of one voter and of another, on the same version.
fn two_lists() -> Vec<Order> {
    vec![Order::voters(0, &[0, 1, 3], &[0]), Order::voters(0, &[0, 2, 3], &[0])]
}

fn model(machines: usize, orders: Vec<Order>, allowance: Allowance, slow_disks: &[usize]) -> Agreement {
    Agreement { machines, founding: false, opening: Vec::new(), allowance, orders, slow_disks: slow_disks.to_vec() }
}

/// Three seeds with empty disks, whose timers turn so many times in all, after this opening.
fn founding(opening: Vec<Opening>, turns: u8, allowance: Allowance, slow_disks: &[usize]) -> Agreement {
    let allowance = Allowance { timeouts: turns, ..allowance };
    Agreement { founding: true, opening, ..model(3, Vec::new(), allowance, slow_disks) }
}

/// All seeds speak once, and these words arrive; the others are lost.
fn seeds_speak(heard: &[(usize, usize)]) -> Vec<Opening> {
    let mut steps: Vec<_> = (0..3).map(|machine| Opening::Turn { machine }).collect();
    for (from, to) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let kind = "Bootstrap";
        steps.push(match heard.contains(&(from, to)) {
            true => Opening::Arrive { kind, from, to },
            false => Opening::Lose { kind, from, to },
        });
    }
    steps
}

const EVERYBODY: [(usize, usize); 6] = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];

/// All pledged to one set; only machine 1 heard so and founded the fleet, and its disk is lost.
fn founder_wiped() -> Vec<Opening> {
    let mut steps = seeds_speak(&EVERYBODY);
    steps.extend(seeds_speak(&[(0, 1), (2, 1)]));
    steps.push(Opening::Wipe { machine: 1 });
    steps.extend(seeds_speak(&EVERYBODY));
    steps
}

/// Machine 2 didn't hear machine 1 and pledged to nothing; machine 0 speaks again. Then machine 1's disk is lost.
fn one_unheard() -> Vec<Opening> {
    let mut steps = seeds_speak(&[(1, 0), (2, 0), (0, 1), (2, 1), (0, 2)]);
    steps.push(Opening::Turn { machine: 0 });
    steps.push(Opening::Lose { kind: "Bootstrap", from: 0, to: 1 });
    steps.push(Opening::Lose { kind: "Bootstrap", from: 0, to: 2 });
    steps.push(Opening::Wipe { machine: 1 });
    steps
}

/// The pledges of machines 0 and 2 are not yet on their disks when their processes end, and machine
/// 1, which may have heard of them, loses its disk.
fn pledges_unsynced() -> Vec<Opening> {
    let mut steps = seeds_speak(&EVERYBODY);
    steps.extend(seeds_speak(&[(0, 1), (2, 1)]));
    steps.push(Opening::Crash { machine: 0, landed: 0 });
    steps.push(Opening::Crash { machine: 2, landed: 0 });
    steps.push(Opening::Wipe { machine: 1 });
    steps.extend(seeds_speak(&EVERYBODY));
    steps
}

/// Machine 0 asked for votes, had change "a" accepted by machine 1, and began anew before any of its
/// own votes were on its disk. Now it has another change to propose, and machine 1 a third, once it
/// has held back for the ballots that it voted for.
fn second_life() -> Agreement {
    let orders =
        vec![Order::document(0, 1, "a", &[0]), Order::document(0, 2, "b", &[0]), Order::document(0, 3, "c", &[1])];
    let opening = vec![
        Opening::Send { order: 0, to: 0 },
        Opening::Arrive { kind: "Prepare", from: 0, to: 1 },
        Opening::Arrive { kind: "Prepare", from: 0, to: 2 },
        Opening::Arrive { kind: "Promise", from: 1, to: 0 },
        Opening::Arrive { kind: "Promise", from: 2, to: 0 },
        Opening::Arrive { kind: "Accept", from: 0, to: 1 },
        Opening::Crash { machine: 0, landed: 0 },
        Opening::Send { order: 1, to: 0 },
        Opening::Arrive { kind: "Prepare", from: 0, to: 2 },
        Opening::Sync { machine: 0 },
        Opening::Arrive { kind: "Promise", from: 2, to: 0 },
        Opening::Lose { kind: "Prepare", from: 0, to: 1 },
        Opening::Lose { kind: "Accept", from: 0, to: 2 },
    ];
    Agreement { opening, ..model(3, orders, Allowance { yields: 1, ..NONE }, &[0]) }
}

/// Machine 0 alone accepted "a" in its ballot; machine 1 promised a higher one to machine 2, which
/// asks for votes on "b".
fn two_acceptances(allowance: Allowance) -> Agreement {
    let opening = vec![
        Opening::Send { order: 0, to: 0 },
        Opening::Arrive { kind: "Prepare", from: 0, to: 1 },
        Opening::Arrive { kind: "Promise", from: 1, to: 0 },
        Opening::Send { order: 1, to: 2 },
        Opening::Arrive { kind: "Prepare", from: 2, to: 1 },
        Opening::Arrive { kind: "Promise", from: 1, to: 2 },
        Opening::Lose { kind: "Prepare", from: 0, to: 2 },
        Opening::Lose { kind: "Prepare", from: 2, to: 0 },
        Opening::Lose { kind: "Accept", from: 0, to: 1 },
        Opening::Lose { kind: "Accept", from: 0, to: 2 },
    ];
    Agreement {
        opening,
        ..model(3, vec![Order::document(0, 1, "a", &[0]), Order::document(0, 2, "b", &[2])], allowance, &[])
    }
}

pub fn all() -> Vec<Scenario> {
    let s = |name, small, model| Scenario { name, small, model };
    vec![
        s("race", true, model(3, race(), NONE, &[])),
        s("race-yield", false, model(3, race(), Allowance { yields: 1, ..NONE }, &[])),
        s("race-yields", false, model(3, race(), Allowance { yields: 2, ..NONE }, &[])),
        s("race-crash", false, model(3, race(), Allowance { crashes: 1, ..NONE }, &[])),
        s("race-wipe", false, model(3, race(), Allowance { wipes: 1, ..NONE }, &[])),
        s("race-lost", false, model(3, race(), Allowance { lost: 1, ..NONE }, &[])),
        s("race-doubled", false, model(3, race(), Allowance { doubled: 1, ..NONE }, &[])),
        s("race-timeout", false, model(3, race(), Allowance { timeouts: 1, ..NONE }, &[])),
        s("race-repeat", false, model(3, race(), Allowance { repeats: 1, ..NONE }, &[])),
        s("race-question", false, model(3, race(), Allowance { questions: 1, ..NONE }, &[])),
        s("race-slow-crash", false, model(3, race(), Allowance { crashes: 1, ..NONE }, &[2])),
        s("twice-slow-crash", false, model(3, same(), Allowance { crashes: 1, ..NONE }, &[0])),
        s("second-life", true, second_life()),
        s("two-acceptances", true, two_acceptances(Allowance { timeouts: 1, ..NONE })),
        s("founding", true, founding(seeds_speak(&EVERYBODY), 6, NONE, &[])),
        s("founding-wiped", true, founding(founder_wiped(), 12, Allowance { wipes: 1, ..NONE }, &[])),
        s("founding-unheard", true, founding(one_unheard(), 7, Allowance { wipes: 1, ..NONE }, &[])),
        s("founding-unsynced", true, founding(pledges_unsynced(), 12, Allowance { wipes: 1, ..NONE }, &[0, 2])),
        s("founding-any", false, founding(Vec::new(), 6, NONE, &[])),
        s("founding-wipe", false, founding(Vec::new(), 8, Allowance { wipes: 1, ..NONE }, &[])),
        s("founding-crash", false, founding(Vec::new(), 8, Allowance { crashes: 1, ..NONE }, &[0])),
        s("three", false, model(3, three(), NONE, &[])),
        s("three-crash", false, model(3, three(), Allowance { crashes: 1, ..NONE }, &[])),
        s("chain", true, model(3, chain(), NONE, &[])),
        s("chain-slow", false, model(3, chain(), NONE, &[2])),
        s("three-in-a-row-slow", false, model(3, chain_of_three(), NONE, &[2])),
        s("chain-lost", false, model(3, chain(), Allowance { lost: 1, ..NONE }, &[])),
        s("chain-question", false, model(3, chain(), Allowance { questions: 1, ..NONE }, &[])),
        s("chain-crash", false, model(3, chain(), Allowance { crashes: 1, timeouts: 1, ..NONE }, &[])),
        s("chain-repeat", false, model(3, chain(), Allowance { repeats: 1, ..NONE }, &[])),
        s("ahead", true, model(3, ahead(), NONE, &[])),
        s("ahead-slow", false, model(3, ahead(), NONE, &[2])),
        s("one-question", true, model(3, one(), Allowance { questions: 1, ..NONE }, &[])),
        s("one-crash", true, model(3, one(), Allowance { crashes: 1, ..NONE }, &[])),
        s("one-crash-timeout", false, model(3, one(), Allowance { crashes: 1, timeouts: 1, ..NONE }, &[])),
        s("one-wipe", true, model(3, one(), Allowance { wipes: 1, ..NONE }, &[])),
        s("one-lost", true, model(3, one(), Allowance { lost: 1, ..NONE }, &[])),
        s("one-lost-doubled", false, model(3, one(), Allowance { lost: 1, doubled: 1, ..NONE }, &[])),
        s("one-timeout", true, model(3, one(), Allowance { timeouts: 1, ..NONE }, &[])),
        s("one-repeat", true, model(3, one(), Allowance { repeats: 1, ..NONE }, &[])),
        s("one-slow-crash", true, model(3, one(), Allowance { crashes: 1, ..NONE }, &[2])),
        s("one-all-slow-crash", false, model(3, one(), Allowance { crashes: 1, ..NONE }, &[0, 1, 2])),
        s("one-slow-crashes", false, model(3, one(), Allowance { crashes: 2, timeouts: 1, ..NONE }, &[0, 1, 2])),
        s("voters", false, model(4, voters(), NONE, &[])),
        s("two-lists", true, model(4, two_lists(), NONE, &[])),
        s("voters-crash", false, model(4, voters(), Allowance { crashes: 1, ..NONE }, &[])),
    ]
}

/// A named bound of whole fleets.
pub struct FleetScenario {
    pub name: &'static str,
    /// Explored whole by the tests.
    pub small: bool,
    pub model: Fleet,
}

fn fleet(machines: usize, kinds: &[Kind], faults: u8, (step, first, next): (Micros, Micros, Micros)) -> Fleet {
    let (kinds, opening) = (kinds.to_vec(), Vec::new());
    Fleet { machines, kinds, opening, faults, step, first, next, askers: false, close: false }
}

pub fn fleets() -> Vec<FleetScenario> {
    let s = |name, small, model| FleetScenario { name, small, model };
    let close = |model| Fleet { close: true, ..model };
    let after = |opening: &[(Micros, Kind, usize)], model| Fleet { opening: opening.to_vec(), ..model };
    // One voter hears nobody until its rows have ended, then the holder is cut off and the third
    // voter's process ends.
    let restart = [(0, Kind::Cut, 2), (950 * MS, Kind::Cut, 0)];
    // One voter is replaced; another accepts that, hears nobody, and then only the replaced one. The
    // second entry has the replaced one stay away for longer.
    let under_way = [(0, Kind::Aside, 2), (2_600 * MS, Kind::Aside, 2)];
    // Two voters don't hear each other, the third is replaced by its own wish.
    let newcomer = [(0, Kind::PairCut, 0), (1_500 * MS, Kind::Leave, 2)];
    let asked = |model| Fleet { askers: true, ..model };
    let grant_losses = [Kind::Crash, Kind::Gone, Kind::Cut, Kind::LongCut, Kind::Mute, Kind::Freeze, Kind::Blackout];
    let losses = [Kind::Wipe, Kind::Gone, Kind::LongCut];
    vec![
        s("any-one", true, fleet(4, &ALL, 1, (100 * MS, SEC, 0))),
        s("any-one-fine", false, fleet(4, &ALL, 1, (25 * MS, 2 * SEC, 0))),
        s("restarted-voter", true, after(&restart, fleet(4, &[Kind::Crash], 1, (25 * MS, 300 * MS, 0)))),
        s("change-under-way", true, after(&under_way, fleet(4, &[Kind::Aside], 1, (25 * MS, 600 * MS, 0)))),
        s("newcomer", true, after(&newcomer, fleet(4, &[Kind::LongCut], 1, (25 * MS, 600 * MS, 0)))),
        s("window", true, asked(fleet(4, &grant_losses, 1, (100 * MS, 600 * MS, 0)))),
        s("window-two", false, asked(fleet(5, &grant_losses, 2, (100 * MS, 600 * MS, 10 * SEC)))),
        s("two-losses", true, fleet(5, &losses, 2, (SEC, SEC, 10 * SEC))),
        s("two-losses-fine", false, fleet(5, &losses, 2, (250 * MS, 500 * MS, 10 * SEC))),
        s("two-cuts", false, fleet(5, &[Kind::LongCut], 2, (250 * MS, 500 * MS, 10 * SEC))),
        s("two-close", false, close(fleet(5, &[Kind::Gone], 2, (50 * MS, 50 * MS, 5 * SEC)))),
        s("two-near", false, fleet(4, &[Kind::Deaf, Kind::Crash], 2, (50 * MS, 100 * MS, 1_600 * MS))),
        s("any-two", false, fleet(4, &ALL, 2, (250 * MS, 500 * MS, 5 * SEC))),
        s("any-two-near", false, fleet(4, &ALL, 2, (50 * MS, 100 * MS, SEC))),
    ]
}

/// A named bound of quotas.
pub struct QuotaScenario {
    pub name: &'static str,
    /// Explored whole by the tests.
    pub small: bool,
    pub model: Quota,
}

/// Longer than any run of a model.
const LONG: Micros = 600 * SEC;
const SHORT: Micros = 400 * MS;
const STILL: quota::Allowance = quota::Allowance { calls: 0, unrun: 0, passes: 0, lost: 0, doubled: 0, ends: 0 };

fn window(calls: u64, length: Micros, opening: &[quota::Opening], allowance: quota::Allowance) -> Quota {
    let limit = Limit::Window { calls, length };
    Quota { cores: 1, fronts: 2, limit, opening: opening.to_vec(), allowance, step: 100 * MS }
}

fn rate(rate: u64, burst: u64, opening: &[quota::Opening], allowance: quota::Allowance) -> Quota {
    let limit = Limit::Rate { rate, burst };
    Quota { cores: 1, fronts: 2, limit, opening: opening.to_vec(), allowance, step: 100 * MS }
}

pub fn quotas() -> Vec<QuotaScenario> {
    use quota::Allowance as A;
    use quota::Opening::{Arrive, Calls, End, Flow, Hold, Unrun};
    let s = |name, small, model| QuotaScenario { name, small, model };
    let three = |model| Quota { cores: 3, ..model };
    let (first, second) = (0, 1);
    // All units are lent; the first front holds two that it doesn't use.
    let idle = [
        Calls { front: first, count: 3 },
        Flow { time: 600 * MS },
        Unrun { front: first },
        Unrun { front: first },
        Calls { front: second, count: 1 },
        Flow { time: 100 * MS },
    ];
    // The same in a short window, which ends while two units are on their way back.
    let late_return = [
        Calls { front: first, count: 3 },
        Flow { time: 50 * MS },
        Unrun { front: first },
        Unrun { front: first },
        Calls { front: second, count: 2 },
        Hold { time: 50 * MS },
        Arrive { kind: "SliceRequest" },
        Arrive { kind: "SliceGranted" },
        Arrive { kind: "SliceRequest" },
        Arrive { kind: "RecallSlice" },
        Hold { time: 350 * MS },
    ];
    // The same where the holder has ended and has a successor.
    let mut ended = idle.to_vec();
    ended.extend([End, Flow { time: 1_500 * MS }]);
    // Both fronts look for more than there is, and nothing of it has arrived.
    let busy = [
        Calls { front: first, count: 2 },
        Flow { time: 500 * MS },
        Calls { front: first, count: 4 },
        Calls { front: second, count: 5 },
    ];
    // All of the burst was spent when the holder ended; its successor is asked for more.
    let spent = [
        Calls { front: first, count: 8 },
        Flow { time: 300 * MS },
        End,
        Flow { time: 2 * SEC },
        Calls { front: second, count: 8 },
    ];
    vec![
        s("units", true, window(4, LONG, &idle, A { calls: 1, doubled: 1, ..STILL })),
        s("units-lost", true, window(4, LONG, &idle, A { calls: 1, lost: 1, ..STILL })),
        s("units-unrun", true, window(4, LONG, &idle, A { calls: 1, unrun: 1, ..STILL })),
        s("units-short", true, window(4, SHORT, &late_return, A { calls: 1, unrun: 1, ..STILL })),
        s("units-ended", true, three(window(4, LONG, &ended, A { calls: 1, doubled: 1, ..STILL }))),
        s(
            "units-wide",
            false,
            window(4, LONG, &idle, A { calls: 2, unrun: 1, passes: 2, lost: 1, doubled: 1, ends: 0 }),
        ),
        s("shares", true, rate(1, 8, &busy, A { doubled: 1, unrun: 1, passes: 1, ..STILL })),
        s("shares-lost", true, rate(1, 8, &busy, A { lost: 1, passes: 1, ..STILL })),
        s("shares-ended", true, three(rate(1, 8, &spent, A { calls: 1, passes: 1, ..STILL }))),
        s("shares-wide", false, rate(1, 8, &busy, A { calls: 1, unrun: 1, passes: 3, lost: 1, doubled: 1, ends: 0 })),
    ]
}
