use super::{quota, still};
use crate::base::{Micros, SEC};
use crate::call::admission_queues::{QueuedCall, SlotOutcome, SlotRequest, table};
use crate::call::context::StepContext;
use crate::call::holdings::ReservedSlot;
use crate::call::io::{Effect, Effects, Event};
use crate::call::local_response::LocalResponse;
use crate::call::progress::{Halt, StepResult};
use crate::call::rejections::RejectionReason;
use crate::call::release::{drop_unit, release};
use crate::call::state::{Call, CallState, Connecting, QuotaGranted};
use crate::placement::Endpoint;

/// A place at a worker now, or a wait for one that is worth it.
pub fn take(mut call: Call<QuotaGranted>, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    let pool = call.state.request.route.pool.clone();
    let Some(workers) = table(cx, &pool, call.lookup_since) else {
        call.lookup_since = call.lookup_since.or(Some(cx.now));
        return Err(Halt::Wait(CallState::QuotaGranted(call)));
    };
    call.lookup_since = None;
    call.state.request.attempts.readmit_declined(&workers);
    let (read, who) = (&call.state.request, &call.state.request.route);
    let asker = QueuedCall {
        call: call.id,
        tenant: &who.tenant.name,
        weight: who.tenant.weight,
        kind: who.matched.kind,
        due: call.state.slot_deadline,
        soon: 0,
        units: 0,
    };
    let wish =
        SlotRequest { pool: &pool, hash: read.prefix_hash, ask: read.prompt.as_ref(), skip: &read.attempts.excluded };
    match cx.shared.acquire_slot(&workers, wish, &asker, cx.view, cx.now, out) {
        SlotOutcome::Taken(place) => open(call, place, cx, out),
        SlotOutcome::Waits => {
            let idle = !call.state.request.attempts.unit_used;
            call.state.unit_is_parked =
                idle && cx.shared.slices.park(&call.state.request.route.tenant.name, call.state.unit.window);
            Ok(CallState::QuotaGranted(call))
        }
        SlotOutcome::Full(back) => refuse(call, Some(back), cx, out),
        SlotOutcome::NoWorker => refuse(call, None, cx, out),
    }
}

pub fn step(call: Call<QuotaGranted>, e: Event, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    match e {
        Event::SlotAssigned(place) => seated(call, place, cx, out),
        Event::GiveUp(back) => refuse(call, Some(back), cx, out),
        Event::Wake if call.lookup_since.is_some() => take(call, cx, out),
        Event::Wake => {
            let allowed = still(&call.state.request.route, cx);
            let pool = call.state.request.route.pool.clone();
            // One who is no longer in the list was just given a place.
            if (allowed.is_err() || cx.now >= call.state.slot_deadline) && cx.shared.leave_slot_queue(&pool, call.id) {
                return match allowed {
                    Err(answer) => end(call, answer, cx, out),
                    Ok(()) => {
                        let back = cx.shared.slot_retry_after(&pool, cx.now);
                        refuse(call, Some(back), cx, out)
                    }
                };
            }
            Ok(CallState::QuotaGranted(call))
        }
        _ => Ok(CallState::QuotaGranted(call)),
    }
}

/// A call that waited was given a place: its key and its unit are asked for again.
fn seated(
    mut call: Call<QuotaGranted>,
    place: Endpoint,
    cx: &mut StepContext,
    out: &mut Effects,
) -> StepResult<CallState> {
    let given = |call: &Call<QuotaGranted>, at| ReservedSlot {
        pool: call.state.request.route.pool.clone(),
        endpoint: at,
        ticket: 0,
    };
    if let Err(answer) = still(&call.state.request.route, cx) {
        release(&given(&call, place), cx, out);
        return end(call, answer, cx, out);
    }
    if !has_unit(&mut call.state, cx) {
        release(&given(&call, place), cx, out);
        return quota::take(call.map_state(|granted| granted.request), cx, out);
    }
    open(call, place, cx, out)
}

/// Whether a call that waited for a place still has its unit, or takes another one now.
fn has_unit(granted: &mut QuotaGranted, cx: &StepContext) -> bool {
    if !std::mem::take(&mut granted.unit_is_parked) {
        return true;
    }
    let tenant = &granted.request.route.tenant.name;
    cx.shared.slices.unpark(tenant, granted.unit.window) || quota::take_anew(granted, cx)
}

fn open(call: Call<QuotaGranted>, place: Endpoint, cx: &StepContext, out: &mut Effects) -> StepResult<CallState> {
    let since = cx.now;
    if call.state.request.attempts.sent == 0 {
        cx.shared.slot_wait.record(call.state.request.route.matched.kind, cx.now.saturating_sub(call.received_at));
    }
    let pool = call.state.request.route.pool.clone();
    let ticket = match (&call.state.request.prompt, cx.view.config.pools.get(&pool)) {
        (Some(ask), Some(settings)) => {
            cx.shared.engines.record_start(&pool, &place, ask, &settings.placement_weights, cx.now)
        }
        _ => 0,
    };
    let seat = ReservedSlot { pool, endpoint: place.clone(), ticket };
    out.push(Effect::Connect(place));
    Ok(CallState::Connecting(call.map_state(|granted| Connecting { granted, slot: seat, since })))
}

fn refuse(
    call: Call<QuotaGranted>,
    back: Option<Micros>,
    cx: &mut StepContext,
    out: &mut Effects,
) -> StepResult<CallState> {
    let answer = match back {
        Some(wait) => {
            LocalResponse::new(RejectionReason::Full, "all workers are busy; come back then").with_retry_after(wait)
        }
        None if call.state.request.attempts.sent > 0 => {
            LocalResponse::new(RejectionReason::WorkerFull, "no worker took the call; come back then")
                .with_retry_after(SEC / 2)
        }
        None => {
            let remedy = "no worker that could take the call is known here; come back then";
            LocalResponse::new(RejectionReason::NoWorker, remedy).with_retry_after(SEC)
        }
    };
    end(call, answer, cx, out)
}

/// The call ends without a place: with an answer, or visibly broken if one had begun.
pub fn end(
    call: Call<QuotaGranted>,
    answer: LocalResponse,
    cx: &mut StepContext,
    out: &mut Effects,
) -> StepResult<CallState> {
    drop_unit(&call.state, cx, out);
    if call.state.stream.is_some() {
        cx.shared.counters.streams_aborted.increment();
        out.push(Effect::Abort(answer.code));
        return Ok(CallState::Finished);
    }
    Err(Halt::Respond(answer.with_execution(call.state.request.attempts.execution)))
}
