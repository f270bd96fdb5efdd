//! The entries of the slot queues and the quota queues.

use crate::base::Micros;
use crate::config::Kind;
use crate::placement::PromptRequest;
use crate::queue::FairQueue;
use std::sync::Arc;

/// A call that asks for a slot or a quota unit and may have to wait for it.
pub(super) struct QueuedCall<'a> {
    /// Identifies the call within this process.
    pub(super) call_id: u64,
    /// The tenant that the queue is fair to.
    pub(super) tenant: &'a str,
    /// The priority weight of the tenant.
    pub(super) weight: u64,
    /// The kind of traffic, which has a weight of its own.
    pub(super) kind: Kind,
    /// Until when the call may wait, in microseconds.
    pub(super) deadline: Micros,
    /// Until when the call may wait for units that a rate brings in, in microseconds.
    pub(super) rate_deadline: Micros,
    /// How many quota units the call needs.
    pub(super) units: u32,
}

/// A call that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct SlotWaiter {
    /// Identifies the call within this process.
    pub(super) call_id: u64,
    /// The hash of its prompt prefix.
    pub(super) prefix_hash: u64,
    /// What it asks of an engine, if its match describes prompts by parts.
    pub(super) prompt: Option<Arc<PromptRequest>>,
    /// The workers that it must not be placed at.
    pub(super) excluded: Vec<String>,
}

/// A call that waits for units of its tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnitWaiter {
    /// Identifies the call within this process.
    pub(super) call_id: u64,
    /// Until when it may wait for units that a rate brings in, in microseconds.
    pub(super) rate_deadline: Micros,
    /// How many units it needs.
    pub(super) units: u32,
}

impl From<&QueuedCall<'_>> for UnitWaiter {
    fn from(call: &QueuedCall<'_>) -> Self {
        UnitWaiter { call_id: call.call_id, rate_deadline: call.rate_deadline, units: call.units }
    }
}

/// The quota queue of one tenant.
#[derive(Clone, Debug)]
pub(super) struct TenantQueue {
    /// The calls that wait for units.
    pub(super) waiters: FairQueue<UnitWaiter>,
    /// Since when calls wait without an answer of the lease holder, in microseconds.
    pub(super) unanswered_since: Option<Micros>,
    /// When a call last asked for units that were not there, in microseconds.
    pub(super) last_request_at: Micros,
}

impl TenantQueue {
    /// An empty queue for so many calls.
    pub(super) fn new(capacity: usize, now: Micros) -> Self {
        TenantQueue { waiters: FairQueue::new(capacity), unanswered_since: None, last_request_at: now }
    }
}
