//! Ways with plain buckets at gateways: a fixed part for each, and a few gateways that serve a tenant.

use std::{collections::HashMap, time::Duration};

use crate::{
    demand::{Fleet, MessageCounts, QuotaScheme, Request},
    random::Random,
};

/// A request that is passed on to the gateway that serves its tenant, and its answer: headers and a small body.
const FORWARDED_MESSAGE_BYTES: u64 = 600;
/// Gateways that serve a tenant.
const GATEWAYS_PER_TENANT: usize = 2;

/// A part of a bucket, full at first.
pub struct Bucket {
    per_second: f64,
    depth: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Bucket {
    /// One of so many parts, where tokens are good for `life`.
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
        let since = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + since * self.per_second).min(self.depth);
        self.refilled_at = now;
        let taken = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }
}

/// Each gateway has a fixed part.
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
    fn admit(&mut self, fleet: &Fleet, request: Request, _lottery: &mut Random) -> Option<bool> {
        let full = Bucket::part(fleet, request.tenant, fleet.gateways, Duration::ZERO);
        if full.depth < 1.0 {
            // It never holds a token.
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

/// A few gateways serve a tenant; the others pass its requests on.
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
        // Two messages, each counted where it is sent and where it arrives.
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
