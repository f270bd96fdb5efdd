//! One node's share of one tenant's rate, as a token bucket.
//!
//! Calls take units from the bucket without a message to another node. The node's share is a lease of
//! [`SHARE_LEASE`] from the lease holder; the bucket is refilled by that share of the rate, and its capacity is
//! that share of the rate's burst. An empty bucket requests more units: at once, then every [`LOAN_INTERVAL`]
//! while the lease holder lends units, every [`REQUEST_BACKOFF`] while the lease holder has none, and after
//! time-outs with a backoff that doubles from [`RESPONSE_TIMEOUT`].

use super::AcquireOutcome;
use crate::base::{MS, Micros, SEC};
use crate::config::Rate;
use crate::protocol::{LoanRequest, ShareGrant, ShareRequest};
use std::collections::VecDeque;

/// The value of `smallest_call_units` that marks a request for a reserve; a real call takes at least one unit.
pub const RESERVE_REQUEST_MARKER: u32 = 0;
/// A tenant's whole rate, in millionths, the unit of shares.
pub const FULL_SHARE: u32 = 1_000_000;
/// The validity of a share, from the sending of its request, in microseconds.
pub const SHARE_LEASE: Micros = 4 * SEC;
/// One unit in a bucket's scale: thousandths of units, times millionths of a share, times microseconds.
pub(super) const UNIT: u128 = 1_000 * MILLI;
/// A thousandth of a unit in a bucket's scale.
pub(super) const MILLI: u128 = 1_000_000 * 1_000_000;
/// The validity of lent units, from the sending of their request, in microseconds.
pub const LOAN_DURATION: Micros = 200 * MS;
/// The time after which a request times out and is sent to another voter, in microseconds.
pub const RESPONSE_TIMEOUT: Micros = 250 * MS;

/// The time after which a request without a grant is hedged by a loan request to the standby, in microseconds. Lease
/// holders usually respond within a few milliseconds.
pub const HEDGE_DELAY: Micros = 20 * MS;
/// The time after which a loan request to the standby times out, in microseconds.
const LOAN_TIMEOUT: Micros = 100 * MS;
/// The backoff after a loan request that brought no units or timed out, in microseconds.
const LOAN_BACKOFF: Micros = 200 * MS;
/// The validity of a report that calls wait, in microseconds: the queues repeat their reports more often than this.
const WAITING_VALIDITY: Micros = 50 * MS;

/// The validity of units that a call has taken, in microseconds; a call that starts later needs new units.
const UNIT_VALIDITY: Micros = 500 * MS;
/// The longest time after which units can be refunded, in microseconds.
const REFUND_WINDOW: Micros = 2 * SEC;
/// The divisor of a reserve's refill: only this fraction of its share of the rate is lost if a standby is lost.
const RESERVE_REFILL_DIVISOR: u32 = 8;
/// The shortest interval of a demand measurement, and between requests that are not urgent, in microseconds.
const DEMAND_INTERVAL: Micros = 500 * MS;
/// The shortest interval between requests while no call lacks units that the lease holder may have, in
/// microseconds.
const REQUEST_BACKOFF: Micros = 100 * MS;
/// The shortest interval between requests while calls lack units that the lease holder may have, in microseconds.
const LOAN_INTERVAL: Micros = 4 * MS;
/// The most units that one request is for, in usual calls.
const MAX_REQUESTED_CALLS: u32 = 64;
/// The number of calls over which the units of the usual call are averaged.
const MEAN_CALL_WEIGHT: u64 = 8;
/// The remaining validity below which an idle share is renewed, in microseconds.
const RENEW_BEFORE: Micros = 2_500 * MS;
/// The time after a node's first response in which the lease holder's pool may still be filling up from empty, as
/// after a power loss of all nodes, in microseconds: calls that find no units there wait and are not rejected.
const POOL_WARM_UP: Micros = SEC;
/// The demand below which a tenant counts as idle, in thousandths of units per second.
const NEGLIGIBLE_DEMAND_MILLI: u64 = 50;
/// The weight of the previous demand relative to a new measurement, each [`DEMAND_INTERVAL`].
const DEMAND_WEIGHT: u64 = 3;
/// The wait that is reported for units that are never refilled, in microseconds.
const MAX_REPORTED_WAIT: Micros = Micros::MAX / 4;

