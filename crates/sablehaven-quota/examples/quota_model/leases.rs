//! The leader holds the whole bucket; gateways lease tokens from it ahead, by demand.

use std::time::Duration;

use sablehaven_quota::TokenStock;
use sablehaven_types::QuotaTolerance;

use crate::{
    buckets::Bucket,
    demand::{Fleet, Ledger, Messages, Request},
    measure::token_bytes,
    random::Lottery,
};

/// Time for which a lease is good.
const LEASE_LIFE: Duration = Duration::from_millis(400);
/// With it, the stock's tokens are good for the life of a lease.
const LEASE_TOLERANCE: QuotaTolerance = QuotaTolerance {
    window_ms: 5_000,
    excess_permille: 1_000,
    slack: 0,
};

pub struct LeaderLeases {
    buckets: Vec<Bucket>,
    stocks: Vec<TokenStock>,
    messages: Messages,
}

impl LeaderLeases {
    pub fn new(fleet: &Fleet) -> Self {
        let tenants = 0..fleet.names.len();
        let buckets = tenants.map(|tenant| Bucket::part(fleet, tenant, 1, LEASE_LIFE));
        let stocks = (0..fleet.gateways).map(|_| TokenStock::new(&LEASE_TOLERANCE));
        Self {
            buckets: buckets.collect(),
            stocks: stocks.collect(),
            messages: Messages::default(),
        }
    }
}

impl Ledger for LeaderLeases {
    fn passes(&mut self, fleet: &Fleet, request: Request, _lottery: &mut Lottery) -> Option<bool> {
        let name = &fleet.names[request.tenant];
        let stock = &mut self.stocks[request.gateway];
        if stock.spend(request.now, name) {
            return Some(true);
        }
        let wanted = stock.wanted(request.now, name);
        self.messages.at_gateways += 2;
        self.messages.bytes += token_bytes(name);
        let granted = self.buckets[request.tenant].take(request.now, wanted);
        if granted > 1 {
            stock.put(request.now, name, granted - 1);
        }
        Some(granted > 0)
    }

    fn messages(&self) -> Messages {
        self.messages
    }
}
