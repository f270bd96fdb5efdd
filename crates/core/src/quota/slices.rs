//! A node's slices of windows by tenant.

use super::RateShares;
use crate::base::{MS, Micros, Shards};

/// A slice is cut for so long.
const AHEAD: Micros = 500 * MS;

/// A node's part of one tenant's window.
#[derive(Clone, Debug, Default)]
struct Slice {
    window: u64,
    got: u64,
    returned: u64,
    free: u64,
    /// Units of calls that wait for a place: kept for these until the holder recalls what is idle.
    parked: u64,
    /// Until then its units may be used.
    until: Micros,
    /// Until then the holder's word that nothing is left of the window is believed.
    spent: Micros,
    /// When the window ends by that word, which is late rather than early: nothing is used by it.
    ends: Micros,
    /// Calls that looked for a unit since then, for the size of the next slice.
    looked: u64,
    since: Micros,
    rate: u64,
    asked: Micros,
    last: Micros,
}

impl Slice {
    /// A later window begins: only what is known of the demand goes on.
    fn turn(&mut self, window: u64) {
        if window > self.window {
            let Slice { looked, since, rate, asked, last, .. } = *self;
            *self = Slice { window, looked, since, rate, asked, last, ..Slice::default() };
        }
    }
}

/// What a call finds that looks for a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// Taken from this window; more should be fetched if `low`.
    Taken { window: u64, until: Micros, low: bool },
    /// Nothing here: ask the holder and wait.
    Empty,
    /// The holder said that the window is spent; it ends after this long.
    WindowSpent { remaining: Micros },
    /// The share of a rate is used up: the next unit comes after `wait`, later ones every
    /// `each`; `more` if the holder may have some.
    RateExhausted { wait: Micros, interval: Micros, may_get_more: bool },
}

/// Every tenant's slice on this node.
#[derive(Clone, Debug, Default)]
pub struct WindowSlices {
    slices: Shards<Slice>,
    /// The tenants that have a rate, or no limit.
    pub rates: RateShares,
}

impl WindowSlices {
    /// One unit for a call that comes now.
    pub fn take(&self, t: &str, now: Micros) -> TakeOutcome {
        self.take_units(t, 1, now)
    }

    /// The units of a call that comes now; of a window each call takes one.
    pub fn take_units(&self, t: &str, units: u32, now: Micros) -> TakeOutcome {
        if let Some(r) = self.rates.take(t, units, now) {
            return r;
        }
        let mut g = self.slices.lock_shard(t);
        let s = g.entry(t.to_owned()).or_default();
        s.looked += 1;
        s.last = now;
        if now < s.until && s.free > 0 {
            s.free -= 1;
            let low = s.free <= s.rate / 2 && now.saturating_sub(s.asked) > 50 * MS;
            return TakeOutcome::Taken { window: s.window, until: s.until, low };
        }
        if now < s.spent {
            return TakeOutcome::WindowSpent { remaining: s.ends.max(s.until).max(s.spent) - now };
        }
        TakeOutcome::Empty
    }

    /// A call that was turned away unrun gives its unit back to its own window.
    pub fn refund(&self, t: &str, window: u64) {
        if self.rates.refund(t, window) {
            return;
        }
        if let Some(s) = self.slices.lock_shard(t).get_mut(t)
            && s.window == window
            && s.free + s.parked + s.returned < s.got
        {
            s.free += 1;
        }
    }

    /// A call that has a unit begins to wait for a place: until it has one, its unit is given back
    /// if the holder recalls what is idle. False where the unit stays with the call: one of a rate,
    /// which ends soon and may be of no use to others, or one of a window that has ended.
    pub fn park(&self, t: &str, window: u64) -> bool {
        if self.rates.contains(t) {
            return false;
        }
        let mut g = self.slices.lock_shard(t);
        let Some(s) = g.get_mut(t).filter(|s| s.window == window && s.free + s.parked + s.returned < s.got) else {
            return false;
        };
        s.parked += 1;
        true
    }

    /// A call that waited for a place takes its unit up again; false if it was given back meanwhile.
    pub fn unpark(&self, t: &str, window: u64) -> bool {
        let mut g = self.slices.lock_shard(t);
        let Some(s) = g.get_mut(t).filter(|s| s.window == window && s.parked > 0) else { return false };
        s.parked -= 1;
        true
    }

    /// What to ask for: as much as was lately looked for, and those who wait.
    pub fn demand(&self, t: &str, waiting: u64, now: Micros) -> (u64, u64, u64) {
        let mut g = self.slices.lock_shard(t);
        let s = g.entry(t.to_owned()).or_default();
        let gap = now.saturating_sub(s.since);
        if gap >= AHEAD {
            s.rate = s.looked.saturating_mul(AHEAD) / gap;
            s.looked = 0;
            s.since = now;
        } else {
            s.rate = s.rate.max(s.looked);
        }
        s.asked = now;
        let want = waiting.max(1) + s.rate.saturating_sub(s.free.min(s.rate));
        (want, s.window, s.returned)
    }

    /// The holder's word on all that this node was ever granted in a window.
    pub fn add_granted(&self, t: &str, window: u64, granted_total: u64, until: Micros) {
        let mut g = self.slices.lock_shard(t);
        let s = g.entry(t.to_owned()).or_default();
        if window < s.window {
            return;
        }
        s.turn(window);
        if granted_total > s.got {
            s.free += granted_total - s.got;
            s.got = granted_total;
            s.spent = 0;
        }
        s.until = s.until.max(until);
    }

    /// The holder's word that nothing is left of a window, which ends at about `ends`.
    pub fn mark_spent(&self, t: &str, window: u64, ends: Micros, now: Micros) {
        let mut g = self.slices.lock_shard(t);
        let s = g.entry(t.to_owned()).or_default();
        if window >= s.window {
            s.turn(window);
            s.spent = ends.min(now + 200 * MS);
            s.ends = ends;
        }
    }

    /// Gives back what is idle, also the units of calls that wait for a place. The sum given back
    /// in the window is told.
    pub fn return_idle(&self, t: &str, window: u64, now: Micros) -> Option<u64> {
        let mut g = self.slices.lock_shard(t);
        let s = g.get_mut(t)?;
        if s.window != window || now >= s.until {
            return None;
        }
        s.returned += s.free + s.parked;
        s.free = 0;
        s.parked = 0;
        Some(s.returned)
    }

    /// Whether no call looked for a unit lately.
    pub fn is_idle(&self, t: &str, now: Micros) -> bool {
        self.slices.lock_shard(t).get(t).is_none_or(|s| now.saturating_sub(s.last) > 300 * MS)
    }

    /// For comparison and metrics: tenant, window, granted, given back, free.
    pub fn list(&self) -> Vec<(String, u64, u64, u64, u64)> {
        let mut v = Vec::new();
        for g in self.slices.lock_each() {
            v.extend(g.iter().map(|(t, s)| (t.clone(), s.window, s.got, s.returned, s.free)));
        }
        v.sort();
        v
    }
}
