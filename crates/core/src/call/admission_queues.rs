use super::context::{SharedCallState, StepContext};
use super::holdings::{QuotaUnit, ReservedSlot};
use super::io::{Effect, Effects, Event, Wakeup};
use super::lookup::{LookupOutcome, lookup};
use super::queue_entries::{SlotWaiter, TenantQueue, UnitWaiter};
use crate::base::{MS, Micros, SEC};
use crate::cache::Ttl;
use crate::config::Kind;
use crate::config::PlacementWeights;
use crate::node::View;
use crate::placement::{CallOutcome, Endpoint, PlacementContext, PlacementTable, PromptRequest};
use crate::queue::FairQueue;
use crate::quota::TakeOutcome;
use std::sync::Arc;

/// A holder's successor speaks within this time; who hears no word for longer waits in vain.
const MUTE: Micros = 1_700 * MS;

/// Which place is wanted.
#[derive(Clone, Copy)]
pub(super) struct SlotRequest<'a> {
    pub pool: &'a str,
    pub hash: u64,
    pub ask: Option<&'a Arc<PromptRequest>>,
    pub skip: &'a [String],
}

/// Who asks for something that may have to be waited for.
pub(super) struct QueuedCall<'a> {
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

impl QueuedCall<'_> {
    fn unit_waiter(&self) -> UnitWaiter {
        UnitWaiter { call: self.call, soon: self.soon, units: self.units }
    }
}

pub(super) enum SlotOutcome {
    Taken(Endpoint),
    Waits,
    /// All are full for longer than the call may wait.
    Full(Micros),
    /// There is no worker that it could wait for.
    NoWorker,
}

pub(super) enum UnitOutcome {
    Unit(QuotaUnit, bool),
    Waits,
    Spent(Micros),
    HolderUnreachable(Micros),
}

/// When it is worth coming again; where no unit is in sight, when shares may have moved.
fn back(wait: Micros) -> Micros {
    if wait > 60 * SEC { SEC } else { wait.max(50 * MS) }
}

/// The workers that may take calls of a pool, by this node's own view. A pool that a
/// newer version took out serves on those that it was read for.
fn table_of(v: &View, pool: &str) -> PlacementTable {
    let p = v.config.pools.get(pool);
    PlacementTable::new(
        v.workers.iter().filter(|r| r.pool == pool && p.is_none_or(|p| p.accepts_worker(&r.worker_id, &r.addr))),
    )
}

/// The table of a pool, or none while another call makes it.
pub(super) fn table(cx: &mut StepContext, pool: &str, since: Option<Micros>) -> Option<Arc<PlacementTable>> {
    let v = cx.view.clone();
    match lookup(cx, &v, pool, since, || Ok((Some(Arc::new(table_of(&v, pool))), Ttl::Usual))) {
        LookupOutcome::Found(t) => Some(t.unwrap_or_default()),
        LookupOutcome::InProgress => None,
        LookupOutcome::Failed(_) => Some(Arc::new(table_of(&v, pool))),
    }
}

impl SharedCallState {
    /// A place now, or one in the waitlist if the wait is worth it.
    pub(super) fn acquire_slot(
        &self,
        t: &PlacementTable,
        x: SlotRequest,
        a: &QueuedCall,
        v: &View,
        now: Micros,
        out: &mut Effects,
    ) -> SlotOutcome {
        let SlotRequest { pool, hash, ask, skip } = x;
        if t.endpoints.iter().all(|p| skip.contains(&p.worker_id)) {
            return SlotOutcome::NoWorker;
        }
        let mut g = self.slot_queues.lock_shard(pool);
        let w = g.entry(pool.to_owned()).or_insert_with(|| FairQueue::new(self.queue_capacity));
        if w.is_empty()
            && let Some(i) = self.choose(t, &x, v, now)
        {
            self.worker_loads.begin(&t.endpoints[i].worker_id);
            return SlotOutcome::Taken(t.endpoints[i].clone());
        }
        let x = SlotWaiter { call: a.call, hash, ask: ask.cloned(), skip: skip.to_vec() };
        match w.push((a.tenant.to_owned(), a.kind), a.weight, x, a.due, now) {
            Ok(None) => SlotOutcome::Waits,
            Ok(Some(o)) => {
                let event = Event::GiveUp(w.retry_after(now));
                out.push(Effect::Wake(Wakeup { call_id: o.call, queue: pool.to_owned(), event }));
                SlotOutcome::Waits
            }
            Err((_, r)) => SlotOutcome::Full(r.retry_after),
        }
    }

