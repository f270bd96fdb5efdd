//! The pools of a lease holder.

use super::RATE;
use sumacvale_core::base::{MS, Micros, NodeId, SEC};
use sumacvale_core::config::{CompiledConfig, Rate};
use sumacvale_core::lease::{LEASE_DURATION, LeaseDecision, LeaseGrantor};
use sumacvale_core::protocol::{RegisteredIncarnation, ShareRequest};
use sumacvale_core::quota::{SHARE_LEASE, SharePool, SharePools};

fn request_of(held_share: u32, demand_milli: u64, missing_units: u32) -> ShareRequest {
    ShareRequest {
        tenant_key: 7,
        held_share,
        returned_milli: 0,
        demand_milli,
        missing_units,
        smallest_call_units: missing_units.min(1),
        mean_call_units: 1,
        call_rate_milli: demand_milli,
    }
}

/// Returns the pool of the tenant in `request_of`.
fn pool_of(pools: &mut SharePools, role: u32, now: Micros) -> Option<&mut SharePool> {
    pools.pool(role, 7, RATE, now)
}

const FIRST_NODE: (NodeId, u64) = (NodeId(1), 1);
const SECOND_NODE: (NodeId, u64) = (NodeId(2), 1);

#[test]
fn a_pool_grants_only_shares_that_no_node_can_hold() {
    let grant_to = |pool: &mut SharePool, node, request_id, request, now| {
        pool.request(node, request_id, &request, RATE, 2, now).map_or((9, 9), |grant| (grant.share, grant.burst_milli))
    };
    // The first lease holder: half of the rate follows the demand, with half of the free units.
    let mut pool = SharePool::full(RATE, SEC);
    assert_eq!(grant_to(&mut pool, FIRST_NODE, 1, request_of(0, 8_000, 0), SEC), (500_000, 5_000));
    assert_eq!(
        pool.request(FIRST_NODE, 1, &request_of(500_000, 8_000, 0), RATE, 2, SEC),
        None,
        "the same request again"
    );
    let (second_share, _) = grant_to(&mut pool, SECOND_NODE, 1, request_of(0, 8_000, 0), SEC);
    assert_eq!(second_share, 250_000, "as much as another node with the same demand will have");
    // A share that shrinks counts in full until its holder reports the smaller share.
    let (first_share, _) = grant_to(&mut pool, FIRST_NODE, 2, request_of(500_000, 8_000, 0), SEC + MS);
    assert_eq!((first_share, pool.list().0), (250_000, 750_000));
    grant_to(&mut pool, FIRST_NODE, 3, request_of(first_share, 8_000, 0), SEC + 2 * MS);
    assert_eq!(pool.list().0, 500_000);
    // A node that sends no requests holds its share until the share expires.
    let expires_at = SEC + 3 * MS + SHARE_LEASE;
    pool.expire(RATE, expires_at - 10 * MS);
    assert_eq!(pool.list().0, 500_000);
    pool.expire(RATE, expires_at + 200 * MS);
    assert_eq!(pool.list().0, 0);
}

#[test]
fn a_new_lease_holder_counts_unreported_shares_as_held() {
    let unaccounted_until = SEC + SHARE_LEASE;
    let mut pool = SharePool::new(RATE, unaccounted_until, SEC);
    let grant = pool.request(FIRST_NODE, 1, &request_of(600_000, 8_000, 3), RATE, 2, SEC).unwrap();
    assert!(
        grant.share >= 500_000 && (grant.burst_milli, grant.loaned_units) == (0, 0),
        "renewed, and nothing on top: {grant:?}"
    );
    assert_eq!(pool.list(), (600_000, 400_000));
    let grant = pool.request(SECOND_NODE, 1, &request_of(0, 8_000, 3), RATE, 2, SEC).unwrap();
    assert_eq!((grant.share, grant.burst_milli, grant.loaned_units), (0, 0, 0));
    // A third node reports its share, which was part of the unaccounted share.
    pool.request((NodeId(3), 1), 1, &request_of(300_000, 0, 0), RATE, 2, SEC);
    assert_eq!(pool.list(), (900_000, 100_000));
    // The difference of a share that shrank may be granted to others at once, the unaccounted share after a share
    // lease.
    let grant = pool.request(FIRST_NODE, 2, &request_of(600_000, 1_000, 0), RATE, 2, SEC + MS).unwrap();
    assert!(grant.share < 300_000);
    pool.request(FIRST_NODE, 3, &request_of(grant.share, 1_000, 0), RATE, 2, SEC + MS);
    let grant = pool.request(SECOND_NODE, 2, &request_of(0, 8_000, 3), RATE, 2, SEC + MS).unwrap();
    assert!(grant.share > 300_000 && grant.burst_milli == 0, "a share that another node held comes empty: {grant:?}");
    pool.expire(RATE, unaccounted_until);
    assert_eq!(pool.list().1, 0);
}

