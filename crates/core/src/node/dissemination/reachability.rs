//! Reachability: whether reports to this node reach the other nodes, and when a missing report proves a
//! failure.
//!
//! While no core is in contact, missing reports of workers prove nothing: reports of workers that report to
//! cores only cannot be received then. After a start this node does not know all workers. It counts as
//! complete once every live worker had time to report, or once its upstreams are complete.

use super::contact::QUORUM_TIMEOUT;
use crate::base::{MS, Micros};
use crate::node::Node;
use crate::protocol::PeerRecord;
use crate::workers::REPORT_TIMEOUT;

/// The age of the last confirmation above which the cores count as out of contact, in microseconds.
const CORE_CONTACT_TIMEOUT: Micros = 1_500 * MS;
/// The time by which a report may exceed its interval, in microseconds.
const REPORT_SLACK: Micros = 300 * MS;

impl Node {
    /// Returns whether a report that this node received at `since` reaches the nodes that must know it; none
    /// while the voters' replies are pending.
    pub(in crate::node) fn reaches_others(&self, since: Micros, now: Micros) -> Option<bool> {
        if self.is_voter() {
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

    /// Returns whether no core was in contact yet although another core is live. Reports received until then
    /// are passed on at the first contact.
    fn is_before_first_contact(&self, now: Micros) -> bool {
        let is_other_core = |record: &PeerRecord| record.is_core && record.node_id != self.settings.node_id;
        self.dissemination.workers.core_contact_at == 0 && self.dissemination.peers.live(now).any(is_other_core)
    }

    /// Returns whether the cores were in contact recently.
    pub(in crate::node) fn is_core_in_contact(&self, now: Micros) -> bool {
        let core_contact_at = self.dissemination.workers.core_contact_at;
        now.saturating_sub(core_contact_at) <= CORE_CONTACT_TIMEOUT && core_contact_at > 0
    }

    /// Records contact with the cores. While no core is in contact, no node receives the reports of workers
    /// that report to cores only, so the workers' time-outs do not run during that time.
    pub(in crate::node) fn tick_core_contact(&mut self, now: Micros) {
        let confirmed_at = self.consensus.freshness.confirmed_at(self.version()).unwrap_or(0);
        let workers = &mut self.dissemination.workers;
        if workers.core_contact_at == 0 && confirmed_at > 0 {
            workers.first_core_contact_at = now;
        }
        workers.core_contact_at = workers.core_contact_at.max(confirmed_at);
        let core_contact_at = workers.core_contact_at;
        if self.settings.workers_report_to_cores_only && core_contact_at > 0 && !self.is_core_in_contact(now) {
            self.dissemination.workers.record_unreachable(core_contact_at, now);
        }
    }

    /// Returns the time from which on this node knows every live worker, in microseconds.
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

    /// Marks this node as complete if, for every pool, one of the pool's home nodes is complete.
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
