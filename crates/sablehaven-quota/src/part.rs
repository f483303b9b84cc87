//! One control replica's part of all tenants' quotas.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sablehaven_types::{
    LoanRequest, QuotaTolerance, RequestQuota, TenantName, TokenLoan, TokenRequest, TokenVerdict,
};

use crate::{fair_share::FairShare, tenant_part::TenantPart};

/// The most requests for loans in one call: a bound for the messages of a moment in which all tenants are short.
const MAX_LOAN_REQUESTS: usize = 64;
/// The longest time for which a request is held while a loan may come: a few round trips between replicas, far below
/// what callers wait.
const MAX_HOLD: Duration = Duration::from_millis(200);

/// One control replica's part of all tenants' quotas. Times are any steady time of the replica.
#[derive(Clone, Debug)]
pub struct QuotaPart {
    tolerance: QuotaTolerance,
    /// The number of equal parts, of which this is one; `None` while this replica may not spend any.
    part_count: Option<u32>,
    tenants: HashMap<TenantName, TenantPart>,
    /// Tenants whose part is short, in the order in which loans are asked for.
    short_tenants: VecDeque<TenantName>,
    fair_share: FairShare,
}

/// What a tenant has had of this replica since its start.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantName,
    /// Its quota over all replicas.
    pub quota: Option<RequestQuota>,
    /// Tokens that were granted.
    pub granted: u64,
    /// Requests that were refused for want of tokens.
    pub refused: u64,
    /// Tokens that are there now.
    pub tokens: f64,
}

