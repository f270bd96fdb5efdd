//! The transition from a granted quota unit to a slot at a worker: reserves a slot, waits for a slot,
//! or ends the call.

use super::suspension::{close_suspended, restore_after_failure};
use crate::base::{Micros, SEC};
use crate::call::abort::{AbortCause, FailoverObstacle, ResponseAbort, abort_response};
use crate::call::context::StepContext;
use crate::call::holdings::ReservedSlot;
use crate::call::io::{Effect, Effects};
use crate::call::local_response::LocalResponse;
use crate::call::placement_tables::pool_table;
use crate::call::progress::{Halt, StepResult};
use crate::call::queue_entries::QueuedCall;
use crate::call::rejections::RejectionReason;
use crate::call::release::refund_unused_unit;
use crate::call::slot_queue::{SlotOutcome, SlotRequest};
use crate::call::state::{Call, CallState, Connecting, QuotaGranted};
use crate::placement::Endpoint;
use std::ops::ControlFlow;

/// Reserves a slot at a worker now, or queues the call if a slot can come free before its deadline.
pub(super) fn request_slot(
    mut call: Call<QuotaGranted>,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let pool = call.state.request.route.pool.clone();
    let Some(table) = pool_table(context, &pool, call.lookup_since) else {
        call.lookup_since = call.lookup_since.or(Some(context.now));
        return ControlFlow::Break(Halt::Wait(CallState::QuotaGranted(call)));
    };
    call.lookup_since = None;
    call.state.request.attempts.readmit_declined(&table);
    let request = &call.state.request;
    let slot_request = SlotRequest {
        pool: &pool,
        prefix_hash: request.prefix_hash,
        prompt: request.prompt.as_ref(),
        excluded: &request.attempts.excluded,
    };
    let queued = queued_call(&call);
    match context.shared.acquire_slot(&table, slot_request, &queued, context.view, context.now, effects) {
        SlotOutcome::Reserved(endpoint) => open_connection(call, endpoint, context, effects),
        SlotOutcome::Queued => {
            park_unit(&mut call.state, context);
            ControlFlow::Continue(CallState::QuotaGranted(call))
        }
        SlotOutcome::Full { retry_after } => reject_full(call, retry_after, context, effects),
        SlotOutcome::NoWorker => reject_without_worker(call, context, effects),
    }
}

fn queued_call(call: &Call<QuotaGranted>) -> QueuedCall<'_> {
    let route = &call.state.request.route;
    QueuedCall {
        call_id: call.id,
        tenant: &route.tenant.name,
        weight: route.tenant.weight,
        kind: route.matched.kind,
        deadline: call.state.slot_deadline,
        rate_deadline: 0,
        units: 0,
    }
}

/// Parks the unit while the call waits for a slot, so that the lease holder may recall the unit for a
/// call that can use it now.
fn park_unit(granted: &mut QuotaGranted, context: &StepContext) {
    let route = &granted.request.route;
    granted.is_unit_parked = !granted.request.attempts.is_unit_consumed
        && context.shared.slices.park(&route.tenant.name, granted.unit.window);
}

/// Opens a connection to the worker at which a slot was reserved.
pub(super) fn open_connection(
    call: Call<QuotaGranted>,
    endpoint: Endpoint,
    context: &StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let since = context.now;
    let request = &call.state.request;
    if request.attempts.sent == 0 {
        let waited = context.now.saturating_sub(call.received_at);
        context.shared.slot_wait.record(request.route.matched.kind, waited);
    }
    let pool = request.route.pool.clone();
    let ticket = match (&request.prompt, context.view.config.pools.get(&pool)) {
        (Some(prompt), Some(settings)) => {
            context.shared.engines.record_start(&pool, &endpoint, prompt, &settings.placement_weights, context.now)
        }
        _ => 0,
    };
    let slot = ReservedSlot { pool, endpoint: endpoint.clone(), ticket };
    effects.push(Effect::Connect(endpoint));
    ControlFlow::Continue(CallState::Connecting(call.map_state(|granted| Connecting { granted, slot, since })))
}

/// Ends a call for which no worker has a free slot before its deadline.
pub(super) fn reject_full(
    call: Call<QuotaGranted>,
    retry_after: Micros,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let response = LocalResponse::new(RejectionReason::SlotsExhausted, "all workers are busy; come back then");
    end_without_slot(call, response.with_retry_after(retry_after), context, effects)
}

fn reject_without_worker(
    call: Call<QuotaGranted>,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let response = if call.state.request.attempts.sent > 0 {
        LocalResponse::new(RejectionReason::WorkersDeclined, "no worker took the call; come back then")
            .with_retry_after(SEC / 2)
    } else {
        let remedy = "no worker that could take the call is known here; come back then";
        LocalResponse::new(RejectionReason::NoWorker, remedy).with_retry_after(SEC)
    };
    end_without_slot(call, response, context, effects)
}

/// Ends a call that holds no slot: with a local response, or by an abort if a response was started. If the worker of
/// that response is only idle, the call continues with it.
pub(super) fn end_without_slot(
    call: Call<QuotaGranted>,
    response: LocalResponse,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let call = match restore_after_failure(call, context, effects) {
        ControlFlow::Break(state) => return ControlFlow::Continue(state),
        ControlFlow::Continue(call) => call,
    };
    if call.state.stream.is_some() {
        return abort_stream(call, FailoverObstacle::AttemptFailed(response.reason), context, effects);
    }
    refund_unused_unit(&call.state, context, effects);
    ControlFlow::Break(Halt::Respond(response.with_execution(call.state.request.attempts.execution)))
}

/// Aborts the response of a call whose worker's stream broke and which no other worker continues.
pub(super) fn abort_stream(
    mut call: Call<QuotaGranted>,
    obstacle: FailoverObstacle,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    close_suspended(&mut call.state, context, effects);
    refund_unused_unit(&call.state, context, effects);
    let stream = call.state.stream.as_ref();
    // Only a revoked key ends a call whose worker is not broken.
    let cause = stream.and_then(|stream| stream.broken_by).unwrap_or(AbortCause::KeyRevoked);
    let idle_time = stream.map_or(0, |stream| context.now.saturating_sub(stream.last_received_at));
    abort_response(ResponseAbort { cause, obstacle, idle_time }, context, effects);
    ControlFlow::Continue(CallState::Finished)
}
