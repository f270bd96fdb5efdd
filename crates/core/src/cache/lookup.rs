//! The lookup of a key through both layers.

use super::entries::{CacheLevel, FetchLock, Found, SharedLookup};
use super::local::LocalCache;
use super::options::LookupContext;
use super::shared::SharedCache;

/// The result of a lookup through both layers.
#[derive(Debug)]
pub enum Lookup<V> {
    /// There is a valid entry.
    Found(Found<V>),
    /// The caller must fetch the key and then call [`SharedCache::complete_fetch`].
    Fetch(FetchLock),
    /// Another caller is fetching the key. Repeat the lookup for at most
    /// [`lock_wait`](super::CacheOptions::lock_wait), then use [`SharedCache::stale`].
    Wait,
}

/// Looks a key up in the local layer, then in the shared layer, whose fresh entries are copied to the
/// local layer. The caller must call [`LocalCache::apply_changes`] first.
#[must_use]
pub fn look_up<V: Clone>(
    local: &mut LocalCache<V>,
    shared: &SharedCache<V>,
    key: &str,
    context: LookupContext,
) -> Lookup<V> {
    if let Some(value) = local.get(key, context) {
        return Lookup::Found(Found { value, level: CacheLevel::Local });
    }
    match shared.look_up(key, context, true) {
        SharedLookup::Hit { value, expires_at, level } => {
            if level != CacheLevel::Stale {
                local.put(key, value.clone(), expires_at, context.version);
            }
            Lookup::Found(Found { value, level })
        }
        SharedLookup::Fetch(lock) => Lookup::Fetch(lock),
        SharedLookup::Wait | SharedLookup::Miss => Lookup::Wait,
    }
}