/// Returns the demand after a measurement; `is_complete` says that the measurement covers a full
/// [`DEMAND_INTERVAL`]. A demand that more than doubles counts at once, any other change is smoothed.
fn smoothed_demand(previous: u64, measured: u64, is_complete: bool) -> u64 {
    match measured > 2 * previous {
        true => measured,
        false if is_complete => (previous * DEMAND_WEIGHT + measured) / (DEMAND_WEIGHT + 1),
        false => previous,
    }
}

/// Returns the capacity of the bucket of a share, in the scale of [`UNIT`].
pub(super) fn share_capacity(rate: Rate, share: u32) -> u128 {
    u128::from(rate.burst_milli) * u128::from(share) * 1_000_000
}

/// Returns the refill of a share in `elapsed` microseconds, in the scale of [`UNIT`].
pub(super) fn share_refill(rate: Rate, share: u32, elapsed: Micros) -> u128 {
    u128::from(rate.milli_per_second) * u128::from(share) * u128::from(elapsed)
}

/// Returns the part of a reserve's share by which the reserve is refilled, in millionths.
pub(super) fn reserve_refill(share: u32) -> u32 {
    share.div_ceil(RESERVE_REFILL_DIVISOR)
}

/// Units that a call took and that can still be refunded.
#[derive(Clone, Copy, Debug)]
struct Refundable {
    /// When the units were taken, or slightly later: unique in a bucket, as it identifies the units.
    taken_at: Micros,
    /// The units that a refund returns to the bucket, in the scale of [`UNIT`].
    units: u128,
}

/// Units lent by the lease holder or its standby for calls that wait.
#[derive(Clone, Copy, Debug, Default)]
struct Loan {
    units: u32,
    expires_at: Micros,
}

impl Loan {
    fn valid_units(&self, now: Micros) -> u32 {
        if now < self.expires_at { self.units } else { 0 }
    }

    /// Takes up to `units` valid units; returns the number of units that are still missing.
    fn take(&mut self, units: u32, now: Micros) -> u32 {
        let taken = units.min(self.valid_units(now));
        self.units -= taken;
        units - taken
    }
}

/// The state of a node's loan requests to the standby of the tenant's role, for calls that the lease holder does not
/// serve.
#[derive(Clone, Copy, Debug, Default)]
struct StandbyLoans {
    /// Whether another node is the standby.
    is_available: bool,
    /// The number of units that calls waited for at `waited_at`.
    waiting_units: u32,
    waited_at: Micros,
    requested_at: Micros,
    is_awaiting_response: bool,
    /// The earliest time of the next request.
    backoff_until: Micros,
}

impl StandbyLoans {
    /// Returns whether a pending request, or one that is sent now, may bring units.
    fn may_bring_units(&self, now: Micros) -> bool {
        self.is_available && (self.is_pending(now) || now >= self.next_request_at())
    }

    /// Returns the earliest time of the next request: a time-out causes the same backoff as a response without units.
    fn next_request_at(&self) -> Micros {
        let timed_out_at = self.requested_at + LOAN_TIMEOUT;
        let backoff = if self.is_awaiting_response { timed_out_at + LOAN_BACKOFF } else { 0 };
        self.backoff_until.max(backoff)
    }

    fn is_pending(&self, now: Micros) -> bool {
        self.is_awaiting_response && now < self.requested_at + LOAN_TIMEOUT
    }

    /// Returns whether calls wait and a request may be sent.
    fn is_due(&self, now: Micros) -> bool {
        let is_waiting = self.waiting_units > 0 && now < self.waited_at + WAITING_VALIDITY;
        self.is_available && is_waiting && !self.is_pending(now) && now >= self.next_request_at()
    }
}

