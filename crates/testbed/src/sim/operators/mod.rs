//! Simulated operators and clients: configuration changes, and the traffic of calls.

pub(super) mod documents;
pub(super) mod orders;
pub(super) mod traffic;