#[test]
fn a_pool_created_late_is_as_full_as_if_no_node_had_used_it() {
    for (name, first, elapsed, expected) in [
        ("the first lease holder", true, 0, 10_000),
        ("a later lease holder", false, 0, 0),
        ("half a second after a share lease", false, SHARE_LEASE + 600 * MS, 5_000),
        ("long after it", false, 60 * SEC, 10_000),
    ] {
        let mut pools = SharePools::default();
        pools.begin_lease(3, first, SEC, 0);
        let grant = pool_of(&mut pools, 3, SEC + elapsed)
            .unwrap()
            .request(FIRST_NODE, 1, &request_of(0, 50_000, 99), RATE, 1, SEC + elapsed)
            .unwrap();
        assert_eq!(u64::from(grant.loaned_units) * 1_000, expected, "{name}: {grant:?}");
        assert_eq!(grant.burst_milli, 0, "{name}: all of it is lent: {grant:?}");
        assert!(pool_of(&mut pools, 4, SEC + elapsed).is_none(), "{name}: another role");
        pools.end_lease(3);
        assert!(pools.list().is_empty(), "{name}");
    }
}

#[test]
fn a_voter_knows_whether_a_role_was_ever_held() {
    let mut grantor = LeaseGrantor::default();
    assert_eq!(grantor.request(0, NodeId(1), 1, true, 0), LeaseDecision::Granted { is_new_epoch: true });
    assert!(grantor.previously_held.is_empty(), "the request may have failed");
    grantor.request(0, NodeId(1), 1, false, MS);
    assert!(grantor.previously_held.contains(&0));
    grantor.request(0, NodeId(2), 2, true, 2 * LEASE_DURATION);
    assert!(grantor.previously_held.contains(&0) && !grantor.previously_held.contains(&1));
}

#[test]
fn unaccounted_shares_end_once_no_suspect_is_left() {
    let registered =
        |node, incarnation, addr: &str| RegisteredIncarnation { node_id: NodeId(node), incarnation, addr: addr.into() };
    let (replied_at, later) = (SEC + 100 * MS, SEC + 600 * MS);
    type Reply<'addr> = (u64, u64, &'addr str, bool);
    // The replies: node, incarnation, address, and whether the node's request names the tenant.
    let cases: &[(&str, &[RegisteredIncarnation], &[Reply], bool)] = &[
        ("nobody is registered: they end by time", &[], &[(9, 1, "a", true)], false),
        ("the only suspect reports its share", &[registered(1, 1, "a")], &[(1, 1, "a", true)], true),
        ("it is alive, and reports nothing of this tenant", &[registered(1, 1, "a")], &[(1, 1, "a", false)], false),
        ("another incarnation is at its address", &[registered(1, 1, "a")], &[(2, 1, "a", false)], true),
        ("another incarnation is elsewhere", &[registered(1, 1, "a")], &[(2, 1, "b", true)], false),
        ("a later incarnation of it", &[registered(1, 1, "a")], &[(1, 2, "b", false)], true),
        ("an earlier incarnation of it elsewhere", &[registered(1, 2, "a")], &[(1, 1, "b", false)], false),
        ("one of two is cut off", &[registered(1, 1, "a"), registered(2, 1, "b")], &[(3, 1, "a", true)], false),
        (
            "both are replaced",
            &[registered(1, 1, "a"), registered(2, 1, "b")],
            &[(3, 1, "a", true), (4, 1, "b", true)],
            true,
        ),
    ];
    for (name, suspects, replies, ends) in cases {
        for early in [true, false] {
            let mut pools = SharePools::default();
            pools.begin_lease(3, false, SEC, 0);
            pools.set_suspects(3, suspects);
            if early {
                pool_of(&mut pools, 3, SEC).unwrap().request((NodeId(50), 1), 1, &request_of(0, 100, 0), RATE, 1, SEC);
            }
            for (node, incarnation, addr, reports_share) in *replies {
                pools.record_reply(3, (NodeId(*node), *incarnation), addr, 0, replied_at);
                if *reports_share {
                    pools.record_share_report(
                        3,
                        &request_of(0, 0, 0),
                        (NodeId(*node), *incarnation),
                        RATE,
                        0,
                        replied_at,
                    );
                }
            }
            let grant = pool_of(&mut pools, 3, later)
                .unwrap()
                .request((NodeId(60), 1), 1, &request_of(0, 50_000, 99), RATE, 1, later)
                .unwrap();
            assert_eq!(grant.share > 0, *ends, "{name}, {early}: {grant:?}");
            assert!(grant.burst_milli <= 5_000, "{name}: only what came in since: {grant:?}");
        }
    }
}

