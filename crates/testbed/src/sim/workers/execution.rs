//! The actions of workers: they run requests, send responses event by event, and report to nodes.

use crate::sim::event::SimEvent;
use crate::sim::workers::responses::{ResponseShape, body, event_text, shape};
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

/// Workers whose index is a multiple of this report to the preferred target first.
const PREFERRED_TARGET_DIVISOR: usize = 3;
/// The time between two reports of a worker.
const REPORT_INTERVAL: Micros = 500 * MS;
/// The number of nodes that a worker sends each report to.
const REPORT_TARGETS: usize = 2;
/// The minimum time between two steps of a request.
const MIN_STEP_INTERVAL: Micros = 3 * MS;
/// The factor by which a slow worker takes longer for an event.
const SLOW_FACTOR: Micros = 10;
/// The share of events that are sent in two parts, in percent.
const SPLIT_PERCENT: u64 = 20;
/// The length of the first part of a split event, in bytes.
const FIRST_PART_BYTES: usize = 9;
/// The length of a single body that is aborted, in bytes.
const ABORTED_BODY_BYTES: usize = 4;
/// The event before which a worker of behaviour `Pause` sends nothing for a while.
const PAUSED_EVENT: u64 = 2;
/// How long such a worker sends nothing.
const PAUSE: Micros = 1_600 * MS;
/// The event that a worker of behaviour `Skip` omits.
const SKIPPED_EVENT: u64 = 5;

/// The result of one step of a request.
enum WorkerStep {
    /// An event, and the time until the next step.
    Continue(Event, Micros),
    /// The last event.
    Finish(Event),
}

impl World {
    /// Draws the one-way latency between a machine and a worker, in microseconds.
    pub(in crate::sim) fn worker_latency(&mut self, machine: usize, worker: usize) -> Micros {
        let same_zone = self.machines[machine].zone == self.workers[worker].zone;
        if same_zone { 100 + self.rng.next_below(400) } else { 500 + self.rng.next_below(2_000) }
    }

    /// Sends an event of an attempt back to its node, unless the worker is unreachable.
    fn respond(&mut self, worker: usize, origin: AttemptOrigin, event: Event) {
        if self.workers[worker].behaviour_at(self.now) != WorkerBehaviour::Unreachable {
            let due = self.now + self.worker_latency(origin.machine, worker);
            self.schedule(due, SimEvent::Attempt(origin, event));
        }
    }

    /// Ends the worker's process with all its connections.
    pub fn crash(&mut self, worker: usize) {
        self.workers[worker].is_running = false;
        for (_, request) in std::mem::take(&mut self.workers[worker].running) {
            let event =
                if request.is_head_sent { Event::ResponseAborted } else { Event::AttemptFailed(FailurePoint::Sent) };
            self.respond(worker, request.origin, event);
        }
    }

    /// Handles a request that reaches the worker.
    pub(in crate::sim) fn receive_request(&mut self, worker: usize, request: WorkerRequest) {
        let state = &self.workers[worker];
        let behaviour = state.behaviour_at(self.now);
        if behaviour == WorkerBehaviour::Unreachable {
            return;
        }
        if !state.is_running || request.incarnation != state.incarnation {
            return self.respond(worker, request.origin, Event::AttemptFailed(FailurePoint::Sent));
        }
        if behaviour == WorkerBehaviour::Reset && request.origin.attempt % 2 == 1 {
            return self.respond(worker, request.origin, Event::NotSent);
        }
        let pool = state.pool;
        self.retry_record.request_arrived(pool, request.origin.call, self.now);
        let state = &self.workers[worker];
        if behaviour == WorkerBehaviour::Reject || state.running.len() >= SLOTS as usize {
            let head = ResponseHead { status: 503, has_definite_end: true, not_run: true, ..ResponseHead::default() };
            return self.respond(worker, request.origin, Event::ResponseHead(head));
        }
        self.run_request(worker, request, behaviour);
    }