    /// The worker for a call: by what it asks of an engine, or along the ring.
    fn choose(&self, t: &PlacementTable, x: &SlotRequest, v: &View, now: Micros) -> Option<usize> {
        let Some(ask) = x.ask else {
            return t.nominate(x.hash, &self.zone, &self.worker_loads.current(t), x.skip);
        };
        let set = v.config.pools.get(x.pool).map(|p| &p.placement_weights);
        let none = PlacementWeights::default();
        let s =
            PlacementContext { pool: x.pool, zone: &self.zone, weights: set.unwrap_or(&none), excluded: x.skip, now };
        self.engines.choose(t, ask, &s, &self.worker_loads)
    }

    /// Leaves the waitlist of a pool; false if a place was already given.
    pub(super) fn leave_slot_queue(&self, pool: &str, call: u64) -> bool {
        self.slot_queues.lock_shard(pool).get_mut(pool).is_some_and(|w| w.remove_first(|x| x.call == call).is_some())
    }

    pub(super) fn slot_retry_after(&self, pool: &str, now: Micros) -> Micros {
        self.slot_queues.lock_shard(pool).get(pool).map_or(SEC, |w| w.retry_after(now))
    }

    pub(super) fn acquire_unit(&self, a: &QueuedCall, now: Micros, out: &mut Effects) -> UnitOutcome {
        let mut g = self.quota_queues.lock_shard(a.tenant);
        let u = g.entry(a.tenant.to_owned()).or_insert_with(|| TenantQueue {
            list: FairQueue::new(self.queue_capacity),
            mute: None,
            last: now,
        });
        if u.list.is_empty() {
            match self.slices.take_units(a.tenant, a.units, now) {
                TakeOutcome::Taken { window, until, low } => {
                    return UnitOutcome::Unit(QuotaUnit { window, expires_at: until }, low);
                }
                TakeOutcome::WindowSpent { remaining: left } => return UnitOutcome::Spent(left),
                TakeOutcome::RateExhausted { wait, interval: each, may_get_more: more } => {
                    return Self::wait_for_rate(u, a, (wait, each, more), now);
                }
                TakeOutcome::Empty => {}
            }
            if now.saturating_sub(u.last) > SEC {
                u.mute = None;
            }
        } else if let Some(TakeOutcome::RateExhausted { wait, interval: each, may_get_more: more }) =
            self.slices.rates.peek(a.tenant, a.units, now)
        {
            return Self::wait_for_rate(u, a, (wait, each, more), now);
        }
        u.last = now;
        let mute = *u.mute.get_or_insert(now);
        if now > mute + MUTE {
            return UnitOutcome::HolderUnreachable(SEC);
        }
        match u.list.push((a.tenant.to_owned(), a.kind), a.weight, a.unit_waiter(), mute + MUTE + a.due, now) {
            Ok(None) => UnitOutcome::Waits,
            Ok(Some(UnitWaiter { call, .. })) => {
                out.push(Effect::Wake(Wakeup { call_id: call, queue: a.tenant.to_owned(), event: Event::GiveUp(SEC) }));
                UnitOutcome::Waits
            }
            Err(_) => UnitOutcome::HolderUnreachable(SEC),
        }
    }

    /// Waits where the rate brings a unit in time, or the holder may have one.
    fn wait_for_rate(
        u: &mut TenantQueue,
        a: &QueuedCall,
        (wait, each, more): (Micros, Micros, bool),
        now: Micros,
    ) -> UnitOutcome {
        let at = each.saturating_mul(u.list.len() as u64).saturating_add(wait).saturating_add(now);
        if !more && at > a.soon {
            return UnitOutcome::Spent(back(at - now));
        }
        u.mute = None;
        match u.list.push((a.tenant.to_owned(), a.kind), a.weight, a.unit_waiter(), Micros::MAX, now) {
            Ok(_) => UnitOutcome::Waits,
            Err((_, r)) => UnitOutcome::Spent(back(r.retry_after)),
        }
    }

