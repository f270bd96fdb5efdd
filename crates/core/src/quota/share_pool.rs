//! The holder of a rate: which share each node holds, and what is free.

use super::share_bucket::{FULL_SHARE, MILLI, SHARE_LEASE, UNIT, share_capacity, share_refill};
use crate::base::{Incarnation, MS, Micros, NodeId};
use crate::config::Rate;
use crate::protocol::{RegisteredIncarnation, ShareGrant, ShareRequest};
use std::collections::{BTreeMap, BTreeSet};

/// A holder counts a lease for longer than who has it, whose clock may be slower.
const GRACE: Micros = 100 * MS;
/// Who no voter has registered any more as a term begins has held nothing for longer than this: voters
/// forget a life 20 s after a holder last relied on it for 8 s, and a share ends a lease after that.
const FORGOTTEN: Micros = SHARE_LEASE;
/// Of what a node's clock counts this many fiftieths have passed at least.
const SLOWEST_CLOCK: u64 = 49;
/// Thousandths of calls a second from which on a node holds a share by what it looks for.
const STEADY: u64 = 4_000;
/// For so long after somebody got less than its due, others give back the least surplus.
const LACK: Micros = 1_000 * MS;

/// What one life of a node may hold, as far as the holder knows.
#[derive(Clone, Debug, Default)]
struct Part {
    n: u64,
    share: u32,
    until: Micros,
    want: u64,
}

/// One tenant's rate as its holder hands it out.
#[derive(Clone, Debug, Default)]
pub struct SharePool {
    parts: BTreeMap<(NodeId, Incarnation), Part>,
    /// What all parts hold and look for together.
    held: u64,
    want: u64,
    /// What nodes that were not heard of yet may hold, until then.
    dark: u64,
    light: Micros,
    /// Lives that may hold some of the unknown; none are left, and it ends at once.
    doubt: BTreeSet<(NodeId, Incarnation)>,
    /// Since when nothing was given to anybody, by the words on those who were in doubt; counts
    /// only once none are left.
    idle_since: Micros,
    /// The part of the unknown that is proven to be nobody's, and for how long.
    idle: Option<(u32, Micros)>,
    /// Somebody got less than its due lately, until then.
    lack: Micros,
    /// Units of the part that nobody holds.
    free: u128,
    at: Micros,
}

impl SharePool {
    /// `from` is when any share that another holder gave has ended.
    pub fn new(r: Rate, from: Micros, now: Micros) -> Self {
        let dark = if now < from { u64::from(FULL_SHARE) } else { 0 };
        let free = share_refill(r, FULL_SHARE, now.saturating_sub(from)).min(share_capacity(r, FULL_SHARE));
        SharePool { dark, light: from, free, at: now, ..SharePool::default() }
    }

    /// Nobody ever held anything of it.
    pub fn full(r: Rate, now: Micros) -> Self {
        SharePool { free: share_capacity(r, FULL_SHARE), at: now, light: now, ..SharePool::default() }
    }

    fn left(&self) -> u32 {
        u32::try_from(u64::from(FULL_SHARE).saturating_sub(self.held + self.dark)).unwrap_or(0)
    }

    /// What came free since the last turn brings nothing for the time before.
    fn turn(&mut self, r: Rate, now: Micros) {
        let l = self.left();
        self.free = (self.free + share_refill(r, l, now.saturating_sub(self.at))).min(share_capacity(r, l));
        self.at = self.at.max(now);
        if now >= self.light {
            self.dark = 0;
        }
        // What nobody held and nobody was given anything of is as full as the rate filled it.
        if let Some((share, idle)) = self.idle.take() {
            let credit = share_refill(r, share, idle).min(share_capacity(r, share));
            self.free = (self.free + credit).min(share_capacity(r, self.left()));
        }
    }

    /// Forgets who let its share end.
    pub fn expire(&mut self, r: Rate, now: Micros) {
        self.turn(r, now);
        let (mut held, mut want) = (0, 0);
        self.parts.retain(|_, p| {
            if now >= p.until {
                return false;
            }
            held += u64::from(p.share);
            want += p.want;
            true
        });
        (self.held, self.want) = (held, want);
    }

    /// What `by` should hold: by what it looks for against the others.
    fn aim(&self, r: Rate, q: &ShareRequest, nodes: u64) -> u32 {
        let whole = u64::from(FULL_SHARE);
        // Less than this never brings the units of a usual call.
        let each = u64::from(q.usual_call.max(1));
        let one = (whole * 1_000 * each).div_ceil(r.burst_milli.max(1)).min(whole);
        let all = self.want.max(1);
        // Half follows what is looked for, where that is steady enough to be measured; the
        // rest stays here, for who finds nothing.
        let steady = if q.call_rate_milli >= STEADY { q.demand_milli } else { 0 };
        let share = part(steady, whole / 2, all.max(r.milli_per_second / 2));
        let near = q.demand_milli > 0 && self.want <= r.milli_per_second || self.want * 2 <= r.milli_per_second;
        let floor = if near && one * nodes.max(1) * 4 <= whole { one } else { 0 };
        let aim = if share < 2 * one { floor } else { share.max(floor) };
        u32::try_from(aim.min(whole)).unwrap_or(FULL_SHARE)
    }

