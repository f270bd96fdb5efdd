//! Counters of the attempts that this node sent, by pool, and a periodic log line while calls are retried.

use super::FailurePoint;
use crate::base::{Micros, SEC, ShardedMap};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The minimum interval between log lines, in microseconds.
const REPORT_INTERVAL: Micros = SEC;

/// The numbers of attempts of one pool's calls since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolAttempts {
    /// First attempts that were sent.
    pub first: u64,
    /// Retries after the point at which the previous attempt failed, in the order of [`FailurePoint::ALL`].
    pub retries: [u64; FailurePoint::ALL.len()],
    /// Retries that the retry budget did not allow.
    pub over_budget: u64,
}

impl PoolAttempts {
    /// Returns the number of all retries.
    #[must_use]
    pub fn total_retries(&self) -> u64 {
        self.retries.iter().sum()
    }

    /// Returns how much was added since `earlier`.
    fn since(&self, earlier: &PoolAttempts) -> PoolAttempts {
        let mut added = *self;
        added.first -= earlier.first;
        added.over_budget -= earlier.over_budget;
        for (count, before) in added.retries.iter_mut().zip(earlier.retries) {
            *count -= before;
        }
        added
    }
}

/// The attempts of all calls of a process, by pool.
#[derive(Debug, Default)]
pub struct AttemptCounters(ShardedMap<PoolAttempts>);

impl AttemptCounters {
    /// Counts the first attempt of a call.
    pub fn record_first(&self, pool: &str) {
        self.update(pool, |attempts| attempts.first += 1);
    }

    /// Counts a retry after an attempt that failed at `point`.
    pub fn record_retry(&self, pool: &str, point: FailurePoint) {
        self.update(pool, |attempts| attempts.retries[point as usize] += 1);
    }

    /// Counts a retry that the retry budget did not allow.
    pub fn record_over_budget(&self, pool: &str) {
        self.update(pool, |attempts| attempts.over_budget += 1);
    }

    /// Returns the counts of each pool, sorted by name.
    #[must_use]
    pub fn list(&self) -> BTreeMap<String, PoolAttempts> {
        let mut counts = BTreeMap::new();
        for pools in self.0.lock_each() {
            counts.extend(pools.iter().map(|(pool, attempts)| (pool.clone(), *attempts)));
        }
        counts
    }

    fn update(&self, pool: &str, change: impl FnOnce(&mut PoolAttempts)) {
        let mut pools = self.0.lock_shard(pool);
        match pools.get_mut(pool) {
            Some(attempts) => change(attempts),
            None => change(pools.entry(pool.to_owned()).or_default()),
        }
    }
}

/// Produces at most one log line per second while calls are retried.
#[derive(Debug, Default)]
pub struct RetryLog {
    /// The earliest time of the next log line, in microseconds.
    next_line_at: Micros,
    /// The counts at the previous log line or second, by pool.
    reported: BTreeMap<String, PoolAttempts>,
}

impl RetryLog {
    /// Returns the counts by pool since the last line or second, such as `llm: first=80 declined=3 over_budget=1`;
    /// `None` if the next line is not due or no call was retried or denied a retry.
    #[must_use]
    pub fn poll_line(&mut self, counters: &AttemptCounters, now: Micros) -> Option<String> {
        if now < self.next_line_at {
            return None;
        }
        self.next_line_at = now + REPORT_INTERVAL;
        let counts = counters.list();
        let mut line = String::new();
        for (pool, attempts) in &counts {
            let added = attempts.since(self.reported.get(pool).unwrap_or(&PoolAttempts::default()));
            if added.total_retries() + added.over_budget > 0 {
                write_pool(&mut line, pool, &added);
            }
        }
        self.reported = counts;
        (!line.is_empty()).then_some(line)
    }
}

fn write_pool(line: &mut String, pool: &str, attempts: &PoolAttempts) {
    let separator = if line.is_empty() { "" } else { "; " };
    let _ = write!(line, "{separator}{pool}: first={}", attempts.first);
    for (point, count) in FailurePoint::ALL.iter().zip(attempts.retries) {
        if count > 0 {
            let _ = write!(line, " {}={count}", point.name());
        }
    }
    if attempts.over_budget > 0 {
        let _ = write!(line, " over_budget={}", attempts.over_budget);
    }
}
