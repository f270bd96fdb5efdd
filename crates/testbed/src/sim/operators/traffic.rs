//! Operators who change the configuration, and the calls of the clients of all tenants.

use crate::sim::calls::outcome::{CallRequest, ClientObservation};
use crate::sim::checks::majority_contact::MajorityContact;
use crate::sim::checks::safety::Acknowledgement;
use crate::sim::operators::documents::{MAX_WAIT, REVOCABLE_TENANT, config_tree};
use crate::sim::operators::orders::REQUEST_ID_BASE;
use crate::sim::world::World;
use std::collections::BTreeMap;
use sumacvale_core::base::{ChangeId, MS, Micros, SEC, Version};
use sumacvale_core::node::Event;
use sumacvale_core::protocol::{Change, ChangeOutcome, Voter};

/// A change whose outcome an operator waits for.
#[derive(Clone, Debug)]
struct PendingChange {
    change_id: ChangeId,
    base: Version,
    change: Change,
    /// When the change was sent for the first time.
    requested_at: Micros,
    /// When the operator gives up the current attempt.
    deadline: Micros,
    /// Whether the current attempt is the second one; there is no third.
    is_retry: bool,
    /// The machine that the current attempt was sent to.
    machine: usize,
    /// When the current attempt was sent.
    sent_at: Micros,
}

/// Several operators who change the configuration, and the clients of all tenants.
#[derive(Default)]
pub struct Operators {
    /// Changes without a response so far, by request id.
    pending: BTreeMap<u64, PendingChange>,
    last_request_id: u64,
    /// Changes that were committed.
    pub committed: u64,
    /// Changes that were rejected as stale.
    pub stale: u64,
    /// Changes whose outcome stayed unknown.
    pub unknown: u64,
    /// Changes that failed in another way: no quorum, invalid, or a change id that was used before.
    pub failed: u64,
    /// Calls that clients began.
    pub calls: u64,
    /// The times from an acknowledgement until all running nodes had the version, in microseconds.
    pub propagation_times: Vec<Micros>,
    /// When each version was acknowledged that not all running nodes have yet.
    propagating: BTreeMap<Version, Micros>,
    majority_contact: MajorityContact,
    /// Changes that were rejected without need: when, by which machine, and with which outcome.
    pub needless_rejections: Vec<String>,
}

impl Operators {
    /// Sends an attempt of a change to a machine.
    fn send(&mut self, world: &mut World, machine: usize, pending: PendingChange) {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let event = Event::SubmitChange {
            request_id,
            change_id: pending.change_id,
            is_first_send: !pending.is_retry,
            base: pending.base,
            change: pending.change.clone(),
        };
        self.pending.insert(request_id, pending);
        world.step(machine, event);
    }

    /// Submits a new configuration to a drawn node, on the version that another drawn node holds.
    pub fn submit_config(&mut self, world: &mut World) {
        let running: Vec<_> = (0..world.machines.len()).filter(|i| world.is_running(*i)).collect();
        if running.is_empty() {
            return;
        }
        let draw =
            |world: &mut World| running[usize::try_from(world.rng.next_below(running.len() as u64)).unwrap_or(0)];
        let (reader, target) = (draw(world), draw(world));
        let Some(base) = world.machines[reader].node.as_ref().and_then(sumacvale_core::node::Node::version) else {
            return;
        };
        let change_id = ChangeId(world.rng.next_u64().max(1));
        let tree = config_tree(self.last_request_id, world.tenants, world.extra_routes, world.quotas_are_rates);
        let change = Change::Tree(tree);
        let now = world.now;
        let pending = PendingChange {
            change_id,
            base,
            change,
            requested_at: now,
            deadline: now + 7 * SEC,
            is_retry: false,
            machine: target,
            sent_at: now,
        };
        self.send(world, target, pending);
    }

