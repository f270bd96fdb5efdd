//! The consensus state of one node.

use super::{ChangeStatus, DigestLog, DurableState, PatchChain, trim_history};
use crate::base::{ChangeId, Micros, NodeId, Version};
use crate::protocol::{Ballot, Change, ChangeOutcome, EntryDigest, LogEntry, Voter};
use std::collections::{BTreeMap, BTreeSet};

/// Returns true if these nodes include more than half of the voters.
pub fn is_majority(voters: &[Voter], nodes: &BTreeSet<NodeId>) -> bool {
    let count = voters.iter().filter(|voter| nodes.contains(&voter.node_id)).count();
    count * 2 > voters.len()
}

/// The phase of a ballot (Lamport, Paxos Made Simple, §2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The proposer collects promises.
    Prepare,
    /// The proposer collects acceptances of its value.
    Accept,
}

/// A ballot that this core runs as the proposer.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The version that the ballot is for: the successor of this core's newest version.
    pub instance: Version,
    /// The ballot's number.
    pub ballot: Ballot,
    /// The current phase.
    pub phase: Phase,
    /// The voters that have promised or accepted in the current phase.
    pub responders: BTreeSet<NodeId>,
    /// The accepted entry with the highest ballot among those that promises reported. Only used in the
    /// prepare phase; the entry becomes the value.
    pub highest_accepted: Option<(Ballot, LogEntry)>,
    /// The proposed entry. Invariant: set if and only if the phase is `Accept`.
    pub value: Option<LogEntry>,
    /// When the current phase times out, in microseconds of this node's clock.
    pub deadline: Micros,
}

/// A change that awaits its decision at this core.
#[derive(Clone, Debug)]
pub struct PendingChange {
    /// The recipient of the outcome.
    pub requester: Requester,
    /// The caller's identifier of the change.
    pub change_id: ChangeId,
    /// True if no node can have been sent this change before.
    pub is_first_send: bool,
    /// The version (for documents and patches: the revision) that the change is built on.
    pub base: Version,
    /// What is changed.
    pub change: Change,
    /// When the change times out, in microseconds of this node's clock.
    pub deadline: Micros,
    /// True once this core has sent `Accept` for the change, which may then be decided at any time.
    pub was_proposed: bool,
    /// The version that the change became, once it is known.
    pub decided_version: Option<Version>,
}

impl PendingChange {
    /// Returns true if this core alone received the change and has not proposed it. A node that forwards a
    /// change may have sent the change to another core too.
    pub fn is_unshared(&self) -> bool {
        self.is_first_send && !self.was_proposed && !matches!(self.requester, Requester::Peer { .. })
    }

    /// Returns true for a change of the voters, which waits until the takeover to the current voters is complete.
    pub fn changes_voters(&self) -> bool {
        matches!(self.change, Change::Voters(_))
    }
}

/// The recipient of the outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// A caller at this node, with the identifier of its request.
    Local(u64),
    /// A node that forwarded the change.
    Peer {
        /// The node.
        node_id: NodeId,
        /// The identifier of the request on that node.
        request_id: u64,
    },
    /// A core itself: the outcome is sent to nobody.
    Internal,
}

/// The decided versions that a node knows, and its state as an acceptor and as a proposer.
#[derive(Clone, Debug, Default)]
pub struct ConsensusState {
    /// The newest decided entries with their bodies, within the bounds of the history; on a node that is not
    /// a core, only the newest.
    pub history: BTreeMap<Version, LogEntry>,
    /// The digests of decided versions, for more than a day of changes.
    pub digests: DigestLog,
    /// The newest entry in self-contained form, for nodes that may lack the previous version; built on first
    /// use. Invariant: `None`, or built from the newest entry in `history`; [`ConsensusState::apply`] resets it.
    newest_self_contained: Option<LogEntry>,
    /// The newest versions that came as patches, without gaps up to the newest version.
    pub patch_chain: PatchChain,
    /// The set of first voters that this core voted for; empty if it has not voted.
    pub bootstrap_vote: Vec<Voter>,
    /// The highest ballot that this core promised for the next version. Invariant: only increases until a
    /// newer version is applied, which resets it.
    pub promised_ballot: Ballot,
    /// The entry that this core accepted for the next version, and its ballot. Invariant: the ballot does not
    /// exceed `promised_ballot`.
    pub accepted: Option<(Ballot, LogEntry)>,
    /// When this core first accepted an entry for the next version, in microseconds of this core's clock.
    pub accepted_at: Micros,
    /// The ballot that this core runs as the proposer. Invariant: the instance is the successor of the newest
    /// version.
    pub proposal: Option<Proposal>,
    /// The end of the backoff after a failed ballot, in microseconds of this core's clock: this core starts no
    /// ballot before it.
    pub backoff_until: Micros,
    /// The end of the time that this core leaves to another proposer's ballot, in microseconds of this core's
    /// clock: this core starts no ballot before it.
    pub yield_until: Micros,
    /// The highest ballot number that this core has used or been rejected with.
    pub ballot_number: u64,
    /// The changes that await their decision, in the order of arrival.
    pub pending_changes: Vec<PendingChange>,
    /// The newest version that each node reported as synced to its disk.
    pub synced_versions: BTreeMap<NodeId, Version>,
    /// The set of voters, named by its version, whose grants each core has taken over.
    pub ready_sets: BTreeMap<NodeId, Version>,
}

