//! What the harnesses of nodes in virtual time share: addresses, cores, documents and settings.
//! Machines are counted from nought; the core that was first on machine `i` has the node id `i + 1`.

#![allow(dead_code)]

use sumacvale_core::agree::Kept;
use sumacvale_core::base::{ChangeId, MS, Micros, NodeId};
use sumacvale_core::node::Me;
use sumacvale_core::peer::{Core, Decree};

pub const FLEET: u64 = 7;

/// The address of a machine.
pub fn addr(i: usize) -> String {
    format!("n{i}")
}

/// The first core of a machine.
pub fn core(i: usize) -> Core {
    core_at(i as u64 + 1, i)
}

/// A core with this node id on a machine.
pub fn core_at(node_id: u64, machine: usize) -> Core {
    Core { node_id: NodeId(node_id), addr: addr(machine) }
}

/// An operator's document that has this number.
pub fn doc(revision: u64, what: &str) -> String {
    format!("{{\"revision\":{revision},\"pools\":{{\"{what}\":{{}}}}}}")
}

/// The settings of the first node of a machine; the first `cores` machines have cores.
pub fn me(i: usize, cores: usize, incarnation: Micros) -> Me {
    Me {
        read: sumacvale_core::config::judge,
        first: true,
        auto: false,
        lose: 1,
        node_id: core(i).node_id,
        incarnation,
        addr: addr(i),
        admin: String::new(),
        zone: format!("z{}", i % 3),
        seeds: (0..cores.min(3)).map(addr).collect(),
        core: i < cores,
        beat: 1_200 * MS,
        to_cores: true,
    }
}

/// The disk of a core of a fleet that has only this version 0.
pub fn founded(cores: usize, body: String, revision: u64) -> Kept {
    let cores = (0..cores).map(core).collect();
    let d = Decree {
        version: 0,
        change_id: ChangeId(1),
        fleet: FLEET,
        since: 0,
        old: vec![],
        cores,
        body,
        revision,
        patch: None,
        packed: Vec::new(),
    };
    let mut k = Kept { ready: Some(0), ..Kept::default() };
    k.decrees.insert(0, d);
    k
}
