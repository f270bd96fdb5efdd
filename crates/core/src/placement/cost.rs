//! The cost model of sending a call to an engine, as a fraction of the call's value.

use super::engine::ExpectedLoad;
use super::fit::LineCoefficients;
use super::pool_model::PoolModel;
use super::prompt::PromptRequest;
use crate::config::PlacementWeights;

/// The cost of a thousand tokens that are prefilled again although another engine has them cached.
const RECOMPUTE_COST_PER_1000_TOKENS: f64 = 0.1;
/// The cost of a thousand bytes that cross zones.
const CROSS_ZONE_COST_PER_1000_BYTES: f64 = 0.003;
/// The fraction of the longest stream gap from which a prefill counts as delaying concurrent streams.
const GAP_TOLERANCE: f64 = 0.5;
/// The cost of each delayed stream.
const DELAYED_STREAM_COST: f64 = 0.02;
/// The random noise relative to the load cost, so that nodes with the same knowledge don't all choose the same worker.
const RELATIVE_NOISE: f64 = 0.1;
/// The absolute random noise.
const ABSOLUTE_NOISE: f64 = 0.002;

/// Returns the expected time to first token, in microseconds, at an engine that is `slowness` times as
/// slow as its pool and has this number of slots.
pub fn time_to_first_token(load: &ExpectedLoad, pool: &PoolModel, slowness: f64, slots: f64) -> f64 {
    let LineCoefficients { base, per_token } = pool.fit.coefficients();
    let excess_calls = (load.active + 1.0 - slots).max(0.0);
    slowness * (base + per_token * (load.tokens_ahead + load.uncached_tokens))
        + excess_calls * pool.service_time / slots
        + load.overdue
}

/// The inputs of the cost of a call at one engine.
pub struct CostModel<'a> {
    /// The call.
    pub request: &'a PromptRequest,
    /// The load that the call would meet at the engine.
    pub load: &'a ExpectedLoad,
    /// The model of the pool.
    pub pool: &'a PoolModel,
    /// The weights of the pool.
    pub weights: &'a PlacementWeights,
    /// The factor by which the engine is slower than its pool.
    pub slowness: f64,
    /// The number of slots of the worker, at least 1.
    pub slots: f64,
    /// The expected time to first token, in microseconds.
    pub first_token_time: f64,
    /// Whether the worker is in another zone.
    pub crosses_zones: bool,
    /// A random number from 0 to 1, which scales the noise.
    pub random: f64,
}

impl CostModel<'_> {
    /// Returns the total cost. The order of evaluation must not change, because rounding decides between near ties.
    pub fn total(&self) -> f64 {
        let load_cost =
            self.latency() + self.stream_delay() + self.occupancy() + self.cache_pressure() + self.unresponsiveness();
        percent(self.weights.load_spread)
            * (load_cost * (1.0 + RELATIVE_NOISE * self.random) + ABSOLUTE_NOISE * self.random)
            + percent(self.weights.prefix_affinity) * RECOMPUTE_COST_PER_1000_TOKENS * self.load.recomputed_tokens
                / 1_000.0
            + self.cross_zone_bytes()
    }

    /// Returns the cost of the time to first token: low up to half of the latency target, then growing with the square
    /// of the excess.
    fn latency(&self) -> f64 {
        let relative = (self.first_token_time / self.request.latency_target.max(1) as f64).min(50.0);
        0.15 * relative + 2.0 * (relative - 0.5).max(0.0).powi(2)
    }

    /// Returns the cost of the pauses that the prefill of this call adds to concurrent streams.
    fn stream_delay(&self) -> f64 {
        let load = self.load;
        let per_token =
            self.pool.fit.coefficients().per_token * self.slowness / self.request.max_stream_pause.max(1) as f64;
        let pause = |tokens: f64| (per_token * tokens - GAP_TOLERANCE).clamp(0.0, 1.0);
        0.1 * load.uncached_tokens * self.pool.fit.coefficients().per_token / 100_000.0 * (1.0 + load.running / 8.0)
            + DELAYED_STREAM_COST
                * load.running
                * (pause(load.tokens_ahead + load.uncached_tokens) - pause(load.tokens_ahead))
    }

    /// Returns the cost of the slots in use, which rises steeply from 85 % of all slots on.
    fn occupancy(&self) -> f64 {
        let fraction = self.load.active / self.slots;
        0.05 * fraction + 2.0 * (fraction - 0.85).max(0.0)
    }

    /// Returns the cost of a nearly full KV cache, which evicts prefixes and preempts calls.
    fn cache_pressure(&self) -> f64 {
        match self.weights.kv_cache_tokens {
            0 => 0.0,
            capacity => {
                let kv_tokens = self.load.kv_tokens + f64::from(self.request.max_output_tokens);
                4.0 * (kv_tokens / capacity as f64 - 0.85).max(0.0)
            }
        }
    }

    /// Returns the cost of an engine that has sent no first token since the last calls, and so may not work.
    fn unresponsiveness(&self) -> f64 {
        0.02 * f64::from(self.load.unanswered_calls.saturating_sub(2))
    }

    /// Returns the cost of the call's bytes that cross zones.
    fn cross_zone_bytes(&self) -> f64 {
        if self.crosses_zones {
            percent(self.weights.zone_locality) * CROSS_ZONE_COST_PER_1000_BYTES * f64::from(self.request.bytes)
                / 1_000.0
        } else {
            0.0
        }
    }
}

/// Returns hundredths as a fraction.
fn percent(hundredths: u32) -> f64 {
    f64::from(hundredths) / 100.0
}
