//! Tests of the placement of calls with prompts by one node and by several nodes.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::config::PlacementWeights;
use sumacvale_core::placement::{
    CallOutcome, EngineModels, PlacementContext, PlacementTable, PrefillFit, PrefixCache, PromptDemand, PromptRequest,
    PromptSegment, WorkerLoads,
};
use sumacvale_core::protocol::WorkerReport;

/// The longest average time of one choice and call on a busy machine, in microseconds.
const MAX_CHOICE_TIME: Micros = 2 * MS;

fn report(worker_id: &str, zone: &str, slots: u32) -> WorkerReport {
    WorkerReport {
        worker_id: worker_id.into(),
        pool: "p".into(),
        addr: format!("10.0.0.1:{}", 1000 + worker_id.len()),
        zone: zone.into(),
        incarnation: 1,
        seq: 1,
        slots,
        busy: 0,
        draining: false,
        age: 0,
        ..WorkerReport::default()
    }
}

/// Returns a table of this many workers, assigned to three zones in turn.
fn pool_table(workers: usize, slots: u32) -> PlacementTable {
    let reports: Vec<_> =
        (0..workers).map(|index| report(&format!("w{index:03}"), &format!("z{}", index % 3), slots)).collect();
    PlacementTable::new(reports.iter())
}

fn prompt_request(parts: &[(u64, u32)]) -> PromptRequest {
    PromptRequest {
        parts: parts.iter().copied().collect(),
        max_output_tokens: 100,
        latency_target: 600 * MS,
        time_left: 10 * SEC,
        urgency: 1,
        bytes: 16_000,
        ..PromptRequest::default()
    }
}

/// One node's view of the workers.
struct Router {
    engines: EngineModels,
    loads: WorkerLoads,
    weights: PlacementWeights,
    zone: &'static str,
}

impl Router {
    fn new(seed: u64, zone: &'static str) -> Self {
        Router {
            engines: EngineModels::new(seed),
            loads: WorkerLoads::default(),
            weights: PlacementWeights::default(),
            zone,
        }
    }

    fn choose(&self, table: &PlacementTable, request: &PromptRequest, now: Micros) -> Option<usize> {
        self.choose_except(table, request, &[], now)
    }

    fn choose_except(
        &self,
        table: &PlacementTable,
        request: &PromptRequest,
        excluded: &[String],
        now: Micros,
    ) -> Option<usize> {
        let context = PlacementContext { pool: "p", zone: self.zone, weights: &self.weights, excluded, now };
        self.engines.choose(table, request, &context, &self.loads)
    }

    fn start(&self, table: &PlacementTable, worker: usize, request: &PromptRequest, now: Micros) -> u64 {
        self.engines.record_start("p", &table.endpoints[worker], request, &self.weights, now)
    }

    fn first_token(&self, table: &PlacementTable, worker: usize, ticket: u64, now: Micros) {
        self.engines.record_first_token("p", &table.endpoints[worker].worker_id, ticket, now);
    }

    fn end(&self, table: &PlacementTable, worker: usize, ticket: u64, outcome: CallOutcome, now: Micros) {
        self.engines.record_end("p", &table.endpoints[worker].worker_id, ticket, outcome, now);
    }

    /// Chooses a worker and runs a call there: its first token comes after `prefill`, its end `decode` later.
    fn call(
        &self,
        table: &PlacementTable,
        request: &PromptRequest,
        prefill: Micros,
        decode: Micros,
        now: Micros,
    ) -> usize {
        let worker = self.choose(table, request, now).expect("room");
        let ticket = self.start(table, worker, request, now);
        self.first_token(table, worker, ticket, now + prefill);
        self.end(table, worker, ticket, CallOutcome::Done, now + prefill + decode);
        worker
    }
}

