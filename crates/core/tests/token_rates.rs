//! Tests of rates that count tokens: calls of very different sizes at many nodes that share a rate.

use std::collections::{BTreeMap, VecDeque};
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC};
use sumacvale_core::config::{QuotaLimit, QuotaMeasure, Rate, validate};
use sumacvale_core::protocol::{ShareGrant, ShareRequest};
use sumacvale_core::quota::{AcquireOutcome, FULL_SHARE, LOAN_DURATION, ShareBucket, SharePool};

const RATE: Rate = Rate { milli_per_second: 900_000_000, burst_milli: 900_000_000 };

fn grant_of(share: u32, burst_milli: u64, loaned_units: u32) -> ShareGrant {
    ShareGrant { granted: true, share, burst_milli, loaned_units }
}

/// Returns a bucket that received this grant at the time of its request.
fn granted_bucket(grant: ShareGrant, now: Micros) -> ShareBucket {
    let mut bucket = ShareBucket::new(RATE, now);
    bucket.make_request(0, 1, 0, now);
    assert!(bucket.apply_grant(1, grant, now, now));
    bucket
}

fn is_taken(outcome: AcquireOutcome) -> bool {
    matches!(outcome, AcquireOutcome::Acquired { .. })
}

#[test]
fn a_measure_determines_the_units_of_a_call() {
    let tokens = QuotaMeasure::Tokens { default_units: 200 };
    for (name, measure, known, expected) in [
        ("calls", QuotaMeasure::Calls, (1_460, 80), 1),
        ("tokens in and out", tokens, (1_460, 80), 1_540),
        ("not known", tokens, (0, 0), 200),
        ("not known, and no default for it", QuotaMeasure::Tokens { default_units: 0 }, (0, 0), 1),
        ("beyond all numbers", tokens, (u32::MAX, 80), u32::MAX),
    ] {
        assert_eq!(measure.units(known), expected, "{name}");
    }
}

