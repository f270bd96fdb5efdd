//! The durable writes of a core, and the state on its disk after they were synced.

use super::{DigestLog, trim_history};
use crate::base::{Incarnation, NodeId, Version};
use crate::protocol::{Ballot, EntryDigest, LogEntry, RegisteredIncarnation, Voter, WindowGrant, WorkerReport};
use std::collections::BTreeMap;

/// A write that must be synced to disk before any message that depends on it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DurableWrite {
    /// The set of first voters that this core votes for when a fleet is founded.
    BootstrapVote(Vec<Voter>),
    /// A promise to reject every ballot below this one.
    Promise {
        /// The version that the ballot is for.
        instance: Version,
        /// The promised ballot.
        ballot: Ballot,
    },
    /// The acceptance of an entry.
    Accept {
        /// The ballot that the entry was accepted with.
        ballot: Ballot,
        /// The accepted entry.
        entry: LogEntry,
    },
    /// A decided entry.
    Commit(LogEntry),
    /// Digests of decided versions whose bodies this core does not hold.
    Digests(Vec<EntryDigest>),
    /// The last epoch that was granted for a role.
    Epoch {
        /// The role.
        role: u32,
        /// The epoch of the role's lease.
        epoch: u64,
    },
    /// A share of a window of a tenant's quota that was granted to a node.
    Grant(WindowGrant),
    /// The set of voters, named by its version, whose grants this core has taken over.
    Ready(Version),
    /// Registers incarnations of nodes, which may hold shares of rates from now on.
    Register(Vec<RegisteredIncarnation>),
    /// Deregisters incarnations of nodes, which no longer hold shares of rates.
    Deregister(Vec<(NodeId, Incarnation)>),
    /// The report of a worker that drains or has left.
    Removal(WorkerReport),
    /// Forgets the removals of these workers, by id.
    ForgetRemovals(Vec<String>),
}

impl DurableWrite {
    /// Returns the approximate number of bytes that the write occupies in memory until it is synced.
    pub fn size(&self) -> usize {
        match self {
            DurableWrite::Accept { entry, .. } | DurableWrite::Commit(entry) => entry.body.len(),
            DurableWrite::Digests(digests) => digests.len() * std::mem::size_of::<EntryDigest>(),
            _ => 0,
        }
    }
}

/// The state that a core reads from its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The identifier of the node that owns the data.
    pub node_id: NodeId,
    /// The set of first voters that this core voted for; empty if it has not voted.
    pub bootstrap_vote: Vec<Voter>,
    /// The newest decided entries, within the bounds of the history.
    pub entries: BTreeMap<Version, LogEntry>,
    /// Digests of decided versions.
    pub digests: DigestLog,
    /// The instance and ballot of the last promise.
    pub promised: Option<(Version, Ballot)>,
    /// The last accepted entry, and the ballot that it was accepted with.
    pub accepted: Option<(Ballot, LogEntry)>,
    /// The last granted epoch of each role.
    pub epochs: BTreeMap<u32, u64>,
    /// The granted shares of quota windows by tenant and node. A grant removes the grants
    /// of earlier windows of its tenant.
    pub grants: BTreeMap<(String, NodeId), WindowGrant>,
    /// The set of voters, named by its version, whose grants this core has taken over.
    pub ready_set: Option<Version>,
    /// The addresses of the incarnations of nodes that may hold shares of rates.
    pub registered: BTreeMap<(NodeId, Incarnation), String>,
    /// The reports of workers that drain or have left, by worker id.
    pub removals: BTreeMap<String, WorkerReport>,
}

impl DurableState {
    /// Applies a write. Every disk implementation must hold the same state after the same writes.
    pub fn apply(&mut self, write: &DurableWrite) {
        match write {
            DurableWrite::BootstrapVote(voters) => self.bootstrap_vote.clone_from(voters),
            DurableWrite::Promise { instance, ballot } => self.promised = Some((*instance, *ballot)),
            DurableWrite::Accept { ballot, entry } => self.accepted = Some((*ballot, entry.clone())),
            DurableWrite::Commit(entry) => self.apply_commit(entry),
            DurableWrite::Digests(digests) => {
                self.digests.insert_missing(digests.iter().copied());
            }
            DurableWrite::Epoch { role, epoch } => {
                self.epochs.insert(*role, *epoch);
            }
            DurableWrite::Ready(voter_set) => self.ready_set = Some(*voter_set),
            DurableWrite::Register(incarnations) => {
                let rows = incarnations.iter().map(|row| ((row.node_id, row.incarnation), row.addr.clone()));
                self.registered.extend(rows);
            }
            DurableWrite::Deregister(incarnations) => self.registered.retain(|key, _| !incarnations.contains(key)),
            DurableWrite::Grant(grant) => self.apply_grant(grant),
            DurableWrite::Removal(report) => {
                self.removals.insert(report.worker_id.clone(), report.clone());
            }
            DurableWrite::ForgetRemovals(worker_ids) => self.removals.retain(|id, _| !worker_ids.contains(id)),
        }
    }

    /// Adds a decided entry and its digest, and trims the history.
    fn apply_commit(&mut self, entry: &LogEntry) {
        self.digests.insert_missing([EntryDigest::of(entry)]);
        self.entries.insert(entry.version, entry.clone());
        trim_history(&mut self.entries);
    }

    /// Adds a grant and removes the grants of earlier windows of the same tenant.
    fn apply_grant(&mut self, grant: &WindowGrant) {
        self.grants.retain(|(tenant, _), other| *tenant != grant.tenant || other.window >= grant.window);
        self.grants.insert((grant.tenant.clone(), grant.node_id), grant.clone());
    }
}
