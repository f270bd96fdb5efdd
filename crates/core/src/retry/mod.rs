//! Tries of a call at several workers.

mod budget;
mod decision;

pub use budget::RetryBudget;
pub use decision::{Execution, FailurePoint, RetryDecision, decide};
