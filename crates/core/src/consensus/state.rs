//! The state of agreement on one node.

use super::{ChangeStatus, DigestLog, DurableState, PatchChain, trim_history};
use crate::base::{ChangeId, Micros, NodeId, Version};
use crate::protocol::{Ballot, Change, ChangeOutcome, EntryDigest, LogEntry, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// Whether those who answered are more than half of these cores.
pub fn is_majority(cs: &[Voter], got: &BTreeSet<NodeId>) -> bool {
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
    pub highest_accepted: Option<(Ballot, LogEntry)>,
    pub value: Option<LogEntry>,
    pub deadline: Micros,
}

/// A change that somebody waits for.
#[derive(Clone, Debug)]
pub struct PendingChange {
    pub requester: Requester,
    pub change_id: ChangeId,
    pub is_first_send: bool,
    pub base: Version,
    pub change: Change,
    pub deadline: Micros,
    pub was_proposed: bool,
    pub decided_version: Option<Version>,
}

impl PendingChange {
    /// Whether this core alone was given the change and has told nobody of it: a front may
    /// have handed what it forwards to another core too.
    pub fn is_known_here_alone(&self) -> bool {
        self.is_first_send && !self.was_proposed && !matches!(self.requester, Requester::Peer { .. })
    }

    /// A change of the cores waits until the one before it is taken over.
    pub fn changes_voters(&self) -> bool {
        matches!(self.change, Change::Voters(_))
    }
}

/// Who waits to hear what becomes of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    Local(u64),
    Peer {
        node_id: NodeId,
        request_id: u64,
    },
    /// The cores themselves.
    Internal,
}

/// What a node knows of the agreed versions, and a core's own vote.
#[derive(Clone, Debug, Default)]
pub struct ConsensusState {
    /// The newest versions, whole.
    pub history: BTreeMap<Version, LogEntry>,
    /// All versions of a day and more, without their bodies.
    pub digests: DigestLog,
    /// The newest version as it goes to who holds none before it, made when it is first asked for.
    newest_self_contained: Option<LogEntry>,
    /// The newest versions that came as patches, one after the other up to the newest of all.
    pub patch_chain: PatchChain,
    pub bootstrap_vote: Vec<Voter>,
    pub promised_ballot: Ballot,
    pub accepted: Option<(Ballot, LogEntry)>,
    pub accepted_at: Micros,
    pub proposal: Option<Proposal>,
    pub backoff_until: Micros,
    /// Another proposer's ballot for the next version is under way: until then none is begun here.
    pub yields_until: Micros,
    pub ballot_number: u64,
    pub pending_changes: Vec<PendingChange>,
    pub synced_versions: BTreeMap<NodeId, Version>,
    /// The set whose grants each core has taken over.
    pub ready_sets: BTreeMap<NodeId, Version>,
}

impl ConsensusState {
    /// The state after a start, by what the disk holds.
    pub fn new(k: &DurableState) -> Self {
        let version = k.entries.keys().next_back().copied();
        let live = |v: Version| version.is_some_and(|n| v == n + 1);
        let mut digests = k.digests.clone();
        // Folders of earlier releases hold no digests.
        digests.insert_all(k.entries.values().map(EntryDigest::of).filter(|d| k.digests.get(d.version).is_none()));
        ConsensusState {
            history: k.entries.clone(),
            digests,
            bootstrap_vote: k.bootstrap_vote.clone(),
            promised_ballot: k.promised.filter(|p| live(p.0)).map(|p| p.1).unwrap_or_default(),
            accepted: k.accepted.clone().filter(|a| live(a.1.version)),
            ..ConsensusState::default()
        }
    }

    /// The newest version that is held.
    pub fn newest(&self) -> Option<&LogEntry> {
        self.history.values().next_back()
    }

    /// The newest version for one who holds none before it.
    pub fn newest_self_contained(&mut self) -> Option<LogEntry> {
        let version = self.version()?;
        if self.newest_self_contained.as_ref().is_none_or(|d| d.version != version) {
            self.newest_self_contained = self
                .newest()
                .map(|d| if d.patch.is_some() { d.self_contained_compressed() } else { d.self_contained() });
        }
        self.newest_self_contained.clone()
    }

    /// Its number.
    pub fn version(&self) -> Option<Version> {
        self.newest().map(|d| d.version)
    }

    /// The voters that it names.
    pub fn voters(&self) -> &[Voter] {
        self.newest().map_or(&[], |d| &d.voters)
    }

    /// Whether it names this node as a voter.
    pub fn is_voter(&self, node_id: NodeId) -> bool {
        self.voters().iter().any(|c| c.node_id == node_id)
    }

    /// Takes a decided version in; whatever was voted for it is over.
    pub fn apply(&mut self, d: LogEntry) -> bool {
        if self.version().is_some_and(|v| v >= d.version) {
            return false;
        }
        self.digests.insert_all([EntryDigest::of(&d)]);
        self.newest_self_contained = None;
        self.patch_chain.append(&d);
        self.history.insert(d.version, d);
        trim_history(&mut self.history);
        self.promised_ballot = Ballot::default();
        self.accepted = None;
        self.proposal = None;
        self.yields_until = 0;
        true
    }

    /// This version whole, made from the one before it where it came as a patch; none where that
    /// one is not held.
    pub fn restore_body(&self, d: LogEntry) -> Option<LogEntry> {
        let d = d.decompress()?;
        if !d.lacks_body() {
            return Some(d);
        }
        let same = |a: &&LogEntry| a.version == d.version && a.change_id == d.change_id && a.patch == d.patch;
        if let Some(accepted) = self.accepted.as_ref().map(|a| &a.1).filter(same) {
            return Some(LogEntry { body: accepted.body.clone(), ..d });
        }
        let before = self.history.get(&d.version.checked_sub(1)?)?;
        d.with_body_from(before)
    }

    /// A node that answers no orders keeps the newest version alone.
    pub fn drop_history(&mut self) {
        while self.history.len() > 1 {
            self.history.pop_first();
        }
        self.digests = DigestLog::default();
    }

    /// What became of a change, as far as it is known here.
    pub fn change_status(&self, change_id: ChangeId, change: &Change) -> ChangeStatus {
        self.digests.status_of(change_id, change)
    }

    /// Whether another change is known to stand in the one place that was open to this one.
    /// The change itself must have been looked for first.
    pub fn is_superseded(&self, change: &Change, base: u64) -> bool {
        let place = match change {
            Change::Document(_) | Change::Patch(_) => self.digests.after_revision(base),
            _ => self.digests.after_version(base),
        };
        place.is_some()
    }

    /// Takes in a version that was skipped; it changes nothing that is in force.
    pub fn backfill(&mut self, d: &LogEntry) -> bool {
        if self.history.contains_key(&d.version) {
            return false;
        }
        let fresh = self.digests.insert_all([EntryDigest::of(d)]);
        self.history.insert(d.version, d.clone());
        trim_history(&mut self.history);
        !fresh.is_empty() || self.history.contains_key(&d.version)
    }

    /// What can be said of a change by its id alone.
    pub fn outcome_of(&self, change_id: ChangeId) -> Option<ChangeOutcome> {
        self.digests.with_id(change_id).next().map(|d| ChangeOutcome::Committed { version: d.version })
    }
}
