//! Sends the requests of readers, operators and workers to cores.

use super::callers::{Document, PendingRequest, ReporterState, document_body};
use super::results::CallerKind;
use super::{CORES, Driver, REPORT_INTERVAL};
use sumacvale_core::base::{ChangeId, MS, Micros, hash64};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Change, UNKNOWN_INCARNATION, WorkerReport};

impl Driver {
    /// Records a new pending request and returns its id.
    pub(super) fn open_request(&mut self, caller: CallerKind, sender: usize, core: usize) -> u64 {
        self.last_serial += 1;
        let request = PendingRequest { caller, sender, core, sent_at: self.world.now };
        self.pending_requests.insert(self.last_serial, request);
        self.last_serial
    }

    /// Reads the newest document at a random core.
    pub(super) fn send_read(&mut self) {
        let core = usize::try_from(self.world.rng.next_below(CORES as u64)).unwrap_or(0);
        let request_id = self.open_request(CallerKind::Read, 0, core);
        let newest = self.acknowledged.iter().map(|document| document.revision).max().unwrap_or(0);
        self.newest_before_read.insert(request_id, newest);
        self.submit_change(core, request_id, ChangeId(0), 0, Change::ReadNewest);
    }

    /// Sends a change or a read to a core.
    pub(super) fn submit_change(
        &mut self,
        core: usize,
        request_id: u64,
        change_id: ChangeId,
        base: u64,
        change: Change,
    ) {
        self.world.step(core, Event::SubmitChange { request_id, change_id, is_first_send: false, base, change });
    }

    /// Sends the documents of operators that are due and have no request pending.
    pub(super) fn submit_due_changes(&mut self, now: Micros) {
        for sender in 0..self.operators.len() {
            let is_pending = self
                .pending_requests
                .values()
                .any(|request| request.caller == CallerKind::Change && request.sender == sender);
            if is_pending || now < self.operators[sender].due {
                continue;
            }
            if self.operators[sender].document.is_none() {
                let base = self.acknowledged.iter().map(|document| document.revision).max().unwrap_or(0);
                let revision = base + 1 + self.world.rng.next_below(5);
                self.last_serial += 1;
                let body = document_body(revision, self.last_serial);
                self.operators[sender].document = Some(Document { base, revision, body });
                self.operators[sender].backoff = 100 * MS;
            }
            let Some(Document { base, body, .. }) = self.operators[sender].document.clone() else { continue };
            let core = usize::try_from(self.world.rng.next_below(CORES as u64)).unwrap_or(0);
            let request_id = self.open_request(CallerKind::Change, sender, core);
            let change_id = ChangeId(hash64(body.as_bytes()).max(1));
            self.submit_change(core, request_id, change_id, base, Change::Document(body));
        }
    }

    /// Sends the reports of workers that are due and have no report pending.
    pub(super) fn send_due_reports(&mut self, now: Micros) {
        for sender in 0..self.reporters.len() {
            let is_pending = self.pending_requests.values().any(|request| {
                request.sender == sender && !matches!(request.caller, CallerKind::Change | CallerKind::Read)
            });
            if is_pending || now < self.reporters[sender].due {
                continue;
            }
            if self.reporters[sender].state == ReporterState::Ready && self.world.rng.chance_percent(8) {
                self.reporters[sender].state = ReporterState::Draining;
            }
            let reporter = &mut self.reporters[sender];
            reporter.due = now + REPORT_INTERVAL;
            let (core, report) = (reporter.core, reporter.next_report());
            let (caller, report) = match reporter.state {
                ReporterState::Ready => (CallerKind::Report, report),
                ReporterState::Draining => (CallerKind::Drain, report),
                ReporterState::Leaving => {
                    (CallerKind::Deregister, WorkerReport::removal(&report.worker_id, UNKNOWN_INCARNATION))
                }
            };
            let request_id = self.open_request(caller, sender, core);
            self.world.step(core, Event::ReportWithAck { request_id, report });
        }
    }
}
