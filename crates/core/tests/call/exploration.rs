//! All orders of events up to a small depth, on the real machine: a call and a world in which
//! client, worker, network, operator and time may do whatever is possible next. Each path is
//! replayed from its beginning, and the invariants are checked after every step.

use super::fixture::*;
use std::sync::Arc;
use sumacvale_core::config::CompiledConfig;

/// One thing that may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    Wake,
    BodyReceived,
    BodyTimedOut,
    BodyBudgetUsedUp,
    /// The client closes its connection.
    ClientDisconnects,
    Connected,
    /// No connection: the worker is not there, or this node's share of its connections is in use.
    ConnectFails,
    ConnectDeclined,
    /// Opening the connection times out.
    ConnectTimesOut,
    /// While the connection is opened: the key is revoked, the worker is removed, the window ends,
    /// the match is moved to another pool.
    KeyRevokedThenConnected,
    WorkerRemovedThenConnected,
    WindowEndsThenConnected,
    RouteMovedThenConnected,
    /// A kept connection was closed and nothing was written on it.
    NotSent,
    /// Nothing can be written on the new connection.
    SendFails,
    /// The connection ends without a response.
    LostAfterSend,
    HeadTimesOut,
    Head(u16, HeadKind),
    /// The next event of a stream, or all of a plain body.
    NextEvent,
    HalfEvent,
    RepeatedEvent,
    SkippedEvent,
    End,
    ResponseAborts,
    StreamIdles,
    /// The lease holder grants units, or says that the window is spent, or does not answer in time.
    UnitsGranted,
    WindowSpends,
    QuotaUnanswered,
    /// A slot comes free, or none in time.
    SlotFreed,
    SlotWaitTimesOut,
}

/// What a head says beside its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadKind {
    Plain,
    /// The end of its body can't be told from a break.
    Unbounded,
    /// It names another call, or none.
    Foreign,
    /// It did not run the call.
    NotRun,
    /// It names another call, which it did not run.
    ForeignNotRun,
}

use Choice as C;

/// What the call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Awaited {
    Start,
    Body,
    QuotaUnit,
    Slot,
    Connection,
    ResponseHead,
    ResponseBody,
    Nothing,
}

impl Awaited {
    fn choices(self) -> &'static [Choice] {
        match self {
            Awaited::Start => &[C::Wake, C::ClientDisconnects],
            Awaited::Body => &[C::BodyReceived, C::BodyTimedOut, C::BodyBudgetUsedUp, C::ClientDisconnects],
            Awaited::QuotaUnit => &[C::UnitsGranted, C::WindowSpends, C::QuotaUnanswered, C::ClientDisconnects],
            Awaited::Slot => &[C::SlotFreed, C::SlotWaitTimesOut, C::ClientDisconnects],
            Awaited::Connection => &[
                C::Connected,
                C::ConnectFails,
                C::ConnectDeclined,
                C::ConnectTimesOut,
                C::KeyRevokedThenConnected,
                C::WorkerRemovedThenConnected,
                C::WindowEndsThenConnected,
                C::RouteMovedThenConnected,
                C::ClientDisconnects,
            ],
            Awaited::ResponseHead => &[
                C::Head(200, HeadKind::Plain),
                C::Head(200, HeadKind::Unbounded),
                C::Head(200, HeadKind::Foreign),
                C::Head(503, HeadKind::NotRun),
                C::Head(503, HeadKind::ForeignNotRun),
                C::Head(503, HeadKind::Plain),
                C::Head(500, HeadKind::Plain),
                C::Head(504, HeadKind::Plain),
                C::Head(404, HeadKind::Plain),
                C::NotSent,
                C::SendFails,
                C::LostAfterSend,
                C::HeadTimesOut,
                C::ClientDisconnects,
            ],
            Awaited::ResponseBody => &[
                C::NextEvent,
                C::HalfEvent,
                C::RepeatedEvent,
                C::SkippedEvent,
                C::End,
                C::ResponseAborts,
                C::StreamIdles,
                C::ClientDisconnects,
            ],
            Awaited::Nothing => &[],
        }
    }
}

/// A kind of route.
#[derive(Clone, Copy, Debug)]
struct Route {
    path: &'static str,
    idempotent: bool,
    is_stream: bool,
    /// How many workers may be tried.
    max_attempts: usize,
    /// It has a latency target, so a worker's unbacked promise is not forwarded.
    has_latency_target: bool,
    /// There is no quota unit at first, or no slot.
    without_unit: bool,
    without_slot: bool,
}

const PLAIN: Route = Route {
    path: "/once/x",
    idempotent: false,
    is_stream: false,
    max_attempts: 3,
    has_latency_target: true,
    without_unit: false,
    without_slot: false,
};

