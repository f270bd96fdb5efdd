//! Slots at workers, and the queue of each pool for calls that wait for a slot.
//!
//! A free slot is assigned to the next call in fair order that can use it. A call that can't be
//! served before its deadline is rejected immediately (load shedding) with a retry-after time.

use super::context::{SharedCallState, StepContext};
use super::holdings::ReservedSlot;
use super::io::{Effect, Effects, Event, Wakeup};
use super::placement_tables::{build_pool_table, pool_table};
use super::queue_entries::{QueuedCall, SlotWaiter};
use crate::base::{Micros, SEC};
use crate::config::PlacementWeights;
use crate::node::View;
use crate::placement::{CallOutcome, Endpoint, PlacementContext, PlacementTable, PromptRequest};
use crate::queue::FairQueue;
use std::sync::Arc;

/// The retry-after time if the pool has no queue or no worker that the call may use, in microseconds.
const DEFAULT_RETRY_AFTER: Micros = SEC;

/// A call's request for a slot.
#[derive(Clone, Copy)]
pub(super) struct SlotRequest<'a> {
    /// The pool of the call.
    pub(super) pool: &'a str,
    /// The hash of the prompt prefix.
    pub(super) prefix_hash: u64,
    /// What the call requires of an engine, if its match describes prompts by parts.
    pub(super) prompt: Option<&'a Arc<PromptRequest>>,
    /// The workers that the call must not be placed at.
    pub(super) excluded: &'a [String],
}

impl<'a> SlotRequest<'a> {
    fn of_waiter(pool: &'a str, waiter: &'a SlotWaiter) -> Self {
        SlotRequest {
            pool,
            prefix_hash: waiter.prefix_hash,
            prompt: waiter.prompt.as_ref(),
            excluded: &waiter.excluded,
        }
    }

    /// Whether the call may use none of the table's workers.
    fn excludes_all(&self, table: &PlacementTable) -> bool {
        excludes_all(self.excluded, table)
    }
}

fn excludes_all(excluded: &[String], table: &PlacementTable) -> bool {
    table.endpoints.iter().all(|endpoint| excluded.contains(&endpoint.worker_id))
}

/// The outcome of a request for a slot.
pub(super) enum SlotOutcome {
    /// The call holds a slot at a worker.
    Reserved(Endpoint),
    /// The call waits in its pool's queue.
    Queued,
    /// No worker has a free slot before the call's deadline.
    Full {
        /// The time after which the client should retry, in microseconds from now.
        retry_after: Micros,
    },
    /// The pool has no worker that the call may use.
    NoWorker,
}

impl SharedCallState {
    /// Reserves a slot now, or queues the call if it can be served before its deadline.
    pub(super) fn acquire_slot(
        &self,
        table: &PlacementTable,
        request: SlotRequest,
        call: &QueuedCall,
        view: &View,
        now: Micros,
        effects: &mut Effects,
    ) -> SlotOutcome {
        if request.excludes_all(table) {
            return SlotOutcome::NoWorker;
        }
        let mut queues = self.slot_queues.lock_shard(request.pool);
        let queue = queues.entry(request.pool.to_owned()).or_insert_with(|| FairQueue::new(self.queue_capacity));
        if queue.is_empty()
            && let Some(index) = self.choose_worker(table, &request, view, now)
        {
            let endpoint = &table.endpoints[index];
            self.worker_loads.record_start(&endpoint.worker_id);
            return SlotOutcome::Reserved(endpoint.clone());
        }
        enqueue_for_slot(queue, request, call, now, effects)
    }

    /// Chooses the worker for a call: by predicted latency if the request has a prompt, or else by
    /// consistent hashing. Returns its index in the table.
    fn choose_worker(&self, table: &PlacementTable, request: &SlotRequest, view: &View, now: Micros) -> Option<usize> {
        let Some(prompt) = request.prompt else {
            let loads = self.worker_loads.current(table);
            return table.choose_by_ring(request.prefix_hash, &self.zone, &loads, request.excluded);
        };
        let configured = view.config.pools.get(request.pool).map(|pool| &pool.placement_weights);
        let defaults = PlacementWeights::default();
        let placement = PlacementContext {
            pool: request.pool,
            zone: &self.zone,
            weights: configured.unwrap_or(&defaults),
            excluded: request.excluded,
            now,
        };
        self.engines.choose(table, prompt, &placement, &self.worker_loads)
    }

