//! A few cores in one test: frames arrive at once, disks sync at once unless they are stuck.

#![allow(dead_code)]

#[path = "../nodes/mod.rs"]
mod nodes;

use nodes::{FLEET, addr, core_at, me};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, SEC};
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Frame, LogEntry, Message, Voter};

const TICK: Micros = 25 * MS;

/// The core with this node id at the address of the machine with the same number.
pub fn core(n: u64) -> Voter {
    core_at(n, index(n))
}

pub fn address(machine: u64) -> String {
    addr(index(machine))
}

fn index(machine: u64) -> usize {
    usize::try_from(machine).expect("machines have small numbers")
}

pub fn decree(version: u64, since: u64, old: &[u64], cores: &[u64]) -> LogEntry {
    let all = |v: &[u64]| v.iter().map(|n| core(*n)).collect::<Vec<_>>();
    let (old, cores) = (all(old), all(cores));
    LogEntry {
        version,
        change_id: ChangeId(version),
        fleet_id: FLEET,
        voters_since: since,
        previous_voters: old,
        voters: cores,
        revision: 0,
        body: "{}".into(),
        patch: None,
        compressed: Vec::new(),
    }
}

/// What is on a disk that holds these versions, and the set that was taken over there.
pub fn kept(node_id: u64, decrees: &[LogEntry], ready: Option<u64>) -> DurableState {
    let decrees = decrees.iter().map(|d| (d.version, d.clone())).collect();
    DurableState { node_id: NodeId(node_id), entries: decrees, ready_set: ready, ..DurableState::default() }
}

#[derive(Default)]
struct Machine {
    node: Option<Node>,
    kept: DurableState,
    life: u64,
    unsynced: VecDeque<(u64, Vec<DurableWrite>)>,
}

/// Machines by number, with what is under way between them.
pub struct Fleet {
    pub now: Micros,
    pub auto: bool,
    /// Machines whose disks sync nothing.
    pub stuck: BTreeSet<u64>,
    /// All frames that were sent, by machine.
    pub sent: Vec<(u64, Frame)>,
    machines: BTreeMap<u64, Machine>,
    mail: VecDeque<(u64, String, Frame)>,
    cuts: BTreeSet<(u64, u64)>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            now: 100 * SEC,
            auto: true,
            stuck: BTreeSet::new(),
            sent: Vec::new(),
            machines: BTreeMap::new(),
            mail: VecDeque::new(),
            cuts: BTreeSet::new(),
        }
    }
}

impl Fleet {
    pub fn start(&mut self, n: u64, kept: DurableState) {
        self.start_at(n, n, kept);
    }

    /// Starts a core with this node id on a machine.
    pub fn start_at(&mut self, node_id: u64, machine: u64, kept: DurableState) {
        let life = self.machines.get(&machine).map_or(0, |m| m.life) + 1;
        let me = NodeSettings {
            node_id: NodeId(node_id),
            zone: format!("z{machine}"),
            seeds: (1..4).map(address).collect(),
            is_core: true,
            may_bootstrap: false,
            manages_voters: self.auto,
            report_interval: 500 * MS,
            reports_to_cores_only: false,
            ..me(index(machine), 0, life)
        };
        let node = Node::new(me, &kept, node_id * 1_000 + life, self.now);
        self.machines.insert(machine, Machine { node: Some(node), kept, life, unsynced: VecDeque::new() });
    }

    /// The process ends and begins anew with what was synced.
    pub fn restart(&mut self, machine: u64) {
        let kept = self.kept(machine).clone();
        self.start_at(kept.node_id.0, machine, kept);
    }

    pub fn stop(&mut self, machine: u64) {
        if let Some(m) = self.machines.get_mut(&machine) {
            m.node = None;
            m.unsynced.clear();
        }
    }

    pub fn node(&self, machine: u64) -> &Node {
        self.machines[&machine].node.as_ref().expect("it runs")
    }

    pub fn kept(&self, machine: u64) -> &DurableState {
        &self.machines[&machine].kept
    }

    /// Nothing passes between these and those any more.
    pub fn part(&mut self, these: &[u64], those: &[u64]) {
        for a in these {
            for b in those {
                self.cuts.insert((*a, *b));
                self.cuts.insert((*b, *a));
            }
        }
    }

    /// A frame from one core's node to a machine, whatever is cut, and all that follows.
    pub fn tell(&mut self, from: u64, machine: u64, msg: Message) {
        self.tell_late(from, machine, msg, 0);
    }

    /// The same with a frame that was under way for so much longer than others.
    pub fn tell_late(&mut self, from: u64, machine: u64, msg: Message, late: Micros) {
        let sent = self.now - late;
        let frame = Frame {
            from: NodeId(from),
            to: NodeId::default(),
            incarnation: 1,
            fleet_id: FLEET,
            sent_at: sent,
            message: msg,
        };
        let effects = self.step(machine, Event::Frame(Box::new(frame)));
        self.carry(machine, effects);
        self.deliver();
    }

    pub fn step(&mut self, machine: u64, e: Event) -> Vec<Effect> {
        let now = self.now;
        let Some(m) = self.machines.get_mut(&machine) else { return Vec::new() };
        m.node.as_mut().map(|n| n.step(e, now)).unwrap_or_default()
    }

    pub fn carry(&mut self, machine: u64, effects: Vec<Effect>) {
        for e in effects {
            match e {
                Effect::Send { to, frame } => {
                    self.sent.push((machine, (*frame).clone()));
                    self.mail.push_back((machine, to, *frame));
                }
                Effect::Write { token, writes: ops } => {
                    if let Some(m) = self.machines.get_mut(&machine) {
                        m.unsynced.push_back((token, ops));
                    }
                }
                _ => {}
            }
        }
    }

    /// What disks that are not stuck have taken in is synced.
    fn sync(&mut self) -> bool {
        let all: Vec<u64> = self.machines.keys().copied().filter(|n| !self.stuck.contains(n)).collect();
        let mut any = false;
        for n in all {
            let Some(m) = self.machines.get_mut(&n) else { continue };
            let Some((token, ops)) = m.unsynced.pop_front() else { continue };
            ops.iter().for_each(|o| m.kept.apply(o));
            any = true;
            let effects = self.step(n, Event::Synced(token));
            self.carry(n, effects);
        }
        any
    }

    fn deliver(&mut self) {
        loop {
            if let Some((from, to, frame)) = self.mail.pop_front() {
                let at = self.machines.keys().copied().find(|n| address(*n) == to);
                if let Some(n) = at.filter(|n| !self.cuts.contains(&(from, *n))) {
                    let effects = self.step(n, Event::Frame(Box::new(frame)));
                    self.carry(n, effects);
                }
            } else if !self.sync() {
                return;
            }
        }
    }

    pub fn run(&mut self, span: Micros) {
        self.run_until(span, |_| false);
    }

    /// Runs until this holds; how long that took, or nothing if it did not hold in time.
    pub fn run_until(&mut self, most: Micros, holds: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let begin = self.now;
        while self.now < begin + most {
            if holds(self) {
                return Some(self.now - begin);
            }
            self.now += TICK;
            self.deliver();
            for n in self.machines.keys().copied().collect::<Vec<_>>() {
                let effects = self.step(n, Event::Tick);
                self.carry(n, effects);
            }
            self.deliver();
        }
        holds(self).then_some(most)
    }
}
