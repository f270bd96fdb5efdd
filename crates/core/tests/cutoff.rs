//! A control machine that is cut off from its majority: what it answers to each kind of caller, and how soon.

mod nodes;

use nodes::{addr, doc, founded, me};
use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, Rng, SEC, hash64};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node};
use sumacvale_core::protocol::{Change, ChangeOutcome, ConsensusMessage, Frame, Message, WorkerReport};

/// What is said of a call in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Answer {
    Yes,
    /// 5xx: promises nothing.
    Unclear,
    /// A final word against it.
    No(String),
}

/// Who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Order,
    Read,
    Beat,
    NewWorker,
    Drain,
    Leave,
}

const CALLERS: [Caller; 6] =
    [Caller::Order, Caller::Read, Caller::Beat, Caller::NewWorker, Caller::Drain, Caller::Leave];

/// Which frames of a machine are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Silent,
    /// It hears nothing.
    Deaf,
    /// Nobody hears it.
    Mute,
}

const CUTS: [Cut; 3] = [Cut::Silent, Cut::Deaf, Cut::Mute];

/// Nodes with wires of a millisecond; cores come first, then fronts.
struct Net {
    now: Micros,
    nodes: Vec<Node>,
    wires: BTreeMap<(Micros, u64), (usize, usize, Frame)>,
    syncs: BTreeMap<(Micros, u64), (usize, u64)>,
    kept: Vec<DurableState>,
    /// Frames from the first to the second don't arrive.
    cut: Vec<(usize, usize)>,
    /// Processes that stand still.
    still: Vec<usize>,
    /// How long a sync takes.
    sync: Micros,
    /// So many of a hundred frames don't arrive.
    lost: u64,
    /// Frames are late by up to this.
    late: Micros,
    rng: Rng,
    n: u64,
    answers: BTreeMap<u64, (Answer, Micros)>,
    told: BTreeMap<u64, String>,
    /// Answers to orders and reads, as they were given.
    fates: BTreeMap<u64, ChangeOutcome>,
}

fn row(worker: &str, seq: u64) -> WorkerReport {
    WorkerReport {
        worker_id: worker.into(),
        incarnation: 1,
        seq,
        addr: format!("10.0.0.1:{}", 80 + hash64(worker.as_bytes()) % 1_000),
        pool: "p".into(),
        zone: "z0".into(),
        slots: 4,
        ..WorkerReport::default()
    }
}

impl Net {
    fn new(seed: u64, cores: usize, fronts: usize) -> Self {
        let k = founded(cores, doc(1, "p"), 1);
        let kept: Vec<_> =
            (0..cores + fronts).map(|i| if i < cores { k.clone() } else { DurableState::default() }).collect();
        let me = |i: usize| me(i, cores, SEC);
        let nodes = kept.iter().enumerate().map(|(i, k)| Node::new(me(i), k, seed * 10 + i as u64, SEC)).collect();
        let mut n = Net {
            now: SEC,
            nodes,
            wires: BTreeMap::new(),
            syncs: BTreeMap::new(),
            kept,
            cut: Vec::new(),
            still: Vec::new(),
            sync: 0,
            lost: 0,
            late: 0,
            rng: Rng::new(seed),
            n: 0,
            answers: BTreeMap::new(),
            told: BTreeMap::new(),
            fates: BTreeMap::new(),
        };
        n.run(4 * SEC);
        n
    }

    fn step(&mut self, i: usize, e: Event) {
        let now = self.now;
        for e in self.nodes[i].step(e, now) {
            self.carry(i, e);
        }
    }

    fn carry(&mut self, i: usize, e: Effect) {
        self.n += 1;
        match e {
            Effect::Send { to, frame } => {
                let Some(j) = (0..self.nodes.len()).find(|j| addr(*j) == to) else { return };
                if self.lost > 0 && self.rng.chance(self.lost) {
                    return;
                }
                let late = if self.late > 0 { self.rng.below(self.late) } else { 0 };
                self.wires.insert((self.now + MS + late, self.n), (i, j, *frame));
            }
            Effect::Write { token, writes: ops } => {
                ops.iter().for_each(|o| self.kept[i].apply(o));
                self.syncs.insert((self.now + self.sync, self.n), (i, token));
            }
            Effect::CompleteChange { request_id: req, outcome: fate } => {
                self.fates.insert(req, fate.clone());
                let a = match &fate {
                    ChangeOutcome::Committed { .. } | ChangeOutcome::Content { .. } => Answer::Yes,
                    ChangeOutcome::NoQuorum | ChangeOutcome::Unknown => Answer::Unclear,
                    f => Answer::No(format!("{f:?}")),
                };
                if let ChangeOutcome::Content { text } = fate {
                    self.told.insert(req, text);
                }
                self.answers.insert(req, (a, self.now));
            }
            Effect::AcknowledgeReport { request_id: req, is_accepted: ok } => {
                self.answers.insert(req, (if ok { Answer::Yes } else { Answer::Unclear }, self.now));
            }
            _ => {}
        }
    }

