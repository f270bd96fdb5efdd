//! Tests of shares of a rate: the bucket of a node, the pool of a lease holder, and both together in a simulation.

mod rate_excess;

use rate_excess::largest_excess;
use std::collections::{BTreeMap, VecDeque};
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC};
use sumacvale_core::config::{CompiledConfig, QuotaLimit, Rate, effective_settings, validate};
use sumacvale_core::lease::{LEASE_DURATION, LeaseDecision, LeaseGrantor};
use sumacvale_core::protocol::{RegisteredIncarnation, ShareGrant, ShareRequest};
use sumacvale_core::quota::{
    AcquireOutcome, FULL_SHARE, LOAN_DURATION, SHARE_LEASE, ShareBucket, SharePool, SharePools,
};

const RATE: Rate = Rate { milli_per_second: 10_000, burst_milli: 10_000 };

fn grant_of(share: u32, burst_milli: u64) -> ShareGrant {
    ShareGrant { granted: true, share, burst_milli, loaned_units: 0 }
}

fn units_taken(bucket: &mut ShareBucket, now: Micros) -> u64 {
    (0..1_000).take_while(|_| matches!(bucket.acquire_unit(now), AcquireOutcome::Acquired { .. })).count() as u64
}

/// Returns a bucket that was granted a share at the time of its request.
fn granted_bucket(share: u32, burst_milli: u64, now: Micros) -> ShareBucket {
    let mut bucket = ShareBucket::new(RATE, now);
    bucket.make_request(0, 1, 0, now);
    assert!(bucket.apply_grant(1, grant_of(share, burst_milli), now, now));
    bucket
}

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
fn a_quota_has_three_forms() {
    let document = r#"{"defaults":{"quota":{"rate":38,"burst":38,"over":0.06,"slack":29}},"tenants":{
        "a":{"keys":[]},"b":{"keys":[],"quota":"none"},"c":{"keys":[],"quota":{"calls":5,"window_ms":1000}},
        "d":{"keys":[],"quota":{"rate":0.5,"burst":2}}}}"#;
    let config = validate(document).unwrap();
    for (tenant, expected, shown) in [
        (
            "a",
            QuotaLimit::Rate(Rate { milli_per_second: 40_280, burst_milli: 50_280 }),
            r#""quota":{"rate":40.28,"burst":50.28}"#,
        ),
        ("b", QuotaLimit::Unlimited, r#""quota":"none""#),
        (
            "d",
            QuotaLimit::Rate(Rate { milli_per_second: 500, burst_milli: 2_000 }),
            r#""quota":{"rate":0.5,"burst":2}"#,
        ),
    ] {
        assert_eq!(config.tenants[tenant].quota, expected, "{tenant}");
        assert!(effective_settings(&config, "tenants", tenant).unwrap().contains(shown), "{tenant}");
    }
    assert!(matches!(config.tenants["c"].quota, QuotaLimit::Window(quota) if quota.calls == 5));
}

