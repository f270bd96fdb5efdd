//! Tests of worker reports: their order, addresses that another worker takes over, and removals that every node
//! learns in time.

use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, SEC};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Frame, LogEntry, UNKNOWN_INCARNATION, Voter, WorkerReport};
use sumacvale_core::workers::{REPORT_TIMEOUT, UnreachablePeriod, WorkerTable};

fn report(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport {
        worker_id: worker_id.into(),
        incarnation: 1,
        seq,
        addr: "10.0.0.1:80".into(),
        pool: "p".into(),
        zone: "z0".into(),
        slots: 4,
        ..WorkerReport::default()
    }
}

fn drain(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport { draining: true, ..report(worker_id, seq) }
}

fn leave(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport { removed: true, ..report(worker_id, seq) }
}

/// Returns the first report of a worker of another pool at the same address.
fn successor(worker_id: &str) -> WorkerReport {
    WorkerReport { pool: "q".into(), ..report(worker_id, 1) }
}

fn live(table: &WorkerTable, now: Micros) -> String {
    table.live_workers(now).map(|report| report.worker_id.clone()).collect::<Vec<_>>().join(" ")
}

type TimedReports = Vec<(Micros, WorkerReport)>;
type Periods = &'static [(Micros, Micros)];

#[test]
fn the_newest_report_takes_precedence_and_a_removal_is_final() {
    let bare_leave = |worker_id: &str| WorkerReport::removal(worker_id, 1);
    let other = WorkerReport { addr: "10.0.0.2:80".into(), ..report("b", 1) };
    let cases: [(&str, TimedReports, Micros, &str); 15] = [
        ("a report", vec![(0, report("a", 1))], SEC, "a"),
        ("two workers", vec![(0, report("a", 1)), (0, other)], SEC, "a b"),
        ("drains", vec![(0, report("a", 1)), (SEC, drain("a", 2))], SEC, ""),
        ("a late report after the drain", vec![(0, drain("a", 2)), (SEC, report("a", 1))], SEC, ""),
        ("no longer drains", vec![(0, drain("a", 2)), (SEC, report("a", 3))], SEC, "a"),
        ("left", vec![(0, report("a", 1)), (SEC, leave("a", 2))], SEC, ""),
        ("a late report after the leave", vec![(0, leave("a", 2)), (SEC, report("a", 1))], SEC, ""),
        ("a later report after the leave", vec![(0, leave("a", 2)), (SEC, report("a", 9))], SEC, ""),
        ("a drain after the leave", vec![(0, leave("a", 2)), (SEC, drain("a", 9))], SEC, ""),
        ("a bare leave ends the incarnation", vec![(0, report("a", 7)), (SEC, bare_leave("a"))], SEC, ""),
        ("a bare leave comes first", vec![(0, bare_leave("a")), (SEC, report("a", 7))], SEC, ""),
        (
            "a new incarnation",
            vec![(0, bare_leave("a")), (SEC, WorkerReport { incarnation: 2, ..report("a", 1) })],
            SEC,
            "a",
        ),
        ("the address passes on after a leave", vec![(0, leave("a", 2)), (SEC, successor("b"))], SEC, "b"),
        ("the address passes on in silence", vec![(0, report("a", 1)), (SEC, successor("b"))], SEC, "b"),
        ("the old one is reported late", vec![(SEC, successor("b")), (0, report("a", 1))], SEC, "b"),
    ];
    for (name, reports, now, expected) in cases {
        let mut table = WorkerTable::default();
        for (made_at, report) in &reports {
            table.merge_report(report, *made_at, now);
        }
        assert_eq!(live(&table, now), expected, "{name}");
        table.expire(now);
        assert_eq!(live(&table, now), expected, "{name}, expired");
        if reports.iter().any(|(_, report)| report.removed) {
            let snapshot = table.changes_after(0, &["p".into(), "q".into()], now + 20 * SEC);
            let has_leave = snapshot.iter().any(|report| report.removed);
            assert!(has_leave || expected == "a", "{name}: the leave is sent on for long");
            table.expire(now + 60 * SEC);
            assert!(table.entries.is_empty(), "{name}: and forgotten in the end");
        }
    }
}