const ROUTES: [Route; 8] = [
    PLAIN,
    Route { path: "/safe/x", idempotent: true, ..PLAIN },
    Route { path: "/one/x", idempotent: true, max_attempts: 1, ..PLAIN },
    Route { path: "/flow-once/x", is_stream: true, max_attempts: 16, ..PLAIN },
    Route { path: "/flow/x", idempotent: true, is_stream: true, max_attempts: 16, ..PLAIN },
    Route { path: "/safe/x", idempotent: true, without_slot: true, ..PLAIN },
    Route { path: "/chat", max_attempts: 16, has_latency_target: false, without_unit: true, ..PLAIN },
    Route { path: "/draft", is_stream: true, max_attempts: 16, has_latency_target: false, ..PLAIN },
];

/// Retries that the budget pays for at the beginning.
const FUNDED_RETRIES: usize = 2;

/// Statuses that promise that a call has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The call and all that the world knows of it.
struct World {
    route: Route,
    fixture: CallFixture,
    awaited: Awaited,
    /// One entry for each time that the call was written to a worker: whether it may have run there.
    possible_runs: Vec<bool>,
    /// The status of the local response, if there was one.
    local_status: Option<u16>,
    head_forwarded: bool,
    response_ended: bool,
    /// The end of the current response can be told from a break.
    has_definite_end: bool,
    /// The numbers of the events that the client has.
    forwarded_ids: Vec<u64>,
    /// The status of the last head.
    status: u16,
    /// The current response is a stream of events.
    is_event_stream: bool,
    /// The event that this worker sends next, and whether half of one was sent.
    next_id: u64,
    is_half_sent: bool,
}

impl World {
    fn new(route: Route, configs: &Configs) -> World {
        let config = if route.has_latency_target { &configs.latency_target } else { &configs.plain };
        let mut fixture = CallFixture::of(route.path, 3, 4, if route.without_unit { 0 } else { 9 }, config.clone());
        (0..FUNDED_RETRIES).for_each(|_| fixture.fund_retry());
        if route.without_slot {
            fixture.occupy_slots();
        }
        World {
            route,
            fixture,
            awaited: Awaited::Start,
            possible_runs: Vec::new(),
            local_status: None,
            head_forwarded: false,
            response_ended: false,
            has_definite_end: false,
            status: 0,
            is_event_stream: false,
            forwarded_ids: Vec::new(),
            next_id: 0,
            is_half_sent: false,
        }
    }

    /// Advances the time to the call's next deadline.
    fn advance_to_wake(&mut self) -> Event {
        let deadline = self.fixture.machine.next_wake(&self.fixture.view).unwrap_or(0);
        self.fixture.advance(deadline.saturating_sub(self.fixture.now));
        Event::Wake
    }

