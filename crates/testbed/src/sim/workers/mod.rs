//! Simulated workers: how they behave, what they execute, and how they report to nodes.

pub(super) mod execution;
pub(super) mod responses;
pub(super) mod worker;
