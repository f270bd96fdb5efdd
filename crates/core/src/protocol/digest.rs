//! The digest of a decided version, which is retained after the body was dropped.

use super::{Change, LogEntry, Voter};
use crate::base::{ChangeId, Version};
use musli::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// The identity of a decided version and of the change that became this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EntryDigest {
    /// The version.
    pub version: Version,
    /// The identifier of the change.
    pub change_id: ChangeId,
    /// The version at which the set of voters last changed.
    pub voters_since: Version,
    /// The revision number that the operator gave the body.
    pub revision: u64,
    /// The SHA-256 hash of the content of the change: the body, the patch, or the list of voters.
    #[musli(bytes)]
    pub content: [u8; 32],
}

impl EntryDigest {
    /// Computes the digest of an entry.
    pub fn of(entry: &LogEntry) -> EntryDigest {
        let changes_voters = entry.version > 0 && entry.voters_since == entry.version;
        let content = match &entry.patch {
            _ if changes_voters => hash_voters(&entry.voters),
            Some(patch) => patch.hash(),
            None => hash_body(&entry.body),
        };
        EntryDigest {
            version: entry.version,
            change_id: entry.change_id,
            voters_since: entry.voters_since,
            revision: entry.revision,
            content,
        }
    }

    /// Returns true if the content of `change` became this version. Reads have no content and match every version.
    pub fn matches(&self, change: &Change) -> bool {
        match change {
            Change::Tree(body) | Change::Document(body) => hash_body(body) == self.content,
            Change::Patch(patch) => patch.hash() == self.content,
            Change::Voters(voters) => {
                let mut sorted = voters.clone();
                sorted.sort();
                hash_voters(&sorted) == self.content
            }
            Change::QueryOutcome | Change::ReadHistory | Change::ReadNewest => true,
        }
    }
}

fn hash_body(body: &str) -> [u8; 32] {
    Sha256::digest(body.as_bytes()).into()
}

fn hash_voters(voters: &[Voter]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for voter in voters {
        hasher.update(voter.node_id.0.to_be_bytes());
        hasher.update(voter.addr.as_bytes());
        hasher.update([0]);
    }
    hasher.finalize().into()
}
