//! Draws that a seed determines.

pub struct Lottery(pub u64);

impl Lottery {
    pub fn draw(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, end: u64) -> u64 {
        (self.draw() * end as f64) as u64
    }

    pub fn hits(&mut self, chance: f64) -> bool {
        self.draw() < chance
    }

    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }
}
