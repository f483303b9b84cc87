//! The tokens that a gateway holds.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sablehaven_types::{QuotaTolerance, TenantName};

use crate::{allowance::token_life, demand::DemandRate};

/// Memory of a tenant's demand at a gateway.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);
/// A tenant without a request for this long is forgotten; its rate is about nothing by then.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The tokens that a gateway holds. Times are any steady time of the gateway that counts suspension too.
#[derive(Debug)]
pub struct TokenStock {
    life: Duration,
    tenants: HashMap<TenantName, TenantStock>,
    forgot_at: Duration,
}

#[derive(Debug)]
struct TenantStock {
    demand: DemandRate,
    last_request: Duration,
    /// Ordered by the time of asking.
    held: VecDeque<DatedTokens>,
    /// Asked for beyond the token of the request that waits, and not answered yet.
    ahead: VecDeque<DatedTokens>,
}

#[derive(Clone, Copy, Debug)]
struct DatedTokens {
    asked_at: Duration,
    tokens: u32,
}

impl TokenStock {
    /// An empty stock.
    pub fn new(tolerance: &QuotaTolerance) -> Self {
        Self {
            life: token_life(tolerance),
            tenants: HashMap::new(),
            forgot_at: Duration::ZERO,
        }
    }

    /// Spends a token that is there.
    pub fn spend(&mut self, now: Duration, tenant: &TenantName) -> bool {
        self.spend_dated(now, tenant).is_some()
    }

    /// Spends a token that is there; returns when it was asked for, for [`TokenStock::put_back`].
    pub fn spend_dated(&mut self, now: Duration, tenant: &TenantName) -> Option<Duration> {
        let life = self.life;
        let stock = self.tenants.get_mut(tenant)?;
        stock.drop_expired(now, life);
        let oldest = stock.held.front_mut()?;
        oldest.tokens -= 1;
        let asked_at = oldest.asked_at;
        stock.count(now);
        Some(asked_at)
    }

    /// How many tokens to ask for, that of the request that waits included: what the tenant will need here within the
    /// tokens' life.
    pub fn wanted(&mut self, now: Duration, tenant: &TenantName) -> u32 {
        if self.life.is_zero() {
            return 1;
        }
        self.forget_idle(now);
        let life = self.life;
        let stock = self.stock_of(now, tenant);
        stock.drop_expired(now, life);
        stock.count(now);
        let needed = stock.demand.per_second(now) * life.as_secs_f64();
        let coming = DatedTokens::sum(&stock.held) + DatedTokens::sum(&stock.ahead);
        let lacking = needed - f64::from(coming);
        let wanted = lacking.max(1.0) as u32;
        if wanted > 1 {
            stock.ahead.push_back(DatedTokens {
                asked_at: now,
                tokens: wanted - 1,
            });
        }
        wanted
    }

    /// Takes tokens beyond that of the request that waited; `asked_at` is when they were asked for.
    pub fn put(&mut self, asked_at: Duration, tenant: &TenantName, tokens: u32) {
        if tokens == 0 || self.life.is_zero() {
            return;
        }
        let stock = self.stock_of(asked_at, tenant);
        stock.ahead.retain(|ahead| ahead.asked_at != asked_at);
        stock.hold(DatedTokens { asked_at, tokens });
    }

    /// Takes back a token whose request reached no server; `asked_at` is when the token was asked for.
    pub fn put_back(&mut self, now: Duration, asked_at: Duration, tenant: &TenantName) {
        if now.saturating_sub(asked_at) >= self.life {
            return;
        }
        let returned = DatedTokens {
            asked_at,
            tokens: 1,
        };
        self.stock_of(now, tenant).hold(returned);
    }

    /// The number of tenants that the stock knows of.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    fn stock_of(&mut self, now: Duration, tenant: &TenantName) -> &mut TenantStock {
        let stock = self.tenants.entry(tenant.clone());
        stock.or_insert_with(|| TenantStock::new(now))
    }

    fn forget_idle(&mut self, now: Duration) {
        if now.saturating_sub(self.forgot_at) < FORGET_AFTER {
            return;
        }
        self.forgot_at = now;
        let is_idle = |stock: &TenantStock| now.saturating_sub(stock.last_request) >= FORGET_AFTER;
        self.tenants.retain(|_, stock| !is_idle(stock));
    }
}

impl TenantStock {
    fn new(now: Duration) -> Self {
        Self {
            demand: DemandRate::new(DEMAND_HALF_LIFE, now),
            last_request: now,
            held: VecDeque::new(),
            ahead: VecDeque::new(),
        }
    }

    fn count(&mut self, now: Duration) {
        self.demand.add(now, 1);
        self.last_request = now;
    }

    fn hold(&mut self, tokens: DatedTokens) {
        let is_before = |held: &DatedTokens| held.asked_at <= tokens.asked_at;
        let place = self.held.partition_point(is_before);
        self.held.insert(place, tokens);
    }

    fn drop_expired(&mut self, now: Duration, life: Duration) {
        let is_good =
            |dated: &DatedTokens| dated.tokens > 0 && now.saturating_sub(dated.asked_at) < life;
        self.held.retain(is_good);
        self.ahead.retain(is_good);
    }
}

impl DatedTokens {
    fn sum(dated: &VecDeque<Self>) -> u32 {
        dated.iter().map(|dated| dated.tokens).sum()
    }
}