#[test]
fn nodes_that_know_nothing_of_each_other_send_a_prefix_to_the_same_worker() {
    for workers in [3, 9, 18, 90] {
        let table = pool_table(workers, 48);
        let mut same = 0;
        for subject in 0..40u64 {
            let request = prompt_request(&[(1, 500), (100 + subject, 4_900), (9_000 + subject, 600)]);
            let other_request = prompt_request(&[(1, 500), (100 + subject, 4_900), (7_000 + subject, 900)]);
            let first = Router::new(1, "z1").choose(&table, &request, SEC).expect("room");
            let second = Router::new(2, "z2").choose(&table, &other_request, SEC).expect("room");
            same += u32::from(first == second);
        }
        assert!(same >= 36, "{workers} workers: {same} of 40");
    }
}

#[test]
fn a_cached_prefix_is_reused_unless_its_worker_is_too_busy() {
    let table = pool_table(9, 48);
    let router = Router::new(3, "z0");
    let request = prompt_request(&[(1, 500), (2, 5_000), (3, 600)]);
    let cached_at = router.call(&table, &request, 80 * MS, 10 * MS, SEC);
    let again = prompt_request(&[(1, 500), (2, 5_000), (4, 600)]);
    for nth in 0..20 {
        assert_eq!(router.choose(&table, &again, 2 * SEC + nth), Some(cached_at), "the same subject again");
    }
    // Long prompts wait there now: beyond the latency target, another worker costs less.
    for nth in 0..12 {
        router.start(&table, cached_at, &prompt_request(&[(50 + nth, 8_000)]), 3 * SEC);
    }
    let other = router.choose(&table, &again, 3 * SEC).expect("room");
    assert!(other != cached_at, "{cached_at} {other}");
    // Without a weight for prefilling again, the zone decides.
    let router = Router { weights: PlacementWeights { prefix_affinity: 0, ..PlacementWeights::default() }, ..router };
    let other = router.choose(&table, &again, 3 * SEC).expect("room");
    assert!(other != cached_at && table.endpoints[other].zone == "z0", "{cached_at} {other}");
}

#[test]
fn own_calls_spread_before_any_load_is_reported() {
    // A burst of prompts without common prefixes at the same time.
    for (workers, calls) in [(3, 12), (9, 36), (18, 72)] {
        let table = pool_table(workers, 48);
        let router = Router::new(4, "z2");
        let mut calls_by_worker = vec![0; workers];
        for nth in 0..calls {
            let request = prompt_request(&[(1_000 + nth, 6_000)]);
            let worker = router.choose(&table, &request, SEC).expect("room");
            router.start(&table, worker, &request, SEC);
            calls_by_worker[worker] += 1;
        }
        assert!(calls_by_worker.iter().all(|count| *count <= calls as usize * 2 / workers + 3), "{calls_by_worker:?}");
    }
}

#[test]
fn the_reported_load_of_other_nodes_counts_and_decays() {
    let table = pool_table(3, 8);
    let router = Router::new(5, "z0");
    let request = PromptRequest {
        parts: smallvec::SmallVec::default(),
        latency_target: 100 * MS,
        time_left: SEC,
        bytes: 2_000,
        ..PromptRequest::default()
    };
    let worker = router.call(&table, &request, 15 * MS, 0, SEC);
    assert_eq!(table.endpoints[worker].zone, "z0");
    let worker_id = table.endpoints[worker].worker_id.clone();
    router.engines.record_load("p", &worker_id, 8, 6, 2 * SEC);
    assert_ne!(router.choose(&table, &request, 2 * SEC), Some(worker), "it is full of others' calls");
    assert_eq!(router.choose(&table, &request, 12 * SEC), Some(worker), "that is long ago");
}

