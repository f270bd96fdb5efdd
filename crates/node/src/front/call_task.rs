//! The task that carries one call: it does what the core's life of the call wants done.

use super::headers::{self, ClientRequest};
use super::{body, local_response};
use crate::clock;
use crate::shared::{Command, Shared};
use crate::upstream::{
    ConnectError, Connected, ConnectionRequirements, Responding, SendError, Target, UpstreamConnection,
};
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
enum IoOutcome {
    Read(Result<Bytes, BodyError>, BodyReservation),
    Opened(Result<UpstreamConnection<Connected>, ConnectError>),
    Sent(Result<(hyper::Response<Incoming>, UpstreamConnection<Responding>), SendError>),
}

/// What this call waits for outside.
enum PendingIo {
    Nothing,
    Work(Pin<Box<dyn Future<Output = IoOutcome> + Send>>),
    Flow(BodyStream<Incoming>, UpstreamConnection<Responding>),
}

/// One call with all that it holds outside; whatever it holds inside goes back when this goes.
pub struct CallTask {
    h: Arc<Shared>,
    n: u64,
    life: CallMachine,
    ask: ClientRequest,
    todo: VecDeque<Effect>,
    events: mpsc::UnboundedReceiver<Event>,
    version: watch::Receiver<Option<u64>>,
    body: Option<Body>,
    held: Option<BodyReservation>,
    bytes: Bytes,
    at: Option<Endpoint>,
    line: Option<UpstreamConnection<Connected>>,
    /// A kept connection had ended, so the next one is a new one.
    fresh: bool,
    head: Option<hyper::http::response::Parts>,
    /// How much of a body of known length is still due. Nobody asks for more after that.
    owed: Option<u64>,
    doing: PendingIo,
    nap: CallTimer,
}

/// The one timer of a call. It is set anew only where the moment comes earlier, or has passed.
#[derive(Default)]
struct CallTimer {
    at: Option<Micros>,
    z: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl CallTimer {
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

impl CallTask {
    /// A task for the call with this number.
    pub fn new(h: Arc<Shared>, n: u64, head: RequestHead, ask: ClientRequest, body: Body) -> Self {
        let life = CallMachine::new(n, head, h.view.load_full(), clock::now());
        let events = h.call_events.subscribe(n);
        let version = h.published_version.clone();
        CallTask {
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
            doing: PendingIo::Nothing,
            nap: CallTimer::default(),
            h,
        }
    }

    /// Up to the head of a response, which may go on passing pieces after it.
    pub async fn run(mut self) -> Response {
        self.step(Event::Wake);
        loop {
            while let Some(e) = self.todo.pop_front() {
                match e {
                    Effect::Respond(a) => return local_response::response(self.h.adapter, &a, &self.ask.call_id),
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
            headers::pass(&self.h.adapter.headers, &p, &self.ask.call_id, &mut r);
        }
        self.owed = headers::length(r.headers());
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
                    Effect::FinishResponse => {
                        if let PendingIo::Flow(_, l) = std::mem::replace(&mut self.doing, PendingIo::Nothing) {
                            l.return_idle(&self.h.upstreams);
                        }
                        return None;
                    }
                    Effect::AbortResponse(why) => {
                        tracing::debug!(call = %self.ask.call_id, why, "a response broke off");
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
        let out = self.h.with_step_context(|cx| self.life.step(e, cx));
        for e in out {
            match e {
                Effect::WakeCall(r) => self.h.deliver_wakeup(r),
                Effect::RequestUnits { tenant, waiting } => {
                    let _ = self.h.commands.try_send(Command::QuotaNeeded { tenant, waiting });
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
                let mut held = h.call_state.body_budget.reserve();
                self.doing = PendingIo::Work(Box::pin(async move {
                    let r = body::read(b, most, &mut held).await;
                    IoOutcome::Read(r, held)
                }));
            }
            Effect::Connect(p) => {
                let l = UpstreamConnection::to(Target {
                    addr: p.addr,
                    worker_id: p.worker_id.clone(),
                    incarnation: p.incarnation,
                });
                let want = ConnectionRequirements {
                    must_be_new: std::mem::take(&mut self.fresh),
                    is_non_idempotent: self.life.route().is_none_or(|w| !w.matched.idempotent),
                    max_connections: h.connection_limits.max_worker_connections(),
                };
                self.at = Some(p);
                self.doing =
                    PendingIo::Work(Box::pin(async move { IoOutcome::Opened(l.open(&h.upstreams, want).await) }));
            }
            Effect::SendRequest { last_event_id: after, window, deadline: until, urgency } => {
                let tenant = self.life.route().map_or("", |w| &w.tenant.name).to_owned();
                let req = self.at.as_ref().and_then(|p| {
                    if p.zone != h.settings.zone {
                        h.call_state.counters.cross_zone_bytes.add(self.bytes.len() as u64);
                    }
                    let left = (until != Micros::MAX).then(|| until.saturating_sub(clock::now()) / MS);
                    let t = headers::Attempt { to: p, tenant: &tenant, after, window, left, urgency };
                    headers::request(h.adapter, &self.ask, &t, self.bytes.clone())
                });
                self.doing = match (req, self.line.take()) {
                    (Some(r), Some(l)) => PendingIo::Work(Box::pin(async move { IoOutcome::Sent(l.send(r).await) })),
                    _ => PendingIo::Work(Box::pin(std::future::ready(IoOutcome::Sent(Err(SendError::NotSent))))),
                };
            }
            Effect::CloseConnection => {
                self.line = None;
                self.doing = PendingIo::Nothing;
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

    fn done(&mut self, outcome: IoOutcome) -> Event {
        self.doing = PendingIo::Nothing;
        match outcome {
            IoOutcome::Read(result, held) => {
                self.held = Some(held);
                if let Ok(bytes) = &result {
                    self.bytes = bytes.clone();
                }
                Event::RequestBody(result)
            }
            IoOutcome::Opened(Ok(connection)) => {
                self.line = Some(connection);
                Event::Connected
            }
            IoOutcome::Opened(Err(ConnectError::LimitReached)) => Event::AttemptFailed(FailurePoint::Declined),
            IoOutcome::Opened(Err(ConnectError::Io(_))) | IoOutcome::Sent(Err(SendError::NotSent)) => {
                Event::AttemptFailed(FailurePoint::Connect)
            }
            IoOutcome::Sent(Err(SendError::StaleConnection)) => {
                self.fresh = true;
                Event::NotSent
            }
            IoOutcome::Sent(Err(SendError::MaybeSent)) => Event::AttemptFailed(FailurePoint::Sent),
            IoOutcome::Sent(Ok((response, connection))) => {
                let reply = headers::reply(&self.h.adapter.headers, &response, &self.ask);
                let (parts, body) = response.into_parts();
                self.head = Some(parts);
                self.doing = PendingIo::Flow(BodyStream::new(body), connection);
                Event::ResponseHead(reply)
            }
        }
    }
}

async fn outside(d: &mut PendingIo) -> Result<Event, IoOutcome> {
    match d {
        PendingIo::Nothing => std::future::pending().await,
        PendingIo::Work(f) => Err(f.await),
        PendingIo::Flow(b, _) => loop {
            match b.next().await {
                None => return Ok(Event::ResponseEnd),
                Some(Err(_)) => return Ok(Event::ResponseAborted),
                Some(Ok(f)) => {
                    if let Ok(b) = f.into_data() {
                        return Ok(Event::ResponseChunk(b));
                    }
                }
            }
        },
    }
}

impl Drop for CallTask {
    fn drop(&mut self) {
        self.step(Event::ClientDisconnected);
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
