//! Quota schemes with plain token buckets: a fixed part for each gateway, and a few designated gateways for each
//! tenant.

use std::{collections::HashMap, time::Duration};

use crate::{
    demand::{Fleet, MessageCounts, QuotaScheme, Request},
    random::Random,
};

/// Size of a request that is forwarded to a designated gateway of its tenant, and of the answer: headers and a small
/// body.
const FORWARDED_MESSAGE_BYTES: u64 = 600;
/// The number of designated gateways of a tenant.
const GATEWAYS_PER_TENANT: usize = 2;

/// One part of a tenant's token bucket, full at first.
pub struct Bucket {
    per_second: f64,
    depth: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Bucket {
    /// Creates one of `parts` equal parts, whose tokens may be spent for `token_lifetime` after they are taken.
    pub fn part(fleet: &Fleet, tenant: usize, parts: usize, token_lifetime: Duration) -> Self {
        let quota = fleet.quotas[tenant];
        let span = (fleet.tolerance.window() + token_lifetime).as_secs_f64();
        let depth = fleet.tolerance.bound(quota) - quota.per_second * span;
        let depth = depth / parts as f64;
        Self {
            per_second: quota.per_second / parts as f64,
            depth,
            tokens: depth,
            refilled_at: Duration::ZERO,
        }
    }

    pub fn take(&mut self, now: Duration, wanted: u32) -> u32 {
        let elapsed_seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_seconds * self.per_second).min(self.depth);
        self.refilled_at = now;
        let taken = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }
}

/// Each gateway has a fixed part of every quota.
pub struct FixedParts {
    parts: HashMap<(usize, usize), Bucket>,
}

impl FixedParts {
    pub fn new(_fleet: &Fleet) -> Self {
        Self {
            parts: HashMap::new(),
        }
    }
}

impl QuotaScheme for FixedParts {
    fn admit(&mut self, fleet: &Fleet, request: Request, _random: &mut Random) -> Option<bool> {
        let full = Bucket::part(fleet, request.tenant, fleet.gateways, Duration::ZERO);
        if full.depth < 1.0 {
            // A bucket this shallow never holds a whole token.
            return Some(false);
        }
        let part = self
            .parts
            .entry((request.gateway, request.tenant))
            .or_insert(full);
        Some(part.take(request.now, 1) == 1)
    }

    fn messages(&self) -> MessageCounts {
        MessageCounts::default()
    }
}

/// A few designated gateways serve each tenant; the others forward its requests to them.
pub struct DesignatedGateways {
    parts: Vec<[Bucket; GATEWAYS_PER_TENANT]>,
    messages: MessageCounts,
}

impl DesignatedGateways {
    pub fn new(fleet: &Fleet) -> Self {
        let part = |tenant| Bucket::part(fleet, tenant, GATEWAYS_PER_TENANT, Duration::ZERO);
        let parts = (0..fleet.names.len()).map(|tenant| [part(tenant), part(tenant)]);
        Self {
            parts: parts.collect(),
            messages: MessageCounts::default(),
        }
    }
}

impl QuotaScheme for DesignatedGateways {
    fn admit(&mut self, _fleet: &Fleet, request: Request, random: &mut Random) -> Option<bool> {
        // The request and the answer are each counted at the sending and at the receiving gateway.
        self.messages.at_gateways += 4;
        self.messages.bytes += 2 * FORWARDED_MESSAGE_BYTES;
        let gateway = random.below(GATEWAYS_PER_TENANT as u64) as usize;
        let part = &mut self.parts[request.tenant][gateway];
        Some(part.take(request.now, 1) == 1)
    }

    fn messages(&self) -> MessageCounts {
        self.messages
    }
}
