//! The newest versions as patches, for nodes that are a few versions behind.

use crate::base::Version;
use crate::protocol::LogEntry;
use std::collections::VecDeque;

/// The maximum number of entries in the chain.
const MAX_CHAIN_ENTRIES: usize = 64;
/// The maximum size of all entries in the chain, in bytes.
const MAX_CHAIN_BYTES: usize = 1 << 20;

/// Consecutive log entries in patch form, without their bodies, up to the newest version of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PatchChain {
    /// Invariant: each entry came as a patch, and its version is one above that of the entry before it.
    entries: VecDeque<LogEntry>,
    /// Invariant: the sum of the sizes of `entries`, at most [`MAX_CHAIN_BYTES`].
    bytes: usize,
}

impl PatchChain {
    /// Appends the newest entry. An entry that did not come as a patch clears the chain; an entry that does not
    /// directly follow the last one starts a new chain.
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

    /// Removes all entries.
    fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Returns all entries after `version`, or `None` if there are none or the chain lacks any of them.
    pub fn after(&self, version: Version) -> Option<Vec<LogEntry>> {
        let first = self.entries.front()?.version;
        if version + 1 < first {
            return None;
        }
        let later: Vec<_> = self.entries.iter().filter(|entry| entry.version > version).cloned().collect();
        (!later.is_empty()).then_some(later)
    }
}