#[test]
fn the_effective_settings_of_a_tenant_name_its_urgency() {
    let config = validate(r#"{"tenants":{"a":{"keys":[],"urgency":3},"b":{"keys":[]}}}"#).unwrap();
    for (tenant, shown) in [("a", r#""urgency":3"#), ("b", r#""urgency":null"#)] {
        let settings = effective_settings(&config, "tenants", tenant).unwrap();
        assert!(settings.contains(shown), "{settings}");
    }
}

#[test]
fn an_unlimited_tenant_makes_no_requests() {
    let slices = sumacvale_core::quota::TenantQuotas::default();
    slices.rates.apply_config(&CompiledConfig::compile(1, r#"{"tenants":{"b":{"keys":[],"quota":"none"}}}"#), 0);
    for now in 0..1_000 {
        assert!(matches!(slices.acquire_unit("b", now), AcquireOutcome::Acquired { is_low: false, .. }));
    }
    assert!(slices.rates.due_requests(|_| true, SEC).is_empty());
}

/// Returns the allowed excess of an interval over the rate, in thousandths of calls: the burst, and the units lent just
/// before the interval.
fn allowed_excess(rate: Rate) -> i128 {
    i128::from(rate.burst_milli) + i128::from(rate.milli_per_second) * i128::from(LOAN_DURATION) / i128::from(SEC)
}

/// The longest time that a call waits for a unit, in microseconds.
const MAX_WAIT: Micros = 500 * MS;

/// A planted fault of the lease holder, which the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// The lease holder ignores partitioned suspects.
    IgnoresCutOff,
    /// The lease holder assumes that a node that reports used no units for 5 s.
    OverstatesIdleTime,
    /// The lease holder assumes that a replaced incarnation ended 5 s earlier than it did.
    OverstatesAge,
}

/// A message between a front and a lease holder.
enum Packet {
    /// A share request, with the age of its sender and the time for which the sender was idle.
    Request((NodeId, u64), u64, ShareRequest, (Micros, Micros)),
    Grant(usize, u64, ShareGrant),
}

/// A node that serves calls from its share.
struct Front {
    id: (NodeId, u64),
    bucket: ShareBucket,
    last_request_id: u64,
    sent: BTreeMap<u64, Micros>,
    /// The chance of a call in each millisecond, in millionths.
    load: u64,
    frozen_until: Micros,
    /// The deadlines of calls that wait for a unit.
    waiting: VecDeque<Micros>,
    /// The time by which the front's clock is ahead, in microseconds.
    clock_offset: Micros,
    /// When the front's incarnation started, by its own clock.
    started_at: Micros,
    /// The end of a partition, in which the front keeps running but all its messages are lost.
    cut_off_until: Micros,
}

struct Simulation {
    rng: Rng,
    rate: Rate,
    now: Micros,
    fronts: Vec<Front>,
    /// The pools of the current lease holder.
    pools: SharePools,
    /// The pools of an earlier lease holder, and the time until which it still responds.
    previous_pools: Option<(SharePools, Micros)>,
    holder_down_until: Micros,
    in_flight: Vec<(Micros, bool, Packet)>,
    ran: Vec<Micros>,
    rejected: Vec<Micros>,
    /// The chance that a message is lost, in percent.
    loss: u64,
    /// The longest usual delay of a message, in microseconds.
    delay: Micros,
    /// When the lease began.
    lease_began_at: Micros,
    planted: Planted,
    /// The chance that only the lease holder loses power, in percent.
    holder_alone_chance: u64,
    /// The chance that a front is partitioned instead of losing power, in percent.
    partition_chance: u64,
    /// The front and the time of the last use of each registered incarnation; `None` if there are no registrations.
    registered: Option<BTreeMap<(NodeId, u64), (usize, Micros)>>,
}

impl Simulation {
    fn new(seed: u64, rate: Rate, loads: &[u64], first: bool) -> Self {
        let rng = Rng::new(seed);
        let now = 100 * SEC;
        let mut pools = SharePools::default();
        pools.begin_lease(0, first, now, 0);
        let front = |(index, load): (usize, &u64)| Front {
            id: (NodeId(index as u64 + 1), 1),
            bucket: ShareBucket::first_of_incarnation(rate, now + index as u64 * SEC, now + index as u64 * SEC),
            started_at: now + index as u64 * SEC,
            last_request_id: 0,
            sent: BTreeMap::new(),
            load: *load,
            frozen_until: 0,
            waiting: VecDeque::new(),
            clock_offset: index as u64 * SEC,
            cut_off_until: 0,
        };
        Simulation {
            rng,
            rate,
            now,
            fronts: loads.iter().enumerate().map(front).collect(),
            pools,
            previous_pools: None,
            holder_down_until: 0,
            in_flight: Vec::new(),
            ran: Vec::new(),
            rejected: Vec::new(),
            loss: 0,
            delay: 5 * MS,
            lease_began_at: now,
            planted: Planted::Nothing,
            holder_alone_chance: 0,
            partition_chance: 30,
            registered: None,
        }
    }

    /// Sends a message that may be lost, delayed, reordered or duplicated.
    fn send(&mut self, to_previous: bool, make: impl Fn() -> Packet) {
        for _ in 0..if self.rng.chance_percent(self.loss / 2) { 2 } else { 1 } {
            if !self.rng.chance_percent(self.loss) {
                let longest_delay = if self.rng.chance_percent(self.loss / 4) { 6 * SEC } else { self.delay };
                let at = self.now + 1 + self.rng.next_below(longest_delay);
                self.in_flight.push((at, to_previous, make()));
            }
        }
    }

    /// Advances by a millisecond.
    fn step(&mut self) {
        self.now += MS;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|packet| packet.0 <= now);
        self.in_flight = later;
        for (_, to_previous, packet) in due {
            match packet {
                Packet::Request(by, request_id, request, age_and_idle) => {
                    self.on_request(to_previous, by, request_id, request, age_and_idle);
                }
                Packet::Grant(index, request_id, grant) => self.on_grant(index, request_id, grant),
            }
        }
        for index in 0..self.fronts.len() {
            let draw = self.rng.next_below(1_000_000);
            if self.fronts[index].frozen_until <= now {
                self.serve_calls(index, draw);
                self.send_request_if_due(index);
            }
        }
        if now.is_multiple_of(200 * MS) {
            let rate = self.rate;
            self.pools.expire(|_| Some(rate), now);
        }
    }

    fn front_of(&self, id: (NodeId, u64)) -> Option<usize> {
        self.fronts.iter().position(|front| front.id == id)
    }

    /// Handles a request at a lease holder.
    fn on_request(
        &mut self,
        to_previous: bool,
        by: (NodeId, u64),
        request_id: u64,
        request: ShareRequest,
        age_and_idle: (Micros, Micros),
    ) {
        let now = self.now;
        let nodes = self.fronts.len() as u64;
        if !to_previous && now >= self.holder_down_until && self.registered.is_some() {
            let Some(index) = self.front_of(by) else { return };
            self.record_report(index, request_id, &request, age_and_idle);
        }
        let pools = match &mut self.previous_pools {
            Some((previous, ends_at)) if to_previous && now < *ends_at => Some(previous),
            _ if to_previous || now < self.holder_down_until => None,
            _ => Some(&mut self.pools),
        };
        let pool = pools.and_then(|pools| pools.pool(0, request.tenant_key, self.rate, now));
        let grant = pool.and_then(|pool| pool.request(by, request_id, &request, self.rate, nodes, now));
        if let Some(grant) = grant
            && let Some(index) = self.front_of(by)
        {
            self.send(to_previous, || Packet::Grant(index, request_id, grant));
        }
    }

    /// Registers a front with the current lease holder, and records the front's report under this lease.
    fn record_report(&mut self, index: usize, request_id: u64, request: &ShareRequest, (age, idle): (Micros, Micros)) {
        let now = self.now;
        let front = &self.fronts[index];
        let by = front.id;
        if let Some(registered) = &mut self.registered {
            registered.insert(by, (index, now));
        }
        // The request was sent under this lease, and carries its claim.
        let sent_at = front.sent.get(&request_id);
        if sent_at.is_some_and(|sent_at| sent_at - front.clock_offset >= self.lease_began_at) {
            let age = if self.planted == Planted::OverstatesAge { age + 5 * SEC } else { age };
            let idle = if self.planted == Planted::OverstatesIdleTime { 5 * SEC } else { idle };
            self.pools.record_reply(0, by, &index.to_string(), age, now);
            self.pools.record_share_report(0, request, by, self.rate, idle, now);
        }
    }

    /// Applies a grant at a front, unless the front is frozen or partitioned.
    fn on_grant(&mut self, index: usize, request_id: u64, grant: ShareGrant) {
        let now = self.now;
        let front = &mut self.fronts[index];
        if front.frozen_until <= now
            && front.cut_off_until <= now
            && let Some(sent_at) = front.sent.get(&request_id)
        {
            front.bucket.apply_grant(request_id, grant, *sent_at, now + front.clock_offset);
        }
    }

    /// Starts a call at a front by chance; waiting calls take units or time out.
    fn serve_calls(&mut self, index: usize, draw: u64) {
        let now = self.now;
        let front = &mut self.fronts[index];
        let local_now = now + front.clock_offset;
        if draw < front.load {
            match front.bucket.acquire_unit(local_now) {
                AcquireOutcome::Acquired { window, .. } => {
                    if self.loss > 0 && self.rng.chance_percent(5) {
                        front.bucket.refund(window, local_now);
                    } else {
                        self.ran.push(now);
                    }
                }
                AcquireOutcome::RateExhausted { wait, may_receive_units, .. }
                    if may_receive_units || wait < MAX_WAIT =>
                {
                    front.bucket.request_units_soon();
                    front.waiting.push_back(now + MAX_WAIT);
                }
                _ => {
                    front.bucket.request_units_soon();
                    self.rejected.push(now);
                }
            }
        }
        while !front.waiting.is_empty()
            && matches!(front.bucket.acquire_for_waiter(1, local_now), AcquireOutcome::Acquired { .. })
        {
            front.waiting.pop_front();
            self.ran.push(now);
        }
        while front.waiting.front().is_some_and(|deadline| *deadline <= now) {
            front.waiting.pop_front();
            self.rejected.push(now);
        }
    }

    fn send_request_if_due(&mut self, index: usize) {
        let now = self.now;
        let front = &mut self.fronts[index];
        let local_now = now + front.clock_offset;
        if !front.bucket.is_request_due(true, local_now) {
            return;
        }
        front.last_request_id += 1;
        let (by, request_id) = (front.id, front.last_request_id);
        front.sent.insert(request_id, local_now);
        let age_and_idle = (local_now - front.started_at, front.bucket.idle_for(local_now));
        let request = front.bucket.make_request(7, request_id, 0, local_now);
        let is_cut_off = front.cut_off_until > now;
        let to_previous = self.previous_pools.is_some() && self.rng.chance_percent(30);
        if !is_cut_off {
            self.send(to_previous, || Packet::Request(by, request_id, request, age_and_idle));
        }
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let now = self.now;
        let index = usize::try_from(self.rng.next_below(self.fronts.len() as u64)).unwrap();
        match self.rng.next_below(7) {
            0 => {
                // The lease holder is lost or frozen; the next lease holder starts after the end of the lease.
                self.holder_down_until = now + self.rng.next_below(2 * SEC);
                let mut pools = SharePools::default();
                pools.begin_lease(0, false, self.holder_down_until.max(now), 0);
                let previous = std::mem::replace(&mut self.pools, pools);
                self.previous_pools =
                    Some((previous, now + self.rng.next_below(self.holder_down_until.saturating_sub(now) + 1)));
            }
            1 => self.fronts[index].frozen_until = now + self.rng.next_below(6 * SEC),
            2 => {
                let front = &mut self.fronts[index];
                front.id.1 += 1;
                front.started_at = now + front.clock_offset;
                front.bucket = ShareBucket::first_of_incarnation(self.rate, front.started_at, front.started_at);
                front.sent.clear();
            }
            3 => self.loss = self.rng.next_below(60),
            4 => self.loss = 0,
            5 => self.delay = 1 + self.rng.next_below(400 * MS),
            _ => {
                let load = self.rng.next_below(200_000);
                self.fronts[index].load = load;
            }
        }
    }
}

impl Simulation {
    /// Returns the times of all calls that ran, sorted.
    fn sorted_runs(&self) -> Vec<Micros> {
        let mut times = self.ran.clone();
        times.sort_unstable();
        times
    }

    /// Simulates a power loss of the lease holder and most fronts; other fronts are partitioned and keep spending
    /// units.
    fn lose_power(&mut self) {
        let now = self.now;
        let ignores_cut_off = self.planted == Planted::IgnoresCutOff;
        self.previous_pools = None;
        self.in_flight.clear();
        let front_count = if self.rng.chance_percent(self.holder_alone_chance) { 0 } else { self.fronts.len() };
        for index in 0..front_count {
            let cut_off_until = now + self.rng.next_below(8 * SEC);
            let front = &mut self.fronts[index];
            if self.rng.chance_percent(self.partition_chance) {
                front.cut_off_until = cut_off_until;
            } else {
                front.id.0.0 += 100;
                front.started_at = now + front.clock_offset;
                front.bucket = ShareBucket::first_of_incarnation(self.rate, front.started_at, front.started_at);
                front.sent.clear();
                front.waiting.clear();
            }
        }
        // The time in which restarted voters grant no lease, the first lease request and its renewal.
        self.holder_down_until = now + SEC;
        self.lease_began_at = self.holder_down_until;
        let registered = self.registered.get_or_insert_default();
        registered.retain(|_, incarnation| now < incarnation.1 + 20 * SEC);
        let is_known = |incarnation: &(NodeId, u64), index: usize| {
            !ignores_cut_off || self.fronts[index].id != *incarnation || self.fronts[index].cut_off_until <= now
        };
        let all = registered.iter().filter(|incarnation| is_known(incarnation.0, incarnation.1.0));
        let suspects: Vec<_> = all
            .map(|(incarnation, front_and_use)| RegisteredIncarnation {
                node_id: incarnation.0,
                incarnation: incarnation.1,
                addr: front_and_use.0.to_string(),
            })
            .collect();
        self.pools = SharePools::default();
        self.pools.begin_lease(0, false, self.holder_down_until, 0);
        self.pools.set_suspects(0, &suspects);
    }
}

/// Simulates repeated power losses. Returns whether no interval exceeded the limit, and the number of calls that ran.
fn survives_power_losses(seed: u64, planted: Planted) -> (bool, usize) {
    let mut rng = Rng::new(seed);
    let kind = seed % 3;
    let (rate, loads): (_, Vec<_>) = match kind {
        0 => {
            let rate =
                Rate { milli_per_second: 5_000 + rng.next_below(80_000), burst_milli: 5_000 + rng.next_below(80_000) };
            (rate, (0..2 + rng.next_below(6)).map(|_| 20_000 + rng.next_below(100_000)).collect())
        }
        // Nodes use loans and hold no share: their demand is low, and the burst is too small for a unit at each node.
        // Often only the lease holder loses power.
        1 => {
            let rate =
                Rate { milli_per_second: 2_000 + rng.next_below(3_000), burst_milli: 8_000 + rng.next_below(6_000) };
            (rate, (0..5 + rng.next_below(3)).map(|_| 1_000 + rng.next_below(2_000)).collect())
        }
        // The burst takes many seconds to refill, and no front is partitioned.
        _ => {
            let rate =
                Rate { milli_per_second: 2_000 + rng.next_below(5_000), burst_milli: 30_000 + rng.next_below(30_000) };
            (rate, (0..2 + rng.next_below(6)).map(|_| 20_000 + rng.next_below(100_000)).collect())
        }
    };
    let mut simulation = Simulation::new(seed, rate, &loads, true);
    simulation.registered = Some(BTreeMap::new());
    simulation.planted = planted;
    simulation.holder_alone_chance = if kind == 1 { 50 } else { 0 };
    simulation.partition_chance = if kind == 2 { 0 } else { 30 };
    let mut next = simulation.now + 3 * SEC;
    while simulation.now < 140 * SEC {
        simulation.step();
        if simulation.now >= next {
            simulation.lose_power();
            next = simulation.now + 2 * SEC + simulation.rng.next_below(8 * SEC);
        }
    }
    let ran = simulation.ran.len();
    (largest_excess(rate, &simulation.sorted_runs()) <= allowed_excess(rate), ran)
}

#[test]
fn no_interval_exceeds_the_limit_after_power_losses_and_partitions() {
    let mut ran = 0;
    for seed in 0..100 {
        let (within, calls) = survives_power_losses(seed, Planted::Nothing);
        assert!(within, "seed {seed}");
        ran += calls;
    }
    assert!(ran > 30_000, "{ran} calls ran");
    for planted in [Planted::IgnoresCutOff, Planted::OverstatesIdleTime, Planted::OverstatesAge] {
        let detected = (0..100).filter(|seed| !survives_power_losses(*seed, planted).0).count();
        println!("{ran} ran; {planted:?}: {detected} of 100");
        assert!(detected > 0, "{planted:?} is detected");
    }
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

#[test]
fn no_interval_exceeds_the_rate_and_the_burst() {
    let mut ran = 0;
    for seed in 0..150 {
        let mut rng = Rng::new(seed);
        let rate = Rate { milli_per_second: 500 + rng.next_below(80_000), burst_milli: 1_000 + rng.next_below(80_000) };
        let loads: Vec<_> = (0..=rng.next_below(8)).map(|_| rng.next_below(100_000)).collect();
        let mut simulation = Simulation::new(seed, rate, &loads, seed % 2 == 0);
        simulation.loss = rng.next_below(30);
        let mut next_fault_at = simulation.now + SEC;
        while simulation.now < 140 * SEC {
            simulation.step();
            if simulation.now >= next_fault_at {
                simulation.inject_fault();
                next_fault_at = simulation.now + 50 * MS + simulation.rng.next_below(3 * SEC);
            }
        }
        ran += simulation.ran.len();
        let excess = largest_excess(rate, &simulation.sorted_runs());
        assert!(excess <= allowed_excess(rate), "seed {seed}: {excess} of {rate:?}");
    }
    assert!(ran > 30_000, "{ran} calls ran");
}

#[test]
fn below_the_limit_nothing_is_rejected_once_shares_follow_the_demand() {
    // The load of each front in thousandths of calls per second, for a rate of 40 per second with a burst of 40, and
    // the allowed rejections per thousand calls.
    let rate = Rate { milli_per_second: 40_000, burst_milli: 40_000 };
    for (name, loads, allowed_per_thousand) in [
        ("evenly", [3_300; 6], 1),
        ("evenly at three quarters", [5_000; 6], 2),
        ("one-sided", [30_000, 0, 0, 0, 0, 0], 0),
        ("one-sided near the limit", [36_000, 0, 0, 0, 0, 0], 0),
        ("two", [18_000, 14_000, 0, 0, 0, 0], 1),
    ] {
        let (mut calls, mut rejected) = (0, 0);
        for seed in 0..10 {
            let mut simulation = Simulation::new(seed, rate, &loads, true);
            let begin = simulation.now + 10 * SEC;
            while simulation.now < begin + 60 * SEC {
                simulation.step();
            }
            calls += simulation.ran.iter().filter(|at| **at > begin).count();
            rejected += simulation.rejected.iter().filter(|at| **at > begin).count();
            assert!(largest_excess(rate, &simulation.sorted_runs()) <= allowed_excess(rate), "{name}");
        }
        println!("{name}: {rejected} of {}", calls + rejected);
        assert!(
            rejected * 1_000 <= (calls + rejected) * allowed_per_thousand,
            "{name}: {rejected} of {}",
            calls + rejected
        );
    }
}

#[test]
fn shares_follow_the_demand_beyond_the_limit() {
    let rate = Rate { milli_per_second: 40_000, burst_milli: 40_000 };
    for (name, loads) in [
        ("two of four", [60_000, 60_000, 0, 0, 0, 0]),
        ("all", [30_000; 6]),
        ("all, ten times", [70_000; 6]),
        ("one and five with little", [90_000, 2_000, 2_000, 2_000, 2_000, 2_000]),
    ] {
        let mut simulation = Simulation::new(1, rate, &loads, true);
        let begin = simulation.now + 10 * SEC;
        while simulation.now < begin + 60 * SEC {
            simulation.step();
        }
        let ran = simulation.ran.iter().filter(|at| **at > begin).count();
        println!("{name}: {ran} of 2400");
        assert!(ran >= 60 * 39, "{name}: {ran} of 2400");
    }
}
