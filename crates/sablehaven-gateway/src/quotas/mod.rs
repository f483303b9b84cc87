//! Tokens of tenants' quotas: what this gateway holds, and asking control replicas for more.

mod client;
mod replicas;

pub(crate) use client::{AcquireOptions, TokenClient, TokenOutcome, TokenRequester};
