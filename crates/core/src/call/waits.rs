use super::floor::{Cx, Floor};
use super::holdings::{Seat, Unit};
use super::io::{Effect, Event, Out, Ring};
use super::lookup::{Found, lookup};
use super::waiters::{UnitWaiter, Units, Waiter};
use crate::base::{MS, Micros, SEC};
use crate::cache::Ttl;
use crate::config::Kind;
use crate::config::Placement;
use crate::node::View;
use crate::place::{Ask, Outcome, Place, Scene, Table};
use crate::quota::Take;
use crate::wait::Waitlist;
use std::sync::Arc;

/// A holder's successor speaks within this time; who hears no word for longer waits in vain.
const MUTE: Micros = 1_700 * MS;

/// Which place is wanted.
#[derive(Clone, Copy)]
pub(super) struct Wish<'a> {
    pub pool: &'a str,
    pub hash: u64,
    pub ask: Option<&'a Arc<Ask>>,
    pub skip: &'a [String],
}

/// Who asks for something that may have to be waited for.
pub(super) struct Asker<'a> {
    pub call: u64,
    pub tenant: &'a str,
    pub weight: u64,
    pub kind: Kind,
    pub due: Micros,
    /// Until when it may wait for units that a rate brings in.
    pub soon: Micros,
    /// How many units of its tenant's rate it takes.
    pub units: u32,
}

impl Asker<'_> {
    fn unit_waiter(&self) -> UnitWaiter {
        UnitWaiter { call: self.call, soon: self.soon, units: self.units }
    }
}

pub(super) enum Sat {
    Taken(Place),
    Waits,
    /// All are full for longer than the call may wait.
    Full(Micros),
    /// There is no worker that it could wait for.
    Nobody,
}

pub(super) enum Got {
    Unit(Unit, bool),
    Waits,
    Spent(Micros),
    Mute(Micros),
}

/// When it is worth coming again; where no unit is in sight, when shares may have moved.
fn back(wait: Micros) -> Micros {
    if wait > 60 * SEC { SEC } else { wait.max(50 * MS) }
}

/// The workers that may take calls of a pool, by this node's own view. A pool that a
/// newer version took out serves on those that it was read for.
fn table_of(v: &View, pool: &str) -> Table {
    let p = v.plan.pools.get(pool);
    Table::new(v.workers.iter().filter(|r| r.pool == pool && p.is_none_or(|p| p.takes(&r.worker_id, &r.addr))))
}

/// The table of a pool, or none while another call makes it.
pub(super) fn table(cx: &mut Cx, pool: &str, since: Option<Micros>) -> Option<Arc<Table>> {
    let v = cx.view.clone();
    match lookup(cx, &v, pool, since, || Ok((Some(Arc::new(table_of(&v, pool))), Ttl::Usual))) {
        Found::Val(t) => Some(t.unwrap_or_default()),
        Found::Soon => None,
        Found::No(_) => Some(Arc::new(table_of(&v, pool))),
    }
}

impl Floor {
    /// A place now, or one in the waitlist if the wait is worth it.
    pub(super) fn seat(&self, t: &Table, x: Wish, a: &Asker, v: &View, now: Micros, out: &mut Out) -> Sat {
        let Wish { pool, hash, ask, skip } = x;
        if t.places.iter().all(|p| skip.contains(&p.worker_id)) {
            return Sat::Nobody;
        }
        let mut g = self.places.at(pool);
        let w = g.entry(pool.to_owned()).or_insert_with(|| Waitlist::new(self.cap));
        if w.is_empty()
            && let Some(i) = self.choose(t, &x, v, now)
        {
            self.loads.begin(&t.places[i].worker_id);
            return Sat::Taken(t.places[i].clone());
        }
        let x = Waiter { call: a.call, hash, ask: ask.cloned(), skip: skip.to_vec() };
        match w.push((a.tenant.to_owned(), a.kind), a.weight, x, a.due, now) {
            Ok(None) => Sat::Waits,
            Ok(Some(o)) => {
                let event = Event::Vain(w.back(now));
                out.push(Effect::Ring(Ring { call: o.call, of: pool.to_owned(), event }));
                Sat::Waits
            }
            Err((_, r)) => Sat::Full(r.back),
        }
    }

    /// The worker for a call: by what it asks of an engine, or along the ring.
    fn choose(&self, t: &Table, x: &Wish, v: &View, now: Micros) -> Option<usize> {
        let Some(ask) = x.ask else {
            return t.nominate(x.hash, &self.zone, &self.loads.of(t), x.skip);
        };
        let set = v.plan.pools.get(x.pool).map(|p| &p.placement);
        let none = Placement::default();
        let s = Scene { pool: x.pool, zone: &self.zone, set: set.unwrap_or(&none), skip: x.skip, now };
        self.engines.choose(t, ask, &s, &self.loads)
    }

