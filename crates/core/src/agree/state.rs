//! The state of agreement on one node.

use super::{Digests, Kept, Known, Patches, trim_history};
use crate::base::{ChangeId, Micros, NodeId, Version};
use crate::peer::{Ballot, Change, Core, Decree, Digest, Fate};
use std::collections::{BTreeMap, BTreeSet};

/// Whether those who answered are more than half of these cores.
pub fn majority(cs: &[Core], got: &BTreeSet<NodeId>) -> bool {
    let n = cs.iter().filter(|c| got.contains(&c.node_id)).count();
    n * 2 > cs.len()
}

/// How far a ballot has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Prepare,
    Accept,
}

/// One ballot that this core runs.
#[derive(Clone, Debug)]
pub struct Proposal {
    pub instance: Version,
    pub ballot: Ballot,
    pub phase: Phase,
    pub answered: BTreeSet<NodeId>,
    pub highest_accepted: Option<(Ballot, Decree)>,
    pub value: Option<Decree>,
    pub due: Micros,
}

/// A change that somebody waits for.
#[derive(Clone, Debug)]
pub struct PendingChange {
    pub from: Asker,
    pub change_id: ChangeId,
    pub fresh: bool,
    pub base: Version,
    pub change: Change,
    pub due: Micros,
    pub sent: bool,
    pub won: Option<Version>,
}

impl PendingChange {
    /// Whether this core alone was given the change and has told nobody of it: a front may
    /// have handed what it forwards to another core too.
    pub fn unheard_of(&self) -> bool {
        self.fresh && !self.sent && !matches!(self.from, Asker::Peer { .. })
    }

    /// A change of the cores waits until the one before it is taken over.
    pub fn moves(&self) -> bool {
        matches!(self.change, Change::Cores(_))
    }
}

/// Who waits to hear what becomes of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    Here(u64),
    Peer {
        node_id: NodeId,
        n: u64,
    },
    /// The cores themselves.
    Own,
}

/// What a node knows of the agreed versions, and a core's own vote.
#[derive(Clone, Debug, Default)]
pub struct Agree {
    /// The newest versions, whole.
    pub history: BTreeMap<Version, Decree>,
    /// All versions of a day and more, without their bodies.
    pub digests: Digests,
    /// The newest version as it goes to who holds none before it, made when it is first asked for.
    alone: Option<Decree>,
    /// The newest versions that came as patches, one after the other up to the newest of all.
    pub patches: Patches,
    pub pledge: Vec<Core>,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Decree)>,
    pub accepted_at: Micros,
    pub proposal: Option<Proposal>,
    pub rest: Micros,
    /// Another proposer's ballot for the next version is under way: until then none is begun here.
    pub yields_until: Micros,
    pub round: u64,
    pub pending_changes: Vec<PendingChange>,
    pub have: BTreeMap<NodeId, Version>,
    /// The set whose grants each core has taken over.
    pub ready: BTreeMap<NodeId, Version>,
}

impl Agree {
    /// The state after a start, by what the disk holds.
    pub fn new(k: &Kept) -> Self {
        let version = k.decrees.keys().next_back().copied();
        let live = |v: Version| version.is_some_and(|n| v == n + 1);
        let mut digests = k.digests.clone();
        // Folders of earlier releases hold no digests.
        digests.extend(k.decrees.values().map(Digest::of).filter(|d| k.digests.get(d.version).is_none()));
        Agree {
            history: k.decrees.clone(),
            digests,
            pledge: k.pledge.clone(),
            promised: k.promised.filter(|p| live(p.0)).map(|p| p.1).unwrap_or_default(),
            accepted: k.accepted.clone().filter(|a| live(a.1.version)),
            ..Agree::default()
        }
    }

    /// The newest version that is held.
    pub fn last(&self) -> Option<&Decree> {
        self.history.values().next_back()
    }

    /// The newest version for one who holds none before it.
    pub fn last_alone(&mut self) -> Option<Decree> {
        let version = self.version()?;
        if self.alone.as_ref().is_none_or(|d| d.version != version) {
            self.alone = self.last().map(|d| if d.patch.is_some() { d.packed_alone() } else { d.alone() });
        }
        self.alone.clone()
    }

    /// Its number.
    pub fn version(&self) -> Option<Version> {
        self.last().map(|d| d.version)
    }

    /// The voters that it names.
    pub fn cores(&self) -> &[Core] {
        self.last().map_or(&[], |d| &d.cores)
    }

    /// Whether it names this node as a voter.
    pub fn votes(&self, node_id: NodeId) -> bool {
        self.cores().iter().any(|c| c.node_id == node_id)
    }

    /// Takes a decided version in; whatever was voted for it is over.
    pub fn take(&mut self, d: Decree) -> bool {
        if self.version().is_some_and(|v| v >= d.version) {
            return false;
        }
        self.digests.extend([Digest::of(&d)]);
        self.alone = None;
        self.patches.lead_to(&d);
        self.history.insert(d.version, d);
        trim_history(&mut self.history);
        self.promised = Ballot::default();
        self.accepted = None;
        self.proposal = None;
        self.yields_until = 0;
        true
    }

    /// This version whole, made from the one before it where it came as a patch; none where that
    /// one is not held.
    pub fn restore(&self, d: Decree) -> Option<Decree> {
        let d = d.unpacked()?;
        if !d.is_stripped() {
            return Some(d);
        }
        let same = |a: &&Decree| a.version == d.version && a.change_id == d.change_id && a.patch == d.patch;
        if let Some(accepted) = self.accepted.as_ref().map(|a| &a.1).filter(same) {
            return Some(Decree { body: accepted.body.clone(), ..d });
        }
        let before = self.history.get(&d.version.checked_sub(1)?)?;
        d.restored(before)
    }

    /// A node that answers no orders keeps the newest version alone.
    pub fn forget_old(&mut self) {
        while self.history.len() > 1 {
            self.history.pop_first();
        }
        self.digests = Digests::default();
    }

    /// What became of a change, as far as it is known here.
    pub fn known(&self, change_id: ChangeId, change: &Change) -> Known {
        self.digests.find(change_id, change)
    }

    /// Whether another change is known to stand in the one place that was open to this one.
    /// The change itself must have been looked for first.
    pub fn passed(&self, change: &Change, base: u64) -> bool {
        let place = match change {
            Change::Doc(_) | Change::Patch(_) => self.digests.after_revision(base),
            _ => self.digests.after_version(base),
        };
        place.is_some()
    }

    /// Takes in a version that was skipped; it changes nothing that is in force.
    pub fn fill(&mut self, d: &Decree) -> bool {
        if self.history.contains_key(&d.version) {
            return false;
        }
        let fresh = self.digests.extend([Digest::of(d)]);
        self.history.insert(d.version, d.clone());
        trim_history(&mut self.history);
        !fresh.is_empty() || self.history.contains_key(&d.version)
    }

    /// What can be said of a change by its id alone.
    pub fn fate(&self, change_id: ChangeId) -> Option<Fate> {
        self.digests.with_id(change_id).next().map(|d| Fate::Done { version: d.version })
    }
}
