//! Options of the cache, the moment of a lookup, and what a fetch answers.

use crate::base::{MS, Micros, SEC, Version};
use displaydoc::Display;

/// How long entries are kept, and how many.
#[derive(Clone, Debug)]
pub struct CacheOptions {
    pub l1_entries: usize,
    /// Nought: a value never ends by time.
    pub ttl: Micros,
    pub negative_ttl: Micros,
    /// None: a stale value is never given in place of a trouble.
    pub stale_ttl: Option<Micros>,
    pub max_set_attempts: u32,
    pub evict: usize,
    pub shards: usize,
    /// How much one shard holds, in weights.
    pub shard_capacity: usize,
    pub negative_capacity: usize,
    pub lock_wait: Micros,
    /// A fetch that takes longer has lost its lock.
    pub lock_ttl: Micros,
    pub update: Micros,
}

impl Default for CacheOptions {
    fn default() -> Self {
        CacheOptions {
            l1_entries: 100,
            ttl: 30 * SEC,
            negative_ttl: 5 * SEC,
            stale_ttl: Some(5 * SEC),
            max_set_attempts: 3,
            evict: 30,
            shards: 16,
            shard_capacity: 1 << 20,
            negative_capacity: 1 << 18,
            lock_wait: 500 * MS,
            lock_ttl: 5 * SEC,
            update: 300 * MS,
        }
    }
}

/// The moment of a lookup: no entry of another version is given, stale or not.
#[derive(Clone, Copy, Debug)]
pub struct LookupContext {
    pub now: Micros,
    pub version: Version,
}

/// What a fetch says about how long its value may be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ttl {
    Usual,
    For(Micros),
    Never,
}

/// A value or none with its time to live, or why there is no answer.
pub type Fetched<V> = Result<(Option<V>, Ttl), Soft>;

/// Why a fetch gave no answer; a stale value may stand in.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Soft {
    /// the fetch did not succeed: {0}; it is tried again at the next lookup
    Fetch(String),
    /// the fetch broke off: {0}; look at the log of this node
    Broke(String),
    /// waited too long for the fetch of another call; try again
    LockWait,
}

/// When an entry that is set now with this time to live ends.
pub(super) fn end(now: Micros, ttl: Micros) -> Micros {
    if ttl == 0 { Micros::MAX } else { now.saturating_add(ttl) }
}
