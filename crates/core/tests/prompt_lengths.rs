//! Tests of the partitions of the workers by prompt length: when they start, change and end, and that all nodes
//! compute the same ones.

use std::collections::BTreeSet;
use sumacvale_core::base::{MS, Micros, Rng, SEC};
use sumacvale_core::config::PlacementWeights;
use sumacvale_core::placement::{
    CallOutcome, EngineModels, LengthClass, PlacementContext, PlacementTable, PromptLengths, PromptRequest, WorkerLoads,
};
use sumacvale_core::protocol::WorkerReport;

const LONG_ROUTE: u64 = 1;
const SHORT_ROUTE: u64 = 2;

/// Records calls of the two routes as seen by one node, `long_of_100` of a hundred for the long route. Returns the
/// time of the last call.
fn record_calls(lengths: &mut PromptLengths, rng: &mut Rng, calls: u64, long_of_100: u64, start: Micros) -> Micros {
    let mut now = start;
    for _ in 0..calls {
        now += 100 * MS;
        let (route, mean) = if rng.chance_percent(long_of_100) { (LONG_ROUTE, 12_000) } else { (SHORT_ROUTE, 2_400) };
        let tokens = (mean / 2 + rng.next_below(mean)) as f64;
        lengths.record(route, tokens, tokens * 0.7, now);
    }
    now
}

fn short_fraction(lengths: &PromptLengths) -> Option<f64> {
    lengths.class_of(SHORT_ROUTE).map(|class| class.short_fraction)
}

#[test]
fn long_and_short_prompts_go_to_separate_partitions() {
    let mut lengths = PromptLengths::default();
    assert_eq!(lengths.class_of(LONG_ROUTE), None, "nothing was seen");
    record_calls(&mut lengths, &mut Rng::new(1), 40, 27, SEC);
    let (long, short) =
        (lengths.class_of(LONG_ROUTE).expect("a partition"), lengths.class_of(SHORT_ROUTE).expect("a partition"));
    assert!(long.is_long && !short.is_long && long.short_fraction.to_bits() == short.short_fraction.to_bits());
    assert_eq!(lengths.class_of(77), None, "a route that was never seen");
    for position in [0.05, 0.3, 0.5, 0.95] {
        assert_ne!(long.contains(position), short.contains(position), "a worker at {position} is in one partition");
    }
}

#[test]
fn a_partition_is_below_or_above_the_short_fraction() {
    for (is_long, position, expected) in
        [(false, 0.2, true), (false, 0.4, false), (true, 0.2, false), (true, 0.4, true)]
    {
        assert_eq!(
            LengthClass { is_long, short_fraction: 1.0 / 3.0 }.contains(position),
            expected,
            "{is_long} {position}"
        );
    }
}

#[test]
fn prompts_of_similar_lengths_cause_no_partition() {
    let mut lengths = PromptLengths::default();
    let mut rng = Rng::new(3);
    for nth in 0..2_000 {
        lengths.record(nth % 4, (900 + rng.next_below(400)) as f64, 500.0, nth * 10 * MS);
    }
    assert_eq!((0..4).filter_map(|route| lengths.class_of(route)).count(), 0);
    let mut lengths = PromptLengths::default();
    (0..500).for_each(|nth| lengths.record(LONG_ROUTE, 12_000.0, 12_000.0, nth * 10 * MS));
    assert_eq!(lengths.class_of(LONG_ROUTE), None, "one route alone");
}

/// Each of 90 nodes sees a small and different part of the traffic. Nodes with different partitions would place the
/// same prompt differently.
#[test]
fn all_nodes_find_the_same_partition() {
    for long_of_100 in [20, 27, 40] {
        let mut fractions: Vec<_> = (0..90)
            .map(|node| {
                let mut lengths = PromptLengths::default();
                record_calls(&mut lengths, &mut Rng::new(node), 300, long_of_100, SEC);
                short_fraction(&lengths)
            })
            .collect();
        fractions.sort_by(|left, right| left.partial_cmp(right).expect("numbers"));
        fractions.dedup();
        assert!(fractions.len() <= 2 && !fractions.contains(&None), "{long_of_100} of 100 long: {fractions:?}");
    }
}

