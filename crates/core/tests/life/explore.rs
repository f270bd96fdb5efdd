//! All orders of events up to a small depth, on the real machine: a call and a world that does
//! whatever a client, a worker, a network, the operator and time may do next. Each path is played
//! anew from its beginning. What must hold is checked after every step.

use super::stage::*;
use std::sync::Arc;
use sumacvale_core::config::CompiledConfig;

/// One thing that may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    Turn,
    BodyOk,
    BodySlow,
    BodyNoRoom,
    /// The client goes away.
    Left,
    Opened,
    /// No connection; the worker is not there, or this node's part is in use.
    NoConnection,
    NoRoom,
    /// The connection takes longer than it may.
    ConnectLate,
    /// While the connection was made: the key is withdrawn, the worker is lost, the window ends,
    /// the match goes to another pool.
    WithdrawnThenOpened,
    WorkerLostThenOpened,
    WindowEndsThenOpened,
    MovedThenOpened,
    /// A kept connection had ended and nothing was written on it.
    Unsent,
    /// The new connection takes nothing.
    Refused,
    /// The connection ends without an answer.
    LostAfterSend,
    HeadLate,
    Head(u16, Word),
    /// The next event of a stream, or all of a plain body.
    Piece,
    HalfPiece,
    SamePiece,
    SkippedPiece,
    End,
    Broke,
    Silent,
    /// The holder's word: units, or that the window is spent; or no word in time.
    Units,
    Spent,
    NoWord,
    /// A place comes free, or none in time.
    PlaceFree,
    NoPlace,
}

/// What a head says beside its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    Plain,
    /// Its end can't be told from a break.
    Unbounded,
    /// It names another call, or none.
    Other,
    /// It did not run the call.
    NotRun,
    /// It names another call, which it did not run.
    OtherNotRun,
}

use Choice as C;

/// What the call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expects {
    Start,
    Body,
    Unit,
    Place,
    Connection,
    Answer,
    Flow,
    Nothing,
}

impl Expects {
    fn choices(self) -> &'static [Choice] {
        match self {
            Expects::Start => &[C::Turn, C::Left],
            Expects::Body => &[C::BodyOk, C::BodySlow, C::BodyNoRoom, C::Left],
            Expects::Unit => &[C::Units, C::Spent, C::NoWord, C::Left],
            Expects::Place => &[C::PlaceFree, C::NoPlace, C::Left],
            Expects::Connection => &[
                C::Opened,
                C::NoConnection,
                C::NoRoom,
                C::ConnectLate,
                C::WithdrawnThenOpened,
                C::WorkerLostThenOpened,
                C::WindowEndsThenOpened,
                C::MovedThenOpened,
                C::Left,
            ],
            Expects::Answer => &[
                C::Head(200, Word::Plain),
                C::Head(200, Word::Unbounded),
                C::Head(200, Word::Other),
                C::Head(503, Word::NotRun),
                C::Head(503, Word::OtherNotRun),
                C::Head(503, Word::Plain),
                C::Head(500, Word::Plain),
                C::Head(504, Word::Plain),
                C::Head(404, Word::Plain),
                C::Unsent,
                C::Refused,
                C::LostAfterSend,
                C::HeadLate,
                C::Left,
            ],
            Expects::Flow => {
                &[C::Piece, C::HalfPiece, C::SamePiece, C::SkippedPiece, C::End, C::Broke, C::Silent, C::Left]
            }
            Expects::Nothing => &[],
        }
    }
}

/// A kind of route.
#[derive(Clone, Copy, Debug)]
struct Route {
    path: &'static str,
    repeatable: bool,
    stream: bool,
    /// How many workers may get it.
    tries: usize,
    /// It has an aim, so promises of workers that are none are not passed on.
    aim: bool,
    /// No unit is there at first, or no place.
    no_unit: bool,
    no_place: bool,
}

const PLAIN: Route =
    Route { path: "/once/x", repeatable: false, stream: false, tries: 3, aim: true, no_unit: false, no_place: false };

