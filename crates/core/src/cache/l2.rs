//! The second layer: what all threads of the process share, in shards with a lock each.

use super::events::{Change, Log, shard};
use super::found::{Found, Lock, Look, Peek};
use super::l1::L1;
use super::opts::{CacheOptions, Fetched, LookupContext, Soft, Ttl, end};
use crate::base::{Micros, Version};
use lru::LruCache;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

#[derive(Clone, Debug)]
struct Item<V> {
    val: Option<V>,
    end: Micros,
    version: Version,
    weight: usize,
    risen: bool,
}

#[derive(Debug)]
struct Zone<V> {
    lru: LruCache<String, Item<V>>,
    used: usize,
    room: usize,
}

impl<V> Zone<V> {
    fn new(room: usize) -> Self {
        Zone { lru: LruCache::unbounded(), used: 0, room }
    }

    fn pop(&mut self, k: &str) -> Option<Item<V>> {
        let i = self.lru.pop(k)?;
        self.used -= i.weight;
        Some(i)
    }

    /// Frees the oldest items up to `evict` at a try, `tries` times.
    fn set(&mut self, k: &str, i: Item<V>, evict: usize, tries: u32) -> (bool, u64) {
        self.pop(k);
        let mut gone = 0;
        for _ in 0..tries.max(1) {
            if self.used + i.weight <= self.room {
                self.used += i.weight;
                self.lru.put(k.to_owned(), i);
                return (true, gone);
            }
            for _ in 0..evict {
                let Some((_, o)) = self.lru.pop_lru() else { break };
                self.used -= o.weight;
                gone += 1;
            }
        }
        if self.used + i.weight <= self.room {
            self.used += i.weight;
            self.lru.put(k.to_owned(), i);
            return (true, gone);
        }
        (false, gone)
    }
}

#[derive(Debug)]
struct Shard<V> {
    hits: Zone<V>,
    /// Misses stand apart, so that a crowd of unknown keys evicts no known one.
    miss: Zone<V>,
    /// Locks stand apart too: they take no room from values.
    locks: HashMap<String, (u64, Micros)>,
    n: u64,
}

/// The layer that all threads share, in shards with a lock each.
#[derive(Debug)]
pub struct L2<V> {
    sh: Vec<Mutex<Shard<V>>>,
    pub opts: CacheOptions,
    pub log: Log,
}

impl<V: Clone> L2<V> {
    /// Empty shards.
    pub fn new(opts: CacheOptions) -> Self {
        let sh = (0..opts.shards.max(1))
            .map(|_| {
                Mutex::new(Shard {
                    hits: Zone::new(opts.shard_capacity),
                    miss: Zone::new(opts.negative_capacity),
                    locks: HashMap::new(),
                    n: 0,
                })
            })
            .collect();
        L2 { sh, opts, log: Log::default() }
    }

