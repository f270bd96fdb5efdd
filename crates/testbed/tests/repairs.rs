//! Losses that follow one another as closely as they are allowed, in virtual time.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_testbed::sim::{MajorityContact, Profile, Run, World, run};

/// Whatever goes, all voters have taken over and all nodes are fresh 4 s after the last return;
/// the profile itself breaks the run where they are not.
fn repaired(name: &str, seeds: std::ops::Range<u64>) {
    let p = Profile::named(name).expect("a profile");
    for s in seeds {
        let r = run(Run::new(s, p));
        assert!(r.breaches.is_empty(), "{name} seed {s}:\n{}\n{:#?}", r.trace.join("\n"), r.breaches);
        assert!(r.full.len() > 10, "{name} seed {s}: only {} losses", r.full.len());
        assert!(r.full.iter().all(|f| f.1 < 4 * SEC), "{name} seed {s}: {:?}", r.full);
        // No change is refused while a majority could answer, and hardly a call without need.
        assert!(r.refused.is_empty() && r.done > 50, "{name} seed {s}: {} done, {:#?}", r.done, r.refused);
        assert!(r.needless * 20 < r.calls, "{name} seed {s}: {} of {} calls", r.needless, r.calls);
    }
}

#[test]
fn a_loss_right_after_a_repair_is_borne() {
    repaired("repairs", 1..5);
}

/// Seeds that broke: a window of a former life went on for a second length after all power was
/// lost (142), and a front was not fresh in time (13, 142).
#[test]
fn seeds_that_broke_once_hold() {
    repaired("repairs", 13..14);
    repaired("repairs", 142..143);
}

#[test]
fn two_losses_right_after_two_repairs_are_borne() {
    repaired("repairs_two", 1..3);
}

/// What the check above builds on: a refusal is without need unless its node had lost the majority
/// since a second before it was asked.
#[test]
fn a_refusal_is_needless_while_a_majority_could_answer() {
    const NEXT: Micros = 10 * MS;
    let mut w = World::new(1, 3, 1, 1);
    let mut touch = MajorityContact::default();
    let run_on = |w: &mut World, touch: &mut MajorityContact, until: Micros| {
        while w.now < until {
            w.run(w.now + NEXT);
            touch.observe(w);
        }
    };
    run_on(&mut w, &mut touch, 6 * SEC);
    assert!(!w.safety.committed.is_empty(), "no version yet");
    let asked = w.now;
    run_on(&mut w, &mut touch, asked + SEC);
    assert!((0..4).all(|i| touch.is_needless_rejection(i, asked)), "all were in touch");
    assert!(!touch.is_needless_rejection(0, SEC), "its majority came later than that");

    // One core is cut off from all: it alone has a reason.
    let until = w.now + 2 * SEC;
    for j in 1..4 {
        w.blocked_links.insert((0, j), until);
        w.blocked_links.insert((j, 0), until);
    }
    let asked = w.now;
    run_on(&mut w, &mut touch, asked + SEC);
    assert_eq!((0..4).map(|i| touch.is_needless_rejection(i, asked)).collect::<Vec<_>>(), [false, true, true, true]);

    // It is back: it has a reason for a second.
    run_on(&mut w, &mut touch, until + 2 * SEC);
    assert!(!touch.is_needless_rejection(0, until + SEC / 2) && touch.is_needless_rejection(0, until + SEC + NEXT));

    // What is sent to and from one core waits: so it is with it.
    let until = w.now + 2 * SEC;
    w.frames_held_until.insert(0, until);
    let asked = w.now;
    run_on(&mut w, &mut touch, asked + SEC);
    assert_eq!((0..4).map(|i| touch.is_needless_rejection(i, asked)).collect::<Vec<_>>(), [false, true, true, true]);
    run_on(&mut w, &mut touch, until + 2 * SEC);
    assert!(touch.is_needless_rejection(0, until + SEC + NEXT));

    // A front begins anew and its list names that core alone, which is cut off again: nobody can
    // have told it of the others.
    let until = w.now + 2 * SEC;
    for j in 1..4 {
        w.blocked_links.insert((0, j), until);
        w.blocked_links.insert((j, 0), until);
    }
    w.kill(3);
    w.start(3);
    let list = vec![w.machines[0].addr.clone()];
    w.machines[3].node.as_mut().expect("it runs").settings.seeds = list;
    run_on(&mut w, &mut touch, until - 2 * NEXT);
    assert!(!touch.is_needless_rejection(3, until - 3 * NEXT));
    run_on(&mut w, &mut touch, until + 2 * SEC);
    assert!(touch.is_needless_rejection(3, until + SEC + NEXT));

    // Two of three are down: nobody can answer.
    w.kill(1);
    w.kill(2);
    let asked = w.now;
    run_on(&mut w, &mut touch, asked + NEXT);
    assert!((0..4).all(|i| !touch.is_needless_rejection(i, asked)));
}
