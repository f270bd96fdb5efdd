//! Shares of a rate: the bucket of a node, the pool of a holder, and both together.

use std::collections::{BTreeMap, VecDeque};
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC};
use sumacvale_core::config::{CompiledConfig, Limit, Rate, effective, validate};
use sumacvale_core::lease::{LEASE_DURATION, LeaseDecision, LeaseGrantor};
use sumacvale_core::protocol::{RegisteredIncarnation, ShareGrant, ShareRequest};
use sumacvale_core::quota::{FULL_SHARE, LOAN_DURATION, SHARE_LEASE, ShareBucket, SharePool, SharePools, TakeOutcome};

const R: Rate = Rate { milli_per_second: 10_000, burst_milli: 10_000 };

fn given(share: u32, add: u64) -> ShareGrant {
    ShareGrant { granted: true, share, burst_milli: add, loaned_units: 0 }
}

fn took(b: &mut ShareBucket, now: Micros) -> u64 {
    (0..1_000).take_while(|_| matches!(b.take(now), TakeOutcome::Taken { .. })).count() as u64
}

/// A bucket that was given a share at the time of its ask.
fn bucket(share: u32, add: u64, now: Micros) -> ShareBucket {
    let mut b = ShareBucket::new(R, now);
    b.make_request(0, 1, 0, now);
    assert!(b.apply_grant(1, given(share, add), now, now));
    b
}

#[test]
fn a_bucket_spends_its_share_and_no_more() {
    let half = FULL_SHARE / 2;
    for (name, share, add, gap, want) in [
        ("empty at first", half, 0, 0, 0),
        ("with units on top", half, 3_000, 0, 3),
        ("never over its part of the burst", half, 9_000, 0, 5),
        ("after a second at half the rate", half, 0, SEC, 5),
        ("full after more", half, 0, 2 * SEC, 5),
        ("a lease is over", half, 5_000, SHARE_LEASE, 0),
        ("just before its end", half, 5_000, SHARE_LEASE - 1, 5),
        ("too small for a whole unit", FULL_SHARE / 20, 9_000, 3 * SEC, 0),
    ] {
        let mut b = bucket(share, add, SEC);
        assert_eq!(took(&mut b, SEC + gap), want, "{name}");
    }
}

#[test]
fn a_share_that_changes_brings_nothing() {
    for (name, share, add, want, returned) in [
        ("renewed", 500_000, 0, 5, 0),
        ("grown", FULL_SHARE, 0, 5, 0),
        ("grown with units on top", FULL_SHARE, 2_000, 7, 0),
        ("shrunk", 200_000, 0, 2, 3_000),
        ("taken away", 0, 0, 0, 5_000),
    ] {
        let mut b = bucket(500_000, 5_000, SEC);
        b.make_request(0, 2, 0, SEC);
        assert!(b.apply_grant(2, given(share, add), SEC, SEC), "{name}");
        assert_eq!(took(&mut b, SEC), want, "{name}");
        assert_eq!(b.make_request(0, 3, 0, SEC + 500 * MS).returned_milli, returned, "{name}");
        assert_eq!(b.make_request(0, 4, 0, 2 * SEC).returned_milli, 0, "{name}: told once");
    }
}

#[test]
fn only_the_answer_to_the_newest_ask_counts() {
    for (name, n, sent, now, want) in [
        ("the newest", 3, SEC, SEC + MS, true),
        ("an older one", 2, SEC, SEC + MS, false),
        ("one that was never sent", 4, SEC, SEC + MS, false),
        ("after a lease", 3, SEC, SEC + SHARE_LEASE, false),
    ] {
        let mut b = bucket(0, 0, SEC);
        b.make_request(0, 2, 0, SEC);
        b.make_request(0, 3, 0, SEC);
        assert_eq!(b.apply_grant(n, given(FULL_SHARE, 5_000), sent, now), want, "{name}");
        assert_eq!(took(&mut b, now) > 0, want, "{name}");
        assert!(!b.apply_grant(n, given(FULL_SHARE, 5_000), sent, now), "{name}: twice");
    }
}

#[test]
fn a_unit_comes_back_where_the_bucket_was_not_full_since() {
    for (name, gap, spend, want) in
        [("at once", MS, 0, 5), ("others were taken", MS, 2, 3), ("the bucket was full meanwhile", SEC, 5, 0)]
    {
        let mut b = bucket(500_000, 5_000, SEC);
        let TakeOutcome::Taken { window, .. } = b.take(SEC + 1) else { panic!("{name}") };
        let at = SEC + 1 + gap;
        let n = (0..spend).filter(|_| matches!(b.take(at), TakeOutcome::Taken { .. })).count();
        assert_eq!(n, spend, "{name}");
        b.refund(window, at);
        assert_eq!(took(&mut b, at), want, "{name}");
    }
}

#[test]
fn a_lower_limit_binds_at_once() {
    let mut b = bucket(500_000, 5_000, SEC);
    b.set_rate(Rate { milli_per_second: 2_000, burst_milli: 4_000 }, SEC);
    assert_eq!(took(&mut b, SEC), 2);
    assert_eq!(took(&mut b, 2 * SEC), 1);
}