const ROUTES: [Route; 8] = [
    PLAIN,
    Route { path: "/safe/x", repeatable: true, ..PLAIN },
    Route { path: "/one/x", repeatable: true, tries: 1, ..PLAIN },
    Route { path: "/flow-once/x", stream: true, tries: 16, ..PLAIN },
    Route { path: "/flow/x", repeatable: true, stream: true, tries: 16, ..PLAIN },
    Route { path: "/safe/x", repeatable: true, no_place: true, ..PLAIN },
    Route { path: "/chat", tries: 16, aim: false, no_unit: true, ..PLAIN },
    Route { path: "/draft", stream: true, tries: 16, aim: false, ..PLAIN },
];

/// Second tries that are paid for at the beginning.
const PAID: usize = 2;

/// Statuses that promise that a call has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The call and all that the world knows of it.
struct World {
    route: Route,
    stage: Stage,
    expects: Expects,
    /// One for each time that it was written to a worker: whether it may have run there.
    arrivals: Vec<bool>,
    /// It was given back unwritten, and the next send is the same try.
    answered: Option<u16>,
    begun: bool,
    ended: bool,
    /// The head that flows now has an end that can be told from a break.
    bounded: bool,
    /// Numbers of the events that the client has.
    passed: Vec<u64>,
    /// The status of the last head.
    status: u16,
    /// The head that flows now is one of a stream.
    events: bool,
    /// The event that this worker gives next, and whether half of one was given.
    next: u64,
    half: bool,
}

impl World {
    fn new(route: Route, plans: &Plans) -> World {
        let plan = if route.aim { &plans.aimed } else { &plans.plain };
        let stage = Stage::of(route.path, 3, 4, if route.no_unit { 0 } else { 9 }, plan.clone());
        for _ in 0..5 * PAID {
            stage.floor.retry_budget.deposit();
        }
        if route.no_place {
            for r in stage.view.workers.iter() {
                (0..r.slots).for_each(|_| stage.floor.worker_loads.begin(&r.worker_id));
            }
        }
        World {
            route,
            stage,
            expects: Expects::Start,
            arrivals: Vec::new(),
            answered: None,
            begun: false,
            ended: false,
            bounded: false,
            status: 0,
            events: false,
            passed: Vec::new(),
            next: 0,
            half: false,
        }
    }

    fn pass(&mut self, t: Micros) {
        self.stage.now += t;
        let n = self.stage.now;
        self.stage.look(|v| v.confirmed_at = Some(n));
    }

    /// Time goes on to the call's next turn.
    fn due(&mut self) -> Event {
        let due = self.stage.life.next_wake(&self.stage.view).unwrap_or(0);
        self.pass(due.saturating_sub(self.stage.now));
        Event::Wake
    }

