//! Removals of workers that drain or have left, tracked until every live node knows them.
//!
//! A removal is acknowledged once a majority of the voters has it on disk and either all live nodes know it or
//! [`ALL_NODES_TIMEOUT`] has passed. After [`REMOVAL_TIMEOUT`] the request is rejected, and the worker must report
//! to another core.

use super::table::ENTRY_RETENTION;
use crate::base::{MS, Micros, NodeId};
use crate::protocol::RemovalKey;
use std::collections::{BTreeMap, BTreeSet};

/// The longest time that a removal waits for all live nodes, in microseconds; then a majority is enough.
pub const ALL_NODES_TIMEOUT: Micros = 600 * MS;
/// The time after which the request of a removal that no majority knows is rejected, in microseconds.
pub const REMOVAL_TIMEOUT: Micros = 850 * MS;
/// The time that another core waits for the first core to disseminate a removal, in microseconds.
pub const REMOVAL_TAKEOVER_DELAY: Micros = 300 * MS;
/// The interval at which a removal is sent again to nodes that have not acknowledged it, in microseconds.
pub const RESEND_INTERVAL: Micros = 150 * MS;

/// A worker's request that waits to be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The number of the request.
    pub request_id: u64,
    /// When the request was received, in microseconds by this node's clock.
    pub received_at: Micros,
}

/// One worker's removal, which is being disseminated to every live node.
#[derive(Clone, Debug)]
pub struct Removal {
    /// The incarnation that drains or has left.
    pub key: RemovalKey,
    /// When this node learned of the removal, in microseconds.
    pub started_at: Micros,
    /// When the removal is next sent to the nodes that have not acknowledged it, in microseconds.
    pub next_send_at: Micros,
    /// The nodes that know the removal; a core counts once the removal is on its disk.
    pub known_by: BTreeSet<NodeId>,
    /// The requests that reported the removal and wait to be acknowledged.
    pub waiting_requests: Vec<WaitingRequest>,
}

impl Removal {
    fn new(key: RemovalKey, next_send_at: Micros, now: Micros) -> Self {
        Removal { key, started_at: now, next_send_at, known_by: BTreeSet::new(), waiting_requests: Vec::new() }
    }

    /// Restarts with a newer key that supersedes this one. Pending requests stay pending.
    fn supersede(&mut self, key: RemovalKey, next_send_at: Micros, now: Micros) {
        self.key = key;
        self.started_at = now;
        self.next_send_at = next_send_at;
        self.known_by.clear();
    }
}

/// The removals that some live node may not know yet, by worker id.
#[derive(Clone, Debug, Default)]
pub struct Removals(pub(crate) BTreeMap<String, Removal>);

impl Removals {
    /// Starts to disseminate a removal, or continues if that is in progress. Returns `None` if a newer removal of
    /// the worker is being disseminated.
    pub fn start(&mut self, key: &RemovalKey, next_send_at: Micros, now: Micros) -> Option<&mut Removal> {
        let removal =
            self.0.entry(key.worker_id.clone()).or_insert_with(|| Removal::new(key.clone(), next_send_at, now));
        if &removal.key > key {
            return None;
        }
        if &removal.key < key {
            removal.supersede(key.clone(), next_send_at, now);
        }
        removal.next_send_at = removal.next_send_at.min(next_send_at);
        Some(removal)
    }

    /// Returns the removal with exactly this key, if it is being disseminated.
    pub fn get(&mut self, key: &RemovalKey) -> Option<&mut Removal> {
        self.0.get_mut(&key.worker_id).filter(|removal| removal.key == *key)
    }

    /// Stops disseminating any removal of a worker, and returns it.
    pub fn take(&mut self, worker_id: &str) -> Option<Removal> {
        self.0.remove(worker_id)
    }

    /// Returns whether no removal is being disseminated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns when each pending request was received, in microseconds.
    pub fn waiting_since(&self) -> impl Iterator<Item = Micros> {
        self.0.values().flat_map(|removal| removal.waiting_requests.iter().map(|request| request.received_at))
    }

    /// Drops removals without pending requests once no node may have an older report of their workers: a live node that
    /// the cores do not reach may return as late as that.
    pub fn expire(&mut self, now: Micros) {
        self.0.retain(|_, removal| {
            !removal.waiting_requests.is_empty() || now.saturating_sub(removal.started_at) < ENTRY_RETENTION
        });
    }
}
