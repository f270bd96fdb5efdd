//! What workers say: orders of words, addresses that pass on, and ends that every node knows in time.

use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, SEC};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Frame, LogEntry, UNNUMBERED_INCARNATION, Voter, WorkerReport};
use sumacvale_core::workers::{REPORT_TIMEOUT, UnreachablePeriod, WorkerTable};

fn row(w: &str, seq: u64) -> WorkerReport {
    WorkerReport {
        worker_id: w.into(),
        incarnation: 1,
        seq,
        addr: "10.0.0.1:80".into(),
        pool: "p".into(),
        zone: "z0".into(),
        slots: 4,
        ..WorkerReport::default()
    }
}

fn drain(w: &str, seq: u64) -> WorkerReport {
    WorkerReport { draining: true, ..row(w, seq) }
}

fn gone(w: &str, seq: u64) -> WorkerReport {
    WorkerReport { removed: true, ..row(w, seq) }
}

fn next(w: &str) -> WorkerReport {
    WorkerReport { pool: "q".into(), ..row(w, 1) }
}

fn live(n: &WorkerTable, now: Micros) -> String {
    n.live(now).map(|r| r.worker_id.clone()).collect::<Vec<_>>().join(" ")
}

type Words = Vec<(Micros, WorkerReport)>;
type Deaf = &'static [(Micros, Micros)];

#[test]
fn words_count_in_their_order_and_an_end_is_final() {
    let left = |w: &str| WorkerReport::removal(w, 1);
    let other = WorkerReport { addr: "10.0.0.2:80".into(), ..row("b", 1) };
    let cases: [(&str, Words, Micros, &str); 15] = [
        ("a beat", vec![(0, row("a", 1))], SEC, "a"),
        ("two workers", vec![(0, row("a", 1)), (0, other)], SEC, "a b"),
        ("drains", vec![(0, row("a", 1)), (SEC, drain("a", 2))], SEC, ""),
        ("a late beat after the drain", vec![(0, drain("a", 2)), (SEC, row("a", 1))], SEC, ""),
        ("thinks anew", vec![(0, drain("a", 2)), (SEC, row("a", 3))], SEC, "a"),
        ("left", vec![(0, row("a", 1)), (SEC, gone("a", 2))], SEC, ""),
        ("a late beat after the leave", vec![(0, gone("a", 2)), (SEC, row("a", 1))], SEC, ""),
        ("a later beat after the leave", vec![(0, gone("a", 2)), (SEC, row("a", 9))], SEC, ""),
        ("a drain after the leave", vec![(0, gone("a", 2)), (SEC, drain("a", 9))], SEC, ""),
        ("a bare leave ends all of the id", vec![(0, row("a", 7)), (SEC, left("a"))], SEC, ""),
        ("a bare leave comes first", vec![(0, left("a")), (SEC, row("a", 7))], SEC, ""),
        ("a new life", vec![(0, left("a")), (SEC, WorkerReport { incarnation: 2, ..row("a", 1) })], SEC, "a"),
        ("the address passes on after a leave", vec![(0, gone("a", 2)), (SEC, next("b"))], SEC, "b"),
        ("the address passes on in silence", vec![(0, row("a", 1)), (SEC, next("b"))], SEC, "b"),
        ("the old one is told of late", vec![(SEC, next("b")), (0, row("a", 1))], SEC, "b"),
    ];
    for (name, ws, at, want) in cases {
        let mut n = WorkerTable::default();
        for (t, r) in &ws {
            n.merge(r, *t, at);
        }
        assert_eq!(live(&n, at), want, "{name}");
        n.expire(at);
        assert_eq!(live(&n, at), want, "{name}, swept");
        if ws.iter().any(|w| w.1.removed) {
            let told = n.changes_after(0, &["p".into(), "q".into()], at + 20 * SEC);
            assert!(told.iter().any(|r| r.removed) || want == "a", "{name}: the leave is passed on for long");
            n.expire(at + 60 * SEC);
            assert!(n.entries.is_empty(), "{name}: and forgotten in the end");
        }
    }
}

