//! Partitions of one core: the choice of the core, the kind of the partition, and the orders and workers that reach
//! the core during the partition and at its end.

use super::losses::Loss;
use super::plan::{CATCH_UP_TIME, PartitionKind};
use super::{Control, ControlAction};
use crate::sim::operators::orders::PinnedTarget;
use crate::sim::world::World;
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::node::Event;

/// The time-out of an attempt to connect that nobody answers, in microseconds.
const CONNECT_TIMEOUT: Micros = 300 * MS;
/// The pause after an attempt to connect that was refused, in microseconds.
const REFUSED_CONNECT_PAUSE: Micros = 160 * MS;

impl Control {
    /// Chooses the core that acknowledged last, that was read last, that has the oldest disk, that was partitioned
    /// least often, or the drawn one.
    fn choose_partition_target(&mut self, world: &mut World, drawn: usize) -> usize {
        let (name, chosen) = match world.rng.next_below(6) {
            0 | 1 => ("leader", self.operator.last_acknowledging_machine),
            2 => ("reader", self.operator.last_read_machine),
            3 => ("oldest", world.oldest_disks().first().copied()),
            4 => ("turn", self.least_partitioned_core(world)),
            _ => ("drawn", None),
        };
        let machine = chosen.filter(|i| world.is_running(*i)).unwrap_or(drawn);
        self.count_variant(name);
        machine
    }

    /// Returns the running core that was partitioned least often.
    fn least_partitioned_core(&self, world: &World) -> Option<usize> {
        let running = (0..world.machines.len()).filter(|i| world.machines[*i].is_core && world.is_running(*i));
        running.min_by_key(|i| self.partition_counts.get(i).copied().unwrap_or(0))
    }

    /// Partitions one core from all others for up to 21 seconds.
    pub(super) fn partition(&mut self, world: &mut World, drawn: usize, kind: PartitionKind) {
        let until = world.now + SEC + world.rng.next_below(20 * SEC);
        let machine = self.choose_partition_target(world, drawn);
        *self.partition_counts.entry(machine).or_default() += 1;
        world.log(format!("{} is partitioned from all other cores until {until}", world.machines[machine].addr));
        let others: Vec<usize> =
            (0..world.machines.len()).filter(|i| *i != machine && world.machines[*i].is_core).collect();
        for other in &others {
            block_links(world, machine, *other, kind, until);
        }
        match kind {
            PartitionKind::Seeds => self.change_seeds(world, machine, until),
            PartitionKind::Both => self.restart_both_sides(world, machine, &others),
            _ => {}
        }
        self.send_orders_to_partitioned(world, machine, until);
        self.next_fault_at = until + CATCH_UP_TIME;
    }

    /// Changes the seeds of running nodes to the partitioned core, and restarts some fronts in the middle of the
    /// partition.
    fn change_seeds(&mut self, world: &mut World, machine: usize, until: Micros) {
        let middle = world.now + (until - world.now) / 2;
        let seeds = vec![world.machines[machine].addr.clone()];
        for node in 0..world.machines.len() {
            if !world.machines[node].is_core && world.rng.chance_percent(30) {
                world.kill(node);
                self.schedule(middle, ControlAction::Start(node));
            } else if world.is_running(node) {
                world.step(node, Event::SeedsChanged(seeds.clone()));
            }
        }
    }

    /// Restarts the partitioned core, then the other cores one by one.
    fn restart_both_sides(&mut self, world: &mut World, machine: usize, others: &[usize]) {
        world.kill(machine);
        self.schedule(world.now + 300 * MS, ControlAction::Start(machine));
        for (position, other) in others.iter().enumerate() {
            let due = world.now + (2 + position as u64 * 2) * SEC;
            self.schedule(due, ControlAction::Lose { machine: *other, loss: Loss::Process });
        }
    }

    /// Sends orders to the core during the partition and at its end; workers leave and report there.
    fn send_orders_to_partitioned(&mut self, world: &mut World, machine: usize, until: Micros) {
        let (race, drain, is_exclusive) =
            (world.rng.chance_percent(40), world.rng.chance_percent(40), world.rng.chance_percent(30));
        self.operator.submit(world, Some(PinnedTarget { machine, is_exclusive }));
        self.schedule(until, ControlAction::EndPartition { machine, race, drain, is_exclusive });
        self.count_variant(if is_exclusive { "hard" } else { "meet" });
        if world.rng.chance_percent(30) {
            self.count_variant("lure");
            world.preferred_report_target = Some((machine, until));
            self.start_departure(world, Some(machine));
        }
    }
}

/// Blocks the links between two machines in the way of a partition kind.
fn block_links(world: &mut World, machine: usize, other: usize, kind: PartitionKind, until: Micros) {
    let (outgoing, incoming) = ((machine, other), (other, machine));
    match kind {
        PartitionKind::Silent => {
            world.stalled_links.insert(outgoing, until);
            world.stalled_links.insert(incoming, until);
        }
        PartitionKind::Reset => {
            world.drop_frames_in_flight(machine, other);
            world.close_connections(machine, other, until, CONNECT_TIMEOUT);
        }
        PartitionKind::Refuse => world.close_connections(machine, other, until, REFUSED_CONNECT_PAUSE),
        PartitionKind::OneWayOut => world.lose_from(machine, other, until),
        PartitionKind::OneWayIn => world.lose_from(other, machine, until),
        PartitionKind::Seeds | PartitionKind::Both => {
            world.lose_from(machine, other, until);
            world.lose_from(other, machine, until);
        }
    }
}