    fn event(&mut self, choice: Choice, configs: &Configs) -> Option<Event> {
        let is_event_stream = self.is_event_stream;
        Some(match choice {
            C::Wake => Event::Wake,
            C::BodyReceived => Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}"))),
            C::BodyTimedOut => Event::RequestBody(Err(BodyError::TimedOut)),
            C::BodyBudgetUsedUp => Event::RequestBody(Err(BodyError::NoCapacity)),
            C::ClientDisconnects => Event::ClientDisconnected,
            C::Connected => Event::Connected,
            C::ConnectFails => Event::AttemptFailed(FailurePoint::Connect),
            C::ConnectDeclined => Event::AttemptFailed(FailurePoint::Declined),
            C::ConnectTimesOut | C::HeadTimesOut | C::StreamIdles | C::QuotaUnanswered | C::SlotWaitTimesOut => {
                // Calls that may wait for longer than the view is fresh belong to another test.
                self.advance_to_wake()
            }
            C::KeyRevokedThenConnected => {
                let config = configs.key_revoked.clone();
                self.fixture.update_view(|view| (view.version, view.config) = (Some(2), config));
                Event::Connected
            }
            C::RouteMovedThenConnected => {
                let config = configs.route_moved.clone();
                self.fixture.update_view(|view| (view.version, view.config) = (Some(2), config));
                Event::Connected
            }
            C::WorkerRemovedThenConnected => {
                self.fixture.remove_last_worker();
                Event::Connected
            }
            C::WindowEndsThenConnected => {
                self.fixture.advance(1_100 * MS);
                Event::Connected
            }
            C::NotSent => {
                self.possible_runs.pop();
                Event::NotSent
            }
            C::SendFails => {
                self.possible_runs.pop();
                Event::AttemptFailed(FailurePoint::Connect)
            }
            C::LostAfterSend => Event::AttemptFailed(FailurePoint::Sent),
            C::Head(status, kind) => {
                let not_run = matches!(kind, HeadKind::NotRun | HeadKind::ForeignNotRun);
                let is_foreign = matches!(kind, HeadKind::Foreign | HeadKind::ForeignNotRun);
                if not_run && !is_foreign {
                    *self.possible_runs.last_mut()? = false;
                }
                let is_event_stream = self.route.is_stream && status == 200;
                self.is_event_stream = is_event_stream;
                self.status = status;
                self.has_definite_end = kind != HeadKind::Unbounded;
                self.next_id =
                    if self.head_forwarded { self.forwarded_ids.last().map_or(0, |last| last + 1) } else { 0 };
                self.is_half_sent = false;
                Event::ResponseHead(ResponseHead {
                    status,
                    is_event_stream,
                    has_definite_end: self.has_definite_end,
                    not_run,
                    is_foreign,
                    load: None,
                })
            }
            C::NextEvent if !is_event_stream => Event::ResponseChunk(Bytes::from_static(b"ok")),
            C::NextEvent => self.event_chunk(self.next_id),
            C::RepeatedEvent if is_event_stream && self.next_id > 0 => self.event_chunk(self.next_id - 1),
            C::SkippedEvent if is_event_stream => self.event_chunk(self.next_id + 1),
            C::HalfEvent if is_event_stream && !self.is_half_sent => {
                self.is_half_sent = true;
                Event::ResponseChunk(Bytes::from(format!("id: {}\nda", self.next_id)))
            }
            C::RepeatedEvent | C::SkippedEvent | C::HalfEvent => return None,
            C::End => Event::ResponseEnd,
            C::ResponseAborts => Event::ResponseAborted,
            C::UnitsGranted | C::WindowSpends => {
                let (now, slices) = (self.fixture.now, &self.fixture.shared.slices);
                if choice == C::UnitsGranted {
                    slices.add_granted("t", 2, 5, now + SEC);
                } else {
                    slices.mark_spent("t", 1, now + SEC, now);
                }
                self.fixture.shared.serve_quota_queue("t", now).pop()?.event
            }
            C::SlotFreed => {
                let worker_id = self.fixture.view.workers.first()?.worker_id.clone();
                self.fixture.shared.worker_loads.end(&worker_id);
                self.fixture.expire_waiters().pop()?.event
            }
        })
    }

    fn event_chunk(&mut self, id: u64) -> Event {
        let rest =
            if std::mem::take(&mut self.is_half_sent) { "ta: a\n\n".into() } else { format!("id: {id}\ndata: a\n\n") };
        self.next_id = id + 1;
        Event::ResponseChunk(Bytes::from(rest))
    }

    /// One choice happens; `None` if it can't happen now.
    fn step(&mut self, choice: Choice, configs: &Configs) -> Option<Result<(), String>> {
        let event = self.event(choice, configs)?;
        let mut awaited_next = None;
        for effect in self.fixture.effects(event) {
            if let Err(violation) = self.apply_effect(effect, &mut awaited_next) {
                return Some(Err(violation));
            }
        }
        self.awaited = if self.fixture.machine.is_finished() {
            Awaited::Nothing
        } else if self.fixture.machine.is_streaming() {
            Awaited::ResponseBody
        } else {
            match (awaited_next, self.fixture.shared.queue_lengths()) {
                (Some(awaited), _) => awaited,
                (None, (1, _)) => Awaited::Slot,
                (None, (_, 1)) => Awaited::QuotaUnit,
                // The choice had no effect.
                (None, _) => self.awaited,
            }
        };
        Some(self.check_invariants())
    }

    fn apply_effect(&mut self, effect: Effect, awaited_next: &mut Option<Awaited>) -> Result<(), String> {
        match effect {
            Effect::ReadBody { .. } => *awaited_next = Some(Awaited::Body),
            Effect::Connect(endpoint) => {
                self.fixture.last_endpoint = Some(endpoint);
                *awaited_next = Some(Awaited::Connection);
            }
            Effect::SendRequest { last_event_id, .. } => {
                check(self.local_status.is_none(), "sent after a local response")?;
                check(!self.response_ended, "sent after the end of the response")?;
                let may_have_run = self.possible_runs.contains(&true);
                let resumes = last_event_id.is_some() && last_event_id == self.forwarded_ids.last().copied();
                check(!may_have_run || self.route.idempotent || resumes, "it may run twice")?;
                check(
                    !self.head_forwarded || self.forwarded_ids.is_empty() || resumes,
                    "a stream is resumed at another point than its last event",
                )?;
                self.possible_runs.push(true);
                *awaited_next = Some(Awaited::ResponseHead);
            }
            Effect::ForwardHead => {
                check(self.local_status.is_none() && !self.head_forwarded, "two responses")?;
                check(!NOT_RUN_STATUSES.contains(&self.status), "a worker's unbacked promise is forwarded")?;
                self.head_forwarded = true;
            }
            Effect::ForwardChunk(chunk) => {
                check(self.head_forwarded && !self.response_ended, "bytes outside a response")?;
                for id in String::from_utf8_lossy(&chunk).lines().filter_map(|line| line.strip_prefix("id: ")) {
                    self.forwarded_ids.push(id.parse().map_err(|_| "half an event was forwarded".to_owned())?);
                }
            }
            Effect::FinishResponse => {
                check(self.head_forwarded && !self.response_ended, "an end without a head")?;
                check(self.has_definite_end, "a broken response that looks complete")?;
                check(!self.is_half_sent, "a stream that ends within an event and looks complete")?;
                self.response_ended = true;
            }
            Effect::AbortResponse(_) => {
                check(self.head_forwarded && !self.response_ended, "an abort without a head")?;
                self.response_ended = true;
            }
            Effect::Respond(response) => {
                check(self.local_status.is_none() && !self.head_forwarded, "two responses")?;
                let may_have_run = self.possible_runs.contains(&true);
                check(
                    !NOT_RUN_STATUSES.contains(&response.status) || !may_have_run,
                    "the status promises that it did not run, and it may have",
                )?;
                check(!(200..300).contains(&response.status), "a local response with a successful status")?;
                check(!may_have_run || response.execution.name() != "no", "reported as not run, and it may have")?;
                self.local_status = Some(response.status);
            }
            Effect::CloseConnection | Effect::RequestUnits { .. } | Effect::WakeCall(_) => {}
        }
        Ok(())
    }

    /// The invariants after every step.
    fn check_invariants(&self) -> Result<(), String> {
        let in_order = self.forwarded_ids.windows(2).all(|pair| pair[1] == pair[0] + 1);
        check(!self.route.is_stream || !self.is_resumable() || in_order, "events are missing or repeated")?;
        check(self.possible_runs.len() <= self.route.max_attempts.max(1), "more workers than its route allows")?;
        check(self.possible_runs.len() <= FUNDED_RETRIES + 1, "a retry beyond the budget")?;
        if self.fixture.machine.is_finished() {
            let occupied = if self.route.without_slot { 12 } else { 0 };
            let Holdings { in_flight, waiting, .. } = self.fixture.holdings();
            check(in_flight <= occupied && waiting == (0, 0), "it holds a slot or waits in a queue after its end")?;
        }
        Ok(())
    }

    fn is_resumable(&self) -> bool {
        matches!(self.route.path, "/flow/x" | "/draft")
    }
}

