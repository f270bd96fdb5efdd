//! The discrete-event simulation of a case: fronts, workers and the network between them.

use super::case::Case;
use super::choice::Choice;
use super::events::{Event, EventQueue, Load};
use super::front::{Front, KnownCalls, POOL, worker_id, worker_index, zone_name};
use super::record::CallRecord;
use super::report::{PrefillTotals, Report, Results};
use super::traffic::{Call, draw_calls};
use super::worker::{Sequence, StepOutput, Worker};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use sumacvale_core::base::{MS, Micros, Rng};
use sumacvale_core::placement::{CallOutcome, EngineModels, PlacementTable, WorkerLoads};
use sumacvale_core::protocol::WorkerReport;

/// The maximum number of attempts of a call.
const MAX_ATTEMPTS: u32 = 2;
/// One in this many workers is slower, and one in this many crashes.
const WORKER_GROUPS: usize = 3;
/// The factor on the step time of a slower worker.
const SLOWDOWN: f64 = 1.3;
/// The one-way network delay within a zone, in milliseconds.
const SAME_ZONE_MS: f64 = 0.2;
/// The upper bound of the jitter of a network delay, in microseconds.
const MAX_JITTER: Micros = 200;
/// The time until all fronts have detected a crash, in microseconds.
const CRASH_DETECTION_DELAY: Micros = 1_500 * MS;

/// The front, the worker and the ticket of a call's current attempt.
struct Attempt {
    front: usize,
    worker: usize,
    ticket: u64,
}

/// The wall-clock time that choices took.
#[derive(Default)]
struct ChoiceTime {
    total: Duration,
    count: u64,
}

impl ChoiceTime {
    fn record(&mut self, elapsed: Duration) {
        self.total += elapsed;
        self.count += 1;
    }

    fn mean_ns(&self) -> u64 {
        u64::try_from(self.total.as_nanos()).unwrap_or(u64::MAX) / self.count.max(1)
    }
}

/// The state of a run.
struct Emulation {
    case: Case,
    calls: Vec<Call>,
    /// The outcome of each call, by its index in `calls`.
    records: Vec<CallRecord>,
    workers: Vec<Worker>,
    fronts: Vec<Front>,
    /// The workers that all fronts know; a crashed worker stays in the table until its crash is detected.
    table: PlacementTable,
    rng: Rng,
    events: EventQueue,
    choice_time: ChoiceTime,
}

/// Runs a case until no event is pending.
#[must_use]
pub fn run(case: &Case) -> Report {
    let mut emulation = Emulation::new(case);
    emulation.schedule_initial_events();
    while let Some((now, event)) = emulation.events.next() {
        emulation.handle(event, now);
    }
    emulation.report()
}

fn to_micros(milliseconds: f64) -> Micros {
    (milliseconds * 1e3) as Micros
}

impl Emulation {
    fn new(case: &Case) -> Self {
        let deployment = case.deployment;
        let new_worker = |worker: usize| {
            let slower = worker / deployment.zones % WORKER_GROUPS == WORKER_GROUPS - 1;
            Worker::new(deployment.engine, if slower { SLOWDOWN } else { 1.0 }, worker % deployment.zones)
        };
        let new_front = |front: usize| Front {
            zone: front % deployment.zones,
            models: EngineModels::new(case.seed * 1000 + front as u64),
            loads: WorkerLoads::default(),
            calls: vec![KnownCalls::default(); deployment.workers],
        };
        let calls = draw_calls(case);
        let mut emulation = Emulation {
            records: vec![CallRecord::default(); calls.len()],
            calls,
            workers: (0..deployment.workers).map(new_worker).collect(),
            fronts: (0..deployment.fronts).map(new_front).collect(),
            table: PlacementTable::default(),
            rng: Rng::new(case.seed ^ 0x4d),
            events: EventQueue::default(),
            choice_time: ChoiceTime::default(),
            case: case.clone(),
        };
        emulation.table = emulation.current_table();
        emulation
    }

    fn schedule_initial_events(&mut self) {
        for (call, sent) in self.calls.iter().enumerate() {
            self.events.schedule(sent.sent_at, Event::Arrived { call });
        }
        if self.case.crash_workers {
            let third = self.case.end() / 3;
            self.events.schedule(third, Event::WorkersCrashed);
            self.events.schedule(2 * third, Event::WorkersRestarted);
        }
    }

    /// Returns a table of all workers that are up.
    fn current_table(&self) -> PlacementTable {
        let up_workers = self.workers.iter().enumerate().filter(|(_, worker)| !worker.is_crashed());
        let reports: Vec<_> = up_workers.map(|(index, worker)| self.worker_report(index, worker)).collect();
        PlacementTable::new(reports.iter())
    }

