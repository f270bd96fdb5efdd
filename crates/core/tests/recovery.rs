//! Recovery after losses of frames, of machines and of power: no node needs a restart to serve again.

mod nodes;

use nodes::{addr, core, founded, me};
use std::collections::BTreeMap;
use sumacvale_core::base::{MS, Micros, NodeId, Rng, SEC, sha256_hex};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::lease::{ROLE_COUNT, quota_role};
use sumacvale_core::node::{Effect, Event, Node, NodeSettings};
use sumacvale_core::protocol::{Frame, LeaseMessage, Message};
use sumacvale_core::quota::AcquireOutcome;

const CORES: usize = 3;
const ALL: usize = 9;
const TENANTS: usize = 6;
/// For how long a machine that lost power is down, in microseconds.
const DOWNTIME: Micros = 600 * MS;
/// How long a restarted node may take to serve, in microseconds: it needs a greeting, a request and a
/// reply, half a second apart each.
const RECOVERY_TIME: Micros = 2_500 * MS;

fn durable_state(i: usize) -> DurableState {
    let key = |t: usize| sha256_hex(&t.to_le_bytes());
    let tenant =
        |t: usize| format!("\"t{t}\":{{\"keys\":[\"sha256:{}\"],\"quota\":{{\"rate\":40,\"burst\":40}}}}", key(t));
    let tenants: Vec<_> = (0..TENANTS).map(tenant).collect();
    let body = format!("{{\"pools\":{{\"p\":{{}}}},\"matches\":{{}},\"tenants\":{{{}}}}}", tenants.join(","));
    DurableState { node_id: core(i).node_id, ..founded(CORES, body, 0) }
}

/// Nodes in virtual time, connected by links that may lose frames.
struct Net {
    now: Micros,
    nodes: Vec<Option<Node>>,
    /// What is on the disk of each core.
    disks: Vec<DurableState>,
    /// The newest incarnation of any node.
    incarnations: u64,
    /// How many frames were sent.
    sent: u64,
    /// The frames in transit, by when they arrive and in the order in which they were sent.
    in_transit: BTreeMap<(Micros, u64), (usize, usize, Frame)>,
    /// The incarnation of the target to which each connection was opened: the first frames that are written
    /// into a connection to a former incarnation are lost.
    connections: BTreeMap<(usize, usize), u64>,
    /// How long a connection loses frames, from the first one, after its target lost power; without it only
    /// the first frame is lost.
    connection_timeout: Option<Micros>,
    /// When each such connection lost its first frame.
    losing_since: BTreeMap<(usize, usize), Micros>,
    /// Whether the frame sent now from one node to another is lost.
    is_lost: Box<dyn FnMut(Micros, usize, usize) -> bool>,
}

impl Net {
    fn new(is_lost: impl FnMut(Micros, usize, usize) -> bool + 'static) -> Net {
        let mut net = Net {
            now: 100 * SEC,
            nodes: (0..ALL).map(|_| None).collect(),
            disks: (0..CORES).map(durable_state).collect(),
            incarnations: 0,
            sent: 0,
            in_transit: BTreeMap::new(),
            connections: BTreeMap::new(),
            connection_timeout: None,
            losing_since: BTreeMap::new(),
            is_lost: Box::new(is_lost),
        };
        for i in 0..ALL {
            net.start(i);
        }
        net
    }

    fn start(&mut self, i: usize) {
        self.incarnations += 1;
        // Its own connections were closed with its former incarnation.
        self.connections.retain(|(from, _), _| *from != i);
        self.losing_since.retain(|(from, _), _| *from != i);
        let is_core = i < CORES;
        let node_id = if is_core { core(i).node_id } else { NodeId(1_000 + self.incarnations) };
        let me = NodeSettings { node_id, may_bootstrap: false, ..me(i, CORES, self.incarnations) };
        let kept = if is_core { self.disks[i].clone() } else { DurableState::default() };
        self.nodes[i] = Some(Node::new(me, &kept, self.incarnations, self.now));
    }