    /// Removes a call from its pool's queue. Returns false if the call is no longer queued, since a slot
    /// was assigned to it.
    pub(super) fn leave_slot_queue(&self, pool: &str, call_id: u64) -> bool {
        self.slot_queues
            .lock_shard(pool)
            .get_mut(pool)
            .is_some_and(|queue| queue.remove_matching(|waiter| waiter.call_id == call_id).is_some())
    }

    /// Returns the retry-after time of a call that was rejected for lack of slots, in microseconds from now.
    pub(super) fn slot_retry_after(&self, pool: &str, now: Micros) -> Micros {
        let queues = self.slot_queues.lock_shard(pool);
        queues.get(pool).map_or(DEFAULT_RETRY_AFTER, |queue| queue.retry_after(now))
    }

    /// Releases a slot and assigns free slots to the waiting calls.
    pub(super) fn release_slot(slot: &ReservedSlot, context: &mut StepContext) -> Vec<Wakeup> {
        let (shared, worker_id) = (context.shared, &slot.endpoint.worker_id);
        shared.worker_loads.record_end(worker_id);
        shared.engines.record_end(&slot.pool, worker_id, slot.ticket, CallOutcome::Done, context.now);
        if let Some(queue) = shared.slot_queues.lock_shard(&slot.pool).get_mut(&slot.pool) {
            queue.record_slot_freed(context.now);
        }
        SharedCallState::serve_slot_queue(&slot.pool, context)
    }

    /// Assigns free slots of a pool to the waiting calls in fair order. Drops the calls that may no
    /// longer use any of the workers.
    pub(super) fn serve_slot_queue(pool: &str, context: &mut StepContext) -> Vec<Wakeup> {
        let shared = context.shared;
        if shared.slot_queues.lock_shard(pool).get(pool).is_none_or(FairQueue::is_empty) {
            return Vec::new();
        }
        let table = pool_table(context, pool, None).unwrap_or_else(|| Arc::new(build_pool_table(context.view, pool)));
        let mut queues = shared.slot_queues.lock_shard(pool);
        let Some(queue) = queues.get_mut(pool) else { return Vec::new() };
        let wakeup = |call_id, event| Wakeup { call_id, queue: pool.to_owned(), event };
        let mut wakeups = Vec::new();
        while !queue.is_empty() {
            let choose = |waiter: &SlotWaiter| {
                shared.choose_worker(&table, &SlotRequest::of_waiter(pool, waiter), context.view, context.now)
            };
            let Some((waiter, index)) = queue.pop(choose) else { break };
            let endpoint = &table.endpoints[index];
            shared.worker_loads.record_start(&endpoint.worker_id);
            wakeups.push(wakeup(waiter.call_id, Event::SlotAssigned(endpoint.clone())));
        }
        let unplaceable = queue.drain_where(|waiter, _| excludes_all(&waiter.excluded, &table)).into_iter();
        wakeups.extend(unplaceable.map(|waiter| wakeup(waiter.call_id, Event::DroppedFromQueue(DEFAULT_RETRY_AFTER))));
        wakeups
    }

    /// Drops the calls that can no longer be assigned a slot before their deadline.
    pub(super) fn expire_slot_waiters(&self, pool: &str, now: Micros) -> Vec<Wakeup> {
        let mut queues = self.slot_queues.lock_shard(pool);
        let Some(queue) = queues.get_mut(pool) else { return Vec::new() };
        let retry_after = queue.retry_after(now);
        let drop_waiter = |waiter: SlotWaiter| Wakeup {
            call_id: waiter.call_id,
            queue: pool.to_owned(),
            event: Event::DroppedFromQueue(retry_after),
        };
        queue.drain_unservable(now).into_iter().map(drop_waiter).collect()
    }
}

/// Queues a call, which may displace another call if the queue is full.
fn enqueue_for_slot(
    queue: &mut FairQueue<SlotWaiter>,
    request: SlotRequest,
    call: &QueuedCall,
    now: Micros,
    effects: &mut Effects,
) -> SlotOutcome {
    let waiter = SlotWaiter {
        call_id: call.call_id,
        prefix_hash: request.prefix_hash,
        prompt: request.prompt.cloned(),
        excluded: request.excluded.to_vec(),
    };
    match queue.push((call.tenant.to_owned(), call.kind), call.weight, waiter, call.deadline, now) {
        Ok(None) => SlotOutcome::Queued,
        Ok(Some(displaced)) => {
            let event = Event::DroppedFromQueue(queue.retry_after(now));
            let queue = request.pool.to_owned();
            effects.push(Effect::WakeCall(Wakeup { call_id: displaced.call_id, queue, event }));
            SlotOutcome::Queued
        }
        Err((_, rejection)) => SlotOutcome::Full { retry_after: rejection.retry_after },
    }
}
