//! What a lookup in the layered cache costs and which layer answers it, under the mix of
//! keys that the brief names: eight tenants, two of them with over half of the calls.

use std::sync::Arc;
use std::time::Instant;
use sumacvale_core::base::{MS, Micros, Rng, Version};
use sumacvale_core::cache::{CacheLevel, CacheOptions, LocalCache, Lookup, LookupContext, SharedCache, Ttl, look_up};

/// Tenants whose keys exist.
const TENANTS: u64 = 8;
/// Tenants that make more than half of the calls.
const BUSY_TENANTS: u64 = 2;
/// Percent of the calls that are drawn from the busy tenants alone.
const BUSY_PERCENT: u64 = 55;
/// The time between two lookups of a thread, in microseconds.
const LOOKUP_INTERVAL: Micros = MS;
/// The size of a value, in bytes.
const VALUE_BYTES: usize = 320;

/// The lookups that are measured.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Threads, each with a local cache (L1) and all with one shared cache (L2).
    pub threads: u64,
    /// Lookups of each thread.
    pub lookups: u64,
    /// Percent of the lookups that are for keys which do not exist.
    pub unknown_percent: u64,
    /// Lookups of a thread after which the configuration has a new version.
    pub lookups_per_version: u64,
}

/// Lookups by what answered them.
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
    /// All lookups.
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

/// What the lookups cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct LookupCost {
    /// Lookups of all threads by what answered them.
    pub sources: LookupSources,
    /// The mean time of a lookup on a thread, in nanoseconds.
    pub lookup_ns: u64,
    /// Values in the shared cache at the end.
    pub shared_values: usize,
    /// Misses (keys known not to exist) in the shared cache at the end.
    pub shared_misses: usize,
}

/// Runs the workload on its threads at the same time.
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

/// The lookups of one thread.
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

    /// Gives the lookups by source and the mean time of one, in nanoseconds.
    fn run(mut self) -> (LookupSources, u64) {
        let begin = Instant::now();
        for number in 0..self.workload.lookups {
            self.look_up(number);
        }
        let elapsed_ns = u64::try_from(begin.elapsed().as_nanos()).unwrap_or(0);
        (self.sources, elapsed_ns / self.workload.lookups.max(1))
    }

    fn look_up(&mut self, number: u64) {
        let unknown = self.rng.chance(self.workload.unknown_percent).then(|| key(self.rng.next_u64()));
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

    /// The index of a tenant's key.
    fn draw_tenant(&mut self) -> usize {
        let tenants = if self.rng.chance(BUSY_PERCENT) { BUSY_TENANTS } else { TENANTS };
        usize::try_from(self.rng.below(tenants)).unwrap_or(0)
    }
}

fn key(number: u64) -> String {
    format!("{number:064x}")
}
