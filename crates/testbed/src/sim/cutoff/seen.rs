//! What is asked of a run with cores that are cut off, and what was seen in it.

use crate::sim::checks::safety::Violation;
use std::collections::BTreeMap;
use sumacvale_core::base::Micros;

/// Who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caller {
    /// Sends a change of the configuration.
    Order,
    /// Reads the newest configuration.
    Read,
    /// A worker that reports.
    Beat,
    /// A worker that drains.
    Drain,
    /// A worker that is removed.
    Leave,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct CutOff {
    /// The seed of the run.
    pub seed: u64,
    /// How long the run lasts, in seconds.
    pub secs: u64,
    /// So many of a hundred frames are lost all the time.
    pub lost: u64,
    /// All disks are slow.
    pub slow: bool,
}

/// How the calls of one kind at cores of one standing ended.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    pub calls: u64,
    /// 5xx.
    pub sent_away: u64,
    /// Nothing within a second.
    pub silent: u64,
    /// How long the answers took.
    pub times: Vec<Micros>,
}

impl AnswerTimes {
    pub fn slowest(&self) -> Micros {
        self.times.iter().max().copied().unwrap_or(0)
    }

    pub fn middle(&self) -> Micros {
        let mut v = self.times.clone();
        v.sort_unstable();
        v.get(v.len() / 2).copied().unwrap_or(0)
    }
}

/// What was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    /// The rules that were broken.
    pub breaches: Vec<Violation>,
    /// Response times of callers at nodes that were partitioned off, by kind of caller.
    pub cut_off: BTreeMap<Caller, AnswerTimes>,
    /// Response times of callers at nodes in contact with a majority, by kind of caller.
    pub in_touch: BTreeMap<Caller, AnswerTimes>,
    /// Changes that were acknowledged.
    pub acknowledged: u64,
    /// Changes that were rejected.
    pub refused: u64,
    /// What happened, in order.
    pub trace: Vec<String>,
}
