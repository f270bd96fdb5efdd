//! A simulated worker: how it behaves, which requests it runs, and what is sent to it.

use std::collections::BTreeMap;
use sumacvale_core::base::Micros;

/// How a worker behaves for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerBehaviour {
    /// Runs each request as it should.
    Well,
    /// Runs requests and sends no response.
    Hang,
    /// Runs requests and closes the connection without a response.
    Mute,
    /// Aborts responses in the middle of a piece.
    Cut,
    /// Ends its responses early, without framing by which the end could be told from an abort.
    Bare,
    /// Rejects each request with 503 and says that it did not run.
    Decline,
    /// Unreachable: nothing reaches it, and nothing comes from it.
    Dark,
    /// Closes pooled connections just when they are used again (every odd attempt).
    Reset,
    /// Takes ten times as long for each piece.
    Slow,
    /// Skips one piece of streams whose pieces are numbered.
    Skip,
}

/// The other end of one try: which machine, which life of it, which call, which try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
/// The node's side of one attempt.
pub struct AttemptOrigin {
    /// The machine of the front.
    pub machine: usize,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The number of the call.
    pub call: u64,
    /// The number of the attempt, from 1.
    pub attempt: u64,
}

#[derive(Clone, Debug)]
/// A request that a worker runs.
pub(in crate::sim) struct RunningRequest {
    pub(in crate::sim) origin: AttemptOrigin,
    pub(in crate::sim) path: &'static str,
    pub(in crate::sim) behaviour: WorkerBehaviour,
    /// The piece that is sent next.
    pub(in crate::sim) next_piece: u64,
    /// Whether the response head was sent.
    pub(in crate::sim) head_sent: bool,
    /// Whether half of the next piece was sent.
    pub(in crate::sim) half_sent: bool,
}

#[derive(Debug)]
/// A simulated worker process at a fixed address.
pub struct Worker {
    /// The id under which it reports.
    pub id: String,
    /// The pool that it serves.
    pub pool: &'static str,
    /// Its zone.
    pub zone: String,
    /// Its incarnation, counted up by each restart.
    pub incarnation: u64,
    /// The sequence number of its last report.
    pub seq: u64,
    /// Whether the process runs.
    pub is_running: bool,
    /// Whether it reports that it drains.
    pub is_draining: bool,
    /// Since when it drains or is to be replaced.
    pub draining_since: Option<Micros>,
    /// When it reports next, in microseconds of true time.
    pub next_report_at: Micros,
    /// Its behaviour, and until when; afterwards it behaves well.
    pub mode: (WorkerBehaviour, Micros),
    pub(in crate::sim) running: BTreeMap<u64, RunningRequest>,
    /// How many requests it started, and so the number of the last one.
    pub(in crate::sim) requests_started: u64,
}

/// How many requests a worker runs at once.
pub const SLOTS: u32 = 8;

/// One run of a call, as the worker itself tells it.
#[derive(Clone, Debug)]
/// One execution of a call, as the worker itself records it.
pub struct ExecutionRecord {
    /// The number of the call.
    pub call: u64,
    /// The tenant that called.
    pub tenant: String,
    /// The request path.
    pub path: &'static str,
    /// The index of the worker.
    pub worker: usize,
    /// When it started, in microseconds of true time.
    pub started_at: Micros,
    /// The piece that the response began with: above 0 for a resumed stream.
    pub first_piece: u64,
    /// The quota window of the unit that the call ran with.
    pub quota_window: u64,
    /// Since when the worker drained, if it did.
    pub draining_since: Option<Micros>,
}

/// What is sent for one try.
#[derive(Clone, Debug)]
/// The request of one attempt, as it is sent to a worker.
pub struct WorkerRequest {
    /// Where responses go.
    pub origin: AttemptOrigin,
    /// The tenant that calls.
    pub tenant: String,
    /// The request path.
    pub path: &'static str,
    /// The last piece that the client has, for a stream to be resumed after it.
    pub last_event_id: Option<u64>,
    /// The quota window of the unit that the call runs with.
    pub quota_window: u64,
    /// The incarnation of the worker that the connection was opened to.
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
            mode: (WorkerBehaviour::Well, 0),
            running: BTreeMap::new(),
            requests_started: 0,
        }
    }

    /// How it behaves at this moment of true time.
    pub fn behaviour_at(&self, now: Micros) -> WorkerBehaviour {
        if self.mode.1 > now { self.mode.0 } else { WorkerBehaviour::Well }
    }

    /// A new incarnation starts at the same address.
    pub fn restart(&mut self) {
        self.is_running = true;
        self.is_draining = false;
        self.draining_since = None;
        self.incarnation += 1;
        self.seq = 0;
    }
}
