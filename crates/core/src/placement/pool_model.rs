//! The model that a node has learned of all engines of a pool together.

use super::demand::PromptDemand;
use super::fit::PrefillFit;
use super::lengths::PromptLengths;

/// This node's model of a pool. The prefix demand takes at most 16 KB.
#[derive(Clone, Debug)]
pub struct PoolModel {
    /// The time to first token as a function of the prefilled tokens.
    pub fit: PrefillFit,
    /// The recent request rates of prefixes.
    pub demand: PromptDemand,
    /// The lengths of prompts, by route.
    pub lengths: PromptLengths,
    /// The average numbers of calls of other nodes at one worker.
    pub others: OtherCalls,
    /// The average number of tokens that a call must prefill.
    pub uncached_tokens: f64,
    /// The average number of tokens that a call occupies in the KV cache.
    pub kv_tokens: f64,
    /// The average time from the start to the end of a call at a worker, in microseconds.
    pub service_time: f64,
}

/// The numbers of calls of other nodes at one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct OtherCalls {
    /// The number of calls past their prefill.
    pub running: f64,
    /// The number of calls before or in their prefill.
    pub waiting: f64,
}

impl Default for PoolModel {
    fn default() -> Self {
        PoolModel {
            fit: PrefillFit::default(),
            demand: PromptDemand::default(),
            lengths: PromptLengths::default(),
            others: OtherCalls::default(),
            uncached_tokens: 500.0,
            kv_tokens: 2_000.0,
            service_time: 100_000.0,
        }
    }
}
