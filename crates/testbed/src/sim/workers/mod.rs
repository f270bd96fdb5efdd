//! Simulated workers: their behaviour, their executions, and their reports to nodes.

pub(super) mod execution;
pub(super) mod responses;
pub(super) mod worker;
