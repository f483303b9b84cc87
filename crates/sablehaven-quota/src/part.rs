//! One control replica's part of all tenants' quotas.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use sablehaven_types::{
    LoanRequest, QuotaTolerance, RequestQuota, TenantName, TokenLoan, TokenRequest, TokenVerdict,
};

use crate::{fair_share::FairShare, tenant_part::TenantPart};

/// The maximum number of loan requests that one call returns. It bounds the number of messages when all tenants run out
/// of tokens at the same time.
const MAX_LOAN_REQUESTS: usize = 64;
/// The longest time a request is held while it waits for a loan: a few round trips between replicas, and far less than
/// callers are willing to wait.
const MAX_HOLD: Duration = Duration::from_millis(200);

/// One control replica's part of all tenants' quotas. All times come from one monotonic clock of the replica.
#[derive(Clone, Debug)]
pub struct QuotaPart {
    tolerance: QuotaTolerance,
    /// The number of equal parts into which each quota is divided; `None` while this replica may not spend tokens.
    part_count: Option<u32>,
    tenants: HashMap<TenantName, TenantPart>,
    /// Tenants that need a loan, in the order in which loans are requested.
    short_tenants: VecDeque<TenantName>,
    fair_share: FairShare,
}

/// A tenant's usage at this replica since the replica started.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUsage {
    /// The tenant's name.
    pub tenant: TenantName,
    /// The tenant's quota over all replicas.
    pub quota: Option<RequestQuota>,
    /// The number of tokens granted.
    pub granted: u64,
    /// The number of requests refused because no token was available.
    pub refused: u64,
    /// The number of tokens available now.
    pub tokens: f64,
}

impl QuotaPart {
    /// Creates a part without tenants, from which this replica may not spend yet.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            tolerance,
            part_count: None,
            tenants: HashMap::new(),
            short_tenants: VecDeque::new(),
            fair_share: FairShare::default(),
        }
    }

    /// Replaces the tenants and quotas with those of a new configuration version. A lower limit takes effect
    /// immediately.
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

    /// Sets the number of equal parts; `None` if this replica has no part. The tokens it held are discarded in that
    /// case.
    pub fn set_part_count(&mut self, now: Duration, part_count: Option<u32>) {
        if self.part_count == part_count {
            return;
        }
        self.part_count = part_count;
        for part in self.tenants.values_mut() {
            part.resize(now, &self.tolerance, part_count);
        }
    }

    /// Decides whether a request that needs a token may proceed. `draw` is a uniformly distributed random number from 0
    /// to 1. A refused request takes no token.
    pub fn take(&mut self, now: Duration, request: &TokenRequest, draw: f64) -> TokenVerdict {
        self.record_request(now, request, draw);
        self.decide(now, request, draw)
    }

    /// Like [`QuotaPart::take`], but returns `None` if the request should be held because other replicas may lend
    /// tokens within one round trip. The caller then calls this again every few milliseconds, and passes the time for
    /// which the request has been `held` so far, which is 0 in the first call. A request is held no longer than its
    /// gateway allows, and no longer than 200 ms. Requests are not held if the other replicas recently had no tokens to
    /// lend.
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
            // The gateway's configuration is newer or older than this replica's.
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

    /// Returns the loan requests to send to other replicas, for tenants whose part has run out or will soon, while
    /// requests keep coming. Each loan request goes to one other replica. The numbers of one tenant's loan requests are
    /// consecutive, so that the number modulo the count of other replicas selects each of them in turn. Call this every
    /// few milliseconds.
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

    /// Lends the tokens that this part can spare. A loan of 0 tokens tells the borrower to ask another replica. Returns
    /// `None` while this replica has no part, or does not know the tenant.
    pub fn lend(&mut self, now: Duration, request: &LoanRequest) -> Option<TokenLoan> {
        let part = self.tenants.get_mut(&request.tenant)?;
        let tokens = part.lend(now, request.wanted)?;
        Some(TokenLoan {
            number: request.number,
            tenant: request.tenant.clone(),
            tokens,
        })
    }

    /// Adds the tokens of a loan, unless the loan is late or a duplicate.
    pub fn receive_loan(&mut self, now: Duration, loan: &TokenLoan) {
        if let Some(part) = self.tenants.get_mut(&loan.tenant) {
            part.receive_loan(now, loan.number, loan.tokens);
        }
    }

    /// Returns each tenant's usage at this replica.
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
