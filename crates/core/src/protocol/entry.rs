//! Entries of the replicated log, each of which is one version of the configuration.

use crate::base::{ChangeId, NodeId, Version};
use crate::config::Patch;
use musli::{Decode, Encode};

/// A member of a set of voters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Voter {
    /// The ID of the node.
    pub node_id: NodeId,
    /// The address at which the node serves the peer protocol.
    pub addr: String,
}

/// One decided or proposed version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LogEntry {
    /// The version, which is the Paxos instance that decides it.
    pub version: Version,
    /// The identifier of the change that became this version.
    pub change_id: ChangeId,
    /// The identifier of the fleet.
    pub fleet_id: u64,
    /// The version at which the set of voters last changed, which names the set.
    pub voters_since: Version,
    /// The set of voters before its last change.
    pub previous_voters: Vec<Voter>,
    /// The voters, which decide the next version.
    pub voters: Vec<Voter>,
    /// The configuration as text.
    pub body: String,
    /// The revision number that the operator gave the body.
    #[musli(default)]
    pub revision: u64,
    /// The patch that turns the body of the previous version into this body, if the change came as a patch.
    /// Between nodes that hold the previous version the patch is sent in place of the body, which is empty.
    #[musli(default)]
    pub patch: Option<Patch>,
    /// The body, the patch or both in compressed form, if the content is large; empty otherwise.
    #[musli(default, bytes)]
    pub compressed: Vec<u8>,
}

impl LogEntry {
    /// Returns the entry for a node that holds the previous version: without the body if a patch or a
    /// compressed form replaces it.
    pub fn without_body(&self) -> LogEntry {
        let is_patch = self.patch.is_some();
        let is_compressed = !self.compressed.is_empty();
        LogEntry {
            version: self.version,
            change_id: self.change_id,
            fleet_id: self.fleet_id,
            voters_since: self.voters_since,
            previous_voters: self.previous_voters.clone(),
            voters: self.voters.clone(),
            body: if is_patch || is_compressed { String::new() } else { self.body.clone() },
            revision: self.revision,
            patch: if is_compressed { None } else { self.patch.clone() },
            compressed: self.compressed.clone(),
        }
    }

    /// Returns the entry with its body, for a node that may lack the previous version.
    pub fn self_contained(&self) -> LogEntry {
        match &self.patch {
            None => self.without_body(),
            Some(_) => LogEntry { compressed: Vec::new(), ..self.clone() },
        }
    }

    /// Returns true if the body must yet be restored from the patch or the compressed form.
    pub fn lacks_body(&self) -> bool {
        self.body.is_empty() && (self.patch.is_some() || !self.compressed.is_empty())
    }

    /// Returns the entry with its body, restored with the help of the previous entry. Returns `None` if
    /// `previous` is not the previous entry or the body cannot be restored.
    pub fn with_body_from(self, previous: &LogEntry) -> Option<LogEntry> {
        let mut entry = self.decompress()?;
        if entry.lacks_body() {
            if previous.version + 1 != entry.version || previous.lacks_body() {
                return None;
            }
            entry.body = entry.patch.as_ref()?.apply(&previous.body).ok()?;
        }
        Some(entry)
    }

    /// Returns the approximate size of the entry on the wire, in bytes.
    pub fn size(&self) -> usize {
        self.body.len() + self.patch.as_ref().map_or(0, Patch::size) + self.compressed.len()
    }
}
