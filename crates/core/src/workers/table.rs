//! The table of all workers, merged from their reports.
//!
//! Merging is commutative and idempotent within an incarnation. Of all reports of a worker, the one with the
//! greatest incarnation takes precedence, then a removal, then the greatest sequence number. A removed incarnation
//! never returns to service. A worker that has not reported for [`WorkerTable::report_timeout`] is sent no requests;
//! time in which no core could receive its reports does not count towards this time-out.

use super::{Removals, Subscriber, Upstream};
use crate::base::{Incarnation, MS, Micros, NodeId, SEC};
use crate::protocol::WorkerReport;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The time without a report after which a worker is sent no requests, if it reports at the shortest interval, in
/// microseconds.
pub const REPORT_TIMEOUT: Micros = 1_500 * MS;
/// The time without a report after which a worker is removed from the table, in microseconds.
pub(super) const ENTRY_RETENTION: Micros = 30 * SEC;
/// The time after which a subscription that is not renewed ends, in microseconds.
const SUBSCRIPTION_TIMEOUT: Micros = 3 * SEC;
/// The number given to the first incarnation of a worker that does not number its incarnations.
const FIRST_INCARNATION: Incarnation = 1;
/// The shortest interval between reports, in microseconds: two consecutive lost reports cause no time-out.
const SHORTEST_REPORT_INTERVAL: Micros = 500 * MS;

/// This node's knowledge of one worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// The worker's newest report.
    pub report: WorkerReport,
    /// When the report was made, in microseconds by this node's clock.
    pub reported_at: Micros,
    /// The [`WorkerTable::change_index`] of the entry's last change.
    pub change_index: u64,
    /// Whether all nodes that were live at the time of the worker's removal know the removal.
    pub known_by_all: bool,
}

/// The outcome of merging a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The report changed the worker's entry.
    Applied,
    /// The same report, or a newer one of the incarnation, is known.
    Outdated,
    /// A later incarnation of the worker is known.
    EndedIncarnation,
    /// The report was made later than now.
    FromFuture,
}

/// A period in which no core was reachable from this node, in microseconds by this node's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreachablePeriod {
    /// When a core was last reachable.
    pub from: Micros,
    /// The end of the period.
    pub until: Micros,
}

impl UnreachablePeriod {
    /// Returns the duration of the part of the period after a moment.
    fn duration_after(&self, moment: Micros) -> Micros {
        self.until.saturating_sub(self.from.max(moment))
    }
}

/// The newest reports of all workers, in the order in which they changed on this node.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    /// The workers, by id.
    pub entries: BTreeMap<String, WorkerEntry>,
    /// The number of changes applied on this node; each entry has the index of its last change.
    pub change_index: u64,
    /// The nodes that this node subscribes to.
    pub upstreams: BTreeMap<NodeId, Upstream>,
    /// The nodes that subscribe to this node.
    pub subscribers: BTreeMap<NodeId, Subscriber>,
    /// The ids of workers whose reports must still be sent to the home nodes of their pools.
    pub unsent_workers: Vec<String>,
    /// The number of this node's newest subscription request.
    pub last_request_seq: u64,
    /// When this node next renews its subscriptions, in microseconds.
    pub next_subscribe_at: Micros,
    /// When this node next sends updates, in microseconds.
    pub next_push_at: Micros,
    /// The number of reports that were dropped because a newer one was known.
    pub outdated_reports: u64,
    /// The interval between a worker's reports, in microseconds.
    pub report_interval: Micros,
    /// Removals that are being disseminated to every live node.
    pub removals: Removals,
    /// The ids of the workers whose removals are on this core's disk or are being written to it.
    pub removals_on_disk: BTreeSet<String>,
    /// When a core was last known to be reachable, in microseconds; 0 if none ever was.
    pub core_contact_at: Micros,
    /// When a core was first found to be reachable, in microseconds; 0 if none ever was.
    pub first_core_contact_at: Micros,
    /// When this node had received the updates of upstreams that know all workers, in microseconds.
    pub complete_at: Option<Micros>,
    /// Periods in which no core was reachable, oldest first.
    pub unreachable_periods: Vec<UnreachablePeriod>,
    /// Whether two workers in service may have the same address.
    pub has_shared_addresses: bool,
}

/// Returns the key that orders the reports of one worker; the report with the greatest key takes precedence.
fn report_order(report: &WorkerReport) -> (Incarnation, bool, u64) {
    (report.incarnation, report.removed, report.seq)
}

