//! Standby lending: the pool's grants to a standby, the loans out of the standby's bucket, and the use of a
//! loan by its borrower.

use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, NodeId, SEC};
use sumacvale_core::config::Rate;
use sumacvale_core::protocol::{LoanRequest, RegisteredIncarnation, ShareGrant, ShareRequest};
use sumacvale_core::quota::{
    AcquireOutcome, HEDGE_DELAY, LOAN_DURATION, RESERVE_REQUEST_MARKER, Requester, SHARE_LEASE, STANDBY_SHARE,
    ShareBucket, SharePool, SharePools, SharePurpose,
};

const RATE: Rate = Rate { milli_per_second: 10_000, burst_milli: 40_000 };

fn share_request(held_share: u32, mean_call_units: u32, missing_units: u32) -> ShareRequest {
    ShareRequest {
        tenant_key: 7,
        held_share,
        returned_milli: 0,
        demand_milli: 0,
        missing_units,
        smallest_call_units: if missing_units == 0 {
            RESERVE_REQUEST_MARKER
        } else {
            mean_call_units.min(missing_units)
        },
        mean_call_units,
        call_rate_milli: 0,
    }
}

fn grant(
    pool: &mut SharePool,
    node: u64,
    request_id: u64,
    purpose: SharePurpose,
    request: &ShareRequest,
) -> ShareGrant {
    let requester = Requester { incarnation: (NodeId(node), 1), request_id, purpose, knows_lease: true };
    pool.grant(requester, request, RATE, 90, SEC).expect("a new request")
}

/// Returns a bucket that was granted a share and that share's part of the burst.
fn granted_bucket(share: u32, now: Micros) -> ShareBucket {
    let mut bucket = ShareBucket::new(RATE, now);
    bucket.make_request(7, 1, 0, now);
    let burst_milli = RATE.burst_milli;
    assert!(bucket.apply_grant(1, ShareGrant { granted: true, share, burst_milli, loaned_units: 0 }, now, now));
    bucket
}

fn is_taken(outcome: AcquireOutcome) -> bool {
    matches!(outcome, AcquireOutcome::Acquired { .. })
}

/// The reserve of a standby must not take units that the pool needs for calls.
#[test]
fn a_pool_grants_the_standby_a_part_of_what_it_has_in_plenty() {
    let request = share_request(0, 1, 0);
    let mut pool = SharePool::full(RATE, SEC);
    let first = grant(&mut pool, 1, 1, SharePurpose::StandbyReserve, &request);
    assert_eq!((first.share, first.burst_milli), (STANDBY_SHARE, 10_000), "of a full pool");
    assert_eq!(grant(&mut pool, 2, 1, SharePurpose::ReturnReserve, &request).share, 0, "one that is not the standby");
    let held = share_request(STANDBY_SHARE, 1, 0);
    assert_eq!(grant(&mut pool, 1, 2, SharePurpose::StandbyReserve, &held).share, STANDBY_SHARE, "renewed");
    assert_eq!(grant(&mut pool, 1, 3, SharePurpose::ReturnReserve, &held).share, 0, "no longer the standby");

    let mut pool = SharePool::full(RATE, SEC);
    let spent = share_request(0, 1, 30);
    assert_eq!(grant(&mut pool, 3, 1, SharePurpose::OwnCalls, &spent).loaned_units, 30);
    assert_eq!(
        grant(&mut pool, 1, 1, SharePurpose::StandbyReserve, &request).share,
        0,
        "of a pool that is nearly empty"
    );

    let mut pool = SharePool::full(RATE, SEC);
    let large_calls = share_request(0, 6, 0);
    grant(&mut pool, 3, 1, SharePurpose::OwnCalls, &large_calls);
    assert_eq!(
        grant(&mut pool, 1, 1, SharePurpose::StandbyReserve, &request).share,
        0,
        "of a burst of few usual calls"
    );
}

