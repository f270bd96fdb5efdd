//! Limits of connections, which a change of the settings may move.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use sumacvale_core::base::{MS, Micros, SEC};

/// What connections may ask of this node. A new version of the configuration may change it;
/// what is read next goes by the new values.
#[derive(Debug)]
pub struct ConnectionLimits {
    head_bytes: AtomicUsize,
    head_wait: AtomicU64,
    idle: AtomicU64,
    worker_conns: AtomicUsize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        ConnectionLimits {
            head_bytes: (32 << 10).into(),
            head_wait: (15 * SEC).into(),
            idle: (60 * SEC).into(),
            worker_conns: 0.into(),
        }
    }
}

impl ConnectionLimits {
    /// The most bytes of a head; under 8 KiB counts as that.
    pub fn set_max_header_bytes(&self, n: usize) {
        self.head_bytes.store(n.max(8 << 10), Ordering::Relaxed);
    }

    /// How long a head may take from its first byte.
    pub fn set_header_timeout(&self, t: Micros) {
        self.head_wait.store(t.max(MS), Ordering::Relaxed);
    }

    /// How long a connection may be without a request.
    pub fn set_idle_timeout(&self, t: Micros) {
        self.idle.store(t.max(MS), Ordering::Relaxed);
    }

    /// How many connections this node may have to one worker; nought is any number.
    pub fn set_max_worker_connections(&self, n: usize) {
        self.worker_conns.store(n, Ordering::Relaxed);
    }

    /// The most bytes of a request's head.
    pub fn max_header_bytes(&self) -> usize {
        self.head_bytes.load(Ordering::Relaxed)
    }

    /// How long a head may take.
    pub fn header_timeout(&self) -> Micros {
        self.head_wait.load(Ordering::Relaxed)
    }

    /// How long a connection may be idle.
    pub fn idle_timeout(&self) -> Micros {
        self.idle.load(Ordering::Relaxed)
    }

    /// The most connections to one worker.
    pub fn max_worker_connections(&self) -> usize {
        self.worker_conns.load(Ordering::Relaxed)
    }
}
