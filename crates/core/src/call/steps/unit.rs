use super::{place, still};
use crate::base::{Micros, SEC};
use crate::cache::Ttl;
use crate::call::answer::Answer;
use crate::call::floor::Cx;
use crate::call::holdings::Unit;
use crate::call::io::{Effect, Event, Out};
use crate::call::lookup::{Found, lookup};
use crate::call::progress::{Go, Halt};
use crate::call::refusals::Reason;
use crate::call::release::ring;
use crate::call::state::{At, Call, Granted, Read};
use crate::call::waits::{Asker, Got};
use crate::quota::Take;

/// A unit of the tenant's quota now, or a wait for one that its holder can still end.
pub fn take(mut c: Call<Read>, cx: &mut Cx, out: &mut Out) -> Go<At> {
    let t = c.state.who.tenant.name.clone();
    if t.is_empty() {
        return granted(c, Unit { window: 0, until: Micros::MAX }, cx, out);
    }
    let v = cx.view.clone();
    match lookup(cx, &v, &t, c.since, || Ok((v.plan.tenants.get(&t).map(|t| t.quota), Ttl::Usual))) {
        Found::Val(Some(_)) => c.since = None,
        Found::Soon => {
            c.since = c.since.or(Some(cx.now));
            return Err(Halt::Wait(At::Read(c)));
        }
        Found::Val(None) | Found::No(_) => {
            // A tenant that a newer version took out has no key either.
            still(&c.state.who, cx).map_err(|a| Halt::Say(a.ran(c.state.tries.ran)))?;
            let t = "the tenant's quota is not known here; try again";
            return Err(Halt::Say(Answer::new(Reason::Lookup, t).ran(c.state.tries.ran).back(SEC)));
        }
    }
    let w = &c.state.who;
    let units = c.state.units;
    let a = Asker {
        call: c.n,
        tenant: &t,
        weight: 1,
        kind: w.m.kind,
        due: c.until(),
        soon: c.at + w.patience().min(w.m.wait / 4),
        units,
    };
    match cx.floor.unit(&a, cx.now, out) {
        Got::Unit(u, low) => {
            if low {
                out.push(Effect::Need { tenant: t, waiting: 0 });
            }
            granted(c, u, cx, out)
        }
        Got::Waits => {
            out.push(Effect::Need { tenant: t, waiting: u64::from(units) });
            Ok(At::Read(c))
        }
        Got::Spent(left) => Err(spent(&c, left)),
        Got::Mute(back) => {
            // Who comes next may find an answer, so the holder is still asked.
            out.push(Effect::Need { tenant: t, waiting: u64::from(units) });
            Err(unsettled(&c, back))
        }
    }
}

/// Another unit in the place of one that is no longer good, if this node has one at hand.
pub fn take_anew(granted: &mut Granted, cx: &Cx) -> bool {
    let tenant = &granted.read.who.tenant.name;
    let Take::Took { window, until, .. } = cx.floor.slices.take_units(tenant, granted.read.units, cx.now) else {
        return false;
    };
    granted.unit = Unit { window, until };
    true
}

pub fn step(c: Call<Read>, e: Event, cx: &mut Cx, out: &mut Out) -> Go<At> {
    match e {
        Event::Unit(u) => granted(c, u, cx, out),
        Event::Spent(left) => Err(spent(&c, left)),
        Event::Vain(back) => Err(unsettled(&c, back)),
        Event::Turn if c.since.is_some() => take(c, cx, out),
        Event::Turn => {
            let r = still(&c.state.who, cx).map_err(|a| Halt::Say(a.ran(c.state.tries.ran)));
            let over = cx.now >= c.until();
            // One who is no longer in the list was just given something.
            if (r.is_err() || over) && cx.floor.ununit(&c.state.who.tenant.name, c.n) {
                r?;
                return Err(unsettled(&c, SEC));
            }
            Ok(At::Read(c))
        }
        _ => Ok(At::Read(c)),
    }
}

fn granted(c: Call<Read>, unit: Unit, cx: &mut Cx, out: &mut Out) -> Go<At> {
    if let Err(a) = still(&c.state.who, cx) {
        ring(cx.floor.refund(&c.state.who.tenant.name, unit, cx.now), out);
        return Err(Halt::Say(a.ran(c.state.tries.ran)));
    }
    cx.floor.units_after.add(c.state.who.m.kind, cx.now.saturating_sub(c.at));
    // Nobody is held until the very end of what it may wait.
    let due = c.at + c.state.who.patience() / 8 * 7;
    place::take(c.with(|read| Granted { read, unit, parked: false, due, flow: None }), cx, out)
}

fn spent(c: &Call<Read>, left: Micros) -> Halt {
    let t = "the tenant's quota is spent; come back then";
    Halt::Say(Answer::new(Reason::Quota, t).ran(c.state.tries.ran).back(left))
}

fn unsettled(c: &Call<Read>, back: Micros) -> Halt {
    let t = "nobody could say in time whether the quota has room; try again";
    Halt::Say(Answer::new(Reason::QuotaUnsettled, t).ran(c.state.tries.ran).back(back))
}