/// A loan that is not spent in the standby's bucket, or is made from an expired share, would exceed the
/// tenant's rate.
#[test]
fn a_standby_lends_whole_calls_out_of_its_own_bucket() {
    let mut bucket = granted_bucket(STANDBY_SHARE, SEC);
    let lend = |bucket: &mut ShareBucket, missing_units, smallest_call_units, now| {
        bucket.lend(&LoanRequest { tenant_key: 7, missing_units, smallest_call_units }, now)
    };
    assert_eq!(lend(&mut bucket, 9, 4, SEC), 8, "two calls of four units, of ten that it has");
    assert_eq!(lend(&mut bucket, 9, 4, SEC), 0, "two units are of no use");
    assert_eq!(lend(&mut bucket, 9, 1, SEC), 2);
    assert_eq!(lend(&mut bucket, 9, 1, SEC), 0, "what is lent is spent");
    assert!(!is_taken(bucket.acquire_unit(SEC)), "for its own calls as well");
    assert_eq!(lend(&mut bucket, 9, 1, 3 * SEC), 5, "what came in since");
    assert_eq!(lend(&mut bucket, 9, 1, SEC + SHARE_LEASE), 0, "its share has expired");
}

/// A loan must be void [`LOAN_DURATION`] after its request, whether or not it was used.
#[test]
fn a_loan_is_worth_its_units_for_a_moment() {
    for (name, elapsed, units, expected) in [
        ("at once", MS, 2, 2),
        ("just before it expires", LOAN_DURATION - 1, 2, 2),
        ("once it has expired", LOAN_DURATION, 2, 0),
        ("nothing was lent", MS, 0, 0),
    ] {
        let mut bucket = granted_bucket(0, SEC);
        bucket.record_waiting(2, SEC);
        bucket.make_loan_request(7, SEC);
        bucket.apply_loan(units, SEC, SEC + MS);
        let taken = (0..9).take_while(|_| is_taken(bucket.acquire_unit(SEC + elapsed))).count();
        assert_eq!(taken, expected, "{name}");
    }
    // The loans of the lease holder and of the standby are used together, until the first of them expires.
    let mut bucket = granted_bucket(0, SEC);
    bucket.make_request(7, 2, 2, SEC);
    assert!(bucket.apply_grant(2, ShareGrant { granted: true, share: 0, burst_milli: 0, loaned_units: 2 }, SEC, SEC));
    bucket.make_loan_request(7, SEC + 50 * MS);
    bucket.apply_loan(3, SEC + 50 * MS, SEC + 60 * MS);
    assert!(!is_taken(bucket.acquire_units(6, SEC + 60 * MS)));
    let both = bucket.acquire_units(4, SEC + 60 * MS);
    assert!(
        matches!(both, AcquireOutcome::Acquired { expires_at, .. } if expires_at == SEC + LOAN_DURATION),
        "{both:?}"
    );
    let rest = bucket.acquire_units(1, SEC + 210 * MS);
    assert!(matches!(rest, AcquireOutcome::Acquired { expires_at, .. } if expires_at == SEC + 250 * MS), "{rest:?}");
}

/// The standby is sent a request only for waiting calls, and only if the lease holder does not answer or has
/// no units. Requests beyond that would use up the standby's units.
#[test]
fn the_standby_is_asked_where_the_lease_holder_does_not_serve_the_calls() {
    // The first response was long enough ago for the pool to be warm.
    let asked = 3 * SEC;
    let bucket_with = |available: bool, answered: Option<u32>| {
        let mut bucket = granted_bucket(0, SEC);
        bucket.set_standby_available(available);
        assert!(!is_taken(bucket.acquire_unit(asked)));
        bucket.make_request(7, 2, 1, asked);
        if let Some(loaned_units) = answered {
            let grant = ShareGrant { granted: true, share: 0, burst_milli: 0, loaned_units };
            assert!(bucket.apply_grant(2, grant, asked, asked + MS));
        }
        bucket
    };
    let late = asked + HEDGE_DELAY;
    for (name, available, answered, waits_at, now, expected) in [
        ("no response", true, None, late, late, true),
        ("no response yet", true, None, late - 1, late - 1, false),
        ("no other node stands by", false, None, late, late, false),
        ("no call waits any more", true, None, asked, late + 100 * MS, false),
        ("the lease holder lent some", true, Some(1), late, late, false),
        ("the lease holder has none", true, Some(0), asked + MS, asked + MS, true),
    ] {
        let mut bucket = bucket_with(available, answered);
        bucket.record_waiting(1, waits_at);
        assert_eq!(bucket.is_loan_due(now), expected, "{name}");
    }
    // A standby that had no units is sent no request for a while, and calls do not wait for it.
    let mut bucket = bucket_with(true, Some(0));
    bucket.record_waiting(1, late);
    assert!(matches!(
        bucket.acquire_for_waiter(1, late),
        AcquireOutcome::RateExhausted { may_receive_units: true, .. }
    ));
    bucket.make_loan_request(7, late);
    assert!(!bucket.is_loan_due(late), "one request at a time");
    bucket.apply_loan(0, late, late + MS);
    bucket.record_waiting(1, late + 2 * MS);
    assert!(!bucket.is_loan_due(late + 2 * MS));
    assert!(matches!(
        bucket.acquire_for_waiter(1, late + 2 * MS),
        AcquireOutcome::RateExhausted { may_receive_units: false, .. }
    ));
    bucket.record_waiting(1, late + 300 * MS);
    assert!(bucket.is_loan_due(late + 300 * MS));
    // Calls do not wait for a standby that does not answer either.
    bucket.make_loan_request(7, late + 300 * MS);
    let may_receive_units = |bucket: &mut ShareBucket, now| match bucket.acquire_for_waiter(1, now) {
        AcquireOutcome::RateExhausted { may_receive_units, .. } => may_receive_units,
        outcome => panic!("{outcome:?}"),
    };
    bucket.make_request(7, 3, 1, late + 300 * MS);
    let nothing = ShareGrant { granted: true, share: 0, burst_milli: 0, loaned_units: 0 };
    assert!(bucket.apply_grant(3, nothing, late + 300 * MS, late + 301 * MS));
    assert!(may_receive_units(&mut bucket, late + 390 * MS), "it may still answer");
    bucket.make_request(7, 4, 1, late + 395 * MS);
    assert!(bucket.apply_grant(4, nothing, late + 395 * MS, late + 396 * MS));
    assert!(!may_receive_units(&mut bucket, late + 410 * MS), "it did not answer");
}