#[test]
fn busy_declining_failed_and_excluded_workers_are_not_chosen() {
    let table = pool_table(3, 2);
    let request = PromptRequest { time_left: 50 * MS, latency_target: 100 * MS, ..PromptRequest::default() };
    let worker_id = |index: usize| table.endpoints[index].worker_id.clone();
    type Setup = fn(&Router, &PlacementTable, &PromptRequest);
    let cases: [(&str, Setup, bool); 6] = [
        ("none is busy", |_, _, _| {}, true),
        (
            "each has a long queue",
            |router, table, request| {
                for worker in 0..3 {
                    for _ in 0..40 {
                        router.start(table, worker, request, SEC);
                    }
                }
            },
            false,
        ),
        (
            "all declined calls",
            |router, table, request| {
                for worker in 0..3 {
                    let ticket = router.start(table, worker, request, SEC);
                    router.end(table, worker, ticket, CallOutcome::Declined, SEC);
                }
            },
            false,
        ),
        (
            "all failed",
            |router, table, _| {
                for endpoint in &table.endpoints {
                    router.loads.eject(&endpoint.worker_id, endpoint.incarnation, endpoint.seq);
                }
            },
            true,
        ),
        (
            "all but one failed",
            |router, table, _| {
                for endpoint in &table.endpoints[1..] {
                    router.loads.eject(&endpoint.worker_id, endpoint.incarnation, endpoint.seq);
                }
            },
            true,
        ),
        (
            "one is overdue",
            |router, table, request| {
                router.start(table, 0, request, 0);
            },
            true,
        ),
    ];
    for (name, setup, is_chosen) in cases {
        let router = Router::new(6, "z0");
        setup(&router, &table, &request);
        let chosen = router.choose(&table, &request, SEC + MS);
        assert_eq!(chosen.is_some(), is_chosen, "{name}");
        if name.contains("overdue") {
            assert_ne!(chosen, Some(0));
        }
        if name.contains("but one") {
            assert_eq!(chosen, Some(0));
        }
    }
    let router = Router::new(6, "z0");
    assert_eq!(router.choose_except(&table, &request, &[worker_id(0), worker_id(1)], SEC), Some(2));
    assert_eq!(router.choose_except(&table, &request, &[worker_id(0), worker_id(1), worker_id(2)], SEC), None);
    assert_eq!(router.choose(&PlacementTable::default(), &request, SEC), None);
}

#[test]
fn weights_decide_between_zones_and_prefilling_again() {
    // The prefix is cached in another zone only.
    let table = pool_table(3, 48);
    let request = prompt_request(&[(1, 12_000), (2, 100)]);
    for (near, reread, leaves_zone) in [(300, 0, false), (10_000, 100, false), (0, 100, true)] {
        let mut router = Router::new(7, "z0");
        router.weights =
            PlacementWeights { zone_locality: near, prefix_affinity: reread, ..PlacementWeights::default() };
        let ticket = router.start(&table, 1, &request, SEC);
        router.first_token(&table, 1, ticket, SEC + 100 * MS);
        router.end(&table, 1, ticket, CallOutcome::Done, SEC + 200 * MS);
        let chosen = router.choose(&table, &request, 2 * SEC).expect("room");
        assert_eq!(chosen == 1, leaves_zone, "near {near} reread {reread}");
    }
}

#[test]
fn urgent_calls_wait_only_for_calls_of_the_same_urgency_or_more() {
    let table = pool_table(1, 48);
    let router = Router::new(8, "z0");
    for nth in 0..10 {
        router.start(&table, 0, &PromptRequest { urgency: 5, ..prompt_request(&[(nth, 10_000)]) }, SEC);
    }
    let mut request = PromptRequest { time_left: 300 * MS, ..prompt_request(&[(99, 1_000)]) };
    assert!(router.choose(&table, &PromptRequest { urgency: 9, ..request.clone() }, SEC).is_none());
    request.urgency = 0;
    assert!(router.choose(&table, &request, SEC).is_some());
}

