//! Whether what is reported to this node reaches the others, and what may be concluded from silence.
//!
//! While no core is in contact, silence of workers proves nothing: those that report to cores only cannot be
//! received then. After a start this node does not know all workers; it counts as complete once every live
//! worker had time to report, or once its upstreams are complete.

use super::contact::QUORUM_TIMEOUT;
use crate::base::{MS, Micros};
use crate::node::Node;
use crate::protocol::PeerRecord;
use crate::workers::REPORT_TIMEOUT;

/// Freshness older than this means that the cores were out of contact.
const CORE_CONTACT_TIMEOUT: Micros = 1_500 * MS;
/// How much later than its interval a report may come.
const REPORT_SLACK: Micros = 300 * MS;

impl Node {
    /// Whether what a worker reported here at `since` reaches the nodes that must know; none while the
    /// voters' replies are still awaited.
    pub(in crate::node) fn reaches_others(&self, since: Micros, now: Micros) -> Option<bool> {
        if self.voter() {
            return match self.is_majority_reached(now) {
                true => Some(true),
                false => (self.is_majority_lost(now) || self.should_redirect(since, now)).then_some(false),
            };
        }
        if self.is_core_in_contact(now) || self.is_before_first_contact(now) || self.is_majority_reached(now) {
            return Some(true);
        }
        (now.saturating_sub(since) >= QUORUM_TIMEOUT).then_some(false)
    }

    /// Whether no core was in contact yet though another one is live: what is reported until then is passed
    /// on at the first contact.
    fn is_before_first_contact(&self, now: Micros) -> bool {
        let is_other_core = |record: &PeerRecord| record.is_core && record.node_id != self.settings.node_id;
        self.dissemination.workers.core_contact_at == 0 && self.dissemination.peers.live(now).any(is_other_core)
    }

    /// Whether the cores were in contact lately.
    pub(in crate::node) fn is_core_in_contact(&self, now: Micros) -> bool {
        let core_contact_at = self.dissemination.workers.core_contact_at;
        now.saturating_sub(core_contact_at) <= CORE_CONTACT_TIMEOUT && core_contact_at > 0
    }

    /// Notes contact with the cores. While none is in contact no node receives reports of workers that
    /// report to cores only, so that time does not count as their silence.
    pub(in crate::node) fn tick_core_contact(&mut self, now: Micros) {
        let confirmed_at = self.consensus.freshness.confirmed_at(self.version()).unwrap_or(0);
        let workers = &mut self.dissemination.workers;
        if workers.core_contact_at == 0 && confirmed_at > 0 {
            workers.first_core_contact_at = now;
        }
        workers.core_contact_at = workers.core_contact_at.max(confirmed_at);
        let core_contact_at = workers.core_contact_at;
        if self.settings.reports_to_cores_only && core_contact_at > 0 && !self.is_core_in_contact(now) {
            self.dissemination.workers.record_unreachable(core_contact_at, now);
        }
    }

    /// From when on this node knows every live worker, in microseconds.
    pub(in crate::node) fn workers_complete_at(&self) -> Micros {
        let workers = &self.dissemination.workers;
        let latest = self.clock.started_at + workers.report_timeout();
        let after_contact = if workers.first_core_contact_at > 0 {
            workers.first_core_contact_at + self.settings.report_interval + REPORT_SLACK
        } else {
            latest
        };
        let by_reports = after_contact.max(self.clock.started_at + REPORT_TIMEOUT).min(latest);
        workers.complete_at.unwrap_or(by_reports).min(by_reports)
    }

    /// Counts this node as complete if, for every pool, one of its home nodes is.
    pub(in crate::node) fn update_completeness(&mut self, now: Micros) {
        if now >= self.workers_complete_at() || self.config.pools.is_empty() {
            return;
        }
        let upstreams = &self.dissemination.workers.upstreams;
        let is_pool_complete = |pool: &String| {
            let home_nodes = self.dissemination.peers.home_nodes(pool, &self.settings.zone, now);
            home_nodes.iter().any(|home| upstreams.get(home).is_some_and(|upstream| upstream.is_complete))
        };
        if self.config.pools.keys().all(is_pool_complete) {
            self.dissemination.workers.complete_at = Some(now);
            self.publisher.is_dirty = true;
        }
    }
}