/// One node's share of one tenant's rate, from which calls take units without a message to another node.
///
/// Invariants: at any time, the sum of the shares that nodes hold is at most one; no bucket holds more than its
/// share of the burst; and units move between nodes only as part of a share. All buckets together therefore hold
/// at most the burst at any moment, and are refilled by at most the rate afterwards: the units used in any interval
/// never exceed the burst plus the rate over that interval.
#[derive(Clone, Debug, Default)]
pub struct ShareBucket {
    rate: Option<Rate>,
    /// In millionths of the rate; valid until `share_expires_at`.
    share: u32,
    share_expires_at: Micros,
    /// Whether the share is a standby's reserve: most of its refill goes to the lease holder's pool.
    is_reserve: bool,
    /// Whether the newest request was for a reserve.
    is_reserve_requested: bool,
    /// The units that calls may take, in the scale of [`UNIT`], refilled up to `refilled_at`.
    free: u128,
    refilled_at: Micros,
    /// Units taken recently, oldest first. Invariant: these units and `free` together never exceed the capacity of
    /// the share, so that a refund yields no more than an untouched bucket would hold.
    refundable: VecDeque<Refundable>,
    /// The sum over `refundable`.
    refundable_total: u128,
    /// Units beyond the capacity of a smaller share, to be returned to the lease holder, in the scale of [`UNIT`].
    returned: u128,
    /// The units requested by calls, and the number of these calls, since `demand_since`.
    demanded_units: u64,
    demanded_calls: u64,
    demand_since: Micros,
    /// The measured demand, in thousandths of units and of calls per second.
    demand_milli: u64,
    call_rate_milli: u64,
    /// The units of a usual call; zero before the first call.
    mean_call_units: u32,
    /// The units that calls lacked since the last request for units, and the smallest of these calls.
    missing_units: u32,
    smallest_missing_call: u32,
    /// The newest request; responses to other requests are ignored.
    request_id: u64,
    requested_at: Micros,
    is_awaiting_response: bool,
    /// The number of units that the newest request was for, and the smallest call that needs some of them.
    requested_units: u32,
    requested_smallest_call: u32,
    /// When the first request after the last grant was sent.
    ungranted_since: Option<Micros>,
    /// The number of consecutive requests without a response.
    unanswered_requests: u32,
    /// The sending time of the newest request that was answered.
    last_answered_request_at: Option<Micros>,
    /// Whether a request should be sent as soon as the backoff allows.
    is_urgent: bool,
    loan: Loan,
    standby_loan: Loan,
    /// The size in units from which the last response had too few units for a call; zero if it had enough.
    exhausted_for_call: u32,
    /// The time until which a response without units does not mean that the rate is exhausted.
    pool_warm_up_until: Micros,
    standby_loans: StandbyLoans,
    /// The start of the time in which this incarnation of the node was granted no units of the tenant and held the
    /// same share.
    idle_since: Micros,
}

impl ShareBucket {
    /// Creates a bucket without a share.
    pub fn new(rate: Rate, now: Micros) -> Self {
        // Calls may still use units of an earlier bucket of the tenant.
        let idle_since = now + UNIT_VALIDITY;
        ShareBucket { rate: Some(rate), refilled_at: now, demand_since: now, idle_since, ..ShareBucket::default() }
    }

    /// Creates the first bucket of this incarnation of the node for the tenant: the incarnation was granted no units
    /// since `idle_since`.
    pub fn first_of_incarnation(rate: Rate, idle_since: Micros, now: Micros) -> Self {
        ShareBucket { idle_since, ..ShareBucket::new(rate, now) }
    }

    /// Returns how long this incarnation was granted neither units nor a loan and held the same share, in
    /// microseconds.
    pub fn idle_for(&mut self, now: Micros) -> Micros {
        self.refill(now);
        now.saturating_sub(self.idle_since)
    }

    /// Returns the current rate.
    fn rate(&self) -> Rate {
        self.rate.unwrap_or(Rate { milli_per_second: 0, burst_milli: 0 })
    }

    /// Sets the rate; units beyond the new capacity are lost.
    pub fn set_rate(&mut self, rate: Rate, now: Micros) {
        if self.rate != Some(rate) {
            self.refill(now);
            self.rate = Some(rate);
            self.free = self.free.min(share_capacity(rate, self.share));
            self.forget_refundable();
        }
    }

    fn forget_refundable(&mut self) {
        self.refundable.clear();
        self.refundable_total = 0;
    }

    /// Reduces refundable units, oldest first, until they fit into the capacity; drops those past the refund window.
    fn cap_refundable(&mut self, capacity: u128, now: Micros) {
        let mut excess = (self.free + self.refundable_total).saturating_sub(capacity);
        while let Some(oldest) = self.refundable.front_mut() {
            let is_expired = oldest.taken_at + REFUND_WINDOW < now || oldest.units == 0;
            let reduction = if is_expired { oldest.units } else { excess.min(oldest.units) };
            oldest.units -= reduction;
            self.refundable_total -= reduction;
            excess -= excess.min(reduction);
            if oldest.units > 0 {
                break;
            }
            self.refundable.pop_front();
        }
    }