/// Names the invariant that is broken unless `holds`.
fn check(holds: bool, violation: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(violation.to_owned()) }
}

/// The configurations, compiled once.
struct Configs {
    plain: Arc<CompiledConfig>,
    latency_target: Arc<CompiledConfig>,
    key_revoked: Arc<CompiledConfig>,
    route_moved: Arc<CompiledConfig>,
}

/// How many events a path has; the first three are the head, the body and the connection.
const DEPTH: usize = 8;

/// Replays a path; `None` if its last step can't happen, else which invariant is broken.
fn replay(route: Route, path: &[Choice], configs: &Configs) -> Option<(World, Result<(), String>)> {
    let mut world = World::new(route, configs);
    for (index, choice) in path.iter().enumerate() {
        let outcome = world.step(*choice, configs)?;
        if outcome.is_err() || index + 1 == path.len() {
            return Some((world, outcome));
        }
    }
    Some((world, Ok(())))
}

#[test]
fn every_order_of_events_keeps_the_invariants() {
    let configs = Configs {
        plain: config(true),
        latency_target: latency_target_config("\"pool\":\"p\"", 1),
        key_revoked: config(false),
        route_moved: latency_target_config("\"pool\":\"q\"", 2),
    };
    let (mut paths, mut finished) = (0u64, 0u64);
    for route in ROUTES {
        let mut pending_paths = vec![Vec::new()];
        while let Some(path) = pending_paths.pop() {
            let Some((world, outcome)) = replay(route, &path, &configs) else { continue };
            paths += 1;
            if let Err(violation) = outcome {
                panic!("{violation}: {} after {path:?}", route.path);
            }
            finished += u64::from(world.fixture.machine.is_finished());
            if path.len() < DEPTH {
                pending_paths.extend(world.awaited.choices().iter().map(|choice| [&path[..], &[*choice]].concat()));
            }
        }
    }
    println!("{paths} paths, {finished} to the end of the call");
    assert!(paths > 10_000 && finished > 5_000, "{paths} paths, {finished} to the end: the world does too little");
}
