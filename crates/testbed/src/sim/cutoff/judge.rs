//! Checks that a core responds in time and correctly, by its contact to a majority when it was called.

use super::Driver;
use super::callers::{PendingRequest, revision_of};
use super::results::{CallerKind, ResponseStats};
use crate::sim::checks::safety::Violation;
use std::collections::BTreeSet;
use sumacvale_core::base::{MS, Micros, SEC};

/// The deadline for a response of a core that may not have detected its partition yet.
const RESPONSE_DEADLINE: Micros = 500 * MS;
/// A core has detected its partition after this time, and responds within `DETECTED_RESPONSE_DEADLINE`.
const DETECTION_TIME: Micros = 1_500 * MS;
/// The deadline for a response of a core that has detected its partition.
const DETECTED_RESPONSE_DEADLINE: Micros = 120 * MS;
/// After the start of a partition a core may trust its last confirmation for this time.
const CONFIRMATION_VALIDITY: Micros = 800 * MS;
/// A core may need this time after the end of a partition to detect that it is connected again.
const REJOIN_GRACE: Micros = SEC;

/// The contact of a core to a majority while a request was pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contact {
    Connected,
    /// Partitioned when the request was sent, and for how long by then.
    Partitioned(Micros),
    /// A partition began while the request was pending, or ended within [`REJOIN_GRACE`] before it was sent.
    Changing,
}

impl Driver {
    /// Classifies the contact of a core between the sending of a request and its end.
    pub(super) fn contact(&self, core: usize, sent_at: Micros, ended_at: Micros) -> Contact {
        match (self.partition, self.last_partition) {
            (Some(partition), _) if partition.core == core && partition.started_at <= sent_at => {
                Contact::Partitioned(sent_at - partition.started_at)
            }
            (Some(partition), _) if partition.core == core && partition.started_at <= ended_at => Contact::Changing,
            (_, Some(last)) if last.core == core && sent_at < last.ended_at + REJOIN_GRACE => Contact::Changing,
            _ => Contact::Connected,
        }
    }

    /// The statistics that count a request; `None` while the contact changes.
    pub(super) fn stats_of(&mut self, contact: Contact, caller: CallerKind) -> Option<&mut ResponseStats> {
        match contact {
            Contact::Partitioned(_) => Some(self.results.partitioned.entry(caller).or_default()),
            Contact::Connected => Some(self.results.connected.entry(caller).or_default()),
            Contact::Changing => None,
        }
    }

    /// Counts a response and checks it: acknowledged (`true`), unavailable (`false`) or rejected for good (`None`).
    pub(super) fn check_response(&mut self, request: &PendingRequest, acknowledged: Option<bool>) {
        let now = self.world.now;
        let (contact, elapsed) = (self.contact(request.core, request.sent_at, now), now - request.sent_at);
        if let Some(stats) = self.stats_of(contact, request.caller) {
            stats.calls += 1;
            stats.unavailable += u64::from(acknowledged == Some(false));
            stats.response_times.push(elapsed);
        }
        let Contact::Partitioned(age) = contact else { return };
        let is_report = request.caller == CallerKind::Report;
        // A change that was committed before the partition may be acknowledged again.
        if acknowledged == Some(true)
            && request.caller != CallerKind::Change
            && (!is_report || age > CONFIRMATION_VALIDITY)
        {
            self.record_violation(format!(
                "core {} acknowledged {:?} {age} us after it was partitioned",
                request.core, request.caller
            ));
        }
        let deadline = if age > DETECTION_TIME { DETECTED_RESPONSE_DEADLINE } else { RESPONSE_DEADLINE };
        if elapsed > deadline {
            self.record_violation(format!(
                "core {} responded to {:?} after {elapsed} us, {age} us after it was partitioned",
                request.core, request.caller
            ));
        }
    }

    /// Heals the network and checks that every node then holds the newest acknowledged document, that all
    /// acknowledged documents are committed, and that no rejected one is.
    pub(super) fn check_final_state(&mut self) {
        self.world.blocked_links.clear();
        self.world.frame_loss = (0, 0);
        let settled_at = self.world.now + 4 * SEC;
        self.world.run(settled_at);
        let newest = self.acknowledged.iter().map(|document| document.revision).max().unwrap_or(0);
        let committed: BTreeSet<String> =
            self.world.safety.committed.values().map(|entry| entry.body.clone()).collect();
        for (index, machine) in self.world.machines.iter().enumerate() {
            let held =
                machine.node.as_ref().and_then(|node| node.consensus.state.newest()).map_or(0, |entry| entry.revision);
            if held < newest {
                self.results.violations.push(Violation(format!(
                    "node {index} holds revision {held} at the end, revision {newest} was acknowledged"
                )));
            }
        }
        for document in &self.acknowledged {
            if !committed.contains(&document.body) {
                self.results
                    .violations
                    .push(Violation(format!("revision {} was acknowledged and no node holds it", document.revision)));
            }
        }
        for body in self.rejected_bodies.iter().filter(|body| committed.contains(*body)) {
            self.results
                .violations
                .push(Violation(format!("revision {} was rejected and is committed", revision_of(body))));
        }
        self.results.violations.extend(self.world.safety.violations.clone());
        self.results.trace.clone_from(&self.world.trace);
    }
}