    /// Refills the bucket up to now, and drops an expired share.
    fn refill(&mut self, now: Micros) {
        let rate = self.rate();
        let refill_until = now.min(self.share_expires_at);
        if refill_until > self.refilled_at {
            let capacity = share_capacity(rate, self.share);
            let refilled_share = if self.is_reserve { reserve_refill(self.share) } else { self.share };
            let refill = share_refill(rate, refilled_share, refill_until - self.refilled_at);
            self.free = (self.free + refill).min(capacity);
            self.cap_refundable(capacity, now);
        }
        self.refilled_at = self.refilled_at.max(now);
        if now >= self.share_expires_at && self.share > 0 {
            self.idle_since = self.idle_since.max(self.share_expires_at);
            (self.share, self.free) = (0, 0);
            self.forget_refundable();
        }
    }

    /// Takes one unit for a call that arrives now.
    pub fn acquire_unit(&mut self, now: Micros) -> AcquireOutcome {
        self.acquire_units(1, now)
    }

    /// Takes all units of a call that arrives now, or none.
    pub fn acquire_units(&mut self, units: u32, now: Micros) -> AcquireOutcome {
        self.count_demand(units);
        let outcome = self.acquire_for_waiter(units, now);
        if !matches!(outcome, AcquireOutcome::RateExhausted { .. } | AcquireOutcome::Empty) {
            return outcome;
        }
        self.count_missing(units);
        self.exhausted(units, now)
    }

    fn count_demand(&mut self, units: u32) {
        self.demanded_units += u64::from(units);
        self.demanded_calls += 1;
        let weighted = u64::from(self.mean_call_units.max(1)) * (MEAN_CALL_WEIGHT - 1) + u64::from(units);
        let mean_call_units = (weighted + MEAN_CALL_WEIGHT / 2) / MEAN_CALL_WEIGHT;
        self.mean_call_units =
            if self.mean_call_units == 0 { units } else { u32::try_from(mean_call_units).unwrap_or(u32::MAX) };
    }

    fn count_missing(&mut self, units: u32) {
        let is_first = self.missing_units == 0;
        self.smallest_missing_call = if is_first { units } else { self.smallest_missing_call.min(units) };
        self.missing_units = self.missing_units.saturating_add(units);
    }

    /// Sets the fewest units that are useful to a waiting call.
    pub fn set_smallest_waiting_call(&mut self, units: u32) {
        self.smallest_missing_call = units;
    }

    /// As [`acquire_units`](Self::acquire_units), for a waiting call, whose demand was counted when it arrived.
    pub fn acquire_for_waiter(&mut self, units: u32, now: Micros) -> AcquireOutcome {
        self.refill(now);
        let price = u128::from(units) * UNIT;
        if self.free >= price {
            let window = self.spend(price, now);
            let is_low = self.free < share_capacity(self.rate(), self.share) / 4 && self.may_request(now);
            return AcquireOutcome::Acquired { window, expires_at: now + UNIT_VALIDITY, is_low };
        }
        let lent = self.loan.valid_units(now).saturating_add(self.standby_loan.valid_units(now));
        if lent >= units {
            // Lent units can't be refunded: they count as spent at the node that lent them.
            return AcquireOutcome::Acquired { window: 0, expires_at: self.take_loans(units, now), is_low: false };
        }
        let rest = price - u128::from(lent) * UNIT;
        if lent > 0 && self.free >= rest {
            let expires_at = self.take_loans(lent, now);
            return AcquireOutcome::Acquired { window: self.spend(rest, now), expires_at, is_low: false };
        }
        self.exhausted(units, now)
    }

    /// Takes lent units; returns when they expire.
    fn take_loans(&mut self, units: u32, now: Micros) -> Micros {
        let from_holder = units.min(self.loan.valid_units(now));
        let from_standby = self.loan.take(units, now);
        self.standby_loan.take(from_standby, now);
        match (from_holder, from_standby) {
            (_, 0) => self.loan.expires_at,
            (0, _) => self.standby_loan.expires_at,
            _ => self.loan.expires_at.min(self.standby_loan.expires_at),
        }
    }

    /// Spends free units; returns the number by which they can be refunded.
    fn spend(&mut self, price: u128, now: Micros) -> Micros {
        let taken_at = self.refundable.back().map_or(now, |last| now.max(last.taken_at + 1));
        self.free -= price;
        self.refundable_total += price;
        self.refundable.push_back(Refundable { taken_at, units: price });
        taken_at
    }