    fn run(&mut self, t: Micros) {
        let end = self.now + t;
        while self.now < end {
            self.now += MS;
            while let Some(e) = self.syncs.first_entry().filter(|e| e.key().0 <= self.now) {
                let (i, token) = e.remove();
                self.step(i, Event::Synced(token));
            }
            while let Some(e) = self.wires.first_entry().filter(|e| e.key().0 <= self.now) {
                let ((at, n), (i, j, f)) = e.remove_entry();
                if self.cut.contains(&(i, j)) {
                    continue;
                }
                if self.still.contains(&j) {
                    self.wires.insert((at.max(self.now) + MS, n), (i, j, f));
                    continue;
                }
                self.step(j, Event::Frame(Box::new(f)));
            }
            if self.now.is_multiple_of(25 * MS) {
                for i in 0..self.nodes.len() {
                    if !self.still.contains(&i) {
                        self.step(i, Event::Tick);
                    }
                }
            }
        }
    }

    /// Cuts these machines from all others.
    fn cut_off(&mut self, of: &[usize], how: Cut) {
        let all = self.nodes.len();
        for i in of {
            for j in (0..all).filter(|j| !of.contains(j)) {
                if how != Cut::Mute {
                    self.cut.push((j, *i));
                }
                if how != Cut::Deaf {
                    self.cut.push((*i, j));
                }
            }
        }
    }

    /// One who calls node `i`; the number of the call.
    fn call(&mut self, i: usize, who: Caller) -> u64 {
        self.n += 1;
        let req = 1_000_000 + self.n;
        match who {
            Caller::Order => {
                let base = self.newest();
                self.order(i, req, base, &doc(base + 1, &format!("o{req}")));
            }
            Caller::Read => {
                let change = Change::ReadNewest;
                self.step(
                    i,
                    Event::SubmitChange {
                        request_id: req,
                        change_id: ChangeId(0),
                        is_first_send: false,
                        base: 0,
                        change,
                    },
                );
            }
            Caller::Beat => self.step(i, Event::ReportWithAck { request_id: req, report: row("old", req) }),
            Caller::NewWorker => {
                self.step(i, Event::ReportWithAck { request_id: req, report: row(&format!("w{req}"), 1) })
            }
            Caller::Drain => self.step(
                i,
                Event::ReportWithAck { request_id: req, report: WorkerReport { draining: true, ..row("drains", req) } },
            ),
            Caller::Leave => {
                self.step(i, Event::ReportWithAck { request_id: req, report: WorkerReport::removal("leaves", 1) })
            }
        }
        req
    }

    /// The number of the newest document that any node holds.
    fn newest(&self) -> u64 {
        self.nodes.iter().map(|x| x.consensus.state.newest().map_or(0, |d| d.revision)).max().unwrap_or(0)
    }

    fn order(&mut self, i: usize, req: u64, base: u64, body: &str) {
        let change_id = ChangeId(hash64(body.as_bytes()).max(1));
        self.step(
            i,
            Event::SubmitChange {
                request_id: req,
                change_id,
                is_first_send: false,
                base,
                change: Change::Document(body.to_owned()),
            },
        );
    }

    /// Waits for the end of a call: the answer and how long it took.
    fn end(&mut self, req: u64) -> (Answer, Micros) {
        let at = self.now;
        while !self.answers.contains_key(&req) && self.now < at + 6 * SEC {
            self.run(MS);
        }
        let (a, t) = self.answers.get(&req).cloned().unwrap_or((Answer::No("never".into()), self.now));
        (a, t.saturating_sub(at))
    }

    fn ask(&mut self, i: usize, who: Caller) -> (Answer, Micros) {
        let req = self.call(i, who);
        self.end(req)
    }