    /// None for an ask that a later one of its sender has overtaken.
    pub fn request(
        &mut self,
        by: (NodeId, Incarnation),
        n: u64,
        q: &ShareRequest,
        r: Rate,
        nodes: u64,
        now: Micros,
    ) -> Option<ShareGrant> {
        self.turn(r, now);
        let old = self.parts.get(&by).cloned().unwrap_or_default();
        if n <= old.n {
            return None;
        }
        // What it holds now is what it says: it takes no answer to an earlier ask.
        if q.held_share > old.share {
            let more = u64::from(q.held_share - old.share);
            self.dark -= self.dark.min(more);
        }
        self.held = self.held - u64::from(old.share) + u64::from(q.held_share);
        self.want = self.want - old.want.min(self.want) + q.demand_milli;
        let gone = old.share.saturating_sub(q.held_share);
        let returned = (u128::from(q.returned_milli) * MILLI).min(share_capacity(r, gone));
        self.free = (self.free + returned).min(share_capacity(r, self.left()));

        let aim = self.aim(r, q, nodes);
        let usual = 1_000 * u64::from(q.usual_call.max(1));
        let step = (u64::from(q.held_share) / 8).max(usual * u64::from(FULL_SHARE) / r.burst_milli.max(1) / 2);
        let far = u64::from(aim.abs_diff(q.held_share)) >= if now < self.lack && aim < q.held_share { 1 } else { step };
        let mut give = ShareGrant { granted: true, share: q.held_share, ..ShareGrant::default() };
        // Who finds nothing is lent units at once: they are spent here, and are of no use
        // there once a moment has passed, so they need no share to be held in.
        // A part of a call's units is of no use.
        let first = u64::from(q.smallest_call.max(1));
        let whole_calls = u64::try_from(self.free / UNIT).unwrap_or(0) / first * first;
        let lend = u64::from(q.missing_units).min(whole_calls);
        self.free -= u128::from(lend) * UNIT;
        give.loaned_units = u32::try_from(lend).unwrap_or(0);
        if aim > q.held_share && far {
            let more = (aim - q.held_share).min(self.left());
            if more < aim - q.held_share {
                self.lack = now + LACK;
            }
            let add = (self.free / 2).min(share_capacity(r, more)) / MILLI;
            self.free -= add * MILLI;
            give.share += more;
            give.burst_milli = u64::try_from(add).unwrap_or(0);
        } else if aim < q.held_share && far {
            give.share = aim;
        }
        let share = give.share.max(q.held_share);
        self.held += u64::from(share - q.held_share);
        self.free = self.free.min(share_capacity(r, self.left()));
        self.parts.insert(by, Part { n, share, until: now + SHARE_LEASE + GRACE, want: q.demand_milli });
        Some(give)
    }

    /// What this life holds is what its asks say from now on: so much now, and the same since then, as
    /// it was given nothing since.
    fn clear(&mut self, by: (NodeId, Incarnation), has: u32, idle_since: Micros, now: Micros) {
        if !self.doubt.remove(&by) {
            return;
        }
        self.idle_since = self.idle_since.max(idle_since);
        if self.doubt.is_empty() && self.dark > 0 {
            let known = self.parts.get(&by).map_or(0, |p| p.share);
            let unheld = self.dark.saturating_sub(u64::from(has.saturating_sub(known)));
            self.idle = Some((u32::try_from(unheld).unwrap_or(0), now.saturating_sub(self.idle_since)));
        }
        if self.doubt.is_empty() {
            self.light = self.light.min(now);
        }
    }

    /// For comparison: what is held, in millionths, and what may be held unheard of.
    pub fn list(&self) -> (u64, u64) {
        (self.held, self.dark)
    }
}

/// When a time that a node told began at the latest, by this node's clock.
fn since(told: Micros, now: Micros) -> Micros {
    now.saturating_sub(told / (SLOWEST_CLOCK + 1) * SLOWEST_CLOCK)
}

fn part(n: u64, whole: u64, all: u64) -> u64 {
    u64::try_from(u128::from(n) * u128::from(whole) / u128::from(all.max(1))).unwrap_or(u64::MAX)
}

#[derive(Clone, Debug)]
struct Begun {
    /// There was never a holder before, so nobody holds anything.
    first: bool,
    from: Micros,
    /// Who was given shares by holders before, and is not proven dead.
    doubt: BTreeMap<(NodeId, Incarnation), String>,
    /// Since when none of those that were proven dead, or are forgotten, can have held anything.
    idle_since: Micros,
    /// All of them were proven dead.
    proven: bool,
}

