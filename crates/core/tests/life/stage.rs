//! A call with all that one step sees, and scripts of events with the effects that must follow.

pub use bytes::Bytes;
use std::sync::Arc;
use sumacvale_core::base::sha256_hex;
pub use sumacvale_core::base::{MS, Micros, SEC};
pub use sumacvale_core::call::{BodyError, CallMachine, Event, RequestHead, ResponseHead};
pub use sumacvale_core::call::{Effect, Effects, SharedCallState, StepContext, ThreadCaches, Wakeup};
use sumacvale_core::config::CompiledConfig;
use sumacvale_core::node::View;
use sumacvale_core::placement::Endpoint;
use sumacvale_core::protocol::WorkerReport;
use sumacvale_core::quota::WindowSlices;
pub use sumacvale_core::retry::FailurePoint;

pub const BEGIN: Micros = 10 * SEC;

pub fn row(n: u64, slots: u32) -> WorkerReport {
    WorkerReport {
        worker_id: format!("w{n}"),
        incarnation: 1,
        seq: 1,
        addr: format!("10.0.0.{n}:80"),
        pool: "p".into(),
        zone: "z".into(),
        slots,
        busy: 0,
        draining: false,
        warm_up_left: 0,
        removed: false,
        age: 0,
    }
}

pub fn plan(key: bool) -> Arc<CompiledConfig> {
    let k = if key { format!("\"sha256:{}\"", sha256_hex(b"key")) } else { String::new() };
    let m = |n: &str, x: &str| format!("\"{n}\":{{\"path\":\"/{n}\",\"pool\":\"p\",\"kind\":{x}}}");
    let ms = [
        m("chat", "\"chat\""),
        m("cut", "\"chat\",\"on_revoke\":\"cut\""),
        m("draft", "\"draft\",\"resume\":true"),
        m("confirm", "\"lookup\",\"repeat\":true"),
    ];
    let t = format!(
        "{{\"pools\":{{\"p\":{{}}}},\"matches\":{{{}}},\"tenants\":{{\"t\":{{\"keys\":[{k}]}}}}}}",
        ms.join(",")
    );
    Arc::new(CompiledConfig::compile(if key { 1 } else { 2 }, &t))
}

pub struct Stage {
    pub floor: SharedCallState,
    pub own: ThreadCaches,
    pub view: Arc<View>,
    pub now: Micros,
    pub life: CallMachine,
    pub at: Option<Endpoint>,
}

impl Stage {
    pub fn new(path: &str, workers: u64, slots: u32, units: u64) -> Stage {
        Stage::of(path, workers, slots, units, plan(true))
    }

    pub fn of(path: &str, workers: u64, slots: u32, units: u64, plan: Arc<CompiledConfig>) -> Stage {
        let slices = Arc::new(WindowSlices::default());
        if units > 0 {
            slices.add_granted("t", 1, units, BEGIN + SEC);
        }
        let workers: Vec<_> = (1..=workers).map(|n| row(n, slots)).collect();
        let view = View {
            version: Some(1),
            confirmed_at: Some(BEGIN),
            config: plan,
            workers: Arc::new(workers),
            ..View::default()
        };
        let view = Arc::new(view);
        let head = RequestHead {
            method: "POST".into(),
            path: path.into(),
            api_key: Some("key".into()),
            ..RequestHead::default()
        };
        let life = CallMachine::new(1, head, view.clone(), BEGIN);
        Stage {
            floor: SharedCallState::new("z", 8, 1 << 20, slices),
            own: ThreadCaches::default(),
            view,
            now: BEGIN,
            life,
            at: None,
        }
    }

    pub fn look(&mut self, f: impl FnOnce(&mut View)) {
        let mut v = (*self.view).clone();
        f(&mut v);
        self.view = Arc::new(v);
    }

    /// One event, and the effects that follow.
    pub fn effects(&mut self, e: Event) -> Effects {
        let now = self.now;
        let clock = || now;
        let mut cx =
            StepContext { shared: &self.floor, thread_caches: &mut self.own, view: &self.view, now, clock: &clock };
        self.life.step(e, &mut cx)
    }

    /// What the sweep of the waitlists rings.
    pub fn sweep(&mut self) -> Vec<Wakeup> {
        let now = self.now;
        let clock = || now;
        let mut cx =
            StepContext { shared: &self.floor, thread_caches: &mut self.own, view: &self.view, now, clock: &clock };
        SharedCallState::expire_waiters(&mut cx).0
    }

