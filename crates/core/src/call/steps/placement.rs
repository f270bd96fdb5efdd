//! The phase `QuotaGranted`: the call waits in the slot queue of its pool.

use super::acquire_slot::{end_without_slot, open_connection, reject_full, request_slot};
use super::acquire_unit::{replace_unit, request_unit, units_in_force};
use super::authorization::reauthorize;
use crate::call::context::StepContext;
use crate::call::holdings::ReservedSlot;
use crate::call::io::{Effects, Event};
use crate::call::progress::StepResult;
use crate::call::release::release_slot;
use crate::call::state::{Call, CallState, QuotaGranted};
use crate::placement::Endpoint;
use std::ops::ControlFlow;

/// Steps a call that waits for a slot.
pub fn step(
    call: Call<QuotaGranted>,
    event: Event,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    match event {
        Event::SlotAssigned(endpoint) => use_slot(call, endpoint, context, effects),
        Event::DroppedFromQueue(retry_after) => reject_full(call, retry_after, context, effects),
        Event::Wake if call.lookup_since.is_some() => request_slot(call, context, effects),
        Event::Wake => recheck_wait(call, context, effects),
        _ => ControlFlow::Continue(CallState::QuotaGranted(call)),
    }
}

/// Ends the wait if the call is no longer authorized or its deadline has passed.
fn recheck_wait(call: Call<QuotaGranted>, context: &mut StepContext, effects: &mut Effects) -> StepResult<CallState> {
    let authorized = reauthorize(&call.state.request.route, context);
    let pool = &call.state.request.route.pool;
    let is_past_deadline = context.now >= call.state.slot_deadline;
    // A call that is no longer in the queue was just assigned a slot; the event for it will follow.
    if !((authorized.is_err() || is_past_deadline) && context.shared.leave_slot_queue(pool, call.id)) {
        return ControlFlow::Continue(CallState::QuotaGranted(call));
    }
    match authorized {
        Err(response) => end_without_slot(call, response, context, effects),
        Ok(()) => {
            let retry_after = context.shared.slot_retry_after(pool, context.now);
            reject_full(call, retry_after, context, effects)
        }
    }
}

/// Uses the slot that was assigned to a waiting call, after checking its authorization and its unit again.
fn use_slot(
    mut call: Call<QuotaGranted>,
    endpoint: Endpoint,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    if let Err(response) = reauthorize(&call.state.request.route, context) {
        release_slot(&unstarted_slot(&call, endpoint), context, effects);
        return end_without_slot(call, response, context, effects);
    }
    if !reclaim_unit(&mut call, context) {
        release_slot(&unstarted_slot(&call, endpoint), context, effects);
        return request_unit(call.map_state(|granted| granted.request), context, effects);
    }
    open_connection(call, endpoint, context, effects)
}

/// Creates a slot for a call that is not recorded in the engine's model yet.
fn unstarted_slot(call: &Call<QuotaGranted>, endpoint: Endpoint) -> ReservedSlot {
    ReservedSlot { pool: call.state.request.route.pool.clone(), endpoint, ticket: 0 }
}

/// Takes back the parked unit after the wait, or acquires another unit. Returns false if this node has no
/// units left.
fn reclaim_unit(call: &mut Call<QuotaGranted>, context: &StepContext) -> bool {
    let granted = &mut call.state;
    if !std::mem::take(&mut granted.is_unit_parked) {
        return true;
    }
    granted.request.units = units_in_force(&granted.request, &call.head, context);
    let tenant = &granted.request.route.tenant.name;
    context.shared.slices.unpark(tenant, granted.unit.window) || replace_unit(granted, context)
}
