//! All engines, and the choice among them.

use super::cost::{cost, first};
use super::engine::{ActiveCall, EngineModel};
use super::lengths::{LengthClass, PENALTY};
use super::pool_model::PoolModel;
use super::prompt::{PromptRequest, SegmentChain, home, mix};
use super::{Endpoint, PlacementTable, WorkerLoads};
use crate::base::{Micros, Rng, SEC, Shards};
use crate::config::PlacementWeights;
use smallvec::SmallVec;
use std::sync::atomic::{AtomicU64, Ordering};

/// Up to so many workers each is weighed; of more, the likely keepers and some others.
const ALL: usize = 24;
/// Workers with fewer slots are not parted by the lengths of prompts.
const ROOMY: u32 = 32;
const KEEPERS: u32 = 6;
const FIRST: u32 = 3;
const SOME: u64 = 8;
const FORGET: Micros = 60 * SEC;

/// Where a choice is made.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    pub pool: &'a str,
    pub zone: &'a str,
    pub weights: &'a PlacementWeights,
    pub excluded: &'a [String],
    pub now: Micros,
}

/// How a call at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Done,
    /// The worker did not run it.
    Declined,
    Failed,
}

/// What this node knows of the workers that read prompts, a lock for each shard.
#[derive(Debug, Default)]
pub struct EngineModels {
    each: Shards<EngineModel>,
    pools: Shards<PoolModel>,
    n: AtomicU64,
}

impl EngineModels {
    /// The first ticket; nodes that begin with different ones draw differently.
    pub fn new(seed: u64) -> Self {
        EngineModels { n: AtomicU64::new(mix(seed) >> 1), ..EngineModels::default() }
    }

    /// The worker that costs this call least; none if no worker could serve it in time.
    pub fn choose(
        &self,
        t: &PlacementTable,
        a: &PromptRequest,
        s: &PlacementContext,
        loads: &WorkerLoads,
    ) -> Option<usize> {
        let avoid = |w: &Endpoint| loads.has_failed(w);
        // Where all of them failed a call lately, one that failed is better than none.
        self.among(t, a, s, avoid).or_else(|| self.among(t, a, s, |_| false))
    }

    fn among(
        &self,
        t: &PlacementTable,
        a: &PromptRequest,
        s: &PlacementContext,
        avoid: impl Fn(&Endpoint) -> bool,
    ) -> Option<usize> {
        let c = a.chain();
        let mut rng = Rng::new(mix(self.n.fetch_add(1, Ordering::Relaxed)) ^ s.now);
        let mut g = self.pools.lock_shard(s.pool);
        let p = g.entry(s.pool.to_owned()).or_default();
        let asked: SmallVec<[f64; 8]> = c.iter().map(|l| f64::from(p.demand.of(l.key, s.now))).collect();
        let n = t.endpoints.len() as f64;
        // Of a few workers each is weighed by what is known of it; where a worker has few slots, all are
        // needed to find a free one.
        let roomy = t.endpoints.iter().all(|w| w.slots >= ROOMY);
        let side = if t.endpoints.len() > ALL && roomy { p.lengths.class_of(a.route) } else { None };
        let mut best: Option<(f64, usize)> = None;
        for (i, rank) in candidates(t, &c, s.zone, side, &mut rng) {
            let w = &t.endpoints[i];
            if s.excluded.contains(&w.worker_id) || avoid(w) {
                continue;
            }
            let slots = f64::from(w.slots.max(1));
            let mut g = self.each.lock_shard(&w.worker_id);
            let fresh = EngineModel::default();
            let e = match g.get_mut(&w.worker_id) {
                Some(e) => {
                    e.life(w.incarnation);
                    &*e
                }
                None => &fresh,
            };
            if s.now < e.shut {
                continue;
            }
            let deep = c.len().saturating_sub(2);
            let likely = |j: usize| {
                let d = asked[j];
                let all = d / (d + 4.0 * n);
                let here = if j <= deep && rank < 8 { d / (d + f64::from(1u32 << (2 * rank))) } else { 0.0 };
                let own = if rank == 0 && j <= deep && c.len() > 1 { (d + 1.0) / (d + 1.3) } else { 0.0 };
                if j + 1 == c.len() && c.len() > 1 { 0.0 } else { all.max(here).max(own) }
            };
            let m = e.meets(a, &c, likely, p, s.now);
            let first = first(&m, p, e.factor, slots);
            if first > a.time_left as f64 && !e.may_be_tried(s.now) {
                continue;
            }
            let luck = rng.below(1000) as f64 / 1000.0;
            let other_side = side.is_some_and(|side| !side.contains(t.standing[i]));
            let x = cost(a, &m, p, e.factor, first, w.zone != s.zone, slots, s.weights, luck)
                + if other_side { PENALTY * f64::from(s.weights.load_spread) / 100.0 } else { 0.0 };
            if best.is_none_or(|b| x < b.0) {
                best = Some((x, i));
            }
        }
        best.map(|b| b.1)
    }

