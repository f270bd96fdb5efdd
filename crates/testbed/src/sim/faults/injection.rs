//! Fault injection: starts faults of machines, the network, disks, workers and callers, and ends them in time.

use crate::sim::faults::profiles::Fault;
use crate::sim::faults::rolling_release::{ReleaseAction, ReleaseStep};
use crate::sim::operators::traffic::Operators;
use crate::sim::workers::worker::WorkerBehaviour;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// The shortest period of a slow machine, in microseconds.
const MIN_PERIOD: Micros = 50 * MS;
/// The upper bound of the period of a slow core, in microseconds.
const MAX_CORE_PERIOD: Micros = 250 * MS;
/// The upper bound of the period of a slow front, in microseconds.
const MAX_FRONT_PERIOD: Micros = 100 * MS;

/// A process that is down until it is restarted.
struct StoppedProcess {
    /// The index of its machine in the world.
    machine: usize,
    /// When the process is restarted, in microseconds of true time.
    restart_at: Micros,
    /// Whether the core comes back with an empty disk at a new address and an operator must admit it.
    is_replacement: bool,
}

/// Starts the faults of a profile, and ends those that need an action at their end.
#[derive(Default)]
pub(in crate::sim) struct FaultInjector {
    stopped_processes: Vec<StoppedProcess>,
    /// The replacement core with an empty disk that waits for an operator to admit it.
    awaiting_admission: Option<usize>,
    /// Workers that vanished or drain, and when each is restarted.
    absent_workers: Vec<(usize, Micros)>,
    /// The steps of rolling releases and of worker crashes that are still due.
    release_actions: Vec<ReleaseAction>,
}

/// Draws one of the machines for which `is_eligible` holds.
fn draw_machine(world: &mut World, is_eligible: impl Fn(&World, usize) -> bool) -> Option<usize> {
    let eligible: Vec<_> = (0..world.machines.len()).filter(|target| is_eligible(world, *target)).collect();
    if eligible.is_empty() {
        None
    } else {
        Some(eligible[usize::try_from(world.rng.next_below(eligible.len() as u64)).unwrap_or(0)])
    }
}

impl FaultInjector {
    /// Restarts the stopped processes that are due, or all of them once the faults are over (`faults_ended`).
    pub fn restart_due_processes(&mut self, world: &mut World, faults_ended: bool) {
        let now = world.now;
        let awaiting = &mut self.awaiting_admission;
        self.stopped_processes.retain(|process| {
            let is_due = process.restart_at <= now || faults_ended;
            if is_due {
                world.start(process.machine);
                world.log(format!("{} is restarted", world.machines[process.machine].addr));
                if process.is_replacement {
                    *awaiting = Some(process.machine);
                }
            }
            !is_due
        });
    }

    /// Lets an operator admit the replacement core that waits for it.
    pub fn admit_replacement(&mut self, world: &mut World, operators: &mut Operators) {
        if let Some(target) = self.awaiting_admission
            && world.now % (500 * MS) < 10 * MS
            && (world.machines[target].node.is_none() || operators.propose_replacement(world, target))
            && world.machines[target].node.is_some()
        {
            world.log(format!("{} is admitted by an operator", world.machines[target].addr));
            self.awaiting_admission = None;
        }
    }

    /// Runs the release steps that are due.
    pub fn run_due_release_actions(&mut self, world: &mut World) {
        self.release_actions.retain(|action| action.run_if_due(world));
    }

    /// Cancels the release steps that are still due.
    pub fn cancel_release(&mut self) {
        self.release_actions.clear();
    }

    /// Restarts the workers that are due.
    pub fn restart_due_workers(&mut self, world: &mut World) {
        let now = world.now;
        self.absent_workers.retain(|(index, restart_at)| {
            if *restart_at <= now {
                let worker = &mut world.workers[*index];
                worker.restart();
                let id = worker.id.clone();
                world.safety.removed_workers.remove(&id);
            }
            *restart_at > now
        });
    }

