//! A seeded random number generator (SplitMix64).

/// A generator with its seed as the initial state.
pub struct Random(pub u64);

impl Random {
    /// Returns a uniformly distributed number in `[0, 1)`.
    pub fn uniform(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a uniformly distributed integer below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        (self.uniform() * end as f64) as u64
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}
