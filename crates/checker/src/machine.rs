//! One machine of a model: the core's own [`Node`] and a simulated disk that syncs under the model's control.
//!
//! A machine outlives its processes: [`Machine::restart`] crashes a process and keeps any prefix of its unsynced
//! writes; [`Machine::wipe`] loses the disk too, and the new node has another identifier.

use crate::frames::AddressedFrame;
use std::sync::Arc;
use sumacvale_core::base::{ChangeId, Incarnation, MS, Micros, NodeId, SEC, hash64};
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings, Scope, digest_of};
use sumacvale_core::protocol::{ChangeOutcome, LogEntry, Voter};

/// The number of initial voters; the machines after them are spares.
pub const VOTERS: usize = 3;
/// The initial time of all clocks, in microseconds.
pub const STARTED_AT: Micros = 100 * SEC;
/// The identifier of the fleet that was bootstrapped before the exploration.
pub const FLEET_ID: u64 = 7;

/// The interval between two reports of a node, in microseconds.
const REPORT_INTERVAL: Micros = 500 * MS;

/// A write that is not synced yet.
#[derive(Clone, Debug)]
pub struct UnsyncedWrite {
    /// Identifies the write in [`Event::Synced`].
    token: u64,
    writes: Vec<DurableWrite>,
}

/// A machine of a model: its node, its disk and its unsynced writes.
#[derive(Clone)]
pub struct Machine {
    /// The index of the machine in the model.
    pub index: usize,
    /// The node that runs on the machine.
    pub node: Arc<Node>,
    /// The state that is synced to the disk.
    pub durable: Arc<DurableState>,
    /// The writes that are not synced, oldest first.
    pub unsynced: Arc<Vec<UnsyncedWrite>>,
    /// The number of processes started on this machine.
    incarnation: Incarnation,
    /// The number of disks that this machine has lost. Each disk belongs to a node with its own identifier.
    lost_disks: u64,
    kind: MachineKind,
    /// The cached digest of the state as of the last [`Machine::update_digest`].
    digest: u64,
}

/// The role of a machine, which is the same in all incarnations.
#[derive(Clone, Copy, Debug)]
struct MachineKind {
    /// True for a core, which has a disk; false for a front.
    is_core: bool,
    /// True if the node proposes changes of the set of voters by itself.
    manages_voters: bool,
    /// True if the node may take part in the bootstrap of a fleet.
    may_bootstrap: bool,
}

/// The outcome of a change that was submitted to a machine.
#[derive(Clone, Debug)]
pub struct CompletedChange {
    /// The identifier of the request that submitted the change.
    pub request_id: u64,
    /// The outcome of the change.
    pub outcome: ChangeOutcome,
}

/// The frames and outcomes that the steps of a machine emitted.
#[derive(Default)]
pub struct StepOutput {
    /// The frames that the machine sent.
    pub frames: Vec<AddressedFrame>,
    /// The changes that the machine completed.
    pub completed: Vec<CompletedChange>,
}

/// Returns the address of a machine.
#[must_use]
pub fn address(index: usize) -> String {
    format!("n{index}")
}

/// Parses the index of a machine from its address.
fn index_of(address: &str) -> Option<usize> {
    address.strip_prefix('n')?.parse().ok()
}

/// Returns the identifier of the node on a machine that has lost `lost_disks` disks.
#[must_use]
pub fn node_id(index: usize, lost_disks: u64) -> NodeId {
    NodeId((index as u64 + 1) << 48 | lost_disks)
}

/// Returns the voter for a machine that still has its first disk.
#[must_use]
pub fn voter(index: usize) -> Voter {
    Voter { node_id: node_id(index, 0), addr: address(index) }
}

/// Returns a configuration document with one pool.
#[must_use]
pub fn document(revision: u64, pool: &str) -> String {
    format!("{{\"revision\":{revision},\"pools\":{{\"{pool}\":{{}}}}}}")
}

/// Derives the identifier of a change from its text.
#[must_use]
pub fn change_id(text: &str) -> ChangeId {
    ChangeId(hash64(text.as_bytes()).max(1))
}

/// Returns the disk contents of a machine in a fleet that was bootstrapped with this number of voters.
fn bootstrapped_state(index: usize, voters: usize, body: &str) -> DurableState {
    let first_entry = LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: FLEET_ID,
        voters_since: 0,
        previous_voters: vec![],
        voters: (0..voters).map(voter).collect(),
        body: body.into(),
        revision: 0,
        patch: None,
        compressed: Vec::new(),
    };
    let ready_set = (index < voters).then_some(0);
    let mut durable = DurableState { ready_set, node_id: node_id(index, 0), ..DurableState::default() };
    durable.entries.insert(0, first_entry);
    durable
}

impl Machine {
    /// Creates a core of a bootstrapped fleet: voters and spares hold version 0.
    #[must_use]
    pub fn new(index: usize, manages_voters: bool) -> Self {
        Machine::with_configuration(index, manages_voters, "{}")
    }

    /// Creates a core of a bootstrapped fleet whose version 0 has this configuration.
    #[must_use]
    pub fn with_configuration(index: usize, manages_voters: bool, body: &str) -> Self {
        let kind = MachineKind { is_core: true, manages_voters, may_bootstrap: false };
        Machine::start(index, bootstrapped_state(index, VOTERS, body), kind, 1, 0, STARTED_AT)
    }

