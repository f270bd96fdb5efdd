//! What workers do: they run requests, respond piece by piece, and report to nodes.

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

/// Every worker whose index divides by this reports to the preferred target first.
const PREFERRED_TARGET_SHARE: usize = 3;
/// How often workers report, in microseconds.
const REPORT_INTERVAL: Micros = 500 * MS;
/// To how many nodes a worker sends each report.
const REPORT_TARGETS: usize = 2;
/// The least time between two steps of a request.
const STEP_LEAST: Micros = 3 * MS;
/// How many times longer a slow worker takes for a piece.
const SLOW_FACTOR: Micros = 10;
/// So many of a hundred pieces come in two parts.
const SPLIT_PIECES: u64 = 20;
/// The length of the first part of a split piece, in bytes.
const FIRST_PART: usize = 9;
/// The length of a body that is aborted, in bytes.
const ABORTED_BODY: usize = 4;
/// The piece that a worker of behaviour `Skip` leaves out.
const SKIPPED_PIECE: u64 = 5;

/// What a worker sends in one step of a request.
enum WorkerStep {
    /// An event, and how long after it the next step comes.
    Continue(Event, Micros),
    /// The last event.
    Finish(Event),
}

impl World {
    /// Draws the one-way latency between a machine and a worker, in microseconds.
    pub(in crate::sim) fn worker_latency(&mut self, machine: usize, worker: usize) -> Micros {
        let same_zone = self.machines[machine].zone == self.workers[worker].zone;
        if same_zone { 100 + self.rng.below(400) } else { 500 + self.rng.below(2_000) }
    }

    /// Sends a worker's side of an attempt back to its node, unless the worker is unreachable.
    fn respond(&mut self, worker: usize, origin: AttemptOrigin, event: Event) {
        if self.workers[worker].behaviour_at(self.now) != WorkerBehaviour::Dark {
            let due = self.now + self.worker_latency(origin.machine, worker);
            self.schedule(due, SimEvent::Attempt(origin, event));
        }
    }

    /// The worker's process ends, with all its connections.
    pub fn crash(&mut self, worker: usize) {
        self.workers[worker].is_running = false;
        for (_, request) in std::mem::take(&mut self.workers[worker].running) {
            let event =
                if request.head_sent { Event::ResponseAborted } else { Event::AttemptFailed(FailurePoint::Sent) };
            self.respond(worker, request.origin, event);
        }
    }

    /// A request reaches the worker.
    pub(in crate::sim) fn receive_request(&mut self, worker: usize, request: WorkerRequest) {
        let state = &self.workers[worker];
        let behaviour = state.behaviour_at(self.now);
        if behaviour == WorkerBehaviour::Dark {
            return;
        }
        if !state.is_running || request.incarnation != state.incarnation {
            return self.respond(worker, request.origin, Event::AttemptFailed(FailurePoint::Sent));
        }
        if behaviour == WorkerBehaviour::Reset && request.origin.attempt % 2 == 1 {
            return self.respond(worker, request.origin, Event::NotSent);
        }
        if behaviour == WorkerBehaviour::Decline || state.running.len() >= SLOTS as usize {
            let head = ResponseHead { status: 503, has_definite_end: true, not_run: true, ..ResponseHead::default() };
            return self.respond(worker, request.origin, Event::ResponseHead(head));
        }
        self.run_request(worker, request, behaviour);
    }

    fn run_request(&mut self, worker: usize, request: WorkerRequest, behaviour: WorkerBehaviour) {
        let origin = request.origin;
        let first_piece = request.last_event_id.map_or(0, |last| last + 1);
        let state = &mut self.workers[worker];
        state.requests_started += 1;
        let number = state.requests_started;
        let running = RunningRequest {
            origin,
            path: request.path,
            behaviour,
            next_piece: first_piece,
            head_sent: false,
            half_sent: false,
        };
        state.running.insert(number, running);
        self.executions.push(ExecutionRecord {
            call: origin.call,
            tenant: request.tenant,
            path: request.path,
            worker,
            started_at: self.now,
            first_piece,
            quota_window: request.quota_window,
            draining_since: state.draining_since,
        });
        match behaviour {
            WorkerBehaviour::Hang => {}
            WorkerBehaviour::Mute => {
                self.workers[worker].running.remove(&number);
                self.respond(worker, origin, Event::AttemptFailed(FailurePoint::Sent));
            }
            _ => {
                let due = self.now + 2 * MS + self.rng.below(10 * MS);
                self.schedule(due, SimEvent::WorkerStep(worker, number));
            }
        }
    }

