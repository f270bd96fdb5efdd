//! Reports of workers, and their way to the home nodes of their pools.
//!
//! A report that a worker makes to this node is sent to the home nodes of the worker's pool in every zone. A
//! report from another node is given the greatest age that the bound on the sender's clock allows, so that no
//! failed worker is taken for a live one. While that bound is not known, the report waits.

use crate::base::{Incarnation, MS, Micros, NodeId};
use crate::node::Node;
use crate::protocol::{DisseminationMessage, Message, UNKNOWN_INCARNATION, WorkerReport};
use crate::workers::MergeOutcome;
use crate::workers::removals::REMOVAL_TAKEOVER_DELAY;
use std::collections::BTreeMap;

/// The time after a stall of this node during which reports of other nodes are dropped, in microseconds: they
/// may have been queued during the stall.
const STALL_RECOVERY_PERIOD: Micros = 300 * MS;

impl Node {
    /// Handles a report that a worker made to this node. Returns false if the report is older than the known
    /// one of the worker and so is ignored.
    pub(in crate::node) fn on_report(&mut self, report: &WorkerReport, now: Micros) -> bool {
        let mut report = report.clone();
        if report.incarnation == UNKNOWN_INCARNATION {
            report.incarnation = self.dissemination.workers.resolve_incarnation(&report, now);
        }
        let is_known_removal = self.is_known_removal(&report);
        if !self.apply_report(&report, now, now) {
            return is_known_removal || self.dissemination.workers.is_current(&report);
        }
        self.dissemination.workers.unsent_workers.push(report.worker_id.clone());
        if report.is_out_of_service() && !is_known_removal {
            self.start_removal(&report.worker_id, now);
        }
        true
    }

    /// Returns whether the report is of a drain or removal that is known already.
    fn is_known_removal(&self, report: &WorkerReport) -> bool {
        self.dissemination.workers.entries.get(&report.worker_id).is_some_and(|entry| {
            entry.report.is_out_of_service()
                && report.is_out_of_service()
                && entry.report.removal_key() == report.removal_key()
        })
    }

    /// Merges a report that was made at `made_at`. Returns whether the report changed the known state. A
    /// worker that is new, moved or left is sent to subscribers without delay.
    pub(in crate::node) fn apply_report(&mut self, report: &WorkerReport, made_at: Micros, now: Micros) -> bool {
        let is_known_removal = self.is_known_removal(report);
        let is_routine = self.dissemination.workers.entries.get(&report.worker_id).is_some_and(|entry| {
            entry.report.addr == report.addr
                && entry.report.incarnation == report.incarnation
                && entry.report.is_out_of_service() == report.is_out_of_service()
        });
        if self.merge_report(report, made_at, now) != MergeOutcome::Applied {
            return false;
        }
        let workers = &mut self.dissemination.workers;
        // The interval between reports to a single core is long, so the next push must not wait.
        if !is_routine && self.settings.workers_report_to_cores_only {
            workers.next_push_at = now;
        }
        if !report.is_out_of_service() {
            self.end_superseded_removal(&report.worker_id);
        } else if self.settings.is_core && !is_known_removal {
            // Every core keeps a removal, in case the core that spreads the removal is lost.
            workers.removals.start(&report.removal_key(), now + REMOVAL_TAKEOVER_DELAY, now);
            self.persist_removal(&report.worker_id, now);
        }
        true
    }

    /// Stops to spread the removal of a worker that returned to service, and rejects the requests that wait for it.
    fn end_superseded_removal(&mut self, worker_id: &str) {
        let Some(removal) = self.dissemination.workers.removals.take(worker_id) else { return };
        for request in removal.waiting_requests {
            self.acknowledge_report(request.request_id, false);
        }
    }

    fn merge_report(&mut self, report: &WorkerReport, made_at: Micros, now: Micros) -> MergeOutcome {
        let outcome = self.dissemination.workers.merge_report(report, made_at, now);
        match outcome {
            MergeOutcome::Applied => {
                self.counters.reports += 1;
                self.publisher.is_dirty = true;
            }
            MergeOutcome::Outdated => self.counters.reports_outdated += 1,
            MergeOutcome::EndedIncarnation => self.counters.reports_ended += 1,
            MergeOutcome::FromFuture => self.counters.reports_future += 1,
        }
        outcome
    }

    /// Handles reports that another node received. Each is given the greatest age that the bound on the
    /// sender's clock allows. While that bound is not known, only removals are applied at once.
    pub(in crate::node) fn on_reports(
        &mut self,
        sender: (NodeId, Incarnation),
        sent_at: Micros,
        reports: &[WorkerReport],
        now: Micros,
    ) {
        // Reports that were queued while this node was stalled are of unknown age.
        let is_after_stall = now.saturating_sub(self.clock.resumed_at) < STALL_RECOVERY_PERIOD;
        let earliest_sent_at = self.earliest_sent_at(sender, sent_at, now);
        let (removals, in_service): (Vec<_>, Vec<_>) = reports.iter().partition(|report| report.is_out_of_service());
        for report in removals {
            let made_at = earliest_sent_at.unwrap_or(now).saturating_sub(report.age);
            self.apply_report(report, made_at, now);
        }
        if is_after_stall {
            self.counters.reports_unaged += in_service.len() as u64;
            return;
        }
        let Some(earliest_sent_at) = earliest_sent_at else {
            self.wait_for_clock(sender, sent_at, in_service.into_iter().cloned().collect(), now);
            return;
        };
        for report in in_service {
            self.apply_report(report, earliest_sent_at.saturating_sub(report.age), now);
        }
    }

    /// Applies the reports of an update that was sent at `sent_at`, in microseconds by this node's clock.
    pub(in crate::node) fn apply_reports(&mut self, reports: &[WorkerReport], sent_at: Micros, now: Micros) {
        for report in reports {
            if !self.dissemination.workers.is_known(report) {
                self.apply_report(report, sent_at.saturating_sub(report.age), now);
            }
        }
    }

    /// Sends the reports that workers made to this node to the home nodes of their pools in each zone.
    pub(in crate::node) fn flush_reports(&mut self, now: Micros) {
        if self.dissemination.workers.unsent_workers.is_empty() {
            return;
        }
        let unsent = std::mem::take(&mut self.dissemination.workers.unsent_workers);
        let zones = self.dissemination.peers.zones(now);
        let mut reports_to: BTreeMap<NodeId, Vec<WorkerReport>> = BTreeMap::new();
        for worker_id in unsent {
            let Some(entry) = self.dissemination.workers.entries.get(&worker_id) else { continue };
            let report = WorkerReport { age: now.saturating_sub(entry.reported_at), ..entry.report.clone() };
            let homes = zones.iter().flat_map(|zone| self.dissemination.peers.home_nodes(&report.pool, zone, now));
            for home in homes.filter(|home| *home != self.settings.node_id) {
                reports_to.entry(home).or_default().push(report.clone());
            }
        }
        for (node_id, reports) in reports_to {
            self.send(node_id, Message::Dissemination(DisseminationMessage::Reports { reports }), now);
        }
    }
}