    /// Returns the outcome for a call that arrives while others wait: the call takes no units, and its demand is
    /// counted.
    pub fn outcome_behind_waiters(&mut self, units: u32, now: Micros) -> AcquireOutcome {
        self.count_demand(units);
        self.count_missing(units);
        self.refill(now);
        self.exhausted(units, now)
    }

    /// Returns the outcome for a call that found too few units.
    fn exhausted(&self, units: u32, now: Micros) -> AcquireOutcome {
        if self.has_no_recent_response(now) {
            return AcquireOutcome::Empty;
        }
        let may_receive_units = self.may_receive_units(units, now);
        let (rate, share) = (self.rate(), self.share);
        let refill = share_refill(rate, share, 1);
        let price = u128::from(units) * UNIT;
        if refill == 0 || share_capacity(rate, share) < price {
            return AcquireOutcome::RateExhausted {
                wait: MAX_REPORTED_WAIT,
                interval: MAX_REPORTED_WAIT,
                may_receive_units,
            };
        }
        let refill_time = |units: u128| Micros::try_from(units.div_ceil(refill)).unwrap_or(MAX_REPORTED_WAIT);
        let wait = refill_time(price.saturating_sub(self.free));
        AcquireOutcome::RateExhausted { wait, interval: refill_time(price), may_receive_units }
    }

    /// Returns whether the newest response is older than a share's lease, or there is none.
    fn has_no_recent_response(&self, now: Micros) -> bool {
        self.last_answered_request_at.is_none_or(|sent_at| now >= sent_at + SHARE_LEASE)
    }

    /// Returns whether the lease holder or the standby may have units for a call of this size.
    fn may_receive_units(&self, units: u32, now: Micros) -> bool {
        // A response without units applies to calls that are at least as large as the smallest one it was for.
        let is_exhausted = self.exhausted_for_call > 0 && units >= self.exhausted_for_call;
        let is_unrequested = !is_exhausted && self.missing_units > 0;
        let is_warming_up = is_exhausted && now < self.pool_warm_up_until;
        let may_borrow = self.standby_loans.may_bring_units(now);
        self.is_awaiting_response || is_unrequested || is_warming_up || may_borrow || self.may_request(now)
    }

    /// Refunds unused units, which are identified by the time when they were taken.
    pub fn refund(&mut self, taken_at: Micros, now: Micros) {
        self.refill(now);
        let index = self.refundable.partition_point(|entry| entry.taken_at < taken_at);
        if let Some(entry) = self.refundable.get(index).copied()
            && entry.taken_at == taken_at
        {
            self.refundable_total -= entry.units;
            self.free += entry.units;
            self.refundable.remove(index);
        }
    }

    /// Returns whether the backoff allows a request now. The backoff gives the previous request time for its response,
    /// which would be ignored after a new request.
    fn may_request(&self, now: Micros) -> bool {
        let is_exhausted = self.exhausted_for_call > 0 && self.smallest_missing_call >= self.exhausted_for_call;
        let backoff = match self.is_awaiting_response {
            true => RESPONSE_TIMEOUT << self.unanswered_requests.min(2),
            false if self.missing_units == 0 || is_exhausted => REQUEST_BACKOFF,
            false => LOAN_INTERVAL,
        };
        self.requested_at == 0 || now >= self.requested_at + backoff
    }

    /// Requests units for a waiting call as soon as the backoff allows.
    pub fn request_units_soon(&mut self) {
        self.is_urgent = true;
    }

    /// Records that a request timed out.
    pub fn request_timed_out(&mut self, request_id: u64) {
        if self.request_id == request_id && self.is_awaiting_response {
            self.is_urgent = true;
        }
    }

    /// Records that a request was rejected by a node that can't answer it.
    pub fn request_rejected(&mut self, request_id: u64) {
        if self.request_id == request_id && self.is_awaiting_response {
            (self.is_awaiting_response, self.is_urgent) = (false, true);
        }
    }

