//! A generator of numbers that gives the same from the same seed.

/// A small seeded generator: the same seed gives the same run.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// A generator with this seed.
    pub fn new(s: u64) -> Self {
        Rng(s)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// A number below `n`; nought when `n` is nought.
    pub fn below(&mut self, n: u64) -> u64 {
        if n == 0 { 0 } else { self.next_u64() % n }
    }

    /// True in so many of 100 cases.
    pub fn chance(&mut self, pct: u64) -> bool {
        self.below(100) < pct
    }
}
