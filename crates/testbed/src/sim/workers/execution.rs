//! What workers do: they run calls, answer piece by piece, and report to nodes.

use crate::sim::event::SimEvent;
use crate::sim::workers::responses::{body, piece, shape};
use crate::sim::workers::worker::{
    AttemptOrigin, ExecutionRecord, RunningRequest, SLOTS, WorkerBehaviour, WorkerRequest,
};
use crate::sim::world::World;
use bytes::Bytes;
use sumacvale_core::base::{MS, Micros};
use sumacvale_core::call::{Event, ResponseHead};
use sumacvale_core::node::Event as NodeEvent;
use sumacvale_core::protocol::WorkerReport;
use sumacvale_core::retry::FailurePoint;

/// Each third worker may be lured.
const LURED: usize = 3;

impl World {
    pub(in crate::sim) fn lat(&mut self, i: usize, k: usize) -> Micros {
        let near = self.slots[i].zone == self.workers[k].zone;
        if near { 100 + self.rng.below(400) } else { 500 + self.rng.below(2_000) }
    }

    fn back(&mut self, k: usize, to: AttemptOrigin, e: Event) {
        if self.workers[k].mode(self.now) != WorkerBehaviour::Dark {
            let t = self.now + self.lat(to.slot, k);
            self.push(t, SimEvent::Try(to, e));
        }
    }

    /// The process is gone, with all its connections.
    pub fn crash(&mut self, k: usize) {
        self.workers[k].up = false;
        for (_, r) in std::mem::take(&mut self.workers[k].runs) {
            let e = if r.head { Event::ResponseAborted } else { Event::AttemptFailed(FailurePoint::Sent) };
            self.back(k, r.to, e);
        }
    }

    /// A call reached the worker.
    pub(in crate::sim) fn arrive(&mut self, k: usize, s: WorkerRequest) {
        let now = self.now;
        let w = &mut self.workers[k];
        let mode = w.mode(now);
        if mode == WorkerBehaviour::Dark {
            return;
        }
        if !w.up || s.incarnation != w.incarnation {
            return self.back(k, s.to, Event::AttemptFailed(FailurePoint::Sent));
        }
        if mode == WorkerBehaviour::Reset && s.to.no % 2 == 1 {
            return self.back(k, s.to, Event::NotSent);
        }
        if mode == WorkerBehaviour::Decline || w.runs.len() >= SLOTS as usize {
            let r = ResponseHead { status: 503, has_definite_end: true, not_run: true, ..ResponseHead::default() };
            return self.back(k, s.to, Event::ResponseHead(r));
        }
        let from = s.after.map_or(0, |n| n + 1);
        let drained = w.drained;
        w.n += 1;
        let n = w.n;
        w.runs.insert(n, RunningRequest { to: s.to, path: s.path, mode, next: from, head: false, half: false });
        self.ran.push(ExecutionRecord {
            call: s.to.call,
            tenant: s.tenant,
            path: s.path,
            worker: k,
            at: now,
            from,
            window: s.window,
            drained,
        });
        match mode {
            WorkerBehaviour::Hang => {}
            WorkerBehaviour::Mute => {
                self.workers[k].runs.remove(&n);
                self.back(k, s.to, Event::AttemptFailed(FailurePoint::Sent));
            }
            _ => {
                let t = now + 2 * MS + self.rng.below(10 * MS);
                self.push(t, SimEvent::Work(k, n));
            }
        }
    }

