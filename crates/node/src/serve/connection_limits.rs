//! Limits of connections, which a new version of the configuration may change.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use sumacvale_core::base::{MS, Micros, SEC};

/// Limits of connections from clients and to workers. A changed limit applies from its next read.
#[derive(Debug)]
pub struct ConnectionLimits {
    max_header_bytes: AtomicUsize,
    /// In microseconds.
    header_timeout: AtomicU64,
    /// In microseconds.
    idle_timeout: AtomicU64,
    /// 0 for no limit.
    max_worker_connections: AtomicUsize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        ConnectionLimits {
            max_header_bytes: (32 << 10).into(),
            header_timeout: (15 * SEC).into(),
            idle_timeout: (60 * SEC).into(),
            max_worker_connections: 0.into(),
        }
    }
}

impl ConnectionLimits {
    /// Sets the maximum number of bytes of a request's head, raised to at least 8 KiB.
    pub fn set_max_header_bytes(&self, bytes: usize) {
        self.max_header_bytes.store(bytes.max(8 << 10), Ordering::Relaxed);
    }

    /// Sets how long the head of a request may take from its first byte.
    pub fn set_header_timeout(&self, timeout: Micros) {
        self.header_timeout.store(timeout.max(MS), Ordering::Relaxed);
    }

    /// Sets how long a connection may have no request.
    pub fn set_idle_timeout(&self, timeout: Micros) {
        self.idle_timeout.store(timeout.max(MS), Ordering::Relaxed);
    }

    /// Sets the maximum number of connections from this node to one worker; 0 for no limit.
    pub fn set_max_worker_connections(&self, connections: usize) {
        self.max_worker_connections.store(connections, Ordering::Relaxed);
    }

    /// The maximum number of bytes of a request's head.
    pub fn max_header_bytes(&self) -> usize {
        self.max_header_bytes.load(Ordering::Relaxed)
    }

    /// How long the head of a request may take.
    pub fn header_timeout(&self) -> Micros {
        self.header_timeout.load(Ordering::Relaxed)
    }

    /// How long a connection may be idle.
    pub fn idle_timeout(&self) -> Micros {
        self.idle_timeout.load(Ordering::Relaxed)
    }

    /// The maximum number of connections from this node to one worker; 0 for no limit.
    pub fn max_worker_connections(&self) -> usize {
        self.max_worker_connections.load(Ordering::Relaxed)
    }
}
