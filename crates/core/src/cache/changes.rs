//! The log of changes to the shared layer, by which each thread invalidates its own layer.

use crate::base::hash64;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// A change of the shared layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This key was set or deleted, and each thread removes its entry.
    Key(String),
    /// All keys were deleted.
    Purge,
}

/// How many changes are kept for threads that are behind.
const MAX_KEPT: usize = 4096;

/// Changes in their order, numbered from one.
///
/// Invariant: `last` is the number of the last entry, and the numbers in `changes` have no gaps.
#[derive(Debug, Default)]
pub struct ChangeLog {
    last: AtomicU64,
    changes: Mutex<VecDeque<(u64, Change)>>,
}

impl ChangeLog {
    /// A poisoned lock is used on: each change is appended in one step.
    fn lock(&self) -> MutexGuard<'_, VecDeque<(u64, Change)>> {
        match self.changes.lock() {
            Ok(changes) => changes,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Appends a change. Only the newest 4096 are kept.
    pub fn publish(&self, change: Change) {
        let mut changes = self.lock();
        let number = self.last.load(Ordering::Relaxed) + 1;
        changes.push_back((number, change));
        while changes.len() > MAX_KEPT {
            changes.pop_front();
        }
        self.last.store(number, Ordering::Release);
    }

    /// The number of the last change: one atomic read if nothing changed.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last.load(Ordering::Acquire)
    }

    /// Up to `limit` changes after number `from`; `None` if some of them are no longer kept.
    #[must_use]
    pub fn after(&self, from: u64, limit: usize) -> Option<Vec<(u64, Change)>> {
        let changes = self.lock();
        if changes.front().is_some_and(|(number, _)| *number > from + 1) {
            return None;
        }
        let first = changes.partition_point(|(number, _)| *number <= from);
        Some(changes.iter().skip(first).take(limit).cloned().collect())
    }
}

/// Which of `shards` shards holds a key.
pub(super) fn shard_of(key: &str, shards: usize) -> usize {
    usize::try_from(hash64(key.as_bytes()) % shards as u64).unwrap_or(0)
}