    /// Returns whether a request is due; a node that `is_eager` requests a share before any call arrives.
    pub fn is_request_due(&mut self, is_eager: bool, now: Micros) -> bool {
        self.refill(now);
        if !self.may_request(now) {
            return false;
        }
        if self.is_urgent {
            return true;
        }
        if self.requested_at > 0 && now < self.requested_at + DEMAND_INTERVAL {
            return false;
        }
        let is_in_use =
            self.demanded_units > 0 || self.demand_milli > 0 || self.returned >= MILLI || self.is_awaiting_response;
        let expires_soon = self.share > 0 && self.share_expires_at < now + RENEW_BEFORE;
        is_in_use || expires_soon || (is_eager && self.is_eager_request_due(now))
    }

    /// Returns whether a node without a share should request one although no call arrived.
    fn is_eager_request_due(&self, now: Micros) -> bool {
        let interval = if self.last_answered_request_at.is_some() { SHARE_LEASE } else { SEC };
        self.requested_at == 0 || (self.share == 0 && now >= self.requested_at + interval)
    }

    /// Makes the request to the lease holder that is sent now, for `waiting_units` units that calls wait for.
    pub fn make_request(&mut self, tenant_key: u64, request_id: u64, waiting_units: u64, now: Micros) -> ShareRequest {
        self.refill(now);
        self.measure_demand(now);
        self.unanswered_requests = if self.is_awaiting_response { self.unanswered_requests + 1 } else { 0 };
        let returned_milli = u64::try_from(self.returned / MILLI).unwrap_or(0);
        // Units that calls lacked are requested again until a response arrives.
        let mean_call_units = self.mean_call_units.max(1);
        let waiting_units = u32::try_from(waiting_units).unwrap_or(u32::MAX);
        let max_units = MAX_REQUESTED_CALLS.saturating_mul(mean_call_units);
        self.requested_units = self.missing_units.max(waiting_units).min(max_units);
        self.requested_smallest_call = self.smallest_missing_call.clamp(1, self.requested_units.max(1));
        self.missing_units = self.missing_units.min(self.requested_units);
        (self.request_id, self.requested_at) = (request_id, now);
        self.ungranted_since.get_or_insert(now);
        (self.is_awaiting_response, self.is_urgent) = (true, false);
        self.is_reserve_requested = false;
        self.returned = 0;
        ShareRequest {
            tenant_key,
            held_share: self.share,
            returned_milli,
            demand_milli: self.demand_milli,
            missing_units: self.requested_units,
            smallest_call_units: self.requested_smallest_call,
            mean_call_units,
            call_rate_milli: self.call_rate_milli,
        }
    }

    /// Turns a request into one for a standby's reserve if no call needs units. The share is refilled as a reserve from
    /// now on, before the lease holder receives the request.
    pub fn to_reserve_request(&mut self, request: ShareRequest) -> ShareRequest {
        if request.demand_milli > 0 || request.missing_units > 0 {
            return request;
        }
        (self.is_reserve, self.is_reserve_requested) = (true, true);
        ShareRequest { smallest_call_units: RESERVE_REQUEST_MARKER, ..request }
    }