/// A new lease holder's pool that started empty would reject calls although no node used the rate. Checks the whole
/// units in the pool right after the last suspect was cleared.
#[test]
fn the_pool_is_refilled_for_the_time_in_which_provably_nobody_used_the_rate() {
    let registered =
        |node, addr: &str| RegisteredIncarnation { node_id: NodeId(node), incarnation: 1, addr: addr.into() };
    /// A reply: node, address, the age of its incarnation, and how long it was idle if its request names the tenant.
    type Reply<'addr> = (u64, &'addr str, Micros, Option<Micros>);
    let (half, second) = (500 * MS, SEC);
    // Ten units per second, and clocks may run fast by a fiftieth.
    let cases: &[(&str, &[RegisteredIncarnation], &[Reply], u32)] = &[
        ("replaced half a second ago", &[registered(1, "a")], &[(9, "a", half, None)], 4),
        ("replaced just now", &[registered(1, "a")], &[(9, "a", 0, None)], 0),
        (
            "two were, at different times",
            &[registered(1, "a"), registered(2, "b")],
            &[(8, "a", half, None), (9, "b", second, None)],
            4,
        ),
        ("it is alive and was granted nothing", &[registered(1, "a")], &[(1, "a", second, Some(second))], 9),
        ("it is alive and was granted something just now", &[registered(1, "a")], &[(1, "a", second, Some(0))], 0),
        (
            "one of two was just now",
            &[registered(1, "a"), registered(2, "b")],
            &[(9, "a", second, None), (2, "b", second, Some(0))],
            0,
        ),
        (
            "the other way round",
            &[registered(1, "a"), registered(2, "b")],
            &[(2, "b", second, Some(0)), (9, "a", second, None)],
            0,
        ),
        ("one did not reply", &[registered(1, "a"), registered(2, "b")], &[(9, "a", second, None)], 0),
        // The burst is 10. The lease began 0.1 s ago, and unregistered nodes may have used the rate up to a share lease
        // before that.
        ("longer than voters know of", &[registered(1, "a")], &[(9, "a", 60 * SEC, None)], 10),
        ("nobody is registered", &[], &[(9, "a", second, None)], 0),
    ];
    let lease_began_at = 100 * SEC;
    let now = lease_began_at + 100 * MS;
    for (name, suspects, replies, expected) in cases {
        for early in [true, false] {
            let mut pools = SharePools::default();
            pools.begin_lease(3, false, lease_began_at, 0);
            pools.set_suspects(3, suspects);
            if early {
                pool_of(&mut pools, 3, lease_began_at).unwrap().request(
                    (NodeId(50), 1),
                    1,
                    &request_of(0, 100, 0),
                    RATE,
                    1,
                    lease_began_at,
                );
            }
            for (node, addr, age, idle) in *replies {
                pools.record_reply(3, (NodeId(*node), 1), addr, *age, now);
                if let Some(idle) = idle {
                    pools.record_share_report(3, &request_of(0, 0, 0), (NodeId(*node), 1), RATE, *idle, now);
                }
            }
            let grant = pool_of(&mut pools, 3, now)
                .unwrap()
                .request((NodeId(60), 1), 1, &request_of(0, 0, 99), RATE, 1, now)
                .unwrap();
            assert_eq!(grant.loaned_units, *expected, "{name}, {early}: {grant:?}");
        }
    }
    let slow = Rate { milli_per_second: 1_000, burst_milli: 100_000 };
    let mut pools = SharePools::default();
    pools.begin_lease(3, false, lease_began_at, 0);
    pools.set_suspects(3, &[registered(1, "a")]);
    pools.record_reply(3, (NodeId(9), 1), "a", 60 * SEC, now);
    let grant =
        pools.pool(3, 7, slow, now).unwrap().request((NodeId(60), 1), 1, &request_of(0, 0, 99), slow, 1, now).unwrap();
    assert_eq!(grant.loaned_units, 4, "an incarnation that voters have forgotten may have used it before that");
}

