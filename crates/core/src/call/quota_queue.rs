//! Quota units, and the queue of each tenant for calls that wait for units.
//!
//! Units come from the slices that the lease holder of the tenant's quota granted to this node. A
//! call waits while the lease holder can still answer. After [`MAX_UNANSWERED_WAIT`] without an
//! answer, the waiting calls are dropped with a retry-after time.

use super::context::SharedCallState;
use super::holdings::QuotaUnit;
use super::io::{Effect, Effects, Event, Wakeup};
use super::queue_entries::{QueuedCall, TenantQueue, UnitWaiter};
use crate::base::{MS, Micros, SEC};
use crate::quota::AcquireOutcome;

/// The longest wait for an answer of the lease holder, in microseconds. A new lease holder answers
/// within this time.
const MAX_UNANSWERED_WAIT: Micros = 1_700 * MS;

/// The retry-after time if no lease holder answered, in microseconds.
const UNREACHABLE_RETRY_AFTER: Micros = SEC;

/// The longest retry-after time derived from a rate, in microseconds. A longer wait means that this
/// node's share of the rate is close to zero.
const MAX_RATE_WAIT: Micros = 60 * SEC;

/// The deadline given to the fair queue, in microseconds. Quota queues reject no call by its expected
/// wait: each call leaves its queue at its own deadline.
const NO_DEADLINE: Micros = Micros::MAX;

/// The outcome of a request for quota units.
pub(super) enum UnitOutcome {
    /// The call holds a unit.
    Granted {
        /// The granted unit.
        unit: QuotaUnit,
        /// True if few units are left in the slice, so that more should be requested.
        is_low: bool,
    },
    /// The call waits in its tenant's queue.
    Queued,
    /// The quota has no units before the call's deadline.
    Exhausted {
        /// The time after which the client should retry, in microseconds from now.
        retry_after: Micros,
    },
    /// No lease holder of the quota has answered.
    HolderUnreachable {
        /// The time after which the client should retry, in microseconds from now.
        retry_after: Micros,
    },
}

/// When a rate provides its next units.
#[derive(Clone, Copy)]
struct RateRefill {
    /// The time until the next units are available, in microseconds.
    wait: Micros,
    /// The time between later units, in microseconds.
    interval: Micros,
    /// True if the lease holder may grant a larger share.
    may_receive_units: bool,
}

impl RateRefill {
    /// Returns the retry-after time of a rejected call, in microseconds from now: the time until its
    /// units are available, or if that exceeds [`MAX_RATE_WAIT`], the time after which the nodes'
    /// shares may have changed.
    fn retry_after(wait: Micros) -> Micros {
        if wait > MAX_RATE_WAIT { SEC } else { wait.max(50 * MS) }
    }
}

/// The outcome of granting units to the next call of a queue.
enum NextGrant {
    /// A call received its units.
    Granted(Wakeup),
    /// No call could be granted units. Contains the outcome of the first call that was tried.
    Rejected(AcquireOutcome),
    /// The queue has no calls.
    QueueEmpty,
}

impl SharedCallState {
    /// Acquires units now, or queues the call if units can arrive before its deadline.
    pub(super) fn acquire_unit(&self, call: &QueuedCall, now: Micros, effects: &mut Effects) -> UnitOutcome {
        let mut queues = self.quota_queues.lock_shard(call.tenant);
        let queue = queues.entry(call.tenant.to_owned()).or_insert_with(|| TenantQueue::new(self.queue_capacity, now));
        if queue.waiters.is_empty() {
            match self.slices.acquire_units(call.tenant, call.units, now) {
                AcquireOutcome::Acquired { window, expires_at, is_low } => {
                    return UnitOutcome::Granted { unit: QuotaUnit { window, expires_at }, is_low };
                }
                AcquireOutcome::WindowSpent { remaining } => return UnitOutcome::Exhausted { retry_after: remaining },
                AcquireOutcome::RateExhausted { wait, interval, may_receive_units } => {
                    return queue.wait_for_rate(call, RateRefill { wait, interval, may_receive_units }, now, effects);
                }
                AcquireOutcome::Empty => {}
            }
            // No call requested units for a second, so the lease holder had nothing to answer.
            if now.saturating_sub(queue.last_request_at) > SEC {
                queue.unanswered_since = None;
            }
        } else if let Some(AcquireOutcome::RateExhausted { wait, interval, may_receive_units }) =
            self.slices.rates.outcome_behind_waiters(call.tenant, call.units, now)
        {
            return queue.wait_for_rate(call, RateRefill { wait, interval, may_receive_units }, now, effects);
        }
        queue.wait_for_holder(call, now, effects)
    }

