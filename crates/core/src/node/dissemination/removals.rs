//! Ends of workers: told to every live node at once, and acknowledged once a majority of the
//! voters has them.

use super::contact::QUORUM_TIMEOUT;
use crate::base::{Micros, NodeId};
use crate::consensus::is_majority;
use crate::node::{Effect, Node};
use crate::protocol::{DisseminationMessage, Message, RemovalKey, WorkerReport};
use crate::workers::removals::{AGAIN, GIVE_UP_AFTER, PATIENCE};
use std::collections::BTreeMap;

impl Node {
    /// A worker told this node something and waits to hear that it counts.
    pub(in crate::node) fn on_report_with_ack(&mut self, req: u64, r: &WorkerReport, now: Micros) {
        let counts = self.on_report(r, now);
        if !r.is_out_of_service() {
            if counts {
                self.acknowledge_when_reachable(req, now)
            } else {
                self.acknowledge_report(req, false)
            }
            return;
        }
        let known = self
            .dissemination
            .workers
            .entries
            .get(&r.worker_id)
            .filter(|e| e.report.is_out_of_service())
            .map(|e| (e.report.removal_key(), e.known_by_all));
        // Without one, what it said is older than what it said elsewhere.
        let Some((key, false)) = known else {
            self.acknowledge_when_reachable(req, now);
            return;
        };
        if let Some(e) = self.dissemination.workers.removals.start(&key, now, now) {
            e.waiting_requests.push((req, now));
        }
        self.tick_removals(now);
    }

    /// Acknowledges a beat where it reaches others; in doubt it waits for the voters' answers.
    fn acknowledge_when_reachable(&mut self, req: u64, now: Micros) {
        match self.reaches_others(now, now) {
            Some(ok) => self.acknowledge_report(req, ok),
            None => self.dissemination.pending_acks.push((req, now)),
        }
    }

    /// Answers the beats that waited for the voters' answers.
    pub(in crate::node) fn complete_pending_acks(&mut self, now: Micros) {
        for (req, since) in std::mem::take(&mut self.dissemination.pending_acks) {
            match self.reaches_others(since, now) {
                Some(ok) => self.acknowledge_report(req, ok),
                None => self.dissemination.pending_acks.push((req, since)),
            }
        }
    }

    fn acknowledge_report(&mut self, req: u64, ok: bool) {
        self.counters.reports_unacknowledged += u64::from(!ok);
        self.emit(Effect::AcknowledgeReport { request_id: req, is_accepted: ok });
    }

    /// An end that is new here goes out at once.
    pub(in crate::node) fn start_removal(&mut self, worker_id: &str, now: Micros) {
        let Some(key) = self.dissemination.workers.entries.get(worker_id).map(|e| e.report.removal_key()) else {
            return;
        };
        self.counters.removals_started += 1;
        self.dissemination.workers.removals.start(&key, now, now);
        self.tick_removals(now);
    }

    pub(in crate::node) fn tick_removals(&mut self, now: Micros) {
        if self.dissemination.workers.removals.0.is_empty() {
            return;
        }
        let live: Vec<(NodeId, bool)> = self
            .dissemination
            .peers
            .live(now)
            .filter(|p| p.node_id != self.settings.node_id)
            .map(|p| (p.node_id, p.is_core))
            .collect();
        let voters = self.consensus.state.voters().to_vec();
        let (me, votes, founded) = (self.settings.node_id, self.voter(), !voters.is_empty());
        let mut to: BTreeMap<NodeId, Vec<WorkerReport>> = BTreeMap::new();
        let (mut done, mut said) = (Vec::new(), Vec::new());
        let mut ends = std::mem::take(&mut self.dissemination.workers.removals.0);
        for e in ends.values_mut() {
            let all = live.iter().all(|n| e.known_by.contains(&n.0));
            // One who is cut off with others is no reason to believe that all will know it.
            let mut has = e.known_by.clone();
            has.extend(votes.then_some(me));
            let kept = founded && is_majority(&voters, &has);
            let none = !voters.iter().any(|c| has.contains(&c.node_id));
            let away = |since: Micros| {
                if votes {
                    self.should_redirect(since, now)
                } else {
                    none && now.saturating_sub(since) >= QUORUM_TIMEOUT
                }
            };
            e.waiting_requests.retain(|(req, at)| {
                let t = now.saturating_sub(*at);
                let ok = kept && (all || t >= PATIENCE);
                let over = ok || t >= GIVE_UP_AFTER || (!kept && away(*at));
                if over {
                    said.push((*req, ok));
                }
                !over
            });
            if all {
                if e.waiting_requests.is_empty() && kept {
                    done.push(e.key.clone());
                }
                continue;
            }
            if now < e.send_due {
                continue;
            }
            e.send_due = now + AGAIN;
            let Some(x) = self.dissemination.workers.entries.get(&e.key.0).filter(|x| x.report.is_out_of_service())
            else {
                continue;
            };
            let r = WorkerReport { age: now.saturating_sub(x.heard_at), ..x.report.clone() };
            for n in live.iter().filter(|n| !e.known_by.contains(&n.0)) {
                to.entry(n.0).or_default().push(r.clone());
            }
        }
        self.dissemination.workers.removals.0 = ends;
        for (req, ok) in said {
            self.acknowledge_report(req, ok);
        }
        for (n, rows) in to {
            self.send(n, Message::Dissemination(DisseminationMessage::Removals { reports: rows }), now);
        }
        if !done.is_empty() {
            self.on_removals_known_by_all(&done);
            for n in live.iter().filter(|n| n.1) {
                self.send(
                    n.0,
                    Message::Dissemination(DisseminationMessage::RemovalsKnownByAll { keys: done.clone() }),
                    now,
                );
            }
        }
    }

    pub(in crate::node) fn on_removals(&mut self, by: NodeId, rows: &[WorkerReport], lag: Micros, now: Micros) {
        let mut keys: Vec<RemovalKey> = Vec::new();
        for r in rows {
            // An end stays true however long it was under way.
            let at = now.saturating_sub(r.age.saturating_add(lag));
            self.apply_report(r, at, now);
            keys.push(r.removal_key());
            if let Some(e) = self.dissemination.workers.removals.get(&r.removal_key()) {
                e.known_by.insert(by);
            }
        }
        self.send(by, Message::Dissemination(DisseminationMessage::RemovalsReceived { keys }), now);
    }

    pub(in crate::node) fn on_removals_received(&mut self, by: NodeId, keys: &[RemovalKey], now: Micros) {
        for k in keys {
            if let Some(e) = self.dissemination.workers.removals.get(k) {
                e.known_by.insert(by);
            }
        }
        self.tick_removals(now);
    }

    pub(in crate::node) fn on_removals_known_by_all(&mut self, keys: &[RemovalKey]) {
        for k in keys {
            if self.dissemination.workers.removals.get(k).is_some_and(|e| e.waiting_requests.is_empty()) {
                self.dissemination.workers.removals.0.remove(&k.0);
            }
            if let Some(e) = self
                .dissemination
                .workers
                .entries
                .get_mut(&k.0)
                .filter(|e| e.report.is_out_of_service() && e.report.removal_key() == *k)
            {
                e.known_by_all = true;
            }
        }
    }
}
