//! No state needs a restart to get out of: after losses a node comes back by itself.

mod nodes;

use nodes::{addr, core, founded, me};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC, sha256_hex};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::lease::{ROLE_COUNT, quota_role};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Frame, LeaseMessage, Message};
use sumacvale_core::quota::TakeOutcome;

const CORES: usize = 3;
const ALL: usize = 9;
const TENANTS: usize = 6;
/// For how long a machine that lost power is away.
const AWAY: Micros = 600 * MS;
/// A restarted node needs a greeting, a question and an answer, half a second apart each.
const RECOVERY: Micros = 2_500 * MS;

fn kept(i: usize) -> DurableState {
    let key = |t: usize| sha256_hex(&t.to_le_bytes());
    let tenant =
        |t: usize| format!("\"t{t}\":{{\"keys\":[\"sha256:{}\"],\"quota\":{{\"rate\":40,\"burst\":40}}}}", key(t));
    let tenants: Vec<_> = (0..TENANTS).map(tenant).collect();
    let body = format!("{{\"pools\":{{\"p\":{{}}}},\"matches\":{{}},\"tenants\":{{{}}}}}", tenants.join(","));
    DurableState { node_id: core(i).node_id, ..founded(CORES, body, 0) }
}

/// Nodes in virtual time, joined by links that may lose frames.
struct Net {
    now: Micros,
    nodes: Vec<Option<Node>>,
    /// What the disk of each core holds.
    disks: Vec<DurableState>,
    lives: u64,
    sent: u64,
    wires: BTreeMap<(Micros, u64), (usize, usize, Frame)>,
    /// Which connections were opened to the present life of their target: the first frames that
    /// are written into one that a former life had are lost.
    joined: BTreeMap<(usize, usize), u64>,
    /// How long a connection swallows frames, from the first one, after its other end lost power; without it
    /// the first frame alone is lost.
    given_up_after: Option<Micros>,
    /// When the first frame was swallowed by each.
    swallowing: BTreeMap<(usize, usize), Micros>,
    loses: Box<dyn FnMut(Micros, usize, usize) -> bool>,
}

impl Net {
    fn new(loses: impl FnMut(Micros, usize, usize) -> bool + 'static) -> Net {
        let mut n = Net {
            now: 100 * SEC,
            nodes: (0..ALL).map(|_| None).collect(),
            disks: (0..CORES).map(kept).collect(),
            lives: 0,
            sent: 0,
            wires: BTreeMap::new(),
            joined: BTreeMap::new(),
            given_up_after: None,
            swallowing: BTreeMap::new(),
            loses: Box::new(loses),
        };
        for i in 0..ALL {
            n.start(i);
        }
        n
    }

    fn start(&mut self, i: usize) {
        self.lives += 1;
        // Its own connections went with its former life.
        self.joined.retain(|(from, _), _| *from != i);
        self.swallowing.retain(|(from, _), _| *from != i);
        let is_core = i < CORES;
        let node_id = if is_core { core(i).node_id } else { NodeId(1_000 + self.lives) };
        let me = NodeSettings { node_id, may_bootstrap: false, ..me(i, CORES, self.lives) };
        let kept = if is_core { self.disks[i].clone() } else { DurableState::default() };
        self.nodes[i] = Some(Node::new(me, &kept, self.lives, self.now));
    }

    fn step(&mut self, i: usize, e: Event) {
        let now = self.now;
        let Some(n) = self.nodes[i].as_mut() else { return };
        for e in n.step(e, now) {
            match e {
                Effect::Send { to, frame } => {
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    self.sent += 1;
                    self.wires.insert((now + MS, self.sent), (i, j, *frame));
                }
                Effect::Reconnect { to } => {
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    self.joined.remove(&(i, j));
                    self.swallowing.remove(&(i, j));
                }
                Effect::Write { token, writes: ops } => {
                    ops.iter().for_each(|op| self.disks[i].apply(op));
                    self.step(i, Event::Synced(token));
                }
                _ => {}
            }
        }
    }

    /// Whether a frame arrives: one that is written into a connection whose other end is gone does not.
    fn arrives(&mut self, i: usize, j: usize) -> bool {
        if let Some(limit) = self.given_up_after {
            let life = self.nodes[j].as_ref().map(|n| n.settings.incarnation);
            if self.joined.get(&(i, j)).is_some_and(|w| Some(*w) != life) {
                let since = *self.swallowing.entry((i, j)).or_insert(self.now);
                if self.now < since + limit {
                    return false;
                }
                self.joined.remove(&(i, j));
                self.swallowing.remove(&(i, j));
            }
        }
        let Some(life) = self.nodes[j].as_ref().map(|n| n.settings.incarnation) else { return false };
        let was = self.joined.insert((i, j), life);
        was.is_none_or(|w| w == life) && !(self.loses)(self.now, i, j)
    }

