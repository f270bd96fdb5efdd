//! Rates that count tokens: calls of very different sizes, shared by many nodes.

use std::collections::{BTreeMap, VecDeque};
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC};
use sumacvale_core::config::{Limit, Measure, Rate, validate};
use sumacvale_core::protocol::{ShareGrant, ShareRequest};
use sumacvale_core::quota::{FULL_SHARE, LOAN_DURATION, ShareBucket, SharePool, TakeOutcome};

const RATE: Rate = Rate { milli_per_second: 900_000_000, burst_milli: 900_000_000 };

fn given(share: u32, add: u64, lend: u32) -> ShareGrant {
    ShareGrant { granted: true, share, burst_milli: add, loaned_units: lend }
}

/// A bucket that was given this at the time of its ask.
fn bucket(given: ShareGrant, now: Micros) -> ShareBucket {
    let mut b = ShareBucket::new(RATE, now);
    b.make_request(0, 1, 0, now);
    assert!(b.apply_grant(1, given, now, now));
    b
}

fn is_taken(t: TakeOutcome) -> bool {
    matches!(t, TakeOutcome::Taken { .. })
}

#[test]
fn a_measure_says_how_many_units_a_call_is() {
    let tokens = Measure::Tokens { default_units: 200 };
    for (name, measure, told, want) in [
        ("calls", Measure::Calls, (1_460, 80), 1),
        ("tokens in and out", tokens, (1_460, 80), 1_540),
        ("not told", tokens, (0, 0), 200),
        ("not told, and no number for it", Measure::Tokens { default_units: 0 }, (0, 0), 1),
        ("beyond all numbers", tokens, (u32::MAX, 80), u32::MAX),
    ] {
        assert_eq!(measure.units(told), want, "{name}");
    }
}