    /// One more step of a run: its head, a piece, its end.
    pub(in crate::sim) fn work(&mut self, k: usize, n: u64) {
        let now = self.now;
        let Some(mut r) = self.workers[k].runs.remove(&n) else { return };
        // What a dead wire lost never comes, so nothing comes after it.
        if self.workers[k].mode(now) == WorkerBehaviour::Dark {
            return;
        }
        let (of, gap) = shape(r.path);
        let mut again = gap * if r.mode == WorkerBehaviour::Slow { 10 } else { 1 };
        if !r.head {
            r.head = true;
            let bounded = r.mode != WorkerBehaviour::Bare;
            self.back(
                k,
                r.to,
                Event::ResponseHead(ResponseHead {
                    status: 200,
                    is_event_stream: of > 0,
                    has_definite_end: bounded,
                    ..ResponseHead::default()
                }),
            );
        } else if of == 0 && r.next == 0 {
            r.next = 1;
            let mut s = body(r.to.call, r.path, 0);
            if r.mode == WorkerBehaviour::Cut {
                s.truncate(4);
            }
            self.back(k, r.to, Event::ResponseChunk(Bytes::from(s)));
            again = MS;
        } else if r.mode == WorkerBehaviour::Cut && (of == 0 || (r.half && r.next > 2)) {
            return self.back(k, r.to, Event::ResponseAborted);
        } else if r.mode == WorkerBehaviour::Bare && r.next > 1 {
            return self.back(k, r.to, Event::ResponseEnd);
        } else if r.next < of {
            let at = if r.mode == WorkerBehaviour::Skip && r.path == "/v1/draft" && r.next == 5 {
                r.next + 1
            } else {
                r.next
            };
            let s = piece(r.to.call, at, of);
            // Some pieces come in two parts; what breaks, breaks between them.
            if !r.half && (r.mode == WorkerBehaviour::Cut || self.rng.chance(20)) {
                r.half = true;
                self.back(k, r.to, Event::ResponseChunk(Bytes::from(s[..9].to_owned())));
                again = 5 * MS;
            } else {
                let s = if std::mem::take(&mut r.half) { s[9..].to_owned() } else { s };
                r.next = at + 1;
                self.back(k, r.to, Event::ResponseChunk(Bytes::from(s)));
            }
        } else {
            return self.back(k, r.to, Event::ResponseEnd);
        }
        self.workers[k].runs.insert(n, r);
        self.push(now + again.max(3 * MS), SimEvent::Work(k, n));
    }

    /// The node closed its end: the worker stops what it ran for it.
    pub(in crate::sim) fn hang_up(&mut self, k: usize, to: AttemptOrigin) {
        self.workers[k].runs.retain(|_, r| r.to != to);
    }

    /// What a worker says of itself now.
    pub(in crate::sim) fn row(&mut self, k: usize) -> WorkerReport {
        let w = &mut self.workers[k];
        w.seq += 1;
        WorkerReport {
            worker_id: w.id.clone(),
            incarnation: w.incarnation,
            seq: w.seq,
            addr: format!("10.9.0.{}:80", k + 1),
            pool: w.pool.into(),
            zone: w.zone.clone(),
            slots: SLOTS,
            busy: u32::try_from(w.runs.len()).unwrap_or(SLOTS),
            draining: w.drain,
            warm_up_left: 0,
            removed: false,
            age: 0,
        }
    }

    /// Workers report to two nodes of their zone in turn, as the protocol says.
    pub fn report(&mut self) {
        let now = self.now;
        for k in 0..self.workers.len() {
            let w = &mut self.workers[k];
            if !w.up || w.due > now || w.mode(now) == WorkerBehaviour::Dark {
                continue;
            }
            w.due = now + 500 * MS;
            let row = self.row(k);
            let zone = row.zone.clone();
            let mut to: Vec<usize> = (0..self.slots.len()).filter(|i| self.slots[*i].zone == zone).collect();
            let at = usize::try_from(self.rng.below(to.len().max(1) as u64)).unwrap_or(0);
            to.rotate_left(at);
            if let Some((i, _)) = self.lure.filter(|l| l.1 > now && k % LURED == 0) {
                to.retain(|j| *j != i);
                to.insert(0, i);
            }
            let up: Vec<_> = to.into_iter().filter(|i| self.slots[*i].node.is_some()).take(2).collect();
            for i in up {
                if self.alive(i) {
                    self.step(i, NodeEvent::Report(row.clone()));
                }
            }
        }
    }
}
