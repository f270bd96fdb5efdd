//! What is known of all workers, merged from their reports.
//!
//! Merging is commutative and idempotent within an incarnation: the report with the greatest incarnation,
//! then a removal before any other, then the greatest sequence number counts. A removed incarnation never
//! comes back. A worker that is silent for [`WorkerTable::report_timeout`] is sent no requests; time in
//! which no core could receive its reports is not counted as silence.

use super::Removals;
use crate::base::{Incarnation, MS, Micros, NodeId, SEC};
use crate::protocol::WorkerReport;
use std::collections::{BTreeMap, HashMap};

/// A worker silent for so long, in microseconds, is sent no requests, if it reports at the shortest interval.
pub const REPORT_TIMEOUT: Micros = 1_500 * MS;
/// A worker that is silent for so long is forgotten.
const FORGET_AFTER: Micros = 30 * SEC;
/// A subscriber that does not renew its subscription for so long is forgotten.
const SUBSCRIPTION_TIMEOUT: Micros = 3 * SEC;
/// The first incarnation of a worker that does not number its incarnations.
const FIRST_INCARNATION: Incarnation = 1;
/// The shortest interval between reports: the loss of two in a row goes unnoticed.
const SHORTEST_REPORT_INTERVAL: Micros = 500 * MS;

/// What is known here of one worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Its newest report.
    pub report: WorkerReport,
    /// When that was made, in microseconds by this node's clock.
    pub reported_at: Micros,
    /// The [`WorkerTable::change_index`] of the entry's last change.
    pub change_index: u64,
    /// Whether all nodes that were live then know its removal.
    pub known_by_all: bool,
}

/// What merging a report did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It changed what is known of the worker.
    Applied,
    /// A newer report of the incarnation, or the same one, is known.
    Outdated,
    /// A later incarnation of the worker is known.
    EndedIncarnation,
    /// The report was made later than now.
    FromFuture,
}

/// How far this node's subscription to another one has come.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// The upstream's change index up to which this node has its changes.
    pub change_index: u64,
    /// The incarnation of the upstream that counted this index.
    pub incarnation: Incarnation,
    /// Whether every live worker has reported to the upstream or to those it subscribes to.
    pub is_complete: bool,
    /// When each of the last requests was sent, by its number, in microseconds.
    pub sent_requests: BTreeMap<u64, Micros>,
}

/// How far the subscription of another node to this one has come.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// The number of its newest request.
    pub request_seq: u64,
    /// When that request was received, in microseconds.
    pub subscribed_at: Micros,
    /// The change index up to which this node's changes were sent to it.
    pub sent_index: u64,
    /// One more than the version of the configuration that it holds; 0 for none.
    pub next_version: u64,
    /// The topics that it wants.
    pub topics: Vec<String>,
}

/// A time in which no core was in contact with this node, in microseconds by its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreachablePeriod {
    /// When a core was in contact last.
    pub from: Micros,
    /// Until when none was.
    pub until: Micros,
}

impl UnreachablePeriod {
    /// How much of it is after a moment.
    fn duration_after(&self, moment: Micros) -> Micros {
        self.until.saturating_sub(self.from.max(moment))
    }
}

