//! Faults of single machines: crashes, power and disk losses, full disks, shutdowns, freezes and slow runs.

use super::plan::CATCH_UP_TIME;
use super::{Control, ControlAction};
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Event;

/// The shortest outage of a machine, in microseconds.
const MIN_OUTAGE: Micros = 150 * MS;
/// The upper bound of the drawn part of an outage, in microseconds.
const MAX_DRAWN_OUTAGE: Micros = 850 * MS;
/// The outage of a machine that misses many changes, in microseconds.
const LONG_OUTAGE: Micros = 20 * SEC;
/// A core is asked to shut down within this time after an order was sent to it, in microseconds.
const MAX_SHUTDOWN_DELAY: Micros = 30 * MS;
/// The shortest time between a shutdown request and the stop of the process, in microseconds.
const MIN_SHUTDOWN_TIME: Micros = 250 * MS;
/// The interval at which a core that shuts down checks whether it may stop, in microseconds.
const STOP_CHECK_INTERVAL: Micros = 50 * MS;
/// A core is killed this long after its shutdown request at the latest, in microseconds.
const SHUTDOWN_GRACE: Micros = 8 * SEC;
/// The shortest period of a slow machine, in microseconds.
const MIN_PERIOD: Micros = 50 * MS;
/// The upper bound of the period of a slow machine, in microseconds.
const MAX_PERIOD: Micros = 250 * MS;
/// The number of fronts that may be removed for good.
const MAX_REMOVED_FRONTS: usize = 2;

/// The extent of the loss of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// The process alone.
    Process,
    /// Power; the disk keeps what was synced.
    Power,
    /// Power and the disk.
    Disk,
    /// Power, and the machine is removed for good.
    Machine,
}

impl Loss {
    /// Returns a loss of power, with the disk if `wipe` is set.
    pub(super) fn power_or_disk(wipe: bool) -> Loss {
        if wipe { Loss::Disk } else { Loss::Power }
    }
}

/// Draws the moment at which a machine that is lost now is restarted.
fn draw_restart_time(world: &mut World) -> Micros {
    world.now + MIN_OUTAGE + world.rng.next_below(MAX_DRAWN_OUTAGE)
}

impl Control {
    /// Inflicts a loss on a machine that runs, and schedules its restart unless it is removed.
    pub(super) fn lose(&mut self, world: &mut World, machine: usize, loss: Loss) {
        if world.machines[machine].node.is_none() || world.machines[machine].is_removed {
            return;
        }
        world.log(format!("{} loses {loss:?}", world.machines[machine].addr));
        match loss {
            Loss::Process => world.kill(machine),
            Loss::Power | Loss::Disk | Loss::Machine => world.lose_power(machine),
        }
        if loss == Loss::Disk {
            world.lose_disk(machine);
        }
        if loss == Loss::Machine {
            world.machines[machine].is_removed = true;
            self.next_fault_at = world.now + CATCH_UP_TIME;
            return;
        }
        self.schedule_restart(world, machine);
    }

    /// Schedules the restart of a machine; no fault starts before it had time to catch up.
    fn schedule_restart(&mut self, world: &mut World, machine: usize) {
        let restart_at = draw_restart_time(world);
        self.schedule(restart_at, ControlAction::Start(machine));
        self.next_fault_at = restart_at + CATCH_UP_TIME;
    }

    /// Fills a disk for a while and schedules the checks that the majority makes progress and the machine catches up.
    pub(super) fn fill_disk(&mut self, world: &mut World, machine: usize, power: bool) {
        let now = world.now;
        let until = now + SEC + world.rng.next_below(5 * SEC);
        world.log(format!("the disk of {} is full until {until}", world.machines[machine].addr));
        world.machines[machine].disk.full_until = until;
        if power {
            world.lose_power(machine);
            self.schedule(draw_restart_time(world), ControlAction::Start(machine));
        }
        self.schedule(until, ControlAction::CheckProgress { since: now });
        self.schedule(until + CATCH_UP_TIME, ControlAction::CheckCaughtUp(machine));
        self.next_fault_at = until + CATCH_UP_TIME;
    }

    /// Cuts the power of a machine for long enough to miss many changes.
    pub(super) fn start_long_outage(&mut self, world: &mut World, machine: usize) {
        world.lose_power(machine);
        let restart_at = world.now + LONG_OUTAGE;
        self.schedule(restart_at, ControlAction::Start(machine));
        self.schedule(restart_at + CATCH_UP_TIME, ControlAction::CheckCaughtUp(machine));
        self.next_fault_at = restart_at + CATCH_UP_TIME;
    }

