//! The retry budget: limits retries to a fraction of first attempts, so that retries can't multiply
//! the load of a failing pool.

use std::sync::atomic::{AtomicU64, Ordering};

/// The deposit of a first attempt: a fifth of a retry.
const DEPOSIT: u64 = 200;

/// The cost of a retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;

/// The maximum balance: ten retries.
const MAX_BALANCE: u64 = 10 * RETRY_COST;

/// The balance of retries that first attempts have paid for. Invariant: the balance starts at zero and
/// stays within `0..=MAX_BALANCE`.
#[derive(Debug, Default)]
pub struct RetryBudget(AtomicU64);

impl RetryBudget {
    /// Adds the deposit of a first attempt.
    pub fn deposit(&self) {
        let deposited = |balance: u64| Some((balance + DEPOSIT).min(MAX_BALANCE));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposited);
    }

    /// Returns whether the balance covers a retry.
    #[must_use]
    pub fn allows_retry(&self) -> bool {
        self.0.load(Ordering::Relaxed) >= RETRY_COST
    }

    /// Withdraws the cost of a retry; returns false if the balance does not cover it.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let withdrawn = |balance: u64| balance.checked_sub(RETRY_COST);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdrawn).is_ok()
    }
}
