//! Transition from a read body to a granted quota unit: takes one, waits for one, or ends the call.

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

/// The unit of calls without a tenant, which need no quota.
const ANONYMOUS_UNIT: QuotaUnit = QuotaUnit { window: 0, expires_at: Micros::MAX };

/// How many units the call needs by the measure in force, which a newer configuration may have changed since the
/// call was admitted.
pub(super) fn units_in_force(request: &BodyRead, head: &RequestHead, context: &StepContext) -> u32 {
    let tenant = context.view.config.tenants.get(&request.route.tenant.name);
    tenant.map_or(request.units, |tenant| tenant.measure.units(head.tokens))
}

/// Takes a unit of the tenant's quota now, or waits for one that the lease holder can still grant.
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
            // Later calls may find an answer, so the lease holder is asked all the same.
            effects.push(Effect::RequestUnits { tenant, waiting: u64::from(units) });
            ControlFlow::Break(quota_unsettled(&call, retry_after))
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
        rate_deadline: call.received_at + route.slot_patience().min(route.matched.queue_timeout / 4),
        units: call.state.units,
    }
}

/// The quota of the tenant must be known here.
fn require_known_quota(
    mut call: Call<BodyRead>,
    tenant: &str,
    context: &mut StepContext,
) -> StepResult<Call<BodyRead>> {
    let view = context.view.clone();
    let fetch = || Ok((view.config.tenants.get(tenant).map(|settings| settings.quota), Ttl::Default));
    match lookup(context, &view, tenant, call.lookup_since, fetch) {
        LookupOutcome::Found(Some(_)) => {
            call.lookup_since = None;
            ControlFlow::Continue(call)
        }
        LookupOutcome::InProgress => {
            call.lookup_since = call.lookup_since.or(Some(context.now));
            ControlFlow::Break(Halt::Wait(CallState::BodyRead(call)))
        }
        LookupOutcome::Found(None) | LookupOutcome::Failed(_) => {
            // A tenant that a newer version removed has no key either.
            if let Err(response) = reauthorize(&call.state.route, context) {
                return ControlFlow::Break(reject(&call, response));
            }
            let remedy = "the tenant's quota is not known here; try again";
            ControlFlow::Break(reject(&call, LocalResponse::new(RejectionReason::Lookup, remedy).with_retry_after(SEC)))
        }
    }
}

/// The call was granted the units that it waited for. Where another measure came into force meanwhile they are
/// returned, and it requests as many as it needs now.
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

/// The call has a unit and goes on to acquire a slot.
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
    // The wait for a slot ends early enough for the client to use the rest of its patience.
    let slot_deadline = call.received_at + route.slot_patience() / 8 * 7;
    let call =
        call.map_state(|request| QuotaGranted { request, unit, unit_is_parked: false, slot_deadline, stream: None });
    acquire_slot::request_slot(call, context, effects)
}

/// Takes another unit for one that is no longer valid; false if this node has none at hand.
#[must_use]
pub(super) fn replace_unit(granted: &mut QuotaGranted, context: &StepContext) -> bool {
    let tenant = &granted.request.route.tenant.name;
    let taken = context.shared.slices.acquire_units(tenant, granted.request.units, context.now);
    let AcquireOutcome::Acquired { window, until, .. } = taken else { return false };
    granted.unit = QuotaUnit { window, expires_at: until };
    true
}

/// Ends a call that holds no unit with a response.
pub(super) fn reject(call: &Call<BodyRead>, response: LocalResponse) -> Halt {
    Halt::Respond(response.with_execution(call.state.attempts.execution))
}

/// Ends a call whose tenant has no quota left.
pub(super) fn quota_exhausted(call: &Call<BodyRead>, retry_after: Micros) -> Halt {
    let response = LocalResponse::new(RejectionReason::Quota, "the tenant's quota is spent; come back then");
    reject(call, response.with_retry_after(retry_after))
}

/// Ends a call for which no lease holder of the quota answered in time.
pub(super) fn quota_unsettled(call: &Call<BodyRead>, retry_after: Micros) -> Halt {
    let remedy = "nobody could say in time whether the quota has room; try again";
    let response = LocalResponse::new(RejectionReason::QuotaUnsettled, remedy);
    reject(call, response.with_retry_after(retry_after))
}