#[test]
fn silence_follows_from_the_period_and_from_who_could_hear() {
    let cases: [(&str, Micros, Deaf, Micros); 6] = [
        ("as often as can be", 500 * MS, &[], REPORT_TIMEOUT),
        ("not set", 0, &[], REPORT_TIMEOUT),
        ("two beats lost, each retried a second later", 1_200 * MS, &[], 4_300 * MS),
        ("no core for two seconds", 1_200 * MS, &[(SEC, 3 * SEC)], 6_300 * MS),
        ("no core, once before it was heard", 1_200 * MS, &[(0, 0)], 4_300 * MS),
        ("twice", 1_200 * MS, &[(SEC, 2 * SEC), (4 * SEC, 5 * SEC)], 6_300 * MS),
    ];
    for (name, beat, deaf, until) in cases {
        let periods = deaf.iter().map(|(from, until)| UnreachablePeriod { from: *from, until: *until }).collect();
        let mut n = WorkerTable { report_interval: beat, unreachable_periods: periods, ..WorkerTable::default() };
        n.merge(&row("a", 1), 0, 0);
        assert_eq!(live(&n, until - 1), "a", "{name}");
        assert_eq!(live(&n, until), "", "{name}");
    }
}

/// A few nodes with wires of a millisecond.
struct Net {
    now: Micros,
    nodes: Vec<Option<Node>>,
    wires: BTreeMap<(Micros, u64), (usize, usize, Frame)>,
    cut: Vec<usize>,
    n: u64,
    heard: Vec<(usize, u64, bool, Micros)>,
    rows: Vec<Vec<String>>,
}

const CORES: usize = 3;
const ALL: usize = 9;

fn addr(i: usize) -> String {
    format!("n{i}")
}

fn kept() -> DurableState {
    let cores = (0..CORES).map(|i| Voter { node_id: NodeId(i as u64 + 1), addr: addr(i) }).collect();
    let body = "{\"pools\":{\"p\":{},\"q\":{}},\"matches\":{},\"tenants\":{}}".to_owned();
    let d = LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: 7,
        voters_since: 0,
        previous_voters: vec![],
        voters: cores,
        body,
        revision: 0,
        patch: None,
        compressed: Vec::new(),
    };
    let mut k = DurableState::default();
    k.entries.insert(0, d);
    k
}

impl Net {
    fn new() -> Self {
        let mut n = Net {
            now: SEC,
            nodes: (0..ALL).map(|_| None).collect(),
            wires: BTreeMap::new(),
            cut: Vec::new(),
            n: 0,
            heard: Vec::new(),
            rows: vec![Vec::new(); ALL],
        };
        for i in 0..ALL {
            n.start(i, i as u64 + 1);
        }
        n.run(4 * SEC);
        n
    }

    fn start(&mut self, i: usize, node_id: u64) {
        let me = NodeSettings {
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: true,
            manages_voters: false,
            tolerated_losses: 1,
            node_id: NodeId(node_id),
            incarnation: self.now,
            addr: addr(i),
            admin: String::new(),
            zone: format!("z{}", i % 3),
            seeds: (0..CORES).map(addr).collect(),
            is_core: i < CORES,
            report_interval: 1_200 * MS,
            reports_to_cores_only: true,
        };
        let k = if i < CORES { kept() } else { DurableState::default() };
        self.nodes[i] = Some(Node::new(me, &k, node_id, self.now));
        self.rows[i].clear();
    }

    fn step(&mut self, i: usize, e: Event) {
        let now = self.now;
        let Some(n) = self.nodes[i].as_mut() else { return };
        let es = n.step(e, now);
        for e in es {
            match e {
                Effect::Send { to, frame } => {
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    self.n += 1;
                    self.wires.insert((now + MS, self.n), (i, j, *frame));
                }
                Effect::Write { token, .. } => self.step(i, Event::Synced(token)),
                Effect::AcknowledgeReport { request_id: req, is_accepted: ok } => self.heard.push((i, req, ok, now)),
                Effect::Publish(v) => self.rows[i] = v.workers.iter().map(|r| r.worker_id.clone()).collect(),
                _ => {}
            }
        }
    }