    fn worker_report(&self, index: usize, worker: &Worker) -> WorkerReport {
        WorkerReport {
            worker_id: worker_id(index),
            pool: POOL.into(),
            addr: format!("10.0.0.1:{}", 1_000 + index),
            zone: zone_name(worker.zone()),
            incarnation: 1,
            seq: self.events.scheduled_count(),
            slots: self.case.deployment.engine.slots as u32,
            busy: 0,
            draining: false,
            warm_up_left: 0,
            removed: false,
            age: 0,
        }
    }

    fn handle(&mut self, event: Event, now: Micros) {
        match event {
            Event::Arrived { call } => self.start_attempt(call, now),
            Event::Forwarded { call, worker } => self.receive(call, worker, now),
            Event::StepCompleted { worker } => self.complete_step(worker, now),
            Event::FirstToken { call, load } => self.record_first_token(call, load, now),
            Event::Completed { call } => self.end_attempt(call, CallOutcome::Done, now),
            Event::DeadlinePassed { call } => {
                if !self.records[call].is_completed {
                    self.end_attempt(call, CallOutcome::Failed, now);
                }
            }
            Event::Declined { call } => {
                self.end_attempt(call, CallOutcome::Declined, now);
                self.retry(call, now);
            }
            Event::ConnectionLost { call } => self.handle_lost_connection(call, now),
            Event::WorkersCrashed => self.crash_workers(now),
            Event::CrashDetected => self.table = self.current_table(),
            Event::WorkersRestarted => self.restart_workers(),
        }
    }

    /// Chooses a worker for a call and forwards the call to it, or rejects the call.
    fn start_attempt(&mut self, call: usize, now: Micros) {
        let begin = Instant::now();
        let Some(endpoint) = self.choose(call, now) else {
            self.records[call].is_rejected = true;
            return;
        };
        let endpoint = &self.table.endpoints[endpoint];
        let (sent, record) = (&self.calls[call], &mut self.records[call]);
        let front = &mut self.fronts[sent.front];
        let worker = worker_index(&endpoint.worker_id);
        front.calls[worker].own += 1;
        record.ticket = front.models.record_start(POOL, endpoint, &sent.request, &self.case.weights, now);
        self.choice_time.record(begin.elapsed());
        record.worker = worker;
        record.attempts += 1;
        record.has_crossed_zones |= front.zone != self.workers[worker].zone();
        let deadline = sent.deadline();
        let delay = self.draw_delay(call, worker);
        self.events.schedule(now + delay, Event::Forwarded { call, worker });
        self.events.schedule(deadline.max(now), Event::DeadlinePassed { call });
    }

    fn choose(&self, call: usize, now: Micros) -> Option<usize> {
        let sent = &self.calls[call];
        let choice = Choice {
            case: &self.case,
            table: &self.table,
            front: &self.fronts[sent.front],
            workers: &self.workers,
            request: &sent.request,
            excluded: &self.records[call].excluded,
            now,
        };
        choice.choose()
    }

    /// Draws the one-way network delay between a call's front and a worker, in microseconds.
    fn draw_delay(&mut self, call: usize, worker: usize) -> Micros {
        let same_zone = self.fronts[self.calls[call].front].zone == self.workers[worker].zone();
        let delay_ms = if same_zone { SAME_ZONE_MS } else { self.case.deployment.cross_zone_ms };
        to_micros(delay_ms) + self.rng.next_below(MAX_JITTER)
    }

    /// Queues a call at the worker that received it, or declines it if the worker is full.
    fn receive(&mut self, call: usize, worker: usize, now: Micros) {
        if self.workers[worker].is_crashed() || self.workers[worker].is_full() {
            let delay = self.draw_delay(call, worker);
            let is_crashed = self.workers[worker].is_crashed();
            let event = if is_crashed { Event::ConnectionLost { call } } else { Event::Declined { call } };
            self.events.schedule(now + delay, event);
            return;
        }
        let sent = &self.calls[call];
        let chain = sent.request.chain().to_vec();
        let sequence = Sequence::new(call, sent.request.urgency, sent.deadline(), chain, sent.output_tokens);
        self.workers[worker].enqueue(sequence);
        self.begin_step(worker, now);
    }

    fn begin_step(&mut self, worker: usize, now: Micros) {
        if let Some(duration) = self.workers[worker].begin_step(now) {
            self.events.schedule(now + duration, Event::StepCompleted { worker });
        }
    }