    /// A call goes to a worker: the ticket by which its first piece and its end are told.
    pub fn record_start(
        &self,
        pool: &str,
        w: &Endpoint,
        a: &PromptRequest,
        set: &PlacementWeights,
        now: Micros,
    ) -> u64 {
        let n = self.n.fetch_add(1, Ordering::Relaxed);
        let c = a.chain();
        let mut g = self.pools.lock_shard(pool);
        let p = g.entry(pool.to_owned()).or_default();
        let mut g = self.each.lock_shard(&w.worker_id);
        let e = g.entry(w.worker_id.clone()).or_default();
        e.life(w.incarnation);
        let asked: SmallVec<[f64; 8]> = c.iter().map(|l| f64::from(p.demand.of(l.key, now))).collect();
        let all = |j: usize| if j + 1 == c.len() { 0.0 } else { asked[j] / (asked[j] + 40.0) };
        let m = e.meets(a, &c, all, p, now);
        for l in &c {
            p.demand.record(l.key, now);
        }
        p.lengths.record(a.route, a.tokens() as f64, m.unread, now);
        let held = a.tokens() + u64::from(a.max_output_tokens);
        p.unread += 0.02 * (m.unread - p.unread);
        p.held += 0.02 * (held as f64 - p.held);
        let want = first(&m, p, e.factor, f64::from(w.slots.max(1)));
        let room = if set.kv_cache_tokens == 0 { u64::MAX } else { set.kv_cache_tokens / 10 * 7 };
        e.kept.record(&c, room, now);
        e.begin(ActiveCall {
            n,
            at: now,
            unread: m.unread as u32,
            ahead: m.ahead + m.unread,
            held,
            urgency: a.urgency,
            want,
            first: None,
            keys: c.iter().map(|l| l.key).collect(),
        });
        n
    }

    /// The first piece came.
    pub fn record_first_token(&self, pool: &str, worker_id: &str, n: u64, now: Micros) {
        let mut g = self.pools.lock_shard(pool);
        let p = g.entry(pool.to_owned()).or_default();
        let mut g = self.each.lock_shard(worker_id);
        let Some(e) = g.get_mut(worker_id) else { return };
        let Some(r) = e.first(n, now) else { return };
        let x = p.fit.learn(r.ahead, now.saturating_sub(r.at), e.factor);
        e.factor = (e.factor * (1.0 + 0.1 * (x - 1.0)) * 0.99 + 0.01).clamp(0.6, 8.0);
    }

    /// A call ended like this.
    pub fn record_end(&self, pool: &str, worker_id: &str, n: u64, o: CallOutcome, now: Micros) {
        let mut g = self.pools.lock_shard(pool);
        let p = g.entry(pool.to_owned()).or_default();
        let mut g = self.each.lock_shard(worker_id);
        let Some(e) = g.get_mut(worker_id) else { return };
        let Some(r) = e.end(n, now) else { return };
        match o {
            CallOutcome::Done => p.stay += 0.03 * (now.saturating_sub(r.at) as f64 - p.stay),
            CallOutcome::Declined => {
                e.declined(now);
                e.kept.remove(&r.keys);
            }
            CallOutcome::Failed => {}
        }
    }

    /// A worker told its load at the head of an answer.
    pub fn record_load(&self, pool: &str, worker_id: &str, running: u32, waiting: u32, now: Micros) {
        let mut g = self.pools.lock_shard(pool);
        let p = g.entry(pool.to_owned()).or_default();
        if let Some(e) = self.each.lock_shard(worker_id).get_mut(worker_id) {
            e.hears(running, waiting, p, now);
        }
    }

    /// Workers that this node has nothing at any more are forgotten.
    pub fn expire(&self, now: Micros) {
        for mut g in self.each.lock_each() {
            g.retain(|_, e| !e.runs.is_empty() || now.saturating_sub(e.used) < FORGET);
        }
    }

    /// How many workers are known, and how many kept parts of theirs.
    pub fn size(&self) -> (usize, usize) {
        self.each
            .lock_each()
            .fold((0, 0), |a, g| (a.0 + g.len(), a.1 + g.values().map(|e| e.kept.len()).sum::<usize>()))
    }
}

/// The workers to weigh, each with its rank as a keeper: by rendezvous over all zones, so
/// that all nodes know the same keepers. Bytes between zones cost less than reading again.
fn candidates(
    t: &PlacementTable,
    c: &SegmentChain,
    zone: &str,
    side: Option<LengthClass>,
    rng: &mut Rng,
) -> SmallVec<[(usize, u32); 32]> {
    let n = t.endpoints.len();
    let key = home(c);
    let own_side = |i: usize| side.is_none_or(|s| s.contains(t.standing[i]));
    let mut v: SmallVec<[(bool, u64, usize); 128]> =
        (0..n).map(|i| (own_side(i), key.map_or(0, |k| mix(k ^ t.ids[i])), i)).collect();
    if key.is_some() {
        v.sort_unstable_by(|a, b| b.cmp(a));
    }
    let mut near: u32 = 0;
    let mut out = SmallVec::new();
    let mut rest: SmallVec<[(usize, u32); 128]> = SmallVec::new();
    for (r, (_, _, i)) in (0..).zip(v) {
        let own = t.endpoints[i].zone == zone;
        if n <= ALL || key.is_some() && (r < FIRST || own && near < KEEPERS) {
            out.push((i, r));
        } else {
            rest.push((i, r));
        }
        near += u32::from(own);
    }
    if rest.is_empty() {
        return out;
    }
    let (rest, other): (Vec<_>, Vec<_>) = rest.into_iter().partition(|x| own_side(x.0));
    let (near, far): (Vec<_>, Vec<_>) = rest.into_iter().partition(|x| t.endpoints[x.0].zone == zone);
    for (mut v, k) in [(near, SOME), (far, SOME / 2), (other, SOME / 4)] {
        for _ in 0..k.min(v.len() as u64) {
            let i = usize::try_from(rng.below(v.len() as u64)).unwrap_or(0);
            out.push(v.swap_remove(i));
        }
    }
    out
}