    /// The same in words.
    pub fn step(&mut self, e: Event) -> String {
        let out = self.effects(e);
        let names: Vec<_> = out
            .into_iter()
            .map(|e| match e {
                Effect::ReadBody { .. } => "read".into(),
                Effect::RequestUnits { .. } => "need".into(),
                Effect::Connect(p) => {
                    // The same prefix goes to the same worker, whichever that is.
                    let s = match &self.at {
                        Some(o) if o.worker_id == p.worker_id => "open again",
                        Some(_) => "open other",
                        None => "open",
                    };
                    self.at = Some(p);
                    s.into()
                }
                Effect::SendRequest { last_event_id: after, window, deadline: until, urgency } => {
                    let after = after.map_or(String::new(), |n| format!(" after {n}"));
                    let until =
                        if until == Micros::MAX { String::new() } else { format!(" until {}", (until - BEGIN) / MS) };
                    let rank = urgency.map_or(String::new(), |u| format!(" rank {u}"));
                    format!("send{after} win {window}{until}{rank}")
                }
                Effect::CloseConnection => "close".into(),
                Effect::ForwardHead => "begin".into(),
                Effect::ForwardChunk(b) => format!("pass {}", b.len()),
                Effect::FinishResponse => "end".into(),
                Effect::AbortResponse(_) => "abort".into(),
                Effect::Respond(a) => format!("{} {} {}", a.status, a.code, a.execution.name()),
                Effect::WakeCall(Wakeup { call_id: call, .. }) => format!("ring {call}"),
            })
            .collect();
        names.join(", ")
    }

    pub fn held(&self) -> (u64, (u64, u64), u64) {
        let free = self.floor.slices.list().iter().find(|s| s.0 == "t").map_or(0, |s| s.4);
        (self.floor.worker_loads.total_in_flight(), self.floor.queue_lengths(), free)
    }
}