    pub(super) fn leave_quota_queue(&self, t: &str, call: u64) -> bool {
        self.quota_queues.lock_shard(t).get_mut(t).is_some_and(|u| u.list.remove_first(|x| x.call == call).is_some())
    }

    /// The holder's word came: those who wait get what there is, or hear that there is none.
    pub fn serve_quota_queue(&self, t: &str, now: Micros) -> Vec<Wakeup> {
        let mut out = Vec::new();
        let mut g = self.quota_queues.lock_shard(t);
        let Some(u) = g.get_mut(t) else { return out };
        // A word that brings nothing, such as a slice that came too late, is none.
        let mute = u.mute.take();
        let ring = |call, event| Wakeup { call_id: call, queue: t.to_owned(), event };
        while !u.list.is_empty() {
            // What the first of those found that could not be given theirs.
            let mut none = None;
            let given = u.list.pop(|w| {
                let draw = self.slices.rates.take_for_waiter(t, w.units, now);
                match draw.unwrap_or_else(|| self.slices.take(t, now)) {
                    TakeOutcome::Taken { window, until, .. } => Some(QuotaUnit { window, expires_at: until }),
                    other => {
                        none.get_or_insert(other);
                        None
                    }
                }
            });
            if let Some((waiter, unit)) = given {
                out.push(ring(waiter.call, Event::UnitGranted(unit)));
                continue;
            }
            let Some(found) = none else { break };
            if self.slices.rates.is_rate(t) {
                // Behind one that is too large there may be smaller ones.
                let fits = |w: &UnitWaiter| match self.slices.rates.take_for_waiter(t, w.units, now)? {
                    TakeOutcome::Taken { window, until, .. } => Some(QuotaUnit { window, expires_at: until }),
                    _ => None,
                };
                if let Some((waiter, unit)) = u.list.pop_any(fits) {
                    out.push(ring(waiter.call, Event::UnitGranted(unit)));
                    continue;
                }
                let least = u.list.iter().map(|w| w.units).min().unwrap_or(1);
                self.slices.rates.set_smallest_call(t, least);
            }
            match found {
                TakeOutcome::WindowSpent { remaining: left } => {
                    out.extend(
                        u.list.drain_where(|_, _| true).into_iter().map(|w| ring(w.call, Event::WindowSpent(left))),
                    );
                }
                TakeOutcome::RateExhausted { wait, interval: each, may_get_more: more } => {
                    // Who can't be served in time hears so at once.
                    let mut at = now.saturating_add(wait);
                    let late = u.list.drain_where(|w, _| {
                        let late = if more { now >= w.soon } else { at > w.soon };
                        if !late {
                            at = at.saturating_add(each);
                        }
                        late
                    });
                    out.extend(late.into_iter().map(|w| ring(w.call, Event::WindowSpent(back(wait)))));
                    break;
                }
                TakeOutcome::Empty | TakeOutcome::Taken { .. } => {
                    u.mute = if out.is_empty() { mute } else { Some(now) };
                    break;
                }
            }
        }
        out
    }

    /// A unit that was not used goes back to its window, and to who waits for one.
    pub(super) fn refund(&self, t: &str, u: QuotaUnit, now: Micros) -> Vec<Wakeup> {
        self.slices.refund(t, u.window);
        let waits = self.quota_queues.lock_shard(t).get(t).is_some_and(|u| !u.list.is_empty());
        if waits { self.serve_quota_queue(t, now) } else { Vec::new() }
    }

    /// What could not be told to its call is there for others again.
    pub fn reclaim(r: Wakeup, cx: &mut StepContext) -> Vec<Wakeup> {
        match r.event {
            Event::SlotAssigned(at) => {
                SharedCallState::release_slot(&ReservedSlot { pool: r.queue, endpoint: at, ticket: 0 }, cx)
            }
            Event::UnitGranted(u) => cx.shared.refund(&r.queue, u, cx.now),
            _ => Vec::new(),
        }
    }

