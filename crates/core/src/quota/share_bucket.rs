//! One node's share of one tenant's rate.

use super::TakeOutcome;
use crate::base::{MS, Micros, SEC};
use crate::config::Rate;
use crate::protocol::{ShareGrant, ShareRequest};
use std::collections::VecDeque;

/// All of a tenant's rate, in the units that shares are counted in.
pub const FULL_SHARE: u32 = 1_000_000;
/// How long a share is held from the moment that its holder sent its ask.
pub const SHARE_LEASE: Micros = 4 * SEC;
/// One unit: thousandths of it, times millionths of a share, times microseconds.
pub const UNIT: u128 = 1_000 * MILLI;
/// A thousandth of a unit.
pub const MILLI: u128 = 1_000_000 * 1_000_000;
/// A unit that was not sent by then needs another one.
const KEEP: Micros = 500 * MS;
/// A unit that comes back later than this brings nothing.
const BACK: Micros = 2 * SEC;
const EVERY: Micros = 500 * MS;
const EARLY: Micros = 100 * MS;
/// As long as the holder has units for calls that wait, they are asked for one by one.
const SOON: Micros = 4 * MS;
/// What is lent is of use for so long after it was asked for.
pub const LOAN_DURATION: Micros = 200 * MS;
/// For so many calls at once.
const MOST: u32 = 64;
/// The usual call follows the last eight or so.
const USUAL: u64 = 8;
/// An ask unanswered for so long is sent anew, to another core.
pub const AGAIN: Micros = 250 * MS;
/// An idle share is renewed when it has less than this left.
const RENEW: Micros = 2_500 * MS;
/// For so long after a node's first answer its holder's pool may be filling up from empty, as it
/// does after a loss of all power: who finds nothing there waits rather than being refused.
const FILLS: Micros = SEC;
/// Fewer thousandths of units a second are none.
const NOTHING: u64 = 50;
/// How much of what was looked for before is kept each half second.
const FADE: (u64, u64) = (3, 4);

/// What is looked for in a second, after so much was seen; `over` where that was seen for long enough.
/// What doubles counts at once; what wavers is smoothed.
fn follow(was: u64, seen: u64, over: bool) -> u64 {
    match seen > 2 * was {
        true => seen,
        false if over => (was * FADE.0 + seen) / FADE.1,
        false => was,
    }
}

/// What a share may hold at most.
pub fn share_capacity(r: Rate, share: u32) -> u128 {
    u128::from(r.burst_milli) * u128::from(share) * 1_000_000
}

/// What a share brings in so long a time.
pub fn share_refill(r: Rate, share: u32, t: Micros) -> u128 {
    u128::from(r.milli_per_second) * u128::from(share) * u128::from(t)
}

/// One node's share of one tenant's rate, spent without asking anybody.
///
/// Of the shares that nodes hold at any time the sum is at most one, no share holds more
/// than its part of the burst, and units move between nodes only as part of a share. So
/// what is there at any moment is at most the burst, and what comes in after it at most
/// the rate: no interval sees more than both.
#[derive(Clone, Debug, Default)]
pub struct ShareBucket {
    rate: Option<Rate>,
    share: u32,
    until: Micros,
    free: u128,
    at: Micros,
    /// What each unit taken lately brings if it comes back unused. It is no more than the
    /// bucket would hold had that unit stayed: all of them and what is free fit into it.
    out: VecDeque<(Micros, u128)>,
    credit: u128,
    /// What a smaller share could not hold, for the holder.
    returned: u128,
    looked: u64,
    /// The calls that looked for them.
    came: u64,
    /// The units of a usual call.
    each: u32,
    /// Units that calls found missing, and the fewest that any of these calls takes.
    short: u32,
    first: u32,
    since: Micros,
    want: u64,
    calls: u64,
    /// The newest ask; answers to others say nothing.
    n: u64,
    asked: Micros,
    open: bool,
    /// Asks in a row that nobody answered.
    mute: u32,
    /// When the last ask that was answered was sent.
    heard: Option<Micros>,
    urgent: bool,
    /// Units lent for calls that wait, and when they end.
    loan: (u32, Micros),
    /// How many units the newest ask was for, and the fewest that would have been of use.
    need: u32,
    least: u32,
    /// The last answer had not even so many units; nought where it had some.
    vain: u32,
    /// Until then an answer that has nothing does not say that the rate is spent.
    fills: Micros,
    /// Since when this life of the node was given nothing of the tenant, and held the same share.
    idle_since: Micros,
}

