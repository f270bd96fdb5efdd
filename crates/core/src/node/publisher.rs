//! The view that a node publishes to its data plane and to operators.
//!
//! Guarantees that each view is consistent in itself: it is built within one step and never changed
//! afterwards. A new view is published when the version changed, at most every [`MIN_PUBLISH_INTERVAL`] when
//! something else changed, and at least every [`MAX_PUBLISH_INTERVAL`].

use super::{Effect, Node};
use crate::base::{MS, Micros, NodeId, Version};
use crate::config::CompiledConfig;
use crate::lease::ROLE_COUNT;
use crate::protocol::{LogEntry, PeerRecord, WorkerReport};
use std::sync::Arc;

/// An immutable snapshot of a node that the data plane and operators read, replaced as a whole. All times are
/// in microseconds by the node's clock.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The newest version of the configuration that the node holds.
    pub version: Option<Version>,
    /// When a majority of the voters last confirmed that no newer version was decided.
    pub confirmed_at: Option<Micros>,
    /// The time from which on every live worker is known.
    pub workers_complete_at: Micros,
    /// The compiled configuration of `version`.
    pub config: Arc<CompiledConfig>,
    /// The log entry of `version`.
    pub entry: Option<Arc<LogEntry>>,
    /// The workers that may be sent requests.
    pub workers: Arc<Vec<WorkerReport>>,
    /// All known nodes, and whether each of them is live.
    pub nodes: Vec<(PeerRecord, bool)>,
    /// Whether the node is a voter.
    pub is_voter: bool,
    /// Whether the node may stop without loss: a majority without this node holds all that this node holds.
    pub may_stop: bool,
    /// The roles whose lease this node holds, and their epochs.
    pub held_leases: Vec<(u32, u64)>,
    /// The units that the node granted as a lease holder: tenant, window, units granted and units returned.
    pub grants: Vec<(String, u64, u64, u64)>,
    /// The pools of rates that the node lends as a lease holder: the hash of the tenant's name, the granted
    /// part of the rate in millionths, and the part that may be granted to nodes that this node does not
    /// know.
    pub share_pools: Vec<(u64, u64, u64)>,
    /// The nodes that this one subscribes to.
    pub upstreams: Vec<NodeId>,
    /// The name, value and description of each counter.
    pub counters: Vec<(&'static str, u64, &'static str)>,
}

/// The last published view, and whether the state has changed since.
#[derive(Clone, Debug, Default)]
pub(super) struct Publisher {
    /// Whether a part of the view has changed since the last publication.
    pub is_dirty: bool,
    /// When the last view was published, in microseconds.
    pub published_at: Micros,
    /// The version of the last published view.
    version: Option<Version>,
    /// The log entry of `version`.
    entry: Option<Arc<LogEntry>>,
    /// The workers of the last published view, shared by all views until they change.
    workers: Arc<Vec<WorkerReport>>,
}

impl Publisher {
    /// Returns the state after a start: no view is published yet, so one is due.
    pub fn new() -> Self {
        Publisher { is_dirty: true, ..Publisher::default() }
    }
}

/// The shortest interval between two views of the same version, in microseconds.
const MIN_PUBLISH_INTERVAL: Micros = 20 * MS;
/// The longest interval between two views, in microseconds.
const MAX_PUBLISH_INTERVAL: Micros = 100 * MS;

impl Node {
    /// Publishes a new view if the state changed, and at least every [`MAX_PUBLISH_INTERVAL`].
    pub(super) fn publish(&mut self, now: Micros) {
        let is_new_version = self.version() != self.publisher.version;
        let age = now.saturating_sub(self.publisher.published_at);
        let is_due = age >= MIN_PUBLISH_INTERVAL && self.publisher.is_dirty;
        if !is_new_version && !is_due && age < MAX_PUBLISH_INTERVAL {
            return;
        }
        self.publisher.is_dirty = false;
        self.publisher.published_at = now;
        if is_new_version {
            self.publisher.version = self.version();
            self.publisher.entry = self.consensus.state.newest().cloned().map(Arc::new);
        }
        let workers: Vec<_> = self.dissemination.workers.live_workers(now).cloned().collect();
        if *self.publisher.workers != workers {
            self.publisher.workers = Arc::new(workers);
        }
        let view = self.current_view(now);
        self.outbox.push(Effect::Publish(Arc::new(view)));
    }

    fn current_view(&self, now: Micros) -> View {
        let peers = &self.dissemination.peers;
        let with_liveness = |record: &PeerRecord| (record.clone(), peers.is_alive(record.node_id, now));
        let held_epoch = |role: u32| Some((role, self.leases.held.valid_epoch(role, now)?));
        View {
            version: self.publisher.version,
            confirmed_at: self.consensus.freshness.confirmed_at(self.version()),
            workers_complete_at: self.workers_complete_at(),
            config: self.config.clone(),
            entry: self.publisher.entry.clone(),
            workers: self.publisher.workers.clone(),
            nodes: peers.entries.values().map(|entry| with_liveness(&entry.record)).collect(),
            is_voter: self.is_voter(),
            may_stop: self.may_stop(now),
            held_leases: (0..ROLE_COUNT).filter_map(held_epoch).collect(),
            grants: self.quota.window_ledger.list(),
            share_pools: self.quota.share_pools.list(),
            upstreams: self.dissemination.workers.upstreams.keys().copied().collect(),
            counters: self.counters.list(),
        }
    }
}
