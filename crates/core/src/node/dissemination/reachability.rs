//! Whether what is said at this node reaches the others, and what may be concluded from silence.

use super::contact::QUORUM_TIMEOUT;
use crate::base::{MS, Micros};
use crate::node::Node;
use crate::protocol::PeerRecord;
use crate::workers::REPORT_TIMEOUT;

/// Freshness older than this means that the cores were out of reach.
const TOUCH: Micros = 1_500 * MS;
const SLACK: Micros = 300 * MS;

impl Node {
    /// Whether what a worker said here since then reaches those who must know; none while the
    /// voters' answers are still waited for.
    pub(in crate::node) fn reaches_others(&self, since: Micros, now: Micros) -> Option<bool> {
        if self.voter() {
            return match self.is_majority_reached(now) {
                true => Some(true),
                false => (self.is_majority_lost(now) || self.should_redirect(since, now)).then_some(false),
            };
        }
        let other = |p: &PeerRecord| p.is_core && p.node_id != self.settings.node_id;
        // Who has met no voter yet passes on what it hears once it has.
        let beginning =
            self.dissemination.workers.core_contact_at == 0 && self.dissemination.peers.live(now).any(other);
        if self.is_core_in_contact(now) || beginning || self.is_majority_reached(now) {
            return Some(true);
        }
        (now.saturating_sub(since) >= QUORUM_TIMEOUT).then_some(false)
    }

    pub(in crate::node) fn is_core_in_contact(&self, now: Micros) -> bool {
        now.saturating_sub(self.dissemination.workers.core_contact_at) <= TOUCH
            && self.dissemination.workers.core_contact_at > 0
    }

    /// While no core is in touch nobody hears workers that report to cores only, so
    /// that time is none of their silence.
    pub(in crate::node) fn tick_core_contact(&mut self, now: Micros) {
        let at = self.consensus.freshness.confirmed_at(self.version()).unwrap_or(0);
        if self.dissemination.workers.core_contact_at == 0 && at > 0 {
            self.dissemination.workers.first_core_contact_at = now;
        }
        self.dissemination.workers.core_contact_at = self.dissemination.workers.core_contact_at.max(at);
        if self.settings.reports_to_cores_only
            && self.dissemination.workers.core_contact_at > 0
            && !self.is_core_in_contact(now)
        {
            self.dissemination.workers.record_unreachable(self.dissemination.workers.core_contact_at, now);
        }
    }

    /// From when on every worker that lives was heard of.
    pub(in crate::node) fn workers_complete_at(&self) -> Micros {
        let late = self.clock.started_at + self.dissemination.workers.report_timeout();
        let by = if self.dissemination.workers.first_core_contact_at > 0 {
            self.dissemination.workers.first_core_contact_at + self.settings.report_interval + SLACK
        } else {
            late
        };
        let alone = by.max(self.clock.started_at + REPORT_TIMEOUT).min(late);
        self.dissemination.workers.complete_at.unwrap_or(alone).min(alone)
    }

    /// Homes that know all workers of their services make this node know them too.
    pub(in crate::node) fn update_completeness(&mut self, now: Micros) {
        if now >= self.workers_complete_at() || self.config.pools.is_empty() {
            return;
        }
        let all = self.config.pools.keys().all(|s| {
            let hs = self.dissemination.peers.home_nodes(s, &self.settings.zone, now);
            hs.iter().any(|h| self.dissemination.workers.upstreams.get(h).is_some_and(|u| u.is_complete))
        });
        if all {
            self.dissemination.workers.complete_at = Some(now);
            self.publisher.is_dirty = true;
        }
    }
}