impl ShareBucket {
    /// A bucket without a share.
    pub fn new(r: Rate, now: Micros) -> Self {
        // An earlier bucket of the tenant may have given units that are used still.
        ShareBucket { rate: Some(r), at: now, since: now, idle_since: now + KEEP, ..ShareBucket::default() }
    }

    /// The first bucket that this life of the node has for the tenant: it was given nothing since then.
    pub fn first_of_incarnation(r: Rate, idle_since: Micros, now: Micros) -> Self {
        ShareBucket { idle_since, ..ShareBucket::new(r, now) }
    }

    /// For how long this life was given nothing, neither units nor a loan, and held the same share.
    pub fn idle_for(&mut self, now: Micros) -> Micros {
        self.turn(now);
        now.saturating_sub(self.idle_since)
    }

    /// The rate that is in force here.
    pub fn rate(&self) -> Rate {
        self.rate.unwrap_or(Rate { milli_per_second: 0, burst_milli: 0 })
    }

    /// A version in force here: what the new burst can't hold is gone.
    pub fn set_rate(&mut self, r: Rate, now: Micros) {
        if self.rate != Some(r) {
            self.turn(now);
            self.rate = Some(r);
            self.free = self.free.min(share_capacity(r, self.share));
            self.forget();
        }
    }

    fn forget(&mut self) {
        self.out.clear();
        self.credit = 0;
    }

    /// The oldest units lose first what no longer fits.
    fn spill(&mut self, full: u128, now: Micros) {
        let mut over = (self.free + self.credit).saturating_sub(full);
        while let Some((at, c)) = self.out.front_mut() {
            let old = *at + BACK < now || *c == 0;
            let n = if old { *c } else { over.min(*c) };
            *c -= n;
            self.credit -= n;
            over -= over.min(n);
            if *c > 0 {
                break;
            }
            self.out.pop_front();
        }
    }

    fn turn(&mut self, now: Micros) {
        let r = self.rate();
        let t = now.min(self.until);
        if t > self.at {
            let full = share_capacity(r, self.share);
            self.free = (self.free + share_refill(r, self.share, t - self.at)).min(full);
            self.spill(full, now);
        }
        self.at = self.at.max(now);
        if now >= self.until && self.share > 0 {
            self.idle_since = self.idle_since.max(self.until);
            (self.share, self.free) = (0, 0);
            self.forget();
        }
    }

    /// The share held now, in millionths.
    pub fn share(&mut self, now: Micros) -> u32 {
        self.turn(now);
        self.share
    }

    /// One unit for a call that comes now.
    pub fn take(&mut self, now: Micros) -> TakeOutcome {
        self.take_units(1, now)
    }

    /// The units of a call that comes now, all or none.
    pub fn take_units(&mut self, units: u32, now: Micros) -> TakeOutcome {
        self.look_for(units);
        let t = self.take_for_waiter(units, now);
        if !matches!(t, TakeOutcome::RateExhausted { .. } | TakeOutcome::Empty) {
            return t;
        }
        self.miss(units);
        self.dry(units, now)
    }

    fn look_for(&mut self, units: u32) {
        self.looked += u64::from(units);
        self.came += 1;
        let usual = (u64::from(self.each.max(1)) * (USUAL - 1) + u64::from(units) + USUAL / 2) / USUAL;
        self.each = if self.each == 0 { units } else { u32::try_from(usual).unwrap_or(u32::MAX) };
    }

    fn miss(&mut self, units: u32) {
        self.first = if self.short == 0 { units } else { self.first.min(units) };
        self.short = self.short.saturating_add(units);
    }

