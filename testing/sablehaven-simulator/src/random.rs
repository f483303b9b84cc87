//! The simulation's only source of chance: one seeded generator, used in a fixed order.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded generator; the same seed gives the same run.
#[derive(Clone, Debug)]
pub struct Random {
    generator: Pcg64Mcg,
}

impl Random {
    /// A generator for a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            generator: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A number of 64 random bits.
    pub fn number(&mut self) -> u64 {
        self.generator.random()
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.generator.random_range(low..=high)
    }

    /// An index below `length`, which must not be 0.
    pub fn index(&mut self, length: usize) -> usize {
        self.generator.random_range(0..length)
    }

    /// True in so many of a thousand cases.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.between(1, 1_000) <= per_mille
    }

    /// One of the items, if there is one.
    pub fn pick<'a, Item>(&mut self, items: &'a [Item]) -> Option<&'a Item> {
        match items.len() {
            0 => None,
            length => items.get(self.index(length)),
        }
    }
}
