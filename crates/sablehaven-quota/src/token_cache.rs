//! A gateway's cache of tokens.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sablehaven_types::{QuotaTolerance, TenantName};

use crate::{allowance::token_lifetime, demand::DemandRate};

/// Half-life of a tenant's demand at a gateway.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(1);
/// A tenant without a request for this long is removed; the estimate of its demand is close to zero by then.
const TENANT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A gateway's cache of tokens. All times come from one monotonic clock of the gateway that also advances while the
/// machine is suspended.
#[derive(Debug)]
pub struct TokenCache {
    token_lifetime: Duration,
    tenants: HashMap<TenantName, TenantTokens>,
    last_cleanup: Duration,
}

/// One tenant's cached tokens and demand.
#[derive(Debug)]
struct TenantTokens {
    demand: DemandRate,
    last_request: Duration,
    /// Sorted by the time at which the tokens were requested.
    available: VecDeque<TokenBatch>,
    /// Tokens that were requested ahead, beyond the token for the waiting request, and have not been granted or refused
    /// yet.
    pending: VecDeque<TokenBatch>,
}

/// Tokens that were requested at the same time.
#[derive(Clone, Copy, Debug)]
struct TokenBatch {
    requested_at: Duration,
    tokens: u32,
}

impl TokenCache {
    /// Creates an empty cache.
    pub fn new(tolerance: &QuotaTolerance) -> Self {
        Self {
            token_lifetime: token_lifetime(tolerance),
            tenants: HashMap::new(),
            last_cleanup: Duration::ZERO,
        }
    }

    /// Spends a cached token; returns whether there was one.
    pub fn spend(&mut self, now: Duration, tenant: &TenantName) -> bool {
        self.spend_with_request_time(now, tenant).is_some()
    }

    /// Spends a cached token, and returns when it was requested, as [`TokenCache::return_token`] needs it.
    pub fn spend_with_request_time(
        &mut self,
        now: Duration,
        tenant: &TenantName,
    ) -> Option<Duration> {
        let token_lifetime = self.token_lifetime;
        let tenant_tokens = self.tenants.get_mut(tenant)?;
        tenant_tokens.drop_expired(now, token_lifetime);
        let oldest = tenant_tokens.available.front_mut()?;
        oldest.tokens -= 1;
        let requested_at = oldest.requested_at;
        tenant_tokens.record_request(now);
        Some(requested_at)
    }

    /// Returns how many tokens to request, including the one for the waiting request: as many as the tenant is expected
    /// to need at this gateway within the lifetime of a token.
    pub fn tokens_to_request(&mut self, now: Duration, tenant: &TenantName) -> u32 {
        if self.token_lifetime.is_zero() {
            return 1;
        }
        self.remove_idle_tenants(now);
        let token_lifetime = self.token_lifetime;
        let tenant_tokens = self.tenant_mut(now, tenant);
        tenant_tokens.drop_expired(now, token_lifetime);
        tenant_tokens.record_request(now);
        let expected_requests = tenant_tokens.demand.per_second(now) * token_lifetime.as_secs_f64();
        let outstanding =
            TokenBatch::sum(&tenant_tokens.available) + TokenBatch::sum(&tenant_tokens.pending);
        let missing = expected_requests - f64::from(outstanding);
        let tokens = missing.max(1.0) as u32;
        if tokens > 1 {
            tenant_tokens.pending.push_back(TokenBatch {
                requested_at: now,
                tokens: tokens - 1,
            });
        }
        tokens
    }

    /// Adds granted tokens beyond the one for the request that waited. `requested_at` is the time that was passed to
    /// [`TokenCache::tokens_to_request`] for them.
    pub fn add(&mut self, requested_at: Duration, tenant: &TenantName, tokens: u32) {
        if tokens == 0 || self.token_lifetime.is_zero() {
            return;
        }
        let tenant_tokens = self.tenant_mut(requested_at, tenant);
        tenant_tokens
            .pending
            .retain(|batch| batch.requested_at != requested_at);
        tenant_tokens.insert(TokenBatch {
            requested_at,
            tokens,
        });
    }

    /// Puts a token back into the cache because its request did not reach a server. `requested_at` is the time that was
    /// passed to [`TokenCache::tokens_to_request`] for the token; [`TokenCache::spend_with_request_time`] returns it.
    pub fn return_token(&mut self, now: Duration, requested_at: Duration, tenant: &TenantName) {
        if now.saturating_sub(requested_at) >= self.token_lifetime {
            return;
        }
        let returned = TokenBatch {
            requested_at,
            tokens: 1,
        };
        self.tenant_mut(now, tenant).insert(returned);
    }

    /// Returns the number of tenants in the cache.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    fn tenant_mut(&mut self, now: Duration, tenant: &TenantName) -> &mut TenantTokens {
        let tenant_tokens = self.tenants.entry(tenant.clone());
        tenant_tokens.or_insert_with(|| TenantTokens::new(now))
    }

    fn remove_idle_tenants(&mut self, now: Duration) {
        if now.saturating_sub(self.last_cleanup) < TENANT_IDLE_TIMEOUT {
            return;
        }
        self.last_cleanup = now;
        let is_idle =
            |tokens: &TenantTokens| now.saturating_sub(tokens.last_request) >= TENANT_IDLE_TIMEOUT;
        self.tenants.retain(|_, tokens| !is_idle(tokens));
    }
}

impl TenantTokens {
    fn new(now: Duration) -> Self {
        Self {
            demand: DemandRate::new(DEMAND_HALF_LIFE, now),
            last_request: now,
            available: VecDeque::new(),
            pending: VecDeque::new(),
        }
    }

    fn record_request(&mut self, now: Duration) {
        self.demand.add(now, 1);
        self.last_request = now;
    }

    fn insert(&mut self, batch: TokenBatch) {
        let is_before = |other: &TokenBatch| other.requested_at <= batch.requested_at;
        let position = self.available.partition_point(is_before);
        self.available.insert(position, batch);
    }

    fn drop_expired(&mut self, now: Duration, token_lifetime: Duration) {
        let is_valid = |batch: &TokenBatch| {
            batch.tokens > 0 && now.saturating_sub(batch.requested_at) < token_lifetime
        };
        self.available.retain(is_valid);
        self.pending.retain(is_valid);
    }
}

impl TokenBatch {
    fn sum(batches: &VecDeque<Self>) -> u32 {
        batches.iter().map(|batch| batch.tokens).sum()
    }
}
