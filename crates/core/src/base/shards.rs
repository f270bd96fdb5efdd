//! Maps that several threads share, sharded to reduce lock contention.

use super::hash64;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The number of shards, each with its own lock.
const SHARD_COUNT: usize = 16;

/// A map of values by name, split into shards with a lock each. A method locks at most one shard at a time.
#[derive(Debug)]
pub struct ShardedMap<V>(Vec<Mutex<BTreeMap<String, V>>>);

impl<V> Default for ShardedMap<V> {
    fn default() -> Self {
        ShardedMap((0..SHARD_COUNT).map(|_| Mutex::default()).collect())
    }
}

/// Copies shard by shard. The copy is not atomic: of two concurrent changes it may contain only one.
impl<V: Clone> Clone for ShardedMap<V> {
    fn clone(&self) -> Self {
        ShardedMap(self.0.iter().map(|shard| Mutex::new(lock(shard).clone())).collect())
    }
}

impl<V> ShardedMap<V> {
    /// Locks the shard that contains a name.
    pub fn lock_shard(&self, name: &str) -> MutexGuard<'_, BTreeMap<String, V>> {
        lock(&self.0[usize::try_from(hash64(name.as_bytes()) % SHARD_COUNT as u64).unwrap_or(0)])
    }

    /// Locks the shards one after the other, each until its guard is dropped.
    pub fn lock_each(&self) -> impl Iterator<Item = MutexGuard<'_, BTreeMap<String, V>>> {
        self.0.iter().map(lock)
    }

    /// Returns all names, shard by shard.
    pub fn names(&self) -> Vec<String> {
        self.lock_each().flat_map(|shard| shard.keys().cloned().collect::<Vec<_>>()).collect()
    }
}

/// Locks a shard and ignores poisoning, so that a thread that panicked while it held the lock doesn't stop
/// all others.
fn lock<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