/// The newest reports of all workers, with the order in which they changed here.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    /// The workers by their ids.
    pub entries: BTreeMap<String, WorkerEntry>,
    /// How many changes were applied here; each changed entry has the index of its last change.
    pub change_index: u64,
    /// The nodes that this one subscribes to.
    pub upstreams: BTreeMap<NodeId, Upstream>,
    /// The nodes that subscribe to this one.
    pub subscribers: BTreeMap<NodeId, Subscriber>,
    /// Workers whose reports are still to be sent to the home nodes of their pools.
    pub unsent: Vec<String>,
    /// The number of this node's newest subscription request.
    pub last_request_seq: u64,
    /// When this node renews its subscriptions next, in microseconds.
    pub subscribe_due: Micros,
    /// When this node sends updates next, in microseconds.
    pub push_due: Micros,
    /// Reports that were dropped since a newer one was known.
    pub outdated_reports: u64,
    /// How often each worker reports, in microseconds.
    pub report_interval: Micros,
    /// Removals on their way to every live node.
    pub removals: Removals,
    /// When the cores were last known to be in contact, in microseconds; 0 if they never were.
    pub core_contact_at: Micros,
    /// When the cores were first found to be in contact, in microseconds; 0 if they never were.
    pub first_core_contact_at: Micros,
    /// When this node had the updates of upstreams that know all workers, in microseconds.
    pub complete_at: Option<Micros>,
    /// Times in which no core was in contact, the oldest first.
    pub unreachable_periods: Vec<UnreachablePeriod>,
    /// Whether two workers in service may have the same address.
    pub has_shared_addresses: bool,
}

/// The order of reports of one worker: the greatest is the one that counts.
fn report_order(report: &WorkerReport) -> (Incarnation, bool, u64) {
    (report.incarnation, report.removed, report.seq)
}

impl WorkerTable {
    /// A worker silent for so long, in microseconds, is sent no requests: one that reports to a single core
    /// may lose two reports and notice each loss only after a second.
    pub fn report_timeout(&self) -> Micros {
        REPORT_TIMEOUT.max((4 * self.report_interval).saturating_sub(SHORTEST_REPORT_INTERVAL))
    }

    /// How long a worker was silent while a core could have received its reports, in microseconds.
    pub fn silence_since(&self, reported_at: Micros, now: Micros) -> Micros {
        let unreachable: Micros =
            self.unreachable_periods.iter().map(|period| period.duration_after(reported_at)).sum();
        now.saturating_sub(reported_at).saturating_sub(unreachable)
    }

    /// Notes that no core was in contact from `from` until now; extends the last period if they overlap.
    pub fn record_unreachable(&mut self, from: Micros, now: Micros) {
        match self.unreachable_periods.last_mut() {
            Some(period) if period.until >= from => period.until = now,
            _ => self.unreachable_periods.push(UnreachablePeriod { from, until: now }),
        }
    }

    /// Whether exactly this report is what is known of its worker.
    pub fn is_current(&self, report: &WorkerReport) -> bool {
        self.entries.get(&report.worker_id).is_some_and(|entry| report_order(&entry.report) == report_order(report))
    }

    /// Whether what is known of the report's worker is the same or newer.
    pub fn is_known(&self, report: &WorkerReport) -> bool {
        self.entries.get(&report.worker_id).is_some_and(|entry| report_order(&entry.report) >= report_order(report))
    }

    /// The incarnation of a report that names none.
    ///
    /// An id whose counter starts over is another incarnation, but only if the known one has fallen silent:
    /// before that, the report may be a late one. An incarnation that drained or left by its own report
    /// stays out of service until it is forgotten, as a late report must not bring it back.
    pub fn resolve_incarnation(&self, report: &WorkerReport, now: Micros) -> Incarnation {
        let Some(known) = self.entries.get(&report.worker_id) else { return FIRST_INCARNATION };
        let is_silent = self.silence_since(known.reported_at, now) >= self.report_timeout();
        let starts_over =
            is_silent && report.seq < known.report.seq && !report.removed && !known.report.is_out_of_service();
        known.report.incarnation + Incarnation::from(starts_over)
    }