#[test]
fn a_document_names_the_measure() {
    let of = |quota: &str| {
        let text = format!("{{\"tenants\":{{\"t\":{{\"keys\":[],\"quota\":{quota}}}}}}}");
        validate(&text).map(|p| (p.tenants["t"].quota, p.tenants["t"].measure))
    };
    let rate = |milli, burst| Limit::Rate(Rate { milli_per_second: milli, burst_milli: burst });
    for (quota, want) in [
        (r#"{"rate":38,"burst":38}"#, (rate(38_000, 38_000), Measure::Calls)),
        (r#"{"rate":38,"burst":38,"measure":"calls"}"#, (rate(38_000, 38_000), Measure::Calls)),
        // What is used late is taken off the burst where the slack doesn't pay for it.
        (
            r#"{"rate":926801,"burst":926801,"over":0.1,"slack":140000,"measure":"tokens","untold":200}"#,
            (rate(1_019_481_100, 696_080_600), Measure::Tokens { default_units: 200 }),
        ),
        (
            r#"{"rate":36000,"burst":36000,"over":0.1,"slack":140000,"measure":"tokens"}"#,
            (rate(39_600_000, 161_600_000), Measure::Tokens { default_units: 1 }),
        ),
        (
            r#"{"rate":900000,"burst":1000,"measure":"tokens"}"#,
            (rate(900_000_000, 500_000), Measure::Tokens { default_units: 1 }),
        ),
    ] {
        assert_eq!(of(quota).as_ref().ok(), Some(&want), "{quota}");
    }
    for quota in [r#"{"rate":1,"burst":1,"measure":"bytes"}"#, r#"{"rate":1,"burst":1,"measure":"tokens","untold":0}"#]
    {
        assert!(of(quota).is_err(), "{quota}");
    }
}

#[test]
fn a_call_takes_all_of_its_units_or_none() {
    for (name, share, add, lend, units, want) in [
        ("out of its share", FULL_SHARE, 50_000_000, 0, 50_000, true),
        ("one more than there is", FULL_SHARE, 50_000_000, 0, 50_001, false),
        ("out of a loan", 0, 0, 50_000, 50_000, true),
        ("a loan that is too small", 0, 0, 50_000, 50_001, false),
        ("out of both", FULL_SHARE, 30_000_000, 20_000, 50_000, true),
        ("both are too small", FULL_SHARE, 30_000_000, 19_999, 50_000, false),
        ("a share too small for it", FULL_SHARE / 100, 9_000_000, 0, 50_000, false),
    ] {
        let mut b = bucket(given(share, add, lend), SEC);
        assert_eq!(is_taken(b.take_units(units, SEC)), want, "{name}");
        if !want {
            let left = (0..100).take_while(|_| is_taken(b.take_units(1_000, SEC))).count() as u64;
            let held = (add / 1_000).min(RATE.burst_milli / 1_000 * u64::from(share) / u64::from(FULL_SHARE));
            assert!(left + 1 >= held / 1_000, "{name}: {left} smaller ones of {held} units");
        }
    }
}

#[test]
fn what_comes_back_is_what_was_taken() {
    let mut b = bucket(given(FULL_SHARE, 100_000_000, 0), SEC);
    let take = |b: &mut ShareBucket, units| match b.take_units(units, SEC) {
        TakeOutcome::Taken { window, .. } => window,
        other => panic!("{other:?}"),
    };
    // Taken at the same moment, and told apart.
    let (small, large) = (take(&mut b, 2_000), take(&mut b, 60_000));
    assert_ne!(small, large);
    b.refund(large, SEC);
    assert!(is_taken(b.take_units(98_000, SEC)), "all but what the small one took");
    b.refund(small, SEC);
    b.refund(small, SEC);
    assert!(is_taken(b.take_units(2_000, SEC)));
    assert!(!is_taken(b.take_units(1, SEC)), "nothing comes back twice");
    // Of a loan nothing comes back.
    let mut b = bucket(given(FULL_SHARE, 1_000_000, 4_000), SEC);
    let both = take(&mut b, 4_500);
    b.refund(both, SEC);
    assert!(is_taken(b.take_units(1_000, SEC)) && !is_taken(b.take_units(1, SEC)));
    let mut b = bucket(given(0, 0, 4_000), SEC);
    assert!(!is_taken(b.take_units(1_000, SEC + LOAN_DURATION)), "a loan ends");
}

#[test]
fn a_pool_lends_whole_calls() {
    let ask = |need, first| ShareRequest {
        tenant_key: 7,
        held_share: 0,
        returned_milli: 0,
        demand_milli: 0,
        missing_units: need,
        smallest_call: first,
        usual_call: 5_000,
        call_rate_milli: 0,
    };
    let free = RATE.burst_milli / 1_000;
    for (name, need, first, want) in [
        ("all", 30_000, 10_000, 30_000),
        ("more than is there", 1_000_000, 10_000, 900_000),
        ("only whole ones of what is there", 1_000_000, 400_000, 800_000),
        ("one that is too large", 1_000_000, 950_000, 0),
    ] {
        let mut pool = SharePool::full(RATE, SEC);
        let g = pool.request((NodeId(1), 1), 1, &ask(need, first), RATE, 2, SEC).expect("an answer");
        assert_eq!(u64::from(g.loaned_units), want, "{name}, of {free}");
    }
}

struct Front {
    bucket: ShareBucket,
    asked: u64,
    sent: BTreeMap<u64, Micros>,
    waits: VecDeque<(Micros, u32)>,
}

/// What became of the units that calls asked for.
#[derive(Debug, Default)]
struct Outcome {
    ran: Vec<(Micros, u32)>,
    refused: u64,
    calls: u64,
}

/// Nodes and the holder of their tenant's rate, a millisecond apart. `load` is what all look for
/// together in a second, in units.
fn play(seed: u64, fronts: usize, load: u64, seconds: u64) -> Outcome {
    const PATIENCE: Micros = 125 * MS;
    let mut rng = Rng::new(seed);
    let mut now = 100 * SEC;
    let mut pool = SharePool::full(RATE, now);
    let front =
        |_| Front { bucket: ShareBucket::new(RATE, now), asked: 0, sent: BTreeMap::new(), waits: VecDeque::new() };
    let mut fronts: Vec<_> = (0..fronts).map(front).collect();
    let mut asks: VecDeque<(Micros, usize, u64, ShareRequest)> = VecDeque::new();
    let mut answers: VecDeque<(Micros, usize, u64, ShareGrant)> = VecDeque::new();
    let mut out = Outcome::default();
    let nodes = fronts.len() as u64;
    // Three of four are short, the others long: 5,000 units in the mean.
    let size = |rng: &mut Rng| {
        let units = if rng.chance(75) { 600 + rng.below(4_000) } else { 3_000 + rng.below(19_000) };
        u32::try_from(units).expect("small")
    };
    let (mean, end) = (4_950, now + seconds * SEC);
    while now < end {
        now += MS;
        while let Some((_, i, n, q)) = asks.pop_front_if(|a| a.0 <= now) {
            let given = pool.request((NodeId(i as u64), 1), n, &q, RATE, nodes, now);
            answers.extend(given.map(|g| (now + MS, i, n, g)));
        }
        while let Some((_, i, n, g)) = answers.pop_front_if(|a| a.0 <= now) {
            let f = &mut fronts[i];
            if let Some(at) = f.sent.remove(&n) {
                f.bucket.apply_grant(n, g, at, now);
            }
        }
        // Whole calls of a millisecond, and one more by chance for the rest.
        let come = load / 1_000 / mean + u64::from(load / 1_000 % mean > rng.below(mean));
        for _ in 0..come {
            let i = usize::try_from(rng.below(nodes)).expect("small");
            let units = size(&mut rng);
            out.calls += 1;
            let f = &mut fronts[i];
            match f.bucket.take_units(units, now) {
                TakeOutcome::Taken { .. } => out.ran.push((now, units)),
                _ => {
                    f.bucket.request_soon();
                    f.waits.push_back((now + PATIENCE, units));
                }
            }
        }
        for (i, f) in fronts.iter_mut().enumerate() {
            while let Some((_, units)) = f.waits.front().copied() {
                f.bucket.set_smallest_call(units);
                if !is_taken(f.bucket.take_for_waiter(units, now)) {
                    break;
                }
                out.ran.push((now, units));
                f.waits.pop_front();
            }
            while f.waits.pop_front_if(|w| w.0 <= now).is_some() {
                out.refused += 1;
            }
            if !f.waits.is_empty() {
                f.bucket.request_soon();
            }
            if f.bucket.is_request_due(true, now) {
                f.asked += 1;
                f.sent.insert(f.asked, now);
                let waiting = f.waits.iter().map(|w| u64::from(w.1)).sum();
                let q = f.bucket.make_request(7, f.asked, waiting, now);
                asks.push_back((now + MS, i, f.asked, q));
            }
        }
        if now.is_multiple_of(200 * MS) {
            pool.expire(RATE, now);
        }
    }
    out
}

/// The most units that ran in any interval of this length.
fn most_in(ran: &[(Micros, u32)], length: Micros) -> u64 {
    let (mut from, mut sum, mut most) = (0, 0, 0);
    for (at, units) in ran {
        sum += u64::from(*units);
        while ran[from].0 + length <= *at {
            sum -= u64::from(ran[from].1);
            from += 1;
        }
        most = most.max(sum);
    }
    most
}

#[test]
fn nothing_within_a_rate_of_tokens_is_refused_however_many_nodes_share_it() {
    for fronts in [1, 6, 90] {
        let (mut calls, mut refused) = (0, 0);
        for seed in 0..4 {
            let o = play(seed, fronts, 640_000, 20);
            (calls, refused) = (calls + o.calls, refused + o.refused);
        }
        println!("{fronts} nodes at seven tenths of the rate: {refused} of {calls} calls refused");
        assert!(calls > 8_000, "{calls}");
        assert_eq!(refused, 0, "{fronts} nodes");
    }
}

#[test]
fn no_interval_sees_more_tokens_than_the_rate_and_its_burst() {
    for (fronts, load) in [(1, 3_000_000), (6, 2_000_000), (90, 3_000_000), (90, 9_000_000)] {
        for seed in 0..3 {
            let o = play(seed, fronts, load, 20);
            for length in [SEC, 3 * SEC, 8 * SEC] {
                // What was lent before the interval may be used in it.
                let bound = RATE.milli_per_second / 1_000 * (length + LOAN_DURATION) / SEC + RATE.burst_milli / 1_000;
                let most = most_in(&o.ran, length);
                assert!(most <= bound, "{fronts} nodes, seed {seed}: {most} in {length} us, {bound} allowed");
            }
            let ran: u64 = o.ran.iter().map(|r| u64::from(r.1)).sum();
            let whole = RATE.milli_per_second / 1_000 * 20;
            assert!(ran * 100 >= whole * 90, "{fronts} nodes at {load}, seed {seed}: {ran} of {whole} were used");
        }
    }
}

/// One large call is no demand that lasts: a node that looked for it holds no share by it, which
/// would be missing for all others.
#[test]
fn a_single_large_call_moves_no_share() {
    let mut bucket = ShareBucket::new(RATE, SEC);
    for second in 1..=8 {
        bucket.take_units(1_000, second * SEC);
        bucket.make_request(7, second, 0, second * SEC);
    }
    bucket.take_units(60_000, 9 * SEC);
    let q = bucket.make_request(7, 9, 0, 9 * SEC);
    let mut pool = SharePool::full(RATE, SEC);
    let g = pool.request((NodeId(1), 1), 1, &q, RATE, 90, 9 * SEC).expect("an answer");
    assert!(g.share * 90 <= FULL_SHARE, "{g:?} for {q:?}");
    // Many calls in each second are.
    let mut bucket = ShareBucket::new(RATE, SEC);
    (0..40).for_each(|_| {
        bucket.take_units(10_000, SEC);
    });
    let q = bucket.make_request(7, 1, 0, SEC + 500 * MS);
    let g = SharePool::full(RATE, SEC).request((NodeId(1), 1), 1, &q, RATE, 90, SEC + 500 * MS).expect("an answer");
    assert!(g.share > FULL_SHARE / 4, "{g:?} for {q:?}");
}

/// A call that came while an ask was open was not asked for yet: the answer says nothing of it.
#[test]
fn who_comes_while_an_ask_is_open_is_asked_for_before_it_is_refused() {
    let more = |t: TakeOutcome| matches!(t, TakeOutcome::RateExhausted { may_get_more: true, .. });
    let mut b = bucket(given(0, 0, 0), SEC);
    let now = 2 * SEC;
    assert!(more(b.take_units(2_000, now)));
    assert_eq!(b.make_request(7, 2, 0, now).missing_units, 2_000);
    assert!(more(b.take_units(3_000, now + MS)), "an answer is awaited");
    assert!(b.apply_grant(2, given(0, 0, 2_000), now, now + MS));
    assert!(is_taken(b.take_for_waiter(2_000, now + MS)));
    assert!(more(b.take_for_waiter(3_000, now + MS)), "it is asked for next");
    b.request_soon();
    assert!(b.is_request_due(true, now + 5 * MS));
    assert_eq!(b.make_request(7, 3, 0, now + 5 * MS).missing_units, 3_000);
    // Now the holder has said that it has none.
    assert!(b.apply_grant(3, given(0, 0, 0), now + 5 * MS, now + 6 * MS));
    assert!(!more(b.take_for_waiter(3_000, now + 6 * MS)));
}

/// That there is too little for a large call says nothing of smaller ones.
#[test]
fn a_large_call_that_finds_too_little_gets_no_small_one_refused() {
    let more = |t: TakeOutcome| matches!(t, TakeOutcome::RateExhausted { may_get_more: true, .. });
    let mut b = bucket(given(0, 0, 0), SEC);
    let now = 10 * SEC;
    b.make_request(7, 2, 0, now - 2 * SEC);
    assert!(b.apply_grant(2, given(0, 0, 0), now - 2 * SEC, now - 2 * SEC));
    assert!(more(b.take_units(50_000, now)));
    b.make_request(7, 3, 0, now);
    assert!(b.apply_grant(3, given(0, 0, 0), now, now + MS));
    assert!(!more(b.take_for_waiter(50_000, now + 2 * MS)), "for this one there is too little");
    assert!(more(b.take_units(2_000, now + 2 * MS)), "a smaller one is asked for");
    b.request_soon();
    assert!(b.is_request_due(true, now + 6 * MS), "soon");
    let q = b.make_request(7, 4, 0, now + 6 * MS);
    assert_eq!(q.smallest_call, 2_000, "and what is enough for it is enough");
    assert!(b.apply_grant(4, given(0, 0, 2_000), now + 6 * MS, now + 7 * MS));
    assert!(!is_taken(b.take_for_waiter(50_000, now + 7 * MS)) && is_taken(b.take_for_waiter(2_000, now + 7 * MS)));
}
