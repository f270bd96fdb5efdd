//! A machine is cut off: which one, in which way, and what meets it during the cut and on its return.

use super::losses::Loss;
use super::plan::{CATCH_UP, PartitionKind};
use super::{Control, ControlAction};
use crate::sim::operators::orders::PinnedTarget;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Event;

/// An attempt to connect that nobody answers takes so long, and one that is refused is made again after this.
const UNANSWERED_ATTEMPT: Micros = 300 * MS;
const REFUSED_ATTEMPT: Micros = 160 * MS;

impl Control {
    /// The one that acknowledged last, that was read last, whose disk has lasted longest, that was cut
    /// off least often, or any.
    fn whom_to_cut_off(&mut self, world: &mut World, drawn: usize) -> usize {
        let (name, chosen) = match world.rng.below(6) {
            0 | 1 => ("leader", self.orders.leader),
            2 => ("reader", self.orders.reader),
            3 => ("oldest", world.oldest_disks().first().copied()),
            4 => ("turn", self.cut_off_least(world)),
            _ => ("drawn", None),
        };
        let slot = chosen.filter(|i| world.is_running(*i)).unwrap_or(drawn);
        self.note(name);
        slot
    }

    /// Of the cores that run, the one that was cut off least often.
    fn cut_off_least(&self, world: &World) -> Option<usize> {
        let running = (0..world.machines.len()).filter(|i| world.machines[*i].is_core && world.is_running(*i));
        running.min_by_key(|i| self.cut_offs.get(i).copied().unwrap_or(0))
    }

    pub(super) fn cut(&mut self, world: &mut World, drawn: usize, cut: PartitionKind) {
        let until = world.now + SEC + world.rng.below(20 * SEC);
        let slot = self.whom_to_cut_off(world, drawn);
        *self.cut_offs.entry(slot).or_default() += 1;
        world.log(format!("{} is cut off until {until}", world.machines[slot].addr));
        let others: Vec<usize> =
            (0..world.machines.len()).filter(|i| *i != slot && world.machines[*i].is_core).collect();
        for other in &others {
            cut_between(world, slot, *other, cut, until);
        }
        match cut {
            PartitionKind::Seeds => self.change_seeds(world, slot, until),
            PartitionKind::Both => self.restart_both_sides(world, slot, &others),
            _ => {}
        }
        self.meet(world, slot, until);
        self.free = until + CATCH_UP;
    }

    /// New lists of seeds name the machine that is cut off, and some fronts are restarted.
    fn change_seeds(&mut self, world: &mut World, slot: usize, until: Micros) {
        let mid = world.now + (until - world.now) / 2;
        let seeds = vec![world.machines[slot].addr.clone()];
        for slot in 0..world.machines.len() {
            if !world.machines[slot].is_core && world.rng.chance(30) {
                world.kill(slot);
                self.at(mid, ControlAction::Begin(slot));
            } else if world.is_running(slot) {
                world.step(slot, Event::SeedsChanged(seeds.clone()));
            }
        }
    }

    /// The machine that is cut off is restarted, then the others that count, one by one.
    fn restart_both_sides(&mut self, world: &mut World, slot: usize, others: &[usize]) {
        world.kill(slot);
        self.at(world.now + 300 * MS, ControlAction::Begin(slot));
        for (place, other) in others.iter().enumerate() {
            let due = world.now + (2 + place as u64 * 2) * SEC;
            self.at(due, ControlAction::Lose { slot: *other, loss: Loss::Process });
        }
    }

    /// Orders are sent to the machine during the cut and at its end; workers leave and report there.
    fn meet(&mut self, world: &mut World, slot: usize, until: Micros) {
        let (race, drain, hard) = (world.rng.chance(40), world.rng.chance(40), world.rng.chance(30));
        self.orders.order(world, Some(PinnedTarget { slot, hard }));
        self.at(until, ControlAction::Meets { slot, race, drain, hard });
        self.note(if hard { "hard" } else { "meet" });
        if world.rng.chance(30) {
            self.note("lure");
            world.preferred_report_target = Some((slot, until));
            self.leave(world, Some(slot));
        }
    }
}

fn cut_between(world: &mut World, slot: usize, other: usize, cut: PartitionKind, until: Micros) {
    let (out, into) = ((slot, other), (other, slot));
    match cut {
        PartitionKind::Silent => {
            world.stalled_links.insert(out, until);
            world.stalled_links.insert(into, until);
        }
        PartitionKind::Reset => {
            world.lose_frames_between(slot, other);
            world.close_between(slot, other, until, UNANSWERED_ATTEMPT);
        }
        PartitionKind::Refuse => world.close_between(slot, other, until, REFUSED_ATTEMPT),
        PartitionKind::OneWayOut => world.lose_from(slot, other, until),
        PartitionKind::OneWayIn => world.lose_from(other, slot, until),
        PartitionKind::Seeds | PartitionKind::Both => {
            world.lose_from(slot, other, until);
            world.lose_from(other, slot, until);
        }
    }
}
