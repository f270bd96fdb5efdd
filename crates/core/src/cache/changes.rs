//! The log of changes to the shared layer, from which each thread invalidates its local layer.

use crate::base::hash64;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// A change to the shared layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This key was set or deleted; each thread removes its local entry.
    Key(String),
    /// All keys were deleted; each thread clears its local layer.
    Purge,
}

/// The most changes that are kept for threads that have not applied them yet.
const MAX_LOGGED_CHANGES: usize = 4096;

/// The newest changes in order, numbered from one.
///
/// Invariant: `last` is the number of the last entry, and the numbers in `changes` have no gaps.
#[derive(Debug, Default)]
pub struct ChangeLog {
    last: AtomicU64,
    changes: Mutex<VecDeque<(u64, Change)>>,
}

impl ChangeLog {
    /// Locks the changes, also after a panic: each change is appended in one step, so the log stays consistent.
    fn lock(&self) -> MutexGuard<'_, VecDeque<(u64, Change)>> {
        match self.changes.lock() {
            Ok(changes) => changes,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Appends a change, and drops changes beyond the newest [`MAX_LOGGED_CHANGES`].
    pub fn publish(&self, change: Change) {
        let mut changes = self.lock();
        let number = self.last.load(Ordering::Relaxed) + 1;
        changes.push_back((number, change));
        while changes.len() > MAX_LOGGED_CHANGES {
            changes.pop_front();
        }
        self.last.store(number, Ordering::Release);
    }

    /// Returns the number of the last change with one atomic read, without the lock.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last.load(Ordering::Acquire)
    }

    /// Returns up to `limit` changes after number `from`, or `None` if some of them are no longer kept.
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

/// Returns the index of the shard that holds a key.
pub(super) fn shard_of(key: &str, shard_count: usize) -> usize {
    usize::try_from(hash64(key.as_bytes()) % shard_count as u64).unwrap_or(0)
}
