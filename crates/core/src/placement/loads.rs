//! How many calls are in flight at each worker, as far as this node knows.

use super::{Endpoint, PlacementTable};
use crate::base::Shards;

/// Which report of a worker something refers to; a later one is greater.
type ReportNumber = (u64, u64);

#[derive(Clone, Debug, Default)]
struct Load {
    /// Calls of this node.
    in_flight: u32,
    /// Calls of other nodes when the worker last reported.
    others: u32,
    /// The report that `others` comes from.
    seen_report: ReportNumber,
    /// The last report before a call of this node failed there.
    failed_report: Option<ReportNumber>,
}

impl Load {
    /// Whether a call failed there and the worker has not reported since.
    fn has_failed(&self, report: ReportNumber) -> bool {
        self.failed_report.is_some_and(|failed| failed >= report)
    }

    fn observe_report(&mut self, endpoint: &Endpoint) {
        if self.seen_report < endpoint.report_number() {
            self.seen_report = endpoint.report_number();
            self.others = endpoint.busy.saturating_sub(self.in_flight);
        }
    }
}

impl Endpoint {
    fn report_number(&self) -> ReportNumber {
        (self.incarnation, self.seq)
    }
}

/// The loads of all workers, by worker id.
#[derive(Debug, Default)]
pub struct WorkerLoads(Shards<Load>);

impl WorkerLoads {
    /// The load of each endpoint of a table: calls of this node and, by its report, of others.
    /// `u32::MAX` for a worker that failed a call and has not reported since.
    pub fn current(&self, table: &PlacementTable) -> Vec<u32> {
        table.endpoints.iter().map(|endpoint| self.current_of(endpoint)).collect()
    }

    fn current_of(&self, endpoint: &Endpoint) -> u32 {
        let mut shard = self.0.lock_shard(&endpoint.worker_id);
        let load = shard.entry(endpoint.worker_id.clone()).or_default();
        load.observe_report(endpoint);
        if load.has_failed(endpoint.report_number()) {
            return u32::MAX;
        }
        load.in_flight + load.others
    }

    /// A call of this node goes to the worker.
    pub fn begin(&self, worker_id: &str) {
        self.0.lock_shard(worker_id).entry(worker_id.to_owned()).or_default().in_flight += 1;
    }

    /// A call of this node ended there.
    pub fn end(&self, worker_id: &str) {
        if let Some(load) = self.0.lock_shard(worker_id).get_mut(worker_id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// A call failed there: no call goes to it before it reports again.
    pub fn mark_failed(&self, worker_id: &str, incarnation: u64, seq: u64) {
        let mut shard = self.0.lock_shard(worker_id);
        shard.entry(worker_id.to_owned()).or_default().failed_report = Some((incarnation, seq));
    }

    /// Whether it failed a call and has not reported since.
    pub fn has_failed(&self, endpoint: &Endpoint) -> bool {
        let shard = self.0.lock_shard(&endpoint.worker_id);
        shard.get(&endpoint.worker_id).is_some_and(|load| load.has_failed(endpoint.report_number()))
    }

    /// It rejected a call because all of its slots are in use, so other nodes have those that this
    /// node has not. A slot is free again once a call of this node ends or the worker reports again.
    pub fn mark_full(&self, worker_id: &str, slots: u32) {
        let mut shard = self.0.lock_shard(worker_id);
        let load = shard.entry(worker_id.to_owned()).or_default();
        load.others = load.others.max(slots.saturating_sub(load.in_flight.saturating_sub(1)));
    }

    /// All calls of this node that are in flight.
    pub fn total_in_flight(&self) -> u64 {
        let in_shard = |load: &Load| u64::from(load.in_flight);
        self.0.lock_each().map(|shard| shard.values().map(in_shard).sum::<u64>()).sum()
    }
}
