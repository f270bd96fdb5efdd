//! A least-squares line through times to first token by numbers of prefilled tokens.

use crate::base::Micros;

/// Prior: the time to first token without any prefill, in microseconds.
const PRIOR_BASE: f64 = 15_000.0;
/// Prior: the time to prefill one token, in microseconds.
const PRIOR_PER_TOKEN: f64 = 12.0;
/// The tokens of the second prior sample; the first has none.
const PRIOR_TOKENS: f64 = 6_000.0;
/// How much the past counts: its weight is multiplied by this at each new sample.
const DECAY: f64 = 0.985;

/// A line through the times to first token over the tokens prefilled until then. It follows about
/// the last hundred samples, and single outliers can't move it far.
#[derive(Clone, Debug)]
pub struct PrefillFit {
    /// Decayed sums over all samples, of the weights ...
    weight_sum: f64,
    /// ... the tokens,
    token_sum: f64,
    /// the times in microseconds,
    time_sum: f64,
    /// the squares of the tokens,
    token_square_sum: f64,
    /// and the products of tokens and times.
    token_time_sum: f64,
}

impl Default for PrefillFit {
    fn default() -> Self {
        // Two samples of each prior point.
        let prior_time = PRIOR_BASE + PRIOR_PER_TOKEN * PRIOR_TOKENS;
        PrefillFit {
            weight_sum: 4.0,
            token_sum: 2.0 * PRIOR_TOKENS,
            time_sum: 2.0 * (PRIOR_BASE + prior_time),
            token_square_sum: 2.0 * PRIOR_TOKENS * PRIOR_TOKENS,
            token_time_sum: 2.0 * PRIOR_TOKENS * prior_time,
        }
    }
}

impl PrefillFit {
    /// The time without any prefill and the time for each token, both in microseconds.
    pub fn line(&self) -> (f64, f64) {
        let variance = self.weight_sum * self.token_square_sum - self.token_sum * self.token_sum;
        // Samples of nearly the same length say nothing of the slope.
        let per_token = if variance > self.weight_sum * self.weight_sum * 10_000.0 {
            (self.weight_sum * self.token_time_sum - self.token_sum * self.time_sum) / variance
        } else {
            PRIOR_PER_TOKEN
        };
        let per_token = per_token.clamp(0.5, 1_000.0);
        let base = (self.time_sum - per_token * self.token_sum) / self.weight_sum;
        (base.clamp(200.0, 2_000_000.0), per_token)
    }

    /// The expected time for this number of tokens, in microseconds.
    pub fn of(&self, tokens: f64) -> f64 {
        let (base, per_token) = self.line();
        base + per_token * tokens
    }

    /// Adds a sample of an engine that is `factor` times as slow as its pool. Returns the ratio of the
    /// sample to what was expected, from 0.25 to 8.
    pub fn learn(&mut self, tokens: f64, duration: Micros, factor: f64) -> f64 {
        let expected = self.of(tokens) * factor;
        let bounded = (duration as f64).clamp(expected / 3.0, expected * 3.0);
        let time = bounded / factor;
        self.weight_sum = self.weight_sum * DECAY + 1.0;
        self.token_sum = self.token_sum * DECAY + tokens;
        self.time_sum = self.time_sum * DECAY + time;
        self.token_square_sum = self.token_square_sum * DECAY + tokens * tokens;
        self.token_time_sum = self.token_time_sum * DECAY + tokens * time;
        (duration as f64 / expected.max(1.0)).clamp(0.25, 8.0)
    }
}