#[test]
fn the_report_timeout_follows_from_the_interval_and_from_core_contact() {
    let cases: [(&str, Micros, Periods, Micros); 6] = [
        ("the shortest interval", 500 * MS, &[], REPORT_TIMEOUT),
        ("not set", 0, &[], REPORT_TIMEOUT),
        ("two reports lost, each retried a second later", 1_200 * MS, &[], 4_300 * MS),
        ("no core for two seconds", 1_200 * MS, &[(SEC, 3 * SEC)], 6_300 * MS),
        ("no core, once before it reported", 1_200 * MS, &[(0, 0)], 4_300 * MS),
        ("twice", 1_200 * MS, &[(SEC, 2 * SEC), (4 * SEC, 5 * SEC)], 6_300 * MS),
    ];
    for (name, report_interval, unreachable, until) in cases {
        let periods =
            unreachable.iter().map(|(from, until)| UnreachablePeriod { from: *from, until: *until }).collect();
        let mut table = WorkerTable { report_interval, unreachable_periods: periods, ..WorkerTable::default() };
        table.merge_report(&report("a", 1), 0, 0);
        assert_eq!(live(&table, until - 1), "a", "{name}");
        assert_eq!(live(&table, until), "", "{name}");
    }
}

/// A simulated network of a few nodes; each frame arrives after a millisecond.
struct Net {
    now: Micros,
    nodes: Vec<Option<Node>>,
    /// The synced state of each machine's disk; fronts write nothing.
    disks: Vec<DurableState>,
    /// The machines whose disks sync nothing.
    stalled_disks: Vec<usize>,
    /// Frames in flight, by arrival time and number.
    frames: BTreeMap<(Micros, u64), InFlightFrame>,
    /// Partitioned machines, all of whose frames are lost.
    cut_off: Vec<usize>,
    frame_number: u64,
    acknowledgements: Vec<Acknowledgement>,
    /// The ids of the workers that each machine may send requests to.
    workers: Vec<Vec<String>>,
}

struct InFlightFrame {
    from: usize,
    to: usize,
    frame: Frame,
}

#[derive(Clone, Copy)]
struct Acknowledgement {
    request_id: u64,
    is_accepted: bool,
    at: Micros,
}

const CORES: usize = 3;
const MACHINES: usize = 9;

fn addr(machine: usize) -> String {
    format!("n{machine}")
}

fn core_disk() -> DurableState {
    let voters = (0..CORES).map(|machine| Voter { node_id: NodeId(machine as u64 + 1), addr: addr(machine) }).collect();
    let body = "{\"pools\":{\"p\":{},\"q\":{}},\"matches\":{},\"tenants\":{}}".to_owned();
    let entry = LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: 7,
        voters_since: 0,
        previous_voters: vec![],
        voters,
        body,
        revision: 0,
        patch: None,
        compressed: Vec::new(),
    };
    let mut disk = DurableState::default();
    disk.entries.insert(0, entry);
    disk
}

impl Net {
    fn new() -> Self {
        let mut net = Net {
            now: SEC,
            nodes: (0..MACHINES).map(|_| None).collect(),
            disks: (0..MACHINES)
                .map(|machine| if machine < CORES { core_disk() } else { DurableState::default() })
                .collect(),
            stalled_disks: Vec::new(),
            frames: BTreeMap::new(),
            cut_off: Vec::new(),
            frame_number: 0,
            acknowledgements: Vec::new(),
            workers: vec![Vec::new(); MACHINES],
        };
        for machine in 0..MACHINES {
            net.start(machine, machine as u64 + 1);
        }
        net.run(4 * SEC);
        net
    }

    fn start(&mut self, machine: usize, node_id: u64) {
        let settings = NodeSettings {
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: true,
            manages_voters: false,
            tolerated_losses: 1,
            node_id: NodeId(node_id),
            incarnation: self.now,
            addr: addr(machine),
            admin_addr: String::new(),
            zone: format!("z{}", machine % 3),
            seeds: (0..CORES).map(addr).collect(),
            is_core: machine < CORES,
            report_interval: 1_200 * MS,
            workers_report_to_cores_only: true,
        };
        self.nodes[machine] = Some(Node::new(settings, &self.disks[machine], node_id, self.now));
        self.workers[machine].clear();
    }