    fn run(&mut self, t: Micros) {
        let end = self.now + t;
        while self.now < end {
            self.now += MS;
            while let Some(e) = self.wires.first_entry().filter(|e| e.key().0 <= self.now) {
                let (i, j, f) = e.remove();
                if !self.cut.contains(&i) && !self.cut.contains(&j) {
                    self.step(j, Event::Frame(Box::new(f)));
                }
            }
            if self.now.is_multiple_of(25 * MS) {
                for i in 0..ALL {
                    self.step(i, Event::Tick);
                }
            }
        }
    }

    fn tell(&mut self, i: usize, req: u64, row: WorkerReport) {
        self.step(i, Event::ReportWithAck { request_id: req, report: row });
    }

    fn answer(&self, req: u64) -> Option<(bool, Micros)> {
        self.heard.iter().find(|h| h.1 == req).map(|h| (h.2, h.3))
    }

    /// Which fronts would send calls to it.
    fn takers(&self, w: &str) -> Vec<usize> {
        (CORES..ALL).filter(|i| self.rows[*i].iter().any(|r| r == w)).collect()
    }

    fn home(&self, core: usize) -> usize {
        let n = self.nodes[core].as_ref().expect("it runs");
        let h = n.dissemination.peers.home_nodes("p", "z1", self.now)[0];
        (0..ALL).find(|i| self.nodes[*i].as_ref().is_some_and(|n| n.settings.node_id == h)).expect("a home")
    }
}

#[test]
fn a_new_worker_is_known_everywhere_soon() {
    let mut n = Net::new();
    n.tell(0, 1, row("a", 1));
    assert_eq!(n.answer(1), Some((true, n.now)), "a beat is acknowledged at once");
    n.run(150 * MS);
    assert_eq!(n.takers("a").len(), ALL - CORES);
    for k in 2..6 {
        n.run(1_200 * MS);
        n.tell(1, k, row("a", k));
    }
    n.run(4_200 * MS);
    assert_eq!(n.takers("a").len(), ALL - CORES, "two beats may be lost");
    n.run(400 * MS);
    assert_eq!(n.takers("a").len(), 0, "and no more");
}

#[test]
fn an_acknowledged_end_is_known_in_time_whoever_is_lost() {
    type Lose = fn(&mut Net);
    fn kill(n: &mut Net, i: usize) {
        n.nodes[i] = None;
    }
    let cases: [(&str, Lose, Lose, Micros); 8] = [
        ("nothing is lost", |_| {}, |_| {}, 50 * MS),
        ("the core dies", |_| {}, |n| kill(n, 0), 50 * MS),
        ("the core is cut off", |_| {}, |n| n.cut.push(0), 50 * MS),
        (
            "the home dies with it",
            |_| {},
            |n| {
                let h = n.home(1);
                kill(n, h);
                kill(n, 0)
            },
            50 * MS,
        ),
        (
            "a home was dead",
            |n| {
                let h = n.home(0);
                kill(n, h)
            },
            |n| kill(n, 0),
            700 * MS,
        ),
        ("another core was dead", |n| kill(n, 1), |n| kill(n, 0), 700 * MS),
        ("a front was dead", |n| kill(n, 5), |n| n.cut.push(0), 700 * MS),
        // It could not be reached while the first core lived.
        (
            "a front comes back in touch",
            |n| n.cut.push(7),
            |n| {
                kill(n, 0);
                n.cut.clear()
            },
            700 * MS,
        ),
    ];
    for (name, before, after, most) in cases {
        for word in [drain("a", 2), gone("a", 2), WorkerReport::removal("a", 1)] {
            let mut n = Net::new();
            n.tell(0, 1, row("a", 1));
            n.run(500 * MS);
            assert_eq!(n.takers("a").len(), ALL - CORES, "{name}");
            before(&mut n);
            let at = n.now;
            n.tell(0, 2, word);
            while n.answer(2).is_none() && n.now < at + 2 * SEC {
                n.run(MS);
            }
            let (ok, t) = n.answer(2).unwrap_or_else(|| panic!("{name}: no answer"));
            assert!(ok && t - at <= most, "{name}: {ok} after {}", t - at);
            after(&mut n);
            n.run(1_500 * MS);
            let left: Vec<_> = n.takers("a").into_iter().filter(|i| n.nodes[*i].is_some()).collect();
            assert!(left.is_empty(), "{name}: {left:?} still send to it");
            n.tell(2, 3, row("a", 1));
            n.run(500 * MS);
            let left: Vec<_> = n.takers("a").into_iter().filter(|i| n.nodes[*i].is_some()).collect();
            assert!(left.is_empty(), "{name}: a late beat revives it at {left:?}");
            n.run(12 * SEC);
            let open = n.nodes.iter().flatten().filter(|n| !n.dissemination.workers.removals.is_empty()).count();
            assert_eq!(open, 0, "{name}: nothing is spread for ever");
        }
    }
}

