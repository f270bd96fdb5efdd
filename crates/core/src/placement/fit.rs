//! A least-squares line of the time to first token over the number of prefilled tokens.

use crate::base::Micros;

/// The prior time to first token without any prefill, in microseconds.
const PRIOR_BASE_MICROS: f64 = 15_000.0;
/// The prior time to prefill one token, in microseconds.
const PRIOR_MICROS_PER_TOKEN: f64 = 12.0;
/// The number of tokens of the second prior sample; the first one has none.
const PRIOR_TOKENS: f64 = 6_000.0;
/// The factor by which each new sample multiplies the weight of all earlier samples.
const SAMPLE_DECAY: f64 = 0.985;

/// A line through the times to first token over the tokens prefilled until then. The line follows about
/// the last hundred samples, and a single outlier changes it little.
#[derive(Clone, Debug)]
pub struct PrefillFit {
    /// The decayed sum of the weights of all samples.
    weight_sum: f64,
    /// The decayed sum of the tokens.
    token_sum: f64,
    /// The decayed sum of the times, in microseconds.
    time_sum: f64,
    /// The decayed sum of the squares of the tokens.
    token_square_sum: f64,
    /// The decayed sum of the products of tokens and times.
    token_time_sum: f64,
}

/// The coefficients of the fitted line, both in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LineCoefficients {
    /// The time to first token without any prefill.
    pub base: f64,
    /// The time to prefill one token.
    pub per_token: f64,
}

impl Default for PrefillFit {
    fn default() -> Self {
        // Each prior point counts as two samples.
        let prior_time = PRIOR_BASE_MICROS + PRIOR_MICROS_PER_TOKEN * PRIOR_TOKENS;
        PrefillFit {
            weight_sum: 4.0,
            token_sum: 2.0 * PRIOR_TOKENS,
            time_sum: 2.0 * (PRIOR_BASE_MICROS + prior_time),
            token_square_sum: 2.0 * PRIOR_TOKENS * PRIOR_TOKENS,
            token_time_sum: 2.0 * PRIOR_TOKENS * prior_time,
        }
    }
}

impl PrefillFit {
    /// Returns the coefficients of the line.
    pub fn coefficients(&self) -> LineCoefficients {
        let variance = self.weight_sum * self.token_square_sum - self.token_sum * self.token_sum;
        // Samples of nearly the same length don't determine the slope.
        let per_token = if variance > self.weight_sum * self.weight_sum * 10_000.0 {
            (self.weight_sum * self.token_time_sum - self.token_sum * self.time_sum) / variance
        } else {
            PRIOR_MICROS_PER_TOKEN
        };
        let per_token = per_token.clamp(0.5, 1_000.0);
        let base = (self.time_sum - per_token * self.token_sum) / self.weight_sum;
        LineCoefficients { base: base.clamp(200.0, 2_000_000.0), per_token }
    }

    /// Returns the expected time to first token for this number of tokens, in microseconds.
    pub fn expected_time(&self, tokens: f64) -> f64 {
        let LineCoefficients { base, per_token } = self.coefficients();
        base + per_token * tokens
    }

    /// Adds a sample of an engine that is `slowness` times as slow as its pool. Returns the ratio of the
    /// measured to the expected time, clamped to the range from 0.25 to 8.
    pub fn add_sample(&mut self, tokens: f64, duration: Micros, slowness: f64) -> f64 {
        let expected = self.expected_time(tokens) * slowness;
        let bounded_time = (duration as f64).clamp(expected / 3.0, expected * 3.0);
        let time = bounded_time / slowness;
        self.weight_sum = self.weight_sum * SAMPLE_DECAY + 1.0;
        self.token_sum = self.token_sum * SAMPLE_DECAY + tokens;
        self.time_sum = self.time_sum * SAMPLE_DECAY + time;
        self.token_square_sum = self.token_square_sum * SAMPLE_DECAY + tokens * tokens;
        self.token_time_sum = self.token_time_sum * SAMPLE_DECAY + tokens * time;
        (duration as f64 / expected.max(1.0)).clamp(0.25, 8.0)
    }
}
