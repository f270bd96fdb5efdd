//! The shared layer (L2) of all threads of the process, in shards with one lock each.

use super::changes::{Change, ChangeLog, shard_of};
use super::entries::{CacheLevel, FetchLock, Found, PeekedEntry, SharedLookup};
use super::local::LocalCache;
use super::options::{CacheOptions, FetchError, FetchResult, LookupContext, Ttl, expiry};
use crate::base::{Micros, Version};
use lru::LruCache;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

/// A value, or the knowledge that there is none (`None`), for one version.
#[derive(Clone, Debug)]
struct Entry<V> {
    value: Option<V>,
    expires_at: Micros,
    version: Version,
    weight: usize,
    /// Whether the value had expired and is kept as stale after a failed fetch.
    is_stale: bool,
}

/// A bounded LRU list of entries. Invariant: `used` is the sum of the entries' weights, at most `capacity`.
#[derive(Debug)]
struct BoundedLru<V> {
    entries: LruCache<String, Entry<V>>,
    used: usize,
    capacity: usize,
}

impl<V> BoundedLru<V> {
    fn new(capacity: usize) -> Self {
        BoundedLru { entries: LruCache::unbounded(), used: 0, capacity }
    }

    fn remove(&mut self, key: &str) {
        if let Some(entry) = self.entries.pop(key) {
            self.used -= entry.weight;
        }
    }

    /// Stores an entry, and evicts the least recently used entries in batches if necessary. Returns false
    /// if the entry does not fit after all attempts; the old entry of the key is removed in any case.
    fn set(&mut self, key: &str, entry: Entry<V>, options: &CacheOptions) -> bool {
        self.remove(key);
        for _ in 0..options.max_set_attempts.max(1) {
            if self.fits(&entry) {
                break;
            }
            self.evict(options.evict_batch);
        }
        let fits = self.fits(&entry);
        if fits {
            self.used += entry.weight;
            self.entries.put(key.to_owned(), entry);
        }
        fits
    }

    /// Returns whether an entry fits into the free capacity.
    fn fits(&self, entry: &Entry<V>) -> bool {
        self.used + entry.weight <= self.capacity
    }

    /// Evicts up to `batch` least recently used entries.
    fn evict(&mut self, batch: usize) {
        for _ in 0..batch {
            let Some((_, evicted)) = self.entries.pop_lru() else { break };
            self.used -= evicted.weight;
        }
    }
}

/// The lock of a key that a caller is fetching.
#[derive(Debug)]
struct KeyLock {
    number: u64,
    expires_at: Micros,
}

/// One shard of the shared layer: its entries, and the locks of its keys.
#[derive(Debug)]
struct Shard<V> {
    values: BoundedLru<V>,
    /// Negative entries have a separate capacity, so that unknown keys can't evict known ones.
    negatives: BoundedLru<V>,
    /// The locks of fetches in progress, by key. Locks don't count towards the capacity.
    locks: HashMap<String, KeyLock>,
    /// The number of the last lock.
    last_lock: u64,
}

impl<V: Clone> Shard<V> {
    fn new(options: &CacheOptions) -> Self {
        Shard {
            values: BoundedLru::new(options.shard_capacity),
            negatives: BoundedLru::new(options.negative_capacity),
            locks: HashMap::new(),
            last_lock: 0,
        }
    }

    /// Returns the fresh entry of a key, and marks it as used.
    fn fresh(&mut self, key: &str, context: LookupContext) -> Option<&Entry<V>> {
        let is_fresh = |entry: &&Entry<V>| entry.version == context.version && entry.expires_at > context.now;
        self.values.entries.get(key).filter(is_fresh).or_else(|| self.negatives.entries.get(key).filter(is_fresh))
    }

    /// Returns the value of a key and this version, fresh or expired, without marking it as used.
    fn fresh_or_expired_value(&self, key: &str, context: LookupContext) -> Option<&Entry<V>> {
        self.values.entries.peek(key).filter(|entry| entry.version == context.version)
    }

    fn lock_key(&mut self, key: &str, expires_at: Micros) -> FetchLock {
        self.last_lock += 1;
        let number = self.last_lock;
        self.locks.insert(key.to_owned(), KeyLock { number, expires_at });
        FetchLock { number }
    }

