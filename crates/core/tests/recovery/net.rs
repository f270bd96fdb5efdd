//! A fleet of three cores and six fronts in virtual time, with links that may lose frames.

use crate::nodes::{addr, core, founding_disk, node_settings};
use std::collections::{BTreeMap, BTreeSet};
use sumacvale_core::base::{MS, Micros, NodeId, SEC, sha256_hex};
use sumacvale_core::config::Rate;
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::Frame;

/// The number of cores; their indices are `0..CORES`.
pub const CORES: usize = 3;
/// The number of all nodes; the fronts have the indices `CORES..ALL`.
pub const ALL: usize = 9;
/// The number of tenants.
pub const TENANTS: usize = 6;
/// The rate limit of each tenant, in thousandths of units.
pub const RATE: Rate = Rate { milli_per_second: 40_000, burst_milli: 40_000 };
/// The downtime of a machine that lost power, in microseconds.
pub const DOWNTIME: Micros = 600 * MS;

/// The state on the disk of a core that belongs to the fleet, with the quotas of all tenants.
pub fn durable_state(core_index: usize) -> DurableState {
    let key = |tenant_number: usize| sha256_hex(&tenant_number.to_le_bytes());
    let tenant = |tenant_number: usize| {
        format!(
            "\"t{tenant_number}\":{{\"keys\":[\"sha256:{}\"],\"quota\":{{\"rate\":40,\"burst\":40}}}}",
            key(tenant_number)
        )
    };
    let tenants: Vec<_> = (0..TENANTS).map(tenant).collect();
    let body = format!("{{\"pools\":{{\"p\":{{}}}},\"matches\":{{}},\"tenants\":{{{}}}}}", tenants.join(","));
    DurableState { node_id: core(core_index).node_id, ..founding_disk(CORES, body, 0) }
}

/// Nodes in virtual time, connected by links that may lose frames.
pub struct Net {
    /// The virtual time, in microseconds.
    pub now: Micros,
    /// The running nodes; none for a machine that is down.
    pub nodes: Vec<Option<Node>>,
    /// The state on the disk of each core.
    pub disks: Vec<DurableState>,
    /// The incarnation that was assigned last; incarnations are unique among all nodes.
    pub incarnations: u64,
    /// The number of sent frames.
    pub sent: u64,
    /// The frames in transit with their senders and receivers, by the time of arrival and the order of sending.
    pub in_transit: BTreeMap<(Micros, u64), (usize, usize, Frame)>,
    /// The incarnation of the target to which each connection was opened. The first frames that are written to a
    /// connection of an earlier incarnation are lost.
    pub connections: BTreeMap<(usize, usize), u64>,
    /// The time for which a connection loses frames after its target lost power, counted from the first lost
    /// frame; without it only the first frame is lost.
    pub connection_timeout: Option<Micros>,
    /// When each connection to a target that lost power lost its first frame.
    pub losing_frames_since: BTreeMap<(usize, usize), Micros>,
    /// Decides whether a frame is lost, by the time, the sender and the receiver.
    pub is_lost: Box<dyn FnMut(Micros, usize, usize) -> bool>,
    /// Paused nodes, which receive the frames sent to them meanwhile once they resume.
    pub paused: BTreeSet<usize>,
    /// The frames for paused nodes, with their senders and receivers.
    held_back: Vec<(usize, usize, Frame)>,
    /// Nodes that receive no frames.
    pub inbound_blocked: BTreeSet<usize>,
    /// Nodes whose frames are lost.
    pub outbound_blocked: BTreeSet<usize>,
}

