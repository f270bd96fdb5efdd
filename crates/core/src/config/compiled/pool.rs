//! Pools of workers and the weights of placement in them.

/// Workers that serve the same calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Its name in the document.
    pub name: String,
    /// The addresses (IP:port) that may serve; none means any worker that announces itself for the pool.
    pub workers: Option<Vec<String>>,
    /// The ids of workers that an operator is draining: no new calls go to them.
    pub drained_workers: Vec<String>,
    /// How calls are placed on its workers.
    pub placement_weights: PlacementWeights,
}

/// The weights of placement, in hundredths, and properties of the engines that can't be learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementWeights {
    /// The weight of bytes sent between zones, in hundredths; 100 by default.
    pub zone_locality: u32,
    /// The weight of prefilling shared parts of prompts again, in hundredths; 100 by default.
    pub prefix_affinity: u32,
    /// The weight of late first tokens and of delays to other streams, in hundredths; 100 by default.
    pub load_spread: u32,
    /// Tokens that fit into the KV cache of a worker; 0 (the default) where it is not known.
    pub kv_cache_tokens: u64,
    /// Tokens in one event of a stream; 1 by default.
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
    /// Whether new calls may go to the worker with this id and address.
    pub fn accepts_worker(&self, worker_id: &str, addr: &str) -> bool {
        let is_listed = self.workers.as_ref().is_none_or(|workers| workers.iter().any(|listed| listed == addr));
        is_listed && !self.drained_workers.iter().any(|drained| drained == worker_id)
    }
}
