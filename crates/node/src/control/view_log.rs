//! Logs which nodes and workers were added or removed between two views.

use std::collections::HashMap;
use std::sync::Arc;
use sumacvale_core::base::NodeId;
use sumacvale_core::node::View;
use sumacvale_core::protocol::WorkerReport;

/// Logs the differences between consecutive views.
#[derive(Default)]
pub(super) struct ViewLog {
    /// Whether each node was alive in the last logged view.
    nodes: HashMap<NodeId, bool>,
    /// The workers of the last logged view.
    workers: Arc<Vec<WorkerReport>>,
}

impl ViewLog {
    /// Logs how the view differs from the last logged one; returns whether the list of workers changed.
    pub(super) fn record(&mut self, view: &View) -> bool {
        self.log_nodes(view);
        let workers_changed = !Arc::ptr_eq(&self.workers, &view.workers);
        if workers_changed {
            log_workers(&self.workers, &view.workers);
        }
        self.workers = view.workers.clone();
        workers_changed
    }

    fn log_nodes(&mut self, view: &View) {
        for (peer, is_alive) in &view.nodes {
            if self.nodes.insert(peer.node_id, *is_alive) != Some(*is_alive) {
                if *is_alive {
                    tracing::info!(node = %peer.node_id, addr = %peer.addr, zone = %peer.zone, "a node is alive");
                } else {
                    tracing::warn!(node = %peer.node_id, addr = %peer.addr, "a node is no longer alive");
                }
            }
        }
        if self.nodes.len() > view.nodes.len() {
            self.nodes.retain(|node_id, _| view.nodes.iter().any(|(peer, _)| peer.node_id == *node_id));
        }
    }
}

fn log_workers(previous: &[WorkerReport], current: &[WorkerReport]) {
    let ids = |workers: &[WorkerReport]| workers.iter().map(|worker| worker.worker_id.clone()).collect::<Vec<_>>();
    let (previous, current) = (ids(previous), ids(current));
    for worker in current.iter().filter(|worker| !previous.contains(worker)) {
        tracing::info!(%worker, "a worker receives calls");
    }
    for worker in previous.iter().filter(|worker| !current.contains(worker)) {
        tracing::warn!(%worker, "a worker no longer receives calls");
    }
}
