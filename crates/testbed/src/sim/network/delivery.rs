//! Delivery of frames between simulated machines: their latency, and which of them are lost or held.

use crate::sim::event::SimEvent;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::protocol::{Frame, encode_frame};

/// A frame that waits longer for a connection is dropped, in microseconds.
const MAX_QUEUE_TIME: Micros = SEC;

impl World {
    /// Returns true while frames from one machine to another are lost.
    fn is_blocked(&self, first: usize, second: usize) -> bool {
        self.blocked_links.get(&(first, second)).is_some_and(|t| *t > self.now)
    }

    /// Returns true while frames are delivered between two machines in both directions.
    pub fn is_linked(&self, first: usize, second: usize) -> bool {
        let stalled =
            |first: usize, second: usize| self.stalled_links.get(&(first, second)).is_some_and(|t| *t > self.now);
        let is_held = |first: usize| self.frames_held_until.get(&first).is_some_and(|t| *t > self.now);
        first == second
            || !(self.is_blocked(first, second)
                || self.is_blocked(second, first)
                || stalled(first, second)
                || stalled(second, first)
                || is_held(first)
                || is_held(second))
    }

    /// Closes the connections between two machines; both ends are notified and try to reconnect at this interval
    /// until then.
    pub fn close_connections(&mut self, first: usize, second: usize, until: Micros, interval: Micros) {
        for (from, to) in [(first, second), (second, first)] {
            self.connections.reconnect(from, to);
            self.blocked_links.insert((from, to), until);
            self.reconnect_intervals.insert((from, to), interval);
        }
    }

    /// Loses all frames from one machine to another until then; neither end is notified.
    pub fn lose_from(&mut self, from: usize, to: usize, until: Micros) {
        self.reconnect_intervals.remove(&(from, to));
        self.blocked_links.insert((from, to), until);
    }

    /// Drops the frames in flight between two machines.
    pub fn drop_frames_in_flight(&mut self, first: usize, second: usize) {
        let between = |from: usize, to: usize| (from, to) == (first, second) || (from, to) == (second, first);
        self.pending_events
            .retain(|_, event| !matches!(event, SimEvent::Frame { from, to, .. } if between(*from, *to)));
    }

    /// Returns the number of frames in flight between two machines.
    pub fn frames_in_flight(&self, first: usize, second: usize) -> usize {
        let between = |from: usize, to: usize| (from, to) == (first, second) || (from, to) == (second, first);
        self.pending_events
            .values()
            .filter(|event| matches!(event, SimEvent::Frame { from, to, .. } if between(*from, *to)))
            .count()
    }

    /// Queues a frame on a blocked link until the sender reconnects, unless the frame is too old by then.
    fn wait_for_connection(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let (Some(interval), Some(until)) =
            (self.reconnect_intervals.get(&(from, to)), self.blocked_links.get(&(from, to)))
        else {
            return;
        };
        let connected_at = until + self.rng.next_below(*interval);
        if connected_at <= self.now + MAX_QUEUE_TIME {
            self.schedule(connected_at, SimEvent::Frame { from, to, bytes });
        }
    }

    /// Sends a frame to an address: counts it, and schedules its arrival unless it is lost.
    pub(in crate::sim) fn send(&mut self, from: usize, to: &str, frame: Frame) {
        let Some(receiver) = self.machine_at(to) else { return };
        let Ok(bytes) = encode_frame(&frame) else { return };
        self.frames += 1;
        self.bytes += bytes.len() as u64;
        if self.machines[from].zone != self.machines[receiver].zone {
            let traffic = self.cross_zone_traffic.entry(frame.message.name()).or_default();
            traffic.0 += 1;
            traffic.1 += bytes.len() as u64;
        }
        let is_lost = self.frame_loss.1 > self.now && self.rng.chance_percent(self.frame_loss.0);
        if is_lost {
            return;
        }
        if self.is_blocked(from, receiver) {
            return self.wait_for_connection(from, receiver, bytes);
        }
        let is_listening = self.machines[receiver].node.is_some();
        if !self.connections.can_deliver(from, receiver, is_listening, self.now) {
            return;
        }
        let is_same_zone = self.machines[from].zone == self.machines[receiver].zone;
        let latency = if is_same_zone { 100 + self.rng.next_below(400) } else { 500 + self.rng.next_below(2_000) };
        let is_reordering = self.reordering_until > self.now;
        let extra_delay =
            if self.rng.chance_percent(if is_reordering { 40 } else { 1 }) { self.rng.next_below(200 * MS) } else { 0 };
        let held_until = [from, receiver]
            .iter()
            .filter_map(|machine| self.frames_held_until.get(machine))
            .max()
            .copied()
            .unwrap_or(0);
        let stalled_until = self.stalled_links.get(&(from, receiver)).copied().unwrap_or(0);
        self.schedule(
            held_until.max(stalled_until).max(self.now) + latency + extra_delay,
            SimEvent::Frame { from, to: receiver, bytes },
        );
    }
}
