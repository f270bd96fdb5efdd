//! Drives the calls of simulated processes: steps their state machines and executes the effects.

use crate::sim::calls::call_registry::{ActiveCall, AttemptConnection};
use crate::sim::calls::outcome::{CallOutcome, CallRequest, ClientObservation};
use crate::sim::event::SimEvent;
use crate::sim::operators::documents::pool_of;
use crate::sim::workers::worker::{AttemptOrigin, WorkerBehaviour, WorkerRequest};
use crate::sim::world::World;
use bytes::Bytes;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use sumacvale_core::base::{MS, Micros};
use sumacvale_core::call::{
    CallMachine, Effect, Event, RequestHead, ResponseEvent, SharedCallState, StepContext, Wakeup,
};
use sumacvale_core::node::{Event as NodeEvent, View};
use sumacvale_core::retry::FailurePoint;

/// The longest delay of a wakeup, in microseconds; other events may come between it and its call.
const MAX_WAKEUP_DELAY: Micros = 200;
/// The longest time until a request body arrives.
const MAX_BODY_DELAY: Micros = 2 * MS;

/// What remains to be done after the effects of one step.
#[derive(Default)]
struct StepResult {
    /// How the call ended for its client; `None` while the call goes on.
    observation: Option<ClientObservation>,
    /// Tenants whose quota units are requested, and the number of waiting calls of each.
    quota_requests: Vec<(String, u64)>,
    /// Whether a worker that was at work was left.
    has_left_worker: bool,
}

/// Returns the event of the suspended response that an event of its connection means.
fn suspended_event(event: Event) -> Option<Event> {
    let event = match event {
        Event::ResponseChunk(chunk) => ResponseEvent::Chunk(chunk),
        Event::ResponseEnd => ResponseEvent::End,
        Event::ResponseAborted => ResponseEvent::Aborted,
        _ => return None,
    };
    Some(Event::Suspended(event))
}

impl World {
    /// Starts a client's call to a front and returns the number of the call.
    pub fn call(&mut self, machine: usize, request: CallRequest) -> u64 {
        self.calls_started += 1;
        let call = self.calls_started;
        self.retry_record.request_sent(pool_of(request.path), self.now);
        let head = RequestHead {
            method: "POST".into(),
            path: request.path.into(),
            api_key: Some(format!("key-{}", request.tenant)),
            ..RequestHead::default()
        };
        let incarnation = self.machines[machine].incarnation;
        let clock = self.machines[machine].clock(self.now);
        let state = CallMachine::new(call, head, self.machines[machine].calls.view.clone(), clock);
        if let Some(delay) = request.disconnects_after {
            self.schedule(self.now + delay, SimEvent::ClientDisconnect(machine, incarnation, call));
        }
        let active = ActiveCall {
            machine: state,
            request,
            started_at: self.now,
            first_byte_at: None,
            response_body: Vec::new(),
            last_forwarded_at: self.now,
            attempts: 0,
            connection: None,
            suspended: None,
            timer_at: 0,
        };
        self.machines[machine].calls.active.insert(call, Box::new(active));
        self.schedule(self.now, SimEvent::CallBegin(machine, incarnation, call));
        call
    }

    /// Applies a new view that a machine's node published, and wakes the calls that wait for one.
    pub(in crate::sim) fn publish(&mut self, machine: usize, view: Arc<View>) {
        let registry = &mut self.machines[machine].calls;
        let workers_changed = !Arc::ptr_eq(&registry.view.workers, &view.workers);
        let version_changed = registry.view.version != view.version;
        registry.shared.retry_budget.set_node_count(view.nodes.len());
        registry.view = view;
        if workers_changed {
            for pool in registry.view.config.pools.keys() {
                registry.shared.caches.routes.delete(pool);
            }
            self.expire_waiters(machine);
        }
        if version_changed {
            let active = &self.machines[machine].calls.active;
            let waiting: Vec<_> =
                active.iter().filter(|(_, call)| call.machine.wants_new_view()).map(|(number, _)| *number).collect();
            for call in waiting {
                self.step_call(machine, call, Event::Wake);
            }
        }
    }