    /// Workers are known, so that beats are nothing new.
    fn workers(&mut self) {
        for (i, w) in ["old", "drains", "leaves"].iter().enumerate() {
            self.step(i, Event::ReportWithAck { request_id: i as u64, report: row(w, 1) });
        }
        self.run(200 * MS);
    }
}

/// How long after the cut callers come.
const AGES: [Micros; 7] = [0, 100 * MS, 300 * MS, 700 * MS, 1_300 * MS, 4_000 * MS, 20_000 * MS];
/// Well within a caller's second of silence, on its way there and back.
const SOON: Micros = 450 * MS;
/// One last look whether it is back.
const AT_ONCE: Micros = 75 * MS;
/// By then a core knows that its majority is gone.
const KNOWN: Micros = 1_300 * MS;
/// A beat may still be acknowledged on the strength of the last confirmation.
const TRUSTED: Micros = 700 * MS;

fn word(c: Caller) -> bool {
    matches!(c, Caller::Beat | Caller::NewWorker)
}

#[test]
fn a_core_without_its_majority_says_so_at_once() {
    for who in CALLERS {
        for how in CUTS {
            for age in AGES {
                let mut n = Net::new(3, 3, 1);
                n.workers();
                n.cut_off(&[0], how);
                n.run(age);
                let name = format!("{who:?} {how:?}, {} ms after the cut", age / MS);
                let (a, t) = n.ask(0, who);
                if word(who) && age < TRUSTED {
                    continue;
                }
                assert_eq!(a, Answer::Unclear, "{name}");
                let most = if age >= KNOWN { AT_ONCE } else { SOON };
                assert!(t <= most, "{name}: answered after {} ms", t / MS);
            }
        }
    }
}

#[test]
fn a_core_that_loses_its_majority_while_callers_wait_says_so_soon() {
    for who in [Caller::Order, Caller::Read, Caller::Drain, Caller::Leave] {
        for how in CUTS {
            for after in 0..6 {
                let mut n = Net::new(4, 3, 1);
                n.workers();
                let req = n.call(0, who);
                n.run(after * MS);
                n.cut_off(&[0], how);
                let (a, t) = n.end(req);
                let name = format!("{who:?} {how:?}, cut {after} ms after it came: {a:?} after {} ms", t / MS);
                assert!(matches!(a, Answer::Yes | Answer::Unclear), "{name}");
                assert!(t <= 2 * SOON, "{name}");
            }
        }
    }
}

#[test]
fn a_node_without_a_vote_says_so_too() {
    for who in CALLERS {
        for how in CUTS {
            for age in AGES {
                let mut n = Net::new(3, 3, 1);
                n.workers();
                n.cut_off(&[3], how);
                n.run(age);
                let name = format!("{who:?} {how:?}, {} ms after the cut", age / MS);
                let (a, t) = n.ask(3, who);
                // Its stamp is up to a second older than the cores' own.
                if word(who) && age < 1_600 * MS {
                    continue;
                }
                assert_eq!(a, Answer::Unclear, "{name}");
                assert!(t <= SOON, "{name}: answered after {} ms", t / MS);
            }
        }
    }
}

#[test]
fn a_front_goes_on_to_a_core_that_can() {
    // Its nearest core is cut off from it, from the other cores, or from all.
    for (name, to_front) in [("from all", true), ("from the cores", false)] {
        for how in CUTS {
            for who in [Caller::Order, Caller::Read] {
                for age in &AGES[..6] {
                    for near in 0..3 {
                        let mut n = Net::new(3, 3, 3);
                        n.cut_off(&[near], how);
                        if !to_front {
                            n.cut.retain(|(i, j)| *i < 3 && *j < 3);
                        }
                        n.run(*age);
                        let (a, t) = n.ask(3 + near, who);
                        let case = format!("{who:?}, core {near} {how:?} {name} for {} ms", age / MS);
                        assert_eq!(a, Answer::Yes, "{case}, after {} ms", t / MS);
                        assert!(t < 900 * MS, "{case}: after {} ms", t / MS);
                    }
                }
            }
        }
    }
}

