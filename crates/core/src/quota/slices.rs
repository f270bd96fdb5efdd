//! A node's slices of counting windows, by tenant.
//!
//! Calls take units from the node's own slice without a message to another node. A slice is granted by the lease
//! holder and is valid until its window ends, when its units expire. When the slice is empty, the node requests
//! more units. A report that the window is spent is valid for at most [`SPENT_REPORT_VALIDITY`], because other
//! nodes may return units in the meantime.

use super::RateShares;
use crate::base::{MS, Micros, ShardedMap};

/// The time whose demand a slice is sized for, in microseconds.
const SLICE_DURATION: Micros = 500 * MS;
/// The shortest time between a request and another one that a low slice causes, in microseconds.
const LOW_SLICE_REQUEST_INTERVAL: Micros = 50 * MS;
/// The longest validity of a report that the window is spent, in microseconds.
const SPENT_REPORT_VALIDITY: Micros = 200 * MS;

/// A node's slice of one tenant's window.
///
/// Invariant: `free + parked + returned` never exceeds `granted_total`; the rest was used by calls.
#[derive(Clone, Debug, Default)]
struct Slice {
    window: u64,
    /// The total number of units granted to this node in the window.
    granted_total: u64,
    /// The total number of these units that this node returned.
    returned: u64,
    /// The number of units that calls may take now.
    free: u64,
    /// The number of units of calls that wait for a slot, reserved for these calls until the lease holder recalls
    /// idle units.
    parked: u64,
    /// When the units expire.
    valid_until: Micros,
    /// The end of the time in which the window counts as spent, by the lease holder's report.
    spent_until: Micros,
    /// When the window ends at the latest, by that report; used only to tell callers how long to wait.
    reported_window_end: Micros,
    /// The number of calls that requested a unit since `demand_since`, which determines the size of the next slice.
    demanded_calls: u64,
    demand_since: Micros,
    /// The number of units requested in one [`SLICE_DURATION`], by the last measurement.
    demand: u64,
    requested_at: Micros,
}

impl Slice {
    /// Starts a later window; keeps only the measured demand and the time of the last request.
    fn start_window(&mut self, window: u64) {
        if window > self.window {
            let Slice { demanded_calls, demand_since, demand, requested_at, .. } = *self;
            *self = Slice { window, demanded_calls, demand_since, demand, requested_at, ..Slice::default() };
        }
    }

    /// Returns whether a call holds a unit of this slice, which may then be refunded or parked.
    fn has_units_in_use(&self) -> bool {
        self.free + self.parked + self.returned < self.granted_total
    }

    /// Takes one unit for a call that arrives now.
    fn acquire_one(&mut self, now: Micros) -> AcquireOutcome {
        self.demanded_calls += 1;
        self.acquire_for_waiter(now)
    }

    /// Takes one valid unit, if there is one, for a waiting call, whose demand was counted when it arrived.
    fn acquire_for_waiter(&mut self, now: Micros) -> AcquireOutcome {
        if now < self.valid_until && self.free > 0 {
            self.free -= 1;
            let is_low =
                self.free <= self.demand / 2 && now.saturating_sub(self.requested_at) > LOW_SLICE_REQUEST_INTERVAL;
            return AcquireOutcome::Acquired { window: self.window, expires_at: self.valid_until, is_low };
        }
        if now < self.spent_until {
            let ends_at = self.reported_window_end.max(self.valid_until).max(self.spent_until);
            return AcquireOutcome::WindowSpent { remaining: ends_at - now };
        }
        AcquireOutcome::Empty
    }

    /// Starts a new measurement of the demand every [`SLICE_DURATION`]; within a measurement the demand only grows.
    fn measure_demand(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.demand_since);
        if elapsed >= SLICE_DURATION {
            self.demand = self.demanded_calls.saturating_mul(SLICE_DURATION) / elapsed;
            self.demanded_calls = 0;
            self.demand_since = now;
        } else {
            self.demand = self.demand.max(self.demanded_calls);
        }
    }
}

/// The outcome of an attempt to take units for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The units were taken.
    Acquired {
        /// The number by which the units can be refunded: the window or, for a rate, the number of the acquisition.
        window: u64,
        /// The time by which the call must have started, in microseconds of this node's clock.
        expires_at: Micros,
        /// Whether few units are left, so that more should be requested soon.
        is_low: bool,
    },
    /// This node has no units and no valid response: request units from the lease holder and wait.
    Empty,
    /// The lease holder reported that the window is spent.
    WindowSpent {
        /// The longest time until the window ends, in microseconds.
        remaining: Micros,
    },
    /// This node's share of a rate is used up.
    RateExhausted {
        /// The time until the units have been refilled, in microseconds.
        wait: Micros,
        /// The time to refill the units of each further call of this size, in microseconds.
        interval: Micros,
        /// Whether the lease holder or its standby may have units for this call.
        may_receive_units: bool,
    },
}

/// All tenants' quotas on this node: slices of windows, and shares of rates.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    slices: ShardedMap<Slice>,
    /// The tenants that have a rate, or no limit.
    pub rates: RateShares,
}

impl TenantQuotas {
    /// Takes one unit for a call that arrives now.
    pub fn acquire_unit(&self, tenant: &str, now: Micros) -> AcquireOutcome {
        self.acquire_units(tenant, 1, now)
    }

