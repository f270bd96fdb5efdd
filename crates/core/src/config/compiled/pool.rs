//! Pools of workers and their placement weights.

/// A pool: a set of workers that serve the same calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The name of the pool in the document.
    pub name: String,
    /// The addresses (IP:port) of the workers that may serve; `None` allows any worker that registers for the pool.
    pub workers: Option<Vec<String>>,
    /// The IDs of the workers that an operator is draining, which receive no new calls.
    pub drained_workers: Vec<String>,
    /// The weights by which calls are placed on the workers.
    pub placement_weights: PlacementWeights,
}

/// The placement weights, in hundredths, and the engine properties that can't be measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementWeights {
    /// The weight of the cost of bytes sent between zones, in hundredths; 100 by default.
    pub zone_locality: u32,
    /// The weight of the cost of prefilling shared prompt parts again, in hundredths; 100 by default.
    pub prefix_affinity: u32,
    /// The weight of the cost of late first tokens and of delays to other streams, in hundredths; 100 by default.
    pub load_spread: u32,
    /// The number of tokens that fit into the KV cache of a worker; 0 (the default) if unknown.
    pub kv_cache_tokens: u64,
    /// The number of tokens in one event of a stream; 1 by default.
    pub tokens_per_event: u32,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        PlacementWeights {
            zone_locality: 100,
            prefix_affinity: 100,
            load_spread: 100,
            kv_cache_tokens: 0,
            tokens_per_event: 1,
        }
    }
}

impl Pool {
    /// Whether new calls may be placed on the worker with this ID and address.
    pub fn accepts_worker(&self, worker_id: &str, addr: &str) -> bool {
        let is_listed = self.workers.as_ref().is_none_or(|workers| workers.iter().any(|listed| listed == addr));
        is_listed && !self.drained_workers.iter().any(|drained| drained == worker_id)
    }
}
