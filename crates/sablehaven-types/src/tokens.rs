//! What gateways and control replicas tell each other of tokens: one token lets one request of a tenant pass.

use serde::{Deserialize, Serialize};

use crate::TenantName;

/// Numbers a gateway's requests for tokens on one connection.
pub type TokenRequestNumber = u64;

/// A gateway asks for tokens of a tenant's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Echoed in the reply.
    pub number: TokenRequestNumber,
    /// Whose quota pays.
    pub tenant: TenantName,
    /// Tokens that the gateway has use for; the first is for a request that waits.
    pub wanted: u32,
    /// Part of the requests of this kind that the gateway refuses lately since its servers cannot bear them, in
    /// thousandths; 0 where it is not pressed.
    pub shed_permille: u16,
    /// How long the request may wait for tokens of other replicas, in milliseconds.
    pub patience_ms: u16,
    /// Whether its caller was refused before.
    pub is_resend: bool,
}

/// The answer to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReply {
    /// The request that this answers.
    pub number: TokenRequestNumber,
    /// What becomes of the request that waits.
    pub verdict: TokenVerdict,
}

/// What becomes of the request that waits for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenVerdict {
    /// It passes. So many tokens are granted, its own included; the others are good for a while.
    Granted(u32),
    /// The tenant has used up its quota; a token will be there after this time, in milliseconds.
    OverQuota {
        /// Time until a token is there for this caller.
        retry_after_ms: u32,
    },
    /// There is too little room for all, and the tenant has had its fair share of it.
    OverFairShare,
    /// This replica has no part of the quotas at the moment; another one may.
    NoPart,
}

/// A replica whose part of a tenant's quota is used up asks another one for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Echoed in the loan, so that one that comes too late is told apart.
    pub number: u64,
    /// Whose quota.
    pub tenant: TenantName,
    /// Tokens that the sender has use for.
    pub wanted: u32,
}

/// Tokens that move from one replica's part to another's. The lender has them no more, also where the loan is lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoan {
    /// The request that this answers.
    pub number: u64,
    /// Whose quota.
    pub tenant: TenantName,
    /// The tokens.
    pub tokens: u32,
}