    fn event(&mut self, c: Choice, plans: &Plans) -> Option<Event> {
        let stream = self.events;
        Some(match c {
            C::Turn => Event::Wake,
            C::BodyOk => Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}"))),
            C::BodySlow => Event::RequestBody(Err(BodyError::TimedOut)),
            C::BodyNoRoom => Event::RequestBody(Err(BodyError::NoCapacity)),
            C::Left => Event::ClientDisconnected,
            C::Opened => Event::Connected,
            C::NoConnection => Event::AttemptFailed(FailurePoint::Connect),
            C::NoRoom => Event::AttemptFailed(FailurePoint::Declined),
            C::ConnectLate | C::HeadLate | C::Silent | C::NoWord | C::NoPlace => {
                // A call that may wait longer than its key is fresh is a call of another test.
                self.due()
            }
            C::WithdrawnThenOpened => {
                let p = plans.withdrawn.clone();
                self.stage.look(|v| (v.version, v.config) = (Some(2), p));
                Event::Connected
            }
            C::MovedThenOpened => {
                let p = plans.moved.clone();
                self.stage.look(|v| (v.version, v.config) = (Some(2), p));
                Event::Connected
            }
            C::WorkerLostThenOpened => {
                let w = self.stage.at.as_ref().map(|p| p.worker_id.clone()).unwrap_or_default();
                self.stage
                    .look(|v| v.workers = Arc::new(v.workers.iter().filter(|r| r.worker_id != w).cloned().collect()));
                self.stage.floor.caches.routes.delete("p");
                Event::Connected
            }
            C::WindowEndsThenOpened => {
                self.pass(1_100 * MS);
                Event::Connected
            }
            C::Unsent => {
                self.arrivals.pop();
                Event::NotSent
            }
            C::Refused => {
                self.arrivals.pop();
                Event::AttemptFailed(FailurePoint::Connect)
            }
            C::LostAfterSend => Event::AttemptFailed(FailurePoint::Sent),
            C::Head(status, word) => {
                let not = matches!(word, Word::NotRun | Word::OtherNotRun);
                let other = matches!(word, Word::Other | Word::OtherNotRun);
                if not && !other {
                    *self.arrivals.last_mut()? = false;
                }
                let sse = self.route.stream && status == 200;
                self.events = sse;
                self.status = status;
                self.bounded = word != Word::Unbounded;
                self.next = if self.begun { self.passed.last().map_or(0, |n| n + 1) } else { 0 };
                self.half = false;
                Event::ResponseHead(ResponseHead {
                    status,
                    is_event_stream: sse,
                    has_definite_end: self.bounded,
                    not_run: not,
                    is_foreign: other,
                    load: None,
                })
            }
            C::Piece if !stream => Event::ResponseChunk(Bytes::from_static(b"ok")),
            C::Piece => self.piece(self.next),
            C::SamePiece if stream && self.next > 0 => self.piece(self.next - 1),
            C::SkippedPiece if stream => self.piece(self.next + 1),
            C::HalfPiece if stream && !self.half => {
                self.half = true;
                Event::ResponseChunk(Bytes::from(format!("id: {}\nda", self.next)))
            }
            C::SamePiece | C::SkippedPiece | C::HalfPiece => return None,
            C::End => Event::ResponseEnd,
            C::Broke => Event::ResponseAborted,
            C::Units | C::Spent => {
                let (now, slices) = (self.stage.now, &self.stage.floor.slices);
                if c == C::Units {
                    slices.add_granted("t", 2, 5, now + SEC)
                } else {
                    slices.mark_spent("t", 1, now + SEC, now)
                };
                self.stage.floor.serve_quota_queue("t", now).pop()?.event
            }
            C::PlaceFree => {
                let w = self.stage.view.workers.first()?.worker_id.clone();
                self.stage.floor.worker_loads.end(&w);
                self.stage.sweep().pop()?.event
            }
        })
    }

    fn piece(&mut self, n: u64) -> Event {
        let rest = if std::mem::take(&mut self.half) { "ta: a\n\n".into() } else { format!("id: {n}\ndata: a\n\n") };
        self.next = n + 1;
        Event::ResponseChunk(Bytes::from(rest))
    }

    /// One thing happens; none if it can't now.
    fn step(&mut self, c: Choice, plans: &Plans) -> Option<Result<(), String>> {
        let e = self.event(c, plans)?;
        let out = self.stage.effects(e);
        let mut waits = None;
        for e in out {
            if let Err(why) = self.follow(e, &mut waits) {
                return Some(Err(why));
            }
        }
        self.expects = if self.stage.life.is_finished() {
            Expects::Nothing
        } else if self.stage.life.is_streaming() {
            Expects::Flow
        } else {
            match (waits, self.stage.floor.queue_lengths()) {
                (Some(w), _) => w,
                (None, (1, _)) => Expects::Place,
                (None, (_, 1)) => Expects::Unit,
                // Nothing came of it.
                (None, _) => self.expects,
            }
        };
        Some(self.holds())
    }

    fn follow(&mut self, e: Effect, waits: &mut Option<Expects>) -> Result<(), String> {
        let check = |ok: bool, why: &str| if ok { Ok(()) } else { Err(why.to_owned()) };
        match e {
            Effect::ReadBody { .. } => *waits = Some(Expects::Body),
            Effect::Connect(p) => {
                self.stage.at = Some(p);
                *waits = Some(Expects::Connection);
            }
            Effect::SendRequest { last_event_id: after, .. } => {
                check(self.answered.is_none(), "sent after its answer")?;
                check(!self.ended, "sent after its end")?;
                let ran = self.arrivals.contains(&true);
                let resumes = after.is_some() && after == self.passed.last().copied();
                check(!ran || self.route.repeatable || resumes, "it may run twice")?;
                check(!self.begun || self.passed.is_empty() || resumes, "a stream goes on elsewhere in its middle")?;
                self.arrivals.push(true);
                *waits = Some(Expects::Answer);
            }
            Effect::ForwardHead => {
                check(self.answered.is_none() && !self.begun, "two answers")?;
                check(!PROMISES.contains(&self.status), "a worker's promise that it did not back is passed on")?;
                self.begun = true;
            }
            Effect::ForwardChunk(b) => {
                check(self.begun && !self.ended, "bytes outside an answer")?;
                for l in String::from_utf8_lossy(&b).lines().filter_map(|l| l.strip_prefix("id: ")) {
                    self.passed.push(l.parse().map_err(|_| "half an event".to_owned())?);
                }
            }
            Effect::FinishResponse => {
                check(self.begun && !self.ended, "an end without a beginning")?;
                check(self.bounded, "a break that looks whole")?;
                check(!self.half, "a stream that ends within an event and looks whole")?;
                self.ended = true;
            }
            Effect::AbortResponse(_) => {
                check(self.begun && !self.ended, "a break of nothing")?;
                self.ended = true;
            }
            Effect::Respond(a) => {
                check(self.answered.is_none() && !self.begun, "two answers")?;
                let ran = self.arrivals.contains(&true);
                check(!PROMISES.contains(&a.status) || !ran, "refused, and it may have run")?;
                check(!(200..300).contains(&a.status), "a success of our own")?;
                check(!ran || a.execution.name() != "no", "told that it did not run, and it may have")?;
                self.answered = Some(a.status);
            }
            Effect::CloseConnection | Effect::RequestUnits { .. } | Effect::WakeCall(_) => {}
        }
        Ok(())
    }

    /// What holds after every step.
    fn holds(&self) -> Result<(), String> {
        let check = |ok: bool, why: &str| if ok { Ok(()) } else { Err(why.to_owned()) };
        let in_order = self.passed.windows(2).all(|w| w[1] == w[0] + 1);
        check(!self.route.stream || !self.resumable() || in_order, "events are missing or come twice")?;
        check(self.arrivals.len() <= self.route.tries.max(1), "more workers than its route allows")?;
        check(self.arrivals.len() <= PAID + 1, "a second try that nobody paid for")?;
        if self.stage.life.is_finished() {
            let taken = if self.route.no_place { 12 } else { 0 };
            let (own, waiting, _) = self.stage.held();
            check(own <= taken && waiting == (0, 0), "it holds something after its end")?;
        }
        Ok(())
    }

    fn resumable(&self) -> bool {
        matches!(self.route.path, "/flow/x" | "/draft")
    }
}

