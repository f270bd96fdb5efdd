//! One machine of a model: the core's own node, its clock, and a disk that syncs when told to.

use std::sync::Arc;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId, SEC, hash64};
use sumacvale_core::consensus::{DurableState, DurableWrite};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings, Scope, digest_of};
use sumacvale_core::protocol::{ChangeOutcome, Frame, LogEntry, Voter};

/// The machines that vote at the start; the ones after them are spares.
pub const VOTERS: usize = 3;
/// All nodes start at this time of their clocks.
pub const BIRTH: Micros = 100 * SEC;

/// A write that the node was not told of as synced.
pub type Write = (u64, Vec<DurableWrite>);

#[derive(Clone)]
pub struct Machine {
    pub index: usize,
    pub node: Arc<Node>,
    pub kept: Arc<DurableState>,
    pub unsynced: Arc<Vec<Write>>,
    /// How many lives this machine had.
    pub life: u64,
    /// How many disks it had; each gives a node of its own.
    pub disk: u64,
    role: Role,
    digest: u64,
}

/// What a machine is in each of its lives.
#[derive(Clone, Copy, Debug)]
struct Role {
    /// It has a disk; the others are fronts.
    core: bool,
    /// It sees to the set of voters itself.
    auto: bool,
    /// It may take part in founding a fleet.
    first: bool,
}

/// What a step of a machine gives to the world around it.
#[derive(Default)]
pub struct Given {
    pub frames: Vec<(usize, Frame)>,
    pub answers: Vec<(u64, ChangeOutcome)>,
}

pub fn address(index: usize) -> String {
    format!("n{index}")
}

pub fn node_id(index: usize, disk: u64) -> NodeId {
    NodeId((index as u64 + 1) << 48 | disk)
}

pub fn core(index: usize) -> Voter {
    Voter { node_id: node_id(index, 0), addr: address(index) }
}

pub fn document(revision: u64, name: &str) -> String {
    format!("{{\"revision\":{revision},\"pools\":{{\"{name}\":{{}}}}}}")
}

pub fn change_id(body: &str) -> ChangeId {
    ChangeId(hash64(body.as_bytes()).max(1))
}

/// What the disk of a machine holds in a fleet that was founded with so many voters.
fn founded(index: usize, voters: usize, body: &str) -> DurableState {
    let cores: Vec<_> = (0..voters).map(core).collect();
    let founded = LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: 7,
        voters_since: 0,
        previous_voters: vec![],
        voters: cores,
        body: body.into(),
        revision: 0,
        patch: None,
        compressed: Vec::new(),
    };
    let ready = (index < voters).then_some(0);
    let mut kept = DurableState { ready_set: ready, node_id: node_id(index, 0), ..DurableState::default() };
    kept.entries.insert(0, founded);
    kept
}

impl Machine {
    /// A machine of a fleet that was founded long ago: voters and spares hold version 0.
    pub fn new(index: usize, auto: bool) -> Self {
        Machine::with_configuration(index, auto, "{}")
    }

    /// The same where version 0 has this configuration.
    pub fn with_configuration(index: usize, auto: bool, body: &str) -> Self {
        let role = Role { core: true, auto, first: false };
        Machine::start(index, founded(index, VOTERS, body), role, (1, 0), BIRTH)
    }

    /// A machine of a fleet of so many cores, which all vote; the machines after them are fronts.
    pub fn core_or_front(index: usize, cores: usize, body: &str) -> Self {
        let role = Role { core: index < cores, auto: false, first: false };
        Machine::start(index, founded(index, cores, body), role, (1, 0), BIRTH)
    }

    /// A machine with an empty disk, which takes part in founding a fleet.
    pub fn unfounded(index: usize) -> Self {
        let kept = DurableState { node_id: node_id(index, 0), ..DurableState::default() };
        Machine::start(index, kept, Role { core: true, auto: false, first: true }, (1, 0), BIRTH)
    }

