//! A line fitted to times by numbers of tokens.

use crate::base::Micros;

/// Before anything was seen: the time without reading, and for each token.
const BASE: f64 = 15_000.0;
const EACH: f64 = 12.0;
const FAR: f64 = 6_000.0;
/// How long the past counts: the weight of what went before at each outcome.
const FADE: f64 = 0.985;

/// A line through the times to the first piece over the tokens read until then, which
/// follows the last hundred outcomes and can't be thrown by single ones.
#[derive(Clone, Debug)]
pub struct PrefillFit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for PrefillFit {
    fn default() -> Self {
        // Two outcomes as the priors would have them.
        let y = BASE + EACH * FAR;
        PrefillFit { n: 4.0, x: 2.0 * FAR, y: 2.0 * (BASE + y), xx: 2.0 * FAR * FAR, xy: 2.0 * FAR * y }
    }
}

impl PrefillFit {
    /// The time without reading, and for each token, in microseconds.
    pub fn line(&self) -> (f64, f64) {
        let d = self.n * self.xx - self.x * self.x;
        let each = if d > self.n * self.n * 10_000.0 { (self.n * self.xy - self.x * self.y) / d } else { EACH };
        let each = each.clamp(0.5, 1_000.0);
        let base = (self.y - each * self.x) / self.n;
        (base.clamp(200.0, 2_000_000.0), each)
    }

    /// The time for so many tokens.
    pub fn of(&self, tokens: f64) -> f64 {
        let (b, e) = self.line();
        b + e * tokens
    }

    /// Takes one outcome in and gives its ratio to what was expected.
    pub fn learn(&mut self, tokens: f64, took: Micros, factor: f64) -> f64 {
        let want = self.of(tokens) * factor;
        let got = (took as f64).clamp(want / 3.0, want * 3.0);
        let y = got / factor;
        self.n = self.n * FADE + 1.0;
        self.x = self.x * FADE + tokens;
        self.y = self.y * FADE + y;
        self.xx = self.xx * FADE + tokens * tokens;
        self.xy = self.xy * FADE + tokens * y;
        (took as f64 / want.max(1.0)).clamp(0.25, 8.0)
    }
}
