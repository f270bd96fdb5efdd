//! The cache lookup of a call: first the layer of this thread, then the shared layer, then one fetch
//! from the view. PAPER: lua-resty-mlcache.

use super::caches::Cached;
use super::context::StepContext;
use super::counters::DataPlaneCounters;
use crate::base::Micros;
use crate::cache::{CacheLevel, FetchError, FetchResult, Lookup, LookupContext, look_up};
use crate::node::View;

/// The approximate size of an entry that records an absent value, without its key, in bytes.
const ABSENT_ENTRY_BYTES: usize = 96;

/// The outcome of a lookup.
pub(super) enum LookupOutcome<V> {
    /// The value, or `None` if the key is known to have no value.
    Resolved(Option<V>),
    /// Another call is fetching this key; the lookup is to be repeated soon.
    Pending,
    /// The fetch failed, and the cache has no stale value.
    Failed(FetchError),
}

/// Looks up a key for the version of `view`. Values of other versions are never returned.
/// `waiting_since` is the time since which this lookup waits for the fetch of another call.
pub(super) fn lookup<V: Cached>(
    context: &mut StepContext,
    view: &View,
    key: &str,
    waiting_since: Option<Micros>,
    fetch: impl FnOnce() -> FetchResult<V>,
) -> LookupOutcome<V> {
    let moment = LookupContext { now: context.now, version: view.version.unwrap_or(0) };
    let local = V::local(context.thread_caches);
    let shared = V::shared(&context.shared.caches);
    let counters = &context.shared.counters;
    local.apply_changes(&shared.changes, context.clock);
    let found = match look_up(local, shared, key, moment) {
        Lookup::Found(found) => Ok(found),
        Lookup::Fetch(lock) => {
            let fetched = fetch();
            let value = fetched.as_ref().ok().and_then(|(value, _)| value.as_ref());
            let weight = value.map_or(ABSENT_ENTRY_BYTES, Cached::weight) + key.len();
            shared.complete_fetch(local, key, &lock, fetched, weight, moment)
        }
        Lookup::Wait if waiting_since.is_none_or(|since| context.now < since + shared.options.lock_wait) => {
            if waiting_since.is_none() {
                counters.cache_wait.increment();
            }
            return LookupOutcome::Pending;
        }
        Lookup::Wait => shared.stale(key, moment),
    };
    match found {
        Ok(found) => {
            count_lookup(counters, found.level);
            LookupOutcome::Resolved(found.value)
        }
        Err(error) => LookupOutcome::Failed(error),
    }
}

fn count_lookup(counters: &DataPlaneCounters, level: CacheLevel) {
    let counter = match level {
        CacheLevel::Local => &counters.cache_l1,
        CacheLevel::Shared => &counters.cache_l2,
        CacheLevel::Fetched => &counters.cache_l3,
        CacheLevel::Stale => &counters.cache_stale,
    };
    counter.increment();
}
