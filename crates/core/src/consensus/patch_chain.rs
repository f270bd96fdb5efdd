//! The newest versions as patches, for nodes that are a few versions behind.

use crate::base::Version;
use crate::protocol::LogEntry;
use std::collections::VecDeque;

/// How many are kept, and how many bytes they have at most.
const MOST: usize = 64;
const BYTES: usize = 1 << 20;

/// Stripped versions without a gap, the last of which is the newest that a node holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PatchChain {
    chain: VecDeque<LogEntry>,
    bytes: usize,
}

impl PatchChain {
    /// The newest version is this one now. One that did not come as a patch, or not right after
    /// the one before, ends the chain.
    pub fn append(&mut self, d: &LogEntry) {
        match self.chain.back().map(|last| last.version) {
            Some(version) if version == d.version => return,
            Some(version) if version + 1 != d.version => self.clear(),
            _ => {}
        }
        if d.patch.is_none() {
            self.clear();
            return;
        }
        let d = d.without_body();
        self.bytes += d.size();
        self.chain.push_back(d);
        while self.chain.len() > MOST || self.bytes > BYTES {
            let Some(oldest) = self.chain.pop_front() else { return };
            self.bytes -= oldest.size();
        }
    }

    fn clear(&mut self) {
        self.chain.clear();
        self.bytes = 0;
    }

    /// All versions after this one; none where some of them are not held as patches.
    pub fn after(&self, version: Version) -> Option<Vec<LogEntry>> {
        let first = self.chain.front()?.version;
        if version + 1 < first {
            return None;
        }
        let later: Vec<_> = self.chain.iter().filter(|d| d.version > version).cloned().collect();
        (!later.is_empty()).then_some(later)
    }
}
