//! What a call holds until it ends: plain data, which every other part of a call may name.

use crate::base::Micros;
use crate::placement::Endpoint;

/// A place taken at a worker.
#[derive(Clone, Debug)]
pub struct ReservedSlot {
    pub pool: String,
    pub endpoint: Endpoint,
    /// By which the engines know the call.
    pub ticket: u64,
}

/// One unit of a tenant's quota, good until its slice ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUnit {
    pub window: u64,
    pub expires_at: Micros,
}