#[test]
fn a_core_in_touch_sends_nobody_away() {
    // Name, sync, frames lost of a hundred, lateness, a core that is cut off.
    let cases: [(&str, Micros, u64, Micros, &[usize]); 7] = [
        ("well", 0, 0, 0, &[]),
        ("disks of 2 ms", 2 * MS, 0, 0, &[]),
        ("disks of 100 ms", 100 * MS, 0, 0, &[]),
        ("late frames", 2 * MS, 0, 150 * MS, &[]),
        ("one frame in ten lost", 2 * MS, 10, 5 * MS, &[]),
        ("a core is lost, disks of 50 ms", 50 * MS, 0, 5 * MS, &[2]),
        ("a core is lost, late frames, some lost", 2 * MS, 2, 60 * MS, &[2]),
    ];
    for (name, sync, lost, late, gone) in cases {
        let mut n = Net::new(9, 3, 1);
        n.workers();
        n.cut_off(gone, Cut::Silent);
        (n.sync, n.lost, n.late) = (sync, lost, late);
        n.run(4 * SEC);
        let mut worst = 0;
        for round in 0..40 {
            n.run(137 * MS);
            for who in CALLERS {
                let i = [0, 1, 3][round % 3];
                let (a, t) = n.ask(i, who);
                worst = worst.max(t);
                assert_eq!(a, Answer::Yes, "{name}: {who:?} at {i}, round {round}, after {} ms", t / MS);
            }
        }
        println!("{name}: the slowest answer after {} ms", worst / MS);
    }
}

#[test]
fn a_core_that_stood_still_is_not_taken_for_cut_off() {
    for still in [300 * MS, SEC, 3 * SEC, 30 * SEC] {
        for who in CALLERS {
            let mut n = Net::new(6, 3, 1);
            n.workers();
            n.still.push(0);
            n.run(still);
            n.still.clear();
            let (a, t) = n.ask(0, who);
            assert_eq!(a, Answer::Yes, "{who:?} after a standstill of {} ms, told after {} ms", still / MS, t / MS);
        }
    }
}

#[test]
fn a_core_that_is_back_takes_calls_again_soon() {
    for how in CUTS {
        for who in CALLERS {
            let mut n = Net::new(7, 3, 1);
            n.workers();
            n.cut_off(&[0], how);
            n.run(20 * SEC);
            n.cut.clear();
            let at = n.now;
            while n.ask(0, who).0 != Answer::Yes {
                assert!(n.now < at + 400 * MS, "{who:?} {how:?}: refused for too long after the cut");
                n.run(10 * MS);
            }
        }
    }
}

/// Cores that can bring a leaving to each other, and to nobody else, are no majority.
#[test]
fn two_of_five_cores_acknowledge_nothing() {
    for who in [Caller::Order, Caller::Read, Caller::Drain, Caller::Leave] {
        let mut n = Net::new(5, 5, 2);
        n.workers();
        n.cut_off(&[0, 1], Cut::Silent);
        for age in [10 * MS, 2 * SEC, 2 * SEC] {
            n.run(age);
            assert_eq!(n.ask(0, who).0, Answer::Unclear, "{who:?} at the fewer");
        }
        assert_eq!(n.ask(3, who).0, Answer::Yes, "{who:?} at the more");
    }
}

#[test]
fn a_core_without_its_majority_holds_no_duty() {
    for how in CUTS {
        for i in 0..3 {
            let mut n = Net::new(11, 3, 1);
            let held =
                |n: &Net, i: usize| (0..8).filter(|d| n.nodes[i].leases.held.valid_epoch(*d, n.now).is_some()).count();
            n.cut_off(&[i], how);
            n.run(SEC);
            assert_eq!(held(&n, i), 0, "core {i} {how:?}: still grants a second after the cut");
            n.run(SEC);
            let others: usize = (0..3).filter(|j| *j != i).map(|j| held(&n, j)).sum();
            assert_eq!(others, 8, "core {i} {how:?}: the others hold all duties");
        }
    }
}

#[test]
fn whoever_reads_reads_all_that_was_acknowledged() {
    for seed in 0..12 {
        let mut n = Net::new(seed, 3, 2);
        (n.sync, n.late, n.lost) = (2 * MS, 20 * MS, seed % 3 * 4);
        for k in 0..12 {
            let at = k % 5;
            let base = n.newest();
            let (body, req) = (doc(base + 3, &format!("k{k}")), 10 + k as u64);
            n.order(at, req, base, &body);
            if n.end(req).0 != Answer::Yes {
                continue;
            }
            let reads: Vec<_> = (0..5).map(|i| n.call(i, Caller::Read)).collect();
            for (i, r) in reads.into_iter().enumerate() {
                if n.end(r).0 == Answer::Yes {
                    assert_eq!(n.told.get(&r), Some(&body), "seed {seed}: read at {i} after an order at {at}");
                }
            }
        }
    }
}

