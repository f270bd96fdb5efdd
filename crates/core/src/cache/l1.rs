//! The first layer: what one thread holds, an LRU of a hundred items.

use super::events::{Change, Log};
use super::opts::{CacheOptions, LookupContext};
use crate::base::{Micros, Version};
use lru::LruCache;
use std::num::NonZeroUsize;

#[derive(Clone, Debug)]
struct Item<V> {
    val: Option<V>,
    end: Micros,
    version: Version,
}

/// What one thread holds; nobody else touches it.
#[derive(Debug)]
pub struct L1<V> {
    lru: LruCache<String, Item<V>>,
    seen: u64,
    update: Micros,
}

impl<V: Clone> L1<V> {
    /// An empty layer of `lru` items.
    pub fn new(o: &CacheOptions) -> Self {
        let n = NonZeroUsize::new(o.l1_entries).unwrap_or(NonZeroUsize::MIN);
        L1 { lru: LruCache::new(n), seen: 0, update: o.update }
    }

    /// Applies what happened here since the last lookup. False if time ran out;
    /// the rest is applied before the next one.
    pub fn update(&mut self, log: &Log, clock: impl Fn() -> Micros) -> bool {
        if log.top() == self.seen {
            return true;
        }
        let until = clock().saturating_add(self.update);
        loop {
            let Some(es) = log.after(self.seen, 64) else {
                let top = log.top();
                self.lru.clear();
                self.seen = top;
                return true;
            };
            if es.is_empty() {
                return true;
            }
            for (n, c) in es {
                match c {
                    Change::Key(k) => {
                        self.lru.pop(&k);
                    }
                    Change::Purge => self.lru.clear(),
                }
                self.seen = n;
            }
            if clock() >= until {
                return log.top() == self.seen;
            }
        }
    }

    /// The value, or the knowledge that there is none; nothing of another version.
    pub fn get(&mut self, k: &str, c: LookupContext) -> Option<Option<V>> {
        let i = self.lru.get(k)?;
        if i.end <= c.now || i.version != c.version {
            self.lru.pop(k);
            return None;
        }
        Some(i.val.clone())
    }

    /// Keeps a value until `end`, for one version.
    pub fn put(&mut self, k: &str, val: Option<V>, end: Micros, version: Version) {
        self.lru.put(k.to_owned(), Item { val, end, version });
    }

    /// How many items are held.
    pub fn len(&self) -> usize {
        self.lru.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.lru.is_empty()
    }
}