    fn is_locked(&self, key: &str, now: Micros) -> bool {
        self.locks.get(key).is_some_and(|lock| lock.expires_at > now)
    }

    /// Releases a lock; returns false if the key is no longer locked by it.
    fn unlock(&mut self, key: &str, lock: &FetchLock) -> bool {
        let is_held = self.locks.get(key).is_some_and(|held| held.number == lock.number);
        if is_held {
            self.locks.remove(key);
        }
        is_held
    }

    /// Stores an entry in the list for its kind, and removes the key from the other list.
    fn store(&mut self, key: &str, entry: Entry<V>, options: &CacheOptions) -> bool {
        let (list, other) = if entry.value.is_some() {
            (&mut self.values, &mut self.negatives)
        } else {
            (&mut self.negatives, &mut self.values)
        };
        other.remove(key);
        list.set(key, entry, options)
    }

    fn remove(&mut self, key: &str) {
        self.values.remove(key);
        self.negatives.remove(key);
        self.locks.remove(key);
    }
}

/// The shared layer of all threads of the process.
#[derive(Debug)]
pub struct SharedCache<V> {
    shards: Vec<Mutex<Shard<V>>>,
    /// The options of the cache.
    pub options: CacheOptions,
    /// The changes that threads apply to their local layers.
    pub changes: ChangeLog,
}

/// Locks a shard, also after a panic: at worst, the shard holds one entry less than its `used` weight includes.
fn lock<V>(shard: &Mutex<Shard<V>>) -> MutexGuard<'_, Shard<V>> {
    match shard.lock() {
        Ok(shard) => shard,
        Err(poisoned) => poisoned.into_inner(),
    }
}

impl<V: Clone> SharedCache<V> {
    /// Creates an empty layer.
    #[must_use]
    pub fn new(options: CacheOptions) -> Self {
        let shards = (0..options.shards.max(1)).map(|_| Mutex::new(Shard::new(&options))).collect();
        SharedCache { shards, options, changes: ChangeLog::default() }
    }

