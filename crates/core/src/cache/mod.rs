//! A cache of two layers in front of a fetch. PAPER: lua-resty-mlcache.
//!
//! [`LocalCache`] (L1) belongs to one thread and needs no lock; [`SharedCache`] (L2) belongs to the
//! process and is sharded by key. [`look_up`] answers from L1, or from L2 and copies the entry to
//! L1, or gives the caller the lock to fetch the key; other callers of the key wait meanwhile, for a
//! bounded time.
//!
//! Guarantees:
//! * No entry of another configuration version is returned, stale or not.
//! * An absent value is cached too (a negative entry), for a shorter time and in a capacity of its
//!   own, so that unknown keys can't evict known ones.
//! * At most one caller at a time holds the lock of a key. A fetch that outlives its lock, or that
//!   was overtaken by a `set` or `delete`, writes nothing.
//! * If a fetch fails, an expired value may be returned as stale and is kept for a short time.
//! * Each `set`, `delete` and `purge` is published in the [`ChangeLog`], which each thread applies
//!   to its L1 before its next lookup.

mod changes;
mod entries;
mod local;
mod lookup;
mod options;
mod shared;

pub use changes::{Change, ChangeLog};
pub use entries::{CacheLevel, FetchLock, Found, PeekedEntry, SharedLookup};
pub use local::LocalCache;
pub use lookup::{Lookup, look_up};
pub use options::{CacheOptions, FetchError, FetchResult, LookupContext, Ttl};
pub use shared::SharedCache;
