//! The resources that a call holds until it ends, as plain data without behaviour.

use crate::base::Micros;
use crate::placement::Endpoint;

/// A slot that a call reserved at a worker.
#[derive(Clone, Debug)]
pub struct ReservedSlot {
    /// The pool of the worker.
    pub pool: String,
    /// The worker that has the slot.
    pub endpoint: Endpoint,
    /// The ID of the call in the model of the worker's engine; 0 if the engine has no model.
    pub ticket: u64,
}

/// A unit of a tenant's quota that a call holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUnit {
    /// The quota window that the unit counts in.
    pub window: u64,
    /// The end of the slice that granted the unit, in microseconds.
    pub expires_at: Micros,
}
