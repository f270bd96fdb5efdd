//! The options of the cache, the moment of a lookup, and the result of a fetch.

use crate::base::{MS, Micros, SEC, Version};
use displaydoc::Display;

/// How long entries are kept, and how many.
#[derive(Clone, Debug)]
pub struct CacheOptions {
    /// How many entries a local layer holds. Default: 100.
    pub local_entries: usize,
    /// How long a value is fresh, in microseconds; zero means for ever. Default: 30 s.
    pub ttl: Micros,
    /// How long a negative entry is fresh, in microseconds. Default: 5 s.
    pub negative_ttl: Micros,
    /// How long an expired value stays in use after a failed fetch, in microseconds; `None` disables
    /// stale values. Default: 5 s.
    pub stale_ttl: Option<Micros>,
    /// How often room is made for one entry before it is given up. Default: 3.
    pub max_set_attempts: u32,
    /// How many of the least recently used entries are evicted at each attempt. Default: 30.
    pub evict_batch: usize,
    /// How many shards, with a lock each, the shared layer has. Default: 16.
    pub shards: usize,
    /// The capacity of one shard for values, in units of weight (bytes). Default: 1 MiB.
    pub shard_capacity: usize,
    /// The capacity of one shard for negative entries, in units of weight. Default: 256 KiB.
    pub negative_capacity: usize,
    /// How long a caller waits for the fetch of another one, in microseconds. Default: 500 ms.
    pub lock_wait: Micros,
    /// How long the lock of a fetch is valid, in microseconds. Default: 5 s.
    pub lock_ttl: Micros,
    /// How long a thread may take to apply changes before a lookup, in microseconds. Default: 300 ms.
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
    /// How long a value (or a negative entry, if `is_present` is false) is kept, in microseconds;
    /// `None` if it is not kept at all.
    pub(super) fn time_to_live(&self, ttl: Ttl, is_present: bool) -> Option<Micros> {
        match ttl {
            Ttl::Never => None,
            Ttl::For(time) => Some(time),
            Ttl::Default if is_present => Some(self.ttl),
            Ttl::Default => Some(self.negative_ttl),
        }
    }
}

/// The moment of a lookup.
#[derive(Clone, Copy, Debug)]
pub struct LookupContext {
    /// The time in microseconds.
    pub now: Micros,
    /// The version of the configuration; entries of other versions are ignored.
    pub version: Version,
}

/// How long a fetched value may be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ttl {
    /// As the options of the cache say.
    Default,
    /// For so many microseconds; zero means for ever.
    For(Micros),
    /// Not at all.
    Never,
}

/// A value, or `None` if there is none, and how long that may be kept; or why nothing was fetched.
pub type FetchResult<V> = Result<(Option<V>, Ttl), FetchError>;

/// Why a lookup has no answer. A stale value may be returned in place of `Failed`.
#[derive(Clone, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum FetchError {
    /// the fetch did not succeed: {0}; it is tried again at the next lookup
    Failed(String),
    /// the fetch broke off: {0}; look at the log of this node
    Aborted(String),
    /// waited too long for the fetch of another call; try again
    LockTimeout,
}

/// When an entry that is stored now expires, in microseconds.
pub(super) fn expiry(now: Micros, ttl: Micros) -> Micros {
    if ttl == 0 { Micros::MAX } else { now.saturating_add(ttl) }
}
