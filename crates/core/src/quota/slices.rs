//! A node's slices of counting windows by tenant.
//!
//! Calls take units from the node's own slice without a message to anyone. A slice is granted by the lease
//! holder and is valid until its window ends; afterwards its units are worth nothing. Where the slice is empty
//! the node requests more; it believes a report that the window is spent for at most [`SPENT_BELIEVED`], as
//! units may be returned meanwhile.

use super::RateShares;
use crate::base::{MS, Micros, Shards};

/// A slice is sized for the demand of this long, in microseconds.
const SLICE_DURATION: Micros = 500 * MS;
/// A request that is younger than this, in microseconds, is given time before a low slice asks for more.
const LOW_REQUEST_BACKOFF: Micros = 50 * MS;
/// How long a report that the window is spent is believed at most, in microseconds.
const SPENT_BELIEVED: Micros = 200 * MS;

/// A node's part of one tenant's window.
///
/// Invariant: `free + parked + returned` never exceeds `granted_total`; the rest was used by calls.
#[derive(Clone, Debug, Default)]
struct Slice {
    window: u64,
    /// All units that this node was ever granted in the window.
    granted_total: u64,
    /// All units of these that it returned.
    returned: u64,
    /// Units that a call may take now.
    free: u64,
    /// Units of calls that wait for a slot: reserved for them until the lease holder recalls idle units.
    parked: u64,
    /// The units may be used until then.
    valid_until: Micros,
    /// Until then the window counts as spent, by the lease holder's report.
    spent_until: Micros,
    /// When the window ends by that report, late rather than early; used only to tell callers how long to wait.
    window_ends_at: Micros,
    /// Calls that requested a unit since `demand_since`, for the size of the next slice.
    demanded: u64,
    demand_since: Micros,
    /// Units used up in [`SLICE_DURATION`], by the last measurement.
    demand: u64,
    requested_at: Micros,
}

impl Slice {
    /// Starts a later window: only the measured demand is kept.
    fn start_window(&mut self, window: u64) {
        if window > self.window {
            let Slice { demanded, demand_since, demand, requested_at, .. } = *self;
            *self = Slice { window, demanded, demand_since, demand, requested_at, ..Slice::default() };
        }
    }

    /// Whether a unit of this slice is with a call, so that it may be refunded or parked.
    fn has_units_in_use(&self) -> bool {
        self.free + self.parked + self.returned < self.granted_total
    }

    /// Takes one unit for a call that comes now.
    fn acquire_one(&mut self, now: Micros) -> AcquireOutcome {
        self.demanded += 1;
        self.acquire_for_waiter(now)
    }

    /// Takes one unit, where there is one that is still valid, for a call that was counted when it came.
    fn acquire_for_waiter(&mut self, now: Micros) -> AcquireOutcome {
        if now < self.valid_until && self.free > 0 {
            self.free -= 1;
            let low = self.free <= self.demand / 2 && now.saturating_sub(self.requested_at) > LOW_REQUEST_BACKOFF;
            return AcquireOutcome::Acquired { window: self.window, until: self.valid_until, low };
        }
        if now < self.spent_until {
            let ends_at = self.window_ends_at.max(self.valid_until).max(self.spent_until);
            return AcquireOutcome::WindowSpent { remaining: ends_at - now };
        }
        AcquireOutcome::Empty
    }

    /// Measures the demand anew once [`SLICE_DURATION`] has passed; before that it only grows.
    fn measure_demand(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.demand_since);
        if elapsed >= SLICE_DURATION {
            self.demand = self.demanded.saturating_mul(SLICE_DURATION) / elapsed;
            self.demanded = 0;
            self.demand_since = now;
        } else {
            self.demand = self.demand.max(self.demanded);
        }
    }
}

