//! What the simulator plays of connections: a loss of power, a process that ends, a cut that both ends know of.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_testbed::sim::{Connections, Profile, Run, World, run};

const CORES: usize = 3;

#[test]
fn a_connection_to_a_machine_that_lost_power_swallows_frames_until_it_is_given_up() {
    let mut c = Connections::default();
    assert!(c.carries(1, 0, true, 0), "a new connection");
    c.power_lost(0, SEC);
    let first = 1_200 * MS;
    for t in [first, first + 400 * MS, first + 1_499 * MS] {
        assert!(!c.carries(1, 0, true, t), "{t}: the sender doesn't know");
    }
    assert!(c.carries(2, 0, true, first), "who had no connection opens one");
    assert!(c.carries(1, 0, true, first + 1_500 * MS), "its kernel gave it up");
    assert_eq!(c.swallowed, 3);
}

#[test]
fn it_is_opened_anew_sooner_where_the_sender_is_told() {
    let mut c = Connections::default();
    assert!(c.carries(1, 0, true, 0));
    c.power_lost(0, SEC);
    assert!(!c.carries(1, 0, true, SEC + MS));
    c.reconnect(1, 0);
    assert!(c.carries(1, 0, true, SEC + 2 * MS));
    // A connection that nothing is written into is probed.
    c.power_lost(0, 2 * SEC);
    assert!(c.carries(1, 0, true, 5 * SEC));
}

#[test]
fn both_ends_know_that_a_process_ended_and_the_lost_machine_has_no_connections() {
    let mut c = Connections::default();
    assert!(c.carries(1, 0, true, 0) && c.carries(0, 1, true, 0));
    c.process_ended(0);
    assert!(c.carries(1, 0, true, MS) && c.carries(0, 1, true, MS));
    c.power_lost(0, 2 * MS);
    assert!(c.carries(0, 1, true, 3 * MS), "its new life opens its own");
    assert!(!c.carries(1, 0, true, 3 * MS));
    // While it is away no connection is opened, and so none swallows anything later.
    c.reconnect(1, 0);
    assert!(c.carries(1, 0, false, 4 * MS));
    c.power_lost(0, 5 * MS);
    assert!(c.carries(1, 0, true, 6 * MS));
}

fn founded() -> World {
    let mut w = World::new(1, CORES, 3, 1);
    w.run(6 * SEC);
    assert!(!w.safety.committed.is_empty(), "no version yet");
    w
}

fn away(w: &mut World, t: Micros) {
    let t = w.now + t;
    w.run(t);
    w.start(0);
    let t = w.now + 2 * SEC;
    w.run(t);
}

#[test]
fn frames_to_a_machine_are_swallowed_after_a_loss_of_power_only() {
    let mut killed = founded();
    killed.kill(0);
    away(&mut killed, 600 * MS);
    assert_eq!(killed.connections.swallowed, 0);

    let mut dark = founded();
    dark.lose_power(0);
    away(&mut dark, 600 * MS);
    assert!(dark.connections.swallowed > 10, "{} frames", dark.connections.swallowed);
    let fresh = |i: &usize| {
        let s = &dark.machines[*i];
        s.node.as_ref().is_some_and(|n| n.is_fresh(s.clock(dark.now)))
    };
    assert!((0..dark.machines.len()).all(|i| fresh(&i)), "all serve, as connections were opened anew");
}

/// A machine that is five times slower does what comes in the first fifth of each period.
#[test]
fn a_slow_machine_does_in_turn_what_came_in_the_rest_of_its_period() {
    let mut w = founded();
    let until = w.now + SEC;
    w.slow_down(0, until, 100 * MS);
    let begun = until / (100 * MS) * (100 * MS) - 500 * MS;
    assert_eq!(w.machines[0].next_run_time(begun), begun);
    assert_eq!(w.machines[0].next_run_time(begun + 19 * MS), begun + 19 * MS);
    assert_eq!(w.machines[0].next_run_time(begun + 20 * MS), begun + 100 * MS);
    assert_eq!(w.machines[0].next_run_time(begun + 99 * MS), begun + 100 * MS);
    assert_eq!(w.machines[0].next_run_time(until), until, "it is over");
    assert_eq!(w.machines[1].next_run_time(begun + 50 * MS), begun + 50 * MS, "the others are not slow");
}

#[test]
fn the_disk_that_has_lasted_longest_is_that_of_a_core_that_never_lost_it() {
    let mut w = founded();
    assert_eq!(w.oldest_disks(), [0, 1, 2]);
    w.lose_power(0);
    w.lose_disk(0);
    assert_eq!(w.oldest_disks(), [1, 2], "it doesn't run");
    w.start(0);
    assert_eq!(w.oldest_disks(), [1, 2, 0]);
    w.lose_power(1);
    w.start(1);
    assert_eq!(w.oldest_disks(), [1, 2, 0], "a loss of power alone leaves the disk");
}

#[test]
fn each_profile_with_losses_of_power_has_frames_swallowed() {
    for name in ["power", "blackout_cores", "members", "repairs", "control_numbers", "control_second_loss"] {
        let r = run(Run::new(1, Profile::named(name).expect("a profile")));
        assert!(r.breaches.is_empty(), "{name}:\n{}\n{:#?}", r.trace.join("\n"), r.breaches);
        assert!(r.swallowed > 50, "{name}: {} frames", r.swallowed);
    }
}

/// Whether two cores are linked right before the end of a cut, and a second after it.
fn linked(cut: impl FnOnce(&mut World, Micros)) -> (bool, bool) {
    let mut w = founded();
    let until = w.now + 5 * SEC;
    cut(&mut w, until);
    w.run(until - MS);
    let during = w.linked(0, 1);
    w.run(until + SEC);
    (during, w.linked(0, 1))
}

#[test]
fn a_cut_that_both_ends_know_of_ends_with_its_time() {
    assert_eq!(linked(|w, until| w.close_between(0, 1, until, 300 * MS)), (false, true));
    assert_eq!(linked(|w, until| w.close_between(0, 1, until, 160 * MS)), (false, true));
}

/// A frame that is younger than a second waits for the connection; what was under way is lost by a reset alone.
#[test]
fn frames_wait_for_a_connection_that_is_refused_and_those_under_way_are_lost_by_a_reset() {
    let before = founded();
    let under_way = before.frames_between(0, 1);
    let mut w = founded();
    w.stalled_links.insert((0, 1), w.now + 5 * SEC);
    let t = w.now + SEC;
    w.run(t);
    let stalled = w.frames_between(0, 1);
    assert!(stalled > under_way, "{stalled} frames wait");
    w.lose_frames_between(0, 1);
    assert_eq!(w.frames_between(0, 1), 0);

    let mut w = founded();
    let until = w.now + 3 * SEC;
    w.close_between(0, 1, until, 160 * MS);
    w.run(until - 1_100 * MS);
    assert_eq!(w.frames_between(0, 1), 0, "what is older is dropped");
    w.run(until - MS);
    let waits = w.frames_between(0, 1);
    assert!(waits > 0, "what is younger waits");
    w.run(until + 200 * MS);
    assert!(w.frames_between(0, 1) < waits, "it was sent");
}