    fn step(&mut self, i: usize, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes[i].as_mut() else { return };
        for effect in node.step(event, now) {
            match effect {
                Effect::Send { to, frame } => {
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    self.sent += 1;
                    self.in_transit.insert((now + MS, self.sent), (i, j, *frame));
                }
                Effect::Reconnect { to } => {
                    let Some(j) = (0..ALL).find(|j| addr(*j) == to) else { continue };
                    self.connections.remove(&(i, j));
                    self.losing_since.remove(&(i, j));
                }
                Effect::Write { token, writes } => {
                    for write in &writes {
                        self.disks[i].apply(write);
                    }
                    self.step(i, Event::Synced(token));
                }
                _ => {}
            }
        }
    }

    /// Whether a frame arrives: one that is written into a connection to a former incarnation does not.
    fn arrives(&mut self, i: usize, j: usize) -> bool {
        if let Some(timeout) = self.connection_timeout {
            let incarnation = self.nodes[j].as_ref().map(|node| node.settings.incarnation);
            if self.connections.get(&(i, j)).is_some_and(|connected| Some(*connected) != incarnation) {
                let since = *self.losing_since.entry((i, j)).or_insert(self.now);
                if self.now < since + timeout {
                    return false;
                }
                self.connections.remove(&(i, j));
                self.losing_since.remove(&(i, j));
            }
        }
        let Some(incarnation) = self.nodes[j].as_ref().map(|node| node.settings.incarnation) else { return false };
        let former = self.connections.insert((i, j), incarnation);
        former.is_none_or(|former| former == incarnation) && !(self.is_lost)(self.now, i, j)
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (i, j, frame) = entry.remove();
                if self.arrives(i, j) {
                    self.step(j, Event::Frame(Box::new(frame)));
                }
            }
            let now = self.now;
            for i in (0..ALL).filter(|i| (now / MS + 7 * *i as u64).is_multiple_of(25)) {
                self.step(i, Event::Tick);
            }
        }
    }

    /// The nodes that would reject every call.
    fn not_fresh(&self) -> Vec<usize> {
        (0..ALL).filter(|i| self.nodes[*i].as_ref().is_none_or(|node| !node.is_fresh(self.now))).collect()
    }

    /// The nodes that don't know all others.
    fn without_all_peers(&self) -> Vec<usize> {
        let live_peers = |node: &Node| node.dissemination.peers.live(self.now).count();
        (0..ALL).filter(|i| self.nodes[*i].as_ref().is_none_or(|node| live_peers(node) < ALL)).collect()
    }
}

/// Runs until every role has a holder, and returns how long that took, in microseconds.
fn run_until_all_roles_are_held(net: &mut Net) -> Micros {
    let from = net.now;
    let is_held = |net: &Net, role| {
        let holds = |core: &Node| core.leases.held.valid_epoch(role, net.now).is_some();
        (0..CORES).any(|i| net.nodes[i].as_ref().is_some_and(holds))
    };
    while net.now < from + 5 * SEC && !(0..ROLE_COUNT).all(|role| is_held(net, role)) {
        net.run(5 * MS);
    }
    net.now - from
}

#[test]
fn roles_are_held_soon_after_all_cores_lost_power() {
    for seed in 0..50 {
        let mut rng = Rng::new(seed);
        let mut net = Net::new(|_, _, _| false);
        net.run(5 * SEC);
        for i in 0..CORES {
            net.nodes[i] = None;
        }
        net.run(DOWNTIME);
        let mut order = [0, 1, 2];
        order.rotate_left(usize::try_from(rng.below(3)).expect("small"));
        for i in order {
            net.start(i);
            net.run(rng.below(150) * MS);
        }
        let delay = run_until_all_roles_are_held(&mut net);
        assert!(delay <= 500 * MS, "seed {seed}: {} ms after the last core started", delay / MS);
    }
}

