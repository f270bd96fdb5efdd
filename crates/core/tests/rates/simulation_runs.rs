//! Runs of the simulation, and what must hold in each.

use super::rate_excess::largest_excess;
use super::simulation::{Planted, Simulation, allowed_excess};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Rng, SEC};
use sumacvale_core::config::Rate;

/// Simulates repeated power losses. Returns whether no interval exceeded the limit, and the number of calls that ran.
fn survives_power_losses(seed: u64, planted: Planted) -> (bool, usize) {
    let mut rng = Rng::new(seed);
    let kind = seed % 3;
    let (rate, loads): (_, Vec<_>) = match kind {
        0 => {
            let rate =
                Rate { milli_per_second: 5_000 + rng.next_below(80_000), burst_milli: 5_000 + rng.next_below(80_000) };
            (rate, (0..2 + rng.next_below(6)).map(|_| 20_000 + rng.next_below(100_000)).collect())
        }
        // Nodes use loans and hold no share: their demand is low, and the burst is too small for a unit at each node.
        // Often only the lease holder loses power.
        1 => {
            let rate =
                Rate { milli_per_second: 2_000 + rng.next_below(3_000), burst_milli: 8_000 + rng.next_below(6_000) };
            (rate, (0..5 + rng.next_below(3)).map(|_| 1_000 + rng.next_below(2_000)).collect())
        }
        // The burst takes many seconds to refill, and no front is partitioned.
        _ => {
            let rate =
                Rate { milli_per_second: 2_000 + rng.next_below(5_000), burst_milli: 30_000 + rng.next_below(30_000) };
            (rate, (0..2 + rng.next_below(6)).map(|_| 20_000 + rng.next_below(100_000)).collect())
        }
    };
    let mut simulation = Simulation::new(seed, rate, &loads, true);
    simulation.registered = Some(BTreeMap::new());
    simulation.planted = planted;
    simulation.holder_alone_chance = if kind == 1 { 50 } else { 0 };
    simulation.partition_chance = if kind == 2 { 0 } else { 30 };
    let mut next = simulation.now + 3 * SEC;
    while simulation.now < 140 * SEC {
        simulation.step();
        if simulation.now >= next {
            simulation.lose_power();
            next = simulation.now + 2 * SEC + simulation.rng.next_below(8 * SEC);
        }
    }
    let ran = simulation.ran.len();
    (largest_excess(rate, &simulation.sorted_runs()) <= allowed_excess(rate), ran)
}

#[test]
fn no_interval_exceeds_the_limit_after_power_losses_and_partitions() {
    let mut ran = 0;
    for seed in 0..100 {
        let (within, calls) = survives_power_losses(seed, Planted::Nothing);
        assert!(within, "seed {seed}");
        ran += calls;
    }
    assert!(ran > 30_000, "{ran} calls ran");
    for planted in [Planted::IgnoresCutOff, Planted::OverstatesIdleTime, Planted::OverstatesAge] {
        let detected = (0..100).filter(|seed| !survives_power_losses(*seed, planted).0).count();
        println!("{ran} ran; {planted:?}: {detected} of 100");
        assert!(detected > 0, "{planted:?} is detected");
    }
}

#[test]
fn no_interval_exceeds_the_rate_and_the_burst() {
    let mut ran = 0;
    for seed in 0..150 {
        let mut rng = Rng::new(seed);
        let rate = Rate { milli_per_second: 500 + rng.next_below(80_000), burst_milli: 1_000 + rng.next_below(80_000) };
        let loads: Vec<_> = (0..=rng.next_below(8)).map(|_| rng.next_below(100_000)).collect();
        let mut simulation = Simulation::new(seed, rate, &loads, seed % 2 == 0);
        simulation.loss = rng.next_below(30);
        let mut next_fault_at = simulation.now + SEC;
        while simulation.now < 140 * SEC {
            simulation.step();
            if simulation.now >= next_fault_at {
                simulation.inject_fault();
                next_fault_at = simulation.now + 50 * MS + simulation.rng.next_below(3 * SEC);
            }
        }
        ran += simulation.ran.len();
        let excess = largest_excess(rate, &simulation.sorted_runs());
        assert!(excess <= allowed_excess(rate), "seed {seed}: {excess} of {rate:?}");
    }
    assert!(ran > 30_000, "{ran} calls ran");
}

#[test]
fn below_the_limit_nothing_is_rejected_once_shares_follow_the_demand() {
    // The load of each front in thousandths of calls per second, for a rate of 40 per second with a burst of 40, and
    // the allowed rejections per thousand calls.
    let rate = Rate { milli_per_second: 40_000, burst_milli: 40_000 };
    for (name, loads, allowed_per_thousand) in [
        ("evenly", [3_300; 6], 1),
        ("evenly at three quarters", [5_000; 6], 2),
        ("one-sided", [30_000, 0, 0, 0, 0, 0], 0),
        ("one-sided near the limit", [36_000, 0, 0, 0, 0, 0], 0),
        ("two", [18_000, 14_000, 0, 0, 0, 0], 1),
    ] {
        let (mut calls, mut rejected) = (0, 0);
        for seed in 0..10 {
            let mut simulation = Simulation::new(seed, rate, &loads, true);
            let begin = simulation.now + 10 * SEC;
            while simulation.now < begin + 60 * SEC {
                simulation.step();
            }
            calls += simulation.ran.iter().filter(|at| **at > begin).count();
            rejected += simulation.rejected.iter().filter(|at| **at > begin).count();
            assert!(largest_excess(rate, &simulation.sorted_runs()) <= allowed_excess(rate), "{name}");
        }
        println!("{name}: {rejected} of {}", calls + rejected);
        assert!(
            rejected * 1_000 <= (calls + rejected) * allowed_per_thousand,
            "{name}: {rejected} of {}",
            calls + rejected
        );
    }
}

#[test]
fn shares_follow_the_demand_beyond_the_limit() {
    let rate = Rate { milli_per_second: 40_000, burst_milli: 40_000 };
    for (name, loads) in [
        ("two of four", [60_000, 60_000, 0, 0, 0, 0]),
        ("all", [30_000; 6]),
        ("all, ten times", [70_000; 6]),
        ("one and five with little", [90_000, 2_000, 2_000, 2_000, 2_000, 2_000]),
    ] {
        let mut simulation = Simulation::new(1, rate, &loads, true);
        let begin = simulation.now + 10 * SEC;
        while simulation.now < begin + 60 * SEC {
            simulation.step();
        }
        let ran = simulation.ran.iter().filter(|at| **at > begin).count();
        println!("{name}: {ran} of 2400");
        assert!(ran >= 60 * 39, "{name}: {ran} of 2400");
    }
}
