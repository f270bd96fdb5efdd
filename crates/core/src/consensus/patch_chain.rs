//! The newest versions as patches, for nodes that are a few versions behind.

use crate::base::Version;
use crate::protocol::LogEntry;
use std::collections::VecDeque;

/// How many entries the chain has at most.
const MAX_CHAIN_ENTRIES: usize = 64;
/// How many bytes the entries of the chain have at most.
const MAX_CHAIN_BYTES: usize = 1 << 20;

/// Entries without their bodies, the last of which is the newest that a node holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PatchChain {
    /// Invariant: each entry came as a patch, and its version is one above that of the entry before it.
    entries: VecDeque<LogEntry>,
    /// Invariant: the sum of the sizes of `entries`, at most [`MAX_CHAIN_BYTES`].
    bytes: usize,
}

impl PatchChain {
    /// Appends the newest entry. The chain is cleared by an entry that is no patch, and starts anew with one
    /// that does not follow directly on the last.
    pub fn append(&mut self, entry: &LogEntry) {
        match self.entries.back().map(|last| last.version) {
            Some(version) if version == entry.version => return,
            Some(version) if version + 1 != entry.version => self.clear(),
            _ => {}
        }
        if entry.patch.is_none() {
            self.clear();
            return;
        }
        let stripped = entry.without_body();
        self.bytes += stripped.size();
        self.entries.push_back(stripped);
        while self.entries.len() > MAX_CHAIN_ENTRIES || self.bytes > MAX_CHAIN_BYTES {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.bytes -= oldest.size();
        }
    }

    fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// All entries after `version`; none if the chain does not hold all of them.
    pub fn after(&self, version: Version) -> Option<Vec<LogEntry>> {
        let first = self.entries.front()?.version;
        if version + 1 < first {
            return None;
        }
        let later: Vec<_> = self.entries.iter().filter(|entry| entry.version > version).cloned().collect();
        (!later.is_empty()).then_some(later)
    }
}
