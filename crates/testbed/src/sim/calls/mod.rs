//! Calls of simulated clients: the data plane of each process, and the outcome of each call.

pub(super) mod call_driver;
pub(super) mod call_registry;
pub(super) mod outcome;
