//! The request ledger's requests and replies.

use serde::{Deserialize, Serialize};

use crate::{CallerId, ClaimId, RequestId};

/// Names one request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerKey {
    /// The caller.
    pub caller: CallerId,
    /// The caller's id for the request.
    pub request: RequestId,
    /// When the caller issued the request, in milliseconds since the Unix epoch; part of the key,
    /// so that forgetting below the horizon can never run a request again.
    pub issued_at_ms: u64,
}

/// A request to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRequest {
    /// Takes the key before its only dispatch.
    Claim {
        /// The key.
        key: LedgerKey,
        /// The claim; unique, made by the agent.
        claim: ClaimId,
        /// Hash of method and body; a resend with another one is refused.
        fingerprint: u64,
    },
    /// Records the outcome of a claimed request.
    Settle {
        /// The key.
        key: LedgerKey,
        /// The claim that was dispatched.
        claim: ClaimId,
        /// The outcome.
        outcome: RecordedOutcome,
    },
    /// Gives the key back: the back end refused before it started.
    Release {
        /// The key.
        key: LedgerKey,
        /// The claim that is given back.
        claim: ClaimId,
    },
    /// Reads what is recorded, through the log (linearizable).
    LookUp {
        /// The key.
        key: LedgerKey,
    },
}

impl LedgerRequest {
    /// The key that the request is about.
    pub fn key(&self) -> &LedgerKey {
        match self {
            Self::Claim { key, .. }
            | Self::Settle { key, .. }
            | Self::Release { key, .. }
            | Self::LookUp { key } => key,
        }
    }
}

/// The recorded outcome of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedOutcome {
    /// It ran, and this is the back end's reply body (protobuf).
    Done {
        /// The reply, at most the ledger's body limit.
        body: Vec<u8>,
    },
    /// It was dispatched, and whether it ran is not known.
    Unknown,
}

/// The ledger's word on a claim or look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim holds the key; its holder may dispatch once.
    Granted,
    /// Another claim holds the key and is not settled.
    Held,
    /// The request ran or may have run; this is the first outcome.
    Settled(RecordedOutcome),
    /// The claim was released earlier; it may not dispatch.
    Released,
    /// The key is not in the ledger (look-up only).
    Free,
    /// The same key came with another method or body.
    FingerprintMismatch,
    /// The key's issue time lies below the horizon: it will not run now, but may have run before and
    /// been forgotten.
    BelowHorizon {
        /// The horizon, in milliseconds since the Unix epoch.
        horizon_ms: u64,
    },
    /// The key's issue time lies too far ahead of the ledger's clock: refused, not run.
    IssuedInFuture {
        /// The latest issue time accepted, in milliseconds since the Unix epoch.
        limit_ms: u64,
    },
    /// The ledger holds as many keys as it may: refused, not run.
    Full,
}

/// The reply to a ledger request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The answer to a claim or look-up.
    Claim(ClaimAnswer),
    /// The settle or release took effect, or had already.
    Recorded,
    /// The settle or release named a claim that does not hold the key.
    NotHeld,
    /// No leader answered; whether the request took effect is not known.
    Unavailable {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}
