//! A seeded random number generator.

/// The SplitMix64 generator (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators").
/// The same seed gives the same numbers. Not for secrets.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Self {
        Rng(seed)
    }

    /// Returns the next number, uniform over all 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`. If `bound` is 0, returns 0 without advancing the generator.
    pub fn next_below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next_u64() % bound }
    }

    /// Returns true with a probability of `percent` in 100.
    pub fn chance_percent(&mut self, percent: u64) -> bool {
        self.next_below(100) < percent
    }
}
