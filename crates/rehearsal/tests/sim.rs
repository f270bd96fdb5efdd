//! The brief's rules under each failure it names, in virtual time from fixed seeds.

use rehearsal::sim::{Ack, Check, Profile, Run, Took, run};
use seating::base::{Cid, Nid, SEC};
use seating::peer::{Core, Decree};
use std::collections::BTreeMap;

fn seeds(name: &str, seeds: impl Iterator<Item = u64>) {
    let p = Profile::named(name).expect("a profile");
    let mut bad = Vec::new();
    for s in seeds {
        let r = run(Run::new(s, p));
        assert!(r.done > 0 && r.taken > 0, "{name} seed {s}: nothing happened");
        if !r.breaches.is_empty() {
            bad.push(format!("{name} seed {s}:\n{}\n{:#?}", r.trace.join("\n"), r.breaches));
        }
    }
    assert!(bad.is_empty(), "{}", bad.join("\n"));
}

#[test]
fn calm() {
    seeds("calm", 1..5);
}

#[test]
fn operators_race() {
    seeds("races", 1..5);
}

#[test]
fn nodes_are_killed() {
    seeds("kills", 1..13);
}

#[test]
fn power_goes_for_many_at_once() {
    // Seed 2 once let a holder that started anew begin with an empty ledger.
    seeds("power", 1..13);
}

#[test]
fn nodes_are_cut_off() {
    // Seed 7082 once let a holder with an old version forget whom it did not know.
    seeds("cuts", (1..12).chain([7082]));
}

#[test]
fn machines_freeze_and_wake() {
    // These once revived a holder whose term had ended.
    seeds("freezes", [121, 129, 134, 145, 163, 203, 210, 250].into_iter().chain(1..7));
}

#[test]
fn wires_stall_and_machines_sleep() {
    seeds("stalls", 1..13);
}

#[test]
fn disks_are_slow_stall_and_fill() {
    seeds("disks", 1..9);
}

#[test]
fn disks_are_lost_one_by_one() {
    // The last two once called a change of the cores unfit that was decided already.
    seeds("wiped", (1..11).chain([2023, 2072]));
}

#[test]
fn zones_part_and_frames_are_lost() {
    // Seed 265 once called a change lost that a digest had skipped.
    seeds("zones", (1..9).chain([265]));
}

#[test]
fn workers_vanish_and_drain() {
    // These once took reports from before a freeze for fresh ones.
    seeds("workers", [114, 115, 156, 176].into_iter().chain(1..5));
}

#[test]
fn all_of_it_at_once() {
    seeds("storm", 1..13);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let p = Profile::named("storm").expect("a profile");
    let (a, b) = (run(Run::new(7, p)), run(Run::new(7, p)));
    assert_eq!((a.frames, a.bytes, a.taken, a.trace), (b.frames, b.bytes, b.taken, b.trace));
}

fn decree(ver: u64, cid: u64) -> Decree {
    let cores = vec![Core { nid: Nid(1), addr: "a".into() }];
    Decree { ver, cid: Cid(cid), fleet: 1, since: 0, old: vec![], cores, body: "{}".into() }
}

fn ack(cid: u64, base: u64, ver: u64, asked: u64, at: u64) -> Ack {
    Ack { cid: Cid(cid), base, ver, asked, at }
}

#[test]
fn the_checker_sees_a_planted_breach() {
    type Plant = fn(&mut Check);
    let plants: [(&str, Plant, &str); 13] = [
        ("nothing", |_| {}, ""),
        (
            "two decided",
            |c| {
                c.holds("a", &decree(1, 5), 0);
                c.holds("b", &decree(1, 6), 0);
            },
            "holds version 1",
        ),
        (
            "same base",
            |c| {
                c.holds("a", &decree(1, 5), 0);
                c.ack(ack(5, 0, 1, 0, 1));
                c.ack(ack(6, 0, 1, 0, 1));
            },
            "both accepted",
        ),
        (
            "refused, then in force",
            |c| {
                c.refuse(Cid(5), 0);
                c.holds("a", &decree(1, 5), 1);
            },
            "was refused and is in force",
        ),
        (
            "in force, then refused",
            |c| {
                c.holds("a", &decree(1, 5), 0);
                c.refuse(Cid(5), 1);
            },
            "was refused and is decided",
        ),
        ("lost", |c| c.ack(ack(5, 0, 1, 0, 1)), "no node holds it"),
        (
            "overwritten",
            |c| {
                c.holds("a", &decree(1, 6), 0);
                c.ack(ack(5, 0, 1, 0, 1));
            },
            "was acknowledged for",
        ),
        (
            "order",
            |c| {
                c.holds("a", &decree(1, 5), 0);
                c.holds("a", &decree(2, 6), 0);
                c.ack(ack(6, 1, 2, 0, 1));
                c.ack(ack(5, 0, 1, 2, 3));
            },
            "became 1",
        ),
        ("back", |c| c.moves("a", 3, 2, 0), "slipped"),
        (
            "stale",
            |c| {
                c.holds("a", &decree(1, 5), 0);
                c.ack(ack(5, 0, 1, 0, SEC));
                c.admits("a", 0, SEC + 5 * SEC);
                assert!(c.breaches.is_empty(), "five seconds are allowed");
                c.admits("a", 0, SEC + 5 * SEC + 1);
            },
            "admits calls by version 0",
        ),
        (
            "gone worker",
            |c| {
                c.gone.insert("w".into(), 0);
                c.routes("a", "w", 2 * SEC);
                assert!(c.breaches.is_empty(), "two seconds are allowed");
                c.routes("a", "w", 2 * SEC + 1);
            },
            "sends calls to w",
        ),
        (
            "quota in a window",
            |c| {
                c.took = (0..3).map(|i| Took { tenant: "t".into(), win: 1, at: i * 9 * SEC }).collect();
            },
            "used 3 of 2",
        ),
        (
            "quota in time",
            |c| {
                c.took = (0..5).map(|i| Took { tenant: "t".into(), win: i, at: 0 }).collect();
            },
            "more than 4 within 1",
        ),
    ];
    for (name, f, want) in plants {
        let mut c = Check::default();
        f(&mut c);
        c.end(&BTreeMap::from([("t".into(), (2, SEC))]));
        let got: Vec<_> = c.breaches.iter().map(|b| b.0.clone()).collect();
        if want.is_empty() {
            assert!(got.is_empty(), "{name}: {got:?}");
        } else {
            assert!(got.iter().any(|g| g.contains(want)), "{name}: {got:?}");
        }
    }
}
