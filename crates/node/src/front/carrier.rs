//! The task that carries one call: it does what the core's life of the call wants done.

use super::heads::{self, Ask};
use super::{answer, body};
use crate::clock;
use crate::shared::{Command, Shared};
use crate::upstream::{Busy, Failed, Line, Open, Shut, Target, Want};
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyStream;
use hyper::body::Incoming;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use sumacvale_core::base::{MS, Micros};
use sumacvale_core::call::{BodyError, BodyReservation, CallMachine, Effect, Event, RequestHead};
use sumacvale_core::placement::Endpoint;
use sumacvale_core::retry::FailurePoint;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use viz::{Body, Response};

type Item = Result<Bytes, std::io::Error>;

/// What the outside came to.
enum Done {
    Read(Result<Bytes, BodyError>, BodyReservation),
    Opened(Result<Line<Open>, Shut>),
    Sent(Result<(hyper::Response<Incoming>, Line<Busy>), Failed>),
}

/// What this call waits for outside.
enum Doing {
    Nothing,
    Work(Pin<Box<dyn Future<Output = Done> + Send>>),
    Flow(BodyStream<Incoming>, Line<Busy>),
}

/// One call with all that it holds outside; whatever it holds inside goes back when this goes.
pub struct Carrier {
    h: Arc<Shared>,
    n: u64,
    life: CallMachine,
    ask: Ask,
    todo: VecDeque<Effect>,
    events: mpsc::UnboundedReceiver<Event>,
    version: watch::Receiver<Option<u64>>,
    body: Option<Body>,
    held: Option<BodyReservation>,
    bytes: Bytes,
    at: Option<Endpoint>,
    line: Option<Line<Open>>,
    /// A kept connection had ended, so the next one is a new one.
    fresh: bool,
    head: Option<hyper::http::response::Parts>,
    /// How much of a body of known length is still due. Nobody asks for more after that.
    owed: Option<u64>,
    doing: Doing,
    nap: Nap,
}

/// The one timer of a call. It is set anew only where the moment comes earlier, or has passed.
#[derive(Default)]
struct Nap {
    at: Option<Micros>,
    z: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl Nap {
    async fn until(&mut self, due: Option<Micros>) {
        let Some(t) = due else { return std::future::pending().await };
        loop {
            let now = clock::now();
            let at = t.max(now + MS);
            if self.at.is_none_or(|a| a > at) {
                let to = Instant::now() + Duration::from_micros(at - now);
                self.at = Some(at);
                match &mut self.z {
                    Some(z) => z.as_mut().reset(to),
                    z => *z = Some(Box::pin(tokio::time::sleep_until(to))),
                }
            }
            let Some(z) = &mut self.z else { return };
            z.await;
            self.at = None;
            if clock::now() >= t {
                return;
            }
        }
    }
}

impl Carrier {
    /// A task for the call with this number.
    pub fn new(h: Arc<Shared>, n: u64, head: RequestHead, ask: Ask, body: Body) -> Self {
        let life = CallMachine::new(n, head, h.view.load_full(), clock::now());
        let events = h.call_events.subscribe(n);
        let version = h.version.clone();
        Carrier {
            n,
            life,
            ask,
            todo: VecDeque::new(),
            events,
            version,
            body: Some(body),
            held: None,
            bytes: Bytes::new(),
            at: None,
            line: None,
            fresh: false,
            head: None,
            owed: None,
            doing: Doing::Nothing,
            nap: Nap::default(),
            h,
        }
    }

    /// Up to the head of a response, which may go on passing pieces after it.
    pub async fn run(mut self) -> Response {
        self.step(Event::Wake);
        loop {
            while let Some(e) = self.todo.pop_front() {
                match e {
                    Effect::Respond(a) => return answer::response(self.h.dialect, &a, &self.ask.id),
                    Effect::ForwardHead => return self.begin().await,
                    e => self.carry(e),
                }
            }
            let e = self.event().await;
            self.step(e);
        }
    }

    async fn begin(mut self) -> Response {
        let mut r = Response::new(Body::empty());
        if let Some(p) = self.head.take() {
            heads::pass(&self.h.dialect.heads, &p, &self.ask.id, &mut r);
        }
        self.owed = heads::length(r.headers());
        if self.owed == Some(0) {
            let _ = self.next().await;
            return r;
        }
        let s = futures::stream::unfold(Some(self), |c| async move {
            let mut c = c?;
            let x = c.next().await?;
            let c = x.is_ok().then_some(c);
            Some((x, c))
        });
        *r.body_mut() = Body::from_stream(SyncStream(std::sync::Mutex::new(Box::pin(s))));
        r
    }

    async fn next(&mut self) -> Option<Item> {
        if self.todo.is_empty() && self.life.is_finished() {
            return None;
        }
        loop {
            while let Some(e) = self.todo.pop_front() {
                match e {
                    Effect::ForwardChunk(b) => {
                        let Some(n) = &mut self.owed else { return Some(Ok(b)) };
                        *n = n.saturating_sub(b.len() as u64);
                        if *n > 0 {
                            return Some(Ok(b));
                        }
                        // The last piece goes out when the end is known to be a proper one.
                        self.owed = None;
                        return match Box::pin(self.next()).await {
                            Some(Err(e)) => Some(Err(e)),
                            _ => Some(Ok(b)),
                        };
                    }
                    Effect::End => {
                        if let Doing::Flow(_, l) = std::mem::replace(&mut self.doing, Doing::Nothing) {
                            l.keep(&self.h.upstreams);
                        }
                        return None;
                    }
                    Effect::Abort(why) => {
                        tracing::debug!(call = %self.ask.id, why, "a response broke off");
                        return Some(Err(std::io::Error::other(why)));
                    }
                    e => self.carry(e),
                }
            }
            let e = self.event().await;
            self.step(e);
        }
    }

