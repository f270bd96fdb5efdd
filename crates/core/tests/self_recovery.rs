//! State that affects calls must not sustain itself: the effects of a burst or an outage are cleared by time,
//! by an update or by a trial, never only by a success that the state itself prevents.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::cache::{CacheOptions, LocalCache, Lookup, LookupContext, SharedCache, look_up};
use sumacvale_core::config::{PlacementWeights, Rate, TrafficKind};
use sumacvale_core::placement::{
    CallOutcome, EngineModels, PlacementContext, PlacementTable, PromptRequest, WorkerLoads,
};
use sumacvale_core::protocol::{ShareGrant, WorkerReport};
use sumacvale_core::queue::FairQueue;
use sumacvale_core::quota::{AcquireOutcome, ShareBucket, TenantQuotas};
use sumacvale_core::retry::RetryBudget;

const WORKERS: usize = 6;
const SLOTS: u32 = 8;

fn report(index: usize, seq: u64) -> WorkerReport {
    WorkerReport {
        worker_id: format!("w{index}"),
        incarnation: 1,
        seq,
        addr: format!("10.0.0.{index}:80"),
        pool: "p".into(),
        zone: "z".into(),
        slots: SLOTS,
        ..WorkerReport::default()
    }
}

fn table(seq: u64) -> PlacementTable {
    let reports: Vec<_> = (0..WORKERS).map(|index| report(index, seq)).collect();
    PlacementTable::new(reports.iter())
}

fn request(id: u64, time_left: Micros) -> PromptRequest {
    PromptRequest {
        parts: [(id, 2_000)].into_iter().collect(),
        max_output_tokens: 50,
        latency_target: 600 * MS,
        time_left,
        ..PromptRequest::default()
    }
}

fn choose(models: &EngineModels, request: &PromptRequest, now: Micros) -> Option<usize> {
    let weights = PlacementWeights::default();
    let context = PlacementContext { pool: "p", zone: "z", weights: &weights, excluded: &[], now };
    models.choose(&table(1), request, &context, &WorkerLoads::default())
}

fn send(models: &EngineModels, index: usize, request: &PromptRequest, now: Micros) -> u64 {
    models.record_start("p", &table(1).endpoints[index], request, &PlacementWeights::default(), now)
}

/// The behavior of the workers towards each call of a burst.
enum Burst {
    /// The first token was received after ten seconds.
    Slow,
    /// The worker reported a long queue of other calls, and the call received nothing.
    Overloaded,
}

/// Returns how many of the calls after a burst, one every 100 ms, are placed in each of three periods of ten
/// seconds.
fn served_after(burst: &Burst) -> [usize; 3] {
    let models = EngineModels::new(1);
    for number in 0..400u64 {
        let (now, index) = (SEC + number * 5 * MS, usize::try_from(number).expect("small") % WORKERS);
        let (worker, call) = (format!("w{index}"), send(&models, index, &request(number, 60 * SEC), now));
        match burst {
            Burst::Slow => models.record_first_token("p", &worker, call, now + 10 * SEC),
            Burst::Overloaded => models.record_load("p", &worker, 400, 4_000, now),
        }
        models.record_end("p", &worker, call, CallOutcome::Done, now + 10 * SEC);
    }
    let mut served = [0; 3];
    for number in 0..300u64 {
        let (now, request) = (20 * SEC + number * 100 * MS, request(10_000 + number, SEC));
        let Some(index) = choose(&models, &request, now) else { continue };
        let (worker, call) = (format!("w{index}"), send(&models, index, &request, now));
        models.record_first_token("p", &worker, call, now + 40 * MS);
        models.record_load("p", &worker, 0, 0, now + 40 * MS);
        models.record_end("p", &worker, call, CallOutcome::Done, now + 90 * MS);
        served[usize::try_from(number).expect("small") / 100] += 1;
    }
    served
}

/// All workers were measured as too slow. Without trial calls, no call is placed that could measure them
/// again.
#[test]
fn workers_that_were_measured_as_too_slow_are_tried_again() {
    for (name, burst) in [("slow", Burst::Slow), ("overloaded", Burst::Overloaded)] {
        let served = served_after(&burst);
        let has_recovered = served[0] >= 50 && served[2] == 100;
        assert!(has_recovered, "{name}: {served:?} of 100 calls each were placed on a worker, all of which were idle");
    }
}

