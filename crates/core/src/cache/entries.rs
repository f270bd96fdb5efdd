//! What lookups return: plain data of both layers.

use crate::base::Micros;

/// Where a value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheLevel {
    /// The layer of this thread (L1).
    Local,
    /// The layer of the process (L2).
    Shared,
    /// A fetch (L3).
    Fetched,
    /// An expired entry of the shared layer, in place of a fetch.
    Stale,
}

/// A value, or the knowledge that there is none, and where it came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found<V> {
    /// The value; `None` if it is known that there is none.
    pub value: Option<V>,
    /// Where it came from.
    pub level: CacheLevel,
}

/// The right to fetch one key, until it is used or its time to live ends.
#[derive(Debug, PartialEq, Eq)]
pub struct FetchLock {
    /// Distinguishes the locks of a shard.
    pub(super) number: u64,
}

/// What the shared layer knows of a key.
#[derive(Debug)]
pub enum SharedLookup<V> {
    /// There is an entry.
    Hit {
        /// The value; `None` if it is known that there is none.
        value: Option<V>,
        /// When the entry expires, in microseconds.
        expires_at: Micros,
        /// Whether the entry is fresh or stale.
        level: CacheLevel,
    },
    /// There is no entry, and the caller is to fetch it.
    Fetch(FetchLock),
    /// There is no entry, and another caller fetches it.
    Wait,
    /// There is no entry, and the caller did not want to fetch one.
    Miss,
}

/// An entry that was read without counting as a use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeekedEntry<V> {
    /// The time until it expires in microseconds; negative for a stale entry.
    pub remaining: i128,
    /// The value; `None` if it is known that there is none.
    pub value: Option<V>,
}
