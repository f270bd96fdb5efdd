//! What is known of all workers, merged from their reports.

use super::Removals;
use crate::base::{Incarnation, MS, Micros, NodeId, SEC};
use crate::protocol::WorkerReport;
use std::collections::{BTreeMap, HashMap};

/// A worker unheard for this long takes no calls, if it reports as often as can be.
pub const REPORT_TIMEOUT: Micros = 1_500 * MS;
const FORGET: Micros = 30 * SEC;
/// The first life of a worker that doesn't number its lives.
const FIRST_LIFE: Incarnation = 1;
/// The shortest time between reports: two of them lost go unnoticed.
const BEAT: Micros = 500 * MS;

/// A worker as it is known here.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    pub report: WorkerReport,
    pub heard_at: Micros,
    pub change_index: u64,
    /// All nodes that lived then have its end.
    pub known_by_all: bool,
}

/// What a row told about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    Applied,
    Outdated,
    EndedIncarnation,
    FromFuture,
}

/// Where this node stands with one that it asks.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    pub change_index: u64,
    pub incarnation: Incarnation,
    /// It was heard of by every worker that lives.
    pub is_complete: bool,
    pub sent_requests: BTreeMap<u64, Micros>,
}

/// Where a node that asks this one stands.
#[derive(Clone, Debug)]
pub struct Subscriber {
    pub request_seq: u64,
    pub subscribed_at: Micros,
    pub sent_index: u64,
    pub next_version: u64,
    pub topics: Vec<String>,
}

/// Mergeable reports of all workers, with the order in which they changed here.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    pub entries: BTreeMap<String, WorkerEntry>,
    pub change_index: u64,
    pub upstreams: BTreeMap<NodeId, Upstream>,
    pub subscribers: BTreeMap<NodeId, Subscriber>,
    pub unsent: Vec<String>,
    pub last_request_seq: u64,
    pub subscribe_due: Micros,
    pub push_due: Micros,
    pub outdated_reports: u64,
    /// How often each worker reports.
    pub report_interval: Micros,
    pub removals: Removals,
    /// When the cores were last known to be in touch, and when first.
    pub core_contact_at: Micros,
    pub first_core_contact_at: Micros,
    /// When others that know all workers had told this node.
    pub complete_at: Option<Micros>,
    /// Times in which no core was in touch.
    pub unreachable_periods: Vec<(Micros, Micros)>,
    /// Two workers may have the same address.
    pub has_shared_addresses: bool,
}

impl WorkerTable {
    /// A worker unheard for this long takes no calls: one that reports to a single
    /// core may lose two reports and notice each loss only after a second.
    pub fn report_timeout(&self) -> Micros {
        REPORT_TIMEOUT.max((4 * self.report_interval).saturating_sub(BEAT))
    }

    /// How long a worker was silent while somebody could have heard it.
    pub fn silence_since(&self, heard: Micros, now: Micros) -> Micros {
        let deaf: Micros = self.unreachable_periods.iter().map(|d| d.1.saturating_sub(d.0.max(heard))).sum();
        now.saturating_sub(heard).saturating_sub(deaf)
    }

    /// No core was in touch from then to now.
    pub fn record_unreachable(&mut self, from: Micros, now: Micros) {
        match self.unreachable_periods.last_mut() {
            Some(d) if d.1 >= from => d.1 = now,
            _ => self.unreachable_periods.push((from, now)),
        }
    }

    /// Whether exactly this report is what is known of its worker.
    pub fn is_current(&self, r: &WorkerReport) -> bool {
        self.entries.get(&r.worker_id).is_some_and(|e| {
            (e.report.incarnation, e.report.removed, e.report.seq) == (r.incarnation, r.removed, r.seq)
        })
    }

    /// Which life of its worker a report belongs to that names none. An id whose counter begins
    /// anew is another life, but only where the one that is known fell silent: before that, the
    /// report may be a late one. A life that ended by its own word stays ended until it is
    /// forgotten, as a late report must not bring it back.
    pub fn resolve_incarnation(&self, r: &WorkerReport, now: Micros) -> Incarnation {
        let Some(e) = self.entries.get(&r.worker_id) else { return FIRST_LIFE };
        let silent = self.silence_since(e.heard_at, now) >= self.report_timeout();
        let anew = silent && r.seq < e.report.seq && !r.removed && !e.report.is_out_of_service();
        e.report.incarnation + Incarnation::from(anew)
    }

