use crate::base::{MS, Micros};
use crate::config::Kind;
use std::sync::atomic::{AtomicU64, Ordering};

/// The upper ends of the buckets; what is slower goes into the last one.
pub const BUCKET_BOUNDS: [Micros; 11] =
    [5 * MS, 10 * MS, 25 * MS, 50 * MS, 100 * MS, 250 * MS, 500 * MS, 1_000 * MS, 2_500 * MS, 5_000 * MS, 10_000 * MS];

/// How long something took, by the four kinds of traffic.
#[derive(Debug, Default)]
pub struct LatencyHistogram([One; 4]);

#[derive(Debug, Default)]
struct One {
    by: [AtomicU64; BUCKET_BOUNDS.len() + 1],
    sum: AtomicU64,
}

/// One kind's counts: up to each end, of all, and their sum in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistogramSnapshot {
    pub kind: &'static str,
    pub cumulative: Vec<u64>,
    pub count: u64,
    pub sum: Micros,
}

impl LatencyHistogram {
    pub fn record(&self, k: Kind, t: Micros) {
        let o = &self.0[k as usize];
        let i = BUCKET_BOUNDS.partition_point(|e| *e < t);
        o.by[i].fetch_add(1, Ordering::Relaxed);
        o.sum.fetch_add(t, Ordering::Relaxed);
    }

    pub fn snapshot(&self) -> Vec<HistogramSnapshot> {
        Kind::ALL
            .into_iter()
            .map(|k| {
                let o = &self.0[k as usize];
                let mut n = 0;
                let mut upto: Vec<_> =
                    o.by.iter()
                        .map(|x| {
                            n += x.load(Ordering::Relaxed);
                            n
                        })
                        .collect();
                let all = upto.pop().unwrap_or(0);
                HistogramSnapshot { kind: k.name(), cumulative: upto, count: all, sum: o.sum.load(Ordering::Relaxed) }
            })
            .collect()
    }
}
