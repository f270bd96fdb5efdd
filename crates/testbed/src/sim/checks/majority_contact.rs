//! Which machines are in contact with a majority of the voters, as only the simulator can know. Rejections for lack
//! of a quorum are checked against it.

use crate::sim::world::World;
use std::collections::BTreeSet;
use sumacvale_core::base::{Micros, NodeId, SEC};

/// A node may reject changes for lack of a quorum this long after its contact to a majority is back.
const RECONNECT_GRACE: Micros = SEC;

/// The contact of one machine's current process to a majority.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    incarnation: u64,
    /// Whether the process once had a link to a core that it knows by address and that was in contact with a
    /// majority. Before that it can't have learned the voters.
    has_met_majority: bool,
    /// Since when the process is in contact with a majority without interruption.
    since: Option<Micros>,
}

/// The contact of each machine to a majority, over time.
#[derive(Clone, Debug, Default)]
pub struct MajorityContact {
    machines: Vec<Contact>,
}

impl MajorityContact {
    /// Records the contacts of this moment.
    pub fn observe(&mut self, world: &World) {
        let hubs = majority_hubs(world);
        let is_connected: Vec<bool> = (0..world.machines.len())
            .map(|i| world.is_running(i) && hubs.iter().any(|hub| world.is_linked(i, *hub)))
            .collect();
        self.machines.resize(world.machines.len(), Contact::default());
        for (i, contact) in self.machines.iter_mut().enumerate() {
            if contact.incarnation != world.machines[i].incarnation {
                *contact = Contact { incarnation: world.machines[i].incarnation, ..Contact::default() };
            }
            contact.has_met_majority |= is_connected[i]
                && known_cores(world, i).iter().any(|core| is_connected[*core] && world.is_linked(i, *core));
            contact.since = if is_connected[i] && contact.has_met_majority {
                Some(contact.since.unwrap_or(world.now))
            } else {
                None
            };
        }
    }

    /// Whether a change that was sent to this machine at `sent_at` and is rejected now could have been committed: the
    /// machine has been in contact with a majority since [`RECONNECT_GRACE`] before `sent_at`.
    pub fn is_needless_rejection(&self, slot: usize, sent_at: Micros) -> bool {
        self.machines
            .get(slot)
            .and_then(|contact| contact.since)
            .is_some_and(|since| since + RECONNECT_GRACE <= sent_at)
    }
}

/// The running voters of the newest version that have links to a majority of the voters.
fn majority_hubs(world: &World) -> Vec<usize> {
    let Some(newest) = world.safety.committed.values().next_back() else { return Vec::new() };
    let voters: BTreeSet<NodeId> = newest.voters.iter().map(|voter| voter.node_id).collect();
    let is_voter =
        |i: &usize| world.machines[*i].node.as_ref().is_some_and(|node| voters.contains(&node.settings.node_id));
    let running: Vec<usize> = (0..world.machines.len()).filter(|i| world.is_running(*i) && is_voter(i)).collect();
    let linked_voters = |i: usize| running.iter().filter(|other| world.is_linked(i, **other)).count();
    running.iter().copied().filter(|i| linked_voters(*i) * 2 > voters.len()).collect()
}

/// The cores whose addresses a machine knows from its seeds or from its newest version.
fn known_cores(world: &World, machine: usize) -> Vec<usize> {
    let Some(node) = &world.machines[machine].node else { return Vec::new() };
    let voters = node.consensus.state.voters().iter().map(|voter| &voter.addr);
    node.settings
        .seeds
        .iter()
        .chain(voters)
        .filter_map(|addr| world.machine_at(addr))
        .filter(|core| world.machines[*core].is_core)
        .collect()
}