impl WorkerTable {
    /// Returns the time without a report after which a worker is sent no requests, in microseconds: a worker that
    /// reports to a single core may lose two reports and detect each loss only after a second.
    pub fn report_timeout(&self) -> Micros {
        REPORT_TIMEOUT.max((4 * self.report_interval).saturating_sub(SHORTEST_REPORT_INTERVAL))
    }

    /// Returns the time since a report, without the periods in which no core could receive reports, in microseconds.
    pub fn time_since_report(&self, reported_at: Micros, now: Micros) -> Micros {
        let unreachable: Micros =
            self.unreachable_periods.iter().map(|period| period.duration_after(reported_at)).sum();
        now.saturating_sub(reported_at).saturating_sub(unreachable)
    }

    /// Records that no core was reachable from `from` until now; extends the last period if the two overlap.
    pub fn record_unreachable(&mut self, from: Micros, now: Micros) {
        match self.unreachable_periods.last_mut() {
            Some(period) if period.until >= from => period.until = now,
            _ => self.unreachable_periods.push(UnreachablePeriod { from, until: now }),
        }
    }

    /// Returns whether this report is the newest known one of its worker.
    pub fn is_current(&self, report: &WorkerReport) -> bool {
        self.entries.get(&report.worker_id).is_some_and(|entry| report_order(&entry.report) == report_order(report))
    }

    /// Returns whether the same report, or a newer one of its worker, is known.
    pub fn is_known(&self, report: &WorkerReport) -> bool {
        self.entries.get(&report.worker_id).is_some_and(|entry| report_order(&entry.report) >= report_order(report))
    }

    /// Returns the incarnation of a report that does not state one.
    ///
    /// An id whose sequence numbers restart is a new incarnation, but only if the known incarnation has timed out:
    /// before that, the report may be a delayed one. An incarnation that drained or left by its own report stays out
    /// of service until it is removed from the table, because a delayed report must not return it to service.
    pub fn resolve_incarnation(&self, report: &WorkerReport, now: Micros) -> Incarnation {
        let Some(known) = self.entries.get(&report.worker_id) else { return FIRST_INCARNATION };
        let is_timed_out = self.time_since_report(known.reported_at, now) >= self.report_timeout();
        let is_restarted =
            is_timed_out && report.seq < known.report.seq && !report.removed && !known.report.is_out_of_service();
        known.report.incarnation + Incarnation::from(is_restarted)
    }

    /// Merges one report that was made at `made_at`, in microseconds by this node's clock.
    pub fn merge_report(&mut self, report: &WorkerReport, made_at: Micros, now: Micros) -> MergeOutcome {
        if made_at > now {
            return MergeOutcome::FromFuture;
        }
        let (mut report, mut known_by_all) = (report.clone(), false);
        if let Some(known) = self.entries.get_mut(&report.worker_id) {
            if let Some(outcome) = check_superseded(known, &report, made_at) {
                let is_repeated = report_order(&report) == report_order(&known.report);
                self.outdated_reports += u64::from(!is_repeated);
                return outcome;
            }
            known_by_all =
                known.known_by_all && report.is_out_of_service() && report.removal_key() == known.report.removal_key();
            // A removal may state nothing but the worker's id.
            if report.removed && report.pool.is_empty() {
                let WorkerReport { incarnation, seq, .. } = report;
                report = WorkerReport { incarnation, seq, removed: true, ..known.report.clone() };
            }
        }
        if !report.is_out_of_service() {
            self.detect_shared_address(&report);
        }
        self.change_index += 1;
        let entry = WorkerEntry { reported_at: made_at, change_index: self.change_index, known_by_all, report };
        self.entries.insert(entry.report.worker_id.clone(), entry);
        MergeOutcome::Applied
    }

    /// Detects whether a worker that is new at its address shares the address with another worker in service.
    fn detect_shared_address(&mut self, report: &WorkerReport) {
        let shares_address = |entry: &WorkerEntry| {
            entry.report.worker_id != report.worker_id
                && entry.report.addr == report.addr
                && !entry.report.is_out_of_service()
        };
        let is_known_at_address =
            self.entries.get(&report.worker_id).is_some_and(|entry| entry.report.addr == report.addr);
        self.has_shared_addresses |= !is_known_at_address && self.entries.values().any(shares_address);
    }

