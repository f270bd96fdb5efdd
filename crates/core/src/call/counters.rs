//! The counters of the data plane and the help texts of their metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `amount`.
    pub fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the current count.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        /// The monotonic counters of the data plane.
        #[derive(Debug, Default)]
        pub struct DataPlaneCounters { $($(#[doc = $doc])* pub $name: Counter,)* }

        /// The name and the help text of each counter, in the order of [`DataPlaneCounters::list`].
        pub const HELP_TEXTS: &[(&str, &str)] = &[$((stringify!($name), concat!($($doc),*)),)*];

        impl DataPlaneCounters {
            /// Returns the name and the count of each counter.
            #[must_use]
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

counters! {
    /// Calls read.
    calls,
    /// Calls whose response was passed on completely.
    served,
    /// First attempts sent to workers.
    attempts_first,
    /// Retries sent to workers.
    retries,
    /// Retries that the kind of failure, the limit or the retry budget did not allow.
    retries_denied,
    /// Slots released before anything was sent, since the worker was gone.
    slots_reassigned,
    /// Quota units that expired before their call could be sent.
    units_expired,
    /// Streams resumed at another worker.
    streams_resumed,
    /// Responses that were aborted visibly.
    streams_aborted,
    /// Streams cut because their key was withdrawn.
    streams_cut_on_revoke,
    /// Calls whose client went away before the response.
    clients_gone,
    /// Calls sent to a worker in another zone.
    cross_zone_calls,
    /// Bytes of calls and responses that crossed zones.
    cross_zone_bytes,
    /// Cache lookups answered by the thread's own layer.
    cache_l1,
    /// Cache lookups answered by the shared layer.
    cache_l2,
    /// Cache lookups that fetched.
    cache_l3,
    /// Cache lookups answered with a stale value.
    cache_stale,
    /// Cache lookups that waited for another's fetch.
    cache_wait,
}