#[test]
fn a_dry_bucket_says_when_the_next_unit_comes() {
    let mut b = ShareBucket::new(R, SEC);
    assert_eq!(b.take(SEC), TakeOutcome::Empty, "nobody said anything yet");
    let mut b = bucket(500_000, 0, SEC);
    assert_eq!(
        b.take(SEC),
        TakeOutcome::RateExhausted { wait: 200 * MS, interval: 200 * MS, may_get_more: true },
        "it was not asked for yet"
    );
    // The holder's word that there is none, when its pool is no longer filling up.
    assert_eq!(took(&mut b, 3 * SEC), 5);
    assert_eq!(b.make_request(0, 2, 0, 3 * SEC).missing_units, 2);
    assert!(b.apply_grant(2, given(500_000, 0), 3 * SEC, 3 * SEC));
    assert_eq!(b.take(3 * SEC), TakeOutcome::RateExhausted { wait: 200 * MS, interval: 200 * MS, may_get_more: false });
    let mut b = bucket(500_000, 0, SEC);
    assert!(
        matches!(b.take(SEC + 100 * MS), TakeOutcome::RateExhausted { wait, may_get_more: true, .. } if wait == 100 * MS)
    );
    assert_eq!(b.take(SEC + SHARE_LEASE), TakeOutcome::Empty, "the lease is over");
    let mut b = bucket(0, 0, SEC);
    assert!(matches!(b.take(SEC), TakeOutcome::RateExhausted { may_get_more: true, wait, .. } if wait > 3_600 * SEC));
    b.make_request(0, 2, 0, 3 * SEC);
    assert!(b.apply_grant(2, given(0, 0), 3 * SEC, 3 * SEC), "there is none");
    assert!(
        matches!(b.take(3 * SEC), TakeOutcome::RateExhausted { may_get_more: false, wait, .. } if wait > 3_600 * SEC)
    );
}

/// After a loss of all power a holder's pool begins empty and fills by the rate: what it has not
/// yet is no word that the rate is spent.
#[test]
fn who_finds_nothing_right_after_a_start_waits_for_the_pool_to_fill() {
    let soon =
        |b: &mut ShareBucket, now: Micros| matches!(b.take(now), TakeOutcome::RateExhausted { may_get_more: true, .. });
    let answered = |b: &mut ShareBucket, n: u64, now: Micros| {
        b.make_request(0, n, 1, now);
        assert!(b.apply_grant(n, given(0, 0), now, now));
    };
    let mut b = ShareBucket::new(R, SEC);
    let first = SEC + 10 * MS;
    answered(&mut b, 1, first);
    for (n, after) in [(2, 0), (3, 300 * MS), (4, 999 * MS)] {
        answered(&mut b, n, first + after);
        assert!(soon(&mut b, first + after), "{after} us after the first answer");
    }
    for (n, after) in [(5, SEC), (6, 3 * SEC)] {
        answered(&mut b, n, first + after);
        assert!(!soon(&mut b, first + after), "{after} us after the first answer the word counts");
    }
    // Who heard nothing for longer than a lease knows as little as after a start.
    let again = first + 3 * SEC + SHARE_LEASE;
    answered(&mut b, 7, again);
    assert!(soon(&mut b, again + MS), "the first answer after a silence");
}

fn ask(has: u32, want: u64, need: u32) -> ShareRequest {
    ShareRequest {
        tenant_key: 7,
        held_share: has,
        returned_milli: 0,
        demand_milli: want,
        missing_units: need,
        smallest_call: need.min(1),
        usual_call: 1,
        call_rate_milli: want,
    }
}

/// The pool of the tenant that `ask` names.
fn at(pools: &mut SharePools, duty: u32, now: Micros) -> Option<&mut SharePool> {
    pools.pool(duty, 7, R, now)
}

const A: (NodeId, u64) = (NodeId(1), 1);
const B: (NodeId, u64) = (NodeId(2), 1);

#[test]
fn a_pool_gives_what_nobody_can_hold() {
    let give =
        |p: &mut SharePool, by, n, q, now| p.request(by, n, &q, R, 2, now).map_or((9, 9), |g| (g.share, g.burst_milli));
    // A first holder: half follows what is looked for, with half of what is there.
    let mut p = SharePool::full(R, SEC);
    assert_eq!(give(&mut p, A, 1, ask(0, 8_000, 0), SEC), (500_000, 5_000));
    assert_eq!(p.request(A, 1, &ask(500_000, 8_000, 0), R, 2, SEC), None, "the same ask again");
    let (b, _) = give(&mut p, B, 1, ask(0, 8_000, 0), SEC);
    assert_eq!(b, 250_000, "as much as another who looks for as much will have");
    // What shrinks counts until who has it says that it is smaller.
    let (a, _) = give(&mut p, A, 2, ask(500_000, 8_000, 0), SEC + MS);
    assert_eq!((a, p.list().0), (250_000, 750_000));
    give(&mut p, A, 3, ask(a, 8_000, 0), SEC + 2 * MS);
    assert_eq!(p.list().0, 500_000);
    // Who is silent holds it until the lease is over.
    let end = SEC + 3 * MS + SHARE_LEASE;
    p.expire(R, end - 10 * MS);
    assert_eq!(p.list().0, 500_000);
    p.expire(R, end + 200 * MS);
    assert_eq!(p.list().0, 0);
}