/// The frames of the third core reach the others late, as while its first connection attempts, made before
/// the others had power, run into their time-out.
#[test]
fn a_voter_reached_late_lifts_its_fence_though_others_request_leases_already() {
    for late in [50, 150, 300] {
        let from = std::rc::Rc::new(std::cell::Cell::new(Micros::MAX));
        let lost_from = from.clone();
        let mut net = Net::new(move |now, i, _| i == 2 && now >= lost_from.get() && now < lost_from.get() + late * MS);
        net.run(5 * SEC);
        for i in 0..CORES {
            net.nodes[i] = None;
        }
        net.run(DOWNTIME);
        from.set(net.now);
        for i in 0..CORES {
            net.start(i);
        }
        // The first core holds no role before it received frames of the third; all roles are held soon after.
        net.run(late * MS);
        assert!(
            (0..CORES).all(|i| net.nodes[i].as_ref().is_some_and(|core| core.leases.grantor.fence_until > net.now)),
            "every voter must await the replies of all"
        );
        let delay = run_until_all_roles_are_held(&mut net);
        assert!(delay <= 400 * MS, "reached after {late} ms: roles held {} ms later", delay / MS);
        assert!(
            (0..CORES).all(|i| net.nodes[i].as_ref().is_some_and(|core| core.leases.grantor.fence_until <= net.now)),
            "no voter is left with its fence"
        );
    }
}

/// A voter that was told in a newer incarnation that nobody holds a lease grants others what its former
/// incarnation granted here, so votes of the former one are dropped: those counted, and those in transit.
#[test]
fn votes_of_a_former_incarnation_do_not_count_once_the_newer_one_got_a_reply() {
    let voter = core(1).node_id;
    let mut net = Net::new(|now, i, j| now > 100 * SEC + 35 * MS && i != j && j == 0);
    let open_request = |net: &Net| {
        let held = &net.nodes[0].as_ref().expect("it runs").leases.held.by_role;
        held.iter().find_map(|(role, lease)| {
            let open = lease.open_request.as_ref()?;
            Some((*role, lease.epoch, open.request_id, open.granted_by.contains(&voter)))
        })
    };
    while open_request(&net).is_none() && net.now < 101 * SEC {
        net.run(MS);
    }
    let (role, epoch, request_id, _) = open_request(&net).expect("it requests a role without a reply");
    let frame = |incarnation, message| Frame {
        from: voter,
        to: core(0).node_id,
        incarnation,
        fleet_id: 7,
        sent_at: 0,
        message,
    };
    let vote = Message::Lease(LeaseMessage::Granted {
        role,
        epoch,
        request_id,
        grants: vec![],
        has_no_predecessor: true,
        registered: vec![],
    });
    net.step(0, Event::Frame(Box::new(frame(2, Message::Lease(LeaseMessage::HeldLeasesQuery { query_id: 5 })))));
    net.step(0, Event::Frame(Box::new(frame(1, vote))));
    let (open_role, _, open_id, is_granted) = open_request(&net).expect("still open");
    assert_eq!(
        (open_role, open_id, is_granted),
        (role, request_id, false),
        "the vote of the former incarnation was counted"
    );
}

/// The fronts that have no share of some tenant's rate, so that its calls are rejected.
fn fronts_without_shares(net: &Net) -> Vec<usize> {
    let has_share = |i: usize, t: usize| {
        let node = net.nodes[i].as_ref().expect("it runs");
        !matches!(node.quota.slices.acquire_unit(&format!("t{t}"), net.now), AcquireOutcome::Empty)
    };
    (CORES..ALL).filter(|i| !(0..TENANTS).all(|t| has_share(*i, t))).collect()
}

#[test]
fn all_fronts_have_shares_soon_after_all_machines_lost_power() {
    let mut times = Vec::new();
    for seed in 0..50 {
        let mut rng = Rng::new(seed);
        let mut net = Net::new(|_, _, _| false);
        net.run(8 * SEC);
        net.run(8 * SEC);
        assert_eq!(fronts_without_shares(&net), Vec::<usize>::new(), "seed {seed}: before the loss");
        for i in 0..ALL {
            net.nodes[i] = None;
        }
        net.run(DOWNTIME);
        for i in 0..ALL {
            net.start(i);
            net.run(rng.below(30) * MS);
        }
        let from = net.now;
        while net.now < from + 5 * SEC && !fronts_without_shares(&net).is_empty() {
            net.run(10 * MS);
        }
        times.push((net.now - from) / MS);
    }
    times.sort_unstable();
    println!("ms until all fronts have shares of all rates: {times:?}");
    assert!(times.iter().all(|time| *time <= 1_000), "{times:?}");
}