/// Plans are read once.
struct Plans {
    plain: Arc<CompiledConfig>,
    aimed: Arc<CompiledConfig>,
    withdrawn: Arc<CompiledConfig>,
    moved: Arc<CompiledConfig>,
}

/// How many events a path has; the first three are the head, the body and the connection.
const DEPTH: usize = 8;

/// Plays a path; none if its last step can't happen, else what is wrong with it.
fn play(route: Route, path: &[Choice], plans: &Plans) -> Option<(World, Result<(), String>)> {
    let mut w = World::new(route, plans);
    for (i, c) in path.iter().enumerate() {
        let got = w.step(*c, plans)?;
        if got.is_err() || i + 1 == path.len() {
            return Some((w, got));
        }
    }
    Some((w, Ok(())))
}

#[test]
fn every_order_of_events_keeps_what_is_promised() {
    let plans = Plans {
        plain: plan(true),
        aimed: aims("\"pool\":\"p\"", 1),
        withdrawn: plan(false),
        moved: aims("\"pool\":\"q\"", 2),
    };
    let (mut paths, mut ends) = (0u64, 0u64);
    for route in ROUTES {
        let mut todo = vec![Vec::new()];
        while let Some(path) = todo.pop() {
            let Some((w, got)) = play(route, &path, &plans) else { continue };
            paths += 1;
            if let Err(why) = got {
                panic!("{why}: {} after {path:?}", route.path);
            }
            ends += u64::from(w.stage.life.is_finished());
            if path.len() < DEPTH {
                todo.extend(w.expects.choices().iter().map(|c| [&path[..], &[*c]].concat()));
            }
        }
    }
    println!("{paths} paths, {ends} to the end of the call");
    assert!(paths > 10_000 && ends > 5_000, "{paths} paths, {ends} to the end: the world does too little");
}