    fn run(&mut self, t: Micros) {
        let end = self.now + t;
        while self.now < end {
            self.now += MS;
            while let Some(e) = self.wires.first_entry().filter(|e| e.key().0 <= self.now) {
                let (i, j, f) = e.remove();
                if self.arrives(i, j) {
                    self.step(j, Event::Frame(Box::new(f)));
                }
            }
            let now = self.now;
            for i in (0..ALL).filter(|i| (now / MS + 7 * *i as u64).is_multiple_of(25)) {
                self.step(i, Event::Tick);
            }
        }
    }

    /// The nodes that would refuse every call.
    fn stuck(&self) -> Vec<usize> {
        (0..ALL).filter(|i| self.nodes[*i].as_ref().is_none_or(|n| !n.is_fresh(self.now))).collect()
    }

    /// The nodes that do not know all others.
    fn strangers(&self) -> Vec<usize> {
        let knows = |n: &Node| n.dissemination.peers.live(self.now).count();
        (0..ALL).filter(|i| self.nodes[*i].as_ref().is_none_or(|n| knows(n) < ALL)).collect()
    }
}

/// How long until every duty of quotas has a holder again, from now on.
fn until_all_duties_are_held(n: &mut Net) -> Micros {
    let from = n.now;
    let held = |n: &Net, d| {
        (0..CORES).any(|i| n.nodes[i].as_ref().is_some_and(|c| c.leases.held.valid_epoch(d, n.now).is_some()))
    };
    while n.now < from + 5 * SEC && !(0..ROLE_COUNT).all(|d| held(n, d)) {
        n.run(5 * MS);
    }
    n.now - from
}

#[test]
fn duties_are_held_soon_after_all_cores_lost_power() {
    for seed in 0..50 {
        let mut r = Rng::new(seed);
        let mut n = Net::new(|_, _, _| false);
        n.run(5 * SEC);
        for i in 0..CORES {
            n.nodes[i] = None;
        }
        n.run(AWAY);
        let mut order = [0, 1, 2];
        order.rotate_left(usize::try_from(r.below(3)).expect("small"));
        for i in order {
            n.start(i);
            n.run(r.below(150) * MS);
        }
        let t = until_all_duties_are_held(&mut n);
        assert!(t <= 500 * MS, "seed {seed}: {} ms after the last core's return", t / MS);
    }
}

/// The third core's frames to the others are late in getting through, as while its first connection
/// attempts, made before the others had power, run into their time-out.
#[test]
fn a_voter_heard_late_ends_its_quiet_though_the_others_ask_for_terms_already() {
    for late in [50, 150, 300] {
        let from = std::rc::Rc::new(std::cell::Cell::new(Micros::MAX));
        let begun = from.clone();
        let mut n = Net::new(move |now, i, _| i == 2 && now >= begun.get() && now < begun.get() + late * MS);
        n.run(5 * SEC);
        for i in 0..CORES {
            n.nodes[i] = None;
        }
        n.run(AWAY);
        from.set(n.now);
        for i in 0..CORES {
            n.start(i);
        }
        // The first core holds nothing before the third was heard, and all of them do soon after.
        n.run(late * MS);
        assert!(
            (0..CORES).all(|i| n.nodes[i].as_ref().is_some_and(|c| c.leases.grantor.fence_until > n.now)),
            "all were to be heard"
        );
        let t = until_all_duties_are_held(&mut n);
        assert!(t <= 400 * MS, "heard after {late} ms: duties held {} ms later", t / MS);
        assert!(
            (0..CORES).all(|i| n.nodes[i].as_ref().is_some_and(|c| c.leases.grantor.fence_until <= n.now)),
            "no voter is left quiet"
        );
    }
}