/// A holder that did not lose power may still use what a restarted voter granted it.
#[test]
fn a_restarted_voter_keeps_its_fence_while_a_possible_holder_is_silent_or_holds_a_lease() {
    for silent in [false, true] {
        let mut net = Net::new(move |now, i, j| silent && now > 105 * SEC && (i == 0 || j == 0));
        net.run(5 * SEC);
        let holds_any = |net: &Net, i: usize| {
            let holds = |role, core: &Node| core.leases.held.valid_epoch(role, net.now).is_some();
            (0..ROLE_COUNT).any(|role| net.nodes[i].as_ref().is_some_and(|core| holds(role, core)))
        };
        assert!(holds_any(&net, 0), "rendezvous hashing nominates the first core for some role");
        let from = net.now;
        net.nodes[1] = None;
        net.nodes[2] = None;
        net.run(50 * MS);
        net.start(1);
        net.start(2);
        while net.now < from + 900 * MS {
            net.run(5 * MS);
            let is_fenced =
                |i: usize| net.nodes[i].as_ref().is_some_and(|core| core.leases.grantor.fence_until > net.now);
            assert!(
                is_fenced(1) && is_fenced(2),
                "silent {silent}: {} ms after the holder's grant",
                (net.now - from) / MS
            );
        }
        net.run(2 * SEC);
        assert!(holds_any(&net, 1) || holds_any(&net, 2), "the fence expires");
    }
}

#[test]
fn fronts_that_lost_power_together_recover_though_the_first_replies_are_lost() {
    let mut net = Net::new(|_, _, _| false);
    net.run(5 * SEC);
    assert_eq!(net.not_fresh(), Vec::<usize>::new());
    for i in CORES..ALL {
        net.nodes[i] = None;
    }
    net.run(DOWNTIME);
    for i in CORES..ALL {
        net.start(i);
    }
    net.run(RECOVERY_TIME);
    assert_eq!(net.not_fresh(), Vec::<usize>::new(), "these reject every call");
    net.run(2 * SEC);
    assert_eq!(net.without_all_peers(), Vec::<usize>::new(), "these do not know all nodes");
}

#[test]
fn after_any_loss_of_frames_during_restarts_all_nodes_serve_and_know_each_other() {
    for seed in 0..200 {
        let mut rng = Rng::new(seed);
        let lossless_from = 108 * SEC;
        let mut net = Net::new(move |now, _, _| now < lossless_from && rng.below(3) == 0);
        let mut draw = Rng::new(seed ^ 0xabcd);
        net.run(SEC);
        while net.now < lossless_from - SEC {
            let i = usize::try_from(draw.below(ALL as u64)).expect("small");
            net.nodes[i] = None;
            net.run(draw.below(800) * MS);
            net.start(i);
            net.run(draw.below(600) * MS);
        }
        net.run(lossless_from.saturating_sub(net.now) + RECOVERY_TIME);
        assert_eq!(net.not_fresh(), Vec::<usize>::new(), "seed {seed}: these reject every call");
        net.run(3 * SEC);
        assert_eq!(net.without_all_peers(), Vec::<usize>::new(), "seed {seed}: these do not know all nodes");
    }
}

/// The kernel of a machine that did not lose power closes a connection only some time after the other machine
/// lost its power: what is written meanwhile is lost, also after that machine has started again.
#[test]
fn fronts_recover_soon_after_all_cores_lost_power_though_their_connections_lose_frames() {
    let mut times = Vec::new();
    for seed in 0..30 {
        let mut rng = Rng::new(seed);
        let mut net = Net::new(|_, _, _| false);
        net.connection_timeout = Some(1_500 * MS);
        net.run(15 * SEC);
        assert_eq!(fronts_without_shares(&net), Vec::<usize>::new(), "seed {seed}: before the loss");
        for i in 0..CORES {
            net.nodes[i] = None;
        }
        net.run(DOWNTIME);
        for i in 0..CORES {
            net.start(i);
            net.run(rng.below(30) * MS);
        }
        let from = net.now;
        let has_recovered = |net: &Net| {
            let is_confirmed = |i: usize| {
                let node = net.nodes[i].as_ref().expect("it runs");
                node.consensus.freshness.confirmed_at(node.version()).is_some_and(|confirmed_at| confirmed_at >= from)
            };
            (CORES..ALL).all(is_confirmed) && fronts_without_shares(net).is_empty()
        };
        while net.now < from + 5 * SEC && !has_recovered(&net) {
            net.run(10 * MS);
        }
        times.push((net.now - from) / MS);
    }
    times.sort_unstable();
    println!(
        "ms until all fronts are confirmed by the cores' new incarnations and have shares of all rates: {times:?}"
    );
    assert!(times.iter().all(|time| *time <= 700), "{times:?}");
}

