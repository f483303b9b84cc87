//! The gateways, the tenants and their demand, and the interface of a quota scheme.

use std::time::Duration;

use sablehaven_types::{QuotaTolerance, RequestQuota, TenantName};

use crate::random::Random;

pub const ZONES: usize = 6;
/// The fraction of the demand that comes to one zone at a time.
const SINGLE_ZONE_FRACTION: f64 = 0.6;
/// The index of the tenant that exceeds its quota.
const HOT_TENANT: usize = 2;
/// The hot tenant's demand, as a multiple of its base rate.
const HOT_FACTOR: f64 = 9.0;
/// Each tenant's quota, as a multiple of its base rate.
const QUOTA_FACTOR: f64 = 1.6;
/// The interval at which that fraction of the demand moves to the next zone. Each move takes one second.
const ZONE_MOVE_SECONDS: f64 = 4.0;

/// The gateways and the tenants with their quotas and demand.
pub struct Fleet {
    pub gateways: usize,
    pub names: Vec<TenantName>,
    pub quotas: Vec<RequestQuota>,
    pub tolerance: QuotaTolerance,
    /// The demand of all tenants, in requests per second.
    pub per_second: f64,
    /// Cumulative sums of the tenants' rates, in the order of the tenants.
    cumulative_rates: Vec<f64>,
}

/// A request of a tenant at a gateway.
#[derive(Clone, Copy)]
pub struct Request {
    pub now: Duration,
    pub gateway: usize,
    pub tenant: usize,
}

/// The messages that a quota scheme sent.
#[derive(Clone, Copy, Default)]
pub struct MessageCounts {
    /// Messages sent and received by gateways.
    pub at_gateways: u64,
    /// Size of these messages.
    pub bytes: u64,
    /// Messages sent between control replicas.
    pub between_replicas: u64,
}

/// A scheme that enforces quotas.
pub trait QuotaScheme {
    /// Returns whether the request is admitted; `None` if it is held.
    fn admit(&mut self, fleet: &Fleet, request: Request, random: &mut Random) -> Option<bool>;

    /// Does the work that is due after each step; returns the outcomes of requests that were held.
    fn tick(&mut self, _fleet: &Fleet, _now: Duration) -> Vec<(Request, bool)> {
        Vec::new()
    }

    /// Returns the messages sent so far.
    fn messages(&self) -> MessageCounts;
}

impl Fleet {
    /// Creates a fleet in which the tenants' base rates decrease with their rank as `rank^-1.2`.
    pub fn new(gateways: usize, tenants: usize, per_gateway: u64) -> Self {
        let base_total = (gateways as u64 * per_gateway) as f64;
        let weights: Vec<_> = (1..=tenants).map(|rank| (rank as f64).powf(-1.2)).collect();
        let sum: f64 = weights.iter().sum();
        let base_rates = weights.iter().map(|weight| weight / sum * base_total);
        let quota = |rate: f64| RequestQuota {
            per_second: rate * QUOTA_FACTOR,
            burst: 0.0,
        };
        let quotas: Vec<_> = base_rates.clone().map(quota).collect();
        let mut cumulative_rates = Vec::new();
        let mut per_second = 0.0;
        for (rank, rate) in base_rates.enumerate() {
            per_second += if rank == HOT_TENANT {
                rate * HOT_FACTOR
            } else {
                rate
            };
            cumulative_rates.push(per_second);
        }
        Self {
            gateways,
            names: (0..tenants)
                .map(|rank| TenantName(format!("t{rank:07}")))
                .collect(),
            quotas,
            tolerance: QuotaTolerance {
                window_ms: 5_000,
                excess_permille: 100,
                slack: 20,
            },
            per_second,
            cumulative_rates,
        }
    }

    pub fn is_hot(tenant: usize) -> bool {
        tenant == HOT_TENANT
    }

    pub fn zone_of(gateway: usize) -> usize {
        gateway % ZONES
    }

    /// Draws a random tenant and gateway for a request at the time `now`.
    pub fn next_request(&self, now: Duration, random: &mut Random) -> Request {
        let point = random.uniform() * self.per_second;
        let tenant = self.cumulative_rates.partition_point(|sum| *sum <= point);
        let moves = now.as_secs_f64() / ZONE_MOVE_SECONDS;
        let moved = (moves.fract() * ZONE_MOVE_SECONDS).min(1.0);
        let mut zone = random.below(ZONES as u64) as usize;
        if random.chance(SINGLE_ZONE_FRACTION) {
            zone = moves as usize % ZONES;
            if !random.chance(moved) {
                zone = (zone + ZONES - 1) % ZONES;
            }
        }
        let row = random.below((self.gateways / ZONES) as u64) as usize;
        Request {
            now,
            gateway: row * ZONES + zone,
            tenant: tenant.min(self.names.len() - 1),
        }
    }
}
