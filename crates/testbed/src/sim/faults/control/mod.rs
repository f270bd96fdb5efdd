//! Fault injector of the control plane: one fault at a time, each as soon after the last one as the fleet must
//! tolerate.
//!
//! Faults are partitions of each kind with orders at their end, losses right after an acknowledgement, an accepted
//! call or an order, full disks, planned restarts, a core that is down through hundreds of changes, and workers that
//! leave at such moments.

mod checks;
mod departures;
mod losses;
mod partitions;
mod plan;
mod triggers;

pub use plan::{ControlFault, ControlProfile};

use crate::sim::operators::orders::{DocumentOperator, PinnedTarget};
use crate::sim::world::World;
use checks::{check_caught_up, check_progress};
use departures::{FIRST_REQUEST_ID, LateReport, WorkerDeparture};
use losses::Loss;
use std::collections::BTreeMap;
use sumacvale_core::base::{Micros, SEC};
use triggers::PendingFault;

/// The closing fault is due this long before the end of fault injection, in microseconds.
const CLOSING_LEAD_TIME: Micros = 3 * SEC;
/// No other fault starts this long before the closing fault is due, in microseconds.
const QUIET_BEFORE_CLOSING: Micros = 2 * SEC;

/// An action that is scheduled for a later moment; machines and workers are given by their index in the world.
#[derive(Clone, Copy, Debug)]
enum ControlAction {
    /// Inflicts a loss on a machine.
    Lose { machine: usize, loss: Loss },
    /// Starts a machine.
    Start(usize),
    /// Cuts the power of a machine during its first start on an empty disk.
    LosePowerDuringStart(usize),
    /// Asks a core to shut down.
    RequestShutdown(usize),
    /// Stops a core if other nodes hold its state, or kills it at `kill_at`.
    Stop { machine: usize, kill_at: Micros },
    /// Sends an order, or with `race` two at once, to a core whose partition ends; with `drain` a worker leaves
    /// there, and with `is_exclusive` the document goes to this core alone until its answer is clear.
    EndPartition { machine: usize, race: bool, drain: bool, is_exclusive: bool },
    /// Checks that a machine has caught up.
    CheckCaughtUp(usize),
    /// Checks that an order was acknowledged since then.
    CheckProgress { since: Micros },
    /// Stops a worker.
    StopWorker(usize),
    /// Restarts a worker.
    StartWorker(usize),
}

/// The control-plane faults of one run, with the operator's orders and the workers that leave.
pub struct Control {
    profile: ControlProfile,
    /// The operator and its orders.
    pub operator: DocumentOperator,
    /// The scheduled actions and when each is due.
    scheduled_actions: Vec<(Micros, ControlAction)>,
    /// No fault starts before this.
    next_fault_at: Micros,
    /// When the injection of faults ends.
    faults_end: Micros,
    /// Whether the closing fault was drawn.
    is_closing_started: bool,
    /// The fault that waits for its trigger.
    pending_fault: Option<PendingFault>,
    /// The workers that wait for an acknowledgement of their departure.
    departures: Vec<WorkerDeparture>,
    /// The reports of workers that left, which have not arrived yet.
    late_reports: Vec<LateReport>,
    /// The request id of the report that was sent last for a leaving worker.
    last_request_id: u64,
    /// The number of workers whose departure was acknowledged.
    pub acknowledged_departures: u64,
    /// How often each core was partitioned.
    partition_counts: BTreeMap<usize, u64>,
    /// How often each core was asked to shut down.
    shutdown_counts: BTreeMap<usize, u64>,
    /// How often each fault was started, by its debug name.
    pub fault_counts: BTreeMap<String, u64>,
    /// How often each variant of a fault was chosen.
    pub variant_counts: BTreeMap<&'static str, u64>,
}

impl Control {
    /// Returns an injector for a profile whose faults end at `faults_end`.
    pub fn new(profile: ControlProfile, faults_end: Micros) -> Self {
        let operator = DocumentOperator::new(profile.operator_behaviour);
        Control {
            profile,
            operator,
            scheduled_actions: Vec::new(),
            next_fault_at: 6 * SEC,
            faults_end,
            is_closing_started: false,
            pending_fault: None,
            departures: Vec::new(),
            late_reports: Vec::new(),
            last_request_id: FIRST_REQUEST_ID,
            acknowledged_departures: 0,
            partition_counts: BTreeMap::new(),
            shutdown_counts: BTreeMap::new(),
            fault_counts: BTreeMap::new(),
            variant_counts: BTreeMap::new(),
        }
    }

    /// Runs due actions, the operator, the armed fault and departures; starts the next fault when none is in progress.
    pub fn tick(&mut self, world: &mut World, faults_ended: bool) {
        self.run_due_actions(world);
        self.operator.tick(world, faults_ended);
        self.run_pending_fault(world);
        self.update_departures(world);
        let may_start = !faults_ended
            && world.now >= self.next_fault_at
            && self.pending_fault.is_none()
            && self.scheduled_actions.is_empty();
        if may_start && self.is_closing_due(world.now) {
            self.begin_closing(world);
        } else if may_start && !self.is_closing_near(world.now) {
            self.start_fault(world);
        }
    }