    /// Calls a function with the context that call state machines of a machine step in.
    fn with_context<R>(&mut self, machine: usize, callback: impl FnOnce(&mut StepContext) -> R) -> R {
        let now = self.machines[machine].clock(self.now);
        let registry = &mut self.machines[machine].calls;
        let clock = || now;
        callback(&mut StepContext {
            shared: &registry.shared,
            thread_caches: &mut registry.thread_caches,
            view: &registry.view,
            now,
            clock: &clock,
        })
    }

    /// Wakes calls whose waiting time has expired, and requests quota units for those that still wait.
    pub(in crate::sim) fn expire_waiters(&mut self, machine: usize) {
        let (wakeups, quota_requests) = self.with_context(machine, SharedCallState::expire_waiters);
        self.schedule_wakeups(machine, wakeups);
        for (tenant, waiting) in quota_requests {
            self.step(machine, NodeEvent::QuotaNeeded { tenant, waiting });
        }
    }

    /// Wakes the calls that wait for quota units of a tenant, after units were granted.
    pub(in crate::sim) fn serve_quota_queue(&mut self, machine: usize, tenant: &str) {
        let wakeups = self.with_context(machine, |context| context.shared.serve_quota_queue(tenant, context.now));
        self.schedule_wakeups(machine, wakeups);
    }

    /// Schedules wakeups with a drawn delay each.
    fn schedule_wakeups(&mut self, machine: usize, wakeups: Vec<Wakeup>) {
        let incarnation = self.machines[machine].incarnation;
        for wakeup in wakeups {
            // The delay lets other events come between a wakeup and its call, as between threads.
            let due = self.now + self.rng.next_below(MAX_WAKEUP_DELAY);
            self.schedule(due, SimEvent::Wakeup(machine, incarnation, wakeup));
        }
    }

    /// Delivers a wakeup to its call; if the call has ended, reclaims the slot or unit that the wakeup carries.
    pub(in crate::sim) fn wake(&mut self, machine: usize, wakeup: Wakeup) {
        if self.machines[machine].calls.active.contains_key(&wakeup.call_id) {
            self.step_call(machine, wakeup.call_id, wakeup.event);
        } else {
            let wakeups = self.with_context(machine, |context| SharedCallState::reclaim(wakeup, context));
            self.schedule_wakeups(machine, wakeups);
        }
    }

    /// Runs the platform's readiness check on every node, as happens each second.
    pub fn check_readiness(&mut self) {
        for machine in &mut self.machines {
            let is_running = machine.node.is_some() && machine.frozen_until <= self.now;
            machine.is_ready = is_running && machine.calls.view.is_ready(machine.clock(self.now));
        }
    }

    /// Delivers an event of a worker to its call, unless the call has given up that attempt.
    pub(in crate::sim) fn handle_attempt_event(&mut self, origin: AttemptOrigin, event: Event) {
        let machine = &self.machines[origin.machine];
        let Some(call) = machine.calls.active.get(&origin.call) else { return };
        let is_of = |connection: &Option<AttemptConnection>| {
            connection.is_some_and(|connection| connection.attempt == origin.attempt)
        };
        let event = if is_of(&call.connection) {
            Some(event)
        } else if is_of(&call.suspended) {
            suspended_event(event)
        } else {
            None
        };
        if let Some(event) = event.filter(|_| machine.incarnation == origin.incarnation) {
            self.step_call(origin.machine, origin.call, event);
        }
    }

