//! One version of the configuration as an entry of the replicated log.

use crate::base::{ChangeId, NodeId, Version};
use crate::config::Patch;
use musli::{Decode, Encode};

/// A place among the cores that a version names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Voter {
    pub node_id: NodeId,
    pub addr: String,
}

/// One decided (or proposed) version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LogEntry {
    pub version: Version,
    pub change_id: ChangeId,
    pub fleet_id: u64,
    /// The version at which the set of cores last changed, and the set before it.
    pub voters_since: Version,
    pub previous_voters: Vec<Voter>,
    pub voters: Vec<Voter>,
    pub body: String,
    /// The operator's own number of the body.
    #[musli(default)]
    pub revision: u64,
    /// What makes the body of the version before this body, where it came so; between nodes that
    /// hold the version before it stands for the body, which is left empty.
    #[musli(default)]
    pub patch: Option<Patch>,
    /// The body or the patch in packed form, where that is large.
    #[musli(default, bytes)]
    pub compressed: Vec<u8>,
}

impl LogEntry {
    /// The same without its body, for one who holds the version before; large ones in their packed
    /// form.
    pub fn without_body(&self) -> LogEntry {
        let by_patch = self.patch.is_some();
        let is_packed = !self.compressed.is_empty();
        LogEntry {
            version: self.version,
            change_id: self.change_id,
            fleet_id: self.fleet_id,
            voters_since: self.voters_since,
            previous_voters: self.previous_voters.clone(),
            voters: self.voters.clone(),
            body: if by_patch || is_packed { String::new() } else { self.body.clone() },
            revision: self.revision,
            patch: if is_packed { None } else { self.patch.clone() },
            compressed: self.compressed.clone(),
        }
    }

    /// The same for one who may hold no version before it.
    pub fn self_contained(&self) -> LogEntry {
        match &self.patch {
            None => self.without_body(),
            Some(_) => LogEntry { compressed: Vec::new(), ..self.clone() },
        }
    }

    /// Whether its body is to be made yet.
    pub fn lacks_body(&self) -> bool {
        self.body.is_empty() && (self.patch.is_some() || !self.compressed.is_empty())
    }

    /// This version whole, given the one before it; none if that is another one.
    pub fn with_body_from(self, before: &LogEntry) -> Option<LogEntry> {
        let mut whole = self.decompress()?;
        if whole.lacks_body() {
            if before.version + 1 != whole.version || before.lacks_body() {
                return None;
            }
            whole.body = whole.patch.as_ref()?.apply(&before.body).ok()?;
        }
        Some(whole)
    }

    /// About how many bytes it has on its way.
    pub fn size(&self) -> usize {
        self.body.len() + self.patch.as_ref().map_or(0, Patch::size) + self.compressed.len()
    }
}
