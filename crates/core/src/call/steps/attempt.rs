//! The phases `Connecting` and `AwaitingHead`: one attempt at one worker.

use super::acquire_slot::{end_without_slot, request_slot};
use super::acquire_unit::{replace_unit, request_unit, units_in_force};
use super::authorization::reauthorize;
use super::failover::{FailedAttempt, count_attempt, fail_over, failure_response, permit_retry};
use super::response_stream::{is_successful_event_stream, resume_stream, start_stream};
use crate::call::context::StepContext;
use crate::call::io::{Effect, Effects, Event, ResponseHead};
use crate::call::local_response::{LocalResponse, NOT_RUN_STATUSES};
use crate::call::progress::{CONNECT_TIMEOUT, StepResult};
use crate::call::rejections::RejectionReason;
use crate::call::release::disconnect;
use crate::call::state::{Attempts, AwaitingHead, BodyRead, Call, CallState, Connecting, QuotaGranted};
use crate::config::QuotaLimit;
use crate::retry::{Execution, FailurePoint, PERMIT_VALIDITY};
use std::ops::ControlFlow;

/// Steps a call whose connection to a worker is being opened.
pub fn step_connecting(
    call: Call<Connecting>,
    event: Event,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    match event {
        Event::Connected => prepare_request(call, context, effects),
        // This node had no free connection, so the worker is not ejected.
        Event::AttemptFailed(FailurePoint::Declined) => {
            fail_over(FailedAttempt::connecting(call, FailurePoint::Declined), context, effects)
        }
        Event::AttemptFailed(_) => fail_over(FailedAttempt::connecting(call, FailurePoint::Connect), context, effects),
        Event::Wake if context.now >= call.state.since + CONNECT_TIMEOUT => {
            effects.push(Effect::CloseConnection);
            fail_over(FailedAttempt::connecting(call, FailurePoint::Connect), context, effects)
        }
        _ => ControlFlow::Continue(CallState::Connecting(call)),
    }
}

/// Checks again what may have changed while the connection was opened (the authorization, the worker
/// and the quota unit), then sends the request.
fn prepare_request(
    mut call: Call<Connecting>,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    if let Err(response) = reauthorize(&call.state.granted.request.route, context) {
        disconnect(&call.state.slot, context, effects);
        return end_without_slot(call.map_state(|connecting| connecting.granted), response, context, effects);
    }
    if !context.view.accepts_calls(&call.state.slot) {
        context.shared.counters.slots_reassigned.increment();
        disconnect(&call.state.slot, context, effects);
        return request_slot(call.map_state(|connecting| connecting.granted), context, effects);
    }
    if !has_retry_permit(&mut call.state.granted, context) {
        disconnect(&call.state.slot, context, effects);
        let call = call.map_state(|connecting| connecting.granted);
        let response = expired_permit_response(&call.state.request.attempts);
        return end_without_slot(call, response, context, effects);
    }
    match renew_unit(&mut call, context) {
        UnitRenewal::Valid => send_request(call, context, effects),
        UnitRenewal::Expired => {
            disconnect(&call.state.slot, context, effects);
            request_unit(call.map_state(|connecting| connecting.granted.request), context, effects)
        }
        UnitRenewal::RetryUnitUnavailable => {
            disconnect(&call.state.slot, context, effects);
            let call = call.map_state(|connecting| connecting.granted);
            end_without_slot(call, failure_response(FailurePoint::Sent, true), context, effects)
        }
    }
}

/// Whether the attempt may be sent as far as the retry budget is concerned: it is the first one, or a retry whose permit
/// is valid or could be renewed. A retry that waited for long, or whose process stood still, would else arrive in a
/// window in which it was not counted.
fn has_retry_permit(granted: &mut QuotaGranted, context: &StepContext) -> bool {
    let BodyRead { attempts, route, .. } = &mut granted.request;
    let is_retry = attempts.sent > u32::from(attempts.is_resend);
    if !is_retry || attempts.permitted_at.is_some_and(|permitted_at| context.now <= permitted_at + PERMIT_VALIDITY) {
        return true;
    }
    if let Some(permitted_at) = attempts.permitted_at.take() {
        context.shared.retry_budget.refund(&route.pool, permitted_at);
    }
    permit_retry(attempts, &route.pool, context)
}