    /// Starts a fault that lasts for about `duration`.
    pub fn inject(&mut self, world: &mut World, fault: Fault, duration: Micros) {
        match fault {
            Fault::KillCore
            | Fault::KillFront
            | Fault::PowerLossMany
            | Fault::PowerLossCore
            | Fault::ReplaceCoreByOperator
            | Fault::Freeze
            | Fault::FreezeCore
            | Fault::SlowNode
            | Fault::SlowCore
            | Fault::Sleep => self.inject_machine_fault(world, fault, duration),
            Fault::PartitionNode
            | Fault::PartitionCore
            | Fault::PartitionInTwo
            | Fault::LoseOutgoingFrames
            | Fault::PartitionZone
            | Fault::ReorderFrames
            | Fault::HoldFrames
            | Fault::LoseFrames => inject_network_fault(world, fault, duration),
            Fault::SlowDisk | Fault::StallDisk | Fault::FullDisk | Fault::SlowDisks => {
                inject_disk_fault(world, fault, duration);
            }
            Fault::StopWorker
            | Fault::FaultyWorker(_)
            | Fault::AllWorkersFaulty
            | Fault::CrashWorker
            | Fault::RollingRelease
            | Fault::TenantBurst
            | Fault::SharedPrefix => self.inject_worker_fault(world, fault, duration),
            // `MembershipFaults` injects these.
            Fault::ReplaceCore { .. }
            | Fault::WipeCores
            | Fault::WipeAfterAck
            | Fault::PowerLossAll
            | Fault::PowerLossCores => {}
        }
    }

    /// Starts a fault of a machine or its process.
    fn inject_machine_fault(&mut self, world: &mut World, fault: Fault, duration: Micros) {
        let now = world.now;
        let is_up = |world: &World, target: usize| world.machines[target].node.is_some();
        match fault {
            Fault::KillCore | Fault::KillFront => {
                let is_core = fault == Fault::KillCore;
                if let Some(target) = draw_machine(world, |world, target| {
                    is_up(world, target) && world.machines[target].is_core == is_core
                }) {
                    world.log(format!("{} is killed", world.machines[target].addr));
                    world.kill(target);
                    self.stopped_processes.push(StoppedProcess {
                        machine: target,
                        restart_at: now + duration / 2,
                        is_replacement: false,
                    });
                }
            }
            Fault::PowerLossCore => {
                if let Some(target) =
                    draw_machine(world, |world, target| is_up(world, target) && world.machines[target].is_core)
                {
                    world.log(format!("{} loses power", world.machines[target].addr));
                    world.lose_power(target);
                    self.stopped_processes.push(StoppedProcess {
                        machine: target,
                        restart_at: now + duration / 2,
                        is_replacement: false,
                    });
                }
            }
            Fault::PowerLossMany => {
                world.log("most machines lose power".into());
                for target in 0..world.machines.len() {
                    if is_up(world, target) && world.rng.chance_percent(60) {
                        world.lose_power(target);
                        let delay = world.rng.next_below(SEC);
                        self.stopped_processes.push(StoppedProcess {
                            machine: target,
                            restart_at: now + duration / 3 + delay,
                            is_replacement: false,
                        });
                    }
                }
            }
            Fault::ReplaceCoreByOperator => {
                let is_intact = self.stopped_processes.is_empty() && self.awaiting_admission.is_none();
                let voters = world
                    .machines
                    .iter()
                    .filter(|s| s.is_core && s.node.as_ref().is_some_and(sumacvale_core::node::Node::is_voter))
                    .count();
                if is_intact
                    && voters >= 3
                    && let Some(target) =
                        draw_machine(world, |world, target| is_up(world, target) && world.machines[target].is_core)
                {
                    world.log(format!("{} is lost with its disk", world.machines[target].addr));
                    world.wipe(target);
                    self.stopped_processes.push(StoppedProcess {
                        machine: target,
                        restart_at: now + duration / 2,
                        is_replacement: true,
                    });
                }
            }
            Fault::Freeze | Fault::FreezeCore => {
                let is_core = fault == Fault::FreezeCore;
                if let Some(target) = draw_machine(world, |world, target| {
                    is_up(world, target) && world.machines[target].is_core == is_core
                }) {
                    world.log(format!("{} is frozen for {duration} us", world.machines[target].addr));
                    world.freeze(target, now + duration);
                }
            }
            Fault::SlowNode | Fault::SlowCore => {
                let is_core = fault == Fault::SlowCore;
                if let Some(target) = draw_machine(world, |world, target| {
                    is_up(world, target) && world.machines[target].is_core == is_core
                }) {
                    let max_period = if is_core { MAX_CORE_PERIOD } else { MAX_FRONT_PERIOD };
                    let period = MIN_PERIOD + world.rng.next_below(max_period - MIN_PERIOD);
                    world.slow_down(target, now + duration, period);
                }
            }
            Fault::Sleep => {
                if let Some(target) = draw_machine(world, |world, target| {
                    is_up(world, target) && world.machines[target].frozen_until <= now
                }) {
                    world.log(format!("{} sleeps for {} us", world.machines[target].addr, 2 * duration));
                    world.freeze(target, now + 2 * duration);
                }
            }
            _ => {}
        }
    }

