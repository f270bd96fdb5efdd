//! How busy workers are.

use super::{Endpoint, PlacementTable};
use crate::base::Shards;

#[derive(Clone, Debug, Default)]
struct Load {
    in_flight: u32,
    /// What others had there when the worker last reported.
    others: u32,
    seen_report: (u64, u64),
    /// A life of this worker that failed a call, and the report it had made.
    failed_report: Option<(u64, u64)>,
}

/// What this node itself has in flight.
#[derive(Debug, Default)]
pub struct WorkerLoads(Shards<Load>);

impl WorkerLoads {
    /// The load of each place: own calls, and what the report counted of others.
    pub fn current(&self, t: &PlacementTable) -> Vec<u32> {
        t.endpoints
            .iter()
            .map(|p| {
                let mut g = self.0.lock_shard(&p.worker_id);
                let l = g.entry(p.worker_id.clone()).or_default();
                if l.seen_report < (p.incarnation, p.seq) {
                    l.seen_report = (p.incarnation, p.seq);
                    l.others = p.busy.saturating_sub(l.in_flight);
                }
                if l.failed_report.is_some_and(|b| b >= (p.incarnation, p.seq)) {
                    return u32::MAX;
                }
                l.in_flight + l.others
            })
            .collect()
    }

    /// A call from here goes to this worker.
    pub fn begin(&self, w: &str) {
        self.0.lock_shard(w).entry(w.to_owned()).or_default().in_flight += 1;
    }

    /// A call from here ended there.
    pub fn end(&self, w: &str) {
        if let Some(l) = self.0.lock_shard(w).get_mut(w) {
            l.in_flight = l.in_flight.saturating_sub(1);
        }
    }

    /// A call failed there: nothing goes to it before it reports anew.
    pub fn mark_failed(&self, w: &str, incarnation: u64, seq: u64) {
        self.0.lock_shard(w).entry(w.to_owned()).or_default().failed_report = Some((incarnation, seq));
    }

    /// Whether it failed a call and has not reported since.
    pub fn has_failed(&self, p: &Endpoint) -> bool {
        self.0
            .lock_shard(&p.worker_id)
            .get(&p.worker_id)
            .is_some_and(|l| l.failed_report.is_some_and(|b| b >= (p.incarnation, p.seq)))
    }

    /// It said that it is full, so others have there what this node has not: room
    /// comes when an own call ends or it reports anew.
    pub fn mark_full(&self, w: &str, slots: u32) {
        let mut g = self.0.lock_shard(w);
        let l = g.entry(w.to_owned()).or_default();
        l.others = l.others.max(slots.saturating_sub(l.in_flight.saturating_sub(1)));
    }

    /// All calls from here that run.
    pub fn total_in_flight(&self) -> u64 {
        self.0.lock_each().map(|g| g.values().map(|l| u64::from(l.in_flight)).sum::<u64>()).sum()
    }
}