/// A voter that was told in a newer life that nobody holds a term grants others what a former life of
/// it granted here, so votes of that life are dropped: those counted, and those on their way.
#[test]
fn votes_of_a_former_life_do_not_count_once_the_newer_one_was_answered() {
    let voter = core(1).node_id;
    let mut n = Net::new(|now, i, j| now > 100 * SEC + 35 * MS && i != j && j == 0);
    let ask = |n: &Net| {
        let held = &n.nodes[0].as_ref().expect("it runs").leases.held.by_role;
        held.iter().find_map(|(d, h)| {
            h.open_request.as_ref().map(|a| (*d, h.epoch, a.request_id, a.granted_by.contains(&voter)))
        })
    };
    while ask(&n).is_none() && n.now < 101 * SEC {
        n.run(MS);
    }
    let (duty, epoch, number, _) = ask(&n).expect("it asks in vain");
    let frame = |incarnation, msg| Frame {
        from: voter,
        to: core(0).node_id,
        incarnation,
        fleet_id: 7,
        sent_at: 0,
        message: msg,
    };
    let vote = Message::Lease(LeaseMessage::Granted {
        role: duty,
        epoch,
        request_id: number,
        grants: vec![],
        has_no_predecessor: true,
        registered: vec![],
    });
    n.step(0, Event::Frame(Box::new(frame(2, Message::Lease(LeaseMessage::HeldLeasesQuery { query_id: 5 })))));
    n.step(0, Event::Frame(Box::new(frame(1, vote))));
    let now = ask(&n).expect("still open");
    assert_eq!((now.0, now.2, now.3), (duty, number, false), "the vote of the former life was counted");
}

/// The fronts that have no word of the holder of some tenant's rate, so that its calls are refused.
fn unsettled(n: &Net) -> Vec<usize> {
    let takes = |i: usize, t: usize| {
        let node = n.nodes[i].as_ref().expect("it runs");
        !matches!(node.quota.slices.take(&format!("t{t}"), n.now), TakeOutcome::Empty)
    };
    (CORES..ALL).filter(|i| !(0..TENANTS).all(|t| takes(*i, t))).collect()
}

#[test]
fn rates_are_settled_soon_after_all_machines_lost_power() {
    let mut times = Vec::new();
    for seed in 0..50 {
        let mut r = Rng::new(seed);
        let mut n = Net::new(|_, _, _| false);
        n.run(8 * SEC);
        n.run(8 * SEC);
        assert_eq!(unsettled(&n), Vec::<usize>::new(), "seed {seed}: before the loss");
        for i in 0..ALL {
            n.nodes[i] = None;
        }
        n.run(AWAY);
        for i in 0..ALL {
            n.start(i);
            n.run(r.below(30) * MS);
        }
        let from = n.now;
        while n.now < from + 5 * SEC && !unsettled(&n).is_empty() {
            n.run(10 * MS);
        }
        times.push((n.now - from) / MS);
    }
    times.sort_unstable();
    println!("ms until all rates are settled: {times:?}");
    assert!(times.iter().all(|t| *t <= 1_000), "{times:?}");
}

/// A holder that kept its power may still use what a restarted voter granted it.
#[test]
fn a_voter_grants_nothing_for_a_term_while_a_core_that_may_hold_one_is_silent_or_holds_one() {
    for silent in [false, true] {
        let mut n = Net::new(move |now, i, j| silent && now > 105 * SEC && (i == 0 || j == 0));
        n.run(5 * SEC);
        let holds = |n: &Net, i: usize| {
            (0..ROLE_COUNT).any(|d| n.nodes[i].as_ref().is_some_and(|c| c.leases.held.valid_epoch(d, n.now).is_some()))
        };
        assert!(holds(&n, 0), "rendezvous gives the first core some duty");
        let from = n.now;
        n.nodes[1] = None;
        n.nodes[2] = None;
        n.run(50 * MS);
        n.start(1);
        n.start(2);
        while n.now < from + 900 * MS {
            n.run(5 * MS);
            let quiet = |i: usize| n.nodes[i].as_ref().is_some_and(|c| c.leases.grantor.fence_until > n.now);
            assert!(quiet(1) && quiet(2), "silent {silent}: {} ms after the holder's grant", (n.now - from) / MS);
        }
        n.run(2 * SEC);
        assert!(holds(&n, 1) || holds(&n, 2), "time ends it");
    }
}

#[test]
fn fronts_that_lost_power_together_come_back_though_the_first_answers_are_lost() {
    let mut n = Net::new(|_, _, _| false);
    n.run(5 * SEC);
    assert_eq!(n.stuck(), Vec::<usize>::new());
    for i in CORES..ALL {
        n.nodes[i] = None;
    }
    n.run(AWAY);
    for i in CORES..ALL {
        n.start(i);
    }
    n.run(RECOVERY);
    assert_eq!(n.stuck(), Vec::<usize>::new(), "these refuse every call");
    n.run(2 * SEC);
    assert_eq!(n.strangers(), Vec::<usize>::new(), "these do not know all nodes");
}

