//! A simulated network of three cores and six fronts in three zones, and the reports of workers.

#![allow(dead_code)]

use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, SEC};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Frame, LogEntry, UNKNOWN_INCARNATION, Voter, WorkerReport};

/// Returns a report of a worker in service, of incarnation 1.
pub fn report(worker_id: &str, seq: u64) -> WorkerReport {
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

/// Returns a report of a worker that drains.
pub fn drain(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport { draining: true, ..report(worker_id, seq) }
}

/// Returns a report of a worker that has left.
pub fn leave(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport { removed: true, ..report(worker_id, seq) }
}

/// Returns a report of a worker that does not number its incarnations.
pub fn unnumbered(worker_id: &str, seq: u64) -> WorkerReport {
    WorkerReport { incarnation: UNKNOWN_INCARNATION, ..report(worker_id, seq) }
}

/// A simulated network of a few nodes; each frame arrives after a millisecond.
pub struct Net {
    /// The virtual time, in microseconds.
    pub now: Micros,
    /// The running node of each machine, if any; the cores come first.
    pub nodes: Vec<Option<Node>>,
    /// The synced state of each machine's disk; fronts write nothing.
    pub disks: Vec<DurableState>,
    /// The machines whose disks sync nothing.
    pub stalled_disks: Vec<usize>,
    /// Frames in flight, by arrival time and number.
    frames: BTreeMap<(Micros, u64), InFlightFrame>,
    /// Partitioned machines, all of whose frames are lost.
    pub cut_off: Vec<usize>,
    /// Pairs of machines that lose all frames to each other.
    pub cut_links: Vec<(usize, usize)>,
    frame_number: u64,
    acknowledgements: Vec<Acknowledgement>,
    /// The ids of the workers that each machine may send requests to.
    pub workers: Vec<Vec<String>>,
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

/// The number of cores.
pub const CORES: usize = 3;
/// The number of machines.
pub const MACHINES: usize = 9;

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
    /// Starts all machines with ids from 1 on, and runs until they know each other.
    pub fn new() -> Self {
        let mut net = Net {
            now: SEC,
            nodes: (0..MACHINES).map(|_| None).collect(),
            disks: (0..MACHINES)
                .map(|machine| if machine < CORES { core_disk() } else { DurableState::default() })
                .collect(),
            stalled_disks: Vec::new(),
            frames: BTreeMap::new(),
            cut_off: Vec::new(),
            cut_links: Vec::new(),
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

    /// Starts a node on a machine, from the synced state of its disk.
    pub fn start(&mut self, machine: usize, node_id: u64) {
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

    /// Runs for a span of virtual time, in microseconds.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.frames.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let InFlightFrame { from, to, frame } = entry.remove();
                if self.are_connected(from, to) {
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

    fn are_connected(&self, from: usize, to: usize) -> bool {
        let is_cut_off = self.cut_off.contains(&from) || self.cut_off.contains(&to);
        let is_link_cut = self.cut_links.contains(&(from, to)) || self.cut_links.contains(&(to, from));
        !is_cut_off && !is_link_cut
    }

    /// Kills all machines at once, and starts them again on their disks after half a second.
    pub fn kill_and_restart_all(&mut self) {
        self.kill_and_restart(0..MACHINES);
    }

    /// Kills machines at once, and starts them again on their disks after half a second.
    pub fn kill_and_restart(&mut self, machines: std::ops::Range<usize>) {
        for machine in machines.clone() {
            self.kill(machine);
        }
        self.run(500 * MS);
        for machine in machines {
            self.start(machine, machine as u64 + 1);
        }
    }

    /// Kills the node of a machine. Frames that it sent or that were sent to it are lost.
    pub fn kill(&mut self, machine: usize) {
        self.nodes[machine] = None;
        self.frames.retain(|_, in_flight| in_flight.from != machine && in_flight.to != machine);
    }

    /// Kills the node of a machine and starts another one there at once, with an empty disk.
    pub fn replace(&mut self, machine: usize, node_id: u64) {
        self.kill(machine);
        self.disks[machine] = DurableState::default();
        self.start(machine, node_id);
    }

    /// Reports a worker, and runs until the report is answered. Returns whether it was accepted.
    pub fn report_and_wait(&mut self, machine: usize, request_id: u64, report: WorkerReport) -> bool {
        let reported_at = self.now;
        self.report(machine, request_id, report);
        while self.answer(request_id).is_none() && self.now < reported_at + 2 * SEC {
            self.run(MS);
        }
        self.answer(request_id).is_some_and(|answer| answer.0)
    }

    /// Reports a worker to a machine; the answer is kept under the number of the request.
    pub fn report(&mut self, machine: usize, request_id: u64, report: WorkerReport) {
        self.step(machine, Event::ReportWithAck { request_id, report });
    }

    /// Returns whether a report was accepted, and when it was answered.
    pub fn answer(&self, request_id: u64) -> Option<(bool, Micros)> {
        let answers = |acknowledgement: &&Acknowledgement| acknowledgement.request_id == request_id;
        self.acknowledgements.iter().find(answers).map(|answer| (answer.is_accepted, answer.at))
    }

    /// Returns the fronts that may send requests to a worker.
    pub fn fronts_using(&self, worker_id: &str) -> Vec<usize> {
        (CORES..MACHINES).filter(|front| self.workers[*front].iter().any(|known| known == worker_id)).collect()
    }

    /// Returns the running fronts that may send requests to a worker.
    pub fn running_fronts_using(&self, worker_id: &str) -> Vec<usize> {
        self.fronts_using(worker_id).into_iter().filter(|front| self.nodes[*front].is_some()).collect()
    }

    /// Returns the machine of the pool's first home node in zone z1, by a core's knowledge.
    pub fn home_node(&self, core: usize) -> usize {
        let node = self.nodes[core].as_ref().expect("it runs");
        let home = node.dissemination.peers.home_nodes("p", "z1", self.now)[0];
        let is_home = |machine: &usize| self.nodes[*machine].as_ref().is_some_and(|node| node.settings.node_id == home);
        (0..MACHINES).find(is_home).expect("a home node")
    }
}