/// The outcome for a call that needs units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The units were taken.
    Acquired {
        /// The window, or of a rate the number, by which the units can be refunded.
        window: u64,
        /// The call must have started by then, in microseconds of this node's clock.
        until: Micros,
        /// Whether more units should be requested soon.
        low: bool,
    },
    /// Nothing is here, and nothing is known: request units from the lease holder and wait.
    Empty,
    /// The lease holder reported that the window is spent.
    WindowSpent {
        /// How long the window lasts at most, in microseconds.
        remaining: Micros,
    },
    /// This node's share of a rate is used up.
    RateExhausted {
        /// How long until the units have been refilled, in microseconds.
        wait: Micros,
        /// How long each further call of this size takes to refill, in microseconds.
        interval: Micros,
        /// Whether the lease holder may have some.
        may_get_more: bool,
    },
}

/// Every tenant's quota on this node: slices of windows, and shares of rates.
#[derive(Clone, Debug, Default)]
pub struct WindowSlices {
    slices: Shards<Slice>,
    /// The tenants that have a rate, or no limit.
    pub rates: RateShares,
}

impl WindowSlices {
    /// Takes one unit for a call that comes now.
    pub fn acquire_unit(&self, tenant: &str, now: Micros) -> AcquireOutcome {
        self.acquire_units(tenant, 1, now)
    }

    /// Takes the units of a call that comes now; of a window each call takes one.
    pub fn acquire_units(&self, tenant: &str, units: u32, now: Micros) -> AcquireOutcome {
        if let Some(outcome) = self.rates.acquire_units(tenant, units, now) {
            return outcome;
        }
        self.slices.lock_shard(tenant).entry(tenant.to_owned()).or_default().acquire_one(now)
    }

    /// As [`acquire_units`](Self::acquire_units), for a call that waited and was counted when it came.
    pub fn acquire_for_waiter(&self, tenant: &str, units: u32, now: Micros) -> AcquireOutcome {
        if let Some(outcome) = self.rates.acquire_for_waiter(tenant, units, now) {
            return outcome;
        }
        self.slices.lock_shard(tenant).entry(tenant.to_owned()).or_default().acquire_for_waiter(now)
    }

    /// Gives back the unit of a call that was rejected unrun, to its own window.
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

    /// A call that has a unit starts to wait for a slot: until it has one, its unit is returned if the lease
    /// holder recalls idle units. False where the unit stays with the call: one of a rate, which expires soon
    /// and may be of no use to others, or one of a window that has ended.
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

    /// A call that waited for a slot uses its unit again; false if the unit was returned meanwhile.
    pub fn unpark(&self, tenant: &str, window: u64) -> bool {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.get_mut(tenant).filter(|slice| slice.window == window && slice.parked > 0);
        let Some(slice) = slice else { return false };
        slice.parked -= 1;
        true
    }

    /// What to request now: the units wanted by recent demand and by the calls that wait, the current window,
    /// and the sum returned in it.
    pub fn demand(&self, tenant: &str, waiting: u64, now: Micros) -> (u64, u64, u64) {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.entry(tenant.to_owned()).or_default();
        slice.measure_demand(now);
        slice.requested_at = now;
        let wanted = waiting.max(1) + slice.demand.saturating_sub(slice.free.min(slice.demand));
        (wanted, slice.window, slice.returned)
    }

    /// Applies a grant: `granted_total` is the sum of all that this node was ever granted in the window.
    /// Idempotent; grants of older windows are ignored.
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

    /// The lease holder reports that nothing is left of a window, which ends at about `ends`.
    pub fn mark_spent(&self, tenant: &str, window: u64, ends: Micros, now: Micros) {
        let mut slices = self.slices.lock_shard(tenant);
        let slice = slices.entry(tenant.to_owned()).or_default();
        if window >= slice.window {
            slice.start_window(window);
            slice.spent_until = ends.min(now + SPENT_BELIEVED);
            slice.window_ends_at = ends;
        }
    }

    /// Returns all idle units, also those of calls that wait for a slot, and tells the sum returned in the
    /// window; none for a window that is not the current one or has ended.
    pub fn return_idle(&self, tenant: &str, window: u64, now: Micros) -> Option<u64> {
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

    /// For comparison and metrics: tenant, window, granted, returned and free units.
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
