//! The leader has the whole bucket; gateways lease tokens from it ahead of time, according to their demand.

use std::time::Duration;

use sablehaven_quota::TokenCache;
use sablehaven_types::QuotaTolerance;

use crate::{
    buckets::Bucket,
    demand::{Fleet, MessageCounts, QuotaScheme, Request},
    measure::token_bytes,
    random::Random,
};

/// The time for which leased tokens may be spent.
const LEASE_LIFETIME: Duration = Duration::from_millis(400);
/// With this tolerance, the lifetime of tokens in the cache is that of a lease.
const LEASE_TOLERANCE: QuotaTolerance = QuotaTolerance {
    window_ms: 5_000,
    excess_permille: 1_000,
    slack: 0,
};

/// The leader's token buckets and the gateways' caches of leased tokens.
pub struct LeaderLeases {
    buckets: Vec<Bucket>,
    caches: Vec<TokenCache>,
    messages: MessageCounts,
}

impl LeaderLeases {
    pub fn new(fleet: &Fleet) -> Self {
        let tenants = 0..fleet.names.len();
        let buckets = tenants.map(|tenant| Bucket::part(fleet, tenant, 1, LEASE_LIFETIME));
        let caches = (0..fleet.gateways).map(|_| TokenCache::new(&LEASE_TOLERANCE));
        Self {
            buckets: buckets.collect(),
            caches: caches.collect(),
            messages: MessageCounts::default(),
        }
    }
}

impl QuotaScheme for LeaderLeases {
    fn admit(&mut self, fleet: &Fleet, request: Request, _random: &mut Random) -> Option<bool> {
        let name = &fleet.names[request.tenant];
        let cache = &mut self.caches[request.gateway];
        if cache.spend(request.now, name) {
            return Some(true);
        }
        let wanted = cache.tokens_to_request(request.now, name);
        self.messages.at_gateways += 2;
        self.messages.bytes += token_bytes(name);
        let granted = self.buckets[request.tenant].take(request.now, wanted);
        if granted > 1 {
            cache.add(request.now, name, granted - 1);
        }
        Some(granted > 0)
    }

    fn messages(&self) -> MessageCounts {
        self.messages
    }
}