    /// Returns the workers that may be sent requests. Of several workers at one address, only the one that reported
    /// last is live.
    pub fn live_workers(&self, now: Micros) -> impl Iterator<Item = &WorkerReport> {
        let timeout = self.report_timeout();
        let last_reports = self.last_report_by_address();
        self.entries
            .values()
            .filter(move |entry| {
                !entry.report.is_out_of_service() && self.time_since_report(entry.reported_at, now) < timeout
            })
            .map(|entry| &entry.report)
            .filter(move |report| last_reports.get(report.addr.as_str()).is_none_or(|last| last.1 == report.worker_id))
    }

    /// Returns, for each address, the worker that reported last and when; empty if no address is shared.
    fn last_report_by_address(&self) -> HashMap<&str, (Micros, &str)> {
        let mut last_reports: HashMap<&str, (Micros, &str)> = HashMap::new();
        if self.has_shared_addresses {
            for entry in self.entries.values() {
                let last = last_reports.entry(&entry.report.addr).or_default();
                *last = (*last).max((entry.reported_at, &entry.report.worker_id));
            }
        }
        last_reports
    }

    /// Returns the reports on these topics that changed after a change index, in the order of their changes: a
    /// snapshot for index 0, otherwise a delta.
    pub fn changes_after(&self, index: u64, topics: &[String], now: Micros) -> Vec<WorkerReport> {
        let is_wanted =
            |report: &WorkerReport| topics.contains(&report.pool) || (report.removed && report.pool.is_empty());
        let mut changed: Vec<_> =
            self.entries.values().filter(|entry| entry.change_index > index && is_wanted(&entry.report)).collect();
        changed.sort_unstable_by_key(|entry| entry.change_index);
        changed
            .into_iter()
            .filter(|entry| {
                entry.report.is_out_of_service()
                    || self.time_since_report(entry.reported_at, now) < self.report_timeout()
            })
            .map(|entry| WorkerReport { age: now.saturating_sub(entry.reported_at), ..entry.report.clone() })
            .collect()
    }

    /// Takes over a removal that was on the disk of this node at its start, as if it was reported now.
    pub fn restore_removal(&mut self, report: &WorkerReport, node_id: NodeId, now: Micros) {
        if self.merge_report(report, now, now) != MergeOutcome::Applied {
            return;
        }
        self.removals_on_disk.insert(report.worker_id.clone());
        if let Some(removal) = self.removals.start(&report.removal_key(), now, now) {
            removal.known_by.insert(node_id);
        }
    }

    /// Removes and returns the ids of the workers whose removals need not be on disk any longer: they returned to
    /// service or were dropped from the table.
    pub fn take_outdated_removals_on_disk(&mut self) -> Vec<String> {
        let is_out_of_service =
            |id: &String| self.entries.get(id).is_some_and(|entry| entry.report.is_out_of_service());
        let outdated: Vec<_> = self.removals_on_disk.iter().filter(|id| !is_out_of_service(id)).cloned().collect();
        for worker_id in &outdated {
            self.removals_on_disk.remove(worker_id);
        }
        outdated
    }

    /// Drops expired workers, subscribers, removals and unreachable periods.
    pub fn expire(&mut self, now: Micros) {
        self.entries.retain(|_, entry| now.saturating_sub(entry.reported_at) < ENTRY_RETENTION);
        self.subscribers.retain(|_, subscriber| now.saturating_sub(subscriber.subscribed_at) < SUBSCRIPTION_TIMEOUT);
        self.removals.expire(now);
        self.unreachable_periods.retain(|period| now.saturating_sub(period.until) < ENTRY_RETENTION);
        let mut addresses: Vec<_> = self
            .entries
            .values()
            .filter(|entry| !entry.report.is_out_of_service())
            .map(|entry| &entry.report.addr)
            .collect();
        addresses.sort_unstable();
        self.has_shared_addresses = addresses.windows(2).any(|pair| pair[0] == pair[1]);
    }
}

/// Returns why a report does not change its worker's entry, or `None` if it does. A repeated report that was made
/// later than known counts as a heartbeat.
fn check_superseded(known: &mut WorkerEntry, report: &WorkerReport, made_at: Micros) -> Option<MergeOutcome> {
    if report.incarnation < known.report.incarnation {
        return Some(MergeOutcome::EndedIncarnation);
    }
    let (order, known_order) = (report_order(report), report_order(&known.report));
    let was_removed = report.incarnation == known.report.incarnation && known.report.removed;
    if order > known_order && !was_removed {
        return None;
    }
    if order == known_order {
        known.reported_at = known.reported_at.max(made_at);
    }
    Some(MergeOutcome::Outdated)
}
