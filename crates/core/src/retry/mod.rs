//! Retries of a call at other workers: when they are allowed and what pays for them.

mod budget;
mod decision;

pub use budget::RetryBudget;
pub use decision::{Execution, FailurePoint, RetryDecision, decide};
