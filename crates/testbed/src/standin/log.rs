//! The log of the calls that workers ran.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a call at a worker.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    /// The id of the call, chosen by the client.
    pub call_id: String,
    /// The name of the tenant, as sent by the front.
    pub tenant: String,
    /// The path of the request.
    pub path: String,
    /// The shared prefix of the prompt.
    pub prefix: String,
    /// The id of the worker.
    pub worker: String,
    /// The zone of the worker.
    pub zone: String,
    /// The time at which the run began.
    pub started_at: Instant,
    /// The last event before a resumed run; `None` for a run that was not resumed.
    pub last_event_id: Option<u64>,
    /// The window that the quota unit of the call belongs to.
    pub quota_window: u64,
    /// The time at which the worker began to drain, if it was draining.
    pub draining_since: Option<Instant>,
}

/// The runs of all calls. Only test workers write this log; the checks compare it with the records of
/// clients. Clones share the runs.
#[derive(Clone, Debug, Default)]
pub struct WorkerLog(Arc<Mutex<Vec<WorkerRun>>>);

impl WorkerLog {
    /// Adds a run.
    pub fn add(&self, run: WorkerRun) {
        if let Ok(mut runs) = self.0.lock() {
            runs.push(run);
        }
    }

    /// Returns all runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<WorkerRun> {
        self.0.lock().map(|runs| runs.clone()).unwrap_or_default()
    }
}
