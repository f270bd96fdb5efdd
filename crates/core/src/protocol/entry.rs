//! One version of the configuration as an entry of the replicated log.

use crate::base::{ChangeId, NodeId, Version};
use crate::config::Patch;
use musli::{Decode, Encode};

/// A voter that a version names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Voter {
    /// The node.
    pub node_id: NodeId,
    /// The address of its peer protocol.
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
    /// The version at which the set of voters last changed; it names the set.
    pub voters_since: Version,
    /// The set of voters before that change.
    pub previous_voters: Vec<Voter>,
    /// The voters, which decide the next version.
    pub voters: Vec<Voter>,
    /// The configuration as text.
    pub body: String,
    /// The operator's own number of the body.
    #[musli(default)]
    pub revision: u64,
    /// The patch that makes this body of the body of the previous version, if the change came as a patch.
    /// Between nodes that hold the previous version it replaces the body, which is left empty.
    #[musli(default)]
    pub patch: Option<Patch>,
    /// The body or the patch in compressed form, where that is large; empty otherwise.
    #[musli(default, bytes)]
    pub compressed: Vec<u8>,
}

impl LogEntry {
    /// The entry without its body, for a node that holds the previous version; large content in its
    /// compressed form.
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

    /// The entry for a node that may hold no previous version: with its body.
    pub fn self_contained(&self) -> LogEntry {
        match &self.patch {
            None => self.without_body(),
            Some(_) => LogEntry { compressed: Vec::new(), ..self.clone() },
        }
    }

    /// Whether its body has yet to be restored from the patch or the compressed form.
    pub fn lacks_body(&self) -> bool {
        self.body.is_empty() && (self.patch.is_some() || !self.compressed.is_empty())
    }

    /// The entry with its body, given the previous entry; none if that is not the previous one or the body
    /// cannot be restored.
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

    /// About how many bytes the entry has on the wire.
    pub fn size(&self) -> usize {
        self.body.len() + self.patch.as_ref().map_or(0, Patch::size) + self.compressed.len()
    }
}
