//! Decisions about an at-most-once request, as functions of replies and times. No I/O.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use sablehaven_types::{ClaimAnswer, LedgerReply, RecordedOutcome};

use crate::{
    reason::Reason,
    transport::{AttemptEnd, DiscardReason},
};

/// The next step after the ledger's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim was granted; the request may be dispatched once.
    Dispatch,
    /// An earlier dispatch of the request has this recorded outcome.
    Recorded(RecordedOutcome),
    /// The request is refused and not dispatched.
    Refuse(Reason),
    /// The ledger gave no decision; the same claim may be sent again.
    Retry,
}

/// Returns the next step after the ledger's reply to a claim.
pub fn after_claim(reply: LedgerReply) -> ClaimDecision {
    let LedgerReply::Claim(answer) = reply else {
        return ClaimDecision::Retry;
    };
    match answer {
        ClaimAnswer::Granted => ClaimDecision::Dispatch,
        ClaimAnswer::Settled(outcome) => ClaimDecision::Recorded(outcome),
        ClaimAnswer::Held => ClaimDecision::Refuse(Reason::InProgress),
        ClaimAnswer::FingerprintMismatch => ClaimDecision::Refuse(Reason::RequestIdReused),
        // The ledger no longer has records of this age, so the request may have run. The outcome
        // of this reason is therefore `Unknown`, not `NotRun`.
        ClaimAnswer::BelowHorizon { .. } => ClaimDecision::Refuse(Reason::BelowLedgerHorizon),
        ClaimAnswer::IssuedInFuture { limit_ms } => {
            ClaimDecision::Refuse(Reason::IssuedInFuture { limit_ms })
        }
        ClaimAnswer::Full => ClaimDecision::Refuse(Reason::LedgerFull),
        ClaimAnswer::Released => ClaimDecision::Refuse(Reason::LedgerUnavailable),
        ClaimAnswer::Free => ClaimDecision::Retry,
    }
}

/// The readings of the monotonic and the wall clock at one point in time.
///
/// Both are needed to detect how long a process was suspended: the monotonic clock stops while the
/// machine sleeps, and the wall clock may be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The monotonic time.
    pub monotonic: Instant,
    /// The wall clock time, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let milliseconds = since_epoch.unwrap_or_default().as_millis();
        Self {
            monotonic: Instant::now(),
            wall_ms: u64::try_from(milliseconds).unwrap_or(u64::MAX),
        }
    }
}

/// The last check before the dispatch.
#[derive(Clone, Copy, Debug)]
pub struct DispatchCheck {
    /// When the request arrived.
    pub arrived: ClockReading,
    /// The current time.
    pub now: ClockReading,
    /// Time from arrival to the caller's deadline.
    pub time_allowed: Duration,
    /// When the caller issued the request, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
    /// Maximum age since the issue time at which the request is still dispatched.
    pub issue_age_limit_ms: u64,
    /// Whether the agent holds a configuration lease.
    pub lease_current: bool,
}

impl DispatchCheck {
    /// Returns why the request must not be dispatched now, if so.
    pub fn check(&self) -> Result<(), Reason> {
        let monotonic_elapsed = self.now.monotonic - self.arrived.monotonic;
        let wall_elapsed_ms = self.now.wall_ms.saturating_sub(self.arrived.wall_ms);
        let elapsed = monotonic_elapsed.max(Duration::from_millis(wall_elapsed_ms));
        if elapsed >= self.time_allowed {
            return Err(Reason::DeadlineBeforeDispatch);
        }
        // The ledger does not recognize a resend whose issue time is below its horizon, so a
        // request is dispatched only while its issue time is far above the horizon.
        let issue_age_ms = self.now.wall_ms.saturating_sub(self.issued_at_ms);
        if issue_age_ms > self.issue_age_limit_ms {
            return Err(Reason::IssuedTooLongAgo);
        }
        if !self.lease_current {
            return Err(Reason::NoLease);
        }
        Ok(())
    }
}

/// The next step after the dispatch has ended.
#[derive(Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The request ran. The reply is recorded and returned to the caller.
    Done(Bytes),
    /// The request did not run. The claim is released.
    NotRun(Reason),
    /// It is not known whether the request ran; this is recorded. Contains the reason if a reply
    /// was discarded.
    Unknown(Option<DiscardReason>),
}

/// Returns the next step after the dispatch has ended.
///
/// Only two results prove that the request did not run: no connection could be opened, or the back
/// end refused this attempt, which the refusal shows by echoing the attempt's id. With any other
/// result except a reply, the request may have run.
pub fn after_dispatch(end: AttemptEnd) -> DispatchDecision {
    match end {
        AttemptEnd::Replied(body) => DispatchDecision::Done(body),
        AttemptEnd::NotConnected(_) => DispatchDecision::NotRun(Reason::NotConnected),
        AttemptEnd::Refused {
            refusal,
            echoed: true,
        } => DispatchDecision::NotRun(Reason::BackendRefused(refusal)),
        AttemptEnd::Refused { echoed: false, .. } => {
            DispatchDecision::Unknown(Some(DiscardReason::MissingEcho))
        }
        AttemptEnd::Discarded(reason) => DispatchDecision::Unknown(Some(reason)),
        AttemptEnd::Failed(_) => DispatchDecision::Unknown(None),
    }
}