    /// Steps a call with one event and executes the effects.
    pub(in crate::sim) fn step_call(&mut self, machine: usize, number: u64, event: Event) {
        let Some(mut call) = self.machines[machine].calls.active.remove(&number) else { return };
        let client_left = matches!(event, Event::ClientDisconnected);
        let effects = self.with_context(machine, |context| call.machine.step(event, context));
        let mut result =
            StepResult { observation: client_left.then_some(ClientObservation::ClientLeft), ..StepResult::default() };
        for effect in effects {
            self.execute_call_effect(machine, number, &mut call, effect, &mut result);
        }
        match result.observation {
            Some(observation) => {
                self.close_connection(machine, number, &mut call);
                self.close_suspended(machine, number, &mut call);
                let is_aborted = observation == ClientObservation::Aborted;
                let silence = self.now - call.last_forwarded_at;
                let left_worker_after = (is_aborted && result.has_left_worker).then_some(silence);
                self.record_outcome(machine, number, *call, observation, left_worker_after);
            }
            None => {
                self.set_timer(machine, number, &mut call);
                self.machines[machine].calls.active.insert(number, call);
            }
        }
        for (tenant, waiting) in result.quota_requests {
            self.step(machine, NodeEvent::QuotaNeeded { tenant, waiting });
        }
    }

    fn execute_call_effect(
        &mut self,
        machine: usize,
        number: u64,
        call: &mut ActiveCall,
        effect: Effect,
        result: &mut StepResult,
    ) {
        match effect {
            Effect::ReadBody { .. } => self.send_body(machine, number, call),
            Effect::RequestUnits { tenant, waiting } => result.quota_requests.push((tenant, waiting)),
            Effect::Connect(placement) => self.connect(machine, number, call, placement.addr),
            Effect::SendRequest { last_event_id, window, .. } => {
                self.send_request(machine, number, call, last_event_id, window);
            }
            Effect::CloseConnection => result.has_left_worker |= self.close_connection(machine, number, call),
            Effect::SuspendResponse => call.suspended = call.connection.take(),
            Effect::RestoreResponse => call.connection = call.suspended.take(),
            Effect::CloseSuspended => result.has_left_worker |= self.close_suspended(machine, number, call),
            Effect::ForwardHead => {
                call.first_byte_at = Some(self.now);
                call.last_forwarded_at = self.now;
                self.last_accepted_call = Some((machine, self.now));
            }
            Effect::ForwardChunk(chunk) => {
                call.response_body.extend_from_slice(&chunk);
                call.last_forwarded_at = self.now;
            }
            Effect::FinishResponse => result.observation = Some(ClientObservation::Complete),
            Effect::AbortResponse(_) => result.observation = Some(ClientObservation::Aborted),
            Effect::Respond(response) => {
                result.observation = Some(ClientObservation::Rejected {
                    status: response.status,
                    code: response.code,
                    execution: response.execution,
                    has_retry_after: response.retry_after.is_some(),
                });
            }
            Effect::WakeCall(wakeup) => self.schedule_wakeups(machine, vec![wakeup]),
        }
    }

    /// Schedules the arrival of the request body.
    fn send_body(&mut self, machine: usize, number: u64, call: &ActiveCall) {
        let body = format!("{{\"prompt\":\"prefix {}\"}}", call.request.prefix);
        let due = self.now + self.rng.next_below(MAX_BODY_DELAY);
        let incarnation = self.machines[machine].incarnation;
        self.schedule(due, SimEvent::RequestBody(machine, incarnation, number, Bytes::from(body)));
    }

    /// Sets the call's timer to its next deadline, unless the timer is already set to it.
    fn set_timer(&mut self, machine: usize, number: u64, call: &mut ActiveCall) {
        let state = &self.machines[machine];
        let Some(deadline) = call.machine.next_wake(&state.calls.view) else { return };
        let due = state.true_time(deadline).max(self.now + MS);
        if due != call.timer_at {
            call.timer_at = due;
            let incarnation = state.incarnation;
            self.schedule(due, SimEvent::CallTimer(machine, incarnation, number));
        }
    }

