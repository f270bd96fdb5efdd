//! Quota units, and the queue of each tenant for calls that wait for some.
//!
//! Units come from the slices that the lease holder of the tenant's quota granted to this node. A
//! call waits while the holder can still answer; without an answer for [`MAX_UNANSWERED`], calls
//! are dropped with a time to retry after.

use super::context::SharedCallState;
use super::holdings::QuotaUnit;
use super::io::{Effect, Effects, Event, Wakeup};
use super::queue_entries::{QueuedCall, TenantQueue, UnitWaiter};
use crate::base::{MS, Micros, SEC};
use crate::quota::AcquireOutcome;

/// A new lease holder answers within this time; without an answer for longer, waiting is hopeless.
/// In microseconds.
const MAX_UNANSWERED: Micros = 1_700 * MS;

/// When to retry if no lease holder answered, in microseconds.
const UNREACHABLE_RETRY_AFTER: Micros = SEC;

/// Longer waits than this for a rate mean that this node's share is next to nothing, in microseconds.
const LONGEST_RATE_WAIT: Micros = 60 * SEC;

/// The quota queues reject no call by its expected wait: calls leave them at their own deadlines.
const NO_DEADLINE: Micros = Micros::MAX;

/// What a request for quota units came to.
pub(super) enum UnitOutcome {
    /// The call holds its unit.
    Granted {
        /// The unit.
        unit: QuotaUnit,
        /// The slice runs low, so more units should be fetched.
        is_low: bool,
    },
    /// The call waits in the queue of its tenant.
    Queued,
    /// The quota has no room in time.
    Exhausted {
        /// When to retry, in microseconds from now.
        retry_after: Micros,
    },
    /// No lease holder of the quota answers.
    HolderUnreachable {
        /// When to retry, in microseconds from now.
        retry_after: Micros,
    },
}

/// When units of a rate come in.
#[derive(Clone, Copy)]
struct RateRefill {
    /// Until the next units are there, in microseconds.
    wait: Micros,
    /// Between later units, in microseconds.
    interval: Micros,
    /// The lease holder may grant a larger share.
    may_get_more: bool,
}

impl RateRefill {
    /// When a rejected call is to retry, in microseconds from now: when the units are there, or if
    /// none are in sight, when the shares of the nodes may have changed.
    fn retry_after(wait: Micros) -> Micros {
        if wait > LONGEST_RATE_WAIT { SEC } else { wait.max(50 * MS) }
    }
}

/// What the queue's next call got.
enum NextGrant {
    /// This call got its units.
    Granted(Wakeup),
    /// No call could be served; this is what the first one met.
    Refused(AcquireOutcome),
    /// There was no call to serve.
    Nothing,
}

impl SharedCallState {
    /// Takes units now, or queues the call if they can come in time.
    pub(super) fn acquire_unit(&self, call: &QueuedCall, now: Micros, effects: &mut Effects) -> UnitOutcome {
        let mut queues = self.quota_queues.lock_shard(call.tenant);
        let queue = queues.entry(call.tenant.to_owned()).or_insert_with(|| TenantQueue::new(self.queue_capacity, now));
        if queue.waiters.is_empty() {
            match self.slices.acquire_units(call.tenant, call.units, now) {
                AcquireOutcome::Acquired { window, until, low } => {
                    return UnitOutcome::Granted { unit: QuotaUnit { window, expires_at: until }, is_low: low };
                }
                AcquireOutcome::WindowSpent { remaining } => return UnitOutcome::Exhausted { retry_after: remaining },
                AcquireOutcome::RateExhausted { wait, interval, may_get_more } => {
                    return queue.wait_for_rate(call, RateRefill { wait, interval, may_get_more }, now);
                }
                AcquireOutcome::Empty => {}
            }
            // Nobody asked for a while, so the lease holder had nothing to answer.
            if now.saturating_sub(queue.last_request_at) > SEC {
                queue.unanswered_since = None;
            }
        } else if let Some(AcquireOutcome::RateExhausted { wait, interval, may_get_more }) =
            self.slices.rates.peek(call.tenant, call.units, now)
        {
            return queue.wait_for_rate(call, RateRefill { wait, interval, may_get_more }, now);
        }
        queue.wait_for_holder(call, now, effects)
    }

