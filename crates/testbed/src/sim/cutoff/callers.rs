//! Those who call in such a run: operators with their orders, workers with their reports.

use super::seen::Caller;
use sumacvale_core::base::{Micros, hash64};
use sumacvale_core::protocol::{UNNUMBERED_INCARNATION, WorkerReport};

/// A call under way.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) caller: Caller,
    /// The operator or the worker.
    pub(super) by: usize,
    pub(super) core: usize,
    pub(super) at: Micros,
}

/// An operator with the order that it wants taken.
#[derive(Clone, Debug, Default)]
pub(super) struct Operator {
    /// The order, by base, number and document.
    pub(super) order: Option<(u64, u64, String)>,
    pub(super) due: Micros,
    pub(super) pause: Micros,
}

/// A worker that reports, drains and leaves.
#[derive(Clone, Debug)]
pub(super) struct Reporter {
    pub(super) id: String,
    pub(super) core: usize,
    pub(super) number: u64,
    pub(super) state: State,
    pub(super) due: Micros,
    pub(super) tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Ready,
    Drains,
    Leaves,
}

impl Reporter {
    pub(super) fn new(id: String, core: usize, now: Micros) -> Self {
        Reporter { id, core, number: 0, state: State::Ready, due: now, tries: 0 }
    }

    pub(super) fn row(&mut self) -> WorkerReport {
        self.number += 1;
        WorkerReport {
            worker_id: self.id.clone(),
            incarnation: UNNUMBERED_INCARNATION,
            seq: self.number,
            addr: format!("10.8.0.1:{}", 1_000 + hash64(self.id.as_bytes()) % 60_000),
            pool: "p".into(),
            zone: "z0".into(),
            slots: 4,
            draining: self.state == State::Drains,
            ..WorkerReport::default()
        }
    }
}

pub(super) fn document(number: u64, serial: u64) -> String {
    format!("{{\"revision\":{number},\"pools\":{{\"p{serial}\":{{}}}}}}")
}

pub(super) fn number_of(document: &str) -> u64 {
    let digits = document.trim_start_matches("{\"revision\":").split(',').next().unwrap_or("");
    digits.parse().unwrap_or(0)
}
