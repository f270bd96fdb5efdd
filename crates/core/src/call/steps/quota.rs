//! The phase `BodyRead`: the call waits in the quota queue of its tenant.

use super::acquire_unit::{
    on_unit_granted, quota_exhausted, quota_holder_unreachable, reject, request_unit, units_in_force,
};
use super::authorization::reauthorize;
use crate::base::SEC;
use crate::call::context::StepContext;
use crate::call::io::{Effects, Event};
use crate::call::progress::StepResult;
use crate::call::state::{BodyRead, Call, CallState};
use std::ops::ControlFlow;

/// Steps a call that waits for quota.
pub fn step(
    call: Call<BodyRead>,
    event: Event,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    match event {
        Event::UnitGranted(unit) => on_unit_granted(call, unit, context, effects),
        Event::WindowSpent(retry_after) => ControlFlow::Break(quota_exhausted(&call, retry_after)),
        Event::DroppedFromQueue(retry_after) => ControlFlow::Break(quota_holder_unreachable(&call, retry_after)),
        Event::Wake if call.lookup_since.is_some() => request_unit(call, context, effects),
        Event::Wake => recheck_wait(call, context, effects),
        _ => ControlFlow::Continue(CallState::BodyRead(call)),
    }
}

/// Ends the wait if the call is no longer authorized or its deadline has passed. Requests units again if the measure
/// has changed.
fn recheck_wait(call: Call<BodyRead>, context: &mut StepContext, effects: &mut Effects) -> StepResult<CallState> {
    let authorized = reauthorize(&call.state.route, context);
    let is_past_deadline = context.now >= call.unit_deadline();
    // A call that is no longer in the queue was just granted units or dropped; the event for it will follow.
    if (authorized.is_err() || is_past_deadline)
        && context.shared.leave_quota_queue(&call.state.route.tenant.name, call.id)
    {
        return ControlFlow::Break(match authorized {
            Err(response) => reject(&call, response),
            Ok(()) => quota_holder_unreachable(&call, SEC),
        });
    }
    let needs_other_units = units_in_force(&call.state, &call.head, context) != call.state.units;
    if needs_other_units && context.shared.leave_quota_queue(&call.state.route.tenant.name, call.id) {
        return request_unit(call, context, effects);
    }
    ControlFlow::Continue(CallState::BodyRead(call))
}
