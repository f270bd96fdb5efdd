//! A fleet of a few cores in virtual time: frames arrive at once, and disks sync at once unless they are stalled.

#![allow(dead_code)]

#[path = "../nodes/mod.rs"]
mod nodes;

use nodes::{FLEET, addr, core_at, node_settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, SEC};
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Frame, LogEntry, Message, Voter};

/// The interval between two ticks of each node, in microseconds.
const TICK: Micros = 25 * MS;

/// Returns the core with this node ID at the address of the machine with the same number.
pub fn core(machine: u64) -> Voter {
    core_at(machine, index(machine))
}

/// Returns the address of a machine.
pub fn address(machine: u64) -> String {
    addr(index(machine))
}

fn index(machine: u64) -> usize {
    usize::try_from(machine).expect("machines have small numbers")
}

/// Creates a log entry with an empty document; `voters` are the voters since version `voters_since`, and
/// `previous_voters` the voters before that version.
pub fn log_entry(version: u64, voters_since: u64, previous_voters: &[u64], voters: &[u64]) -> LogEntry {
    let cores = |machines: &[u64]| machines.iter().map(|machine| core(*machine)).collect::<Vec<_>>();
    LogEntry {
        version,
        change_id: ChangeId(version),
        fleet_id: FLEET,
        voters_since,
        previous_voters: cores(previous_voters),
        voters: cores(voters),
        revision: 0,
        body: "{}".into(),
        patch: None,
        compressed: Vec::new(),
    }
}

/// Creates the state of a disk with these versions; `ready_set` is the set of voters whose takeover is on it.
pub fn durable_state(node_id: u64, entries: &[LogEntry], ready_set: Option<u64>) -> DurableState {
    let entries = entries.iter().map(|entry| (entry.version, entry.clone())).collect();
    DurableState { node_id: NodeId(node_id), entries, ready_set, ..DurableState::default() }
}

/// A machine with its disk and the node that runs on it.
#[derive(Default)]
struct Machine {
    /// The running node, if any.
    node: Option<Node>,
    /// The synced state of the disk.
    disk: DurableState,
    /// The incarnation of the last node that was started.
    incarnation: u64,
    /// The writes that are not synced yet, the oldest first.
    unsynced: VecDeque<UnsyncedWrite>,
}

/// The writes of one effect, and the token that reports their sync.
struct UnsyncedWrite {
    token: u64,
    writes: Vec<DurableWrite>,
}

/// A frame in transit.
struct FrameInTransit {
    from_machine: u64,
    to_address: String,
    frame: Frame,
}

/// Machines by number, and the frames in transit between them.
pub struct Fleet {
    /// The virtual time, in microseconds.
    pub now: Micros,
    /// Whether cores that are started from now on change the set of voters without an operator.
    pub manages_voters: bool,
    /// Machines whose disks are stalled: they sync no writes.
    pub stalled_disks: BTreeSet<u64>,
    /// All sent frames, each with the machine that sent it.
    pub sent: Vec<(u64, Frame)>,
    machines: BTreeMap<u64, Machine>,
    in_transit: VecDeque<FrameInTransit>,
    /// Pairs of a sending and a receiving machine between which frames are lost.
    partitions: BTreeSet<(u64, u64)>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            now: 100 * SEC,
            manages_voters: true,
            stalled_disks: BTreeSet::new(),
            sent: Vec::new(),
            machines: BTreeMap::new(),
            in_transit: VecDeque::new(),
            partitions: BTreeSet::new(),
        }
    }
}

impl Fleet {
    /// Starts a core on the machine with the same number.
    pub fn start(&mut self, machine: u64, disk: DurableState) {
        self.start_at(machine, machine, disk);
    }

    /// Starts a core with this node ID on a machine.
    pub fn start_at(&mut self, node_id: u64, machine: u64, disk: DurableState) {
        let incarnation = self.machines.get(&machine).map_or(0, |known| known.incarnation) + 1;
        let settings = NodeSettings {
            node_id: NodeId(node_id),
            zone: format!("z{machine}"),
            seeds: (1..4).map(address).collect(),
            is_core: true,
            may_bootstrap: false,
            manages_voters: self.manages_voters,
            report_interval: 500 * MS,
            workers_report_to_cores_only: false,
            ..node_settings(index(machine), 0, incarnation)
        };
        let node = Node::new(settings, &disk, node_id * 1_000 + incarnation, self.now);
        self.machines.insert(machine, Machine { node: Some(node), disk, incarnation, unsynced: VecDeque::new() });
    }

    /// Restarts the process of a machine from the synced state of its disk.
    pub fn restart(&mut self, machine: u64) {
        let disk = self.synced_state(machine).clone();
        self.start_at(disk.node_id.0, machine, disk);
    }

    /// Kills the process of a machine: writes that were not synced are lost.
    pub fn stop(&mut self, machine: u64) {
        if let Some(stopped) = self.machines.get_mut(&machine) {
            stopped.node = None;
            stopped.unsynced.clear();
        }
    }

