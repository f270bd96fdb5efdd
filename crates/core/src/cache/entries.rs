//! The result types of lookups in both layers.

use crate::base::Micros;

/// The level of the cache that a value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheLevel {
    /// The local layer of this thread (L1).
    Local,
    /// The shared layer of the process (L2).
    Shared,
    /// A fetch (L3).
    Fetched,
    /// An expired entry of the shared layer, in place of a fetch.
    Stale,
}

/// A value, or the knowledge that there is none, and the level that it came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found<V> {
    /// The value; `None` if it is known that there is none.
    pub value: Option<V>,
    /// The level that the entry came from.
    pub level: CacheLevel,
}

/// The lock to fetch one key, valid until the fetch is complete or the lock expires.
#[derive(Debug, PartialEq, Eq)]
pub struct FetchLock {
    /// The number of the lock, unique within its shard.
    pub(super) number: u64,
}

/// The result of a lookup in the shared layer.
#[derive(Debug)]
pub enum SharedLookup<V> {
    /// There is a valid entry.
    Hit {
        /// The value; `None` if it is known that there is none.
        value: Option<V>,
        /// When the entry expires, in microseconds.
        expires_at: Micros,
        /// Whether the entry is fresh or stale.
        level: CacheLevel,
    },
    /// There is no valid entry, and the caller must fetch the key.
    Fetch(FetchLock),
    /// There is no valid entry, and another caller is fetching the key.
    Wait,
    /// There is no valid entry, and the caller did not request a fetch.
    Miss,
}

/// An entry that was read without being marked as used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeekedEntry<V> {
    /// The time until the entry expires, in microseconds; negative for a stale entry.
    pub remaining: i128,
    /// The value; `None` if it is known that there is none.
    pub value: Option<V>,
}
