//! State by name that several threads share.

use super::hash64;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

const SHARDS: usize = 16;

/// State by name, in shards with a lock each.
#[derive(Debug)]
pub struct Shards<V>(Vec<Mutex<BTreeMap<String, V>>>);

impl<V> Default for Shards<V> {
    fn default() -> Self {
        Shards((0..SHARDS).map(|_| Mutex::default()).collect())
    }
}

/// What each shard holds at the moment that it is copied.
impl<V: Clone> Clone for Shards<V> {
    fn clone(&self) -> Self {
        Shards(self.0.iter().map(|shard| Mutex::new(lock(shard).clone())).collect())
    }
}

impl<V> Shards<V> {
    /// The shard that `k` belongs to, locked.
    pub fn lock_shard(&self, k: &str) -> MutexGuard<'_, BTreeMap<String, V>> {
        lock(&self.0[usize::try_from(hash64(k.as_bytes()) % SHARDS as u64).unwrap_or(0)])
    }

    /// Every shard in turn, each locked while it is looked at.
    pub fn lock_each(&self) -> impl Iterator<Item = MutexGuard<'_, BTreeMap<String, V>>> {
        self.0.iter().map(lock)
    }

    /// All names, shard by shard.
    pub fn names(&self) -> Vec<String> {
        self.lock_each().flat_map(|g| g.keys().cloned().collect::<Vec<_>>()).collect()
    }
}

/// A lock whose holder died is still the only lock there is.
fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    match m.lock() {
        Ok(g) => g,
        Err(e) => e.into_inner(),
    }
}