    /// Returns the node that runs on a machine.
    pub fn node(&self, machine: u64) -> &Node {
        self.machines[&machine].node.as_ref().expect("it runs")
    }

    /// Returns the synced state of the disk of a machine.
    pub fn synced_state(&self, machine: u64) -> &DurableState {
        &self.machines[&machine].disk
    }

    /// Partitions the first machines from the second: all frames between them are lost from now on.
    pub fn partition(&mut self, first_machines: &[u64], second_machines: &[u64]) {
        for first in first_machines {
            for second in second_machines {
                self.partitions.insert((*first, *second));
                self.partitions.insert((*second, *first));
            }
        }
    }

    /// Delivers a message from a node to a machine despite partitions, and then all frames that follow from it.
    pub fn deliver_message(&mut self, from: u64, machine: u64, message: Message) {
        self.deliver_message_late(from, machine, message, 0);
    }

    /// The same for a frame that was in transit for `delay` longer than others, in microseconds.
    pub fn deliver_message_late(&mut self, from: u64, machine: u64, message: Message, delay: Micros) {
        let effects = self.step_with_message(from, machine, message, delay);
        self.apply_effects(machine, effects);
        self.deliver();
    }

    /// Delivers a message from a node to a machine despite partitions, and returns the effects without carrying them
    /// out.
    pub fn deliver_without_effects(&mut self, from: u64, machine: u64, message: Message) -> Vec<Effect> {
        self.step_with_message(from, machine, message, 0)
    }

    fn step_with_message(&mut self, from: u64, machine: u64, message: Message, delay: Micros) -> Vec<Effect> {
        let frame = Frame {
            from: NodeId(from),
            to: NodeId::default(),
            incarnation: 1,
            fleet_id: FLEET,
            sent_at: self.now - delay,
            message,
        };
        self.step(machine, Event::Frame(Box::new(frame)))
    }

    /// Steps the node of a machine and returns the effects without carrying them out.
    pub fn step(&mut self, machine: u64, event: Event) -> Vec<Effect> {
        let now = self.now;
        let Some(stepped) = self.machines.get_mut(&machine) else { return Vec::new() };
        stepped.node.as_mut().map(|node| node.step(event, now)).unwrap_or_default()
    }

    /// Carries out the effects of a step: queues frames for delivery and writes for the next sync.
    pub fn apply_effects(&mut self, machine: u64, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, frame } => {
                    self.sent.push((machine, (*frame).clone()));
                    self.in_transit.push_back(FrameInTransit { from_machine: machine, to_address: to, frame: *frame });
                }
                Effect::Write { token, writes } => {
                    if let Some(writer) = self.machines.get_mut(&machine) {
                        writer.unsynced.push_back(UnsyncedWrite { token, writes });
                    }
                }
                _ => {}
            }
        }
    }

    /// Syncs the oldest write of each disk that is not stalled, and returns whether there was any.
    fn sync(&mut self) -> bool {
        let unstalled: Vec<u64> =
            self.machines.keys().copied().filter(|machine| !self.stalled_disks.contains(machine)).collect();
        let mut has_synced = false;
        for number in unstalled {
            let Some(machine) = self.machines.get_mut(&number) else { continue };
            let Some(UnsyncedWrite { token, writes }) = machine.unsynced.pop_front() else { continue };
            for write in &writes {
                machine.disk.apply(write);
            }
            has_synced = true;
            let effects = self.step(number, Event::Synced(token));
            self.apply_effects(number, effects);
        }
        has_synced
    }

    /// Delivers frames and syncs writes until none are left, except on stalled disks.
    fn deliver(&mut self) {
        loop {
            if let Some(FrameInTransit { from_machine, to_address, frame }) = self.in_transit.pop_front() {
                let receiver = self.machines.keys().copied().find(|machine| address(*machine) == to_address);
                let is_connected = |machine: &u64| !self.partitions.contains(&(from_machine, *machine));
                if let Some(machine) = receiver.filter(is_connected) {
                    let effects = self.step(machine, Event::Frame(Box::new(frame)));
                    self.apply_effects(machine, effects);
                }
            } else if !self.sync() {
                return;
            }
        }
    }

    /// Runs for a span of virtual time, in microseconds.
    pub fn run(&mut self, span: Micros) {
        self.run_until(span, |_| false);
    }

    /// Runs until a condition holds and returns the elapsed time, or `None` if the condition did not hold within
    /// `limit`, in microseconds.
    pub fn run_until(&mut self, limit: Micros, holds: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let started_at = self.now;
        while self.now < started_at + limit {
            if holds(self) {
                return Some(self.now - started_at);
            }
            self.now += TICK;
            self.deliver();
            for machine in self.machines.keys().copied().collect::<Vec<_>>() {
                let effects = self.step(machine, Event::Tick);
                self.apply_effects(machine, effects);
            }
            self.deliver();
        }
        holds(self).then_some(limit)
    }
}
