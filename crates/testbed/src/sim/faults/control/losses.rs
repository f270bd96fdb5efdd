//! Machines end, lose power or their disks, stop when told to, run slowly, and come back.

use super::plan::CATCH_UP;
use super::{Control, ControlAction};
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Event;

/// A machine is away for at least this long, and for `AWAY_DRAWN` more at most.
const AWAY_LEAST: Micros = 150 * MS;
const AWAY_DRAWN: Micros = 850 * MS;
const LONG_AWAY: Micros = 20 * SEC;
/// How long a core that was told to stop is under an order at most, how long it stays at least after it was
/// told, how often it looks whether it may end, and when it is stopped all the same.
const UNDER_ORDER: Micros = 30 * MS;
const NOTICE: Micros = 250 * MS;
const MAY_END_EVERY: Micros = 50 * MS;
const GRACE: Micros = 8 * SEC;
/// A machine that runs slowly does so in periods that are drawn between these.
const PERIOD_LEAST: Micros = 50 * MS;
const PERIOD_MOST: Micros = 250 * MS;
/// So many fronts may be gone for good.
const GONE_MOST: usize = 2;

/// What a machine loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Its process alone.
    Process,
    Power,
    /// Power, and its disk.
    Disk,
    /// Power, and it never comes back.
    Machine,
}

impl Loss {
    pub(super) fn of_power(wipe: bool) -> Loss {
        if wipe { Loss::Disk } else { Loss::Power }
    }
}

/// When a machine that is lost now is back.
fn return_moment(world: &mut World) -> Micros {
    world.now + AWAY_LEAST + world.rng.below(AWAY_DRAWN)
}

impl Control {
    pub(super) fn lose(&mut self, world: &mut World, slot: usize, loss: Loss) {
        if world.machines[slot].node.is_none() || world.machines[slot].is_removed {
            return;
        }
        world.log(format!("{} loses {loss:?}", world.machines[slot].addr));
        match loss {
            Loss::Process => world.kill(slot),
            Loss::Power | Loss::Disk | Loss::Machine => world.lose_power(slot),
        }
        if loss == Loss::Disk {
            world.lose_disk(slot);
        }
        if loss == Loss::Machine {
            world.machines[slot].is_removed = true;
            self.free = world.now + CATCH_UP;
            return;
        }
        self.comes_back(world, slot);
    }

    fn comes_back(&mut self, world: &mut World, slot: usize) {
        let back = return_moment(world);
        self.at(back, ControlAction::Begin(slot));
        self.free = back + CATCH_UP;
    }

    /// A disk takes nothing for a while; the others go on, and it catches up afterwards.
    pub(super) fn fill(&mut self, world: &mut World, slot: usize, power: bool) {
        let now = world.now;
        let until = now + SEC + world.rng.below(5 * SEC);
        world.log(format!("the disk of {} is full until {until}", world.machines[slot].addr));
        world.machines[slot].disk.full_until = until;
        if power {
            world.lose_power(slot);
            self.at(return_moment(world), ControlAction::Begin(slot));
        }
        self.at(until, ControlAction::WentOn { since: now });
        self.at(until + CATCH_UP, ControlAction::CaughtUp(slot));
        self.free = until + CATCH_UP;
    }

    pub(super) fn long_away(&mut self, world: &mut World, slot: usize) {
        world.lose_power(slot);
        let back = world.now + LONG_AWAY;
        self.at(back, ControlAction::Begin(slot));
        self.at(back + CATCH_UP, ControlAction::CaughtUp(slot));
        self.free = back + CATCH_UP;
    }

    pub(super) fn freeze(&mut self, world: &mut World, slot: usize) {
        let until = world.now + SEC + world.rng.below(6 * SEC);
        world.freeze(slot, until);
        self.free = until + CATCH_UP;
    }

    pub(super) fn slow_down(&mut self, world: &mut World, slot: usize) {
        let until = world.now + SEC + world.rng.below(6 * SEC);
        let period = PERIOD_LEAST + world.rng.below(PERIOD_MOST - PERIOD_LEAST);
        world.slow_down(slot, until, period);
        self.free = until + CATCH_UP;
    }

    /// The core that was stopped least often is told to stop while an order is under way at it.
    pub(super) fn roll(&mut self, world: &mut World) {
        let running = (0..world.machines.len()).filter(|i| world.machines[*i].is_core && world.is_running(*i));
        let Some(slot) = running.min_by_key(|i| self.rolls.get(i).copied().unwrap_or(0)) else { return };
        *self.rolls.entry(slot).or_default() += 1;
        self.orders.order_to(world, slot);
        let told = world.now + world.rng.below(UNDER_ORDER);
        self.at(told, ControlAction::TellToStop(slot));
    }

    pub(super) fn tell_to_stop(&mut self, world: &mut World, slot: usize) {
        world.log(format!("{} is told to stop", world.machines[slot].addr));
        world.step(slot, Event::Shutdown);
        let kill = world.now + GRACE;
        self.at(world.now + NOTICE, ControlAction::Stop { slot, kill });
    }

    /// Ends once what it holds is held elsewhere.
    pub(super) fn stop(&mut self, world: &mut World, slot: usize, kill: Micros) {
        let s = &world.machines[slot];
        let waits = s.node.as_ref().is_some_and(|n| !n.may_stop(s.clock(world.now)));
        if waits && world.now < kill {
            return self.at(world.now + MAY_END_EVERY, ControlAction::Stop { slot, kill });
        }
        self.note(if waits { "killed" } else { "stopped" });
        self.lose(world, slot, Loss::Process);
    }

    /// The machine loses its disk, and its start on the empty one is ended by power.
    pub(super) fn half_start(&mut self, world: &mut World, slot: usize) {
        world.log(format!("{} loses its disk, and power once more as it starts", world.machines[slot].addr));
        world.lose_power(slot);
        world.lose_disk(slot);
        let begins = return_moment(world);
        self.at(begins, ControlAction::PowerEndsStart(slot));
        self.free = begins + CATCH_UP;
    }

    /// Its process never spoke; the file that bears its id has lasted or not.
    pub(super) fn power_ends_start(&mut self, world: &mut World, slot: usize) {
        world.start(slot);
        world.lose_power(slot);
        if world.rng.chance(50) {
            world.lose_disk(slot);
        }
        self.comes_back(world, slot);
    }

    /// A front that has just accepted work loses power, for good only if enough of them are left.
    pub(super) fn lose_after_work(&mut self, world: &mut World, slot: usize, gone: bool) {
        let gone_already = world.machines.iter().filter(|s| !s.is_core && s.is_removed).count();
        let loss = if gone && gone_already < GONE_MOST { Loss::Machine } else { Loss::Power };
        self.lose(world, slot, loss);
    }

    pub(super) fn lose_all(&mut self, world: &mut World, loss: Loss, which: impl Fn(&World, usize) -> bool) {
        for slot in 0..world.machines.len() {
            if which(world, slot) {
                self.lose(world, slot, loss);
            }
        }
    }
}