#[test]
fn an_order_with_an_unclear_answer_is_neither_lost_nor_refused() {
    let mut unclear = 0;
    for how in CUTS {
        for after in 0..12 {
            let mut n = Net::new(after, 3, 1);
            n.sync = 2 * MS;
            let (body, other) = (doc(5, "mine"), doc(6, "other"));
            n.order(0, 1, 1, &body);
            n.run(after * MS);
            n.cut_off(&[0], how);
            let first = n.end(1).0;
            let name = format!("{how:?} {after} ms after it was sent, then told {first:?}");
            unclear += u32::from(first == Answer::Unclear);
            // The same again, elsewhere, as its caller does.
            n.order(1, 2, 1, &body);
            assert_eq!(n.end(2).0, Answer::Yes, "{name}");
            n.order(2, 3, 1, &other);
            assert!(matches!(n.end(3).0, Answer::No(_)), "{name}: two on one base");
            n.run(18 * SEC);
            // At the core that was cut off, while it is and when it is back.
            n.order(0, 4, 1, &body);
            assert!(matches!(n.end(4).0, Answer::Yes | Answer::Unclear), "{name}");
            n.order(0, 5, 1, &other);
            assert!(matches!(n.end(5).0, Answer::No(_) | Answer::Unclear), "{name}");
            n.cut.clear();
            n.run(SEC);
            n.order(0, 6, 1, &body);
            assert_eq!(n.end(6).0, Answer::Yes, "{name}, back");
            n.order(0, 7, 1, &other);
            assert!(matches!(n.end(7).0, Answer::No(_)), "{name}, back: two on one base");
            n.run(SEC);
            for i in 0..3 {
                assert_eq!(n.nodes[i].consensus.state.newest().map(|d| d.body.clone()), Some(body.clone()), "{name}");
            }
        }
    }
    assert!(unclear > 10, "only {unclear} orders had an unclear answer");
}

/// A core that hears nobody goes on sending; the others' orders must not suffer by it.
#[test]
fn a_core_that_hears_nobody_holds_up_no_order_of_the_others() {
    for after in 0..8 {
        let mut n = Net::new(after, 3, 1);
        n.sync = 2 * MS;
        n.call(0, Caller::Order);
        n.run(after * MS);
        n.cut_off(&[0], Cut::Deaf);
        n.run(2 * SEC);
        for k in 0..12 {
            let (a, t) = n.ask(1 + k % 2, Caller::Order);
            assert_eq!(a, Answer::Yes, "cut {after} ms after an order, the others' order {k}");
            assert!(t < 500 * MS, "cut {after} ms after an order, the others' order {k}: {} ms", t / MS);
            n.call(0, Caller::Order);
            n.run(300 * MS);
        }
    }
}

/// The voter that a front asked first sends the order in a ballot, and its process ends. Its next
/// life knows nothing of that and says "not sent here" when the front asks once more.
#[test]
fn a_voter_that_began_anew_does_not_speak_for_its_former_life() {
    let (cores, front) = (3, 3);
    for seed in 1..6 {
        let mut n = Net::new(seed, cores, 1);
        let req = n.call(front, Caller::Order);
        let casts = |n: &Net| {
            n.wires
                .values()
                .find(|w| matches!(w.2.message, Message::Consensus(ConsensusMessage::Accept { .. })) && w.0 != w.1)
                .map(|w| w.0)
        };
        let end = n.now + SEC;
        while casts(&n).is_none() && n.now < end {
            n.run(MS);
        }
        let voter = casts(&n).expect("the order is sent in a ballot");
        // No core hears another one from now on; the front hears all of them.
        n.cut.extend((0..cores).flat_map(|i| (0..cores).filter(move |j| i != *j).map(move |j| (i, j))));
        let now = n.now;
        n.nodes[voter] = Node::new(me(voter, cores, now), &n.kept[voter], seed, now);
        n.end(req);
        n.cut.clear();
        n.run(8 * SEC);
        let taken = n.nodes.iter().all(|x| x.consensus.state.newest().is_some_and(|d| d.revision == 2));
        assert!(taken, "seed {seed}: the order that was sent stands in the end");
        assert_eq!(
            n.fates.get(&req),
            Some(&ChangeOutcome::Unknown),
            "seed {seed}: the answer must not promise that it never will"
        );
    }
}
