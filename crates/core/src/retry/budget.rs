//! The retry budget: bounds retries to a share of first attempts, so that retries can't multiply
//! the load of a pool that already fails.

use std::sync::atomic::{AtomicU64, Ordering};

/// What a first attempt deposits: a fifth of a retry.
const DEPOSIT: u64 = 200;

/// What a retry costs.
const RETRY_COST: u64 = 1_000;

/// The most that the budget holds: ten retries.
const MAX_BALANCE: u64 = 10 * RETRY_COST;

/// Retries are paid for by first attempts. The balance starts at zero and stays within
/// `0..=MAX_BALANCE`.
#[derive(Debug, Default)]
pub struct RetryBudget(AtomicU64);

impl RetryBudget {
    /// A first attempt deposits a part of a retry.
    pub fn deposit(&self) {
        let deposited = |balance: u64| Some((balance + DEPOSIT).min(MAX_BALANCE));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposited);
    }

    /// Whether the balance covers a retry.
    #[must_use]
    pub fn has_enough(&self) -> bool {
        self.0.load(Ordering::Relaxed) >= RETRY_COST
    }

    /// Pays for a retry; false if the balance does not cover it.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let withdrawn = |balance: u64| balance.checked_sub(RETRY_COST);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdrawn).is_ok()
    }
}