    /// Returns true if the closing fault must start now.
    fn is_closing_due(&self, now: Micros) -> bool {
        self.profile.has_closing_fault && !self.is_closing_started && now + CLOSING_LEAD_TIME >= self.faults_end
    }

    /// Returns true once no other fault may start before the closing fault.
    fn is_closing_near(&self, now: Micros) -> bool {
        self.profile.has_closing_fault && now + CLOSING_LEAD_TIME + QUIET_BEFORE_CLOSING >= self.faults_end
    }

    /// Schedules an action for a moment of true time.
    fn schedule(&mut self, due: Micros, action: ControlAction) {
        self.scheduled_actions.push((due, action));
    }

    /// Counts a variant of a fault.
    fn count_variant(&mut self, variant: &'static str) {
        *self.variant_counts.entry(variant).or_default() += 1;
    }

    /// Draws the next fault and starts it.
    fn start_fault(&mut self, world: &mut World) {
        let position = usize::try_from(world.rng.next_below(self.profile.faults.len() as u64)).unwrap_or(0);
        let fault = self.profile.faults[position];
        *self.fault_counts.entry(format!("{fault:?}")).or_default() += 1;
        world.log(format!("{fault:?}"));
        if world.rng.chance_percent(self.profile.departure_percent) {
            self.start_departure(world, None);
        }
        let Some(machine) = draw_core(world) else { return };
        match fault {
            ControlFault::AfterAck { wipe } => self.arm(world, PendingFault::AfterAck { wipe }),
            ControlFault::OldestAfterAck => self.arm(world, PendingFault::OldestAfterAck),
            ControlFault::Timed { wipe } => self.arm(world, PendingFault::Timed { wipe }),
            ControlFault::AfterWork { gone } => self.arm(world, PendingFault::AfterWork { gone }),
            ControlFault::PowerAfterWork { all } => self.arm(world, PendingFault::PowerAfterWork { all }),
            ControlFault::CutOff(kind) => self.partition(world, machine, kind),
            ControlFault::FullDisk { power } => self.fill_disk(world, machine, power),
            ControlFault::HalfStart => self.interrupt_first_start(world, machine),
            ControlFault::Freeze => self.freeze(world, machine),
            ControlFault::Slow => self.slow_down(world, machine),
            ControlFault::Restart => self.lose(world, machine, Loss::Process),
            ControlFault::Roll => self.shut_down_next_core(world),
            ControlFault::Wipe => self.lose(world, machine, Loss::Disk),
            ControlFault::LongAway => self.start_long_outage(world, machine),
        }
    }

    /// Runs the actions that are due.
    fn run_due_actions(&mut self, world: &mut World) {
        let now = world.now;
        let (due, later) = std::mem::take(&mut self.scheduled_actions)
            .into_iter()
            .partition(|scheduled: &(Micros, ControlAction)| scheduled.0 <= now);
        self.scheduled_actions = later;
        for (_, action) in due {
            self.run_action(world, action);
        }
    }

    /// Runs one scheduled action.
    fn run_action(&mut self, world: &mut World, action: ControlAction) {
        match action {
            ControlAction::Lose { machine, loss } => self.lose(world, machine, loss),
            ControlAction::Start(machine) => world.start(machine),
            ControlAction::LosePowerDuringStart(machine) => self.lose_power_during_start(world, machine),
            ControlAction::RequestShutdown(machine) => self.request_shutdown(world, machine),
            ControlAction::Stop { machine, kill_at } => self.stop(world, machine, kill_at),
            ControlAction::EndPartition { machine, race, drain, is_exclusive } => {
                for _ in 0..=u64::from(race) {
                    self.operator.submit(world, Some(PinnedTarget { machine, is_exclusive }));
                }
                if drain {
                    self.start_departure(world, Some(machine));
                }
            }
            ControlAction::CheckCaughtUp(machine) => check_caught_up(world, machine),
            ControlAction::CheckProgress { since } => check_progress(world, since, self.operator.last_commit_at),
            ControlAction::StopWorker(worker) => world.crash(worker),
            ControlAction::StartWorker(worker) => {
                world.workers[worker].restart();
                let id = world.workers[worker].id.clone();
                world.safety.removed_workers.remove(&id);
            }
        }
    }

    /// Ends all faults: starts the machines that are down, and drops pending faults and departures.
    pub fn end_faults(&mut self, world: &mut World) {
        self.pending_fault = None;
        self.departures.clear();
        world.stalled_links.clear();
        world.preferred_report_target = None;
        for (_, action) in std::mem::take(&mut self.scheduled_actions) {
            match action {
                ControlAction::Start(machine) | ControlAction::LosePowerDuringStart(machine) => world.start(machine),
                // A core that was asked to shut down is stopped and restarted.
                ControlAction::Stop { machine, .. } => {
                    world.kill(machine);
                    world.start(machine);
                }
                _ => {}
            }
        }
    }
}

/// Draws one of the cores that run.
fn draw_core(world: &mut World) -> Option<usize> {
    let running: Vec<usize> =
        (0..world.machines.len()).filter(|i| world.machines[*i].is_core && world.is_running(*i)).collect();
    let position = usize::try_from(world.rng.next_below(running.len().max(1) as u64)).unwrap_or(0);
    running.get(position).copied()
}