    fn step(&mut self, machine: usize, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes[machine].as_mut() else { return };
        for effect in node.step(event, now) {
            match effect {
                Effect::Send { to, frame } => {
                    let Some(to) = (0..MACHINES).find(|other| addr(*other) == to) else { continue };
                    self.frame_number += 1;
                    let in_flight = InFlightFrame { from: machine, to, frame: *frame };
                    self.frames.insert((now + MS, self.frame_number), in_flight);
                }
                Effect::Write { .. } if self.stalled_disks.contains(&machine) => {}
                Effect::Write { token, writes } => {
                    for write in &writes {
                        self.disks[machine].apply(write);
                    }
                    self.step(machine, Event::Synced(token));
                }
                Effect::AcknowledgeReport { request_id, is_accepted } => {
                    self.acknowledgements.push(Acknowledgement { request_id, is_accepted, at: now });
                }
                Effect::Publish(view) => {
                    self.workers[machine] = view.workers.iter().map(|report| report.worker_id.clone()).collect();
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.frames.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let InFlightFrame { from, to, frame } = entry.remove();
                if !self.cut_off.contains(&from) && !self.cut_off.contains(&to) {
                    self.step(to, Event::Frame(Box::new(frame)));
                }
            }
            if self.now.is_multiple_of(25 * MS) {
                for machine in 0..MACHINES {
                    self.step(machine, Event::Tick);
                }
            }
        }
    }

    /// Kills all machines at once, and starts them again on their disks after half a second.
    fn kill_and_restart_all(&mut self) {
        self.nodes.iter_mut().for_each(|node| *node = None);
        self.frames.clear();
        self.run(500 * MS);
        for machine in 0..MACHINES {
            self.start(machine, machine as u64 + 1);
        }
    }

    fn report(&mut self, machine: usize, request_id: u64, report: WorkerReport) {
        self.step(machine, Event::ReportWithAck { request_id, report });
    }

    /// Returns whether a report was accepted, and when it was answered.
    fn answer(&self, request_id: u64) -> Option<(bool, Micros)> {
        let answers = |acknowledgement: &&Acknowledgement| acknowledgement.request_id == request_id;
        self.acknowledgements.iter().find(answers).map(|answer| (answer.is_accepted, answer.at))
    }

    /// Returns the fronts that may send requests to a worker.
    fn fronts_using(&self, worker_id: &str) -> Vec<usize> {
        (CORES..MACHINES).filter(|front| self.workers[*front].iter().any(|known| known == worker_id)).collect()
    }

    /// Returns the running fronts that may send requests to a worker.
    fn running_fronts_using(&self, worker_id: &str) -> Vec<usize> {
        self.fronts_using(worker_id).into_iter().filter(|front| self.nodes[*front].is_some()).collect()
    }

    /// Returns the machine of the pool's first home node in zone z1, by a core's knowledge.
    fn home_node(&self, core: usize) -> usize {
        let node = self.nodes[core].as_ref().expect("it runs");
        let home = node.dissemination.peers.home_nodes("p", "z1", self.now)[0];
        let is_home = |machine: &usize| self.nodes[*machine].as_ref().is_some_and(|node| node.settings.node_id == home);
        (0..MACHINES).find(is_home).expect("a home node")
    }
}

#[test]
fn a_new_worker_is_known_everywhere_soon() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    assert_eq!(net.answer(1), Some((true, net.now)), "a report is acknowledged at once");
    net.run(150 * MS);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
    for seq in 2..6 {
        net.run(1_200 * MS);
        net.report(1, seq, report("a", seq));
    }
    net.run(4_200 * MS);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES, "two reports may be lost");
    net.run(400 * MS);
    assert_eq!(net.fronts_using("a").len(), 0, "and no more");
}