    /// Proposes voters that include a new machine and omit those whose disks are gone. Returns whether the newest
    /// version already includes the machine.
    pub fn propose_replacement(&mut self, world: &mut World, machine: usize) -> bool {
        let Some(new) = world.machines[machine].node.as_ref().map(|node| node.settings.node_id) else { return false };
        let addr = world.machines[machine].addr.clone();
        let Some(target) =
            (0..world.machines.len()).find(|i| *i != machine && world.is_running(*i) && world.machines[*i].is_core)
        else {
            return false;
        };
        let Some(newest) = world.machines[target].node.as_ref().and_then(|node| node.consensus.state.newest().cloned())
        else {
            return false;
        };
        if newest.voters.iter().any(|voter| voter.node_id == new) {
            return true;
        }
        let existing: Vec<_> = world
            .machines
            .iter()
            .filter(|machine| machine.is_core)
            .map(|machine| machine.disk.durable.node_id)
            .collect();
        let mut voters: Vec<Voter> =
            newest.voters.iter().filter(|voter| existing.contains(&voter.node_id)).cloned().collect();
        voters.push(Voter { node_id: new, addr });
        let change_id = ChangeId(world.rng.next_u64().max(1));
        let now = world.now;
        let pending = PendingChange {
            change_id,
            base: newest.version,
            change: Change::Voters(voters),
            requested_at: now,
            deadline: now + 7 * SEC,
            is_retry: false,
            machine: target,
            sent_at: now,
        };
        self.send(world, target, pending);
        false
    }

    /// Handles the outcomes that arrived, and changes whose deadline has passed.
    pub fn handle_outcomes(&mut self, world: &mut World) {
        let now = world.now;
        self.majority_contact.observe(world);
        let (others, mine): (Vec<_>, Vec<_>) =
            std::mem::take(&mut world.change_outcomes).into_iter().partition(|a| a.0 > REQUEST_ID_BASE);
        world.change_outcomes = others;
        for (request_id, outcome) in mine {
            let Some(pending) = self.pending.remove(&request_id) else { continue };
            self.check_rejection(world, &pending, &outcome);
            match outcome {
                ChangeOutcome::Committed { version } => {
                    self.committed += 1;
                    world.safety.record_acknowledgement(Acknowledgement {
                        change_id: pending.change_id,
                        base: pending.base,
                        version,
                        requested_at: pending.requested_at,
                        acknowledged_at: now,
                    });
                    self.propagating.insert(version, now);
                }
                ChangeOutcome::Stale { .. } if !pending.is_retry => {
                    self.stale += 1;
                    world.safety.record_rejection(pending.change_id, now);
                }
                ChangeOutcome::Stale { .. } => self.stale += 1,
                ChangeOutcome::NoQuorum if !pending.is_retry => {
                    self.failed += 1;
                    world.safety.record_rejection(pending.change_id, now);
                }
                ChangeOutcome::Invalid { .. } => {
                    self.failed += 1;
                    world.safety.record_rejection(pending.change_id, now);
                }
                ChangeOutcome::Unknown => {
                    self.unknown += 1;
                    self.retry_unknown(world, pending);
                }
                ChangeOutcome::NoQuorum | ChangeOutcome::IdReused | ChangeOutcome::Content { .. } => self.failed += 1,
            }
        }
        let expired: Vec<_> =
            self.pending.iter().filter(|change| change.1.deadline < now).map(|change| *change.0).collect();
        for request_id in expired {
            if let Some(pending) = self.pending.remove(&request_id) {
                self.unknown += 1;
                self.retry_unknown(world, pending);
            }
        }
    }

    /// Records a rejection without need: these changes are valid and their ids are new, so the only reason for a
    /// rejection is a machine without contact to a majority.
    fn check_rejection(&mut self, world: &World, pending: &PendingChange, outcome: &ChangeOutcome) {
        let is_needless = match outcome {
            ChangeOutcome::Committed { .. } | ChangeOutcome::Stale { .. } | ChangeOutcome::Unknown => false,
            ChangeOutcome::NoQuorum => self.majority_contact.is_needless_rejection(pending.machine, pending.sent_at),
            ChangeOutcome::Invalid { .. } | ChangeOutcome::IdReused | ChangeOutcome::Content { .. } => {
                !matches!(pending.change, Change::Voters(_))
            }
        };
        if is_needless {
            let (addr, now) = (&world.machines[pending.machine].addr, world.now);
            let sent_at = pending.sent_at;
            self.needless_rejections
                .push(format!("{now}: {addr} answers {outcome:?} without need to a change sent at {sent_at}"));
        }
    }

    /// Sends half of the changes of unknown outcome again, with the same id and to a drawn node.
    fn retry_unknown(&mut self, world: &mut World, mut pending: PendingChange) {
        if pending.is_retry || world.rng.chance_percent(50) {
            return;
        }
        let running: Vec<_> = (0..world.machines.len()).filter(|i| world.is_running(*i)).collect();
        let position = usize::try_from(world.rng.next_below(running.len().max(1) as u64)).unwrap_or(0);
        if let Some(machine) = running.get(position) {
            pending.is_retry = true;
            pending.deadline = world.now + 7 * SEC;
            pending.machine = *machine;
            pending.sent_at = world.now;
            self.send(world, *machine, pending);
        }
    }

