//! Events of the suspended response, which may come in each phase of the other attempt.

use super::streaming;
use super::suspension::{close_suspended, restore};
use crate::call::abort::AbortCause;
use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects, Event};
use crate::call::progress::StepResult;
use crate::call::release::disconnect;
use crate::call::state::{AwaitingHead, Call, CallState, Connecting, QuotaGranted, ResponseStream};
use std::ops::ControlFlow;

/// Steps a call by an event of its suspended response: the response is closed if it broke, and otherwise continues
/// in place of the other attempt.
pub fn step(state: CallState, event: Event, context: &mut StepContext, effects: &mut Effects) -> StepResult<CallState> {
    if is_break(&state, &event) {
        return ControlFlow::Continue(drop_broken(state, context, effects));
    }
    let call = match state {
        CallState::QuotaGranted(call) => leave_queue(call, context),
        CallState::Connecting(call) => cancel_connecting(call, context, effects),
        CallState::AwaitingHead(call) => cancel_sent(call, context, effects),
        state => return ControlFlow::Continue(state),
    };
    match restore(call, context) {
        ControlFlow::Break(call) => {
            effects.push(Effect::RestoreResponse);
            streaming::step(call, event, context, effects)
        }
        ControlFlow::Continue(call) => ControlFlow::Continue(CallState::QuotaGranted(call)),
    }
}

/// Whether the event ends the suspended response before its last byte.
fn is_break(state: &CallState, event: &Event) -> bool {
    let stream = match state {
        CallState::QuotaGranted(call) => &call.state.stream,
        CallState::Connecting(call) => &call.state.granted.stream,
        CallState::AwaitingHead(call) => &call.state.granted.stream,
        _ => return false,
    };
    match event {
        Event::ResponseAborted => true,
        Event::ResponseEnd => !stream.as_ref().is_some_and(ResponseStream::is_complete),
        _ => false,
    }
}

/// Closes the suspended response, whose worker broke off; the other attempt continues.
fn drop_broken(mut state: CallState, context: &mut StepContext, effects: &mut Effects) -> CallState {
    let granted = match &mut state {
        CallState::QuotaGranted(call) => &mut call.state,
        CallState::Connecting(call) => &mut call.state.granted,
        CallState::AwaitingHead(call) => &mut call.state.granted,
        _ => return state,
    };
    if let Some(stream) = &mut granted.stream {
        stream.broken_by = Some(AbortCause::WorkerBrokeOff);
    }
    close_suspended(granted, context, effects);
    state
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

/// Returns the retry of an attempt that was not sent to the retry budget.
fn refund_retry(granted: &mut QuotaGranted, context: &StepContext) {
    if let Some(permitted_at) = granted.request.attempts.permitted_at.take() {
        context.shared.retry_budget.refund(&granted.request.route.pool, permitted_at);
    }
}
