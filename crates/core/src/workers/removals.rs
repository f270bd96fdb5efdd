//! Workers that drain or left, tracked until every live node knows.
//!
//! A removal is acknowledged once a majority of the voters knows it and either all live nodes do or
//! [`ALL_NODES_TIMEOUT`] has passed; after [`REMOVAL_TIMEOUT`] it is rejected, and the worker is to report to
//! another core.

use crate::base::{MS, Micros, NodeId, SEC};
use crate::protocol::RemovalKey;
use std::collections::{BTreeMap, BTreeSet};

/// How long a removal waits for all live nodes, in microseconds; after that a majority is enough.
pub const ALL_NODES_TIMEOUT: Micros = 600 * MS;
/// When the request of a removal that no majority knows is rejected, in microseconds.
pub const REMOVAL_TIMEOUT: Micros = 850 * MS;
/// How long a core that received a removal waits for the first core to spread it, in microseconds.
pub const TAKE_OVER_AFTER: Micros = 300 * MS;
/// How often a removal is sent again to nodes that have not acknowledged it, in microseconds.
pub const RESEND_INTERVAL: Micros = 150 * MS;
/// How long a removal is kept that not all live nodes have acknowledged.
const KEEP: Micros = 10 * SEC;

/// A request of a worker that waits to be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The request.
    pub request_id: u64,
    /// When it was received, in microseconds by this node's clock.
    pub received_at: Micros,
}

/// One worker's removal on its way to every live node.
#[derive(Clone, Debug)]
pub struct Removal {
    /// Which incarnation drains or left.
    pub key: RemovalKey,
    /// When it became known here, in microseconds.
    pub started_at: Micros,
    /// When it is sent next to those that have not acknowledged it, in microseconds.
    pub send_due: Micros,
    /// The other nodes that know it.
    pub known_by: BTreeSet<NodeId>,
    /// The requests that reported it and wait to be acknowledged.
    pub waiting_requests: Vec<WaitingRequest>,
}

impl Removal {
    fn new(key: RemovalKey, send_due: Micros, now: Micros) -> Self {
        Removal { key, started_at: now, send_due, known_by: BTreeSet::new(), waiting_requests: Vec::new() }
    }

    /// Starts anew with a key that supersedes this one. Requests go on waiting.
    fn supersede(&mut self, key: RemovalKey, send_due: Micros, now: Micros) {
        self.key = key;
        self.started_at = now;
        self.send_due = send_due;
        self.known_by.clear();
    }
}

/// The removals that some live node may not know yet, by worker.
#[derive(Clone, Debug, Default)]
pub struct Removals(pub(crate) BTreeMap<String, Removal>);

impl Removals {
    /// Starts to spread a removal, or continues if it is spread already; none if a newer one of that
    /// worker is spread.
    pub fn start(&mut self, key: &RemovalKey, send_due: Micros, now: Micros) -> Option<&mut Removal> {
        let removal = self.0.entry(key.worker_id.clone()).or_insert_with(|| Removal::new(key.clone(), send_due, now));
        if &removal.key > key {
            return None;
        }
        if &removal.key < key {
            removal.supersede(key.clone(), send_due, now);
        }
        removal.send_due = removal.send_due.min(send_due);
        Some(removal)
    }

    /// The removal of exactly this incarnation, if it is being spread.
    pub fn get(&mut self, key: &RemovalKey) -> Option<&mut Removal> {
        self.0.get_mut(&key.worker_id).filter(|removal| removal.key == *key)
    }

    /// Stops to spread whatever removal of a worker is spread.
    pub fn remove(&mut self, worker_id: &str) {
        self.0.remove(worker_id);
    }

    /// Whether no removal is being spread.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Since when each request waits, in microseconds.
    pub fn waiting_since(&self) -> impl Iterator<Item = Micros> {
        self.0.values().flat_map(|removal| removal.waiting_requests.iter().map(|request| request.received_at))
    }

    /// Forgets old removals that no request waits for.
    pub fn expire(&mut self, now: Micros) {
        self.0
            .retain(|_, removal| !removal.waiting_requests.is_empty() || now.saturating_sub(removal.started_at) < KEEP);
    }
}