impl Net {
    /// Starts all nodes; `is_lost` decides by the time, the sender and the receiver whether a frame is lost.
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
            losing_frames_since: BTreeMap::new(),
            is_lost: Box::new(is_lost),
            paused: BTreeSet::new(),
            held_back: Vec::new(),
            inbound_blocked: BTreeSet::new(),
            outbound_blocked: BTreeSet::new(),
        };
        for index in 0..ALL {
            net.start(index);
        }
        net
    }

    /// Starts the node of a machine, with a new incarnation.
    pub fn start(&mut self, index: usize) {
        self.incarnations += 1;
        // The connections that the earlier incarnation had opened were closed when it ended.
        self.connections.retain(|(from, _), _| *from != index);
        self.losing_frames_since.retain(|(from, _), _| *from != index);
        let is_core = index < CORES;
        let node_id = if is_core { core(index).node_id } else { NodeId(1_000 + self.incarnations) };
        let settings = NodeSettings { node_id, may_bootstrap: false, ..node_settings(index, CORES, self.incarnations) };
        let durable = if is_core { self.disks[index].clone() } else { DurableState::default() };
        self.nodes[index] = Some(Node::new(settings, &durable, self.incarnations, self.now));
    }

    /// Steps a node and carries out the effects; writes are synced at once.
    pub fn step(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes[index].as_mut() else { return };
        for effect in node.step(event, now) {
            match effect {
                Effect::Send { to, frame } => {
                    let Some(target) = (0..ALL).find(|target| addr(*target) == to) else { continue };
                    self.sent += 1;
                    self.in_transit.insert((now + MS, self.sent), (index, target, *frame));
                }
                Effect::Reconnect { to } => {
                    let Some(target) = (0..ALL).find(|target| addr(*target) == to) else { continue };
                    self.connections.remove(&(index, target));
                    self.losing_frames_since.remove(&(index, target));
                }
                Effect::Write { token, writes } => {
                    for write in &writes {
                        self.disks[index].apply(write);
                    }
                    self.step(index, Event::Synced(token));
                }
                _ => {}
            }
        }
    }

    /// Returns whether a frame that was sent now arrives. A frame on a connection to an earlier incarnation is lost.
    pub fn arrives(&mut self, from: usize, to: usize) -> bool {
        if let Some(timeout) = self.connection_timeout {
            let incarnation = self.nodes[to].as_ref().map(|node| node.settings.incarnation);
            if self.connections.get(&(from, to)).is_some_and(|connected| Some(*connected) != incarnation) {
                let since = *self.losing_frames_since.entry((from, to)).or_insert(self.now);
                if self.now < since + timeout {
                    return false;
                }
                self.connections.remove(&(from, to));
                self.losing_frames_since.remove(&(from, to));
            }
        }
        let Some(incarnation) = self.nodes[to].as_ref().map(|node| node.settings.incarnation) else { return false };
        let former = self.connections.insert((from, to), incarnation);
        former.is_none_or(|former| former == incarnation) && !(self.is_lost)(self.now, from, to)
    }

    /// Runs all nodes for a span of virtual time, in microseconds.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (from, to, frame) = entry.remove();
                if self.outbound_blocked.contains(&from) || self.inbound_blocked.contains(&to) {
                    continue;
                }
                if self.paused.contains(&to) {
                    self.held_back.push((from, to, frame));
                } else if self.arrives(from, to) {
                    self.step(to, Event::Frame(Box::new(frame)));
                }
            }
            let now = self.now;
            for index in (0..ALL).filter(|index| (now / MS + 7 * *index as u64).is_multiple_of(25)) {
                if !self.paused.contains(&index) {
                    self.step(index, Event::Tick);
                }
            }
        }
    }

    /// Resumes a paused node, which receives the frames sent to it meanwhile.
    pub fn resume(&mut self, index: usize) {
        self.paused.remove(&index);
        let (received, held_back): (Vec<_>, _) =
            std::mem::take(&mut self.held_back).into_iter().partition(|(_, to, _)| *to == index);
        self.held_back = held_back;
        for (from, to, frame) in received {
            if self.arrives(from, to) {
                self.step(to, Event::Frame(Box::new(frame)));
            }
        }
    }

    /// Returns the nodes whose configuration is not fresh, so that they would reject every call.
    pub fn not_fresh(&self) -> Vec<usize> {
        (0..ALL).filter(|index| self.nodes[*index].as_ref().is_none_or(|node| !node.is_fresh(self.now))).collect()
    }

    /// Returns the nodes that don't know all other nodes.
    pub fn with_missing_peers(&self) -> Vec<usize> {
        let live_peers = |node: &Node| node.dissemination.peers.live(self.now).count();
        (0..ALL).filter(|index| self.nodes[*index].as_ref().is_none_or(|node| live_peers(node) < ALL)).collect()
    }
}
