//! Addresses, cores, documents and settings that the harnesses of nodes in virtual time share. Machines are
//! counted from 0. The first core of machine `machine` has the node id `machine + 1`.

#![allow(dead_code)]

use sumacvale_core::base::{ChangeId, MS, Micros, NodeId};
use sumacvale_core::consensus::DurableState;
use sumacvale_core::node::NodeSettings;
use sumacvale_core::protocol::{LogEntry, Voter};

/// The fleet identifier in all harnesses.
pub const FLEET: u64 = 7;

/// Returns the address of a machine.
pub fn addr(machine: usize) -> String {
    format!("n{machine}")
}

/// Returns the first core of a machine.
pub fn core(machine: usize) -> Voter {
    core_at(machine as u64 + 1, machine)
}

/// Returns a core with this node id on a machine.
pub fn core_at(node_id: u64, machine: usize) -> Voter {
    Voter { node_id: NodeId(node_id), addr: addr(machine) }
}

/// Returns an operator's document of this revision with one pool.
pub fn pool_document(revision: u64, pool: &str) -> String {
    format!("{{\"revision\":{revision},\"pools\":{{\"{pool}\":{{}}}}}}")
}

/// Returns the settings of the first node of a machine. The first `cores` machines have cores.
pub fn node_settings(machine: usize, cores: usize, incarnation: Micros) -> NodeSettings {
    NodeSettings {
        config_reader: sumacvale_core::config::validate,
        may_bootstrap: true,
        manages_voters: false,
        tolerated_losses: 1,
        node_id: core(machine).node_id,
        incarnation,
        addr: addr(machine),
        admin_addr: String::new(),
        zone: format!("z{}", machine % 3),
        seeds: (0..cores.min(3)).map(addr).collect(),
        is_core: machine < cores,
        report_interval: 1_200 * MS,
        workers_report_to_cores_only: true,
    }
}

/// Returns the disk of a core in a fleet whose only version is this version 0.
pub fn founding_disk(cores: usize, body: String, revision: u64) -> DurableState {
    let voters = (0..cores).map(core).collect();
    let entry = LogEntry {
        version: 0,
        change_id: ChangeId(1),
        fleet_id: FLEET,
        voters_since: 0,
        previous_voters: vec![],
        voters,
        body,
        revision,
        patch: None,
        compressed: Vec::new(),
    };
    let mut disk = DurableState { ready_set: Some(0), ..DurableState::default() };
    disk.entries.insert(0, entry);
    disk
}