    fn start(index: usize, kept: DurableState, role: Role, (life, disk): (u64, u64), now: Micros) -> Self {
        let me = NodeSettings {
            node_id: kept.node_id,
            incarnation: life,
            addr: address(index),
            admin: String::new(),
            zone: format!("z{}", index % 3),
            seeds: (0..VOTERS).map(address).collect(),
            is_core: role.core,
            config_reader: sumacvale_core::config::validate,
            may_bootstrap: role.first,
            manages_voters: role.auto,
            tolerated_losses: 1,
            report_interval: 500 * MS,
            reports_to_cores_only: false,
        };
        let seed = 1_000 * index as u64 + 10 * life + disk;
        let node = Node::new(me, &kept, seed, now);
        let mut m = Machine {
            index,
            node: Arc::new(node),
            kept: Arc::new(kept),
            unsynced: Arc::default(),
            life,
            disk,
            role,
            digest: 0,
        };
        m.seal(Scope::Agreement);
        m
    }

    /// Its process ends and starts anew. Of what was not synced the first `landed` writes are kept.
    pub fn restart(&self, landed: usize, now: Micros) -> Self {
        let mut kept = (*self.kept).clone();
        for (_, ops) in self.unsynced.iter().take(landed) {
            ops.iter().for_each(|o| kept.apply(o));
        }
        Machine::start(self.index, kept, self.role, (self.life + 1, self.disk), now)
    }

    /// Its disk is lost: an empty one comes, with a node of another id.
    pub fn wipe(&self, now: Micros) -> Self {
        let disk = self.disk + 1;
        let kept = DurableState { node_id: node_id(self.index, disk), ..DurableState::default() };
        Machine::start(self.index, kept, self.role, (self.life + 1, disk), now)
    }

    /// The node of this machine alone: what its slices of quotas hold is copied as well.
    pub fn node_mut(&mut self) -> &mut Node {
        let node = Arc::make_mut(&mut self.node);
        Arc::make_mut(&mut node.quota.slices);
        node
    }

    /// Steps the node; what it writes waits for a sync.
    pub fn step(&mut self, event: Event, now: Micros, given: &mut Given) {
        let effects = self.node_mut().step(event, now);
        for effect in effects {
            match effect {
                Effect::Send { to, frame } => {
                    let index = to.strip_prefix('n').and_then(|i| i.parse().ok());
                    given.frames.extend(index.map(|i| (i, *frame)));
                }
                Effect::Write { token, writes: ops } => Arc::make_mut(&mut self.unsynced).push((token, ops)),
                Effect::CompleteChange { request_id: req, outcome: fate } => given.answers.push((req, fate)),
                Effect::Reconnect { .. }
                | Effect::AcknowledgeReport { .. }
                | Effect::Publish(_)
                | Effect::WakeTenant { .. } => {}
            }
        }
    }

    /// All that was written lands, and the node hears of it, until nothing is left to write.
    pub fn sync(&mut self, now: Micros, given: &mut Given) {
        while let Some(token) = self.unsynced.last().map(|w| w.0) {
            let kept = Arc::make_mut(&mut self.kept);
            for (_, ops) in std::mem::take(&mut self.unsynced).iter() {
                ops.iter().for_each(|o| kept.apply(o));
            }
            self.step(Event::Synced(token), now, given);
        }
    }

    /// What was written so far lands, and the node hears of it; what it writes then waits.
    pub fn sync_once(&mut self, now: Micros, given: &mut Given) {
        let Some(token) = self.unsynced.last().map(|w| w.0) else { return };
        let kept = Arc::make_mut(&mut self.kept);
        for (_, ops) in std::mem::take(&mut self.unsynced).iter() {
            ops.iter().for_each(|o| kept.apply(o));
        }
        self.step(Event::Synced(token), now, given);
    }

    /// The digest of what is on its disk or on the way there.
    pub fn digest_of_disk(&self) -> u64 {
        let writes: Vec<_> = self.unsynced.iter().map(|w| &w.1).collect();
        digest_of(&(&*self.kept, writes, self.life, self.disk))
    }

    /// Fixes the digest after a change.
    pub fn seal(&mut self, scope: Scope) {
        self.digest = digest_of(&(self.node.digest(scope), self.digest_of_disk()));
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }
}
