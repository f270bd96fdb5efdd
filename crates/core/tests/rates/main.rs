//! Tests of shares of a rate: the bucket of a node, the pool of a lease holder, and both together in a simulation.

mod bucket;
mod forms;
mod pool;
#[path = "../rate_excess/mod.rs"]
mod rate_excess;
mod simulation;
mod simulation_runs;

use sumacvale_core::base::Micros;
use sumacvale_core::config::Rate;
use sumacvale_core::protocol::ShareGrant;
use sumacvale_core::quota::{AcquireOutcome, ShareBucket};

const RATE: Rate = Rate { milli_per_second: 10_000, burst_milli: 10_000 };

fn grant_of(share: u32, burst_milli: u64) -> ShareGrant {
    ShareGrant { granted: true, share, burst_milli, loaned_units: 0 }
}

fn units_taken(bucket: &mut ShareBucket, now: Micros) -> u64 {
    (0..1_000).take_while(|_| matches!(bucket.acquire_unit(now), AcquireOutcome::Acquired { .. })).count() as u64
}

/// Returns a bucket that was granted a share at the time of its request.
fn granted_bucket(share: u32, burst_milli: u64, now: Micros) -> ShareBucket {
    let mut bucket = ShareBucket::new(RATE, now);
    bucket.make_request(0, 1, 0, now);
    assert!(bucket.apply_grant(1, grant_of(share, burst_milli), now, now));
    bucket
}
