//! Safety of the configuration log: one entry for each version, nothing acknowledged is lost, nothing
//! rejected is committed, and no node goes on with what was revoked.

use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, Micros, SEC, Version};
use sumacvale_core::protocol::LogEntry;

/// One thing that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
/// Something that must never happen, and did.
pub struct Violation(pub String);

#[derive(Clone, Copy, Debug)]
/// A change that a node acknowledged as committed.
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

/// Judges from outside: what operators were told and what nodes would admit. It knows nothing of how nodes decide.
#[derive(Clone, Debug, Default)]
/// Checks from outside what operators were answered and what nodes would admit, knowing nothing of how
/// nodes decide.
pub struct SafetyChecker {
    /// What was violated, at most twenty entries of its own.
    pub violations: Vec<Violation>,
    /// The log entry of each version, as the first node that held it had it.
    pub committed: BTreeMap<Version, LogEntry>,
    /// Changes that were acknowledged, in the order of their acknowledgements.
    pub acknowledged: Vec<Acknowledgement>,
    /// Changes that were rejected for good.
    pub rejected: Vec<ChangeId>,
    /// When each version was first held by any node, in microseconds of true time.
    pub first_committed_at: BTreeMap<Version, Micros>,
    /// Workers that ended or began to drain, and when.
    pub removed_workers: BTreeMap<String, Micros>,
}

/// How many violations of its own a checker keeps.
const REPORTED_MOST: usize = 20;
/// A revocation is in force on every node after this; true time may run a little faster than any clock.
pub const REVOCATION_DEADLINE: Micros = 5 * SEC;
/// No node sends calls to a worker this long after it ended or began to drain.
pub const WORKER_REMOVAL_DEADLINE: Micros = 2 * SEC;

impl SafetyChecker {
    /// Keeps the first violations; those that follow mostly repeat them.
    fn report(&mut self, text: String) {
        if self.violations.len() < REPORTED_MOST {
            self.violations.push(Violation(text));
        }
    }

    /// A node holds this log entry as committed.
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
                    self.report(format!("{now}: change {:?} was refused and is in force on {node}", entry.change_id));
                }
                self.committed.insert(entry.version, entry.clone());
                self.first_committed_at.insert(entry.version, now);
            }
        }
    }

    /// An operator was told that its change is committed.
    pub fn record_acknowledgement(&mut self, new: Acknowledgement) {
        for old in self.acknowledged.clone() {
            if old.base == new.base && old.change_id != new.change_id {
                self.report(format!(
                    "{}: changes {:?} and {:?} on base {} were both accepted",
                    new.acknowledged_at, old.change_id, new.change_id, new.base
                ));
            }
            let was_known = old.acknowledged_at < new.requested_at;
            if was_known && old.version >= new.version && old.change_id != new.change_id {
                self.report(format!(
                    "{}: a change asked for after version {} was acknowledged became {}",
                    new.acknowledged_at, old.version, new.version
                ));
            }
        }
        if self.rejected.contains(&new.change_id) {
            self.report(format!("{}: change {:?} was refused and then accepted", new.acknowledged_at, new.change_id));
        }
        self.acknowledged.push(new);
    }

    /// An operator was told that its change is rejected for good.
    pub fn record_rejection(&mut self, change_id: ChangeId, now: Micros) {
        let is_acknowledged = self.acknowledged.iter().any(|change| change.change_id == change_id);
        if self.is_committed(change_id) || is_acknowledged {
            self.report(format!("{now}: change {change_id:?} was refused and is decided"));
        }
        self.rejected.push(change_id);
    }

    /// A node would admit calls now by this version.
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

    /// A node went from one version to another.
    pub fn check_version_change(&mut self, node: &str, from: Version, to: Version, now: Micros) {
        if to < from {
            self.report(format!("{now}: {node} slipped from version {from} back to {to}"));
        }
    }

    /// A node would send calls to this worker now.
    pub fn check_routing(&mut self, node: &str, worker: &str, now: Micros) {
        if let Some(removed_at) = self.removed_workers.get(worker)
            && now > removed_at + WORKER_REMOVAL_DEADLINE
        {
            self.report(format!("{now}: {node} sends calls to {worker}, which was gone at {removed_at}"));
        }
    }

    /// At the end of a run: every acknowledged version is the committed one, and no rejected change is committed.
    pub fn check_acknowledged_versions(&mut self) {
        for change in self.acknowledged.clone() {
            match self.committed.get(&change.version) {
                Some(entry) if entry.change_id == change.change_id => {}
                Some(entry) => self.report(format!(
                    "version {} was acknowledged for {:?} and is {:?}",
                    change.version, change.change_id, entry.change_id
                )),
                None => self.report(format!("version {} was acknowledged and no node holds it", change.version)),
            }
        }
        for change_id in self.rejected.clone() {
            if self.is_committed(change_id) {
                self.report(format!("change {change_id:?} was refused and is decided"));
            }
        }
    }

    fn is_committed(&self, change_id: ChangeId) -> bool {
        self.committed.values().any(|entry| entry.change_id == change_id)
    }
}
