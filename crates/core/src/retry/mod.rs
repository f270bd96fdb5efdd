//! Retries of a call at other workers: the conditions for a retry and the retry budget.

mod budget;
mod decision;

pub use budget::RetryBudget;
pub use decision::{Execution, FailurePoint, RetryDecision, decide};