#[test]
fn whatever_was_lost_while_nodes_restarted_all_nodes_serve_and_know_each_other_after_it() {
    for seed in 0..200 {
        let mut r = Rng::new(seed);
        let quiet_from = 108 * SEC;
        let mut n = Net::new(move |now, _, _| now < quiet_from && r.below(3) == 0);
        let mut draw = Rng::new(seed ^ 0xabcd);
        n.run(SEC);
        while n.now < quiet_from - SEC {
            let i = usize::try_from(draw.below(ALL as u64)).expect("small");
            n.nodes[i] = None;
            n.run(draw.below(800) * MS);
            n.start(i);
            n.run(draw.below(600) * MS);
        }
        n.run(quiet_from.saturating_sub(n.now) + RECOVERY);
        assert_eq!(n.stuck(), Vec::<usize>::new(), "seed {seed}: these refuse every call");
        n.run(3 * SEC);
        assert_eq!(n.strangers(), Vec::<usize>::new(), "seed {seed}: these do not know all nodes");
    }
}

/// The kernel of a machine that kept its power gives a connection up only some while after the other end
/// lost its own: what is written meanwhile is lost, also after that machine is back.
#[test]
fn fronts_are_served_soon_after_all_cores_lost_power_though_their_connections_swallow_frames() {
    let mut times = Vec::new();
    for seed in 0..30 {
        let mut r = Rng::new(seed);
        let mut n = Net::new(|_, _, _| false);
        n.given_up_after = Some(1_500 * MS);
        n.run(15 * SEC);
        assert_eq!(unsettled(&n), Vec::<usize>::new(), "seed {seed}: before the loss");
        for i in 0..CORES {
            n.nodes[i] = None;
        }
        n.run(AWAY);
        for i in 0..CORES {
            n.start(i);
            n.run(r.below(30) * MS);
        }
        let from = n.now;
        let served = |n: &Net| {
            let stamped = |i: usize| {
                let node = n.nodes[i].as_ref().expect("it runs");
                node.consensus.freshness.confirmed_at(node.version()).is_some_and(|at| at >= from)
            };
            (CORES..ALL).all(stamped) && unsettled(n).is_empty()
        };
        while n.now < from + 5 * SEC && !served(&n) {
            n.run(10 * MS);
        }
        times.push((n.now - from) / MS);
    }
    times.sort_unstable();
    println!("ms until all fronts have a stamp of the cores' new lives and settled rates: {times:?}");
    assert!(times.iter().all(|t| *t <= 700), "{times:?}");
}

/// How often each tenant calls, at three quarters of its rate.
const CALL_EVERY: Micros = SEC / 30;
/// For how long a call waits for a unit.
const PATIENCE: Micros = 500 * MS;

/// What a call without a unit waited for when it was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// Nobody holds the duty, and restarted voters that are needed for a term keep quiet still.
    Quiet,
    /// Nobody holds the duty; a lost holder's term may still run.
    Term,
    /// The holder waits for its first renewal.
    Renewal,
    /// Shares of former holders may be in use.
    Unknown,
    /// The holder's pool has nothing yet.
    Fill,
}

fn cause(n: &Net, tenant: &str) -> Cause {
    let duty = quota_role(tenant);
    let cores = || n.nodes[..CORES].iter().flatten();
    let Some(holder) = cores().find(|c| c.leases.held.valid_epoch(duty, n.now).is_some()) else {
        let voters = cores().filter(|c| c.leases.grantor.fence_until <= n.now).count();
        return if 2 * voters <= CORES { Cause::Quiet } else { Cause::Term };
    };
    if holder.share_epoch(duty, n.now).is_none() {
        return Cause::Renewal;
    }
    let pool = holder.quota.share_pools.list().into_iter().find(|p| p.0 == sumacvale_core::quota::tenant_key(tenant));
    if pool.is_none_or(|p| p.2 > 0) { Cause::Unknown } else { Cause::Fill }
}

/// Calls of all tenants at all fronts, each of which waits for a unit.
struct Calls {
    rng: Rng,
    due: Vec<Micros>,
    /// The front, the tenant and when it came.
    waiting: Vec<(usize, String, Micros)>,
    ran: Vec<(String, Micros)>,
    refused: Vec<(Micros, Cause)>,
}

impl Calls {
    fn new(seed: u64, now: Micros) -> Calls {
        Calls { rng: Rng::new(seed), due: vec![now; TENANTS], waiting: vec![], ran: vec![], refused: vec![] }
    }

