//! Connections to workers that were used and may be used again.

use super::gate::ConnectionGate;
use super::keep_alive::{KeepAliveHints, safe_idle_time};
use super::socket::{Sender, SocketWatch};
use super::target::Target;
use crate::clock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use sumacvale_core::base::{MS, Micros, SEC};

const SHARDS: usize = 16;

/// How connections to workers are made and kept.
#[derive(Clone, Debug)]
pub struct Timeouts {
    /// How long a connection may take to stand.
    pub connect: Micros,
    /// How long one is kept where the worker tells nothing.
    pub default_idle: Micros,
    /// How long one may have been idle that takes a request which can't be repeated.
    pub non_idempotent_idle: Micros,
    /// How long a request waits for a connection when there are as many as may be.
    pub permit_wait: Micros,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts { connect: 300 * MS, default_idle: 4 * SEC, non_idempotent_idle: 600 * MS, permit_wait: 20 * MS }
    }
}

/// An idle connection.
#[derive(Debug)]
struct Kept {
    since: Micros,
    until: Micros,
    tx: Sender,
    watch: Arc<SocketWatch>,
}

/// What is known of the life at one address.
#[derive(Debug)]
struct Host {
    target: Target,
    gate: Arc<ConnectionGate>,
    /// How long this life says that it keeps idle connections.
    told: Option<Micros>,
    kept: Vec<Kept>,
}

/// Connections that were used and may be used again, by the life of a worker.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    by: [Mutex<HashMap<SocketAddr, Host>>; SHARDS],
    /// How connections are made and kept.
    pub timeouts: Timeouts,
    swept: std::sync::atomic::AtomicU64,
}

/// This node's part of the connections that a worker takes from all callers.
pub fn connection_share(all: usize, fronts: usize) -> usize {
    (all / fronts.max(1)).max(2)
}

impl UpstreamPool {
    /// Nothing is kept yet.
    pub fn new(timeouts: Timeouts) -> Self {
        UpstreamPool { timeouts, ..UpstreamPool::default() }
    }

    fn at(&self, a: &SocketAddr) -> MutexGuard<'_, HashMap<SocketAddr, Host>> {
        use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
        let n = BuildHasherDefault::<DefaultHasher>::default().hash_one(a);
        match self.by[usize::try_from(n % SHARDS as u64).unwrap_or(0)].lock() {
            Ok(g) => g,
            Err(e) => e.into_inner(),
        }
    }

    fn with<R>(&self, w: &Target, f: impl FnOnce(&mut Host) -> R) -> R {
        let mut g = self.at(&w.addr);
        let new = || Host { target: w.clone(), gate: Arc::default(), told: None, kept: Vec::new() };
        let h = g.entry(w.addr).or_insert_with(new);
        if h.target != *w {
            *h = new();
        }
        f(h)
    }

    /// How many connections this life has from here.
    pub(super) fn gate(&self, w: &Target) -> Arc<ConnectionGate> {
        self.with(w, |h| h.gate.clone())
    }

    /// The one used last that may be used now.
    pub(super) fn reuse_idle(&self, w: &Target, once: bool) -> Option<(Sender, Arc<SocketWatch>)> {
        let now = clock::now();
        self.with(w, |h| {
            let fit =
                |k: &Kept| now < k.until && !(once && now.saturating_sub(k.since) >= self.timeouts.non_idempotent_idle);
            while h.kept.last().is_some_and(fit) {
                let k = h.kept.pop()?;
                if !k.tx.is_closed() && k.watch.quiet() {
                    return Some((k.tx, k.watch));
                }
            }
            None
        })
    }

    /// Gives up the one idle longest, so that a new one may be made.
    pub(super) fn close_oldest_idle(&self, w: &Target) {
        self.with(w, |h| {
            if !h.kept.is_empty() {
                h.kept.remove(0);
            }
        });
    }

    /// Keeps a connection whose answer ended properly, unless that said that it ends.
    pub(super) fn return_idle(&self, w: &Target, t: KeepAliveHints, tx: Sender, watch: Arc<SocketWatch>) {
        let now = clock::now();
        let mut g = self.at(&w.addr);
        let Some(h) = g.get_mut(&w.addr).filter(|h| h.target == *w) else { return };
        h.told = t.idle_timeout.or(h.told);
        let gate = h.gate.clone();
        if !t.closes {
            let until = now + h.told.map_or(self.timeouts.default_idle, safe_idle_time);
            h.kept.retain(|k| now < k.until && !k.tx.is_closed());
            h.kept.push(Kept { since: now, until, tx, watch });
        }
        drop(g);
        gate.released.notify_one();
    }

    /// How many are kept and how many are open to this life.
    pub fn connection_counts(&self, w: &Target) -> (usize, usize) {
        let g = self.at(&w.addr);
        let h = g.get(&w.addr).filter(|h| h.target == *w);
        h.map_or((0, 0), |h| (h.kept.len(), h.gate.count()))
    }

    /// Closes what has been idle for too long, and forgets lives that are not `here`.
    pub fn evict_expired(&self, here: impl Fn(&str, u64) -> bool) {
        let now = clock::now();
        if now.saturating_sub(self.swept.load(Ordering::Relaxed)) < SEC / 2 {
            return;
        }
        self.swept.store(now, Ordering::Relaxed);
        for m in &self.by {
            let mut g = match m.lock() {
                Ok(g) => g,
                Err(e) => e.into_inner(),
            };
            g.retain(|_, h| {
                h.kept.retain(|k| now < k.until && !k.tx.is_closed());
                let here = here(&h.target.worker_id, h.target.incarnation);
                if !here {
                    h.kept.clear();
                }
                here || h.gate.count() > 0
            });
        }
    }
}
