//! Applies the effects of the node, in the order in which the node returned them.

use super::ControlThread;
use crate::clock;
use crate::disk::WriteJob;
use std::sync::Arc;
use sumacvale_core::base::MS;
use sumacvale_core::node::{Effect, View};
use sumacvale_core::protocol::{Frame, encode_frame};

impl ControlThread {
    /// Applies one effect.
    pub(super) fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, frame } => self.send_frame(&to, &frame),
            Effect::Reconnect { to } => self.links.reconnect(&to),
            Effect::Write { token, writes } => {
                if let Some(jobs) = &self.disk_jobs {
                    let _ = jobs.send(WriteJob { token, writes });
                }
            }
            Effect::CompleteChange { request_id, outcome } => {
                if let Some(reply) = self.pending.changes.remove(&request_id) {
                    let _ = reply.send(outcome);
                }
            }
            Effect::AcknowledgeReport { request_id, is_accepted } => {
                if let Some(reply) = self.pending.reports.remove(&request_id) {
                    let _ = reply.send(is_accepted);
                }
            }
            Effect::WakeTenant { tenant } => {
                for wakeup in self.shared.call_state.serve_quota_queue(&tenant, clock::now()) {
                    self.shared.deliver_wakeup(wakeup);
                }
            }
            Effect::Publish(view) => self.publish(view),
        }
    }

    fn send_frame(&mut self, addr: &str, frame: &Frame) {
        match encode_frame(frame) {
            Ok(bytes) => {
                let is_cross_zone = self.is_in_other_zone(addr);
                self.links.send(addr, bytes, is_cross_zone);
            }
            Err(error) => tracing::error!(error = %error, "a frame could not be encoded and was not sent"),
        }
    }

    /// Whether the peer at `addr` is known to be in another zone than this node.
    fn is_in_other_zone(&self, addr: &str) -> bool {
        let own_zone = &self.node.settings.zone;
        let mut peers = self.node.dissemination.peers.entries.values();
        peers.any(|peer| peer.record.addr == addr && peer.record.zone != *own_zone)
    }

    /// Publishes a view: calls are served by it from now on.
    fn publish(&mut self, view: Arc<View>) {
        let previous_version = *self.receivers.published_version.borrow();
        let version = view.version;
        let workers_changed = self.view_log.record(&view);
        self.shared.call_state.retry_budget.set_node_count(view.nodes.len());
        self.shared.view.store(view);
        if previous_version != version {
            tracing::info!(version = version, "a configuration version is in force");
            let _ = self.receivers.published_version.send(version);
        }
        if workers_changed {
            for pool in self.node.config.pools.keys() {
                self.shared.call_state.caches.routes.delete(pool);
            }
            self.shared.expire_waiters();
        }
    }

    /// Logs once a second, while calls are rejected, their number by reason and the state of the view.
    pub(super) fn log_rejections(&mut self) {
        let now = clock::now();
        let Some(counts) = self.rejection_log.poll_line(&self.shared.call_state.rejections, now) else { return };
        let view = self.shared.view.load();
        let stamp_age_ms = view.confirmed_at.map(|confirmed_at| now.saturating_sub(confirmed_at) / MS);
        let (workers, version) = (view.workers.len(), view.version);
        tracing::warn!(%counts, ?version, ?stamp_age_ms, workers, "calls were rejected");
    }

    /// Logs once a second, while calls are retried, the attempts of each pool.
    pub(super) fn log_retries(&mut self) {
        if let Some(counts) = self.retry_log.poll_line(&self.shared.call_state.attempt_counters, clock::now()) {
            tracing::info!(%counts, "calls were retried");
        }
    }
}
