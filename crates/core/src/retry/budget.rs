//! How many second tries calls may have together.

use std::sync::atomic::{AtomicU64, Ordering};

/// Second tries are paid from first ones: each first try earns a fifth.
#[derive(Debug, Default)]
pub struct RetryBudget(AtomicU64);

const EARN: u64 = 200;
const COST: u64 = 1_000;
const MOST: u64 = 10 * COST;

impl RetryBudget {
    /// A first try earns a part of a second one.
    pub fn deposit(&self) {
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| Some((n + EARN).min(MOST)));
    }

    /// Whether there is enough for one.
    pub fn has_enough(&self) -> bool {
        self.0.load(Ordering::Relaxed) >= COST
    }

    /// Takes one, if there is enough for it.
    pub fn withdraw(&self) -> bool {
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(COST)).is_ok()
    }
}