    /// Merges one report that was made at `made_at`, in microseconds by this node's clock.
    pub fn merge(&mut self, report: &WorkerReport, made_at: Micros, now: Micros) -> MergeOutcome {
        if made_at > now {
            return MergeOutcome::FromFuture;
        }
        let (mut report, mut known_by_all) = (report.clone(), false);
        if let Some(known) = self.entries.get_mut(&report.worker_id) {
            if let Some(outcome) = refuse(known, &report, made_at) {
                let is_repeated = report_order(&report) == report_order(&known.report);
                self.outdated_reports += u64::from(!is_repeated);
                return outcome;
            }
            known_by_all =
                known.known_by_all && report.is_out_of_service() && report.removal_key() == known.report.removal_key();
            // A removal may name nothing but the worker.
            if report.removed && report.pool.is_empty() {
                let WorkerReport { incarnation, seq, .. } = report;
                report = WorkerReport { incarnation, seq, removed: true, ..known.report.clone() };
            }
        }
        if !report.is_out_of_service() {
            self.note_shared_address(&report);
        }
        self.change_index += 1;
        let entry = WorkerEntry { reported_at: made_at, change_index: self.change_index, known_by_all, report };
        self.entries.insert(entry.report.worker_id.clone(), entry);
        MergeOutcome::Applied
    }

    /// Notes whether a worker that is new at its address shares it with another one in service.
    fn note_shared_address(&mut self, report: &WorkerReport) {
        let shares_address = |entry: &WorkerEntry| {
            entry.report.worker_id != report.worker_id
                && entry.report.addr == report.addr
                && !entry.report.is_out_of_service()
        };
        let is_known_there = self.entries.get(&report.worker_id).is_some_and(|entry| entry.report.addr == report.addr);
        self.has_shared_addresses |= !is_known_there && self.entries.values().any(shares_address);
    }

    /// The workers that may be sent requests. Of several at one address, the one that reported last is there.
    pub fn live(&self, now: Micros) -> impl Iterator<Item = &WorkerReport> {
        let timeout = self.report_timeout();
        let last_at = self.last_by_shared_address();
        self.entries
            .values()
            .filter(move |entry| {
                !entry.report.is_out_of_service() && self.silence_since(entry.reported_at, now) < timeout
            })
            .map(|entry| &entry.report)
            .filter(move |report| last_at.get(report.addr.as_str()).is_none_or(|last| last.1 == report.worker_id))
    }

    /// The worker that reported last at each address, and when; empty where no address is shared.
    fn last_by_shared_address(&self) -> HashMap<&str, (Micros, &str)> {
        let mut last_at: HashMap<&str, (Micros, &str)> = HashMap::new();
        if self.has_shared_addresses {
            for entry in self.entries.values() {
                let last = last_at.entry(&entry.report.addr).or_default();
                *last = (*last).max((entry.reported_at, &entry.report.worker_id));
            }
        }
        last_at
    }

    /// The reports on these topics that changed after a change index, in the order of their changes. After
    /// index 0 that is a snapshot; otherwise it is a delta.
    pub fn changes_after(&self, index: u64, topics: &[String], now: Micros) -> Vec<WorkerReport> {
        let is_wanted =
            |report: &WorkerReport| topics.contains(&report.pool) || (report.removed && report.pool.is_empty());
        let mut changed: Vec<_> =
            self.entries.values().filter(|entry| entry.change_index > index && is_wanted(&entry.report)).collect();
        changed.sort_unstable_by_key(|entry| entry.change_index);
        changed
            .into_iter()
            .filter(|entry| {
                entry.report.is_out_of_service() || self.silence_since(entry.reported_at, now) < self.report_timeout()
            })
            .map(|entry| WorkerReport { age: now.saturating_sub(entry.reported_at), ..entry.report.clone() })
            .collect()
    }

    /// Forgets workers, subscribers, removals and unreachable periods that are long past.
    pub fn expire(&mut self, now: Micros) {
        self.entries.retain(|_, entry| now.saturating_sub(entry.reported_at) < FORGET_AFTER);
        self.subscribers.retain(|_, subscriber| now.saturating_sub(subscriber.subscribed_at) < SUBSCRIPTION_TIMEOUT);
        self.removals.expire(now);
        self.unreachable_periods.retain(|period| now.saturating_sub(period.until) < FORGET_AFTER);
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

/// Why a report does not change what is known of its worker; none if it does. The same report from later
/// than it was known to be made counts as a sign of life.
fn refuse(known: &mut WorkerEntry, report: &WorkerReport, made_at: Micros) -> Option<MergeOutcome> {
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
