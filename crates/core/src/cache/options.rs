//! The options of the cache, the context of a lookup, and the result of a fetch.

use crate::base::{MS, Micros, SEC, Version};
use displaydoc::Display;

/// The capacities and the time limits of the cache.
#[derive(Clone, Debug)]
pub struct CacheOptions {
    /// The capacity of a local layer, in entries. Default: 100.
    pub local_entries: usize,
    /// The time for which a value is fresh, in microseconds; zero means forever. Default: 30 s.
    pub ttl: Micros,
    /// The time for which a negative entry is fresh, in microseconds. Default: 5 s.
    pub negative_ttl: Micros,
    /// The time for which an expired value is returned after a failed fetch, in microseconds; `None`
    /// disables stale values. Default: 5 s.
    pub stale_ttl: Option<Micros>,
    /// The most attempts to evict entries for a new one before the new one is dropped. Default: 3.
    pub max_set_attempts: u32,
    /// The number of least recently used entries that are evicted at each attempt. Default: 30.
    pub evict_batch: usize,
    /// The number of shards of the shared layer, each with its own lock. Default: 16.
    pub shards: usize,
    /// The capacity of one shard for values, in units of weight (bytes). Default: 1 MiB.
    pub shard_capacity: usize,
    /// The capacity of one shard for negative entries, in units of weight. Default: 256 KiB.
    pub negative_capacity: usize,
    /// The longest time that a caller waits for another caller's fetch, in microseconds. Default: 500 ms.
    pub lock_wait: Micros,
    /// The validity of the lock of a fetch, in microseconds. Default: 5 s.
    pub lock_ttl: Micros,
    /// The longest time for applying changes before a lookup, in microseconds. Default: 300 ms.
    pub max_update_time: Micros,
}

impl Default for CacheOptions {
    fn default() -> Self {
        CacheOptions {
            local_entries: 100,
            ttl: 30 * SEC,
            negative_ttl: 5 * SEC,
            stale_ttl: Some(5 * SEC),
            max_set_attempts: 3,
            evict_batch: 30,
            shards: 16,
            shard_capacity: 1 << 20,
            negative_capacity: 1 << 18,
            lock_wait: 500 * MS,
            lock_ttl: 5 * SEC,
            max_update_time: 300 * MS,
        }
    }
}

impl CacheOptions {
    /// Returns the time to live of a value (or of a negative entry, if `is_present` is false), in
    /// microseconds, or `None` if the value must not be stored.
    pub(super) fn time_to_live(&self, ttl: Ttl, is_present: bool) -> Option<Micros> {
        match ttl {
            Ttl::Never => None,
            Ttl::For(time) => Some(time),
            Ttl::Default if is_present => Some(self.ttl),
            Ttl::Default => Some(self.negative_ttl),
        }
    }
}

/// The time and the configuration version of a lookup.
#[derive(Clone, Copy, Debug)]
pub struct LookupContext {
    /// The current time, in microseconds.
    pub now: Micros,
    /// The version of the configuration; entries of other versions are ignored.
    pub version: Version,
}

/// The time to live of a fetched value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ttl {
    /// The time to live in the options of the cache.
    Default,
    /// A time to live in microseconds; zero means forever.
    For(Micros),
    /// The value is not stored.
    Never,
}

/// The result of a fetch: a value, or `None` if there is none, with its time to live; or the error.
pub type FetchResult<V> = Result<(Option<V>, Ttl), FetchError>;

/// The reason why a lookup has no result. A stale value may be returned in place of `Failed`.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum FetchError {
    /// the fetch did not succeed: {0}; it is tried again at the next lookup
    Failed(String),
    /// the fetch broke off: {0}; look at the log of this node
    Aborted(String),
    /// waited too long for the fetch of another call; try again
    LockTimeout,
}

/// Returns the expiry time of an entry that is stored now, in microseconds.
pub(super) fn expiry(now: Micros, ttl: Micros) -> Micros {
    if ttl == 0 { Micros::MAX } else { now.saturating_add(ttl) }
}