#[test]
fn a_successor_knows_what_it_hears() {
    let from = SEC + SHARE_LEASE;
    let mut p = SharePool::new(R, from, SEC);
    let g = p.request(A, 1, &ask(600_000, 8_000, 3), R, 2, SEC).unwrap();
    assert!(g.share >= 500_000 && (g.burst_milli, g.loaned_units) == (0, 0), "renewed, and nothing on top: {g:?}");
    assert_eq!(p.list(), (600_000, 400_000));
    let g = p.request(B, 1, &ask(0, 8_000, 3), R, 2, SEC).unwrap();
    assert_eq!((g.share, g.burst_milli, g.loaned_units), (0, 0, 0));
    // A third one is heard of: what it holds was among the unknown.
    p.request((NodeId(3), 1), 1, &ask(300_000, 0, 0), R, 2, SEC);
    assert_eq!(p.list(), (900_000, 100_000));
    // What shrank may be given on at once, the unknown when a lease is over.
    let g = p.request(A, 2, &ask(600_000, 1_000, 0), R, 2, SEC + MS).unwrap();
    assert!(g.share < 300_000);
    p.request(A, 3, &ask(g.share, 1_000, 0), R, 2, SEC + MS);
    let g = p.request(B, 2, &ask(0, 8_000, 3), R, 2, SEC + MS).unwrap();
    assert!(g.share > 300_000 && g.burst_milli == 0, "a part that was somebody's comes empty: {g:?}");
    p.expire(R, from);
    assert_eq!(p.list().1, 0);
}

#[test]
fn a_pool_made_late_is_as_full_as_nobody_used_it() {
    for (name, first, gap, want) in [
        ("the first holder", true, 0, 10_000),
        ("a successor", false, 0, 0),
        ("half a second after a lease", false, SHARE_LEASE + 600 * MS, 5_000),
        ("long after it", false, 60 * SEC, 10_000),
    ] {
        let mut p = SharePools::default();
        p.begin_lease(3, first, SEC, 0);
        let g = at(&mut p, 3, SEC + gap).unwrap().request(A, 1, &ask(0, 50_000, 99), R, 1, SEC + gap).unwrap();
        assert_eq!(u64::from(g.loaned_units) * 1_000, want, "{name}: {g:?}");
        assert_eq!(g.burst_milli, 0, "{name}: all of it is lent: {g:?}");
        assert!(at(&mut p, 4, SEC + gap).is_none(), "{name}: another duty");
        p.end_lease(3);
        assert!(p.list().is_empty(), "{name}");
    }
}

#[test]
fn a_voter_knows_whether_a_duty_was_ever_held() {
    let mut k = LeaseGrantor::default();
    assert_eq!(k.request(0, NodeId(1), 1, true, 0), LeaseDecision::Granted { is_new_epoch: true });
    assert!(k.previously_held.is_empty(), "asked for in vain, perhaps");
    k.request(0, NodeId(1), 1, false, MS);
    assert!(k.previously_held.contains(&0));
    k.request(0, NodeId(2), 2, true, 2 * LEASE_DURATION);
    assert!(k.previously_held.contains(&0) && !k.previously_held.contains(&1));
}

