//! A simulated worker: how it behaves, what it runs, and what is sent to it.

use std::collections::BTreeMap;
use sumacvale_core::base::Micros;

/// How a worker behaves for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerBehaviour {
    Well,
    /// Runs calls and says nothing.
    Hang,
    /// Runs calls and closes the connection without a word.
    Mute,
    /// Breaks responses off, in the middle of a piece.
    Cut,
    /// AnswerTimes its responses too early, in such a way that the end can't be told from a break.
    Bare,
    /// Takes no call, and says so.
    Decline,
    /// Nothing reaches it, nothing comes from it.
    Dark,
    /// Closes connections that were kept, just when they are used.
    Reset,
    /// Needs ten times as long.
    Slow,
    /// Skips a piece of streams whose pieces are counted.
    Skip,
}

/// The other end of one try: which machine, which life of it, which call, which try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOrigin {
    pub slot: usize,
    pub life: u64,
    pub call: u64,
    pub no: u64,
}

#[derive(Clone, Debug)]
pub(in crate::sim) struct RunningRequest {
    pub(in crate::sim) to: AttemptOrigin,
    pub(in crate::sim) path: &'static str,
    pub(in crate::sim) mode: WorkerBehaviour,
    /// The piece that comes next.
    pub(in crate::sim) next: u64,
    /// The head was sent.
    pub(in crate::sim) head: bool,
    /// Half of the next piece was sent.
    pub(in crate::sim) half: bool,
}

#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub pool: &'static str,
    pub zone: String,
    pub incarnation: u64,
    pub seq: u64,
    pub up: bool,
    pub drain: bool,
    /// Since when it drains or is to be replaced.
    pub drained: Option<Micros>,
    pub due: Micros,
    pub mode: (WorkerBehaviour, Micros),
    pub(in crate::sim) runs: BTreeMap<u64, RunningRequest>,
    /// How many runs it began.
    pub(in crate::sim) n: u64,
}

pub const SLOTS: u32 = 8;

/// One run of a call, as the worker itself tells it.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    pub call: u64,
    pub tenant: String,
    pub path: &'static str,
    pub worker: usize,
    pub at: Micros,
    /// The piece that it began with.
    pub from: u64,
    pub window: u64,
    pub drained: Option<Micros>,
}

/// What is sent for one try.
#[derive(Clone, Debug)]
pub struct WorkerRequest {
    pub to: AttemptOrigin,
    pub tenant: String,
    pub path: &'static str,
    pub after: Option<u64>,
    pub window: u64,
    /// The life of the worker that the connection was made to.
    pub incarnation: u64,
}

impl Worker {
    pub fn new(id: String, pool: &'static str, zone: String, due: Micros) -> Self {
        Worker {
            id,
            pool,
            zone,
            incarnation: 1,
            seq: 0,
            up: true,
            drain: false,
            drained: None,
            due,
            mode: (WorkerBehaviour::Well, 0),
            runs: BTreeMap::new(),
            n: 0,
        }
    }

    pub fn mode(&self, now: Micros) -> WorkerBehaviour {
        if self.mode.1 > now { self.mode.0 } else { WorkerBehaviour::Well }
    }

    /// A new life at the same address.
    pub fn renew(&mut self) {
        self.up = true;
        self.drain = false;
        self.drained = None;
        self.incarnation += 1;
        self.seq = 0;
    }
}
