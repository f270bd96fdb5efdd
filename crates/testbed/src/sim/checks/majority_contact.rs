//! Which nodes could have had a majority of the voters, as only the simulator knows: by this
//! refusals for want of a majority are judged.

use crate::sim::world::World;
use std::collections::BTreeSet;
use sumacvale_core::base::{Micros, NodeId, SEC};

/// A node may refuse for want of a majority for so long after it is back.
const FIRST_BACK: Micros = SEC;

/// How a machine's process of now stands.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    life: u64,
    /// Whether a core that it knows by its address was in touch with a majority and within reach
    /// at some time in this life. Until then nobody can have told it of the voters.
    introduced: bool,
    /// Since when it is in touch with a majority without a break.
    since: Option<Micros>,
}

/// Since when each machine is in touch with a majority without a break.
#[derive(Clone, Debug, Default)]
pub struct MajorityContact {
    machines: Vec<Standing>,
}

impl MajorityContact {
    /// Looks at the machines as they are now.
    pub fn observe(&mut self, w: &World) {
        let centres = centres(w);
        let within: Vec<bool> =
            (0..w.machines.len()).map(|i| w.is_running(i) && centres.iter().any(|j| w.linked(i, *j))).collect();
        self.machines.resize(w.machines.len(), Standing::default());
        for (i, m) in self.machines.iter_mut().enumerate() {
            if m.life != w.machines[i].incarnation {
                *m = Standing { life: w.machines[i].incarnation, ..Standing::default() };
            }
            m.introduced |= within[i] && known(w, i).iter().any(|j| within[*j] && w.linked(i, *j));
            m.since = if within[i] && m.introduced { Some(m.since.unwrap_or(w.now)) } else { None };
        }
    }

    /// Whether a majority could have answered all the time to one who asked this machine then and
    /// is refused now, and for a second before.
    pub fn is_needless_rejection(&self, slot: usize, asked: Micros) -> bool {
        self.machines.get(slot).and_then(|m| m.since).is_some_and(|since| since + FIRST_BACK <= asked)
    }
}

/// The voters of the newest version that run and exchange messages with a majority of them.
fn centres(w: &World) -> Vec<usize> {
    let Some(newest) = w.safety.committed.values().next_back() else { return Vec::new() };
    let voters: BTreeSet<NodeId> = newest.voters.iter().map(|c| c.node_id).collect();
    let votes = |i: &usize| w.machines[*i].node.as_ref().is_some_and(|n| voters.contains(&n.settings.node_id));
    let running: Vec<usize> = (0..w.machines.len()).filter(|i| w.is_running(*i) && votes(i)).collect();
    let reached = |i: usize| running.iter().filter(|j| w.linked(i, **j)).count();
    running.iter().copied().filter(|i| reached(*i) * 2 > voters.len()).collect()
}

/// The cores whose addresses this machine has from its operator's list or from a version.
fn known(w: &World, i: usize) -> Vec<usize> {
    let Some(n) = &w.machines[i].node else { return Vec::new() };
    let voters = n.consensus.state.voters().iter().map(|c| &c.addr);
    n.settings.seeds.iter().chain(voters).filter_map(|a| w.machine_at(a)).filter(|j| w.machines[*j].is_core).collect()
}
