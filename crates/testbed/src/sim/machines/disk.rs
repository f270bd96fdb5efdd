//! The disk of a machine: what was synced stays, what was not may be lost with the power, and a
//! full disk refuses each write until there is room, as the node's disk thread meets it.

use std::collections::VecDeque;
use sumacvale_core::base::{MS, Micros, Rng};
use sumacvale_core::consensus::{DurableState, DurableWrite};

/// How soon the node's disk thread tries a refused write again, and a start on a full disk.
pub const RETRY: Micros = 200 * MS;

/// A disk that keeps what was synced and may lose the rest.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub kept: DurableState,
    queue: VecDeque<(u64, Vec<DurableWrite>, Micros)>,
    /// No write ends before this.
    pub stuck: Micros,
    pub slow: Micros,
    /// Each write before this is refused; the disk thread tries it again every `RETRY`.
    pub full: Micros,
    /// When the write that was refused last is tried again.
    retry: Micros,
    /// How many writes were refused.
    pub refused: u64,
    last: Micros,
}

impl Disk {
    /// Takes a write in; the moment at which it will be on the disk.
    pub fn write(&mut self, token: u64, ops: Vec<DurableWrite>, now: Micros, r: &mut Rng) -> Micros {
        let lat = MS / 2 + r.below(3 * MS) + if self.slow > now { r.below(300 * MS) } else { 0 };
        let at = (now + lat).max(self.last + 1).max(self.stuck);
        self.last = at;
        self.queue.push_back((token, ops, at));
        at
    }

    /// What reached the disk by now; the last token of it.
    pub fn land(&mut self, now: Micros) -> Option<u64> {
        let mut token = None;
        while self.queue.front().is_some_and(|x| x.2 <= now.max(self.stuck.min(now))) {
            if self.stuck > now || self.refuses(now) {
                break;
            }
            let Some((t, ops, _)) = self.queue.pop_front() else { break };
            for o in &ops {
                self.kept.apply(o);
            }
            token = Some(t);
        }
        token
    }

    /// Whether the write that is due now is refused, or waits for its next try.
    fn refuses(&mut self, now: Micros) -> bool {
        if self.retry <= now && self.full > now {
            self.refused += 1;
            self.retry = now + RETRY;
        }
        self.retry > now
    }

    /// Power goes: of what was not synced, some whole writes may have landed; none that a full
    /// disk refused.
    pub fn cut(&mut self, now: Micros, r: &mut Rng) {
        let n = if self.queue.is_empty() || self.full > now { 0 } else { r.below(self.queue.len() as u64 + 1) };
        for _ in 0..n {
            if let Some((_, ops, _)) = self.queue.pop_front() {
                for o in &ops {
                    self.kept.apply(o);
                }
            }
        }
        self.queue.clear();
        self.last = 0;
        self.retry = 0;
    }

    /// Nothing is wrong with the disk any more.
    pub fn mend(&mut self) {
        self.stuck = 0;
        self.slow = 0;
        self.full = 0;
    }

    /// When the next write ends, or is tried again.
    pub fn due(&self) -> Option<Micros> {
        self.queue.front().map(|x| x.2.max(self.stuck).max(self.retry))
    }
}