    fn complete_step(&mut self, worker: usize, now: Micros) {
        if self.workers[worker].is_crashed() {
            return;
        }
        for output in self.workers[worker].complete_step() {
            match output {
                StepOutput::Event { call, is_first } => self.send_event(call, worker, is_first, now),
                StepOutput::End { call } => self.send_end(call, worker, now),
            }
        }
        self.begin_step(worker, now);
    }

    fn send_event(&mut self, call: usize, worker: usize, is_first: bool, now: Micros) {
        let delay = self.draw_delay(call, worker) + self.response_delay();
        let record = &mut self.records[call];
        record.record_event(now);
        if is_first && record.first_event.is_none() {
            record.first_event = Some(now + delay);
            let load = self.workers[worker].load();
            self.events.schedule(now + delay, Event::FirstToken { call, load });
        }
    }

    fn send_end(&mut self, call: usize, worker: usize, now: Micros) {
        let delay = self.draw_delay(call, worker) + self.response_delay();
        self.records[call].is_completed = true;
        self.events.schedule(now + delay, Event::Completed { call });
    }

    fn response_delay(&self) -> Micros {
        to_micros(self.case.deployment.engine.response_ms)
    }

    fn attempt(&self, call: usize) -> Attempt {
        let record = &self.records[call];
        Attempt { front: self.calls[call].front, worker: record.worker, ticket: record.ticket }
    }

    fn record_first_token(&mut self, call: usize, load: Load, now: Micros) {
        let Attempt { front, worker, ticket } = self.attempt(call);
        let front = &mut self.fronts[front];
        let calls = &mut front.calls[worker];
        calls.others = load.total().saturating_sub(calls.own);
        front.models.record_first_token(POOL, &worker_id(worker), ticket, now);
        front.models.record_load(POOL, &worker_id(worker), load.running, load.waiting, now);
    }

    /// Records the end of the current attempt, unless it was recorded before.
    fn end_attempt(&mut self, call: usize, outcome: CallOutcome, now: Micros) {
        if !self.records[call].end_attempt() {
            return;
        }
        let Attempt { front, worker, ticket } = self.attempt(call);
        let front = &mut self.fronts[front];
        front.calls[worker].own = front.calls[worker].own.saturating_sub(1);
        front.models.record_end(POOL, &worker_id(worker), ticket, outcome, now);
    }

    /// Starts another attempt at another worker, unless the call has had all its attempts.
    fn retry(&mut self, call: usize, now: Micros) {
        let record = &mut self.records[call];
        if record.attempts < MAX_ATTEMPTS {
            record.excluded.push(worker_id(record.worker));
            self.start_attempt(call, now);
        }
    }

    fn handle_lost_connection(&mut self, call: usize, now: Micros) {
        let Attempt { front, worker, .. } = self.attempt(call);
        self.end_attempt(call, CallOutcome::Failed, now);
        let id = worker_id(worker);
        if let Some(endpoint) = self.table.endpoints.iter().find(|endpoint| endpoint.worker_id == id) {
            self.fronts[front].loads.eject(&id, endpoint.incarnation, endpoint.seq);
        }
        if self.records[call].first_event.is_none() {
            self.retry(call, now);
        }
    }

    fn crash_workers(&mut self, now: Micros) {
        for worker in 0..self.workers.len() {
            if !(worker / self.case.deployment.zones).is_multiple_of(WORKER_GROUPS) {
                continue;
            }
            for call in self.workers[worker].crash() {
                let delay = self.draw_delay(call, worker);
                self.events.schedule(now + delay, Event::ConnectionLost { call });
            }
        }
        self.events.schedule(now + CRASH_DETECTION_DELAY, Event::CrashDetected);
    }

    fn restart_workers(&mut self) {
        for worker in self.workers.iter_mut().filter(|worker| worker.is_crashed()) {
            *worker = worker.restarted();
        }
        self.table = self.current_table();
    }

    fn report(&self) -> Report {
        Report::new(&Results {
            case: &self.case,
            calls: &self.calls,
            records: &self.records,
            prefill: self.prefill_totals(),
            preempted: self.workers.iter().map(|worker| worker.counts().preempted).sum(),
            choice_ns: self.choice_time.mean_ns(),
        })
    }

    fn prefill_totals(&self) -> PrefillTotals {
        let counts = || self.workers.iter().map(Worker::counts);
        let shared_tokens = counts().map(|counts| counts.shared_tokens).sum();
        // Each segment has to be computed at least once by some worker.
        let segments: BTreeMap<u64, u32> =
            counts().flat_map(|counts| counts.shared_segments.iter().map(|(key, tokens)| (*key, *tokens))).collect();
        let needed_tokens = segments.values().map(|tokens| u64::from(*tokens)).sum::<u64>();
        PrefillTotals { shared_tokens, repeated_tokens: shared_tokens - needed_tokens }
    }
}
