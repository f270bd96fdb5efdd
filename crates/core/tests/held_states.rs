//! No state of a call's path may hold itself: what a burst or an outage left behind ends by time, by
//! news, or by a trial, never only through a success that it forbids.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::cache::{CacheOptions, LocalCache, Lookup, LookupContext, SharedCache, look_up};
use sumacvale_core::config::{Kind, PlacementWeights, Rate};
use sumacvale_core::placement::{
    CallOutcome, EngineModels, PlacementContext, PlacementTable, PromptRequest, WorkerLoads,
};
use sumacvale_core::protocol::{ShareGrant, WorkerReport};
use sumacvale_core::queue::FairQueue;
use sumacvale_core::quota::{ShareBucket, TakeOutcome, WindowSlices};
use sumacvale_core::retry::RetryBudget;

const WORKERS: usize = 6;
const SLOTS: u32 = 8;

fn row(i: usize, seq: u64) -> WorkerReport {
    WorkerReport {
        worker_id: format!("w{i}"),
        incarnation: 1,
        seq,
        addr: format!("10.0.0.{i}:80"),
        pool: "p".into(),
        zone: "z".into(),
        slots: SLOTS,
        ..WorkerReport::default()
    }
}

fn table(seq: u64) -> PlacementTable {
    let rows: Vec<_> = (0..WORKERS).map(|i| row(i, seq)).collect();
    PlacementTable::new(rows.iter())
}

fn ask(id: u64, left: Micros) -> PromptRequest {
    PromptRequest {
        parts: [(id, 2_000)].into_iter().collect(),
        max_output_tokens: 50,
        latency_target: 600 * MS,
        time_left: left,
        ..PromptRequest::default()
    }
}

fn choose(e: &EngineModels, a: &PromptRequest, now: Micros) -> Option<usize> {
    let set = PlacementWeights::default();
    let scene = PlacementContext { pool: "p", zone: "z", weights: &set, excluded: &[], now };
    e.choose(&table(1), a, &scene, &WorkerLoads::default())
}

fn send(e: &EngineModels, i: usize, a: &PromptRequest, now: Micros) -> u64 {
    e.record_start("p", &table(1).endpoints[i], a, &PlacementWeights::default(), now)
}

/// What each call of a burst met at each worker.
enum Burst {
    /// The first piece came after ten seconds.
    Slow,
    /// The worker told of a long queue of others, and the call got nothing.
    Crowded,
}

/// How many of the calls that come after a burst, one each 100 ms, find a worker in each of three
/// times ten seconds.
fn served_after(burst: &Burst) -> [usize; 3] {
    let e = EngineModels::new(1);
    for k in 0..400u64 {
        let (now, i) = (SEC + k * 5 * MS, usize::try_from(k).expect("small") % WORKERS);
        let (w, n) = (format!("w{i}"), send(&e, i, &ask(k, 60 * SEC), now));
        match burst {
            Burst::Slow => e.record_first_token("p", &w, n, now + 10 * SEC),
            Burst::Crowded => e.record_load("p", &w, 400, 4_000, now),
        }
        e.record_end("p", &w, n, CallOutcome::Done, now + 10 * SEC);
    }
    let mut served = [0; 3];
    for k in 0..300u64 {
        let (now, a) = (20 * SEC + k * 100 * MS, ask(10_000 + k, SEC));
        let Some(i) = choose(&e, &a, now) else { continue };
        let (w, n) = (format!("w{i}"), send(&e, i, &a, now));
        e.record_first_token("p", &w, n, now + 40 * MS);
        e.record_load("p", &w, 0, 0, now + 40 * MS);
        e.record_end("p", &w, n, CallOutcome::Done, now + 90 * MS);
        served[usize::try_from(k).expect("small") / 100] += 1;
    }
    served
}

#[test]
fn workers_that_were_learned_to_be_too_slow_are_tried_again() {
    for (name, burst) in [("slow", Burst::Slow), ("crowded", Burst::Crowded)] {
        let served = served_after(&burst);
        let back = served[0] >= 50 && served[2] == 100;
        assert!(back, "{name}: {served:?} of 100 calls each found a worker, all of which were idle");
    }
}

#[test]
fn a_worker_that_failed_is_back_with_its_next_report() {
    let loads = WorkerLoads::default();
    assert_eq!(loads.current(&table(1))[..2], [0, 0]);
    loads.mark_failed("w0", 1, 1);
    loads.mark_full("w1", SLOTS);
    assert_eq!(loads.current(&table(1))[..2], [u32::MAX, SLOTS]);
    assert_eq!(loads.current(&table(2))[..2], [0, 0], "no call to it was needed");
}

#[test]
fn a_slow_pace_of_places_is_forgotten_without_one_that_comes_free() {
    let key = |n: u64| (format!("t{n}"), Kind::Chat);
    let mut w: FairQueue<u64> = FairQueue::new(8);
    w.record_freed(SEC);
    assert!(w.push(key(1), 1, 1, 5 * SEC, 5 * SEC - 100 * MS).is_err(), "one place in four seconds");
    assert!(w.push(key(1), 1, 1, 6 * SEC + 200 * MS, 6 * SEC + 100 * MS).is_ok(), "nothing is known any more");
    assert!(w.drain_hopeless(7 * SEC).contains(&1), "who can't be served is let go by time");
    assert!(w.is_empty());
}

#[test]
fn a_spent_budget_is_earned_by_first_tries_which_need_none() {
    let b = RetryBudget::default();
    assert!(!b.withdraw());
    for _ in 0..5 {
        b.deposit();
    }
    assert!(b.withdraw() && !b.withdraw());
}

#[test]
fn a_share_is_taken_however_long_nobody_answered() {
    let mut b = ShareBucket::new(Rate { milli_per_second: 40_000, burst_milli: 40_000 }, SEC);
    let (mut now, mut last) = (SEC, None);
    for n in 1..40_000u64 {
        now += 5 * MS;
        let _ = b.take(now);
        if b.is_request_due(true, now) {
            b.make_request(1, n, 1, now);
            last = Some((n, now));
        }
    }
    let (n, at) = last.expect("it goes on asking");
    assert!(now - at <= 1_005 * MS, "the last ask was {} us ago", now - at);
    let given = ShareGrant { granted: true, share: 500_000, burst_milli: 20_000, ..ShareGrant::default() };
    assert!(b.apply_grant(n, given, at, now));
    assert!(matches!(b.take(now), TakeOutcome::Taken { .. }), "the first answer ends it");
}

#[test]
fn a_spent_window_ends_by_time_though_its_holder_is_lost() {
    let s = WindowSlices::default();
    s.mark_spent("t", 3, 60 * SEC, SEC);
    assert!(matches!(s.take("t", SEC), TakeOutcome::WindowSpent { .. }));
    assert!(matches!(s.take("t", SEC + 200 * MS), TakeOutcome::Empty), "the holder is asked again");
}

#[test]
fn a_lookup_whose_fetch_never_ended_is_fetched_by_the_next() {
    let o = CacheOptions::default();
    let (mut l1, l2): (LocalCache<u32>, SharedCache<u32>) = (LocalCache::new(&o), SharedCache::new(o));
    let at = |now| LookupContext { now, version: 1 };
    assert!(matches!(look_up(&mut l1, &l2, "k", at(SEC)), Lookup::Fetch(_)));
    assert!(matches!(look_up(&mut l1, &l2, "k", at(SEC + MS)), Lookup::Wait));
    assert!(matches!(look_up(&mut l1, &l2, "k", at(7 * SEC)), Lookup::Fetch(_)), "its lock ended by time");
}