#[test]
fn nothing_is_acknowledged_that_no_other_core_knows() {
    let mut n = Net::new();
    n.tell(0, 1, row("a", 1));
    n.run(500 * MS);
    n.cut.push(0);
    n.tell(0, 2, drain("a", 2));
    n.run(950 * MS);
    assert_eq!(n.answer(2).map(|a| a.0), Some(false), "within a second it is sent elsewhere");
    n.tell(1, 3, drain("a", 2));
    n.run(700 * MS);
    assert_eq!(n.answer(3).map(|a| a.0), Some(true));
    assert_eq!(n.takers("a").len(), 0);
    n.run(4 * SEC);
    n.tell(0, 4, row("b", 1));
    assert_eq!(n.answer(4).map(|a| a.0), Some(false), "a core that is alone takes no beats");
}

#[test]
fn a_drain_told_again_costs_nothing_more() {
    let mut n = Net::new();
    n.tell(0, 1, drain("a", 1));
    n.run(100 * MS);
    let ends = |n: &Net| n.nodes.iter().flatten().map(|n| n.counters.removals_started).sum::<u64>();
    let was = ends(&n);
    for k in 2..6 {
        n.tell(usize::try_from(k).unwrap_or(0) % 3, k, drain("a", k));
        assert_eq!(n.answer(k), Some((true, n.now)));
        n.run(100 * MS);
    }
    assert_eq!(ends(&n), was);
}

#[test]
fn all_cores_gone_for_a_while_take_no_worker_out() {
    let mut n = Net::new();
    n.tell(0, 1, row("a", 1));
    n.run(SEC);
    for i in 0..CORES {
        n.nodes[i] = None;
    }
    n.run(4 * SEC);
    for i in 0..CORES {
        n.start(i, i as u64 + 1);
    }
    for _ in 0..10 {
        n.run(200 * MS);
        assert_eq!(n.takers("a").len(), ALL - CORES);
    }
    n.tell(0, 2, row("a", 2));
    n.run(SEC);
    assert_eq!(n.takers("a").len(), ALL - CORES);
    n.run(5 * SEC);
    assert_eq!(n.takers("a").len(), 0, "once they are back its silence counts");
}

#[test]
fn a_front_that_starts_among_others_knows_all_workers_soon() {
    let mut n = Net::new();
    n.tell(0, 1, row("a", 1));
    n.run(SEC);
    n.start(4, 77);
    let at = n.now;
    let whole = |n: &Net| n.nodes[4].as_ref().and_then(|n| n.dissemination.workers.complete_at);
    while whole(&n).is_none() && n.now < at + 5 * SEC {
        n.run(25 * MS);
    }
    let t = whole(&n).map(|t| t - at);
    assert!(t.is_some_and(|t| t < 1_500 * MS), "{t:?}");
    n.run(25 * MS);
    assert!(n.takers("a").contains(&4));
}

fn unnumbered(w: &str, seq: u64) -> WorkerReport {
    WorkerReport { incarnation: UNNUMBERED_INCARNATION, ..row(w, seq) }
}

fn elsewhere(w: &str, seq: u64) -> WorkerReport {
    WorkerReport { addr: "10.0.0.7:80".into(), ..unnumbered(w, seq) }
}

