//! What the harnesses of nodes in virtual time share: addresses, cores, documents and settings.
//! Machines are counted from nought; the core that was first on machine `i` has the node id `i + 1`.

#![allow(dead_code)]

use sumacvale_core::base::{ChangeId, MS, Micros, NodeId};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::NodeSettings;
use sumacvale_core::protocol::{LogEntry, Voter};

pub const FLEET: u64 = 7;

/// The address of a machine.
pub fn addr(i: usize) -> String {
    format!("n{i}")
}

/// The first core of a machine.
pub fn core(i: usize) -> Voter {
    core_at(i as u64 + 1, i)
}

/// A core with this node id on a machine.
pub fn core_at(node_id: u64, machine: usize) -> Voter {
    Voter { node_id: NodeId(node_id), addr: addr(machine) }
}

/// An operator's document that has this number.
pub fn doc(revision: u64, what: &str) -> String {
    format!("{{\"revision\":{revision},\"pools\":{{\"{what}\":{{}}}}}}")
}

/// The settings of the first node of a machine; the first `cores` machines have cores.
pub fn me(i: usize, cores: usize, incarnation: Micros) -> NodeSettings {
    NodeSettings {
        config_reader: sumacvale_core::config::validate,
        may_bootstrap: true,
        manages_voters: false,
        tolerated_losses: 1,
        node_id: core(i).node_id,
        incarnation,
        addr: addr(i),
        admin: String::new(),
        zone: format!("z{}", i % 3),
        seeds: (0..cores.min(3)).map(addr).collect(),
        is_core: i < cores,
        report_interval: 1_200 * MS,
        reports_to_cores_only: true,
    }
}

/// The disk of a core of a fleet that has only this version 0.
pub fn founded(cores: usize, body: String, revision: u64) -> DurableState {
    let cores = (0..cores).map(core).collect();
    let d = LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: FLEET,
        voters_since: 0,
        previous_voters: vec![],
        voters: cores,
        body,
        revision,
        patch: None,
        compressed: Vec::new(),
    };
    let mut k = DurableState { ready_set: Some(0), ..DurableState::default() };
    k.entries.insert(0, d);
    k
}
