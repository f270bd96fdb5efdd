//! Latency histograms with fixed buckets for each kind of traffic.

use crate::base::{MS, Micros};
use crate::config::TrafficKind;
use std::sync::atomic::{AtomicU64, Ordering};

/// The upper bounds of the buckets, in microseconds. One more bucket holds the slower observations.
pub const BUCKET_BOUNDS: [Micros; 11] =
    [5 * MS, 10 * MS, 25 * MS, 50 * MS, 100 * MS, 250 * MS, 500 * MS, 1_000 * MS, 2_500 * MS, 5_000 * MS, 10_000 * MS];

/// A histogram of durations for each kind of traffic.
#[derive(Debug, Default)]
pub struct LatencyHistogram([KindHistogram; 4]);

#[derive(Debug, Default)]
struct KindHistogram {
    /// The number of observations in each bucket, not cumulative.
    buckets: [AtomicU64; BUCKET_BOUNDS.len() + 1],
    /// The sum of all observations, in microseconds.
    sum: AtomicU64,
}

/// The observations of one kind of traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistogramSnapshot {
    /// The name of the kind of traffic.
    pub kind: &'static str,
    /// The number of observations up to each of [`BUCKET_BOUNDS`].
    pub cumulative: Vec<u64>,
    /// The number of all observations.
    pub count: u64,
    /// The sum of all observations, in microseconds.
    pub sum: Micros,
}

impl LatencyHistogram {
    /// Records one duration in microseconds.
    pub fn record(&self, kind: TrafficKind, duration: Micros) {
        let histogram = &self.0[kind as usize];
        let bucket = BUCKET_BOUNDS.partition_point(|bound| *bound < duration);
        histogram.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        histogram.sum.fetch_add(duration, Ordering::Relaxed);
    }

    /// Returns the observations so far, one entry for each kind.
    #[must_use]
    pub fn snapshot(&self) -> Vec<HistogramSnapshot> {
        TrafficKind::ALL.into_iter().map(|kind| self.0[kind as usize].snapshot(kind)).collect()
    }
}

impl KindHistogram {
    fn snapshot(&self, kind: TrafficKind) -> HistogramSnapshot {
        let add_up = |total: &mut u64, bucket: &AtomicU64| {
            *total += bucket.load(Ordering::Relaxed);
            Some(*total)
        };
        let mut cumulative: Vec<_> = self.buckets.iter().scan(0, add_up).collect();
        let count = cumulative.pop().unwrap_or(0);
        HistogramSnapshot { kind: kind.name(), cumulative, count, sum: self.sum.load(Ordering::Relaxed) }
    }
}
