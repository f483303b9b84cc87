//! One control replica's part of all tenants' quotas.

use std::{collections::HashMap, time::Duration};

use sablehaven_types::{
    LoanRequest, QuotaTolerance, RequestQuota, TenantName, TokenLoan, TokenRequest, TokenVerdict,
};

use crate::bucket::TokenBucket;

/// One control replica's part of all tenants' quotas. Times are any steady time of the replica.
#[derive(Debug)]
pub struct QuotaPart {
    tolerance: QuotaTolerance,
    /// The number of equal parts, of which this is one; `None` while this replica may not spend any.
    parts: Option<u32>,
    tenants: HashMap<TenantName, TenantPart>,
}

#[derive(Debug)]
struct TenantPart {
    quota: Option<RequestQuota>,
    bucket: Option<TokenBucket>,
    granted: u64,
    refused: u64,
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
            parts: None,
            tenants: HashMap::new(),
        }
    }

    /// Takes the tenants of a version of the configuration. A lower limit binds at once.
    pub fn set_tenants<'a>(
        &mut self,
        now: Duration,
        tenants: impl Iterator<Item = (&'a TenantName, Option<RequestQuota>)>,
    ) {
        let mut former = std::mem::take(&mut self.tenants);
        for (name, quota) in tenants {
            let part = former.remove(name);
            let mut part = part.unwrap_or(TenantPart {
                quota: None,
                bucket: None,
                granted: 0,
                refused: 0,
            });
            part.quota = quota;
            part.resize(now, &self.tolerance, self.parts);
            self.tenants.insert(name.clone(), part);
        }
    }

    /// Takes the number of equal parts, or that this replica has none. What it held before is gone then.
    pub fn set_parts(&mut self, now: Duration, parts: Option<u32>) {
        if self.parts == parts {
            return;
        }
        self.parts = parts;
        for part in self.tenants.values_mut() {
            part.resize(now, &self.tolerance, parts);
        }
    }

    /// Decides on a request that waits for a token. `draw` is uniform, 0 to 1.
    pub fn take(&mut self, now: Duration, request: &TokenRequest, _draw: f64) -> TokenVerdict {
        let Some(part) = self.tenants.get_mut(&request.tenant) else {
            // The gateway has a newer configuration than this replica, or an older one.
            return TokenVerdict::NoPart;
        };
        if part.quota.is_none() {
            return TokenVerdict::Granted(request.wanted);
        }
        let Some(bucket) = &mut part.bucket else {
            return TokenVerdict::NoPart;
        };
        let granted = bucket.take(now, request.wanted);
        if granted == 0 {
            part.refused += 1;
            let wait = bucket.time_until(now, 1.0).as_millis();
            return TokenVerdict::OverQuota {
                retry_after_ms: u32::try_from(wait).unwrap_or(u32::MAX),
            };
        }
        part.granted += u64::from(granted);
        TokenVerdict::Granted(granted)
    }

    /// What is to be asked of other replicas: tokens of the tenants whose part is used up while requests wait.
    pub fn loans_wanted(&mut self, _now: Duration) -> Vec<LoanRequest> {
        Vec::new()
    }

    /// Lends what this part can spare.
    pub fn lend(&mut self, _now: Duration, _request: &LoanRequest) -> Option<TokenLoan> {
        None
    }

    /// Takes a loan, unless it comes too late.
    pub fn receive(&mut self, now: Duration, loan: &TokenLoan) {
        let part = self.tenants.get_mut(&loan.tenant);
        if let Some(bucket) = part.and_then(|part| part.bucket.as_mut()) {
            bucket.put(now, loan.tokens);
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
                tokens: part
                    .bucket
                    .as_mut()
                    .map_or(0.0, |bucket| bucket.tokens(now)),
            })
            .collect()
    }
}

impl TenantPart {
    fn resize(&mut self, now: Duration, tolerance: &QuotaTolerance, parts: Option<u32>) {
        let (Some(quota), Some(parts)) = (self.quota, parts) else {
            self.bucket = None;
            return;
        };
        let resized = TokenBucket::new(now, tolerance, quota, parts);
        match &mut self.bucket {
            Some(bucket) => bucket.resize(now, resized),
            None => self.bucket = Some(resized),
        }
    }
}