    /// A place is free again.
    pub(super) fn release_slot(s: &ReservedSlot, cx: &mut StepContext) -> Vec<Wakeup> {
        cx.shared.worker_loads.end(&s.endpoint.worker_id);
        cx.shared.engines.record_end(&s.pool, &s.endpoint.worker_id, s.ticket, CallOutcome::Done, cx.now);
        if let Some(w) = cx.shared.slot_queues.lock_shard(&s.pool).get_mut(&s.pool) {
            w.record_freed(cx.now);
        }
        SharedCallState::serve_slot_queue(&s.pool, cx)
    }

    /// Gives free places to those who wait, in fair order.
    fn serve_slot_queue(pool: &str, cx: &mut StepContext) -> Vec<Wakeup> {
        let mut out = Vec::new();
        if cx.shared.slot_queues.lock_shard(pool).get(pool).is_none_or(FairQueue::is_empty) {
            return out;
        }
        let t = table(cx, pool, None).unwrap_or_else(|| Arc::new(table_of(cx.view, pool)));
        let f = cx.shared;
        let mut g = f.slot_queues.lock_shard(pool);
        let Some(w) = g.get_mut(pool) else { return out };
        let ring = |call, event| Wakeup { call_id: call, queue: pool.to_owned(), event };
        while !w.is_empty() {
            let (v, now) = (cx.view, cx.now);
            let fit = |x: &SlotWaiter| {
                let x = SlotRequest { pool, hash: x.hash, ask: x.ask.as_ref(), skip: &x.skip };
                f.choose(&t, &x, v, now)
            };
            let Some((x, i)) = w.pop(fit) else { break };
            f.worker_loads.begin(&t.endpoints[i].worker_id);
            out.push(ring(x.call, Event::SlotAssigned(t.endpoints[i].clone())));
        }
        let gone = w.drain_where(|x, _| t.endpoints.iter().all(|p| x.skip.contains(&p.worker_id)));
        out.extend(gone.into_iter().map(|x| ring(x.call, Event::GiveUp(SEC))));
        out
    }

    /// Looks through all waitlists, a few times a second: who may go, who waits in
    /// vain, and for which tenants units should be fetched.
    pub fn expire_waiters(cx: &mut StepContext) -> (Vec<Wakeup>, Vec<(String, u64)>) {
        let (mut out, mut need) = (Vec::new(), Vec::new());
        let (f, now) = (cx.shared, cx.now);
        for pool in f.slot_queues.names() {
            out.extend(SharedCallState::serve_slot_queue(&pool, cx));
            if let Some(w) = f.slot_queues.lock_shard(&pool).get_mut(&pool) {
                let back = w.retry_after(now);
                let v = w.take_hopeless(now).into_iter();
                out.extend(v.map(|x| Wakeup { call_id: x.call, queue: pool.clone(), event: Event::GiveUp(back) }));
            }
        }
        for t in f.quota_queues.names() {
            if f.slices.rates.is_rate(&t) {
                out.extend(f.serve_quota_queue(&t, now));
            }
            let mut g = f.quota_queues.lock_shard(&t);
            let Some(u) = g.get_mut(&t).filter(|u| !u.list.is_empty()) else { continue };
            need.push((t.clone(), u.list.iter().map(|w| u64::from(w.units)).sum()));
            if u.mute.is_some_and(|m| now > m + MUTE) {
                let v = u.list.drain_where(|_, _| true).into_iter();
                out.extend(v.map(|w| Wakeup { call_id: w.call, queue: t.clone(), event: Event::GiveUp(SEC) }));
            }
        }
        (out, need)
    }

    /// How many calls wait for a place, and for a unit.
    pub fn queue_lengths(&self) -> (u64, u64) {
        let p = self.slot_queues.lock_each().map(|g| g.values().map(|w| w.len() as u64).sum::<u64>()).sum();
        let u = self.quota_queues.lock_each().map(|g| g.values().map(|u| u.list.len() as u64).sum::<u64>()).sum();
        (p, u)
    }
}