/// How often each tenant calls, in microseconds: at three quarters of its rate.
const CALL_INTERVAL: Micros = SEC / 30;
/// How long a call waits for a unit of the quota, in microseconds.
const CALL_TIMEOUT: Micros = 500 * MS;

/// What a call without a unit waited for when it was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// The role has no holder, and restarted voters that are needed for a lease still have their fence.
    StartupFence,
    /// The role has no holder; the lease of a lost one may still be valid.
    EarlierLease,
    /// The holder awaits its first renewal.
    FirstRenewal,
    /// Shares that former holders granted may be in use.
    FormerShares,
    /// The holder's pool is empty yet.
    EmptyPool,
}

fn cause(net: &Net, tenant: &str) -> Cause {
    let role = quota_role(tenant);
    let cores = || net.nodes[..CORES].iter().flatten();
    let Some(holder) = cores().find(|core| core.leases.held.valid_epoch(role, net.now).is_some()) else {
        let voters = cores().filter(|core| core.leases.grantor.fence_until <= net.now).count();
        return if 2 * voters <= CORES { Cause::StartupFence } else { Cause::EarlierLease };
    };
    if holder.share_epoch(role, net.now).is_none() {
        return Cause::FirstRenewal;
    }
    let pool = holder.quota.share_pools.list().into_iter().find(|p| p.0 == sumacvale_core::quota::tenant_key(tenant));
    if pool.is_none_or(|p| p.2 > 0) { Cause::FormerShares } else { Cause::EmptyPool }
}

/// A call that has no unit yet.
struct WaitingCall {
    front: usize,
    tenant: String,
    received_at: Micros,
}

/// A call that got no unit in time.
struct RejectedCall {
    received_at: Micros,
    cause: Cause,
}

/// Calls of all tenants at all fronts, each of which waits for a unit of its tenant's quota.
struct Calls {
    rng: Rng,
    /// When each tenant calls next.
    next_at: Vec<Micros>,
    waiting: Vec<WaitingCall>,
    /// When each call that got a unit got it.
    served: Vec<Micros>,
    rejected: Vec<RejectedCall>,
}

impl Calls {
    fn new(seed: u64, now: Micros) -> Calls {
        Calls { rng: Rng::new(seed), next_at: vec![now; TENANTS], waiting: vec![], served: vec![], rejected: vec![] }
    }

    fn advance(&mut self, net: &mut Net) {
        for t in 0..TENANTS {
            while self.next_at[t] <= net.now {
                self.next_at[t] += CALL_INTERVAL / 2 + self.rng.below(CALL_INTERVAL);
                let front = CORES + usize::try_from(self.rng.below((ALL - CORES) as u64)).expect("small");
                if net.nodes[front].is_some() {
                    self.call(net, front, format!("t{t}"));
                }
            }
        }
        for WaitingCall { front, tenant, received_at } in std::mem::take(&mut self.waiting) {
            let now = net.now;
            let Some(node) = net.nodes[front].as_ref() else { continue };
            match node.quota.slices.rates.acquire_for_waiter(&tenant, 1, now) {
                Some(AcquireOutcome::Acquired { .. }) => self.served.push(now),
                _ if now >= received_at + CALL_TIMEOUT => {
                    self.rejected.push(RejectedCall { received_at, cause: cause(net, &tenant) });
                }
                _ => {
                    net.step(front, Event::QuotaNeeded { tenant: tenant.clone(), waiting: 1 });
                    self.waiting.push(WaitingCall { front, tenant, received_at });
                }
            }
        }
    }

