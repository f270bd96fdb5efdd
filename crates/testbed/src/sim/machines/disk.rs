//! The disk of a machine: what was synced stays, what was not may be lost with the power, and a
//! full disk refuses each write until there is room, as the node's disk thread meets it.

use std::collections::VecDeque;
use sumacvale_core::base::{MS, Micros, Rng};
use sumacvale_core::consensus::{DurableState, DurableWrite};

/// How soon the node's disk thread tries a rejected write again, and a start on a full disk; in microseconds.
pub const RETRY: Micros = 200 * MS;

/// A disk that keeps what was synced and may lose the rest.
#[derive(Clone, Debug, Default)]
/// A disk that keeps what was synced and may lose the rest.
pub struct Disk {
    /// What was synced.
    pub durable: DurableState,
    queue: VecDeque<(u64, Vec<DurableWrite>, Micros)>,
    /// No write completes before this moment of true time.
    pub stalled_until: Micros,
    /// Writes before this take up to 300 ms longer.
    pub slow_until: Micros,
    /// Each write before this is rejected; the disk thread tries it again every `RETRY`.
    pub full_until: Micros,
    /// When the write that was rejected last is tried again.
    retry_at: Micros,
    /// How many writes were rejected.
    pub rejected_writes: u64,
    /// When the write that was queued last completes.
    last_completion: Micros,
}

impl Disk {
    /// Queues a write; returns when it will be synced.
    pub fn write(&mut self, token: u64, ops: Vec<DurableWrite>, now: Micros, r: &mut Rng) -> Micros {
        let lat = MS / 2 + r.below(3 * MS) + if self.slow_until > now { r.below(300 * MS) } else { 0 };
        let at = (now + lat).max(self.last_completion + 1).max(self.stalled_until);
        self.last_completion = at;
        self.queue.push_back((token, ops, at));
        at
    }

    /// Applies the writes that are due; returns the token of the last one.
    pub fn complete_writes(&mut self, now: Micros) -> Option<u64> {
        let mut token = None;
        while self.queue.front().is_some_and(|x| x.2 <= now.max(self.stalled_until.min(now))) {
            if self.stalled_until > now || self.refuses(now) {
                break;
            }
            let Some((t, ops, _)) = self.queue.pop_front() else { break };
            for o in &ops {
                self.durable.apply(o);
            }
            token = Some(t);
        }
        token
    }

    /// Whether the write that is due now is rejected, or waits for its next try.
    fn refuses(&mut self, now: Micros) -> bool {
        if self.retry_at <= now && self.full_until > now {
            self.rejected_writes += 1;
            self.retry_at = now + RETRY;
        }
        self.retry_at > now
    }

    /// Power is lost: of the queued writes, some whole ones may have reached the disk; none that a full
    /// disk rejected.
    pub fn lose_power(&mut self, now: Micros, r: &mut Rng) {
        let n = if self.queue.is_empty() || self.full_until > now { 0 } else { r.below(self.queue.len() as u64 + 1) };
        for _ in 0..n {
            if let Some((_, ops, _)) = self.queue.pop_front() {
                for o in &ops {
                    self.durable.apply(o);
                }
            }
        }
        self.queue.clear();
        self.last_completion = 0;
        self.retry_at = 0;
    }

    /// Nothing is wrong with the disk any more.
    pub fn clear_faults(&mut self) {
        self.stalled_until = 0;
        self.slow_until = 0;
        self.full_until = 0;
    }

    /// When the next write completes, or is tried again.
    pub fn next_completion(&self) -> Option<Micros> {
        self.queue.front().map(|x| x.2.max(self.stalled_until).max(self.retry_at))
    }
}