/// A standby needs no registration, so a new lease holder may not know which one holds a reserve. It must
/// count the reserve as in use until each possible standby has reported under the new lease or shares have
/// expired; otherwise it would grant those units twice.
#[test]
fn a_new_lease_holder_counts_the_reserve_of_a_standby_that_it_did_not_hear() {
    const ROLE: u32 = 3;
    let after_lease = SEC + SHARE_LEASE + 200 * MS;
    let voters: BTreeMap<_, _> = [1, 2].map(|node| (NodeId(node), format!("n{node}"))).into();
    let free_at = |pools: &mut SharePools, now: Micros| {
        let pool = pools.pool(ROLE, 7, RATE, now).expect("it holds the lease");
        // A share that became free since the last refill adds no units for the time before.
        pool.expire(RATE, now.saturating_sub(4 * SEC));
        pool.expire(RATE, now);
        let asked = share_request(0, 1, 99);
        pool.request((NodeId(9), 1), now, &asked, RATE, 90, now).expect("a new request").loaned_units
    };
    for (name, reported, first, now, expected) in [
        ("nobody reported", &[][..], false, SEC + 3_900 * MS, 30),
        ("one of two reported", &[1], false, SEC + 3_900 * MS, 30),
        ("all reported", &[1, 2], false, SEC + 3_900 * MS, 39),
        ("shares have expired", &[], false, after_lease + 4 * SEC, 40),
        ("there was no lease before", &[], true, SEC, 40),
    ] {
        let mut pools = SharePools::default();
        pools.begin_lease(ROLE, first, SEC, 0);
        pools.set_reserve_suspects(ROLE, voters.clone());
        // The registered incarnations are known to have held nothing since the lease began.
        pools.set_suspects(ROLE, &[registered(5)]);
        assert!(pools.pool(ROLE, 7, RATE, SEC).is_some());
        assert!(pools.record_reply(ROLE, (NodeId(6), 2), "n5", 0, SEC), "{name}: the registered one is dead");
        for node in reported {
            let request = share_request(0, 1, 0);
            pools.record_share_report(ROLE, &request, (NodeId(*node), 1), RATE, 0, SEC);
        }
        pools.expire(|_| Some(RATE), SEC + MS);
        if !first && now < after_lease {
            let probed = if reported.len() < 2 { vec!["n1".to_owned(), "n2".to_owned()] } else { Vec::new() };
            assert_eq!(pools.suspect_addresses(ROLE, SEC + MS).into_iter().collect::<Vec<_>>(), probed, "{name}");
        }
        assert_eq!(free_at(&mut pools, now), expected, "{name}");
    }
}

fn registered(node: u64) -> RegisteredIncarnation {
    RegisteredIncarnation { node_id: NodeId(node), incarnation: 1, addr: format!("n{node}") }
}
