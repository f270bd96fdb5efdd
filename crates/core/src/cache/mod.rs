//! A two-level cache in front of a fetch. PAPER: lua-resty-mlcache.
//!
//! [`LocalCache`] (L1) belongs to one thread and needs no lock; [`SharedCache`] (L2) belongs to the
//! process and is sharded by key. [`look_up`] returns the entry from L1, or from L2 and copies it to
//! L1, or gives the caller the lock to fetch the key. Other callers for the same key wait for the
//! fetch, for a bounded time.
//!
//! Guarantees:
//! * No entry of another configuration version is returned, stale or not.
//! * An absent value is cached as well (a negative entry), for a shorter time and with a separate
//!   capacity, so that unknown keys can't evict known ones.
//! * At most one caller at a time holds the lock of a key. A fetch whose lock expired, or that a `set`
//!   or `delete` superseded, writes nothing.
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
