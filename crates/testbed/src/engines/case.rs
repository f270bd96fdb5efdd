//! The configuration of an emulator run: deployment, traffic, faults and placement strategy.

use super::deployment::Deployment;
use sumacvale_core::base::{MS, Micros};
use sumacvale_core::config::PlacementWeights;

/// The placement strategy of the fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The placement of `sumacvale-core`.
    Placement,
    /// Consistent hashing with bounded loads, which `sumacvale-core` uses for calls without prompt segments.
    BoundedLoadRing,
    /// The least load in the front's zone: the front's own calls and the calls that workers reported.
    LeastLoad,
    /// Rendezvous hashing within the front's zone.
    RendezvousHash,
    /// The least cost, computed from the exact current state of every worker.
    Oracle,
}

impl Strategy {
    /// All strategies, in the order of the report.
    pub const ALL: [Strategy; 5] = [
        Strategy::Placement,
        Strategy::BoundedLoadRing,
        Strategy::LeastLoad,
        Strategy::RendezvousHash,
        Strategy::Oracle,
    ];

    /// Returns the name of the strategy on the command line and in the report.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Strategy::Placement => "place",
            Strategy::BoundedLoadRing => "ring",
            Strategy::LeastLoad => "least",
            Strategy::RendezvousHash => "hash",
            Strategy::Oracle => "oracle",
        }
    }
}

/// The configuration of one run of the emulator.
#[derive(Clone, Debug)]
pub struct Case {
    /// The workers, fronts and calls.
    pub deployment: Deployment,
    /// The placement strategy of all fronts.
    pub strategy: Strategy,
    /// The weights of placement. The oracle uses `zone_locality` and `prefix_affinity`, too.
    pub weights: PlacementWeights,
    /// The seed of all random draws.
    pub seed: u64,
    /// The time during which calls arrive, in seconds of virtual time; 34 by default.
    pub seconds: u64,
    /// The factor on the deployment's call rates; 1 by default.
    pub load_factor: f64,
    /// True if a third of the workers is down during the middle third of the run; false by default.
    pub crash_workers: bool,
    /// The fraction of summaries about one subject in the middle third of the run; 0 by default.
    pub hot_subject_fraction: f64,
    /// The factor on the rate of chats in the middle third of the run; 1 by default.
    pub chat_burst_factor: f64,
}

impl Case {
    /// Creates a case with the default settings.
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
            load_factor: 1.0,
            crash_workers: false,
            hot_subject_fraction: 0.0,
            chat_burst_factor: 1.0,
        }
    }

    /// Returns the time at which calls stop arriving, in microseconds.
    pub(super) fn end(&self) -> Micros {
        self.seconds * 1_000 * MS
    }
}
