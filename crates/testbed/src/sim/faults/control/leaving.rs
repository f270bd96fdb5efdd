//! Workers that leave, and ask until a machine acknowledges it.

use super::{Control, ControlAction, core};
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Event;

/// A worker that nobody acknowledges asks the next node after this, and ends after `GIVE_UP`.
const NEXT_NODE: Micros = SEC;
const GIVE_UP: Micros = 5 * SEC;
const SERVES_ON: Micros = 2_500 * MS;
const BEGINS_ANEW: Micros = SEC;
/// Calls of workers that leave have numbers above this.
pub(super) const FIRST_LEAVE: u64 = 1 << 41;

/// A worker that leaves and waits for an acknowledgement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    worker: usize,
    call: u64,
    asked: Micros,
    begun: Micros,
}

impl Control {
    /// A worker says that it leaves: to `first`, or to some machine that counts.
    pub(super) fn leave(&mut self, world: &mut World, first: Option<usize>) {
        let zone = first.map(|i| world.machines[i].zone.clone());
        let busy: Vec<usize> = self.leaving.iter().map(|l| l.worker).collect();
        let fits = |k: &usize| {
            let worker = &world.workers[*k];
            worker.is_running
                && !worker.is_draining
                && !busy.contains(k)
                && zone.as_ref().is_none_or(|zone| worker.zone == *zone)
        };
        let Some(worker) = (0..world.workers.len()).find(fits) else { return };
        world.log(format!("worker {} leaves", world.workers[worker].id));
        world.workers[worker].is_draining = true;
        let now = world.now;
        self.leaving.push(Leaving { worker, call: 0, asked: 0, begun: now });
        self.tell(world, self.leaving.len() - 1, first);
    }

    fn tell(&mut self, world: &mut World, n: usize, to: Option<usize>) {
        self.calls += 1;
        let leaver = &mut self.leaving[n];
        leaver.call = self.calls;
        leaver.asked = world.now;
        let row = world.next_report(leaver.worker);
        if let Some(i) = to.or_else(|| core(world)).filter(|i| world.is_running(*i)) {
            world.step(i, Event::ReportWithAck { request_id: self.calls, report: row });
        }
    }

    /// Reads the acknowledgements that came, and lets those who wait ask the next machine.
    pub(super) fn leaves(&mut self, world: &mut World) {
        let now = world.now;
        let (mine, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut world.report_acknowledgements).into_iter().partition(|h| h.0 > FIRST_LEAVE);
        world.report_acknowledgements = others;
        for (call, ok) in mine {
            let Some(n) = self.leaving.iter().position(|l| l.call == call) else { continue };
            if !ok {
                self.tell(world, n, None);
                continue;
            }
            let leaver = self.leaving.remove(n);
            self.left += 1;
            let id = world.workers[leaver.worker].id.clone();
            world.workers[leaver.worker].draining_since = Some(now);
            world.safety.removed_workers.insert(id, now);
            self.worker_ends(leaver.worker, now + SERVES_ON);
        }
        for n in (0..self.leaving.len()).rev() {
            let leaver = self.leaving[n];
            if now >= leaver.begun + GIVE_UP {
                self.leaving.remove(n);
                self.worker_ends(leaver.worker, now);
            } else if now >= leaver.asked + NEXT_NODE {
                self.tell(world, n, None);
            }
        }
    }

    fn worker_ends(&mut self, worker: usize, at: Micros) {
        self.at(at, ControlAction::WorkerEnds(worker));
        self.at(at + BEGINS_ANEW, ControlAction::WorkerBegins(worker));
    }
}