#[test]
fn a_new_incarnation_has_nothing_cached_and_an_idle_worker_is_forgotten() {
    let table = pool_table(3, 48);
    let router = Router::new(9, "z0");
    let request = prompt_request(&[(1, 5_000), (2, 100)]);
    router.call(&table, &request, 60 * MS, 100 * MS, SEC);
    assert_eq!(router.engines.size(), (1, 2));
    router.engines.expire(30 * SEC);
    assert_eq!(router.engines.size(), (1, 2));
    let reports: Vec<_> = (0..3)
        .map(|index| WorkerReport { incarnation: 2, ..report(&format!("w{index:03}"), &format!("z{}", index % 3), 48) })
        .collect();
    router.choose(&PlacementTable::new(reports.iter()), &request, 31 * SEC);
    assert_eq!(router.engines.size(), (1, 0));
    router.engines.expire(120 * SEC);
    assert_eq!(router.engines.size(), (0, 0));
}

#[test]
fn the_fit_finds_the_line_despite_outliers() {
    for (base, per_token) in [(8_000.0, 10.0), (30_000.0, 4.0), (2_000.0, 40.0)] {
        let mut fit = PrefillFit::default();
        for sample in 0..400u64 {
            let tokens = (sample * 7919 % 12_000) as f64;
            let time = if sample % 25 == 0 { 5e6 } else { base + per_token * tokens };
            fit.add_sample(tokens, time as u64, 1.0);
        }
        let expected = base + per_token * 6_000.0;
        assert!(
            (fit.expected_time(6_000.0) / expected - 1.0).abs() < 0.25,
            "{base} {per_token}: {:?}",
            fit.coefficients()
        );
    }
}

#[test]
fn a_slow_worker_is_learned_to_be_slow() {
    let table = pool_table(3, 48);
    let router = Router::new(10, "z0");
    for second in 0..60u64 {
        for worker in 0..3 {
            let request = prompt_request(&[(second * 3 + worker as u64, 4_000)]);
            let now = SEC + second * SEC;
            let ticket = router.start(&table, worker, &request, now);
            let prefill_ms = if worker == 0 { 700 } else { 60 };
            router.first_token(&table, worker, ticket, now + prefill_ms * MS);
            router.end(&table, worker, ticket, CallOutcome::Done, now + prefill_ms * MS);
        }
    }
    let chosen = router.choose(&table, &prompt_request(&[(999, 4_000)]), 90 * SEC).expect("room");
    assert_ne!(table.endpoints[chosen].zone, "z0", "its own zone's worker misses the latency target");
}

#[test]
fn the_prefix_cache_is_bounded_and_demand_decays() {
    let segment = |key, tokens| PromptSegment { key, tokens };
    let mut cache = PrefixCache::default();
    cache.record(&[segment(1, 400), segment(2, 400)], 1_000, SEC);
    cache.record(&[segment(3, 400)], 1_000, 2 * SEC);
    assert!(cache.contains(3) && cache.len() == 2, "one of the older two was removed");
    cache.remove(&[3]);
    assert!(!cache.contains(3) && cache.len() == 1);
    for number in 0..2_000 {
        cache.record(&[segment(10 + number, 1)], u64::MAX, number * MS);
    }
    assert!(cache.len() <= 256 && cache.contains(2_009) && !cache.contains(10));
    let mut demand = PromptDemand::default();
    for _ in 0..8 {
        demand.record(7, SEC);
    }
    assert!((demand.requests(7, SEC) - 8.0).abs() < 0.01);
    assert!((demand.requests(7, 21 * SEC) - 4.0).abs() < 0.1);
    assert!(demand.requests(8, SEC) < 0.01);
}

#[test]
fn a_choice_costs_microseconds() {
    // Measured loosely here; the figures are in the measurements page.
    for workers in [18, 150] {
        let table = pool_table(workers, 48);
        let router = Router::new(11, "z0");
        let started_at = std::time::Instant::now();
        for nth in 0..2_000u64 {
            let request = prompt_request(&[(1, 500), (nth % 200, 4_000), (10_000 + nth, 500)]);
            router.call(&table, &request, 20 * MS, 100 * MS, nth * 10 * MS);
        }
        let average_us = started_at.elapsed().as_micros() as u64 / 2_000;
        assert!(average_us < MAX_CHOICE_TIME, "{workers} workers: {average_us} us");
    }
}
