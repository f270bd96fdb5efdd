//! Workers parted by the lengths of prompts: when, how, and alike at all nodes.

use std::collections::BTreeSet;
use sumacvale_core::base::{MS, Micros, Rng, SEC};
use sumacvale_core::config::PlacementWeights;
use sumacvale_core::placement::{
    CallOutcome, EngineModels, LengthClass, PlacementContext, PlacementTable, PromptLengths, PromptRequest, WorkerLoads,
};
use sumacvale_core::protocol::WorkerReport;

const LONG: u64 = 1;
const SHORT: u64 = 2;

/// Calls of the two routes, so many of a hundred long ones, as one node sees them.
fn see(lengths: &mut PromptLengths, rng: &mut Rng, calls: u64, long_of_100: u64, from: Micros) -> Micros {
    let mut now = from;
    for _ in 0..calls {
        now += 100 * MS;
        let (route, mean) = if rng.chance(long_of_100) { (LONG, 12_000) } else { (SHORT, 2_400) };
        let tokens = (mean / 2 + rng.below(mean)) as f64;
        lengths.record(route, tokens, tokens * 0.7, now);
    }
    now
}

fn part(lengths: &PromptLengths) -> Option<f64> {
    lengths.class_of(SHORT).map(|s| s.short_fraction)
}

#[test]
fn long_and_short_prompts_go_to_sides_of_their_own() {
    let mut lengths = PromptLengths::default();
    assert_eq!(lengths.class_of(LONG), None, "nothing was seen");
    see(&mut lengths, &mut Rng::new(1), 40, 27, SEC);
    let (long, short) = (lengths.class_of(LONG).expect("a side"), lengths.class_of(SHORT).expect("a side"));
    assert!(long.is_long && !short.is_long && long.short_fraction == short.short_fraction);
    assert_eq!(lengths.class_of(77), None, "a route that was never seen");
    for at in [0.05, 0.3, 0.5, 0.95] {
        assert_ne!(long.contains(at), short.contains(at), "a worker at {at} is on one side");
    }
}

#[test]
fn a_side_is_below_or_above_its_part() {
    for (long, at, want) in [(false, 0.2, true), (false, 0.4, false), (true, 0.2, false), (true, 0.4, true)] {
        assert_eq!(LengthClass { is_long: long, short_fraction: 1.0 / 3.0 }.contains(at), want, "{long} {at}");
    }
}

#[test]
fn prompts_of_like_lengths_part_nothing() {
    let mut lengths = PromptLengths::default();
    let mut rng = Rng::new(3);
    for n in 0..2_000 {
        lengths.record(n % 4, (900 + rng.below(400)) as f64, 500.0, n * 10 * MS);
    }
    assert_eq!((0..4).filter_map(|r| lengths.class_of(r)).count(), 0);
    let mut lengths = PromptLengths::default();
    (0..500).for_each(|n| lengths.record(LONG, 12_000.0, 12_000.0, n * 10 * MS));
    assert_eq!(lengths.class_of(LONG), None, "one route alone");
}

/// Each of 90 nodes sees a little of the traffic, and other calls than the others.
#[test]
fn all_nodes_part_the_workers_alike() {
    for long_of_100 in [20, 27, 40] {
        let mut parts: Vec<_> = (0..90)
            .map(|node| {
                let mut lengths = PromptLengths::default();
                see(&mut lengths, &mut Rng::new(node), 300, long_of_100, SEC);
                part(&lengths)
            })
            .collect();
        parts.sort_by(|a, b| a.partial_cmp(b).expect("numbers"));
        parts.dedup();
        assert!(parts.len() <= 2 && !parts.contains(&None), "{long_of_100} of 100 long: {parts:?}");
    }
}

#[test]
fn the_part_follows_the_work_and_does_not_waver() {
    let mut lengths = PromptLengths::default();
    let mut rng = Rng::new(5);
    let now = see(&mut lengths, &mut rng, 400, 27, SEC);
    let first = part(&lengths).expect("parted");
    // Nearly all of the work is of long prompts, for long enough.
    let now = see(&mut lengths, &mut rng, 1_200, 90, now);
    let fewer = part(&lengths).expect("parted");
    assert!(fewer < first, "{fewer} after {first}");
    // And back again, with nearly none.
    see(&mut lengths, &mut rng, 1_200, 3, now);
    assert!(part(&lengths).expect("parted") > fewer);
    // Under steady traffic it moves a few times at most.
    let mut lengths = PromptLengths::default();
    let (mut now, mut moves, mut was) = (SEC, 0, None);
    for _ in 0..100 {
        now = see(&mut lengths, &mut rng, 50, 27, now);
        let is = part(&lengths);
        moves += usize::from(is != was);
        was = is;
    }
    assert!(moves <= 4, "{moves} moves in 5,000 calls");
}

#[test]
fn routes_without_number_are_bounded() {
    let mut lengths = PromptLengths::default();
    for n in 0..10_000 {
        lengths.record(n, 1_000.0, 1_000.0, n * MS);
    }
    see(&mut lengths, &mut Rng::new(6), 400, 50, 20 * SEC);
    assert!(lengths.class_of(9_000).is_none() && lengths.class_of(LONG).is_some());
}

/// How many of these workers short prompts went to, once long ones were seen as well.
fn workers_of_short_prompts(workers: u64, slots: u32) -> usize {
    let rows: Vec<WorkerReport> = (0..workers)
        .map(|i| WorkerReport {
            worker_id: format!("w{i:03}"),
            pool: "p".into(),
            addr: format!("10.0.0.1:{}", 1_000 + i),
            zone: format!("z{}", i % 3),
            incarnation: 1,
            seq: 1,
            slots,
            ..WorkerReport::default()
        })
        .collect();
    let table = PlacementTable::new(rows.iter());
    let (engines, loads, set) = (EngineModels::new(1), WorkerLoads::default(), PlacementWeights::default());
    let mut used = BTreeSet::new();
    for n in 0..400 {
        let now = SEC + n * 50 * MS;
        let long = n % 3 == 0;
        let tokens = if long { 12_000 } else { 2_400 };
        let route = if long { LONG } else { SHORT };
        let parts = [(7 + n, 200), (1_000 + n, tokens)].into_iter().collect();
        let ask = PromptRequest { route, parts, max_output_tokens: 20, ..PromptRequest::default() };
        let scene = PlacementContext { pool: "p", zone: "z0", weights: &set, excluded: &[], now };
        let Some(i) = engines.choose(&table, &ask, &scene, &loads) else { continue };
        let ticket = engines.record_start("p", &table.endpoints[i], &ask, &set, now);
        engines.record_first_token("p", &table.endpoints[i].worker_id, ticket, now + 40 * MS);
        engines.record_end("p", &table.endpoints[i].worker_id, ticket, CallOutcome::Done, now + 45 * MS);
        if !long && n > 10 {
            used.insert(i);
        }
    }
    used.len()
}

#[test]
fn only_many_workers_with_many_slots_are_parted() {
    for (name, workers, slots, parted) in
        [("many with many slots", 60, 64, true), ("few slots", 60, 16, false), ("few workers", 24, 64, false)]
    {
        let used = workers_of_short_prompts(workers, slots);
        // A third, and few beside it: where a worker of the third is busy another one may do.
        let most = usize::try_from(workers).expect("small") * 2 / 5;
        println!("{name}: {used} of {workers}");
        assert_eq!(used <= most, parted, "{name}: {used} of {workers}");
    }
}
