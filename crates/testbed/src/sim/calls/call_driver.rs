//! The life of calls in simulated processes: their events and the effects of these.

use crate::sim::calls::call_registry::ActiveCall;
use crate::sim::calls::outcome::{CallOutcome, CallRequest, ClientObservation};
use crate::sim::event::SimEvent;
use crate::sim::workers::worker::{AttemptOrigin, WorkerBehaviour, WorkerRequest};
use crate::sim::world::World;
use bytes::Bytes;
use std::sync::Arc;
use sumacvale_core::base::MS;
use sumacvale_core::call::{CallMachine, Effect, Event, RequestHead, SharedCallState, StepContext, Wakeup};
use sumacvale_core::node::{Event as NodeEvent, View};
use sumacvale_core::retry::FailurePoint;

impl World {
    /// Somebody calls a front; the number of the call.
    pub fn call(&mut self, i: usize, want: CallRequest) -> u64 {
        self.calls += 1;
        let call = self.calls;
        let head = RequestHead {
            method: "POST".into(),
            path: want.path.into(),
            api_key: Some(format!("key-{}", want.tenant)),
            ..RequestHead::default()
        };
        let at = self.slots[i].clock(self.now);
        let h = &mut self.slots[i].hall;
        let life = CallMachine::new(call, head, h.view.clone(), at);
        if let Some(t) = want.leaves {
            let (t, life) = (self.now + t, self.slots[i].life);
            self.push(t, SimEvent::Leave(i, life, call));
        }
        let a = ActiveCall { life, want, at: self.now, first: None, body: Vec::new(), no: 0, to: None, turn: 0 };
        self.slots[i].hall.lives.insert(call, Box::new(a));
        let life = self.slots[i].life;
        self.push(self.now, SimEvent::Call(i, life, call));
        call
    }

    /// Steps the calls' side of a machine that shows a new picture.
    pub(in crate::sim) fn show(&mut self, i: usize, v: Arc<View>) {
        let h = &mut self.slots[i].hall;
        let news = !Arc::ptr_eq(&h.view.workers, &v.workers);
        let version = h.view.version != v.version;
        h.view = v;
        if news {
            for p in h.view.config.pools.keys() {
                h.floor.caches.routes.delete(p);
            }
            self.sweep(i);
        }
        if version {
            let ns: Vec<_> =
                self.slots[i].hall.lives.iter().filter(|x| x.1.life.wants_new_view()).map(|x| *x.0).collect();
            for n in ns {
                self.live(i, n, Event::Wake);
            }
        }
    }

    fn with<R>(&mut self, i: usize, f: impl FnOnce(&mut StepContext) -> R) -> R {
        let now = self.slots[i].clock(self.now);
        let h = &mut self.slots[i].hall;
        let clock = || now;
        f(&mut StepContext { shared: &h.floor, thread_caches: &mut h.own, view: &h.view, now, clock: &clock })
    }

    pub(in crate::sim) fn sweep(&mut self, i: usize) {
        let (rs, need) = self.with(i, SharedCallState::expire_waiters);
        self.rings(i, rs);
        for (tenant, waiting) in need {
            self.step(i, NodeEvent::QuotaNeeded { tenant, waiting });
        }
    }

    pub(in crate::sim) fn refill(&mut self, i: usize, tenant: &str) {
        let rs = self.with(i, |cx| cx.shared.serve_quota_queue(tenant, cx.now));
        self.rings(i, rs);
    }

    fn rings(&mut self, i: usize, rs: Vec<Wakeup>) {
        let life = self.slots[i].life;
        for r in rs {
            // Between the bell and who hears it other things happen.
            let t = self.now + self.rng.below(200);
            self.push(t, SimEvent::Bell(i, life, r));
        }
    }

    pub(in crate::sim) fn bell(&mut self, i: usize, r: Wakeup) {
        if self.slots[i].hall.lives.contains_key(&r.call_id) {
            self.live(i, r.call_id, r.event);
        } else {
            let rs = self.with(i, |cx| SharedCallState::reclaim(r, cx));
            self.rings(i, rs);
        }
    }

    /// The platform asks every node each second whether it may hand callers to it.
    pub fn platform(&mut self) {
        for s in &mut self.slots {
            let up = s.node.is_some() && s.frozen <= self.now;
            s.ready = up && s.hall.view.is_ready(s.clock(self.now));
        }
    }

    /// What a worker said to one try; tries that were given up hear nothing.
    pub(in crate::sim) fn heard(&mut self, b: AttemptOrigin, e: Event) {
        let s = &self.slots[b.slot];
        if s.life == b.life && s.hall.lives.get(&b.call).is_some_and(|a| a.no == b.no && a.to.is_some()) {
            self.live(b.slot, b.call, e);
        }
    }

