//! Drives one run from a seed: injects faults, heals them, then checks the recovery.

use crate::sim::checks::calls::{CallLimits, Rates, check_calls, check_rates, check_retries};
use crate::sim::checks::recovery::{RECOVERY_DEADLINE, check_nothing_held, check_recovery, time_until_serving};
use crate::sim::checks::safety::Violation;
use crate::sim::checks::summary::{ControlSummary, Summary};
use crate::sim::faults::control::{Control, ControlProfile};
use crate::sim::faults::day::HOUR;
use crate::sim::faults::injection::FaultInjector;
use crate::sim::faults::membership_losses::MembershipFaults;
use crate::sim::faults::repairs::RepeatedLosses;
use crate::sim::operators::documents::{has_revocable_key, tenant_quotas};
use crate::sim::operators::traffic::Operators;
use crate::sim::settings::Run;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// The length of one step, in microseconds of true time.
const STEP: Micros = 10 * MS;
/// The interval at which all nodes are sampled, in microseconds.
const SAMPLE_INTERVAL: Micros = 50 * MS;

/// A run in progress: the world, its operators and its fault injectors.
struct Simulation {
    settings: Run,
    world: World,
    operators: Operators,
    /// Faults of machines, the network, disks, workers and callers.
    injector: FaultInjector,
    /// Losses and replacements of cores that manage the voters themselves.
    membership: MembershipFaults,
    /// Present in the profiles whose losses follow one another as closely as possible.
    repeated_losses: Option<RepeatedLosses>,
    /// Present in the profiles of the control plane.
    control: Option<Control>,
    /// When the run began, in microseconds of true time.
    begin: Micros,
    /// When faults are no longer injected, in microseconds of true time.
    end: Micros,
    /// When the next fault starts.
    next_fault_at: Micros,
    /// When all nodes were sampled last.
    last_sample_at: Micros,
    /// The hour of the simulated day whose fault was started last.
    hour: u64,
}

/// Simulates one run: injects faults, heals them, then checks the recovery; returns the summary.
pub fn run(settings: Run) -> Summary {
    let mut simulation = Simulation::new(settings);
    while simulation.world.now < simulation.end + RECOVERY_DEADLINE {
        simulation.step();
    }
    simulation.finish()
}

/// Returns the number of cores that the fleet of a profile may lose where cores manage the voters; 0 elsewhere.
fn tolerated_losses(profile: &str) -> u32 {
    match profile {
        "members" | "blackout" | "blackout_cores" | "repairs" => 1,
        "many" | "repairs_two" => 2,
        name if ControlProfile::named(name).is_some() => 1,
        _ => 0,
    }
}

impl Simulation {
    fn new(settings: Run) -> Simulation {
        let mut world = World::new(settings.seed, settings.cores, settings.fronts, settings.workers);
        world.tolerated_losses = tolerated_losses(settings.profile.name);
        world.restart_with_empty_disks();
        if settings.day.is_some() {
            world.tenants = 7;
        }
        world.quotas_are_rates = settings.rates;
        let begin = world.now;
        Simulation {
            settings,
            world,
            operators: Operators::default(),
            injector: FaultInjector::default(),
            membership: MembershipFaults::default(),
            repeated_losses: settings.profile.name.starts_with("repairs").then(RepeatedLosses::default),
            control: ControlProfile::named(settings.profile.name)
                .map(|profile| Control::new(profile, begin + settings.profile.duration_s * SEC)),
            begin,
            end: begin + settings.profile.duration_s * SEC,
            next_fault_at: begin + 4 * SEC,
            last_sample_at: begin,
            hour: u64::MAX,
        }
    }

    /// Runs the world for one step, with faults, operators, calls and checks.
    fn step(&mut self) {
        let until = self.world.now + STEP;
        self.world.run(until);
        self.world.report();
        let faults_ended = self.world.now >= self.end;
        if faults_ended {
            self.heal();
        }
        let hour = (self.world.now - self.begin) / HOUR;
        self.update_faults(faults_ended, hour);
        self.update_operators(faults_ended);
        if self.world.now % SEC < STEP {
            self.world.check_readiness();
        }
        let load = self.settings.day.map_or(self.settings.load, |day| day.load(if faults_ended { 8 } else { hour }));
        self.operators.start_calls(&mut self.world, load);
        if self.world.now - self.last_sample_at >= SAMPLE_INTERVAL {
            self.last_sample_at = self.world.now;
            sample(&mut self.world);
            self.operators.measure_propagation(&self.world);
        }
    }

    /// Ends all faults: clears those of the network, machines and disks, and restarts workers.
    fn heal(&mut self) {
        let world = &mut self.world;
        world.blocked_links.clear();
        world.reconnect_intervals.clear();
        world.stalled_links.clear();
        world.frame_loss = (0, 0);
        world.reordering_until = 0;
        world.frames_held_until.clear();
        world.tenant_burst.1 = 0;
        world.shared_prefix_until = 0;
        for machine in 0..world.machines.len() {
            if world.machines[machine].frozen_until > world.now || world.machines[machine].slow_mode.take().is_some() {
                world.unfreeze(machine);
            }
            world.machines[machine].disk.clear_faults();
        }
        for worker in &mut world.workers {
            worker.behaviour.1 = 0;
            if worker.is_draining || !worker.is_running {
                worker.restart();
            }
        }
        self.injector.cancel_release();
        if let Some(control) = &mut self.control {
            control.end_faults(world);
        }
        world.safety.removed_workers.clear();
    }

