//! Pool of idle connections to workers.

use super::gate::ConnectionGate;
use super::keep_alive::{KeepAliveHints, safe_idle_time};
use super::socket::{Sender, SocketMonitor};
use super::target::Target;
use crate::clock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use sumacvale_core::base::{MS, Micros, SEC};

/// The number of locks among which the addresses are divided.
const SHARDS: usize = 16;

/// The time-outs of connections to workers, in microseconds.
#[derive(Clone, Debug)]
pub struct Timeouts {
    /// How long a connect may take.
    pub connect: Micros,
    /// How long an idle connection is kept if the worker announces no time-out.
    pub default_idle: Micros,
    /// How long a connection may have been idle that is reused for a request which can't be repeated.
    pub non_idempotent_idle: Micros,
    /// How long a request waits for a permit while the connection limit is reached.
    pub permit_wait: Micros,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts { connect: 300 * MS, default_idle: 4 * SEC, non_idempotent_idle: 600 * MS, permit_wait: 20 * MS }
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    /// The time at which the connection became idle.
    idle_since: Micros,
    /// The time from which the connection is not reused.
    expires_at: Micros,
    sender: Sender,
    monitor: Arc<SocketMonitor>,
}

/// The connections to the incarnation of a worker at one address.
#[derive(Debug)]
struct Upstream {
    target: Target,
    gate: Arc<ConnectionGate>,
    /// How long this incarnation last announced that it keeps idle connections open.
    idle_timeout: Option<Micros>,
    /// In the order in which they became idle.
    idle: Vec<IdleConnection>,
}

/// Idle connections by the address of a worker. An address serves one incarnation at a time: a request for another
/// incarnation discards the idle connections of the one before.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    shards: [Mutex<HashMap<SocketAddr, Upstream>>; SHARDS],
    /// The time-outs of connections.
    pub timeouts: Timeouts,
    /// The time of the last eviction, in microseconds of the clock.
    evicted_at: std::sync::atomic::AtomicU64,
}

/// Returns this node's share of a worker's connection limit, divided evenly among `fronts` nodes; at least 2.
pub fn connection_share(worker_limit: usize, fronts: usize) -> usize {
    (worker_limit / fronts.max(1)).max(2)
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(timeouts: Timeouts) -> Self {
        UpstreamPool { timeouts, ..UpstreamPool::default() }
    }

    /// Locks the shard of an address.
    fn lock_shard(&self, addr: &SocketAddr) -> MutexGuard<'_, HashMap<SocketAddr, Upstream>> {
        use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(addr);
        match self.shards[usize::try_from(hash % SHARDS as u64).unwrap_or(0)].lock() {
            Ok(guard) => guard,
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Runs `action` on the connections to `target`. Discards those to another incarnation at its address.
    fn with_upstream<R>(&self, target: &Target, action: impl FnOnce(&mut Upstream) -> R) -> R {
        let mut shard = self.lock_shard(&target.addr);
        let new = || Upstream { target: target.clone(), gate: Arc::default(), idle_timeout: None, idle: Vec::new() };
        let upstream = shard.entry(target.addr).or_insert_with(new);
        if upstream.target != *target {
            *upstream = new();
        }
        action(upstream)
    }

    /// Returns the gate that limits the connections to `target`.
    pub(super) fn gate(&self, target: &Target) -> Arc<ConnectionGate> {
        self.with_upstream(target, |upstream| upstream.gate.clone())
    }

    /// Removes and returns the most recently used idle connection that is reusable.
    pub(super) fn reuse_idle(&self, target: &Target, is_non_idempotent: bool) -> Option<(Sender, Arc<SocketMonitor>)> {
        let now = clock::now();
        self.with_upstream(target, |upstream| {
            let is_fresh = |idle: &IdleConnection| {
                now < idle.expires_at
                    && !(is_non_idempotent && now.saturating_sub(idle.idle_since) >= self.timeouts.non_idempotent_idle)
            };
            while upstream.idle.last().is_some_and(is_fresh) {
                let connection = upstream.idle.pop()?;
                if !connection.sender.is_closed() && connection.monitor.is_reusable() {
                    return Some((connection.sender, connection.monitor));
                }
            }
            None
        })
    }

    /// Closes the connection that has been idle longest, which frees a permit for a new one.
    pub(super) fn close_oldest_idle(&self, target: &Target) {
        self.with_upstream(target, |upstream| {
            if !upstream.idle.is_empty() {
                upstream.idle.remove(0);
            }
        });
    }

    /// Keeps a connection whose response has ended properly, unless the response announced its close.
    pub(super) fn return_idle(
        &self,
        target: &Target,
        hints: KeepAliveHints,
        sender: Sender,
        monitor: Arc<SocketMonitor>,
    ) {
        let now = clock::now();
        let mut shard = self.lock_shard(&target.addr);
        let Some(upstream) = shard.get_mut(&target.addr).filter(|upstream| upstream.target == *target) else { return };
        upstream.idle_timeout = hints.idle_timeout.or(upstream.idle_timeout);
        let gate = upstream.gate.clone();
        if !hints.closes {
            let expires_at = now + upstream.idle_timeout.map_or(self.timeouts.default_idle, safe_idle_time);
            upstream.idle.retain(|idle| now < idle.expires_at && !idle.sender.is_closed());
            upstream.idle.push(IdleConnection { idle_since: now, expires_at, sender, monitor });
        }
        drop(shard);
        gate.released.notify_one();
    }

    /// Returns the number of idle connections to `target`, and the number of all connections to it.
    pub fn connection_counts(&self, target: &Target) -> (usize, usize) {
        let shard = self.lock_shard(&target.addr);
        let upstream = shard.get(&target.addr).filter(|upstream| upstream.target == *target);
        upstream.map_or((0, 0), |upstream| (upstream.idle.len(), upstream.gate.count()))
    }

    /// Closes idle connections that have expired, and all of incarnations that are not `is_present`. Runs at most
    /// every 500 ms.
    pub fn evict_expired(&self, is_present: impl Fn(&str, u64) -> bool) {
        let now = clock::now();
        if now.saturating_sub(self.evicted_at.load(Ordering::Relaxed)) < SEC / 2 {
            return;
        }
        self.evicted_at.store(now, Ordering::Relaxed);
        for shard in &self.shards {
            let mut upstreams = match shard.lock() {
                Ok(guard) => guard,
                Err(poisoned) => poisoned.into_inner(),
            };
            upstreams.retain(|_, upstream| {
                upstream.idle.retain(|idle| now < idle.expires_at && !idle.sender.is_closed());
                let is_present = is_present(&upstream.target.worker_id, upstream.target.incarnation);
                if !is_present {
                    upstream.idle.clear();
                }
                is_present || upstream.gate.count() > 0
            });
        }
    }
}