/// Only a share that no node held is credited to the pool, and only once the reported shares are known not to be part
/// of it; otherwise the units of a held share would be granted twice.
#[test]
fn a_held_share_is_not_credited() {
    let suspects = [(1, "a"), (2, "b")].map(|(node, addr)| RegisteredIncarnation {
        node_id: NodeId(node),
        incarnation: 1,
        addr: addr.into(),
    });
    let (lease_began_at, now) = (100 * SEC, 100 * SEC + 100 * MS);
    // The shares of both nodes, the share that the first node reported earlier without a claim, and the whole units in
    // the pool at ten units per second.
    for (name, held, before, expected) in [
        ("nothing", (0, 0), None, 9),
        ("half", (250_000, 250_000), None, 4),
        ("the last one half", (0, 500_000), None, 4),
        ("the first one half, and reported it", (500_000, 0), Some(500_000), 4),
        ("the first one returned half of it", (250_000, 0), Some(500_000), 4),
        ("all", (500_000, 500_000), None, 0),
    ] {
        let mut pools = SharePools::default();
        pools.begin_lease(3, false, lease_began_at, 0);
        pools.set_suspects(3, &suspects);
        let grant_to = |pools: &mut SharePools, by, node, request: ShareRequest| {
            pool_of(pools, 3, now).unwrap().request(by, node, &request, RATE, 9, now).unwrap()
        };
        if let Some(share) = before {
            grant_to(&mut pools, FIRST_NODE, 1, request_of(share, 0, 0));
        }
        for (by, share) in [(FIRST_NODE, held.0), (SECOND_NODE, held.1)] {
            let request = request_of(share, 0, 0);
            pools.record_share_report(3, &request, by, RATE, SEC, now);
            grant_to(&mut pools, by, 2, request);
        }
        assert_eq!(grant_to(&mut pools, (NodeId(60), 1), 1, request_of(0, 0, 99)).loaned_units, expected, "{name}");
        assert_eq!(
            grant_to(&mut pools, (NodeId(60), 1), 2, request_of(0, 0, 99)).loaned_units,
            0,
            "{name}: credited once"
        );
    }
}

/// A tenant that one configuration removes and a later one adds again may still be served by units from before.
#[test]
fn only_the_first_configuration_with_tenants_proves_them_unused() {
    let compile = |document: &str| CompiledConfig::compile(1, document);
    let (with_tenant, without_tenants) =
        (r#"{"tenants":{"a":{"keys":[],"quota":{"rate":5,"burst":5}}}}"#, r#"{"tenants":{}}"#);
    let slices = sumacvale_core::quota::TenantQuotas::default();
    slices.rates.apply_config(&compile(without_tenants), SEC);
    slices.rates.apply_config(&compile(with_tenant), 3 * SEC);
    assert_eq!(slices.rates.idle_for("a", 4 * SEC), 3 * SEC, "since the start of the incarnation");
    slices.rates.apply_config(&compile(without_tenants), 5 * SEC);
    slices.rates.apply_config(&compile(with_tenant), 6 * SEC);
    assert_eq!(slices.rates.idle_for("a", 7 * SEC), 500 * MS, "earlier units may be used for half a second");
}
