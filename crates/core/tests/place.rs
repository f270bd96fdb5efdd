//! Where calls with prompts go: tables of cases on the view of one node or of several.

use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::config::PlacementWeights;
use sumacvale_core::placement::{
    CallOutcome, EngineModels, PlacementContext, PlacementTable, PrefillFit, PrefixCache, PromptDemand, PromptRequest,
    PromptSegment, WorkerLoads,
};
use sumacvale_core::protocol::WorkerReport;

const COST: Micros = 2 * MS;

fn row(worker_id: &str, zone: &str, slots: u32) -> WorkerReport {
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

/// `n` workers in three zones by turns.
fn table(n: usize, slots: u32) -> PlacementTable {
    let rs: Vec<_> = (0..n).map(|i| row(&format!("w{i:03}"), &format!("z{}", i % 3), slots)).collect();
    PlacementTable::new(rs.iter())
}

fn ask(parts: &[(u64, u32)]) -> PromptRequest {
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

struct Front {
    e: EngineModels,
    l: WorkerLoads,
    set: PlacementWeights,
    zone: &'static str,
}

impl Front {
    fn new(seed: u64, zone: &'static str) -> Self {
        Front { e: EngineModels::new(seed), l: WorkerLoads::default(), set: PlacementWeights::default(), zone }
    }

    fn choose(&self, t: &PlacementTable, a: &PromptRequest, now: Micros) -> Option<usize> {
        self.past(t, a, &[], now)
    }

    fn past(&self, t: &PlacementTable, a: &PromptRequest, skip: &[String], now: Micros) -> Option<usize> {
        let s = PlacementContext { pool: "p", zone: self.zone, weights: &self.set, excluded: skip, now };
        self.e.choose(t, a, &s, &self.l)
    }

    fn begin(&self, t: &PlacementTable, i: usize, a: &PromptRequest, now: Micros) -> u64 {
        self.e.record_start("p", &t.endpoints[i], a, &self.set, now)
    }

    /// Chooses and sends; the first piece and the end come after these times.
    fn call(&self, t: &PlacementTable, a: &PromptRequest, first: Micros, end: Micros, now: Micros) -> usize {
        let i = self.choose(t, a, now).expect("room");
        let n = self.begin(t, i, a, now);
        let w = &t.endpoints[i].worker_id;
        self.e.record_first_token("p", w, n, now + first);
        self.e.record_end("p", w, n, CallOutcome::Done, now + first + end);
        i
    }
}

#[test]
fn nodes_that_know_nothing_of_each_other_send_a_prefix_to_the_same_keeper() {
    for n in [3, 9, 18, 90] {
        let t = table(n, 48);
        let mut same = 0;
        for k in 0..40u64 {
            let a = ask(&[(1, 500), (100 + k, 4_900), (9_000 + k, 600)]);
            let b = ask(&[(1, 500), (100 + k, 4_900), (7_000 + k, 900)]);
            let i = Front::new(1, "z1").choose(&t, &a, SEC).expect("room");
            let j = Front::new(2, "z2").choose(&t, &b, SEC).expect("room");
            same += u32::from(i == j);
        }
        assert!(same >= 36, "{n} workers: {same} of 40");
    }
}

#[test]
fn a_kept_prefix_is_gone_back_to_unless_its_worker_is_too_busy() {
    let t = table(9, 48);
    let f = Front::new(3, "z0");
    let a = ask(&[(1, 500), (2, 5_000), (3, 600)]);
    let i = f.call(&t, &a, 80 * MS, 10 * MS, SEC);
    let again = ask(&[(1, 500), (2, 5_000), (4, 600)]);
    for k in 0..20 {
        assert_eq!(f.choose(&t, &again, 2 * SEC + k), Some(i), "the same subject again");
    }
    // Long prompts wait there now: beyond the aim the others are better.
    for k in 0..12 {
        f.begin(&t, i, &ask(&[(50 + k, 8_000)]), 3 * SEC);
    }
    let j = f.choose(&t, &again, 3 * SEC).expect("room");
    assert!(j != i, "{i} {j}");
    // Who doesn't mind reading again stays in its zone then.
    let f = Front { set: PlacementWeights { prefix_affinity: 0, ..PlacementWeights::default() }, ..f };
    let j = f.choose(&t, &again, 3 * SEC).expect("room");
    assert!(j != i && t.endpoints[j].zone == "z0", "{i} {j}");
}

#[test]
fn own_calls_spread_before_anything_is_heard() {
    // A burst of prompts without anything in common, all at one moment.
    for (n, calls) in [(3, 12), (9, 36), (18, 72)] {
        let t = table(n, 48);
        let f = Front::new(4, "z2");
        let mut by = vec![0; n];
        for k in 0..calls {
            let a = ask(&[(1_000 + k, 6_000)]);
            let i = f.choose(&t, &a, SEC).expect("room");
            f.begin(&t, i, &a, SEC);
            by[i] += 1;
        }
        assert!(by.iter().all(|x| *x <= calls as usize * 2 / n + 3), "{by:?}");
    }
}

#[test]
fn what_a_worker_says_of_others_counts_and_fades() {
    let t = table(3, 8);
    let f = Front::new(5, "z0");
    let a = PromptRequest {
        parts: Default::default(),
        latency_target: 100 * MS,
        time_left: SEC,
        bytes: 2_000,
        ..PromptRequest::default()
    };
    let i = f.call(&t, &a, 15 * MS, 0, SEC);
    assert_eq!(t.endpoints[i].zone, "z0");
    let w = t.endpoints[i].worker_id.clone();
    f.e.record_load("p", &w, 8, 6, 2 * SEC);
    assert_ne!(f.choose(&t, &a, 2 * SEC), Some(i), "it is full of others' calls");
    assert_eq!(f.choose(&t, &a, 12 * SEC), Some(i), "that is long ago");
}

#[test]
fn who_may_be_chosen() {
    let t = table(3, 2);
    let a = PromptRequest { time_left: 50 * MS, latency_target: 100 * MS, ..PromptRequest::default() };
    let worker_id = |i: usize| t.endpoints[i].worker_id.clone();
    type Done = fn(&Front, &PlacementTable, &PromptRequest);
    let cases: [(&str, Done, bool); 6] = [
        ("none is busy", |_, _, _| {}, true),
        (
            "each has a long queue",
            |f, t, a| {
                for i in 0..3 {
                    for _ in 0..40 {
                        f.begin(t, i, a, SEC);
                    }
                }
            },
            false,
        ),
        (
            "all turned calls away",
            |f, t, a| {
                for i in 0..3 {
                    let n = f.begin(t, i, a, SEC);
                    f.e.record_end("p", &t.endpoints[i].worker_id, n, CallOutcome::Declined, SEC);
                }
            },
            false,
        ),
        (
            "all failed",
            |f, t, _| {
                for p in &t.endpoints {
                    f.l.mark_failed(&p.worker_id, p.incarnation, p.seq);
                }
            },
            true,
        ),
        (
            "all but one failed",
            |f, t, _| {
                for p in &t.endpoints[1..] {
                    f.l.mark_failed(&p.worker_id, p.incarnation, p.seq);
                }
            },
            true,
        ),
        (
            "one is silent for long",
            |f, t, a| {
                f.begin(t, 0, a, 0);
            },
            true,
        ),
    ];
    for (name, done, some) in cases {
        let f = Front::new(6, "z0");
        done(&f, &t, &a);
        let i = f.choose(&t, &a, SEC + MS);
        assert_eq!(i.is_some(), some, "{name}");
        if name.contains("silent") {
            assert_ne!(i, Some(0));
        }
        if name.contains("but one") {
            assert_eq!(i, Some(0));
        }
    }
    let f = Front::new(6, "z0");
    assert_eq!(f.past(&t, &a, &[worker_id(0), worker_id(1)], SEC), Some(2));
    assert_eq!(f.past(&t, &a, &[worker_id(0), worker_id(1), worker_id(2)], SEC), None);
    assert_eq!(f.choose(&PlacementTable::default(), &a, SEC), None);
}

#[test]
fn weights_decide_between_zones_and_rereads() {
    // The prefix is kept in another zone only.
    let t = table(3, 48);
    let a = ask(&[(1, 12_000), (2, 100)]);
    for (near, reread, far) in [(300, 0, false), (10_000, 100, false), (0, 100, true)] {
        let mut f = Front::new(7, "z0");
        f.set = PlacementWeights { zone_locality: near, prefix_affinity: reread, ..PlacementWeights::default() };
        let n = f.begin(&t, 1, &a, SEC);
        f.e.record_first_token("p", &t.endpoints[1].worker_id, n, SEC + 100 * MS);
        f.e.record_end("p", &t.endpoints[1].worker_id, n, CallOutcome::Done, SEC + 200 * MS);
        let i = f.choose(&t, &a, 2 * SEC).expect("room");
        assert_eq!(i == 1, far, "near {near} reread {reread}");
    }
}

#[test]
fn urgent_calls_see_only_what_is_before_them() {
    let t = table(1, 48);
    let f = Front::new(8, "z0");
    for k in 0..10 {
        f.begin(&t, 0, &PromptRequest { urgency: 5, ..ask(&[(k, 10_000)]) }, SEC);
    }
    let mut a = PromptRequest { time_left: 300 * MS, ..ask(&[(99, 1_000)]) };
    assert!(f.choose(&t, &PromptRequest { urgency: 9, ..a.clone() }, SEC).is_none());
    a.urgency = 0;
    assert!(f.choose(&t, &a, SEC).is_some());
}

#[test]
fn a_new_life_keeps_nothing_and_an_old_one_is_forgotten() {
    let t = table(3, 48);
    let f = Front::new(9, "z0");
    let a = ask(&[(1, 5_000), (2, 100)]);
    f.call(&t, &a, 60 * MS, 100 * MS, SEC);
    assert_eq!(f.e.size(), (1, 2));
    f.e.expire(30 * SEC);
    assert_eq!(f.e.size(), (1, 2));
    let rs: Vec<_> = (0..3)
        .map(|i| WorkerReport { incarnation: 2, ..row(&format!("w{i:03}"), &format!("z{}", i % 3), 48) })
        .collect();
    f.choose(&PlacementTable::new(rs.iter()), &a, 31 * SEC);
    assert_eq!(f.e.size(), (1, 0));
    f.e.expire(120 * SEC);
    assert_eq!(f.e.size(), (0, 0));
}

#[test]
fn the_fit_finds_the_line_and_bears_outliers() {
    for (base, each) in [(8_000.0, 10.0), (30_000.0, 4.0), (2_000.0, 40.0)] {
        let mut f = PrefillFit::default();
        for i in 0..400u64 {
            let x = (i * 7919 % 12_000) as f64;
            let y = if i % 25 == 0 { 5e6 } else { base + each * x };
            f.learn(x, y as u64, 1.0);
        }
        let want = base + each * 6_000.0;
        assert!((f.of(6_000.0) / want - 1.0).abs() < 0.25, "{base} {each}: {:?}", f.line());
    }
}

#[test]
fn a_slow_worker_is_found_out() {
    let t = table(3, 48);
    let f = Front::new(10, "z0");
    for k in 0..60u64 {
        for i in 0..3 {
            let a = ask(&[(k * 3 + i as u64, 4_000)]);
            let now = SEC + k * SEC;
            let n = f.begin(&t, i, &a, now);
            let took = if i == 0 { 700 } else { 60 };
            f.e.record_first_token("p", &t.endpoints[i].worker_id, n, now + took * MS);
            f.e.record_end("p", &t.endpoints[i].worker_id, n, CallOutcome::Done, now + took * MS);
        }
    }
    let i = f.choose(&t, &ask(&[(999, 4_000)]), 90 * SEC).expect("room");
    assert_ne!(t.endpoints[i].zone, "z0", "its own zone's worker misses the aim");
}

#[test]
fn what_is_kept_is_bounded_and_the_oldest_go_first() {
    let l = |key, tokens| PromptSegment { key, tokens };
    let mut k = PrefixCache::default();
    k.record(&[l(1, 400), l(2, 400)], 1_000, SEC);
    k.record(&[l(3, 400)], 1_000, 2 * SEC);
    assert!(k.contains(3) && k.len() == 2, "one of the older two gave way");
    k.remove(&[3]);
    assert!(!k.contains(3) && k.len() == 1);
    for i in 0..2_000 {
        k.record(&[l(10 + i, 1)], u64::MAX, i * MS);
    }
    assert!(k.len() <= 256 && k.contains(2_009) && !k.contains(10));
    let mut d = PromptDemand::default();
    for _ in 0..8 {
        d.record(7, SEC);
    }
    assert!((d.of(7, SEC) - 8.0).abs() < 0.01);
    assert!((d.of(7, 21 * SEC) - 4.0).abs() < 0.1);
    assert!(d.of(8, SEC) < 0.01);
}

#[test]
fn a_choice_costs_microseconds() {
    // Measured loosely here; the figures are in the measurements page.
    for n in [18, 150] {
        let t = table(n, 48);
        let f = Front::new(11, "z0");
        let at = std::time::Instant::now();
        for k in 0..2_000u64 {
            let a = ask(&[(1, 500), (k % 200, 4_000), (10_000 + k, 500)]);
            f.call(&t, &a, 20 * MS, 100 * MS, k * 10 * MS);
        }
        let each = at.elapsed().as_micros() as u64 / 2_000;
        assert!(each < COST, "{n} workers: {each} us");
    }
}
