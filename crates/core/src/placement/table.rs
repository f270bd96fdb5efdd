//! The workers of a pool on a hash ring, for consistent hashing with bounded loads.

use crate::base::hash64;
use crate::protocol::WorkerReport;
use smallvec::SmallVec;
use std::net::SocketAddr;

/// The number of virtual nodes of each worker on the ring.
const VIRTUAL_NODES: u32 = 64;
/// The greatest load of a worker relative to its even share, in percent (the factor c of Mirrokni,
/// Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads).
const LOAD_BOUND_PERCENT: u64 = 125;

/// One worker of a table, as described by its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The worker's id.
    pub worker_id: String,
    /// The incarnation that sent the report.
    pub incarnation: u64,
    /// The sequence number of the report within its incarnation.
    pub seq: u64,
    /// The address at which the worker serves calls.
    pub addr: SocketAddr,
    /// The zone of the worker.
    pub zone: String,
    /// The number of calls that the worker can run at once.
    pub slots: u32,
    /// The number of calls of all nodes that the worker was running.
    pub busy: u32,
}

impl Endpoint {
    /// Converts a report; returns `None` if its address is not an IP address and port.
    fn from_report(report: &WorkerReport) -> Option<Endpoint> {
        Some(Endpoint {
            worker_id: report.worker_id.clone(),
            incarnation: report.incarnation,
            seq: report.seq,
            addr: report.addr.parse().ok()?,
            zone: report.zone.clone(),
            slots: report.slots,
            busy: report.busy,
        })
    }
}

/// The workers of one pool and their hash ring. Immutable: a new table replaces the old one as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementTable {
    /// The workers, sorted by id. All other lists refer to the workers by index.
    pub endpoints: Vec<Endpoint>,
    /// The virtual nodes: the hash of each and the index of its worker, sorted by hash.
    ring: Vec<(u64, u32)>,
    /// The hash of each worker's id.
    pub(super) id_hashes: Vec<u64>,
    /// The position of each worker by its hash among the workers of its zone, from 0 to 1.
    pub(super) zone_positions: Vec<f64>,
}

impl PlacementTable {
    /// Creates the table of the workers with these reports, without those that have no valid address.
    pub fn new<'a>(reports: impl Iterator<Item = &'a WorkerReport>) -> PlacementTable {
        let mut endpoints: Vec<_> = reports.filter_map(Endpoint::from_report).collect();
        endpoints.sort_by(|left, right| left.worker_id.cmp(&right.worker_id));
        let ring = ring(&endpoints);
        let id_hashes: Vec<u64> = endpoints.iter().map(|endpoint| hash64(endpoint.worker_id.as_bytes())).collect();
        let zone_positions = zone_positions(&endpoints, &id_hashes);
        PlacementTable { endpoints, ring, id_hashes, zone_positions }
    }

    /// Returns the index of the worker for a prefix with this hash: the first one along the ring that is below
    /// its load bound, otherwise the first one with a free slot. Workers of the caller's zone take precedence
    /// over all others. Returns `None` if all workers are full or excluded.
    pub fn choose_by_ring(&self, hash: u64, zone: &str, loads: &[u32], excluded: &[String]) -> Option<usize> {
        let load = |index: usize| loads.get(index).copied().unwrap_or(0);
        let is_free = |index: usize| {
            let endpoint = &self.endpoints[index];
            !excluded.contains(&endpoint.worker_id) && load(index) < endpoint.slots
        };
        let order = self.ring_order(hash);
        [true, false].into_iter().find_map(|in_zone| {
            let is_candidate = |index: &usize| (self.endpoints[*index].zone == zone) == in_zone;
            let bound = self.load_bound(loads, is_candidate);
            let mut free = order.iter().copied().filter(|index| is_candidate(index) && is_free(*index));
            let below_bound = |index: &usize| bound.allows(load(*index), self.endpoints[*index].slots);
            free.clone().find(below_bound).or_else(|| free.next())
        })
    }

    /// Returns the load bound of the candidates.
    fn load_bound(&self, loads: &[u32], is_candidate: impl Fn(&usize) -> bool) -> LoadBound {
        // The call to be placed is included.
        let mut bound = LoadBound { total_load: 1, total_slots: 0 };
        for (index, endpoint) in self.endpoints.iter().enumerate().filter(|(index, _)| is_candidate(index)) {
            bound.total_load += u64::from(loads.get(index).copied().unwrap_or(0));
            bound.total_slots += u64::from(endpoint.slots);
        }
        bound
    }

    /// Returns every worker once, in the order of the ring from this hash on.
    fn ring_order(&self, hash: u64) -> SmallVec<[usize; 32]> {
        let start = self.ring.partition_point(|(virtual_node, _)| *virtual_node < hash);
        let mut seen = vec![false; self.endpoints.len()];
        let mut order = SmallVec::new();
        for (_, index) in self.ring[start..].iter().chain(&self.ring[..start]) {
            let index = *index as usize;
            if !seen[index] {
                seen[index] = true;
                order.push(index);
                if order.len() == self.endpoints.len() {
                    break;
                }
            }
        }
        order
    }
}

/// The bound on the load of each worker of a group, in proportion to its slots.
struct LoadBound {
    total_load: u64,
    total_slots: u64,
}

impl LoadBound {
    /// Returns whether a worker with this load is below the bound.
    fn allows(&self, load: u32, slots: u32) -> bool {
        u64::from(load) * self.total_slots * 100 < self.total_load * u64::from(slots) * LOAD_BOUND_PERCENT
    }
}

/// Returns the virtual nodes of all workers, sorted by hash.
fn ring(endpoints: &[Endpoint]) -> Vec<(u64, u32)> {
    let mut ring = Vec::with_capacity(endpoints.len() * VIRTUAL_NODES as usize);
    for (index, endpoint) in endpoints.iter().enumerate() {
        for virtual_node in 0..VIRTUAL_NODES {
            let mut key = endpoint.worker_id.clone().into_bytes();
            key.extend(virtual_node.to_le_bytes());
            ring.push((hash64(&key), u32::try_from(index).unwrap_or(0)));
        }
    }
    ring.sort_unstable();
    ring
}

/// Returns the position of each worker among the workers of its zone: the middle of its part of the range from 0 to 1.
fn zone_positions(endpoints: &[Endpoint], id_hashes: &[u64]) -> Vec<f64> {
    let zone = |index: usize| endpoints[index].zone.as_str();
    let mut order: Vec<usize> = (0..endpoints.len()).collect();
    order.sort_unstable_by_key(|index| (zone(*index), id_hashes[*index]));
    let mut positions = vec![0.0; endpoints.len()];
    for of_zone in order.chunk_by(|left, right| zone(*left) == zone(*right)) {
        for (rank, index) in of_zone.iter().enumerate() {
            positions[*index] = (rank as f64 + 0.5) / of_zone.len() as f64;
        }
    }
    positions
}