    /// Removes a call from its tenant's queue. Returns false if the call is no longer queued, since an
    /// event was sent to it.
    pub(super) fn leave_quota_queue(&self, tenant: &str, call_id: u64) -> bool {
        self.quota_queues
            .lock_shard(tenant)
            .get_mut(tenant)
            .is_some_and(|queue| queue.waiters.remove_matching(|waiter| waiter.call_id == call_id).is_some())
    }

    /// Grants the available units to the waiting calls, or notifies them that the quota is exhausted.
    /// Called after an answer of the lease holder, after a refund, and periodically for rates.
    pub fn serve_quota_queue(&self, tenant: &str, now: Micros) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        let mut queues = self.quota_queues.lock_shard(tenant);
        let Some(queue) = queues.get_mut(tenant) else { return wakeups };
        // An answer without units, such as a slice that arrived too late, counts as no answer.
        let unanswered_since = queue.unanswered_since.take();
        while !queue.waiters.is_empty() {
            match self.grant_next(queue, tenant, now) {
                NextGrant::Granted(wakeup) => wakeups.push(wakeup),
                NextGrant::QueueEmpty => break,
                NextGrant::Rejected(AcquireOutcome::WindowSpent { remaining }) => {
                    wakeups.extend(queue.drop_all(tenant, Event::WindowSpent(remaining)));
                }
                NextGrant::Rejected(AcquireOutcome::RateExhausted { wait, interval, may_receive_units }) => {
                    wakeups.extend(queue.drop_past_deadline(
                        tenant,
                        RateRefill { wait, interval, may_receive_units },
                        now,
                    ));
                    break;
                }
                NextGrant::Rejected(AcquireOutcome::Empty | AcquireOutcome::Acquired { .. }) => {
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
        let mut first_rejection = None;
        let next = queue.waiters.pop(|waiter| match self.slices.acquire_for_waiter(tenant, waiter.units, now) {
            AcquireOutcome::Acquired { window, expires_at, .. } => Some(QuotaUnit { window, expires_at }),
            rejection => {
                first_rejection.get_or_insert(rejection);
                None
            }
        });
        if let Some(next) = next {
            return granted(next);
        }
        let Some(rejection) = first_rejection else { return NextGrant::QueueEmpty };
        if self.slices.rates.is_rate(tenant) {
            if let Some(smaller) = self.grant_smaller(queue, tenant, now) {
                return granted(smaller);
            }
            let smallest = queue.waiters.iter().map(|waiter| waiter.units).min().unwrap_or(1);
            self.slices.rates.set_smallest_waiting_call(tenant, smallest);
        }
        NextGrant::Rejected(rejection)
    }

    /// Grants units of a rate to any waiting call that needs no more than are available: it may be
    /// queued behind a call that needs too many.
    fn grant_smaller(&self, queue: &mut TenantQueue, tenant: &str, now: Micros) -> Option<(UnitWaiter, QuotaUnit)> {
        queue.waiters.pop_any(|waiter| match self.slices.rates.acquire_for_waiter(tenant, waiter.units, now)? {
            AcquireOutcome::Acquired { window, expires_at, .. } => Some(QuotaUnit { window, expires_at }),
            _ => None,
        })
    }

    /// Refunds an unused unit to its window and grants it to a waiting call.
    pub(super) fn refund_unit(&self, tenant: &str, unit: QuotaUnit, now: Micros) -> Vec<Wakeup> {
        self.slices.refund(tenant, unit.window);
        let has_waiters =
            self.quota_queues.lock_shard(tenant).get(tenant).is_some_and(|queue| !queue.waiters.is_empty());
        if has_waiters { self.serve_quota_queue(tenant, now) } else { Vec::new() }
    }
}

impl TenantQueue {
    /// Queues the call while the lease holder can still answer. The wait is not estimated: the time that other
    /// calls have waited doesn't predict when the lease holder or its successor answers.
    fn wait_for_holder(&mut self, call: &QueuedCall, now: Micros, effects: &mut Effects) -> UnitOutcome {
        self.last_request_at = now;
        let unanswered_since = *self.unanswered_since.get_or_insert(now);
        if now > unanswered_since + MAX_UNANSWERED_WAIT {
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

    /// Queues the call if the rate provides its units before its deadline, or if the lease holder may
    /// grant a larger share.
    fn wait_for_rate(
        &mut self,
        call: &QueuedCall,
        refill: RateRefill,
        now: Micros,
        effects: &mut Effects,
    ) -> UnitOutcome {
        let queued_wait = refill.interval.saturating_mul(self.waiters.len() as u64);
        let available_at = queued_wait.saturating_add(refill.wait).saturating_add(now);
        if !refill.may_receive_units && available_at > call.rate_deadline {
            return UnitOutcome::Exhausted { retry_after: RateRefill::retry_after(available_at - now) };
        }
        self.unanswered_since = None;
        let flow = (call.tenant.to_owned(), call.kind);
        match self.waiters.push(flow, call.weight, call.into(), NO_DEADLINE, now) {
            Ok(None) => UnitOutcome::Queued,
            Ok(Some(displaced)) => {
                let event = Event::WindowSpent(RateRefill::retry_after(refill.wait));
                effects.push(Effect::WakeCall(wakeup(call.tenant, displaced.call_id, event)));
                UnitOutcome::Queued
            }
            Err((_, rejection)) => {
                UnitOutcome::Exhausted { retry_after: RateRefill::retry_after(rejection.retry_after) }
            }
        }
    }

    /// Drops all waiting calls and sends each of them `event`.
    fn drop_all(&mut self, tenant: &str, event: Event) -> impl Iterator<Item = Wakeup> {
        let waiters = self.waiters.drain_where(|_, _| true).into_iter();
        waiters.map(move |waiter| wakeup(tenant, waiter.call_id, event.clone()))
    }

    /// Drops the calls for which the rate provides no units before their deadlines.
    fn drop_past_deadline(&mut self, tenant: &str, refill: RateRefill, now: Micros) -> impl Iterator<Item = Wakeup> {
        let mut available_at = now.saturating_add(refill.wait);
        let dropped = self.waiters.drain_where(|waiter, _| {
            let is_past_deadline = if refill.may_receive_units {
                now >= waiter.rate_deadline
            } else {
                available_at > waiter.rate_deadline
            };
            if !is_past_deadline {
                available_at = available_at.saturating_add(refill.interval);
            }
            is_past_deadline
        });
        let event = Event::WindowSpent(RateRefill::retry_after(refill.wait));
        dropped.into_iter().map(move |waiter| wakeup(tenant, waiter.call_id, event.clone()))
    }

    /// Drops all calls if the lease holder has not answered for [`MAX_UNANSWERED_WAIT`].
    pub(super) fn drop_unanswered(&mut self, tenant: &str, now: Micros) -> Vec<Wakeup> {
        if self.unanswered_since.is_some_and(|since| now > since + MAX_UNANSWERED_WAIT) {
            return self.drop_all(tenant, Event::DroppedFromQueue(UNREACHABLE_RETRY_AFTER)).collect();
        }
        Vec::new()
    }

    /// Returns the number of units that the waiting calls need.
    pub(super) fn waiting_units(&self) -> u64 {
        self.waiters.iter().map(|waiter| u64::from(waiter.units)).sum()
    }
}

fn wakeup(tenant: &str, call_id: u64, event: Event) -> Wakeup {
    Wakeup { call_id, queue: tenant.to_owned(), event }
}
