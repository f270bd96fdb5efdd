//! The callers of a partition run: operators who submit documents, and workers that report.

use super::results::CallerKind;
use sumacvale_core::base::{Micros, hash64};
use sumacvale_core::protocol::{UNKNOWN_INCARNATION, WorkerReport};

/// A request without a response so far.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) caller: CallerKind,
    /// The index of the operator or worker that sent the request; 0 for a read.
    pub(super) sender: usize,
    pub(super) core: usize,
    pub(super) sent_at: Micros,
}

/// A configuration document that an operator submits on a base.
#[derive(Clone, Debug)]
pub(super) struct Document {
    /// The revision that the document replaces.
    pub(super) base: u64,
    pub(super) revision: u64,
    pub(super) body: String,
}

/// An operator and the document that it submits until the outcome is known.
#[derive(Clone, Debug, Default)]
pub(super) struct Operator {
    /// `None` between two documents.
    pub(super) document: Option<Document>,
    /// When the operator sends its next request.
    pub(super) due: Micros,
    /// The time until the next retry.
    pub(super) backoff: Micros,
}

/// A worker that reports, drains and deregisters.
#[derive(Clone, Debug)]
pub(super) struct Reporter {
    pub(super) id: String,
    /// The core that the worker reports to.
    pub(super) core: usize,
    /// The sequence number of the last report.
    pub(super) seq: u64,
    pub(super) state: ReporterState,
    /// When the worker sends its next report.
    pub(super) due: Micros,
    /// Reports in a row that were not acknowledged.
    pub(super) failed_attempts: u32,
}

/// The state that a worker reports next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReporterState {
    Ready,
    Draining,
    /// The worker's draining state is acknowledged; the worker deregisters.
    Leaving,
}

impl Reporter {
    /// A ready worker whose first report is due at `due`.
    pub(super) fn new(id: String, core: usize, due: Micros) -> Self {
        Reporter { id, core, seq: 0, state: ReporterState::Ready, due, failed_attempts: 0 }
    }

    /// Makes the next report of this worker.
    pub(super) fn next_report(&mut self) -> WorkerReport {
        self.seq += 1;
        WorkerReport {
            worker_id: self.id.clone(),
            incarnation: UNKNOWN_INCARNATION,
            seq: self.seq,
            addr: format!("10.8.0.1:{}", 1_000 + hash64(self.id.as_bytes()) % 60_000),
            pool: "p".into(),
            zone: "z0".into(),
            slots: 4,
            draining: self.state == ReporterState::Draining,
            ..WorkerReport::default()
        }
    }
}

/// Makes the body of a document; the serial makes each body unique.
pub(super) fn document_body(revision: u64, serial: u64) -> String {
    format!("{{\"revision\":{revision},\"pools\":{{\"p{serial}\":{{}}}}}}")
}

/// The revision of a document; 0 for a text without one.
pub(super) fn revision_of(document: &str) -> u64 {
    let digits = document.trim_start_matches("{\"revision\":").split(',').next().unwrap_or("");
    digits.parse().unwrap_or(0)
}