    fn measure_demand(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.demand_since);
        let milli_per_second = |count: u64| count.saturating_mul(1_000 * SEC) / elapsed.max(DEMAND_INTERVAL);
        let is_complete = elapsed >= DEMAND_INTERVAL;
        let (units_milli, calls_milli) = (milli_per_second(self.demanded_units), milli_per_second(self.demanded_calls));
        self.demand_milli = smoothed_demand(self.demand_milli, units_milli, is_complete);
        self.call_rate_milli = smoothed_demand(self.call_rate_milli, calls_milli, is_complete);
        if is_complete {
            if self.demand_milli < NEGLIGIBLE_DEMAND_MILLI {
                self.demand_milli = 0;
            }
            (self.demanded_units, self.demanded_calls, self.demand_since) = (0, 0, now);
        }
    }

    /// Applies the response to the request that was sent at `sent_at`. Returns false if the response is ignored: it
    /// does not answer the newest request, or its share has expired.
    pub fn apply_grant(&mut self, request_id: u64, grant: ShareGrant, sent_at: Micros, now: Micros) -> bool {
        if request_id != self.request_id || !self.is_awaiting_response || sent_at + SHARE_LEASE <= now {
            return false;
        }
        self.refill(now);
        if (grant.share, grant.burst_milli, grant.loaned_units) != (self.share, 0, 0) {
            self.idle_since = self.idle_since.max(now);
        }
        self.record_response(sent_at, now);
        self.is_reserve = self.is_reserve_requested;
        self.change_share(grant, sent_at);
        true
    }

    fn record_response(&mut self, sent_at: Micros, now: Micros) {
        (self.is_awaiting_response, self.unanswered_requests, self.ungranted_since) = (false, 0, None);
        if self.has_no_recent_response(now) {
            self.pool_warm_up_until = now + POOL_WARM_UP;
        }
        self.last_answered_request_at = self.last_answered_request_at.max(Some(sent_at));
    }

    fn change_share(&mut self, grant: ShareGrant, sent_at: Micros) {
        let capacity = share_capacity(self.rate(), grant.share);
        if grant.share < self.share {
            self.forget_refundable();
            self.returned += self.free.saturating_sub(capacity);
        } else {
            self.free += u128::from(grant.burst_milli) * MILLI;
        }
        self.missing_units -= self.missing_units.min(self.requested_units);
        self.loan = Loan { units: grant.loaned_units, expires_at: sent_at + LOAN_DURATION };
        let is_exhausted = self.requested_units > 0
            && grant.loaned_units == 0
            && self.free < u128::from(self.requested_smallest_call) * UNIT;
        self.exhausted_for_call = if is_exhausted { self.requested_smallest_call } else { 0 };
        self.is_urgent |= self.missing_units > 0;
        self.free = self.free.min(capacity);
        self.share = grant.share;
        self.share_expires_at = self.share_expires_at.max(sent_at + SHARE_LEASE);
    }

    /// Records that calls wait for `units` units now.
    pub fn record_waiting(&mut self, units: u64, now: Micros) {
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        let is_outdated = now >= self.standby_loans.waited_at + WAITING_VALIDITY;
        let loans = &mut self.standby_loans;
        loans.waiting_units = if is_outdated { units } else { loans.waiting_units.max(units) };
        loans.waited_at = now;
    }

    /// Sets whether another node is the lease holder's standby.
    pub fn set_standby_available(&mut self, is_available: bool) {
        self.standby_loans.is_available = is_available;
    }

    /// Returns whether a loan request to the standby is due: calls wait, and the lease holder does not respond or has
    /// no units.
    pub fn is_loan_due(&self, now: Micros) -> bool {
        let is_ungranted = self.ungranted_since.is_some_and(|since| now >= since + HEDGE_DELAY);
        self.standby_loans.is_due(now) && (is_ungranted || self.exhausted_for_call > 0)
    }

    /// Makes the loan request to the standby that is sent now.
    pub fn make_loan_request(&mut self, tenant_key: u64, now: Micros) -> LoanRequest {
        let max_units = MAX_REQUESTED_CALLS.saturating_mul(self.mean_call_units.max(1));
        let missing_units = std::mem::take(&mut self.standby_loans.waiting_units).min(max_units);
        let smallest_call_units = self.smallest_missing_call.clamp(1, missing_units.max(1));
        (self.standby_loans.requested_at, self.standby_loans.is_awaiting_response) = (now, true);
        LoanRequest { tenant_key, missing_units, smallest_call_units }
    }

    /// Applies the standby's response to the request that was sent at `sent_at`.
    pub fn apply_loan(&mut self, units: u32, sent_at: Micros, now: Micros) {
        if sent_at == self.standby_loans.requested_at {
            self.standby_loans.is_awaiting_response = false;
            if units == 0 {
                self.standby_loans.backoff_until = now + LOAN_BACKOFF;
            }
        }
        self.standby_loan = Loan { units, expires_at: sent_at + LOAN_DURATION };
    }

    /// Lends units to another node's calls; they count as spent here. Lends only multiples of the smallest call, and
    /// returns the number of units.
    pub fn lend(&mut self, request: &LoanRequest, now: Micros) -> u32 {
        self.refill(now);
        let smallest_call_units = u64::from(request.smallest_call_units.max(1));
        let whole_calls =
            u64::try_from(self.free / UNIT).unwrap_or(u64::MAX) / smallest_call_units * smallest_call_units;
        let lent = u32::try_from(u64::from(request.missing_units).min(whole_calls)).unwrap_or(0);
        self.free -= u128::from(lent) * UNIT;
        lent
    }

    /// Returns, for metrics, the share in millionths and the number of whole free units.
    pub fn list(&self) -> (u32, u64) {
        (self.share, u64::try_from(self.free / UNIT).unwrap_or(u64::MAX))
    }
}
