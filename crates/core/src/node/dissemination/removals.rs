//! Removals of workers: sent to every live node at once, and acknowledged once a majority of the voters has
//! them on disk.
//!
//! An acknowledged removal survives the loss of this node and a restart of all nodes at once: each core that knows
//! the removal spreads it too, and spreads it again after its start. The acknowledgement waits a short time for
//! all live nodes, so that the worker may usually stop at once. If no majority replies, the removal is not
//! acknowledged.

use super::contact::QUORUM_TIMEOUT;
use crate::base::{Micros, NodeId};
use crate::consensus::{DurableWrite, is_majority};
use crate::node::{Effect, Node};
use crate::protocol::{DisseminationMessage, Message, RemovalKey, WorkerReport};
use crate::workers::removals::{ALL_NODES_TIMEOUT, REMOVAL_TIMEOUT, RESEND_INTERVAL, Removals};
use crate::workers::{Removal, WaitingRequest};
use std::collections::BTreeMap;

/// A live node other than this one.
#[derive(Clone, Copy, Debug)]
struct LiveNode {
    node_id: NodeId,
    is_core: bool,
}

/// The answers and messages that result from one pass over all removals.
#[derive(Debug, Default)]
struct RemovalBatch {
    /// The requests that are answered now, and whether they are accepted.
    answers: Vec<(u64, bool)>,
    /// The reports for each node that has not acknowledged them.
    reports: BTreeMap<NodeId, Vec<WorkerReport>>,
    /// The removals that all live nodes know.
    known_by_all: Vec<RemovalKey>,
}

impl Node {
    /// Handles a report of a worker that waits to be acknowledged.
    pub(in crate::node) fn on_report_with_ack(&mut self, request_id: u64, report: &WorkerReport, now: Micros) {
        let is_accepted = self.on_report(report, now);
        if !report.is_out_of_service() {
            if is_accepted {
                self.acknowledge_when_reachable(request_id, now);
            } else {
                self.acknowledge_report(request_id, false);
            }
            return;
        }
        let known = self
            .dissemination
            .workers
            .entries
            .get(&report.worker_id)
            .filter(|entry| entry.report.is_out_of_service())
            .map(|entry| (entry.report.removal_key(), entry.known_by_all));
        let Some((key, known_by_all)) = known else {
            // The worker is in service by a newer report, so an acknowledgement would promise too much.
            self.acknowledge_report(request_id, false);
            return;
        };
        if known_by_all {
            self.acknowledge_when_reachable(request_id, now);
            return;
        }
        if let Some(removal) = self.dissemination.workers.removals.start(&key, now, now) {
            removal.waiting_requests.push(WaitingRequest { request_id, received_at: now });
        }
        self.count_own_removal(key, now);
        self.tick_removals(now);
    }

    /// Acknowledges a report if it reaches other nodes. While that is unknown, the acknowledgement waits for
    /// the voters' replies.
    fn acknowledge_when_reachable(&mut self, request_id: u64, now: Micros) {
        match self.reaches_others(now, now) {
            Some(is_accepted) => self.acknowledge_report(request_id, is_accepted),
            None => self.dissemination.pending_acks.push(WaitingRequest { request_id, received_at: now }),
        }
    }

    /// Acknowledges the reports whose wait for the voters' replies is over.
    pub(in crate::node) fn complete_pending_acks(&mut self, now: Micros) {
        for request in std::mem::take(&mut self.dissemination.pending_acks) {
            match self.reaches_others(request.received_at, now) {
                Some(is_accepted) => self.acknowledge_report(request.request_id, is_accepted),
                None => self.dissemination.pending_acks.push(request),
            }
        }
    }

    pub(super) fn acknowledge_report(&mut self, request_id: u64, is_accepted: bool) {
        self.counters.reports_unacknowledged += u64::from(!is_accepted);
        self.emit(Effect::AcknowledgeReport { request_id, is_accepted });
    }

    /// Spreads a removal that was first reported to this node.
    pub(in crate::node) fn start_removal(&mut self, worker_id: &str, now: Micros) {
        let Some(key) = self.dissemination.workers.entries.get(worker_id).map(|entry| entry.report.removal_key())
        else {
            return;
        };
        self.counters.removals_started += 1;
        self.dissemination.workers.removals.start(&key, now, now);
        self.tick_removals(now);
    }

    /// Answers waiting requests, and sends removals again to nodes that have not acknowledged them.
    pub(in crate::node) fn tick_removals(&mut self, now: Micros) {
        if self.dissemination.workers.removals.is_empty() {
            return;
        }
        self.pass_over_removals(now, |node, removals, live_nodes, batch| {
            removals.0.values_mut().for_each(|removal| node.advance_removal(removal, live_nodes, batch, now));
        });
    }