/// Creates the response to a call whose retry was permitted too long ago.
fn expired_permit_response(attempts: &Attempts) -> LocalResponse {
    match attempts.execution {
        Execution::NotRun => failure_response(FailurePoint::Declined, false),
        Execution::Ran | Execution::Unknown => failure_response(FailurePoint::Sent, true),
    }
}

/// The state of the quota unit of an attempt that is about to be sent.
enum UnitRenewal {
    /// The unit is valid, or was replaced by a unit of the current window.
    Valid,
    /// The unit expired unused, and this node has no unit to replace it.
    Expired,
    /// The unit expired and was used by an attempt that may have run, and this node has no unit for the
    /// retry.
    RetryUnitUnavailable,
}

fn renew_unit(call: &mut Call<Connecting>, context: &StepContext) -> UnitRenewal {
    let granted = &mut call.state.granted;
    if context.now >= granted.unit.expires_at {
        granted.request.units = units_in_force(&granted.request, &call.head, context);
    }
    if !granted.request.attempts.is_unit_consumed && context.now >= granted.unit.expires_at {
        // The unit's window has ended, so the call needs a unit of the current window.
        context.shared.counters.units_expired.increment();
        if !replace_unit(granted, context) {
            return UnitRenewal::Expired;
        }
    }
    let needs_another_unit = context.now >= granted.unit.expires_at && counts_in_current_window(granted);
    if needs_another_unit && !replace_unit(granted, context) {
        return UnitRenewal::RetryUnitUnavailable;
    }
    UnitRenewal::Valid
}

/// Whether a retry needs a unit of the current window in addition to its expired unit: the
/// previous attempt may have run in the old window, and the retry runs in the current one.
fn counts_in_current_window(granted: &QuotaGranted) -> bool {
    let has_windows = matches!(granted.request.route.tenant.quota, QuotaLimit::Window(_));
    has_windows && granted.request.attempts.execution == Execution::Unknown && granted.stream.is_none()
}

fn send_request(mut call: Call<Connecting>, context: &mut StepContext, effects: &mut Effects) -> StepResult<CallState> {
    let received_at = call.received_at;
    count_attempt(&mut call.state.granted, &call.state.slot, received_at, context);
    let granted = &call.state.granted;
    effects.push(Effect::SendRequest {
        last_event_id: last_event_id(&call),
        window: granted.unit.window,
        deadline: granted.request.route.deadline,
        urgency: granted.request.route.urgency(),
    });
    let since = context.now;
    ControlFlow::Continue(CallState::AwaitingHead(call.map_state(|Connecting { granted, slot, .. }| AwaitingHead {
        granted,
        slot,
        since,
    })))
}

/// Returns the number of the event after which the worker is to resume: the last forwarded event, or
/// for a call without a response so far, the last event that the client names.
fn last_event_id(call: &Call<Connecting>) -> Option<u64> {
    match &call.state.granted.stream {
        Some(stream) => stream.events.as_ref()?.resume_point()?,
        None => call.head.last_event_id,
    }
}

/// Steps a call whose request was sent. From here on only the worker can state that the call did not run.
pub fn step_awaiting_head(
    call: Call<AwaitingHead>,
    event: Event,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    match event {
        Event::ResponseHead(head) => receive_head(call, head, context, effects),
        Event::NotSent => {
            effects.push(Effect::Connect(call.state.slot.endpoint.clone()));
            ControlFlow::Continue(reconnect(call, context))
        }
        Event::AttemptFailed(point) => fail_over(FailedAttempt::awaiting_head(call, point), context, effects),
        Event::Wake if context.now >= call.state.granted.request.route.head_deadline(call.state.since) => {
            effects.push(Effect::CloseConnection);
            fail_over(FailedAttempt::timed_out(call), context, effects)
        }
        Event::Wake if call.state.granted.request.route.is_revoked(context) => {
            abort_revoked_call(call, context, effects)
        }
        _ => ControlFlow::Continue(CallState::AwaitingHead(call)),
    }
}