    /// The fewest units that are of use to those who wait.
    pub fn set_smallest_call(&mut self, units: u32) {
        self.first = units;
    }

    /// As `take_units` does, for one who was counted already.
    pub fn take_for_waiter(&mut self, units: u32, now: Micros) -> TakeOutcome {
        self.turn(now);
        let price = u128::from(units) * UNIT;
        if self.free >= price {
            let window = self.spend(price, now);
            let low = self.free < share_capacity(self.rate(), self.share) / 4 && self.early(now);
            return TakeOutcome::Taken { window, until: now + KEEP, low };
        }
        let lent = if now < self.loan.1 { self.loan.0 } else { 0 };
        if lent >= units {
            self.loan.0 -= units;
            // What comes back of it brings nothing: it was spent where it was lent.
            return TakeOutcome::Taken { window: 0, until: self.loan.1, low: false };
        }
        let rest = price - u128::from(lent) * UNIT;
        if lent > 0 && self.free >= rest {
            self.loan.0 = 0;
            return TakeOutcome::Taken { window: self.spend(rest, now), until: self.loan.1, low: false };
        }
        self.dry(units, now)
    }

    /// Takes so much of what is free, under a number by which it may come back.
    fn spend(&mut self, price: u128, now: Micros) -> Micros {
        let window = self.out.back().map_or(now, |last| now.max(last.0 + 1));
        self.free -= price;
        self.credit += price;
        self.out.push_back((window, price));
        window
    }

    /// What one finds who stands behind others.
    pub fn peek(&mut self, units: u32, now: Micros) -> TakeOutcome {
        self.look_for(units);
        self.miss(units);
        self.turn(now);
        self.dry(units, now)
    }

    fn dry(&self, units: u32, now: Micros) -> TakeOutcome {
        if self.heard.is_none_or(|h| now >= h + SHARE_LEASE) {
            return TakeOutcome::Empty;
        }
        // The holder's word that it has none counts for those who are no smaller.
        let vain = self.vain > 0 && units >= self.vain;
        let unasked = !vain && self.short > 0;
        let more = self.open || unasked || (vain && now < self.fills) || self.early(now);
        let (r, s) = (self.rate(), self.share);
        let pace = share_refill(r, s, 1);
        let price = u128::from(units) * UNIT;
        if pace == 0 || share_capacity(r, s) < price {
            return TakeOutcome::RateExhausted { wait: Micros::MAX / 4, interval: Micros::MAX / 4, may_get_more: more };
        }
        let wait = Micros::try_from(price.saturating_sub(self.free).div_ceil(pace)).unwrap_or(Micros::MAX / 4);
        let each = Micros::try_from(price.div_ceil(pace)).unwrap_or(Micros::MAX / 4);
        TakeOutcome::RateExhausted { wait, interval: each, may_get_more: more }
    }

    /// A unit that was taken at `at` and not used.
    pub fn refund(&mut self, at: Micros, now: Micros) {
        self.turn(now);
        let i = self.out.partition_point(|o| o.0 < at);
        if let Some((t, c)) = self.out.get_mut(i)
            && *t == at
        {
            let c = std::mem::take(c);
            self.credit -= c;
            self.free += c;
            self.out.remove(i);
        }
    }

    /// A new ask makes answers to the one before worthless, so it gives that one time.
    fn early(&self, now: Micros) -> bool {
        let gap = match self.open {
            true => AGAIN << self.mute.min(2),
            false if self.short == 0 || (self.vain > 0 && self.first >= self.vain) => EARLY,
            false => SOON,
        };
        self.asked == 0 || now >= self.asked + gap
    }

    /// A call waits: the holder is asked as soon as may be.
    pub fn request_soon(&mut self) {
        self.urgent = true;
    }

    /// The ask went unanswered.
    pub fn request_timed_out(&mut self, n: u64) {
        if self.n == n && self.open {
            self.urgent = true;
        }
    }