    /// Creates a machine of a fleet in which the first `cores` machines are cores and vote; the others are fronts.
    #[must_use]
    pub fn core_or_front(index: usize, cores: usize, body: &str) -> Self {
        let kind = MachineKind { is_core: index < cores, manages_voters: false, may_bootstrap: false };
        Machine::start(index, bootstrapped_state(index, cores, body), kind, 1, 0, STARTED_AT)
    }

    /// Creates a machine with an empty disk that takes part in the bootstrap of a fleet.
    #[must_use]
    pub fn with_empty_disk(index: usize) -> Self {
        let durable = DurableState { node_id: node_id(index, 0), ..DurableState::default() };
        let kind = MachineKind { is_core: true, manages_voters: false, may_bootstrap: true };
        Machine::start(index, durable, kind, 1, 0, STARTED_AT)
    }

    fn start(
        index: usize,
        durable: DurableState,
        kind: MachineKind,
        incarnation: Incarnation,
        lost_disks: u64,
        now: Micros,
    ) -> Self {
        let seed = 1_000 * index as u64 + 10 * incarnation + lost_disks;
        let node = Node::new(kind.settings(index, durable.node_id, incarnation), &durable, seed, now);
        let mut machine = Machine {
            index,
            node: Arc::new(node),
            durable: Arc::new(durable),
            unsynced: Arc::default(),
            incarnation,
            lost_disks,
            kind,
            digest: 0,
        };
        machine.update_digest(Scope::Agreement);
        machine
    }

    /// Crashes and restarts the process. The first `landed` unsynced writes are on the disk, the others are lost.
    #[must_use]
    pub fn restart(&self, landed: usize, now: Micros) -> Self {
        let mut durable = (*self.durable).clone();
        apply_all(&mut durable, self.unsynced.iter().take(landed));
        Machine::start(self.index, durable, self.kind, self.incarnation + 1, self.lost_disks, now)
    }

    /// Replaces the disk with an empty disk and starts a node with another identifier.
    #[must_use]
    pub fn wipe(&self, now: Micros) -> Self {
        let lost_disks = self.lost_disks + 1;
        let durable = DurableState { node_id: node_id(self.index, lost_disks), ..DurableState::default() };
        Machine::start(self.index, durable, self.kind, self.incarnation + 1, lost_disks, now)
    }

    /// Returns a node that is not shared with other states. Its quota slices are copied as well.
    pub fn node_mut(&mut self) -> &mut Node {
        let node = Arc::make_mut(&mut self.node);
        Arc::make_mut(&mut node.quota.slices);
        node
    }

    /// Steps the node. Its writes stay unsynced.
    pub fn step(&mut self, event: Event, now: Micros, output: &mut StepOutput) {
        for effect in self.node_mut().step(event, now) {
            match effect {
                Effect::Send { to, frame } => {
                    output.frames.extend(index_of(&to).map(|to| AddressedFrame { to, frame: *frame }));
                }
                Effect::Write { token, writes } => {
                    Arc::make_mut(&mut self.unsynced).push(UnsyncedWrite { token, writes });
                }
                Effect::CompleteChange { request_id, outcome } => {
                    output.completed.push(CompletedChange { request_id, outcome });
                }
                Effect::Reconnect { .. }
                | Effect::AcknowledgeReport { .. }
                | Effect::Publish(_)
                | Effect::WakeTenant { .. } => {}
            }
        }
    }

    /// Syncs until no unsynced write is left.
    pub fn sync(&mut self, now: Micros, output: &mut StepOutput) {
        while self.sync_once(now, output) {}
    }

    /// Syncs all pending writes and notifies the node, whose further writes stay unsynced. Returns true if there
    /// was a write to sync.
    pub fn sync_once(&mut self, now: Micros, output: &mut StepOutput) -> bool {
        let Some(token) = self.unsynced.last().map(|write| write.token) else { return false };
        let landed = std::mem::take(&mut self.unsynced);
        apply_all(Arc::make_mut(&mut self.durable), landed.iter());
        self.step(Event::Synced(token), now, output);
        true
    }

    /// Returns the digest of the synced and unsynced writes.
    #[must_use]
    pub fn disk_digest(&self) -> u64 {
        let writes: Vec<_> = self.unsynced.iter().map(|write| &write.writes).collect();
        digest_of(&(&*self.durable, writes, self.incarnation, self.lost_disks))
    }

    /// Recomputes the cached digest after a change.
    pub fn update_digest(&mut self, scope: Scope) {
        self.digest = digest_of(&(self.node.digest(scope), self.disk_digest()));
    }

    /// Returns the digest as of the last [`Machine::update_digest`].
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

impl MachineKind {
    fn settings(self, index: usize, node_id: NodeId, incarnation: Incarnation) -> NodeSettings {
        NodeSettings {
            node_id,
            incarnation,
            addr: address(index),
            admin_addr: String::new(),
            zone: format!("z{}", index % 3),
            seeds: (0..VOTERS).map(address).collect(),
            is_core: self.is_core,
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: self.may_bootstrap,
            manages_voters: self.manages_voters,
            tolerated_losses: 1,
            report_interval: REPORT_INTERVAL,
            workers_report_to_cores_only: false,
        }
    }
}

fn apply_all<'a>(durable: &mut DurableState, landed: impl Iterator<Item = &'a UnsyncedWrite>) {
    for write in landed.flat_map(|unsynced| &unsynced.writes) {
        durable.apply(write);
    }
}
