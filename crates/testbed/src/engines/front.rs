//! A front of the emulator, and the names under which it knows pools, zones and workers.

use sumacvale_core::placement::{EngineModels, WorkerLoads};

/// The only pool.
pub const POOL: &str = "p";

/// The calls at a worker, as a front knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownCalls {
    /// Its own calls.
    pub own: u32,
    /// Calls of other fronts, by the worker's last load.
    pub others: u32,
}

impl KnownCalls {
    /// All calls that the front knows of.
    pub fn total(self) -> u32 {
        self.own + self.others
    }
}

/// A node that takes calls and chooses workers for them.
pub struct Front {
    /// The index of its zone.
    pub zone: usize,
    /// Its models of the workers' engines.
    pub models: EngineModels,
    /// The workers that it knows to have failed.
    pub loads: WorkerLoads,
    /// The calls at each worker, by the worker's index.
    pub calls: Vec<KnownCalls>,
}

/// The id of a worker by its index.
pub fn worker_id(worker: usize) -> String {
    format!("w{worker:03}")
}

/// The index of a worker by its id.
pub fn worker_index(worker_id: &str) -> usize {
    worker_id[1..].parse().unwrap_or(0)
}

/// The name of a zone by its index.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
