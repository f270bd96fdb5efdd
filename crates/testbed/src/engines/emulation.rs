//! The run of a case: fronts, workers and the network between them, event by event.

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

/// The most attempts of a call.
const MAX_ATTEMPTS: u32 = 2;
/// One of so many workers is slower, and one of so many is lost.
const WORKER_GROUPS: usize = 3;
/// How much longer the steps of a slower worker take.
const SLOWDOWN: f64 = 1.3;
/// The one-way time within a zone, in milliseconds.
const SAME_ZONE_MS: f64 = 0.2;
/// The most that is added to a one-way time, in microseconds.
const JITTER: Micros = 200;
/// How long until a loss is known to every front, in microseconds.
const LOSS_DETECTION: Micros = 1_500 * MS;

/// The worker and the ticket of a call's present attempt.
struct Attempt {
    front: usize,
    worker: usize,
    ticket: u64,
}

/// How long choices took, by the clock of the machine.
#[derive(Default)]
struct ChoiceTime {
    total: Duration,
    choices: u64,
}

impl ChoiceTime {
    fn record(&mut self, elapsed: Duration) {
        self.total += elapsed;
        self.choices += 1;
    }

    fn mean_ns(&self) -> u64 {
        u64::try_from(self.total.as_nanos()).unwrap_or(u64::MAX) / self.choices.max(1)
    }
}

struct Emulation {
    case: Case,
    calls: Vec<Call>,
    /// What became of each of `calls`.
    records: Vec<CallRecord>,
    workers: Vec<Worker>,
    fronts: Vec<Front>,
    /// The membership that every front has.
    table: PlacementTable,
    rng: Rng,
    events: EventQueue,
    choice_time: ChoiceTime,
}

/// Runs a case to its end.
#[must_use]
pub fn run(case: &Case) -> Report {
    let mut emulation = Emulation::new(case);
    emulation.schedule_case();
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
        emulation.table = emulation.present_table();
        emulation
    }

    fn schedule_case(&mut self) {
        for (call, sent) in self.calls.iter().enumerate() {
            self.events.schedule(sent.sent_at, Event::Arrived { call });
        }
        if self.case.lose_workers {
            let third = self.case.end() / 3;
            self.events.schedule(third, Event::WorkersLost);
            self.events.schedule(2 * third, Event::WorkersReturned);
        }
    }

    /// The membership with every worker that is not lost.
    fn present_table(&self) -> PlacementTable {
        let present = self.workers.iter().enumerate().filter(|(_, worker)| !worker.is_lost());
        let reports: Vec<_> = present.map(|(index, worker)| self.worker_report(index, worker)).collect();
        PlacementTable::new(reports.iter())
    }

    fn worker_report(&self, index: usize, worker: &Worker) -> WorkerReport {
        WorkerReport {
            worker_id: worker_id(index),
            pool: POOL.into(),
            addr: format!("10.0.0.1:{}", 1_000 + index),
            zone: zone_name(worker.zone()),
            incarnation: 1,
            seq: self.events.scheduled(),
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
                if !self.records[call].completed {
                    self.end_attempt(call, CallOutcome::Failed, now);
                }
            }
            Event::Declined { call } => {
                self.end_attempt(call, CallOutcome::Declined, now);
                self.retry(call, now);
            }
            Event::ConnectionLost { call } => self.handle_lost_connection(call, now),
            Event::WorkersLost => self.lose_workers(now),
            Event::LossKnown => self.table = self.present_table(),
            Event::WorkersReturned => self.return_workers(),
        }
    }

    /// Chooses a worker for a call and forwards it, or refuses the call.
    fn start_attempt(&mut self, call: usize, now: Micros) {
        let begin = Instant::now();
        let Some(endpoint) = self.choose(call, now) else {
            self.records[call].refused = true;
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
        record.crossed_zones |= front.zone != self.workers[worker].zone();
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

    /// Draws the one-way time between a call's front and a worker, in microseconds.
    fn draw_delay(&mut self, call: usize, worker: usize) -> Micros {
        let same_zone = self.fronts[self.calls[call].front].zone == self.workers[worker].zone();
        let delay_ms = if same_zone { SAME_ZONE_MS } else { self.case.deployment.cross_zone_ms };
        to_micros(delay_ms) + self.rng.below(JITTER)
    }

    /// A worker receives a call and queues or declines it.
    fn receive(&mut self, call: usize, worker: usize, now: Micros) {
        if self.workers[worker].is_lost() || self.workers[worker].is_full() {
            let delay = self.draw_delay(call, worker);
            let lost = self.workers[worker].is_lost();
            let event = if lost { Event::ConnectionLost { call } } else { Event::Declined { call } };
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
        if self.workers[worker].is_lost() {
            return;
        }
        for output in self.workers[worker].complete_step() {
            match output {
                StepOutput::Event { call, first } => self.send_event(call, worker, first, now),
                StepOutput::End { call } => self.send_end(call, worker, now),
            }
        }
        self.begin_step(worker, now);
    }

    fn send_event(&mut self, call: usize, worker: usize, first: bool, now: Micros) {
        let delay = self.draw_delay(call, worker) + self.response_delay();
        let record = &mut self.records[call];
        record.record_event(now);
        if first && record.first_event.is_none() {
            record.first_event = Some(now + delay);
            let load = self.workers[worker].load();
            self.events.schedule(now + delay, Event::FirstToken { call, load });
        }
    }

    fn send_end(&mut self, call: usize, worker: usize, now: Micros) {
        let delay = self.draw_delay(call, worker) + self.response_delay();
        self.records[call].completed = true;
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

    /// Records the end of the present attempt, once.
    fn end_attempt(&mut self, call: usize, outcome: CallOutcome, now: Micros) {
        if !self.records[call].end_attempt() {
            return;
        }
        let Attempt { front, worker, ticket } = self.attempt(call);
        let front = &mut self.fronts[front];
        front.calls[worker].own = front.calls[worker].own.saturating_sub(1);
        front.models.record_end(POOL, &worker_id(worker), ticket, outcome, now);
    }

    /// Starts another attempt at another worker, if one is left.
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
            self.fronts[front].loads.mark_failed(&id, endpoint.incarnation, endpoint.seq);
        }
        if self.records[call].first_event.is_none() {
            self.retry(call, now);
        }
    }

    fn lose_workers(&mut self, now: Micros) {
        for worker in 0..self.workers.len() {
            if !(worker / self.case.deployment.zones).is_multiple_of(WORKER_GROUPS) {
                continue;
            }
            for call in self.workers[worker].crash() {
                let delay = self.draw_delay(call, worker);
                self.events.schedule(now + delay, Event::ConnectionLost { call });
            }
        }
        self.events.schedule(now + LOSS_DETECTION, Event::LossKnown);
    }

    fn return_workers(&mut self) {
        for worker in self.workers.iter_mut().filter(|worker| worker.is_lost()) {
            *worker = worker.restarted();
        }
        self.table = self.present_table();
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
        // Each segment must be computed once somewhere.
        let segments: BTreeMap<u64, u32> =
            counts().flat_map(|counts| counts.shared_segments.iter().map(|(key, tokens)| (*key, *tokens))).collect();
        let needed_tokens = segments.values().map(|tokens| u64::from(*tokens)).sum::<u64>();
        PrefillTotals { shared_tokens, repeated_tokens: shared_tokens - needed_tokens }
    }
}