#[test]
fn an_acknowledged_removal_is_known_in_time_whichever_node_is_lost() {
    type Fault = fn(&mut Net);
    fn kill(net: &mut Net, machine: usize) {
        net.nodes[machine] = None;
    }
    let cases: [(&str, Fault, Fault, Micros); 8] = [
        ("nothing is lost", |_| {}, |_| {}, 50 * MS),
        ("the core dies", |_| {}, |net| kill(net, 0), 50 * MS),
        ("the core is cut off", |_| {}, |net| net.cut_off.push(0), 50 * MS),
        (
            "the home node dies with it",
            |_| {},
            |net| {
                let home = net.home_node(1);
                kill(net, home);
                kill(net, 0);
            },
            50 * MS,
        ),
        (
            "a home node was dead",
            |net| {
                let home = net.home_node(0);
                kill(net, home);
            },
            |net| kill(net, 0),
            700 * MS,
        ),
        ("another core was dead", |net| kill(net, 1), |net| kill(net, 0), 700 * MS),
        ("a front was dead", |net| kill(net, 5), |net| net.cut_off.push(0), 700 * MS),
        // The front was unreachable until the first core was lost.
        (
            "a front comes back in contact",
            |net| net.cut_off.push(7),
            |net| {
                kill(net, 0);
                net.cut_off.clear();
            },
            700 * MS,
        ),
    ];
    for (name, before, after, deadline) in cases {
        for removal in [drain("a", 2), leave("a", 2), WorkerReport::removal("a", 1)] {
            let mut net = Net::new();
            net.report(0, 1, report("a", 1));
            net.run(500 * MS);
            assert_eq!(net.fronts_using("a").len(), MACHINES - CORES, "{name}");
            before(&mut net);
            let reported_at = net.now;
            net.report(0, 2, removal);
            while net.answer(2).is_none() && net.now < reported_at + 2 * SEC {
                net.run(MS);
            }
            let (is_accepted, answered_at) = net.answer(2).unwrap_or_else(|| panic!("{name}: no answer"));
            let waited = answered_at - reported_at;
            assert!(is_accepted && waited <= deadline, "{name}: {is_accepted} after {waited}");
            after(&mut net);
            net.run(1_500 * MS);
            let remaining = net.running_fronts_using("a");
            assert!(remaining.is_empty(), "{name}: {remaining:?} still send to it");
            net.report(2, 3, report("a", 1));
            net.run(500 * MS);
            let remaining = net.running_fronts_using("a");
            assert!(remaining.is_empty(), "{name}: a late report revives it at {remaining:?}");
            net.run(12 * SEC);
            let is_spreading = |node: &&Node| !node.dissemination.workers.removals.is_empty();
            let spreading = net.nodes.iter().flatten().filter(is_spreading).count();
            assert_eq!(spreading, 0, "{name}: nothing is spread for ever");
        }
    }
}

#[test]
fn a_late_report_revives_no_removed_worker_after_all_machines_lost_power() {
    for (name, removal) in [("drain", drain("a", 5)), ("removal", leave("a", 5)), ("id", WorkerReport::removal("a", 1))]
    {
        for reported_to in [0, CORES] {
            let mut net = Net::new();
            net.report(0, 1, report("a", 4));
            net.run(500 * MS);
            net.report(reported_to, 2, removal.clone());
            while net.answer(2).is_none() {
                net.run(MS);
            }
            assert_eq!(net.answer(2).map(|answer| answer.0), Some(true), "{name} to {reported_to}");
            net.kill_and_restart_all();
            net.run(2 * SEC);
            for machine in 0..CORES {
                net.report(machine, 10 + machine as u64, unnumbered("a", 3));
                net.run(200 * MS);
                let revived = net.running_fronts_using("a");
                assert!(revived.is_empty(), "{name} to {reported_to}: a late report revives it at {revived:?}");
            }
            net.run(40 * SEC);
            let kept = net.disks.iter().filter(|disk| !disk.removals.is_empty()).count();
            assert_eq!(kept, 0, "{name} to {reported_to}: no removal is kept for ever");
        }
    }
}

#[test]
fn no_removal_is_acknowledged_that_a_majority_does_not_have_on_disk() {
    for reported_to in [0, CORES] {
        let mut net = Net::new();
        net.report(0, 1, report("a", 1));
        net.run(500 * MS);
        net.stalled_disks = vec![1, 2];
        net.report(reported_to, 2, drain("a", 2));
        net.run(950 * MS);
        assert_eq!(net.answer(2).map(|answer| answer.0), Some(false), "reported to {reported_to}");
    }
}