    /// Freezes a machine for a while.
    pub(super) fn freeze(&mut self, world: &mut World, machine: usize) {
        let until = world.now + SEC + world.rng.next_below(6 * SEC);
        world.freeze(machine, until);
        self.next_fault_at = until + CATCH_UP_TIME;
    }

    /// Slows a machine down for a while.
    pub(super) fn slow_down(&mut self, world: &mut World, machine: usize) {
        let until = world.now + SEC + world.rng.next_below(6 * SEC);
        let period = MIN_PERIOD + world.rng.next_below(MAX_PERIOD - MIN_PERIOD);
        world.slow_down(machine, until, period);
        self.next_fault_at = until + CATCH_UP_TIME;
    }

    /// Requests the shutdown of the core that was shut down least often, while an order is in flight to it.
    pub(super) fn shut_down_next_core(&mut self, world: &mut World) {
        let running = (0..world.machines.len()).filter(|i| world.machines[*i].is_core && world.is_running(*i));
        let Some(machine) = running.min_by_key(|i| self.shutdown_counts.get(i).copied().unwrap_or(0)) else { return };
        *self.shutdown_counts.entry(machine).or_default() += 1;
        self.operator.submit_to(world, machine);
        let shutdown_at = world.now + world.rng.next_below(MAX_SHUTDOWN_DELAY);
        self.schedule(shutdown_at, ControlAction::RequestShutdown(machine));
    }

    /// Asks the node to shut down, and schedules the first check whether it may stop.
    pub(super) fn request_shutdown(&mut self, world: &mut World, machine: usize) {
        world.log(format!("{} is asked to shut down", world.machines[machine].addr));
        world.step(machine, Event::Shutdown);
        let kill_at = world.now + SHUTDOWN_GRACE;
        self.schedule(world.now + MIN_SHUTDOWN_TIME, ControlAction::Stop { machine, kill_at });
    }

    /// Stops a core once other nodes hold its state, or at `kill_at`; until then the check is repeated.
    pub(super) fn stop(&mut self, world: &mut World, machine: usize, kill_at: Micros) {
        let state = &world.machines[machine];
        let must_wait = state.node.as_ref().is_some_and(|node| !node.may_stop(state.clock(world.now)));
        if must_wait && world.now < kill_at {
            return self.schedule(world.now + STOP_CHECK_INTERVAL, ControlAction::Stop { machine, kill_at });
        }
        self.count_variant(if must_wait { "killed" } else { "stopped" });
        self.lose(world, machine, Loss::Process);
    }

    /// Cuts the power and loses the disk of a machine; power is cut again during its first start on the empty disk.
    pub(super) fn interrupt_first_start(&mut self, world: &mut World, machine: usize) {
        world.log(format!("{} loses its disk, and power again during its first start", world.machines[machine].addr));
        world.lose_power(machine);
        world.lose_disk(machine);
        let restart_at = draw_restart_time(world);
        self.schedule(restart_at, ControlAction::LosePowerDuringStart(machine));
        self.next_fault_at = restart_at + CATCH_UP_TIME;
    }

    /// Cuts the power of a machine before its process sends a frame; the file with its node id is kept or lost.
    pub(super) fn lose_power_during_start(&mut self, world: &mut World, machine: usize) {
        world.start(machine);
        world.lose_power(machine);
        if world.rng.chance_percent(50) {
            world.lose_disk(machine);
        }
        self.schedule_restart(world, machine);
    }

    /// Cuts the power of a front that has just accepted a call; it is removed for good only if enough fronts are left.
    pub(super) fn lose_after_work(&mut self, world: &mut World, machine: usize, gone: bool) {
        let removed_fronts = world.machines.iter().filter(|s| !s.is_core && s.is_removed).count();
        let loss = if gone && removed_fronts < MAX_REMOVED_FRONTS { Loss::Machine } else { Loss::Power };
        self.lose(world, machine, loss);
    }

    /// Inflicts a loss on all machines that `is_affected` selects.
    pub(super) fn lose_all(&mut self, world: &mut World, loss: Loss, is_affected: impl Fn(&World, usize) -> bool) {
        for machine in 0..world.machines.len() {
            if is_affected(world, machine) {
                self.lose(world, machine, loss);
            }
        }
    }
}
