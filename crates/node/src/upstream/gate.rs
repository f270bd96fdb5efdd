//! Limits the number of connections to one incarnation of a worker.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Counts the connections of this node to one incarnation of a worker, including those being established.
#[derive(Debug, Default)]
pub struct ConnectionGate {
    /// The number of [`ConnectionPermit`]s that are not dropped.
    open: AtomicUsize,
    /// Notified when a connection closes or becomes idle.
    pub released: Notify,
}

/// The permission for one connection; dropping it releases the permission.
#[derive(Debug)]
#[must_use]
pub struct ConnectionPermit(Arc<ConnectionGate>);

impl ConnectionGate {
    /// The number of connections, including those being established.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns a permit for one more connection, unless there are `max_connections`.
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