    /// Measures how long each acknowledged version takes until all running nodes have it.
    pub fn measure_propagation(&mut self, world: &World) {
        let now = world.now;
        let lowest = (0..world.machines.len())
            .filter(|i| world.is_running(*i))
            .map(|i| world.machines[i].node.as_ref().and_then(sumacvale_core::node::Node::version).unwrap_or(0))
            .min()
            .unwrap_or(0);
        let propagated: Vec<_> = self.propagating.range(..=lowest).map(|entry| (*entry.0, *entry.1)).collect();
        for (version, acknowledged_at) in propagated {
            self.propagating.remove(&version);
            self.propagation_times.push(now - acknowledged_at);
        }
    }

    /// Calls every front for every tenant until each quota is settled: a call ran, or was rejected for lack of a unit.
    /// Returns the fronts and tenants whose quota is not settled within `timeout`.
    #[allow(clippy::unused_self)]
    pub fn find_unsettled_quotas(&mut self, world: &mut World, timeout: Micros) -> Vec<(String, String)> {
        let until = world.now + timeout;
        // Front, tenant, and the number of the pending call: 0 without one, the maximum once settled.
        let mut unsettled: Vec<(usize, String, u64)> = (0..world.machines.len())
            .filter(|i| !world.machines[*i].is_core && world.is_running(*i))
            .flat_map(|i| (0..world.tenants).map(move |tenant| (i, format!("t{tenant}"), 0)))
            .collect();
        while !unsettled.is_empty() && world.now < until {
            for (front, tenant, call) in &mut unsettled {
                if *call == 0 {
                    let request = CallRequest {
                        tenant: tenant.clone(),
                        path: "/v1/confirm",
                        prefix: 0,
                        max_wait: MAX_WAIT,
                        disconnects_after: None,
                    };
                    *call = world.call(*front, request);
                }
            }
            let next_poll = world.now + 10 * MS;
            world.run(next_poll);
            world.report();
            for (_, _, call) in &mut unsettled {
                let outcome = world.call_outcomes.iter().rev().find(|outcome| outcome.call == *call);
                match outcome.map(|outcome| &outcome.observation) {
                    None => {}
                    Some(ClientObservation::Complete | ClientObservation::Rejected { status: 429, .. }) => {
                        *call = u64::MAX;
                    }
                    Some(_) => *call = 0,
                }
            }
            unsettled.retain(|entry| entry.2 != u64::MAX);
        }
        unsettled.into_iter().map(|(front, tenant, _)| (world.machines[front].addr.clone(), tenant)).collect()
    }

    /// Starts the clients' calls of ten milliseconds: each tenant has one with a chance of `percent`.
    pub fn start_calls(&mut self, world: &mut World, percent: u64) {
        let fronts: Vec<_> =
            (0..world.machines.len()).filter(|i| !world.machines[*i].is_core && world.machines[*i].is_ready).collect();
        if fronts.is_empty() || self.committed == 0 {
            return;
        }
        let burst_factor = if world.tenant_burst.1 > world.now { world.tenant_burst.0 } else { 1 };
        let shares_prefix = world.shared_prefix_until > world.now;
        let names = (0..world.tenants).map(|i| format!("t{i}")).chain([REVOCABLE_TENANT.to_owned()]);
        for (index, tenant) in names.enumerate() {
            // Only the first tenant has bursts; the others keep their usual traffic.
            let draws = if index == 0 { burst_factor } else { 1 };
            for _ in 0..draws {
                if !world.rng.chance_percent(if tenant == REVOCABLE_TENANT { percent / 4 } else { percent }) {
                    continue;
                }
                let front = fronts[usize::try_from(world.rng.next_below(fronts.len() as u64)).unwrap_or(0)];
                let drawn = world.rng.next_below(100);
                let kind = world.call_mix.iter().position(|share| drawn < *share).unwrap_or(4);
                let path = ["/v1/confirm", "/v1/book", "/v1/draft", "/v1/chat", "/v1/summary"][kind];
                let prefix = if shares_prefix { 0 } else { world.rng.next_below(40) };
                let disconnects_after = world.rng.chance_percent(2).then(|| world.rng.next_below(300 * MS));
                self.calls += 1;
                world.call(
                    front,
                    CallRequest { tenant: tenant.clone(), path, prefix, max_wait: MAX_WAIT, disconnects_after },
                );
            }
        }
    }
}