impl QuotaPart {
    /// A part of nothing yet: no tenant is known, and this replica may not spend.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            tolerance,
            part_count: None,
            tenants: HashMap::new(),
            short_tenants: VecDeque::new(),
            fair_share: FairShare::default(),
        }
    }

    /// Takes the tenants of a version of the configuration. A lower limit binds at once.
    pub fn set_tenants<'a>(
        &mut self,
        now: Duration,
        tenants: impl Iterator<Item = (&'a TenantName, Option<RequestQuota>)>,
    ) {
        let mut previous = std::mem::take(&mut self.tenants);
        for (name, quota) in tenants {
            let part = previous.remove(name);
            let mut part = part.unwrap_or_else(|| TenantPart::new(now));
            part.quota = quota;
            part.resize(now, &self.tolerance, self.part_count);
            self.tenants.insert(name.clone(), part);
        }
        self.short_tenants
            .retain(|name| self.tenants.contains_key(name));
    }

    /// Takes the number of equal parts, or that this replica has none. What it held before is gone then.
    pub fn set_part_count(&mut self, now: Duration, part_count: Option<u32>) {
        if self.part_count == part_count {
            return;
        }
        self.part_count = part_count;
        for part in self.tenants.values_mut() {
            part.resize(now, &self.tolerance, part_count);
        }
    }

    /// Decides on a request that waits for a token. `draw` is uniform, 0 to 1. No token is taken for a request that is
    /// refused.
    pub fn take(&mut self, now: Duration, request: &TokenRequest, draw: f64) -> TokenVerdict {
        self.record_request(now, request, draw);
        self.decide(now, request, draw)
    }

    /// As [`QuotaPart::take`], but `None` where the request is to be held, since other replicas may lend tokens within one
    /// round trip. The caller then asks again a few milliseconds later with the time `held` so far, 0 at first. None is
    /// held for longer than its gateway allows or than 200 ms, and none while the others had nothing to lend lately.
    pub fn take_or_hold(
        &mut self,
        now: Duration,
        request: &TokenRequest,
        draw: f64,
        held: Duration,
    ) -> Option<TokenVerdict> {
        if held.is_zero() {
            self.record_request(now, request, draw);
        }
        let patience = Duration::from_millis(request.patience_ms.into());
        let may_hold = held < patience.min(MAX_HOLD);
        let part = self.tenants.get_mut(&request.tenant);
        let should_hold = part.is_some_and(|part| may_hold && part.should_wait_for_loan(now));
        if should_hold {
            self.queue_if_short(now, &request.tenant);
            return None;
        }
        Some(self.decide(now, request, draw))
    }

    fn record_request(&mut self, now: Duration, request: &TokenRequest, draw: f64) {
        if let Some(part) = self.tenants.get_mut(&request.tenant) {
            part.record_request(now, request.wanted, draw);
        }
    }

    fn decide(&mut self, now: Duration, request: &TokenRequest, draw: f64) -> TokenVerdict {
        let Some(part) = self.tenants.get_mut(&request.tenant) else {
            // The gateway has a newer configuration than this replica, or an older one.
            return TokenVerdict::NoPart;
        };
        let applies_fair_share = request.shed_permille > 0 && part.has_token(now);
        if applies_fair_share && !self.is_within_fair_share(now, request, draw) {
            return TokenVerdict::OverFairShare;
        }
        let part = self.tenants.get_mut(&request.tenant);
        let verdict = part.map(|part| part.take(now, request.wanted, request.is_resend));
        self.queue_if_short(now, &request.tenant);
        verdict.unwrap_or(TokenVerdict::NoPart)
    }

    fn is_within_fair_share(&mut self, now: Duration, request: &TokenRequest, draw: f64) -> bool {
        if self.fair_share.is_stale(now) {
            let parts = self.tenants.values();
            let loads = parts.map(|part| (&part.demand, part.quota_per_second()));
            self.fair_share.refresh(now, loads);
        }
        let Some(part) = self.tenants.get(&request.tenant) else {
            return true;
        };
        let shed = f64::from(request.shed_permille.min(1_000)) / 1_000.0;
        let quota = part.quota_per_second();
        draw < self
            .fair_share
            .admission_probability(now, &part.demand, quota, shed)
    }

    fn queue_if_short(&mut self, now: Duration, tenant: &TenantName) {
        let Some(part) = self.tenants.get_mut(tenant) else {
            return;
        };
        if !part.is_queued && part.is_short(now) {
            part.is_queued = true;
            self.short_tenants.push_back(tenant.clone());
        }
    }

    /// What is to be asked of other replicas: tokens of the tenants whose part is used up, or soon will be, while requests
    /// come. Each request goes to one other replica. A tenant's numbers are consecutive, so that the number modulo the
    /// count of other replicas takes each in turn. To be called every few milliseconds.
    pub fn loan_requests(&mut self, now: Duration) -> Vec<LoanRequest> {
        let mut requests = Vec::new();
        for _ in 0..self.short_tenants.len() {
            if requests.len() >= MAX_LOAN_REQUESTS {
                break;
            }
            let Some(tenant) = self.short_tenants.pop_front() else {
                break;
            };
            let Some(part) = self.tenants.get_mut(&tenant) else {
                continue;
            };
            while let Some(outgoing) = part.open_loan_request(now) {
                requests.push(LoanRequest {
                    number: outgoing.number,
                    tenant: tenant.clone(),
                    wanted: outgoing.wanted,
                });
            }
            part.is_queued = part.is_short(now);
            if part.is_queued {
                self.short_tenants.push_back(tenant);
            }
        }
        requests
    }

    /// Lends what this part can spare. A loan of no tokens tells the other one to ask elsewhere; `None` while this replica
    /// has no part.
    pub fn lend(&mut self, now: Duration, request: &LoanRequest) -> Option<TokenLoan> {
        let part = self.tenants.get_mut(&request.tenant)?;
        let tokens = part.lend(now, request.wanted)?;
        Some(TokenLoan {
            number: request.number,
            tenant: request.tenant.clone(),
            tokens,
        })
    }

    /// Takes a loan, unless it comes too late or twice.
    pub fn receive_loan(&mut self, now: Duration, loan: &TokenLoan) {
        if let Some(part) = self.tenants.get_mut(&loan.tenant) {
            part.receive_loan(now, loan.number, loan.tokens);
        }
    }

    /// What each tenant has had of this replica.
    pub fn usage(&mut self, now: Duration) -> Vec<TenantUsage> {
        let tenants = self.tenants.iter_mut();
        tenants
            .map(|(tenant, part)| TenantUsage {
                tenant: tenant.clone(),
                quota: part.quota,
                granted: part.granted,
                refused: part.refused,
                tokens: part.tokens(now),
            })
            .collect()
    }
}
