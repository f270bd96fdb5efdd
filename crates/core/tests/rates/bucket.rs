//! The bucket of a node.

use super::{RATE, grant_of, granted_bucket, units_taken};
use sumacvale_core::base::{MS, Micros, SEC};
use sumacvale_core::config::Rate;
use sumacvale_core::protocol::ShareGrant;
use sumacvale_core::quota::{AcquireOutcome, FULL_SHARE, SHARE_LEASE, ShareBucket};

#[test]
fn a_bucket_spends_no_more_than_its_share() {
    let half = FULL_SHARE / 2;
    for (name, share, burst_milli, elapsed, expected) in [
        ("empty at first", half, 0, 0, 0),
        ("with units on top", half, 3_000, 0, 3),
        ("never over its part of the burst", half, 9_000, 0, 5),
        ("after a second at half the rate", half, 0, SEC, 5),
        ("full after more", half, 0, 2 * SEC, 5),
        ("the share has expired", half, 5_000, SHARE_LEASE, 0),
        ("just before its end", half, 5_000, SHARE_LEASE - 1, 5),
        ("too small for a whole unit", FULL_SHARE / 20, 9_000, 3 * SEC, 0),
    ] {
        let mut bucket = granted_bucket(share, burst_milli, SEC);
        assert_eq!(units_taken(&mut bucket, SEC + elapsed), expected, "{name}");
    }
}

#[test]
fn a_change_of_the_share_creates_no_units() {
    for (name, share, burst_milli, expected, returned) in [
        ("renewed", 500_000, 0, 5, 0),
        ("grown", FULL_SHARE, 0, 5, 0),
        ("grown with units on top", FULL_SHARE, 2_000, 7, 0),
        ("shrunk", 200_000, 0, 2, 3_000),
        ("taken away", 0, 0, 0, 5_000),
    ] {
        let mut bucket = granted_bucket(500_000, 5_000, SEC);
        bucket.make_request(0, 2, 0, SEC);
        assert!(bucket.apply_grant(2, grant_of(share, burst_milli), SEC, SEC), "{name}");
        assert_eq!(units_taken(&mut bucket, SEC), expected, "{name}");
        assert_eq!(bucket.make_request(0, 3, 0, SEC + 500 * MS).returned_milli, returned, "{name}");
        assert_eq!(bucket.make_request(0, 4, 0, 2 * SEC).returned_milli, 0, "{name}: reported once");
    }
}

#[test]
fn only_the_response_to_the_newest_request_is_applied() {
    for (name, request_id, sent, now, expected) in [
        ("the newest", 3, SEC, SEC + MS, true),
        ("an older one", 2, SEC, SEC + MS, false),
        ("one that was never sent", 4, SEC, SEC + MS, false),
        ("after the share expired", 3, SEC, SEC + SHARE_LEASE, false),
    ] {
        let mut bucket = granted_bucket(0, 0, SEC);
        bucket.make_request(0, 2, 0, SEC);
        bucket.make_request(0, 3, 0, SEC);
        assert_eq!(bucket.apply_grant(request_id, grant_of(FULL_SHARE, 5_000), sent, now), expected, "{name}");
        assert_eq!(units_taken(&mut bucket, now) > 0, expected, "{name}");
        assert!(!bucket.apply_grant(request_id, grant_of(FULL_SHARE, 5_000), sent, now), "{name}: twice");
    }
}

#[test]
fn a_refund_is_worth_a_unit_unless_the_bucket_was_full_since() {
    for (name, elapsed, spend, expected) in
        [("at once", MS, 0, 5), ("others were taken", MS, 2, 3), ("the bucket was full meanwhile", SEC, 5, 0)]
    {
        let mut bucket = granted_bucket(500_000, 5_000, SEC);
        let AcquireOutcome::Acquired { window, .. } = bucket.acquire_unit(SEC + 1) else { panic!("{name}") };
        let refunded_at = SEC + 1 + elapsed;
        let spent =
            (0..spend).filter(|_| matches!(bucket.acquire_unit(refunded_at), AcquireOutcome::Acquired { .. })).count();
        assert_eq!(spent, spend, "{name}");
        bucket.refund(window, refunded_at);
        assert_eq!(units_taken(&mut bucket, refunded_at), expected, "{name}");
    }
}

#[test]
fn a_lower_limit_applies_at_once() {
    let mut bucket = granted_bucket(500_000, 5_000, SEC);
    bucket.set_rate(Rate { milli_per_second: 2_000, burst_milli: 4_000 }, SEC);
    assert_eq!(units_taken(&mut bucket, SEC), 2);
    assert_eq!(units_taken(&mut bucket, 2 * SEC), 1);
}

