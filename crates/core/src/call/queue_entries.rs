//! The entries of the waitlists of places and of units.

use crate::base::Micros;
use crate::placement::PromptRequest;
use crate::queue::FairQueue;
use std::sync::Arc;

/// A call that waits for a place.
#[derive(Clone, Debug)]
pub(super) struct SlotWaiter {
    pub(super) call: u64,
    pub(super) hash: u64,
    pub(super) ask: Option<Arc<PromptRequest>>,
    pub(super) skip: Vec<String>,
}

/// A call that waits for units of its tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnitWaiter {
    pub(super) call: u64,
    /// Until when it may wait for units that a rate brings in.
    pub(super) soon: Micros,
    pub(super) units: u32,
}

/// The calls of one tenant that wait for units.
#[derive(Clone, Debug)]
pub(super) struct TenantQueue {
    pub(super) list: FairQueue<UnitWaiter>,
    /// Since when calls wait here without a word of the holder, and when last one came.
    pub(super) mute: Option<Micros>,
    pub(super) last: Micros,
}
