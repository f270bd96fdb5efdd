//! Periodic expiry of all queues, the return of undelivered grants, and queue lengths.

use super::context::{SharedCallState, StepContext};
use super::holdings::ReservedSlot;
use super::io::{Event, Wakeup};

impl SharedCallState {
    /// Takes back a slot or a unit that could not be delivered to its call, and grants it to other calls.
    #[must_use]
    pub fn reclaim(undelivered: Wakeup, context: &mut StepContext) -> Vec<Wakeup> {
        match undelivered.event {
            Event::SlotAssigned(endpoint) => {
                let slot = ReservedSlot { pool: undelivered.queue, endpoint, ticket: 0 };
                SharedCallState::release_slot(&slot, context)
            }
            Event::UnitGranted(unit) => context.shared.refund_unit(&undelivered.queue, unit, context.now),
            _ => Vec::new(),
        }
    }

    /// Assigns free slots and units to the calls in all queues and drops the calls that can't be served
    /// in time. Called a few times a second. Returns the wakeups, and the number of units that the
    /// calls of each tenant wait for, which the caller requests from the lease holder.
    #[must_use]
    pub fn expire_waiters(context: &mut StepContext) -> (Vec<Wakeup>, Vec<(String, u64)>) {
        let shared = context.shared;
        let mut wakeups = Vec::new();
        for pool in shared.slot_queues.names() {
            wakeups.extend(SharedCallState::serve_slot_queue(&pool, context));
            wakeups.extend(shared.expire_slot_waiters(&pool, context.now));
        }
        let mut needed_units = Vec::new();
        for tenant in shared.quota_queues.names() {
            // A rate provides units without an answer of the lease holder.
            if shared.slices.rates.is_rate(&tenant) {
                wakeups.extend(shared.serve_quota_queue(&tenant, context.now));
            }
            let mut queues = shared.quota_queues.lock_shard(&tenant);
            let Some(queue) = queues.get_mut(&tenant).filter(|queue| !queue.waiters.is_empty()) else { continue };
            needed_units.push((tenant.clone(), queue.waiting_units()));
            wakeups.extend(queue.drop_unanswered(&tenant, context.now));
        }
        (wakeups, needed_units)
    }

    /// Returns the number of calls that wait for a slot, and the number that wait for a quota unit.
    #[must_use]
    pub fn queue_lengths(&self) -> (u64, u64) {
        let waiting_for_slots = self
            .slot_queues
            .lock_each()
            .map(|queues| queues.values().map(|queue| queue.len() as u64).sum::<u64>())
            .sum();
        let waiting_for_units = self
            .quota_queues
            .lock_each()
            .map(|queues| queues.values().map(|queue| queue.waiters.len() as u64).sum::<u64>())
            .sum();
        (waiting_for_slots, waiting_for_units)
    }
}
