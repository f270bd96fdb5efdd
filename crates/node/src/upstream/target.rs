//! The worker that a connection leads to.

use std::net::SocketAddr;

/// One incarnation of a worker at its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the worker.
    pub addr: SocketAddr,
    /// Id of the worker.
    pub worker_id: String,
    /// Incarnation of the worker; a connection to an earlier incarnation is never reused.
    pub incarnation: u64,
}
