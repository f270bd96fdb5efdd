use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[doc = $d:literal])* $n:ident,)*) => {
        /// Counters of the data plane; they only grow.
        #[derive(Debug, Default)]
        pub struct Counts { $($(#[doc = $d])* pub $n: AtomicU64,)* }

        pub const HELP: &[(&str, &str)] = &[$((stringify!($n), concat!($($d),*)),)*];

        impl Counts {
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($n), self.$n.load(Ordering::Relaxed)),)*]
            }
        }
    };
}

counts! {
    /// Calls read.
    calls,
    /// Calls that a worker's answer was passed on for, whole.
    served,
    /// First tries sent to workers.
    tries_first,
    /// Second tries sent to workers.
    tries_second,
    /// Second tries that the budget did not allow.
    tries_denied,
    /// Streams resumed at another worker.
    resumed,
    /// Answers that broke off visibly.
    broken,
    /// Streams cut because their key was withdrawn.
    cut_revoked,
    /// Calls refused for want of freshness.
    refused_stale,
    /// Calls refused without a key that is known.
    refused_key,
    /// Calls refused without a match.
    refused_match,
    /// Calls refused for what they sent.
    refused_body,
    /// Calls refused because their quota is spent.
    refused_quota,
    /// Calls refused because no holder of the quota answered in time.
    refused_unsettled,
    /// Calls refused because all workers are full.
    refused_full,
    /// Calls that ended in trouble at a worker.
    refused_worker,
    /// Calls whose downstream went away before the answer.
    left,
    /// Calls sent to a worker in another zone.
    far,
    /// Bytes of calls and answers that crossed zones.
    far_bytes,
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

impl Counts {
    pub fn add(c: &AtomicU64) {
        c.fetch_add(1, Ordering::Relaxed);
    }
}
