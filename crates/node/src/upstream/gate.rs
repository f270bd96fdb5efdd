//! The count of connections to one life of a worker.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// How many connections one life has from here, also those being made.
#[derive(Debug, Default)]
pub struct ConnectionGate {
    open: AtomicUsize,
    /// Rung when one closes or comes free.
    pub room: Notify,
}

/// One of a gate's connections, until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit(Arc<ConnectionGate>);

impl ConnectionGate {
    /// How many there are, also those being made.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// One more, unless there are `cap`.
    pub fn enter(self: &Arc<Self>, cap: usize) -> Option<ConnectionPermit> {
        let more = |n: usize| (n < cap).then_some(n + 1);
        self.open.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).ok()?;
        Some(ConnectionPermit(self.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.room.notify_one();
    }
}
