//! Readers, operators and workers call cores.

use super::callers::{OpenRequest, State, document};
use super::seen::Caller;
use super::{BEAT, CORES, Driver};
use sumacvale_core::base::{ChangeId, MS, Micros, hash64};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Change, UNNUMBERED_INCARNATION, WorkerReport};

impl Driver {
    pub(super) fn call(&mut self, caller: Caller, by: usize, core: usize) -> u64 {
        self.serial += 1;
        self.open.insert(self.serial, OpenRequest { caller, by, core, at: self.world.now });
        self.serial
    }

    pub(super) fn read(&mut self) {
        let core = usize::try_from(self.world.rng.below(CORES as u64)).unwrap_or(0);
        let req = self.call(Caller::Read, 0, core);
        let newest = self.acked.iter().map(|a| a.1).max().unwrap_or(0);
        self.readers.insert(req, newest);
        self.put(core, req, ChangeId(0), 0, Change::ReadNewest);
    }

    pub(super) fn put(&mut self, core: usize, req: u64, change_id: ChangeId, base: u64, change: Change) {
        self.world.step(core, Event::SubmitChange { request_id: req, change_id, is_first_send: false, base, change });
    }

    pub(super) fn operators(&mut self, now: Micros) {
        for by in 0..self.operators.len() {
            let waits = self.open.values().any(|o| o.caller == Caller::Order && o.by == by);
            if waits || now < self.operators[by].due {
                continue;
            }
            if self.operators[by].order.is_none() {
                let base = self.acked.iter().map(|a| a.1).max().unwrap_or(0);
                let number = base + 1 + self.world.rng.below(5);
                self.serial += 1;
                self.operators[by].order = Some((base, number, document(number, self.serial)));
                self.operators[by].pause = 100 * MS;
            }
            let Some((base, _, body)) = self.operators[by].order.clone() else { continue };
            let core = usize::try_from(self.world.rng.below(CORES as u64)).unwrap_or(0);
            let req = self.call(Caller::Order, by, core);
            self.put(core, req, ChangeId(hash64(body.as_bytes()).max(1)), base, Change::Document(body));
        }
    }

    pub(super) fn reports(&mut self, now: Micros) {
        for by in 0..self.reporters.len() {
            let waits = self.open.values().any(|o| o.by == by && !matches!(o.caller, Caller::Order | Caller::Read));
            if waits || now < self.reporters[by].due {
                continue;
            }
            if self.reporters[by].state == State::Ready && self.world.rng.chance(8) {
                self.reporters[by].state = State::Drains;
            }
            let r = &mut self.reporters[by];
            r.due = now + BEAT;
            let (core, row) = (r.core, r.row());
            let (caller, row) = match r.state {
                State::Ready => (Caller::Beat, row),
                State::Drains => (Caller::Drain, row),
                State::Leaves => (Caller::Leave, WorkerReport::removal(&row.worker_id, UNNUMBERED_INCARNATION)),
            };
            let req = self.call(caller, by, core);
            self.world.step(core, Event::ReportWithAck { request_id: req, report: row });
        }
    }
}