/// What happens to a stage: an event, or a change of what the node knows.
pub enum Do {
    E(Event),
    Body,
    Pay,
    Withdraw,
    Stale,
    Lose,
    Wait(Micros),
    Slice(u64),
    /// All places are taken.
    Fill,
    /// A version comes in which the matches go to these pools.
    Move(&'static str),
    /// A slice comes, or the word that the window is spent, and the call that waits hears of it.
    Refill(u64),
}

pub use Do::{Body, E, Fill, Lose, Move, Pay, Refill, Slice, Stale, Wait, Withdraw};

pub fn head(sse: bool, bounded: bool) -> Do {
    E(Event::ResponseHead(ResponseHead {
        status: 200,
        is_event_stream: sse,
        has_definite_end: bounded,
        ..ResponseHead::default()
    }))
}

pub fn piece(s: &str) -> Do {
    E(Event::ResponseChunk(Bytes::from(s.to_owned())))
}

pub fn run(name: &str, s: &mut Stage, steps: Vec<(Do, &str)>) {
    for (i, (d, want)) in steps.into_iter().enumerate() {
        let got = match d {
            E(e) => s.step(e),
            Body => s.step(Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}")))),
            Pay => {
                for _ in 0..5 {
                    s.floor.retry_budget.deposit();
                }
                String::new()
            }
            Withdraw => {
                let p = plan(false);
                s.look(|v| {
                    v.version = Some(2);
                    v.config = p;
                });
                String::new()
            }
            Stale => {
                s.now += 5 * SEC;
                String::new()
            }
            Lose => {
                let w = s.at.as_ref().map(|p| p.worker_id.clone()).unwrap_or_default();
                s.look(|v| v.workers = Arc::new(v.workers.iter().filter(|r| r.worker_id != w).cloned().collect()));
                s.floor.caches.routes.delete("p");
                String::new()
            }
            Wait(t) => {
                s.now += t;
                let n = s.now;
                s.look(|v| v.confirmed_at = Some(n));
                String::new()
            }
            Refill(window) => {
                if window == 0 {
                    s.floor.slices.mark_spent("t", 1, s.now + SEC, s.now);
                } else {
                    s.floor.slices.add_granted("t", window, 5, s.now + SEC);
                }
                s.floor.serve_quota_queue("t", s.now).into_iter().map(|r| s.step(r.event)).collect()
            }
            Fill => {
                for r in s.view.workers.iter() {
                    (0..r.slots).for_each(|_| s.floor.worker_loads.begin(&r.worker_id));
                }
                String::new()
            }
            Move(to) => {
                let p = aims(to, 2);
                s.look(|v| {
                    v.version = Some(2);
                    v.config = p;
                });
                String::new()
            }
            Slice(window) => {
                s.floor.slices.add_granted("t", window, 5, s.now + SEC);
                String::new()
            }
        };
        assert_eq!(got, want, "{name}, step {i}");
    }
}

pub fn sent() -> Vec<(Do, &'static str)> {
    vec![(E(Event::Wake), "read"), (Body, "open"), (E(Event::Connected), "send win 1")]
}

pub fn then(more: Vec<(Do, &'static str)>) -> Vec<(Do, &'static str)> {
    sent().into_iter().chain(more).collect()
}
/// Matches with an aim, whose calls are sent to the pools of `to`.
pub fn aims(to: &str, version: u64) -> Arc<CompiledConfig> {
    let m = |n: &str, x: &str| format!("\"{n}\":{{\"under\":\"/{n}/\",{to},\"kind\":\"lookup\"{x}}}");
    let ms = [
        m("open", ",\"open\":true"),
        m("shut", if version == 1 { ",\"open\":true" } else { "" }),
        m("safe", ",\"repeat\":true,\"tries\":3"),
        m("two", ",\"repeat\":true,\"tries\":2"),
        m("one", ",\"repeat\":true,\"tries\":1"),
        m("once", ",\"tries\":3"),
        m("rank", ",\"urgency\":7"),
        m("flow", ",\"repeat\":true,\"resume\":true,\"gap_ms\":100,\"idle_ms\":9000"),
        m("slow", ",\"repeat\":true,\"resume\":true,\"gap_ms\":600,\"idle_ms\":9000"),
        m("flow-once", ",\"gap_ms\":100,\"idle_ms\":9000"),
    ];
    let k = |s: &str| sha256_hex(s.as_bytes());
    let t = format!(
        "{{\"defaults\":{{\"aim_ms\":400}},\"pools\":{{\"p\":{{}},\"q\":{{}}}},\"matches\":{{{}}},\"tenants\":\
         {{\"t\":{{\"keys\":[\"sha256:{}\"]}},\"u\":{{\"keys\":[\"sha256:{}\"],\"urgency\":2}}}}}}",
        ms.join(","),
        k("key"),
        k("urgent"),
    );
    let p = CompiledConfig::compile(version, &t);
    assert!(!p.matches.is_empty(), "{t}: {:?}", sumacvale_core::config::validate(&t));
    Arc::new(p)
}

/// A call of a match with an aim, by a key or none, of one who waits so many milliseconds or for ever.
pub fn aimed(path: &str, key: &str, left: Micros, workers: u64) -> Stage {
    let mut s = Stage::new(path, workers, 4, 9);
    let p = aims("\"pool\":\"p\"", 1);
    s.look(|v| v.config = p);
    s.floor.slices.add_granted("u", 1, 9, BEGIN + SEC);
    let head = RequestHead {
        method: "POST".into(),
        path: path.into(),
        api_key: (!key.is_empty()).then(|| key.into()),
        time_left: (left > 0).then_some(left * MS),
        ..RequestHead::default()
    };
    s.life = CallMachine::new(1, head, s.view.clone(), BEGIN);
    s
}

pub fn status(n: u16) -> Do {
    E(Event::ResponseHead(ResponseHead { status: n, has_definite_end: true, ..ResponseHead::default() }))
}

pub fn declined(n: u16) -> Do {
    E(Event::ResponseHead(ResponseHead { status: n, has_definite_end: true, not_run: true, ..ResponseHead::default() }))
}

pub fn whole() -> Vec<(Do, &'static str)> {
    vec![(head(false, true), "begin"), (piece("ok"), "pass 2"), (E(Event::ResponseEnd), "end")]
}

/// Name, path, workers, places of each, units; the steps; the units left at the end.
pub type Case = (&'static str, &'static str, u64, u32, u64, Vec<(Do, &'static str)>, u64);

/// Plays each case to its end, where nothing may be held.
pub fn check(cases: Vec<Case>) {
    for (name, path, workers, slots, units, steps, left) in cases {
        let mut s = Stage::new(path, workers, slots, units);
        run(name, &mut s, steps);
        assert!(s.life.is_finished(), "{name}: is not over");
        assert_eq!((s.held().0, s.held().1), (0, (0, 0)), "{name}: places and waits");
        assert_eq!(s.held().2, left, "{name}: units left");
        let (one, two) = (s.floor.counters.attempts_first.get(), s.floor.counters.retries.get());
        assert!(one <= 1 && two <= 1, "{name}: {one} first and {two} second tries");
    }
}

/// Name, path, key, how long the caller waits, workers; the steps; the units left at the end.
pub type AimedCase = (&'static str, &'static str, &'static str, Micros, u64, Vec<(Do, &'static str)>, u64);

/// The same for calls of matches with an aim.
pub fn check_aimed(cases: Vec<AimedCase>) {
    for (name, path, key, left, workers, steps, units) in cases {
        let mut s = aimed(path, key, left, workers);
        let full = matches!(steps.first(), Some((Fill, _)));
        run(name, &mut s, steps);
        assert!(s.life.is_finished(), "{name}: is not over");
        assert_eq!((s.held().0, s.held().1), (if full { 4 } else { 0 }, (0, 0)), "{name}: places and waits");
        assert_eq!(s.held().2, units, "{name}: units left");
    }
}

/// Its head and body were read.
pub fn came() -> Vec<(Do, &'static str)> {
    vec![(E(Event::Wake), "read"), (Body, "open")]
}

/// It was sent, with this effect.
pub fn put(effect: &'static str) -> Vec<(Do, &'static str)> {
    and(came(), vec![(E(Event::Connected), effect)])
}

/// One script after another.
pub fn and(a: Vec<(Do, &'static str)>, b: Vec<(Do, &'static str)>) -> Vec<(Do, &'static str)> {
    a.into_iter().chain(b).collect()
}
