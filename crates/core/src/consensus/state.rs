//! The state of the agreement on one node.

use super::{ChangeStatus, DigestLog, DurableState, PatchChain, trim_history};
use crate::base::{ChangeId, Micros, NodeId, Version};
use crate::protocol::{Ballot, Change, ChangeOutcome, EntryDigest, LogEntry, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// Whether these nodes include more than half of the voters.
pub fn is_majority(voters: &[Voter], nodes: &BTreeSet<NodeId>) -> bool {
    let count = voters.iter().filter(|voter| nodes.contains(&voter.node_id)).count();
    count * 2 > voters.len()
}

/// The phase of a ballot (Lamport, Paxos Made Simple, §2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Promises are collected.
    Prepare,
    /// Acceptances of the chosen value are collected.
    Accept,
}

/// A ballot that this core runs as the proposer.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The version that the ballot is for: the one after the newest version here.
    pub instance: Version,
    /// The ballot's number.
    pub ballot: Ballot,
    /// The current phase.
    pub phase: Phase,
    /// The voters that have promised or accepted in the current phase.
    pub answered: BTreeSet<NodeId>,
    /// Of the entries that promises reported as accepted, the one with the highest ballot. Only used in the
    /// prepare phase; its entry becomes the value.
    pub highest_accepted: Option<(Ballot, LogEntry)>,
    /// The entry that is proposed. Invariant: set exactly in the accept phase.
    pub value: Option<LogEntry>,
    /// When the current phase times out, in microseconds of this node's clock.
    pub deadline: Micros,
}

/// A change that waits for its decision at this core.
#[derive(Clone, Debug)]
pub struct PendingChange {
    /// Who is sent the outcome.
    pub requester: Requester,
    /// The caller's identifier of the change.
    pub change_id: ChangeId,
    /// Whether no node can have been sent this change before.
    pub is_first_send: bool,
    /// The version (for documents and patches: the revision) that the change is built on.
    pub base: Version,
    /// What is changed.
    pub change: Change,
    /// When the change times out, in microseconds of this node's clock.
    pub deadline: Micros,
    /// Whether this core has sent `Accept` for the change, so that it may be decided any time.
    pub was_proposed: bool,
    /// The version that the change became, once that is known.
    pub decided_version: Option<Version>,
}

impl PendingChange {
    /// Whether only this core was sent the change and has proposed it to nobody. A node that forwards a
    /// change may have sent it to another core too.
    pub fn is_known_here_alone(&self) -> bool {
        self.is_first_send && !self.was_proposed && !matches!(self.requester, Requester::Peer { .. })
    }

    /// Whether it is a change of the voters, which waits until the previous one is taken over.
    pub fn changes_voters(&self) -> bool {
        matches!(self.change, Change::Voters(_))
    }
}

/// Who is sent the outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// A caller at this node, by the identifier of its request.
    Local(u64),
    /// A node that forwarded the change.
    Peer {
        /// The node.
        node_id: NodeId,
        /// The identifier of the request on that node.
        request_id: u64,
    },
    /// The cores themselves: nobody is sent the outcome.
    Internal,
}

/// What a node knows of the decided versions, and its state as an acceptor and a proposer.
#[derive(Clone, Debug, Default)]
pub struct ConsensusState {
    /// The newest decided entries with their bodies, within the bounds of the history; on a node that is no
    /// core, the newest alone.
    pub history: BTreeMap<Version, LogEntry>,
    /// The digests of the versions of a day and more.
    pub digests: DigestLog,
    /// The newest entry for nodes that may hold none before it, made when it is first needed. Invariant:
    /// none, or made of the newest entry in `history`.
    newest_self_contained: Option<LogEntry>,
    /// The newest versions that came as patches, without gaps up to the newest of all.
    pub patch_chain: PatchChain,
    /// The set of first voters that this core voted for; empty if it voted for none.
    pub bootstrap_vote: Vec<Voter>,
    /// The highest ballot that this core promised for the next version. Invariant: never decreases until a
    /// newer version is applied.
    pub promised_ballot: Ballot,
    /// The entry that this core accepted for the next version, and its ballot. Invariant: the ballot is at
    /// most `promised_ballot`.
    pub accepted: Option<(Ballot, LogEntry)>,
    /// When this core first accepted an entry for the next version, in microseconds of its clock.
    pub accepted_at: Micros,
    /// The ballot that this core runs. Invariant: its instance is the version after the newest.
    pub proposal: Option<Proposal>,
    /// No ballot is started here before this moment, after one that failed.
    pub backoff_until: Micros,
    /// No ballot is started here before this moment, as another proposer's ballot is under way.
    pub yields_until: Micros,
    /// The highest ballot number that this core has used or been rejected with.
    pub ballot_number: u64,
    /// Changes that wait for their decision, in the order of their arrival.
    pub pending_changes: Vec<PendingChange>,
    /// The newest version that each node has reported as synced to its disk.
    pub synced_versions: BTreeMap<NodeId, Version>,
    /// The set of voters, named by its version, whose grants each core has taken over.
    pub ready_sets: BTreeMap<NodeId, Version>,
}