    /// Leaves the waitlist of a pool; false if a place was already given.
    pub(super) fn unseat(&self, pool: &str, call: u64) -> bool {
        self.places.at(pool).get_mut(pool).is_some_and(|w| w.leave(|x| x.call == call).is_some())
    }

    pub(super) fn back(&self, pool: &str, now: Micros) -> Micros {
        self.places.at(pool).get(pool).map_or(SEC, |w| w.back(now))
    }

    pub(super) fn unit(&self, a: &Asker, now: Micros, out: &mut Out) -> Got {
        let mut g = self.units.at(a.tenant);
        let u = g.entry(a.tenant.to_owned()).or_insert_with(|| Units {
            list: Waitlist::new(self.cap),
            mute: None,
            last: now,
        });
        if u.list.is_empty() {
            match self.slices.take_units(a.tenant, a.units, now) {
                Take::Took { window, until, low } => return Got::Unit(Unit { window, until }, low),
                Take::Spent { left } => return Got::Spent(left),
                Take::Dry { wait, each, more } => return Self::dry(u, a, (wait, each, more), now),
                Take::Empty => {}
            }
            if now.saturating_sub(u.last) > SEC {
                u.mute = None;
            }
        } else if let Some(Take::Dry { wait, each, more }) = self.slices.rates.look(a.tenant, a.units, now) {
            return Self::dry(u, a, (wait, each, more), now);
        }
        u.last = now;
        let mute = *u.mute.get_or_insert(now);
        if now > mute + MUTE {
            return Got::Mute(SEC);
        }
        match u.list.push((a.tenant.to_owned(), a.kind), a.weight, a.unit_waiter(), mute + MUTE + a.due, now) {
            Ok(None) => Got::Waits,
            Ok(Some(UnitWaiter { call, .. })) => {
                out.push(Effect::Ring(Ring { call, of: a.tenant.to_owned(), event: Event::Vain(SEC) }));
                Got::Waits
            }
            Err(_) => Got::Mute(SEC),
        }
    }

    /// Waits where the rate brings a unit in time, or the holder may have one.
    fn dry(u: &mut Units, a: &Asker, (wait, each, more): (Micros, Micros, bool), now: Micros) -> Got {
        let at = each.saturating_mul(u.list.len() as u64).saturating_add(wait).saturating_add(now);
        if !more && at > a.soon {
            return Got::Spent(back(at - now));
        }
        u.mute = None;
        match u.list.push((a.tenant.to_owned(), a.kind), a.weight, a.unit_waiter(), Micros::MAX, now) {
            Ok(_) => Got::Waits,
            Err((_, r)) => Got::Spent(back(r.back)),
        }
    }

    pub(super) fn ununit(&self, t: &str, call: u64) -> bool {
        self.units.at(t).get_mut(t).is_some_and(|u| u.list.leave(|x| x.call == call).is_some())
    }

    /// The holder's word came: those who wait get what there is, or hear that there is none.
    pub fn refill(&self, t: &str, now: Micros) -> Vec<Ring> {
        let mut out = Vec::new();
        let mut g = self.units.at(t);
        let Some(u) = g.get_mut(t) else { return out };
        // A word that brings nothing, such as a slice that came too late, is none.
        let mute = u.mute.take();
        let ring = |call, event| Ring { call, of: t.to_owned(), event };
        while !u.list.is_empty() {
            // What the first of those found that could not be given theirs.
            let mut none = None;
            let given = u.list.pop(|w| {
                let draw = self.slices.rates.draw(t, w.units, now);
                match draw.unwrap_or_else(|| self.slices.take(t, now)) {
                    Take::Took { window, until, .. } => Some(Unit { window, until }),
                    other => {
                        none.get_or_insert(other);
                        None
                    }
                }
            });
            if let Some((waiter, unit)) = given {
                out.push(ring(waiter.call, Event::Unit(unit)));
                continue;
            }
            let Some(found) = none else { break };
            if self.slices.rates.is_rate(t) {
                // Behind one that is too large there may be smaller ones.
                let fits = |w: &UnitWaiter| match self.slices.rates.draw(t, w.units, now)? {
                    Take::Took { window, until, .. } => Some(Unit { window, until }),
                    _ => None,
                };
                if let Some((waiter, unit)) = u.list.pop_any(fits) {
                    out.push(ring(waiter.call, Event::Unit(unit)));
                    continue;
                }
                let least = u.list.iter().map(|w| w.units).min().unwrap_or(1);
                self.slices.rates.set_first(t, least);
            }
            match found {
                Take::Spent { left } => {
                    out.extend(u.list.take(|_, _| true).into_iter().map(|w| ring(w.call, Event::Spent(left))));
                }
                Take::Dry { wait, each, more } => {
                    // Who can't be served in time hears so at once.
                    let mut at = now.saturating_add(wait);
                    let late = u.list.take(|w, _| {
                        let late = if more { now >= w.soon } else { at > w.soon };
                        if !late {
                            at = at.saturating_add(each);
                        }
                        late
                    });
                    out.extend(late.into_iter().map(|w| ring(w.call, Event::Spent(back(wait)))));
                    break;
                }
                Take::Empty | Take::Took { .. } => {
                    u.mute = if out.is_empty() { mute } else { Some(now) };
                    break;
                }
            }
        }
        out
    }