    /// Ends the faults that are due, and starts the next one.
    fn update_faults(&mut self, faults_ended: bool, hour: u64) {
        let world = &mut self.world;
        self.injector.restart_due_processes(world, faults_ended);
        self.injector.admit_replacement(world, &mut self.operators);
        if !faults_ended && world.now >= self.next_fault_at {
            self.next_fault_at = world.now + 200 * MS + world.rng.next_below(4 * SEC);
            if let Some((fault, duration)) = self.settings.profile.draw_fault(&mut world.rng)
                && !self.membership.inject(world, &mut self.operators, fault)
            {
                self.injector.inject(world, fault, duration);
            }
        }
        self.injector.run_due_release_actions(world);
        if let Some(day) = self.settings.day.filter(|_| !faults_ended && hour != self.hour) {
            self.hour = hour;
            if let Some((fault, duration)) = day.hour(world, hour) {
                self.injector.inject(world, fault, duration);
            }
        }
        self.injector.restart_due_workers(world);
    }

    /// Lets operators send changes and read responses, and updates the membership faults.
    fn update_operators(&mut self, faults_ended: bool) {
        let world = &mut self.world;
        let operators = &mut self.operators;
        if world.now > self.begin + 3 * SEC && world.rng.next_below(1000) < self.settings.profile.changes {
            operators.submit_config(world);
            if matches!(self.settings.profile.name, "races" | "stalls") {
                operators.submit_config(world);
            }
        }
        if let Some(control) = &mut self.control {
            control.tick(world, faults_ended);
            operators.committed = operators.committed.max(control.operator.committed_count().min(1));
        }
        operators.handle_outcomes(world);
        if world.tolerated_losses > 0 {
            self.membership.tick(world, operators);
            if let Some(repeated_losses) = self.repeated_losses.as_mut().filter(|_| !faults_ended) {
                repeated_losses.tick(world, operators, &mut self.membership);
            }
        }
    }

    /// Checks the recovery and all calls, and summarises the run.
    fn finish(mut self) -> Summary {
        let world = &mut self.world;
        if let Some(control) = &mut self.control {
            control.operator.check_final_state(world);
        }
        let recovered = check_recovery(world, &mut self.operators, self.end);
        if self.repeated_losses.is_some() {
            world.safety.violations.extend(self.operators.needless_rejections.iter().cloned().map(Violation));
        }
        check_nothing_held(world);
        world.safety.check_acknowledged_versions();
        for machine in 0..world.machines.len() {
            world.drop_calls(machine);
        }
        let limits = call_limits(world, self.settings.rates);
        let rates = match self.settings.rates {
            true => tenant_quotas(world.tenants).into_iter().map(|(tenant, quota)| (tenant, quota.0)).collect(),
            false => Rates::new(),
        };
        world.safety.violations.extend(check_calls(&world.call_outcomes, &world.executions, &limits));
        world.safety.violations.extend(check_rates(&world.executions, &rates));
        world.safety.violations.extend(check_retries(&world.retry_record, 2 * world.machines.len() as u64));
        let serving_after = time_until_serving(world, self.end);
        let control = self.control.map(ControlSummary::of);
        Summary {
            recovered,
            serving_after,
            control,
            ..Summary::of(self.world, self.operators, self.membership, &limits, &rates)
        }
    }
}

/// Collects the limits that the calls of this world are checked against.
fn call_limits(world: &World, rates: bool) -> CallLimits {
    CallLimits {
        quotas: if rates { std::collections::BTreeMap::default() } else { tenant_quotas(world.tenants) },
        acknowledged: world.safety.acknowledged.iter().map(|ack| (ack.version, ack.acknowledged_at)).collect(),
        key_versions: world
            .safety
            .committed
            .values()
            .map(|entry| {
                (entry.version, world.safety.first_committed_at[&entry.version], has_revocable_key(&entry.body))
            })
            .collect(),
        attempts: world.attempts,
        freezes: world.freezes.clone(),
    }
}

/// Checks what each fresh node would do with a call now: by which configuration it admits calls, and to which workers
/// it routes them.
fn sample(world: &mut World) {
    let now = world.now;
    for machine in 0..world.machines.len() {
        if !world.is_running(machine) {
            continue;
        }
        let state = &world.machines[machine];
        let Some(node) = &state.node else { continue };
        if !node.is_fresh(state.clock(now)) {
            continue;
        }
        let live_workers: Vec<_> = node
            .dissemination
            .workers
            .live_workers(state.clock(now))
            .map(|report| (report.worker_id.clone(), report.incarnation))
            .collect();
        let version = node.version().unwrap_or(0);
        let addr = state.addr.clone();
        world.safety.check_admission(&addr, version, now);
        for (id, incarnation) in live_workers {
            let current = world.workers.iter().find(|worker| worker.id == id).map_or(0, |worker| worker.incarnation);
            if incarnation == current {
                world.safety.check_routing(&addr, &id, now);
            }
        }
    }
}
