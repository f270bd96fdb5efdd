//! A waitlist that is fair among tenants by their weights.

use crate::base::{Micros, SEC};
use crate::config::Kind;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type Key = (String, Kind);

#[derive(Clone, Debug)]
struct Item<T> {
    val: T,
    due: Micros,
    tag: u64,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    q: VecDeque<Item<T>>,
    weight: u64,
    tag: u64,
}

/// Why a call may not wait; `back` is when it is worth coming again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRejection {
    pub retry_after: Micros,
}

/// A bounded waitlist that serves tenants and kinds by their weights.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<Key, Flow<T>>,
    vt: u64,
    len: usize,
    cap: usize,
    /// Places that came free lately, for the time that a wait will take.
    freed: VecDeque<Micros>,
    /// Since when somebody waits without a break.
    since: Micros,
}

const LATELY: Micros = 5 * SEC;

const UNIT: u64 = 1 << 20;

impl<T> FairQueue<T> {
    /// A list for so many.
    pub fn new(cap: usize) -> Self {
        FairQueue { flows: BTreeMap::new(), vt: 0, len: 0, cap, freed: VecDeque::new(), since: 0 }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// All that wait, in no order that matters.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.flows.values().flat_map(|f| f.q.iter().map(|i| &i.val))
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// A place came free now, by which the wait is told.
    pub fn record_freed(&mut self, now: Micros) {
        self.freed.push_back(now);
        while self.freed.len() > 64 || self.freed.front().is_some_and(|t| now.saturating_sub(*t) > LATELY) {
            self.freed.pop_front();
        }
    }

    /// How long one place takes to come free, as far as lately seen, and for how long
    /// none did: it is taken to need as long again as it was waited for until now.
    fn pace(&self, now: Micros) -> (Micros, Micros) {
        let old = self.freed.partition_point(|t| now.saturating_sub(*t) > LATELY);
        let n = (self.freed.len() - old) as u64;
        let each = self.freed.get(old).map_or(0, |a| now.saturating_sub(*a) / n);
        let last = self.freed.back().copied().unwrap_or(0).max(self.since);
        (each, if self.len > 0 { now.saturating_sub(last) } else { 0 })
    }

    /// How long the call at this place of a flow will wait at a given pace.
    fn wait(&self, (each, gap): (Micros, Micros), at: usize, weight: u64, total: u64) -> Micros {
        let rank = ((at as u64 + 1) * total / weight.max(1)).min(self.len as u64 + 1);
        each.saturating_mul(rank).max(gap)
    }

    fn total(&self) -> u64 {
        self.flows.values().filter(|f| !f.q.is_empty()).map(|f| f.weight).sum()
    }

    /// Takes out those who now wait in vain: the places come too slowly for them.
    pub fn take_hopeless(&mut self, now: Micros) -> Vec<T> {
        if self.len == 0 {
            return Vec::new();
        }
        let (total, p) = (self.total(), self.pace(now));
        let mut late = BTreeSet::new();
        for (k, f) in &self.flows {
            for (i, x) in f.q.iter().enumerate() {
                // Less than the pace, since it wavers and leaving is final.
                if now.saturating_add(self.wait((p.0 * 3 / 4, p.1), i, f.weight, total)) > x.due {
                    late.insert((k.clone(), i));
                }
            }
        }
        let mut out = Vec::new();
        for (k, i) in late.into_iter().rev() {
            if let Some(x) = self.flows.get_mut(&k).and_then(|f| f.q.remove(i)) {
                out.push(x.val);
            }
        }
        self.len -= out.len();
        out
    }

    /// Takes one out that will not wait any longer.
    pub fn remove_first(&mut self, mut f: impl FnMut(&T) -> bool) -> Option<T> {
        self.drain_where(|v, _| f(v)).pop()
    }

    /// Takes a call in, or says at once that it would wait in vain. A full list
    /// makes room by letting the last of the longest-served flow go.
    pub fn push(
        &mut self,
        k: Key,
        weight: u64,
        val: T,
        due: Micros,
        now: Micros,
    ) -> Result<Option<T>, (T, QueueRejection)> {
        let w = weight.max(1) * k.1.weight();
        let mine = self.flows.get(&k).map_or(0, |f| f.q.len());
        let total = self.total() + if mine == 0 { w } else { 0 };
        let est = self.wait(self.pace(now), mine, w, total);
        if now.saturating_add(est) > due {
            return Err((val, QueueRejection { retry_after: est }));
        }
        let mut out = None;
        if self.len >= self.cap {
            let longest = self
                .flows
                .iter()
                .filter(|f| !f.1.q.is_empty())
                .max_by_key(|f| f.1.q.len() as u64 * UNIT / f.1.weight)
                .map(|f| f.0.clone());
            let back = self.retry_after(now);
            match longest {
                Some(l)
                    if l != k
                        && self.flows.get(&l).is_some_and(|f| f.q.len() as u64 * w > (mine as u64 + 1) * f.weight) =>
                {
                    if let Some(i) = self.flows.get_mut(&l).and_then(|f| f.q.pop_back()) {
                        self.len -= 1;
                        out = Some(i.val);
                    }
                }
                _ => return Err((val, QueueRejection { retry_after: back })),
            }
        }
        if self.len == 0 {
            self.since = now;
        }
        let vt = self.vt;
        let f = self.flows.entry(k).or_insert(Flow { q: VecDeque::new(), weight: w, tag: 0 });
        f.weight = w;
        f.tag = f.tag.max(vt) + UNIT / w;
        f.q.push_back(Item { val, due, tag: f.tag });
        self.len += 1;
        Ok(out)
    }

    /// The next in fair order for which there is room; `fits` may take the room.
    pub fn pop<R>(&mut self, mut fits: impl FnMut(&T) -> Option<R>) -> Option<(T, R)> {
        let mut ks: Vec<_> = self.flows.iter().filter_map(|(k, f)| Some((f.q.front()?.tag, k.clone()))).collect();
        ks.sort();
        for (tag, k) in ks {
            let Some(f) = self.flows.get_mut(&k) else { continue };
            let Some(r) = f.q.front().and_then(|i| fits(&i.val)) else { continue };
            let Some(i) = f.q.pop_front() else { continue };
            self.len -= 1;
            self.vt = self.vt.max(tag);
            if f.q.is_empty() && f.tag <= self.vt {
                self.flows.remove(&k);
            }
            return Some((i.val, r));
        }
        None
    }

    /// The first of each flow, in no fair order, for which there is room.
    pub fn pop_any<R>(&mut self, mut fits: impl FnMut(&T) -> Option<R>) -> Option<(T, R)> {
        for flow in self.flows.values_mut() {
            let found = flow.q.iter().enumerate().find_map(|(at, item)| Some((at, fits(&item.val)?)));
            let Some((at, got)) = found else { continue };
            let item = flow.q.remove(at)?;
            self.len -= 1;
            return Some((item.val, got));
        }
        None
    }

    /// Takes out everyone for whom `f` holds, such as those whose key was withdrawn.
    pub fn drain_where(&mut self, mut f: impl FnMut(&T, Micros) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        for fl in self.flows.values_mut() {
            let q = std::mem::take(&mut fl.q);
            for i in q {
                if f(&i.val, i.due) {
                    out.push(i.val);
                } else {
                    fl.q.push_back(i);
                }
            }
        }
        self.len -= out.len();
        self.flows.retain(|_, f| !f.q.is_empty() || f.tag > self.vt);
        out
    }

    /// When it is worth coming again.
    pub fn retry_after(&self, now: Micros) -> Micros {
        let (each, gap) = self.pace(now);
        let each = if self.freed.is_empty() { SEC / 10 } else { each };
        each.saturating_mul(self.len as u64 + 1).max(gap).clamp(SEC / 2, 30 * SEC)
    }
}
