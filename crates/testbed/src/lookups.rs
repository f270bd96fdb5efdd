//! What a lookup costs and which layer answers it, under the brief's mix of keys.

use std::sync::Arc;
use std::time::Instant;
use sumacvale_core::base::{Micros, Rng, Version};
use sumacvale_core::cache::{CacheOptions, LocalCache, Lookup, LookupContext, SharedCache, Ttl, look_up};

/// Lookups by layer (L1, L2, fetch), and nanoseconds for each lookup on a thread.
pub struct Cost {
    pub by: [u64; 3],
    pub ns: u64,
    pub held: (usize, usize),
}

/// Eight tenants, two of them with over half of the calls, and `strange` percent of
/// keys that nobody has; a version changes after every `turn` lookups.
pub fn run(threads: u64, each: u64, strange: u64, turn: u64) -> Cost {
    let o = CacheOptions::default();
    let l2 = Arc::new(SharedCache::<Arc<u64>>::new(o.clone()));
    let ts: Vec<_> = (0..threads)
        .map(|t| {
            let (l2, o) = (l2.clone(), o.clone());
            std::thread::spawn(move || one(t, each, strange, turn, &l2, &o))
        })
        .collect();
    let mut by = [0; 3];
    let mut ns = 0;
    for t in ts {
        if let Ok((b, n)) = t.join() {
            for (x, y) in by.iter_mut().zip(b) {
                *x += y;
            }
            ns += n;
        }
    }
    Cost { by, ns: ns / threads.max(1), held: l2.size() }
}

fn one(t: u64, each: u64, strange: u64, turn: u64, l2: &SharedCache<Arc<u64>>, o: &CacheOptions) -> ([u64; 3], u64) {
    let mut l1 = LocalCache::new(o);
    let mut r = Rng::new(t + 1);
    let known: Vec<String> = (0..8).map(|i| format!("{i:064x}")).collect();
    let mut by = [0u64; 3];
    let begin = Instant::now();
    for n in 0..each {
        let fresh;
        let k = if r.chance(strange) {
            fresh = format!("{:064x}", r.next_u64());
            &fresh
        } else {
            let i = if r.chance(55) { r.below(2) } else { r.below(8) };
            &known[usize::try_from(i).unwrap_or(0)]
        };
        // A call a millisecond on each thread.
        let c = LookupContext { now: n * 1_000 as Micros, version: (n / turn) as Version };
        l1.apply_changes(&l2.changes, || c.now);
        loop {
            match look_up(&mut l1, l2, k, c) {
                Lookup::Found(f) => by[(f.level as usize).min(2)] += 1,
                Lookup::Fetch(l) => {
                    let v = known.contains(k).then(|| Arc::new(n));
                    let _ = l2.complete_fetch(&mut l1, k, &l, Ok((v, Ttl::Default)), 320, c);
                    by[2] += 1;
                }
                Lookup::Wait => {
                    std::hint::spin_loop();
                    continue;
                }
            }
            break;
        }
    }
    let ns = u64::try_from(begin.elapsed().as_nanos()).unwrap_or(0) / each.max(1);
    (by, ns)
}
