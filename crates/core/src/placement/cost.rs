//! The cost of sending a call to an engine, as a fraction of the call's value.

use super::engine::ExpectedLoad;
use super::pool_model::PoolModel;
use super::prompt::PromptRequest;
use crate::config::PlacementWeights;

/// The cost of a thousand tokens that are prefilled again although another engine has them cached.
const REREAD_COST: f64 = 0.1;
/// The cost of a thousand bytes that cross zones.
const CROSS_ZONE_COST: f64 = 0.003;
/// From this fraction of the longest stream gap on, a prefill delays the streams beside it ...
const GAP_TOLERANCE: f64 = 0.5;
/// ... and each of these costs this much.
const DELAYED_STREAM_COST: f64 = 0.02;
/// Random noise, so that nodes that know the same don't all choose the same: relative to the load ...
const RELATIVE_NOISE: f64 = 0.1;
/// ... and absolute.
const ABSOLUTE_NOISE: f64 = 0.002;

/// The expected time to first token, in microseconds, at an engine that is `slowness` times as slow
/// as its pool and has this number of slots.
pub fn time_to_first_token(load: &ExpectedLoad, pool: &PoolModel, slowness: f64, slots: f64) -> f64 {
    let (base, per_token) = pool.fit.line();
    let excess_calls = (load.active + 1.0 - slots).max(0.0);
    slowness * (base + per_token * (load.tokens_ahead + load.unread)) + excess_calls * pool.stay / slots + load.overdue
}

/// Everything that the cost of a call at one engine depends on.
pub struct CostModel<'a> {
    /// The call.
    pub request: &'a PromptRequest,
    /// What it would meet there.
    pub load: &'a ExpectedLoad,
    /// What was learned of the pool.
    pub pool: &'a PoolModel,
    /// The weights of the pool.
    pub weights: &'a PlacementWeights,
    /// How many times as slow as its pool the engine is.
    pub slowness: f64,
    /// The slots of the worker, at least 1.
    pub slots: f64,
    /// The expected time to first token, in microseconds.
    pub first_token_time: f64,
    /// Whether the worker is in another zone.
    pub crosses_zones: bool,
    /// A random number from 0 to 1.
    pub luck: f64,
}

impl CostModel<'_> {
    /// The total cost. The order of evaluation is part of the result: rounding decides between near ties.
    pub fn total(&self) -> f64 {
        let load_cost =
            self.lateness() + self.delay_of_streams() + self.occupancy() + self.cache_pressure() + self.silence();
        percent(self.weights.load_spread)
            * (load_cost * (1.0 + RELATIVE_NOISE * self.luck) + ABSOLUTE_NOISE * self.luck)
            + percent(self.weights.prefix_affinity) * REREAD_COST * self.load.reread / 1_000.0
            + self.cross_zone_bytes()
    }

    /// Late first tokens: little up to half of the latency target, then with the square of the excess.
    fn lateness(&self) -> f64 {
        let relative = (self.first_token_time / self.request.latency_target.max(1) as f64).min(50.0);
        0.15 * relative + 2.0 * (relative - 0.5).max(0.0).powi(2)
    }

    /// Streams pause while prompts are prefilled beside them: what this call adds to that.
    fn delay_of_streams(&self) -> f64 {
        let load = self.load;
        let per_token = self.pool.fit.line().1 * self.slowness / self.request.max_stream_gap.max(1) as f64;
        let pause = |tokens: f64| (per_token * tokens - GAP_TOLERANCE).clamp(0.0, 1.0);
        0.1 * load.unread * self.pool.fit.line().1 / 100_000.0 * (1.0 + load.running / 8.0)
            + DELAYED_STREAM_COST * load.running * (pause(load.tokens_ahead + load.unread) - pause(load.tokens_ahead))
    }

    fn occupancy(&self) -> f64 {
        let fraction = self.load.active / self.slots;
        0.05 * fraction + 2.0 * (fraction - 0.85).max(0.0)
    }

    /// A KV cache that is nearly full evicts prefixes and preempts calls.
    fn cache_pressure(&self) -> f64 {
        match self.weights.kv_cache_tokens {
            0 => 0.0,
            capacity => {
                let held = self.load.held + f64::from(self.request.max_output_tokens);
                4.0 * (held / capacity as f64 - 0.85).max(0.0)
            }
        }
    }

    /// An engine without any first token since the last calls went there has yet to show that it works.
    fn silence(&self) -> f64 {
        0.02 * f64::from(self.load.unanswered_calls.saturating_sub(2))
    }

    fn cross_zone_bytes(&self) -> f64 {
        if self.crosses_zones {
            percent(self.weights.zone_locality) * CROSS_ZONE_COST * f64::from(self.request.bytes) / 1_000.0
        } else {
            0.0
        }
    }
}

fn percent(hundredths: u32) -> f64 {
    f64::from(hundredths) / 100.0
}
