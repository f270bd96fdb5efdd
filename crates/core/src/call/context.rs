//! What the steps of a call see: the state that all calls of a process share, the layers of this
//! thread, the view and the time.

use super::body_budget::BodyBudget;
use super::caches::{Caches, ThreadCaches};
use super::counters::DataPlaneCounters;
use super::holdings::ReservedSlot;
use super::latency::LatencyHistogram;
use super::queue_entries::{SlotWaiter, TenantQueue};
use super::rejections::RejectionCounters;
use crate::base::{Micros, SEC, Shards};
use crate::freshness;
use crate::node::View;
use crate::placement::{EngineModels, WorkerLoads};
use crate::queue::FairQueue;
use crate::quota::WindowSlices;
use crate::retry::RetryBudget;
use std::sync::Arc;

/// A node whose view was confirmed longer ago than this still serves, but reports itself not ready,
/// so that clients use another node. In microseconds.
const READY_MAX_AGE: Micros = 2 * SEC;

/// The state that all calls of one process share, passed down by reference.
#[derive(Debug)]
pub struct SharedCallState {
    /// The zone of this node.
    pub zone: String,
    /// The quota slices that the lease holders granted to this node.
    pub slices: Arc<WindowSlices>,
    /// The calls that this node has in flight at each worker.
    pub worker_loads: WorkerLoads,
    /// The models of the engines, for placement by predicted latency.
    pub engines: EngineModels,
    /// The shared layers of the caches.
    pub caches: Caches,
    /// The budget that retries are paid from.
    pub retry_budget: RetryBudget,
    /// The counters of the data plane.
    pub counters: DataPlaneCounters,
    /// Calls that ended with a local response, by reason.
    pub rejections: RejectionCounters,
    /// From the head of the request to the head of its response.
    pub time_to_first_byte: LatencyHistogram,
    /// From the head of the request to its quota unit.
    pub quota_wait: LatencyHistogram,
    /// From the head of the request to its slot.
    pub slot_wait: LatencyHistogram,
    /// The memory for request bodies.
    pub body_budget: BodyBudget,
    /// How many calls may wait in one slot queue (per pool) or one quota queue (per tenant).
    pub queue_capacity: usize,
    /// Calls that wait for a slot, by pool.
    pub(super) slot_queues: Shards<FairQueue<SlotWaiter>>,
    /// Calls that wait for quota, by tenant.
    pub(super) quota_queues: Shards<TenantQueue>,
}

/// What one step sees.
pub struct StepContext<'a> {
    /// What all calls of the process share.
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
    /// The state of a process that has served no call yet, with queues of `queue_capacity` calls and
    /// `max_body_bytes` of memory for bodies.
    #[must_use]
    pub fn new(zone: &str, queue_capacity: usize, max_body_bytes: usize, slices: Arc<WindowSlices>) -> Self {
        SharedCallState {
            zone: zone.to_owned(),
            slices,
            worker_loads: WorkerLoads::default(),
            engines: EngineModels::default(),
            caches: Caches::default(),
            retry_budget: RetryBudget::default(),
            counters: DataPlaneCounters::default(),
            rejections: RejectionCounters::default(),
            time_to_first_byte: LatencyHistogram::default(),
            quota_wait: LatencyHistogram::default(),
            slot_wait: LatencyHistogram::default(),
            body_budget: BodyBudget::new(max_body_bytes),
            queue_capacity,
            slot_queues: Shards::default(),
            quota_queues: Shards::default(),
        }
    }

    /// Records that a call failed at a worker: this node does not choose the worker before it
    /// reports anew.
    pub(super) fn mark_failed(&self, slot: &ReservedSlot) {
        let endpoint = &slot.endpoint;
        self.worker_loads.mark_failed(&endpoint.worker_id, endpoint.incarnation, endpoint.seq);
        self.caches.routes.delete(&slot.pool);
    }
}

impl View {
    /// Whether calls may be admitted by this view: it has a version that was confirmed to be the
    /// newest recently enough.
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

    /// When the view stops being fresh unless it is confirmed again, in microseconds.
    #[must_use]
    pub fn stale_at(&self) -> Micros {
        self.confirmed_at.map_or(0, |confirmed| confirmed + freshness::MAX_AGE + 1)
    }

    /// Whether the incarnation of the worker that the slot is at still takes calls of its pool.
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
