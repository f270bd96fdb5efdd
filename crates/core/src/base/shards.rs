//! State by name that several threads share, in shards to reduce contention.

use super::hash64;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

const SHARD_COUNT: usize = 16;

/// State by name, in shards with a lock each. At most one shard is locked at a time by the methods here.
#[derive(Debug)]
pub struct Shards<V>(Vec<Mutex<BTreeMap<String, V>>>);

impl<V> Default for Shards<V> {
    fn default() -> Self {
        Shards((0..SHARD_COUNT).map(|_| Mutex::default()).collect())
    }
}

/// Copies shard by shard: a change meanwhile may be in the copy of one shard and not of another.
impl<V: Clone> Clone for Shards<V> {
    fn clone(&self) -> Self {
        Shards(self.0.iter().map(|shard| Mutex::new(lock(shard).clone())).collect())
    }
}

impl<V> Shards<V> {
    /// The shard that a name belongs to, locked.
    pub fn lock_shard(&self, name: &str) -> MutexGuard<'_, BTreeMap<String, V>> {
        lock(&self.0[usize::try_from(hash64(name.as_bytes()) % SHARD_COUNT as u64).unwrap_or(0)])
    }

    /// Every shard in turn, each locked until its guard is dropped.
    pub fn lock_each(&self) -> impl Iterator<Item = MutexGuard<'_, BTreeMap<String, V>>> {
        self.0.iter().map(lock)
    }

    /// All names, shard by shard.
    pub fn names(&self) -> Vec<String> {
        self.lock_each().flat_map(|shard| shard.keys().cloned().collect::<Vec<_>>()).collect()
    }
}

/// Locks a shard. A thread that panicked while it held the lock must not stop all others, so poisoning is
/// ignored.
fn lock<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