    /// Takes the units of a call that arrives now; from a window, each call takes one unit.
    pub fn acquire_units(&self, tenant: &str, units: u32, now: Micros) -> AcquireOutcome {
        if let Some(outcome) = self.rates.acquire_units(tenant, units, now) {
            return outcome;
        }
        self.slices.lock_shard(tenant).entry(tenant.to_owned()).or_default().acquire_one(now)
    }

    /// As [`acquire_units`](Self::acquire_units), for a waiting call, whose demand was counted when it arrived.
    pub fn acquire_for_waiter(&self, tenant: &str, units: u32, now: Micros) -> AcquireOutcome {
        if let Some(outcome) = self.rates.acquire_for_waiter(tenant, units, now) {
            return outcome;
        }
        self.slices.lock_shard(tenant).entry(tenant.to_owned()).or_default().acquire_for_waiter(now)
    }

    /// Refunds the unit of a call that was rejected before it ran, if its window is still the current one.
    pub fn refund(&self, tenant: &str, window: u64) {
        if self.rates.refund(tenant, window) {
            return;
        }
        if let Some(slice) = self.slices.lock_shard(tenant).get_mut(tenant)
            && slice.window == window
            && slice.has_units_in_use()
        {
            slice.free += 1;
        }
    }

    /// Parks the unit of a call that starts to wait for a slot: a parked unit is returned if the lease holder
    /// recalls idle units. Returns false if the call keeps its unit: a unit of a rate expires soon and may be
    /// useless to others, and a unit of an ended window is of no use to others.
    pub fn park(&self, tenant: &str, window: u64) -> bool {
        if self.rates.contains(tenant) {
            return false;
        }
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.get_mut(tenant).filter(|slice| slice.window == window && slice.has_units_in_use());
        let Some(slice) = slice else { return false };
        slice.parked += 1;
        true
    }

    /// Takes back the parked unit of a call that has waited for a slot; returns false if the unit was returned to
    /// the lease holder.
    pub fn unpark(&self, tenant: &str, window: u64) -> bool {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.get_mut(tenant).filter(|slice| slice.window == window && slice.parked > 0);
        let Some(slice) = slice else { return false };
        slice.parked -= 1;
        true
    }

    /// Returns what a request that is sent now contains: the units wanted by recent demand and by waiting calls, the
    /// number of the current window, and the total number of units returned in this window.
    pub fn demand(&self, tenant: &str, waiting: u64, now: Micros) -> (u64, u64, u64) {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.entry(tenant.to_owned()).or_default();
        slice.measure_demand(now);
        slice.requested_at = now;
        let wanted = waiting.max(1) + slice.demand.saturating_sub(slice.free.min(slice.demand));
        (wanted, slice.window, slice.returned)
    }

    /// Applies a grant: `granted_total` is the total number of units granted to this node in the window. Idempotent;
    /// grants of older windows are ignored.
    pub fn add_granted(&self, tenant: &str, window: u64, granted_total: u64, until: Micros) {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.entry(tenant.to_owned()).or_default();
        if window < slice.window {
            return;
        }
        slice.start_window(window);
        if granted_total > slice.granted_total {
            slice.free += granted_total - slice.granted_total;
            slice.granted_total = granted_total;
            slice.spent_until = 0;
        }
        slice.valid_until = slice.valid_until.max(until);
    }

    /// Records the total of the first grant in a window that an earlier process of this node may have taken part in.
    /// The total counts that process's units too, which it may have used, so none of them is given to calls; later
    /// grants add to this total. Returns whether this was the first grant.
    pub fn skip_earlier_units(&self, tenant: &str, window: u64, granted_total: u64) -> bool {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.entry(tenant.to_owned()).or_default();
        slice.start_window(window);
        let is_first = slice.window == window && slice.granted_total == 0;
        if is_first {
            slice.granted_total = granted_total;
        }
        is_first
    }

    /// Records the lease holder's report that a window is spent. The window ends at `ends_at` or slightly earlier.
    pub fn record_window_spent(&self, tenant: &str, window: u64, ends_at: Micros, now: Micros) {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.entry(tenant.to_owned()).or_default();
        if window >= slice.window {
            slice.start_window(window);
            slice.spent_until = ends_at.min(now + SPENT_REPORT_VALIDITY);
            slice.reported_window_end = ends_at;
        }
    }

    /// Gives up all idle units, including those of calls that wait for a slot. Returns the total number of units
    /// returned in the window, or `None` if the window is not the current one or has ended.
    pub fn return_idle_units(&self, tenant: &str, window: u64, now: Micros) -> Option<u64> {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.get_mut(tenant)?;
        if slice.window != window || now >= slice.valid_until {
            return None;
        }
        slice.returned += slice.free + slice.parked;
        slice.free = 0;
        slice.parked = 0;
        Some(slice.returned)
    }

    /// Returns, for comparison and metrics, each tenant's window with its granted, returned and free units, sorted.
    pub fn list(&self) -> Vec<(String, u64, u64, u64, u64)> {
        let mut rows = Vec::new();
        for slices in self.slices.lock_each() {
            rows.extend(slices.iter().map(|(tenant, slice)| {
                (tenant.clone(), slice.window, slice.granted_total, slice.returned, slice.free)
            }));
        }
        rows.sort();
        rows
    }
}
