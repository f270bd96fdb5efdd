use super::{still, unit};
use crate::base::{Micros, SEC};
use crate::call::answer::Answer;
use crate::call::floor::Cx;
use crate::call::holdings::Seat;
use crate::call::io::{Effect, Event, Out};
use crate::call::progress::{Go, Halt};
use crate::call::refusals::Reason;
use crate::call::release::{drop_unit, release};
use crate::call::state::{At, Call, Granted, Placed};
use crate::call::waits::{Asker, Sat, Wish, table};
use crate::place::Place;

/// A place at a worker now, or a wait for one that is worth it.
pub fn take(mut call: Call<Granted>, cx: &mut Cx, out: &mut Out) -> Go<At> {
    let pool = call.state.read.who.pool.clone();
    let Some(workers) = table(cx, &pool, call.since) else {
        call.since = call.since.or(Some(cx.now));
        return Err(Halt::Wait(At::Granted(call)));
    };
    call.since = None;
    call.state.read.tries.allow_full(&workers);
    let (read, who) = (&call.state.read, &call.state.read.who);
    let asker = Asker {
        call: call.n,
        tenant: &who.tenant.name,
        weight: who.tenant.weight,
        kind: who.m.kind,
        due: call.state.due,
        soon: 0,
        units: 0,
    };
    let wish = Wish { pool: &pool, hash: read.hash, ask: read.ask.as_ref(), skip: &read.tries.skip };
    match cx.floor.seat(&workers, wish, &asker, cx.view, cx.now, out) {
        Sat::Taken(place) => open(call, place, cx, out),
        Sat::Waits => {
            let idle = !call.state.read.tries.used;
            call.state.parked = idle && cx.floor.slices.park(&call.state.read.who.tenant.name, call.state.unit.window);
            Ok(At::Granted(call))
        }
        Sat::Full(back) => refuse(call, Some(back), cx, out),
        Sat::Nobody => refuse(call, None, cx, out),
    }
}

pub fn step(call: Call<Granted>, e: Event, cx: &mut Cx, out: &mut Out) -> Go<At> {
    match e {
        Event::Seated(place) => seated(call, place, cx, out),
        Event::Vain(back) => refuse(call, Some(back), cx, out),
        Event::Turn if call.since.is_some() => take(call, cx, out),
        Event::Turn => {
            let allowed = still(&call.state.read.who, cx);
            let pool = call.state.read.who.pool.clone();
            // One who is no longer in the list was just given a place.
            if (allowed.is_err() || cx.now >= call.state.due) && cx.floor.unseat(&pool, call.n) {
                return match allowed {
                    Err(answer) => end(call, answer, cx, out),
                    Ok(()) => {
                        let back = cx.floor.back(&pool, cx.now);
                        refuse(call, Some(back), cx, out)
                    }
                };
            }
            Ok(At::Granted(call))
        }
        _ => Ok(At::Granted(call)),
    }
}

/// A call that waited was given a place: its key and its unit are asked for again.
fn seated(mut call: Call<Granted>, place: Place, cx: &mut Cx, out: &mut Out) -> Go<At> {
    let given = |call: &Call<Granted>, at| Seat { pool: call.state.read.who.pool.clone(), at, ticket: 0 };
    if let Err(answer) = still(&call.state.read.who, cx) {
        release(&given(&call, place), cx, out);
        return end(call, answer, cx, out);
    }
    if !has_unit(&mut call.state, cx) {
        release(&given(&call, place), cx, out);
        return unit::take(call.with(|granted| granted.read), cx, out);
    }
    open(call, place, cx, out)
}

/// Whether a call that waited for a place still has its unit, or takes another one now.
fn has_unit(granted: &mut Granted, cx: &Cx) -> bool {
    if !std::mem::take(&mut granted.parked) {
        return true;
    }
    let tenant = &granted.read.who.tenant.name;
    cx.floor.slices.unpark(tenant, granted.unit.window) || unit::take_anew(granted, cx)
}

fn open(call: Call<Granted>, place: Place, cx: &Cx, out: &mut Out) -> Go<At> {
    let since = cx.now;
    if call.state.read.tries.sent == 0 {
        cx.floor.places_after.add(call.state.read.who.m.kind, cx.now.saturating_sub(call.at));
    }
    let pool = call.state.read.who.pool.clone();
    let ticket = match (&call.state.read.ask, cx.view.plan.pools.get(&pool)) {
        (Some(ask), Some(settings)) => cx.floor.engines.begin(&pool, &place, ask, &settings.placement, cx.now),
        _ => 0,
    };
    let seat = Seat { pool, at: place.clone(), ticket };
    out.push(Effect::Open(place));
    Ok(At::Placed(call.with(|granted| Placed { granted, seat, since })))
}

fn refuse(call: Call<Granted>, back: Option<Micros>, cx: &mut Cx, out: &mut Out) -> Go<At> {
    let answer = match back {
        Some(wait) => Answer::new(Reason::Full, "all workers are busy; come back then").back(wait),
        None if call.state.read.tries.sent > 0 => {
            Answer::new(Reason::WorkerFull, "no worker took the call; come back then").back(SEC / 2)
        }
        None => {
            let remedy = "no worker that could take the call is known here; come back then";
            Answer::new(Reason::NoWorker, remedy).back(SEC)
        }
    };
    end(call, answer, cx, out)
}

/// The call ends without a place: with an answer, or visibly broken if one had begun.
pub fn end(call: Call<Granted>, answer: Answer, cx: &mut Cx, out: &mut Out) -> Go<At> {
    drop_unit(&call.state, cx, out);
    if call.state.flow.is_some() {
        cx.floor.counts.broken.add();
        out.push(Effect::Abort(answer.code));
        return Ok(At::Over);
    }
    Err(Halt::Say(answer.ran(call.state.read.tries.ran)))
}
