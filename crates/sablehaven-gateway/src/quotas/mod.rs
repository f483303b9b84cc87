//! Tokens of tenants' quotas: the tokens that this gateway holds, and the requests for more to control replicas.

mod client;
mod replicas;

pub(crate) use client::{AcquireOptions, TokenClient, TokenOutcome, TokenRequester};