    /// Starts a fault of workers or callers.
    fn inject_worker_fault(&mut self, world: &mut World, fault: Fault, duration: Micros) {
        let now = world.now;
        match fault {
            Fault::StopWorker => {
                let index = usize::try_from(world.rng.next_below(world.workers.len() as u64)).unwrap_or(0);
                if self.absent_workers.iter().any(|absent| absent.0 == index) {
                    return;
                }
                let drain = world.rng.chance_percent(50);
                let worker = &mut world.workers[index];
                let id = worker.id.clone();
                if drain {
                    worker.is_draining = true;
                    worker.draining_since = Some(now);
                    worker.next_report_at = now;
                } else {
                    world.crash(index);
                }
                world.log(format!("worker {id} {}", if drain { "drains" } else { "vanishes" }));
                world.safety.removed_workers.insert(id, now);
                self.absent_workers.push((index, now + 3 * SEC + duration));
            }
            Fault::FaultyWorker(behaviour) => {
                let index = usize::try_from(world.rng.next_below(world.workers.len() as u64)).unwrap_or(0);
                world.log(format!("worker {} behaves as {behaviour:?} for {duration} us", world.workers[index].id));
                world.workers[index].behaviour = (behaviour, now + duration);
            }
            Fault::AllWorkersFaulty => {
                let behaviours = [
                    WorkerBehaviour::Hang,
                    WorkerBehaviour::NoResponse,
                    WorkerBehaviour::Truncate,
                    WorkerBehaviour::Reject,
                    WorkerBehaviour::Unreachable,
                    WorkerBehaviour::Slow,
                ];
                let behaviour = behaviours[usize::try_from(world.rng.next_below(behaviours.len() as u64)).unwrap_or(0)];
                world.log(format!("all workers behave as {behaviour:?} for {duration} us"));
                for worker in &mut world.workers {
                    worker.behaviour = (behaviour, now + duration);
                }
            }
            Fault::CrashWorker => {
                let index = usize::try_from(world.rng.next_below(world.workers.len() as u64)).unwrap_or(0);
                if world.workers[index].is_running && !world.workers[index].is_draining {
                    world.log(format!("worker {} crashes and is restarted", world.workers[index].id));
                    world.crash(index);
                    self.release_actions.push(ReleaseAction {
                        at: now + 100 * MS,
                        worker: index,
                        step: ReleaseStep::Start,
                    });
                }
            }
            Fault::RollingRelease if self.release_actions.is_empty() => {
                world.log("rolling release: all workers of the model are replaced one by one".into());
                let model_workers: Vec<_> =
                    (0..world.workers.len()).filter(|index| world.workers[*index].pool == "llm").collect();
                for (position, index) in model_workers.into_iter().enumerate() {
                    let at = now + position as u64 * 1_200 * MS;
                    self.release_actions.push(ReleaseAction { at, worker: index, step: ReleaseStep::Drain });
                    self.release_actions.push(ReleaseAction {
                        at: at + 900 * MS,
                        worker: index,
                        step: ReleaseStep::Stop,
                    });
                    self.release_actions.push(ReleaseAction {
                        at: at + 1_100 * MS,
                        worker: index,
                        step: ReleaseStep::Start,
                    });
                }
            }
            Fault::TenantBurst => {
                world.log(format!("one tenant sends eight times its usual calls for {duration} us"));
                world.tenant_burst = (8, now + duration);
            }
            Fault::SharedPrefix => {
                world.log(format!("all calls share one prefix for {duration} us"));
                world.shared_prefix_until = now + duration;
            }
            _ => {}
        }
    }
}

