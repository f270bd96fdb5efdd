//! The settings and the results of a run with partitioned cores.

use crate::sim::checks::safety::Violation;
use std::collections::BTreeMap;
use sumacvale_core::base::Micros;

/// The kind of a caller, by its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallerKind {
    /// An operator that submits a change of the configuration.
    Change,
    /// An operator that reads the newest configuration.
    Read,
    /// A worker that reports.
    Report,
    /// A worker that reports that it drains.
    Drain,
    /// A worker that deregisters.
    Deregister,
}

/// The settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct PartitionRun {
    /// The seed of the run.
    pub seed: u64,
    /// The duration of the run, in seconds of virtual time.
    pub seconds: u64,
    /// The share of frames that are lost during the whole run, in percent.
    pub loss_percent: u64,
    /// Whether all disks are slow.
    pub has_slow_disks: bool,
}

/// Outcomes and response times of calls of one kind, by the contact of the called cores.
#[derive(Clone, Debug, Default)]
pub struct ResponseStats {
    /// Calls that ended.
    pub calls: u64,
    /// Calls that were answered with 5xx.
    pub unavailable: u64,
    /// Calls without a response within a second.
    pub timed_out: u64,
    /// The response times, in microseconds.
    pub response_times: Vec<Micros>,
}

impl ResponseStats {
    /// The longest response time, in microseconds; 0 without a response.
    pub fn slowest(&self) -> Micros {
        self.response_times.iter().max().copied().unwrap_or(0)
    }

    /// The median response time, in microseconds; 0 without a response.
    pub fn median(&self) -> Micros {
        let mut sorted = self.response_times.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().unwrap_or(0)
    }
}

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub struct PartitionResults {
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// Responses of partitioned cores, by kind of caller.
    pub partitioned: BTreeMap<CallerKind, ResponseStats>,
    /// Responses of cores in contact with a majority, by kind of caller.
    pub connected: BTreeMap<CallerKind, ResponseStats>,
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Changes that were rejected.
    pub rejected: u64,
    /// What happened, in order.
    pub trace: Vec<String>,
}
