//! Departures of workers: each reports that it drains until a node acknowledges the report, then stops. A report of
//! before arrives late, at several machines.

use super::{Control, ControlAction, draw_core};
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::WorkerReport;

/// A report that is not acknowledged in this time is sent to the next node, in microseconds.
const RETRY_INTERVAL: Micros = SEC;
/// A worker stops without an acknowledgement this long after it began to leave, in microseconds.
const DEPARTURE_DEADLINE: Micros = 5 * SEC;
/// The time a worker serves on after the acknowledgement, in microseconds.
const DRAIN_TIME: Micros = 2_500 * MS;
/// The time between the stop of a worker and its restart, in microseconds.
const RESTART_DELAY: Micros = SEC;
/// When the last report in service arrives, after the acknowledgement of the departure and while the worker serves on,
/// in microseconds.
const LATE_ARRIVALS: [Micros; 3] = [300 * MS, 1_200 * MS, 2_100 * MS];
/// The request ids of reports from leaving workers lie above this.
pub(super) const FIRST_REQUEST_ID: u64 = 1 << 41;

/// A worker that drains and waits for the acknowledgement of its report.
#[derive(Clone, Debug)]
pub(super) struct WorkerDeparture {
    /// The index of the worker in the world.
    worker: usize,
    /// The request id of the report that was sent last.
    request_id: u64,
    /// When that report was sent.
    requested_at: Micros,
    /// When the worker began to leave.
    started_at: Micros,
    /// The worker's last report in service, which is held up on its way.
    last_in_service: WorkerReport,
}

/// A report in service that arrives after the departure of its worker was acknowledged.
#[derive(Clone, Debug)]
pub(super) struct LateReport {
    /// When it arrives.
    due: Micros,
    /// The machine that it is sent to.
    machine: usize,
    /// The report.
    report: WorkerReport,
}

impl Control {
    /// Lets a worker leave: it reports to the machine `first` of its zone, or to a drawn core.
    pub(super) fn start_departure(&mut self, world: &mut World, first: Option<usize>) {
        let zone = first.map(|machine| world.machines[machine].zone.clone());
        let busy: Vec<usize> = self.departures.iter().map(|departure| departure.worker).collect();
        let may_leave = |index: &usize| {
            let worker = &world.workers[*index];
            worker.is_running
                && !worker.is_draining
                && !busy.contains(index)
                && zone.as_ref().is_none_or(|zone| worker.zone == *zone)
        };
        let Some(worker) = (0..world.workers.len()).find(may_leave) else { return };
        world.log(format!("worker {} drains and reports it", world.workers[worker].id));
        let last_in_service = world.next_report(worker);
        world.workers[worker].is_draining = true;
        let started_at = world.now;
        self.departures.push(WorkerDeparture { worker, request_id: 0, requested_at: 0, started_at, last_in_service });
        self.send_departure_report(world, self.departures.len() - 1, first);
    }

    /// Sends the report of a leaving worker to a machine, or to a drawn core.
    fn send_departure_report(&mut self, world: &mut World, index: usize, to: Option<usize>) {
        self.last_request_id += 1;
        let departure = &mut self.departures[index];
        departure.request_id = self.last_request_id;
        departure.requested_at = world.now;
        let report = world.next_report(departure.worker);
        if let Some(target) = to.or_else(|| draw_core(world)).filter(|target| world.is_running(*target)) {
            world.step(target, Event::ReportWithAck { request_id: self.last_request_id, report });
        }
    }

    /// Reads the acknowledgements that arrived; workers that still wait report to another node or stop.
    pub(super) fn update_departures(&mut self, world: &mut World) {
        let now = world.now;
        self.deliver_late_reports(world);
        let (own, others): (Vec<_>, Vec<_>) = std::mem::take(&mut world.report_acknowledgements)
            .into_iter()
            .partition(|acknowledgement| acknowledgement.0 > FIRST_REQUEST_ID);
        world.report_acknowledgements = others;
        for (request_id, is_accepted) in own {
            let Some(index) = self.departures.iter().position(|departure| departure.request_id == request_id) else {
                continue;
            };
            if !is_accepted {
                self.send_departure_report(world, index, None);
                continue;
            }
            let departure = self.departures.remove(index);
            self.acknowledged_departures += 1;
            self.hold_late_reports(world, departure.last_in_service);
            let id = world.workers[departure.worker].id.clone();
            world.workers[departure.worker].draining_since = Some(now);
            world.safety.removed_workers.insert(id, now);
            self.schedule_worker_restart(departure.worker, now + DRAIN_TIME);
        }
        for index in (0..self.departures.len()).rev() {
            let departure = &self.departures[index];
            if now >= departure.started_at + DEPARTURE_DEADLINE {
                let departure = self.departures.remove(index);
                self.schedule_worker_restart(departure.worker, now);
            } else if now >= departure.requested_at + RETRY_INTERVAL {
                self.send_departure_report(world, index, None);
            }
        }
    }

    /// Schedules the late arrivals of a report, at one machine after the other.
    fn hold_late_reports(&mut self, world: &World, report: WorkerReport) {
        let first = usize::try_from(self.acknowledged_departures).unwrap_or(0);
        for (index, delay) in LATE_ARRIVALS.into_iter().enumerate() {
            let machine = (first + index) % world.machines.len();
            self.late_reports.push(LateReport { due: world.now + delay, machine, report: report.clone() });
        }
    }

    /// Delivers the late reports that are due, to machines that run.
    fn deliver_late_reports(&mut self, world: &mut World) {
        let now = world.now;
        let due: Vec<_> = self.late_reports.extract_if(.., |late| late.due <= now).collect();
        for LateReport { machine, report, .. } in due {
            if world.is_running(machine) {
                self.last_request_id += 1;
                world.step(machine, Event::ReportWithAck { request_id: self.last_request_id, report });
            }
        }
    }

    /// Schedules the stop of a worker and its restart.
    fn schedule_worker_restart(&mut self, worker: usize, stop_at: Micros) {
        self.schedule(stop_at, ControlAction::StopWorker(worker));
        self.schedule(stop_at + RESTART_DELAY, ControlAction::StartWorker(worker));
    }
}