/// What a core hands out of the rates of all duties that it holds. Nothing of it is on
/// disk: who takes over counts all as held that it can't know to be free.
#[derive(Clone, Debug, Default)]
pub struct SharePools {
    duties: BTreeMap<u32, Begun>,
    pools: BTreeMap<u64, (u32, SharePool)>,
}

impl SharePools {
    /// A term begins. Asks that an earlier holder may have answered were sent before now,
    /// or `late` after it.
    pub fn begin_lease(&mut self, d: u32, first: bool, now: Micros, late: Micros) {
        self.end_lease(d);
        let from = now + late + SHARE_LEASE + GRACE;
        let idle_since = now.saturating_sub(FORGOTTEN);
        self.duties.insert(d, Begun { first, from, doubt: BTreeMap::new(), idle_since, proven: false });
    }

    /// Nobody but these lives was ever given a share; none tell nothing.
    pub fn set_suspects(&mut self, d: u32, lives: &[RegisteredIncarnation]) {
        if let Some(b) = self.duties.get_mut(&d) {
            b.doubt = lives.iter().map(|l| ((l.node_id, l.incarnation), l.addr.clone())).collect();
        }
    }

    /// Who is to be heard of before the unknown ends.
    pub fn suspects(&self, d: u32, now: Micros) -> Vec<RegisteredIncarnation> {
        let Some(b) = self.duties.get(&d).filter(|b| now < b.from) else { return Vec::new() };
        let mut ps = self.pools.values().filter(|p| p.0 == d).peekable();
        let open = ps.peek().is_none() || ps.any(|p| now < p.1.light && !p.1.doubt.is_empty());
        let of = |(k, a): (&(NodeId, Incarnation), &String)| RegisteredIncarnation {
            node_id: k.0,
            incarnation: k.1,
            addr: a.clone(),
        };
        if open { b.doubt.iter().map(of).collect() } else { Vec::new() }
    }

    /// A life that answered this term has its address for itself: those before it there, which
    /// were given shares before the term, had ended when it began, which is `age` ago. True if no
    /// unknown is left by that.
    pub fn record_alive(&mut self, d: u32, by: (NodeId, Incarnation), addr: &str, age: Micros, now: Micros) -> bool {
        let Some(b) = self.duties.get_mut(&d) else { return false };
        let dead = |k: &(NodeId, Incarnation), a: &str| *k != by && (a == addr || (k.0 == by.0 && k.1 < by.1));
        let gone: Vec<_> = b.doubt.iter().filter(|x| dead(x.0, x.1)).map(|x| *x.0).collect();
        let ended = since(age, now);
        for g in &gone {
            b.doubt.remove(g);
            b.idle_since = b.idle_since.max(ended);
            for (_, p) in self.pools.values_mut().filter(|p| p.0 == d) {
                p.clear(*g, 0, ended, now);
            }
        }
        let end = !gone.is_empty() && b.doubt.is_empty();
        if end {
            b.from = b.from.min(now);
            b.proven = true;
        }
        end
    }

    /// An ask that was sent in this term says what its sender holds of one tenant's rate, and for how
    /// long it held just that and was given nothing.
    pub fn record_request(
        &mut self,
        d: u32,
        q: &ShareRequest,
        by: (NodeId, Incarnation),
        r: Rate,
        idle: Micros,
        now: Micros,
    ) {
        if let Some(p) = self.pool(d, q.tenant_key, r, now) {
            p.turn(r, now);
            p.clear(by, q.held_share, since(idle, now), now);
            p.turn(r, now);
        }
    }

    /// The pool of a tenant's rate, by the hash of its name, where its duty's term runs here.
    pub fn pool(&mut self, d: u32, key: u64, r: Rate, now: Micros) -> Option<&mut SharePool> {
        let b = self.duties.get(&d)?;
        let new = || {
            let from = if b.proven { b.idle_since } else { b.from };
            let mut p = if b.first { SharePool::full(r, now) } else { SharePool::new(r, from, now) };
            p.doubt = b.doubt.keys().copied().collect();
            p.idle_since = b.idle_since;
            (d, p)
        };
        Some(&mut self.pools.entry(key).or_insert_with(new).1)
    }

    /// The term ended.
    pub fn end_lease(&mut self, d: u32) {
        self.duties.remove(&d);
        self.pools.retain(|_, p| p.0 != d);
    }

    /// The duties whose terms run here.
    pub fn roles(&self) -> Vec<u32> {
        self.duties.keys().copied().collect()
    }

    /// Some pools need the rate that is in force to go on.
    pub fn expire(&mut self, rate: impl Fn(u64) -> Option<Rate>, now: Micros) {
        for (k, (_, p)) in &mut self.pools {
            let r = rate(*k).unwrap_or(Rate { milli_per_second: 0, burst_milli: 0 });
            p.expire(r, now);
        }
    }

    /// For comparison: the hash of a tenant's name, what is held of it, in millionths, and
    /// what may be held unheard of.
    pub fn list(&self) -> Vec<(u64, u64, u64)> {
        self.pools.iter().map(|(k, (_, p))| (*k, p.list().0, p.list().1)).collect()
    }
}
