//! The decisions about a request that may not be repeated. Pure: replies and times in, verdict out.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use sablehaven_types::{ClaimAnswer, LedgerReply, RecordedOutcome};

use crate::{
    reason::Reason,
    transport::{AttemptEnd, DiscardReason},
};

/// What follows from the ledger's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim holds the key: the request may be dispatched once.
    Dispatch,
    /// The request ran or may have run; this is its first outcome.
    Recorded(RecordedOutcome),
    /// The request is not dispatched.
    Refuse(Reason),
    /// No answer; the same claim may be sent again.
    Retry,
}

/// Judges the ledger's reply to a claim.
pub fn after_claim(reply: LedgerReply) -> ClaimDecision {
    let LedgerReply::Claim(answer) = reply else {
        return ClaimDecision::Retry;
    };
    match answer {
        ClaimAnswer::Granted => ClaimDecision::Dispatch,
        ClaimAnswer::Settled(outcome) => ClaimDecision::Recorded(outcome),
        ClaimAnswer::Held => ClaimDecision::Refuse(Reason::InProgress),
        ClaimAnswer::FingerprintMismatch => ClaimDecision::Refuse(Reason::RequestIdReused),
        // What the ledger has forgotten may have run, so this is not "not run".
        ClaimAnswer::BelowHorizon { .. } => ClaimDecision::Refuse(Reason::BelowLedgerHorizon),
        ClaimAnswer::IssuedInFuture { limit_ms } => {
            ClaimDecision::Refuse(Reason::IssuedInFuture { limit_ms })
        }
        ClaimAnswer::Full => ClaimDecision::Refuse(Reason::LedgerFull),
        ClaimAnswer::Released => ClaimDecision::Refuse(Reason::LedgerUnavailable),
        ClaimAnswer::Free => ClaimDecision::Retry,
    }
}

/// A moment on both clocks. The monotonic clock stands still while the machine sleeps, and the wall
/// clock may be set, so neither alone shows how long a process was frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The monotonic clock.
    pub monotonic: Instant,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl ClockReading {
    /// This moment.
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
    /// Now.
    pub now: ClockReading,
    /// Time from arrival to the caller's deadline.
    pub time_allowed: Duration,
    /// When the caller issued the request, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
    /// The largest age since the issue time at which the request is still dispatched.
    pub issue_age_limit_ms: u64,
    /// Whether the agent holds a lease.
    pub lease_current: bool,
}

impl DispatchCheck {
    /// Whether the request may be dispatched now, or why not.
    pub fn check(&self) -> Result<(), Reason> {
        let monotonic_elapsed = self.now.monotonic - self.arrived.monotonic;
        let wall_elapsed_ms = self.now.wall_ms.saturating_sub(self.arrived.wall_ms);
        let elapsed = monotonic_elapsed.max(Duration::from_millis(wall_elapsed_ms));
        if elapsed >= self.time_allowed {
            return Err(Reason::DeadlineBeforeDispatch);
        }
        // Below the ledger's horizon a resend is not recognised any more, so this one must be far
        // from it.
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

/// What follows from the end of the dispatch.
#[derive(Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The reply, to be recorded and given to the caller.
    Done(Bytes),
    /// It did not run: the claim is released.
    NotRun(Reason),
    /// Whether it ran is not known; recorded so.
    Unknown(Option<DiscardReason>),
}

/// Judges the end of the dispatch. Only two ends prove that the request did not run: no connection
/// could be opened, or the back end refused *this* attempt. All others leave it unknown.
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