    /// Records how a call ended for its client.
    fn record_outcome(
        &mut self,
        machine: usize,
        number: u64,
        call: ActiveCall,
        observation: ClientObservation,
        left_worker_after: Option<Micros>,
    ) {
        self.call_outcomes.push(CallOutcome {
            call: number,
            request: call.request,
            machine,
            started_at: call.started_at,
            first_byte_at: call.first_byte_at,
            ended_at: self.now,
            body: call.response_body,
            was_attempted: call.attempts > 0,
            observation,
            left_worker_after,
        });
    }

    /// The origin of an attempt of the call.
    fn attempt_origin(&self, machine: usize, number: u64, attempt: u64) -> AttemptOrigin {
        let incarnation = self.machines[machine].incarnation;
        AttemptOrigin { machine, incarnation, call: number, attempt }
    }

    /// Connects to the worker whose index is one less than the last octet of the address.
    fn connect(&mut self, machine: usize, number: u64, call: &mut ActiveCall, addr: SocketAddr) {
        let worker = match addr.ip() {
            IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
            IpAddr::V6(_) => return,
        };
        call.attempts += 1;
        let state = &self.workers[worker];
        call.connection = Some(AttemptConnection { attempt: call.attempts, worker, incarnation: state.incarnation });
        if state.behaviour_at(self.now) == WorkerBehaviour::Unreachable {
            return;
        }
        let event = if state.is_running { Event::Connected } else { Event::AttemptFailed(FailurePoint::Connect) };
        let origin = self.attempt_origin(machine, number, call.attempts);
        let due = self.now + 2 * self.worker_latency(machine, worker);
        self.schedule(due, SimEvent::Attempt(origin, event));
    }

    /// Sends the request of the current attempt to the connected worker.
    fn send_request(
        &mut self,
        machine: usize,
        number: u64,
        call: &ActiveCall,
        last_event_id: Option<u64>,
        quota_window: u64,
    ) {
        let Some(AttemptConnection { attempt, worker, incarnation }) = call.connection else { return };
        let request = WorkerRequest {
            origin: self.attempt_origin(machine, number, attempt),
            tenant: call.request.tenant.clone(),
            path: call.request.path,
            last_event_id,
            quota_window,
            incarnation,
        };
        let due = self.now + self.worker_latency(machine, worker);
        self.schedule(due, SimEvent::RequestArrival(worker, request));
    }

    /// Closes the connection of the current attempt, if any; the worker stops its request. Returns whether the worker
    /// was at work on it.
    fn close_connection(&mut self, machine: usize, number: u64, call: &mut ActiveCall) -> bool {
        let connection = call.connection.take();
        self.close(machine, number, connection)
    }

    /// Closes the connection of the suspended response, if any; the worker stops its request. Returns whether the
    /// worker was at work on it.
    fn close_suspended(&mut self, machine: usize, number: u64, call: &mut ActiveCall) -> bool {
        let connection = call.suspended.take();
        self.close(machine, number, connection)
    }

    fn close(&mut self, machine: usize, number: u64, connection: Option<AttemptConnection>) -> bool {
        connection.is_some_and(|AttemptConnection { attempt, worker, .. }| {
            self.cancel_request(worker, self.attempt_origin(machine, number, attempt))
        })
    }

    /// Ends all calls of a process that ended: clients and workers see their connections close.
    pub(in crate::sim) fn drop_calls(&mut self, machine: usize) {
        let counters = &self.machines[machine].calls.shared.counters;
        self.attempts.0 += counters.attempts_first.get();
        self.attempts.1 += counters.retries.get();
        self.streams_resumed += counters.streams_resumed.get();
        self.slots_reassigned += counters.slots_reassigned.get();
        self.quota_units_expired += counters.units_expired.get();
        for (number, mut call) in std::mem::take(&mut self.machines[machine].calls.active) {
            self.close_connection(machine, number, &mut call);
            self.close_suspended(machine, number, &mut call);
            self.record_outcome(machine, number, *call, ClientObservation::NodeLost, None);
        }
    }
}
