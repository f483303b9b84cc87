//! One replica's part of one tenant's quota.

use std::time::Duration;

use sablehaven_types::{QuotaTolerance, RequestQuota, TokenVerdict};

use crate::{
    allowance::PartAllowance,
    bucket::TokenBucket,
    fair_share::RecentDemand,
    loan::{LoanState, OutgoingLoanRequest},
};

/// One replica's part of one tenant's quota.
#[derive(Clone, Debug)]
pub(crate) struct TenantPart {
    pub(crate) quota: Option<RequestQuota>,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) demand: RecentDemand,
    bucket: Option<TokenBucket>,
    loan: LoanState,
    /// Whether the tenant is in the queue of tenants that need a loan.
    pub(crate) is_queued: bool,
}

impl TenantPart {
    /// Creates the part of a tenant whose quota is not set yet.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            quota: None,
            granted: 0,
            refused: 0,
            demand: RecentDemand::new(now),
            bucket: None,
            loan: LoanState::new(now),
            is_queued: false,
        }
    }

    /// Adapts the bucket to the number of parts and to the current quota.
    pub(crate) fn resize(
        &mut self,
        now: Duration,
        tolerance: &QuotaTolerance,
        part_count: Option<u32>,
    ) {
        let (Some(quota), Some(part_count)) = (self.quota, part_count) else {
            self.bucket = None;
            self.loan = LoanState::new(now);
            return;
        };
        let allowance = PartAllowance::new(tolerance, quota, part_count);
        match &mut self.bucket {
            Some(bucket) => bucket.resize(now, allowance),
            None => self.bucket = Some(TokenBucket::new(now, allowance)),
        }
    }

    /// Records a request for tokens.
    pub(crate) fn record_request(&mut self, now: Duration, wanted: u32, draw: f64) {
        self.demand.add(now, wanted);
        if self.bucket.is_some() {
            self.loan.record_request(now, wanted, draw);
        }
    }

    /// Returns whether the part is out of tokens and another one may lend some soon. Also records that a loan is needed
    /// if the part is out of tokens.
    pub(crate) fn should_wait_for_loan(&mut self, now: Duration) -> bool {
        let is_exhausted = self.bucket.is_some() && !self.has_token(now);
        if is_exhausted {
            self.loan.note_refused(true);
        }
        is_exhausted && self.loan.may_receive_loan(now)
    }

    /// Decides whether a request that needs a token may proceed. While the tenant's demand exceeds the refill rate, the
    /// next token is kept for a request that can still be answered in time; a request whose caller was refused before
    /// does not get it.
    pub(crate) fn take(&mut self, now: Duration, wanted: u32, is_resend: bool) -> TokenVerdict {
        if self.quota.is_none() {
            return TokenVerdict::Granted(wanted);
        }
        let Some(bucket) = &mut self.bucket else {
            return TokenVerdict::NoPart;
        };
        let is_deferred = is_resend && self.loan.exceeds_refill(now, bucket);
        let granted = match is_deferred {
            true => bucket.take_spare(now, wanted),
            false => bucket.take(now, wanted),
        };
        self.loan.note_refused(granted == 0);
        if granted == 0 {
            self.refused += 1;
            let wait_ms = bucket.promise_token(now).as_micros().div_ceil(1_000);
            return TokenVerdict::OverQuota {
                retry_after_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
            };
        }
        self.granted += u64::from(granted);
        TokenVerdict::Granted(granted)
    }

    /// Returns whether this part needs a loan now or soon.
    pub(crate) fn is_short(&mut self, now: Duration) -> bool {
        let bucket = self.bucket.as_mut();
        bucket.is_some_and(|bucket| self.loan.is_short(now, bucket))
    }

    /// Opens a loan request if one is due, and returns it.
    pub(crate) fn open_loan_request(&mut self, now: Duration) -> Option<OutgoingLoanRequest> {
        self.loan.open_request(now, self.bucket.as_mut()?)
    }

    /// Lends tokens to another part; returns `None` while this replica has no part.
    pub(crate) fn lend(&mut self, now: Duration, wanted: u32) -> Option<u32> {
        let bucket = self.bucket.as_mut()?;
        Some(self.loan.lend(now, bucket, wanted))
    }

    /// Adds the tokens of a loan if it answers an open loan request and is not late.
    pub(crate) fn receive_loan(&mut self, now: Duration, number: u64, tokens: u32) {
        if let Some(bucket) = &mut self.bucket {
            self.loan.receive_loan(now, bucket, number, tokens);
        }
    }

    /// Returns whether a request would get a token.
    pub(crate) fn has_token(&mut self, now: Duration) -> bool {
        let bucket = self.bucket.as_mut();
        self.quota.is_none() || bucket.is_some_and(|bucket| bucket.has_token(now))
    }

    /// Returns the quota's rate in requests per second.
    pub(crate) fn quota_per_second(&self) -> Option<f64> {
        self.quota.map(|quota| quota.per_second)
    }

    /// Returns the number of available tokens.
    pub(crate) fn tokens(&mut self, now: Duration) -> f64 {
        let bucket = self.bucket.as_mut();
        bucket.map_or(0.0, |bucket| bucket.tokens(now))
    }
}