    fn shard(&self, key: &str) -> MutexGuard<'_, Shard<V>> {
        lock(&self.shards[shard_of(key, self.shards.len())])
    }

    /// Looks up a key. If there is no valid entry and `may_fetch` holds, the caller gets the lock to fetch
    /// the key, unless another caller holds that lock.
    #[must_use]
    pub fn look_up(&self, key: &str, context: LookupContext, may_fetch: bool) -> SharedLookup<V> {
        let mut shard = self.shard(key);
        if let Some(entry) = shard.fresh(key, context) {
            let level = if entry.is_stale { CacheLevel::Stale } else { CacheLevel::Shared };
            return SharedLookup::Hit { value: entry.value.clone(), expires_at: entry.expires_at, level };
        }
        if !may_fetch {
            return SharedLookup::Miss;
        }
        if shard.is_locked(key, context.now) {
            return SharedLookup::Wait;
        }
        SharedLookup::Fetch(shard.lock_key(key, context.now.saturating_add(self.options.lock_ttl)))
    }

    /// Completes a fetch: stores its result in the shared and the local layer, if the lock is still held.
    /// After a failed fetch, an expired value is returned and kept as stale; after an aborted fetch, the
    /// error is returned.
    ///
    /// # Errors
    /// Returns the error of the fetch if there is no stale value.
    pub fn complete_fetch(
        &self,
        local: &mut LocalCache<V>,
        key: &str,
        lock: &FetchLock,
        result: FetchResult<V>,
        weight: usize,
        context: LookupContext,
    ) -> Result<Found<V>, FetchError> {
        let mut shard = self.shard(key);
        let holds_lock = shard.unlock(key, lock);
        let (entry, level) = match result {
            Ok((value, ttl)) => {
                let Some(ttl) = self.options.time_to_live(ttl, value.is_some()) else {
                    return Ok(Found { value, level: CacheLevel::Fetched });
                };
                let expires_at = expiry(context.now, ttl);
                let entry = Entry { value, expires_at, version: context.version, weight, is_stale: false };
                (entry, CacheLevel::Fetched)
            }
            Err(error) => (self.stale_entry(&shard, key, error, context)?, CacheLevel::Stale),
        };
        let value = entry.value.clone();
        if holds_lock {
            let expires_at = entry.expires_at;
            shard.store(key, entry, &self.options);
            local.put(key, value.clone(), expires_at, context.version);
        }
        Ok(Found { value, level })
    }

    /// Returns the expired entry that replaces the result of a failed fetch, or the error of the fetch.
    fn stale_entry(
        &self,
        shard: &Shard<V>,
        key: &str,
        error: FetchError,
        context: LookupContext,
    ) -> Result<Entry<V>, FetchError> {
        if matches!(error, FetchError::Aborted(_)) {
            return Err(error);
        }
        let Some(stale_ttl) = self.options.stale_ttl else { return Err(error) };
        let Some(entry) = shard.fresh_or_expired_value(key, context).cloned() else { return Err(error) };
        let expires_at = context.now.saturating_add(stale_ttl);
        Ok(Entry { expires_at, is_stale: true, ..entry })
    }

    /// Returns the stale value for a caller that waited too long for another caller's fetch. The value is
    /// not stored again for other callers.
    ///
    /// # Errors
    /// Returns [`FetchError::LockTimeout`] if there is no stale value, or if they are disabled.
    pub fn stale(&self, key: &str, context: LookupContext) -> Result<Found<V>, FetchError> {
        if self.options.stale_ttl.is_none() {
            return Err(FetchError::LockTimeout);
        }
        let shard = self.shard(key);
        let entry = shard.fresh_or_expired_value(key, context).ok_or(FetchError::LockTimeout)?;
        Ok(Found { value: entry.value.clone(), level: CacheLevel::Stale })
    }

    /// Returns whether a caller is fetching this key.
    #[must_use]
    pub fn is_fetching(&self, key: &str, now: Micros) -> bool {
        self.shard(key).is_locked(key, now)
    }

    /// Reads an entry without marking it as used and without copying it to a local layer; reads an expired
    /// entry only if `allow_stale` holds.
    #[must_use]
    pub fn peek(&self, key: &str, allow_stale: bool, context: LookupContext) -> Option<PeekedEntry<V>> {
        let shard = self.shard(key);
        let entry = shard.values.entries.peek(key).or_else(|| shard.negatives.entries.peek(key))?;
        let remaining = i128::from(entry.expires_at) - i128::from(context.now);
        if entry.version != context.version || remaining <= 0 && !allow_stale {
            return None;
        }
        Some(PeekedEntry { remaining, value: entry.value.clone() })
    }

    /// Stores a value; returns false if it does not fit. A fetch in progress loses its lock.
    #[must_use]
    pub fn set(&self, key: &str, value: Option<V>, ttl: Ttl, weight: usize, context: LookupContext) -> bool {
        let Some(ttl) = self.options.time_to_live(ttl, value.is_some()) else { return true };
        let expires_at = expiry(context.now, ttl);
        let entry = Entry { value, expires_at, version: context.version, weight, is_stale: false };
        let is_stored = {
            let mut shard = self.shard(key);
            shard.locks.remove(key);
            shard.store(key, entry, &self.options)
        };
        self.changes.publish(Change::Key(key.to_owned()));
        is_stored
    }

    /// Removes a key from this layer and from the local layers of all threads. A fetch in progress loses
    /// its lock.
    pub fn delete(&self, key: &str) {
        self.shard(key).remove(key);
        self.changes.publish(Change::Key(key.to_owned()));
    }

    /// Removes all keys from this layer and from the local layers of all threads.
    pub fn purge(&self) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.values = BoundedLru::new(self.options.shard_capacity);
            shard.negatives = BoundedLru::new(self.options.negative_capacity);
            shard.locks.clear();
        }
        self.changes.publish(Change::Purge);
    }

    /// Returns the number of values and the number of negative entries.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        self.shards.iter().map(lock).fold((0, 0), |(values, negatives), shard| {
            (values + shard.values.entries.len(), negatives + shard.negatives.entries.len())
        })
    }
}
