//! Events of the suspended response, which may come in each phase of the other attempt.

use super::streaming;
use super::suspension::{close_suspended, restore};
use crate::call::abort::AbortCause;
use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects, ResponseEvent};
use crate::call::progress::StepResult;
use crate::call::release::disconnect;
use crate::call::state::{AwaitingHead, Call, CallState, Connecting, QuotaGranted, Streaming};
use std::ops::ControlFlow;

/// Steps a call by an event of its suspended response: the response is closed if it broke, and otherwise continues
/// in place of the other attempt.
pub fn step(
    mut state: CallState,
    event: ResponseEvent,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    if let Some(granted) = state.granted_mut()
        && is_break(granted, &event)
    {
        drop_broken(granted, context, effects);
        return ControlFlow::Continue(state);
    }
    let call = match state {
        CallState::QuotaGranted(call) => leave_queue(call, context),
        CallState::Connecting(call) => cancel_connecting(call, context, effects),
        CallState::AwaitingHead(call) => cancel_sent(call, context, effects),
        CallState::Streaming(call) => cancel_streaming(call, context, effects),
        state => return ControlFlow::Continue(state),
    };
    match restore(call, context) {
        ControlFlow::Break(call) => {
            effects.push(Effect::RestoreResponse);
            streaming::step(call, event.into(), context, effects)
        }
        ControlFlow::Continue(call) => ControlFlow::Continue(CallState::QuotaGranted(call)),
    }
}

/// Whether the event ends the suspended response before its last byte.
fn is_break(granted: &QuotaGranted, event: &ResponseEvent) -> bool {
    let Some(suspended) = &granted.suspended else { return true };
    match event {
        ResponseEvent::Chunk(_) => false,
        ResponseEvent::End => !suspended.stream.is_complete(),
        ResponseEvent::Aborted => true,
    }
}

/// Closes the suspended response, whose worker broke off; the other attempt continues.
fn drop_broken(granted: &mut QuotaGranted, context: &mut StepContext, effects: &mut Effects) {
    if let Some(stream) = &mut granted.stream {
        stream.broken_by = Some(AbortCause::WorkerBrokeOff);
    }
    close_suspended(granted, context, effects);
}

/// Ends the wait of the other attempt. A slot that was assigned and not yet delivered is returned when its event
/// arrives.
fn leave_queue(mut call: Call<QuotaGranted>, context: &StepContext) -> Call<QuotaGranted> {
    context.shared.leave_slot_queue(&call.state.request.route.pool, call.id);
    call.lookup_since = None;
    refund_retry(&mut call.state, context);
    call
}

fn cancel_connecting(call: Call<Connecting>, context: &mut StepContext, effects: &mut Effects) -> Call<QuotaGranted> {
    disconnect(&call.state.slot, context, effects);
    let mut call = call.map_state(|connecting| connecting.granted);
    refund_retry(&mut call.state, context);
    call
}

fn cancel_sent(call: Call<AwaitingHead>, context: &mut StepContext, effects: &mut Effects) -> Call<QuotaGranted> {
    disconnect(&call.state.slot, context, effects);
    call.map_state(|awaiting| awaiting.granted)
}

fn cancel_streaming(call: Call<Streaming>, context: &mut StepContext, effects: &mut Effects) -> Call<QuotaGranted> {
    disconnect(&call.state.slot, context, effects);
    call.map_state(|streaming| streaming.granted)
}

/// Returns the retry of an attempt that was not sent to the retry budget.
fn refund_retry(granted: &mut QuotaGranted, context: &StepContext) {
    if let Some(permitted_at) = granted.request.attempts.permitted_at.take() {
        context.shared.retry_budget.refund(&granted.request.route.pool, permitted_at);
    }
}
