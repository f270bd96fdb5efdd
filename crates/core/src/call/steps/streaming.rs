//! The phase `Streaming`: forwards a worker's response to the client.

use super::failover::{make_resume_attempt, resume_elsewhere, resume_obstacle};
use super::suspension::{close_suspended, restore_after_failure, suspend};
use crate::call::abort::{AbortCause, FailoverObstacle, ResponseAbort, abort_response};
use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects, Event};
use crate::call::progress::StepResult;
use crate::call::release::release_slot;
use crate::call::state::{Call, CallState, QuotaGranted, Streaming};
use bytes::Bytes;
use std::ops::ControlFlow;

/// Steps a call whose response is being forwarded.
pub fn step(
    mut call: Call<Streaming>,
    event: Event,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    match event {
        Event::ResponseChunk(chunk) => forward_chunk(call, chunk, context, effects),
        Event::ResponseEnd if call.state.stream.is_complete() => {
            context.shared.counters.served.increment();
            close_suspended(&mut call.state.granted, context, effects);
            release_slot(&call.state.slot, context, effects);
            effects.push(Effect::FinishResponse);
            ControlFlow::Continue(CallState::Finished)
        }
        Event::ResponseEnd | Event::ResponseAborted | Event::AttemptFailed(_) => {
            handle_broken_stream(call, AbortCause::WorkerBrokeOff, context, effects)
        }
        Event::Wake if call.state.granted.request.route.is_revoked(context) => {
            context.shared.counters.streams_cut_on_revoke.increment();
            abort(call, AbortCause::KeyRevoked, context, effects)
        }
        Event::Wake if context.now >= call.idle_deadline() => {
            handle_broken_stream(call, AbortCause::WorkerIdle, context, effects)
        }
        Event::Wake if context.now >= call.state.stream.next_failover_at => fail_over_idle(call, context, effects),
        _ => ControlFlow::Continue(CallState::Streaming(call)),
    }
}

fn forward_chunk(
    mut call: Call<Streaming>,
    chunk: Bytes,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let Streaming { granted, slot, stream } = &mut call.state;
    if !std::mem::replace(&mut stream.has_first_chunk, true) {
        context.shared.engines.record_first_token(&slot.pool, &slot.endpoint.worker_id, slot.ticket, context.now);
    }
    stream.last_received_at = context.now;
    stream.next_failover_at = context.now + granted.request.route.failover_timeout();
    if slot.endpoint.zone != context.shared.zone {
        context.shared.counters.cross_zone_bytes.add(chunk.len() as u64);
    }
    let chunks = match &mut stream.events {
        None => vec![chunk],
        Some(events) => match events.push(&chunk) {
            Ok(chunks) => chunks,
            Err(_) if granted.suspended.is_some() => {
                return handle_broken_stream(call, AbortCause::InvalidEvents, context, effects);
            }
            Err(_) => return abort(call, AbortCause::InvalidEvents, context, effects),
        },
    };
    if !chunks.is_empty() {
        stream.has_forwarded = true;
        close_suspended(granted, context, effects);
    }
    effects.extend(chunks.into_iter().map(Effect::ForwardChunk));
    ControlFlow::Continue(CallState::Streaming(call))
}

/// Ejects the worker whose stream broke. The call continues with the suspended response if there is one, or else
/// at another worker if possible.
fn handle_broken_stream(
    call: Call<Streaming>,
    cause: AbortCause,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    // Bytes that the failed worker may still send must not reach the client.
    effects.push(Effect::CloseConnection);
    context.shared.eject_worker(&call.state.slot);
    release_slot(&call.state.slot, context, effects);
    let worker_id = call.state.slot.endpoint.worker_id.clone();
    let mut call = call.map_state(|Streaming { granted, mut stream, .. }| {
        stream.broken_by = Some(cause);
        QuotaGranted { stream: Some(stream), ..granted }
    });
    call.state.request.attempts.excluded.push(worker_id);
    match restore_after_failure(call, context, effects) {
        ControlFlow::Break(restored) => ControlFlow::Continue(restored),
        ControlFlow::Continue(call) => resume_elsewhere(call, context, effects),
    }
}

/// Requests the stream at another worker, as the current one is idle. The connection to the current one stays open: if
/// no attempt is allowed, or the attempt fails, the call waits for it.
fn fail_over_idle(
    mut call: Call<Streaming>,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let Streaming { granted, slot, stream } = &mut call.state;
    context.shared.eject_worker(slot);
    stream.next_failover_at = context.now + granted.request.route.failover_timeout();
    if granted.suspended.is_some() {
        return ControlFlow::Continue(CallState::Streaming(call));
    }
    if resume_obstacle(&mut granted.request, stream, context).is_some() {
        context.shared.counters.retries_denied.increment();
        return ControlFlow::Continue(CallState::Streaming(call));
    }
    effects.push(Effect::SuspendResponse);
    granted.request.attempts.excluded.push(slot.endpoint.worker_id.clone());
    make_resume_attempt(suspend(call), context, effects)
}

fn abort(
    mut call: Call<Streaming>,
    cause: AbortCause,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    close_suspended(&mut call.state.granted, context, effects);
    release_slot(&call.state.slot, context, effects);
    effects.push(Effect::CloseConnection);
    let idle_time = context.now.saturating_sub(call.state.stream.last_received_at);
    let obstacle = FailoverObstacle::Forbidden;
    abort_response(ResponseAbort { cause, obstacle, idle_time }, context, effects);
    ControlFlow::Continue(CallState::Finished)
}