#[test]
fn the_tree_has_three_forms() {
    let t = r#"{"defaults":{"quota":{"rate":38,"burst":38,"over":0.06,"slack":29}},"tenants":{
        "a":{"keys":[]},"b":{"keys":[],"quota":"none"},"c":{"keys":[],"quota":{"calls":5,"window_ms":1000}},
        "d":{"keys":[],"quota":{"rate":0.5,"burst":2}}}}"#;
    let p = validate(t).unwrap();
    for (n, want, shown) in [
        (
            "a",
            Limit::Rate(Rate { milli_per_second: 40_280, burst_milli: 50_280 }),
            r#""quota":{"rate":40.28,"burst":50.28}"#,
        ),
        ("b", Limit::Unlimited, r#""quota":"none""#),
        ("d", Limit::Rate(Rate { milli_per_second: 500, burst_milli: 2_000 }), r#""quota":{"rate":0.5,"burst":2}"#),
    ] {
        assert_eq!(p.tenants[n].quota, want, "{n}");
        assert!(effective(&p, "tenants", n).unwrap().contains(shown), "{n}");
    }
    assert!(matches!(p.tenants["c"].quota, Limit::Window(q) if q.calls == 5));
}

#[test]
fn an_unlimited_tenant_asks_nobody() {
    let s = sumacvale_core::quota::WindowSlices::default();
    s.rates.apply_plan(&CompiledConfig::compile(1, r#"{"tenants":{"b":{"keys":[],"quota":"none"}}}"#), 0);
    for k in 0..1_000 {
        assert!(matches!(s.take("b", k), TakeOutcome::Taken { low: false, .. }));
    }
    assert!(s.rates.due_requests(true, SEC).is_empty());
}

/// The most by which any interval exceeds the rate, in thousandths of calls.
fn most(r: Rate, at: &mut [Micros]) -> i128 {
    at.sort_unstable();
    let (mut low, mut top) = (i128::MAX, 0);
    for (i, t) in at.iter().enumerate() {
        // In millionths of thousandths, so that nothing is lost to rounding.
        let came = i128::from(r.milli_per_second) * i128::from(*t);
        low = low.min(i as i128 * 1_000_000_000 - came);
        top = top.max((i as i128 + 1) * 1_000_000_000 - came - low);
    }
    top / 1_000_000
}

/// What an interval may see beyond its rate: the burst, and what was lent a moment before.
fn bound(r: Rate) -> i128 {
    i128::from(r.burst_milli) + i128::from(r.milli_per_second) * i128::from(LOAN_DURATION) / i128::from(SEC)
}

/// How long a call waits for a unit.
const PATIENCE: Micros = 500 * MS;

/// A fault of the holder that a trial must find out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// It looks past those who are cut off.
    Blind,
    /// It believes that who is heard of used nothing for a while.
    Idle,
    /// It believes that who was replaced ended long before.
    Old,
}

enum Mail {
    /// With how long its sender lived, and for how long it can have used no unit.
    Ask((NodeId, u64), u64, ShareRequest, (Micros, Micros)),
    Given(usize, u64, ShareGrant),
}

struct Front {
    id: (NodeId, u64),
    b: ShareBucket,
    n: u64,
    sent: BTreeMap<u64, Micros>,
    load: u64,
    frozen: Micros,
    /// Calls that wait for a unit, until then.
    wait: VecDeque<Micros>,
    /// Its clock is that much ahead.
    off: Micros,
    /// When its life began, by that clock.
    born: Micros,
    /// Nothing reaches it or leaves it until then, and it goes on.
    cut: Micros,
}

struct Trial {
    rng: Rng,
    rate: Rate,
    now: Micros,
    fronts: Vec<Front>,
    /// Holders by turns; each with the end of its term and until when it is frozen.
    pools: SharePools,
    old: Option<(SharePools, Micros)>,
    mute: Micros,
    mail: Vec<(Micros, bool, Mail)>,
    ran: Vec<Micros>,
    refused: Vec<Micros>,
    loss: u64,
    lag: Micros,
    /// When the term began, and whom holders gave shares; none where no registry is kept.
    begun: Micros,
    planted: Planted,
    /// How often, of a hundred losses of power, it is the holder alone that loses it.
    holder_alone: u64,
    /// How often, of a hundred, a node is cut off as the others lose power.
    cut_chance: u64,
    lives: Option<BTreeMap<(NodeId, u64), (usize, Micros)>>,
}

impl Trial {
    fn new(seed: u64, rate: Rate, loads: &[u64], first: bool) -> Self {
        let rng = Rng::new(seed);
        let now = 100 * SEC;
        let mut pools = SharePools::default();
        pools.begin_lease(0, first, now, 0);
        let front = |(i, l): (usize, &u64)| Front {
            id: (NodeId(i as u64 + 1), 1),
            b: ShareBucket::first_of_incarnation(rate, now + i as u64 * SEC, now + i as u64 * SEC),
            born: now + i as u64 * SEC,
            n: 0,
            sent: BTreeMap::new(),
            load: *l,
            frozen: 0,
            wait: VecDeque::new(),
            off: i as u64 * SEC,
            cut: 0,
        };
        Trial {
            rng,
            rate,
            now,
            fronts: loads.iter().enumerate().map(front).collect(),
            pools,
            old: None,
            mute: 0,
            mail: Vec::new(),
            ran: Vec::new(),
            refused: Vec::new(),
            loss: 0,
            lag: 5 * MS,
            begun: now,
            planted: Planted::Nothing,
            holder_alone: 0,
            cut_chance: 30,
            lives: None,
        }
    }

    /// Lost, late, out of order or doubled, as it comes.
    fn send(&mut self, old: bool, make: impl Fn() -> Mail) {
        for _ in 0..if self.rng.chance(self.loss / 2) { 2 } else { 1 } {
            if !self.rng.chance(self.loss) {
                let slow = if self.rng.chance(self.loss / 4) { 6 * SEC } else { self.lag };
                let at = self.now + 1 + self.rng.below(slow);
                self.mail.push((at, old, make()));
            }
        }
    }

    fn step(&mut self) {
        self.now += MS;
        let now = self.now;
        let due: Vec<_> = {
            let (d, k): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail).into_iter().partition(|m| m.0 <= now);
            self.mail = k;
            d
        };
        for (_, old, m) in due {
            match m {
                Mail::Ask(by, n, q, (age, idle)) => {
                    let nodes = self.fronts.len() as u64;
                    let at = self.fronts.iter().position(|f| f.id == by);
                    if !old
                        && now >= self.mute
                        && let Some(v) = &mut self.lives
                    {
                        let Some(i) = at else { continue };
                        v.insert(by, (i, now));
                        // As one does that carries the mark of this term.
                        let f = &self.fronts[i];
                        if f.sent.get(&n).is_some_and(|t| t - f.off >= self.begun) {
                            let age = if self.planted == Planted::Old { age + 5 * SEC } else { age };
                            let idle = if self.planted == Planted::Idle { 5 * SEC } else { idle };
                            self.pools.record_alive(0, by, &i.to_string(), age, now);
                            self.pools.record_request(0, &q, by, self.rate, idle, now);
                        }
                    }
                    let pools = match &mut self.old {
                        Some((p, end)) if old && now < *end => Some(p),
                        _ if old || now < self.mute => None,
                        _ => Some(&mut self.pools),
                    };
                    let pool = pools.and_then(|pools| pools.pool(0, q.tenant_key, self.rate, now));
                    let g = pool.and_then(|pool| pool.request(by, n, &q, self.rate, nodes, now));
                    if let Some(g) = g
                        && let Some(i) = self.fronts.iter().position(|f| f.id == by)
                    {
                        self.send(old, || Mail::Given(i, n, g));
                    }
                }
                Mail::Given(i, n, g) => {
                    let f = &mut self.fronts[i];
                    if f.frozen <= now
                        && f.cut <= now
                        && let Some(at) = f.sent.get(&n)
                    {
                        f.b.apply_grant(n, g, *at, now + f.off);
                    }
                }
            }
        }
        for i in 0..self.fronts.len() {
            let hit = self.rng.below(1_000_000);
            let f = &mut self.fronts[i];
            if f.frozen > now {
                continue;
            }
            let t = now + f.off;
            if hit < f.load {
                match f.b.take(t) {
                    TakeOutcome::Taken { window, .. } => {
                        if self.loss > 0 && self.rng.chance(5) {
                            f.b.refund(window, t);
                        } else {
                            self.ran.push(now);
                        }
                    }
                    TakeOutcome::RateExhausted { wait, may_get_more: more, .. } if more || wait < PATIENCE => {
                        f.b.request_soon();
                        f.wait.push_back(now + PATIENCE);
                    }
                    _ => {
                        f.b.request_soon();
                        self.refused.push(now);
                    }
                }
            }
            while !f.wait.is_empty() && matches!(f.b.take_for_waiter(1, t), TakeOutcome::Taken { .. }) {
                f.wait.pop_front();
                self.ran.push(now);
            }
            while f.wait.front().is_some_and(|w| *w <= now) {
                f.wait.pop_front();
                self.refused.push(now);
            }
            if f.b.is_request_due(true, t) {
                f.n += 1;
                f.sent.insert(f.n, t);
                let (by, n) = (f.id, f.n);
                let told = (t - f.born, f.b.idle_for(t));
                let q = f.b.make_request(7, n, 0, t);
                let old = self.old.is_some() && self.rng.chance(30);
                if self.fronts[i].cut > now {
                    continue;
                }
                self.send(old, || Mail::Ask(by, n, q, told));
            }
        }
        if now.is_multiple_of(200 * MS) {
            let r = self.rate;
            self.pools.expire(|_| Some(r), now);
        }
    }

    /// Something happens, as on a bad day.
    fn trouble(&mut self) {
        let now = self.now;
        let i = usize::try_from(self.rng.below(self.fronts.len() as u64)).unwrap();
        match self.rng.below(7) {
            0 => {
                // A holder is lost or frozen; its successor begins after its end.
                self.mute = now + self.rng.below(2 * SEC);
                let mut p = SharePools::default();
                p.begin_lease(0, false, self.mute.max(now), 0);
                let was = std::mem::replace(&mut self.pools, p);
                self.old = Some((was, now + self.rng.below(self.mute.saturating_sub(now) + 1)));
            }
            1 => self.fronts[i].frozen = now + self.rng.below(6 * SEC),
            2 => {
                let f = &mut self.fronts[i];
                f.id.1 += 1;
                f.born = now + f.off;
                f.b = ShareBucket::first_of_incarnation(self.rate, f.born, f.born);
                f.sent.clear();
            }
            3 => self.loss = self.rng.below(60),
            4 => self.loss = 0,
            5 => self.lag = 1 + self.rng.below(400 * MS),
            _ => {
                let a = self.rng.below(200_000);
                self.fronts[i].load = a;
            }
        }
    }
}

impl Trial {
    /// The holder and most fronts lose power; some fronts are cut off instead and spend on.
    fn blackout(&mut self) {
        let now = self.now;
        let blind = self.planted == Planted::Blind;
        self.old = None;
        self.mail.clear();
        let fronts = if self.rng.chance(self.holder_alone) { 0 } else { self.fronts.len() };
        for i in 0..fronts {
            let cut = now + self.rng.below(8 * SEC);
            let f = &mut self.fronts[i];
            if self.rng.chance(self.cut_chance) {
                f.cut = cut;
            } else {
                f.id.0.0 += 100;
                f.born = now + f.off;
                f.b = ShareBucket::first_of_incarnation(self.rate, f.born, f.born);
                f.sent.clear();
                f.wait.clear();
            }
        }
        // Quiet voters, the first ask and its renewal.
        self.mute = now + SEC;
        self.begun = self.mute;
        let v = self.lives.get_or_insert_default();
        v.retain(|_, l| now < l.1 + 20 * SEC);
        let seen = |l: &(NodeId, u64), i: usize| !blind || self.fronts[i].id != *l || self.fronts[i].cut <= now;
        let all = v.iter().filter(|l| seen(l.0, l.1.0));
        let lives: Vec<_> =
            all.map(|(l, x)| RegisteredIncarnation { node_id: l.0, incarnation: l.1, addr: x.0.to_string() }).collect();
        self.pools = SharePools::default();
        self.pools.begin_lease(0, false, self.mute, 0);
        self.pools.set_suspects(0, &lives);
    }
}

fn blackouts(seed: u64, planted: Planted) -> (bool, usize) {
    let mut g = Rng::new(seed);
    let kind = seed % 3;
    let (rate, loads): (_, Vec<_>) = match kind {
        0 => {
            let rate = Rate { milli_per_second: 5_000 + g.below(80_000), burst_milli: 5_000 + g.below(80_000) };
            (rate, (0..2 + g.below(6)).map(|_| 20_000 + g.below(100_000)).collect())
        }
        // Nodes live on what they are lent, and hold no share: what they look for is little, and the
        // burst is too small for a unit each. Often the holder alone loses power.
        1 => {
            let rate = Rate { milli_per_second: 2_000 + g.below(3_000), burst_milli: 8_000 + g.below(6_000) };
            (rate, (0..5 + g.below(3)).map(|_| 1_000 + g.below(2_000)).collect())
        }
        // The burst is that of many seconds, and nobody is cut off.
        _ => {
            let rate = Rate { milli_per_second: 2_000 + g.below(5_000), burst_milli: 30_000 + g.below(30_000) };
            (rate, (0..2 + g.below(6)).map(|_| 20_000 + g.below(100_000)).collect())
        }
    };
    let mut t = Trial::new(seed, rate, &loads, true);
    t.lives = Some(BTreeMap::new());
    t.planted = planted;
    t.holder_alone = if kind == 1 { 50 } else { 0 };
    t.cut_chance = if kind == 2 { 0 } else { 30 };
    let mut next = t.now + 3 * SEC;
    while t.now < 140 * SEC {
        t.step();
        if t.now >= next {
            t.blackout();
            next = t.now + 2 * SEC + t.rng.below(8 * SEC);
        }
    }
    let n = t.ran.len();
    (most(rate, &mut t.ran) <= bound(rate), n)
}

#[test]
fn no_interval_sees_more_when_all_lose_power_and_some_are_cut_off() {
    let mut ran = 0;
    for seed in 0..100 {
        let (ok, n) = blackouts(seed, Planted::Nothing);
        assert!(ok, "seed {seed}");
        ran += n;
    }
    assert!(ran > 30_000, "{ran} calls ran");
    for planted in [Planted::Blind, Planted::Idle, Planted::Old] {
        let bad = (0..100).filter(|s| !blackouts(*s, planted).0).count();
        println!("{ran} ran; {planted:?}: {bad} of 100");
        assert!(bad > 0, "{planted:?} is found out");
    }
}

#[test]
fn the_unknown_ends_once_nobody_registered_is_in_doubt() {
    let life = |n, incarnation, a: &str| RegisteredIncarnation { node_id: NodeId(n), incarnation, addr: a.into() };
    let (t, t1) = (SEC + 100 * MS, SEC + 600 * MS);
    type Word<'a> = (u64, u64, &'a str, bool);
    // Who answered: node, life, address, and whether its ask tells of the tenant.
    let cases: &[(&str, &[RegisteredIncarnation], &[Word], bool)] = &[
        ("nobody is registered: time tells", &[], &[(9, 1, "a", true)], false),
        ("the one who is says what it holds", &[life(1, 1, "a")], &[(1, 1, "a", true)], true),
        ("it lives, and says nothing of this tenant", &[life(1, 1, "a")], &[(1, 1, "a", false)], false),
        ("another lives at its address", &[life(1, 1, "a")], &[(2, 1, "a", false)], true),
        ("another lives elsewhere", &[life(1, 1, "a")], &[(2, 1, "b", true)], false),
        ("a later life of it", &[life(1, 1, "a")], &[(1, 2, "b", false)], true),
        ("an earlier life of it elsewhere", &[life(1, 2, "a")], &[(1, 1, "b", false)], false),
        ("one of two is cut off", &[life(1, 1, "a"), life(2, 1, "b")], &[(3, 1, "a", true)], false),
        ("both are replaced", &[life(1, 1, "a"), life(2, 1, "b")], &[(3, 1, "a", true), (4, 1, "b", true)], true),
    ];
    for (name, lives, words, ends) in cases {
        for early in [true, false] {
            let mut p = SharePools::default();
            p.begin_lease(3, false, SEC, 0);
            p.set_suspects(3, lives);
            if early {
                at(&mut p, 3, SEC).unwrap().request((NodeId(50), 1), 1, &ask(0, 100, 0), R, 1, SEC);
            }
            for (n, incarnation, a, tells) in *words {
                p.record_alive(3, (NodeId(*n), *incarnation), a, 0, t);
                if *tells {
                    p.record_request(3, &ask(0, 0, 0), (NodeId(*n), *incarnation), R, 0, t);
                }
            }
            let g = at(&mut p, 3, t1).unwrap().request((NodeId(60), 1), 1, &ask(0, 50_000, 99), R, 1, t1).unwrap();
            assert_eq!(g.share > 0, *ends, "{name}, {early}: {g:?}");
            assert!(g.burst_milli <= 5_000, "{name}: only what came in since: {g:?}");
        }
    }
}