    /// Starts and records the execution of a request.
    fn run_request(&mut self, worker: usize, request: WorkerRequest, behaviour: WorkerBehaviour) {
        let origin = request.origin;
        let first_event = request.last_event_id.map_or(0, |last| last + 1);
        let state = &mut self.workers[worker];
        state.requests_started += 1;
        let number = state.requests_started;
        let running = RunningRequest {
            origin,
            path: request.path,
            behaviour,
            next_event: first_event,
            is_head_sent: false,
            is_first_part_sent: false,
        };
        state.running.insert(number, running);
        self.executions.push(ExecutionRecord {
            call: origin.call,
            tenant: request.tenant,
            path: request.path,
            worker,
            started_at: self.now,
            first_event,
            quota_window: request.quota_window,
            draining_since: state.draining_since,
        });
        match behaviour {
            WorkerBehaviour::Hang => {}
            WorkerBehaviour::NoResponse => {
                self.workers[worker].running.remove(&number);
                self.respond(worker, origin, Event::AttemptFailed(FailurePoint::Sent));
            }
            _ => {
                let due = self.now + 2 * MS + self.rng.next_below(10 * MS);
                self.schedule(due, SimEvent::WorkerStep(worker, number));
            }
        }
    }

    /// Takes the next step of a running request: sends the response head, an event, or the end.
    pub(in crate::sim) fn step_request(&mut self, worker: usize, number: u64) {
        let Some(mut request) = self.workers[worker].running.remove(&number) else { return };
        // Events of an unreachable worker are lost for good, so no later event may follow them.
        if self.workers[worker].behaviour_at(self.now) == WorkerBehaviour::Unreachable {
            return;
        }
        match self.next_step(&mut request) {
            WorkerStep::Continue(event, pause) => {
                self.respond(worker, request.origin, event);
                self.workers[worker].running.insert(number, request);
                self.schedule(self.now + pause.max(MIN_STEP_INTERVAL), SimEvent::WorkerStep(worker, number));
            }
            WorkerStep::Finish(event) => self.respond(worker, request.origin, event),
        }
    }

    /// Determines the next step of a running request by the worker's behaviour.
    fn next_step(&mut self, request: &mut RunningRequest) -> WorkerStep {
        let ResponseShape { events, event_interval } = shape(request.path);
        let pause = event_interval * if request.behaviour == WorkerBehaviour::Slow { SLOW_FACTOR } else { 1 };
        if !request.is_head_sent {
            request.is_head_sent = true;
            return WorkerStep::Continue(response_head(request, events), pause);
        }
        if events == 0 && request.next_event == 0 {
            request.next_event = 1;
            return WorkerStep::Continue(single_body(request), MS);
        }
        let aborts = events == 0 || (request.is_first_part_sent && request.next_event > 2);
        match request.behaviour {
            WorkerBehaviour::Truncate if aborts => WorkerStep::Finish(Event::ResponseAborted),
            WorkerBehaviour::Unframed if request.next_event > 1 => WorkerStep::Finish(Event::ResponseEnd),
            _ if request.next_event < events => self.next_part(request, events, pause),
            _ => WorkerStep::Finish(Event::ResponseEnd),
        }
    }

    /// Sends the next event or a part of it: some events are sent in two parts, and an abort comes between the parts.
    fn next_part(&mut self, request: &mut RunningRequest, events: u64, pause: Micros) -> WorkerStep {
        let skips = request.behaviour == WorkerBehaviour::Skip
            && request.path == "/v1/draft"
            && request.next_event == SKIPPED_EVENT;
        let number = request.next_event + u64::from(skips);
        let text = event_text(request.origin.call, number, events);
        if !request.is_first_part_sent
            && (request.behaviour == WorkerBehaviour::Truncate || self.rng.chance_percent(SPLIT_PERCENT))
        {
            request.is_first_part_sent = true;
            return WorkerStep::Continue(chunk(&text[..FIRST_PART_BYTES]), 5 * MS);
        }
        let begin = if std::mem::take(&mut request.is_first_part_sent) { FIRST_PART_BYTES } else { 0 };
        request.next_event = number + 1;
        let is_paused = request.behaviour == WorkerBehaviour::Pause && request.next_event == PAUSED_EVENT;
        WorkerStep::Continue(chunk(&text[begin..]), if is_paused { PAUSE } else { pause })
    }