/// An id that reappears with a lower counter is another life once the one that was known is
/// silent; a life that ended by its own word stays ended until it is forgotten.
#[test]
fn an_id_whose_counter_begins_anew_is_another_life() {
    type Word = fn(&str, u64) -> WorkerReport;
    let bare: Word = |w, _| WorkerReport::removal(w, UNNUMBERED_INCARNATION);
    let ends: Word = |w, n| WorkerReport { draining: true, ..unnumbered(w, n) };
    // What was said last at 50; how long after it the id begins anew, where and with which
    // number; whether that is acknowledged, and whether it takes calls.
    let cases: [(&str, Word, Micros, Word, u64, bool); 11] = [
        ("at once, at the same address", unnumbered, 200 * MS, unnumbered, 1, false),
        ("at once, elsewhere", unnumbered, 200 * MS, elsewhere, 1, false),
        ("after the silence", unnumbered, 5 * SEC, unnumbered, 1, true),
        ("after the silence, elsewhere", unnumbered, 5 * SEC, elsewhere, 1, true),
        ("with a number that goes on", unnumbered, 200 * MS, unnumbered, 51, true),
        ("the same number again", unnumbered, 200 * MS, unnumbered, 50, true),
        ("after a drain, too soon", ends, 6 * SEC, unnumbered, 1, false),
        ("after a drain, forgotten", ends, 33 * SEC, unnumbered, 1, true),
        ("after it left, too soon", bare, 6 * SEC, unnumbered, 1, false),
        ("after it left, with a higher number", bare, 6 * SEC, unnumbered, 90, false),
        ("after it left, forgotten", bare, 33 * SEC, elsewhere, 1, true),
    ];
    for (name, last, pause, first, number, counts) in cases {
        let mut n = Net::new();
        n.tell(0, 1, unnumbered("a", 49));
        n.run(300 * MS);
        n.tell(1, 2, last("a", 50));
        n.run(pause);
        // At the core that was told last, and at another one.
        for (at, req) in [(1, 10), (2, 11)] {
            n.tell(at, req, first("a", number + req - 10));
            n.run(900 * MS);
            assert_eq!(n.answer(req).map(|a| a.0), Some(counts), "{name}, told at {at}");
        }
        let want = if counts { ALL - CORES } else { 0 };
        let was = name.starts_with("at once");
        assert!(was || n.takers("a").len() == want, "{name}: {:?} send to it", n.takers("a"));
        if !counts {
            continue;
        }
        // It goes on as any other does: it drains, and its end is final.
        n.tell(0, 20, ends("a", number + 5));
        n.run(700 * MS);
        assert_eq!(n.answer(20).map(|a| a.0), Some(true), "{name}");
        assert_eq!(n.takers("a").len(), 0, "{name}: it drains");
        n.tell(2, 21, bare("a", 0));
        n.run(700 * MS);
        n.tell(1, 22, unnumbered("a", number + 6));
        n.run(700 * MS);
        assert_eq!(n.answer(22).map(|a| a.0), Some(false), "{name}: a late beat of a life that left");
        assert_eq!(n.takers("a").len(), 0, "{name}: it left");
    }
}

/// A quick start under the same id is known once the silence of the former life is over.
#[test]
fn a_worker_that_starts_anew_under_its_id_is_back_soon() {
    for first in [unnumbered, elsewhere] {
        let mut n = Net::new();
        n.tell(0, 1, unnumbered("a", 500));
        n.run(500 * MS);
        let at = n.now;
        let back = |n: &Net| {
            n.nodes[5]
                .as_ref()
                .is_some_and(|x| x.dissemination.workers.entries.get("a").is_some_and(|e| e.report.seq < 100))
        };
        for k in 1..9 {
            n.tell(usize::try_from(k % 3).unwrap_or(0), 10 + k, first("a", k));
            n.run(1_200 * MS);
            if back(&n) {
                break;
            }
        }
        let t = n.now - at;
        assert!(back(&n) && t <= 6 * SEC, "after {} ms", t / MS);
        assert_eq!(n.takers("a").len(), ALL - CORES);
    }
}