#[test]
fn a_worker_that_returned_to_service_serves_after_all_machines_lost_power() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    net.run(500 * MS);
    net.report(0, 2, leave("a", 2));
    net.run(SEC);
    net.report(0, 3, WorkerReport { incarnation: 2, ..report("a", 3) });
    net.run(1_500 * MS);
    net.kill_and_restart_all();
    net.run(2 * SEC);
    net.report(0, 4, unnumbered("a", 4));
    net.run(500 * MS);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
}

#[test]
fn no_removal_is_acknowledged_that_no_other_core_knows() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    net.run(500 * MS);
    net.cut_off.push(0);
    net.report(0, 2, drain("a", 2));
    net.run(950 * MS);
    assert_eq!(net.answer(2).map(|answer| answer.0), Some(false), "within a second the worker is redirected");
    net.report(1, 3, drain("a", 2));
    net.run(700 * MS);
    assert_eq!(net.answer(3).map(|answer| answer.0), Some(true));
    assert_eq!(net.fronts_using("a").len(), 0);
    net.run(4 * SEC);
    net.report(0, 4, report("b", 1));
    assert_eq!(net.answer(4).map(|answer| answer.0), Some(false), "a core that is cut off accepts no reports");
}

#[test]
fn a_drain_reported_again_is_not_spread_again() {
    let mut net = Net::new();
    net.report(0, 1, drain("a", 1));
    net.run(100 * MS);
    let started = |net: &Net| net.nodes.iter().flatten().map(|node| node.counters.removals_started).sum::<u64>();
    let before = started(&net);
    for seq in 2..6 {
        net.report(usize::try_from(seq).unwrap_or(0) % 3, seq, drain("a", seq));
        assert_eq!(net.answer(seq), Some((true, net.now)));
        net.run(100 * MS);
    }
    assert_eq!(started(&net), before);
}

#[test]
fn no_worker_times_out_while_all_cores_are_down() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    net.run(SEC);
    for core in 0..CORES {
        net.nodes[core] = None;
    }
    net.run(4 * SEC);
    for core in 0..CORES {
        net.start(core, core as u64 + 1);
    }
    for _ in 0..10 {
        net.run(200 * MS);
        assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
    }
    net.report(0, 2, report("a", 2));
    net.run(SEC);
    assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
    net.run(5 * SEC);
    assert_eq!(net.fronts_using("a").len(), 0, "once cores are back its silence counts");
}

#[test]
fn a_front_that_joins_knows_all_workers_soon() {
    let mut net = Net::new();
    net.report(0, 1, report("a", 1));
    net.run(SEC);
    net.start(4, 77);
    let started_at = net.now;
    let complete_at = |net: &Net| net.nodes[4].as_ref().and_then(|node| node.dissemination.workers.complete_at);
    while complete_at(&net).is_none() && net.now < started_at + 5 * SEC {
        net.run(25 * MS);
    }
    let waited = complete_at(&net).map(|complete_at| complete_at - started_at);
    assert!(waited.is_some_and(|waited| waited < 1_500 * MS), "{waited:?}");
    net.run(25 * MS);
    assert!(net.fronts_using("a").contains(&4));
}

fn unnumbered(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport { incarnation: UNKNOWN_INCARNATION, ..report(worker_id, seq) }
}

fn unnumbered_elsewhere(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport { addr: "10.0.0.7:80".into(), ..unnumbered(worker_id, seq) }
}