/// What a holder's pool has, in whole units, right after all who may hold a share were heard of.
#[test]
fn the_rate_went_on_while_it_is_proven_that_nobody_used_it() {
    let life = |n, a: &str| RegisteredIncarnation { node_id: NodeId(n), incarnation: 1, addr: a.into() };
    /// Who answered: node, address, its age, and for how long it was idle if its ask tells of the tenant.
    type Word<'a> = (u64, &'a str, Micros, Option<Micros>);
    let (half, second) = (500 * MS, SEC);
    // Ten units a second, and clocks may run fast by a fiftieth.
    let cases: &[(&str, &[RegisteredIncarnation], &[Word], u32)] = &[
        ("replaced half a second ago", &[life(1, "a")], &[(9, "a", half, None)], 4),
        ("replaced just now", &[life(1, "a")], &[(9, "a", 0, None)], 0),
        (
            "two were, at different times",
            &[life(1, "a"), life(2, "b")],
            &[(8, "a", half, None), (9, "b", second, None)],
            4,
        ),
        ("it lives and was given nothing", &[life(1, "a")], &[(1, "a", second, Some(second))], 9),
        ("it lives and was given something just now", &[life(1, "a")], &[(1, "a", second, Some(0))], 0),
        (
            "one of two was just now",
            &[life(1, "a"), life(2, "b")],
            &[(9, "a", second, None), (2, "b", second, Some(0))],
            0,
        ),
        ("the other way round", &[life(1, "a"), life(2, "b")], &[(2, "b", second, Some(0)), (9, "a", second, None)], 0),
        ("one is not heard of", &[life(1, "a"), life(2, "b")], &[(9, "a", second, None)], 0),
        // The burst is 10; a term began 0.1 s ago, and a lease before it others may have used it.
        ("longer than voters know of", &[life(1, "a")], &[(9, "a", 60 * SEC, None)], 10),
        ("nobody is registered", &[], &[(9, "a", second, None)], 0),
    ];
    let begun = 100 * SEC;
    let now = begun + 100 * MS;
    for (name, lives, words, want) in cases {
        for early in [true, false] {
            let mut p = SharePools::default();
            p.begin_lease(3, false, begun, 0);
            p.set_suspects(3, lives);
            if early {
                at(&mut p, 3, begun).unwrap().request((NodeId(50), 1), 1, &ask(0, 100, 0), R, 1, begun);
            }
            for (n, a, age, idle) in *words {
                p.record_alive(3, (NodeId(*n), 1), a, *age, now);
                if let Some(idle) = idle {
                    p.record_request(3, &ask(0, 0, 0), (NodeId(*n), 1), R, *idle, now);
                }
            }
            let g = at(&mut p, 3, now).unwrap().request((NodeId(60), 1), 1, &ask(0, 0, 99), R, 1, now).unwrap();
            assert_eq!(g.loaned_units, *want, "{name}, {early}: {g:?}");
        }
    }
    let slow = Rate { milli_per_second: 1_000, burst_milli: 100_000 };
    let mut p = SharePools::default();
    p.begin_lease(3, false, begun, 0);
    p.set_suspects(3, &[life(1, "a")]);
    p.record_alive(3, (NodeId(9), 1), "a", 60 * SEC, now);
    let g = p.pool(3, 7, slow, now).unwrap().request((NodeId(60), 1), 1, &ask(0, 0, 99), slow, 1, now).unwrap();
    assert_eq!(g.loaned_units, 4, "a life that voters have forgotten may have used it before that");
}

