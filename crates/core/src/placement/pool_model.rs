//! What is learned of a pool's engines together.

use super::demand::PromptDemand;
use super::fit::PrefillFit;
use super::lengths::PromptLengths;

/// What this node learned of a pool. 16 KB of demand at most.
#[derive(Clone, Debug)]
pub struct PoolModel {
    pub fit: PrefillFit,
    pub demand: PromptDemand,
    pub lengths: PromptLengths,
    /// What others usually have running and waiting at one worker.
    pub others: (f64, f64),
    /// The usual tokens that a call has to read and hold, and how long it stays.
    pub unread: f64,
    pub held: f64,
    pub stay: f64,
}

impl Default for PoolModel {
    fn default() -> Self {
        PoolModel {
            fit: PrefillFit::default(),
            demand: PromptDemand::default(),
            lengths: PromptLengths::default(),
            others: (0.0, 0.0),
            unread: 500.0,
            held: 2_000.0,
            stay: 100_000.0,
        }
    }
}