/// A worker that is marked as failed or full receives no calls, so no call could clear the mark.
#[test]
fn a_failed_worker_is_used_again_after_its_next_report() {
    let loads = WorkerLoads::default();
    assert_eq!(loads.current(&table(1))[..2], [0, 0]);
    loads.eject("w0", 1, 1);
    loads.record_full("w1", SLOTS);
    assert_eq!(loads.current(&table(1))[..2], [u32::MAX, SLOTS]);
    assert_eq!(loads.current(&table(2))[..2], [0, 0], "no call to it was needed");
}

/// A low measured rate rejects all calls, so no slot is taken and freed that could raise the rate.
#[test]
fn a_measured_slow_rate_of_freed_slots_expires_without_a_freed_slot() {
    let key = |n: u64| (format!("t{n}"), TrafficKind::Chat);
    let mut queue: FairQueue<u64> = FairQueue::new(8);
    queue.record_slot_freed(SEC);
    assert!(queue.push(key(1), 1, 1, 5 * SEC, 5 * SEC - 100 * MS).is_err(), "one slot in four seconds");
    assert!(queue.push(key(1), 1, 1, 6 * SEC + 200 * MS, 6 * SEC + 100 * MS).is_ok(), "the rate is unknown again");
    assert!(queue.drain_unservable(7 * SEC).contains(&1), "a call that can't be served is removed by time");
    assert!(queue.is_empty());
}

/// Retries alone cannot refill a spent budget, since they are denied.
#[test]
fn a_spent_retry_budget_is_refilled_by_first_attempts_which_need_none() {
    let budget = RetryBudget::default();
    assert!(!budget.withdraw("p", SEC));
    for round in 1..5 {
        let now = round * 30 * SEC;
        for _ in 0..10 {
            budget.record_first_attempt("p", now);
        }
        assert!(budget.withdraw("p", now) && !budget.withdraw("p", now));
    }
}

/// A node without replies must not back off so far that it misses the return of the lease holder.
#[test]
fn a_share_is_granted_however_long_no_reply_was_received() {
    let mut bucket = ShareBucket::new(Rate { milli_per_second: 40_000, burst_milli: 40_000 }, SEC);
    let (mut now, mut last) = (SEC, None);
    for request_id in 1..40_000u64 {
        now += 5 * MS;
        let _ = bucket.acquire_unit(now);
        if bucket.is_request_due(true, now) {
            bucket.make_request(1, request_id, 1, now);
            last = Some((request_id, now));
        }
    }
    let (request_id, sent_at) = last.expect("it goes on requesting");
    assert!(now - sent_at <= 1_005 * MS, "the last request was sent {} µs ago", now - sent_at);
    let grant = ShareGrant { granted: true, share: 500_000, burst_milli: 20_000, ..ShareGrant::default() };
    assert!(bucket.apply_grant(request_id, grant, sent_at, now));
    assert!(matches!(bucket.acquire_unit(now), AcquireOutcome::Acquired { .. }), "the first reply is enough");
}

/// If the lease holder is lost, no reply clears the mark of a spent window: the mark must expire by itself.
#[test]
fn a_spent_window_expires_though_its_holder_is_lost() {
    let slices = TenantQuotas::default();
    slices.record_window_spent("t", 3, 60 * SEC, SEC);
    assert!(matches!(slices.acquire_unit("t", SEC), AcquireOutcome::WindowSpent { .. }));
    assert!(matches!(slices.acquire_unit("t", SEC + 200 * MS), AcquireOutcome::Empty), "a slice is requested again");
}

/// A fetch that never completes keeps its lock. All later lookups of the key would wait for it without end.
#[test]
fn a_key_whose_fetch_never_completed_is_fetched_by_a_later_lookup() {
    let options = CacheOptions::default();
    let (mut local, shared): (LocalCache<u32>, SharedCache<u32>) =
        (LocalCache::new(&options), SharedCache::new(options));
    let context = |now| LookupContext { now, version: 1 };
    assert!(matches!(look_up(&mut local, &shared, "k", context(SEC)), Lookup::Fetch(_)));
    assert!(matches!(look_up(&mut local, &shared, "k", context(SEC + MS)), Lookup::Wait));
    assert!(matches!(look_up(&mut local, &shared, "k", context(7 * SEC)), Lookup::Fetch(_)), "its lock expired");
}
