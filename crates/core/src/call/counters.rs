use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    pub fn increment(&self) {
        self.add(1);
    }

    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counts {
    ($($(#[doc = $d:literal])* $n:ident,)*) => {
        /// Counters of the data plane; they only grow.
        #[derive(Debug, Default)]
        pub struct Counts { $($(#[doc = $d])* pub $n: Counter,)* }

        pub const HELP_TEXTS: &[(&str, &str)] = &[$((stringify!($n), concat!($($d),*)),)*];

        impl Counts {
            pub fn list(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($n), self.$n.get()),)*]
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
    /// Second tries that neither the kind of trouble nor the budget allowed.
    tries_denied,
    /// Places given up before anything was sent, since the worker had gone.
    reseated,
    /// Units that ended before their call could be sent.
    units_ended,
    /// Streams resumed at another worker.
    resumed,
    /// Answers that broke off visibly.
    broken,
    /// Streams cut because their key was withdrawn.
    cut_revoked,
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
