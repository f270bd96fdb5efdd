//! Recovery after losses of frames, of machines and of power: no node needs a restart to serve again.

mod load;
mod net;
#[path = "../nodes/mod.rs"]
mod nodes;
mod standby;

use load::{CallsAfterLoss, Cause};
use net::{ALL, CORES, DOWNTIME, Net, TENANTS};
use nodes::core;
use sumacvale_core::base::{MS, Micros, Rng, SEC};
use sumacvale_core::lease::ROLE_COUNT;
use sumacvale_core::node::{Event, Node};
use sumacvale_core::protocol::{Frame, LeaseMessage, Message};
use sumacvale_core::quota::AcquireOutcome;

/// How long a restarted node may take to serve, in microseconds: it needs a greeting, a request and a
/// reply, half a second apart each.
const RECOVERY_TIME: Micros = 2_500 * MS;

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
