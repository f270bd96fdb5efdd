//! The simulator's model of connections: after a power loss, the end of a process, and a partition that both ends
//! detect.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_testbed::sim::{Connections, Profile, Run, World, run};

const CORES: usize = 3;

/// Power loss sends no reset: the sender keeps its connection, and its frames are lost until its kernel times out.
#[test]
fn a_connection_to_a_machine_that_lost_power_loses_frames_until_it_times_out() {
    let mut connections = Connections::default();
    assert!(connections.can_deliver(1, 0, true, 0), "a new connection");
    connections.power_lost(0, SEC);
    let first = 1_200 * MS;
    for time in [first, first + 400 * MS, first + 1_499 * MS] {
        assert!(!connections.can_deliver(1, 0, true, time), "{time}: the sender has not detected the loss");
    }
    assert!(connections.can_deliver(2, 0, true, first), "a sender without a connection opens one");
    assert!(connections.can_deliver(1, 0, true, first + 1_500 * MS), "the kernel of the sender closed the connection");
    assert_eq!(connections.frames_lost_in_stale_connections, 3);
}

/// A sender that reconnects, or whose idle connection is probed, doesn't keep the dead connection until the time-out.
#[test]
fn a_dead_connection_is_reopened_before_its_time_out_by_a_reconnect_or_a_probe() {
    let mut connections = Connections::default();
    assert!(connections.can_deliver(1, 0, true, 0));
    connections.power_lost(0, SEC);
    assert!(!connections.can_deliver(1, 0, true, SEC + MS));
    connections.reconnect(1, 0);
    assert!(connections.can_deliver(1, 0, true, SEC + 2 * MS));
    // A connection without writes is probed.
    connections.power_lost(0, 2 * SEC);
    assert!(connections.can_deliver(1, 0, true, 5 * SEC));
}

/// The end of a process closes its connections at both ends; a power loss leaves those of the peers open.
#[test]
fn both_ends_detect_the_end_of_a_process_and_a_machine_without_power_has_no_connections() {
    let mut connections = Connections::default();
    assert!(connections.can_deliver(1, 0, true, 0) && connections.can_deliver(0, 1, true, 0));
    connections.process_ended(0);
    assert!(connections.can_deliver(1, 0, true, MS) && connections.can_deliver(0, 1, true, MS));
    connections.power_lost(0, 2 * MS);
    assert!(connections.can_deliver(0, 1, true, 3 * MS), "the new incarnation opens its own connection");
    assert!(!connections.can_deliver(1, 0, true, 3 * MS));
    // While the machine is down no connection to it is opened, so none can lose frames later.
    connections.reconnect(1, 0);
    assert!(connections.can_deliver(1, 0, false, 4 * MS));
    connections.power_lost(0, 5 * MS);
    assert!(connections.can_deliver(1, 0, true, 6 * MS));
}

/// A world whose cores have committed their first version.
fn bootstrapped_world() -> World {
    let mut world = World::new(1, CORES, 3, 1);
    world.run(6 * SEC);
    assert!(!world.safety.committed.is_empty(), "no version yet");
    world
}

/// Restarts core 0 after a downtime, and lets two more seconds pass.
fn restart_after(world: &mut World, downtime: Micros) {
    let restart_at = world.now + downtime;
    world.run(restart_at);
    world.start(0);
    let until = world.now + 2 * SEC;
    world.run(until);
}

/// Guards the model of a power loss: only there do peers lose frames, and the fleet recovers by reconnecting.
#[test]
fn frames_to_a_machine_are_lost_after_a_power_loss_only() {
    let mut killed = bootstrapped_world();
    killed.kill(0);
    restart_after(&mut killed, 600 * MS);
    assert_eq!(killed.connections.frames_lost_in_stale_connections, 0);

    let mut without_power = bootstrapped_world();
    without_power.lose_power(0);
    restart_after(&mut without_power, 600 * MS);
    assert!(
        without_power.connections.frames_lost_in_stale_connections > 10,
        "{} frames",
        without_power.connections.frames_lost_in_stale_connections
    );
    let is_fresh = |i: &usize| {
        let machine = &without_power.machines[*i];
        machine.node.as_ref().is_some_and(|node| node.is_fresh(machine.clock(without_power.now)))
    };
    assert!((0..without_power.machines.len()).all(|i| is_fresh(&i)), "all serve, as connections were reopened");
}