    /// Does the same for the removals with these keys alone: every node acknowledges every removal, so a pass over all
    /// removals for each acknowledgement would keep a core of a large fleet busy.
    fn advance_removals(&mut self, keys: &[RemovalKey], now: Micros) {
        self.pass_over_removals(now, |node, removals, live_nodes, batch| {
            for key in keys {
                if let Some(removal) = removals.get(key) {
                    node.advance_removal(removal, live_nodes, batch, now);
                }
            }
        });
    }

    /// Advances removals, and sends what results from it.
    fn pass_over_removals(
        &mut self,
        now: Micros,
        advance: impl FnOnce(&Node, &mut Removals, &[LiveNode], &mut RemovalBatch),
    ) {
        let live_nodes = self.other_live_nodes(now);
        let mut batch = RemovalBatch::default();
        let mut removals = std::mem::take(&mut self.dissemination.workers.removals);
        advance(self, &mut removals, &live_nodes, &mut batch);
        self.dissemination.workers.removals = removals;
        self.send_removal_batch(batch, &live_nodes, now);
    }

    fn other_live_nodes(&self, now: Micros) -> Vec<LiveNode> {
        self.dissemination
            .peers
            .live(now)
            .filter(|record| record.node_id != self.settings.node_id)
            .map(|record| LiveNode { node_id: record.node_id, is_core: record.is_core })
            .collect()
    }

    fn advance_removal(&self, removal: &mut Removal, live_nodes: &[LiveNode], batch: &mut RemovalBatch, now: Micros) {
        // Too few nodes are told from all live ones without a look at each.
        let is_known_by_all = removal.known_by.len() >= live_nodes.len()
            && live_nodes.iter().all(|node| removal.known_by.contains(&node.node_id));
        let is_committed = self.answer_waiting_requests(removal, is_known_by_all, batch, now);
        if is_known_by_all {
            if removal.waiting_requests.is_empty() && is_committed {
                batch.known_by_all.push(removal.key.clone());
            }
            return;
        }
        if now < removal.next_send_at {
            return;
        }
        removal.next_send_at = now + RESEND_INTERVAL;
        let entries = &self.dissemination.workers.entries;
        let Some(entry) = entries.get(&removal.key.worker_id).filter(|entry| entry.report.is_out_of_service()) else {
            return;
        };
        let report = WorkerReport { age: now.saturating_sub(entry.reported_at), ..entry.report.clone() };
        for node in live_nodes.iter().filter(|node| !removal.known_by.contains(&node.node_id)) {
            batch.reports.entry(node.node_id).or_default().push(report.clone());
        }
    }

    /// Answers the requests of a removal that need not wait any longer. Returns whether a majority of the
    /// voters has the removal on disk.
    fn answer_waiting_requests(
        &self,
        removal: &mut Removal,
        is_known_by_all: bool,
        batch: &mut RemovalBatch,
        now: Micros,
    ) -> bool {
        let voters = self.consensus.state.voters();
        let is_voter = self.is_voter();
        // Knowledge of all reachable nodes proves nothing if this node is partitioned together with them.
        let is_committed = !voters.is_empty() && is_majority(voters, &removal.known_by);
        let no_voter_knows = !voters.iter().any(|voter| removal.known_by.contains(&voter.node_id));
        let should_abandon = |since: Micros| {
            if is_voter {
                self.should_redirect(since, now)
            } else {
                no_voter_knows && now.saturating_sub(since) >= QUORUM_TIMEOUT
            }
        };
        removal.waiting_requests.retain(|request| {
            let waited = now.saturating_sub(request.received_at);
            let is_accepted = is_committed && (is_known_by_all || waited >= ALL_NODES_TIMEOUT);
            let is_answered =
                is_accepted || waited >= REMOVAL_TIMEOUT || (!is_committed && should_abandon(request.received_at));
            if is_answered {
                batch.answers.push((request.request_id, is_accepted));
            }
            !is_answered
        });
        is_committed
    }

    fn send_removal_batch(&mut self, batch: RemovalBatch, live_nodes: &[LiveNode], now: Micros) {
        for (request_id, is_accepted) in batch.answers {
            self.acknowledge_report(request_id, is_accepted);
        }
        for (node_id, reports) in batch.reports {
            self.send(node_id, Message::Dissemination(DisseminationMessage::Removals { reports }), now);
        }
        let keys = batch.known_by_all;
        if keys.is_empty() {
            return;
        }
        self.on_removals_known_by_all(&keys);
        for core in live_nodes.iter().filter(|node| node.is_core) {
            let message = DisseminationMessage::RemovalsKnownByAll { keys: keys.clone() };
            self.send(core.node_id, Message::Dissemination(message), now);
        }
    }

