//! The simulated disk of a machine.
//!
//! Synced writes are durable; other writes may be lost with the power. A full disk rejects each write until it has
//! room, as the node's disk thread sees it.

use std::collections::VecDeque;
use sumacvale_core::base::{MS, Micros, Rng};
use sumacvale_core::consensus::{DurableState, DurableWrite};

/// The interval at which a rejected write, or a start on a full disk, is retried, in microseconds.
pub const RETRY_INTERVAL: Micros = 200 * MS;

/// A write that is not durable yet.
#[derive(Clone, Debug)]
struct QueuedWrite {
    /// The token by which the node is notified of the sync.
    token: u64,
    /// The operations of the write, applied together.
    operations: Vec<DurableWrite>,
    /// When the write completes, in microseconds of true time.
    due: Micros,
}

#[derive(Clone, Debug, Default)]
/// A disk that keeps synced writes and may lose the others.
pub struct Disk {
    /// The synced state.
    pub durable: DurableState,
    /// The writes in the order in which they complete.
    queue: VecDeque<QueuedWrite>,
    /// No write completes before this, in microseconds of true time.
    pub stalled_until: Micros,
    /// Writes that are queued before this take up to 300 ms longer.
    pub slow_until: Micros,
    /// Each write before this is rejected; the disk thread retries it every `RETRY_INTERVAL`.
    pub full_until: Micros,
    /// When the write that was rejected last is retried.
    retry_at: Micros,
    /// The number of rejected writes.
    pub rejected_writes: u64,
    /// When the write that was queued last completes.
    last_completion: Micros,
}

impl Disk {
    /// Queues a write; returns the moment at which it will be synced.
    pub fn write(&mut self, token: u64, operations: Vec<DurableWrite>, now: Micros, rng: &mut Rng) -> Micros {
        let latency =
            MS / 2 + rng.next_below(3 * MS) + if self.slow_until > now { rng.next_below(300 * MS) } else { 0 };
        let due = (now + latency).max(self.last_completion + 1).max(self.stalled_until);
        self.last_completion = due;
        self.queue.push_back(QueuedWrite { token, operations, due });
        due
    }

    /// Applies the writes that are due; returns the token of the last one.
    pub fn complete_writes(&mut self, now: Micros) -> Option<u64> {
        let mut token = None;
        while self.queue.front().is_some_and(|write| write.due <= now.max(self.stalled_until.min(now))) {
            if self.stalled_until > now || self.rejects_write(now) {
                break;
            }
            let Some(write) = self.queue.pop_front() else { break };
            for operation in &write.operations {
                self.durable.apply(operation);
            }
            token = Some(write.token);
        }
        token
    }

    /// Returns true if the write that is due now is rejected or waits for its retry.
    fn rejects_write(&mut self, now: Micros) -> bool {
        if self.retry_at <= now && self.full_until > now {
            self.rejected_writes += 1;
            self.retry_at = now + RETRY_INTERVAL;
        }
        self.retry_at > now
    }

    /// Drops the queued writes at a loss of power. A drawn number of the first ones reached the disk whole, but none
    /// on a full disk.
    pub fn lose_power(&mut self, now: Micros, rng: &mut Rng) {
        let completed = if self.queue.is_empty() || self.full_until > now {
            0
        } else {
            rng.next_below(self.queue.len() as u64 + 1)
        };
        for _ in 0..completed {
            if let Some(write) = self.queue.pop_front() {
                for operation in &write.operations {
                    self.durable.apply(operation);
                }
            }
        }
        self.queue.clear();
        self.last_completion = 0;
        self.retry_at = 0;
    }

    /// Ends all faults of the disk.
    pub fn clear_faults(&mut self) {
        self.stalled_until = 0;
        self.slow_until = 0;
        self.full_until = 0;
    }

    /// Returns the moment at which the next write completes or is retried.
    pub fn next_completion(&self) -> Option<Micros> {
        self.queue.front().map(|write| write.due.max(self.stalled_until).max(self.retry_at))
    }
}