    fn at(&self, k: &str) -> MutexGuard<'_, Shard<V>> {
        match self.sh[shard(k, self.sh.len())].lock() {
            Ok(g) => g,
            Err(e) => e.into_inner(),
        }
    }

    /// The value, or with `fetch` the right to fetch it, unless another caller has that.
    pub fn look(&self, k: &str, c: LookupContext, fetch: bool) -> Look<V> {
        let mut s = self.at(k);
        let s = &mut *s;
        for z in [&mut s.hits, &mut s.miss] {
            if let Some(i) = z.lru.get(k)
                && i.version == c.version
                && i.end > c.now
            {
                let level = if i.risen { 4 } else { 2 };
                return Look::Hit { val: i.val.clone(), end: i.end, level };
            }
        }
        if !fetch {
            return Look::None;
        }
        if s.locks.get(k).is_some_and(|l| l.1 > c.now) {
            return Look::Wait;
        }
        s.n += 1;
        let n = s.n;
        s.locks.insert(k.to_owned(), (n, c.now.saturating_add(self.opts.lock_ttl)));
        Look::Lead(Lock { n })
    }

    /// The end of a fetch: L2 is written, then L1; a soft trouble may raise a
    /// stale value, one that broke off does not.
    pub fn finish(
        &self,
        l1: &mut L1<V>,
        k: &str,
        l: &Lock,
        r: Fetched<V>,
        weight: usize,
        c: LookupContext,
    ) -> Result<Found<V>, Soft> {
        let mut s = self.at(k);
        let mine = s.locks.get(k).is_some_and(|x| x.0 == l.n);
        if mine {
            s.locks.remove(k);
        }
        match r {
            Ok((val, ttl)) => {
                let t = match (ttl, &val) {
                    (Ttl::Never, _) => return Ok(Found { value: val, level: 3 }),
                    (Ttl::For(t), _) => t,
                    (Ttl::Usual, Some(_)) => self.opts.ttl,
                    (Ttl::Usual, None) => self.opts.negative_ttl,
                };
                let e = end(c.now, t);
                if mine {
                    self.store(&mut s, k, Item { val: val.clone(), end: e, version: c.version, weight, risen: false });
                    l1.put(k, val.clone(), e, c.version);
                }
                Ok(Found { value: val, level: 3 })
            }
            Err(Soft::Broke(w)) => Err(Soft::Broke(w)),
            Err(w) => {
                let Some(t) = self.opts.stale_ttl else { return Err(w) };
                let Some(i) = s.hits.lru.peek(k).filter(|i| i.version == c.version).cloned() else { return Err(w) };
                let e = c.now.saturating_add(t);
                let val = i.val.clone();
                if mine {
                    self.store(&mut s, k, Item { end: e, risen: true, ..i });
                    l1.put(k, val.clone(), e, c.version);
                }
                Ok(Found { value: val, level: 4 })
            }
        }
    }

    fn store(&self, s: &mut Shard<V>, k: &str, i: Item<V>) -> bool {
        let (o, t) = (self.opts.evict, self.opts.max_set_attempts);
        if i.val.is_some() {
            s.miss.pop(k);
            s.hits.set(k, i, o, t).0
        } else {
            s.hits.pop(k);
            s.miss.set(k, i, o, t).0
        }
    }

    /// For a waiter whose patience ended: the stale value, not raised.
    pub fn stale(&self, k: &str, c: LookupContext) -> Result<Found<V>, Soft> {
        if self.opts.stale_ttl.is_none() {
            return Err(Soft::LockWait);
        }
        let s = self.at(k);
        match s.hits.lru.peek(k).filter(|i| i.version == c.version) {
            Some(i) => Ok(Found { value: i.val.clone(), level: 4 }),
            None => Err(Soft::LockWait),
        }
    }

    /// Whether somebody still fetches this key.
    pub fn busy(&self, k: &str, now: Micros) -> bool {
        self.at(k).locks.get(k).is_some_and(|l| l.1 > now)
    }

    /// Looks without counting as a use and without promotion.
    pub fn peek(&self, k: &str, stale: bool, c: LookupContext) -> Option<Peek<V>> {
        let s = self.at(k);
        let i = s.hits.lru.peek(k).or_else(|| s.miss.lru.peek(k)).filter(|i| i.version == c.version)?;
        let left = i128::from(i.end) - i128::from(c.now);
        if left <= 0 && !stale {
            return None;
        }
        Some(Peek { left, val: i.val.clone() })
    }

    /// Sets a value; false if there was no room for it.
    pub fn set(&self, k: &str, val: Option<V>, ttl: Ttl, weight: usize, c: LookupContext) -> bool {
        let t = match (ttl, &val) {
            (Ttl::Never, _) => return true,
            (Ttl::For(t), _) => t,
            (Ttl::Usual, Some(_)) => self.opts.ttl,
            (Ttl::Usual, None) => self.opts.negative_ttl,
        };
        let i = Item { val, end: end(c.now, t), version: c.version, weight, risen: false };
        let ok = {
            let mut s = self.at(k);
            s.locks.remove(k);
            self.store(&mut s, k, i)
        };
        self.log.publish(Change::Key(k.to_owned()));
        ok
    }

    /// Forgets a key here and in each thread.
    pub fn delete(&self, k: &str) {
        {
            let mut s = self.at(k);
            s.hits.pop(k);
            s.miss.pop(k);
            s.locks.remove(k);
        }
        self.log.publish(Change::Key(k.to_owned()));
    }

    /// Forgets everything.
    pub fn purge(&self) {
        for i in 0..self.sh.len() {
            let mut s = match self.sh[i].lock() {
                Ok(g) => g,
                Err(e) => e.into_inner(),
            };
            s.hits = Zone::new(self.opts.shard_capacity);
            s.miss = Zone::new(self.opts.negative_capacity);
            s.locks.clear();
        }
        self.log.publish(Change::Purge);
    }

    /// Values and misses held.
    pub fn size(&self) -> (usize, usize) {
        self.sh.iter().fold((0, 0), |a, m| {
            let s = match m.lock() {
                Ok(g) => g,
                Err(e) => e.into_inner(),
            };
            (a.0 + s.hits.lru.len(), a.1 + s.miss.lru.len())
        })
    }
}
