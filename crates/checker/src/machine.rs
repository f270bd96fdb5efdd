//! One machine of a model: the core's own [`Node`] and a disk that syncs when the model says so.
//!
//! A machine outlives its processes: [`Machine::restart`] ends one with any part of its unsynced writes, and
//! [`Machine::wipe`] loses the disk too, which gives a node with another identifier.

use crate::frames::AddressedFrame;
use std::sync::Arc;
use sumacvale_core::base::{ChangeId, Incarnation, MS, Micros, NodeId, SEC, hash64};
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings, Scope, digest_of};
use sumacvale_core::protocol::{ChangeOutcome, LogEntry, Voter};

/// The machines that vote at the start; the ones after them are spares.
pub const VOTERS: usize = 3;
/// All nodes start at this time of their clocks, in microseconds.
pub const STARTED_AT: Micros = 100 * SEC;
/// The identifier of the fleet that was founded before the exploration.
pub const FLEET_ID: u64 = 7;

/// How often nodes send reports, in microseconds.
const REPORT_INTERVAL: Micros = 500 * MS;

/// A write that is not synced yet.
#[derive(Clone, Debug)]
pub struct UnsyncedWrite {
    /// Names the write to the node once it is synced.
    token: u64,
    writes: Vec<DurableWrite>,
}

/// One machine of a model.
#[derive(Clone)]
pub struct Machine {
    /// Its index in the model.
    pub index: usize,
    /// The node that runs on it.
    pub node: Arc<Node>,
    /// What is synced to its disk.
    pub durable: Arc<DurableState>,
    /// The writes that are not synced, oldest first.
    pub unsynced: Arc<Vec<UnsyncedWrite>>,
    /// How many processes ran on this machine.
    incarnation: Incarnation,
    /// How many disks this machine has lost; each disk gives a node of its own.
    lost_disks: u64,
    kind: MachineKind,
    /// The digest of the state as of the last [`Machine::seal`].
    digest: u64,
}

/// What a machine is in each of its incarnations.
#[derive(Clone, Copy, Debug)]
struct MachineKind {
    /// It has a disk; the others are fronts.
    is_core: bool,
    /// It proposes changes of the set of voters by itself.
    manages_voters: bool,
    /// It may take part in the bootstrap of a fleet.
    may_bootstrap: bool,
}

/// The outcome of a change that was submitted to a machine.
#[derive(Clone, Debug)]
pub struct CompletedChange {
    /// The identifier of the request that submitted the change.
    pub request_id: u64,
    /// What became of it.
    pub outcome: ChangeOutcome,
}

/// What the steps of a machine emitted.
#[derive(Default)]
pub struct StepOutput {
    /// The frames that it sent.
    pub frames: Vec<AddressedFrame>,
    /// The changes that it completed.
    pub completed: Vec<CompletedChange>,
}

/// The address of a machine.
#[must_use]
pub fn address(index: usize) -> String {
    format!("n{index}")
}

/// The index of the machine at an address.
fn index_of(address: &str) -> Option<usize> {
    address.strip_prefix('n')?.parse().ok()
}

/// The identifier of the node on a machine that has lost so many disks.
#[must_use]
pub fn node_id(index: usize, lost_disks: u64) -> NodeId {
    NodeId((index as u64 + 1) << 48 | lost_disks)
}

/// A machine with its first disk as a voter.
#[must_use]
pub fn voter(index: usize) -> Voter {
    Voter { node_id: node_id(index, 0), addr: address(index) }
}

/// A configuration document with one pool.
#[must_use]
pub fn document(revision: u64, pool: &str) -> String {
    format!("{{\"revision\":{revision},\"pools\":{{\"{pool}\":{{}}}}}}")
}

/// The identifier of a change, from its text.
#[must_use]
pub fn change_id(text: &str) -> ChangeId {
    ChangeId(hash64(text.as_bytes()).max(1))
}