    /// A unit that was not used goes back to its window, and to who waits for one.
    pub(super) fn refund(&self, t: &str, u: Unit, now: Micros) -> Vec<Ring> {
        self.slices.refund(t, u.window);
        let waits = self.units.at(t).get(t).is_some_and(|u| !u.list.is_empty());
        if waits { self.refill(t, now) } else { Vec::new() }
    }

    /// What could not be told to its call is there for others again.
    pub fn undo(r: Ring, cx: &mut Cx) -> Vec<Ring> {
        match r.event {
            Event::Seated(at) => Floor::free(&Seat { pool: r.of, at, ticket: 0 }, cx),
            Event::Unit(u) => cx.floor.refund(&r.of, u, cx.now),
            _ => Vec::new(),
        }
    }

    /// A place is free again.
    pub(super) fn free(s: &Seat, cx: &mut Cx) -> Vec<Ring> {
        cx.floor.loads.end(&s.at.worker_id);
        cx.floor.engines.end(&s.pool, &s.at.worker_id, s.ticket, Outcome::Done, cx.now);
        if let Some(w) = cx.floor.places.at(&s.pool).get_mut(&s.pool) {
            w.freed(cx.now);
        }
        Floor::serve(&s.pool, cx)
    }

    /// Gives free places to those who wait, in fair order.
    fn serve(pool: &str, cx: &mut Cx) -> Vec<Ring> {
        let mut out = Vec::new();
        if cx.floor.places.at(pool).get(pool).is_none_or(Waitlist::is_empty) {
            return out;
        }
        let t = table(cx, pool, None).unwrap_or_else(|| Arc::new(table_of(cx.view, pool)));
        let f = cx.floor;
        let mut g = f.places.at(pool);
        let Some(w) = g.get_mut(pool) else { return out };
        let ring = |call, event| Ring { call, of: pool.to_owned(), event };
        while !w.is_empty() {
            let (v, now) = (cx.view, cx.now);
            let fit = |x: &Waiter| {
                let x = Wish { pool, hash: x.hash, ask: x.ask.as_ref(), skip: &x.skip };
                f.choose(&t, &x, v, now)
            };
            let Some((x, i)) = w.pop(fit) else { break };
            f.loads.begin(&t.places[i].worker_id);
            out.push(ring(x.call, Event::Seated(t.places[i].clone())));
        }
        let gone = w.take(|x, _| t.places.iter().all(|p| x.skip.contains(&p.worker_id)));
        out.extend(gone.into_iter().map(|x| ring(x.call, Event::Vain(SEC))));
        out
    }

    /// Looks through all waitlists, a few times a second: who may go, who waits in
    /// vain, and for which tenants units should be fetched.
    pub fn sweep(cx: &mut Cx) -> (Vec<Ring>, Vec<(String, u64)>) {
        let (mut out, mut need) = (Vec::new(), Vec::new());
        let (f, now) = (cx.floor, cx.now);
        for pool in f.places.names() {
            out.extend(Floor::serve(&pool, cx));
            if let Some(w) = f.places.at(&pool).get_mut(&pool) {
                let back = w.back(now);
                let v = w.vain(now).into_iter();
                out.extend(v.map(|x| Ring { call: x.call, of: pool.clone(), event: Event::Vain(back) }));
            }
        }
        for t in f.units.names() {
            if f.slices.rates.is_rate(&t) {
                out.extend(f.refill(&t, now));
            }
            let mut g = f.units.at(&t);
            let Some(u) = g.get_mut(&t).filter(|u| !u.list.is_empty()) else { continue };
            need.push((t.clone(), u.list.iter().map(|w| u64::from(w.units)).sum()));
            if u.mute.is_some_and(|m| now > m + MUTE) {
                let v = u.list.take(|_, _| true).into_iter();
                out.extend(v.map(|w| Ring { call: w.call, of: t.clone(), event: Event::Vain(SEC) }));
            }
        }
        (out, need)
    }

    /// How many calls wait for a place, and for a unit.
    pub fn waiting(&self) -> (u64, u64) {
        let p = self.places.each().map(|g| g.values().map(|w| w.len() as u64).sum::<u64>()).sum();
        let u = self.units.each().map(|g| g.values().map(|u| u.list.len() as u64).sum::<u64>()).sum();
        (p, u)
    }
}
