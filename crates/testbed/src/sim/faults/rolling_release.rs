//! Scheduled steps of a rolling release, which replaces the workers of a model one by one.

use crate::sim::world::World;
use sumacvale_core::base::Micros;

/// A scheduled step of a release at one worker.
#[derive(Clone, Copy, Debug)]
pub(in crate::sim) struct ReleaseAction {
    /// When the step is due, in microseconds of true time.
    pub(in crate::sim) at: Micros,
    /// The index of the worker in the world.
    pub(in crate::sim) worker: usize,
    /// What happens to the worker.
    pub(in crate::sim) step: ReleaseStep,
}

/// What a step of a release does to a worker, in the order of a replacement.
#[derive(Clone, Copy, Debug)]
pub(in crate::sim) enum ReleaseStep {
    Drain,
    Stop,
    Start,
}

impl ReleaseAction {
    /// Runs the step if it is due; returns true while it is still to come.
    pub(in crate::sim) fn run_if_due(&self, world: &mut World) -> bool {
        if self.at > world.now {
            return true;
        }
        let now = world.now;
        let worker = &mut world.workers[self.worker];
        match self.step {
            ReleaseStep::Drain => {
                worker.is_draining = true;
                worker.draining_since = Some(now);
                worker.next_report_at = now;
                let id = worker.id.clone();
                world.safety.removed_workers.entry(id).or_insert(now);
            }
            ReleaseStep::Stop => world.crash(self.worker),
            ReleaseStep::Start => {
                worker.restart();
                let id = worker.id.clone();
                world.safety.removed_workers.remove(&id);
            }
        }
        false
    }
}