/// Who lives and holds a share says so, and for how long: only what nobody held is credited, and only
/// once what it holds is known not to be part of that.
#[test]
fn what_somebody_holds_is_not_credited() {
    let lives =
        [(1, "a"), (2, "b")].map(|(n, a)| RegisteredIncarnation { node_id: NodeId(n), incarnation: 1, addr: a.into() });
    let (begun, now) = (100 * SEC, 100 * SEC + 100 * MS);
    // What both hold, what the first one said before without a mark, and whole units of ten a second.
    for (name, has, before, want) in [
        ("nothing", (0, 0), None, 9),
        ("half", (250_000, 250_000), None, 4),
        ("the last one half", (0, 500_000), None, 4),
        ("the first one half, and said so", (500_000, 0), Some(500_000), 4),
        ("the first one gave up half of it", (250_000, 0), Some(500_000), 4),
        ("all", (500_000, 500_000), None, 0),
    ] {
        let mut p = SharePools::default();
        p.begin_lease(3, false, begun, 0);
        p.set_suspects(3, &lives);
        let give =
            |p: &mut SharePools, by, n, q: ShareRequest| at(p, 3, now).unwrap().request(by, n, &q, R, 9, now).unwrap();
        if let Some(share) = before {
            give(&mut p, A, 1, ask(share, 0, 0));
        }
        for (by, share) in [(A, has.0), (B, has.1)] {
            let q = ask(share, 0, 0);
            p.record_request(3, &q, by, R, SEC, now);
            give(&mut p, by, 2, q);
        }
        assert_eq!(give(&mut p, (NodeId(60), 1), 1, ask(0, 0, 99)).loaned_units, want, "{name}");
        assert_eq!(give(&mut p, (NodeId(60), 1), 2, ask(0, 0, 99)).loaned_units, 0, "{name}: credited once");
    }
}