    fn call(&mut self, net: &Net, front: usize, tenant: String) {
        let node = net.nodes[front].as_ref().expect("it runs");
        let received_at = net.now;
        match node.quota.slices.acquire_unit(&tenant, received_at) {
            AcquireOutcome::Acquired { .. } => self.served.push(received_at),
            AcquireOutcome::RateExhausted { wait, may_get_more, .. } if !may_get_more && wait > CALL_TIMEOUT => {
                self.rejected.push(RejectedCall { received_at, cause: cause(net, &tenant) });
            }
            _ => self.waiting.push(WaitingCall { front, tenant, received_at }),
        }
    }

    fn run(&mut self, net: &mut Net, duration: Micros) {
        let end = net.now + duration;
        while net.now < end {
            net.run(5 * MS);
            self.advance(net);
        }
    }
}

/// The outcomes of the calls received in the two seconds after some machines restarted from a loss of power.
#[derive(Default)]
struct CallsAfterLoss {
    calls: usize,
    rejected: BTreeMap<Cause, usize>,
    /// How long after the last start the last rejected call was received, in milliseconds, for each loss.
    last_rejected: Vec<Micros>,
}

impl CallsAfterLoss {
    /// Some machines lose power under load and start again after a while.
    fn add_loss(&mut self, seed: u64, lost: &[usize]) {
        let mut net = Net::new(|_, _, _| false);
        net.run(8 * SEC);
        let mut calls = Calls::new(seed, net.now);
        calls.run(&mut net, 8 * SEC);
        for i in lost {
            net.nodes[*i] = None;
        }
        calls.run(&mut net, DOWNTIME);
        let mut draw = Rng::new(seed);
        for i in lost {
            net.start(*i);
            calls.run(&mut net, draw.below(30) * MS);
        }
        let from = net.now;
        calls.run(&mut net, 3 * SEC);
        let counted = from..from + 2 * SEC;
        let rejected: Vec<_> = calls.rejected.iter().filter(|call| counted.contains(&call.received_at)).collect();
        for call in &rejected {
            *self.rejected.entry(call.cause).or_default() += 1;
        }
        self.last_rejected.push(rejected.iter().map(|call| call.received_at - from).max().unwrap_or(0) / MS);
        self.calls += rejected.len() + calls.served.iter().filter(|at| counted.contains(at)).count();
    }

    fn print(&mut self, title: &str) {
        self.last_rejected.sort_unstable();
        let CallsAfterLoss { calls, rejected, last_rejected } = self;
        println!("{title}: of {calls} calls rejected {rejected:?}; the last one received after ms {last_rejected:?}");
    }
}

#[test]
fn calls_are_served_soon_after_all_machines_lost_power_under_load() {
    let mut after = CallsAfterLoss::default();
    (0..40).for_each(|seed| after.add_loss(seed, &(0..ALL).collect::<Vec<_>>()));
    after.print("all machines");
    assert!(after.rejected.keys().all(|cause| *cause == Cause::EmptyPool), "{:?}", after.rejected);
    // Without the credit for the time since the start of the fronts 153 of 14,734.
    let with_empty_pool = after.rejected.get(&Cause::EmptyPool).copied().unwrap_or(0);
    assert!(
        with_empty_pool * 1_000 <= after.calls * 7,
        "{with_empty_pool} of {} calls found an empty pool",
        after.calls
    );
}

#[test]
fn calls_are_served_soon_after_some_machines_lost_power_under_load() {
    // The most that may find an empty pool, of about 15,000 calls; without the credit 191, 142, 112 and 355.
    for (name, lost, most) in [
        ("a core", &[0][..], 110),
        ("two cores", &[0, 1], 70),
        ("all cores", &[0, 1, 2], 60),
        ("two cores, four fronts", &[0, 1, 3, 4, 5, 6], 150),
    ] {
        let mut after = CallsAfterLoss::default();
        (0..40).for_each(|seed| after.add_loss(seed, lost));
        after.print(name);
        let with_empty_pool = after.rejected.get(&Cause::EmptyPool).copied().unwrap_or(0);
        assert!(with_empty_pool <= most, "{name}: {with_empty_pool}");
    }
}