/// An id that reappears with a lower sequence number is a new incarnation once the known one has timed out. An
/// incarnation that drained or left by its own report stays out of service until it is removed from the table.
#[test]
fn an_id_whose_sequence_starts_over_is_another_incarnation() {
    type MakeReport = fn(&str, u64) -> WorkerReport;
    let bare_leave: MakeReport = |worker_id, _| WorkerReport::removal(worker_id, UNKNOWN_INCARNATION);
    let drains: MakeReport = |worker_id, seq| WorkerReport { draining: true, ..unnumbered(worker_id, seq) };
    // The last report, with number 50; the pause before the id starts over; the first report after that and its number;
    // whether that report is accepted and the worker is sent requests.
    let cases: [(&str, MakeReport, Micros, MakeReport, u64, bool); 11] = [
        ("at once, at the same address", unnumbered, 200 * MS, unnumbered, 1, false),
        ("at once, elsewhere", unnumbered, 200 * MS, unnumbered_elsewhere, 1, false),
        ("after the silence", unnumbered, 5 * SEC, unnumbered, 1, true),
        ("after the silence, elsewhere", unnumbered, 5 * SEC, unnumbered_elsewhere, 1, true),
        ("with a number that goes on", unnumbered, 200 * MS, unnumbered, 51, true),
        ("the same number again", unnumbered, 200 * MS, unnumbered, 50, true),
        ("after a drain, too soon", drains, 6 * SEC, unnumbered, 1, false),
        ("after a drain, forgotten", drains, 33 * SEC, unnumbered, 1, true),
        ("after it left, too soon", bare_leave, 6 * SEC, unnumbered, 1, false),
        ("after it left, with a higher number", bare_leave, 6 * SEC, unnumbered, 90, false),
        ("after it left, forgotten", bare_leave, 33 * SEC, unnumbered_elsewhere, 1, true),
    ];
    for (name, last_report, pause, first_report, seq, is_accepted) in cases {
        let mut net = Net::new();
        net.report(0, 1, unnumbered("a", 49));
        net.run(300 * MS);
        net.report(1, 2, last_report("a", 50));
        net.run(pause);
        // At the core that received the last report, and at another core.
        for (core, request_id) in [(1, 10), (2, 11)] {
            net.report(core, request_id, first_report("a", seq + request_id - 10));
            net.run(900 * MS);
            let answer = net.answer(request_id).map(|answer| answer.0);
            assert_eq!(answer, Some(is_accepted), "{name}, reported to {core}");
        }
        let expected = if is_accepted { MACHINES - CORES } else { 0 };
        let is_known_still = name.starts_with("at once");
        let fronts = net.fronts_using("a");
        assert!(is_known_still || fronts.len() == expected, "{name}: {fronts:?} send to it");
        if !is_accepted {
            continue;
        }
        // The accepted incarnation behaves as any other: it drains, and its removal is final.
        net.report(0, 20, drains("a", seq + 5));
        net.run(700 * MS);
        assert_eq!(net.answer(20).map(|answer| answer.0), Some(true), "{name}");
        assert_eq!(net.fronts_using("a").len(), 0, "{name}: it drains");
        net.report(2, 21, bare_leave("a", 0));
        net.run(700 * MS);
        net.report(1, 22, unnumbered("a", seq + 6));
        net.run(700 * MS);
        assert_eq!(
            net.answer(22).map(|answer| answer.0),
            Some(false),
            "{name}: a late report of an incarnation that left"
        );
        assert_eq!(net.fronts_using("a").len(), 0, "{name}: it left");
    }
}

/// A worker that restarts quickly under the same id returns to service once the former incarnation has timed out.
#[test]
fn a_worker_that_restarts_under_its_id_returns_to_service_soon() {
    for first_report in [unnumbered, unnumbered_elsewhere] {
        let mut net = Net::new();
        net.report(0, 1, unnumbered("a", 500));
        net.run(500 * MS);
        let restarted_at = net.now;
        let is_back = |net: &Net| {
            let front = net.nodes[5].as_ref();
            let known = front.and_then(|node| node.dissemination.workers.entries.get("a"));
            known.is_some_and(|entry| entry.report.seq < 100)
        };
        for seq in 1..9 {
            net.report(usize::try_from(seq % 3).unwrap_or(0), 10 + seq, first_report("a", seq));
            net.run(1_200 * MS);
            if is_back(&net) {
                break;
            }
        }
        let waited = net.now - restarted_at;
        assert!(is_back(&net) && waited <= 6 * SEC, "after {} ms", waited / MS);
        assert_eq!(net.fronts_using("a").len(), MACHINES - CORES);
    }
}
