use super::body_budget::BodyBudget;
use super::caches::{Caches, ThreadCaches};
use super::counters::CallCounters;
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

/// A node whose stamp is older serves on, and callers are better served elsewhere.
const TOUCH: Micros = 2 * SEC;

/// All that the calls of one process share, passed down by reference.
#[derive(Debug)]
pub struct SharedCallState {
    pub zone: String,
    pub slices: Arc<WindowSlices>,
    pub worker_loads: WorkerLoads,
    pub engines: EngineModels,
    pub caches: Caches,
    pub retry_budget: RetryBudget,
    pub counters: CallCounters,
    /// Calls that ended with an answer of this node's own, by reason.
    pub rejections: RejectionCounters,
    /// From the call's head to the head of its response, to its unit, and to its place.
    pub time_to_first_byte: LatencyHistogram,
    pub quota_wait: LatencyHistogram,
    pub slot_wait: LatencyHistogram,
    pub body_budget: BodyBudget,
    /// How many calls may wait for a place of one pool, or a unit of one tenant.
    pub queue_capacity: usize,
    pub(super) slot_queues: Shards<FairQueue<SlotWaiter>>,
    pub(super) quota_queues: Shards<TenantQueue>,
}

/// What one step sees: the floor, this thread's own layers, the picture and the time.
pub struct StepContext<'a> {
    pub shared: &'a SharedCallState,
    pub thread_caches: &'a mut ThreadCaches,
    pub view: &'a Arc<View>,
    pub now: Micros,
    pub clock: &'a dyn Fn() -> Micros,
}

impl SharedCallState {
    pub fn new(zone: &str, cap: usize, body_bytes: usize, slices: Arc<WindowSlices>) -> Self {
        SharedCallState {
            zone: zone.to_owned(),
            slices,
            worker_loads: WorkerLoads::default(),
            engines: EngineModels::default(),
            caches: Caches::default(),
            retry_budget: RetryBudget::default(),
            counters: CallCounters::default(),
            rejections: RejectionCounters::default(),
            time_to_first_byte: LatencyHistogram::default(),
            quota_wait: LatencyHistogram::default(),
            slot_wait: LatencyHistogram::default(),
            body_budget: BodyBudget::new(body_bytes),
            queue_capacity: cap,
            slot_queues: Shards::default(),
            quota_queues: Shards::default(),
        }
    }

    /// A call failed here: this node deletes the route until the worker reports anew.
    pub(super) fn mark_failed(&self, s: &ReservedSlot) {
        self.worker_loads.mark_failed(&s.endpoint.worker_id, s.endpoint.incarnation, s.endpoint.seq);
        self.caches.routes.delete(&s.pool);
    }
}

impl View {
    /// Whether calls may be admitted by this picture.
    pub fn may_admit(&self, now: Micros) -> bool {
        self.version.is_some() && self.confirmed_at.is_some_and(|t| freshness::is_fresh_at(t, now))
    }

    /// Whether the platform should hand callers to this node.
    pub fn is_ready(&self, now: Micros) -> bool {
        let in_touch = self.confirmed_at.is_some_and(|t| now.saturating_sub(t) <= TOUCH);
        self.may_admit(now) && in_touch && now >= self.workers_complete_at
    }

    /// When it stops being fresh unless it is renewed.
    pub fn stale_at(&self) -> Micros {
        self.confirmed_at.map_or(0, |t| t + freshness::MAX_AGE + 1)
    }

    /// Whether this life of a worker may take calls of a pool.
    pub fn accepts_calls(&self, s: &ReservedSlot) -> bool {
        self.config.pools.get(&s.pool).is_some_and(|p| {
            self.workers.iter().any(|r| {
                r.worker_id == s.endpoint.worker_id
                    && r.incarnation == s.endpoint.incarnation
                    && r.pool == s.pool
                    && p.accepts_worker(&r.worker_id, &r.addr)
            })
        })
    }
}