/// A machine that is five times slower runs only in the first fifth of each period and defers later events.
#[test]
fn a_slow_machine_defers_events_to_the_running_part_of_its_next_period() {
    let mut world = bootstrapped_world();
    let until = world.now + SEC;
    world.slow_down(0, until, 100 * MS);
    let period_begin = until / (100 * MS) * (100 * MS) - 500 * MS;
    assert_eq!(world.machines[0].next_run_time(period_begin), period_begin);
    assert_eq!(world.machines[0].next_run_time(period_begin + 19 * MS), period_begin + 19 * MS);
    assert_eq!(world.machines[0].next_run_time(period_begin + 20 * MS), period_begin + 100 * MS);
    assert_eq!(world.machines[0].next_run_time(period_begin + 99 * MS), period_begin + 100 * MS);
    assert_eq!(world.machines[0].next_run_time(until), until, "the slow mode is over");
    assert_eq!(
        world.machines[1].next_run_time(period_begin + 50 * MS),
        period_begin + 50 * MS,
        "the others are not slow"
    );
}

/// Guards the order of disks by age: a replaced disk counts as new, a power loss alone doesn't change the age.
#[test]
fn the_oldest_disk_belongs_to_a_running_core_that_never_lost_its_disk() {
    let mut world = bootstrapped_world();
    assert_eq!(world.oldest_disks(), [0, 1, 2]);
    world.lose_power(0);
    world.lose_disk(0);
    assert_eq!(world.oldest_disks(), [1, 2], "core 0 doesn't run");
    world.start(0);
    assert_eq!(world.oldest_disks(), [1, 2, 0]);
    world.lose_power(1);
    world.start(1);
    assert_eq!(world.oldest_disks(), [1, 2, 0], "a power loss alone leaves the disk");
}

/// Guards against profiles whose power losses no longer reach the network model.
#[test]
fn each_profile_with_power_losses_loses_frames() {
    for name in ["power", "blackout_cores", "members", "repairs", "control_numbers", "control_second_loss"] {
        let summary = run(Run::new(1, Profile::named(name).expect("a profile")));
        assert!(summary.violations.is_empty(), "{name}:\n{}\n{:#?}", summary.trace.join("\n"), summary.violations);
        assert!(
            summary.frames_lost_in_stale_connections > 50,
            "{name}: {} frames",
            summary.frames_lost_in_stale_connections
        );
    }
}

/// Returns whether two cores are linked right before the end of a partition, and a second after it.
fn linked_before_and_after(partition: impl FnOnce(&mut World, Micros)) -> (bool, bool) {
    let mut world = bootstrapped_world();
    let until = world.now + 5 * SEC;
    partition(&mut world, until);
    world.run(until - MS);
    let is_linked_before = world.is_linked(0, 1);
    world.run(until + SEC);
    (is_linked_before, world.is_linked(0, 1))
}

/// Guards against reconnects that end a partition too early, or leave the cores unlinked after it.
#[test]
fn a_partition_that_both_ends_detect_ends_on_time() {
    assert_eq!(linked_before_and_after(|world, until| world.close_connections(0, 1, until, 300 * MS)), (false, true));
    assert_eq!(linked_before_and_after(|world, until| world.close_connections(0, 1, until, 160 * MS)), (false, true));
}

/// A frame that is younger than a second waits for a connection; frames in flight are lost by a reset only.
#[test]
fn frames_wait_for_a_refused_connection_and_frames_in_flight_are_lost_by_a_reset() {
    let initial = bootstrapped_world();
    let in_flight = initial.frames_in_flight(0, 1);
    let mut world = bootstrapped_world();
    world.stalled_links.insert((0, 1), world.now + 5 * SEC);
    let stalled_until = world.now + SEC;
    world.run(stalled_until);
    let stalled = world.frames_in_flight(0, 1);
    assert!(stalled > in_flight, "{stalled} frames wait");
    world.drop_frames_in_flight(0, 1);
    assert_eq!(world.frames_in_flight(0, 1), 0);

    let mut world = bootstrapped_world();
    let until = world.now + 3 * SEC;
    world.close_connections(0, 1, until, 160 * MS);
    world.run(until - 1_100 * MS);
    assert_eq!(world.frames_in_flight(0, 1), 0, "older frames are dropped");
    world.run(until - MS);
    let waiting = world.frames_in_flight(0, 1);
    assert!(waiting > 0, "younger frames wait");
    world.run(until + 200 * MS);
    assert!(world.frames_in_flight(0, 1) < waiting, "the waiting frames were sent");
}