/// Opens a new connection in place of a reused one that was closed before anything was written on it. Sending the
/// request again is the same attempt.
fn reconnect(call: Call<AwaitingHead>, context: &StepContext) -> CallState {
    let since = context.now;
    CallState::Connecting(call.map_state(|AwaitingHead { mut granted, slot, .. }| {
        granted.request.attempts.is_resend = true;
        Connecting { granted, slot, since }
    }))
}

fn abort_revoked_call(
    call: Call<AwaitingHead>,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    context.shared.counters.streams_cut_on_revoke.increment();
    disconnect(&call.state.slot, context, effects);
    let mut call = call.map_state(|awaiting| awaiting.granted);
    call.state.request.attempts.execution = Execution::Unknown;
    call.state.request.attempts.is_unit_consumed = true;
    let response = reauthorize(&call.state.request.route, context)
        .err()
        .unwrap_or_else(|| LocalResponse::new(RejectionReason::InvalidKey, "the key was withdrawn"));
    end_without_slot(call, response, context, effects)
}

fn receive_head(
    mut call: Call<AwaitingHead>,
    head: ResponseHead,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    // A head that names another call proves nothing about this call, even if it states that the call did not run.
    if head.is_foreign {
        return fail_after_send(call, FailurePoint::Sent, context, effects);
    }
    let slot = &call.state.slot;
    if let Some((running, waiting, _)) = head.load {
        context.shared.engines.record_load(&slot.pool, &slot.endpoint.worker_id, running, waiting, context.now);
    }
    if head.not_run {
        context.shared.worker_loads.record_full(&slot.endpoint.worker_id, slot.endpoint.slots);
        call.state.granted.request.attempts.declined.push(slot.endpoint.worker_id.clone());
        return fail_after_send(call, FailurePoint::Declined, context, effects);
    }
    if call.state.granted.stream.is_none() {
        accept_first_head(call, head, context, effects)
    } else {
        accept_resumed_head(call, head, context, effects)
    }
}

fn fail_after_send(
    call: Call<AwaitingHead>,
    point: FailurePoint,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    effects.push(Effect::CloseConnection);
    fail_over(FailedAttempt::awaiting_head(call, point), context, effects)
}

/// Forwards the first head of the call, unless the attempt is retried or the head must not reach the client.
fn accept_first_head(
    mut call: Call<AwaitingHead>,
    head: ResponseHead,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    // The status guarantees that the call has not run, but the worker has not stated that, so the
    // status must not reach the client.
    let is_unconfirmed_not_run = NOT_RUN_STATUSES.contains(&head.status);
    if is_unconfirmed_not_run || is_retryable_error(&call.state.granted, &head, context) {
        return fail_after_send(call, FailurePoint::Sent, context, effects);
    }
    record_run(&mut call.state.granted);
    let waited = context.now.saturating_sub(call.received_at);
    context.shared.time_to_first_byte.record(call.state.granted.request.route.matched.kind, waited);
    effects.push(Effect::ForwardHead);
    ControlFlow::Continue(start_stream(call, head, context))
}

/// Whether a server error is retried and not forwarded. A 504 is forwarded, since the time is used up.
fn is_retryable_error(granted: &QuotaGranted, head: &ResponseHead, context: &StepContext) -> bool {
    let matched = &granted.request.route.matched;
    head.status >= 500
        && head.status != 504
        && matched.latency_target > 0
        && matched.idempotent
        && granted.request.attempts.sent < matched.max_attempts
        && context.shared.retry_budget.allows_retry(&granted.request.route.pool, context.now)
}

/// Continues the stream with the response of the worker that resumes it, or ends the call if that
/// response is not a successful event stream.
fn accept_resumed_head(
    mut call: Call<AwaitingHead>,
    head: ResponseHead,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    record_run(&mut call.state.granted);
    if !is_successful_event_stream(&head) {
        disconnect(&call.state.slot, context, effects);
        let remedy = "the stream could not go on elsewhere";
        let response = LocalResponse::new(RejectionReason::WorkerFailed, remedy);
        return end_without_slot(call.map_state(|awaiting| awaiting.granted), response, context, effects);
    }
    context.shared.counters.streams_resumed.increment();
    ControlFlow::Continue(resume_stream(call, head, context))
}

fn record_run(granted: &mut QuotaGranted) {
    granted.request.attempts.is_unit_consumed = true;
    granted.request.attempts.execution = Execution::Ran;
}
