//! The transition from a read body to a granted quota unit: acquires a unit, waits for a unit, or ends
//! the call.

use super::acquire_slot;
use super::authorization::reauthorize;
use crate::base::{Micros, SEC};
use crate::cache::Ttl;
use crate::call::context::StepContext;
use crate::call::holdings::QuotaUnit;
use crate::call::io::{Effect, Effects, RequestHead};
use crate::call::local_response::LocalResponse;
use crate::call::lookup::{LookupOutcome, lookup};
use crate::call::progress::{Halt, StepResult};
use crate::call::queue_entries::QueuedCall;
use crate::call::quota_queue::UnitOutcome;
use crate::call::rejections::RejectionReason;
use crate::call::release::wake_calls;
use crate::call::state::{BodyRead, Call, CallState, QuotaGranted};
use crate::quota::AcquireOutcome;
use std::ops::ControlFlow;

/// The unit of calls of the anonymous tenant, which has no quota.
const ANONYMOUS_UNIT: QuotaUnit = QuotaUnit { window: 0, expires_at: Micros::MAX };

/// Returns the number of units that the call needs by the measure in force. A newer configuration may have changed
/// the measure since the call was admitted.
pub(super) fn units_in_force(request: &BodyRead, head: &RequestHead, context: &StepContext) -> u32 {
    let tenant = context.view.config.tenants.get(&request.route.tenant.name);
    tenant.map_or(request.units, |tenant| tenant.measure.units(head.tokens))
}

/// Acquires units of the tenant's quota now, or queues the call while the lease holder can still grant units.
pub(super) fn request_unit(
    mut call: Call<BodyRead>,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let tenant = call.state.route.tenant.name.clone();
    if tenant.is_empty() {
        return use_unit(call, ANONYMOUS_UNIT, context, effects);
    }
    call.state.units = units_in_force(&call.state, &call.head, context);
    let call = require_known_quota(call, &tenant, context)?;
    let units = call.state.units;
    match context.shared.acquire_unit(&queued_call(&call, &tenant), context.now, effects) {
        UnitOutcome::Granted { unit, is_low } => {
            if is_low {
                effects.push(Effect::RequestUnits { tenant, waiting: 0 });
            }
            use_unit(call, unit, context, effects)
        }
        UnitOutcome::Queued => {
            effects.push(Effect::RequestUnits { tenant, waiting: u64::from(units) });
            ControlFlow::Continue(CallState::BodyRead(call))
        }
        UnitOutcome::Exhausted { retry_after } => ControlFlow::Break(quota_exhausted(&call, retry_after)),
        UnitOutcome::HolderUnreachable { retry_after } => {
            // An answer may still help later calls, so units are requested anyway.
            effects.push(Effect::RequestUnits { tenant, waiting: u64::from(units) });
            ControlFlow::Break(quota_holder_unreachable(&call, retry_after))
        }
    }
}

fn queued_call<'a>(call: &Call<BodyRead>, tenant: &'a str) -> QueuedCall<'a> {
    let route = &call.state.route;
    QueuedCall {
        call_id: call.id,
        tenant,
        weight: 1,
        kind: route.matched.kind,
        deadline: call.unit_deadline(),
        rate_deadline: call.received_at + route.max_slot_wait().min(route.matched.queue_timeout / 4),
        units: call.state.units,
    }
}

/// Continues only if the tenant's quota is known to this node.
fn require_known_quota(
    mut call: Call<BodyRead>,
    tenant: &str,
    context: &mut StepContext,
) -> StepResult<Call<BodyRead>> {
    let view = context.view.clone();
    let fetch = || Ok((view.config.tenants.get(tenant).map(|settings| settings.quota), Ttl::Default));
    match lookup(context, &view, tenant, call.lookup_since, fetch) {
        LookupOutcome::Resolved(Some(_)) => {
            call.lookup_since = None;
            ControlFlow::Continue(call)
        }
        LookupOutcome::Pending => {
            call.lookup_since = call.lookup_since.or(Some(context.now));
            ControlFlow::Break(Halt::Wait(CallState::BodyRead(call)))
        }
        LookupOutcome::Resolved(None) | LookupOutcome::Failed(_) => {
            // If a newer version removed the tenant, its key is invalid too, which is the better response.
            if let Err(response) = reauthorize(&call.state.route, context) {
                return ControlFlow::Break(reject(&call, response));
            }
            let remedy = "the tenant's quota is not known here; try again";
            ControlFlow::Break(reject(
                &call,
                LocalResponse::new(RejectionReason::LookupFailed, remedy).with_retry_after(SEC),
            ))
        }
    }
}

/// Uses the units that the call waited for. If the measure changed during the wait, refunds these units and requests
/// the number that the call needs now.
pub(super) fn on_unit_granted(
    call: Call<BodyRead>,
    unit: QuotaUnit,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    if units_in_force(&call.state, &call.head, context) == call.state.units {
        return use_unit(call, unit, context, effects);
    }
    wake_calls(context.shared.refund_unit(&call.state.route.tenant.name, unit, context.now), effects);
    request_unit(call, context, effects)
}

/// Continues with a granted unit to the acquisition of a slot.
pub(super) fn use_unit(
    call: Call<BodyRead>,
    unit: QuotaUnit,
    context: &mut StepContext,
    effects: &mut Effects,
) -> StepResult<CallState> {
    let route = &call.state.route;
    if let Err(response) = reauthorize(route, context) {
        wake_calls(context.shared.refund_unit(&route.tenant.name, unit, context.now), effects);
        return ControlFlow::Break(reject(&call, response));
    }
    context.shared.quota_wait.record(route.matched.kind, context.now.saturating_sub(call.received_at));
    // The last eighth of the maximum wait is left to the client for a retry.
    let slot_deadline = call.received_at + route.max_slot_wait() / 8 * 7;
    let call = call.map_state(|request| QuotaGranted {
        request,
        unit,
        is_unit_parked: false,
        slot_deadline,
        stream: None,
        suspended: None,
    });
    acquire_slot::request_slot(call, context, effects)
}

/// Replaces an invalid unit by another one. Returns false if this node has no units left.
#[must_use]
pub(super) fn replace_unit(granted: &mut QuotaGranted, context: &StepContext) -> bool {
    let tenant = &granted.request.route.tenant.name;
    let outcome = context.shared.slices.acquire_units(tenant, granted.request.units, context.now);
    let AcquireOutcome::Acquired { window, expires_at, .. } = outcome else { return false };
    granted.unit = QuotaUnit { window, expires_at };
    true
}

/// Ends a call that holds no unit with a local response.
pub(super) fn reject(call: &Call<BodyRead>, response: LocalResponse) -> Halt {
    Halt::Respond(response.with_execution(call.state.attempts.execution))
}

/// Ends a call whose tenant's quota is exhausted.
pub(super) fn quota_exhausted(call: &Call<BodyRead>, retry_after: Micros) -> Halt {
    let response = LocalResponse::new(RejectionReason::QuotaExhausted, "the tenant's quota is spent; come back then");
    reject(call, response.with_retry_after(retry_after))
}

/// Ends a call for which no lease holder of the quota answered before the deadline.
pub(super) fn quota_holder_unreachable(call: &Call<BodyRead>, retry_after: Micros) -> Halt {
    let remedy = "nobody could say in time whether the quota has room; try again";
    let response = LocalResponse::new(RejectionReason::QuotaHolderUnreachable, remedy);
    reject(call, response.with_retry_after(retry_after))
}
