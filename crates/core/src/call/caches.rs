//! The two cache layers of a call's lookups: one per thread and one per process.

use crate::cache::{CacheOptions, LocalCache, SharedCache};
use crate::config::{QuotaLimit, Tenant};
use crate::placement::PlacementTable;
use std::sync::Arc;

/// The cache layers that all threads of the process share, one for each kind of value.
#[derive(Debug)]
pub struct Caches {
    /// The tenant that owns an API key, by the hash of the key.
    pub keys: SharedCache<Arc<Tenant>>,
    /// The quota of a tenant, by its name.
    pub quotas: SharedCache<QuotaLimit>,
    /// The placement table of a pool, by its name.
    pub routes: SharedCache<Arc<PlacementTable>>,
}

impl Default for Caches {
    fn default() -> Self {
        let options = CacheOptions::default();
        Caches {
            keys: SharedCache::new(options.clone()),
            quotas: SharedCache::new(options.clone()),
            routes: SharedCache::new(options),
        }
    }
}

/// The cache layers of one thread, which need no lock.
#[derive(Debug)]
pub struct ThreadCaches {
    keys: LocalCache<Arc<Tenant>>,
    quotas: LocalCache<QuotaLimit>,
    routes: LocalCache<Arc<PlacementTable>>,
}

impl Default for ThreadCaches {
    fn default() -> Self {
        let options = CacheOptions::default();
        ThreadCaches {
            keys: LocalCache::new(&options),
            quotas: LocalCache::new(&options),
            routes: LocalCache::new(&options),
        }
    }
}

/// A kind of cached value, with access to its two layers.
pub(super) trait Cached: Clone {
    /// Returns the layer of this thread.
    fn local(caches: &mut ThreadCaches) -> &mut LocalCache<Self>;
    /// Returns the layer of the process.
    fn shared(caches: &Caches) -> &SharedCache<Self>;
    /// Returns the approximate memory use of the value, in bytes.
    fn weight(&self) -> usize;
}

macro_rules! cached {
    ($value:ty, $field:ident, $weight:expr) => {
        impl Cached for $value {
            fn local(caches: &mut ThreadCaches) -> &mut LocalCache<Self> {
                &mut caches.$field
            }
            fn shared(caches: &Caches) -> &SharedCache<Self> {
                &caches.$field
            }
            fn weight(&self) -> usize {
                $weight(self)
            }
        }
    };
}

/// The approximate size of a placement table without endpoints, in bytes.
const EMPTY_TABLE_BYTES: usize = 64;
/// The approximate size of one endpoint in a placement table, in bytes.
const ENDPOINT_BYTES: usize = 1_200;

cached!(Arc<Tenant>, keys, |_: &Arc<Tenant>| 256);
cached!(QuotaLimit, quotas, |_: &QuotaLimit| 64);
cached!(Arc<PlacementTable>, routes, |table: &Arc<PlacementTable>| {
    EMPTY_TABLE_BYTES + table.endpoints.len() * ENDPOINT_BYTES
});
