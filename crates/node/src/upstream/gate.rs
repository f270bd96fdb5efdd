//! The count of connections to one incarnation of a worker.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// How many connections one incarnation has from this node, also those being made.
#[derive(Debug, Default)]
pub struct ConnectionGate {
    open: AtomicUsize,
    /// Notified when a connection closes or becomes idle.
    pub released: Notify,
}

/// One connection of a gate, until it is dropped.
#[derive(Debug)]
#[must_use]
pub struct ConnectionPermit(Arc<ConnectionGate>);

impl ConnectionGate {
    /// How many connections there are, also those being made.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// A permit for one more connection, unless there are `max_connections`.
    pub fn try_acquire(self: &Arc<Self>, max_connections: usize) -> Option<ConnectionPermit> {
        let increment = |open: usize| (open < max_connections).then_some(open + 1);
        self.open.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).ok()?;
        Some(ConnectionPermit(self.clone()))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.released.notify_one();
    }
}
