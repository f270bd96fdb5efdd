//! What is remembered of a decided version once its body is dropped.

use super::{Change, LogEntry, Voter};
use crate::base::{ChangeId, Version};
use musli::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Identifies one decided version and the change that became it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EntryDigest {
    pub version: Version,
    pub change_id: ChangeId,
    /// The version at which the set of cores last changed.
    pub voters_since: Version,
    /// The operator's own number of the body.
    pub revision: u64,
    /// SHA-256 of what was changed: the body, the patch, or the list of cores.
    #[musli(bytes)]
    pub content: [u8; 32],
}

impl EntryDigest {
    /// The digest of a version.
    pub fn of(decree: &LogEntry) -> EntryDigest {
        let changes_cores = decree.version > 0 && decree.voters_since == decree.version;
        let content = match &decree.patch {
            _ if changes_cores => hash_cores(&decree.voters),
            Some(patch) => patch.hash(),
            None => hash_body(&decree.body),
        };
        EntryDigest {
            version: decree.version,
            change_id: decree.change_id,
            voters_since: decree.voters_since,
            revision: decree.revision,
            content,
        }
    }

    /// Whether this version is what `change` asked for.
    pub fn matches(&self, change: &Change) -> bool {
        match change {
            Change::Tree(body) | Change::Document(body) => hash_body(body) == self.content,
            Change::Patch(patch) => patch.hash() == self.content,
            Change::Voters(cores) => {
                let mut sorted = cores.clone();
                sorted.sort();
                hash_cores(&sorted) == self.content
            }
            Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => true,
        }
    }
}

fn hash_body(body: &str) -> [u8; 32] {
    Sha256::digest(body.as_bytes()).into()
}

fn hash_cores(cores: &[Voter]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for core in cores {
        hash.update(core.node_id.0.to_be_bytes());
        hash.update(core.addr.as_bytes());
        hash.update([0]);
    }
    hash.finalize().into()
}