#[test]
fn a_document_names_the_measure() {
    let quota_of = |quota: &str| {
        let text = format!("{{\"tenants\":{{\"t\":{{\"keys\":[],\"quota\":{quota}}}}}}}");
        validate(&text).map(|config| (config.tenants["t"].quota, config.tenants["t"].measure))
    };
    let rate = |milli, burst| QuotaLimit::Rate(Rate { milli_per_second: milli, burst_milli: burst });
    for (quota, expected) in [
        (r#"{"rate":38,"burst":38}"#, (rate(38_000, 38_000), QuotaMeasure::Calls)),
        (r#"{"rate":38,"burst":38,"measure":"calls"}"#, (rate(38_000, 38_000), QuotaMeasure::Calls)),
        // Units that are used late reduce the burst if the slack doesn't cover them.
        (
            r#"{"rate":926801,"burst":926801,"over":0.1,"slack":140000,"measure":"tokens","untold":200}"#,
            (rate(1_019_481_100, 696_080_600), QuotaMeasure::Tokens { default_units: 200 }),
        ),
        (
            r#"{"rate":36000,"burst":36000,"over":0.1,"slack":140000,"measure":"tokens"}"#,
            (rate(39_600_000, 161_600_000), QuotaMeasure::Tokens { default_units: 1 }),
        ),
        (
            r#"{"rate":900000,"burst":1000,"measure":"tokens"}"#,
            (rate(900_000_000, 500_000), QuotaMeasure::Tokens { default_units: 1 }),
        ),
    ] {
        assert_eq!(quota_of(quota).as_ref().ok(), Some(&expected), "{quota}");
    }
    for quota in [r#"{"rate":1,"burst":1,"measure":"bytes"}"#, r#"{"rate":1,"burst":1,"measure":"tokens","untold":0}"#]
    {
        assert!(quota_of(quota).is_err(), "{quota}");
    }
}

#[test]
fn a_call_takes_all_of_its_units_or_none() {
    for (name, share, burst_milli, loaned_units, units, expected) in [
        ("out of its share", FULL_SHARE, 50_000_000, 0, 50_000, true),
        ("one more than there is", FULL_SHARE, 50_000_000, 0, 50_001, false),
        ("out of a loan", 0, 0, 50_000, 50_000, true),
        ("a loan that is too small", 0, 0, 50_000, 50_001, false),
        ("out of both", FULL_SHARE, 30_000_000, 20_000, 50_000, true),
        ("both are too small", FULL_SHARE, 30_000_000, 19_999, 50_000, false),
        ("a share too small for it", FULL_SHARE / 100, 9_000_000, 0, 50_000, false),
    ] {
        let mut bucket = granted_bucket(grant_of(share, burst_milli, loaned_units), SEC);
        assert_eq!(is_taken(bucket.acquire_units(units, SEC)), expected, "{name}");
        if !expected {
            let left = (0..100).take_while(|_| is_taken(bucket.acquire_units(1_000, SEC))).count() as u64;
            let held = (burst_milli / 1_000).min(RATE.burst_milli / 1_000 * u64::from(share) / u64::from(FULL_SHARE));
            assert!(left + 1 >= held / 1_000, "{name}: {left} smaller ones of {held} units");
        }
    }
}

#[test]
fn a_refund_is_worth_what_was_taken() {
    let mut bucket = granted_bucket(grant_of(FULL_SHARE, 100_000_000, 0), SEC);
    let take = |bucket: &mut ShareBucket, units| match bucket.acquire_units(units, SEC) {
        AcquireOutcome::Acquired { window, .. } => window,
        other => panic!("{other:?}"),
    };
    // Acquired at the same time, and still distinguished.
    let (small, large) = (take(&mut bucket, 2_000), take(&mut bucket, 60_000));
    assert_ne!(small, large);
    bucket.refund(large, SEC);
    assert!(is_taken(bucket.acquire_units(98_000, SEC)), "all but what the small one took");
    bucket.refund(small, SEC);
    bucket.refund(small, SEC);
    assert!(is_taken(bucket.acquire_units(2_000, SEC)));
    assert!(!is_taken(bucket.acquire_units(1, SEC)), "nothing is refunded twice");
    // A loan is not refunded.
    let mut bucket = granted_bucket(grant_of(FULL_SHARE, 1_000_000, 4_000), SEC);
    let both = take(&mut bucket, 4_500);
    bucket.refund(both, SEC);
    assert!(is_taken(bucket.acquire_units(1_000, SEC)) && !is_taken(bucket.acquire_units(1, SEC)));
    let mut bucket = granted_bucket(grant_of(0, 0, 4_000), SEC);
    assert!(!is_taken(bucket.acquire_units(1_000, SEC + LOAN_DURATION)), "a loan expires");
}

#[test]
fn a_pool_lends_whole_calls() {
    let request_of = |missing_units, smallest_call_units| ShareRequest {
        tenant_key: 7,
        held_share: 0,
        returned_milli: 0,
        demand_milli: 0,
        missing_units,
        smallest_call_units,
        mean_call_units: 5_000,
        call_rate_milli: 0,
    };
    let free = RATE.burst_milli / 1_000;
    for (name, missing_units, smallest_call_units, expected) in [
        ("all", 30_000, 10_000, 30_000),
        ("more than is there", 1_000_000, 10_000, 900_000),
        ("only whole ones of what is there", 1_000_000, 400_000, 800_000),
        ("one that is too large", 1_000_000, 950_000, 0),
    ] {
        let mut pool = SharePool::full(RATE, SEC);
        let grant = pool
            .request((NodeId(1), 1), 1, &request_of(missing_units, smallest_call_units), RATE, 2, SEC)
            .expect("a response");
        assert_eq!(u64::from(grant.loaned_units), expected, "{name}, of {free}");
    }
}

/// A node that serves calls from its share.
struct Front {
    bucket: ShareBucket,
    last_request_id: u64,
    sent: BTreeMap<u64, Micros>,
    waiting: VecDeque<(Micros, u32)>,
}

/// The outcome of all calls of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    ran: Vec<(Micros, u32)>,
    rejected: u64,
    calls: u64,
}

/// Simulates nodes and the lease holder of their tenant's rate; messages arrive after a millisecond. `load` is the
/// total demand of all nodes, in units per second.
fn simulate(seed: u64, fronts: usize, load: u64, seconds: u64) -> Outcome {
    /// The longest time that a call waits for units, in microseconds.
    const MAX_WAIT: Micros = 125 * MS;
    let mut rng = Rng::new(seed);
    let mut now = 100 * SEC;
    let mut pool = SharePool::full(RATE, now);
    let new_front = |_| Front {
        bucket: ShareBucket::new(RATE, now),
        last_request_id: 0,
        sent: BTreeMap::new(),
        waiting: VecDeque::new(),
    };
    let mut fronts: Vec<_> = (0..fronts).map(new_front).collect();
    let mut requests: VecDeque<(Micros, usize, u64, ShareRequest)> = VecDeque::new();
    let mut responses: VecDeque<(Micros, usize, u64, ShareGrant)> = VecDeque::new();
    let mut outcome = Outcome::default();
    let nodes = fronts.len() as u64;
    // Three of four calls are short, the others long: 5,000 units on average.
    let size = |rng: &mut Rng| {
        let units = if rng.chance_percent(75) { 600 + rng.next_below(4_000) } else { 3_000 + rng.next_below(19_000) };
        u32::try_from(units).expect("small")
    };
    let (mean_units, ends_at) = (4_950, now + seconds * SEC);
    while now < ends_at {
        now += MS;
        while let Some((_, index, request_id, request)) = requests.pop_front_if(|entry| entry.0 <= now) {
            let grant = pool.request((NodeId(index as u64), 1), request_id, &request, RATE, nodes, now);
            responses.extend(grant.map(|grant| (now + MS, index, request_id, grant)));
        }
        while let Some((_, index, request_id, grant)) = responses.pop_front_if(|entry| entry.0 <= now) {
            let front = &mut fronts[index];
            if let Some(at) = front.sent.remove(&request_id) {
                front.bucket.apply_grant(request_id, grant, at, now);
            }
        }
        // The whole calls of a millisecond, and one more by chance for the fraction.
        let arriving = load / 1_000 / mean_units + u64::from(load / 1_000 % mean_units > rng.next_below(mean_units));
        for _ in 0..arriving {
            let index = usize::try_from(rng.next_below(nodes)).expect("small");
            let units = size(&mut rng);
            outcome.calls += 1;
            let front = &mut fronts[index];
            match front.bucket.acquire_units(units, now) {
                AcquireOutcome::Acquired { .. } => outcome.ran.push((now, units)),
                _ => {
                    front.bucket.request_units_soon();
                    front.waiting.push_back((now + MAX_WAIT, units));
                }
            }
        }
        for (index, front) in fronts.iter_mut().enumerate() {
            while let Some((_, units)) = front.waiting.front().copied() {
                front.bucket.set_smallest_waiting_call(units);
                if !is_taken(front.bucket.acquire_for_waiter(units, now)) {
                    break;
                }
                outcome.ran.push((now, units));
                front.waiting.pop_front();
            }
            while front.waiting.pop_front_if(|entry| entry.0 <= now).is_some() {
                outcome.rejected += 1;
            }
            if !front.waiting.is_empty() {
                front.bucket.request_units_soon();
            }
            if front.bucket.is_request_due(true, now) {
                front.last_request_id += 1;
                front.sent.insert(front.last_request_id, now);
                let waiting = front.waiting.iter().map(|entry| u64::from(entry.1)).sum();
                let request = front.bucket.make_request(7, front.last_request_id, waiting, now);
                requests.push_back((now + MS, index, front.last_request_id, request));
            }
        }
        if now.is_multiple_of(200 * MS) {
            pool.expire(RATE, now);
        }
    }
    outcome
}

/// Returns the most units that ran in any interval of this length.
fn max_units_in(ran: &[(Micros, u32)], length: Micros) -> u64 {
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
fn nothing_within_a_rate_of_tokens_is_rejected_however_many_nodes_share_it() {
    for fronts in [1, 6, 90] {
        let (mut calls, mut rejected) = (0, 0);
        for seed in 0..4 {
            let outcome = simulate(seed, fronts, 640_000, 20);
            (calls, rejected) = (calls + outcome.calls, rejected + outcome.rejected);
        }
        println!("{fronts} nodes at seven tenths of the rate: {rejected} of {calls} calls rejected");
        assert!(calls > 8_000, "{calls}");
        assert_eq!(rejected, 0, "{fronts} nodes");
    }
}

#[test]
fn no_interval_exceeds_a_rate_of_tokens_and_its_burst() {
    for (fronts, load) in [(1, 3_000_000), (6, 2_000_000), (90, 3_000_000), (90, 9_000_000)] {
        for seed in 0..3 {
            let outcome = simulate(seed, fronts, load, 20);
            for length in [SEC, 3 * SEC, 8 * SEC] {
                // Units that were lent before the interval may be used within it.
                let allowed = RATE.milli_per_second / 1_000 * (length + LOAN_DURATION) / SEC + RATE.burst_milli / 1_000;
                let most = max_units_in(&outcome.ran, length);
                assert!(most <= allowed, "{fronts} nodes, seed {seed}: {most} in {length} us, {allowed} allowed");
            }
            let ran: u64 = outcome.ran.iter().map(|call| u64::from(call.1)).sum();
            let full_rate = RATE.milli_per_second / 1_000 * 20;
            assert!(
                ran * 100 >= full_rate * 90,
                "{fronts} nodes at {load}, seed {seed}: {ran} of {full_rate} were used"
            );
        }
    }
}

/// One large call is no lasting demand: a share granted for it would be missing at all other nodes.
#[test]
fn a_single_large_call_changes_no_share() {
    let mut bucket = ShareBucket::new(RATE, SEC);
    for second in 1..=8 {
        bucket.acquire_units(1_000, second * SEC);
        bucket.make_request(7, second, 0, second * SEC);
    }
    bucket.acquire_units(60_000, 9 * SEC);
    let request = bucket.make_request(7, 9, 0, 9 * SEC);
    let mut pool = SharePool::full(RATE, SEC);
    let grant = pool.request((NodeId(1), 1), 1, &request, RATE, 90, 9 * SEC).expect("a response");
    assert!(grant.share * 90 <= FULL_SHARE, "{grant:?} for {request:?}");
    // Many calls per second are a lasting demand.
    let mut bucket = ShareBucket::new(RATE, SEC);
    (0..40).for_each(|_| {
        bucket.acquire_units(10_000, SEC);
    });
    let request = bucket.make_request(7, 1, 0, SEC + 500 * MS);
    let grant =
        SharePool::full(RATE, SEC).request((NodeId(1), 1), 1, &request, RATE, 90, SEC + 500 * MS).expect("a response");
    assert!(grant.share > FULL_SHARE / 4, "{grant:?} for {request:?}");
}

/// A call that arrives while a request is pending is not part of that request: a response without units must not reject
/// the call.
#[test]
fn units_for_a_call_during_a_pending_request_are_requested_before_it_is_rejected() {
    let may_receive_units =
        |outcome: AcquireOutcome| matches!(outcome, AcquireOutcome::RateExhausted { may_receive_units: true, .. });
    let mut bucket = granted_bucket(grant_of(0, 0, 0), SEC);
    let now = 2 * SEC;
    assert!(may_receive_units(bucket.acquire_units(2_000, now)));
    assert_eq!(bucket.make_request(7, 2, 0, now).missing_units, 2_000);
    assert!(may_receive_units(bucket.acquire_units(3_000, now + MS)), "a response is awaited");
    assert!(bucket.apply_grant(2, grant_of(0, 0, 2_000), now, now + MS));
    assert!(is_taken(bucket.acquire_for_waiter(2_000, now + MS)));
    assert!(may_receive_units(bucket.acquire_for_waiter(3_000, now + MS)), "it is requested for next");
    bucket.request_units_soon();
    assert!(bucket.is_request_due(true, now + 5 * MS));
    assert_eq!(bucket.make_request(7, 3, 0, now + 5 * MS).missing_units, 3_000);
    // Now the lease holder has responded that it has no units.
    assert!(bucket.apply_grant(3, grant_of(0, 0, 0), now + 5 * MS, now + 6 * MS));
    assert!(!may_receive_units(bucket.acquire_for_waiter(3_000, now + 6 * MS)));
}

/// Too few units for a large call may be enough for smaller calls, which must not be rejected.
#[test]
fn a_large_call_that_finds_too_few_units_causes_no_rejection_of_a_small_one() {
    let may_receive_units =
        |outcome: AcquireOutcome| matches!(outcome, AcquireOutcome::RateExhausted { may_receive_units: true, .. });
    let mut bucket = granted_bucket(grant_of(0, 0, 0), SEC);
    let now = 10 * SEC;
    bucket.make_request(7, 2, 0, now - 2 * SEC);
    assert!(bucket.apply_grant(2, grant_of(0, 0, 0), now - 2 * SEC, now - 2 * SEC));
    assert!(may_receive_units(bucket.acquire_units(50_000, now)));
    bucket.make_request(7, 3, 0, now);
    assert!(bucket.apply_grant(3, grant_of(0, 0, 0), now, now + MS));
    assert!(!may_receive_units(bucket.acquire_for_waiter(50_000, now + 2 * MS)), "for this one there is too little");
    assert!(may_receive_units(bucket.acquire_units(2_000, now + 2 * MS)), "a smaller one is requested for");
    bucket.request_units_soon();
    assert!(bucket.is_request_due(true, now + 6 * MS), "soon");
    let request = bucket.make_request(7, 4, 0, now + 6 * MS);
    assert_eq!(request.smallest_call_units, 2_000, "and what is enough for it is enough");
    assert!(bucket.apply_grant(4, grant_of(0, 0, 2_000), now + 6 * MS, now + 7 * MS));
    assert!(
        !is_taken(bucket.acquire_for_waiter(50_000, now + 7 * MS))
            && is_taken(bucket.acquire_for_waiter(2_000, now + 7 * MS))
    );
}
