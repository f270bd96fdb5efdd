//! A fleet of three cores and six fronts in virtual time, on links that may lose frames.

use crate::nodes::{addr, core, founded, me};
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros, NodeId, SEC, sha256_hex};
use sumacvale_core::config::Rate;
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::Frame;

pub const CORES: usize = 3;
pub const ALL: usize = 9;
pub const TENANTS: usize = 6;
/// The rate of each tenant.
pub const RATE: Rate = Rate { milli_per_second: 40_000, burst_milli: 40_000 };
/// For how long a machine that lost power is down, in microseconds.
pub const DOWNTIME: Micros = 600 * MS;

pub fn durable_state(i: usize) -> DurableState {
    let key = |t: usize| sha256_hex(&t.to_le_bytes());
    let tenant =
        |t: usize| format!("\"t{t}\":{{\"keys\":[\"sha256:{}\"],\"quota\":{{\"rate\":40,\"burst\":40}}}}", key(t));
    let tenants: Vec<_> = (0..TENANTS).map(tenant).collect();
    let body = format!("{{\"pools\":{{\"p\":{{}}}},\"matches\":{{}},\"tenants\":{{{}}}}}", tenants.join(","));
    DurableState { node_id: core(i).node_id, ..founded(CORES, body, 0) }
}

/// Nodes in virtual time, connected by links that may lose frames.
pub struct Net {
    pub now: Micros,
    pub nodes: Vec<Option<Node>>,
    /// What is on the disk of each core.
    pub disks: Vec<DurableState>,
    /// The newest incarnation of any node.
    pub incarnations: u64,
    /// How many frames were sent.
    pub sent: u64,
    /// The frames in transit, by when they arrive and in the order in which they were sent.
    pub in_transit: BTreeMap<(Micros, u64), (usize, usize, Frame)>,
    /// The incarnation of the target to which each connection was opened: the first frames that are written
    /// into a connection to a former incarnation are lost.
    pub connections: BTreeMap<(usize, usize), u64>,
    /// How long a connection loses frames, from the first one, after its target lost power; without it only
    /// the first frame is lost.
    pub connection_timeout: Option<Micros>,
    /// When each such connection lost its first frame.
    pub losing_since: BTreeMap<(usize, usize), Micros>,
    /// Whether the frame sent now from one node to another is lost.
    pub is_lost: Box<dyn FnMut(Micros, usize, usize) -> bool>,
    /// Nodes that stand still: what they are sent meanwhile arrives once they go on.
    pub frozen: BTreeSet<usize>,
    /// Frames that wait for frozen nodes, as their senders, receivers and contents.
    delayed: Vec<(usize, usize, Frame)>,
    /// Nodes that receive nothing from others.
    pub deaf: BTreeSet<usize>,
    /// Nodes whose frames reach nobody.
    pub mute: BTreeSet<usize>,
}

impl Net {
    pub fn new(is_lost: impl FnMut(Micros, usize, usize) -> bool + 'static) -> Net {
        let mut net = Net {
            now: 100 * SEC,
            nodes: (0..ALL).map(|_| None).collect(),
            disks: (0..CORES).map(durable_state).collect(),
            incarnations: 0,
            sent: 0,
            in_transit: BTreeMap::new(),
            connections: BTreeMap::new(),
            connection_timeout: None,
            losing_since: BTreeMap::new(),
            is_lost: Box::new(is_lost),
            frozen: BTreeSet::new(),
            delayed: Vec::new(),
            deaf: BTreeSet::new(),
            mute: BTreeSet::new(),
        };
        for i in 0..ALL {
            net.start(i);
        }
        net
    }

    pub fn start(&mut self, i: usize) {
        self.incarnations += 1;
        // Its own connections were closed with its former incarnation.
        self.connections.retain(|(from, _), _| *from != i);
        self.losing_since.retain(|(from, _), _| *from != i);
        let is_core = i < CORES;
        let node_id = if is_core { core(i).node_id } else { NodeId(1_000 + self.incarnations) };
        let me = NodeSettings { node_id, may_bootstrap: false, ..me(i, CORES, self.incarnations) };
        let kept = if is_core { self.disks[i].clone() } else { DurableState::default() };
        self.nodes[i] = Some(Node::new(me, &kept, self.incarnations, self.now));
    }

    pub fn step(&mut self, i: usize, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes[i].as_mut() else { return };
        for effect in node.step(event, now) {
            match effect {
                Effect::Send { to, frame } => {
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    self.sent += 1;
                    self.in_transit.insert((now + MS, self.sent), (i, j, *frame));
                }
                Effect::Reconnect { to } => {
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    self.connections.remove(&(i, j));
                    self.losing_since.remove(&(i, j));
                }
                Effect::Write { token, writes } => {
                    for write in &writes {
                        self.disks[i].apply(write);
                    }
                    self.step(i, Event::Synced(token));
                }
                _ => {}
            }
        }
    }

    /// Whether a frame arrives: one that is written into a connection to a former incarnation does not.
    pub fn arrives(&mut self, i: usize, j: usize) -> bool {
        if let Some(timeout) = self.connection_timeout {
            let incarnation = self.nodes[j].as_ref().map(|node| node.settings.incarnation);
            if self.connections.get(&(i, j)).is_some_and(|connected| Some(*connected) != incarnation) {
                let since = *self.losing_since.entry((i, j)).or_insert(self.now);
                if self.now < since + timeout {
                    return false;
                }
                self.connections.remove(&(i, j));
                self.losing_since.remove(&(i, j));
            }
        }
        let Some(incarnation) = self.nodes[j].as_ref().map(|node| node.settings.incarnation) else { return false };
        let former = self.connections.insert((i, j), incarnation);
        former.is_none_or(|former| former == incarnation) && !(self.is_lost)(self.now, i, j)
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (i, j, frame) = entry.remove();
                if self.mute.contains(&i) || self.deaf.contains(&j) {
                    continue;
                }
                if self.frozen.contains(&j) {
                    self.delayed.push((i, j, frame));
                } else if self.arrives(i, j) {
                    self.step(j, Event::Frame(Box::new(frame)));
                }
            }
            let now = self.now;
            for i in (0..ALL).filter(|i| (now / MS + 7 * *i as u64).is_multiple_of(25)) {
                if !self.frozen.contains(&i) {
                    self.step(i, Event::Tick);
                }
            }
        }
    }

    /// A frozen node goes on, with all that it was sent meanwhile.
    pub fn thaw(&mut self, i: usize) {
        self.frozen.remove(&i);
        let (thawed, delayed): (Vec<_>, _) =
            std::mem::take(&mut self.delayed).into_iter().partition(|(_, j, _)| *j == i);
        self.delayed = delayed;
        for (from, to, frame) in thawed {
            if self.arrives(from, to) {
                self.step(to, Event::Frame(Box::new(frame)));
            }
        }
    }

    /// The nodes that would reject every call.
    pub fn not_fresh(&self) -> Vec<usize> {
        (0..ALL).filter(|i| self.nodes[*i].as_ref().is_none_or(|node| !node.is_fresh(self.now))).collect()
    }

    /// The nodes that don't know all others.
    pub fn without_all_peers(&self) -> Vec<usize> {
        let live_peers = |node: &Node| node.dissemination.peers.live(self.now).count();
        (0..ALL).filter(|i| self.nodes[*i].as_ref().is_none_or(|node| live_peers(node) < ALL)).collect()
    }
}