    /// One more step of a running request: its head, a piece, or its end.
    pub(in crate::sim) fn step_request(&mut self, worker: usize, number: u64) {
        let Some(mut request) = self.workers[worker].running.remove(&number) else { return };
        // What an unreachable worker sent is lost for good, so nothing may come after it.
        if self.workers[worker].behaviour_at(self.now) == WorkerBehaviour::Dark {
            return;
        }
        match self.next_step(&mut request) {
            WorkerStep::Continue(event, pause) => {
                self.respond(worker, request.origin, event);
                self.workers[worker].running.insert(number, request);
                self.schedule(self.now + pause.max(STEP_LEAST), SimEvent::WorkerStep(worker, number));
            }
            WorkerStep::Finish(event) => self.respond(worker, request.origin, event),
        }
    }

    fn next_step(&mut self, request: &mut RunningRequest) -> WorkerStep {
        let (pieces, gap) = shape(request.path);
        let pause = gap * if request.behaviour == WorkerBehaviour::Slow { SLOW_FACTOR } else { 1 };
        if !request.head_sent {
            request.head_sent = true;
            return WorkerStep::Continue(response_head(request, pieces), pause);
        }
        if pieces == 0 && request.next_piece == 0 {
            request.next_piece = 1;
            return WorkerStep::Continue(single_body(request), MS);
        }
        let aborts = pieces == 0 || (request.half_sent && request.next_piece > 2);
        match request.behaviour {
            WorkerBehaviour::Cut if aborts => WorkerStep::Finish(Event::ResponseAborted),
            WorkerBehaviour::Bare if request.next_piece > 1 => WorkerStep::Finish(Event::ResponseEnd),
            _ if request.next_piece < pieces => self.next_part(request, pieces, pause),
            _ => WorkerStep::Finish(Event::ResponseEnd),
        }
    }

    /// The next piece or a part of it: some pieces come in two parts, and an abort comes between them.
    fn next_part(&mut self, request: &mut RunningRequest, pieces: u64, pause: Micros) -> WorkerStep {
        let skips = request.behaviour == WorkerBehaviour::Skip
            && request.path == "/v1/draft"
            && request.next_piece == SKIPPED_PIECE;
        let number = request.next_piece + u64::from(skips);
        let text = piece(request.origin.call, number, pieces);
        if !request.half_sent && (request.behaviour == WorkerBehaviour::Cut || self.rng.chance(SPLIT_PIECES)) {
            request.half_sent = true;
            return WorkerStep::Continue(chunk(&text[..FIRST_PART]), 5 * MS);
        }
        let begin = if std::mem::take(&mut request.half_sent) { FIRST_PART } else { 0 };
        request.next_piece = number + 1;
        WorkerStep::Continue(chunk(&text[begin..]), pause)
    }

    /// The node closed its connection: the worker stops the request that came over it.
    pub(in crate::sim) fn cancel_request(&mut self, worker: usize, origin: AttemptOrigin) {
        self.workers[worker].running.retain(|_, request| request.origin != origin);
    }

    /// The worker's next report.
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

    /// Workers whose time has come report to two nodes of their zone, as the protocol says.
    pub fn report(&mut self) {
        for worker in 0..self.workers.len() {
            let now = self.now;
            let state = &mut self.workers[worker];
            let is_unreachable = state.behaviour_at(now) == WorkerBehaviour::Dark;
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

    /// Machines of the zone whose process runs, from a drawn one on; the preferred target first.
    fn report_targets(&mut self, worker: usize, zone: &str) -> Vec<usize> {
        let mut targets: Vec<usize> = (0..self.machines.len()).filter(|i| self.machines[*i].zone == zone).collect();
        let first = usize::try_from(self.rng.below(targets.len().max(1) as u64)).unwrap_or(0);
        targets.rotate_left(first);
        let is_preferring = worker.is_multiple_of(PREFERRED_TARGET_SHARE);
        if let Some((preferred, _)) =
            self.preferred_report_target.filter(|(_, until)| *until > self.now && is_preferring)
        {
            targets.retain(|machine| *machine != preferred);
            targets.insert(0, preferred);
        }
        targets.into_iter().filter(|i| self.machines[*i].node.is_some()).take(REPORT_TARGETS).collect()
    }
}

fn response_head(request: &RunningRequest, pieces: u64) -> Event {
    Event::ResponseHead(ResponseHead {
        status: 200,
        is_event_stream: pieces > 0,
        has_definite_end: request.behaviour != WorkerBehaviour::Bare,
        ..ResponseHead::default()
    })
}

/// The body of a response that is not a stream.
fn single_body(request: &RunningRequest) -> Event {
    let mut text = body(request.origin.call, request.path, 0);
    if request.behaviour == WorkerBehaviour::Cut {
        text.truncate(ABORTED_BODY);
    }
    Event::ResponseChunk(Bytes::from(text))
}

fn chunk(text: &str) -> Event {
    Event::ResponseChunk(Bytes::from(text.to_owned()))
}
