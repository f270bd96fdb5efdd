//! What a call holds until it ends: plain data that all parts of a call may name.

use crate::base::Micros;
use crate::placement::Endpoint;

/// A slot reserved at a worker.
#[derive(Clone, Debug)]
pub struct ReservedSlot {
    /// The pool that the call was placed in.
    pub pool: String,
    /// The worker.
    pub endpoint: Endpoint,
    /// Identifies the call in the model of the engine; zero if the engine has no model.
    pub ticket: u64,
}

/// A unit of a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUnit {
    /// The quota window that the unit counts in.
    pub window: u64,
    /// When the slice that the unit came from ends, in microseconds.
    pub expires_at: Micros,
}
