//! The data plane of one simulated process: its calls and what it holds for them.

use crate::sim::calls::outcome::CallRequest;
use std::collections::BTreeMap;
use std::sync::Arc;
use sumacvale_core::base::Micros;
use sumacvale_core::call::{CallMachine, SharedCallState, ThreadCaches};
use sumacvale_core::node::View;

/// A call that has not ended.
#[derive(Debug)]
pub struct ActiveCall {
    pub(in crate::sim) life: CallMachine,
    pub(in crate::sim) want: CallRequest,
    pub(in crate::sim) at: Micros,
    pub(in crate::sim) first: Option<Micros>,
    pub(in crate::sim) body: Vec<u8>,
    /// The try it is at, and the worker at the other end with the life it was opened to.
    pub(in crate::sim) no: u64,
    pub(in crate::sim) to: Option<(usize, u64)>,
    pub(in crate::sim) turn: Micros,
}

impl ActiveCall {
    /// Its timer went off, so another one may be set.
    pub(in crate::sim) fn turned(&mut self) {
        self.turn = 0;
    }
}

/// The data plane of one process.
#[derive(Debug)]
pub struct CallRegistry {
    pub floor: Arc<SharedCallState>,
    pub own: ThreadCaches,
    pub view: Arc<View>,
    pub lives: BTreeMap<u64, Box<ActiveCall>>,
}

impl CallRegistry {
    pub fn new(floor: SharedCallState) -> Self {
        CallRegistry {
            floor: Arc::new(floor),
            own: ThreadCaches::default(),
            view: Arc::default(),
            lives: BTreeMap::new(),
        }
    }
}
