//! The fronts of the emulator, and the names of pools, zones and workers.

use sumacvale_core::placement::{EngineModels, WorkerLoads};

/// The name of the only pool.
pub const POOL: &str = "p";

/// The number of calls at a worker, as a front knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownCalls {
    /// Calls of this front.
    pub own: u32,
    /// Calls of other fronts, derived from the load that the worker last reported.
    pub others: u32,
}

impl KnownCalls {
    /// Returns the number of all calls that the front knows of.
    pub fn total(self) -> u32 {
        self.own + self.others
    }
}

/// A node that accepts calls and chooses workers for them.
pub struct Front {
    /// The index of the zone of the front.
    pub zone: usize,
    /// The front's models of the workers' engines.
    pub models: EngineModels,
    /// The workers that the front knows to have failed.
    pub loads: WorkerLoads,
    /// The calls at each worker, by the index of the worker.
    pub calls: Vec<KnownCalls>,
}

/// Returns the id of the worker with this index.
pub fn worker_id(worker: usize) -> String {
    format!("w{worker:03}")
}

/// Returns the index of the worker with this id.
pub fn worker_index(worker_id: &str) -> usize {
    worker_id[1..].parse().unwrap_or(0)
}

/// Returns the name of the zone with this index.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
