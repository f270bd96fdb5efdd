//! What workers report, and how it reaches the homes of their services.

use crate::base::{Incarnation, MS, Micros, NodeId};
use crate::node::Node;
use crate::protocol::{DisseminationMessage, Message, UNNUMBERED_INCARNATION, WorkerReport};
use crate::workers::MergeOutcome;
use crate::workers::removals::TAKE_OVER_AFTER;
use std::collections::BTreeMap;

const WAKING: Micros = 300 * MS;

impl Node {
    /// A worker reported to this node. False if that is older than what is known of it, and so
    /// doesn't count.
    pub(in crate::node) fn on_report(&mut self, r: &WorkerReport, now: Micros) -> bool {
        let mut r = r.clone();
        if r.incarnation == UNNUMBERED_INCARNATION {
            r.incarnation = self.dissemination.workers.resolve_incarnation(&r, now);
        }
        let known = self.is_known_removal(&r);
        if !self.apply_report(&r, now, now) {
            return known || self.dissemination.workers.is_current(&r);
        }
        self.dissemination.workers.unsent.push(r.worker_id.clone());
        if r.is_out_of_service() && !known {
            self.start_removal(&r.worker_id, now);
        }
        true
    }

    /// Whether this end of this life was known before.
    fn is_known_removal(&self, r: &WorkerReport) -> bool {
        self.dissemination.workers.entries.get(&r.worker_id).is_some_and(|e| {
            e.report.is_out_of_service() && r.is_out_of_service() && e.report.removal_key() == r.removal_key()
        })
    }

    /// Merges a report; a worker that is new, moved or left is not kept waiting.
    pub(in crate::node) fn apply_report(&mut self, r: &WorkerReport, at: Micros, now: Micros) -> bool {
        let known = self.is_known_removal(r);
        let same = self.dissemination.workers.entries.get(&r.worker_id).is_some_and(|e| {
            e.report.addr == r.addr
                && e.report.incarnation == r.incarnation
                && e.report.is_out_of_service() == r.is_out_of_service()
        });
        if self.merge_report(r, at, now) != MergeOutcome::Applied {
            return false;
        }
        // The next beat to a single core is long in coming.
        if !same && self.settings.reports_to_cores_only {
            self.dissemination.workers.push_due = now;
        }
        if !r.is_out_of_service() {
            self.dissemination.workers.removals.0.remove(&r.worker_id);
        } else if self.settings.is_core && !known {
            // Cores keep an end for those who lack it, should the first one be lost.
            self.dissemination.workers.removals.start(&r.removal_key(), now + TAKE_OVER_AFTER, now);
        }
        true
    }

    fn merge_report(&mut self, r: &WorkerReport, at: Micros, now: Micros) -> MergeOutcome {
        let a = self.dissemination.workers.merge(r, at, now);
        match a {
            MergeOutcome::Applied => {
                self.counters.reports += 1;
                self.publisher.is_dirty = true;
            }
            MergeOutcome::Outdated => self.counters.reports_outdated += 1,
            MergeOutcome::EndedIncarnation => self.counters.reports_ended += 1,
            MergeOutcome::FromFuture => self.counters.reports_future += 1,
        }
        a
    }

    /// What other nodes heard. A report is as old as it can be by its sender's clock; where that
    /// clock is not known yet, only ends count at once.
    pub(in crate::node) fn on_reports(
        &mut self,
        by: (NodeId, Incarnation),
        sent: Micros,
        rows: &[WorkerReport],
        now: Micros,
    ) {
        // What lay waiting while this node was frozen is of an unknown age.
        let waking = now.saturating_sub(self.clock.resumed_at) < WAKING;
        let sent_at = self.earliest_sent_at(by, sent, now);
        let (ends, beats): (Vec<_>, Vec<_>) = rows.iter().partition(|r| r.is_out_of_service());
        for r in ends {
            let at = sent_at.unwrap_or(now).saturating_sub(r.age);
            self.apply_report(r, at, now);
        }
        if waking {
            self.counters.reports_unaged += beats.len() as u64;
            return;
        }
        let Some(sent_at) = sent_at else {
            self.wait_for_clock(by, sent, beats.into_iter().cloned().collect(), now);
            return;
        };
        for r in beats {
            self.apply_report(r, sent_at.saturating_sub(r.age), now);
        }
    }

    pub(in crate::node) fn apply_reports(&mut self, rows: &[WorkerReport], base: Micros, now: Micros) {
        for r in rows {
            let at = base.saturating_sub(r.age);
            let old = self.dissemination.workers.entries.get(&r.worker_id).is_some_and(|e| {
                (e.report.incarnation, e.report.removed, e.report.seq) >= (r.incarnation, r.removed, r.seq)
            });
            if !old {
                self.apply_report(r, at, now);
            }
        }
    }

    /// Passes what workers said on to the homes of their services in each zone.
    pub(in crate::node) fn flush_reports(&mut self, now: Micros) {
        if self.dissemination.workers.unsent.is_empty() {
            return;
        }
        let ws = std::mem::take(&mut self.dissemination.workers.unsent);
        let zs = self.dissemination.peers.zones(now);
        let mut to: BTreeMap<NodeId, Vec<WorkerReport>> = BTreeMap::new();
        for w in ws {
            let Some(e) = self.dissemination.workers.entries.get(&w) else { continue };
            let r = WorkerReport { age: now.saturating_sub(e.heard_at), ..e.report.clone() };
            for z in &zs {
                for h in self.dissemination.peers.home_nodes(&r.pool, z, now) {
                    if h != self.settings.node_id {
                        to.entry(h).or_default().push(r.clone());
                    }
                }
            }
        }
        for (n, rows) in to {
            self.send(n, Message::Dissemination(DisseminationMessage::Reports { reports: rows }), now);
        }
    }
}
