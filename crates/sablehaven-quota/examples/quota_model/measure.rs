//! Runs a quota scheme and prints its results.

use std::time::Duration;

use sablehaven_types::TenantName;

use crate::{
    demand::{Fleet, QuotaScheme, Request},
    random::Random,
};

const STEP: Duration = Duration::from_millis(4);
/// The time in which parts that start empty fill up; requests before its end are not measured.
const WARM_UP: Duration = Duration::from_secs(8);
/// Windows are made of slots of this length.
const SLOT: Duration = Duration::from_millis(100);
/// IPv4 and TCP headers of a message that shares its packet with no other message.
const HEADER_BYTES: u64 = 40;
/// Encoded size of a token request, without the tenant's name.
const REQUEST_BYTES: u64 = 20;
/// Encoded size of the reply.
const REPLY_BYTES: u64 = 16;

/// Returns the bytes of a token request and its reply on the network.
pub fn token_bytes(tenant: &TenantName) -> u64 {
    2 * HEADER_BYTES + REQUEST_BYTES + tenant.as_str().len() as u64 + REPLY_BYTES
}

/// The admitted requests of each tenant in the slots of the last window.
struct Windows {
    slots: Vec<Vec<u32>>,
    /// Each tenant's sum over all slots.
    window_sums: Vec<u32>,
    /// The highest ratio of a window's requests to its bound so far.
    fullest: f64,
}

impl Windows {
    fn new(fleet: &Fleet) -> Self {
        let slots = fleet.tolerance.window().as_millis() / SLOT.as_millis();
        Self {
            slots: vec![vec![0; fleet.names.len()]; slots as usize],
            window_sums: vec![0; fleet.names.len()],
            fullest: 0.0,
        }
    }

    fn count(&mut self, now: Duration, tenant: usize) {
        let index = self.index(now);
        self.slots[index][tenant] += 1;
        self.window_sums[tenant] += 1;
    }

    fn index(&self, now: Duration) -> usize {
        (now.as_millis() / SLOT.as_millis()) as usize % self.slots.len()
    }

    /// Ends the slot before `now`: compares the window that ends with it with its bound, and clears the oldest slot.
    fn rotate(&mut self, fleet: &Fleet, now: Duration) {
        for (tenant, sum) in self.window_sums.iter().enumerate() {
            let bound = fleet.tolerance.bound(fleet.quotas[tenant]);
            self.fullest = self.fullest.max(f64::from(*sum) / bound);
        }
        let index = self.index(now);
        for (tenant, count) in self.slots[index].iter_mut().enumerate() {
            self.window_sums[tenant] -= *count;
            *count = 0;
        }
    }
}

/// Runs a scheme with the demand of a fleet, and prints a row of the table.
pub fn run(name: &str, fleet: &Fleet, mut scheme: impl QuotaScheme, seconds: u64, seed: u64) {
    let mut random = Random(seed);
    let mut counts = RequestCounts::new(fleet);
    let mut due = 0.0;
    let mut before = scheme.messages();
    let mut now = Duration::ZERO;
    let end = WARM_UP + Duration::from_secs(seconds);
    while now < end {
        now += STEP;
        if now.as_millis() % SLOT.as_millis() < STEP.as_millis() {
            counts.windows.rotate(fleet, now);
        }
        if now == WARM_UP {
            before = scheme.messages();
        }
        due += fleet.per_second * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let request = fleet.next_request(now, &mut random);
            if let Some(is_admitted) = scheme.admit(fleet, request, &mut random) {
                counts.count(now, request, is_admitted);
            }
        }
        for (request, is_admitted) in scheme.tick(fleet, now) {
            counts.count(now, request, is_admitted);
        }
    }
    let sent = scheme.messages();
    let rate = |count: u64| count as f64 / seconds as f64;
    let per_gateway = |count: u64| rate(count) / fleet.gateways as f64;
    println!(
        "| {name} | {:.3} % | {:.1} % | {:.3} | {:.2} | {:.0} | {:.0} |",
        counts.percent(counts.refused),
        counts.percent(counts.held),
        counts.windows.fullest,
        per_gateway(sent.at_gateways - before.at_gateways),
        per_gateway(sent.bytes - before.bytes),
        rate(sent.between_replicas - before.between_replicas),
    );
}

/// The outcomes of requests. Requests of the hot tenant count only in the windows.
struct RequestCounts {
    windows: Windows,
    requests: u64,
    refused: u64,
    held: u64,
}

impl RequestCounts {
    fn new(fleet: &Fleet) -> Self {
        Self {
            windows: Windows::new(fleet),
            requests: 0,
            refused: 0,
            held: 0,
        }
    }

    fn count(&mut self, now: Duration, request: Request, is_admitted: bool) {
        if is_admitted {
            self.windows.count(now, request.tenant);
        }
        if now > WARM_UP && !Fleet::is_hot(request.tenant) {
            self.requests += 1;
            self.refused += u64::from(!is_admitted);
            self.held += u64::from(now > request.now);
        }
    }

    fn percent(&self, count: u64) -> f64 {
        100.0 * count as f64 / self.requests as f64
    }
}
