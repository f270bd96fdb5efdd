//! Values whose fields all differ from each other and from their defaults, so that swapped or missing
//! fields change the bytes.

use sumacvale_core::base::{ChangeId, NodeId};
use sumacvale_core::config::{Item, ListPatch, Patch};
use sumacvale_core::protocol::{
    Ballot, EntryDigest, Heartbeat, LeaseClaim, Loan, LoanRequest, LogEntry, PeerRecord, RegisteredIncarnation,
    RemovalKey, ShareGrant, ShareRequest, Voter, WindowGrant, WorkerReport,
};

pub fn core(number: u64) -> Voter {
    Voter { node_id: NodeId(0xC0DE_0000 + number), addr: format!("10.1.2.{number}:7400") }
}

pub fn ballot(number: u64) -> Ballot {
    Ballot { number, node_id: NodeId(0xBA11_0000_0000_0000 + number), incarnation: number + 300 }
}

pub fn patch() -> Patch {
    let pools = ListPatch {
        list: "pools".into(),
        put: vec![item("small", 41), item("large", 42)],
        remove: vec!["old".into(), "older".into()],
    };
    let tenants = ListPatch { list: "tenants".into(), put: vec![item("acme", 43)], remove: vec!["gone".into()] };
    Patch { number_at: "revision".into(), number: 9_001, lists: vec![pools, tenants] }
}

pub fn item(name: &str, slots: u64) -> Item {
    Item { name: name.into(), json: format!("{{\"name\":\"{name}\",\"slots\":{slots}}}") }
}

/// A log entry in which every field is set.
pub fn full_decree() -> LogEntry {
    LogEntry {
        version: 1_001,
        change_id: ChangeId(0x0123_4567_89AB_CDEF),
        fleet_id: 1_002,
        voters_since: 1_003,
        previous_voters: vec![core(1), core(2)],
        voters: vec![core(3), core(4), core(5)],
        body: "{\"revision\":9001,\"pools\":[]}".into(),
        revision: 1_004,
        patch: Some(patch()),
        compressed: vec![0xF1, 0x02, 0x00, 0xF4],
    }
}

/// A log entry with its body alone.
pub fn body_decree() -> LogEntry {
    LogEntry { version: 1_101, patch: None, compressed: Vec::new(), ..full_decree() }
}

/// A log entry with its patch alone.
pub fn patch_entry() -> LogEntry {
    LogEntry { version: 1_201, body: String::new(), compressed: Vec::new(), ..full_decree() }
}

/// A log entry with its compressed form alone.
pub fn compressed_entry() -> LogEntry {
    LogEntry { version: 1_301, body: String::new(), patch: None, ..full_decree() }
}

pub fn heartbeat() -> Heartbeat {
    Heartbeat { node_id: NodeId(2_001), incarnation: 2_002, counter: 2_003, version: 2_004, draining: true }
}

pub fn peer() -> PeerRecord {
    PeerRecord {
        node_id: NodeId(2_101),
        incarnation: 2_102,
        heartbeat: 2_103,
        addr: "10.2.0.1:7400".into(),
        admin: "10.2.0.2:7401".into(),
        zone: "north".into(),
        is_core: true,
        draining: false,
        version: 2_104,
    }
}

/// The same as `peer`, with the opposite value of each flag.
pub fn draining_peer() -> PeerRecord {
    PeerRecord { node_id: NodeId(2_111), is_core: false, draining: true, ..peer() }
}

pub fn worker_report() -> WorkerReport {
    WorkerReport {
        worker_id: "worker-1".into(),
        incarnation: 2_201,
        seq: 2_202,
        addr: "10.3.0.1:8000".into(),
        pool: "small".into(),
        zone: "south".into(),
        slots: 2_203,
        busy: 2_204,
        draining: true,
        warm_up_left: 2_205,
        removed: false,
        age: 2_206,
    }
}

/// The same as `worker_report`, with the opposite value of each flag.
pub fn removal_report() -> WorkerReport {
    WorkerReport { worker_id: "worker-2".into(), incarnation: 2_211, draining: false, removed: true, ..worker_report() }
}

pub fn removal_keys() -> Vec<RemovalKey> {
    vec![
        RemovalKey { worker_id: "worker-3".into(), incarnation: 2_301, removed: true },
        RemovalKey { worker_id: "worker-4".into(), incarnation: 2_302, removed: false },
    ]
}

pub fn grant(number: u64) -> WindowGrant {
    WindowGrant {
        tenant: format!("tenant-{number}"),
        window: 2_400 + number,
        node_id: NodeId(2_500 + number),
        granted_total: 2_600 + number,
        age: 2_700 + number,
    }
}

pub fn life(number: u64) -> RegisteredIncarnation {
    RegisteredIncarnation {
        node_id: NodeId(2_800 + number),
        incarnation: 2_900 + number,
        addr: format!("10.4.0.{number}:7400"),
    }
}

pub fn share_request() -> ShareRequest {
    ShareRequest {
        tenant_key: 0xFEED_0000_0000_0001,
        held_share: 3_001,
        returned_milli: 3_002,
        demand_milli: 3_003,
        missing_units: 3_004,
        smallest_call_units: 3_005,
        mean_call_units: 3_006,
        call_rate_milli: 3_007,
    }
}

pub fn share_grant() -> ShareGrant {
    ShareGrant { granted: true, share: 3_101, burst_milli: 3_102, loaned_units: 3_103 }
}

pub fn loan_request() -> LoanRequest {
    LoanRequest { tenant_key: 0xFEED_0000_0000_0002, missing_units: 3_151, smallest_call_units: 3_152 }
}

pub fn loan() -> Loan {
    Loan { tenant_key: 0xFEED_0000_0000_0003, units: 3_161 }
}

pub fn lease_claim(number: u32) -> LeaseClaim {
    let number_u64 = u64::from(number);
    LeaseClaim {
        role: 3_200 + number,
        voter_set: 3_300 + number_u64,
        epoch: 3_400 + number_u64,
        holder: NodeId(3_500 + number_u64),
    }
}

pub fn digest(number: u8) -> EntryDigest {
    let number_u64 = u64::from(number);
    EntryDigest {
        version: 3_600 + number_u64,
        change_id: ChangeId(3_700 + number_u64),
        voters_since: 3_800 + number_u64,
        revision: 3_900 + number_u64,
        content: std::array::from_fn(|position| number + position as u8),
    }
}