    /// Writes the removal of a worker to this core's disk, and then counts this core among the nodes that know it.
    pub(in crate::node) fn persist_removal(&mut self, worker_id: &str, now: Micros) {
        let workers = &mut self.dissemination.workers;
        let Some(entry) = workers.entries.get(worker_id) else { return };
        let report = WorkerReport { age: 0, ..entry.report.clone() };
        workers.removals_on_disk.insert(report.worker_id.clone());
        let key = report.removal_key();
        self.persist(vec![DurableWrite::Removal(report)], Vec::new());
        self.count_own_removal(key, now);
    }

    /// Counts this core among the nodes that know a removal, once the removal is on its disk.
    pub(super) fn count_own_removal(&mut self, key: RemovalKey, now: Micros) {
        if !self.settings.is_core {
            return;
        }
        let message = Message::Dissemination(DisseminationMessage::RemovalsReceived { keys: vec![key] });
        self.send_after_sync(self.settings.node_id, message, now);
    }

    /// Forgets the removals on disk of workers that returned to service or were dropped from the table.
    pub(in crate::node) fn forget_outdated_removals(&mut self) {
        let outdated = self.dissemination.workers.take_outdated_removals_on_disk();
        if !outdated.is_empty() {
            self.persist(vec![DurableWrite::ForgetRemovals(outdated)], Vec::new());
        }
    }

    /// Applies the removals from a node, and acknowledges those in force once they are on this core's disk. The sender
    /// of an outdated one is sent the newer report of the worker instead. `delay` is the transit time of the frame
    /// beyond that of the fastest frame from the same sender, in microseconds.
    pub(in crate::node) fn on_removals(&mut self, from: NodeId, reports: &[WorkerReport], delay: Micros, now: Micros) {
        for report in reports {
            // A removal stays valid whatever its transit time.
            let made_at = now.saturating_sub(report.age.saturating_add(delay));
            self.apply_report(report, made_at, now);
        }
        let (in_force, outdated): (Vec<_>, Vec<_>) =
            reports.iter().map(WorkerReport::removal_key).partition(|key| self.is_removal_in_force(key));
        if !in_force.is_empty() {
            let message = Message::Dissemination(DisseminationMessage::RemovalsReceived { keys: in_force });
            self.send_after_sync(from, message, now);
        }
        self.send_newer_reports(from, &outdated, now);
    }

    /// Returns whether a worker is out of service by this removal or by a later one.
    fn is_removal_in_force(&self, key: &RemovalKey) -> bool {
        let known = self.dissemination.workers.entries.get(&key.worker_id);
        known.is_some_and(|entry| entry.report.is_out_of_service() && entry.report.removal_key() >= *key)
    }

    /// Sends a node the newest reports of the workers whose removals are outdated.
    fn send_newer_reports(&mut self, to: NodeId, outdated: &[RemovalKey], now: Micros) {
        let entries = &self.dissemination.workers.entries;
        let reports: Vec<_> = outdated
            .iter()
            .filter_map(|key| entries.get(&key.worker_id))
            .map(|entry| WorkerReport { age: now.saturating_sub(entry.reported_at), ..entry.report.clone() })
            .collect();
        if !reports.is_empty() {
            self.send(to, Message::Dissemination(DisseminationMessage::Reports { reports }), now);
        }
    }

    /// Records a node's acknowledgement of removals.
    pub(in crate::node) fn on_removals_received(&mut self, from: NodeId, keys: &[RemovalKey], now: Micros) {
        let removals = &mut self.dissemination.workers.removals;
        let is_new = |key: &&RemovalKey| removals.get(key).is_some_and(|removal| removal.known_by.insert(from));
        let newly_known: Vec<RemovalKey> = keys.iter().filter(is_new).cloned().collect();
        if !newly_known.is_empty() {
            self.advance_removals(&newly_known, now);
        }
    }

    /// Stops spreading removals that all live nodes know.
    pub(in crate::node) fn on_removals_known_by_all(&mut self, keys: &[RemovalKey]) {
        let workers = &mut self.dissemination.workers;
        for key in keys {
            if workers.removals.get(key).is_some_and(|removal| removal.waiting_requests.is_empty()) {
                workers.removals.take(&key.worker_id);
            }
            let is_removal = |report: &WorkerReport| report.is_out_of_service() && report.removal_key() == *key;
            if let Some(entry) = workers.entries.get_mut(&key.worker_id).filter(|entry| is_removal(&entry.report)) {
                entry.known_by_all = true;
            }
        }
    }
}
