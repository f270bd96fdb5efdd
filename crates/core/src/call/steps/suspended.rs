//! Events of the suspended response, which may come in each phase of the other attempt. The response is closed if it
//! broke, and continues in place of the other attempt with its next whole event: its worker may break off before that.

use super::streaming;
use super::suspension::{close_suspended, restore};
use crate::call::abort::AbortCause;
use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects, ResponseEvent};
use crate::call::progress::StepResult;
use crate::call::release::disconnect;
use crate::call::state::{AwaitingHead, Call, CallState, Connecting, QuotaGranted, ResponseStream, Streaming};
use std::ops::ControlFlow;

/// What an event of the suspended response means for its call.
enum Progress {
    /// The response has ended before its last byte.
    Broken,
    /// No whole event has come yet.
    Incomplete,
    /// The response continues or ends properly.
    Continues,
}

/// Steps a call by an event of its suspended response.
pub fn step(
    mut state: CallState,
    event: ResponseEvent,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    if let Some(granted) = state.granted_mut() {
        match receive(granted, &event, context) {
            Progress::Broken => {
                drop_broken(granted, context, effects);
                return ControlFlow::Continue(state);
            }
            Progress::Incomplete => return ControlFlow::Continue(state),
            Progress::Continues => {}
        }
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

/// Applies an event to the suspended response, as long as that only adds to an incomplete event.
fn receive(granted: &mut QuotaGranted, event: &ResponseEvent, context: &StepContext) -> Progress {
    let Some(suspended) = &mut granted.suspended else { return Progress::Broken };
    match event {
        ResponseEvent::Chunk(chunk) => receive_chunk(&mut suspended.stream, chunk, context),
        ResponseEvent::End if suspended.stream.is_complete() => Progress::Continues,
        ResponseEvent::End | ResponseEvent::Aborted => Progress::Broken,
    }
}

fn receive_chunk(stream: &mut ResponseStream, chunk: &[u8], context: &StepContext) -> Progress {
    let Some(mut events) = stream.events.clone() else { return Progress::Continues };
    match events.push(chunk) {
        Err(_) => Progress::Broken,
        Ok(whole_events) if whole_events.is_empty() => {
            stream.events = Some(events);
            stream.last_received_at = context.now;
            Progress::Incomplete
        }
        // The response is restored first, and then forwards the chunk.
        Ok(_) => Progress::Continues,
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
