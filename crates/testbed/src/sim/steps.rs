//! Runs a simulated world on: gives events to nodes and calls, and carries effects out.

use crate::sim::event::SimEvent;
use crate::sim::world::{TICK, World};
use std::cmp::Reverse;
use sumacvale_core::base::Micros;
use sumacvale_core::call::Event as CallEvent;
use sumacvale_core::node::{Effect, Event};
use sumacvale_core::protocol::decode_frame;

impl World {
    /// Gives one event to a node and carries its effects out.
    pub fn step(&mut self, i: usize, e: Event) {
        let now = self.now;
        let s = &mut self.slots[i];
        let at = s.clock(now);
        let Some(n) = s.node.as_mut() else { return };
        let es = n.step(e, at);
        for e in es {
            self.carry(i, e);
        }
        let s = &mut self.slots[i];
        if let Some(n) = &s.node {
            let v = n.version();
            if v != s.shown {
                if let (Some(a), Some(b)) = (s.shown, v) {
                    self.check.moves(&s.addr, a, b, now);
                }
                s.shown = v;
                let ds: Vec<_> = n.consensus.state.history.values().cloned().collect();
                for d in ds {
                    self.check.holds(&s.addr, &d, now);
                }
            }
        }
    }

    fn carry(&mut self, i: usize, e: Effect) {
        match e {
            Effect::Send { to, frame } => self.send(i, &to, *frame),
            Effect::Write { token, writes: ops } => {
                let now = self.now;
                let at = self.slots[i].disk.write(token, ops, now, &mut self.rng);
                let life = self.slots[i].life;
                self.push(at, SimEvent::Land(i, life));
            }
            Effect::CompleteChange { request_id: req, outcome: fate } => self.answers.push((req, fate)),
            Effect::WakeTenant { tenant } => self.refill(i, &tenant),
            Effect::AcknowledgeReport { request_id: req, is_accepted: ok } => self.heard.push((req, ok)),
            Effect::Publish(v) => self.show(i, v),
            Effect::Reconnect { to } => {
                if let Some(j) = self.slot_of(&to) {
                    self.connections.reconnect(i, j);
                }
            }
        }
    }

    /// Runs the world on until `until`.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, n, _))) = self.heap.peek().copied() {
            if at > until {
                break;
            }
            self.heap.pop();
            self.now = self.now.max(at);
            let Some(h) = self.what.remove(&n) else { continue };
            let at = match &h {
                SimEvent::Tick(i, _) | SimEvent::Land(i, _) | SimEvent::Frame { to: i, .. } => Some(*i),
                SimEvent::Turn(i, ..) | SimEvent::Body(i, ..) | SimEvent::Bell(i, ..) | SimEvent::Leave(i, ..) => {
                    Some(*i)
                }
                SimEvent::Call(i, ..) => Some(*i),
                SimEvent::Try(b, _) => Some(b.slot),
                SimEvent::Arrive(..) | SimEvent::Work(..) | SimEvent::Room(..) => None,
                SimEvent::Thaw(_) | SimEvent::Resume(_) => None,
            };
            if let Some(i) = at
                && self.slots[i].node.is_some()
                && self.slots[i].frozen > self.now
            {
                self.slots[i].pend.push(h);
                continue;
            }
            if let Some(i) = at
                && self.waits_for_its_turn(i)
            {
                self.slots[i].pend.push(h);
                continue;
            }
            let lives = |w: &World, i: usize, life: u64| w.slots[i].life == life && w.slots[i].node.is_some();
            match h {
                SimEvent::Tick(i, life) if self.slots[i].life == life && self.slots[i].node.is_some() => {
                    self.step(i, Event::Tick);
                    self.sweep(i);
                    self.push(self.now + TICK, SimEvent::Tick(i, life));
                }
                SimEvent::Frame { to: i, bytes, .. } => {
                    if let Ok(f) = decode_frame(&bytes) {
                        self.step(i, Event::Frame(Box::new(f)));
                    }
                }
                SimEvent::Land(i, life) if lives(self, i, life) => {
                    let now = self.now;
                    let refused = self.slots[i].disk.refused;
                    if let Some(t) = self.slots[i].disk.land(now) {
                        self.step(i, Event::Synced(t));
                    } else {
                        self.refused_writes += self.slots[i].disk.refused - refused;
                    }
                    if let Some(t) = self.slots[i].disk.due() {
                        self.push(t.max(now + 1), SimEvent::Land(i, life));
                    }
                }
                SimEvent::Turn(i, life, n) if lives(self, i, life) => {
                    if let Some(a) = self.slots[i].hall.lives.get_mut(&n) {
                        a.turned();
                        self.live(i, n, CallEvent::Wake);
                    }
                }
                SimEvent::Leave(i, life, n) if lives(self, i, life) => self.live(i, n, CallEvent::ClientDisconnected),
                SimEvent::Body(i, life, n, b) if lives(self, i, life) => self.live(i, n, CallEvent::RequestBody(Ok(b))),
                SimEvent::Bell(i, life, r) if lives(self, i, life) => self.bell(i, r),
                SimEvent::Try(b, e) if lives(self, b.slot, b.life) => self.heard(b, e),
                SimEvent::Thaw(i) if self.slots[i].frozen <= self.now => {
                    self.thaw(i);
                }
                SimEvent::Resume(i) if self.slots[i].frozen <= self.now => {
                    self.thaw(i);
                }
                SimEvent::Room(i, life) => self.look_for_room(i, life),
                SimEvent::Call(i, life, n) if lives(self, i, life) => self.live(i, n, CallEvent::Wake),
                SimEvent::Arrive(k, s) => self.arrive(k, s),
                SimEvent::Work(k, n) => self.work(k, n),
                _ => {}
            }
        }
        self.now = self.now.max(until);
    }
}