    /// Stops the request of a connection that the node closed. Returns whether the worker was at work on it and would
    /// have sent the complete response.
    pub(in crate::sim) fn cancel_request(&mut self, worker: usize, origin: AttemptOrigin) -> bool {
        let now = self.now;
        let worker = &mut self.workers[worker];
        let is_reachable = worker.behaviour_at(now) != WorkerBehaviour::Unreachable;
        let cancelled = worker.running.extract_if(.., |_, request| request.origin == origin);
        cancelled.filter(|(_, request)| request.behaviour.is_sound()).count() > 0 && is_reachable
    }

    /// Makes the worker's next report.
    pub(in crate::sim) fn next_report(&mut self, worker: usize) -> WorkerReport {
        let state = &mut self.workers[worker];
        state.seq += 1;
        WorkerReport {
            worker_id: state.id.clone(),
            incarnation: state.incarnation,
            seq: state.seq,
            addr: format!("10.9.0.{}:80", worker + 1),
            pool: state.pool.into(),
            zone: state.zone.clone(),
            slots: SLOTS,
            busy: u32::try_from(state.running.len()).unwrap_or(SLOTS),
            draining: state.is_draining,
            warm_up_left: 0,
            removed: false,
            age: 0,
        }
    }

    /// Sends the reports that are due, each to [`REPORT_TARGETS`] nodes of the worker's zone, as the protocol demands.
    pub fn report(&mut self) {
        for worker in 0..self.workers.len() {
            let now = self.now;
            let state = &mut self.workers[worker];
            let is_unreachable = state.behaviour_at(now) == WorkerBehaviour::Unreachable;
            if !state.is_running || state.next_report_at > now || is_unreachable {
                continue;
            }
            state.next_report_at = now + REPORT_INTERVAL;
            let report = self.next_report(worker);
            for machine in self.report_targets(worker, &report.zone) {
                if self.is_running(machine) {
                    self.step(machine, NodeEvent::Report(report.clone()));
                }
            }
        }
    }

    /// Selects machines of the zone whose process runs, starting at a drawn one; the preferred target comes first.
    fn report_targets(&mut self, worker: usize, zone: &str) -> Vec<usize> {
        let mut targets: Vec<usize> = (0..self.machines.len()).filter(|i| self.machines[*i].zone == zone).collect();
        let first = usize::try_from(self.rng.next_below(targets.len().max(1) as u64)).unwrap_or(0);
        targets.rotate_left(first);
        let is_preferring = worker.is_multiple_of(PREFERRED_TARGET_DIVISOR);
        if let Some((preferred, _)) =
            self.preferred_report_target.filter(|(_, until)| *until > self.now && is_preferring)
        {
            targets.retain(|machine| *machine != preferred);
            targets.insert(0, preferred);
        }
        targets.into_iter().filter(|i| self.machines[*i].node.is_some()).take(REPORT_TARGETS).collect()
    }
}

/// The head of a response, which announces a stream if it has events.
fn response_head(request: &RunningRequest, events: u64) -> Event {
    Event::ResponseHead(ResponseHead {
        status: 200,
        is_event_stream: events > 0,
        has_definite_end: request.behaviour != WorkerBehaviour::Unframed,
        ..ResponseHead::default()
    })
}

/// The body of a response that is not a stream.
fn single_body(request: &RunningRequest) -> Event {
    let mut text = body(request.origin.call, request.path, 0);
    if request.behaviour == WorkerBehaviour::Truncate {
        text.truncate(ABORTED_BODY_BYTES);
    }
    Event::ResponseChunk(Bytes::from(text))
}

/// A part of a response body.
fn chunk(text: &str) -> Event {
    Event::ResponseChunk(Bytes::from(text.to_owned()))
}