    /// The ask reached one who can't answer it.
    pub fn request_rejected(&mut self, n: u64) {
        if self.n == n && self.open {
            (self.open, self.urgent) = (false, true);
        }
    }

    /// Whether an ask should go now; `eager` nodes hold shares before any call comes.
    pub fn is_request_due(&mut self, eager: bool, now: Micros) -> bool {
        self.turn(now);
        if !self.early(now) {
            return false;
        }
        if self.urgent {
            return true;
        }
        if self.asked > 0 && now < self.asked + EVERY {
            return false;
        }
        let busy = self.looked > 0 || self.want > 0 || self.returned >= MILLI || self.open;
        let ends = self.share > 0 && self.until < now + RENEW;
        let idle = eager && now >= self.asked + if self.heard.is_some() { SHARE_LEASE } else { SEC };
        busy || ends || (idle && self.share == 0) || self.asked == 0 && eager
    }

    /// What to ask the holder for; `n` numbers the ask, `waits` is how many units calls wait for.
    pub fn make_request(&mut self, key: u64, n: u64, waits: u64, now: Micros) -> ShareRequest {
        self.turn(now);
        let gap = now.saturating_sub(self.since);
        let a_second = |n: u64| n.saturating_mul(1_000 * SEC) / gap.max(EVERY);
        let over = gap >= EVERY;
        self.want = follow(self.want, a_second(self.looked), over);
        self.calls = follow(self.calls, a_second(self.came), over);
        if over {
            self.want = if self.want < NOTHING { 0 } else { self.want };
            (self.looked, self.came, self.since) = (0, 0, now);
        }
        self.mute = if self.open { self.mute + 1 } else { 0 };
        let returned = u64::try_from(self.returned / MILLI).unwrap_or(0);
        // Until an answer comes those that found nothing are asked for again.
        let each = self.each.max(1);
        let need = self.short.max(u32::try_from(waits).unwrap_or(u32::MAX)).min(MOST.saturating_mul(each));
        let first = self.first.clamp(1, need.max(1));
        (self.short, self.need, self.least) = (self.short.min(need), need, first);
        (self.n, self.asked, self.open, self.returned, self.urgent) = (n, now, true, 0, false);
        ShareRequest {
            tenant_key: key,
            held_share: self.share,
            returned_milli: returned,
            demand_milli: self.want,
            missing_units: need,
            smallest_call: first,
            usual_call: each,
            call_rate_milli: self.calls,
        }
    }

    /// The holder's word on the ask `n` that was sent at `at`.
    pub fn apply_grant(&mut self, n: u64, g: ShareGrant, at: Micros, now: Micros) -> bool {
        if n != self.n || !self.open || at + SHARE_LEASE <= now {
            return false;
        }
        self.turn(now);
        if (g.share, g.burst_milli, g.loaned_units) != (self.share, 0, 0) {
            self.idle_since = self.idle_since.max(now);
        }
        (self.open, self.mute) = (false, 0);
        if self.heard.is_none_or(|h| now >= h + SHARE_LEASE) {
            self.fills = now + FILLS;
        }
        self.heard = self.heard.max(Some(at));
        let r = self.rate();
        let full = share_capacity(r, g.share);
        if g.share < self.share {
            self.forget();
            self.returned += self.free.saturating_sub(full);
        } else {
            self.free += u128::from(g.burst_milli) * MILLI;
        }
        self.short -= self.short.min(self.need);
        self.loan = (g.loaned_units, at + LOAN_DURATION);
        let none = self.need > 0 && g.loaned_units == 0 && self.free < u128::from(self.least) * UNIT;
        self.vain = if none { self.least } else { 0 };
        self.urgent |= self.short > 0;
        self.free = self.free.min(full);
        self.share = g.share;
        self.until = self.until.max(at + SHARE_LEASE);
        true
    }

    /// For metrics: the share in millionths, and the whole units at hand.
    pub fn list(&self) -> (u32, u64) {
        (self.share, u64::try_from(self.free / UNIT).unwrap_or(u64::MAX))
    }
}
