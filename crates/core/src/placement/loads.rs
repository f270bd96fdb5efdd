//! The number of calls in flight at each worker, as known to this node.

use super::{Endpoint, PlacementTable};
use crate::base::ShardedMap;

/// The number of a worker's report: its incarnation and its sequence number. A later report has a greater number.
type ReportNumber = (u64, u64);

/// This node's knowledge of one worker's load.
#[derive(Clone, Debug, Default)]
struct Load {
    /// The number of calls of this node in flight.
    in_flight: u32,
    /// The number of calls of other nodes when the worker last reported.
    others: u32,
    /// The report from which `others` was computed.
    last_report: ReportNumber,
    /// The last report before a call of this node failed there.
    failed_report: Option<ReportNumber>,
}

impl Load {
    /// Returns whether a call failed at the worker and the worker has not reported since.
    fn has_failed(&self, report: ReportNumber) -> bool {
        self.failed_report.is_some_and(|failed| failed >= report)
    }

    fn observe_report(&mut self, endpoint: &Endpoint) {
        if self.last_report < endpoint.report_number() {
            self.last_report = endpoint.report_number();
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
pub struct WorkerLoads(ShardedMap<Load>);

impl WorkerLoads {
    /// Returns the load of each endpoint of a table: the calls of this node and, by the worker's report, of other
    /// nodes. `u32::MAX` for a worker that failed a call and has not reported since.
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

    /// Records that a call of this node is sent to the worker.
    pub fn record_start(&self, worker_id: &str) {
        self.0.lock_shard(worker_id).entry(worker_id.to_owned()).or_default().in_flight += 1;
    }

    /// Records that a call of this node ended at the worker.
    pub fn record_end(&self, worker_id: &str) {
        if let Some(load) = self.0.lock_shard(worker_id).get_mut(worker_id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records that a call failed at the worker, which is avoided until its next report.
    pub fn eject(&self, worker_id: &str, incarnation: u64, seq: u64) {
        let mut shard = self.0.lock_shard(worker_id);
        shard.entry(worker_id.to_owned()).or_default().failed_report = Some((incarnation, seq));
    }

    /// Returns whether the worker failed a call and has not reported since.
    pub fn has_failed(&self, endpoint: &Endpoint) -> bool {
        let shard = self.0.lock_shard(&endpoint.worker_id);
        shard.get(&endpoint.worker_id).is_some_and(|load| load.has_failed(endpoint.report_number()))
    }

    /// Records that the worker rejected a call because all of its slots are in use: other nodes' calls occupy the
    /// slots that this node's calls do not. A slot counts as free again once a call of this node ends or the worker
    /// reports again.
    pub fn record_full(&self, worker_id: &str, slots: u32) {
        let mut shard = self.0.lock_shard(worker_id);
        let load = shard.entry(worker_id.to_owned()).or_default();
        load.others = load.others.max(slots.saturating_sub(load.in_flight.saturating_sub(1)));
    }

    /// Returns the total number of calls of this node in flight.
    pub fn total_in_flight(&self) -> u64 {
        let in_shard = |load: &Load| u64::from(load.in_flight);
        self.0.lock_each().map(|shard| shard.values().map(in_shard).sum::<u64>()).sum()
    }
}