#[test]
fn the_partition_follows_the_work_and_is_stable() {
    let mut lengths = PromptLengths::default();
    let mut rng = Rng::new(5);
    let now = record_calls(&mut lengths, &mut rng, 400, 27, SEC);
    let first = short_fraction(&lengths).expect("partitioned");
    // Long prompts make up nearly all of the work, for long enough.
    let now = record_calls(&mut lengths, &mut rng, 1_200, 90, now);
    let fewer = short_fraction(&lengths).expect("partitioned");
    assert!(fewer < first, "{fewer} after {first}");
    // Then long prompts make up little of the work.
    record_calls(&mut lengths, &mut rng, 1_200, 3, now);
    assert!(short_fraction(&lengths).expect("partitioned") > fewer);
    // Under steady traffic the fraction changes a few times at most.
    let mut lengths = PromptLengths::default();
    let (mut now, mut moves, mut previous) = (SEC, 0, None);
    for _ in 0..100 {
        now = record_calls(&mut lengths, &mut rng, 50, 27, now);
        let current = short_fraction(&lengths);
        moves += usize::from(current != previous);
        previous = current;
    }
    assert!(moves <= 4, "{moves} moves in 5,000 calls");
}

#[test]
fn remembered_routes_are_bounded() {
    let mut lengths = PromptLengths::default();
    for nth in 0..10_000 {
        lengths.record(nth, 1_000.0, 1_000.0, nth * MS);
    }
    record_calls(&mut lengths, &mut Rng::new(6), 400, 50, 20 * SEC);
    assert!(lengths.class_of(9_000).is_none() && lengths.class_of(LONG_ROUTE).is_some());
}

/// Returns the number of workers that short prompts were sent to after long prompts were seen as well.
fn workers_of_short_prompts(workers: u64, slots: u32) -> usize {
    let reports: Vec<WorkerReport> = (0..workers)
        .map(|index| WorkerReport {
            worker_id: format!("w{index:03}"),
            pool: "p".into(),
            addr: format!("10.0.0.1:{}", 1_000 + index),
            zone: format!("z{}", index % 3),
            incarnation: 1,
            seq: 1,
            slots,
            ..WorkerReport::default()
        })
        .collect();
    let table = PlacementTable::new(reports.iter());
    let (engines, loads, weights) = (EngineModels::new(1), WorkerLoads::default(), PlacementWeights::default());
    let mut used = BTreeSet::new();
    for nth in 0..400 {
        let now = SEC + nth * 50 * MS;
        let is_long = nth % 3 == 0;
        let tokens = if is_long { 12_000 } else { 2_400 };
        let route = if is_long { LONG_ROUTE } else { SHORT_ROUTE };
        let parts = [(7 + nth, 200), (1_000 + nth, tokens)].into_iter().collect();
        let request = PromptRequest { route, parts, max_output_tokens: 20, ..PromptRequest::default() };
        let context = PlacementContext { pool: "p", zone: "z0", weights: &weights, excluded: &[], now };
        let Some(worker) = engines.choose(&table, &request, &context, &loads) else { continue };
        let ticket = engines.record_start("p", &table.endpoints[worker], &request, &weights, now);
        engines.record_first_token("p", &table.endpoints[worker].worker_id, ticket, now + 40 * MS);
        engines.record_end("p", &table.endpoints[worker].worker_id, ticket, CallOutcome::Done, now + 45 * MS);
        if !is_long && nth > 10 {
            used.insert(worker);
        }
    }
    used.len()
}

#[test]
fn only_many_workers_with_many_slots_are_partitioned() {
    for (name, workers, slots, is_partitioned) in
        [("many with many slots", 60, 64, true), ("few slots", 60, 16, false), ("few workers", 24, 64, false)]
    {
        let used = workers_of_short_prompts(workers, slots);
        // A third of the workers, and a few others: another worker may be chosen while those of the third are busy.
        let most = usize::try_from(workers).expect("small") * 2 / 5;
        println!("{name}: {used} of {workers}");
        assert_eq!(used <= most, is_partitioned, "{name}: {used} of {workers}");
    }
}
