//! Writes of a core, and what its disk holds after them.

use super::{DigestLog, trim_history};
use crate::base::{Incarnation, NodeId, Version};
use crate::protocol::{Ballot, EntryDigest, LogEntry, RegisteredIncarnation, Voter, WindowGrant};
use std::collections::BTreeMap;

/// One thing that must be on disk before anyone hears of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DurableWrite {
    BootstrapVote(Vec<Voter>),
    Promise {
        instance: Version,
        ballot: Ballot,
    },
    Accept {
        ballot: Ballot,
        entry: LogEntry,
    },
    Commit(LogEntry),
    /// Versions that were decided and whose bodies aren't kept here.
    Digests(Vec<EntryDigest>),
    Epoch {
        role: u32,
        epoch: u64,
    },
    Grant(WindowGrant),
    Ready(Version),
    Register(Vec<RegisteredIncarnation>),
    Deregister(Vec<(NodeId, Incarnation)>),
}

impl DurableWrite {
    /// About how many bytes it holds in memory until it is synced.
    pub fn size(&self) -> usize {
        match self {
            DurableWrite::Accept { entry: decree, .. } | DurableWrite::Commit(decree) => decree.body.len(),
            DurableWrite::Digests(rows) => rows.len() * std::mem::size_of::<EntryDigest>(),
            _ => 0,
        }
    }
}

/// All that a core finds on its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    pub node_id: NodeId,
    pub bootstrap_vote: Vec<Voter>,
    pub entries: BTreeMap<Version, LogEntry>,
    pub digests: DigestLog,
    pub promised: Option<(Version, Ballot)>,
    pub accepted: Option<(Ballot, LogEntry)>,
    pub epochs: BTreeMap<u32, u64>,
    pub grants: BTreeMap<(String, NodeId), WindowGrant>,
    /// The set of cores whose grants this one has taken over.
    pub ready_set: Option<Version>,
    /// The lives of nodes that may hold shares of rates, and their addresses.
    pub registered: BTreeMap<(NodeId, Incarnation), String>,
}

impl DurableState {
    /// What a disk holds after this write; disks of every kind follow it.
    pub fn apply(&mut self, o: &DurableWrite) {
        match o {
            DurableWrite::BootstrapVote(p) => self.bootstrap_vote.clone_from(p),
            DurableWrite::Promise { instance, ballot } => self.promised = Some((*instance, *ballot)),
            DurableWrite::Accept { ballot, entry: decree } => self.accepted = Some((*ballot, decree.clone())),
            DurableWrite::Commit(d) => {
                self.digests.insert_all([EntryDigest::of(d)]);
                self.entries.insert(d.version, d.clone());
                trim_history(&mut self.entries);
            }
            DurableWrite::Digests(rows) => {
                self.digests.insert_all(rows.iter().copied());
            }
            DurableWrite::Epoch { role: duty, epoch } => {
                self.epochs.insert(*duty, *epoch);
            }
            DurableWrite::Ready(v) => self.ready_set = Some(*v),
            DurableWrite::Register(ls) => {
                self.registered.extend(ls.iter().map(|l| ((l.node_id, l.incarnation), l.addr.clone())))
            }
            DurableWrite::Deregister(ls) => self.registered.retain(|l, _| !ls.contains(l)),
            DurableWrite::Grant(g) => {
                let w = g.window;
                self.grants.retain(|(t, _), o| *t != g.tenant || o.window >= w);
                self.grants.insert((g.tenant.clone(), g.node_id), g.clone());
            }
        }
    }
}
