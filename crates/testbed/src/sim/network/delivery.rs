//! Frames between simulated machines: how long they take, and which are lost or held.

use crate::sim::event::SimEvent;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::protocol::{Frame, encode_frame};

/// What waits for a connection is dropped when it is older.
const QUEUED_MOST: Micros = SEC;

impl World {
    fn cut(&self, a: usize, b: usize) -> bool {
        self.blocked_links.get(&(a, b)).is_some_and(|t| *t > self.now)
    }

    /// Whether messages pass between two machines in both directions.
    pub fn linked(&self, a: usize, b: usize) -> bool {
        let stalled = |a: usize, b: usize| self.stalled_links.get(&(a, b)).is_some_and(|t| *t > self.now);
        let held = |a: usize| self.frames_held_until.get(&a).is_some_and(|t| *t > self.now);
        a == b || !(self.cut(a, b) || self.cut(b, a) || stalled(a, b) || stalled(b, a) || held(a) || held(b))
    }

    /// Both ends know that their connections ended, and try to open new ones so often until then.
    pub fn close_between(&mut self, a: usize, b: usize, until: Micros, every: Micros) {
        for (from, to) in [(a, b), (b, a)] {
            self.connections.reconnect(from, to);
            self.blocked_links.insert((from, to), until);
            self.reconnect_intervals.insert((from, to), every);
        }
    }

    /// What one machine sends to another is lost until then, and neither knows.
    pub fn lose_from(&mut self, from: usize, to: usize, until: Micros) {
        self.reconnect_intervals.remove(&(from, to));
        self.blocked_links.insert((from, to), until);
    }

    /// What is under way between two machines is lost.
    pub fn lose_frames_between(&mut self, a: usize, b: usize) {
        let between = |from: usize, to: usize| (from, to) == (a, b) || (from, to) == (b, a);
        self.pending_events.retain(|_, h| !matches!(h, SimEvent::Frame { from, to, .. } if between(*from, *to)));
    }

    /// How many frames are under way between two machines.
    pub fn frames_between(&self, a: usize, b: usize) -> usize {
        let between = |from: usize, to: usize| (from, to) == (a, b) || (from, to) == (b, a);
        self.pending_events
            .values()
            .filter(|h| matches!(h, SimEvent::Frame { from, to, .. } if between(*from, *to)))
            .count()
    }

    /// A frame that can't be sent waits for the first attempt to connect that succeeds, unless it is too old then.
    fn wait_for_connection(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let (Some(every), Some(until)) =
            (self.reconnect_intervals.get(&(from, to)), self.blocked_links.get(&(from, to)))
        else {
            return;
        };
        let opened = until + self.rng.below(*every);
        if opened <= self.now + QUEUED_MOST {
            self.schedule(opened, SimEvent::Frame { from, to, bytes });
        }
    }

    pub(in crate::sim) fn send(&mut self, i: usize, to: &str, f: Frame) {
        let Some(j) = self.machine_at(to) else { return };
        let Ok(b) = encode_frame(&f) else { return };
        self.frames += 1;
        self.bytes += b.len() as u64;
        if self.machines[i].zone != self.machines[j].zone {
            let e = self.cross_zone_traffic.entry(f.message.name()).or_default();
            e.0 += 1;
            e.1 += b.len() as u64;
        }
        let lossy = self.loss.1 > self.now && self.rng.chance(self.loss.0);
        if lossy {
            return;
        }
        if self.cut(i, j) {
            return self.wait_for_connection(i, j, b);
        }
        let listens = self.machines[j].node.is_some();
        if !self.connections.carries(i, j, listens, self.now) {
            return;
        }
        let near = self.machines[i].zone == self.machines[j].zone;
        let lat = if near { 100 + self.rng.below(400) } else { 500 + self.rng.below(2_000) };
        let jammed = self.reordering_until > self.now;
        let jam = if self.rng.chance(if jammed { 40 } else { 1 }) { self.rng.below(200 * MS) } else { 0 };
        let held = [i, j].iter().filter_map(|k| self.frames_held_until.get(k)).max().copied().unwrap_or(0);
        let stalled = self.stalled_links.get(&(i, j)).copied().unwrap_or(0);
        self.schedule(held.max(stalled).max(self.now) + lat + jam, SimEvent::Frame { from: i, to: j, bytes: b });
    }
}