    fn come(&mut self, n: &mut Net) {
        for t in 0..TENANTS {
            while self.due[t] <= n.now {
                self.due[t] += CALL_EVERY / 2 + self.rng.below(CALL_EVERY);
                let front = CORES + usize::try_from(self.rng.below((ALL - CORES) as u64)).expect("small");
                if n.nodes[front].is_some() {
                    self.call(n, front, format!("t{t}"));
                }
            }
        }
        for (front, tenant, came) in std::mem::take(&mut self.waiting) {
            let now = n.now;
            let Some(node) = n.nodes[front].as_ref() else { continue };
            match node.quota.slices.rates.take_for_waiter(&tenant, 1, now) {
                Some(TakeOutcome::Taken { .. }) => self.ran.push((tenant, now)),
                _ if now >= came + PATIENCE => self.refused.push((came, cause(n, &tenant))),
                _ => {
                    n.step(front, Event::QuotaNeeded { tenant: tenant.clone(), waiting: 1 });
                    self.waiting.push((front, tenant, came));
                }
            }
        }
    }

    fn call(&mut self, n: &Net, front: usize, tenant: String) {
        let node = n.nodes[front].as_ref().expect("it runs");
        match node.quota.slices.take(&tenant, n.now) {
            TakeOutcome::Taken { .. } => self.ran.push((tenant, n.now)),
            TakeOutcome::RateExhausted { wait, may_get_more: more, .. } if !more && wait > PATIENCE => {
                self.refused.push((n.now, cause(n, &tenant)));
            }
            _ => self.waiting.push((front, tenant, n.now)),
        }
    }

    fn run(&mut self, n: &mut Net, t: Micros) {
        let end = n.now + t;
        while n.now < end {
            n.run(5 * MS);
            self.come(n);
        }
    }
}

/// What came of the calls of the two seconds after some machines were back from a loss of power.
#[derive(Default)]
struct After {
    calls: usize,
    refused: BTreeMap<Cause, usize>,
    /// How long after the last return the last refused call came, in ms, for each loss.
    last: Vec<Micros>,
}

impl After {
    /// Some machines lose power under load and are back after a while.
    fn add(&mut self, seed: u64, lost: &[usize]) {
        let mut n = Net::new(|_, _, _| false);
        n.run(8 * SEC);
        let mut calls = Calls::new(seed, n.now);
        calls.run(&mut n, 8 * SEC);
        for i in lost {
            n.nodes[*i] = None;
        }
        calls.run(&mut n, AWAY);
        let mut draw = Rng::new(seed);
        for i in lost {
            n.start(*i);
            calls.run(&mut n, draw.below(30) * MS);
        }
        let from = n.now;
        calls.run(&mut n, 3 * SEC);
        let refused: Vec<_> = calls.refused.iter().filter(|r| r.0 >= from && r.0 < from + 2 * SEC).collect();
        refused.iter().for_each(|r| *self.refused.entry(r.1).or_default() += 1);
        self.last.push(refused.iter().map(|r| r.0 - from).max().unwrap_or(0) / MS);
        self.calls += refused.len() + calls.ran.iter().filter(|r| r.1 >= from && r.1 < from + 2 * SEC).count();
    }

    fn tell(&mut self, what: &str) {
        self.last.sort_unstable();
        let (calls, refused, last) = (self.calls, &self.refused, &self.last);
        println!("{what}: of {calls} calls refused {refused:?}; the last one came after ms {last:?}");
    }
}

#[test]
fn calls_are_served_soon_after_all_machines_lost_power_under_load() {
    let mut after = After::default();
    (0..40).for_each(|seed| after.add(seed, &(0..ALL).collect::<Vec<_>>()));
    after.tell("all machines");
    assert!(after.refused.keys().all(|cause| *cause == Cause::Fill), "{:?}", after.refused);
    // Without the credit for the time since the fronts' start 153 of 14,734.
    let filling = after.refused.get(&Cause::Fill).copied().unwrap_or(0);
    assert!(filling * 1_000 <= after.calls * 7, "{filling} of {} calls found a pool that fills", after.calls);
}

#[test]
fn calls_are_served_soon_after_some_machines_lost_power_under_load() {
    // Most that find a pool that fills, of about 15,000 calls; without the credit 191, 142, 112 and 355.
    for (name, lost, most) in [
        ("a core", &[0][..], 110),
        ("two cores", &[0, 1], 70),
        ("all cores", &[0, 1, 2], 60),
        ("two cores, four fronts", &[0, 1, 3, 4, 5, 6], 150),
    ] {
        let mut after = After::default();
        (0..40).for_each(|seed| after.add(seed, lost));
        after.tell(name);
        let filling = after.refused.get(&Cause::Fill).copied().unwrap_or(0);
        assert!(filling <= most, "{name}: {filling}");
    }
}
