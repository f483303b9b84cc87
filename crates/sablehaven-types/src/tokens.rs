//! Messages between gateways and control replicas about quota tokens. One token admits one request of a tenant.

use serde::{Deserialize, Serialize};

use crate::TenantName;

/// The sequence number of a gateway's token request on one connection.
pub type TokenRequestNumber = u64;

/// A gateway's request for tokens from a tenant's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The number of this request, which the reply echoes.
    pub number: TokenRequestNumber,
    /// The tenant whose quota provides the tokens.
    pub tenant: TenantName,
    /// The number of tokens that the gateway can use. The first is for a caller's request that is waiting.
    pub wanted: u32,
    /// The share of the requests of this class that the gateway currently sheds because its servers are overloaded, in
    /// thousandths; 0 without overload.
    pub shed_permille: u16,
    /// How long the replica may hold this token request while it waits for tokens from other replicas, in milliseconds.
    pub patience_ms: u16,
    /// Whether the caller's request is a resend after a refusal.
    pub is_resend: bool,
}

/// The reply to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReply {
    /// The number of the token request.
    pub number: TokenRequestNumber,
    /// The decision on the waiting request.
    pub verdict: TokenVerdict,
}

/// The decision on a request that is waiting for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenVerdict {
    /// The request is admitted. Holds the number of granted tokens, including the one for this request. The others are
    /// valid for a limited time.
    Granted(u32),
    /// The tenant has exhausted its quota.
    OverQuota {
        /// The time until a token will be available to this caller, in milliseconds.
        retry_after_ms: u32,
    },
    /// The servers cannot serve the requests of all tenants, and this tenant has used its fair share of their capacity.
    OverFairShare,
    /// This replica currently holds no part of the quotas; another one may.
    NoPart,
}

/// A request for tokens that a replica sends to another one when its own part of a tenant's quota is exhausted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The number of this request. The loan echoes it, so that a loan that arrives too late can be recognized.
    pub number: u64,
    /// The tenant whose quota provides the tokens.
    pub tenant: TenantName,
    /// The number of tokens that the sender can use.
    pub wanted: u32,
}

/// A transfer of tokens from one replica's part of a quota to another's. The lender no longer has the tokens, even if
/// this message is lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoan {
    /// The number of the loan request.
    pub number: u64,
    /// The tenant whose quota provides the tokens.
    pub tenant: TenantName,
    /// The number of transferred tokens.
    pub tokens: u32,
}