impl ConsensusState {
    /// The state after a start, from what the disk holds.
    pub fn new(durable: &DurableState) -> Self {
        let version = durable.entries.keys().next_back().copied();
        let is_next = |instance: Version| version.is_some_and(|newest| instance == newest + 1);
        let mut digests = durable.digests.clone();
        // Data folders of earlier releases hold no digests.
        let entry_digests = durable.entries.values().map(EntryDigest::of);
        digests.insert_all(entry_digests.filter(|digest| durable.digests.get(digest.version).is_none()));
        let promised = durable.promised.filter(|(instance, _)| is_next(*instance));
        ConsensusState {
            history: durable.entries.clone(),
            digests,
            bootstrap_vote: durable.bootstrap_vote.clone(),
            promised_ballot: promised.map(|(_, ballot)| ballot).unwrap_or_default(),
            accepted: durable.accepted.clone().filter(|(_, entry)| is_next(entry.version)),
            ..ConsensusState::default()
        }
    }

    /// The newest entry that this node holds.
    pub fn newest(&self) -> Option<&LogEntry> {
        self.history.values().next_back()
    }

    /// The newest entry in a form for nodes that may hold none before it.
    pub fn newest_self_contained(&mut self) -> Option<LogEntry> {
        let version = self.version()?;
        if self.newest_self_contained.as_ref().is_none_or(|entry| entry.version != version) {
            self.newest_self_contained = self.newest().map(|entry| {
                if entry.patch.is_some() { entry.self_contained_compressed() } else { entry.self_contained() }
            });
        }
        self.newest_self_contained.clone()
    }

    /// The newest version that this node holds.
    pub fn version(&self) -> Option<Version> {
        self.newest().map(|entry| entry.version)
    }

    /// The voters that the newest version names.
    pub fn voters(&self) -> &[Voter] {
        self.newest().map_or(&[], |entry| &entry.voters)
    }

    /// Whether the newest version names this node as a voter.
    pub fn is_voter(&self, node_id: NodeId) -> bool {
        self.voters().iter().any(|voter| voter.node_id == node_id)
    }

    /// Applies a decided entry if it is newer than all that are held, and returns whether it is. All votes
    /// and proposals end with it, as they are for instances up to this one.
    pub fn apply(&mut self, entry: LogEntry) -> bool {
        if self.version().is_some_and(|version| version >= entry.version) {
            return false;
        }
        self.digests.insert_all([EntryDigest::of(&entry)]);
        self.newest_self_contained = None;
        self.patch_chain.append(&entry);
        self.history.insert(entry.version, entry);
        trim_history(&mut self.history);
        self.promised_ballot = Ballot::default();
        self.accepted = None;
        self.proposal = None;
        self.yields_until = 0;
        true
    }

    /// The entry with its body, restored from the entry before it where it came as a patch; none where that
    /// one is not held.
    pub fn restore_body(&self, entry: LogEntry) -> Option<LogEntry> {
        let entry = entry.decompress()?;
        if !entry.lacks_body() {
            return Some(entry);
        }
        let is_same = |other: &&LogEntry| {
            other.version == entry.version && other.change_id == entry.change_id && other.patch == entry.patch
        };
        if let Some(accepted) = self.accepted.as_ref().map(|(_, accepted)| accepted).filter(is_same) {
            return Some(LogEntry { body: accepted.body.clone(), ..entry });
        }
        let previous = self.history.get(&entry.version.checked_sub(1)?)?;
        entry.with_body_from(previous)
    }

    /// Drops all but the newest version, on a node that is no core.
    pub fn drop_history(&mut self) {
        while self.history.len() > 1 {
            self.history.pop_first();
        }
        self.digests = DigestLog::default();
    }

    /// The status of a change, as far as it is known here.
    pub fn change_status(&self, change_id: ChangeId, change: &Change) -> ChangeStatus {
        self.digests.status_of(change_id, change)
    }

    /// Whether a change is known to have been decided in the only place that was open to this one. The
    /// caller must have ruled out before that it is this change itself.
    pub fn is_superseded(&self, change: &Change, base: u64) -> bool {
        let successor = match change {
            Change::Document(_) | Change::Patch(_) => self.digests.after_revision(base),
            _ => self.digests.after_version(base),
        };
        successor.is_some()
    }

    /// Adds an entry that was skipped to the history and returns whether it is new; the configuration in
    /// force stays the same.
    pub fn backfill(&mut self, entry: &LogEntry) -> bool {
        if self.history.contains_key(&entry.version) {
            return false;
        }
        let inserted = self.digests.insert_all([EntryDigest::of(entry)]);
        self.history.insert(entry.version, entry.clone());
        trim_history(&mut self.history);
        !inserted.is_empty() || self.history.contains_key(&entry.version)
    }

    /// The outcome of a change by its identifier alone, as far as it is known here.
    pub fn outcome_of(&self, change_id: ChangeId) -> Option<ChangeOutcome> {
        let digest = self.digests.with_id(change_id).next()?;
        Some(ChangeOutcome::Committed { version: digest.version })
    }
}
