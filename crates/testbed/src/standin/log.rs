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

/// A request that a worker read, whether or not it ran the call.
#[derive(Clone, Debug)]
pub struct WorkerArrival {
    /// The pool of the worker.
    pub pool: String,
    /// The id of the call, chosen by the client.
    pub call_id: String,
    /// The time at which the request was read.
    pub at: Instant,
}

/// The runs of all calls, and all requests that workers read. Only test workers write this log; the checks compare it
/// with the records of clients. Clones share the entries.
#[derive(Clone, Debug, Default)]
pub struct WorkerLog {
    runs: Arc<Mutex<Vec<WorkerRun>>>,
    arrivals: Arc<Mutex<Vec<WorkerArrival>>>,
}

impl WorkerLog {
    /// Adds a run.
    pub fn add(&self, run: WorkerRun) {
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(run);
        }
    }

    /// Adds a request that a worker of the pool reads now.
    pub fn add_arrival(&self, pool: &str, call_id: &str) {
        let arrival = WorkerArrival { pool: pool.to_owned(), call_id: call_id.to_owned(), at: Instant::now() };
        if let Ok(mut arrivals) = self.arrivals.lock() {
            arrivals.push(arrival);
        }
    }

    /// Returns all requests that workers have read so far.
    #[must_use]
    pub fn arrivals(&self) -> Vec<WorkerArrival> {
        self.arrivals.lock().map(|arrivals| arrivals.clone()).unwrap_or_default()
    }

    /// Returns all runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<WorkerRun> {
        self.runs.lock().map(|runs| runs.clone()).unwrap_or_default()
    }
}
