//! Losses that follow one another as closely as a fleet must tolerate, in virtual time.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_testbed::sim::{MajorityContact, Profile, Run, World, run};

/// Asserts that each loss is repaired: all voters are ready and all nodes fresh within 4 s of the last return.
///
/// The profile itself reports a violation otherwise.
fn assert_losses_repaired(name: &str, seeds: std::ops::Range<u64>) {
    let profile = Profile::named(name).expect("a profile");
    for seed in seeds {
        let summary = run(Run::new(seed, profile));
        summary.assert_no_violation(name, seed);
        assert!(
            summary.voters_ready_after.len() > 10,
            "{name} seed {seed}: only {} losses",
            summary.voters_ready_after.len()
        );
        assert!(
            summary.voters_ready_after.iter().all(|times| times.1 < 4 * SEC),
            "{name} seed {seed}: {:?}",
            summary.voters_ready_after
        );
        // No change is rejected while a majority could answer, and fewer than one call in 20 needlessly.
        assert!(
            summary.needless_change_rejections.is_empty() && summary.committed > 50,
            "{name} seed {seed}: {} done, {:#?}",
            summary.committed,
            summary.needless_change_rejections
        );
        assert!(
            summary.needless_rejections * 20 < summary.calls,
            "{name} seed {seed}: {} of {} calls",
            summary.needless_rejections,
            summary.calls
        );
    }
}

/// Guards against a fleet that tolerates a loss only some time after the last repair.
#[test]
fn a_loss_right_after_a_repair_is_tolerated() {
    assert_losses_repaired("repairs", 1..5);
}

/// Seeds that failed before: a quota window of a former incarnation went on for a second length after all machines lost
/// power (142), and a front was not fresh in time (13, 142).
#[test]
fn seeds_that_failed_before_pass() {
    assert_losses_repaired("repairs", 13..14);
    assert_losses_repaired("repairs", 142..143);
}

/// Guards against two losses at once that come right after the repair of the last two.
#[test]
fn two_losses_right_after_two_repairs_are_borne() {
    assert_losses_repaired("repairs_two", 1..3);
}

/// Guards the check for needless rejections: a rejection is needless unless its node lost contact with the majority at
/// some time since a second before the request.
#[test]
fn a_rejection_is_needless_while_a_majority_could_answer() {
    const STEP: Micros = 10 * MS;
    let mut world = World::new(1, 3, 1, 1);
    let mut contact = MajorityContact::default();
    let run_on = |world: &mut World, contact: &mut MajorityContact, until: Micros| {
        while world.now < until {
            world.run(world.now + STEP);
            contact.observe(world);
        }
    };
    run_on(&mut world, &mut contact, 6 * SEC);
    assert!(!world.safety.committed.is_empty(), "no version yet");
    let requested_at = world.now;
    run_on(&mut world, &mut contact, requested_at + SEC);
    assert!(
        (0..4).all(|machine| contact.is_needless_rejection(machine, requested_at)),
        "all nodes had contact with the majority"
    );
    assert!(!contact.is_needless_rejection(0, SEC), "no node had contact with the majority that early");

    // One core is partitioned from all others: only its rejections are justified.
    let until = world.now + 2 * SEC;
    for other in 1..4 {
        world.blocked_links.insert((0, other), until);
        world.blocked_links.insert((other, 0), until);
    }
    let requested_at = world.now;
    run_on(&mut world, &mut contact, requested_at + SEC);
    assert_eq!(
        (0..4).map(|machine| contact.is_needless_rejection(machine, requested_at)).collect::<Vec<_>>(),
        [false, true, true, true]
    );

    // The core is back: its rejections are justified for one more second.
    run_on(&mut world, &mut contact, until + 2 * SEC);
    assert!(!contact.is_needless_rejection(0, until + SEC / 2) && contact.is_needless_rejection(0, until + SEC + STEP));

    // All frames from and to one core are held: only its rejections are justified.
    let until = world.now + 2 * SEC;
    world.frames_held_until.insert(0, until);
    let requested_at = world.now;
    run_on(&mut world, &mut contact, requested_at + SEC);
    assert_eq!(
        (0..4).map(|machine| contact.is_needless_rejection(machine, requested_at)).collect::<Vec<_>>(),
        [false, true, true, true]
    );
    run_on(&mut world, &mut contact, until + 2 * SEC);
    assert!(contact.is_needless_rejection(0, until + SEC + STEP));

    // A front restarts with that core as its only seed, and the core is partitioned again: the front can't know the
    // other cores.
    let until = world.now + 2 * SEC;
    for other in 1..4 {
        world.blocked_links.insert((0, other), until);
        world.blocked_links.insert((other, 0), until);
    }
    world.kill(3);
    world.start(3);
    let seeds = vec![world.machines[0].addr.clone()];
    world.machines[3].node.as_mut().expect("it runs").settings.seeds = seeds;
    run_on(&mut world, &mut contact, until - 2 * STEP);
    assert!(!contact.is_needless_rejection(3, until - 3 * STEP));
    run_on(&mut world, &mut contact, until + 2 * SEC);
    assert!(contact.is_needless_rejection(3, until + SEC + STEP));

    // Two of three cores are down: no majority can answer.
    world.kill(1);
    world.kill(2);
    let requested_at = world.now;
    run_on(&mut world, &mut contact, requested_at + STEP);
    assert!((0..4).all(|machine| !contact.is_needless_rejection(machine, requested_at)));
}
