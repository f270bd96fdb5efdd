//! Measures the cost of lookups in the layered cache and which layer answers them, for the keys
//! of eight tenants, two of which make over half of the calls.

use std::sync::Arc;
use std::time::Instant;
use sumacvale_core::base::{MS, Micros, Rng, Version};
use sumacvale_core::cache::{CacheLevel, CacheOptions, LocalCache, Lookup, LookupContext, SharedCache, Ttl, look_up};

/// The number of tenants whose keys exist.
const TENANTS: u64 = 8;
/// The number of tenants that make more than half of the calls.
const BUSY_TENANTS: u64 = 2;
/// The share of calls that are drawn from the busy tenants alone, in percent.
const BUSY_PERCENT: u64 = 55;
/// The time between two lookups of a thread, in microseconds.
const LOOKUP_INTERVAL: Micros = MS;
/// The size of a value, in bytes.
const VALUE_BYTES: usize = 320;

/// The lookups to measure.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The number of threads; each has a local cache (L1), and all use one shared cache (L2).
    pub threads: u64,
    /// The number of lookups of each thread.
    pub lookups: u64,
    /// The share of lookups for keys that do not exist, in percent.
    pub unknown_percent: u64,
    /// The number of lookups of a thread after which the configuration changes its version.
    pub lookups_per_version: u64,
}

/// The numbers of lookups by the source that answered them.
#[derive(Clone, Copy, Debug, Default)]
pub struct LookupSources {
    /// Answered by the thread's own cache (L1).
    pub local: u64,
    /// Answered by the shared cache (L2).
    pub shared: u64,
    /// Fetched from the source.
    pub fetched: u64,
}

impl LookupSources {
    /// The number of all lookups.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.local + self.shared + self.fetched
    }

    fn add(&mut self, other: LookupSources) {
        self.local += other.local;
        self.shared += other.shared;
        self.fetched += other.fetched;
    }
}

/// The measured cost of a workload.
#[derive(Clone, Copy, Debug, Default)]
pub struct LookupCost {
    /// Lookups of all threads by the source that answered them.
    pub sources: LookupSources,
    /// The mean time of a lookup on a thread, in nanoseconds.
    pub lookup_ns: u64,
    /// The number of values in the shared cache at the end.
    pub shared_values: usize,
    /// The number of misses (keys known not to exist) in the shared cache at the end.
    pub shared_misses: usize,
}

/// Runs the workload on all its threads at the same time and returns its cost.
#[must_use]
pub fn measure(workload: Workload) -> LookupCost {
    let options = CacheOptions::default();
    let shared = Arc::new(SharedCache::<Arc<u64>>::new(options.clone()));
    let threads: Vec<_> = (0..workload.threads)
        .map(|thread| {
            let (shared, options) = (shared.clone(), options.clone());
            std::thread::spawn(move || ThreadRun::new(thread, workload, &shared, &options).run())
        })
        .collect();
    let mut cost = LookupCost::default();
    for (sources, lookup_ns) in threads.into_iter().filter_map(|thread| thread.join().ok()) {
        cost.sources.add(sources);
        cost.lookup_ns += lookup_ns;
    }
    cost.lookup_ns /= workload.threads.max(1);
    (cost.shared_values, cost.shared_misses) = shared.size();
    cost
}

/// The state of one thread that runs its lookups.
struct ThreadRun<'a> {
    workload: Workload,
    local: LocalCache<Arc<u64>>,
    shared: &'a SharedCache<Arc<u64>>,
    rng: Rng,
    known_keys: Vec<String>,
    sources: LookupSources,
}

impl<'a> ThreadRun<'a> {
    fn new(thread: u64, workload: Workload, shared: &'a SharedCache<Arc<u64>>, options: &CacheOptions) -> Self {
        ThreadRun {
            workload,
            local: LocalCache::new(options),
            shared,
            rng: Rng::new(thread + 1),
            known_keys: (0..TENANTS).map(key).collect(),
            sources: LookupSources::default(),
        }
    }

    /// Runs all lookups; returns their numbers by source and the mean time of one, in nanoseconds.
    fn run(mut self) -> (LookupSources, u64) {
        let begin = Instant::now();
        for number in 0..self.workload.lookups {
            self.look_up(number);
        }
        let elapsed_ns = u64::try_from(begin.elapsed().as_nanos()).unwrap_or(0);
        (self.sources, elapsed_ns / self.workload.lookups.max(1))
    }

    /// Looks one key up, and fetches its value if this thread gets the fetch lease.
    fn look_up(&mut self, number: u64) {
        let unknown = self.rng.chance_percent(self.workload.unknown_percent).then(|| key(self.rng.next_u64()));
        let known = if unknown.is_none() { self.draw_tenant() } else { 0 };
        let key = unknown.as_ref().unwrap_or(&self.known_keys[known]);
        let context = LookupContext {
            now: number * LOOKUP_INTERVAL,
            version: (number / self.workload.lookups_per_version) as Version,
        };
        self.local.apply_changes(&self.shared.changes, || context.now);
        loop {
            match look_up(&mut self.local, self.shared, key, context) {
                Lookup::Found(found) => match found.level {
                    CacheLevel::Local => self.sources.local += 1,
                    CacheLevel::Shared => self.sources.shared += 1,
                    CacheLevel::Fetched | CacheLevel::Stale => self.sources.fetched += 1,
                },
                Lookup::Fetch(lease) => {
                    let value = self.known_keys.contains(key).then(|| Arc::new(number));
                    let fetched = Ok((value, Ttl::Default));
                    let _ = self.shared.complete_fetch(&mut self.local, key, &lease, fetched, VALUE_BYTES, context);
                    self.sources.fetched += 1;
                }
                Lookup::Wait => {
                    std::hint::spin_loop();
                    continue;
                }
            }
            break;
        }
    }

    /// Draws a tenant and returns the index of its key.
    fn draw_tenant(&mut self) -> usize {
        let tenants = if self.rng.chance_percent(BUSY_PERCENT) { BUSY_TENANTS } else { TENANTS };
        usize::try_from(self.rng.next_below(tenants)).unwrap_or(0)
    }
}

/// Makes the key of a number, of the length of a hash in hex.
fn key(number: u64) -> String {
    format!("{number:064x}")
}
