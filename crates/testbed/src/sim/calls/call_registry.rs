//! The data plane of one simulated process: its calls and what it holds for them.

use crate::sim::calls::outcome::Want;
use std::collections::BTreeMap;
use std::sync::Arc;
use sumacvale_core::base::Micros;
use sumacvale_core::call::{CallMachine, SharedCallState, ThreadCaches};
use sumacvale_core::node::View;

/// A call that has not ended.
#[derive(Debug)]
pub struct Alive {
    pub(in crate::sim) life: CallMachine,
    pub(in crate::sim) want: Want,
    pub(in crate::sim) at: Micros,
    pub(in crate::sim) first: Option<Micros>,
    pub(in crate::sim) body: Vec<u8>,
    /// The try it is at, and the worker at the other end with the life it was opened to.
    pub(in crate::sim) no: u64,
    pub(in crate::sim) to: Option<(usize, u64)>,
    pub(in crate::sim) turn: Micros,
}

impl Alive {
    /// Its timer went off, so another one may be set.
    pub(in crate::sim) fn turned(&mut self) {
        self.turn = 0;
    }
}

/// The data plane of one process.
#[derive(Debug)]
pub struct Hall {
    pub floor: Arc<SharedCallState>,
    pub own: ThreadCaches,
    pub view: Arc<View>,
    pub lives: BTreeMap<u64, Box<Alive>>,
}

impl Hall {
    pub fn new(floor: SharedCallState) -> Self {
        Hall { floor: Arc::new(floor), own: ThreadCaches::default(), view: Arc::default(), lives: BTreeMap::new() }
    }
}