    /// Leaves the queue of a tenant; false if the call is not in it, since it got an event.
    pub(super) fn leave_quota_queue(&self, tenant: &str, call_id: u64) -> bool {
        self.quota_queues
            .lock_shard(tenant)
            .get_mut(tenant)
            .is_some_and(|queue| queue.waiters.remove_first(|waiter| waiter.call_id == call_id).is_some())
    }

    /// The lease holder answered, or units came back: the calls that wait get the units that there
    /// are, or learn that there are none.
    pub fn serve_quota_queue(&self, tenant: &str, now: Micros) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        let mut queues = self.quota_queues.lock_shard(tenant);
        let Some(queue) = queues.get_mut(tenant) else { return wakeups };
        // An answer that brings nothing, such as a slice that came too late, counts as none.
        let unanswered_since = queue.unanswered_since.take();
        while !queue.waiters.is_empty() {
            match self.grant_next(queue, tenant, now) {
                NextGrant::Granted(wakeup) => wakeups.push(wakeup),
                NextGrant::Nothing => break,
                NextGrant::Refused(AcquireOutcome::WindowSpent { remaining }) => {
                    wakeups.extend(queue.drop_all(tenant, Event::WindowSpent(remaining)));
                }
                NextGrant::Refused(AcquireOutcome::RateExhausted { wait, interval, may_get_more }) => {
                    wakeups.extend(queue.drop_late(tenant, RateRefill { wait, interval, may_get_more }, now));
                    break;
                }
                NextGrant::Refused(AcquireOutcome::Empty | AcquireOutcome::Acquired { .. }) => {
                    queue.unanswered_since = if wakeups.is_empty() { unanswered_since } else { Some(now) };
                    break;
                }
            }
        }
        wakeups
    }

    fn grant_next(&self, queue: &mut TenantQueue, tenant: &str, now: Micros) -> NextGrant {
        let granted = |(waiter, unit): (UnitWaiter, QuotaUnit)| {
            NextGrant::Granted(wakeup(tenant, waiter.call_id, Event::UnitGranted(unit)))
        };
        let mut first_refusal = None;
        let next = queue.waiters.pop(|waiter| match self.slices.acquire_for_waiter(tenant, waiter.units, now) {
            AcquireOutcome::Acquired { window, until, .. } => Some(QuotaUnit { window, expires_at: until }),
            refusal => {
                first_refusal.get_or_insert(refusal);
                None
            }
        });
        if let Some(next) = next {
            return granted(next);
        }
        let Some(refusal) = first_refusal else { return NextGrant::Nothing };
        if self.slices.rates.is_rate(tenant) {
            if let Some(smaller) = self.grant_smaller(queue, tenant, now) {
                return granted(smaller);
            }
            let smallest = queue.waiters.iter().map(|waiter| waiter.units).min().unwrap_or(1);
            self.slices.rates.set_smallest_call(tenant, smallest);
        }
        NextGrant::Refused(refusal)
    }

    /// Behind a call that needs too many units of a rate there may be one that needs fewer.
    fn grant_smaller(&self, queue: &mut TenantQueue, tenant: &str, now: Micros) -> Option<(UnitWaiter, QuotaUnit)> {
        queue.waiters.pop_any(|waiter| match self.slices.rates.acquire_for_waiter(tenant, waiter.units, now)? {
            AcquireOutcome::Acquired { window, until, .. } => Some(QuotaUnit { window, expires_at: until }),
            _ => None,
        })
    }

    /// Returns an unused unit to its window, and from there to a call that waits for one.
    pub(super) fn refund_unit(&self, tenant: &str, unit: QuotaUnit, now: Micros) -> Vec<Wakeup> {
        self.slices.refund(tenant, unit.window);
        let has_waiters =
            self.quota_queues.lock_shard(tenant).get(tenant).is_some_and(|queue| !queue.waiters.is_empty());
        if has_waiters { self.serve_quota_queue(tenant, now) } else { Vec::new() }
    }
}

