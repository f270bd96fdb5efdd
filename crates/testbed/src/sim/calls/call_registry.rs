//! The data plane of one simulated process: its active calls and the state that they share.

use crate::sim::calls::outcome::CallRequest;
use std::collections::BTreeMap;
use std::sync::Arc;
use sumacvale_core::base::Micros;
use sumacvale_core::call::{CallMachine, SharedCallState, ThreadCaches};
use sumacvale_core::node::View;

/// The connection of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptConnection {
    /// The number of the attempt, from 1.
    pub(in crate::sim) attempt: u64,
    /// The index of the worker.
    pub(in crate::sim) worker: usize,
    /// The worker's incarnation when the connection was opened.
    pub(in crate::sim) incarnation: u64,
}

/// A call that has not ended.
#[derive(Debug)]
pub struct ActiveCall {
    pub(in crate::sim) machine: CallMachine,
    pub(in crate::sim) request: CallRequest,
    /// When the call began, in microseconds of true time.
    pub(in crate::sim) started_at: Micros,
    /// When the response head was forwarded, in microseconds of true time.
    pub(in crate::sim) first_byte_at: Option<Micros>,
    pub(in crate::sim) response_body: Vec<u8>,
    /// When the head or a part of the body was last forwarded, in microseconds of true time.
    pub(in crate::sim) last_forwarded_at: Micros,
    /// The number of attempts so far.
    pub(in crate::sim) attempts: u64,
    /// The connection of the current attempt.
    pub(in crate::sim) connection: Option<AttemptConnection>,
    /// The connection of the suspended response.
    pub(in crate::sim) suspended: Option<AttemptConnection>,
    /// When the call's timer expires; 0 while none is set.
    pub(in crate::sim) timer_at: Micros,
}

impl ActiveCall {
    /// Clears the timer once it has expired, so that another one may be set.
    pub(in crate::sim) fn clear_timer(&mut self) {
        self.timer_at = 0;
    }
}

/// The data plane of one process.
#[derive(Debug)]
pub struct CallRegistry {
    /// State that all calls of the process share.
    pub shared: Arc<SharedCallState>,
    /// Caches that the real node keeps for each thread; the simulated process has one thread.
    pub thread_caches: ThreadCaches,
    /// The view that the node published last.
    pub view: Arc<View>,
    /// Calls that have not ended, by number.
    pub active: BTreeMap<u64, Box<ActiveCall>>,
}

impl CallRegistry {
    /// A data plane without calls.
    pub fn new(shared: SharedCallState) -> Self {
        CallRegistry {
            shared: Arc::new(shared),
            thread_caches: ThreadCaches::default(),
            view: Arc::default(),
            active: BTreeMap::new(),
        }
    }
}