#[test]
fn an_empty_bucket_reports_when_the_next_unit_is_refilled() {
    let mut bucket = ShareBucket::new(RATE, SEC);
    assert_eq!(bucket.acquire_unit(SEC), AcquireOutcome::Empty, "no response came yet");
    let mut bucket = granted_bucket(500_000, 0, SEC);
    assert_eq!(
        bucket.acquire_unit(SEC),
        AcquireOutcome::RateExhausted { wait: 200 * MS, interval: 200 * MS, may_receive_units: true },
        "it was not requested yet"
    );
    // The lease holder has no units, and its pool is no longer filling up.
    assert_eq!(units_taken(&mut bucket, 3 * SEC), 5);
    assert_eq!(bucket.make_request(0, 2, 0, 3 * SEC).missing_units, 2);
    assert!(bucket.apply_grant(2, grant_of(500_000, 0), 3 * SEC, 3 * SEC));
    assert_eq!(
        bucket.acquire_unit(3 * SEC),
        AcquireOutcome::RateExhausted { wait: 200 * MS, interval: 200 * MS, may_receive_units: false }
    );
    let mut bucket = granted_bucket(500_000, 0, SEC);
    assert!(
        matches!(bucket.acquire_unit(SEC + 100 * MS), AcquireOutcome::RateExhausted { wait, may_receive_units: true, .. } if wait == 100 * MS)
    );
    assert_eq!(bucket.acquire_unit(SEC + SHARE_LEASE), AcquireOutcome::Empty, "the share has expired");
    let mut bucket = granted_bucket(0, 0, SEC);
    assert!(
        matches!(bucket.acquire_unit(SEC), AcquireOutcome::RateExhausted { may_receive_units: true, wait, .. } if wait > 3_600 * SEC)
    );
    bucket.make_request(0, 2, 0, 3 * SEC);
    assert!(bucket.apply_grant(2, grant_of(0, 0), 3 * SEC, 3 * SEC), "there is none");
    assert!(
        matches!(bucket.acquire_unit(3 * SEC), AcquireOutcome::RateExhausted { may_receive_units: false, wait, .. } if wait > 3_600 * SEC)
    );
}

/// After a power loss of all nodes a lease holder's pool starts empty and is refilled by the rate. A pool without units
/// then doesn't mean that the rate is exhausted.
#[test]
fn calls_wait_for_the_pool_to_fill_right_after_a_start() {
    let waits = |bucket: &mut ShareBucket, now: Micros| {
        matches!(bucket.acquire_unit(now), AcquireOutcome::RateExhausted { may_receive_units: true, .. })
    };
    let respond_with_nothing = |bucket: &mut ShareBucket, request_id: u64, now: Micros| {
        bucket.make_request(0, request_id, 1, now);
        assert!(bucket.apply_grant(request_id, grant_of(0, 0), now, now));
    };
    let mut bucket = ShareBucket::new(RATE, SEC);
    let first = SEC + 10 * MS;
    respond_with_nothing(&mut bucket, 1, first);
    for (request_id, after) in [(2, 0), (3, 300 * MS), (4, 999 * MS)] {
        respond_with_nothing(&mut bucket, request_id, first + after);
        assert!(waits(&mut bucket, first + after), "{after} us after the first response");
    }
    for (request_id, after) in [(5, SEC), (6, 3 * SEC)] {
        respond_with_nothing(&mut bucket, request_id, first + after);
        assert!(!waits(&mut bucket, first + after), "{after} us after the first response it counts");
    }
    // A node without a response for longer than a share lease is in the same state as after a start.
    let again = first + 3 * SEC + SHARE_LEASE;
    respond_with_nothing(&mut bucket, 7, again);
    assert!(waits(&mut bucket, again + MS), "the first response after that");
}

#[test]
fn a_bucket_is_idle_since_its_last_grant_or_change_of_share() {
    let second = 2 * SEC;
    for (name, held, grant, idle) in [
        ("nothing", 0, grant_of(0, 0), 2 * SEC),
        ("a share", 0, grant_of(1, 0), SEC),
        ("the same share", 500_000, grant_of(500_000, 0), SEC + 500 * MS),
        ("a larger one", 500_000, grant_of(600_000, 0), SEC),
        ("a smaller one", 500_000, grant_of(400_000, 0), SEC),
        ("units", 0, grant_of(0, 1), SEC),
        ("a loan", 0, ShareGrant { loaned_units: 1, ..grant_of(0, 0) }, SEC),
    ] {
        let mut bucket = ShareBucket::first_of_incarnation(RATE, SEC, SEC);
        if held > 0 {
            bucket.make_request(0, 1, 0, SEC + 500 * MS);
            assert!(bucket.apply_grant(1, grant_of(held, 0), SEC + 500 * MS, SEC + 500 * MS), "{name}");
        }
        bucket.make_request(0, 2, 0, second);
        assert!(bucket.apply_grant(2, grant, second, second), "{name}");
        assert_eq!(bucket.idle_for(3 * SEC), idle, "{name}");
    }
    let mut bucket = granted_bucket(500_000, 0, SEC);
    assert_eq!(bucket.idle_for(SEC + SHARE_LEASE + 300 * MS), 300 * MS, "its share had expired");
    assert_eq!(
        ShareBucket::new(RATE, SEC).idle_for(SEC + 400 * MS),
        0,
        "an earlier bucket of the tenant may have had units"
    );
}