/// Starts a fault of the network.
fn inject_network_fault(world: &mut World, fault: Fault, duration: Micros) {
    let now = world.now;
    match fault {
        Fault::PartitionNode | Fault::PartitionCore => {
            let is_core = fault == Fault::PartitionCore;
            if let Some(target) = draw_machine(world, |world, target| !is_core || world.machines[target].is_core) {
                world.log(format!("{} is partitioned from all others for {duration} us", world.machines[target].addr));
                for other in 0..world.machines.len() {
                    world.blocked_links.insert((target, other), now + duration);
                    world.blocked_links.insert((other, target), now + duration);
                }
            }
        }
        Fault::PartitionInTwo => {
            world.log(format!("machines are partitioned into two random groups for {duration} us"));
            let sides: Vec<bool> = (0..world.machines.len()).map(|_| world.rng.chance_percent(50)).collect();
            for target in 0..sides.len() {
                for other in 0..sides.len() {
                    if sides[target] != sides[other] {
                        world.blocked_links.insert((target, other), now + duration);
                    }
                }
            }
        }
        Fault::LoseOutgoingFrames => {
            if let Some(target) = draw_machine(world, |_, _| true) {
                world.log(format!("frames from {} are lost for {duration} us", world.machines[target].addr));
                for other in 0..world.machines.len() {
                    world.blocked_links.insert((target, other), now + duration);
                }
            }
        }
        Fault::PartitionZone => {
            let zone = format!("z{}", world.rng.next_below(3));
            world.log(format!("zone {zone} is partitioned from the others for {duration} us"));
            for target in 0..world.machines.len() {
                for other in 0..world.machines.len() {
                    if (world.machines[target].zone == zone) != (world.machines[other].zone == zone) {
                        world.blocked_links.insert((target, other), now + duration);
                    }
                }
            }
        }
        Fault::ReorderFrames => {
            world.log(format!("frames are delayed, reordered and lost for {duration} us"));
            world.reordering_until = now + duration;
            world.frame_loss = (5, now + duration);
        }
        Fault::HoldFrames => {
            if let Some(target) = draw_machine(world, |_, _| true) {
                world.log(format!("frames from and to {} are held for {duration} us", world.machines[target].addr));
                world.frames_held_until.insert(target, now + duration);
            }
        }
        Fault::LoseFrames => {
            world.log(format!("one frame in ten is lost for {duration} us"));
            world.frame_loss = (10, now + duration);
        }
        _ => {}
    }
}

/// Starts a fault of one disk or of all disks.
fn inject_disk_fault(world: &mut World, fault: Fault, duration: Micros) {
    let now = world.now;
    match fault {
        Fault::SlowDisk | Fault::StallDisk | Fault::FullDisk => {
            if let Some(target) = draw_machine(world, |world, target| world.machines[target].is_core) {
                world.log(format!("{fault:?} on {} for {duration} us", world.machines[target].addr));
                let disk = &mut world.machines[target].disk;
                match fault {
                    Fault::SlowDisk => disk.slow_until = now + duration,
                    Fault::StallDisk => disk.stalled_until = now + duration,
                    _ => disk.full_until = now + duration,
                }
            }
        }
        Fault::SlowDisks => {
            world.log(format!("all disks of cores are slow for {duration} us"));
            for core in world.machines.iter_mut().filter(|machine| machine.is_core) {
                core.disk.slow_until = now + duration;
            }
        }
        _ => {}
    }
}
