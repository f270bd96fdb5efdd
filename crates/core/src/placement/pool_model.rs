//! What a node has learned of all engines of a pool together.

use super::demand::PromptDemand;
use super::fit::PrefillFit;
use super::lengths::PromptLengths;

/// What this node has learned of a pool. The demand takes at most 16 KB.
#[derive(Clone, Debug)]
pub struct PoolModel {
    /// The time to first token by prefilled tokens.
    pub fit: PrefillFit,
    /// How often prefixes are requested.
    pub demand: PromptDemand,
    /// The lengths of prompts, by route.
    pub lengths: PromptLengths,
    /// How many calls of other nodes usually run and wait at one worker.
    pub others: OtherCalls,
    /// The tokens that a call usually has to prefill.
    pub unread: f64,
    /// The tokens of KV cache that a call usually occupies.
    pub held: f64,
    /// How long a call usually stays at a worker, in microseconds.
    pub stay: f64,
}

/// Calls of other nodes at one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct OtherCalls {
    /// Calls that are past their prefill.
    pub running: f64,
    /// Calls that wait for their prefill or are in it.
    pub waiting: f64,
}

impl Default for PoolModel {
    fn default() -> Self {
        PoolModel {
            fit: PrefillFit::default(),
            demand: PromptDemand::default(),
            lengths: PromptLengths::default(),
            others: OtherCalls::default(),
            unread: 500.0,
            held: 2_000.0,
            stay: 100_000.0,
        }
    }
}
