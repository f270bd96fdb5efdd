//! A fixture of one call with the context of its steps, and scripts of actions with their expected effects.

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
use sumacvale_core::quota::TenantQuotas;
pub use sumacvale_core::retry::FailurePoint;

/// The time at which the call is received, in microseconds.
pub const START: Micros = 10 * SEC;

/// Creates the report of worker `number`.
pub fn worker_report(number: u64, slots: u32) -> WorkerReport {
    WorkerReport {
        worker_id: format!("w{number}"),
        incarnation: 1,
        seq: 1,
        addr: format!("10.0.0.{number}:80"),
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

/// Creates a configuration with matches without a latency target. The tenant's key is valid if `has_key`, else
/// revoked.
pub fn config(has_key: bool) -> Arc<CompiledConfig> {
    let keys = if has_key { format!("\"sha256:{}\"", sha256_hex(b"key")) } else { String::new() };
    let matched =
        |name: &str, kind: &str| format!("\"{name}\":{{\"path\":\"/{name}\",\"pool\":\"p\",\"kind\":{kind}}}");
    let matches = [
        matched("chat", "\"chat\""),
        matched("cut", "\"chat\",\"on_revoke\":\"cut\""),
        matched("draft", "\"draft\",\"resume\":true"),
        matched("confirm", "\"lookup\",\"repeat\":true"),
    ];
    let document = format!(
        "{{\"pools\":{{\"p\":{{}}}},\"matches\":{{{}}},\"tenants\":{{\"t\":{{\"keys\":[{keys}]}}}}}}",
        matches.join(",")
    );
    Arc::new(CompiledConfig::compile(if has_key { 1 } else { 2 }, &document))
}

/// Creates a configuration with matches with a latency target. `pools` sets the `pool` or `split` of each match.
pub fn latency_target_config(pools: &str, version: u64) -> Arc<CompiledConfig> {
    let matched =
        |name: &str, more: &str| format!("\"{name}\":{{\"under\":\"/{name}/\",{pools},\"kind\":\"lookup\"{more}}}");
    let matches = [
        matched("open", ",\"open\":true"),
        matched("shut", if version == 1 { ",\"open\":true" } else { "" }),
        matched("safe", ",\"repeat\":true,\"tries\":3"),
        matched("two", ",\"repeat\":true,\"tries\":2"),
        matched("one", ",\"repeat\":true,\"tries\":1"),
        matched("once", ",\"tries\":3"),
        matched("rank", ",\"urgency\":7"),
        matched("flow", ",\"repeat\":true,\"resume\":true,\"gap_ms\":100,\"idle_ms\":9000"),
        matched("slow", ",\"repeat\":true,\"resume\":true,\"gap_ms\":600,\"idle_ms\":9000"),
        matched("flow-once", ",\"gap_ms\":100,\"idle_ms\":9000"),
    ];
    let hash = |key: &str| sha256_hex(key.as_bytes());
    let document = format!(
        "{{\"defaults\":{{\"aim_ms\":400}},\"pools\":{{\"p\":{{}},\"q\":{{}}}},\"matches\":{{{}}},\"tenants\":\
         {{\"t\":{{\"keys\":[\"sha256:{}\"]}},\"u\":{{\"keys\":[\"sha256:{}\"],\"urgency\":2}}}}}}",
        matches.join(","),
        hash("key"),
        hash("urgent"),
    );
    let compiled = CompiledConfig::compile(version, &document);
    assert!(!compiled.matches.is_empty(), "{document}: {:?}", sumacvale_core::config::validate(&document));
    Arc::new(compiled)
}

/// The resources that all calls of the node hold or wait for.
#[derive(Debug, PartialEq, Eq)]
pub struct Holdings {
    /// The number of reserved slots.
    pub in_flight: u64,
    /// The number of calls that wait for a slot, and the number that wait for a quota unit.
    pub waiting: (u64, u64),
    /// The number of units of tenant `t` that no call has acquired.
    pub free_units: u64,
}

impl Holdings {
    pub fn new(in_flight: u64, waiting: (u64, u64), free_units: u64) -> Self {
        Holdings { in_flight, waiting, free_units }
    }
}

/// One call and the state of the node that serves it.
pub struct CallFixture {
    pub shared: SharedCallState,
    pub thread_caches: ThreadCaches,
    pub view: Arc<View>,
    pub now: Micros,
    pub machine: CallMachine,
    /// The worker that the call was last connected to.
    pub last_endpoint: Option<Endpoint>,
}

impl CallFixture {
    /// Creates a call with the tenant's key to a match without a latency target.
    pub fn new(path: &str, workers: u64, slots: u32, units: u64) -> CallFixture {
        CallFixture::with_config(path, workers, slots, units, config(true))
    }

    /// Creates a call with the tenant's key under this configuration.
    pub fn with_config(path: &str, workers: u64, slots: u32, units: u64, config: Arc<CompiledConfig>) -> CallFixture {
        let slices = Arc::new(TenantQuotas::default());
        if units > 0 {
            slices.add_granted("t", 1, units, START + SEC);
        }
        let workers: Vec<_> = (1..=workers).map(|number| worker_report(number, slots)).collect();
        let view = Arc::new(View {
            version: Some(1),
            confirmed_at: Some(START),
            config,
            workers: Arc::new(workers),
            ..View::default()
        });
        let machine = CallMachine::new(1, request_head(path), view.clone(), START);
        CallFixture {
            shared: SharedCallState::new("z", 8, 1 << 20, slices),
            thread_caches: ThreadCaches::default(),
            view,
            now: START,
            machine,
            last_endpoint: None,
        }
    }

    /// Creates a call to a match with a latency target. An empty `key` means no key. The client's deadline is in
    /// `time_left` milliseconds; 0 means no deadline.
    pub fn with_latency_target(path: &str, key: &str, time_left: Micros, workers: u64) -> CallFixture {
        let mut call = CallFixture::new(path, workers, 4, 9);
        call.update_view(|view| view.config = latency_target_config("\"pool\":\"p\"", 1));
        call.shared.slices.add_granted("u", 1, 9, START + SEC);
        let head = RequestHead {
            api_key: (!key.is_empty()).then(|| key.into()),
            time_left: (time_left > 0).then_some(time_left * MS),
            ..request_head(path)
        };
        call.machine = CallMachine::new(1, head, call.view.clone(), START);
        call
    }

    /// Replaces the call by a new call and returns the old one.
    pub fn next_call(&mut self, id: u64, path: &str) -> CallMachine {
        let next = CallMachine::new(id, request_head(path), self.view.clone(), self.now);
        std::mem::replace(&mut self.machine, next)
    }

    pub fn update_view(&mut self, update: impl FnOnce(&mut View)) {
        let mut view = (*self.view).clone();
        update(&mut view);
        self.view = Arc::new(view);
    }

    /// Advances the time and confirms the view at the new time.
    pub fn advance(&mut self, time: Micros) {
        self.now += time;
        let now = self.now;
        self.update_view(|view| view.confirmed_at = Some(now));
    }

    /// Removes the worker that the call was last connected to.
    pub fn remove_last_worker(&mut self) {
        let removed = self.last_endpoint.as_ref().map(|last| last.worker_id.clone()).unwrap_or_default();
        self.update_view(|view| {
            let left = view.workers.iter().filter(|worker| worker.worker_id != removed);
            view.workers = Arc::new(left.cloned().collect());
        });
        self.shared.caches.routes.delete("p");
    }

    /// Reserves all slots of all workers.
    pub fn occupy_slots(&mut self) {
        for worker in self.view.workers.iter() {
            (0..worker.slots).for_each(|_| self.shared.worker_loads.record_start(&worker.worker_id));
        }
    }

    /// Adds the first attempts of other calls that allow one retry.
    pub fn fund_retry(&mut self) {
        (0..10).for_each(|_| self.shared.retry_budget.record_first_attempt("p", self.now));
    }

    fn with_context<T>(&mut self, run: impl FnOnce(&mut CallMachine, &mut StepContext) -> T) -> T {
        let now = self.now;
        let clock = || now;
        let mut context = StepContext {
            shared: &self.shared,
            thread_caches: &mut self.thread_caches,
            view: &self.view,
            now,
            clock: &clock,
        };
        run(&mut self.machine, &mut context)
    }

    /// Steps the call and returns the effects.
    pub fn effects(&mut self, event: Event) -> Effects {
        self.with_context(|machine, context| machine.step(event, context))
    }

    /// Runs the periodic expiry of all queues and returns the wakeups.
    pub fn expire_waiters(&mut self) -> Vec<Wakeup> {
        self.with_context(|_, context| SharedCallState::expire_waiters(context).0)
    }

    /// Steps the call and returns a description of the effects.
    pub fn step(&mut self, event: Event) -> String {
        let effects = self.effects(event);
        let described: Vec<_> = effects.into_iter().map(|effect| self.describe(effect)).collect();
        described.join(", ")
    }

    fn describe(&mut self, effect: Effect) -> String {
        match effect {
            Effect::ReadBody { .. } => "read body".into(),
            Effect::RequestUnits { .. } => "request units".into(),
            Effect::Connect(endpoint) => self.describe_connect(endpoint).into(),
            Effect::SendRequest { last_event_id, window, deadline, urgency } => {
                let after = last_event_id.map_or(String::new(), |id| format!(" after {id}"));
                let until = match deadline {
                    Micros::MAX => String::new(),
                    deadline => format!(" until {}", (deadline - START) / MS),
                };
                let urgency = urgency.map_or(String::new(), |urgency| format!(" urgency {urgency}"));
                format!("send{after} window {window}{until}{urgency}")
            }
            Effect::CloseConnection => "close".into(),
            Effect::SuspendResponse => "suspend".into(),
            Effect::RestoreResponse => "restore".into(),
            Effect::CloseSuspended => "close suspended".into(),
            Effect::ForwardHead => "forward head".into(),
            Effect::ForwardChunk(chunk) => format!("forward {}", chunk.len()),
            Effect::FinishResponse => "finish".into(),
            Effect::AbortResponse(_) => "abort".into(),
            Effect::Respond(response) => {
                format!("{} {} {}", response.status, response.code, response.execution.name())
            }
            Effect::WakeCall(Wakeup { call_id, .. }) => format!("wake {call_id}"),
        }
    }

    /// Describes a connection by whether its worker is the same as before. Which worker is chosen depends on the hash
    /// of the prompt prefix.
    fn describe_connect(&mut self, endpoint: Endpoint) -> &'static str {
        let description = match &self.last_endpoint {
            Some(last) if last.worker_id == endpoint.worker_id => "connect again",
            Some(_) => "connect elsewhere",
            None => "connect",
        };
        self.last_endpoint = Some(endpoint);
        description
    }

    pub fn holdings(&self) -> Holdings {
        let free_units = self.shared.slices.list().iter().find(|slice| slice.0 == "t").map_or(0, |slice| slice.4);
        Holdings::new(self.shared.worker_loads.total_in_flight(), self.shared.queue_lengths(), free_units)
    }
}

/// Creates the request head of a call with the tenant's key.
pub fn request_head(path: &str) -> RequestHead {
    RequestHead { method: "POST".into(), path: path.into(), api_key: Some("key".into()), ..RequestHead::default() }
}

/// A step of a script: an event for the call, or a change of the node's state.
pub enum Action {
    Deliver(Event),
    /// The body arrives.
    DeliverBody,
    /// One retry is added to the retry budget.
    FundRetry,
    RevokeKey,
    /// The view becomes stale.
    ExpireView,
    /// The worker that the call was last connected to is removed.
    RemoveWorker,
    Advance(Micros),
    /// Units of this window are granted.
    GrantUnits(u64),
    /// All slots are reserved.
    OccupySlots,
    /// A new version routes the matches to these pools.
    MoveRoute(&'static str),
    /// The lease holder grants units of this window, or answers that the window is exhausted if the window is 0. The
    /// waiting call receives the event.
    AnswerQuota(u64),
}

pub use Action::{
    Advance, AnswerQuota, Deliver, DeliverBody, ExpireView, FundRetry, GrantUnits, MoveRoute, OccupySlots,
    RemoveWorker, RevokeKey,
};

/// A list of actions with the expected effects of each.
pub type Script = Vec<(Action, &'static str)>;

fn perform(call: &mut CallFixture, action: Action) -> String {
    match action {
        Deliver(event) => return call.step(event),
        DeliverBody => return call.step(Event::RequestBody(Ok(Bytes::from_static(b"{\"prompt\":\"x\"}")))),
        FundRetry => call.fund_retry(),
        RevokeKey => call.update_view(|view| (view.version, view.config) = (Some(2), config(false))),
        ExpireView => call.now += 5 * SEC,
        RemoveWorker => call.remove_last_worker(),
        Advance(time) => call.advance(time),
        GrantUnits(window) => call.shared.slices.add_granted("t", window, 5, call.now + SEC),
        OccupySlots => call.occupy_slots(),
        MoveRoute(pools) => {
            call.update_view(|view| (view.version, view.config) = (Some(2), latency_target_config(pools, 2)));
        }
        AnswerQuota(window) => {
            if window == 0 {
                call.shared.slices.record_window_spent("t", 1, call.now + SEC, call.now);
            } else {
                call.shared.slices.add_granted("t", window, 5, call.now + SEC);
            }
            let wakeups = call.shared.serve_quota_queue("t", call.now);
            return wakeups.into_iter().map(|wakeup| call.step(wakeup.event)).collect();
        }
    }
    String::new()
}

/// Performs the actions of a script and checks the effects of each.
pub fn run(name: &str, call: &mut CallFixture, script: Vec<(Action, &str)>) {
    for (index, (action, expected)) in script.into_iter().enumerate() {
        assert_eq!(perform(call, action), expected, "{name}, step {index}");
    }
}

/// Delivers a successful response head.
pub fn ok_head(is_event_stream: bool, has_definite_end: bool) -> Action {
    Deliver(Event::ResponseHead(ResponseHead {
        status: 200,
        is_event_stream,
        has_definite_end,
        ..ResponseHead::default()
    }))
}

/// Delivers a response head with this status.
pub fn status_head(status: u16) -> Action {
    Deliver(Event::ResponseHead(ResponseHead { status, has_definite_end: true, ..ResponseHead::default() }))
}

/// Delivers a response head that states that the call did not run.
pub fn declined_head(status: u16) -> Action {
    Deliver(Event::ResponseHead(ResponseHead {
        status,
        has_definite_end: true,
        not_run: true,
        ..ResponseHead::default()
    }))
}

pub fn chunk(text: &str) -> Action {
    Deliver(Event::ResponseChunk(Bytes::from(text.to_owned())))
}

/// Returns the script up to the opening of a connection.
pub fn until_connecting() -> Script {
    vec![(Deliver(Event::Wake), "read body"), (DeliverBody, "connect")]
}

/// Returns the script up to the sending of the request, which has this effect.
pub fn until_sent_with(effect: &'static str) -> Script {
    followed_by(until_connecting(), vec![(Deliver(Event::Connected), effect)])
}

pub fn until_sent() -> Script {
    until_sent_with("send window 1")
}

/// Returns the script up to the sending of the request, followed by `more`.
pub fn after_send(more: Script) -> Script {
    followed_by(until_sent(), more)
}

/// Concatenates two scripts.
pub fn followed_by(first: Script, second: Script) -> Script {
    first.into_iter().chain(second).collect()
}

/// Returns the script of a complete response.
pub fn complete_response() -> Script {
    vec![(ok_head(false, true), "forward head"), (chunk("ok"), "forward 2"), (Deliver(Event::ResponseEnd), "finish")]
}

/// A case: name, path, number of workers, slots of each worker, units; the script; the units left at the end.
pub type Case = (&'static str, &'static str, u64, u32, u64, Script, u64);

/// Runs each case and checks that its call has ended and holds no resources.
pub fn check(cases: Vec<Case>) {
    for (name, path, workers, slots, units, script, units_left) in cases {
        let mut call = CallFixture::new(path, workers, slots, units);
        run(name, &mut call, script);
        assert!(call.machine.is_finished(), "{name}: has not ended");
        let holdings = call.holdings();
        assert_eq!((holdings.in_flight, holdings.waiting), (0, (0, 0)), "{name}: slots and queues");
        assert_eq!(holdings.free_units, units_left, "{name}: units left");
        let (first, retries) = (call.shared.counters.attempts_first.get(), call.shared.counters.retries.get());
        assert!(first <= 1 && retries <= 1, "{name}: {first} first attempts and {retries} retries");
    }
}

/// A case: name, path, key, the client's deadline in milliseconds, number of workers; the script; the units left at
/// the end.
pub type LatencyTargetCase = (&'static str, &'static str, &'static str, Micros, u64, Script, u64);

/// Runs each case of a match with a latency target and checks that its call has ended and holds no resources.
pub fn check_with_latency_target(cases: Vec<LatencyTargetCase>) {
    for (name, path, key, time_left, workers, script, units_left) in cases {
        let mut call = CallFixture::with_latency_target(path, key, time_left, workers);
        let occupied = if matches!(script.first(), Some((OccupySlots, _))) { 4 } else { 0 };
        run(name, &mut call, script);
        assert!(call.machine.is_finished(), "{name}: has not ended");
        let holdings = call.holdings();
        assert_eq!((holdings.in_flight, holdings.waiting), (occupied, (0, 0)), "{name}: slots and queues");
        assert_eq!(holdings.free_units, units_left, "{name}: units left");
    }
}