impl ConsensusState {
    /// Restores the state at start-up from the state on disk.
    pub fn new(durable: &DurableState) -> Self {
        let version = durable.entries.keys().next_back().copied();
        let is_next = |instance: Version| version.is_some_and(|newest| instance == newest + 1);
        let mut digests = durable.digests.clone();
        // Data folders of earlier releases hold no digests.
        let entry_digests = durable.entries.values().map(EntryDigest::of);
        digests.insert_missing(entry_digests.filter(|digest| durable.digests.get(digest.version).is_none()));
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

    /// Returns the newest entry that this node holds.
    pub fn newest(&self) -> Option<&LogEntry> {
        self.history.values().next_back()
    }

    /// Returns the newest entry in self-contained form, for nodes that may lack the previous version.
    pub fn newest_self_contained(&mut self) -> Option<LogEntry> {
        let version = self.version()?;
        if self.newest_self_contained.as_ref().is_none_or(|entry| entry.version != version) {
            self.newest_self_contained = self.newest().map(|entry| {
                if entry.patch.is_some() { entry.self_contained_compressed() } else { entry.self_contained() }
            });
        }
        self.newest_self_contained.clone()
    }

    /// Returns the newest version that this node holds.
    pub fn version(&self) -> Option<Version> {
        self.newest().map(|entry| entry.version)
    }

    /// Returns the voters that the newest version names; empty if this node holds no version.
    pub fn voters(&self) -> &[Voter] {
        self.newest().map_or(&[], |entry| &entry.voters)
    }

    /// Returns true if the newest version names the node as a voter.
    pub fn is_voter(&self, node_id: NodeId) -> bool {
        self.voters().iter().any(|voter| voter.node_id == node_id)
    }

    /// Applies a decided entry if it is newer than all that this node holds, and returns whether it was applied.
    /// Resets the promise, the acceptance and the proposal, which are for instances up to this entry's.
    pub fn apply(&mut self, entry: LogEntry) -> bool {
        if self.version().is_some_and(|version| version >= entry.version) {
            return false;
        }
        self.digests.insert_missing([EntryDigest::of(&entry)]);
        self.newest_self_contained = None;
        self.patch_chain.append(&entry);
        self.history.insert(entry.version, entry);
        trim_history(&mut self.history);
        self.promised_ballot = Ballot::default();
        self.accepted = None;
        self.proposal = None;
        self.yield_until = 0;
        true
    }

    /// Returns the entry with its body, which is restored from the previous entry if the entry came as a patch.
    /// Returns `None` if this node does not hold the previous entry or the body cannot be restored.
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

    /// Drops all versions but the newest, and all digests, on a node that is not a core.
    pub fn drop_history(&mut self) {
        while self.history.len() > 1 {
            self.history.pop_first();
        }
        self.digests = DigestLog::default();
    }

    /// Returns the status of a change, as far as this node knows it.
    pub fn change_status(&self, change_id: ChangeId, change: &Change) -> ChangeStatus {
        self.digests.status_of(change_id, change)
    }

    /// Returns true if another change is known to have been decided directly after `base`, so that this one can
    /// no longer be. The caller must have ruled out that the decided change is this change itself.
    pub fn is_superseded(&self, change: &Change, base: u64) -> bool {
        let successor = match change {
            Change::Document(_) | Change::Patch(_) => self.digests.after_revision(base),
            _ => self.digests.after_version(base),
        };
        successor.is_some()
    }

    /// Adds a skipped entry to the history and returns whether the entry is new. The newest version, which is the
    /// configuration in force, stays the same.
    pub fn backfill(&mut self, entry: &LogEntry) -> bool {
        if self.history.contains_key(&entry.version) {
            return false;
        }
        let inserted = self.digests.insert_missing([EntryDigest::of(entry)]);
        self.history.insert(entry.version, entry.clone());
        trim_history(&mut self.history);
        !inserted.is_empty() || self.history.contains_key(&entry.version)
    }

    /// Returns the outcome of a change by its identifier alone, as far as this node knows it.
    pub fn outcome_of(&self, change_id: ChangeId) -> Option<ChangeOutcome> {
        let digest = self.digests.with_id(change_id).next()?;
        Some(ChangeOutcome::Committed { version: digest.version })
    }
}
