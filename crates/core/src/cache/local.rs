//! The local layer (L1): an LRU cache of one thread, without locks.

use super::changes::{Change, ChangeLog};
use super::options::{CacheOptions, LookupContext};
use crate::base::{Micros, Version};
use lru::LruCache;
use std::num::NonZeroUsize;

/// The most changes that are read from the log at once.
const CHANGES_PER_READ: usize = 64;

/// A value, or the knowledge that there is none (`None`), for one version.
#[derive(Clone, Debug)]
struct Entry<V> {
    value: Option<V>,
    expires_at: Micros,
    version: Version,
}

/// The local layer of one thread.
#[derive(Debug)]
pub struct LocalCache<V> {
    entries: LruCache<String, Entry<V>>,
    /// The number of the last change that was applied.
    applied: u64,
    /// The longest time for applying changes before a lookup, in microseconds.
    max_update_time: Micros,
}

impl<V: Clone> LocalCache<V> {
    /// Creates an empty layer.
    #[must_use]
    pub fn new(options: &CacheOptions) -> Self {
        let capacity = NonZeroUsize::new(options.local_entries).unwrap_or(NonZeroUsize::MIN);
        LocalCache { entries: LruCache::new(capacity), applied: 0, max_update_time: options.max_update_time }
    }

    /// Applies the changes to the shared layer since the last lookup. Returns false if that exceeded the
    /// time limit; the remaining changes are then applied before the next lookup. If the log no longer
    /// holds all of these changes, removes all entries.
    pub fn apply_changes(&mut self, log: &ChangeLog, clock: impl Fn() -> Micros) -> bool {
        if log.last() == self.applied {
            return true;
        }
        let deadline = clock().saturating_add(self.max_update_time);
        loop {
            let Some(changes) = log.after(self.applied, CHANGES_PER_READ) else {
                let last = log.last();
                self.entries.clear();
                self.applied = last;
                return true;
            };
            if changes.is_empty() {
                return true;
            }
            for (number, change) in changes {
                self.apply(&change);
                self.applied = number;
            }
            if clock() >= deadline {
                return log.last() == self.applied;
            }
        }
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Key(key) => {
                self.entries.pop(key);
            }
            Change::Purge => self.entries.clear(),
        }
    }

    /// Returns the value, or the knowledge that there is none (`Some(None)`), if the entry is fresh and of
    /// the version in `context`.
    pub fn get(&mut self, key: &str, context: LookupContext) -> Option<Option<V>> {
        let entry = self.entries.get(key)?;
        if entry.expires_at <= context.now || entry.version != context.version {
            self.entries.pop(key);
            return None;
        }
        Some(entry.value.clone())
    }

    /// Stores a value until `expires_at`, for one version.
    pub fn put(&mut self, key: &str, value: Option<V>, expires_at: Micros, version: Version) {
        self.entries.put(key.to_owned(), Entry { value, expires_at, version });
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
