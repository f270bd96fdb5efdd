//! The context of a call's steps: the state that all calls of a process share, the cache layers of
//! this thread, the view and the time.

use super::abort::AbortCounters;
use super::body_budget::BodyBudget;
use super::caches::{Caches, ThreadCaches};
use super::counters::DataPlaneCounters;
use super::holdings::ReservedSlot;
use super::latency::LatencyHistogram;
use super::queue_entries::{SlotWaiter, TenantQueue};
use super::rejections::RejectionCounters;
use crate::base::{Micros, SEC, ShardedMap};
use crate::freshness;
use crate::node::View;
use crate::placement::{EngineModels, WorkerLoads};
use crate::queue::FairQueue;
use crate::quota::TenantQuotas;
use crate::retry::{AttemptCounters, RetryBudget};
use std::sync::Arc;

/// The maximum age of a confirmed view at a ready node, in microseconds. With an older view the node still
/// serves, but reports itself not ready, so that clients use another node.
const READY_MAX_AGE: Micros = 2 * SEC;

/// The state that all calls of one process share, passed down by reference.
#[derive(Debug)]
pub struct SharedCallState {
    /// The zone of this node.
    pub zone: String,
    /// The quota slices that the lease holders granted to this node.
    pub slices: Arc<TenantQuotas>,
    /// The calls that this node has in flight at each worker.
    pub worker_loads: WorkerLoads,
    /// The models of the engines, for placement by predicted latency.
    pub engines: EngineModels,
    /// The shared layers of the caches.
    pub caches: Caches,
    /// The retry budget.
    pub retry_budget: RetryBudget,
    /// The attempts that were sent, by pool.
    pub attempt_counters: AttemptCounters,
    /// The counters of the data plane.
    pub counters: DataPlaneCounters,
    /// The number of calls that ended with a local response, by reason.
    pub rejections: RejectionCounters,
    /// The number of responses that were aborted after their head, by cause.
    pub aborts: AbortCounters,
    /// The time from the head of the request to the head of its response.
    pub time_to_first_byte: LatencyHistogram,
    /// The time from the head of the request to the grant of its quota unit.
    pub quota_wait: LatencyHistogram,
    /// The time from the head of the request to the assignment of its slot.
    pub slot_wait: LatencyHistogram,
    /// The budget of memory for request bodies.
    pub body_budget: BodyBudget,
    /// The maximum number of calls in one slot queue (per pool) or one quota queue (per tenant).
    pub queue_capacity: usize,
    /// The calls that wait for a slot, by pool.
    pub(super) slot_queues: ShardedMap<FairQueue<SlotWaiter>>,
    /// The calls that wait for quota, by tenant.
    pub(super) quota_queues: ShardedMap<TenantQueue>,
}

/// The inputs of one step beside its event.
pub struct StepContext<'a> {
    /// The state that all calls of the process share.
    pub shared: &'a SharedCallState,
    /// The cache layers of this thread.
    pub thread_caches: &'a mut ThreadCaches,
    /// The newest view of this node.
    pub view: &'a Arc<View>,
    /// The time of the step, in microseconds.
    pub now: Micros,
    /// Reads the clock, to bound work within a step.
    pub clock: &'a dyn Fn() -> Micros,
}

impl SharedCallState {
    /// Creates the state of a process that has served no call, with queues of `queue_capacity` calls and
    /// `max_body_bytes` bytes of memory for bodies.
    #[must_use]
    pub fn new(zone: &str, queue_capacity: usize, max_body_bytes: usize, slices: Arc<TenantQuotas>) -> Self {
        SharedCallState {
            zone: zone.to_owned(),
            slices,
            worker_loads: WorkerLoads::default(),
            engines: EngineModels::default(),
            caches: Caches::default(),
            retry_budget: RetryBudget::default(),
            attempt_counters: AttemptCounters::default(),
            counters: DataPlaneCounters::default(),
            rejections: RejectionCounters::default(),
            aborts: AbortCounters::default(),
            time_to_first_byte: LatencyHistogram::default(),
            quota_wait: LatencyHistogram::default(),
            slot_wait: LatencyHistogram::default(),
            body_budget: BodyBudget::new(max_body_bytes),
            queue_capacity,
            slot_queues: ShardedMap::default(),
            quota_queues: ShardedMap::default(),
        }
    }

    /// Ejects a worker at which a call failed: this node does not choose the worker until it sends a new
    /// report.
    pub(super) fn eject_worker(&self, slot: &ReservedSlot) {
        let endpoint = &slot.endpoint;
        self.worker_loads.eject(&endpoint.worker_id, endpoint.incarnation, endpoint.seq);
        self.caches.routes.delete(&slot.pool);
    }
}

impl View {
    /// Whether calls may be admitted with this view: it has a version that was recently confirmed as the
    /// newest.
    #[must_use]
    pub fn may_admit(&self, now: Micros) -> bool {
        self.version.is_some() && self.confirmed_at.is_some_and(|confirmed| freshness::is_fresh_at(confirmed, now))
    }

    /// Whether clients should be directed to this node.
    #[must_use]
    pub fn is_ready(&self, now: Micros) -> bool {
        let recently_confirmed =
            self.confirmed_at.is_some_and(|confirmed| now.saturating_sub(confirmed) <= READY_MAX_AGE);
        self.may_admit(now) && recently_confirmed && now >= self.workers_complete_at
    }

    /// Returns the time at which the view becomes stale unless it is confirmed again, in microseconds.
    #[must_use]
    pub fn stale_at(&self) -> Micros {
        self.confirmed_at.map_or(0, |confirmed| confirmed + freshness::MAX_CONFIRMATION_AGE + 1)
    }

    /// Whether the worker incarnation that the slot belongs to still accepts calls of its pool.
    #[must_use]
    pub fn accepts_calls(&self, slot: &ReservedSlot) -> bool {
        self.config.pools.get(&slot.pool).is_some_and(|pool| {
            self.workers.iter().any(|worker| {
                worker.worker_id == slot.endpoint.worker_id
                    && worker.incarnation == slot.endpoint.incarnation
                    && worker.pool == slot.pool
                    && pool.accepts_worker(&worker.worker_id, &worker.addr)
            })
        })
    }
}
