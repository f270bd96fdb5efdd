//! The entries of the slot queues and the quota queues.

use crate::base::Micros;
use crate::config::TrafficKind;
use crate::placement::PromptRequest;
use crate::queue::FairQueue;
use std::sync::Arc;

/// A call's request for a slot or quota units, with what the queues need to order the call.
pub(super) struct QueuedCall<'a> {
    /// The ID of the call within this process.
    pub(super) call_id: u64,
    /// The tenant of the call; the queue is fair between tenants.
    pub(super) tenant: &'a str,
    /// The priority weight of the tenant.
    pub(super) weight: u64,
    /// The kind of traffic, which has its own weight.
    pub(super) kind: TrafficKind,
    /// The end of the call's wait, in microseconds.
    pub(super) deadline: Micros,
    /// The end of the call's wait for units of a rate, in microseconds.
    pub(super) rate_deadline: Micros,
    /// The number of quota units that the call needs.
    pub(super) units: u32,
}

/// An entry of a slot queue: a call that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct SlotWaiter {
    /// The ID of the call within this process.
    pub(super) call_id: u64,
    /// The hash of the prompt prefix.
    pub(super) prefix_hash: u64,
    /// What the call requires of an engine, if its match describes prompts by parts.
    pub(super) prompt: Option<Arc<PromptRequest>>,
    /// The workers that the call must not be placed at.
    pub(super) excluded: Vec<String>,
}

/// An entry of a quota queue: a call that waits for units of its tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnitWaiter {
    /// The ID of the call within this process.
    pub(super) call_id: u64,
    /// The end of the call's wait for units of a rate, in microseconds.
    pub(super) rate_deadline: Micros,
    /// The number of units that the call needs.
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
    /// The time since which calls wait without an answer of the lease holder, in microseconds.
    pub(super) unanswered_since: Option<Micros>,
    /// The last time at which a call requested units that this node did not have, in microseconds.
    pub(super) last_request_at: Micros,
}

impl TenantQueue {
    /// Creates an empty queue of `capacity` calls.
    pub(super) fn new(capacity: usize, now: Micros) -> Self {
        TenantQueue { waiters: FairQueue::new(capacity), unanswered_since: None, last_request_at: now }
    }
}