    /// Merges one report that was true at `at`.
    pub fn merge(&mut self, r: &WorkerReport, at: Micros, now: Micros) -> MergeOutcome {
        if at > now {
            return MergeOutcome::FromFuture;
        }
        let (mut r, mut all) = (r.clone(), false);
        if let Some(e) = self.entries.get_mut(&r.worker_id) {
            if r.incarnation < e.report.incarnation {
                self.outdated_reports += 1;
                return MergeOutcome::EndedIncarnation;
            }
            let (a, b) = ((r.incarnation, r.removed, r.seq), (e.report.incarnation, e.report.removed, e.report.seq));
            if a <= b || (r.incarnation == e.report.incarnation && e.report.removed) {
                if a == b {
                    e.heard_at = e.heard_at.max(at);
                } else {
                    self.outdated_reports += 1;
                }
                return MergeOutcome::Outdated;
            }
            all = e.known_by_all && r.is_out_of_service() && r.removal_key() == e.report.removal_key();
            // A leave may name nothing but the worker.
            if r.removed && r.pool.is_empty() {
                r = WorkerReport { incarnation: r.incarnation, seq: r.seq, removed: true, ..e.report.clone() };
            }
        }
        if !r.is_out_of_service() {
            let same = |e: &WorkerEntry| {
                e.report.worker_id != r.worker_id && e.report.addr == r.addr && !e.report.is_out_of_service()
            };
            let known = self.entries.get(&r.worker_id).is_some_and(|e| e.report.addr == r.addr);
            self.has_shared_addresses |= !known && self.entries.values().any(same);
        }
        self.change_index += 1;
        let e = WorkerEntry { heard_at: at, change_index: self.change_index, known_by_all: all, report: r };
        self.entries.insert(e.report.worker_id.clone(), e);
        MergeOutcome::Applied
    }

    /// Who takes calls. Of several workers at one address the one heard last is there.
    pub fn live(&self, now: Micros) -> impl Iterator<Item = &WorkerReport> {
        let silent = self.report_timeout();
        let mut last: HashMap<&str, (Micros, &str)> = HashMap::new();
        if self.has_shared_addresses {
            for e in self.entries.values() {
                let x = last.entry(&e.report.addr).or_default();
                *x = (*x).max((e.heard_at, &e.report.worker_id));
            }
        }
        self.entries
            .values()
            .filter(move |e| !e.report.is_out_of_service() && self.silence_since(e.heard_at, now) < silent)
            .map(|e| &e.report)
            .filter(move |r| last.get(r.addr.as_str()).is_none_or(|x| x.1 == r.worker_id))
    }

    /// What changed after `idx`: all of it is the digest, the rest are changes.
    pub fn changes_after(&self, idx: u64, svcs: &[String], now: Micros) -> Vec<WorkerReport> {
        let asked = |r: &WorkerReport| svcs.contains(&r.pool) || (r.removed && r.pool.is_empty());
        let mut v: Vec<_> = self.entries.values().filter(|e| e.change_index > idx && asked(&e.report)).collect();
        v.sort_unstable_by_key(|e| e.change_index);
        v.into_iter()
            .filter(|e| e.report.is_out_of_service() || self.silence_since(e.heard_at, now) < self.report_timeout())
            .map(|e| WorkerReport { age: now.saturating_sub(e.heard_at), ..e.report.clone() })
            .collect()
    }

    /// Forgets workers that were silent for long.
    pub fn expire(&mut self, now: Micros) {
        self.entries.retain(|_, e| now.saturating_sub(e.heard_at) < FORGET);
        self.subscribers.retain(|_, s| now.saturating_sub(s.subscribed_at) < 3 * SEC);
        self.removals.expire(now);
        self.unreachable_periods.retain(|d| now.saturating_sub(d.1) < FORGET);
        let mut at: Vec<_> =
            self.entries.values().filter(|e| !e.report.is_out_of_service()).map(|e| &e.report.addr).collect();
        at.sort_unstable();
        self.has_shared_addresses = at.windows(2).any(|w| w[0] == w[1]);
    }
}
