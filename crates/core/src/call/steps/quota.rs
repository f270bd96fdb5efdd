use super::{placement, still};
use crate::base::{Micros, SEC};
use crate::cache::Ttl;
use crate::call::admission_queues::{QueuedCall, UnitOutcome};
use crate::call::context::StepContext;
use crate::call::holdings::QuotaUnit;
use crate::call::io::{Effect, Effects, Event};
use crate::call::local_response::LocalResponse;
use crate::call::lookup::{LookupOutcome, lookup};
use crate::call::progress::{Halt, StepResult};
use crate::call::rejections::RejectionReason;
use crate::call::release::wake;
use crate::call::state::{BodyRead, Call, CallState, QuotaGranted};
use crate::quota::TakeOutcome;

/// A unit of the tenant's quota now, or a wait for one that its holder can still end.
pub fn take(mut c: Call<BodyRead>, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    let t = c.state.route.tenant.name.clone();
    if t.is_empty() {
        return granted(c, QuotaUnit { window: 0, expires_at: Micros::MAX }, cx, out);
    }
    let v = cx.view.clone();
    match lookup(cx, &v, &t, c.lookup_since, || Ok((v.config.tenants.get(&t).map(|t| t.quota), Ttl::Usual))) {
        LookupOutcome::Found(Some(_)) => c.lookup_since = None,
        LookupOutcome::InProgress => {
            c.lookup_since = c.lookup_since.or(Some(cx.now));
            return Err(Halt::Wait(CallState::BodyRead(c)));
        }
        LookupOutcome::Found(None) | LookupOutcome::Failed(_) => {
            // A tenant that a newer version took out has no key either.
            still(&c.state.route, cx).map_err(|a| Halt::Respond(a.with_execution(c.state.attempts.execution)))?;
            let t = "the tenant's quota is not known here; try again";
            return Err(Halt::Respond(
                LocalResponse::new(RejectionReason::Lookup, t)
                    .with_execution(c.state.attempts.execution)
                    .with_retry_after(SEC),
            ));
        }
    }
    let w = &c.state.route;
    let units = c.state.units;
    let a = QueuedCall {
        call: c.id,
        tenant: &t,
        weight: 1,
        kind: w.matched.kind,
        due: c.unit_deadline(),
        soon: c.received_at + w.slot_patience().min(w.matched.queue_timeout / 4),
        units,
    };
    match cx.shared.acquire_unit(&a, cx.now, out) {
        UnitOutcome::Unit(u, low) => {
            if low {
                out.push(Effect::RequestUnits { tenant: t, waiting: 0 });
            }
            granted(c, u, cx, out)
        }
        UnitOutcome::Waits => {
            out.push(Effect::RequestUnits { tenant: t, waiting: u64::from(units) });
            Ok(CallState::BodyRead(c))
        }
        UnitOutcome::Spent(left) => Err(spent(&c, left)),
        UnitOutcome::HolderUnreachable(back) => {
            // Who comes next may find an answer, so the holder is still asked.
            out.push(Effect::RequestUnits { tenant: t, waiting: u64::from(units) });
            Err(unsettled(&c, back))
        }
    }
}

/// Another unit in the place of one that is no longer good, if this node has one at hand.
pub fn take_anew(granted: &mut QuotaGranted, cx: &StepContext) -> bool {
    let tenant = &granted.request.route.tenant.name;
    let TakeOutcome::Taken { window, until, .. } = cx.shared.slices.take_units(tenant, granted.request.units, cx.now)
    else {
        return false;
    };
    granted.unit = QuotaUnit { window, expires_at: until };
    true
}

pub fn step(c: Call<BodyRead>, e: Event, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    match e {
        Event::UnitGranted(u) => granted(c, u, cx, out),
        Event::WindowSpent(left) => Err(spent(&c, left)),
        Event::GiveUp(back) => Err(unsettled(&c, back)),
        Event::Wake if c.lookup_since.is_some() => take(c, cx, out),
        Event::Wake => {
            let r = still(&c.state.route, cx).map_err(|a| Halt::Respond(a.with_execution(c.state.attempts.execution)));
            let over = cx.now >= c.unit_deadline();
            // One who is no longer in the list was just given something.
            if (r.is_err() || over) && cx.shared.leave_quota_queue(&c.state.route.tenant.name, c.id) {
                r?;
                return Err(unsettled(&c, SEC));
            }
            Ok(CallState::BodyRead(c))
        }
        _ => Ok(CallState::BodyRead(c)),
    }
}

fn granted(c: Call<BodyRead>, unit: QuotaUnit, cx: &mut StepContext, out: &mut Effects) -> StepResult<CallState> {
    if let Err(a) = still(&c.state.route, cx) {
        wake(cx.shared.refund(&c.state.route.tenant.name, unit, cx.now), out);
        return Err(Halt::Respond(a.with_execution(c.state.attempts.execution)));
    }
    cx.shared.quota_wait.record(c.state.route.matched.kind, cx.now.saturating_sub(c.received_at));
    // Nobody is held until the very end of what it may wait.
    let due = c.received_at + c.state.route.slot_patience() / 8 * 7;
    placement::take(
        c.map_state(|read| QuotaGranted {
            request: read,
            unit,
            unit_is_parked: false,
            slot_deadline: due,
            stream: None,
        }),
        cx,
        out,
    )
}

fn spent(c: &Call<BodyRead>, left: Micros) -> Halt {
    let t = "the tenant's quota is spent; come back then";
    Halt::Respond(
        LocalResponse::new(RejectionReason::Quota, t).with_execution(c.state.attempts.execution).with_retry_after(left),
    )
}

fn unsettled(c: &Call<BodyRead>, back: Micros) -> Halt {
    let t = "nobody could say in time whether the quota has room; try again";
    Halt::Respond(
        LocalResponse::new(RejectionReason::QuotaUnsettled, t)
            .with_execution(c.state.attempts.execution)
            .with_retry_after(back),
    )
}
