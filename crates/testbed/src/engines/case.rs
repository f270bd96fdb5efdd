//! What is emulated: a deployment, its traffic, its faults and the strategy of its fronts.

use super::deployment::Deployment;
use sumacvale_core::base::{MS, Micros};
use sumacvale_core::config::PlacementWeights;

/// How a front chooses a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The placement of `sumacvale-core`.
    Place,
    /// The ring with bounded loads, as calls without prompts' parts are placed.
    Ring,
    /// The least own and reported load in the zone.
    Least,
    /// Plain rendezvous hashing in the zone.
    Hash,
    /// The least cost by the exact present state of every worker.
    Oracle,
}

impl Strategy {
    /// Every strategy, in the order of the report.
    pub const ALL: [Strategy; 5] = [Strategy::Place, Strategy::Ring, Strategy::Least, Strategy::Hash, Strategy::Oracle];

    /// Its name on the command line and in the report.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Strategy::Place => "place",
            Strategy::Ring => "ring",
            Strategy::Least => "least",
            Strategy::Hash => "hash",
            Strategy::Oracle => "oracle",
        }
    }
}

/// One run of the emulator.
#[derive(Clone, Debug)]
pub struct Case {
    /// The workers, fronts and calls.
    pub deployment: Deployment,
    /// How the fronts choose.
    pub strategy: Strategy,
    /// The weights of placement; the oracle uses those for zones and prefixes too.
    pub weights: PlacementWeights,
    /// The seed of all random draws.
    pub seed: u64,
    /// How long calls arrive, in seconds of virtual time; 34 by default.
    pub seconds: u64,
    /// The traffic in parts of the deployment's; 1 by default.
    pub load: f64,
    /// A third of the workers is lost in the middle third; false by default.
    pub lose_workers: bool,
    /// This share of the summaries is about one subject in the middle third; 0 by default.
    pub hot_share: f64,
    /// Chats arrive so many times as often in the middle third; 1 by default.
    pub chat_burst: f64,
}

impl Case {
    /// A case with the default settings.
    #[must_use]
    pub fn new(deployment: Deployment, strategy: Strategy, seed: u64) -> Self {
        let weights = PlacementWeights {
            kv_cache_tokens: deployment.engine.kv_cache_tokens,
            tokens_per_event: deployment.engine.tokens_per_event,
            ..PlacementWeights::default()
        };
        Case {
            deployment,
            strategy,
            weights,
            seed,
            seconds: 34,
            load: 1.0,
            lose_workers: false,
            hot_share: 0.0,
            chat_burst: 1.0,
        }
    }

    /// When the last call has arrived, in microseconds.
    pub(super) fn end(&self) -> Micros {
        self.seconds * 1_000 * MS
    }
}
