//! One cache lookup of a call: the layer of this thread, the shared layer, then one fetch from the
//! view. PAPER: lua-resty-mlcache.

use super::caches::Cached;
use super::context::StepContext;
use super::counters::DataPlaneCounters;
use crate::base::Micros;
use crate::cache::{CacheLevel, FetchError, FetchResult, Lookup, LookupContext, look_up};
use crate::node::View;

/// The weight of an entry that records an absent value, without its key, in bytes.
const ABSENT_WEIGHT: usize = 96;

/// What a lookup came to.
pub(super) enum LookupOutcome<V> {
    /// The value, or the knowledge that there is none.
    Found(Option<V>),
    /// Another call fetches this key: look again soon.
    InProgress,
    /// There is neither a value nor a stale one.
    Failed(FetchError),
}

/// Looks a key up for the version of `view`; values of other versions are never returned.
/// `waiting_since` is when this lookup began to wait for the fetch of another call.
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
            let weight = value.map_or(ABSENT_WEIGHT, Cached::weight) + key.len();
            shared.complete_fetch(local, key, &lock, fetched, weight, moment)
        }
        Lookup::Wait if waiting_since.is_none_or(|since| context.now < since + shared.options.lock_wait) => {
            if waiting_since.is_none() {
                counters.cache_wait.increment();
            }
            return LookupOutcome::InProgress;
        }
        Lookup::Wait => shared.stale(key, moment),
    };
    match found {
        Ok(found) => {
            count_lookup(counters, found.level);
            LookupOutcome::Found(found.value)
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