impl TenantQueue {
    /// Queues the call while the lease holder can still answer. Its wait is not estimated: how long others have
    /// waited says nothing about when a lease holder, or its successor, answers.
    fn wait_for_holder(&mut self, call: &QueuedCall, now: Micros, effects: &mut Effects) -> UnitOutcome {
        self.last_request_at = now;
        let unanswered_since = *self.unanswered_since.get_or_insert(now);
        if now > unanswered_since + MAX_UNANSWERED {
            return UnitOutcome::HolderUnreachable { retry_after: UNREACHABLE_RETRY_AFTER };
        }
        let flow = (call.tenant.to_owned(), call.kind);
        match self.waiters.push(flow, call.weight, call.into(), NO_DEADLINE, now) {
            Ok(None) => UnitOutcome::Queued,
            Ok(Some(displaced)) => {
                let event = Event::DroppedFromQueue(UNREACHABLE_RETRY_AFTER);
                effects.push(Effect::WakeCall(wakeup(call.tenant, displaced.call_id, event)));
                UnitOutcome::Queued
            }
            Err(_) => UnitOutcome::HolderUnreachable { retry_after: UNREACHABLE_RETRY_AFTER },
        }
    }

    /// Queues the call if the rate brings its units in time, or if the lease holder may grant more.
    fn wait_for_rate(&mut self, call: &QueuedCall, refill: RateRefill, now: Micros) -> UnitOutcome {
        let behind_others = refill.interval.saturating_mul(self.waiters.len() as u64);
        let available_at = behind_others.saturating_add(refill.wait).saturating_add(now);
        if !refill.may_get_more && available_at > call.rate_deadline {
            return UnitOutcome::Exhausted { retry_after: RateRefill::retry_after(available_at - now) };
        }
        self.unanswered_since = None;
        let flow = (call.tenant.to_owned(), call.kind);
        match self.waiters.push(flow, call.weight, call.into(), NO_DEADLINE, now) {
            Ok(_) => UnitOutcome::Queued,
            Err((_, rejection)) => {
                UnitOutcome::Exhausted { retry_after: RateRefill::retry_after(rejection.retry_after) }
            }
        }
    }

    /// Drops all calls with the same event.
    fn drop_all(&mut self, tenant: &str, event: Event) -> impl Iterator<Item = Wakeup> {
        let waiters = self.waiters.drain_where(|_, _| true).into_iter();
        waiters.map(move |waiter| wakeup(tenant, waiter.call_id, event.clone()))
    }

    /// Drops the calls for which the rate brings no units in time, at once.
    fn drop_late(&mut self, tenant: &str, refill: RateRefill, now: Micros) -> impl Iterator<Item = Wakeup> {
        let mut available_at = now.saturating_add(refill.wait);
        let late = self.waiters.drain_where(|waiter, _| {
            let is_late =
                if refill.may_get_more { now >= waiter.rate_deadline } else { available_at > waiter.rate_deadline };
            if !is_late {
                available_at = available_at.saturating_add(refill.interval);
            }
            is_late
        });
        let event = Event::WindowSpent(RateRefill::retry_after(refill.wait));
        late.into_iter().map(move |waiter| wakeup(tenant, waiter.call_id, event.clone()))
    }

    /// Drops all calls if the lease holder has not answered for too long.
    pub(super) fn drop_unanswered(&mut self, tenant: &str, now: Micros) -> Vec<Wakeup> {
        if self.unanswered_since.is_some_and(|since| now > since + MAX_UNANSWERED) {
            return self.drop_all(tenant, Event::DroppedFromQueue(UNREACHABLE_RETRY_AFTER)).collect();
        }
        Vec::new()
    }

    /// How many units the calls that wait need.
    pub(super) fn waiting_units(&self) -> u64 {
        self.waiters.iter().map(|waiter| u64::from(waiter.units)).sum()
    }
}

fn wakeup(tenant: &str, call_id: u64, event: Event) -> Wakeup {
    Wakeup { call_id, queue: tenant.to_owned(), event }
}
