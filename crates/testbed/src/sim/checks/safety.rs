//! Safety of the configuration log: one entry for each version, no acknowledged change is lost, no rejected change
//! is committed, and no node keeps using a revoked key or a removed worker.

use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, Micros, SEC, Version};
use sumacvale_core::protocol::LogEntry;

/// A broken rule, as text for people who read a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(pub String);

/// A change that a node acknowledged as committed.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    /// The id of the change.
    pub change_id: ChangeId,
    /// The version that the change was built on.
    pub base: Version,
    /// The version that the change became.
    pub version: Version,
    /// When it was requested, in microseconds of true time.
    pub requested_at: Micros,
    /// When it was acknowledged, in microseconds of true time.
    pub acknowledged_at: Micros,
}

/// Checks from outside which outcomes operators received and what nodes would admit, independently of how nodes
/// decide.
#[derive(Clone, Debug, Default)]
pub struct SafetyChecker {
    /// The violations of a run; this checker adds none beyond `MAX_VIOLATIONS`.
    pub violations: Vec<Violation>,
    /// The log entry of each version, as held by the first node that had it. Every other node must hold the same.
    pub committed: BTreeMap<Version, LogEntry>,
    /// Acknowledged changes, in the order of their acknowledgements. None may be lost or rejected.
    pub acknowledged: Vec<Acknowledgement>,
    /// Changes that were rejected for good. None may ever be committed.
    pub rejected: Vec<ChangeId>,
    /// When each version was first held by any node, in microseconds of true time.
    pub first_committed_at: BTreeMap<Version, Micros>,
    /// Workers that ended or began to drain, and when.
    pub removed_workers: BTreeMap<String, Micros>,
}

/// The number of violations from which a checker adds no more.
const MAX_VIOLATIONS: usize = 20;
/// Every node applies a revocation within this time; true time may run a little faster than any clock.
pub const REVOCATION_DEADLINE: Micros = 5 * SEC;
/// No node sends calls to a worker after this time since the worker ended or began to drain.
pub const WORKER_REMOVAL_DEADLINE: Micros = 2 * SEC;

impl SafetyChecker {
    /// Records a violation, unless there are many already: later ones mostly repeat the first.
    fn report(&mut self, text: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation(text));
        }
    }

    /// Records that a node holds this log entry as committed.
    pub fn record_committed(&mut self, node: &str, entry: &LogEntry, now: Micros) {
        match self.committed.get(&entry.version) {
            Some(other) if other == entry => {}
            Some(other) => {
                let text = format!(
                    "{now}: {node} holds version {} of change {:?}, others of {:?}",
                    entry.version, entry.change_id, other.change_id
                );
                self.report(text);
            }
            None => {
                if self.rejected.contains(&entry.change_id) {
                    self.report(format!("{now}: change {:?} was rejected and is committed on {node}", entry.change_id));
                }
                self.committed.insert(entry.version, entry.clone());
                self.first_committed_at.insert(entry.version, now);
            }
        }
    }

    /// Records that an operator received the acknowledgement of its change.
    pub fn record_acknowledgement(&mut self, new: Acknowledgement) {
        for old in self.acknowledged.clone() {
            if old.base == new.base && old.change_id != new.change_id {
                self.report(format!(
                    "{}: changes {:?} and {:?} on base {} were both acknowledged",
                    new.acknowledged_at, old.change_id, new.change_id, new.base
                ));
            }
            let was_known = old.acknowledged_at < new.requested_at;
            if was_known && old.version >= new.version && old.change_id != new.change_id {
                self.report(format!(
                    "{}: a change requested after version {} was acknowledged became version {}",
                    new.acknowledged_at, old.version, new.version
                ));
            }
        }
        if self.rejected.contains(&new.change_id) {
            self.report(format!(
                "{}: change {:?} was rejected and then acknowledged",
                new.acknowledged_at, new.change_id
            ));
        }
        self.acknowledged.push(new);
    }

    /// Records that an operator received the final rejection of its change.
    pub fn record_rejection(&mut self, change_id: ChangeId, now: Micros) {
        let is_acknowledged = self.acknowledged.iter().any(|change| change.change_id == change_id);
        if self.is_committed(change_id) || is_acknowledged {
            self.report(format!("{now}: change {change_id:?} was rejected and is committed"));
        }
        self.rejected.push(change_id);
    }

    /// Checks that a node which admits calls by this version has applied all revocations that are due.
    pub fn check_admission(&mut self, node: &str, version: Version, now: Micros) {
        let overdue = self.acknowledged.iter().filter(|change| change.acknowledged_at + REVOCATION_DEADLINE < now);
        if let Some(due) = overdue.map(|change| change.version).max()
            && version < due
        {
            self.report(format!(
                "{now}: {node} admits calls by version {version}, {due} was acknowledged over 5 s ago"
            ));
        }
    }

    /// Checks that the version of a node never decreases.
    pub fn check_version_change(&mut self, node: &str, from: Version, to: Version, now: Micros) {
        if to < from {
            self.report(format!("{now}: {node} went back from version {from} to {to}"));
        }
    }

    /// Checks that a node which would send calls to this worker doesn't do so past the deadline of its removal.
    pub fn check_routing(&mut self, node: &str, worker: &str, now: Micros) {
        if let Some(removed_at) = self.removed_workers.get(worker)
            && now > removed_at + WORKER_REMOVAL_DEADLINE
        {
            self.report(format!("{now}: {node} sends calls to {worker}, which was removed at {removed_at}"));
        }
    }

    /// Checks at the end of a run that every acknowledged change is committed, and no rejected one is.
    pub fn check_acknowledged_versions(&mut self) {
        for change in self.acknowledged.clone() {
            match self.committed.get(&change.version) {
                Some(entry) if entry.change_id == change.change_id => {}
                Some(entry) => self.report(format!(
                    "version {} was acknowledged for change {:?} and is change {:?}",
                    change.version, change.change_id, entry.change_id
                )),
                None => self.report(format!("version {} was acknowledged and no node holds it", change.version)),
            }
        }
        for change_id in self.rejected.clone() {
            if self.is_committed(change_id) {
                self.report(format!("change {change_id:?} was rejected and is committed"));
            }
        }
    }

    fn is_committed(&self, change_id: ChangeId) -> bool {
        self.committed.values().any(|entry| entry.change_id == change_id)
    }
}
