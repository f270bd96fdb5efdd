//! The workers' log of the calls that they ran.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a call at a worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    /// The id that the client gave the call.
    pub call: String,
    /// The tenant, as the front named it.
    pub tenant: String,
    /// The path of the request.
    pub path: String,
    /// The shared start of the prompt.
    pub prefix: String,
    /// The id of the worker.
    pub worker: String,
    /// The zone of the worker.
    pub zone: String,
    /// When the run began.
    pub began: Instant,
    /// The event after which a resumed run continued.
    pub resumed_after: Option<u64>,
    /// The window that its unit of the quota belongs to.
    pub quota_window: u64,
    /// When the worker had begun to drain, if it had.
    pub draining_since: Option<Instant>,
}

/// What really ran: only stand-in workers write it, so that it can be compared with what the
/// clients saw. Clones share the runs.
#[derive(Clone, Debug, Default)]
pub struct WorkerLog(Arc<Mutex<Vec<WorkerRun>>>);

impl WorkerLog {
    /// Adds a run.
    pub fn add(&self, run: WorkerRun) {
        if let Ok(mut runs) = self.0.lock() {
            runs.push(run);
        }
    }

    /// All runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<WorkerRun> {
        self.0.lock().map(|runs| runs.clone()).unwrap_or_default()
    }
}
