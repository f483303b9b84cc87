//! The tokens that a gateway holds.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sablehaven_types::{QuotaTolerance, TenantName};

use crate::bucket::token_life;

/// The tokens that a gateway holds. Times are any steady time of the gateway that counts suspension too.
#[derive(Debug)]
pub struct TokenStock {
    life: Duration,
    held: HashMap<TenantName, VecDeque<HeldTokens>>,
}

#[derive(Clone, Copy, Debug)]
struct HeldTokens {
    good_until: Duration,
    tokens: u32,
}

impl TokenStock {
    /// An empty stock.
    pub fn new(tolerance: &QuotaTolerance) -> Self {
        Self {
            life: token_life(tolerance),
            held: HashMap::new(),
        }
    }

    /// Spends a token that is there.
    pub fn spend(&mut self, now: Duration, tenant: &TenantName) -> bool {
        let Some(held) = self.held.get_mut(tenant) else {
            return false;
        };
        held.retain(|held| held.good_until > now && held.tokens > 0);
        let Some(oldest) = held.front_mut() else {
            return false;
        };
        oldest.tokens -= 1;
        true
    }

    /// How many tokens to ask for, that of the request that waits included.
    pub fn wanted(&mut self, _now: Duration, _tenant: &TenantName) -> u32 {
        1
    }

    /// Takes tokens beyond that of the request that waited; `asked_at` is when they were asked for.
    pub fn put(&mut self, asked_at: Duration, tenant: &TenantName, tokens: u32) {
        if tokens == 0 || self.life.is_zero() {
            return;
        }
        let held = HeldTokens {
            good_until: asked_at + self.life,
            tokens,
        };
        self.held.entry(tenant.clone()).or_default().push_back(held);
    }
}
