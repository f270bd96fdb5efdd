//! Losses that follow one another as closely as a fleet must tolerate.
//!
//! The next loss comes as soon as the last machine has had its time to catch up. Meanwhile disks may be slow, the
//! machine that was started last may be lost again, and all machines may lose power during a repair.

use crate::sim::faults::membership_losses::MembershipFaults;
use crate::sim::faults::profiles::Fault;
use crate::sim::operators::traffic::Operators;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};

/// How long disks are slow after a loss, in microseconds: longer than the time a machine has to catch up.
const SLOW_DISK_TIME: Micros = 6 * SEC;
/// The upper bound of a freeze or a partition of one machine, in microseconds.
const MAX_ISOLATION: Micros = 7 * SEC;

/// The kinds of losses and their relative weights.
const LOSSES: &[(u64, RepairLoss)] = &[
    (2, RepairLoss::Membership(Fault::ReplaceCore { requests_shutdown: true, starts_successor_first: true })),
    (2, RepairLoss::Membership(Fault::ReplaceCore { requests_shutdown: true, starts_successor_first: false })),
    (1, RepairLoss::Membership(Fault::ReplaceCore { requests_shutdown: false, starts_successor_first: true })),
    (2, RepairLoss::Membership(Fault::ReplaceCore { requests_shutdown: false, starts_successor_first: false })),
    (2, RepairLoss::Membership(Fault::WipeCores)),
    (2, RepairLoss::Membership(Fault::WipeAfterAck)),
    (1, RepairLoss::Membership(Fault::PowerLossAll)),
    (3, RepairLoss::LastStarted),
    (1, RepairLoss::Frozen),
    (1, RepairLoss::Partitioned),
];

/// A loss that starts a repair.
#[derive(Clone, Copy, Debug)]
enum RepairLoss {
    /// A fault of [`MembershipFaults`].
    Membership(Fault),
    /// The machine that was started last loses its disk, possibly again.
    LastStarted,
    /// A core is frozen for a while.
    Frozen,
    /// A core is partitioned from all others for a while.
    Partitioned,
}

/// Injects one loss after another, each as soon as the repair of the last one is complete.
#[derive(Debug, Default)]
pub struct RepeatedLosses {
    /// The next loss comes no earlier than this.
    next_loss_at: Micros,
    /// When all machines lose power during the current repair, if they do.
    power_loss_at: Option<Micros>,
}

impl RepeatedLosses {
    /// Cuts the power if that is due, and starts the next loss once nothing counts as lost.
    pub fn tick(&mut self, world: &mut World, operators: &mut Operators, membership: &mut MembershipFaults) {
        if self.power_loss_at.is_some_and(|due| world.now >= due) {
            self.power_loss_at = None;
            if membership.is_repairing() {
                membership.cut_power_during_repair(world);
            }
        }
        if membership.is_idle() && world.now >= self.next_loss_at && world.now > 5 * SEC {
            self.start_loss(world, operators, membership);
        }
    }

    /// Draws a loss and starts it, in some cases with slow disks or a later power loss.
    fn start_loss(&mut self, world: &mut World, operators: &mut Operators, membership: &mut MembershipFaults) {
        self.next_loss_at = world.now + world.rng.next_below(100 * MS);
        self.power_loss_at = world.rng.chance_percent(25).then(|| world.now + world.rng.next_below(4 * SEC));
        if world.rng.chance_percent(30) {
            world.log("all disks of cores are slow".into());
            let until = world.now + SLOW_DISK_TIME;
            world.machines.iter_mut().filter(|s| s.is_core).for_each(|s| s.disk.slow_until = until);
        }
        match draw_loss(world) {
            RepairLoss::Membership(fault) => {
                membership.inject(world, operators, fault);
            }
            RepairLoss::LastStarted => {
                if let Some(machine) = membership.last_started_core(world) {
                    membership.lose_disks(world, &[machine]);
                }
            }
            RepairLoss::Frozen => isolate_core(world, membership, true),
            RepairLoss::Partitioned => isolate_core(world, membership, false),
        }
    }
}

/// Draws a loss by the weights of [`LOSSES`].
fn draw_loss(world: &mut World) -> RepairLoss {
    let mut point = world.rng.next_below(LOSSES.iter().map(|entry| entry.0).sum());
    for (weight, loss) in LOSSES {
        if point < *weight {
            return *loss;
        }
        point -= weight;
    }
    LOSSES[0].1
}

/// Freezes or partitions a drawn core, which recovers by itself with its state.
fn isolate_core(world: &mut World, membership: &mut MembershipFaults, is_frozen: bool) {
    let Some(machine) = MembershipFaults::draw_cores(world, 1).first().copied() else { return };
    let until = world.now + SEC + world.rng.next_below(MAX_ISOLATION - SEC);
    world.log(format!(
        "{} is {} until {until}",
        world.machines[machine].addr,
        if is_frozen { "frozen" } else { "partitioned from all others" }
    ));
    if is_frozen {
        world.freeze(machine, until);
    } else {
        for other in 0..world.machines.len() {
            world.blocked_links.insert((machine, other), until);
            world.blocked_links.insert((other, machine), until);
        }
    }
    membership.begin_transient_loss(world.now, until);
}