#[test]
fn a_bucket_is_idle_since_it_was_given_something_or_its_share_changed() {
    let second = 2 * SEC;
    for (name, has, g, idle) in [
        ("nothing", 0, given(0, 0), 2 * SEC),
        ("a share", 0, given(1, 0), SEC),
        ("the same share", 500_000, given(500_000, 0), SEC + 500 * MS),
        ("a larger one", 500_000, given(600_000, 0), SEC),
        ("a smaller one", 500_000, given(400_000, 0), SEC),
        ("units", 0, given(0, 1), SEC),
        ("a loan", 0, ShareGrant { loaned_units: 1, ..given(0, 0) }, SEC),
    ] {
        let mut b = ShareBucket::first_of_incarnation(R, SEC, SEC);
        if has > 0 {
            b.make_request(0, 1, 0, SEC + 500 * MS);
            assert!(b.apply_grant(1, given(has, 0), SEC + 500 * MS, SEC + 500 * MS), "{name}");
        }
        b.make_request(0, 2, 0, second);
        assert!(b.apply_grant(2, g, second, second), "{name}");
        assert_eq!(b.idle_for(3 * SEC), idle, "{name}");
    }
    let mut b = bucket(500_000, 0, SEC);
    assert_eq!(b.idle_for(SEC + SHARE_LEASE + 300 * MS), 300 * MS, "its lease was over");
    assert_eq!(
        ShareBucket::new(R, SEC).idle_for(SEC + 400 * MS),
        0,
        "an earlier bucket of the tenant may have had units"
    );
}

