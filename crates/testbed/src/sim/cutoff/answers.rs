//! Handles the responses that callers receive, and requests that time out.

use super::callers::{PendingRequest, Reporter, ReporterState, revision_of};
use super::judge::Contact;
use super::results::CallerKind;
use super::{CORES, Driver};
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::protocol::ChangeOutcome;

/// A caller without a response after this time goes on to another node.
const REQUEST_TIMEOUT: Micros = SEC;

impl Driver {
    /// Handles all outcomes and acknowledgements that arrived since the last step.
    pub(super) fn handle_responses(&mut self) {
        for (request_id, outcome) in std::mem::take(&mut self.world.change_outcomes) {
            let Some(request) = self.pending_requests.remove(&request_id) else { continue };
            match request.caller {
                CallerKind::Read => self.handle_read(request_id, &request, outcome),
                _ => self.handle_change_outcome(&request, outcome),
            }
        }
        for (request_id, acknowledged) in std::mem::take(&mut self.world.report_acknowledgements) {
            let Some(request) = self.pending_requests.remove(&request_id) else { continue };
            self.check_response(&request, Some(acknowledged));
            self.handle_report_ack(&request, acknowledged);
        }
    }

    /// Checks that a read returns no document older than the newest one acknowledged before the read was sent.
    pub(super) fn handle_read(&mut self, request_id: u64, request: &PendingRequest, outcome: ChangeOutcome) {
        let newest = self.newest_before_read.remove(&request_id).unwrap_or(0);
        let ChangeOutcome::Content { text } = outcome else {
            return self.check_response(request, Some(false));
        };
        self.check_response(request, Some(true));
        if revision_of(&text) < newest {
            let message = format!(
                "core {} returned revision {} after revision {newest} was acknowledged",
                request.core,
                revision_of(&text)
            );
            self.record_violation(message);
        }
    }

    /// Ends an operator's change that is acknowledged or rejected, and schedules a retry of any other.
    pub(super) fn handle_change_outcome(&mut self, request: &PendingRequest, outcome: ChangeOutcome) {
        let now = self.world.now;
        let Some(document) = self.operators[request.sender].document.clone() else { return };
        match outcome {
            ChangeOutcome::Committed { .. } => {
                self.check_response(request, Some(true));
                if self.acknowledged.iter().any(|other| other.base == document.base && other.body != document.body) {
                    self.record_violation(format!("two documents on base {} were acknowledged", document.base));
                }
                self.acknowledged.push(document);
                self.last_acknowledging_core = request.core;
                self.results.acknowledged += 1;
            }
            ChangeOutcome::Stale { .. } => {
                self.check_response(request, None);
                self.rejected_bodies.insert(document.body);
                self.results.rejected += 1;
            }
            ChangeOutcome::NoQuorum | ChangeOutcome::Unknown => {
                self.check_response(request, Some(false));
                return self.schedule_retry(request.sender, now);
            }
            other => return self.record_violation(format!("a valid change got the outcome {other:?}")),
        }
        self.operators[request.sender].document = None;
        self.operators[request.sender].due = now + 50 * MS + self.world.rng.next_below(400 * MS);
    }

    /// Schedules the same change of an operator again; the backoff doubles up to 800 ms.
    pub(super) fn schedule_retry(&mut self, sender: usize, now: Micros) {
        let operator = &mut self.operators[sender];
        operator.due = now + operator.backoff;
        operator.backoff = (operator.backoff * 2).min(800 * MS);
    }

    /// Moves a worker on to its next state after an acknowledgement, or to the next core without one.
    pub(super) fn handle_report_ack(&mut self, request: &PendingRequest, acknowledged: bool) {
        let now = self.world.now;
        let reporter = &mut self.reporters[request.sender];
        if !acknowledged {
            reporter.core = (reporter.core + 1) % CORES;
            reporter.failed_attempts += 1;
            reporter.due = now + 50 * MS;
            return;
        }
        reporter.failed_attempts = 0;
        match request.caller {
            CallerKind::Drain => {
                reporter.state = ReporterState::Leaving;
                reporter.due = now + 2 * SEC;
            }
            CallerKind::Deregister => {
                self.last_serial += 1;
                *reporter = Reporter::new(format!("v{}", self.last_serial), reporter.core, now + SEC);
            }
            _ => {}
        }
    }

    /// Ends requests that got no response within [`REQUEST_TIMEOUT`].
    pub(super) fn expire_requests(&mut self) {
        let now = self.world.now;
        let expired: Vec<_> = self
            .pending_requests
            .iter()
            .filter(|request| now >= request.1.sent_at + REQUEST_TIMEOUT)
            .map(|request| *request.0)
            .collect();
        for request_id in expired {
            let Some(request) = self.pending_requests.remove(&request_id) else { continue };
            let contact = self.contact(request.core, request.sent_at, now);
            if matches!(contact, Contact::Partitioned(_)) {
                self.record_violation(format!(
                    "core {} sent no response to {:?} within a second: {contact:?}",
                    request.core, request.caller
                ));
            }
            if let Some(stats) = self.stats_of(contact, request.caller) {
                stats.calls += 1;
                stats.timed_out += 1;
            }
            match request.caller {
                CallerKind::Change => self.schedule_retry(request.sender, now),
                CallerKind::Read => {}
                _ => self.handle_report_ack(&request, false),
            }
        }
    }
}
