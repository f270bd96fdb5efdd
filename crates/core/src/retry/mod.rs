//! Retries of a call at other workers: the conditions for a retry, the retry budget and the counters of attempts.

mod attempt_counters;
mod budget;
mod decision;

pub use attempt_counters::{AttemptCounters, PoolAttempts, RetryLog};
pub use budget::{MIN_WINDOW, PERMIT_VALIDITY, RetryBudget, RetryLimits};
pub use decision::{Execution, FailurePoint, RetryDecision, decide};