    fn step(&mut self, e: Event) {
        let out = self.h.step(|cx| self.life.step(e, cx));
        for e in out {
            match e {
                Effect::Wake(r) => self.h.ring(r),
                Effect::RequestUnits { tenant, waiting } => {
                    let _ = self.h.inbox.try_send(Command::Need { tenant, waiting });
                }
                e => self.todo.push_back(e),
            }
        }
    }

    fn carry(&mut self, e: Effect) {
        let h = self.h.clone();
        match e {
            Effect::ReadBody { max_bytes: most } => {
                let b = self.body.take().unwrap_or_default();
                let mut held = h.floor.body_budget.reserve();
                self.doing = Doing::Work(Box::pin(async move {
                    let r = body::read(b, most, &mut held).await;
                    Done::Read(r, held)
                }));
            }
            Effect::Connect(p) => {
                let l = Line::to(Target { addr: p.addr, worker_id: p.worker_id.clone(), incarnation: p.incarnation });
                let want = Want {
                    fresh: std::mem::take(&mut self.fresh),
                    once: self.life.route().is_none_or(|w| !w.matched.idempotent),
                    cap: h.limits.worker_conns(),
                };
                self.at = Some(p);
                self.doing = Doing::Work(Box::pin(async move { Done::Opened(l.open(&h.upstreams, want).await) }));
            }
            Effect::Send { last_event_id: after, window, deadline: until, urgency } => {
                let tenant = self.life.route().map_or("", |w| &w.tenant.name).to_owned();
                let req = self.at.as_ref().and_then(|p| {
                    if p.zone != h.env.zone {
                        h.floor.counters.cross_zone_bytes.add(self.bytes.len() as u64);
                    }
                    let left = (until != Micros::MAX).then(|| until.saturating_sub(clock::now()) / MS);
                    let t = heads::Attempt { to: p, tenant: &tenant, after, window, left, urgency };
                    heads::request(h.dialect, &self.ask, &t, self.bytes.clone())
                });
                self.doing = match (req, self.line.take()) {
                    (Some(r), Some(l)) => Doing::Work(Box::pin(async move { Done::Sent(l.send(r).await) })),
                    _ => Doing::Work(Box::pin(std::future::ready(Done::Sent(Err(Failed::Refused))))),
                };
            }
            Effect::Close => {
                self.line = None;
                self.doing = Doing::Nothing;
            }
            _ => {}
        }
    }

    /// Awaits whatever comes first of all that can happen to this call.
    async fn event(&mut self) -> Event {
        let due = self.life.next_wake(&self.h.view.load());
        let (minds, flows) = (self.life.wants_new_view(), self.life.is_streaming());
        let done = tokio::select! {
            biased;
            Ok(()) = self.version.changed(), if minds => return Event::Wake,
            Some(e) = self.events.recv(), if !flows => return e,
            e = outside(&mut self.doing) => e,
            () = self.nap.until(due) => return Event::Wake,
        };
        match done {
            Ok(e) => e,
            Err(d) => self.done(d),
        }
    }

    fn done(&mut self, d: Done) -> Event {
        self.doing = Doing::Nothing;
        match d {
            Done::Read(r, held) => {
                self.held = Some(held);
                if let Ok(b) = &r {
                    self.bytes = b.clone();
                }
                Event::Body(r)
            }
            Done::Opened(Ok(l)) => {
                self.line = Some(l);
                Event::Connected
            }
            Done::Opened(Err(Shut::Full)) => Event::AttemptFailed(FailurePoint::Declined),
            Done::Opened(Err(Shut::Io(_))) | Done::Sent(Err(Failed::Refused)) => {
                Event::AttemptFailed(FailurePoint::Connect)
            }
            Done::Sent(Err(Failed::Unsent)) => {
                self.fresh = true;
                Event::NotSent
            }
            Done::Sent(Err(Failed::Lost)) => Event::AttemptFailed(FailurePoint::Sent),
            Done::Sent(Ok((r, l))) => {
                let reply = heads::reply(&self.h.dialect.heads, &r, &self.ask);
                let (p, b) = r.into_parts();
                self.head = Some(p);
                self.doing = Doing::Flow(BodyStream::new(b), l);
                Event::Head(reply)
            }
        }
    }
}

async fn outside(d: &mut Doing) -> Result<Event, Done> {
    match d {
        Doing::Nothing => std::future::pending().await,
        Doing::Work(f) => Err(f.await),
        Doing::Flow(b, _) => loop {
            match b.next().await {
                None => return Ok(Event::End),
                Some(Err(_)) => return Ok(Event::BodyAborted),
                Some(Ok(f)) => {
                    if let Ok(b) = f.into_data() {
                        return Ok(Event::Chunk(b));
                    }
                }
            }
        },
    }
}

impl Drop for Carrier {
    fn drop(&mut self) {
        self.step(Event::ClientGone);
        self.h.call_events.unsubscribe(self.n);
        // What was rung before that is given back by the life, which is over.
        while let Ok(e) = self.events.try_recv() {
            self.step(e);
        }
    }
}

struct SyncStream<S>(std::sync::Mutex<Pin<Box<S>>>);

impl<S: futures::Stream<Item = Item>> futures::Stream for SyncStream<S> {
    type Item = Item;

    fn poll_next(self: Pin<&mut Self>, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<Item>> {
        match self.0.lock() {
            Ok(mut g) => g.as_mut().poll_next(cx),
            Err(e) => e.into_inner().as_mut().poll_next(cx),
        }
    }
}