/// A tenant that a version takes out and a later one brings back may have been used in between.
#[test]
fn only_the_first_version_with_tenants_vouches_for_them() {
    let plan = |t: &str| CompiledConfig::compile(1, t);
    let (one, two) = (r#"{"tenants":{"a":{"keys":[],"quota":{"rate":5,"burst":5}}}}"#, r#"{"tenants":{}}"#);
    let s = sumacvale_core::quota::WindowSlices::default();
    s.rates.apply_plan(&plan(two), SEC);
    s.rates.apply_plan(&plan(one), 3 * SEC);
    assert_eq!(s.rates.idle_for("a", 4 * SEC), 3 * SEC, "since the start of the life");
    s.rates.apply_plan(&plan(two), 5 * SEC);
    s.rates.apply_plan(&plan(one), 6 * SEC);
    assert_eq!(s.rates.idle_for("a", 7 * SEC), 500 * MS, "units of before may be used for half a second");
}

#[test]
fn no_interval_sees_more_than_the_rate_and_the_burst() {
    let mut ran = 0;
    for seed in 0..150 {
        let mut g = Rng::new(seed);
        let rate = Rate { milli_per_second: 500 + g.below(80_000), burst_milli: 1_000 + g.below(80_000) };
        let loads: Vec<_> = (0..1 + g.below(8)).map(|_| g.below(100_000)).collect();
        let mut t = Trial::new(seed, rate, &loads, seed % 2 == 0);
        t.loss = g.below(30);
        let mut next = t.now + SEC;
        while t.now < 140 * SEC {
            t.step();
            if t.now >= next {
                t.trouble();
                next = t.now + 50 * MS + t.rng.below(3 * SEC);
            }
        }
        ran += t.ran.len();
        let m = most(rate, &mut t.ran);
        assert!(m <= bound(rate), "seed {seed}: {m} of {rate:?}");
    }
    assert!(ran > 30_000, "{ran} calls ran");
}

#[test]
fn below_the_limit_nothing_is_refused_once_shares_follow_the_demand() {
    // Calls a second of each front, against 40 a second with 40 on top; refused of a thousand.
    let rate = Rate { milli_per_second: 40_000, burst_milli: 40_000 };
    for (name, loads, most_of) in [
        ("evenly", [3_300; 6], 1),
        ("evenly at three quarters", [5_000; 6], 2),
        ("one-sided", [30_000, 0, 0, 0, 0, 0], 0),
        ("one-sided near the limit", [36_000, 0, 0, 0, 0, 0], 0),
        ("two", [18_000, 14_000, 0, 0, 0, 0], 1),
    ] {
        let (mut all, mut bad) = (0, 0);
        for seed in 0..10 {
            let mut t = Trial::new(seed, rate, &loads, true);
            let begin = t.now + 10 * SEC;
            while t.now < begin + 60 * SEC {
                t.step();
            }
            all += t.ran.iter().filter(|a| **a > begin).count();
            bad += t.refused.iter().filter(|a| **a > begin).count();
            assert!(most(rate, &mut t.ran) <= bound(rate), "{name}");
        }
        println!("{name}: {bad} of {}", all + bad);
        assert!(bad * 1_000 <= (all + bad) * most_of, "{name}: {bad} of {}", all + bad);
    }
}

#[test]
fn shares_follow_who_asks_beyond_the_limit() {
    let rate = Rate { milli_per_second: 40_000, burst_milli: 40_000 };
    for (name, loads) in [
        ("two of four", [60_000, 60_000, 0, 0, 0, 0]),
        ("all", [30_000; 6]),
        ("all, ten times", [70_000; 6]),
        ("one and five with little", [90_000, 2_000, 2_000, 2_000, 2_000, 2_000]),
    ] {
        let mut t = Trial::new(1, rate, &loads, true);
        let begin = t.now + 10 * SEC;
        while t.now < begin + 60 * SEC {
            t.step();
        }
        let n = t.ran.iter().filter(|a| **a > begin).count();
        println!("{name}: {n} of 2400");
        assert!(n >= 60 * 39, "{name}: {n} of 2400");
    }
}
