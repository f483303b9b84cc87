//! One tenant's quota at one replica.

use std::time::Duration;

use sablehaven_types::{QuotaTolerance, RequestQuota, TokenVerdict};

use crate::{
    allowance::PartAllowance,
    bucket::TokenBucket,
    fair_share::RecentDemand,
    loan::{LoanState, OutgoingLoanRequest},
};

/// One tenant's quota at one replica.
#[derive(Clone, Debug)]
pub(crate) struct TenantPart {
    pub(crate) quota: Option<RequestQuota>,
    pub(crate) granted: u64,
    pub(crate) refused: u64,
    pub(crate) demand: RecentDemand,
    bucket: Option<TokenBucket>,
    loan: LoanState,
    /// Whether the tenant stands in the queue of those that need a loan.
    pub(crate) is_queued: bool,
}

impl TenantPart {
    /// A tenant without a quota yet.
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

    /// Takes the number of parts, and the quota as it is now.
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

    /// Counts a request for tokens.
    pub(crate) fn record_request(&mut self, now: Duration, wanted: u32, draw: f64) {
        self.demand.add(now, wanted);
        if self.bucket.is_some() {
            self.loan.record_request(now, wanted, draw);
        }
    }

    /// Whether no token is there and others may lend some soon; the need for a loan is noted.
    pub(crate) fn should_wait_for_loan(&mut self, now: Duration) -> bool {
        let is_exhausted = self.bucket.is_some() && !self.has_token(now);
        if is_exhausted {
            self.loan.note_refused(true);
        }
        is_exhausted && self.loan.may_receive_loan(now)
    }

    /// Decides on a request that waits for a token. While the tenant asks for more than it may, the next token is for a
    /// request that can still be answered in time, and not for one whose caller was refused before.
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

    /// Whether this part needs a loan now or soon.
    pub(crate) fn is_short(&mut self, now: Duration) -> bool {
        let bucket = self.bucket.as_mut();
        bucket.is_some_and(|bucket| self.loan.is_short(now, bucket))
    }

    /// Opens a request for a loan if it is time for one; returns what to ask for.
    pub(crate) fn open_loan_request(&mut self, now: Duration) -> Option<OutgoingLoanRequest> {
        self.loan.open_request(now, self.bucket.as_mut()?)
    }

    /// Takes tokens out for another part; `None` while this replica has none.
    pub(crate) fn lend(&mut self, now: Duration, wanted: u32) -> Option<u32> {
        let bucket = self.bucket.as_mut()?;
        Some(self.loan.lend(now, bucket, wanted))
    }

    /// Takes a loan if it answers the open request and is not late.
    pub(crate) fn receive_loan(&mut self, now: Duration, number: u64, tokens: u32) {
        if let Some(bucket) = &mut self.bucket {
            self.loan.receive_loan(now, bucket, number, tokens);
        }
    }

    /// Whether a request would get a token.
    pub(crate) fn has_token(&mut self, now: Duration) -> bool {
        let bucket = self.bucket.as_mut();
        self.quota.is_none() || bucket.is_some_and(|bucket| bucket.has_token(now))
    }

    /// The quota's rate, in requests a second.
    pub(crate) fn quota_per_second(&self) -> Option<f64> {
        self.quota.map(|quota| quota.per_second)
    }

    /// The tokens that are there.
    pub(crate) fn tokens(&mut self, now: Duration) -> f64 {
        let bucket = self.bucket.as_mut();
        bucket.map_or(0.0, |bucket| bucket.tokens(now))
    }
}