/// What the disk of a machine holds in a fleet that was founded with so many voters.
fn founded_state(index: usize, voters: usize, body: &str) -> DurableState {
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
    /// A machine of a fleet that was founded long ago: voters and spares hold version 0.
    #[must_use]
    pub fn new(index: usize, manages_voters: bool) -> Self {
        Machine::with_configuration(index, manages_voters, "{}")
    }

    /// The same where version 0 has this configuration.
    #[must_use]
    pub fn with_configuration(index: usize, manages_voters: bool, body: &str) -> Self {
        let kind = MachineKind { is_core: true, manages_voters, may_bootstrap: false };
        Machine::start(index, founded_state(index, VOTERS, body), kind, 1, 0, STARTED_AT)
    }

    /// A machine of a fleet of so many cores, which all vote; the machines after them are fronts.
    #[must_use]
    pub fn core_or_front(index: usize, cores: usize, body: &str) -> Self {
        let kind = MachineKind { is_core: index < cores, manages_voters: false, may_bootstrap: false };
        Machine::start(index, founded_state(index, cores, body), kind, 1, 0, STARTED_AT)
    }

    /// A machine with an empty disk, which takes part in the bootstrap of a fleet.
    #[must_use]
    pub fn unfounded(index: usize) -> Self {
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
        machine.seal(Scope::Agreement);
        machine
    }

    /// Ends the process and starts the next one. Of the unsynced writes the first `landed` are on the disk.
    #[must_use]
    pub fn restart(&self, landed: usize, now: Micros) -> Self {
        let mut durable = (*self.durable).clone();
        apply_all(&mut durable, self.unsynced.iter().take(landed));
        Machine::start(self.index, durable, self.kind, self.incarnation + 1, self.lost_disks, now)
    }

    /// Loses the disk: an empty one comes, with a node of another identifier.
    #[must_use]
    pub fn wipe(&self, now: Micros) -> Self {
        let lost_disks = self.lost_disks + 1;
        let durable = DurableState { node_id: node_id(self.index, lost_disks), ..DurableState::default() };
        Machine::start(self.index, durable, self.kind, self.incarnation + 1, lost_disks, now)
    }

    /// The node of this state alone: what its slices of quotas hold is copied as well.
    pub fn node_mut(&mut self) -> &mut Node {
        let node = Arc::make_mut(&mut self.node);
        Arc::make_mut(&mut node.quota.slices);
        node
    }

    /// Steps the node; what it writes waits for a sync.
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

    /// Syncs until nothing is left to write.
    pub fn sync(&mut self, now: Micros, output: &mut StepOutput) {
        while self.sync_once(now, output) {}
    }

    /// Syncs what was written so far and reports it to the node; what that writes waits. Returns whether
    /// there was anything to sync.
    pub fn sync_once(&mut self, now: Micros, output: &mut StepOutput) -> bool {
        let Some(token) = self.unsynced.last().map(|write| write.token) else { return false };
        let landed = std::mem::take(&mut self.unsynced);
        apply_all(Arc::make_mut(&mut self.durable), landed.iter());
        self.step(Event::Synced(token), now, output);
        true
    }

    /// The digest of what is on the disk or on the way there.
    #[must_use]
    pub fn disk_digest(&self) -> u64 {
        let writes: Vec<_> = self.unsynced.iter().map(|write| &write.writes).collect();
        digest_of(&(&*self.durable, writes, self.incarnation, self.lost_disks))
    }

    /// Updates the digest after a change.
    pub fn seal(&mut self, scope: Scope) {
        self.digest = digest_of(&(self.node.digest(scope), self.disk_digest()));
    }

    /// The digest as of the last [`Machine::seal`].
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
            admin: String::new(),
            zone: format!("z{}", index % 3),
            seeds: (0..VOTERS).map(address).collect(),
            is_core: self.is_core,
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: self.may_bootstrap,
            manages_voters: self.manages_voters,
            tolerated_losses: 1,
            report_interval: REPORT_INTERVAL,
            reports_to_cores_only: false,
        }
    }
}

fn apply_all<'a>(durable: &mut DurableState, landed: impl Iterator<Item = &'a UnsyncedWrite>) {
    for write in landed.flat_map(|unsynced| &unsynced.writes) {
        durable.apply(write);
    }
}
