//! A simulated worker: its behaviour, its running requests, and the records of its executions.

use std::collections::BTreeMap;
use sumacvale_core::base::Micros;

/// The behaviour of a worker for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerBehaviour {
    /// Healthy: runs each request and sends the complete response.
    Healthy,
    /// Runs requests and sends no response.
    Hang,
    /// Runs requests and closes the connection without a response.
    NoResponse,
    /// Aborts responses in the middle of an event.
    Truncate,
    /// Ends responses early, without framing that would distinguish the end from an abort.
    Unframed,
    /// Rejects each request with 503 and marks it as not run.
    Reject,
    /// Unreachable: receives and sends nothing.
    Unreachable,
    /// Closes pooled connections at the moment of their reuse (every odd attempt).
    Reset,
    /// Takes ten times as long for each event.
    Slow,
    /// Skips one event of resumable streams.
    Skip,
    /// Sends nothing for a while in the middle of each stream, and then the rest.
    Pause,
}

impl WorkerBehaviour {
    /// Whether the worker sends the complete response, however late.
    pub(in crate::sim) fn is_sound(self) -> bool {
        matches!(self, WorkerBehaviour::Healthy | WorkerBehaviour::Slow | WorkerBehaviour::Pause)
    }
}

/// The origin of one attempt: the node's process, the call, and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOrigin {
    /// The machine of the front.
    pub machine: usize,
    /// The incarnation of the front's process.
    pub incarnation: u64,
    /// The number of the call.
    pub call: u64,
    /// The number of the attempt, from 1.
    pub attempt: u64,
}

/// A request that a worker runs.
#[derive(Clone, Debug)]
pub(in crate::sim) struct RunningRequest {
    pub(in crate::sim) origin: AttemptOrigin,
    pub(in crate::sim) path: &'static str,
    pub(in crate::sim) behaviour: WorkerBehaviour,
    /// The number of the event that is sent next.
    pub(in crate::sim) next_event: u64,
    /// Whether the response head was sent.
    pub(in crate::sim) is_head_sent: bool,
    /// Whether the first part of the next event was sent.
    pub(in crate::sim) is_first_part_sent: bool,
}

/// A simulated worker process at a fixed address.
#[derive(Debug)]
pub struct Worker {
    /// The id in the worker's reports.
    pub id: String,
    /// The pool that the worker serves.
    pub pool: &'static str,
    /// The worker's zone.
    pub zone: String,
    /// The incarnation of the process; each restart increments it.
    pub incarnation: u64,
    /// The sequence number of the last report; restarts from 0 with each incarnation.
    pub seq: u64,
    /// Whether the process runs.
    pub is_running: bool,
    /// Whether the worker's reports say that it drains.
    pub is_draining: bool,
    /// Since when the worker drains or is about to be replaced.
    pub draining_since: Option<Micros>,
    /// When the next report is due, in microseconds of true time.
    pub next_report_at: Micros,
    /// The behaviour of the worker, and until when; afterwards the worker is healthy.
    pub behaviour: (WorkerBehaviour, Micros),
    /// Running requests by number; at most [`SLOTS`].
    pub(in crate::sim) running: BTreeMap<u64, RunningRequest>,
    /// The number of requests that were started, which is also the number of the last one.
    pub(in crate::sim) requests_started: u64,
}

/// The number of requests that a worker runs at once.
pub const SLOTS: u32 = 8;

/// One execution of a call, as recorded by the worker.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// The number of the call.
    pub call: u64,
    /// The tenant that called.
    pub tenant: String,
    /// The request path.
    pub path: &'static str,
    /// The index of the worker.
    pub worker: usize,
    /// When the execution started, in microseconds of true time.
    pub started_at: Micros,
    /// The event that the response began with: above 0 for a resumed stream.
    pub first_event: u64,
    /// The quota window of the unit that the call ran with.
    pub quota_window: u64,
    /// Since when the worker was draining at the start; `None` if it was not.
    pub draining_since: Option<Micros>,
}

/// The request of one attempt, as sent to a worker.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    /// The attempt that receives the response.
    pub origin: AttemptOrigin,
    /// The tenant that calls.
    pub tenant: String,
    /// The request path.
    pub path: &'static str,
    /// The last event that the client has, where a stream is to be resumed after it.
    pub last_event_id: Option<u64>,
    /// The quota window of the unit that the call runs with.
    pub quota_window: u64,
    /// The incarnation of the worker when the connection was opened.
    pub incarnation: u64,
}

impl Worker {
    /// A running worker of incarnation 1 whose first report is due at `due`.
    pub fn new(id: String, pool: &'static str, zone: String, due: Micros) -> Self {
        Worker {
            id,
            pool,
            zone,
            incarnation: 1,
            seq: 0,
            is_running: true,
            is_draining: false,
            draining_since: None,
            next_report_at: due,
            behaviour: (WorkerBehaviour::Healthy, 0),
            running: BTreeMap::new(),
            requests_started: 0,
        }
    }

    /// The behaviour at this moment of true time.
    pub fn behaviour_at(&self, now: Micros) -> WorkerBehaviour {
        if self.behaviour.1 > now { self.behaviour.0 } else { WorkerBehaviour::Healthy }
    }

    /// Starts a new incarnation at the same address.
    pub fn restart(&mut self) {
        self.is_running = true;
        self.is_draining = false;
        self.draining_since = None;
        self.incarnation += 1;
        self.seq = 0;
    }
}
