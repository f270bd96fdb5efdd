//! What is remembered of a decided version once its body is dropped.

use super::{Change, Core, Decree};
use crate::base::{ChangeId, Version};
use musli::{Decode, Encode};
use sha2::{Digest as _, Sha256};

/// Identifies one decided version and the change that became it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    pub version: Version,
    pub change_id: ChangeId,
    /// The version at which the set of cores last changed.
    pub since: Version,
    /// The operator's own number of the body.
    pub revision: u64,
    /// SHA-256 of what was changed: the body, the patch, or the list of cores.
    #[musli(bytes)]
    pub content: [u8; 32],
}

impl Digest {
    /// The digest of a version.
    pub fn of(decree: &Decree) -> Digest {
        let changes_cores = decree.version > 0 && decree.since == decree.version;
        let content = match &decree.patch {
            _ if changes_cores => hash_cores(&decree.cores),
            Some(patch) => patch.hash(),
            None => hash_body(&decree.body),
        };
        Digest {
            version: decree.version,
            change_id: decree.change_id,
            since: decree.since,
            revision: decree.revision,
            content,
        }
    }

    /// Whether this version is what `change` asked for.
    pub fn is(&self, change: &Change) -> bool {
        match change {
            Change::Tree(body) | Change::Doc(body) => hash_body(body) == self.content,
            Change::Patch(patch) => patch.hash() == self.content,
            Change::Cores(cores) => {
                let mut sorted = cores.clone();
                sorted.sort();
                hash_cores(&sorted) == self.content
            }
            Change::Look | Change::History | Change::Newest => true,
        }
    }
}

fn hash_body(body: &str) -> [u8; 32] {
    Sha256::digest(body.as_bytes()).into()
}

fn hash_cores(cores: &[Core]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for core in cores {
        hash.update(core.node_id.0.to_be_bytes());
        hash.update(core.addr.as_bytes());
        hash.update([0]);
    }
    hash.finalize().into()
}