    /// Gives one event to a call and carries its effects out.
    pub(in crate::sim) fn live(&mut self, i: usize, n: u64, e: Event) {
        let Some(mut a) = self.slots[i].hall.lives.remove(&n) else { return };
        let left = matches!(e, Event::ClientDisconnected);
        let out = self.with(i, |cx| a.life.step(e, cx));
        let mut seen = left.then_some(ClientObservation::Left);
        let mut needs = Vec::new();
        for e in out {
            match e {
                Effect::ReadBody { .. } => {
                    let b = format!("{{\"prompt\":\"prefix {}\"}}", a.want.prefix);
                    let t = self.now + self.rng.below(2 * MS);
                    self.push(t, SimEvent::Body(i, self.slots[i].life, n, Bytes::from(b)));
                }
                Effect::RequestUnits { tenant, waiting } => needs.push((tenant, waiting)),
                Effect::Connect(p) => self.open(i, n, &mut a, p.addr),
                Effect::SendRequest { last_event_id: after, window, .. } => self.sent(i, n, &a, after, window),
                Effect::CloseConnection => self.close(i, n, &mut a),
                Effect::ForwardHead => {
                    a.first = Some(self.now);
                    self.accepted = Some((i, self.now));
                }
                Effect::ForwardChunk(b) => a.body.extend_from_slice(&b),
                Effect::FinishResponse => seen = Some(ClientObservation::Whole),
                Effect::AbortResponse(_) => seen = Some(ClientObservation::Broken),
                Effect::Respond(x) => {
                    seen = Some(ClientObservation::Refused {
                        status: x.status,
                        code: x.code,
                        ran: x.execution,
                        back: x.retry_after.is_some(),
                    });
                }
                Effect::WakeCall(r) => self.rings(i, vec![r]),
            }
        }
        if let Some(seen) = seen {
            self.close(i, n, &mut a);
            self.ended(i, n, *a, seen);
        } else {
            let s = &self.slots[i];
            if let Some(d) = a.life.next_wake(&s.hall.view) {
                let t = s.when(d).max(self.now + MS);
                if t != a.turn {
                    a.turn = t;
                    let life = s.life;
                    self.push(t, SimEvent::Turn(i, life, n));
                }
            }
            self.slots[i].hall.lives.insert(n, a);
        }
        for (tenant, waiting) in needs {
            self.step(i, NodeEvent::QuotaNeeded { tenant, waiting });
        }
    }

    fn ended(&mut self, slot: usize, call: u64, a: ActiveCall, seen: ClientObservation) {
        let ActiveCall { want, at, first, body, no, .. } = a;
        self.seen.push(CallOutcome { call, want, slot, at, first, end: self.now, body, tried: no > 0, seen });
    }

    fn open(&mut self, i: usize, n: u64, a: &mut ActiveCall, at: std::net::SocketAddr) {
        let k = match at.ip() {
            std::net::IpAddr::V4(x) => usize::from(x.octets()[3]) - 1,
            std::net::IpAddr::V6(_) => return,
        };
        a.no += 1;
        let w = &self.workers[k];
        a.to = Some((k, w.incarnation));
        let b = AttemptOrigin { slot: i, life: self.slots[i].life, call: n, no: a.no };
        if w.mode(self.now) == WorkerBehaviour::Dark {
            return;
        }
        let e = if w.up { Event::Connected } else { Event::AttemptFailed(FailurePoint::Connect) };
        let t = self.now + 2 * self.lat(i, k);
        self.push(t, SimEvent::Try(b, e));
    }

    fn sent(&mut self, i: usize, n: u64, a: &ActiveCall, after: Option<u64>, window: u64) {
        let Some((k, incarnation)) = a.to else { return };
        let to = AttemptOrigin { slot: i, life: self.slots[i].life, call: n, no: a.no };
        let s = WorkerRequest { to, tenant: a.want.tenant.clone(), path: a.want.path, after, window, incarnation };
        let t = self.now + self.lat(i, k);
        self.push(t, SimEvent::Arrive(k, s));
    }

    fn close(&mut self, i: usize, n: u64, a: &mut ActiveCall) {
        if let Some((k, _)) = a.to.take() {
            let b = AttemptOrigin { slot: i, life: self.slots[i].life, call: n, no: a.no };
            self.hang_up(k, b);
        }
    }

    /// The process is gone: its downstreams and its workers see their connections end.
    pub(in crate::sim) fn drop_calls(&mut self, i: usize) {
        let c = &self.slots[i].hall.floor.counters;
        self.tries.0 += c.attempts_first.get();
        self.tries.1 += c.retries.get();
        self.resumed += c.streams_resumed.get();
        self.reseated += c.slots_reassigned.get();
        self.units_ended += c.units_expired.get();
        for (n, mut a) in std::mem::take(&mut self.slots[i].hall.lives) {
            self.close(i, n, &mut a);
            self.ended(i, n, *a, ClientObservation::Dropped);
        }
    }
}
