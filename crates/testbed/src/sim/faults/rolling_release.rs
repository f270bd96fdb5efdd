//! Workers of a model are replaced, one by one.

use crate::sim::world::World;
use sumacvale_core::base::Micros;

/// One step of a release: a worker drains, ends, and begins anew.
#[derive(Clone, Copy, Debug)]
pub(in crate::sim) struct ReleaseAction {
    pub(in crate::sim) at: Micros,
    pub(in crate::sim) worker: usize,
    pub(in crate::sim) what: ReleaseStep,
}

#[derive(Clone, Copy, Debug)]
pub(in crate::sim) enum ReleaseStep {
    Drain,
    End,
    Begin,
}

impl ReleaseAction {
    /// False once it was taken.
    pub(in crate::sim) fn take(&self, w: &mut World) -> bool {
        if self.at > w.now {
            return true;
        }
        let now = w.now;
        let x = &mut w.workers[self.worker];
        match self.what {
            ReleaseStep::Drain => {
                x.is_draining = true;
                x.draining_since = Some(now);
                x.next_report_at = now;
                let id = x.id.clone();
                w.safety.removed_workers.entry(id).or_insert(now);
            }
            ReleaseStep::End => w.crash(self.worker),
            ReleaseStep::Begin => {
                x.restart();
                let id = x.id.clone();
                w.safety.removed_workers.remove(&id);
            }
        }
        false
    }
}
